//! The one place where configuration is read, checked and given its defaults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use alderstile::interface::{Micros, Settings};
use alderstile::settings::{self, Keys, SettingsError, absent};
use serde_json::Value;
use thiserror::Error;

use crate::discovery::List;
use crate::upgrade::Hello;

/// Descriptors that a node may hold where nothing else is said.
const SOCKETS: usize = 1024;
/// How long a connection to a host may take where nothing else is said.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Requests may take this long where nothing else is said.
const GIVE_UP: Micros = Micros::from_millis(1_000);
/// No request makes a stop wait longer than this.
const LONGEST_GIVE_UP: Micros = Micros::from_millis(3_000);
/// The platform stops a node this long after the longest time that a request may take.
const STOP_AFTER: Duration = Duration::from_millis(700);
/// How often the list must be asked for where nothing else is said.
const MUST_ASK_IN: Micros = Micros::from_millis(10_000);

/// Why there is no configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file was named.
    #[error("no configuration: name a file with --config or ROUTER_CONFIG")]
    NoFile,
    /// The file cannot be read.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path}: {error}")]
    Json {
        /// The file.
        path: String,
        /// Why.
        error: serde_json::Error,
    },
    /// A key is missing or has a value that cannot be used.
    #[error(transparent)]
    Key(#[from] SettingsError),
    /// The list of servers last known cannot be read.
    #[error("the key known: {0}")]
    Known(serde_json::Error),
}

/// All that a node is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub admin_addr: Option<SocketAddr>,
    /// Where a process leaves what the next one of this node is to know, if anywhere.
    pub state_dir: Option<PathBuf>,
    /// Where the server list is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the node may hold.
    pub sockets: usize,
    /// Where messages of other nodes arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The nodes by their numbers, this one included.
    pub peers: Vec<SocketAddr>,
    /// All nodes at once.
    pub peers_all: Option<SocketAddr>,
    /// The server list last known.
    pub known: List,
    /// The classes by their numbers.
    pub classes: Vec<String>,
    /// The zones by their numbers.
    pub zones: Vec<String>,
    /// How long a connection to a host may take.
    pub connect_timeout: Duration,
    /// How long a planned stop may take.
    pub stop_within: Duration,
    /// What the decisions are told.
    pub settings: Settings,
    /// What a second instance is told that only watches.
    pub shadow: Option<Settings>,
}

impl Config {
    /// Reads and checks a file; `env` gives the values that stand above the file's.
    pub fn load(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = path.map(Path::to_path_buf).or_else(|| env("ROUTER_CONFIG").map(Into::into));
        let path = path.ok_or(ConfigError::NoFile)?;
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::File { path: shown.clone(), error })?;
        let mut value: Value =
            serde_json::from_str(&text).map_err(|error| ConfigError::Json { path: shown, error })?;
        for (key, variable) in [
            ("name", "ROUTER_NAME"),
            ("listen", "ROUTER_LISTEN"),
            ("discovery", "ROUTER_DISCOVERY"),
            ("admin_addr", "ROUTER_ADMIN_ADDR"),
        ] {
            if let (Some(fields), Some(text)) = (value.as_object_mut(), env(variable)) {
                fields.insert(key.to_owned(), Value::String(text));
            }
        }
        let config = Self::parse(value)?;
        // Without operators there is nothing to leave.
        let state_dir = config.admin_addr.and_then(|_| env("TMPDIR")).map(PathBuf::from);
        Ok(Config { state_dir, ..config })
    }

    /// Checks a configuration.
    pub fn parse(mut value: Value) -> Result<Self, ConfigError> {
        let mut part = |key: &str| value.as_object_mut().and_then(|fields| fields.remove(key));
        let (told, known, shadow) = (part("settings").unwrap_or_default(), part("known"), part("shadow"));
        let set = flat("settings.", &told);
        let keys = flat("", &value);
        let known = match known {
            Some(known) => List::from_value(known).map_err(ConfigError::Known)?,
            None => List::default(),
        };
        let address = "an address and a port";
        let peers = keys.list("peers").into_iter();
        let peers =
            peers.map(|text| text.parse().map_err(|_| keys.bad("peers", text, "addresses and ports")));
        let count: u16 = set.read("classes.count", "a list of classes")?;
        let classes = (0..count).map(|i| set.text(&format!("classes.{i}.name")).map(str::to_owned));
        let give_ups =
            (0..count).map(|i| set.micros(&format!("classes.{i}.give_up")).or_else(absent(GIVE_UP)));
        let longest = give_ups.collect::<Result<Vec<_>, _>>()?.into_iter().max().unwrap_or(GIVE_UP);
        let timeout = set.micros("allowed.connect_timeout").map(|span| Duration::from_micros(span.0));
        let settings = on_sockets(settings::parse(&set)?);
        let shadow = shadow.map(|section| self::shadow(section, &set, settings.classes.len())).transpose()?;
        Ok(Config {
            name: keys.text("name")?.to_owned(),
            listen: keys.read("listen", address)?,
            admin_addr: keys.read("admin_addr", address).map(Some).or_else(absent(None))?,
            state_dir: None,
            discovery: keys.read("discovery", address)?,
            seed: match keys.text("seed") {
                Ok(text) => u64::from_str_radix(text, 16)
                    .map_err(|_| keys.bad("seed", text, "at most 16 hexadecimal digits"))?,
                Err(_) => std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), 0),
            },
            sockets: keys.read("limits.sockets", "a whole number").or_else(absent(SOCKETS))?,
            peer_listen: keys.read("peer_listen", address).map(Some).or_else(absent(None))?,
            peers: peers.collect::<Result<_, _>>()?,
            peers_all: keys.read("peers_all", address).map(Some).or_else(absent(None))?,
            known,
            classes: classes.collect::<Result<_, _>>()?,
            zones: set.list("zones").into_iter().map(str::to_owned).collect(),
            connect_timeout: timeout.or_else(absent(CONNECT_TIMEOUT))?,
            stop_within: Duration::from_micros(longest.0.min(LONGEST_GIVE_UP.0)) + STOP_AFTER,
            settings,
            shadow: shadow.flatten(),
        })
    }
}

impl Config {
    /// The same for a process that takes over from one that serves: what that one has learned counts.
    pub fn taking_over(mut self, hello: &Hello) -> Self {
        self.discovery = hello.discovery.unwrap_or(self.discovery);
        self.known = hello.list.clone();
        self
    }
}

/// On sockets the list comes to those who watch it, whatever brings it on the drill.
fn on_sockets(mut settings: Settings) -> Settings {
    settings.must_ask = true;
    if settings.must_ask_in == Micros(0) {
        settings.must_ask_in = MUST_ASK_IN;
    }
    settings
}

/// The section of the watching instance: whether it is on, and which settings are others than the deciding ones'. It is
/// checked also while it is off.
fn shadow(mut section: Value, deciding: &Keys, classes: usize) -> Result<Option<Settings>, SettingsError> {
    let Some(fields) = section.as_object_mut() else {
        return Err(Keys::new("", []).bad("shadow", &plain(&section), "an object"));
    };
    let told = fields.remove("settings").unwrap_or_default();
    let (keys, own) = (flat("shadow.", &section), flat("shadow.settings.", &told));
    if !told.is_null() && !told.is_object() {
        return Err(keys.bad("settings", &plain(&told), "an object"));
    }
    let on = keys.flag("on").or_else(absent(false))?;
    keys.all_read(&keys)?;
    let whole = own.above(deciding);
    let settings = on_sockets(settings::parse(&whole)?);
    own.all_read(&whole)?;
    if settings.classes.len() != classes {
        // Both are handed the same requests.
        return Err(own.bad("classes", &settings.classes.len().to_string(), "as many classes as are served"));
    }
    Ok(on.then_some(settings))
}

/// Values by path: objects by their keys, lists of plain values joined by commas, lists of objects by their number.
fn flat(place: &'static str, value: &Value) -> Keys {
    let mut pairs = Vec::new();
    flatten(String::new(), value, &mut pairs);
    Keys::new(place, pairs)
}

fn flatten(path: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(under(key), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((under("count"), items.len().to_string()));
            for (i, item) in items.iter().enumerate() {
                flatten(under(&i.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.push((path, items.join(",")));
        }
        Value::Null => {}
        _ => pairs.push((path, plain(value))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

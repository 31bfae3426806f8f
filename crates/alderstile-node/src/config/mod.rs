//! The one place where configuration is read, checked and given its defaults.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use alderstile::settings::{self, SettingValues, SettingsError, default_if_missing};
use alderstile::types::{BalancerSettings, Micros};
use serde_json::{Map, Value};
use thiserror::Error;
use tracing::warn;

use crate::discovery::endpoint_list::EndpointList;
use crate::lifecycle::upgrade_state::UpgradeState;

mod cluster;

pub use cluster::{ClusterConfig, ClusterError, ControlConfig, CutOff, Subsets};

/// Descriptors that are no connections of clients or to hosts: the runtime's, the listeners, discovery, peers, logs.
const OWN_DESCRIPTORS: usize = 24;
/// Callers at the operators' address at once; their descriptors are kept for them.
pub const CALLERS: usize = 8;

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
/// The same where lists are pushed: what this machine's agent has counts as told also while no watch is open, so that one
/// that broke is asked for again at once, as often as need be (half of this is the longest wait). Calls reach the agent alone.
const PUSHED: Micros = Micros::from_millis(200);

/// How long something new may go to a host after its drain was told, where nothing else is said; and what is kept of that, as
/// a line has to get there in time.
const GRACE: Micros = Micros::from_millis(500);
const GRACE_KEPT: Micros = Micros::from_millis(100);

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
    /// Descriptors that the node may hold: as the file says, and no more than the system allows.
    pub sockets: usize,
    /// Where messages of other nodes arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The nodes by their numbers, this one included.
    pub peers: Vec<SocketAddr>,
    /// All nodes at once.
    pub peers_all: Option<SocketAddr>,
    /// The server list last known.
    pub known: EndpointList,
    /// The classes by their numbers, which they keep for the process's life.
    pub classes: Vec<String>,
    /// Classes that a later configuration named no more: they take no new requests.
    pub gone: BTreeSet<String>,
    /// The zones by their numbers.
    pub zones: Vec<String>,
    /// How long a connection to a host may take.
    pub connect_timeout: Duration,
    /// How long a planned stop may take.
    pub stop_within: Duration,
    /// Where lists are pushed: how long something new may still go to a host after its drain was told.
    pub pushed: Option<Micros>,
    /// What the decisions are told.
    pub settings: BalancerSettings,
    /// What a second instance is told that only watches.
    pub shadow: Option<BalancerSettings>,
    /// The file as it was read, but for the list known.
    pub told: Value,
}

/// The configuration in force: it is replaced whole.
pub struct Current(RefCell<Rc<Config>>);

impl Current {
    /// The one at the start.
    pub fn new(config: Config) -> Self {
        Current(RefCell::new(Rc::new(config)))
    }

    /// What the node was told last.
    pub fn get(&self) -> Rc<Config> {
        self.0.borrow().clone()
    }

    /// Another one from now on.
    pub fn set(&self, config: Config) {
        self.0.replace(Rc::new(config));
    }
}

/// Where a process of a node finds others of the same node.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The node's name.
    pub name: String,
    /// What they share.
    pub dir: PathBuf,
}

/// What the file tells that counts from the next start on, whatever it says at a reload.
const FIXED: [&str; 10] = [
    "name",
    "listen",
    "admin_addr",
    "limits",
    "peer_listen",
    "peers",
    "peers_all",
    "settings.zones",
    "settings.my_zone",
    "seed",
];

impl Config {
    /// Reads and checks a file; `env` gives the values that stand above the file's.
    pub fn load(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Self::of_file(Self::read(path, &env)?, env)
    }

    /// Descriptors that are kept for the node itself.
    pub fn own_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.admin_addr.map_or(0, |_| CALLERS)
    }

    /// Reads a file; none named means the one that the environment names.
    pub fn read(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Result<Value, ConfigError> {
        let path = path.map(Path::to_path_buf).or_else(|| env("ROUTER_CONFIG").map(Into::into));
        let path = path.ok_or(ConfigError::NoFile)?;
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::File { path: shown.clone(), error })?;
        serde_json::from_str(&text).map_err(|error| ConfigError::Json { path: shown, error })
    }

    /// Checks what a file holds; `env` gives the values that stand above the file's.
    pub fn of_file(mut value: Value, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let mut told = value.clone();
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
        if let Some(fields) = told.as_object_mut() {
            fields.remove("known");
        }
        Ok(Config { state_dir, told, ..config })
    }

    /// Who a process is that starts, also where its file can't be used; none where it can't find others of its node.
    pub fn identity(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Option<Identity> {
        let file = Self::read(path, &env).unwrap_or_default();
        let text = |key: &str| file.get(key).and_then(Value::as_str).map(str::to_owned);
        env("ROUTER_ADMIN_ADDR").or_else(|| text("admin_addr"))?;
        let name = env("ROUTER_NAME").or_else(|| text("name"))?;
        Some(Identity { name, dir: env("TMPDIR")?.into() })
    }

    /// A new configuration for a process that serves by this one, and the keys that wait for the next start. What this
    /// one's file told the new one must tell too: a default would hide a lost key.
    pub fn renewed(&self, value: Value) -> Result<(Self, Vec<&'static str>), ConfigError> {
        if !value.is_object() {
            return Err(SettingValues::new("", [])
                .invalid("(the whole file)", &plain(&value), "an object")
                .into());
        }
        if let Some(key) = lacking(&self.told, &value) {
            return Err(SettingsError::MissingKey(key).into());
        }
        let mut told = value.clone();
        // What can't change is checked all the same, and says nothing.
        let new = Self::parse(value)?;
        if let Some(fields) = told.as_object_mut() {
            fields.remove("known");
        }
        let at = |value: &Value, key: &str| {
            key.split('.').try_fold(value.clone(), |value, key| value.get(key).cloned())
        };
        let waiting = FIXED.into_iter().filter(|key| at(&self.told, key) != at(&told, key)).collect();
        let mut next = self.clone();
        next.classes.extend(new.classes.iter().filter(|class| !self.classes.contains(class)).cloned());
        next.gone = next.classes.iter().filter(|class| !new.classes.contains(class)).cloned().collect();
        let numbered = |mut settings: BalancerSettings, old: &BalancerSettings| {
            let place = |class: &String| new.classes.iter().position(|name| name == class);
            let of = |(i, class)| {
                place(class).map_or_else(|| &old.classes[i], |new| &settings.classes[new]).clone()
            };
            let classes = next.classes.iter().enumerate().map(of).collect();
            settings.classes = classes;
            BalancerSettings { zone: old.zone, ..settings }
        };
        let settings = numbered(new.settings.clone(), &self.settings);
        // A class that is gone is watched by what is held of it.
        let shadow =
            new.shadow.clone().map(|shadow| numbered(shadow, self.shadow.as_ref().unwrap_or(&self.settings)));
        let (discovery, stop_within, connect_timeout) = (new.discovery, new.stop_within, new.connect_timeout);
        let pushed = new.pushed;
        let next = Config { settings, shadow, discovery, stop_within, connect_timeout, pushed, told, ..next };
        Ok((next, waiting))
    }

    /// The configuration of a process that takes over: its own file, unless the one that serves would turn that down. What
    /// that one has learned counts.
    pub fn taking_over(
        handshake: &UpgradeState,
        path: Option<&Path>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let force = Self::of_file(handshake.config.clone(), &env)?;
        let file = Self::read(path, &env).and_then(|file| {
            force.renewed(file.clone())?;
            Self::of_file(file, &env)
        });
        let mut config = file.unwrap_or_else(|error| {
            warn!("{error}; the configuration in force goes on");
            force.clone()
        });
        let place =
            |told: &Value| told.get("discovery").and_then(Value::as_str).and_then(|text| text.parse().ok());
        // The file's word counts where it is new; otherwise the one that serves knows better than a start's environment.
        config.discovery = match (place(&force.told), place(&config.told)) {
            (old, Some(new)) if old != Some(new) => new,
            _ => handshake.discovery.unwrap_or(config.discovery),
        };
        config.known = handshake.endpoints.clone();
        Ok(config)
    }

    /// Checks a configuration.
    pub fn parse(mut value: Value) -> Result<Self, ConfigError> {
        let mut part = |key: &str| value.as_object_mut().and_then(|fields| fields.remove(key));
        let (told, known, shadow) = (part("settings").unwrap_or_default(), part("known"), part("shadow"));
        check_counts(&told)?;
        let set = flat("settings.", &told);
        let keys = flat("", &value);
        let known = match known {
            Some(known) => EndpointList::from_value(known).map_err(ConfigError::Known)?,
            None => EndpointList::default(),
        };
        let address = "an address and a port";
        let peers = keys.list("peers").into_iter();
        let peers =
            peers.map(|text| text.parse().map_err(|_| keys.invalid("peers", text, "addresses and ports")));
        let count: u16 = set.read("classes.count", "a list of classes")?;
        let classes = (0..count).map(|i| set.text(&format!("classes.{i}.name")).map(str::to_owned));
        let classes = classes.collect::<Result<Vec<_>, _>>()?;
        if let Some(twice) = (1..classes.len()).find(|i| classes[..*i].contains(&classes[*i])) {
            return Err(set
                .invalid(&format!("classes.{twice}.name"), &classes[twice], "a name of its own")
                .into());
        }
        let give_ups = (0..count)
            .map(|i| set.micros(&format!("classes.{i}.give_up")).or_else(default_if_missing(GIVE_UP)));
        let longest = give_ups.collect::<Result<Vec<_>, _>>()?.into_iter().max().unwrap_or(GIVE_UP);
        let timeout = set.micros("allowed.connect_timeout").map(|span| Duration::from_micros(span.0));
        let settings = settings::parse(&set)?;
        let grace = set.micros("obligations.stop_sending_within").or_else(default_if_missing(GRACE))?;
        let pushed = (!settings.must_subscribe).then_some(grace - GRACE_KEPT);
        let settings = on_sockets(settings);
        let shadow = shadow.map(|section| self::shadow(section, &set, settings.classes.len())).transpose()?;
        Ok(Config {
            name: keys.text("name")?.to_owned(),
            listen: keys.read("listen", address)?,
            admin_addr: keys.read("admin_addr", address).map(Some).or_else(default_if_missing(None))?,
            state_dir: None,
            discovery: keys.read("discovery", address)?,
            seed: match keys.text("seed") {
                Ok(text) => u64::from_str_radix(text, 16)
                    .map_err(|_| keys.invalid("seed", text, "at most 16 hexadecimal digits"))?,
                Err(_) => std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), 0),
            },
            sockets: keys
                .read("limits.sockets", "a whole number")
                .or_else(default_if_missing(SOCKETS))?
                .min(system_sockets()),
            peer_listen: keys.read("peer_listen", address).map(Some).or_else(default_if_missing(None))?,
            peers: peers.collect::<Result<_, _>>()?,
            peers_all: keys.read("peers_all", address).map(Some).or_else(default_if_missing(None))?,
            known,
            classes,
            gone: BTreeSet::new(),
            zones: set.list("zones").into_iter().map(str::to_owned).collect(),
            connect_timeout: timeout.or_else(default_if_missing(CONNECT_TIMEOUT))?,
            stop_within: Duration::from_micros(longest.0.min(LONGEST_GIVE_UP.0)) + STOP_AFTER,
            pushed,
            settings,
            shadow: shadow.flatten(),
            told: Value::Null,
        })
    }
}

/// Descriptors that the system lets this process hold: with a limit above that the node's own would not be kept for it.
fn system_sockets() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// The first key of the old values that the new ones lack. Classes are held against those of the same name, and may
/// vanish; other lists are values.
fn lacking(old: &Value, new: &Value) -> Option<String> {
    let under =
        |key: &str, rest: String| if rest.is_empty() { key.to_owned() } else { format!("{key}.{rest}") };
    match (old, new) {
        (Value::Null, _) => None,
        (_, Value::Null) => Some(String::new()),
        (Value::Object(old), _) => old.iter().find_map(|(key, old)| {
            lacking(old, new.get(key).unwrap_or(&Value::Null)).map(|rest| under(key, rest))
        }),
        (Value::Array(old), Value::Array(new)) => new.iter().find_map(|new| {
            let name = new.get("name")?;
            let known = old.iter().find(|old| old.get("name") == Some(name));
            // A new one is held against what all of the old have, but for what hangs on its semantics.
            let all = |key: &str| old.iter().all(|old| !old.get(key).unwrap_or(&Value::Null).is_null());
            let first = old.first().and_then(Value::as_object).into_iter().flat_map(Map::keys);
            let mut usual = first.filter(|key| !["window", "group"].contains(&key.as_str()) && all(key));
            let lost = match known {
                Some(known) => lacking(known, new),
                None => usual.find(|key| new.get(*key).unwrap_or(&Value::Null).is_null()).cloned(),
            };
            lost.map(|rest| under(&plain(name), rest))
        }),
        _ => None,
    }
}

/// A deadline or a number of attempts: a whole number above 0, and no text that reads like one.
fn above_zero(value: &Value, path: &str) -> Result<(), SettingsError> {
    match value {
        Value::Number(number) if number.as_u64().is_some_and(|number| number > 0) => Ok(()),
        bad => Err(SettingValues::new("settings.", []).invalid(path, &plain(bad), "a whole number above 0")),
    }
}

/// Deadlines and numbers of attempts. What a start may leave to its default is not asked for.
fn check_counts(settings: &Value) -> Result<(), SettingsError> {
    if let Some(allowed) = settings.get("allowed") {
        for key in ["max_attempts", "connect_timeout"] {
            allowed.get(key).map_or(Ok(()), |value| above_zero(value, &format!("allowed.{key}")))?;
        }
    }
    for (i, class) in settings.get("classes").and_then(Value::as_array).into_iter().flatten().enumerate() {
        for key in ["aim", "give_up"] {
            class.get(key).map_or(Ok(()), |value| above_zero(value, &format!("classes.{i}.{key}")))?;
        }
    }
    Ok(())
}

/// On sockets the list comes to those who watch it, whatever brings it in the simulator.
fn on_sockets(mut settings: BalancerSettings) -> BalancerSettings {
    let pushed = !std::mem::replace(&mut settings.must_subscribe, true);
    if pushed {
        settings.max_poll_interval = PUSHED;
    } else if settings.max_poll_interval == Micros(0) {
        settings.max_poll_interval = MUST_ASK_IN;
    }
    settings
}

/// The section of the watching instance: whether it is on, and which settings are others than the deciding ones'. It is
/// checked also while it is off.
fn shadow(
    mut section: Value,
    deciding: &SettingValues,
    classes: usize,
) -> Result<Option<BalancerSettings>, SettingsError> {
    let Some(fields) = section.as_object_mut() else {
        return Err(SettingValues::new("", []).invalid("shadow", &plain(&section), "an object"));
    };
    let told = fields.remove("settings").unwrap_or_default();
    let (keys, own) = (flat("shadow.", &section), flat("shadow.settings.", &told));
    if !told.is_null() && !told.is_object() {
        return Err(keys.invalid("settings", &plain(&told), "an object"));
    }
    let on = keys.flag("on").or_else(default_if_missing(false))?;
    keys.reject_unread(&keys)?;
    let whole = own.overlaid_on(deciding);
    let settings = on_sockets(settings::parse(&whole)?);
    own.reject_unread(&whole)?;
    if settings.classes.len() != classes {
        // Both are handed the same requests.
        return Err(own.invalid(
            "classes",
            &settings.classes.len().to_string(),
            "as many classes as are served",
        ));
    }
    Ok(on.then_some(settings))
}

/// Values by path: objects by their keys, lists of plain values joined by commas, lists of objects by their number.
fn flat(place: &'static str, value: &Value) -> SettingValues {
    let mut pairs = Vec::new();
    flatten(String::new(), value, &mut pairs);
    SettingValues::new(place, pairs)
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

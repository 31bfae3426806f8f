//! The command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use alderstile_cluster::replicated_config::HardState;
use alderstile_node::admin::{client, server};
use alderstile_node::config::{ClusterConfig, Config};
use alderstile_node::control::host_assignment;
use alderstile_node::control::membership::Cluster;
use alderstile_node::control::peer_gossip::{PeerPath, Peers};
use alderstile_node::control::replicated_config::ConfigReplica;
use alderstile_node::control::replicated_config::client::{self as replicated_config_client, CallError};
use alderstile_node::control::replicated_config::document::ConfigDocument;
use alderstile_node::control::replicated_config::store::VoterStore;
use alderstile_node::discovery::watch;
use alderstile_node::lifecycle::{connection_handover, reload, shutdown, upgrade};
use alderstile_node::node::Node;
use alderstile_node::proxy::{listener, session};
use clap::{Parser, Subcommand, ValueEnum};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tracing::{error, info, warn};
use tracing_subscriber::EnvFilter;

/// How often a process that takes over looks whether it can serve.
const CAN_SERVE: Duration = Duration::from_millis(5);

/// alderstile balances long-lived connections over hosts
///
/// The configuration is a JSON file: the one that --config or ROUTER_CONFIG names. ROUTER_NAME, ROUTER_LISTEN and
/// ROUTER_DISCOVERY stand above its name, listen and discovery, ROUTER_ADMIN_ADDR above its admin_addr; at a reload the file's
/// discovery counts. RUST_LOG sets what is logged (info if not set).
#[derive(Parser)]
#[command(version)]
struct Args {
    /// How log lines look, on standard error
    #[arg(long, value_enum, default_value = "text", global = true)]
    log_format: Format,
    /// The configuration's file
    #[arg(long, global = true)]
    config: Option<PathBuf>,
    /// The cluster's file; without it the node knows of no others
    #[arg(long, global = true)]
    cluster: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM or SIGINT
    ///
    /// Then all of them are told to move, or passed on to a process started beside this one; SIGHUP reads the configuration again.
    Serve,
    /// Read and check the configuration, and say what is wrong with it
    CheckConfig,
    /// Show the members of the cluster, as a running node sees them
    Members {
        /// The node's operators' address; without, the configuration's
        #[arg(long)]
        admin: Option<SocketAddr>,
        /// As the node tells it, one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Settings that all nodes of the cluster agree on
    Settings {
        /// A node's operators' address; without, the configuration's
        #[arg(long, global = true)]
        admin: Option<SocketAddr>,
        #[command(subcommand)]
        what: Agreement,
    },
    /// Print the version
    Version,
}

#[derive(Subcommand)]
enum Agreement {
    /// Show the version in force at a node, and its document
    Show,
    /// Propose a document (JSON: settings, hosts_out) as the next version, and print its number
    Propose {
        /// The document
        file: PathBuf,
        /// The version that it is to follow: another one in force turns it down; without, the one that the node knows now
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Begin a voter's memory, before its very first start
    Init,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match args.log_format {
        // The platform's log has a time of its own.
        Format::Text => log.with_ansi(false).without_time().init(),
        Format::Json => log.json().init(),
    }
    let path = args.config.as_deref();
    let done = match args.command {
        Command::Settings { admin, what } => return settings(admin, path, args.cluster.as_deref(), what),
        Command::Version => {
            println!("alderstile {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Members { admin, json } => members(admin, path, json),
        Command::CheckConfig => load(path).and_then(|config| {
            let cluster = load_cluster(args.cluster.as_deref())?;
            let cluster =
                cluster.map(|c| format!(", a member of {} at {}", c.name, c.listen)).unwrap_or_default();
            let shadow = if config.shadow.is_some() { ", a second instance watches" } else { "" };
            let (name, listen, classes) = (&config.name, config.listen, config.classes.len());
            let operators =
                config.admin_addr.map(|address| format!(", operators at {address}")).unwrap_or_default();
            println!("{name}: listens on {listen}{operators}, {classes} classes{shadow}{cluster}: fine");
            Ok(())
        }),
        Command::Serve => serve(path, args.cluster.as_deref()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn load(path: Option<&Path>) -> Result<Config, String> {
    Config::load(path, env).map_err(|error| error.to_string())
}

fn load_cluster(path: Option<&Path>) -> Result<Option<ClusterConfig>, String> {
    path.map(ClusterConfig::load).transpose().map_err(|error| error.to_string())
}

/// Asks a running node for its members and prints them.
fn members(admin: Option<SocketAddr>, path: Option<&Path>, json: bool) -> Result<(), String> {
    let admin = match admin {
        Some(admin) => admin,
        None => load(path)?.admin_addr.ok_or("where? name the operators' address with --admin")?,
    };
    let text = client::get(admin, "/members").map_err(|error| format!("{admin}: {error}"))?;
    if json {
        println!("{text}");
    } else {
        print!("{}", client::table(&text).map_err(|error| format!("{admin}: {error}"))?);
    }
    Ok(())
}

/// Faulty input ends with 2, a call that came to nothing with 1.
fn settings(
    admin: Option<SocketAddr>,
    path: Option<&Path>,
    cluster: Option<&Path>,
    what: Agreement,
) -> ExitCode {
    let faulty = |what: String| (2, what);
    let call =
        |error: CallError| (if matches!(error, CallError::Rejected(_)) { 2 } else { 1 }, error.to_string());
    let admin = || match admin {
        Some(admin) => Ok(admin),
        None => {
            let nowhere = || faulty("where? name the operators' address with --admin".to_owned());
            load(path).map_err(faulty)?.admin_addr.ok_or_else(nowhere)
        }
    };
    let done = match what {
        Agreement::Show => admin().and_then(|admin| {
            let shown = replicated_config_client::status(admin).map_err(call)?;
            serde_json::to_string_pretty(&shown).map_err(|error| (1, error.to_string()))
        }),
        Agreement::Propose { file, expect } => admin().and_then(|admin| {
            let shown = file.display();
            let document = std::fs::read(&file).map_err(|error| faulty(format!("{shown}: {error}")))?;
            ConfigDocument::parse(&document).map_err(|error| faulty(format!("{shown}: {error}")))?;
            let expect = match expect {
                Some(expect) => expect,
                None => replicated_config_client::status(admin).map_err(call)?.committed_version,
            };
            let version = replicated_config_client::propose(admin, expect, &document).map_err(|error| {
                let (code, error) = call(error);
                (code, format!("{shown}: {error}"))
            })?;
            Ok(format!("version {version}"))
        }),
        Agreement::Init => init(path, cluster).map_err(faulty),
    };
    match done {
        Ok(said) => {
            println!("{said}");
            ExitCode::SUCCESS
        }
        Err((code, error)) => {
            error!("{error}");
            ExitCode::from(code)
        }
    }
}

/// Begins a voter's memory; never in place of one that is there.
fn init(path: Option<&Path>, cluster: Option<&Path>) -> Result<String, String> {
    let name = load(path)?.name;
    let control = load_cluster(cluster)?.and_then(|cluster| cluster.control);
    let control = control.ok_or("the cluster's file has no [control]; name it with --cluster")?;
    let (Some(_), Some(dir)) = (control.settings.me, &control.state_dir) else {
        return Err(format!("{}: this node is none of control.voters", control.listen));
    };
    let path = VoterStore::path(dir, &name);
    if path.exists() {
        return Err(format!("{}: is there already, and stays as it is", path.display()));
    }
    let opened = VoterStore::open(&path, control.settings.voters_digest());
    let begun = opened.and_then(|(store, _)| store.save(&HardState::genesis(), &[]));
    begun.map_err(|error| error.to_string())?;
    Ok(format!("{}: begun", path.display()))
}

fn env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Listens for clients.
fn listen(node: &Node) -> Result<TcpListener, String> {
    let failed = |error| format!("listen {}: {error}", node.config().listen);
    let listener = listener::bind_clients(&node.config()).map_err(failed)?;
    info!("{} listens on {}", node.config().name, listener.local_addr().map_err(failed)?);
    Ok(listener)
}

/// Takes clients in beside the process that serves, as soon as they can be served.
async fn succeed(node: Rc<Node>) {
    while !node.decisions.can_serve() {
        sleep(CAN_SERVE).await;
    }
    match connection_handover::receiver(&node.config()) {
        Ok(from) => from.into_iter().for_each(|from| {
            let going = node.clone();
            let go_on =
                move |passed, sockets| drop(spawn_local(session::resume(going.clone(), passed, sockets)));
            spawn_local(connection_handover::receive(node.clone(), from, go_on));
        }),
        Err(error) => warn!("connections can't be passed on to this process: {error}"),
    }
    if let Some(link) = node.process.linked() {
        link.ask_door().await;
        // The other has sent it before it answered; this process may not have read it.
        sleep(CAN_SERVE).await;
    }
    let listener = match node.process.take_shared_door().map(listener::shared) {
        Some(Ok(listener)) => {
            info!("{} takes clients in beside the process before", node.config().name);
            Ok(listener)
        }
        // A socket of its own, on the same address.
        _ => listen(&node),
    };
    let listener = match listener {
        Ok(listener) => listener,
        Err(error) => return error!("{error}"),
    };
    // Before anyone hears that this process is ready: the other one may be told to go for it.
    if let Some(link) = node.process.linked() {
        link.tell_ready().await;
    }
    listener::run(node, listener).await;
}

/// Serves until a signal comes and all clients have been told to move.
fn serve(path: Option<&Path>, cluster_path: Option<&Path>) -> Result<(), String> {
    let cluster = load_cluster(cluster_path)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
    LocalSet::new().block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|error| format!("signals: {error}"))?;
        let mut int = signal(SignalKind::interrupt()).map_err(|error| format!("signals: {error}"))?;
        // Handled before anything else is done: unhandled, it ends the process.
        let mut hangup = signal(SignalKind::hangup()).map_err(|error| format!("signals: {error}"))?;
        let predecessor = match Config::identity(path, env) {
            Some(who) => upgrade::join(&who).await.map_err(|error| error.to_string())?,
            None => None,
        };
        let config = match &predecessor {
            Some(before) => {
                Config::taking_over(&before.handshake, path, env).map_err(|error| error.to_string())?
            }
            None => load(path)?,
        };
        let node = Rc::new(Node::new(config));
        if let Some(cluster) = &cluster {
            let before = predecessor.as_ref().and_then(|before| before.handshake.member.as_ref());
            let member = Rc::new(
                Cluster::new(&node.config(), cluster, before).map_err(|what| format!("cluster: {what}"))?,
            );
            node.admin.set_membership(member.clone());
            if let Some(control) = &cluster.control {
                let control = Rc::new(ConfigReplica::new(control, &node));
                node.admin.set_replicated_config(control.clone());
                let member = member.clone();
                spawn_local(async move {
                    if let Err(error) = control.run(member).await {
                        error!(%error, "configuration replication stopped; the configuration in force stays");
                    }
                });
            }
            if let Some(subsets) = &cluster.subsets {
                host_assignment::begin(&node, subsets);
                spawn_local(host_assignment::run(node.clone(), member.clone()));
            }
            if predecessor.is_none() {
                let socket = member.bind(|| false).await;
                let socket =
                    socket.map_err(|error| format!("cluster: listen {}: {error}", cluster.listen))?;
                spawn_local(member.run(socket));
            } else {
                let node = node.clone();
                spawn_local(async move {
                    match member.bind(|| node.process.linked().is_some()).await {
                        Ok(socket) => member.run(socket).await,
                        Err(error) => warn!("cluster: {error}; serving without the other members"),
                    }
                });
            }
        }
        if let Some(address) = node.config().admin_addr {
            let listener =
                listener::bind(address).map_err(|error| format!("admin_addr {address}: {error}"))?;
            spawn_local(server::run(node.admin.clone(), listener));
        }
        let path_to_peers = Rc::new(PeerPath::default());
        let accepting = match predecessor {
            None => {
                let listener = listen(&node)?;
                if let Some(peers) =
                    Peers::bind(&node).await.map_err(|error| format!("peer_listen: {error}"))?
                {
                    spawn_local(path_to_peers.clone().run(node.clone(), peers));
                }
                spawn_local(upgrade::offer(node.clone()));
                spawn_local(listener::run(node.clone(), listener))
            }
            Some(before) => {
                node.take_over(&before.handshake);
                spawn_local(path_to_peers.clone().run_after(node.clone()));
                let ended = upgrade::follow(&node, before);
                let follower = node.clone();
                spawn_local(async move {
                    ended.await;
                    upgrade::offer(follower).await;
                });
                spawn_local(succeed(node.clone()))
            }
        };
        spawn_local(watch::run(node.decisions.clone()));
        spawn_local(node.clone().run(move |data| path_to_peers.tell(data)));
        let reloaded = || {
            reload::reload(&node, path, env);
            reload::reload_keys(&node, cluster_path);
        };
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = int.recv() => break,
                Some(()) = hangup.recv() => reloaded(),
            }
        }
        // Settings still change: until the last client is served it is by what is told now.
        let stop = shutdown::run(node.clone(), accepting);
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => return Ok(()),
                Some(()) = hangup.recv() => reloaded(),
            }
        }
    })
}

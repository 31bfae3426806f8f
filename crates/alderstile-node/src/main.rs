//! The command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use alderstile_node::config::Config;
use alderstile_node::node::Node;
use alderstile_node::peers::{Peers, Way};
use alderstile_node::{admin, discovery, listener, pass, reload, session, shutdown, upgrade};
use lexopt::{Arg, Parser, ValueExt};
use log::{error, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// How often a process that takes over looks whether it can serve.
const CAN_SERVE: Duration = Duration::from_millis(5);

const HELP: &str = "\
alderstile balances long-lived connections over hosts

Usage: alderstile COMMAND [--config FILE]

Commands:
  serve         serve clients until SIGTERM or SIGINT, then tell all of them to move, or pass them on to a
                process started beside this one; SIGHUP reads the configuration again
  check-config  read and check the configuration, and say what is wrong with it
  version       print the version
  help          print this

The configuration is a JSON file: FILE, or the one that ROUTER_CONFIG names. ROUTER_NAME, ROUTER_LISTEN and
ROUTER_DISCOVERY stand above its name, listen and discovery, ROUTER_ADMIN_ADDR above its admin_addr; at a reload the
file's discovery counts. RUST_LOG sets what is logged (info if not set).
";

enum Command {
    Serve(Option<PathBuf>),
    CheckConfig(Option<PathBuf>),
    Version,
    Help,
}

fn command(mut args: Parser) -> Result<Command, lexopt::Error> {
    let (mut name, mut config) = (None, None);
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("config") => config = Some(PathBuf::from(args.value()?)),
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Version),
            Arg::Value(value) if name.is_none() => name = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match name.as_deref() {
        Some("serve") => Ok(Command::Serve(config)),
        Some("check-config") => Ok(Command::CheckConfig(config)),
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("unknown command {other:?}; `alderstile help` lists them").into()),
        None => Err("which command? `alderstile help` lists them".into()),
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let done = match command(Parser::from_env()) {
        Err(error) => Err(error.to_string()),
        Ok(Command::Help) => {
            print!("{HELP}");
            Ok(())
        }
        Ok(Command::Version) => {
            println!("alderstile {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(Command::CheckConfig(path)) => load(path.as_deref()).map(|config| {
            let shadow = if config.shadow.is_some() { ", a second instance watches" } else { "" };
            let (name, listen, classes) = (&config.name, config.listen, config.classes.len());
            let operators =
                config.admin_addr.map(|address| format!(", operators at {address}")).unwrap_or_default();
            println!("{name}: listens on {listen}{operators}, {classes} classes{shadow}: fine");
        }),
        Ok(Command::Serve(path)) => serve(path.as_deref()),
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
    match pass::receiver(&node.config()) {
        Ok(from) => from.into_iter().for_each(|from| {
            let going = node.clone();
            let go_on =
                move |passed, sockets| drop(spawn_local(session::resume(going.clone(), passed, sockets)));
            spawn_local(pass::receive(node.clone(), from, go_on));
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
fn serve(path: Option<&Path>) -> Result<(), String> {
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
                Config::taking_over(&before.hello, path, env).map_err(|error| error.to_string())?
            }
            None => load(path)?,
        };
        let node = Rc::new(Node::new(config));
        if let Some(address) = node.config().admin_addr {
            let listener =
                listener::bind(address).map_err(|error| format!("admin_addr {address}: {error}"))?;
            spawn_local(admin::run(node.operators.clone(), listener));
        }
        let way = Rc::new(Way::default());
        let accepting = match predecessor {
            None => {
                let listener = listen(&node)?;
                if let Some(peers) =
                    Peers::bind(&node).await.map_err(|error| format!("peer_listen: {error}"))?
                {
                    spawn_local(way.clone().run(node.clone(), peers));
                }
                spawn_local(upgrade::offer(node.clone()));
                spawn_local(listener::run(node.clone(), listener))
            }
            Some(before) => {
                node.take_over(&before.hello);
                spawn_local(way.clone().run_after(node.clone()));
                let ended = upgrade::follow(&node, before);
                let follower = node.clone();
                spawn_local(async move {
                    ended.await;
                    upgrade::offer(follower).await;
                });
                spawn_local(succeed(node.clone()))
            }
        };
        spawn_local(discovery::run(node.decisions.clone()));
        spawn_local(node.clone().run(move |data| way.tell(data)));
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = int.recv() => break,
                Some(()) = hangup.recv() => reload::reload(&node, path, env),
            }
        }
        shutdown::run(node, accepting).await;
        Ok(())
    })
}

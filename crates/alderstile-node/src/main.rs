//! The command line: arguments, log setup and exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use alderstile_node::commands::log::{Log, LogFormat};
use alderstile_node::commands::{CommandError, FilePaths, check_config, members, serve, settings};
use clap::{Parser, Subcommand};
use tracing::error;

/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code of `settings` for invalid input.
const INVALID_INPUT: u8 = 2;

/// alderstile balances long-lived connections over hosts
///
/// The configuration is the JSON file named by --config or ROUTER_CONFIG. ROUTER_NAME, ROUTER_LISTEN,
/// ROUTER_DISCOVERY and ROUTER_ADMIN_ADDR override its keys name, listen, discovery and admin_addr; a reload
/// uses the file's discovery. RUST_LOG sets the log filter (default: info).
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Format of the log on standard error
    #[arg(long, value_enum, default_value = "text", global = true)]
    log_format: LogFormat,
    /// Path of the configuration file
    #[arg(long, global = true)]
    config: Option<PathBuf>,
    /// Path of the cluster file; without it the node is not a member of a cluster
    #[arg(long, global = true)]
    cluster: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM or SIGINT
    ///
    /// On SIGTERM or SIGINT all clients are migrated, or handed over to a new process of this node. SIGHUP
    /// reloads the configuration.
    Serve,
    /// Validate the configuration and the cluster file
    CheckConfig,
    /// Show the members of the cluster as a running node sees them
    Members {
        /// Address of the node's admin server [default: the configuration's]
        #[arg(long)]
        admin: Option<SocketAddr>,
        /// Print the node's response, one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Show or change the configuration that all nodes of the cluster share
    Settings {
        /// Address of a node's admin server [default: the configuration's]
        #[arg(long, global = true)]
        admin: Option<SocketAddr>,
        #[command(subcommand)]
        command: SettingsCommand,
    },
    /// Print the version
    Version,
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Show a node's active version and its document
    Show,
    /// Propose a document (JSON with the keys settings and hosts_out) as the next version, and print its
    /// number
    Propose {
        /// Path of the document
        file: PathBuf,
        /// Version that the document must follow: the proposal is rejected if another one is the latest
        /// [default: the latest that the node knows]
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Initialize a voter's state before its very first start
    Init,
}

fn main() -> ExitCode {
    let args = Args::parse();
    // Writes the last lines when it is dropped.
    let log = Log::start(args.log_format);
    let files = FilePaths { config: args.config.as_deref(), cluster: args.cluster.as_deref() };
    match args.command {
        Command::Serve => finish(serve::run(files, &log).map(|()| String::new()), |_| FAILED),
        Command::CheckConfig => finish(check_config::run(files).map(with_newline), |_| FAILED),
        Command::Members { admin, json } => finish(members::run(files, admin, json), |_| FAILED),
        Command::Settings { admin, command } => {
            finish(run_settings(files, admin, command).map(with_newline), settings_exit_code)
        }
        Command::Version => {
            println!("alderstile {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

fn run_settings(
    files: FilePaths<'_>,
    admin: Option<SocketAddr>,
    command: SettingsCommand,
) -> Result<String, CommandError> {
    match command {
        SettingsCommand::Show => settings::show(files, admin),
        SettingsCommand::Propose { file, expect } => settings::propose(files, admin, file, expect),
        SettingsCommand::Init => settings::init(files),
    }
}

fn settings_exit_code(error: &CommandError) -> u8 {
    if error.is_invalid_input() { INVALID_INPUT } else { FAILED }
}

fn with_newline(text: String) -> String {
    text + "\n"
}

/// Prints a command's output, or logs its error; returns the exit code.
fn finish<E: std::error::Error>(result: Result<String, E>, exit_code: impl Fn(&E) -> u8) -> ExitCode {
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            error!("{error}");
            ExitCode::from(exit_code(&error))
        }
    }
}

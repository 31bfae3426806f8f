//! The command line: its arguments, the log, and the exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use alderstile_node::commands::{CommandError, Files, check_config, members, serve, settings};
use clap::{Parser, Subcommand, ValueEnum};
use tracing::error;
use tracing_subscriber::EnvFilter;

/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code of `settings` where the input is at fault.
const FAULTY_INPUT: u8 = 2;

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
    log_format: LogFormat,
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
enum LogFormat {
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
        what: SettingsCommand,
    },
    /// Print the version
    Version,
}

#[derive(Subcommand)]
enum SettingsCommand {
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
    start_log(args.log_format);
    let files = Files { config: args.config.as_deref(), cluster: args.cluster.as_deref() };
    match args.command {
        Command::Serve => finish(serve::run(files).map(|()| String::new()), |_| FAILED),
        Command::CheckConfig => finish(check_config::run(files).map(line), |_| FAILED),
        Command::Members { admin, json } => finish(members::run(files, admin, json), |_| FAILED),
        Command::Settings { admin, what } => {
            finish(run_settings(files, admin, what).map(line), settings_exit_code)
        }
        Command::Version => {
            println!("alderstile {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

fn start_log(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        // The platform's log has a time of its own.
        LogFormat::Text => log.with_ansi(false).without_time().init(),
        LogFormat::Json => log.json().init(),
    }
}

fn run_settings(
    files: Files<'_>,
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
    if error.is_faulty_input() { FAULTY_INPUT } else { FAILED }
}

fn line(text: String) -> String {
    text + "\n"
}

/// Prints what a command says, or logs why it failed.
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

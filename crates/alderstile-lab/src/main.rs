//! The command line.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use alderstile_lab::check::{Report, check};
use alderstile_lab::history::{self, History};
use alderstile_lab::processes::{self, Options};
use alderstile_lab::schedule::Plan;
use clap::{Parser, Subcommand, ValueEnum};
use tracing::error;
use tracing_subscriber::EnvFilter;

/// Plays failures to several processes of alderstile and checks what came of it
#[derive(Parser)]
#[command(version)]
struct Args {
    /// How log lines look, on standard error
    #[arg(long, value_enum, default_value = "text", global = true)]
    log_format: Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum On {
    /// Real processes on loopback addresses
    Processes,
}

#[derive(Subcommand)]
enum Command {
    /// Play a schedule and check what came of it
    ///
    /// Ends with 0 where all rules were kept, 1 where one was broken, 2 where nothing was run.
    Run {
        /// The schedule, a TOML file
        file: PathBuf,
        /// What to play it on
        #[arg(long, value_enum, default_value = "processes")]
        on: On,
        /// Stands above the file's seed
        #[arg(long)]
        seed: Option<u64>,
        /// Where the history and the nodes' logs are left
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        /// The nodes' program; without, the one beside this program
        #[arg(long)]
        program: Option<PathBuf>,
        /// A further argument for the nodes' program
        #[arg(long = "program-arg", allow_hyphen_values = true)]
        program_args: Vec<String>,
    },
    /// Check a history again
    Check {
        /// The history, a file of JSON lines
        file: PathBuf,
    },
    /// List the schedules in a folder
    List {
        /// The folder
        #[arg(default_value = "examples/lab")]
        folder: PathBuf,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let log =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    match args.log_format {
        Format::Text => log.with_ansi(std::io::stderr().is_terminal()).init(),
        Format::Json => log.json().init(),
    }
    match perform(args.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(what) => {
            error!("{what}");
            ExitCode::from(2)
        }
    }
}

/// Whether all rules were kept; an error where nothing was checked.
fn perform(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { file, on: On::Processes, seed, out, program, program_args } => {
            let plan = Plan::load(&file, seed).map_err(|error| error.to_string())?;
            let program = match program {
                Some(program) => program,
                None => processes::program_beside().map_err(|error| error.to_string())?,
            };
            std::fs::create_dir_all(&out).map_err(|error| format!("{}: {error}", out.display()))?;
            let path = out.join("history.jsonl");
            let history = History::create(&path).map_err(|error| format!("{}: {error}", path.display()))?;
            let history = Rc::new(history);
            let options = Options { program, args: program_args, logs: Some(out) };
            processes::run(&plan, &options, history.clone()).map_err(|error| error.to_string())?;
            history.finish().map_err(|error| format!("{}: {error}", path.display()))?;
            checked(&path)
        }
        Command::Check { file } => checked(&file),
        Command::List { folder } => list(&folder).map(|()| true),
    }
}

fn checked(path: &Path) -> Result<bool, String> {
    let report = check(&history::read(path).map_err(|error| error.to_string())?);
    print(&report, path);
    Ok(report.kept())
}

fn print(report: &Report, path: &Path) {
    let percent = |share: Option<f64>| share.map_or("-".to_owned(), |share| format!("{:.1}%", share * 100.0));
    let answers: Vec<String> = report.answers.iter().map(|(what, n)| format!("{n} {what}")).collect();
    println!("{} (seed {})", report.title, report.seed);
    println!("  {:<28} {}", "requests", report.requests);
    println!("  {:<28} {}", "answers", answers.join(", "));
    println!("  {:<28} {}", "without one in time", report.lost);
    println!("  {:<28} {}", "served, of all that wanted", percent(report.served));
    println!("  {:<28} {}", "in the worst second", percent(report.worst_second));
    let until = report
        .unserved_until_s
        .map_or("all the time".to_owned(), |s| format!("{s:.1} s after the first fault"));
    println!("  {:<28} {until}", "95% served again from");
    match report.breaches.first() {
        None => println!("  rules kept"),
        Some(first) => {
            println!("  RULES BROKEN: {} times, first at {first}", report.breaches.len());
            println!("  seed {}, history {}", report.seed, path.display());
            report.breaches.iter().skip(1).take(9).for_each(|breach| println!("  then at {breach}"));
        }
    }
}

fn list(folder: &Path) -> Result<(), String> {
    let failed = |error| format!("{}: {error}", folder.display());
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.extension().is_some_and(|kind| kind == "toml") {
            files.push(path);
        }
    }
    files.sort();
    for file in files {
        match Plan::load(&file, None) {
            Ok(plan) => {
                println!("{:<32} {} nodes, {} s: {}", file.display(), plan.nodes, plan.length_s, plan.title)
            }
            Err(error) => println!("{error}"),
        }
    }
    Ok(())
}

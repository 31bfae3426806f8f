//! The command line.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use alderstile_lab::check::{Report, Views, check};
use alderstile_lab::emulated::{self, Sums};
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
    /// Members in simulated time
    Emulated,
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
        Command::Run { file, on, seed, out, program, program_args } => {
            let plan = Plan::load(&file, seed).map_err(|error| error.to_string())?;
            let program = match (on, program) {
                (On::Emulated, _) => PathBuf::new(),
                (On::Processes, Some(program)) => program,
                (On::Processes, None) => processes::program_beside().map_err(|error| error.to_string())?,
            };
            std::fs::create_dir_all(&out).map_err(|error| format!("{}: {error}", out.display()))?;
            let path = out.join("history.jsonl");
            let history = History::create(&path).map_err(|error| format!("{}: {error}", path.display()))?;
            let history = Rc::new(history);
            if let On::Emulated = on {
                let sums = emulated::run(&plan, &history).map_err(|error| error.to_string())?;
                history.written().map_err(|error| format!("{}: {error}", path.display()))?;
                let kept = checked(&path)?;
                print_sums(&sums);
                return Ok(kept);
            }
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
    println!("{} (seed {})", report.title, report.seed);
    if report.requests > 0 {
        print_served(report);
    }

    if let Some(views) = &report.views {
        print_views(views);
    }
    match report.breaches.first() {
        None => println!("  rules kept"),
        Some(first) => {
            println!("  RULES BROKEN: {} times, first at {first}", report.breaches.len());
            println!("  seed {}, history {}", report.seed, path.display());
            report.breaches.iter().skip(1).take(9).for_each(|breach| println!("  then at {breach}"));
        }
    }
}

fn print_served(report: &Report) {
    let percent = |share: Option<f64>| share.map_or("-".to_owned(), |share| format!("{:.1}%", share * 100.0));
    let answers: Vec<String> = report.answers.iter().map(|(what, n)| format!("{n} {what}")).collect();
    println!("  {:<28} {}", "requests", report.requests);
    println!("  {:<28} {}", "answers", answers.join(", "));
    println!("  {:<28} {}", "without one in time", report.lost);
    println!("  {:<28} {}", "served, of all that wanted", percent(report.served));
    println!("  {:<28} {}", "in the worst second", percent(report.worst_second));
    let until = report
        .unserved_until_s
        .map_or("all the time".to_owned(), |s| format!("{s:.1} s after the first fault"));
    println!("  {:<28} {until}", "95% served again from");
}

fn print_views(views: &Views) {
    let row = |name: &str, spans: &[f64]| {
        if spans.is_empty() {
            return;
        }
        let (sum, most) = spans.iter().fold((0.0, 0.0f64), |(sum, most), span| (sum + span, most.max(*span)));
        let mean = sum / spans.len() as f64;
        let periods = |s: f64| s / views.period_s;
        println!(
            "  {name:<28} {mean:.3} s in the mean ({:.2} periods), {most:.3} s at most ({:.1}), of {}",
            periods(mean),
            periods(most),
            spans.len()
        );
    };
    row("a death suspected after", &views.suspected_s);
    row("known to all after", &views.known_s);
    println!(
        "  {:<28} {}, the longest for {:.3} s",
        "held dead though well", views.false_deaths, views.longest_false_s
    );
    println!("  {:<28} {:.3} s at most", "held dead after a disturbance", views.longest_after_s);
}

fn print_sums(sums: &Sums) {
    let each = |n: f64| n / sums.member_s;
    println!(
        "  {:<28} {:.0} bytes, {:.2} datagrams",
        "a member and second",
        each(sums.sent_bytes as f64),
        each(sums.sent as f64)
    );
    println!(
        "  {:<28} {} in {:.1} member-hours",
        "suspicions, refuted",
        format_args!("{}, {}", sums.suspected, sums.refuted),
        sums.member_s / 3600.0
    );
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

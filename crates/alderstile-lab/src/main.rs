//! The command line.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use alderstile_lab::check::{MembershipReport, Report, check};
use alderstile_lab::compare::{Figure, Row, compare};
use alderstile_lab::emulated::{self, Choice, Sums, Traffic};
use alderstile_lab::history::{self, History};
use alderstile_lab::measure::{self, Sizes};
use alderstile_lab::processes::{self, Options};
use alderstile_lab::scale::{self, Runs};
use alderstile_lab::schedule::Plan;
use alderstile_lab::{slopes, tables};
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
    /// Members, decisions, hosts and clients in simulated time
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
        /// What emulated nodes choose by: module, random, least, two, subset, oracle; module+subsets has that part on
        #[arg(long, default_value = "module")]
        choose: Choice,
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
    /// Play emulated schedules by several ways of choosing, at the same seeds
    ///
    /// Ends with 0, or 2 where nothing was compared.
    Compare {
        /// The schedules, TOML files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The ways; the first is what the others are held against
        #[arg(long, value_delimiter = ',', default_value = "module,random,least,two,subset,oracle")]
        choose: Vec<Choice>,
        /// So many seeds, from the file's own on
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
        seeds: u64,
    },
    /// Measure members at several sizes: hollow nodes beside real ones
    ///
    /// Ends with 0, or 2 where nothing was measured. Tables are left as NAME.csv and NAME.md.
    Scale {
        /// What is to be done at which sizes, a TOML file
        file: PathBuf,
        /// Only the sizes of so many members
        #[arg(long)]
        members: Option<usize>,
        /// Where tables are left
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        /// The name of the tables
        #[arg(long, default_value = "scale")]
        name: String,
        /// The nodes' program; without, the one beside this program
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measure one real node at several sizes: idle connections, lines, placements, lists, a return of all clients
    ///
    /// Ends with 0, or 2 where something could not be measured; what was measured until then stays.
    Measure {
        /// A run of seconds, for a look
        #[arg(long)]
        short: bool,
        /// Where tables are left
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        /// The name of the tables
        #[arg(long, default_value = "node")]
        name: String,
        /// The node's program; without, the one beside this program
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Draw lines through measured tables: their slopes as a table, and charts
    Slopes {
        /// Tables of scale and measure, CSV files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Where slopes.md and the charts are left
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
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
        Command::Run { file, on, seed, choose, out, program, program_args } => {
            let plan = Plan::load(&file, seed).map_err(|error| error.to_string())?;
            let program = match (on, program) {
                (On::Emulated, _) => PathBuf::new(),
                (On::Processes, Some(program)) => program,
                (On::Processes, None) => processes::default_program().map_err(|error| error.to_string())?,
            };
            std::fs::create_dir_all(&out).map_err(|error| format!("{}: {error}", out.display()))?;
            let path = out.join("history.jsonl");
            let history = History::create(&path).map_err(|error| format!("{}: {error}", path.display()))?;
            let history = Rc::new(history);
            if let On::Emulated = on {
                let sums = emulated::run(&plan, &choose, &history).map_err(|error| error.to_string())?;
                history.flush().map_err(|error| format!("{}: {error}", path.display()))?;
                let kept = checked(&path)?;
                print_sums(&sums);
                return Ok(kept);
            }
            let options = Options { program, args: program_args, logs: Some(out) };
            processes::run(&plan, &options, history.clone()).map_err(|error| error.to_string())?;
            history.finish().map_err(|error| format!("{}: {error}", path.display()))?;
            checked(&path)
        }
        Command::Compare { files, choose, seeds } => {
            for file in &files {
                let (plan, rows) = compare(file, &choose, seeds).map_err(|error| error.to_string())?;
                println!("{} ({} seeds from {})", plan.title, seeds, plan.seed);
                print_rows(&rows);
            }
            Ok(true)
        }
        Command::Scale { file, members, out, name, program } => {
            let mut runs = Runs::load(&file).map_err(|error| error.to_string())?;
            runs.sizes.retain(|size| members.is_none_or(|members| members == size.members));
            let real = runs.sizes.iter().any(|size| size.real > 0);
            let program = match program {
                Some(program) => program,
                None if real => processes::default_program().map_err(|error| error.to_string())?,
                None => PathBuf::new(),
            };
            let mut rows = Vec::new();
            let mut written = Ok(());
            scale::run(&runs, &program, &scale::no_parts(), |_, more| {
                rows.extend_from_slice(more);
                // After each size: what comes later may be interrupted.
                written = tables::write(&out, &name, &rows);
            })
            .map_err(|error| error.to_string())?;
            written.map_err(|error| format!("{}: {error}", out.display()))?;
            print!("{}", tables::markdown(&rows));
            if rows.is_empty() { Err("no size was measured".to_owned()) } else { Ok(true) }
        }
        Command::Measure { short, out, name, program } => {
            let program =
                program.map_or_else(processes::default_program, Ok).map_err(|error| error.to_string())?;
            let sizes = if short { Sizes::short() } else { Sizes::usual() };
            let mut rows = Vec::new();
            let mut written = Ok(());
            let done = measure::run(&sizes, &program, |more| {
                rows.extend_from_slice(more);
                written = tables::write(&out, &name, &rows);
            });
            print!("{}", tables::markdown(&rows));
            done.map_err(|error| error.to_string())
                .and(written.map_err(|error| format!("{}: {error}", out.display())))
                .map(|()| true)
        }
        Command::Slopes { files, out } => {
            let mut rows = Vec::new();
            for file in &files {
                rows.extend(tables::read(file).map_err(|error| error.to_string())?);
            }
            let failed = |error| format!("{}: {error}", out.display());
            std::fs::create_dir_all(&out).map_err(failed)?;
            slopes::charts(&out, &rows).map_err(|error| error.to_string())?;
            let table = slopes::table(&rows);
            std::fs::write(out.join("slopes.md"), &table).map_err(failed)?;
            print!("{table}");
            Ok(true)
        }
        Command::Check { file } => checked(&file),
        Command::List { folder } => list(&folder).map(|()| true),
    }
}

fn checked(path: &Path) -> Result<bool, String> {
    let report = check(&history::read(path).map_err(|error| error.to_string())?);
    print(&report, path);
    Ok(report.passed())
}

fn print(report: &Report, path: &Path) {
    println!("{} (seed {})", report.title, report.seed);
    if report.requests > 0 {
        print_served(report);
    }

    if let Some(membership) = &report.membership {
        print_membership(membership);
    }
    match report.violations.first() {
        None => println!("  rules kept"),
        Some(first) => {
            println!("  RULES BROKEN: {} times, first at {first}", report.violations.len());
            println!("  seed {}, history {}", report.seed, path.display());
            report.violations.iter().skip(1).take(9).for_each(|breach| println!("  then at {breach}"));
        }
    }
}

fn print_served(report: &Report) {
    let percent = |share: Option<f64>| share.map_or("-".to_owned(), |share| format!("{:.1}%", share * 100.0));
    let answers: Vec<String> = report.answers.iter().map(|(what, n)| format!("{n} {what}")).collect();
    println!("  {:<28} {}", "requests", report.requests);
    println!("  {:<28} {}", "answers", answers.join(", "));
    println!("  {:<28} {}", "without one in time", report.unanswered);
    println!("  {:<28} {}", "served, of all that wanted", percent(report.served));
    println!("  {:<28} {}", "in the worst second", percent(report.worst_second));
    let until = report
        .unserved_until_s
        .map_or("all the time".to_owned(), |s| format!("{s:.1} s after the first fault"));
    println!("  {:<28} {until}", "95% served again from");
}

fn print_membership(membership: &MembershipReport) {
    let row = |name: &str, spans: &[f64]| {
        if spans.is_empty() {
            return;
        }
        let (sum, most) = spans.iter().fold((0.0, 0.0f64), |(sum, most), span| (sum + span, most.max(*span)));
        let mean = sum / spans.len() as f64;
        let periods = |s: f64| s / membership.period_s;
        println!(
            "  {name:<28} {mean:.3} s in the mean ({:.2} periods), {most:.3} s at most ({:.1}), of {}",
            periods(mean),
            periods(most),
            spans.len()
        );
    };
    row("a death suspected after", &membership.suspicion_delays_s);
    row("known to all after", &membership.detection_delays_s);
    println!(
        "  {:<28} {}, the longest for {:.3} s",
        "held dead though well", membership.false_positives, membership.longest_false_positive_s
    );
    println!("  {:<28} {:.3} s at most", "held dead after a disturbance", membership.longest_recovery_s);
}

fn print_rows(rows: &[Row]) {
    println!(
        "  {:<16} {:>16} {:>18} {:>8} {:>8} {:>8} {:>9} {:>8} {:>7} {:>6}",
        "",
        "served, %",
        "against the first",
        "mean s",
        "p99 s",
        "busiest",
        "declined",
        "further",
        "moves",
        "falls"
    );
    for row in rows {
        let mean = |of: fn(&Traffic) -> f64| Figure::of(&row.figures(of)).mean;
        let percent = |figure: Figure| match figure.half {
            Some(half) => format!("{:.2} ±{:.2}", figure.mean * 100.0, half * 100.0),
            None => format!("{:.2}", figure.mean * 100.0),
        };
        let against = rows.first().filter(|first| first.way != row.way);
        println!(
            "  {:<16} {:>16} {:>18} {:>8.3} {:>8.3} {:>8.3} {:>9.0} {:>8.0} {:>7.0} {:>6.1}",
            row.way.to_string(),
            percent(Figure::of(&row.figures(Traffic::share))),
            against.map_or(String::new(), |first| percent(row.gain(first))),
            mean(|t| t.answer_s().0),
            mean(|t| t.answer_s().1),
            mean(Traffic::busiest_over_due),
            mean(|t| t.declined as f64),
            mean(|t| t.further as f64),
            mean(|t| t.moves as f64),
            mean(|t| t.falls as f64),
        );
    }
}

fn print_traffic(traffic: &Traffic) {
    let (mean, most) = traffic.answer_s();
    println!("  {:<28} {} at most, {} at the end", "connections", traffic.most_open, traffic.open);
    println!(
        "  {:<28} {:.3} in the mean, {:.3} at the end",
        "busiest host over its due",
        traffic.busiest_over_due(),
        traffic.busiest_last
    );
    println!("  {:<28} {:.1}", "hosts in use at a node", traffic.used.0 / traffic.used.1.max(1) as f64);
    println!("  {:<28} {mean:.3} s in the mean, {most:.3} s for 99 of 100", "answers");
    println!(
        "  {:<28} {} declined, {} further attempts, {} moves",
        "clients", traffic.declined, traffic.further, traffic.moves
    );
    println!(
        "  {:<28} {:.2} of what they bear at most, {:.2} in the mean, {} fell",
        "asked of cold hosts",
        traffic.cold_peak,
        traffic.cold_asked.0 / traffic.cold_asked.1.max(1.0),
        traffic.falls
    );
}

fn print_sums(sums: &Sums) {
    sums.traffic.iter().for_each(print_traffic);
    if sums.member_s == 0.0 {
        return;
    }
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
            // Scale runs have a form of their own.
            Err(error) => match Runs::load(&file) {
                Ok(runs) => {
                    let sizes: Vec<String> = runs.sizes.iter().map(|size| size.members.to_string()).collect();
                    println!("{:<32} scale, {} members: {}", file.display(), sizes.join(", "), runs.title);
                }
                Err(_) => println!("{error}"),
            },
        }
    }
    Ok(())
}

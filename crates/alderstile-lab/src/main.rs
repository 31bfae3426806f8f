//! Command line of the fault-injection test bench.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use alderstile_lab::check::{MembershipReport, Report, check};
use alderstile_lab::compare::{Estimate, StrategyResults, compare};
use alderstile_lab::emulated::{self, RunMetrics, StrategySpec, TrafficMetrics};
use alderstile_lab::history::{self, History};
use alderstile_lab::measure::{self, MeasurePlan};
use alderstile_lab::processes::{self, Options};
use alderstile_lab::scale::{self, ScalePlan};
use alderstile_lab::schedule::Plan;
use alderstile_lab::{slopes, tables};
use clap::{Parser, Subcommand, ValueEnum};
use tracing::error;
use tracing_subscriber::EnvFilter;

/// Injects faults into several processes of alderstile and checks their behaviour
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Format of log lines on standard error
    #[arg(long, value_enum, default_value = "text", global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum Target {
    /// Real processes on loopback addresses
    Processes,
    /// Emulated nodes, hosts and clients in simulated time
    Emulated,
}

#[derive(Subcommand)]
enum Command {
    /// Run a schedule and check its history
    ///
    /// Exits with 0 if no rule was violated, 1 if one was, 2 if an error occurred.
    Run {
        /// Schedule, a TOML file
        file: PathBuf,
        /// What the schedule is run on
        #[arg(long = "on", value_name = "ON", value_enum, default_value = "processes")]
        target: Target,
        /// Seed; overrides that of the file
        #[arg(long)]
        seed: Option<u64>,
        /// Load-balancing strategy of emulated nodes: module, random, least, two, subset, oracle;
        /// module+subsets also enables a feature
        #[arg(long = "choose", value_name = "CHOOSE", default_value = "module")]
        strategy: StrategySpec,
        /// Directory for the history and the logs of the nodes
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        /// Executable of the nodes; by default the one in the directory of this executable
        #[arg(long)]
        program: Option<PathBuf>,
        /// Additional argument for the nodes; may be given several times
        #[arg(long = "program-arg", allow_hyphen_values = true)]
        program_args: Vec<String>,
    },
    /// Compare load-balancing strategies on emulated schedules, at the same seeds
    ///
    /// Exits with 0, or 2 if an error occurred.
    Compare {
        /// Schedules, TOML files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Strategies; the first is the baseline for the others
        #[arg(
            long = "choose",
            value_name = "CHOOSE",
            value_delimiter = ',',
            default_value = "module,random,least,two,subset,oracle"
        )]
        strategies: Vec<StrategySpec>,
        /// Number of consecutive seeds, starting at that of the file
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
        seeds: u64,
    },
    /// Measure membership at several cluster sizes, with hollow and real nodes
    ///
    /// Exits with 0, or 2 if an error occurred or nothing was measured. Tables are written to NAME.csv and
    /// NAME.md.
    Scale {
        /// Plan of the runs and their sizes, a TOML file
        file: PathBuf,
        /// Run only the sizes with this number of members
        #[arg(long)]
        members: Option<usize>,
        /// Directory for the tables
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        /// File name of the tables, without extension
        #[arg(long, default_value = "scale")]
        name: String,
        /// Executable of the nodes; by default the one in the directory of this executable
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measure one real node at several sizes: idle connections, lines, placements, endpoint lists,
    /// reconnects of all clients
    ///
    /// Exits with 0, or 2 if a measurement failed; the results before it are kept.
    Measure {
        /// Use small sizes, for a run of a few seconds
        #[arg(long)]
        short: bool,
        /// Directory for the tables
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        /// File name of the tables, without extension
        #[arg(long, default_value = "node")]
        name: String,
        /// Executable of the node; by default the one in the directory of this executable
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Fit lines to measured tables; write a table of their slopes, and charts
    Slopes {
        /// Tables of the commands scale and measure, CSV files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Directory for slopes.md and the charts
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
    },
    /// Check an existing history
    Check {
        /// History, a file of JSON lines
        file: PathBuf,
    },
    /// List the schedules in a directory
    List {
        /// Directory
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
        LogFormat::Text => log.with_ansi(std::io::stderr().is_terminal()).init(),
        LogFormat::Json => log.json().init(),
    }
    match execute(args.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => {
            error!("{message}");
            ExitCode::from(2)
        }
    }
}

/// Executes a command. Returns whether all checks passed, or the message of an error.
///
/// Commands that check nothing return `true`.
fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { file, target, seed, strategy, out, program, program_args } => {
            let plan = Plan::load(&file, seed).map_err(|error| error.to_string())?;
            let program = match (target, program) {
                (Target::Emulated, _) => PathBuf::new(),
                (Target::Processes, Some(program)) => program,
                (Target::Processes, None) => {
                    processes::default_program().map_err(|error| error.to_string())?
                }
            };
            std::fs::create_dir_all(&out).map_err(|error| format!("{}: {error}", out.display()))?;
            let path = out.join("history.jsonl");
            let history = History::create(&path).map_err(|error| format!("{}: {error}", path.display()))?;
            let history = Rc::new(history);
            if let Target::Emulated = target {
                let metrics = emulated::run(&plan, &strategy, &history).map_err(|error| error.to_string())?;
                history.flush().map_err(|error| format!("{}: {error}", path.display()))?;
                let passed = check_file(&path)?;
                print_run_metrics(&metrics);
                return Ok(passed);
            }
            let options = Options { program, args: program_args, logs: Some(out) };
            processes::run(&plan, &options, history.clone()).map_err(|error| error.to_string())?;
            history.finish().map_err(|error| format!("{}: {error}", path.display()))?;
            check_file(&path)
        }
        Command::Compare { files, strategies, seeds } => {
            for file in &files {
                let (plan, rows) = compare(file, &strategies, seeds).map_err(|error| error.to_string())?;
                println!("{} ({} seeds from {})", plan.title, seeds, plan.seed);
                print_comparison(&rows);
            }
            Ok(true)
        }
        Command::Scale { file, members, out, name, program } => {
            let mut plan = ScalePlan::load(&file).map_err(|error| error.to_string())?;
            plan.sizes.retain(|size| members.is_none_or(|members| members == size.members));
            let real = plan.sizes.iter().any(|size| size.real > 0);
            let program = match program {
                Some(program) => program,
                None if real => processes::default_program().map_err(|error| error.to_string())?,
                None => PathBuf::new(),
            };
            let mut rows = Vec::new();
            let mut write_result = Ok(());
            scale::run(&plan, &program, &scale::no_extra_cores(), |_, new_rows| {
                rows.extend_from_slice(new_rows);
                // Written after each size, as a later one may be interrupted.
                write_result = tables::write(&out, &name, &rows);
            })
            .map_err(|error| error.to_string())?;
            write_result.map_err(|error| format!("{}: {error}", out.display()))?;
            print!("{}", tables::markdown(&rows));
            if rows.is_empty() { Err("no size was measured".to_owned()) } else { Ok(true) }
        }
        Command::Measure { short, out, name, program } => {
            let program =
                program.map_or_else(processes::default_program, Ok).map_err(|error| error.to_string())?;
            let sizes = if short { MeasurePlan::short() } else { MeasurePlan::full() };
            let mut rows = Vec::new();
            let mut write_result = Ok(());
            let result = measure::run(&sizes, &program, |new_rows| {
                rows.extend_from_slice(new_rows);
                write_result = tables::write(&out, &name, &rows);
            });
            print!("{}", tables::markdown(&rows));
            result
                .map_err(|error| error.to_string())
                .and(write_result.map_err(|error| format!("{}: {error}", out.display())))
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
        Command::Check { file } => check_file(&file),
        Command::List { folder } => list_schedules(&folder).map(|()| true),
    }
}

fn check_file(path: &Path) -> Result<bool, String> {
    let report = check(&history::read(path).map_err(|error| error.to_string())?);
    print_report(&report, path);
    Ok(report.passed())
}

fn print_report(report: &Report, path: &Path) {
    println!("{} (seed {})", report.title, report.seed);
    if report.requests > 0 {
        print_request_summary(report);
    }

    if let Some(membership) = &report.membership {
        print_membership_summary(membership);
    }
    match report.violations.first() {
        None => println!("  no rule violated"),
        Some(first) => {
            println!("  RULES VIOLATED: {} times, first at {first}", report.violations.len());
            println!("  seed {}, history {}", report.seed, path.display());
            report.violations.iter().skip(1).take(9).for_each(|violation| println!("  then at {violation}"));
        }
    }
}

fn print_request_summary(report: &Report) {
    let percent = |share: Option<f64>| share.map_or("-".to_owned(), |share| format!("{:.1}%", share * 100.0));
    let answers: Vec<String> = report.answers.iter().map(|(what, n)| format!("{n} {what}")).collect();
    println!("  {:<28} {}", "requests", report.requests);
    println!("  {:<28} {}", "answers", answers.join(", "));
    println!("  {:<28} {}", "unanswered in time", report.unanswered);
    println!("  {:<28} {}", "served share of demand", percent(report.served));
    println!("  {:<28} {}", "in the worst second", percent(report.worst_second));
    let recovery = report
        .unserved_until_s
        .map_or("throughout".to_owned(), |s| format!("from {s:.1} s after the first fault"));
    println!("  {:<28} {recovery}", "at least 95% served");
}

fn print_membership_summary(membership: &MembershipReport) {
    let print_delays = |name: &str, spans: &[f64]| {
        if spans.is_empty() {
            return;
        }
        let (sum, max) = spans.iter().fold((0.0, 0.0f64), |(sum, max), span| (sum + span, max.max(*span)));
        let mean = sum / spans.len() as f64;
        let periods = |s: f64| s / membership.period_s;
        println!(
            "  {name:<28} mean {mean:.3} s ({:.2} periods), maximum {max:.3} s ({:.1}), of {}",
            periods(mean),
            periods(max),
            spans.len()
        );
    };
    print_delays("death suspected after", &membership.suspicion_delays_s);
    print_delays("death known to all after", &membership.detection_delays_s);
    println!(
        "  {:<28} {}, longest {:.3} s",
        "false positives", membership.false_positives, membership.longest_false_positive_s
    );
    println!("  {:<28} maximum {:.3} s", "recovery after a disturbance", membership.longest_recovery_s);
}

fn print_comparison(rows: &[StrategyResults]) {
    println!(
        "  {:<16} {:>16} {:>18} {:>8} {:>8} {:>8} {:>9} {:>8} {:>7} {:>6}",
        "",
        "served, %",
        "gain over first, %",
        "mean s",
        "p99 s",
        "busiest",
        "declined",
        "further",
        "moves",
        "falls"
    );
    for row in rows {
        let mean = |of: fn(&TrafficMetrics) -> f64| Estimate::from_values(&row.traffic_values(of)).mean;
        let percent = |figure: Estimate| match figure.half_width {
            Some(half_width) => format!("{:.2} ±{:.2}", figure.mean * 100.0, half_width * 100.0),
            None => format!("{:.2}", figure.mean * 100.0),
        };
        let gain = rows.first().filter(|first| first.strategy != row.strategy);
        println!(
            "  {:<16} {:>16} {:>18} {:>8.3} {:>8.3} {:>8.3} {:>9.0} {:>8.0} {:>7.0} {:>6.1}",
            row.strategy.to_string(),
            percent(Estimate::from_values(&row.traffic_values(TrafficMetrics::served_share))),
            gain.map_or(String::new(), |first| percent(row.served_share_gain(first))),
            mean(|t| t.setup_latency_s().0),
            mean(|t| t.setup_latency_s().1),
            mean(TrafficMetrics::mean_imbalance),
            mean(|t| t.unserved_requests as f64),
            mean(|t| t.retries as f64),
            mean(|t| t.migrations as f64),
            mean(|t| t.cold_overloads as f64),
        );
    }
}

fn print_traffic(traffic: &TrafficMetrics) {
    let (mean, p99) = traffic.setup_latency_s();
    println!(
        "  {:<28} maximum {}, final {}",
        "connections", traffic.peak_open_connections, traffic.open_connections
    );
    println!(
        "  {:<28} mean {:.3}, final {:.3}",
        "imbalance of busiest host",
        traffic.mean_imbalance(),
        traffic.last_imbalance
    );
    println!(
        "  {:<28} {:.1}",
        "hosts in use per node",
        traffic.hosts_used.0 / traffic.hosts_used.1.max(1) as f64
    );
    println!("  {:<28} mean {mean:.3} s, 99th percentile {p99:.3} s", "setup latency");
    println!(
        "  {:<28} {} unserved requests, {} retries, {} migrations",
        "clients", traffic.unserved_requests, traffic.retries, traffic.migrations
    );
    println!(
        "  {:<28} maximum {:.2}, mean {:.2} of the load limit, {} failed",
        "load of cold hosts",
        traffic.cold_load_peak,
        traffic.cold_load.0 / traffic.cold_load.1.max(1.0),
        traffic.cold_overloads
    );
}

fn print_run_metrics(metrics: &RunMetrics) {
    metrics.traffic.iter().for_each(print_traffic);
    if metrics.member_seconds == 0.0 {
        return;
    }
    let per_member_second = |n: f64| n / metrics.member_seconds;
    println!(
        "  {:<28} {:.0} bytes, {:.2} datagrams",
        "per member and second",
        per_member_second(metrics.bytes_sent as f64),
        per_member_second(metrics.datagrams_sent as f64)
    );
    println!(
        "  {:<28} {} in {:.1} member-hours",
        "suspicions, refutations",
        format_args!("{}, {}", metrics.suspicions, metrics.refutations),
        metrics.member_seconds / 3600.0
    );
}

fn list_schedules(folder: &Path) -> Result<(), String> {
    let failed = |error| format!("{}: {error}", folder.display());
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            files.push(path);
        }
    }
    files.sort();
    for file in files {
        match Plan::load(&file, None) {
            Ok(plan) => {
                println!("{:<32} {} nodes, {} s: {}", file.display(), plan.nodes, plan.length_s, plan.title)
            }
            // Plans of scale runs have a separate schema.
            Err(error) => match ScalePlan::load(&file) {
                Ok(plan) => {
                    let sizes: Vec<String> = plan.sizes.iter().map(|size| size.members.to_string()).collect();
                    println!("{:<32} scale, {} members: {}", file.display(), sizes.join(", "), plan.title);
                }
                Err(_) => println!("{error}"),
            },
        }
    }
    Ok(())
}

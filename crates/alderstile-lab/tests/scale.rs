//! Scale runs with hollow and real nodes, measurements of one node, and the tables, fits and charts of their
//! results.

mod support;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use alderstile::types::Micros;
use alderstile_cluster::membership::{DatagramCodec, Membership, MembershipConfig};
use alderstile_lab::fit::Fit;
use alderstile_lab::hollow::{ExtraCore, HollowConfig, HollowNodes, Network, NodeSpec, ObservedChange};
use alderstile_lab::measure::{self, MeasurePlan};
use alderstile_lab::real::parse_counters;
use alderstile_lab::scale::{self, ScalePlan};
use alderstile_lab::slopes;
use alderstile_lab::tables::{self, Row};
use support::{TempDir, lab, node, remaining_processes};

const SMALL_PLAN: &str = r#"
title = "a test"
seed = 3
sizes = [{ members = 16, real = 2 }]
control = 2
zones = 4
zones_of_first_region = 2
period_ms = 100
suspicion = 3.0
threads = 2
quiet_s = 2.0
deaths = 2
news = 2
zone = true
parted_s = 6.0
most_s = 90.0
"#;

#[test]
fn hollow_and_real_nodes_agree_after_deaths_a_zone_loss_and_a_partition() {
    let plan = ScalePlan::parse("test", SMALL_PLAN).expect("a valid plan");
    assert!(!plan.start_joined, "nodes start with the seeds only");
    let mut rows = Vec::new();
    scale::run(&plan, &node(), &scale::no_extra_cores(), |_, new_rows| rows.extend_from_slice(new_rows))
        .expect("a run");
    let of = |phase: &str, figure: &str| {
        let row = rows.iter().find(|row| row.phase == phase && row.figure == figure);
        row.unwrap_or_else(|| panic!("{phase}: {figure}: not in {rows:#?}"))
    };
    for phase in ["start of all", "death", "zone lost", "zone back", "regions joined"] {
        assert_eq!(of(phase, "real nodes that did not know in time").worst, 0.0, "{phase}");
    }
    for phase in ["news", "death", "start", "zone lost", "zone back"] {
        assert_eq!(of(phase, "pairs not known in time").worst, 0.0, "{phase}");
        assert!(of(phase, "all know after (periods)").worst > 0.0, "{phase}");
    }
    assert!(of("regions joined", "all hollow nodes see all after (s)").worst > 0.0);
    assert_eq!(of("regions parted", "pairs that still held each other alive").worst, 0.0);
    // Real and hollow nodes run the same protocol, so they send similar amounts.
    let hollow = of("quiet", "bytes out a node and second");
    let real = of("quiet", "bytes out a real node and second");
    assert_eq!((hollow.samples, real.samples), (14, 2));
    assert!((0.5..2.0).contains(&(real.mean / hollow.mean)), "{real:?} {hollow:?}");
    // Only this test's processes count: other tests of this process start nodes at the same time.
    let run_dir_prefix = format!("alderstile-lab-{}-10016", std::process::id());
    assert_eq!(remaining_processes(&run_dir_prefix), Vec::<String>::new());
}

#[test]
fn measurement_covers_each_size_and_leaves_no_processes() {
    let mut rows = Vec::new();
    measure::run(&MeasurePlan::short(), &node(), |new_rows| rows.extend_from_slice(new_rows))
        .expect("a complete measurement");
    let of = |size: f64, phase: &str, figure: &str| {
        let row =
            rows.iter().find(|r| (r.size, r.phase.as_str(), r.figure.as_str()) == (size, phase, figure));
        row.unwrap_or_else(|| panic!("{size} {phase}: {figure}: not in {rows:#?}")).mean
    };
    // Two descriptors per connection, independent of their number.
    let (few, many) = (of(50.0, "idle", "descriptors"), of(200.0, "idle", "descriptors"));
    assert_eq!(many - few, 300.0, "{few} {many}");
    assert!(of(200.0, "idle", "memory (KB)") > of(50.0, "idle", "memory (KB)"));
    for size in [1.0, 50.0] {
        assert!(of(size, "lines", "processor time a delivery (us)") > 0.0);
    }
    for hosts in [5.0, 20.0] {
        assert!(of(hosts, "placement", "processor time each (us)") > 0.0);
        assert!(of(hosts, "list", "taken in after (ms)") > 0.0);
    }
    assert_eq!(of(100.0, "return of all", "not served after a minute"), 0.0);
    assert!(
        of(100.0, "return of all", "times turned away or cut off") >= 100.0,
        "all clients were disconnected"
    );
    let run_dir_prefix = format!("alderstile-lab-{}-200", std::process::id());
    assert_eq!(remaining_processes(&run_dir_prefix), Vec::<String>::new());
}

#[test]
fn slopes_are_listed_with_their_points_and_charted() {
    let at = |size: f64, value: f64| Row::single(size, "idle", "memory (KB)", value);
    let rows = [at(1_000.0, 5_500.0), at(100.0, 1_000.0), at(500.0, 3_000.0)];
    let table = slopes::table(&rows);
    assert!(table.contains("| connections | 100: 1000; 500: 3000; 1000: 5500 | 500 | 5 | 0 |"), "{table}");
    let out = TempDir::new();
    assert_eq!(slopes::charts(&out.0, &rows).expect("drawn"), ["node-memory.svg"]);
    let drawn = std::fs::read_to_string(out.0.join("node-memory.svg")).expect("a file");
    assert!(drawn.starts_with("<svg") && drawn.contains("connections"));
}

/// An extra core that sends a datagram to the other node every 50 ms and answers nothing.
struct PeriodicSender {
    address: SocketAddr,
    peer: SocketAddr,
    next_send: Micros,
    received: Arc<AtomicU64>,
}

impl ExtraCore for PeriodicSender {
    fn address(&self) -> SocketAddr {
        self.address
    }
    fn next_timeout(&self) -> Micros {
        self.next_send
    }
    fn handle_timeout(&mut self, now: Micros, _: &mut Membership) -> Vec<(SocketAddr, Vec<u8>)> {
        self.next_send = now + Micros(50_000);
        vec![(self.peer, b"ten bytes.".to_vec())]
    }
    fn handle_datagram(
        &mut self,
        _: Micros,
        from: SocketAddr,
        bytes: &[u8],
        members: &mut Membership,
    ) -> Vec<(SocketAddr, Vec<u8>)> {
        assert!(from == self.peer && bytes == b"ten bytes." && members.live_count() >= 1);
        self.received.fetch_add(1, Ordering::Relaxed);
        Vec::new()
    }
}

#[test]
fn extra_core_uses_its_own_socket_and_partitioned_regions_receive_nothing() {
    let at = |node: usize, port: u16| -> SocketAddr {
        let last = 1 + node;
        format!("127.99.{}.{last}:{port}", std::process::id() % 200).parse().expect("an address")
    };
    let received = Arc::new(AtomicU64::new(0));
    let regions = (0..2u8).flat_map(|n| [(at(n.into(), 7_946), n), (at(n.into(), 7_947), n)]).collect();
    let network = Network::new(regions);
    let received_by_core = received.clone();
    let config = HollowConfig {
        membership: MembershipConfig::with_period(Micros(50_000)),
        codec: DatagramCodec::new("test", &[vec![7; 32]]).expect("a key"),
        seeds: vec![at(0, 7_946)],
        network: network.clone(),
        seed: 1,
        known_nodes: Arc::default(),
        extra_cores: Arc::new(move |spec: &NodeSpec| {
            let (address, peer) = (at(spec.number, 7_947), at(1 - spec.number, 7_947));
            Some(Box::new(PeriodicSender {
                address,
                peer,
                next_send: Micros(0),
                received: received_by_core.clone(),
            }))
        }),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let hollows = HollowNodes::new(2, &config).expect("threads");
        for number in 0..2 {
            let name = format!("n{number}");
            hollows.start(NodeSpec { number, name, zone: "a".to_owned(), address: at(number, 7_946) });
        }
        let wait_until = async |what: &str, done: &dyn Fn(&BTreeMap<usize, usize>) -> bool| {
            for _ in 0..400 {
                tokio::time::sleep(Duration::from_millis(25)).await;
                let samples = hollows.sample().await;
                let nodes = samples.iter().flat_map(|samples| &samples.nodes);
                let counts = nodes.map(|sample| (sample.number, sample.stats.alive)).collect();
                if done(&counts) {
                    return;
                }
            }
            panic!("{what}: timed out after 10 s");
        };
        wait_until("both nodes know each other", &|counts| counts.values().eq(&[2, 2])).await;
        wait_until("the extra cores receive datagrams", &|_| received.load(Ordering::Relaxed) > 3).await;
        hollows.set_config_digest(0, 77).await;
        let mut observations = Vec::new();
        for _ in 0..400 {
            tokio::time::sleep(Duration::from_millis(25)).await;
            observations.extend(hollows.take_observations().await);
            if observations.iter().any(|seen| seen.change == ObservedChange::ConfigDigest(77)) {
                break;
            }
        }
        assert!(
            observations
                .iter()
                .any(|s| (s.observer, s.subject, s.change) == (1, 0, ObservedChange::ConfigDigest(77))),
            "{observations:?}"
        );
        network.set_partitioned(true);
        wait_until("each node considers the other dead", &|counts| counts.values().eq(&[1, 1])).await;
        let before = received.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(received.load(Ordering::Relaxed), before, "partitioned regions receive nothing");
        network.set_partitioned(false);
        wait_until("both nodes know each other again", &|counts| counts.values().eq(&[2, 2])).await;
        hollows.kill(1);
        wait_until("one node remains", &|counts| counts.len() == 1).await;
    });
}

#[test]
fn invalid_plan_is_rejected_with_its_key() {
    for (from, to, key) in [
        ("members = 16", "members = 1", "sizes[0].members"),
        ("real = 2", "real = 7", "sizes[0].real"),
        ("deaths = 2", "deaths = 6", "deaths"),
        ("news = 2", "news = 9", "news"),
        ("zones = 4", "zones = 0", "zones"),
        ("period_ms = 100", "period_ms = 1", "period_ms"),
        ("suspicion = 3.0", "suspicion = nan", "suspicion"),
        ("threads = 2", "threads = 0", "threads"),
        ("quiet_s = 2.0", "quiet_s = -1.0", "quiet_s"),
        ("most_s = 90.0", "most_s = inf", "most_s"),
        ("seed = 3", "seed = 3\nwhat = 1", "what"),
    ] {
        assert!(SMALL_PLAN.contains(from), "{from}");
        let error =
            ScalePlan::parse("f.toml", &SMALL_PLAN.replace(from, to)).expect_err("rejected").to_string();
        assert!(error.starts_with("f.toml: ") && error.contains(key), "{to}: {error}");
    }
}

#[test]
fn interrupt_ends_the_run_keeps_measured_rows_and_leaves_no_processes() {
    let out = TempDir::new();
    let file = out.0.join("two.toml");
    // Each of the two sizes runs far longer than the test. The first has recorded rows when its configuration
    // changes start.
    let sizes = "sizes = [{ members = 18, real = 1 }, { members = 19, real = 1 }]";
    let text = SMALL_PLAN
        .replace("sizes = [{ members = 16, real = 2 }]", sizes)
        .replace("quiet_s = 2.0", "quiet_s = 0.2")
        .replace("parted_s = 6.0", "parted_s = 80.0");
    std::fs::write(&file, text).expect("written");
    let mut child = Command::new(lab())
        .args(["scale", &file.display().to_string(), "--out", &out.0.display().to_string()])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the lab starts");
    let run_dir_prefix = format!("alderstile-lab-{}-", child.id());
    let mut log_lines = BufReader::new(child.stderr.take().expect("its standard error")).lines();
    let news =
        log_lines.find(|line| line.as_ref().is_ok_and(|line| line.contains("configuration changes started")));
    assert!(news.is_some(), "the run reaches the configuration changes");
    assert!(!remaining_processes(&run_dir_prefix).is_empty(), "a real node is running");
    let deadline = Instant::now() + Duration::from_secs(30);
    let pid = rustix::process::Pid::from_child(&child);
    rustix::process::kill_process(pid, rustix::process::Signal::INT).expect("a signal");
    let status = child.wait().expect("an end");
    assert_eq!(status.code(), Some(2));
    let rows = tables::read(&out.0.join("scale.csv")).expect("rows of the first size");
    assert!(rows.iter().all(|row| row.size == 18.0) && rows.iter().any(|row| row.phase == "quiet"));
    // Killed processes remain visible for a short time.
    while !remaining_processes(&run_dir_prefix).is_empty() {
        assert!(Instant::now() < deadline, "{:?}", remaining_processes(&run_dir_prefix));
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(Instant::now() < deadline, "the second size is not started");
}

#[test]
fn example_plan_is_valid() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/lab");
    let plan = ScalePlan::load(&folder.join("scale.toml")).expect("a valid plan");
    assert!(plan.sizes.iter().any(|size| (size.members, size.real) == (510, 12)) && plan.control_nodes == 9);
}

#[test]
fn fitted_line_has_its_slope_and_standard_error() {
    let fit = Fit::least_squares(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]).expect("a line");
    assert!((fit.slope - 2.0).abs() < 1e-12 && (fit.intercept - 1.0).abs() < 1e-12);
    assert!(fit.slope_error.expect("three points") < 1e-9 && fit.r_squared.expect("distinct y") > 0.999);
    // Calculated by hand: means 2 and 11/3, Sxx = 2, Sxy = 3, so slope 3/2; residuals 1/6, -1/3, 1/6.
    let scattered =
        Fit::least_squares(&[(1.0, 2.0 + 1.0 / 3.0), (2.0, 3.0 + 1.0 / 3.0), (3.0, 5.0 + 1.0 / 3.0)]);
    let scattered = scattered.expect("a line");
    assert!((scattered.slope - 1.5).abs() < 1e-12);
    assert!((scattered.residual_deviation.expect("three") - (1.0f64 / 6.0).sqrt()).abs() < 1e-12);
    assert!((scattered.slope_error.expect("three") - (1.0f64 / 12.0).sqrt()).abs() < 1e-12);
    let two_points = Fit::least_squares(&[(0.0, 1.0), (1.0, 1.0)]).expect("a line");
    assert_eq!((two_points.slope, two_points.slope_error, two_points.r_squared), (0.0, None, None));
    assert_eq!(Fit::least_squares(&[(1.0, 1.0), (1.0, 2.0)]), None, "a single x");
    assert_eq!(Fit::least_squares(&[(1.0, f64::NAN), (2.0, 2.0)]), None);
    assert_eq!(Fit::least_squares(&[]), None);
}

#[test]
fn tables_round_trip_through_csv() {
    let rows = vec![
        Row::from_values(30.0, "quiet", "bytes", &[1.0, 2.5]).expect("values"),
        Row::single(510.0, "quiet", "bytes", 12_345.6),
        Row::single(30.0, "death", "seconds", 0.000_123_4),
    ];
    let text = tables::csv(&rows);
    let parsed = tables::parse(&text).expect("rows");
    assert_eq!(parsed.len(), 3);
    assert_eq!((parsed[0].mean, parsed[0].worst, parsed[0].samples), (1.75, 2.5, 2));
    assert_eq!((parsed[1].mean, parsed[2].mean), (12_346.0, 0.000_123_4));
    let markdown = tables::markdown(&rows);
    assert!(markdown.contains("| quiet | bytes | 1.75, 2.5 (2) | 12346 |"), "{markdown}");
    assert!(markdown.contains("| death | seconds | 0.0001234 | - |"), "{markdown}");
    let with_commas = tables::csv(&[Row::single(1.0, "lost, and back", "turned away, times", 2.0)]);
    assert_eq!(tables::parse(&with_commas).expect("a row")[0].figure, "turned away; times");
    assert_eq!(tables::parse("size,phase\n"), Err(1));
    assert_eq!(tables::parse(&text.replace("0.0001234,0", "x,0")), Err(4));
    assert_eq!(Row::from_values(1.0, "a", "b", &[]), None);
}

#[test]
fn node_counters_are_parsed_by_name() {
    let figures =
        parse_counters("router.success.chat:812|c\nrouter.members_alive:30|g\nnonsense\nrouter.x:y|c\n");
    assert_eq!(figures.get("members_alive"), Some(&30));
    assert_eq!(figures.get("success.chat"), Some(&812));
    assert_eq!(figures.len(), 2);
}

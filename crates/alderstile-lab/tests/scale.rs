//! Hollow nodes beside real ones, and what is kept of their figures.

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
use alderstile_lab::hollow::{Hollows, Network, Part, Setup, Spec, What};
use alderstile_lab::measure::{self, Sizes};
use alderstile_lab::real::parse_counters;
use alderstile_lab::scale::{self, Runs};
use alderstile_lab::slopes;
use alderstile_lab::tables::{self, Row};
use support::{TempDir, lab, node, remaining_processes};

const SMALL: &str = r#"
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
fn hollow_and_real_nodes_see_each_other_through_deaths_a_lost_zone_and_parted_regions() {
    let runs = Runs::parse("test", SMALL).expect("a fine file");
    assert!(!runs.know_all, "each finds all others");
    let mut rows = Vec::new();
    scale::run(&runs, &node(), &scale::no_parts(), |_, more| rows.extend_from_slice(more)).expect("a run");
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
    // Real processes are sent to as hollow ones are, and answer alike.
    let hollow = of("quiet", "bytes out a node and second");
    let real = of("quiet", "bytes out a real node and second");
    assert_eq!((hollow.of, real.of), (14, 2));
    assert!((0.5..2.0).contains(&(real.mean / hollow.mean)), "{real:?} {hollow:?}");
    // Other tests of this process have processes of their own.
    let named = format!("alderstile-lab-{}-10016", std::process::id());
    assert_eq!(remaining_processes(&named), Vec::<String>::new());
}

#[test]
fn one_node_is_measured_at_each_size_and_nothing_is_left_behind() {
    let mut rows = Vec::new();
    measure::run(&Sizes::short(), &node(), |more| rows.extend_from_slice(more)).expect("all is measured");
    let of = |size: f64, phase: &str, figure: &str| {
        let row =
            rows.iter().find(|r| (r.size, r.phase.as_str(), r.figure.as_str()) == (size, phase, figure));
        row.unwrap_or_else(|| panic!("{size} {phase}: {figure}: not in {rows:#?}")).mean
    };
    // Two descriptors a connection, and no more for more of them.
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
    assert!(of(100.0, "return of all", "times turned away or cut off") >= 100.0, "all were cut off");
    let named = format!("alderstile-lab-{}-200", std::process::id());
    assert_eq!(remaining_processes(&named), Vec::<String>::new());
}

#[test]
fn slopes_are_told_with_their_points_and_drawn() {
    let at = |size: f64, value: f64| Row::one(size, "idle", "memory (KB)", value);
    let rows = [at(1_000.0, 5_500.0), at(100.0, 1_000.0), at(500.0, 3_000.0)];
    let table = slopes::table(&rows);
    assert!(table.contains("| connections | 100: 1000; 500: 3000; 1000: 5500 | 500 | 5 | 0 |"), "{table}");
    let out = TempDir::new();
    assert_eq!(slopes::charts(&out.0, &rows).expect("drawn"), ["node-memory.svg"]);
    let drawn = std::fs::read_to_string(out.0.join("node-memory.svg")).expect("a file");
    assert!(drawn.starts_with("<svg") && drawn.contains("connections"));
}

/// Answers nothing; sends its node's neighbour a datagram each 50 ms.
struct Sends {
    at: SocketAddr,
    to: SocketAddr,
    due: Micros,
    came: Arc<AtomicU64>,
}

impl Part for Sends {
    fn address(&self) -> SocketAddr {
        self.at
    }
    fn due(&self) -> Micros {
        self.due
    }
    fn tick(&mut self, now: Micros, _: &mut Membership) -> Vec<(SocketAddr, Vec<u8>)> {
        self.due = now + Micros(50_000);
        vec![(self.to, b"ten bytes.".to_vec())]
    }
    fn received(
        &mut self,
        _: Micros,
        from: SocketAddr,
        bytes: &[u8],
        members: &mut Membership,
    ) -> Vec<(SocketAddr, Vec<u8>)> {
        assert!(from == self.to && bytes == b"ten bytes." && members.live_count() >= 1);
        self.came.fetch_add(1, Ordering::Relaxed);
        Vec::new()
    }
}

#[test]
fn a_further_core_has_a_socket_of_its_own_and_regions_that_are_parted_hear_nothing() {
    let at = |node: usize, port: u16| -> SocketAddr {
        let last = 1 + node;
        format!("127.99.{}.{last}:{port}", std::process::id() % 200).parse().expect("an address")
    };
    let came = Arc::new(AtomicU64::new(0));
    let regions = (0..2u8).flat_map(|n| [(at(n.into(), 7_946), n), (at(n.into(), 7_947), n)]).collect();
    let network = Network::new(regions);
    let counted = came.clone();
    let setup = Setup {
        settings: MembershipConfig::with_period(Micros(50_000)),
        codec: DatagramCodec::new("test", &[vec![7; 32]]).expect("a key"),
        seeds: vec![at(0, 7_946)],
        network: network.clone(),
        seed: 1,
        known: Arc::default(),
        parts: Arc::new(move |spec: &Spec| {
            let (at, to) = (at(spec.number, 7_947), at(1 - spec.number, 7_947));
            Some(Box::new(Sends { at, to, due: Micros(0), came: counted.clone() }))
        }),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let hollows = Hollows::new(2, &setup).expect("threads");
        for number in 0..2 {
            let name = format!("n{number}");
            hollows.start(Spec { number, name, zone: "a".to_owned(), address: at(number, 7_946) });
        }
        let until = async |what: &str, done: &dyn Fn(&BTreeMap<usize, usize>) -> bool| {
            for _ in 0..400 {
                tokio::time::sleep(Duration::from_millis(25)).await;
                let looks = hollows.look().await;
                let nodes = looks.iter().flat_map(|looks| &looks.nodes);
                let counts = nodes.map(|look| (look.number, look.counts.alive)).collect();
                if done(&counts) {
                    return;
                }
            }
            panic!("{what}: not within 10 s");
        };
        until("both know each other", &|counts| counts.values().eq(&[2, 2])).await;
        until("parts hear each other", &|_| came.load(Ordering::Relaxed) > 3).await;
        hollows.news(0, 77).await;
        let mut learned = Vec::new();
        for _ in 0..400 {
            tokio::time::sleep(Duration::from_millis(25)).await;
            learned.extend(hollows.seen().await);
            if learned.iter().any(|seen| seen.what == What::News(77)) {
                break;
            }
        }
        assert!(learned.iter().any(|s| (s.by, s.of, s.what) == (1, 0, What::News(77))), "{learned:?}");
        network.part(true);
        until("each holds the other dead", &|counts| counts.values().eq(&[1, 1])).await;
        let before = came.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(came.load(Ordering::Relaxed), before, "parted regions hear nothing");
        network.part(false);
        until("both know each other again", &|counts| counts.values().eq(&[2, 2])).await;
        hollows.kill(1);
        until("one is left", &|counts| counts.len() == 1).await;
    });
}

#[test]
fn a_faulty_file_is_refused_with_its_key_and_runs_nothing() {
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
        assert!(SMALL.contains(from), "{from}");
        let error = Runs::parse("f.toml", &SMALL.replace(from, to)).expect_err("refused").to_string();
        assert!(error.starts_with("f.toml: ") && error.contains(key), "{to}: {error}");
    }
}

#[test]
fn an_interrupt_ends_the_run_with_what_was_measured_and_leaves_nothing_behind() {
    let out = TempDir::new();
    let file = out.0.join("two.toml");
    // Two sizes, each far longer than the test; the first has figures by the time of its news.
    let sizes = "sizes = [{ members = 18, real = 1 }, { members = 19, real = 1 }]";
    let text = SMALL
        .replace("sizes = [{ members = 16, real = 2 }]", sizes)
        .replace("quiet_s = 2.0", "quiet_s = 0.2")
        .replace("parted_s = 6.0", "parted_s = 80.0");
    std::fs::write(&file, text).expect("written");
    let mut child = Command::new(lab())
        .args(["scale", &file.display().to_string(), "--out", &out.0.display().to_string()])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the lab");
    let named = format!("alderstile-lab-{}-", child.id());
    let mut said = BufReader::new(child.stderr.take().expect("its log")).lines();
    let news = said.find(|line| line.as_ref().is_ok_and(|line| line.contains("pieces of news")));
    assert!(news.is_some(), "it gets to the news");
    assert!(!remaining_processes(&named).is_empty(), "a real node is there");
    let last = Instant::now() + Duration::from_secs(30);
    let pid = rustix::process::Pid::from_child(&child);
    rustix::process::kill_process(pid, rustix::process::Signal::INT).expect("a signal");
    let status = child.wait().expect("an end");
    assert_eq!(status.code(), Some(2));
    let rows = tables::read(&out.0.join("scale.csv")).expect("the first size's figures");
    assert!(rows.iter().all(|row| row.size == 18.0) && rows.iter().any(|row| row.phase == "quiet"));
    // The system takes killed processes away a moment later.
    while !remaining_processes(&named).is_empty() {
        assert!(Instant::now() < last, "{:?}", remaining_processes(&named));
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(Instant::now() < last, "the second size is not begun");
}

#[test]
fn the_examples_are_fine() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/lab");
    let runs = Runs::load(&folder.join("scale.toml")).expect("a fine file");
    assert!(runs.sizes.iter().any(|size| (size.members, size.real) == (510, 12)) && runs.control == 9);
}

#[test]
fn a_line_goes_through_its_points_and_tells_how_sure_it_is() {
    let fit = Fit::line(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]).expect("a line");
    assert!((fit.slope - 2.0).abs() < 1e-12 && (fit.at_zero - 1.0).abs() < 1e-12);
    assert!(fit.error.expect("three points") < 1e-9 && fit.explained.expect("they differ") > 0.999);
    // By hand: means 2 and 11/3; slope 3/2 over Sxx 2; residuals 1/6, -1/3, 1/6.
    let rough = Fit::line(&[(1.0, 2.0 + 1.0 / 3.0), (2.0, 3.0 + 1.0 / 3.0), (3.0, 5.0 + 1.0 / 3.0)]);
    let rough = rough.expect("a line");
    assert!((rough.slope - 1.5).abs() < 1e-12);
    assert!((rough.about.expect("three") - (1.0f64 / 6.0).sqrt()).abs() < 1e-12);
    assert!((rough.error.expect("three") - (1.0f64 / 12.0).sqrt()).abs() < 1e-12);
    let two = Fit::line(&[(0.0, 1.0), (1.0, 1.0)]).expect("a line");
    assert_eq!((two.slope, two.error, two.explained), (0.0, None, None));
    assert_eq!(Fit::line(&[(1.0, 1.0), (1.0, 2.0)]), None, "one x");
    assert_eq!(Fit::line(&[(1.0, f64::NAN), (2.0, 2.0)]), None);
    assert_eq!(Fit::line(&[]), None);
}

#[test]
fn tables_read_back_what_they_wrote() {
    let rows = vec![
        Row::of(30.0, "quiet", "bytes", &[1.0, 2.5]).expect("values"),
        Row::one(510.0, "quiet", "bytes", 12_345.6),
        Row::one(30.0, "death", "seconds", 0.000_123_4),
    ];
    let text = tables::csv(&rows);
    let back = tables::parse(&text).expect("rows");
    assert_eq!(back.len(), 3);
    assert_eq!((back[0].mean, back[0].worst, back[0].of), (1.75, 2.5, 2));
    assert_eq!((back[1].mean, back[2].mean), (12_346.0, 0.000_123_4));
    let shown = tables::markdown(&rows);
    assert!(shown.contains("| quiet | bytes | 1.75, 2.5 (2) | 12346 |"), "{shown}");
    assert!(shown.contains("| death | seconds | 0.0001234 | - |"), "{shown}");
    let comma = tables::csv(&[Row::one(1.0, "lost, and back", "turned away, times", 2.0)]);
    assert_eq!(tables::parse(&comma).expect("a row")[0].figure, "turned away; times");
    assert_eq!(tables::parse("size,phase\n"), Err(1));
    assert_eq!(tables::parse(&text.replace("0.0001234,0", "x,0")), Err(4));
    assert_eq!(Row::of(1.0, "a", "b", &[]), None);
}

#[test]
fn a_nodes_figures_are_read_by_their_names() {
    let figures =
        parse_counters("router.success.chat:812|c\nrouter.members_alive:30|g\nnonsense\nrouter.x:y|c\n");
    assert_eq!(figures.get("members_alive"), Some(&30));
    assert_eq!(figures.get("success.chat"), Some(&812));
    assert_eq!(figures.len(), 2);
}

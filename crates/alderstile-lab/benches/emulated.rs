//! Benchmark of the discrete-event simulator: a run of ten seconds with one host for three nodes and about
//! 330 clients per node.

use std::hint::black_box;
use std::time::Duration;

use alderstile_lab::emulated::{Strategy, run};
use alderstile_lab::history::History;
use alderstile_lab::schedule::Plan;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};

fn plan(nodes: usize) -> Plan {
    let (hosts, clients) = (nodes.div_ceil(3).max(3) * 9 / 10 + 1, nodes * 1_000 / 3);
    let text = format!(
        "title = \"bench\"\nlength_s = 10.0\nnodes = {{ count = {nodes} }}\nhosts = {{ count = {hosts}, setup_ms = 5.0 }}\n\
         [[clients]]\nclass = \"chat\"\nsemantics = \"retryable\"\ncount = {clients}\nhold_s = 40.0\nrest_s = 2.0\n\
         load_us = 1500.0\n"
    );
    Plan::parse("bench", &text, None).expect("valid schedule")
}

fn emulated_runs(c: &mut Criterion) {
    let mut group = c.benchmark_group("emulated run of 10 s");
    group.sample_size(10).measurement_time(Duration::from_secs(10));
    for nodes in [3, 30, 300] {
        let plan = plan(nodes);
        group.throughput(Throughput::Elements(nodes as u64 * 1_000 / 3));
        group.bench_with_input(BenchmarkId::new("nodes", nodes), &plan, |b, plan| {
            b.iter(|| black_box(run(plan, &Strategy::Alderstile.into(), &History::discard())));
        });
    }
    group.finish();
}

criterion_group!(benches, emulated_runs);
criterion_main!(benches);

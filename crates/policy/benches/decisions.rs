//! Cost of one decision by number of targets and of waiting requests.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

#[path = "../tests/loaded_policy/mod.rs"]
mod loaded_policy;

use loaded_policy::LoadedPolicy;

/// Numbers of targets.
const TARGET_COUNTS: [u32; 3] = [60, 840, 8_400];

/// Numbers of waiting requests.
const QUEUE_LENGTHS: [u64; 4] = [10, 100, 1_000, 10_000];

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick");
    for targets in TARGET_COUNTS {
        let mut loaded = LoadedPolicy::idle(targets);
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            bencher.iter(|| loaded.pick());
        });
    }
    group.finish();
}

fn admit(criterion: &mut Criterion) {
    bench_with_queue(criterion, "admit", LoadedPolicy::admit);
}

fn refuse(criterion: &mut Criterion) {
    bench_with_queue(criterion, "refuse", LoadedPolicy::refuse);
}

fn bench_with_queue(criterion: &mut Criterion, name: &str, decide: impl Fn(&mut LoadedPolicy)) {
    let mut group = criterion.benchmark_group(name);
    for targets in TARGET_COUNTS {
        for queued in QUEUE_LENGTHS {
            let mut loaded = LoadedPolicy::full(targets, queued);
            let case = BenchmarkId::from_parameter(format!("{targets}/{queued}"));
            group.bench_function(case, |bencher| bencher.iter(|| decide(&mut loaded)));
        }
    }
    group.finish();
}

criterion_group!(decisions, pick, admit, refuse);
criterion_main!(decisions);

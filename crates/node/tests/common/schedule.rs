use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::events::Fault;

/// Time range and maximum number of faults.
const FIRST_MS: u64 = 1_000;
const LAST_MS: u64 = 6_000;
const FAULTS_MAX: u64 = 7;
const ENTRIES: u64 = 4;
const ENGINES: [&str; 4] = ["a", "b", "c", "d"];
const PLAIN: [&str; 2] = ["p1", "p2"];

/// A schedule of faults, and the seed of all other randomness.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub faults: Vec<(u64, Fault)>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = u64::arbitrary(g) % FAULTS_MAX + 1;
        let mut faults: Vec<_> = (0..count).flat_map(|_| random_fault(g)).collect();
        faults.sort_by_key(|(at, _)| *at);
        Self { seed: u64::arbitrary(g), faults }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let all = self.clone();
        Box::new((0..self.faults.len()).map(move |left_out| {
            let mut less = all.clone();
            less.faults.remove(left_out);
            less
        }))
    }
}

/// Returns a fault, and its repair if it does not end by itself.
fn random_fault(g: &mut Gen) -> Vec<(u64, Fault)> {
    let at = FIRST_MS + u64::arbitrary(g) % (LAST_MS - FIRST_MS);
    let for_ms = 50 + u64::arbitrary(g) % 3_000;
    let mut entry = || usize::try_from(u64::arbitrary(g) % ENTRIES).unwrap_or_default();
    let (one, other) = (entry(), entry());
    let pick = u64::arbitrary(g);
    let engine = ENGINES[usize::try_from(pick % 4).unwrap_or_default()];
    let plain = PLAIN[usize::try_from(pick % 2).unwrap_or_default()];
    let replica = if pick % 4 < 2 { "r1" } else { "r2" };
    let formed = (at + for_ms, Fault::ReformReplica { replica });
    match u64::arbitrary(g) % 11 {
        0 | 1 => vec![(at, Fault::KillEntry(one)), (at + for_ms, Fault::StartEntry(one))],
        2 => vec![(at, Fault::PauseEntry { entry: one, for_ms })],
        3 => vec![(at, Fault::CutEntries { one, other, for_ms })],
        4 => vec![(at, Fault::CutTarget { entry: one, vm: plain, for_ms })],
        5 => vec![(at, Fault::StoreDown { for_ms })],
        6 => vec![(at, Fault::KillVm(engine)), formed],
        7 => vec![(at, Fault::SilenceVm { vm: plain, for_ms })],
        8 => vec![(at, Fault::SilenceVm { vm: engine, for_ms })],
        9 => vec![(at, Fault::RestartVm { vm: engine, claims_old: pick > u64::MAX / 2 }), formed],
        _ => vec![(at, Fault::OldGeneration { vm: engine }), formed],
    }
}

/// Returns a runner of `count` reproducible schedules.
pub fn schedules(count: u64, seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, seed)).tests(count).max_tests(count)
}

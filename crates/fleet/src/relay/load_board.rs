use celeryhaven_derives::data;
use celeryhaven_types::{Map, TimeMs, VmName};

/// How long a load is told on, in milliseconds.
///
/// Requests take a second or two, so that what is older tells of others than those that run now.
const TOLD_MS: u64 = 2_000;

data! {
    /// What a target told of its load with an answer, and how long ago.
    #[derive(Eq)]
    pub struct ToldLoad {
        /// The target.
        pub target: VmName,
        /// Requests that it ran or that waited there.
        pub requests: u32,
        /// How long ago it told so, in milliseconds.
        pub ms_ago: u64,
    }
}

/// Where a node has a load from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// Its own requests, or nodes that follow it.
    Below,
    /// The relay that it follows.
    Above,
}

/// The last loads that targets told any node nearby.
///
/// Load: many nodes before many targets. Harm: a node alone hears of each target every few seconds,
/// and places requests by what ran there before. Limit: nodes tell their relay what they heard since
/// they asked last, and get what it has heard, each target once.
///
/// ```
/// use celeryhaven_fleet::{LoadBoard, LoadSource, ToldLoad};
/// use celeryhaven_types::{TimeMs, VmName};
///
/// let mut board = LoadBoard::new();
/// let load = ToldLoad { target: VmName::new("t-1"), requests: 7, ms_ago: 100 };
/// board.note(TimeMs::new(1_000), std::slice::from_ref(&load), LoadSource::Below);
/// let told = board.told_since(TimeMs::new(1_200), TimeMs::new(900), LoadSource::Below);
/// assert_eq!((told[0].requests, told[0].ms_ago), (7, 300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    loads: Map<VmName, Noted>,
}

#[derive(Clone, Copy, Debug)]
struct Noted {
    requests: u32,
    /// When the target told so, as this node reckons.
    at: TimeMs,
    noted_at: TimeMs,
    source: LoadSource,
}

impl LoadBoard {
    /// Knows of no load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over loads; those that are newer than what was known.
    pub fn note(&mut self, now: TimeMs, told: &[ToldLoad], source: LoadSource) -> Vec<ToldLoad> {
        self.loads.retain(|_, noted| now.since(noted.at) < TOLD_MS);
        let fresh = told.iter().filter(|load| load.ms_ago < TOLD_MS);
        fresh.filter(|load| self.note_one(now, load, source)).cloned().collect()
    }

    fn note_one(&mut self, now: TimeMs, load: &ToldLoad, source: LoadSource) -> bool {
        let at = now.before(load.ms_ago);
        let known = self.loads.get(&load.target);
        if known.is_some_and(|known| known.at >= at) {
            return false;
        }
        let noted = Noted { requests: load.requests, at, noted_at: now, source };
        self.loads.insert(load.target.clone(), noted);
        true
    }

    /// Loads that were noted after an instant, from below alone or from anywhere.
    pub fn told_since(&self, now: TimeMs, after: TimeMs, source: LoadSource) -> Vec<ToldLoad> {
        let wanted = |noted: &Noted| source == LoadSource::Above || noted.source == source;
        let new = self.loads.iter().filter(|(_, noted)| noted.noted_at > after && wanted(noted));
        let told = |(target, noted): (&VmName, &Noted)| ToldLoad {
            target: target.clone(),
            requests: noted.requests,
            ms_ago: now.since(noted.at),
        };
        new.map(told).collect()
    }
}

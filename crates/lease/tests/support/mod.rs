//! Candidates for one lease and a store of one object, in virtual time.

use celeryhaven_lease::{Lease, LeaseSettings, Proximity};
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{Boot, Fence, Incarnation, NodeName, TimeMs};

const STEP_MS: u64 = 10;
const LIST_INTERVAL_MS: u64 = 500;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreMode {
    /// Executes calls; replies arrive one step later.
    Available,
    /// Executes calls; replies are lost.
    ReplyLost,
    /// Does not execute calls.
    Unavailable,
}

/// A store of one versioned object.
#[derive(Clone, Debug, Default)]
pub struct OneObject {
    pub object: Option<Object>,
    pub writes: u64,
}

impl OneObject {
    pub fn version(&self) -> ObjectVersion {
        self.object.as_ref().map(|object| object.version).unwrap_or_default()
    }

    pub fn call(&mut self, request: &StoreRequest) -> StoreReply {
        let version = self.version();
        match request {
            StoreRequest::Create { key, value } if self.object.is_none() => self.write(key, value),
            StoreRequest::Update { key, version: expected, value } if *expected == version => {
                self.write(key, value)
            }
            StoreRequest::Get { .. } => {
                self.object.clone().map_or(StoreReply::Missing, StoreReply::Found)
            }
            _ => {
                self.writes += 1;
                StoreReply::Conflict
            }
        }
    }

    fn write(&mut self, key: &ObjectKey, value: &std::sync::Arc<str>) -> StoreReply {
        self.writes += 1;
        let version = self.version().next();
        self.object = Some(Object { key: key.clone(), version, value: value.clone() });
        StoreReply::Written { version }
    }
}

/// Candidates, their store and the clock.
#[derive(Debug)]
pub struct Simulation {
    pub leases: Vec<Lease>,
    pub store: OneObject,
    pub now: TimeMs,
    pub store_mode: StoreMode,
    paused: Vec<bool>,
    pending_replies: Vec<Option<StoreReply>>,
}

impl Simulation {
    pub fn new(candidates: usize) -> Self {
        Self::with_proximity(0, &vec![Proximity::Near; candidates])
    }

    pub fn with_proximity(seed: u64, proximity: &[Proximity]) -> Self {
        let leases = proximity.iter().enumerate().map(|(i, proximity)| {
            let me = Incarnation::new(NodeName::new(format!("entry-{i}")), Boot::new(1));
            let key = ObjectKey::new("leases/fabric-1");
            Lease::new(key, me, *proximity, LeaseSettings::default(), seed * 1_000 + i as u64)
        });
        let leases: Vec<Lease> = leases.collect();
        Self {
            paused: vec![false; leases.len()],
            pending_replies: vec![None; leases.len()],
            leases,
            store: OneObject::default(),
            now: TimeMs::new(0),
            store_mode: StoreMode::Available,
        }
    }

    pub fn now(&self) -> TimeMs {
        self.now
    }

    pub fn pause(&mut self, candidate: usize) {
        self.paused[candidate] = true;
    }

    pub fn holders(&self) -> Vec<usize> {
        (0..self.leases.len()).filter(|i| self.leases[*i].held(self.now).is_some()).collect()
    }

    pub fn fence(&self, candidate: usize) -> Option<Fence> {
        self.leases[candidate].held(self.now)
    }

    pub fn run_to(&mut self, until_ms: u64) {
        while self.now.get() < until_ms {
            self.step();
        }
    }

    /// Advances time by one step and asserts that at most one candidate may act.
    pub fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        for i in 0..self.leases.len() {
            if self.paused[i] {
                continue;
            }
            let lease = &mut self.leases[i];
            if let Some(reply) = self.pending_replies[i].take() {
                lease.apply_reply(self.now, reply);
            }
            let is_listing = (self.now.get() + 37 * i as u64) % LIST_INTERVAL_MS < STEP_MS;
            if is_listing && self.store_mode == StoreMode::Available {
                lease.observe(self.now, self.store.object.as_ref());
            }
            if let Some(request) = lease.poll(self.now) {
                self.pending_replies[i] = match self.store_mode {
                    StoreMode::Available => Some(self.store.call(&request)),
                    StoreMode::ReplyLost => {
                        self.store.call(&request);
                        None
                    }
                    StoreMode::Unavailable => None,
                };
            }
        }
        assert!(self.holders().len() <= 1, "two candidates may act at {}", self.now);
    }
}

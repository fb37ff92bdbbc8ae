//! Candidates for one lease round a store of one object, in virtual time.

use celeryhaven_lease::{Lease, LeaseSettings, Proximity};
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{Boot, Fence, Incarnation, NodeName, TimeMs};

const STEP_MS: u64 = 10;
const LIST_EVERY_MS: u64 = 500;

/// What becomes of answers of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// They arrive a step later.
    Given,
    /// Calls are carried out and their answers lost.
    Lost,
    /// Calls are not carried out and get no answer.
    Down,
}

/// One object with versions.
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

/// Candidates, their store, and one clock.
#[derive(Debug)]
pub struct Bench {
    pub leases: Vec<Lease>,
    pub store: OneObject,
    pub now: TimeMs,
    pub answers: Answer,
    paused: Vec<bool>,
    coming: Vec<Option<StoreReply>>,
}

impl Bench {
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
            coming: vec![None; leases.len()],
            leases,
            store: OneObject::default(),
            now: TimeMs::new(0),
            answers: Answer::Given,
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

    /// One step of time; asserts that at most one candidate may act.
    pub fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        for i in 0..self.leases.len() {
            if self.paused[i] {
                continue;
            }
            let lease = &mut self.leases[i];
            if let Some(reply) = self.coming[i].take() {
                lease.apply_reply(self.now, reply);
            }
            let lists = (self.now.get() + 37 * i as u64) % LIST_EVERY_MS < STEP_MS;
            if lists && self.answers == Answer::Given {
                lease.observe(self.now, self.store.object.as_ref());
            }
            if let Some(request) = lease.poll(self.now) {
                self.coming[i] = match self.answers {
                    Answer::Given => Some(self.store.call(&request)),
                    Answer::Lost => {
                        self.store.call(&request);
                        None
                    }
                    Answer::Down => None,
                };
            }
        }
        assert!(self.holders().len() <= 1, "two may act at {}", self.now);
    }
}

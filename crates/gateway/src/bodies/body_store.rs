use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender, bounded};
use celeryhaven_body_budget::{
    BodyBudget, BodyHead, BodyKey, Decision, MemoryShares, OrganisationKey,
};
use celeryhaven_clock::BootClock;
use celeryhaven_types::{Map, OrganisationName};

use crate::bodies::BodyReader;
use crate::bodies::resident::resident_bytes;

/// The request bodies of this node, within their part of its memory.
///
/// Parts of bodies are dropped by connections as well, so the state is behind a lock, which is held
/// only for a decision.
#[derive(Clone, Debug)]
pub(crate) struct BodyStore {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    budget: BodyBudget,
    shares: MemoryShares,
    /// Where the decisions on bodies go that wait or are read slowly.
    decisions: Map<BodyKey, Sender<Decision>>,
}

impl BodyStore {
    /// Creates the store of a process that may use this many bytes of memory.
    pub(crate) fn new(memory_bytes: u64) -> Self {
        let shares = MemoryShares::new(memory_bytes);
        let budget = BodyBudget::new(shares.body_bytes(resident_bytes().unwrap_or_default()));
        let state = State { budget, shares, decisions: Map::default() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the key of an organisation.
    pub(crate) fn organisation(&self, name: Option<&OrganisationName>) -> OrganisationKey {
        self.lock().budget.organisation(name)
    }

    /// Adds a body that is about to be read.
    pub(crate) fn arrive(&self, head: &BodyHead) -> (BodyReader, Decision) {
        let (key, decision) = self.lock().budget.arrive(BootClock.now(), head);
        let reader = BodyReader::new(self.clone(), key, head.length_bytes);
        let reader = if decision == Decision::Wait { reader.with_decisions() } else { reader };
        // Bodies that wait behind this one may be too late now.
        self.poll();
        (reader, decision)
    }

    /// Returns the shares of the memory.
    pub(crate) fn shares(&self) -> MemoryShares {
        self.lock().shares
    }

    /// Sets the longest body that callers may send.
    pub(crate) fn set_body_max(&self, body_bytes_max: u64) {
        self.lock().budget.set_body_max(body_bytes_max);
    }

    /// Adapts the room for bodies to what the process uses for all else.
    pub(crate) fn measure(&self) {
        let Some(resident_bytes) = resident_bytes() else { return };
        let mut state = self.lock();
        let other_bytes = resident_bytes.saturating_sub(state.budget.held_bytes());
        let limit_bytes = state.shares.body_bytes(other_bytes);
        state.budget.set_limit(limit_bytes);
    }

    /// Decides on the bodies that wait or are read too slowly.
    pub(crate) fn poll(&self) {
        self.lock().poll();
    }

    /// Returns the bytes that bodies use, the most that they may use, and how many wait.
    pub(crate) fn usage(&self) -> (u64, u64, usize) {
        let state = self.lock();
        (state.budget.used_bytes(), state.budget.limit_bytes(), state.budget.waiting())
    }

    /// Returns where decisions on a body arrive from now on.
    pub(super) fn follow(&self, key: BodyKey) -> Receiver<Decision> {
        // A body gets a decision only after it has begun to wait, or its refusal as the last one.
        let (sender, receiver) = bounded(2);
        self.lock().decisions.insert(key, sender);
        receiver
    }

    /// Adds received bytes of a body; returns whether more of it may be read.
    pub(super) fn receive(&self, key: BodyKey, bytes: u64) -> Decision {
        self.lock().budget.receive(BootClock.now(), key, bytes)
    }

    /// Records that a body has been read to its end; returns whether its request may begin.
    pub(super) fn complete(&self, key: BodyKey) -> Decision {
        let mut state = self.lock();
        state.decisions.remove(&key);
        let decision = state.budget.complete(BootClock.now(), key);
        state.poll();
        decision
    }

    /// Records that bytes of a body are no longer held.
    pub(super) fn release(&self, key: BodyKey, bytes: u64) {
        let mut state = self.lock();
        state.budget.release(BootClock.now(), key, bytes);
        state.poll();
    }

    /// Removes a body that is not read to its end.
    pub(super) fn remove(&self, key: BodyKey) {
        let mut state = self.lock();
        state.decisions.remove(&key);
        state.budget.remove(key);
        state.poll();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn poll(&mut self) {
        for (key, decision) in self.budget.poll(BootClock.now()) {
            if let Some(sender) = self.decisions.get(&key) {
                sender.try_send(decision).unwrap_or_default();
            }
        }
    }
}

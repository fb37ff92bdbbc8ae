use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender, bounded};
use celeryhaven_isolation::{CheckOutcome, DueCheck, IsolationDetector, LinkChange};
use celeryhaven_types::{Map, ServiceName, TimeMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::traffic::Destination;

/// The links to the targets of each service, shared by the threads that call them.
#[derive(Clone, Debug)]
pub(crate) struct SharedLinks {
    state: Arc<Mutex<LinkState>>,
}

#[derive(Debug)]
struct LinkState {
    detector: IsolationDetector,
    destinations: Arc<[Destination]>,
    /// Checks that run; the receivers close when they end.
    running: BTreeMap<ServiceName, Receiver<()>>,
    rng: SmallRng,
}

/// What to do before a judgement about a target.
pub(crate) enum NextStep {
    /// The links are known.
    Known { is_isolated: bool },
    /// Wait until a check that runs has ended.
    Wait(Receiver<()>),
    /// Make a check. Dropping the sender ends the wait of others.
    Check(DueCheck, Sender<()>),
}

impl SharedLinks {
    /// Creates the links of a node that knows no targets yet.
    pub(crate) fn new(seed: u64) -> Self {
        let state = LinkState {
            detector: IsolationDetector::new(),
            destinations: Arc::default(),
            running: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Sets the destinations that checks connect to.
    pub(crate) fn set_destinations(&self, destinations: Arc<[Destination]>) {
        self.lock().destinations = destinations;
    }

    /// Whether the node has lost its links to all targets of a service.
    pub(crate) fn is_isolated(&self, service: &ServiceName) -> bool {
        self.lock().detector.is_isolated(service)
    }

    /// Whether the node has lost its links to all targets of any service.
    pub(crate) fn is_isolated_from_any(&self) -> bool {
        self.lock().detector.is_isolated_from_any()
    }

    /// Returns the services from which the node is isolated.
    pub(crate) fn isolated_services(&self) -> BTreeSet<ServiceName> {
        self.lock().detector.isolated_services().cloned().collect()
    }

    /// Returns the services from which the node is isolated, or may be as a check is running.
    pub(crate) fn unknown_services(&self) -> BTreeSet<ServiceName> {
        let state = self.lock();
        state.running.keys().chain(state.detector.isolated_services()).cloned().collect()
    }

    /// Records that a request was sent to a target.
    pub(crate) fn sent(&self, now: TimeMs, service: &ServiceName) {
        self.lock().detector.sent(now, service);
    }

    /// Records that a target has sent a part of an answer.
    pub(crate) fn received(&self, service: &ServiceName) {
        self.lock().detector.received(service);
    }

    /// Records a new connection to a target.
    pub(crate) fn connected(&self, now: TimeMs, service: &ServiceName) -> Option<LinkChange> {
        self.lock().detector.connected(now, service)
    }

    /// Returns the checks that are due, each with the sender to drop when it ends.
    pub(crate) fn take_due_checks(&self, now: TimeMs) -> Vec<(DueCheck, Sender<()>)> {
        let mut state = self.lock();
        let due = state.detector.take_due_checks(now);
        due.into_iter().map(|check| state.begin(check)).collect()
    }

    /// Decides what to do after a call has failed, given that a connection opened since `fresh_at`
    /// shows that the node is not isolated.
    pub(crate) fn next_step(
        &self,
        now: TimeMs,
        service: &ServiceName,
        fresh_at: TimeMs,
    ) -> NextStep {
        let mut state = self.lock();
        if state.detector.has_connected_since(service, fresh_at) {
            return NextStep::Known { is_isolated: false };
        }
        if state.detector.is_isolated(service) {
            return NextStep::Known { is_isolated: true };
        }
        if let Some(ended) = state.running.get(service) {
            return NextStep::Wait(ended.clone());
        }
        let check = state.detector.begin_check(now, service);
        let (check, ended) = state.begin(check);
        NextStep::Check(check, ended)
    }

    /// Records the outcome of a check.
    pub(crate) fn check_ended(
        &self,
        now: TimeMs,
        service: &ServiceName,
        outcome: CheckOutcome,
    ) -> Option<LinkChange> {
        let mut state = self.lock();
        state.running.remove(service);
        state.detector.check_ended(now, service, outcome)
    }

    /// Returns random targets of a service for a check, from as many data centres as possible.
    pub(crate) fn witnesses(
        &self,
        check: &DueCheck,
        except: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let mut state = self.lock();
        let destinations = state.destinations.clone();
        let of_service = destinations.iter().filter(|destination| {
            destination.service == check.service && Some(destination.address) != except
        });
        let mut targets: Vec<&Destination> = of_service.collect();
        targets.shuffle(&mut state.rng);
        let mut chosen_in: Map<_, usize> = Map::default();
        let mut ordered: Vec<(usize, SocketAddr)> = targets
            .into_iter()
            .map(|destination| {
                let before = chosen_in.entry(&destination.data_centre).or_default();
                *before += 1;
                (*before, destination.address)
            })
            .collect();
        ordered.sort_by_key(|(before, _)| *before);
        ordered.into_iter().take(check.targets_max).map(|(_, address)| address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LinkState {
    fn begin(&mut self, check: DueCheck) -> (DueCheck, Sender<()>) {
        let (sender, ended) = bounded(1);
        self.running.insert(check.service.clone(), ended);
        (check, sender)
    }
}

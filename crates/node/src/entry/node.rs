use std::collections::BTreeMap;

use celeryhaven_once::{Once, OnceCall};

use celeryhaven_policy::{PolicyEvent, RequestPolicy, Ticket};
use celeryhaven_types::store::StoreCallId;
use celeryhaven_types::{TimeMs, VmEntry, VmName};

use crate::entry::catalogue::Catalogue;
use crate::entry::fleet::Fleet;
use crate::entry::observing::{PauseGuard, Polls, Targets};
use crate::entry::peers::Peers;
use crate::entry::serving::Requests;
use crate::entry::{EntryAction, EntryEvent, EntrySettings};
use crate::machine::Machine;

/// State machine of one entry process, without I/O.
///
/// Reads configuration and placements, polls members, notifies the policy of eligible targets,
/// executes the policy's decisions, and prevents keyed requests from running twice. The driver
/// passes in an [`EntryEvent`] for every occurrence and executes each [`EntryAction`] in order.
pub struct EntryNode<P> {
    pub(crate) settings: EntrySettings,
    pub(crate) policy: P,
    pub(crate) catalogue: Catalogue,
    pub(crate) fleet: Fleet,
    pub(crate) targets: Targets,
    pub(crate) polls: Polls,
    pub(crate) vms: BTreeMap<VmName, VmEntry>,
    pub(crate) vm_list_due_at: TimeMs,
    pub(crate) eligibility_due_at: TimeMs,
    pub(crate) observe_due_at: TimeMs,
    pub(crate) pause: PauseGuard,
    pub(crate) requests: Requests,
    pub(crate) peers: Peers,
    pub(crate) once: Once<Ticket>,
    pub(crate) once_calls: BTreeMap<StoreCallId, OnceCall>,
    pub(crate) last_call: StoreCallId,
    pub(crate) leaving_since: Option<TimeMs>,
    pub(crate) has_expired: bool,
    pub(crate) has_left: bool,
    pub(crate) address_answers: u64,
}

impl<P: RequestPolicy> EntryNode<P> {
    /// Creates a node without configuration; its first tick is due immediately.
    ///
    /// `seed` must be unpredictable in a process that serves callers, because request keys are
    /// derived from it. Tests pass a fixed one.
    pub fn new(settings: EntrySettings, policy: P, seed: [u8; 32]) -> Self {
        let mut peers = Peers::default();
        peers.set(settings.peers.iter().cloned());
        let fleet = Fleet::new(&settings, seed);
        let once = Once::new(settings.incarnation.clone(), settings.once, seed);
        Self {
            peers,
            once,
            once_calls: BTreeMap::new(),
            settings,
            policy,
            catalogue: Catalogue::default(),
            fleet,
            targets: Targets::default(),
            polls: Polls::default(),
            vms: BTreeMap::new(),
            vm_list_due_at: TimeMs::new(0),
            eligibility_due_at: TimeMs::new(u64::MAX),
            observe_due_at: TimeMs::new(0),
            pause: PauseGuard::default(),
            requests: Requests::default(),
            last_call: StoreCallId::new(0),
            leaving_since: None,
            has_expired: false,
            has_left: false,
            address_answers: 0,
        }
    }

    fn tick(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        if self.pause.expire(now) {
            self.announce_all(now, out);
        }
        self.tick_fleet(now, out);
        self.read_vm_list(now, out);
        self.observe(now, out);
        self.send_polls(now, out);
        if self.eligibility_due_at <= now {
            self.announce_all(now, out);
        }
        while let Some(ticket) = self.requests.take_due(now) {
            self.request_timer(now, ticket, out);
        }
        if self.once.next_wake().is_some_and(|due| due <= now) {
            let mut actions = Vec::new();
            self.once.tick(now, &mut actions);
            self.apply_once(now, actions, out);
        }
        if self.policy.next_wake().is_some_and(|due| due <= now) {
            self.notify_policy(now, PolicyEvent::Tick, out);
        }
    }
}

impl<P: RequestPolicy> Machine for EntryNode<P> {
    type Event = EntryEvent;
    type Action = EntryAction;

    fn handle(&mut self, now: TimeMs, event: EntryEvent, out: &mut Vec<EntryAction>) {
        self.fleet.begin(now);
        if self.pause.record_event(now, self.settings.report_life_ms) {
            self.resume_after_pause(now, out);
        }
        match event {
            EntryEvent::Tick => self.tick(now, out),
            EntryEvent::Arrived { ticket, head, key, delegated } => {
                self.arrived(now, ticket, head, key, delegated, out);
            }
            EntryEvent::Attempt { ticket, attempt, event } => {
                self.attempt_event(now, ticket, attempt, event, out);
            }
            EntryEvent::DelegationCompleted { ticket, answered } => {
                self.delegation_completed(ticket, answered, out);
            }
            EntryEvent::CallerDisconnected { ticket } => self.caller_disconnected(now, ticket, out),
            EntryEvent::Polled { vm, outcome, .. } => self.polled(now, &vm, &outcome, out),
            EntryEvent::VmList { entries } => self.vm_list(now, entries, out),
            EntryEvent::Peer { from, message } => self.peer_message(now, &from, message, out),
            EntryEvent::Store { call, reply } => self.store_reply(now, call, &reply, out),
            EntryEvent::Leave => self.leave(now),
        }
        self.check_confirmed(now, out);
        self.check_leaving(now, out);
    }

    fn next_wake(&self) -> Option<TimeMs> {
        let timers = [
            Some(self.fleet.next_wake()),
            Some(self.vm_list_due_at),
            self.polls.next_wake(),
            self.pause.next_wake(),
            Some(self.observe_due_at),
            Some(self.eligibility_due_at).filter(|at| at.get() != u64::MAX),
            self.requests.next_wake(),
            self.policy.next_wake(),
            self.once.next_wake(),
            self.leaves_at().filter(|_| !self.has_expired),
        ];
        timers.into_iter().flatten().min()
    }
}

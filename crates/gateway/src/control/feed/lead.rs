use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender, unbounded};
use celeryhaven_clock::BootClock;
use celeryhaven_sources::{
    Action, Candidates, Poll, PollId, PollPurpose, Reply, Source, SourceFollower,
};
use celeryhaven_store::StoreCodec;
use celeryhaven_types::TimeMs;
use rand::rngs::SmallRng;
use slog::info;
use smol::{Task, Timer};

use crate::control::event::FeedUpdate;
use crate::control::feed::Feed;
use crate::control::feed::poller::{PollRequest, Polled};
use crate::control::feed_conditions::{FeedConditions, FleetScale};
use crate::control::relay::WaitFor;

/// Shortest time between two steps, in milliseconds.
const STEP_MS_MIN: u64 = 5;

/// Time between two steps of a node that has no source yet, in milliseconds.
const IDLE_STEP_MS: u64 = 50;

/// Time without any source after which a follower in a large fleet may use the store, in
/// milliseconds.
///
/// If the store turns the roots of a large fleet away, their relays take their place: hundreds of
/// followers that polled the store themselves would exceed its rates.
const RELAY_SILENCE_MS_MAX: u64 = 3_000;

/// A poll that has ended.
struct Ended {
    id: PollId,
    request: PollRequest,
    polled: Polled,
}

/// The polls of the lead.
struct Lead {
    follower: SourceFollower<SmallRng>,
    open: BTreeMap<PollId, Task<()>>,
    ended: (Sender<Ended>, Receiver<Ended>),
    started_at: TimeMs,
}

impl<W: StoreCodec + Clone + 'static> Feed<W> {
    /// Polls the followed source, and all others while it does not answer in time; the other feeds
    /// follow the source that does.
    pub(super) async fn lead(mut self) {
        let mut lead = Lead {
            follower: SourceFollower::new(self.rng.clone()).with_idle_wait_ms(self.wait_ms),
            open: BTreeMap::new(),
            ended: unbounded(),
            started_at: BootClock.now(),
        };
        loop {
            let candidates = self.candidates(&lead);
            let actions = lead.follower.step(BootClock.now(), &candidates);
            self.carry_out(&mut lead, &candidates, actions);
            let next_at = match candidates.preferred.is_empty() {
                true => BootClock.now().after(IDLE_STEP_MS),
                false => lead.follower.next_step_at(&candidates),
            };
            let pause_ms = next_at.since(BootClock.now()).max(STEP_MS_MIN);
            let step = async {
                Timer::after(Duration::from_millis(pause_ms)).await;
                None
            };
            let ended = async { lead.ended.1.recv().await.ok() };
            if let Some(ended) = smol::future::or(ended, step).await {
                self.process_ended(&mut lead, ended).await;
            }
        }
    }

    async fn process_ended(&mut self, lead: &mut Lead, ended: Ended) {
        let Ended { id, request, polled } = ended;
        if lead.open.remove(&id).is_none() {
            return;
        }
        let applied = self.apply(&request, polled).await;
        let candidates = self.candidates(lead);
        let now = BootClock.now();
        match applied {
            Some(applied) => {
                let pause_ms = applied.pause.as_millis() as u64;
                let (confirmed_at, has_changes) = (applied.confirmed_at, applied.has_changes);
                let reply = Reply { confirmed_at, has_changes, pause_ms };
                let actions = lead.follower.replied(now, id, reply, &candidates);
                self.carry_out(lead, &candidates, actions);
            }
            None => {
                lead.follower.failed(now, id, &candidates);
                if request.source == Source::Store {
                    self.notify(FeedUpdate::Failed).await;
                }
            }
        }
    }

    fn carry_out(&self, lead: &mut Lead, candidates: &Candidates, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Poll(poll) => {
                    let (id, task) = self.start_poll(lead, poll);
                    lead.open.insert(id, task);
                }
                // Dropping the task closes its connection.
                Action::Cancel(id) => drop(lead.open.remove(&id)),
                Action::Follow(source) => {
                    let is_preferred = candidates.preferred.contains(&source);
                    if self.source.set(source.clone()) {
                        let confirmed_at = lead.follower.confirmed_at();
                        info!(self.log, "source followed"; "source" => source.to_string(),
                            "preferred" => is_preferred,
                            "confirmed_ms_ago" => confirmed_at.map(|at| BootClock.now().since(at)));
                    }
                }
                Action::SetLost(is_lost) => {
                    info!(self.log, "sources"; "lost" => is_lost);
                    self.poller.relay.set_lost(is_lost);
                    if !is_lost {
                        self.source.wake();
                    }
                }
            }
        }
    }

    fn start_poll(&self, lead: &Lead, poll: Poll) -> (PollId, Task<()>) {
        let wait_for = match self.poller.conditions.is_relay.get() {
            true => WaitFor::Contact,
            false => WaitFor::Change,
        };
        let Poll { id, source, purpose, wait_ms, timeout_ms, .. } = poll;
        let request = PollRequest {
            source,
            from: self.from,
            wait_ms,
            timeout_ms: Some(timeout_ms),
            wait_for,
            is_followed: purpose == PollPurpose::Follow,
        };
        let (poller, ended) = (self.poller.clone(), lead.ended.0.clone());
        let task = self.executor.spawn(async move {
            let polled = poller.poll(&request).await;
            // The lead holds the receiver as long as it runs.
            ended.send(Ended { id, request, polled }).await.unwrap_or_default();
        });
        (id, task)
    }

    fn candidates(&self, lead: &Lead) -> Candidates {
        let conditions: &Rc<FeedConditions> = &self.poller.conditions;
        let last_heard_at = lead.follower.confirmed_at().unwrap_or(lead.started_at);
        let is_silent = BootClock.now().since(last_heard_at) >= RELAY_SILENCE_MS_MAX;
        let may_replace_relays = conditions.fleet_scale.get() != FleetScale::Large
            || conditions.is_relay.get()
            || is_silent;
        let may_use_store = may_replace_relays && self.may_poll(&Source::Store);
        let relays = conditions.relays.borrow();
        let preferred = match relays.is_empty() {
            true => Some(Source::Store).filter(|store| self.may_poll(store)).into_iter().collect(),
            false => relays.iter().cloned().map(Source::Node).collect(),
        };
        Candidates { preferred, others: conditions.others.borrow().clone(), may_use_store }
    }
}

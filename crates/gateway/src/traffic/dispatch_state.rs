use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use celeryhaven_fleet::RouteTable;
use celeryhaven_policy::{Decision, StandstillWatch, Ticket};
use celeryhaven_types::{Map, ModelName, Refusal, RequestClass, ServiceName, TimeMs};

use crate::traffic::pool::{Pool, RetryLimits};
use crate::traffic::{CallerRequest, Destination, DestinationName, OfferedLoad};

/// Names a pool: a service, and the model where it has engines.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PoolKey {
    pub(crate) service: ServiceName,
    pub(crate) model: Option<ModelName>,
}

/// What the gate tells an exchange.
#[derive(Clone, Debug)]
pub(crate) enum Instruction {
    /// Send the request there.
    Send(Destination),
    /// This is the final answer.
    Refuse(Refusal),
    /// Give the attempt up.
    Cancel,
}

/// A request that is here now.
#[derive(Debug)]
pub(crate) struct Present {
    pub(crate) pool: PoolKey,
    pub(crate) instructions: Sender<Instruction>,
    pub(crate) at: Option<DestinationName>,
    /// Whether its stream gives events.
    pub(crate) streaming: bool,
    /// Whether it may be sent again after it may have run.
    pub(crate) may_repeat: bool,
}

/// Everything that decisions about requests read and change.
#[derive(Debug)]
pub(crate) struct DispatchState {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) routables: Arc<[Destination]>,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ready: bool,
    pub(crate) cut_off_until: Option<TimeMs>,
    pub(crate) leaving_since: Option<TimeMs>,
    pub(crate) progress: StandstillWatch<DestinationName>,
    pub(crate) present: Map<Ticket, Present>,
    pools: Map<PoolKey, Pool>,
    sharers: u32,
    next_ticket: Ticket,
    seed: u64,
    retry_earned: f64,
    retry_extra: f64,
}

impl DispatchState {
    /// Knows nothing yet; repeated sends are limited for all nodes together.
    pub(crate) fn new(seed: u64, retry_earned: f64, retry_extra: f64) -> Self {
        Self {
            routes: None,
            routables: Arc::default(),
            addresses: Vec::new(),
            ready: false,
            cut_off_until: None,
            leaving_since: None,
            progress: StandstillWatch::new(),
            present: Map::default(),
            pools: Map::default(),
            sharers: 1,
            next_ticket: Ticket::default(),
            seed,
            retry_earned,
            retry_extra,
        }
    }

    /// Lets a request in: the policy decides where and when it goes.
    pub(crate) fn enter(
        &mut self,
        now: TimeMs,
        ask: &CallerRequest,
        instructions: Sender<Instruction>,
    ) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket = ticket.next();
        let key = PoolKey { service: ask.service.clone(), model: ask.model.clone() };
        let present = Present {
            pool: key.clone(),
            instructions,
            at: None,
            streaming: false,
            may_repeat: ask.may_repeat(),
        };
        self.present.insert(ticket, present);
        let mut out = Vec::new();
        if let Some(pool) = self.pool(now, &key) {
            let head = ask.head(now, pool.tokens_per_event);
            pool.arrived(now, ticket, &head, &mut out);
        }
        self.carry_out(&key, out);
        ticket
    }

    /// Hands an event about a present request to its pool, and carries out what follows.
    pub(crate) fn tell(
        &mut self,
        ticket: Ticket,
        event: impl FnOnce(&mut Pool, &mut Vec<Decision>),
    ) {
        let Some(present) = self.present.get(&ticket) else { return };
        let key = present.pool.clone();
        let mut out = Vec::new();
        if let Some(pool) = self.pools.get_mut(&key) {
            event(pool, &mut out);
        }
        self.carry_out(&key, out);
    }

    /// Forgets a request that is over; the policy has been told.
    pub(crate) fn leave(&mut self, ticket: Ticket) {
        if let Some(Present { at: Some(name), streaming: true, .. }) = self.present.remove(&ticket)
        {
            self.progress.ended(&name);
        }
    }

    /// Takes over what requests may be sent to.
    pub(crate) fn set_routables(&mut self, now: TimeMs, routables: Arc<[Destination]>) {
        if !Arc::ptr_eq(&self.routables, &routables) {
            self.routables = routables;
            self.refresh(now);
        }
    }

    /// Takes over how many nodes send to the same targets.
    pub(crate) fn set_sharers(&mut self, now: TimeMs, sharers: u32) {
        if sharers == self.sharers {
            return;
        }
        self.sharers = sharers;
        let retries = self.retries();
        for key in self.pools.keys().cloned().collect::<Vec<_>>() {
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.set_sharers(now, sharers, retries, &mut out);
            }
            self.carry_out(&key, out);
        }
    }

    /// Lets time pass: queues, timeouts of the policy, replicas that stand still.
    pub(crate) fn tick(&mut self, now: TimeMs) -> Vec<DestinationName> {
        let still = self.progress.still(now);
        for name in &still {
            self.move_off(name);
        }
        if self.progress.take_changed() {
            self.refresh(now);
        }
        let due = self.pools.iter().filter(|(_, pool)| pool.is_due(now));
        for key in due.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.tick(now, &mut out);
            }
            self.carry_out(&key, out);
        }
        still
    }

    /// Stops sending to a replica for a while, and moves what is there.
    pub(crate) fn suspect(&mut self, now: TimeMs, name: &DestinationName) {
        if !self.progress.is_suspected(now, name) {
            self.progress.suspect(now, name);
            self.move_off(name);
            self.refresh(now);
        }
    }

    /// Stops sending to a replica for a while; what it has goes on.
    pub(crate) fn keep_away(&mut self, now: TimeMs, name: &DestinationName) {
        self.progress.suspect(now, name);
        self.refresh(now);
    }

    /// Work that callers have offered for each model since the last time.
    pub(crate) fn take_offered(&mut self) -> Vec<OfferedLoad> {
        let pools = self.pools.iter_mut();
        let offered = pools.filter_map(|(key, pool)| {
            let model = key.model.clone()?;
            Some(OfferedLoad { model, slot_ms: pool.take_offered_ms() })
        });
        offered.filter(|offered| offered.slot_ms > 0.0).collect()
    }

    /// Requests that wait for a target.
    pub(crate) fn queued(&self) -> usize {
        self.pools.values().map(Pool::queued).sum()
    }

    /// Cancels what may be sent again and is at a replica that stands still.
    ///
    /// Load: a replica that lost a member while its head takes requests for seconds more. Harm:
    /// everything there waits until callers give up. Limit: only what may run twice is moved.
    fn move_off(&self, name: &DestinationName) {
        let there = self.present.values().filter(|present| present.at.as_ref() == Some(name));
        for present in there.filter(|present| present.may_repeat) {
            // A full channel means that an instruction is on its way already.
            present.instructions.try_send(Instruction::Cancel).unwrap_or_default();
        }
    }

    /// Gives each pool the targets that are up and not suspected.
    fn refresh(&mut self, now: TimeMs) {
        for key in self.pools.keys().cloned().collect::<Vec<_>>() {
            let fit = self.routables_of(now, &key);
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.set_targets(now, &fit, &mut out);
            }
            self.carry_out(&key, out);
        }
    }

    fn routables_of(&self, now: TimeMs, key: &PoolKey) -> Vec<Destination> {
        let of_pool = self
            .routables
            .iter()
            .filter(|routable| routable.service == key.service && routable.model == key.model);
        of_pool
            .filter(|routable| !self.progress.is_suspected(now, &routable.name))
            .cloned()
            .collect()
    }

    fn pool(&mut self, now: TimeMs, key: &PoolKey) -> Option<&mut Pool> {
        if !self.pools.contains_key(key) {
            let pool = self.new_pool(now, key);
            self.pools.insert(key.clone(), pool);
        }
        self.pools.get_mut(key)
    }

    fn new_pool(&mut self, now: TimeMs, key: &PoolKey) -> Pool {
        let config = self.routes.as_ref().map(|routes| routes.config());
        let engine = config.and_then(|config| {
            let engine = config.service(&key.service)?.engine.as_ref()?;
            Some((engine, engine.model(key.model.as_ref()?)?))
        });
        let serves = match &key.model {
            Some(model) => RequestClass::Completion { model: model.clone(), adapter: None },
            None => RequestClass::Plain { service: key.service.clone() },
        };
        self.seed = self.seed.wrapping_add(1);
        let mut pool = Pool::new(serves, self.seed, engine, self.retries());
        let mut out = Vec::new();
        pool.set_sharers(now, self.sharers, self.retries(), &mut out);
        pool.set_targets(now, &self.routables_of(now, key), &mut out);
        pool
    }

    /// This node's part of the repeated sends that all nodes may make together.
    fn retries(&self) -> RetryLimits {
        let saved_max = self.retry_extra / f64::from(self.sharers.max(1));
        RetryLimits { earned: self.retry_earned, saved_max }
    }

    fn carry_out(&mut self, key: &PoolKey, decisions: Vec<Decision>) {
        for decision in decisions {
            let (ticket, instruction) = match decision {
                Decision::Dispatch { ticket, target } => {
                    let routable = self.pools.get(key).and_then(|pool| pool.routable(target));
                    let Some(routable) = routable.cloned() else { continue };
                    if let Some(present) = self.present.get_mut(&ticket) {
                        present.at = Some(routable.name.clone());
                    }
                    (ticket, Instruction::Send(routable))
                }
                Decision::Refuse { ticket, refusal } => (ticket, Instruction::Refuse(refusal)),
                Decision::Cancel { ticket } => (ticket, Instruction::Cancel),
            };
            if let Some(present) = self.present.get(&ticket) {
                present.instructions.try_send(instruction).unwrap_or_default();
            }
        }
    }
}

use celeryhaven_derives::state;
use celeryhaven_policy::{Decision, PolicyEvent, RequestPolicy, Ticket};
use celeryhaven_types::{
    ModelName, Organisation, OrganisationName, Priority, RequestClass, ServiceName, TimeMs,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::contender::{Contender, ContenderKind};
use crate::engine::{AttemptKey, Engine};
use crate::figures::Collected;
use crate::scenario::{Scenario, TargetGroup};
use crate::workload::Demand;
use crate::world::UpTime;
use crate::world::event::{Agenda, Event};

/// Time after the last deadline for what is still under way, in microseconds.
const TAIL_US: u64 = 5_000_000;

state! {
    /// How a target answers.
    #[derive(Copy, Eq)]
    pub(crate) enum Reach {
        /// It computes, or waits its pause out.
        Up,
        /// Connections are reset.
        Dead,
        /// Nothing answers.
        Dark,
        /// It is being emptied for a restart.
        Draining,
    }

    /// One try of a caller.
    pub(crate) struct Try {
        pub(crate) demand: usize,
        pub(crate) tries: u32,
        pub(crate) entry: u32,
        pub(crate) arrived_us: u64,
        pub(crate) deadline_us: u64,
        pub(crate) attempt: u32,
        pub(crate) target: Option<u32>,
        pub(crate) first_at_us: Option<u64>,
        pub(crate) done: bool,
    }
}

/// One entry node.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) policy: Contender,
    pub(crate) wake_at_us: Option<u64>,
}

/// One target and its surroundings.
#[derive(Debug)]
pub(crate) struct TargetNode {
    pub(crate) group: usize,
    pub(crate) engine: Engine,
    pub(crate) epoch: u32,
    pub(crate) reach: Reach,
    pub(crate) hung: bool,
    pub(crate) up: UpTime,
    /// Attempts that went dark with it, and whether they had reached it before.
    pub(crate) dark: Vec<(AttemptKey, bool)>,
    /// The rolling restart it is part of and its place there.
    pub(crate) roll: Option<(usize, usize)>,
}

/// Everything of one run.
#[derive(Debug)]
pub(crate) struct World<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) demands: &'a [Demand],
    pub(crate) now_us: u64,
    pub(crate) agenda: Agenda,
    pub(crate) entries: Vec<Entry>,
    pub(crate) targets: Vec<TargetNode>,
    pub(crate) tries: Vec<Try>,
    pub(crate) collected: Collected,
    pub(crate) rng: SmallRng,
    end_us: u64,
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, demands: &'a [Demand], kind: ContenderKind) -> Self {
        let entries = (0..scenario.entries)
            .map(|index| Entry {
                policy: Contender::new(kind, scenario.seed, index),
                wake_at_us: None,
            })
            .collect();
        let last_us = demands.iter().map(Demand::give_up_us).max().unwrap_or(0);
        let mut world = Self {
            scenario,
            demands,
            now_us: 0,
            agenda: Agenda::default(),
            entries,
            targets: targets(scenario),
            tries: Vec::new(),
            collected: Collected::new(scenario.organisations.len()),
            rng: SmallRng::seed_from_u64(scenario.seed ^ 0x5EED),
            end_us: last_us.max(scenario.duration_ms * 1_000) + TAIL_US,
        };
        world.introduce();
        world
    }

    pub(crate) fn run(&mut self) {
        while let Some((at_us, event)) = self.agenda.next() {
            if at_us > self.end_us {
                break;
            }
            self.now_us = at_us;
            self.happen(event);
        }
    }

    /// Tells an entry's policy something and does what it decides.
    pub(crate) fn tell(&mut self, entry: u32, event: PolicyEvent<'_>) {
        let mut out = Vec::new();
        let now = TimeMs::new(self.now_us / 1_000);
        let node = &mut self.entries[entry as usize];
        node.policy.handle(now, event, &mut out);
        let wake_us = node.policy.next_wake().map(|at| at.get() * 1_000);
        if let Some(wake_us) = wake_us
            && node.wake_at_us.is_none_or(|scheduled_us| wake_us < scheduled_us)
        {
            node.wake_at_us = Some(wake_us);
            self.agenda.add(wake_us.max(self.now_us), Event::Wake { entry });
        }
        for decision in out {
            match decision {
                Decision::Dispatch { ticket, target } => self.dispatch(ticket, target.get()),
                Decision::Refuse { ticket, refusal } => self.refused(ticket, &refusal),
                Decision::Cancel { ticket } => self.cancelled(ticket),
                Decision::ReportSlow { .. } | Decision::DenyRetry { .. } => {}
            }
        }
    }

    pub(crate) fn tell_all(&mut self, event: &PolicyEvent<'_>) {
        for entry in 0..self.entries.len() as u32 {
            self.tell(entry, event.clone());
        }
    }

    pub(crate) fn group(&self, target: u32) -> &'a TargetGroup {
        &self.scenario.targets[self.targets[target as usize].group]
    }

    pub(crate) fn distance_us(&self, target: u32) -> u64 {
        u64::from(self.group(target).distance_us)
    }

    pub(crate) fn try_of(&self, ticket: Ticket) -> &Try {
        &self.tries[ticket.get() as usize]
    }

    fn introduce(&mut self) {
        let organisations: Vec<_> = self
            .scenario
            .organisations
            .iter()
            .map(|it| Organisation {
                name: OrganisationName::new(it.name.as_str()),
                worth: it.worth,
                priority: Priority::new(0),
                api_key_sha256: Vec::new(),
            })
            .collect();
        let nodes = self.scenario.entries;
        self.tell_all(&PolicyEvent::Organisations { organisations: &organisations });
        self.tell_all(&PolicyEvent::Senders { nodes });
        let period_us = self.scenario.lags.report_period_ms * 1_000;
        let count = self.targets.len() as u64;
        for target in 0..self.targets.len() as u32 {
            self.known(target, true);
            // Targets report at their own times, not all at once.
            let first_us = period_us * u64::from(target) / count;
            self.agenda.add(first_us, Event::Report { target });
        }
        for (demand, asked) in self.demands.iter().enumerate() {
            self.agenda.add(asked.at_us, Event::Ask { demand, tries: 1 });
        }
        self.plan_faults();
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Ask { demand, tries } => self.ask(demand, tries),
            Event::HangUp { ticket } => self.hang_up(Ticket::new(ticket)),
            Event::Wake { entry } => self.wake(entry),
            Event::Deliver { target, sequence } => self.deliver(target, *sequence),
            Event::Cancel { target, key } => self.targets[target as usize].engine.cancel(key),
            Event::Kick { target } => self.kick(target),
            Event::Step { target, epoch } => self.step(target, epoch),
            Event::Attempt { key, heard } => self.heard(key, heard),
            Event::Report { target } => self.report(target),
            Event::Reported { target, load } => self.reported(target, &load),
            Event::CacheChanged { target, change } => self.cache_changed(target, &change),
            Event::Known { target, up } => self.known(target, up),
            Event::Fault { fault, target, begins } => self.fault(fault, target, begins),
            Event::Roll { fault, place } => self.roll(fault, place),
            Event::Loaded { target } => self.loaded(target),
        }
    }

    fn wake(&mut self, entry: u32) {
        let node = &mut self.entries[entry as usize];
        node.wake_at_us = None;
        let due = node.policy.next_wake().is_some_and(|at| at.get() * 1_000 <= self.now_us);
        if due {
            self.tell(entry, PolicyEvent::Tick);
        } else if let Some(at) = node.policy.next_wake() {
            node.wake_at_us = Some(at.get() * 1_000);
            self.agenda.add(at.get() * 1_000, Event::Wake { entry });
        }
    }
}

pub(crate) fn class_of(group: &TargetGroup) -> RequestClass {
    if group.plain {
        RequestClass::Plain { service: ServiceName::new(group.serves.as_str()) }
    } else {
        RequestClass::Completion { model: ModelName::new(group.serves.as_str()), adapter: None }
    }
}

fn targets(scenario: &Scenario) -> Vec<TargetNode> {
    let mut nodes = Vec::new();
    for (group, described) in scenario.targets.iter().enumerate() {
        nodes.extend((0..described.count).map(|_| TargetNode {
            group,
            engine: Engine::new(described.engine, described.slots),
            epoch: 0,
            reach: Reach::Up,
            hung: false,
            up: UpTime::new(),
            dark: Vec::new(),
            roll: None,
        }));
    }
    nodes
}

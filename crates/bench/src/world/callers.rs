use celeryhaven_policy::{PolicyEvent, Ticket};
use celeryhaven_types::{Refusal, Verdict};

use crate::scenario::CallerBehaviour;
use crate::world::event::Event;
use crate::world::state::{Try, World};

/// Time after its deadline at which a caller hangs up, in microseconds.
const HANG_UP_US: u64 = 50_000;

impl World<'_> {
    pub(crate) fn ask(&mut self, demand: usize, tries: u32) {
        let asked = &self.demands[demand];
        let left_ms = asked.give_up_us().saturating_sub(self.now_us) / 1_000;
        let deadline_ms = asked.head.deadline_in_ms.min(left_ms);
        let ticket = self.tries.len() as u64;
        let deadline_us = self.now_us + deadline_ms * 1_000;
        self.collected.asked += u64::from(tries == 1);
        self.collected.tries += 1;
        if tries == 1 {
            let work_us = self.work_us(demand);
            self.collected.work_by_organisation[asked.organisation].0 += work_us;
        }
        self.tries.push(Try {
            demand,
            tries,
            entry: asked.entry,
            arrived_us: self.now_us,
            deadline_us,
            attempt: 0,
            target: None,
            first_at_us: None,
            done: false,
        });
        self.agenda.add(deadline_us + HANG_UP_US, Event::HangUp { ticket });
        let mut head = asked.head.clone();
        head.deadline_in_ms = deadline_ms;
        let arrived = PolicyEvent::Arrived { ticket: Ticket::new(ticket), head: &head };
        self.tell(asked.entry, arrived);
    }

    pub(crate) fn refused(&mut self, ticket: Ticket, refusal: &Refusal) {
        let now_us = self.now_us;
        let state = &mut self.tries[ticket.get() as usize];
        assert!(!state.done, "a policy ended a ticket twice");
        state.done = true;
        let (demand, tries) = (state.demand, state.tries);
        if refusal.verdict == Verdict::NotRun {
            self.collected.refused += 1;
        } else {
            self.collected.lost += 1;
        }
        self.collected.told.saturating_record(now_us - state.arrived_us);
        self.come_back(demand, tries, refusal);
    }

    pub(crate) fn hang_up(&mut self, ticket: Ticket) {
        let state = &mut self.tries[ticket.get() as usize];
        if state.done {
            return;
        }
        state.done = true;
        self.collected.late += 1;
        let entry = state.entry;
        self.drop_attempt(ticket);
        self.tell(entry, PolicyEvent::CallerDisconnected { ticket });
    }

    /// Least engine time of a request without its cache, in microseconds.
    pub(crate) fn work_us(&self, demand: usize) -> f64 {
        let asked = &self.demands[demand];
        let group = self.scenario.targets.iter().find(|group| group.serves == asked.serves);
        group.map_or(0.0, |group| {
            let engine = group.engine;
            let token_us =
                engine.step_us as f64 / f64::from(group.slots) + engine.step_per_sequence_us as f64;
            f64::from(asked.output_tokens) * token_us
                + (u64::from(asked.head.prompt_tokens) * engine.prefill_per_token_us) as f64
        })
    }

    fn come_back(&mut self, demand: usize, tries: u32, refusal: &Refusal) {
        let callers = self.scenario.callers;
        let after_ms = match callers.when_refused {
            CallerBehaviour::GiveUp => None,
            CallerBehaviour::Obey => refusal.retry_after_ms,
            CallerBehaviour::Ignore => Some(callers.ignore_after_ms),
        };
        let Some(after_ms) = after_ms else { return };
        let asked = &self.demands[demand];
        let safe = refusal.verdict == Verdict::NotRun
            || asked.head.idempotency == celeryhaven_types::Idempotency::Idempotent;
        let at_us = self.now_us + after_ms * 1_000;
        if safe && tries < callers.tries_max && at_us < asked.give_up_us() {
            self.agenda.add(at_us, Event::Ask { demand, tries: tries + 1 });
        }
    }
}

use celeryhaven_policy::{PolicyEvent, Ticket};
use celeryhaven_types::Verdict;

use crate::engine::{AttemptKey, Sequence};
use crate::world::event::{Event, Heard};
use crate::world::state::World;

impl World<'_> {
    pub(crate) fn dispatch(&mut self, ticket: Ticket, target: u32) {
        let state = &mut self.tries[ticket.get() as usize];
        assert!(!state.done && state.target.is_none(), "a policy dispatched twice");
        state.attempt += 1;
        state.target = Some(target);
        let key = AttemptKey { ticket: ticket.get(), attempt: state.attempt };
        let demand = &self.demands[state.demand];
        let sequence = Sequence {
            key,
            entry: state.entry,
            prompt_tokens: demand.head.prompt_tokens,
            blocks: demand.head.prefix_hashes.clone(),
            output_tokens: demand.output_tokens,
            adapter: demand.adapter,
            prefill_left: 0,
            generated: 0,
            ready_at_us: 0,
            last_token_us: 0,
        };
        let at_us = self.now_us + self.distance_us(target);
        self.agenda.add(at_us, Event::Deliver { target, sequence: Box::new(sequence) });
    }

    pub(crate) fn cancelled(&mut self, ticket: Ticket) {
        let key = AttemptKey { ticket: ticket.get(), attempt: self.try_of(ticket).attempt };
        self.cancel_at_target(ticket);
        let heard = Heard::Broken { verdict: Verdict::MayHaveRun };
        self.agenda.add(self.now_us, Event::Attempt { key, heard });
    }

    pub(crate) fn drop_attempt(&mut self, ticket: Ticket) {
        self.cancel_at_target(ticket);
        self.tries[ticket.get() as usize].target = None;
    }

    pub(crate) fn heard(&mut self, key: AttemptKey, heard: Heard) {
        let ticket = Ticket::new(key.ticket);
        let state = &mut self.tries[key.ticket as usize];
        if state.done || state.target.is_none() || state.attempt != key.attempt {
            return;
        }
        let (entry, demand) = (state.entry, state.demand);
        match heard {
            Heard::First => {
                state.first_at_us.get_or_insert(self.now_us);
                self.tell(entry, PolicyEvent::Started { ticket });
            }
            Heard::Finished => {
                state.done = true;
                self.answered(ticket);
                let output_tokens = self.demands[demand].output_tokens;
                self.tell(entry, PolicyEvent::Finished { ticket, output_tokens });
            }
            Heard::Broken { verdict } => {
                state.target = None;
                state.first_at_us = None;
                self.tell(entry, PolicyEvent::AttemptFailed { ticket, verdict });
            }
        }
    }

    fn answered(&mut self, ticket: Ticket) {
        let state = self.tries[ticket.get() as usize].clone();
        let demand = &self.demands[state.demand];
        if self.now_us > state.deadline_us || self.now_us > demand.give_up_us() {
            self.collected.late += 1;
            return;
        }
        let work_us = self.work_us(state.demand);
        self.collected.in_time += 1;
        self.collected.worth += f64::from(demand.head.worth);
        self.collected.tokens += u64::from(demand.output_tokens);
        self.collected.useful_us += work_us;
        self.collected.work_by_organisation[demand.organisation].1 += work_us;
        let first_us = state.first_at_us.unwrap_or(self.now_us) - state.arrived_us;
        self.collected.first_token.saturating_record(first_us);
    }

    fn cancel_at_target(&mut self, ticket: Ticket) {
        let state = self.try_of(ticket);
        let Some(target) = state.target else { return };
        let key = AttemptKey { ticket: ticket.get(), attempt: state.attempt };
        let at_us = self.now_us + self.distance_us(target);
        self.agenda.add(at_us, Event::Cancel { target, key });
    }
}

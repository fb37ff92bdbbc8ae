use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use celeryhaven_http::EventSplitter;
use celeryhaven_policy::Ticket;
use celeryhaven_types::{Refusal, RefusalCode, Verdict, VmName};
use http::StatusCode;
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::http::refusal_parts;
use crate::traffic::attempt::{Attempt, AttemptEnd};
use crate::traffic::delivery::Delivery;
use crate::traffic::gate_state::Instruction;
use crate::traffic::{AnswerParts, Ask, Gate, Sink};

/// When to ask again after a target refused and no other may be tried, in milliseconds.
///
/// Load: one full target among some. Harm: at once, the caller meets the same full target. Limit:
/// a few times what a lookup takes.
const REFUSED_RETRY_MS: u64 = 200;

/// What stops an attempt before its target does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interrupt {
    /// The caller waits no longer.
    Deadline,
    /// The gate wants it elsewhere.
    Cancelled,
}

/// One caller's request from its arrival to its final answer.
pub(crate) struct Exchange<A: Adapter> {
    pub(crate) gate: Rc<Gate<A>>,
    pub(crate) ask: Ask,
    pub(crate) sink: Sink,
    pub(crate) splitter: EventSplitter,
    pub(crate) attempts: u32,
    pub(crate) delivery: Delivery,
    /// Where the last attempt went.
    target: Option<VmName>,
    /// How the last attempt ended, if not with an answer.
    attempt_end: Option<&'static str>,
    pub(crate) may_have_run: bool,
    /// A failure that a target answered, for the caller if no other attempt does better.
    pub(crate) failure: Option<(AnswerParts, Bytes)>,
    pub(crate) ticket: Ticket,
    pub(crate) instructions: Receiver<Instruction>,
    over: bool,
}

/// Tells the gate when a caller leaves and the exchange is dropped in the middle.
impl<A: Adapter> Drop for Exchange<A> {
    fn drop(&mut self) {
        if !self.over {
            self.gate.gone(self.ticket);
            self.note("caller gone", 0);
        }
    }
}

impl<A: Adapter> Exchange<A> {
    /// Lets a request in.
    pub(crate) fn new(gate: Rc<Gate<A>>, ask: Ask, sink: Sink) -> Self {
        let (ticket, instructions) = gate.enter(&ask);
        let splitter = EventSplitter::new(ask.caller.last_event_id.clone());
        Self {
            gate,
            ask,
            sink,
            splitter,
            attempts: 0,
            delivery: Delivery::default(),
            target: None,
            attempt_end: None,
            may_have_run: false,
            failure: None,
            ticket,
            instructions,
            over: false,
        }
    }

    /// Carries it through.
    pub(crate) async fn run(mut self) {
        loop {
            let instruction = match self.next_instruction().await {
                None => return self.give_up(RefusalCode::DeadlineUnreachable).await,
                Some(instruction) => instruction,
            };
            match instruction {
                Instruction::Cancel => {}
                Instruction::Refuse(refusal) => {
                    self.gate.refused(self.ticket);
                    return self.refuse(refusal).await;
                }
                Instruction::Send(routable) => {
                    self.attempts += 1;
                    self.delivery.sent(self.gate.now());
                    self.target = Some(routable.target.clone());
                    let end = Attempt::new(&mut self, &routable).run().await;
                    if self.settle(end).await {
                        return;
                    }
                }
            }
        }
    }

    /// Waits for a future, the caller's deadline or a cancel.
    pub(crate) async fn unless_interrupted<T>(
        &self,
        future: impl Future<Output = T>,
    ) -> Result<T, Interrupt> {
        let cancel = async {
            loop {
                match self.instructions.recv().await {
                    Ok(Instruction::Cancel) | Err(_) => return Err(Interrupt::Cancelled),
                    Ok(Instruction::Send(_) | Instruction::Refuse(_)) => {}
                }
            }
        };
        let deadline = async {
            Timer::after(self.time_left()).await;
            Err(Interrupt::Deadline)
        };
        smol::future::or(async { Ok(future.await) }, smol::future::or(cancel, deadline)).await
    }

    /// Time until the caller waits no longer.
    pub(crate) fn time_left(&self) -> Duration {
        Duration::from_millis(self.ask.deadline.since(self.gate.now()))
    }

    async fn next_instruction(&self) -> Option<Instruction> {
        let deadline = async {
            Timer::after(self.time_left()).await;
            None
        };
        smol::future::or(async { self.instructions.recv().await.ok() }, deadline).await
    }

    /// Takes over how an attempt ended; true if the exchange is over.
    async fn settle(&mut self, end: AttemptEnd) -> bool {
        self.attempt_end = match end {
            AttemptEnd::Answered => None,
            AttemptEnd::Interrupted(Interrupt::Deadline) => Some("deadline"),
            AttemptEnd::Interrupted(Interrupt::Cancelled) => Some("taken off its target"),
            AttemptEnd::Broken(_) => Some("broken"),
        };
        match end {
            AttemptEnd::Answered => {
                self.gate.finished(self.ticket, self.splitter.event_count(), &self.ask);
                self.end("answered", self.splitter.event_count());
                true
            }
            AttemptEnd::Interrupted(Interrupt::Deadline) => {
                self.may_have_run = true;
                self.give_up(RefusalCode::AnswerLost).await;
                true
            }
            AttemptEnd::Interrupted(Interrupt::Cancelled) => {
                self.note_taken_off();
                self.may_have_run = true;
                self.broke(Verdict::MayHaveRun).await
            }
            AttemptEnd::Broken(verdict) => {
                self.may_have_run |= verdict != Verdict::NotRun;
                self.broke(verdict).await
            }
        }
    }

    async fn broke(&mut self, verdict: Verdict) -> bool {
        let may_go_on = self.ask.may_repeat() || !self.may_have_run;
        if may_go_on && self.attempts < self.ask.route.attempts_max {
            self.gate.broken(self.ticket, verdict);
            return false;
        }
        self.give_up(RefusalCode::AnswerLost).await;
        true
    }

    /// Ends a request that no target will answer.
    async fn give_up(&mut self, code: RefusalCode) {
        self.gate.gone(self.ticket);
        let refusal = match self.may_have_run {
            true => Refusal::may_have_run(code),
            false => {
                Refusal::not_run(RefusalCode::Overloaded).with_retry_after_ms(REFUSED_RETRY_MS)
            }
        };
        self.refuse(refusal).await;
    }

    async fn refuse(&mut self, refusal: Refusal) {
        if self.sink.has_begun() {
            // The sink is dropped without an end mark, so the caller sees a broken answer.
            return self.end("broken off", self.splitter.event_count());
        }
        if let Some((parts, body)) = self.failure.take() {
            self.sink.begin(AnswerParts { whole: Some(body), ..parts }).await;
            return self.end("failed by target", 0);
        }
        let expired = self.time_left().is_zero();
        let refusal = match self.may_have_run {
            true => Refusal::may_have_run(RefusalCode::AnswerLost),
            false => refusal,
        };
        let status = match (self.may_have_run, expired) {
            (true, true) => StatusCode::GATEWAY_TIMEOUT,
            (true, false) => StatusCode::BAD_GATEWAY,
            (false, _) => StatusCode::SERVICE_UNAVAILABLE,
        };
        self.sink
            .begin(refusal_parts(status, &refusal, self.ask.caller.request_id.as_deref()))
            .await;
        self.end(if self.may_have_run { "may have run" } else { "not run" }, 0);
    }

    /// The other ends of an attempt are noted where they are seen.
    fn note_taken_off(&self) {
        info!(self.gate.log, "attempt ended";
            "request_id" => self.ask.id(),
            "target" => self.target.as_ref().map(VmName::as_str),
            "attempt" => self.attempts,
            "why" => self.attempt_end,
        );
    }

    fn end(&mut self, outcome: &'static str, events: u32) {
        self.over = true;
        self.note(outcome, events);
    }

    fn note(&self, outcome: &'static str, events: u32) {
        let now = self.gate.now();
        self.gate.metrics.record_request(outcome, now.since(self.ask.arrived_at));
        info!(self.gate.log, "request ended";
            "request_id" => self.ask.id(),
            "route" => &self.ask.route.name,
            "organisation" => self.ask.organisation.as_ref().map(celeryhaven_types::OrganisationName::as_str),
            "outcome" => outcome,
            "attempts" => self.attempts,
            "target" => self.target.as_ref().map(VmName::as_str),
            "attempt_end" => self.attempt_end,
            "prompt_tokens" => self.ask.caller.prompt_tokens,
            "output_tokens" => self.ask.caller.output_tokens_max,
            "events" => events,
            "waited_ms" => self.delivery.sent_at.map(|at| at.since(self.ask.arrived_at)),
            "first_ms" => self.delivery.first_at.map(|at| at.since(self.ask.arrived_at)),
            "objective_ms" => self.ask.route.objective_ms,
            "longest_pause_ms" => self.delivery.longest_pause_ms,
            "took_ms" => now.since(self.ask.arrived_at),
            "left_ms" => self.ask.deadline.since(now),
        );
    }
}

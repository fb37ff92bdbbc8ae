use async_channel::Receiver;
use bytes::Bytes;
use celeryhaven_http::EventSplitter;
use celeryhaven_policy::Ticket;
use celeryhaven_telemetry::metrics::OutcomeLabel;
use celeryhaven_types::{TimeMs, Verdict};
use slog::info;
use smol::Task;

use crate::adapter::Adapter;
use crate::traffic::attempt::AttemptOutcome;
use crate::traffic::dispatch_state::{Instruction, instruction_channel};
use crate::traffic::exchange::{Exchange, Interrupt};
use crate::traffic::second_attempts::SecondAttempt;
use crate::traffic::sink::Chunk;
use crate::traffic::{AnswerChunks, AnswerParts, Destination, answer_sink};

/// A second attempt that runs beside the first.
///
/// It is an exchange of its own, whose answer waits here until the first attempt has failed or the
/// second has produced the next event.
#[derive(Debug)]
pub(crate) struct RunningSecond {
    ticket: Ticket,
    head: Receiver<AnswerParts>,
    chunks: AnswerChunks,
    /// The head, once it has been received.
    received_head: Option<AnswerParts>,
    task: Task<EndedSecond>,
}

/// What a second attempt leaves behind when it ends.
#[derive(Debug)]
pub(crate) struct EndedSecond {
    outcome: AttemptOutcome,
    ticket: Ticket,
    instructions: Receiver<Instruction>,
    splitter: EventSplitter,
    unanswered_at: Option<(Destination, TimeMs)>,
    failed_answer: Option<(AnswerParts, Bytes)>,
    may_have_run: bool,
    attempts: u32,
    reached: u32,
    target: Option<celeryhaven_types::VmName>,
}

impl<A: Adapter> Exchange<A> {
    /// Begins a second attempt, unless the request must not be sent again.
    pub(crate) fn start_second(&self, second: SecondAttempt) {
        let SecondAttempt { ticket, destination, instructions } = second;
        let is_possible = !self.is_trial && self.may_start_second();
        if !is_possible {
            return self.dispatcher.abandoned(ticket);
        }
        self.log_second(destination.target.as_str());
        self.spawn_second(ticket, instructions, async move |exchange| {
            exchange.run_attempts(&destination).await
        });
    }

    fn may_start_second(&self) -> bool {
        self.request.body.is_held()
            && self.second.borrow().is_none()
            && self.quarantine_refusal().is_none()
            && self.stop_refusal().is_none()
    }

    /// Lets a peer run the request beside the attempt that runs.
    pub(crate) fn start_second_at_peer(&self) {
        if !self.may_start_second() {
            return;
        }
        self.log_second("peer");
        // The policy does not know what peers run.
        let (_, instructions) = instruction_channel();
        self.spawn_second(self.dispatcher.reserve_ticket(), instructions, async |exchange| {
            let outcome = exchange.attempt_at_peers().await;
            if let Some(AttemptOutcome::PeerRefused(refusal, _)) = outcome {
                exchange.reached += refusal.attempts;
            }
            outcome.unwrap_or(AttemptOutcome::Failed(Verdict::NotRun))
        });
    }

    fn count_second(&self, outcome: &'static str) {
        let label = OutcomeLabel { call: "request", outcome };
        self.dispatcher.metrics.second_attempts.get_or_create(&label).inc();
    }

    fn log_second(&self, target: &str) {
        info!(self.dispatcher.log, "second attempt begins"; "request_id" => self.request.id(),
            "attempt" => self.attempts + 1, "target" => target);
    }

    fn spawn_second(
        &self,
        ticket: Ticket,
        instructions: Receiver<Instruction>,
        run: impl AsyncFnOnce(&mut Self) -> AttemptOutcome + 'static,
    ) {
        let (sink, head, chunks) = answer_sink(&self.dispatcher.unread_answers);
        let mut splitter = self.splitter.clone();
        splitter.drop_pending();
        let sink = sink.with_resumed(self.sink.is_begun());
        let (dispatcher, request) = (self.dispatcher.clone(), self.request.clone());
        let mut exchange = Self::with_ticket(dispatcher, request, ticket, (sink, splitter));
        exchange.instructions = instructions;
        (exchange.attempts, exchange.reached) = (self.attempts, self.reached);
        (exchange.is_registered, exchange.is_second) = (true, true);
        let task = self.dispatcher.executor.spawn(async move {
            let outcome = run(&mut exchange).await;
            exchange.end_second(outcome)
        });
        let running = RunningSecond { ticket, head, chunks, received_head: None, task };
        self.second.replace(Some(running));
    }

    /// Waits until the second attempt has an answer; returns false if it has ended without one.
    pub(crate) async fn second_answers(&self) -> bool {
        let head = match &*self.second.borrow() {
            None => None,
            Some(second) if second.received_head.is_some() => return true,
            Some(second) => Some(second.head.clone()),
        };
        let Some(head) = head else { return std::future::pending().await };
        match head.recv().await {
            Ok(parts) => {
                if let Some(second) = self.second.borrow_mut().as_mut() {
                    second.received_head = Some(parts);
                }
                true
            }
            Err(_) => {
                let second = self.second.take();
                if let Some(second) = second {
                    let ended = second.task.await;
                    self.count_second("failed");
                    let verdict = ended.outcome.verdict();
                    self.dispatcher.partner_failed(ended.ticket, &self.request, verdict);
                    self.ended_seconds.borrow_mut().push(ended);
                }
                false
            }
        }
    }

    /// Stops the second attempt, as the first has produced the next event.
    pub(crate) fn cancel_second(&self) {
        if let Some(second) = self.second.take() {
            self.count_second("not needed");
            info!(self.dispatcher.log, "second attempt not needed";
                "request_id" => self.request.id());
            drop(second);
        }
    }

    /// Sends the request to a target, and to a second one if the dispatcher says so, until one of them
    /// has answered or all have failed.
    pub(crate) async fn run_attempts(&mut self, destination: &Destination) -> AttemptOutcome {
        let outcome = self.run_attempt(destination).await;
        self.run_others(outcome).await
    }

    /// Runs a second attempt whose first has ended; returns `None` if it must not be sent.
    pub(crate) async fn run_granted(&mut self, second: SecondAttempt) -> Option<AttemptOutcome> {
        self.start_second(second);
        let running = self.second.take()?;
        let outcome = self.continue_as(running).await;
        Some(self.run_others(outcome).await)
    }

    /// Goes on as a second attempt, for as long as the last one has failed and another runs.
    async fn run_others(&mut self, mut outcome: AttemptOutcome) -> AttemptOutcome {
        loop {
            self.count_ended_seconds();
            if !outcome.may_go_on() {
                return outcome;
            }
            // One that was granted as the first attempt ended has not begun yet.
            while let Ok(instruction) = self.instructions.try_recv() {
                if let Instruction::StartSecond(second) = instruction {
                    self.start_second(second);
                }
            }
            let Some(second) = self.second.take() else { return outcome };
            self.end_first(outcome);
            outcome = self.continue_as(second).await;
        }
    }

    /// Gives the first attempt up, as the request goes on as the second.
    fn end_first(&mut self, outcome: AttemptOutcome) {
        self.log_replaced_attempt(outcome);
        match outcome {
            AttemptOutcome::Interrupted(_) => {
                self.may_have_run = true;
                self.check_abandoned();
            }
            _ => {
                self.may_have_run |= outcome.verdict() != Verdict::NotRun;
                self.unanswered_at = None;
            }
        }
        match outcome {
            AttemptOutcome::Interrupted(Interrupt::Overtaken) => {
                self.dispatcher.abandoned(self.ticket);
            }
            _ => self.dispatcher.partner_failed(self.ticket, &self.request, outcome.verdict()),
        }
    }

    /// Forwards the answer of the second attempt; returns how that has ended.
    async fn continue_as(&mut self, second: RunningSecond) -> AttemptOutcome {
        let RunningSecond { ticket, head, mut chunks, received_head, task } = second;
        self.ticket = ticket;
        self.count_second("took over");
        let head = match received_head {
            Some(parts) => Some(parts),
            None => head.recv().await.ok(),
        };
        if let Some(parts) = head {
            if parts.body.is_some() {
                self.delivery.record_chunk(self.dispatcher.now());
            }
            if !self.sink.head_sent() {
                self.sink.send_head(parts).await;
            }
            while let Some(chunk) = chunks.next().await {
                match chunk {
                    Chunk::Data(chunk) => {
                        self.delivery.record_chunk(self.dispatcher.now());
                        self.sink.send_chunk(chunk.take()).await;
                    }
                    Chunk::End => self.sink.finish().await,
                }
            }
        }
        let ended = task.await;
        let outcome = ended.outcome;
        self.become_second(ended);
        outcome
    }

    fn become_second(&mut self, ended: EndedSecond) {
        self.may_have_run |= ended.may_have_run;
        let is_at_peer = !self.dispatcher.is_registered(ended.ticket);
        // The policy can't send what a peer has run again.
        self.attempts = if is_at_peer { self.request.route.attempts_max } else { ended.attempts };
        self.reached = ended.reached;
        self.ticket = ended.ticket;
        self.instructions = ended.instructions;
        self.splitter = ended.splitter;
        self.unanswered_at = ended.unanswered_at;
        self.target = ended.target;
        self.failed_answer = ended.failed_answer.or(self.failed_answer.take());
    }

    /// Counts the second attempts that have failed while the first went on.
    fn count_ended_seconds(&mut self) {
        for ended in self.ended_seconds.take() {
            let is_counted = match ended.outcome {
                AttemptOutcome::Withheld => false,
                AttemptOutcome::Failed(Verdict::NotRun) => !self.sink.is_begun(),
                _ => true,
            };
            self.attempts = self.attempts.max(ended.attempts - u32::from(!is_counted));
            self.reached = self.reached.max(ended.reached);
            self.may_have_run |= ended.may_have_run || ended.outcome.verdict() != Verdict::NotRun;
            self.failed_answer = self.failed_answer.take().or(ended.failed_answer);
        }
    }

    /// Ends this second attempt; what it has learned is passed to the first.
    fn end_second(mut self, outcome: AttemptOutcome) -> EndedSecond {
        self.completed = true;
        EndedSecond {
            outcome,
            ticket: self.ticket,
            instructions: self.instructions.clone(),
            splitter: std::mem::take(&mut self.splitter),
            unanswered_at: self.unanswered_at.take(),
            failed_answer: self.failed_answer.take(),
            may_have_run: self.may_have_run,
            attempts: self.attempts,
            reached: self.reached,
            target: self.target.take(),
        }
    }
}

impl AttemptOutcome {
    /// Whether a second attempt may still answer the request.
    fn may_go_on(self) -> bool {
        !matches!(self, Self::Answered | Self::Interrupted(Interrupt::Deadline | Interrupt::Exit))
    }

    /// Returns whether the target may have run the request.
    fn verdict(self) -> Verdict {
        match self {
            Self::Failed(verdict) | Self::Isolated(verdict) => verdict,
            Self::PeerRefused(refusal, _) => refusal.verdict,
            Self::Withheld => Verdict::NotRun,
            Self::Answered | Self::Interrupted(_) => Verdict::MayHaveRun,
        }
    }
}

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use celeryhaven_delegation::{DelegationRefusal, TargetNotice};
use celeryhaven_http::EventSplitter;
use celeryhaven_policy::{RetryDenial, Ticket};
use celeryhaven_types::{Refusal, RefusalCode, TimeMs, Verdict, VmName};
use http::StatusCode;
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::http::refusal_parts;
use crate::traffic::attempt::{Attempt, AttemptOutcome};
use crate::traffic::delegation::Delegation;
use crate::traffic::delivery_times::DeliveryTimes;
use crate::traffic::dispatch_state::{Instruction, instruction_channel};
use crate::traffic::running_second::{EndedSecond, RunningSecond};
use crate::traffic::{
    AnswerParts, AnswerSink, CallerRequest, Destination, Dispatcher, add_delegation_refusal,
};

/// Retry delay suggested for a request that failed without having run, in milliseconds.
///
/// At once, the caller would meet the same full target again.
const REFUSED_RETRY_AFTER_MS: u64 = 200;

/// Time after a crash within which the other nodes learn what it implicates.
const REPORT_TIME: Duration = Duration::from_millis(200);

/// Why an attempt was stopped before its target answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interrupt {
    /// The caller's deadline has passed.
    Deadline,
    /// The dispatcher cancelled the attempt.
    Cancelled,
    /// The second attempt has an answer.
    Overtaken,
    /// A cause that the request holds is quarantined.
    Quarantined,
    /// The process is about to exit.
    Exit,
}

/// Handles one caller request from its arrival to its final answer.
pub(crate) struct Exchange<A: Adapter> {
    pub(crate) dispatcher: Rc<Dispatcher<A>>,
    pub(crate) request: Rc<CallerRequest>,
    pub(crate) sink: AnswerSink,
    pub(crate) splitter: EventSplitter,
    pub(crate) attempts: u32,
    pub(crate) delivery: DeliveryTimes,
    /// The target of the last attempt.
    pub(super) target: Option<VmName>,
    /// The outcome of the last attempt, unless the target answered.
    last_attempt_outcome: Option<&'static str>,
    /// Why the last attempt was not followed by another, unless the target answered.
    retry_denial: Option<RetryDenial>,
    pub(crate) may_have_run: bool,
    /// The error answer of a target, sent to the caller if no other attempt succeeds.
    pub(crate) failed_answer: Option<(AnswerParts, Bytes)>,
    pub(crate) ticket: Ticket,
    pub(crate) instructions: Receiver<Instruction>,
    /// Whether a quarantined request is sent once, to see whether it still ends its target.
    pub(crate) is_trial: bool,
    /// Whether the policy knows the request.
    pub(crate) is_registered: bool,
    /// Number of targets that the request may have reached.
    pub(crate) reached: u32,
    /// The target that has sent no whole event yet, and when the request was sent to it.
    pub(crate) unanswered_at: Option<(Destination, TimeMs)>,
    /// The second attempt that runs beside this one.
    pub(super) second: RefCell<Option<RunningSecond>>,
    /// Second attempts that have failed since the first was begun.
    pub(super) ended_seconds: RefCell<Vec<EndedSecond>>,
    /// What the last target that answered has said of itself, for the node that has delegated the request.
    pub(super) notice: Option<TargetNotice>,
    /// Whether this is the second attempt of another exchange.
    pub(super) is_second: bool,
    pub(super) completed: bool,
}

/// Reports an exchange that is dropped because its caller disconnected.
impl<A: Adapter> Drop for Exchange<A> {
    fn drop(&mut self) {
        if !self.completed {
            self.check_abandoned();
            self.dispatcher.abandoned(self.ticket);
            if !self.is_second {
                self.log_completed("caller gone", 0);
            }
        }
    }
}

impl<A: Adapter> Exchange<A> {
    /// Creates the exchange of a request, which is not registered with the dispatcher yet.
    pub(crate) fn new(
        dispatcher: Rc<Dispatcher<A>>,
        request: CallerRequest,
        sink: AnswerSink,
    ) -> Self {
        let ticket = dispatcher.reserve_ticket();
        let splitter = EventSplitter::new(request.caller.last_event_id.clone());
        Self::with_ticket(dispatcher, Rc::new(request), ticket, (sink, splitter))
    }

    /// Creates an exchange that goes on after the last event that the splitter has seen.
    pub(super) fn with_ticket(
        dispatcher: Rc<Dispatcher<A>>,
        request: Rc<CallerRequest>,
        ticket: Ticket,
        (sink, splitter): (AnswerSink, EventSplitter),
    ) -> Self {
        let (_, instructions) = instruction_channel();
        Self {
            dispatcher,
            request,
            sink,
            splitter,
            attempts: 0,
            delivery: DeliveryTimes::default(),
            target: None,
            last_attempt_outcome: None,
            retry_denial: None,
            may_have_run: false,
            failed_answer: None,
            ticket,
            instructions,
            is_trial: false,
            is_registered: false,
            reached: 0,
            unanswered_at: None,
            second: RefCell::default(),
            ended_seconds: RefCell::default(),
            notice: None,
            is_second: false,
            completed: false,
        }
    }

    /// Makes this the trial of a quarantined request, which may run only once.
    pub(crate) fn with_trial(mut self) -> Self {
        self.is_trial = true;
        self
    }

    /// Sends the request to targets until the caller has a final answer.
    pub(crate) async fn run(mut self) {
        self.wait_while_held().await;
        if self.dispatcher.link_check.links.is_isolated(&self.request.service) {
            if self.request.delegated.is_some() {
                return self.refuse_isolated().await;
            }
            if self.may_delegate() && self.delegate().await == Delegation::Completed {
                return;
            }
        }
        self.instructions = self.dispatcher.register(self.ticket, &self.request);
        self.is_registered = true;
        loop {
            let instruction = match self.next_instruction().await {
                None => return self.fail(RefusalCode::DeadlineUnreachable).await,
                Some(instruction) => instruction,
            };
            match instruction {
                Instruction::Cancel | Instruction::DelegateSecond | Instruction::TakeBack => {}
                Instruction::Refuse(refusal) => {
                    self.retry_denial = self.dispatcher.retry_denial(self.ticket);
                    self.dispatcher.refused(self.ticket);
                    return self.refuse(refusal).await;
                }
                Instruction::Send(destination) => {
                    let refusal = self.quarantine_refusal().or_else(|| self.stop_refusal());
                    if let Some(refusal) = refusal {
                        self.dispatcher.abandoned(self.ticket);
                        return self.refuse(refusal).await;
                    }
                    let outcome = self.run_attempts(&destination).await;
                    if self.resolve_attempt(outcome).await {
                        return;
                    }
                }
                // It was granted as the first attempt ended, whose ticket the policy has dropped.
                Instruction::StartSecond(second) => {
                    self.dispatcher.refused(self.ticket);
                    let Some(outcome) = self.run_granted(second).await else {
                        return self.fail(RefusalCode::AnswerLost).await;
                    };
                    if self.resolve_attempt(outcome).await {
                        return;
                    }
                }
            }
        }
    }

    /// Sends the request to one target.
    pub(super) async fn run_attempt(&mut self, destination: &Destination) -> AttemptOutcome {
        self.attempts += 1;
        self.delivery.record_sent(self.dispatcher.now());
        self.target = Some(destination.target.clone());
        Attempt::new(self, destination).run().await
    }

    /// Waits for a future, the caller's deadline, a cancellation, or the answer of a second attempt.
    pub(crate) async fn unless_interrupted<T>(
        &self,
        future: impl Future<Output = T>,
    ) -> Result<T, Interrupt> {
        let instruction = async || {
            loop {
                match self.instructions.recv().await {
                    Ok(Instruction::Cancel) => return Err(Interrupt::Cancelled),
                    Ok(Instruction::StartSecond(second)) => return Ok(Some(second)),
                    Ok(Instruction::DelegateSecond) => return Ok(None),
                    Ok(Instruction::TakeBack) if self.may_be_taken_back() => {
                        return Err(Interrupt::Quarantined);
                    }
                    // The policy does not know the request, so nothing cancels it.
                    Err(_) => std::future::pending().await,
                    Ok(Instruction::Send(_) | Instruction::Refuse(_) | Instruction::TakeBack) => {}
                }
            }
        };
        let interrupt = async {
            loop {
                let overtaken = async {
                    while !self.second_answers().await {}
                    Err(Interrupt::Overtaken)
                };
                match smol::future::or(instruction(), overtaken).await {
                    Ok(Some(second)) => self.start_second(second),
                    Ok(None) => self.start_second_at_peer(),
                    Err(interrupt) => return Err(interrupt),
                }
            }
        };
        let deadline = async {
            Timer::after(self.time_left()).await;
            Err(Interrupt::Deadline)
        };
        let exit = async {
            self.process_exits().await;
            Err(Interrupt::Exit)
        };
        let deadline = smol::future::or(deadline, exit);
        smol::future::or(async { Ok(future.await) }, smol::future::or(interrupt, deadline)).await
    }

    /// Waits until the process is about to exit; an answer that has begun goes on until it does.
    pub(super) async fn process_exits(&self) {
        match self.sink.is_begun() {
            true => std::future::pending().await,
            false => self.dispatcher.exit.stopped().await,
        }
    }

    /// Returns the refusal if the request was quarantined while it waited.
    pub(super) fn quarantine_refusal(&self) -> Option<Refusal> {
        match self.is_trial {
            true => None,
            false => self.dispatcher.quarantine_refusal(&self.request),
        }
    }

    /// Returns the time until the caller's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        Duration::from_millis(self.request.deadline.since(self.dispatcher.now()))
    }

    async fn next_instruction(&self) -> Option<Instruction> {
        let deadline = async {
            Timer::after(self.time_left()).await;
            None
        };
        let exit = async {
            self.process_exits().await;
            None
        };
        let given_up = smol::future::or(deadline, exit);
        smol::future::or(async { self.instructions.recv().await.ok() }, given_up).await
    }

    /// Lets the target be checked that may run on the last attempt.
    pub(super) fn check_abandoned(&mut self) {
        if let Some((target, sent_at)) = self.unanswered_at.take() {
            self.dispatcher.check_abandoned(self.ticket, &self.request, (&target, sent_at));
        }
    }

    /// Applies the outcome of an attempt; returns true if the exchange is complete.
    async fn resolve_attempt(&mut self, outcome: AttemptOutcome) -> bool {
        self.last_attempt_outcome = match outcome {
            AttemptOutcome::Answered => None,
            AttemptOutcome::Interrupted(Interrupt::Deadline) => Some("deadline"),
            AttemptOutcome::Interrupted(Interrupt::Cancelled) => Some("taken off its target"),
            AttemptOutcome::Interrupted(Interrupt::Overtaken) => Some("overtaken"),
            AttemptOutcome::Interrupted(Interrupt::Quarantined) => Some("quarantined"),
            AttemptOutcome::Interrupted(Interrupt::Exit) => Some("node exits"),
            AttemptOutcome::Failed(_) | AttemptOutcome::PeerRefused(..) => Some("broken"),
            AttemptOutcome::Withheld => Some("withheld"),
            AttemptOutcome::Isolated(_) => Some("node isolated"),
        };
        match outcome {
            AttemptOutcome::Interrupted(_) => self.check_abandoned(),
            _ => self.unanswered_at = None,
        }
        match outcome {
            AttemptOutcome::Answered => {
                self.answered();
                true
            }
            AttemptOutcome::Interrupted(Interrupt::Deadline) => {
                self.may_have_run = true;
                self.fail(RefusalCode::AnswerLost).await;
                true
            }
            AttemptOutcome::Interrupted(Interrupt::Quarantined | Interrupt::Exit) => {
                self.log_cancelled_attempt();
                self.may_have_run = true;
                self.fail(RefusalCode::AnswerLost).await;
                true
            }
            AttemptOutcome::Interrupted(Interrupt::Cancelled | Interrupt::Overtaken) => {
                self.log_cancelled_attempt();
                self.may_have_run = true;
                self.retry_or_fail(Verdict::MayHaveRun).await
            }
            AttemptOutcome::Isolated(verdict) => {
                self.may_have_run |= verdict != Verdict::NotRun;
                self.delegate_or_fail().await
            }
            AttemptOutcome::Withheld => {
                self.attempts -= 1;
                self.retry_or_fail(Verdict::NotRun).await
            }
            AttemptOutcome::Failed(Verdict::NotRun) if self.sink.head_sent() => {
                self.attempts -= 1;
                self.retry_or_fail(Verdict::NotRun).await
            }
            AttemptOutcome::Failed(verdict)
            | AttemptOutcome::PeerRefused(DelegationRefusal { verdict, .. }, _) => {
                self.may_have_run |= verdict != Verdict::NotRun;
                self.retry_or_fail(verdict).await
            }
        }
    }

    async fn retry_or_fail(&mut self, verdict: Verdict) -> bool {
        let may_repeat = self.request.may_repeat() && !self.is_trial;
        let denial = if !may_repeat && self.may_have_run {
            RetryDenial::MayHaveRun
        } else if self.attempts >= self.request.route.attempts_max || !self.request.body.is_held() {
            RetryDenial::NoAttemptLeft
        } else {
            self.wait_for_reports(verdict).await;
            self.wait_while_held().await;
            self.dispatcher.attempt_failed(self.ticket, &self.request, verdict);
            return false;
        };
        self.retry_denial = Some(denial);
        self.fail(RefusalCode::AnswerLost).await;
        true
    }

    /// Waits until what other nodes have seen of the parts of the prompt must be known here, if they may
    /// have ended the target.
    async fn wait_for_reports(&self, verdict: Verdict) {
        let has_unproven_part = self.dispatcher.state.borrow().has_unproven_part(&self.request);
        if verdict == Verdict::MayHaveRun && has_unproven_part {
            Timer::after(REPORT_TIME.min(self.time_left())).await;
        }
    }

    /// Lets a peer run a request that this node cannot send to any target; returns true.
    async fn delegate_or_fail(&mut self) -> bool {
        let may_retry = self.request.may_repeat() || !self.may_have_run;
        // Peers do not know that the request may have reached a target already.
        let is_paid = self.reached == 0 || self.dispatcher.try_withdraw_retry(self.ticket);
        self.detach();
        self.wait_while_held().await;
        if !(may_retry && is_paid && self.may_delegate())
            || self.delegate().await == Delegation::NoPeer
        {
            self.fail(RefusalCode::AnswerLost).await;
        }
        true
    }

    /// Removes the request from the policy, whose instructions then no longer arrive.
    fn detach(&mut self) {
        self.dispatcher.abandoned(self.ticket);
        let (_, instructions) = instruction_channel();
        self.instructions = instructions;
    }

    /// Tells the node that has delegated the request that this node is isolated as well.
    async fn refuse_isolated(&mut self) {
        let refusal = Refusal::not_run(RefusalCode::NodeUnavailable);
        self.refuse(refusal.with_retry_after_ms(REFUSED_RETRY_AFTER_MS)).await;
    }

    /// Completes a request whose caller has the complete answer.
    pub(crate) fn answered(&mut self) {
        self.dispatcher.completed(self.ticket, self.splitter.event_count(), &self.request);
        self.record_answer();
        if let Some(sent_at) = self.delivery.sent_at {
            self.dispatcher.record_answer_time(&self.request, sent_at);
        }
        self.complete("answered", self.splitter.event_count());
    }

    fn record_answer(&self) {
        let began_at = self.delivery.first_at.unwrap_or_else(|| self.dispatcher.now());
        let (route, arrived_at) = (&self.request.route, self.request.arrived_at);
        let is_in_time =
            !self.request.is_return && began_at.since(arrived_at) <= route.objective_ms;
        self.dispatcher.metrics.record_answer(route.rank, is_in_time);
    }

    /// Ends a request that no target will answer.
    pub(crate) async fn fail(&mut self, code: RefusalCode) {
        self.dispatcher.abandoned(self.ticket);
        let refusal = match self.may_have_run {
            true => Refusal::may_have_run(code),
            false => Refusal::not_run(RefusalCode::Overloaded)
                .with_retry_after_ms(self.refused_retry_after_ms()),
        };
        self.refuse(refusal).await;
    }

    fn refused_retry_after_ms(&self) -> u64 {
        match self.request.is_governed {
            true => {
                let left_ms = self.time_left().as_millis() as u64;
                self.dispatcher.state.borrow_mut().return_after_ms(left_ms)
            }
            false => REFUSED_RETRY_AFTER_MS,
        }
    }

    pub(crate) async fn refuse(&mut self, refusal: Refusal) {
        if self.sink.head_sent() {
            // Dropping the sink without an end mark makes the caller see a truncated answer.
            return self.complete("broken off", self.splitter.event_count());
        }
        if let Some((parts, body)) = self.failed_answer.take() {
            self.sink.send_head(AnswerParts { body: Some(body), ..parts }).await;
            return self.complete("failed by target", 0);
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
        let request_id = self.request.caller.request_id.as_deref();
        let mut parts = refusal_parts(status, &refusal, request_id);
        if self.request.delegated.is_some() {
            // Another peer may run the request if this node could not send it to any target.
            let is_isolated = self.dispatcher.link_check.links.is_isolated(&self.request.service);
            let verdict = if self.may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
            let is_stopping = self.dispatcher.is_stopping();
            let is_local = verdict == Verdict::NotRun && (is_isolated || is_stopping);
            let refusal = DelegationRefusal { verdict, attempts: self.reached, is_local };
            add_delegation_refusal(&mut parts, &refusal);
            self.add_notice(&mut parts.headers);
        }
        self.sink.send_head(parts).await;
        self.complete(if self.may_have_run { "may have run" } else { "not run" }, 0);
    }

    /// Logs an attempt whose request goes on as a second one.
    pub(super) fn log_replaced_attempt(&mut self, outcome: AttemptOutcome) {
        if let AttemptOutcome::Interrupted(interrupt) = outcome {
            self.last_attempt_outcome = Some(match interrupt {
                Interrupt::Overtaken => "overtaken",
                Interrupt::Quarantined => "quarantined",
                Interrupt::Exit => "node exits",
                Interrupt::Cancelled | Interrupt::Deadline => "taken off its target",
            });
            self.log_cancelled_attempt();
        }
    }

    /// Logs a cancelled attempt; other outcomes are logged where they occur.
    fn log_cancelled_attempt(&self) {
        info!(self.dispatcher.log, "attempt ended";
            "request_id" => self.request.id(),
            "target" => self.target.as_ref().map(VmName::as_str),
            "attempt" => self.attempts,
            "why" => self.last_attempt_outcome,
        );
    }

    fn complete(&mut self, outcome: &'static str, events: u32) {
        self.completed = true;
        self.log_completed(outcome, events);
    }

    fn log_completed(&self, outcome: &'static str, events: u32) {
        let now = self.dispatcher.now();
        let window = self.dispatcher.start_window(&self.request);
        self.dispatcher.metrics.record_request(outcome, now.since(self.request.arrived_at));
        info!(self.dispatcher.log, "request ended";
            "request_id" => self.request.id(),
            "digest" => self.request.digest.to_string(),
            "route" => &self.request.route.name,
            "organisation" => self.request.organisation.as_ref().map(celeryhaven_types::OrganisationName::as_str),
            "outcome" => outcome,
            "attempts" => self.attempts,
            "target" => self.target.as_ref().map(VmName::as_str),
            "attempt_end" => self.last_attempt_outcome,
            "no_retry" => self.retry_denial.map(RetryDenial::as_str),
            "band" => self.request.band(self.delivery.first_at.unwrap_or(now)),
            "is_return" => self.request.is_governed.then_some(self.request.is_return),
            "window" => window,
            "prompt_tokens" => self.request.caller.prompt_tokens,
            "shared_parts" => self.request.caller.shared_parts.join(","),
            "output_tokens" => self.request.caller.output_tokens_max,
            "events" => events,
            "waited_ms" => self.delivery.sent_at.map(|at| at.since(self.request.arrived_at)),
            "first_ms" => self.delivery.first_at.map(|at| at.since(self.request.arrived_at)),
            "objective_ms" => self.request.route.objective_ms,
            "longest_pause_ms" => self.delivery.longest_pause_ms,
            "took_ms" => now.since(self.request.arrived_at),
            "left_ms" => self.request.deadline.since(now),
        );
    }
}

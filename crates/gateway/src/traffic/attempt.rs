use std::time::Duration;

use celeryhaven_delegation::{DelegationRefusal, Peer};
use celeryhaven_http::{BodyError, Connection, ConnectionError, IncomingBody, RequestBody};
use celeryhaven_telemetry::metrics::OutcomeLabel;
use celeryhaven_types::{TimeMs, Verdict};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use slog::info;
use smol::Timer;

use crate::adapter::{Adapter, AnswerHead, TargetRequestHead};
use crate::traffic::delegation::{delegation_refusal, target_notice};
use crate::traffic::exchange::{Exchange, Interrupt};
use crate::traffic::{DELEGATED_HEADER, Destination, TrafficReport};

/// Part of the deadline budget reserved for the return of the answer, in milliseconds.
const ANSWER_TRANSIT_MS: u64 = 5;

/// Age up to which a connection to another target shows that this node is not isolated, in
/// milliseconds.
const FRESH_CONNECTION_MS: u64 = 30;

/// Longest refusal of a peer that is read to its end, and the time that this may take.
const REFUSAL_BYTES_MAX: usize = 64 * 1024;
const REFUSAL_REST_TIMEOUT: Duration = Duration::from_millis(100);

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The caller has the target's complete answer.
    Answered,
    /// The target gave no complete answer.
    Failed(Verdict),
    /// This node cancelled the attempt.
    Interrupted(Interrupt),
    /// Nothing was sent, because the target must not be sent anything now.
    Withheld,
    /// The connection failed, and this node reaches no other target of the service either.
    Isolated(Verdict),
    /// A peer gave no answer of a target; with the retry delay that it suggests, in milliseconds.
    PeerRefused(DelegationRefusal, Option<u64>),
}

/// One attempt to send a request to one target.
pub(crate) struct Attempt<'a, A: Adapter> {
    pub(crate) exchange: &'a mut Exchange<A>,
    pub(crate) destination: &'a Destination,
    /// The peer that runs the request; `None` if the destination is a target.
    peer: Option<&'a Peer>,
    /// When the request was sent.
    pub(crate) sent_at: TimeMs,
    /// Whether the target has been found to go on with the stream that it has begun.
    pub(crate) is_sound: bool,
}

impl<'a, A: Adapter> Attempt<'a, A> {
    pub(crate) fn new(exchange: &'a mut Exchange<A>, destination: &'a Destination) -> Self {
        let sent_at = exchange.dispatcher.now();
        Self { exchange, destination, peer: None, sent_at, is_sound: false }
    }

    /// Lets a peer run the request.
    pub(crate) fn with_peer(self, peer: &'a Peer) -> Self {
        Self { peer: Some(peer), ..self }
    }

    /// Sends the request and forwards the answer.
    pub(crate) async fn run(mut self) -> AttemptOutcome {
        let (connection, response) = match self.send().await {
            Ok(sent) => sent,
            Err(outcome) => return outcome,
        };
        let dispatcher = self.exchange.dispatcher.clone();
        let head = dispatcher.adapter.answer_head(response.status(), response.headers());
        if self.peer.is_some() {
            return self.forward_peer(connection, response, head).await;
        }
        dispatcher.received(self.exchange.ticket, &self.destination.service);
        if !self.is_own_answer(&head) {
            return self.reject_answer(&response, &head);
        }
        if let Some(load) = head.load {
            dispatcher.load_reported(self.exchange.ticket, &self.destination.name, load);
        }
        let is_served = response.status().is_success();
        let target = (&self.destination.target, self.destination.started_at_ms);
        dispatcher.limit_named(target, head.limit, self.sent_at, is_served);
        dispatcher.record_notices(self.destination, &head);
        self.exchange.note_for_delegator(self.destination, &head);
        if head.not_run {
            return self.refused(&response, &head);
        }
        self.forward(connection, response, head).await
    }

    /// Forwards the answer of a target that a peer has forwarded, or returns the peer's refusal.
    async fn forward_peer(
        &mut self,
        connection: Connection,
        response: Response<IncomingBody>,
        head: AnswerHead,
    ) -> AttemptOutcome {
        if let Some(notice) = target_notice(response.headers()) {
            self.exchange.dispatcher.record_peer_notice(&notice);
        }
        let Some(refusal) = delegation_refusal(response.headers()) else {
            if !self.is_own_answer(&head) {
                return self.reject_answer(&response, &head);
            }
            return self.forward(connection, response, head).await;
        };
        let retry_after_ms = head.back_off_ms;
        self.log_end("refused by peer", response.status().as_u16());
        // The rest of the answer only tells callers what the header says.
        let rest = Limited::new(response.into_body(), REFUSAL_BYTES_MAX).collect();
        let late = async {
            Timer::after(REFUSAL_REST_TIMEOUT).await;
            None
        };
        let rest = smol::future::or(async { rest.await.ok() }, late).await;
        if rest.is_some() && !head.closes_connection {
            self.pool_connection(connection, &head).await;
        }
        AttemptOutcome::PeerRefused(refusal, retry_after_ms)
    }

    /// Sends on a pooled connection, and on a new one if the target had already closed the pooled
    /// one.
    async fn send(&mut self) -> Result<(Connection, Response<IncomingBody>), AttemptOutcome> {
        let connections = self.exchange.dispatcher.connections.clone();
        let address = self.destination.address;
        let (connection, is_new) =
            self.connect_or_fail(async { connections.take(address).await }).await?;
        if is_new {
            self.connected();
        }
        match self.send_on(connection).await {
            Err(SendError::NotSent) if !is_new => {}
            Err(SendError::NotSent) => return Err(AttemptOutcome::Failed(Verdict::NotRun)),
            Err(SendError::Ended(outcome)) => return Err(outcome),
            Ok(answered) => return Ok(answered),
        }
        let connection = self.connect_or_fail(async { connections.connect(address).await }).await?;
        self.connected();
        match self.send_on(connection).await {
            Err(SendError::NotSent) => Err(AttemptOutcome::Failed(Verdict::NotRun)),
            Err(SendError::Ended(outcome)) => Err(outcome),
            Ok(answered) => Ok(answered),
        }
    }

    async fn send_on(
        &mut self,
        mut connection: Connection,
    ) -> Result<(Connection, Response<IncomingBody>), SendError> {
        // The target may have asked for a pause, or announced that it leaves, while this node
        // connected to it.
        if self.is_at_target() && self.exchange.dispatcher.is_withheld(self.destination) {
            return Err(SendError::Ended(AttemptOutcome::Withheld));
        }
        let Some(request) = self.build_request() else {
            return Err(SendError::Ended(AttemptOutcome::Failed(Verdict::NotRun)));
        };
        if self.is_at_target() {
            self.exchange.reached += 1;
            self.exchange.unanswered_at = Some((self.destination.clone(), self.sent_at));
            let (ticket, may_delegate) = (self.exchange.ticket, self.exchange.may_delegate());
            self.exchange.dispatcher.sent(ticket, &self.destination.service, may_delegate);
        }
        let answer = self.exchange.unless_interrupted(connection.send(request)).await;
        if self.is_at_target() && matches!(answer, Ok(Err(ConnectionError::Closed))) {
            self.exchange.reached -= 1;
            self.exchange.unanswered_at = None;
        }
        match answer {
            Ok(Ok(response)) => Ok((connection, response)),
            Ok(Err(ConnectionError::Closed)) => Err(SendError::NotSent),
            Ok(Err(error)) => {
                if error.verdict() == Verdict::MayHaveRun {
                    self.check_broken();
                }
                let invalid = error.invalid_answer();
                // A target that answers is reached.
                let is_isolated = invalid.is_none() && self.is_isolated().await;
                self.log_failure(&error, is_isolated);
                if let Some(reason) = invalid {
                    self.count_invalid(reason);
                }
                Err(SendError::Ended(match is_isolated {
                    true => AttemptOutcome::Isolated(error.verdict()),
                    false => AttemptOutcome::Failed(error.verdict()),
                }))
            }
            Err(interrupt) => Err(SendError::Ended(AttemptOutcome::Interrupted(interrupt))),
        }
    }

    /// Whether the destination is a target rather than a peer.
    pub(crate) fn is_at_target(&self) -> bool {
        self.peer.is_none()
    }

    fn connected(&self) {
        if self.is_at_target() {
            self.exchange.dispatcher.link_check.connected(&self.destination.service);
        }
    }

    /// Waits for a connection; without one, the request has not run.
    async fn connect_or_fail<T>(
        &mut self,
        connect: impl Future<Output = Result<T, ConnectionError>>,
    ) -> Result<T, AttemptOutcome> {
        match self.exchange.unless_interrupted(connect).await {
            Ok(Ok(connected)) => Ok(connected),
            Ok(Err(error)) => {
                let is_isolated = self.is_isolated().await;
                self.log_failure(&error, is_isolated);
                if is_isolated {
                    return Err(AttemptOutcome::Isolated(Verdict::NotRun));
                }
                if self.peer.is_some() {
                    return Err(AttemptOutcome::Failed(Verdict::NotRun));
                }
                let dispatcher = &self.exchange.dispatcher;
                dispatcher
                    .notify_control(TrafficReport::LossReported(self.destination.target.clone()));
                dispatcher.suspect_replica(&self.destination.name, "no connection");
                Err(AttemptOutcome::Failed(Verdict::NotRun))
            }
            // Nothing has been sent.
            Err(Interrupt::Cancelled) => Err(AttemptOutcome::Failed(Verdict::NotRun)),
            Err(interrupt) => Err(AttemptOutcome::Interrupted(interrupt)),
        }
    }

    /// Builds the request; `None` if its body is no longer held.
    fn build_request(&self) -> Option<Request<RequestBody>> {
        let caller_request = &self.exchange.request;
        let left_ms = self.exchange.time_left().as_millis() as u64;
        let request_head = TargetRequestHead {
            budget_ms: left_ms.saturating_sub(ANSWER_TRANSIT_MS).max(1),
            expected: &self.destination.target,
            organisation: caller_request.organisation.as_ref(),
            rank: match self.peer {
                Some(_) => caller_request.rank,
                None => caller_request
                    .target_rank(self.exchange.dispatcher.now(), self.exchange.sink.is_begun()),
            },
            last_event_id: self.exchange.splitter.last_id(),
        };
        let mut headers = caller_request.headers.clone();
        self.exchange.dispatcher.adapter.prepare_headers(&mut headers, &request_head);
        if let Some(peer) = self.peer {
            let message = self.exchange.delegated_request(peer).encode();
            let value = message.and_then(|bytes| HeaderValue::from_bytes(&bytes).ok());
            headers.extend(value.map(|value| (DELEGATED_HEADER, value)));
        }
        let mut request = Request::new(caller_request.body.get()?);
        *request.method_mut() = caller_request.method.clone();
        *request.uri_mut() = caller_request.uri.clone();
        *request.headers_mut() = headers;
        Some(request)
    }

    fn is_own_answer(&self, head: &AnswerHead) -> bool {
        head.identity.is_of(self.exchange.request.caller.request_id.as_deref())
    }

    /// Ends the attempt with an answer that belongs to another request.
    ///
    /// Nothing in its head says anything of this one, not even that it has not run; the connection is
    /// closed, as the answer to this one may still come on it.
    fn reject_answer(
        &self,
        response: &Response<IncomingBody>,
        head: &AnswerHead,
    ) -> AttemptOutcome {
        info!(self.exchange.dispatcher.log, "attempt ended";
            "request_id" => self.exchange.request.id(),
            "target" => self.destination.target.as_str(),
            "attempt" => self.exchange.attempts,
            "status" => response.status().as_u16(),
            "why" => "answer of another request",
            "answered_id" => head.identity.to_string(),
        );
        AttemptOutcome::Failed(Verdict::MayHaveRun)
    }

    /// Handles an answer that says that the target has not run the request.
    fn refused(&self, response: &Response<IncomingBody>, head: &AnswerHead) -> AttemptOutcome {
        self.log_end_with_details("refused by target", response.status().as_u16(), head, None);
        if let Some(lost) = &head.reported_lost {
            let dispatcher = &self.exchange.dispatcher;
            dispatcher.notify_control(TrafficReport::LossReported(lost.clone()));
            dispatcher.avoid_replica(&self.destination.name);
        }
        AttemptOutcome::Failed(Verdict::NotRun)
    }

    /// Lets the target be checked whose connection broke while it may have been running the request.
    pub(crate) fn check_broken(&self) {
        if self.is_at_target() {
            let Exchange { dispatcher, ticket, request, .. } = &*self.exchange;
            dispatcher.check_broken(*ticket, request, (self.destination, self.sent_at));
        }
    }

    /// Whether a connection has failed because this node reaches no target of the service.
    pub(crate) async fn is_isolated(&self) -> bool {
        if self.peer.is_some() {
            return false;
        }
        let link_check = &self.exchange.dispatcher.link_check;
        let fresh_at = self.exchange.dispatcher.now().before(FRESH_CONNECTION_MS);
        let Destination { service, address, .. } = self.destination;
        let check = link_check.is_isolated(service, *address, fresh_at);
        self.exchange.unless_interrupted(check).await.unwrap_or(false)
    }

    /// Counts an answer that the protocol does not allow.
    pub(crate) fn count_invalid(&self, reason: &'static str) {
        let label = OutcomeLabel { call: "request", outcome: reason };
        self.exchange.dispatcher.metrics.invalid_answers.get_or_create(&label).inc();
    }

    fn log_failure(&self, error: &ConnectionError, is_isolated: bool) {
        info!(self.exchange.dispatcher.log, "attempt broken";
            "request_id" => self.exchange.request.id(),
            "digest" => self.exchange.request.digest.to_string(),
            "shared_parts" => self.exchange.request.caller.shared_parts.join(","),
            "target" => self.destination.target.as_str(),
            "attempt" => self.exchange.attempts,
            "verdict" => error.verdict().as_str(),
            "error" => error.to_string(),
            "isolated" => is_isolated,
        );
    }

    pub(crate) fn log_end(&self, why: &'static str, status: u16) {
        self.log_end_with_details(why, status, &AnswerHead::default(), None);
    }

    /// Logs a body that was not received up to its end.
    pub(crate) fn log_broken_body(&self, error: &BodyError) {
        let (why, status) = ("answer broke off", StatusCode::OK.as_u16());
        self.log_end_with_details(why, status, &AnswerHead::default(), Some(error));
    }

    /// Logs the end of an attempt, with what the answer says about its target and why its body broke
    /// off.
    fn log_end_with_details(
        &self,
        why: &'static str,
        status: u16,
        head: &AnswerHead,
        error: Option<&BodyError>,
    ) {
        info!(self.exchange.dispatcher.log, "attempt ended";
            "request_id" => self.exchange.request.id(),
            "digest" => self.exchange.request.digest.to_string(),
            "shared_parts" => self.exchange.request.caller.shared_parts.join(","),
            "target" => self.destination.target.as_str(),
            "attempt" => self.exchange.attempts,
            "status" => status,
            "why" => why,
            "error" => error.map(ToString::to_string),
            "back_off_ms" => head.back_off_ms,
            "leaving" => head.is_leaving.then_some(true),
        );
    }

    /// Returns how long the connection may stay idle, one second less than the target allows.
    pub(crate) fn idle_timeout(head: &AnswerHead) -> Option<Duration> {
        head.keep_alive_s.map(|keep_alive_s| Duration::from_secs(keep_alive_s.saturating_sub(1)))
    }
}

/// Why a connection gave no answer.
enum SendError {
    /// The connection had closed before anything was sent.
    NotSent,
    /// The attempt is over.
    Ended(AttemptOutcome),
}

use bytes::{Bytes, BytesMut};
use celeryhaven_http::{Connection, IncomingBody};
use celeryhaven_types::Verdict;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;

use crate::adapter::{Adapter, AnswerHead};
use crate::http::{is_coded, strip_hop_by_hop, strip_run_headers};
use crate::traffic::attempt::{Attempt, AttemptOutcome};
use crate::traffic::delegation::{NOTICE_HEADER, REFUSAL_HEADER};
use crate::traffic::quarantine_gate::SOUND_STREAMING_MS;
use crate::traffic::{AnswerParts, Exchange};

/// Longest plain answer that is buffered until it is complete, in bytes.
///
/// A buffered answer that fails can be retried at another target; a longer one is forwarded as it
/// arrives.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;

/// Longest plain answer that is forwarded.
///
/// What a faulty target sends may have no end; the caller's time alone would bound it.
const PLAIN_BYTES_MAX: u64 = 16 * 1024 * 1024;

/// The result of reading from an answer body.
enum ReadResult {
    Data(Bytes),
    Complete,
    Ended(AttemptOutcome),
}

impl<A: Adapter> Attempt<'_, A> {
    /// Forwards a target's answer to the caller.
    pub(crate) async fn forward(
        &mut self,
        connection: Connection,
        response: Response<IncomingBody>,
        head: AnswerHead,
    ) -> AttemptOutcome {
        self.release_body();
        let (parts, body) = response.into_parts();
        let mut headers = parts.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let is_stream = parts.status.is_success() && self.exchange.request.route.kind.is_stream();
        // A plain answer that ends with its connection looks complete when its target ends.
        let acquits = is_stream || (parts.status.is_success() && is_framed);
        if !is_framed {
            self.log_end("answer ends with its connection", parts.status.as_u16());
        }
        if is_stream && is_coded(&headers) {
            self.log_end("stream in a content coding", parts.status.as_u16());
            return AttemptOutcome::Failed(Verdict::MayHaveRun);
        }
        strip_hop_by_hop(&mut headers);
        // The length that the caller reads is that of what this node sends, which may be of several
        // runs; only the answer to `HEAD` names that of a body that nobody sends.
        if is_stream || self.exchange.request.method != Method::HEAD {
            headers.remove(CONTENT_LENGTH);
        }
        if is_stream {
            strip_run_headers(&mut headers);
        }
        // Only a node says these, of a request that it has run for another.
        headers.remove(REFUSAL_HEADER);
        headers.remove(NOTICE_HEADER);
        self.exchange.add_notice(&mut headers);
        let parts = AnswerParts { status: parts.status, headers, body: None, length_bytes: None };
        let outcome = match is_stream {
            true => self.forward_events(parts, body, is_framed).await,
            false => self.forward_plain(parts, body).await,
        };
        if outcome == AttemptOutcome::Answered && acquits {
            self.exchange.dispatcher.acquit(&self.exchange.request, self.sent_at);
        }
        if outcome == AttemptOutcome::Answered && !head.closes_connection {
            self.pool_connection(connection, &head).await;
        }
        outcome
    }

    /// Releases the body of the request if no other attempt can follow this one.
    fn release_body(&self) {
        let Exchange { request, attempts, reached, is_trial, is_second, second, .. } =
            &*self.exchange;
        let attempts_max = request.route.attempts_max;
        let is_last = !request.may_repeat()
            || *is_trial
            || !self.is_at_target()
            || (*attempts >= attempts_max && *reached >= attempts_max);
        if is_last && !is_second && second.borrow().is_none() {
            request.body.release();
        }
    }

    /// Forwards complete events as they arrive.
    async fn forward_events(
        &mut self,
        parts: AnswerParts,
        mut body: IncomingBody,
        is_framed: bool,
    ) -> AttemptOutcome {
        let mut parts = Some(parts);
        let mut has_started = false;
        let mut held = self.exchange.dispatcher.read_buffers.part();
        loop {
            let bytes = match self.read(&mut body).await {
                ReadResult::Data(bytes) => bytes,
                ReadResult::Complete => {
                    // Without framing, the end of the target before its first event looks the same.
                    let is_broken_off =
                        self.exchange.splitter.is_inside_event() || (!is_framed && !has_started);
                    return self.finish_events(parts, is_broken_off).await;
                }
                ReadResult::Ended(outcome) => {
                    self.exchange.splitter.drop_pending();
                    return outcome;
                }
            };
            let events = self.exchange.splitter.push(&bytes);
            let is_within_bounds = held.set(self.exchange.splitter.pending_bytes());
            if !is_within_bounds || self.exchange.splitter.is_too_long() {
                self.log_end("event too long", StatusCode::OK.as_u16());
                self.exchange.splitter.drop_pending();
                return AttemptOutcome::Failed(Verdict::MayHaveRun);
            }
            // Bytes that do not end an event are no progress: there may be no end of them.
            let Some(events) = events else { continue };
            if !has_started {
                has_started = true;
                self.exchange.dispatcher.started(self.exchange.ticket, true);
            }
            self.exchange.dispatcher.progressed(&self.destination.name);
            self.record_sound();
            self.exchange.unanswered_at = None;
            self.exchange.cancel_second();
            self.send_head(&mut parts).await;
            self.exchange.delivery.record_chunk(self.exchange.dispatcher.now());
            self.exchange.sink.send_chunk(events).await;
        }
    }

    /// Records once that the target goes on with the stream.
    fn record_sound(&mut self) {
        let Exchange { dispatcher, ticket, request, .. } = &*self.exchange;
        let streaming_ms = dispatcher.state.borrow().streaming_ms(dispatcher.now(), *ticket);
        if !self.is_sound && streaming_ms.is_some_and(|ms| ms >= SOUND_STREAMING_MS) {
            dispatcher.record_sound(request);
            self.is_sound = true;
        }
    }

    /// Completes the answer after the target has ended its stream, unless it was broken off.
    async fn finish_events(
        &mut self,
        mut parts: Option<AnswerParts>,
        is_broken_off: bool,
    ) -> AttemptOutcome {
        if is_broken_off {
            self.log_end("answer broke off", StatusCode::OK.as_u16());
            self.check_broken();
            self.exchange.splitter.drop_pending();
            return AttemptOutcome::Failed(Verdict::MayHaveRun);
        }
        self.exchange.cancel_second();
        self.send_head(&mut parts).await;
        self.exchange.sink.finish().await;
        AttemptOutcome::Answered
    }

    /// Sends the head to the caller, unless an earlier attempt has.
    async fn send_head(&mut self, parts: &mut Option<AnswerParts>) {
        if let Some(parts) = parts.take()
            && !self.exchange.sink.head_sent()
        {
            self.exchange.sink.send_head(parts).await;
        }
    }

    /// Buffers a plain answer until it is complete or exceeds the limit.
    async fn forward_plain(
        &mut self,
        parts: AnswerParts,
        mut body: IncomingBody,
    ) -> AttemptOutcome {
        let mut buffered = BytesMut::new();
        let mut held = self.exchange.dispatcher.read_buffers.part();
        let length = body.size_hint().exact();
        let status = parts.status.as_u16();
        if length.is_some_and(|length| length > PLAIN_BYTES_MAX) {
            return self.too_long(status);
        }
        loop {
            match self.read(&mut body).await {
                ReadResult::Ended(outcome) => return outcome,
                ReadResult::Complete => break,
                ReadResult::Data(bytes) => buffered.extend_from_slice(&bytes),
            }
            let is_within_bounds = held.set(buffered.len());
            if buffered.len() > BUFFERED_BYTES_MAX || !is_within_bounds {
                // A failure that does not say how long it is may have no end.
                if !parts.status.is_success() && length.is_none() {
                    return self.too_long(status);
                }
                drop(held);
                return self.forward_unbuffered(parts, buffered.freeze(), body).await;
            }
        }
        self.exchange.dispatcher.started(self.exchange.ticket, false);
        let body = buffered.freeze();
        if self.exchange.sink.is_begun() {
            // A resumed stream got an error answer, which does not belong in the caller's stream.
            return AttemptOutcome::Failed(Verdict::MayHaveRun);
        }
        if parts.status.is_server_error() && self.exchange.request.may_repeat() {
            self.log_end("failed by target", parts.status.as_u16());
            self.exchange.failed_answer = Some((parts, body));
            return AttemptOutcome::Failed(Verdict::MayHaveRun);
        }
        self.exchange.cancel_second();
        self.exchange.delivery.record_chunk(self.exchange.dispatcher.now());
        self.exchange.sink.send_head(AnswerParts { body: Some(body), ..parts }).await;
        AttemptOutcome::Answered
    }

    /// Ends the attempt because its answer is longer than any that is forwarded.
    fn too_long(&self, status: u16) -> AttemptOutcome {
        self.log_end("answer too long", status);
        AttemptOutcome::Failed(Verdict::MayHaveRun)
    }

    async fn forward_unbuffered(
        &mut self,
        mut parts: AnswerParts,
        buffered: Bytes,
        mut body: IncomingBody,
    ) -> AttemptOutcome {
        if self.exchange.sink.is_begun() {
            return AttemptOutcome::Failed(Verdict::MayHaveRun);
        }
        self.exchange.cancel_second();
        self.exchange.dispatcher.started(self.exchange.ticket, false);
        let status = parts.status.as_u16();
        let mut forwarded = buffered.len() as u64;
        parts.length_bytes = body.size_hint().exact().map(|rest| rest + forwarded);
        self.exchange.sink.send_head(parts).await;
        self.exchange.sink.send_chunk(buffered).await;
        loop {
            match self.read(&mut body).await {
                ReadResult::Data(bytes) => {
                    forwarded += bytes.len() as u64;
                    if forwarded > PLAIN_BYTES_MAX {
                        self.exchange.attempts = self.exchange.request.route.attempts_max;
                        return self.too_long(status);
                    }
                    self.exchange.sink.send_chunk(bytes).await;
                }
                ReadResult::Complete => {
                    self.exchange.sink.finish().await;
                    return AttemptOutcome::Answered;
                }
                // The caller has part of the answer, so another attempt cannot replace it.
                ReadResult::Ended(_) => {
                    self.exchange.attempts = self.exchange.request.route.attempts_max;
                    return AttemptOutcome::Failed(Verdict::MayHaveRun);
                }
            }
        }
    }

    async fn read(&self, body: &mut IncomingBody) -> ReadResult {
        loop {
            match self.exchange.unless_interrupted(body.frame()).await {
                Err(interrupt) => return ReadResult::Ended(AttemptOutcome::Interrupted(interrupt)),
                Ok(None) => return ReadResult::Complete,
                Ok(Some(Err(error))) => {
                    self.log_broken_body(&error);
                    self.check_broken();
                    let invalid = error.invalid_answer();
                    if let Some(reason) = invalid {
                        self.count_invalid(reason);
                    }
                    return ReadResult::Ended(
                        match invalid.is_none() && self.is_isolated().await {
                            true => AttemptOutcome::Isolated(Verdict::MayHaveRun),
                            false => AttemptOutcome::Failed(Verdict::MayHaveRun),
                        },
                    );
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        if self.is_at_target() {
                            let Exchange { dispatcher, ticket, .. } = &*self.exchange;
                            dispatcher.received(*ticket, &self.destination.service);
                        }
                        return ReadResult::Data(bytes);
                    }
                }
            }
        }
    }

    /// Returns the connection to the pool once its exchange is complete.
    pub(crate) async fn pool_connection(&self, mut connection: Connection, head: &AnswerHead) {
        if connection.wait_idle().await {
            let connections = &self.exchange.dispatcher.connections;
            connections.put(self.destination.address, connection, Self::idle_timeout(head));
        }
    }
}

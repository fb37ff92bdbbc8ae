use bytes::{Bytes, BytesMut};
use celeryhaven_http::Connection;
use celeryhaven_types::Verdict;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::adapter::{Adapter, AnswerHead};
use crate::http::strip_hop_by_hop;
use crate::traffic::AnswerParts;
use crate::traffic::attempt::{Attempt, AttemptEnd};

/// Longest plain answer that is held until it is whole, in bytes.
///
/// A held answer that breaks off can be had from another target; a longer one is passed on as it
/// comes. Answers of today's services are a few kilobytes.
const HELD_BYTES_MAX: usize = 64 * 1024;

/// What reading the next piece of an answer gave.
enum Read {
    Data(Bytes),
    Whole,
    End(AttemptEnd),
}

impl<A: Adapter> Attempt<'_, A> {
    /// Passes a target's answer on.
    pub(crate) async fn relay(
        &mut self,
        channel: Connection,
        response: Response<Incoming>,
        head: AnswerHead,
    ) -> AttemptEnd {
        let (parts, body) = response.into_parts();
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        let parts = AnswerParts { status: parts.status, headers, whole: None };
        let end = match parts.status.is_success() && self.exchange.ask.route.kind.is_stream() {
            true => self.relay_events(parts, body).await,
            false => self.relay_plain(parts, body).await,
        };
        if end == AttemptEnd::Answered && !head.closes_connection {
            self.keep_channel(channel, &head).await;
        }
        end
    }

    /// Passes whole events on, as they come.
    async fn relay_events(&mut self, parts: AnswerParts, mut body: Incoming) -> AttemptEnd {
        let resumes = self.exchange.ask.may_repeat();
        let mut parts = Some(parts);
        let mut started = false;
        loop {
            let bytes = match self.read(&mut body).await {
                Read::Data(bytes) => bytes,
                Read::Whole => return self.end_of_events(parts, resumes).await,
                Read::End(end) => {
                    self.exchange.splitter.drop_pending();
                    return end;
                }
            };
            if !started {
                started = true;
                self.exchange.gate.started(self.exchange.ticket, true);
            }
            self.exchange.gate.progressed(&self.routable.name);
            let Some(whole) = self.exchange.splitter.push(&bytes) else {
                if self.exchange.splitter.is_too_long() {
                    return AttemptEnd::Broken(Verdict::MayHaveRun);
                }
                continue;
            };
            self.begin(&mut parts).await;
            self.exchange.delivery.piece(self.exchange.gate.now());
            self.exchange.sink.piece(whole).await;
        }
    }

    /// The target has ended its stream as complete.
    async fn end_of_events(&mut self, mut parts: Option<AnswerParts>, resumes: bool) -> AttemptEnd {
        if self.exchange.splitter.is_inside_event() && resumes {
            self.exchange.splitter.drop_pending();
            return AttemptEnd::Broken(Verdict::MayHaveRun);
        }
        self.begin(&mut parts).await;
        let rest = self.exchange.splitter.take_pending();
        if !rest.is_empty() {
            self.exchange.sink.piece(rest).await;
        }
        self.exchange.sink.end().await;
        AttemptEnd::Answered
    }

    /// Gives the caller the head, unless an earlier attempt has.
    async fn begin(&mut self, parts: &mut Option<AnswerParts>) {
        if let Some(parts) = parts.take()
            && !self.exchange.sink.has_begun()
        {
            self.exchange.sink.begin(parts).await;
        }
    }

    /// Holds a plain answer until it is whole, or too long to be held.
    async fn relay_plain(&mut self, parts: AnswerParts, mut body: Incoming) -> AttemptEnd {
        let mut held = BytesMut::new();
        loop {
            match self.read(&mut body).await {
                Read::End(end) => return end,
                Read::Whole => break,
                Read::Data(bytes) => held.extend_from_slice(&bytes),
            }
            if held.len() > HELD_BYTES_MAX {
                return self.relay_long(parts, held.freeze(), body).await;
            }
        }
        self.exchange.gate.started(self.exchange.ticket, false);
        let body = held.freeze();
        if self.exchange.sink.has_begun() {
            // A resumed stream got a failure: nothing of it belongs to the caller's answer.
            return AttemptEnd::Broken(Verdict::MayHaveRun);
        }
        if parts.status.is_server_error() && self.exchange.ask.may_repeat() {
            self.note("failed by target", parts.status.as_u16());
            self.exchange.failure = Some((parts, body));
            return AttemptEnd::Broken(Verdict::MayHaveRun);
        }
        self.exchange.delivery.piece(self.exchange.gate.now());
        self.exchange.sink.begin(AnswerParts { whole: Some(body), ..parts }).await;
        AttemptEnd::Answered
    }

    async fn relay_long(
        &mut self,
        parts: AnswerParts,
        held: Bytes,
        mut body: Incoming,
    ) -> AttemptEnd {
        if self.exchange.sink.has_begun() {
            return AttemptEnd::Broken(Verdict::MayHaveRun);
        }
        self.exchange.gate.started(self.exchange.ticket, false);
        self.exchange.sink.begin(parts).await;
        self.exchange.sink.piece(held).await;
        loop {
            match self.read(&mut body).await {
                Read::Data(bytes) => self.exchange.sink.piece(bytes).await,
                Read::Whole => {
                    self.exchange.sink.end().await;
                    return AttemptEnd::Answered;
                }
                // Part of it is out, so no other attempt can answer.
                Read::End(_) => {
                    self.exchange.attempts = self.exchange.ask.route.attempts_max;
                    return AttemptEnd::Broken(Verdict::MayHaveRun);
                }
            }
        }
    }

    async fn read(&self, body: &mut Incoming) -> Read {
        loop {
            match self.exchange.unless_interrupted(body.frame()).await {
                Err(interrupt) => return Read::End(AttemptEnd::Interrupted(interrupt)),
                Ok(None) => return Read::Whole,
                Ok(Some(Err(_))) => {
                    self.note("answer broke off", StatusCode::OK.as_u16());
                    return Read::End(AttemptEnd::Broken(Verdict::MayHaveRun));
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Read::Data(bytes);
                    }
                }
            }
        }
    }

    /// Keeps the channel for the next request, once its exchange is over.
    async fn keep_channel(&self, mut channel: Connection, head: &AnswerHead) {
        if channel.wait_idle().await {
            let channels = &self.exchange.gate.channels;
            channels.put(self.routable.address, channel, Self::keep(head));
        }
    }
}

use std::time::Duration;

use bytes::Bytes;
use celeryhaven_http::{Connection, ConnectionError};
use celeryhaven_types::Verdict;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use slog::info;

use crate::adapter::{Adapter, AnswerHead, TargetRequestHead};
use crate::traffic::exchange::{Exchange, Interrupt};
use crate::traffic::{Routable, TrafficReport};

/// Taken off the time that a target is given, for the way of its answer, in milliseconds.
const WAY_MS: u64 = 5;

/// How one send to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The caller has the target's whole answer.
    Answered,
    /// There is no whole answer.
    Broken(Verdict),
    /// It was given up here.
    Interrupted(Interrupt),
}

/// One send of a request to one target.
pub(crate) struct Attempt<'a, A: Adapter> {
    pub(crate) exchange: &'a mut Exchange<A>,
    pub(crate) routable: &'a Routable,
}

impl<'a, A: Adapter> Attempt<'a, A> {
    pub(crate) fn new(exchange: &'a mut Exchange<A>, routable: &'a Routable) -> Self {
        Self { exchange, routable }
    }

    /// Sends the request and passes the answer on.
    pub(crate) async fn run(mut self) -> AttemptEnd {
        let (channel, response) = match self.send().await {
            Ok(sent) => sent,
            Err(end) => return end,
        };
        let gate = self.exchange.gate.clone();
        let head = gate.adapter.answer_head(response.status(), response.headers());
        if let Some(load) = head.load {
            gate.reported(self.exchange.ticket, &self.routable.name, load);
        }
        if head.not_run {
            return self.refused(&response, &head);
        }
        if !self.is_own_answer(&head) {
            self.note("answer of another request", response.status().as_u16());
            return AttemptEnd::Broken(Verdict::MayHaveRun);
        }
        self.relay(channel, response, head).await
    }

    /// Sends on a kept channel, and on a new one if the kept one had ended unused.
    async fn send(&mut self) -> Result<(Connection, Response<Incoming>), AttemptEnd> {
        let channels = self.exchange.gate.channels.clone();
        let address = self.routable.address;
        let (channel, is_new) = self.unless_broken(async { channels.take(address).await }).await?;
        match self.exchange_on(channel).await {
            Err(Sent::Nothing) if !is_new => {}
            Err(Sent::Nothing) => return Err(AttemptEnd::Broken(Verdict::NotRun)),
            Err(Sent::End(end)) => return Err(end),
            Ok(answered) => return Ok(answered),
        }
        let channel = self.unless_broken(async { channels.connect(address).await }).await?;
        match self.exchange_on(channel).await {
            Err(Sent::Nothing) => Err(AttemptEnd::Broken(Verdict::NotRun)),
            Err(Sent::End(end)) => Err(end),
            Ok(answered) => Ok(answered),
        }
    }

    async fn exchange_on(
        &mut self,
        mut channel: Connection,
    ) -> Result<(Connection, Response<Incoming>), Sent> {
        let request = self.request();
        let answer = self.exchange.unless_interrupted(channel.send(request)).await;
        match answer {
            Ok(Ok(response)) => Ok((channel, response)),
            Ok(Err(ConnectionError::Closed)) => Err(Sent::Nothing),
            Ok(Err(error)) => {
                self.note_error(&error);
                Err(Sent::End(AttemptEnd::Broken(error.verdict())))
            }
            Err(interrupt) => Err(Sent::End(AttemptEnd::Interrupted(interrupt))),
        }
    }

    /// Waits for a connection; none means that the request has not run.
    async fn unless_broken<T>(
        &mut self,
        connect: impl Future<Output = Result<T, ConnectionError>>,
    ) -> Result<T, AttemptEnd> {
        match self.exchange.unless_interrupted(connect).await {
            Ok(Ok(connected)) => Ok(connected),
            Ok(Err(error)) => {
                self.note_error(&error);
                let gate = &self.exchange.gate;
                gate.notify_control(TrafficReport::Accused(self.routable.target.clone()));
                gate.suspected(&self.routable.name, "no connection");
                Err(AttemptEnd::Broken(Verdict::NotRun))
            }
            // Nothing has left yet.
            Err(Interrupt::Cancelled) => Err(AttemptEnd::Broken(Verdict::NotRun)),
            Err(Interrupt::Deadline) => Err(AttemptEnd::Interrupted(Interrupt::Deadline)),
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let ask = &self.exchange.ask;
        let left_ms = self.exchange.time_left().as_millis() as u64;
        let sending = TargetRequestHead {
            budget_ms: left_ms.saturating_sub(WAY_MS).max(1),
            expected: &self.routable.target,
            organisation: ask.organisation.as_ref(),
            rank: ask.rank,
            last_event_id: self.exchange.splitter.last_id(),
        };
        let mut headers = ask.headers.clone();
        self.exchange.gate.adapter.prepare_headers(&mut headers, &sending);
        let mut request = Request::new(Full::new(ask.body.clone()));
        *request.method_mut() = ask.method.clone();
        *request.uri_mut() = ask.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Whether the answer belongs to this request.
    ///
    /// Guards against a late answer to an earlier request, which a faulty target may send at the
    /// point where the next one is expected: the identity that it echoes is another.
    fn is_own_answer(&self, head: &AnswerHead) -> bool {
        match &self.exchange.ask.caller.request_id {
            Some(id) => head.request_id.as_ref() == Some(id),
            None => true,
        }
    }

    /// The target says that it has not run the request.
    fn refused(&self, response: &Response<Incoming>, head: &AnswerHead) -> AttemptEnd {
        self.note("refused by target", response.status().as_u16());
        if let Some(accused) = &head.reported_lost {
            let gate = &self.exchange.gate;
            gate.notify_control(TrafficReport::Accused(accused.clone()));
            gate.refuses(&self.routable.name);
        }
        AttemptEnd::Broken(Verdict::NotRun)
    }

    fn note_error(&self, error: &ConnectionError) {
        info!(self.exchange.gate.log, "attempt broken";
            "request_id" => self.exchange.ask.id(),
            "target" => self.routable.target.as_str(),
            "attempt" => self.exchange.attempts,
            "verdict" => error.verdict().as_str(),
            "error" => error.to_string(),
        );
    }

    pub(crate) fn note(&self, what: &'static str, status: u16) {
        info!(self.exchange.gate.log, "attempt ended";
            "request_id" => self.exchange.ask.id(),
            "target" => self.routable.target.as_str(),
            "attempt" => self.exchange.attempts,
            "status" => status,
            "why" => what,
        );
    }

    /// How long the target keeps a channel, a second less than it says.
    pub(crate) fn keep(head: &AnswerHead) -> Option<Duration> {
        head.keep_alive_s.map(|keep_s| Duration::from_secs(keep_s.saturating_sub(1)))
    }
}

/// Why a channel gave no answer.
enum Sent {
    /// It had ended before anything was sent.
    Nothing,
    /// The attempt is over.
    End(AttemptEnd),
}

use std::future::IntoFuture;
use std::sync::Arc;
use std::time::Duration;

use celeryhaven_node::AttemptEvent;
use celeryhaven_types::{Idempotency, ReplicaName};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use trillium_client::{Client, Conn};

use crate::exchange::{AnswerHead, AnswerPart, Exchange, RequestKind};
use crate::forward::attempt::Reporter;
use crate::forward::connector::GatedConnector;
use crate::forward::events::EventChecker;
use crate::forward::forwarder::{Forwarder, Target};
use crate::forward::progress::UnreportedTokens;
use crate::forward::refusals::is_engine_refusal;
use crate::forward::send_gate::SendGate;
use celeryhaven_clock::BootClock;

/// Maximum size of an answer that is buffered whole, in bytes; longer ones are streamed.
///
/// A buffered answer can be retried at another target when it fails.
const WHOLE_BYTES_MAX: usize = 1 << 20;
/// How long a stream may take to close after its end mark for its connection to be reused.
const STREAM_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
const READ_BYTES: usize = 16 << 10;
/// Headers of a target's answer that are forwarded to the caller.
const ANSWER_HEADERS: [&str; 4] = ["content-type", "cache-control", "location", "content-language"];
/// Those that describe a single run, which another may complete if the answer is a stream.
const RUN_HEADERS: [&str; 2] = ["etag", "last-modified"];

/// Result of a conversation with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The answer was forwarded completely, and reported to the control thread.
    Whole,
    /// The target refused the request without running it.
    Refused,
    /// Anything else.
    Failed,
    /// It was cancelled by this process.
    Stopped,
}

/// One request sent to one target.
pub(crate) struct Conversation<'a> {
    exchange: &'a Exchange,
    forwarder: &'a Forwarder,
    target: &'a Target,
    gate: &'a Arc<SendGate<Reporter>>,
    reporter: &'a Reporter,
}

impl<'a> Conversation<'a> {
    pub(crate) fn new(
        forwarder: &'a Forwarder,
        exchange: &'a Exchange,
        target: &'a Target,
        gate: &'a Arc<SendGate<Reporter>>,
        reporter: &'a Reporter,
    ) -> Self {
        Self { exchange, forwarder, target, gate, reporter }
    }

    /// Sends the request and forwards the answer.
    pub(crate) async fn run(&self) -> Outcome {
        let response = self.with_stall_timeout(self.conn().into_future()).await;
        let Some(Ok(mut conn)) = response else { return Outcome::Failed };
        let status = conn.status().map_or(0, |status| status as u16);
        // An interim status ends no exchange, and others are none of HTTP.
        let is_final = (200..600).contains(&status);
        if !is_final || self.has_foreign_id(&conn) {
            return Outcome::Failed;
        }
        let plain = self.exchange.request.kind == RequestKind::Plain;
        match (plain, status) {
            (true, 503) if header(&conn, "x-not-run") == Some("true") => Outcome::Refused,
            (true, _) => self.whole_answer(&mut conn, status).await,
            (false, 200) if self.exchange.request.kind == RequestKind::StreamedCompletion => {
                self.stream(&mut conn).await
            }
            (false, 200) => self.whole_answer(&mut conn, status).await,
            (false, _) => self.engine_refusal(&mut conn, status).await,
        }
    }

    fn conn(&self) -> Conn {
        let connector = GatedConnector {
            address: self.target.address,
            gate: self.gate.clone(),
            idle: self.forwarder.idle.clone(),
            reuse: self.exchange.head.idempotency == Idempotency::Idempotent,
            connect_timeout: self.forwarder.connect_timeout,
        };
        // Sends the body with its head, because targets may not support `Expect`.
        let client = Client::new(connector).with_max_buffered_request_body(usize::MAX);
        let request = &self.exchange.request;
        let url = format!("http://{}{}", self.target.address, request.path);
        let conn = client
            .build_conn(request.method.as_str(), url)
            .with_request_header("x-request-id", request.id.as_str().to_owned());
        let conn = request.headers.iter().fold(conn, |conn, (name, value)| {
            conn.with_request_header(name.clone(), value.clone())
        });
        let conn = match &self.target.replica {
            Some((replica, generation)) => conn
                .with_request_header("x-replica", replica.as_str().to_owned())
                .with_request_header("x-generation", generation.to_string()),
            None => conn,
        };
        match request.body.is_empty() {
            true => conn,
            false => conn.with_body(self.body()),
        }
    }

    /// Returns the body, with the token to resume from if there is one.
    fn body(&self) -> Vec<u8> {
        let body = &self.exchange.request.body;
        let object = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(body);
        match object {
            Ok(mut object) if self.target.resume_from > 0 => {
                object.insert("resume_from".into(), self.target.resume_from.into());
                serde_json::to_vec(&object).unwrap_or_else(|_| body.clone())
            }
            _ => body.clone(),
        }
    }

    /// Whether the answer names another request.
    ///
    /// An engine must echo the request ID; a plain service may omit it, but not send another.
    fn has_foreign_id(&self, conn: &Conn) -> bool {
        let echoed = header(conn, "x-request-id");
        let own = echoed == Some(self.exchange.request.id.as_str());
        let success = conn.status().is_some_and(|status| status.is_success());
        let required = self.exchange.request.kind != RequestKind::Plain && success;
        !own && (required || echoed.is_some())
    }

    async fn stream(&self, conn: &mut Conn) -> Outcome {
        if self.exchange.claim_head() {
            self.exchange.deliver(AnswerPart::Head(self.head(conn, 200, true))).await;
        }
        let mut started = false;
        let mut checker = EventChecker::new(&self.exchange.request.id, self.target.resume_from);
        let mut unreported = UnreportedTokens::new(self.reporter);
        let mut buffer = vec![0; READ_BYTES];
        // No size limit: the answer is streamed.
        let mut body = conn.response_body().with_max_len(u64::MAX);
        loop {
            let Some(Ok(read)) = self.with_stall_timeout(body.read(&mut buffer)).await else {
                return Outcome::Failed;
            };
            let Ok(events) = checker.push(&buffer[..read]) else { return Outcome::Failed };
            if events.tokens > 0 && !std::mem::replace(&mut started, true) {
                // Not at the head: engines may send it long before the first token.
                self.start();
            }
            if events.tokens > 0 {
                self.exchange.deliver(AnswerPart::Data(events.bytes)).await;
                unreported.add(events.tokens);
            }
            if events.done {
                self.exchange.deliver(AnswerPart::Data(DONE.to_vec())).await;
                drop(unreported);
                self.finish();
                let closed = async { body.read(&mut buffer).await.ok() };
                if closed.or(timeout(STREAM_CLOSE_TIMEOUT)).await == Some(0) {
                    self.gate.set_whole();
                }
                return Outcome::Whole;
            }
            if read == 0 {
                return Outcome::Failed;
            }
        }
    }

    /// Buffers an answer up to the limit and streams a longer one.
    async fn whole_answer(&self, conn: &mut Conn, status: u16) -> Outcome {
        let mut head = Some(self.head(conn, status, false));
        let mut pending = Vec::new();
        let mut buffer = vec![0; READ_BYTES];
        if !has_own_end(conn, status, &self.exchange.request.method) {
            return Outcome::Failed;
        }
        // No size limit: a long answer is streamed.
        let mut body = conn.response_body().with_max_len(u64::MAX);
        loop {
            let Some(Ok(read)) = self.with_stall_timeout(body.read(&mut buffer)).await else {
                return Outcome::Failed;
            };
            pending.extend_from_slice(&buffer[..read]);
            if read == 0 {
                break;
            }
            if pending.len() > WHOLE_BYTES_MAX {
                if let Some(head) = head.take() {
                    self.start();
                    let head = AnswerHead { streamed: true, ..head };
                    self.exchange.deliver(AnswerPart::Head(head)).await;
                }
                self.exchange.deliver(AnswerPart::Data(std::mem::take(&mut pending))).await;
            }
        }
        if let Some(head) = head {
            if self.has_foreign_body_id(&pending) {
                return Outcome::Failed;
            }
            self.start();
            self.exchange.deliver(AnswerPart::Head(head)).await;
        }
        self.exchange.deliver(AnswerPart::Data(pending)).await;
        self.gate.set_whole();
        self.finish();
        Outcome::Whole
    }

    /// Whether a completion in one piece names another request.
    fn has_foreign_body_id(&self, body: &[u8]) -> bool {
        #[derive(serde::Deserialize)]
        struct Named {
            id: Option<String>,
        }
        let completion = self.exchange.request.kind == RequestKind::WholeCompletion;
        let named = || serde_json::from_slice::<Named>(body).ok().and_then(|named| named.id);
        completion && named().as_deref() != Some(self.exchange.request.id.as_str())
    }

    async fn engine_refusal(&self, conn: &mut Conn, status: u16) -> Outcome {
        let reading = conn.response_body().with_max_len(READ_BYTES as u64).read_bytes();
        match self.with_stall_timeout(reading).await {
            Some(Ok(body)) if is_engine_refusal(status, &body) => Outcome::Refused,
            _ => Outcome::Failed,
        }
    }

    /// Completes the answer.
    ///
    /// For streams this happens at the end mark, so that a target that hangs after the mark causes
    /// no retry of an answer that the caller already has.
    fn finish(&self) {
        self.exchange.finish(&self.forwarder.answers);
        self.reporter.report(AttemptEvent::Finished);
    }

    /// Reports that the target began to answer.
    fn start(&self) {
        self.reporter.report(AttemptEvent::Started);
        if self.target.resume_from == 0 {
            let waited_ms = BootClock.now().since(self.exchange.arrived_at);
            self.forwarder.metrics.first_token.observe(waited_ms as f64 / 1_000.0);
        }
    }

    fn head(&self, conn: &Conn, status: u16, streamed: bool) -> AnswerHead {
        let of_run = if streamed { &[][..] } else { &RUN_HEADERS };
        let headers =
            ANSWER_HEADERS.iter().chain(of_run).copied().filter_map(|name| {
                header(conn, name).map(|value| (name.to_owned(), value.to_owned()))
            });
        AnswerHead {
            request_id: self.exchange.request.id.clone(),
            status,
            headers: headers.collect(),
            replica: self
                .target
                .replica
                .as_ref()
                .map(|(replica, _): &(ReplicaName, _)| replica.clone()),
            streamed,
        }
    }

    /// Waits for a target up to the stall timeout.
    async fn with_stall_timeout<F: Future>(&self, work: F) -> Option<F::Output> {
        async { Some(work.await) }.or(timeout(self.forwarder.stall_timeout)).await
    }
}

const DONE: &[u8] = b"data: [DONE]\n\n";

fn header<'a>(conn: &'a Conn, name: &'static str) -> Option<&'a str> {
    conn.response_headers().get_str(name)
}

async fn timeout<T>(limit: Duration) -> Option<T> {
    Timer::after(limit).await;
    None
}

/// Whether the end of an answer can be told from a lost connection.
///
/// An answer with neither a length nor chunks ends with its connection, so a truncated one would
/// look complete.
fn has_own_end(conn: &Conn, status: u16, method: &str) -> bool {
    let length = header(conn, "content-length").is_some_and(|text| text.parse::<u64>().is_ok());
    let bodyless = matches!(status, 204 | 304) || method == "HEAD";
    length || bodyless || header(conn, "transfer-encoding").is_some()
}

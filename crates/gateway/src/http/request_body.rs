use std::rc::Rc;
use std::time::{Duration, Instant};

use celeryhaven_body_budget::{BodyHead, BodyRefusal, Decision, RefusalReason};
use celeryhaven_http::{IncomingBody, RequestBody};
use celeryhaven_telemetry::metrics::OutcomeLabel;
use celeryhaven_types::{Refusal, RefusalCode};
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Frame;
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::bodies::BodyReader;
use crate::http::resolve::Rejection;
use crate::traffic::Dispatcher;

/// Time limit for receiving a request body, without the time for which it waits for room.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the rest of the body of a refused request is read and discarded.
///
/// A connection that is closed with unread bytes is reset, and its caller may lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the body of a request as there is room for it.
pub(super) async fn read_body<A: Adapter>(
    dispatcher: &Rc<Dispatcher<A>>,
    body: &mut IncomingBody,
    head: &BodyHead,
    request_id: &str,
) -> Result<RequestBody, Rejection> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let limit = dispatcher.state.borrow().routes.as_ref().map(|r| r.config().limits.body_bytes_max);
    let limit = limit.unwrap_or(usize::MAX);
    if head.length_bytes.is_some_and(|length| length > limit as u64) {
        return Err(too_large());
    }
    let (mut reader, mut decision) = dispatcher.bodies.arrive(head);
    let mut timeout_at = Instant::now() + BODY_TIMEOUT;
    let mut received = 0;
    let rejection = loop {
        if decision == Decision::Wait {
            let began_at = Instant::now();
            decision = reader.decision().await;
            let waited = began_at.elapsed();
            timeout_at += waited;
            info!(dispatcher.log, "body waited for room"; "request_id" => request_id,
                "rank" => head.rank, "bytes" => head.length_bytes, "received" => received,
                "waited_ms" => waited.as_millis() as u64);
        }
        if let Decision::Refuse(refusal) = decision {
            break refuse(dispatcher, (head, received, request_id), &refusal);
        }
        let frame = match next_frame(&reader, body, timeout_at).await {
            Step::Frame(frame) => frame,
            Step::Refused(refused) => {
                decision = refused;
                continue;
            }
            Step::Complete => match reader.finish() {
                Ok(body) => return Ok(body),
                Err(refusal) => break refuse(dispatcher, (head, received, request_id), &refusal),
            },
            Step::Broken => break rejected(StatusCode::BAD_REQUEST, RefusalCode::BadRequest),
            Step::TimedOut => break rejected(StatusCode::REQUEST_TIMEOUT, RefusalCode::SlowCaller),
        };
        let Ok(bytes) = frame.into_data() else { continue };
        received += bytes.len();
        if received > limit {
            break too_large();
        }
        decision = match reader.push(&bytes) {
            Ok(decision) => decision,
            Err(_) => break rejected(StatusCode::SERVICE_UNAVAILABLE, RefusalCode::Overloaded),
        };
    };
    Err(rejection)
}

/// What comes next of a body that is read.
enum Step {
    Frame(Frame<bytes::Bytes>),
    Complete,
    Broken,
    TimedOut,
    /// The body is refused for its slow caller.
    Refused(Decision),
}

async fn next_frame(reader: &BodyReader, body: &mut IncomingBody, timeout_at: Instant) -> Step {
    let frame = async {
        match body.frame().await {
            Some(Ok(frame)) => Step::Frame(frame),
            Some(Err(_)) => Step::Broken,
            None => Step::Complete,
        }
    };
    let refused = async { Step::Refused(reader.decision().await) };
    let timed_out = async {
        Timer::at(timeout_at).await;
        Step::TimedOut
    };
    smol::future::or(frame, smol::future::or(refused, timed_out)).await
}

/// Reads and discards the rest of the body of a refused request, within a time limit.
pub(super) fn discard_rest<A: Adapter>(dispatcher: &Rc<Dispatcher<A>>, mut body: IncomingBody) {
    if body.is_end_stream() {
        return;
    }
    let discard = async move { while let Some(Ok(_)) = body.frame().await {} };
    let timed_out = async {
        Timer::after(DISCARD_TIMEOUT).await;
    };
    dispatcher.executor.spawn(smol::future::or(discard, timed_out)).detach();
}

fn refuse<A: Adapter>(
    dispatcher: &Dispatcher<A>,
    (head, received, request_id): (&BodyHead, usize, &str),
    refusal: &BodyRefusal,
) -> Rejection {
    let (used_bytes, limit_bytes, waiting) = dispatcher.bodies.usage();
    let label = OutcomeLabel { call: "body", outcome: refusal.reason.as_str() };
    dispatcher.metrics.bodies_refused.get_or_create(&label).inc();
    info!(dispatcher.log, "body refused"; "request_id" => request_id, "rank" => head.rank,
        "bytes" => head.length_bytes, "received" => received, "why" => refusal.reason.as_str(),
        "used_bytes" => used_bytes, "limit_bytes" => limit_bytes, "waiting" => waiting,
        "retry_after_ms" => refusal.retry_after_ms,
        "left_ms" => head.deadline.since(dispatcher.now()));
    if refusal.reason == RefusalReason::SlowCaller {
        return rejected(StatusCode::REQUEST_TIMEOUT, RefusalCode::SlowCaller);
    }
    let overloaded = Refusal::not_run(RefusalCode::Overloaded);
    Rejection::Refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        overloaded.with_retry_after_ms(refusal.retry_after_ms),
    )
}

fn too_large() -> Rejection {
    rejected(StatusCode::PAYLOAD_TOO_LARGE, RefusalCode::BodyTooLarge)
}

fn rejected(status: StatusCode, code: RefusalCode) -> Rejection {
    Rejection::Refusal(status, Refusal::not_run(code))
}

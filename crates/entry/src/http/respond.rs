use async_channel::Receiver;
use celeryhaven_node::EntryEvent;
use celeryhaven_telemetry::RequestRecord;
use celeryhaven_types::{Refusal, RefusalCode, RequestId, Verdict};
use std::sync::Arc;
use trillium::{Body, Conn};

use crate::exchange::{AnswerHead, AnswerPart, End, Exchange, RequestKind};
use crate::http::HttpContext;
use crate::http::answer_body::AnswerBody;
use crate::http::refusal::{code_text, error_body, message, not_run, shown_to_caller};
use crate::http::request_completion::RequestCompletion;

/// Waits for the answer to an exchange and sends it to the caller.
pub(crate) async fn respond(
    context: HttpContext,
    conn: &mut Conn,
    exchange: Arc<Exchange>,
    parts: Receiver<AnswerPart>,
) {
    let completion = RequestCompletion::new(context, exchange.clone());
    let Some(first) = conn.cancel_on_disconnect(parts.recv()).await else {
        return completion.disconnected();
    };
    match first {
        Ok(AnswerPart::Head(head)) if head.streamed => stream(conn, head, parts, completion),
        Ok(AnswerPart::Head(head)) => whole(conn, head, parts, completion).await,
        Ok(AnswerPart::Data(_)) => lost(conn, completion),
        Err(_) => match exchange.end() {
            Some(End::Refused(refusal)) => refused(conn, refusal, completion),
            _ => lost(conn, completion),
        },
    }
}

fn stream(
    conn: &mut Conn,
    head: AnswerHead,
    parts: Receiver<AnswerPart>,
    completion: RequestCompletion,
) {
    let replica = head.replica.clone();
    put_head(conn, &head);
    let body = AnswerBody::new(parts, completion.with_replica(replica));
    conn.set_body(Body::new_streaming(body, None));
}

async fn whole(
    conn: &mut Conn,
    head: AnswerHead,
    parts: Receiver<AnswerPart>,
    completion: RequestCompletion,
) {
    let completion = completion.with_replica(head.replica.clone());
    let mut body = Vec::new();
    loop {
        let Some(part) = conn.cancel_on_disconnect(parts.recv()).await else {
            return completion.disconnected();
        };
        match part {
            Ok(AnswerPart::Data(data)) => body.extend_from_slice(&data),
            Ok(AnswerPart::Head(_)) => return lost(conn, completion),
            Err(_) => break,
        }
    }
    match completion.exchange().end() {
        Some(End::Whole) => {
            put_head(conn, &head);
            conn.insert_response_header("x-verdict", Verdict::Answered.as_str());
            completion.answered(body.len() as u64);
            conn.set_body(body);
        }
        Some(End::Refused(refusal)) => refused(conn, refusal, completion),
        None => lost(conn, completion),
    }
}

fn put_head(conn: &mut Conn, head: &AnswerHead) {
    conn.set_status(head.status);
    for (name, value) in &head.headers {
        conn.response_headers_mut().insert(name.clone(), value.clone());
    }
    conn.insert_response_header("x-request-id", head.request_id.as_str().to_owned());
    if let Some(replica) = &head.replica {
        conn.insert_response_header("x-replica", replica.as_str().to_owned());
    }
}

fn refused(conn: &mut Conn, refusal: Refusal, completion: RequestCompletion) {
    let request = &completion.exchange().request;
    let shown = shown_to_caller(refusal, request.kind == RequestKind::Plain);
    put_refusal(conn, shown, Some(&request.id), message(shown));
    completion.refused(refusal);
}

/// Refuses as "may have run", for parts in an unexpected order.
fn lost(conn: &mut Conn, completion: RequestCompletion) {
    refused(conn, Refusal::may_have_run(RefusalCode::AnswerLost), completion);
}

/// Refuses a request that the HTTP layer rejected.
///
/// With a key, an earlier try may have run; "not run" would make the caller repeat the update under
/// another key. So the verdict is "not run" only without a key.
pub(crate) fn refuse_early(
    context: &HttpContext,
    conn: &mut Conn,
    code: RefusalCode,
    message: &str,
) {
    let has_key = conn.request_headers().get_str("idempotency-key").is_some();
    let refusal = if has_key { Refusal::may_have_run(code) } else { not_run(code) };
    let id = context.next_request_id();
    context.count(None, refusal.verdict, &code_text(code));
    put_refusal(conn, refusal, Some(&id), message);
    let record = RequestRecord {
        request_id: id,
        organisation: None,
        replica: None,
        verdict: refusal.verdict,
        code: Some(code_text(code)),
        took_ms: 0,
        delivered: 0,
    };
    record.write(&context.log);
}

fn put_refusal(conn: &mut Conn, refusal: Refusal, id: Option<&RequestId>, message: &str) {
    conn.set_status(refusal.code.http_status());
    conn.insert_response_header("content-type", "application/json");
    conn.insert_response_header("x-verdict", refusal.verdict.as_str());
    if let Some(id) = id {
        conn.insert_response_header("x-request-id", id.as_str().to_owned());
    }
    if let Some(retry_ms) = refusal.retry_after_ms {
        conn.insert_response_header("retry-after", retry_ms.div_ceil(1_000).to_string());
        conn.insert_response_header("retry-after-ms", retry_ms.to_string());
    }
    if matches!(refusal.code, RefusalCode::SlowCaller | RefusalCode::BodyTooLarge) {
        // The rest of the body is not read.
        conn.insert_response_header("connection", "close");
    }
    conn.set_body(error_body(refusal, id, message).to_string());
}

/// Notifies the control thread that a caller has disconnected.
pub(crate) fn notify_disconnected(context: &HttpContext, exchange: &Arc<Exchange>) {
    let event = EntryEvent::CallerDisconnected { ticket: exchange.ticket() };
    context.control.send_traffic(event, Some(exchange.clone()));
}

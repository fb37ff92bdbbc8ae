use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use celeryhaven_fleet::{Route, RouteTable};
use celeryhaven_types::{OrganisationName, Refusal, RefusalCode};
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use slog::info;
use smol::Timer;

use crate::adapter::{Adapter, CallerHead};
use crate::http::{refusal_parts, strip_hop_by_hop};
use crate::traffic::{AnswerBody, AnswerParts, CallerRequest, Dispatcher, Exchange, sink};

/// When to ask again at a node that takes no requests, in milliseconds.
///
/// A node that starts knows the configuration within some hundred milliseconds, and others take
/// requests meanwhile.
const NOT_READY_RETRY_MS: u64 = 300;

/// Time after the signal to stop until which a request may still begin here, in milliseconds.
///
/// A stream that begins later may not end before the process does.
const LEAVING_BEGIN_MS: u64 = 3_000;

/// How long a caller may take to send a body, in milliseconds.
///
/// Load: callers that stop in the middle of a body. Harm: what they sent is held until the
/// connection ends. Limit: far above what the largest body takes on a slow link.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Why a request gets an answer of this node's own.
enum Rejected {
    Refusal(StatusCode, Refusal),
}

/// Answers one request of a caller.
pub(crate) async fn answer_caller<A: Adapter>(
    gate: Rc<Dispatcher<A>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut response = match read_ask(&gate, request).await {
        Ok(ask) => serve(gate.clone(), ask).await,
        Err(Rejected::Refusal(status, refusal)) => {
            info!(gate.log, "request rejected"; "status" => status.as_u16(),
                "code" => format!("{:?}", refusal.code));
            response_of(refusal_parts(status, &refusal, None), AnswerBody::full(Bytes::new()))
        }
    };
    if gate.state.borrow().leaving_since.is_some() {
        // Callers with an old address answer go elsewhere with their next request.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve<A: Adapter>(gate: Rc<Dispatcher<A>>, ask: CallerRequest) -> Response<AnswerBody> {
    let (sink, parts, pieces) = sink();
    let exchange = Exchange::new(gate.clone(), ask, sink);
    let task = gate.executor.spawn(exchange.run());
    match parts.recv().await {
        Ok(parts) if parts.whole.is_some() => {
            task.detach();
            response_of(parts, AnswerBody::full(Bytes::new()))
        }
        Ok(parts) => response_of(parts, AnswerBody::pieces(pieces, task)),
        // The exchange always begins an answer before it ends.
        Err(_) => response_of(
            refusal_parts(
                StatusCode::BAD_GATEWAY,
                &Refusal::may_have_run(RefusalCode::AnswerLost),
                None,
            ),
            AnswerBody::full(Bytes::new()),
        ),
    }
}

fn response_of(parts: AnswerParts, body: AnswerBody) -> Response<AnswerBody> {
    let body = match parts.whole {
        Some(bytes) => AnswerBody::full(bytes),
        None => body,
    };
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}

async fn read_ask<A: Adapter>(
    gate: &Rc<Dispatcher<A>>,
    request: Request<Incoming>,
) -> Result<CallerRequest, Rejected> {
    let arrived_at = gate.now();
    let (parts, body) = request.into_parts();
    let caller = gate.adapter.caller_head(&parts.headers);
    let body = read_body(gate, body).await?;
    let (routes, leaving_ms) = {
        let state = gate.state.borrow();
        let leaving_ms = state.leaving_since.map(|since| gate.now().since(since));
        (state.routes.clone(), leaving_ms)
    };
    let Some(routes) = routes else { return Err(unavailable()) };
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = routes.route(host, parts.uri.path()).ok_or_else(|| {
        Rejected::Refusal(StatusCode::NOT_FOUND, Refusal::not_run(RefusalCode::UnknownService))
    })?;
    let (organisation, own_rank) = holder(&routes, route, &caller)?;
    if leaving_ms.is_some_and(|ms| ms > LEAVING_BEGIN_MS) {
        return Err(unavailable());
    }
    let service = route.draw(random_fraction(&caller)).cloned().ok_or_else(unavailable)?;
    let has_engines =
        routes.config().service(&service).is_some_and(|service| service.engine.is_some());
    let budget_ms = caller.budget_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(AUTHORIZATION);
    headers.remove(CONTENT_LENGTH);
    Ok(CallerRequest {
        service,
        model: caller.model.clone().filter(|_| has_engines),
        organisation,
        rank: own_rank.unwrap_or(route.rank),
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        arrived_at,
        deadline: arrived_at.after(budget_ms),
        route: route.clone(),
        caller,
    })
}

/// Whose request it is; a key that nobody holds is refused.
fn holder(
    routes: &Arc<RouteTable>,
    route: &Route,
    caller: &CallerHead,
) -> Result<(Option<OrganisationName>, Option<u8>), Rejected> {
    if !routes.needs_keys() {
        return Ok((None, None));
    }
    let held = caller.key.as_deref().and_then(|key| routes.holder(key));
    match held {
        Some((name, rank)) => Ok((Some(name.clone()), rank)),
        None if route.anonymous => Ok((None, None)),
        None => Err(Rejected::Refusal(
            StatusCode::UNAUTHORIZED,
            Refusal::not_run(RefusalCode::Unauthenticated),
        )),
    }
}

async fn read_body<A: Adapter>(
    gate: &Rc<Dispatcher<A>>,
    body: Incoming,
) -> Result<Bytes, Rejected> {
    let limit = gate.state.borrow().routes.as_ref().map(|r| r.config().limits.body_bytes_max);
    let read = async { Some(Limited::new(body, limit.unwrap_or(usize::MAX)).collect().await) };
    let late = async {
        Timer::after(std::time::Duration::from_millis(BODY_TIMEOUT_MS)).await;
        None
    };
    match smol::future::or(read, late).await {
        Some(Ok(whole)) => Ok(whole.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(Rejected::Refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::not_run(RefusalCode::BodyTooLarge),
        )),
        Some(Err(_)) => Err(Rejected::Refusal(
            StatusCode::BAD_REQUEST,
            Refusal::not_run(RefusalCode::BadRequest),
        )),
        None => Err(Rejected::Refusal(
            StatusCode::REQUEST_TIMEOUT,
            Refusal::not_run(RefusalCode::SlowCaller),
        )),
    }
}

fn unavailable() -> Rejected {
    let refusal = Refusal::not_run(RefusalCode::NodeUnavailable);
    let refusal = refusal.with_retry_after_ms(NOT_READY_RETRY_MS);
    Rejected::Refusal(StatusCode::SERVICE_UNAVAILABLE, refusal)
}

/// A number from 0 to 1 for the draw among services.
///
/// It follows from the request's id, so that each of a caller's tries is drawn anew and a request
/// is drawn the same wherever it is looked at.
fn random_fraction(caller: &CallerHead) -> f64 {
    let id = caller.request_id.as_deref().unwrap_or_default();
    let hash =
        id.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Source: Fowler, Noll, Vo, 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

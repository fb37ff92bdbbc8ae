use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use celeryhaven_delegation::{DelegatedRequest, DelegationRefusal};
use celeryhaven_fleet::{Route, RouteTable};
use celeryhaven_quarantine::RequestDigest;
use celeryhaven_types::{ModelName, OrganisationName, Refusal, RefusalCode, ServiceName};
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use slog::info;
use smol::Timer;

use crate::adapter::{Adapter, CallerHead};
use crate::http::{refusal_parts, strip_hop_by_hop};
use crate::traffic::{
    Admission, AnswerBody, AnswerParts, CallerRequest, DELEGATED_HEADER, Delegated, Dispatcher,
    Exchange, add_delegation_refusal, answer_sink,
};

/// Retry delay suggested while this node does not accept requests, in milliseconds.
///
/// Other nodes accept requests meanwhile.
const NOT_READY_RETRY_AFTER_MS: u64 = 300;

/// Time after the stop signal during which new requests are accepted, in milliseconds.
///
/// A stream that starts later may not finish before the process exits.
const DRAIN_ACCEPT_MS: u64 = 3_000;

/// Time limit for receiving a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// An error answer produced by this node.
enum Rejection {
    Refusal(StatusCode, Refusal),
}

/// Answers a caller request.
pub(crate) async fn answer_caller<A: Adapter>(
    dispatcher: Rc<Dispatcher<A>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let is_delegated = request.headers().contains_key(DELEGATED_HEADER);
    let mut response = match read_request(&dispatcher, request).await {
        Ok(request) => serve(dispatcher.clone(), request).await,
        Err(Rejection::Refusal(status, refusal)) => {
            info!(dispatcher.log, "request rejected"; "status" => status.as_u16(),
                "code" => format!("{:?}", refusal.code));
            let mut parts = refusal_parts(status, &refusal, None);
            if is_delegated {
                add_delegation_refusal(&mut parts, &DelegationRefusal::local());
            }
            build_response(parts, AnswerBody::full(Bytes::new()))
        }
    };
    if dispatcher.state.borrow().leaving_since.is_some() {
        // Closing the connection makes the caller use a current address for its next request.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve<A: Adapter>(
    dispatcher: Rc<Dispatcher<A>>,
    request: CallerRequest,
) -> Response<AnswerBody> {
    let admission = dispatcher.admit(&request).await;
    if let Admission::Refused(refusal) = admission {
        return refuse_unsent(&dispatcher, &request, &refusal);
    }
    let (sink, parts, chunks) = answer_sink();
    let exchange = Exchange::new(dispatcher.clone(), request, sink);
    let exchange = if admission == Admission::Trial { exchange.with_trial() } else { exchange };
    let task = dispatcher.executor.spawn(exchange.run());
    match parts.recv().await {
        Ok(parts) if parts.body.is_some() => {
            task.detach();
            build_response(parts, AnswerBody::full(Bytes::new()))
        }
        Ok(parts) => build_response(parts, AnswerBody::chunked(chunks, task)),
        // The exchange always sends a head before it ends.
        Err(_) => build_response(
            refusal_parts(
                StatusCode::BAD_GATEWAY,
                &Refusal::may_have_run(RefusalCode::AnswerLost),
                None,
            ),
            AnswerBody::full(Bytes::new()),
        ),
    }
}

/// Refuses a request that must not be sent to targets.
fn refuse_unsent<A: Adapter>(
    dispatcher: &Dispatcher<A>,
    request: &CallerRequest,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    let took_ms = dispatcher.now().since(request.arrived_at);
    let outcome = match refusal.code {
        RefusalCode::Quarantined => "quarantined",
        _ => "not run",
    };
    dispatcher.metrics.record_request(outcome, took_ms);
    info!(dispatcher.log, "request ended"; "request_id" => request.id(),
        "digest" => request.digest.to_string(), "route" => &request.route.name,
        "organisation" => request.organisation.as_ref().map(OrganisationName::as_str),
        "outcome" => outcome, "took_ms" => took_ms);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut parts = refusal_parts(status, refusal, request.caller.request_id.as_deref());
    if request.delegated.is_some() {
        let is_local = refusal.code == RefusalCode::NodeUnavailable;
        let refusal = DelegationRefusal { is_local, ..DelegationRefusal::local() };
        add_delegation_refusal(&mut parts, &refusal);
    }
    build_response(parts, AnswerBody::full(Bytes::new()))
}

fn build_response(parts: AnswerParts, body: AnswerBody) -> Response<AnswerBody> {
    let body = match parts.body {
        Some(bytes) => AnswerBody::full(bytes),
        None => body,
    };
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}

async fn read_request<A: Adapter>(
    dispatcher: &Rc<Dispatcher<A>>,
    request: Request<Incoming>,
) -> Result<CallerRequest, Rejection> {
    let arrived_at = dispatcher.now();
    let (mut parts, body) = request.into_parts();
    let delegated = read_delegated(dispatcher, &mut parts.headers)?;
    let caller = dispatcher.adapter.caller_head(&parts.headers);
    let body = read_body(dispatcher, body).await?;
    let (routes, leaving_ms) = {
        let state = dispatcher.state.borrow();
        let leaving_ms = state.leaving_since.map(|since| dispatcher.now().since(since));
        (state.routes.clone(), leaving_ms)
    };
    let Some(routes) = routes else { return Err(unavailable()) };
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let resolved = match delegated {
        Some(delegated) => Resolved::from(delegated),
        None => resolve(&routes, (host, parts.uri.path()), &caller)?,
    };
    if leaving_ms.is_some_and(|ms| ms > DRAIN_ACCEPT_MS) {
        return Err(unavailable());
    }
    let Resolved { route, service, model, organisation, rank, delegated } = resolved;
    let digest = {
        let organisation = organisation.as_ref().map_or("", OrganisationName::as_str);
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        RequestDigest::of([parts.method.as_str(), host, path, organisation], &body)
    };
    let budget_ms = caller.budget_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(AUTHORIZATION);
    headers.remove(CONTENT_LENGTH);
    Ok(CallerRequest {
        service,
        model,
        organisation,
        rank,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        digest,
        arrived_at,
        deadline: arrived_at.after(budget_ms),
        route,
        caller,
        delegated,
    })
}

/// Route, service and caller of a request.
struct Resolved {
    route: Route,
    service: ServiceName,
    model: Option<ModelName>,
    organisation: Option<OrganisationName>,
    rank: u8,
    delegated: Option<Delegated>,
}

impl From<DelegatedRequest> for Resolved {
    fn from(request: DelegatedRequest) -> Self {
        let DelegatedRequest { route, service, model, organisation, rank, is_counted, .. } =
            request;
        let delegated = Some(Delegated { is_counted });
        Self { route, service, model, organisation, rank, delegated }
    }
}

/// Finds the route and the service of a request, and authenticates its caller.
fn resolve(
    routes: &Arc<RouteTable>,
    (host, path): (&str, &str),
    caller: &CallerHead,
) -> Result<Resolved, Rejection> {
    let route = routes.route(host, path).ok_or_else(|| {
        Rejection::Refusal(StatusCode::NOT_FOUND, Refusal::not_run(RefusalCode::UnknownService))
    })?;
    let (organisation, own_rank) = authenticate(routes, route, caller)?;
    let service =
        route.select_service(request_fraction(caller)).cloned().ok_or_else(unavailable)?;
    let has_engines =
        routes.config().service(&service).is_some_and(|service| service.engine.is_some());
    Ok(Resolved {
        rank: own_rank.unwrap_or(route.rank),
        model: caller.model.clone().filter(|_| has_engines),
        route: route.clone(),
        service,
        organisation,
        delegated: None,
    })
}

/// Takes what another node has said of a request that this node runs for it.
///
/// Only a node that has read this node's token from the store may delegate requests.
fn read_delegated<A: Adapter>(
    dispatcher: &Rc<Dispatcher<A>>,
    headers: &mut HeaderMap,
) -> Result<Option<DelegatedRequest>, Rejection> {
    let Some(value) = headers.remove(DELEGATED_HEADER) else { return Ok(None) };
    let request = DelegatedRequest::decode(value.as_bytes());
    match request.filter(|request| request.token == dispatcher.token) {
        Some(request) => Ok(Some(request)),
        // This node may have started anew since its token was read.
        None => Err(unavailable()),
    }
}

/// Returns the organisation and rank that belong to the caller's key; rejects unknown keys.
fn authenticate(
    routes: &Arc<RouteTable>,
    route: &Route,
    caller: &CallerHead,
) -> Result<(Option<OrganisationName>, Option<u8>), Rejection> {
    if !routes.needs_keys() {
        return Ok((None, None));
    }
    let holder = caller.key.as_deref().and_then(|key| routes.holder(key));
    match holder {
        Some((name, rank)) => Ok((Some(name.clone()), rank)),
        None if route.anonymous => Ok((None, None)),
        None => Err(Rejection::Refusal(
            StatusCode::UNAUTHORIZED,
            Refusal::not_run(RefusalCode::Unauthenticated),
        )),
    }
}

async fn read_body<A: Adapter>(
    dispatcher: &Rc<Dispatcher<A>>,
    body: Incoming,
) -> Result<Bytes, Rejection> {
    let limit = dispatcher.state.borrow().routes.as_ref().map(|r| r.config().limits.body_bytes_max);
    let read = async { Some(Limited::new(body, limit.unwrap_or(usize::MAX)).collect().await) };
    let timeout = async {
        Timer::after(std::time::Duration::from_millis(BODY_TIMEOUT_MS)).await;
        None
    };
    match smol::future::or(read, timeout).await {
        Some(Ok(collected)) => Ok(collected.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::Refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::not_run(RefusalCode::BodyTooLarge),
        )),
        Some(Err(_)) => Err(Rejection::Refusal(
            StatusCode::BAD_REQUEST,
            Refusal::not_run(RefusalCode::BadRequest),
        )),
        None => Err(Rejection::Refusal(
            StatusCode::REQUEST_TIMEOUT,
            Refusal::not_run(RefusalCode::SlowCaller),
        )),
    }
}

fn unavailable() -> Rejection {
    let refusal = Refusal::not_run(RefusalCode::NodeUnavailable);
    let refusal = refusal.with_retry_after_ms(NOT_READY_RETRY_AFTER_MS);
    Rejection::Refusal(StatusCode::SERVICE_UNAVAILABLE, refusal)
}

/// Returns a number from 0 to 1 derived from the request id, for weighted service selection.
///
/// Every node selects the same service for the same request.
fn request_fraction(caller: &CallerHead) -> f64 {
    let id = caller.request_id.as_deref().unwrap_or_default();
    let hash =
        id.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// FNV-1a, 64 bit, by Fowler, Noll and Vo.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

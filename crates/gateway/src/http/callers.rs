use std::rc::Rc;

use bytes::Bytes;
use celeryhaven_delegation::DelegationRefusal;
use celeryhaven_quarantine::CauseDigest;
use celeryhaven_types::{OrganisationName, Refusal, RefusalCode};
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::http::resolve::{Rejection, Resolved, confirm, read_delegated, resolve, unavailable};
use crate::http::{refusal_parts, strip_hop_by_hop};
use crate::traffic::{
    Admission, AnswerBody, AnswerParts, CallerRequest, DELEGATED_HEADER, Dispatcher, Exchange,
    add_delegation_refusal, answer_sink,
};

/// Time after the stop signal during which new requests are accepted, in milliseconds.
///
/// A stream that starts later may not finish before the process exits.
const DRAIN_ACCEPT_MS: u64 = 3_000;

/// Number of shared parts of a prompt, from its beginning, that can be suspected.
const SHARED_PARTS_MAX: usize = 8;

/// Time limit for receiving a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

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
        "digest" => request.digest.to_string(),
        "cause" => dispatcher.quarantined_cause(request).map(|cause| cause.to_string()),
        "shared_parts" => request.caller.shared_parts.join(","), "route" => &request.route.name,
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
        None => resolve(&routes, (host, parts.uri.path()), &caller)
            .map_err(|rejection| confirm(dispatcher, &routes, rejection))?,
    };
    if leaving_ms.is_some_and(|ms| ms > DRAIN_ACCEPT_MS) {
        return Err(unavailable());
    }
    let Resolved { route, service, model, organisation, rank, delegated } = resolved;
    let digest = {
        let organisation = organisation.as_ref().map_or("", OrganisationName::as_str);
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        CauseDigest::of_request([parts.method.as_str(), host, path, organisation], &body)
    };
    let shared_parts = caller.shared_parts.iter().take(SHARED_PARTS_MAX);
    let shared_parts = shared_parts.map(|id| CauseDigest::of_part(service.as_str(), id)).collect();
    let budget_ms = caller.budget_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let (is_governed, is_return) = {
        let mut state = dispatcher.state.borrow_mut();
        let is_governed = state.is_governed(&route, model.as_ref());
        // The budget of a delegated request is what another node has left of it.
        let is_own = delegated.is_none();
        let is_return = is_governed && is_own && state.is_return(&route, caller.budget_ms);
        (is_governed, is_return)
    };
    if is_return {
        dispatcher.metrics.record_return(route.rank);
    }
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
        parts: shared_parts,
        arrived_at,
        deadline: arrived_at.after(budget_ms),
        route,
        caller,
        delegated,
        is_governed,
        is_return,
    })
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

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use celeryhaven_body_budget::{BodyHead, SHORT_BYTES_MAX};
use celeryhaven_delegation::{DelegatedRequest, DelegationRefusal};
use celeryhaven_fleet::{Route, RouteTable};
use celeryhaven_http::IncomingBody;
use celeryhaven_quarantine::CauseDigest;
use celeryhaven_types::{OrganisationName, Refusal, RefusalCode, TimeMs};
use http::header::{ACCEPT_ENCODING, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use slog::info;

use crate::adapter::{Adapter, CallerHead};
use crate::http::request_body::{discard_rest, read_body};
use crate::http::resolve::{Rejection, Resolved, confirm, read_delegated, resolve, unavailable};
use crate::http::{refusal_parts, strip_hop_by_hop};
use crate::traffic::{
    Admission, AnswerBody, AnswerParts, CallerRequest, DELEGATED_HEADER, Dispatcher, Exchange,
    add_delegation_refusal, answer_sink,
};

/// Number of shared parts of a prompt, from its beginning, that can be suspected.
const SHARED_PARTS_MAX: usize = 8;

/// Answers a caller request.
pub(crate) async fn answer_caller<A: Adapter>(
    dispatcher: Rc<Dispatcher<A>>,
    request: Request<IncomingBody>,
) -> Response<AnswerBody> {
    let is_delegated = request.headers().contains_key(DELEGATED_HEADER);
    let (parts, mut body) = request.into_parts();
    let mut is_closing = false;
    let mut response = match read_request(&dispatcher, parts, &mut body).await {
        Ok(request) => serve(dispatcher.clone(), request).await,
        Err(Rejection::Refusal(status, refusal)) => {
            // Tells a caller that reads the answer early to send no more of a long body.
            is_closing = body.size_hint().upper().is_none_or(|bytes| bytes > SHORT_BYTES_MAX);
            discard_rest(&dispatcher, body);
            info!(dispatcher.log, "request rejected"; "status" => status.as_u16(),
                "code" => format!("{:?}", refusal.code));
            let mut parts = refusal_parts(status, &refusal, None);
            if is_delegated {
                add_delegation_refusal(&mut parts, &DelegationRefusal::local());
            }
            build_response(parts, AnswerBody::full(Bytes::new()))
        }
    };
    if is_closing || dispatcher.is_stopping() {
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
    let (sink, parts, chunks) = answer_sink(&dispatcher.unread_answers);
    let exchange = Exchange::new(dispatcher.clone(), request, sink);
    let exchange = if admission == Admission::Trial { exchange.with_trial() } else { exchange };
    let task = dispatcher.executor.spawn(exchange.run());
    match parts.recv().await {
        Ok(parts) if parts.body.is_some() => {
            task.detach();
            build_response(parts, AnswerBody::full(Bytes::new()))
        }
        Ok(parts) => {
            let length_bytes = parts.length_bytes;
            build_response(parts, AnswerBody::chunked(chunks, length_bytes, task))
        }
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

/// Returns when the caller of a request gives up.
fn deadline(route: &Route, caller: &CallerHead, arrived_at: TimeMs) -> TimeMs {
    arrived_at.after(caller.budget_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms))
}

/// Resolves the route of a request, before its body is read and with the configuration that is in
/// force once it is.
fn resolve_request<A: Adapter>(
    dispatcher: &Rc<Dispatcher<A>>,
    parts: &Parts,
    (caller, arrived_at): (&CallerHead, TimeMs),
    delegated: Option<&DelegatedRequest>,
) -> Result<(Arc<RouteTable>, Resolved), Rejection> {
    let routes = dispatcher.state.borrow().routes.clone();
    let Some(routes) = routes else { return Err(unavailable()) };
    let resolved = match delegated {
        Some(delegated) => Resolved::from(delegated.clone()),
        None => resolve(&routes, (host(parts), parts.uri.path()), caller)
            .map_err(|rejection| confirm(dispatcher, &routes, rejection))?,
    };
    let times = (dispatcher.now(), deadline(&resolved.route, caller, arrived_at));
    let request_id = caller.request_id.as_deref().unwrap_or_default();
    if !dispatcher.may_begin((&resolved.route, caller.output_tokens_max), times, request_id) {
        return Err(unavailable());
    }
    Ok((routes, resolved))
}

fn host(parts: &Parts) -> &str {
    parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
}

async fn read_request<A: Adapter>(
    dispatcher: &Rc<Dispatcher<A>>,
    mut parts: Parts,
    body: &mut IncomingBody,
) -> Result<CallerRequest, Rejection> {
    let arrived_at = dispatcher.now();
    let delegated = read_delegated(dispatcher, &mut parts.headers)?;
    let caller = dispatcher.adapter.caller_head(&parts.headers);
    let (routes, resolved) =
        resolve_request(dispatcher, &parts, (&caller, arrived_at), delegated.as_ref())?;
    let head = BodyHead {
        rank: resolved.rank,
        organisation: dispatcher.bodies.organisation(resolved.organisation.as_ref()),
        length_bytes: body.size_hint().exact(),
        deadline: deadline(&resolved.route, &caller, arrived_at),
        answer_ms: dispatcher.answer_ms(&resolved.route, caller.output_tokens_max),
    };
    let request_id = caller.request_id.as_deref().unwrap_or_default();
    let body = read_body(dispatcher, body, &head, request_id).await?;
    let is_changed = {
        let state = dispatcher.state.borrow();
        state.stopping.is_some()
            || !state.routes.as_ref().is_some_and(|newest| Arc::ptr_eq(newest, &routes))
    };
    let resolved = match is_changed {
        true => resolve_request(dispatcher, &parts, (&caller, arrived_at), delegated.as_ref())?.1,
        false => resolved,
    };
    let Resolved { route, service, model, organisation, rank, delegated } = resolved;
    let digest = {
        let organisation = organisation.as_ref().map_or("", OrganisationName::as_str);
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let head = [parts.method.as_str(), host(&parts), path, organisation];
        CauseDigest::of_request_in_parts(head, body.parts().map(|part| &part[..]))
    };
    let shared_parts = caller.shared_parts.iter().take(SHARED_PARTS_MAX);
    let shared_parts = shared_parts.map(|id| CauseDigest::of_part(service.as_str(), id)).collect();
    let deadline = deadline(&route, &caller, arrived_at);
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
    if route.kind.is_stream() {
        // The events of a coded stream cannot be told apart, so another target could not resume it.
        headers.remove(ACCEPT_ENCODING);
    }
    Ok(CallerRequest {
        service,
        model,
        organisation,
        rank,
        method: parts.method,
        uri: parts.uri,
        headers,
        body: body.into(),
        digest,
        parts: shared_parts,
        arrived_at,
        deadline,
        route,
        caller,
        delegated,
        is_governed,
        is_return,
    })
}

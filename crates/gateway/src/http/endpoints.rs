use std::rc::Rc;

use celeryhaven_http::IncomingBody;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};

use crate::adapter::{Adapter, AddressAnswer};
use crate::traffic::{AnswerBody, Dispatcher};

/// Maximum number of addresses in one answer.
const ADDRESSES_MAX: usize = 64;

/// Header that marks a node as cut off from the store.
pub(crate) const CUT_OFF_HEADER: HeaderName = HeaderName::from_static("celeryhaven-cut-off");

/// Header that marks a node as having lost its links to the targets that form replicas.
pub(crate) const ISOLATED_HEADER: HeaderName = HeaderName::from_static("celeryhaven-isolated");

/// Answers a readiness probe of the platform or another node.
pub(crate) async fn answer_ready<A: Adapter>(
    dispatcher: Rc<Dispatcher<A>>,
    request: Request<IncomingBody>,
) -> Response<AnswerBody> {
    let path_matches = request.uri().path() == dispatcher.adapter.paths().ready;
    let is_isolated = dispatcher.is_isolated_from_engines();
    let state = dispatcher.state.borrow();
    let status = match (path_matches, state.ready && state.stopping.is_none()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = plain_response(status, "");
    if state.cut_off_until.is_some_and(|until| until > dispatcher.now()) {
        response.headers_mut().insert(CUT_OFF_HEADER, HeaderValue::from_static("1"));
    }
    if is_isolated {
        response.headers_mut().insert(ISOLATED_HEADER, HeaderValue::from_static("1"));
    }
    response
}

/// Answers a caller's address lookup.
pub(crate) async fn answer_lookup<A: Adapter>(
    dispatcher: Rc<Dispatcher<A>>,
    ttl_ms: u64,
    request: Request<IncomingBody>,
) -> Response<AnswerBody> {
    if request.uri().path() != dispatcher.adapter.paths().addresses {
        return plain_response(StatusCode::NOT_FOUND, "");
    }
    let mut addresses = dispatcher.state.borrow().addresses.clone();
    addresses.truncate(ADDRESSES_MAX);
    if addresses.is_empty() {
        return plain_response(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let answer = AddressAnswer { addresses: &addresses, ttl_ms };
    let mut response = plain_response(StatusCode::OK, dispatcher.adapter.address_answer(&answer));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Answers with the metrics in text format.
pub(crate) async fn answer_metrics<A: Adapter>(
    dispatcher: Rc<Dispatcher<A>>,
    request: Request<IncomingBody>,
) -> Response<AnswerBody> {
    match request.uri().path() {
        "/metrics" => plain_response(StatusCode::OK, dispatcher.metrics.process.encode()),
        _ => plain_response(StatusCode::NOT_FOUND, ""),
    }
}

pub(crate) fn plain_response(
    status: StatusCode,
    body: impl Into<bytes::Bytes>,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(body));
    *response.status_mut() = status;
    response
}

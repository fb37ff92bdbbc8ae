use std::rc::Rc;

use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::adapter::{Adapter, AddressAnswer};
use crate::traffic::{AnswerBody, Dispatcher};

/// Addresses that one answer names at most.
const ADDRESSES_MAX: usize = 64;

/// Header by which a node tells others that the store does not serve it.
pub(crate) const CUT_OFF_HEADER: HeaderName = HeaderName::from_static("celeryhaven-cut-off");

/// Tells the platform and other nodes whether this node takes requests.
pub(crate) async fn answer_ready<A: Adapter>(
    gate: Rc<Dispatcher<A>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let known = request.uri().path() == gate.adapter.paths().ready;
    let state = gate.state.borrow();
    let status = match (known, state.ready && state.leaving_since.is_none()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = plain(status, "");
    if state.cut_off_until.is_some_and(|until| until > gate.now()) {
        response.headers_mut().insert(CUT_OFF_HEADER, HeaderValue::from_static("1"));
    }
    response
}

/// Tells a caller which addresses to use.
pub(crate) async fn answer_lookup<A: Adapter>(
    gate: Rc<Dispatcher<A>>,
    ttl_ms: u64,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if request.uri().path() != gate.adapter.paths().addresses {
        return plain(StatusCode::NOT_FOUND, "");
    }
    let mut addresses = gate.state.borrow().addresses.clone();
    addresses.truncate(ADDRESSES_MAX);
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let answer = AddressAnswer { addresses: &addresses, ttl_ms };
    let mut response = plain(StatusCode::OK, gate.adapter.address_answer(&answer));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Serves the metrics as text.
pub(crate) async fn answer_metrics<A: Adapter>(
    gate: Rc<Dispatcher<A>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match request.uri().path() {
        "/metrics" => plain(StatusCode::OK, gate.metrics.process.encode()),
        _ => plain(StatusCode::NOT_FOUND, ""),
    }
}

pub(crate) fn plain(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(body));
    *response.status_mut() = status;
    response
}

use async_channel::Sender;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::control::event::ControlEvent;
use crate::control::relay::codec::decode;
use crate::control::relay::peer_client::SUSPICION_PATH;
use crate::control::relay::relay_request::RelayRequest;
use crate::control::relay::relay_state::RelayState;
use crate::control::suspicions::Suspicion;
use crate::traffic::AnswerBody;

/// Longest accepted request of another node, in bytes.
const MESSAGE_BYTES_MAX: usize = 4 * 1024;

/// Answers a request of another node: a relay request or a suspicion.
pub(crate) async fn answer_peer_request(
    relay: RelayState,
    events: Sender<ControlEvent>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if !relay.is_authorised(&request) {
        return empty_response(StatusCode::UNAUTHORIZED);
    }
    if request.uri().path() == SUSPICION_PATH {
        let Some(suspicion) = read_body::<Suspicion>(request).await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        events.send(ControlEvent::Suspicion(suspicion)).await.unwrap_or_default();
        return empty_response(StatusCode::OK);
    }
    match RelayRequest::parse(&request) {
        Some(relay_request) => relay.answer(relay_request, read_body(request).await).await,
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Reads and decodes a body; returns `None` if it is empty or invalid.
async fn read_body<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = Limited::new(request.into_body(), MESSAGE_BYTES_MAX).collect().await.ok()?;
    decode(&body.to_bytes())
}

pub(super) fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(""));
    *response.status_mut() = status;
    response
}

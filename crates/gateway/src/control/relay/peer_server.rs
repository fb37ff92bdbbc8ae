use async_channel::Sender;
use celeryhaven_http::IncomingBody;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::ends::{EndAnswer, EndQuestion, SeenCrashes};
use crate::control::event::ControlEvent;
use crate::control::relay::codec::{decode, encode};
use crate::control::relay::peer_client::{CRASHES_PATH, ENDS_PATH, SUSPICION_PATH};
use crate::control::relay::relay_request::RelayRequest;
use crate::control::relay::relay_state::RelayState;
use crate::control::suspicions::Suspicion;
use crate::traffic::AnswerBody;

/// Longest accepted request of another node, in bytes.
const MESSAGE_BYTES_MAX: usize = 32 * 1024;

/// Answers a request of another node: a relay request or a suspicion.
pub(crate) async fn answer_peer_request(
    relay: RelayState,
    events: Sender<ControlEvent>,
    request: Request<IncomingBody>,
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
    match request.uri().path() {
        ENDS_PATH => {
            let event = ControlEvent::EndsAsked;
            return answer_control::<EndQuestion, EndAnswer>(events, request, event).await;
        }
        CRASHES_PATH => {
            let event = |seen, reply| ControlEvent::CrashesSeen(seen, Some(reply));
            return answer_control::<SeenCrashes, SeenCrashes>(events, request, event).await;
        }
        _ => {}
    }
    match RelayRequest::parse(&request) {
        Some(relay_request) => relay.answer(relay_request, read_body(request).await).await,
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Answers with what the control thread replies to a message.
async fn answer_control<M: DeserializeOwned, R: Serialize>(
    events: Sender<ControlEvent>,
    request: Request<IncomingBody>,
    event: impl FnOnce(M, Sender<R>) -> ControlEvent,
) -> Response<AnswerBody> {
    let Some(message) = read_body(request).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let (reply, answer) = async_channel::bounded(1);
    events.send(event(message, reply)).await.unwrap_or_default();
    match answer.recv().await.ok().and_then(|answer| encode(&answer)) {
        Some(bytes) => Response::new(AnswerBody::full(bytes)),
        None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Reads and decodes a body; returns `None` if it is empty or invalid.
async fn read_body<T: DeserializeOwned>(request: Request<IncomingBody>) -> Option<T> {
    let body = Limited::new(request.into_body(), MESSAGE_BYTES_MAX).collect().await.ok()?;
    decode(&body.to_bytes())
}

pub(super) fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(""));
    *response.status_mut() = status;
    response
}

use async_channel::Sender;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::control::event::ControlEvent;
use crate::control::relay::codec::decode;
use crate::control::relay::peer_client::SUSPICION_PATH;
use crate::control::relay::question::Question;
use crate::control::relay::relay_state::Relay;
use crate::control::suspicions::Suspicion;
use crate::traffic::AnswerBody;

/// The longest message of another node, in bytes.
const MESSAGE_BYTES_MAX: usize = 4 * 1024;

/// Answers another node: one that follows this one, or one that tells a suspicion.
pub(crate) async fn answer_peer(
    relay: Relay,
    events: Sender<ControlEvent>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if !relay.is_shown_token(&request) {
        return plain(StatusCode::UNAUTHORIZED);
    }
    if request.uri().path() == SUSPICION_PATH {
        let Some(suspicion) = read_body::<Suspicion>(request).await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        events.send(ControlEvent::Suspicion(suspicion)).await.unwrap_or_default();
        return plain(StatusCode::OK);
    }
    match Question::read(&request) {
        Some(question) => relay.answer(question, read_body(request).await).await,
        None => plain(StatusCode::NOT_FOUND),
    }
}

/// The message in a body; `None` if there is none or it cannot be read.
async fn read_body<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = Limited::new(request.into_body(), MESSAGE_BYTES_MAX).collect().await.ok()?;
    decode(&body.to_bytes())
}

pub(super) fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(""));
    *response.status_mut() = status;
    response
}

use async_channel::Sender;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::control::event::ControlEvent;
use crate::control::relay::peer_client::SUSPICION_PATH;
use crate::control::relay::question::Question;
use crate::control::relay::relay_state::Relay;
use crate::control::suspicions::Suspicion;
use crate::traffic::AnswerBody;

const SUSPICION_BYTES_MAX: usize = 2 * 1024;

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
        let Some(suspicion) = read_suspicion(request).await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        events.send(ControlEvent::Suspicion(suspicion)).await.unwrap_or_default();
        return plain(StatusCode::OK);
    }
    match Question::read(&request) {
        Some(question) => relay.answer(question).await,
        None => plain(StatusCode::NOT_FOUND),
    }
}

async fn read_suspicion(request: Request<Incoming>) -> Option<Suspicion> {
    let body = Limited::new(request.into_body(), SUSPICION_BYTES_MAX).collect().await.ok()?;
    postcard::from_bytes(&body.to_bytes()).ok()
}

pub(super) fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(""));
    *response.status_mut() = status;
    response
}

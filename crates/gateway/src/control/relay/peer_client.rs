use std::time::Duration;

use bytes::Bytes;
use celeryhaven_http::{ConnectionPool, RequestBody};
use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use smol::Timer;

use crate::control::ends::{EndAnswer, EndQuestion, SeenCrashes};
use crate::control::relay::codec::{decode, encode};
use crate::control::relay::messages::{DemandReport, RelayReply};
use crate::control::relay::peer_address::PeerAddress;
use crate::control::relay::relay_request::RelayRequest;
use crate::control::suspicions::Suspicion;

/// How long a relay's answer may take beyond the requested wait, in milliseconds.
const ANSWER_SLACK_MS: u64 = 300;

/// Longest accepted answer of a node, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Path for suspicions.
pub(super) const SUSPICION_PATH: &str = "/v1/suspicion";

/// Paths for questions about ends of targets, and for crashes that a node has seen.
pub(super) const ENDS_PATH: &str = "/v1/ends";
pub(super) const CRASHES_PATH: &str = "/v1/crashes";

/// How long a peer may take to find out about ends, beyond the slack of any answer, in milliseconds.
const FIND_MS: u64 = 200;

/// Polls a relay and reports this node's demand; returns `None` if there is no valid answer.
pub(crate) async fn poll_relay(
    connections: &ConnectionPool,
    relay: &PeerAddress,
    request: &RelayRequest,
    report: Option<&DemandReport>,
) -> Option<RelayReply> {
    let path = request.path();
    let body = match report {
        Some(report) => encode(report)?,
        None => Vec::new(),
    };
    let reply = call_peer(connections, relay, &path, body.into(), request.wait_ms).await?;
    decode(&reply)
}

/// Sends a suspicion to the coordinator, without retries: the listed targets show a loss later.
pub(crate) async fn send_suspicion(
    connections: &ConnectionPool,
    peer: &PeerAddress,
    suspicion: &Suspicion,
) {
    let Some(body) = encode(suspicion) else { return };
    call_peer(connections, peer, SUSPICION_PATH, body.into(), 0).await.unwrap_or_default();
}

/// Asks a peer about ends of targets; returns `None` if there is no valid answer.
pub(crate) async fn ask_ends(
    connections: &ConnectionPool,
    peer: &PeerAddress,
    question: &EndQuestion,
) -> Option<EndAnswer> {
    let body = encode(question)?;
    decode(&call_peer(connections, peer, ENDS_PATH, body.into(), FIND_MS).await?)
}

/// Tells a peer of crashes; returns what it knows of their causes, or `None` if there is no valid answer.
///
/// There are no retries: the store tells the peer as well.
pub(crate) async fn send_crashes(
    connections: &ConnectionPool,
    peer: &PeerAddress,
    seen: &SeenCrashes,
) -> Option<SeenCrashes> {
    let body = encode(seen)?;
    decode(&call_peer(connections, peer, CRASHES_PATH, body.into(), 0).await?)
}

/// Sends a request to a node that may wait up to `wait_ms` before it answers.
async fn call_peer(
    connections: &ConnectionPool,
    peer: &PeerAddress,
    path: &str,
    body: Bytes,
    wait_ms: u64,
) -> Option<Bytes> {
    let mut request = Request::new(RequestBody::from(body));
    *request.uri_mut() = path.parse().ok()?;
    let token = HeaderValue::from_str(&format!("Bearer {}", peer.token)).ok()?;
    request.headers_mut().insert(AUTHORIZATION, token);
    let late = async {
        Timer::after(Duration::from_millis(wait_ms + ANSWER_SLACK_MS)).await;
        None
    };
    let exchange = async {
        let (mut connection, _) = connections.take(peer.address).await.ok()?;
        let response = connection.send(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await.ok()?;
        let body = body.to_bytes();
        if connection.wait_idle().await {
            connections.put(peer.address, connection, None);
        }
        Some(body)
    };
    smol::future::or(exchange, late).await
}

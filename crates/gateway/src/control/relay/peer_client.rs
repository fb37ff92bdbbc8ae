use std::time::Duration;

use bytes::Bytes;
use celeryhaven_http::ConnectionPool;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use smol::Timer;

use crate::control::relay::address::RelayAddress;
use crate::control::relay::codec::{decode, encode};
use crate::control::relay::messages::{DemandReport, RelayReply};
use crate::control::relay::question::Question;
use crate::control::suspicions::Suspicion;

/// How much longer than its wait a relay's answer may take, in milliseconds.
///
/// A relay that died or was cut off is left for the store after it.
pub(crate) const ANSWER_SLACK_MS: u64 = 300;

/// Where a node is told a suspicion.
pub(super) const SUSPICION_PATH: &str = "/v1/suspicion";

/// Asks a relay what is new, and reports this node's demand; `None` if it does not answer.
pub(crate) async fn ask_relay(
    channels: &ConnectionPool,
    relay: &RelayAddress,
    question: &Question,
    report: Option<&DemandReport>,
) -> Option<RelayReply> {
    let path = question.path();
    let body = match report {
        Some(report) => encode(report)?,
        None => Vec::new(),
    };
    let reply = call_peer(channels, relay, &path, body.into(), question.wait_ms).await?;
    decode(&reply)
}

/// Tells the node that decides of a suspicion; a loss is only a delay, since the list shows it too.
pub(crate) async fn send_suspicion(
    channels: &ConnectionPool,
    peer: &RelayAddress,
    suspicion: &Suspicion,
) {
    let Some(body) = encode(suspicion) else { return };
    call_peer(channels, peer, SUSPICION_PATH, body.into(), 0).await.unwrap_or_default();
}

/// One exchange with a node, which may wait that long before it answers.
async fn call_peer(
    channels: &ConnectionPool,
    peer: &RelayAddress,
    path: &str,
    body: Bytes,
    wait_ms: u64,
) -> Option<Bytes> {
    let mut request = Request::new(Full::new(body));
    *request.uri_mut() = path.parse().ok()?;
    let token = HeaderValue::from_str(&format!("Bearer {}", peer.token)).ok()?;
    request.headers_mut().insert(AUTHORIZATION, token);
    let late = async {
        Timer::after(Duration::from_millis(wait_ms + ANSWER_SLACK_MS)).await;
        None
    };
    let exchange = async {
        let (mut channel, _) = channels.take(peer.address).await.ok()?;
        let response = channel.send(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        if channel.wait_idle().await {
            channels.put(peer.address, channel, None);
        }
        Some(body)
    };
    smol::future::or(exchange, late).await
}

use celeryhaven_types::{DataCentreName, RefusalCode};
use serde::{Deserialize, Serialize};
use trillium::Conn;

use crate::http::HttpContext;
use crate::http::authorise::authorise;
use crate::http::respond::refuse_early;

/// Maximum number of keys per call.
const KEYS_MAX: u64 = 1_000;
/// Maximum body of a call for keys, in bytes.
const KEYS_BODY_BYTES: u64 = 4_096;

#[derive(Deserialize)]
struct KeysRequest {
    count: u64,
}

/// Serves `GET /v1/address`.
pub(crate) async fn address(context: &HttpContext, conn: &mut Conn) {
    let query = form_urlencoded::parse(conn.querystring().as_bytes());
    let near = query.filter(|(name, _)| name == "data_centre").map(|(_, value)| value).next();
    let near = near.map(|near| DataCentreName::new(near.into_owned()));
    match context.control.addresses(near).await {
        Some(answer) => json(conn, &answer),
        None => unavailable(context, conn),
    }
}

/// Serves `POST /v1/keys`.
pub(crate) async fn keys(context: &HttpContext, conn: &mut Conn) {
    let view = context.control.view();
    let organisation = match authorise(&view, conn) {
        Ok(organisation) => organisation.name.clone(),
        Err(code) => return refuse_early(context, conn, code, "send a valid API key"),
    };
    let body = conn.request_body().with_max_len(KEYS_BODY_BYTES).read_bytes().await;
    let request = body.ok().and_then(|body| serde_json::from_slice::<KeysRequest>(&body).ok());
    let Some(KeysRequest { count: count @ 1..=KEYS_MAX }) = request else {
        let message = "send {\"count\": N} with N from 1 to 1000";
        return refuse_early(context, conn, RefusalCode::BadRequest, message);
    };
    match context.control.keys(organisation, count).await {
        Some(answer) => json(conn, &answer),
        None => unavailable(context, conn),
    }
}

/// Serves `GET /healthz`: whether the control thread answers.
pub(crate) async fn health(context: &HttpContext, conn: &mut Conn) {
    match context.control.addresses(None).await {
        Some(_) => text(conn, 200, "alive\n".into()),
        None => text(conn, 503, "the control thread has ended\n".into()),
    }
}

/// Serves `GET /readyz`: whether the node accepts new requests.
pub(crate) fn readiness(context: &HttpContext, conn: &mut Conn) {
    match context.control.view().ready {
        true => text(conn, 200, "ready\n".into()),
        false => {
            text(conn, 503, "not ready: leaving, or without a configuration in force\n".into());
        }
    }
}

/// Serves `GET /metrics`.
pub(crate) fn metrics(context: &HttpContext, conn: &mut Conn) {
    let encoded = context.metrics.process.encode();
    text(conn, 200, encoded);
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    conn.insert_response_header("content-type", kind);
}

fn unavailable(context: &HttpContext, conn: &mut Conn) {
    refuse_early(context, conn, RefusalCode::NodeUnavailable, "this node is stopping");
}

fn json(conn: &mut Conn, value: &impl Serialize) {
    let body = serde_json::to_string(value).unwrap_or_default();
    text(conn, 200, body);
    conn.insert_response_header("content-type", "application/json");
}

fn text(conn: &mut Conn, status: u16, body: String) {
    conn.set_status(status);
    conn.insert_response_header("content-type", "text/plain; charset=utf-8");
    conn.set_body(body);
}

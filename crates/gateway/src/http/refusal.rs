use bytes::Bytes;
use celeryhaven_types::Refusal;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::Serialize;

use crate::traffic::AnswerParts;

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: &'a Refusal,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a str>,
}

/// Builds the answer for a refusal: status, `Retry-After`, and a JSON body with the reason.
pub(crate) fn refusal_parts(
    status: StatusCode,
    refusal: &Refusal,
    request_id: Option<&str>,
) -> AnswerParts {
    let body = serde_json::to_vec(&RefusalBody { error: refusal, request_id }).unwrap_or_default();
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let retry_after = refusal.retry_after_ms.map(|ms| format!("{}.{:03}", ms / 1_000, ms % 1_000));
    if let Some(value) = retry_after.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    AnswerParts { status, headers, body: Some(Bytes::from(body)), length_bytes: None }
}

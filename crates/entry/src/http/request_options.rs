use celeryhaven_types::RefusalCode;
use trillium::Conn;

use crate::http::HttpContext;
use crate::http::rejection::Rejection;

/// Options of a request, from its head.
pub(crate) struct RequestOptions {
    pub(crate) method: String,
    pub(crate) key: Option<String>,
    pub(crate) idempotent: Option<bool>,
    pub(crate) deadline_ms: u64,
}

impl RequestOptions {
    /// Reads and validates the headers.
    pub(crate) fn read(context: &HttpContext, conn: &Conn) -> Result<Self, Rejection> {
        let header = |name: &'static str| conn.request_headers().get_str(name);
        let bad = |message: &str| Rejection::new(RefusalCode::BadRequest, message);
        let idempotent = match header("x-idempotent") {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(_) => return Err(bad("send `x-idempotent` as `true` or `false`")),
        };
        let deadline_ms = match header("x-deadline-ms").map(str::parse::<u64>) {
            None => context.limits.default_deadline_ms,
            Some(Ok(deadline_ms @ 1..=3_600_000)) => deadline_ms,
            Some(_) => return Err(bad("send `x-deadline-ms` as a number from 1 to 3600000")),
        };
        let key = header("idempotency-key").map(str::to_owned);
        if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > 200) {
            return Err(bad("send an `idempotency-key` of 1 to 200 bytes"));
        }
        Ok(Self { method: conn.method().to_string(), key, idempotent, deadline_ms })
    }
}

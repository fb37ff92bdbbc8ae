use celeryhaven_types::{Refusal, RefusalCode, RequestId, Verdict};
use serde_json::{Value, json};

/// Returns a refusal as shown to the caller.
///
/// A forbidden model or service looks like an unknown one, so that an organisation cannot find out
/// what others use. The log has the original code.
pub(crate) fn shown_to_caller(refusal: Refusal, is_service: bool) -> Refusal {
    match refusal.code {
        RefusalCode::Forbidden if is_service => {
            Refusal { code: RefusalCode::UnknownService, ..refusal }
        }
        RefusalCode::Forbidden => Refusal { code: RefusalCode::UnknownModel, ..refusal },
        _ => refusal,
    }
}

/// Returns the body of a refusal, also used as the event that ends an interrupted stream.
pub(crate) fn error_body(refusal: Refusal, id: Option<&RequestId>, message: &str) -> Value {
    json!({"error": {
        "code": code_text(refusal.code),
        "message": message,
        "verdict": refusal.verdict.as_str(),
        "retry_after_ms": refusal.retry_after_ms,
        "request_id": id.map(RequestId::as_str),
    }})
}

/// Returns the name of a code on the wire.
pub(crate) fn code_text(code: RefusalCode) -> String {
    match serde_json::to_value(code) {
        Ok(Value::String(text)) => text,
        _ => String::new(),
    }
}

/// Returns a sentence on what happened and what to do.
pub(crate) fn message(refusal: Refusal) -> &'static str {
    match refusal.code {
        RefusalCode::BadRequest => "the request is not what this endpoint accepts",
        RefusalCode::Unauthenticated => "send a valid API key as `authorization: Bearer KEY`",
        RefusalCode::Forbidden => "this API key may not use it",
        RefusalCode::UnknownModel => "no deployment serves this model for this API key",
        RefusalCode::UnknownService => "no service of this name exists for this API key",
        RefusalCode::BodyTooLarge => "the body is larger than this endpoint accepts",
        RefusalCode::SlowCaller => "the request came in too slowly; send it again in one go",
        RefusalCode::DeadlineUnreachable => "it cannot finish by its deadline",
        RefusalCode::Overloaded => "too many requests wait already; ask again after the given time",
        RefusalCode::NoReplica => "nothing that serves this can be reached now; ask again later",
        RefusalCode::NodeUnavailable => "this node takes no requests now; ask another address",
        RefusalCode::Quarantined => {
            "targets ended each time they ran this request; do not repeat it"
        }
        RefusalCode::UnknownKey => "the idempotency key was not issued here or has expired",
        RefusalCode::KeyInUse => "another request with this idempotency key was sent before",
        RefusalCode::ClaimUnavailable => {
            "the idempotency key could not be claimed; ask again later"
        }
        RefusalCode::AnswerLost => {
            "the answer was lost after the request had been sent to a target"
        }
        RefusalCode::IssuerGone => "the node that issued the idempotency key is gone",
        RefusalCode::CallerGone => "the caller closed its connection",
    }
}

/// Returns a refusal of the HTTP layer, which has sent nothing to any target.
pub(crate) const fn not_run(code: RefusalCode) -> Refusal {
    Refusal { code, verdict: Verdict::NotRun, retry_after_ms: None }
}

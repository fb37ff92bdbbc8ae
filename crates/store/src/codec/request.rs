use std::sync::Arc;

use celeryhaven_types::store::StoreRequest;
use form_urlencoded::Serializer;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Characters that are percent-encoded in an object key; slashes are not.
const KEY_ESCAPES: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

pub(crate) fn method(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Get { .. } | StoreRequest::List { .. } | StoreRequest::Watch { .. } => "GET",
        StoreRequest::Create { .. } | StoreRequest::Update { .. } => "PUT",
        StoreRequest::Delete { .. } => "DELETE",
    }
}

/// Returns the path and query.
pub(crate) fn target(request: &StoreRequest) -> String {
    match request {
        StoreRequest::Get { key }
        | StoreRequest::Create { key, .. }
        | StoreRequest::Update { key, .. }
        | StoreRequest::Delete { key, .. } => {
            format!("/objects/{}", utf8_percent_encode(key.as_str(), KEY_ESCAPES))
        }
        StoreRequest::List { prefix } => {
            let query =
                Serializer::new(String::new()).append_pair("prefix", prefix.as_str()).finish();
            format!("/objects?{query}")
        }
        StoreRequest::Watch { prefix, from, wait_ms } => {
            let query = Serializer::new(String::new())
                .append_pair("prefix", prefix.as_str())
                .append_pair("from", &from.to_string())
                .append_pair("wait_ms", &wait_ms.to_string())
                .finish();
            format!("/watch?{query}")
        }
    }
}

/// Returns the name and value of the header that makes a write conditional.
pub(crate) fn precondition(request: &StoreRequest) -> Option<(&'static str, String)> {
    match request {
        StoreRequest::Create { .. } => Some(("if-none-match", "*".to_owned())),
        StoreRequest::Update { version, .. } | StoreRequest::Delete { version, .. } => {
            Some(("if-match", version.to_string()))
        }
        StoreRequest::Get { .. } | StoreRequest::List { .. } | StoreRequest::Watch { .. } => None,
    }
}

/// Returns the body of a write.
pub(crate) fn value(request: &StoreRequest) -> Option<&Arc<str>> {
    match request {
        StoreRequest::Create { value, .. } | StoreRequest::Update { value, .. } => Some(value),
        _ => None,
    }
}

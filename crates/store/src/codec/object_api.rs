use celeryhaven_types::store::{StoreReply, StoreRequest};

use crate::codec::reply_body::{parse_changes, parse_list, parse_object, parse_version};
use crate::codec::request::{method, precondition, target, value};
use crate::codec::{DecodedReply, EncodedCall, Freshness, StoreCodec};

/// Wire format of the Object API (docs/PROTOCOLS.md).
#[derive(Clone, Copy, Debug, Default)]
pub struct ObjectApiCodec;

impl StoreCodec for ObjectApiCodec {
    fn encode_call(&self, request: &StoreRequest, _: Freshness, _: Option<&str>) -> EncodedCall {
        EncodedCall {
            method: method(request),
            target: target(request),
            precondition: precondition(request),
            body: value(request).map(ToString::to_string),
        }
    }

    fn decode_reply(&self, request: &StoreRequest, status: u16, body: &str) -> DecodedReply {
        DecodedReply::unpaged(match status {
            200 => decode_success(request, body).unwrap_or(StoreReply::Unknown),
            404 if request.is_write() => StoreReply::Conflict,
            404 => StoreReply::Missing,
            412 => StoreReply::Conflict,
            410 => StoreReply::TooOld,
            400..=499 => StoreReply::Rejected,
            _ => StoreReply::Unknown,
        })
    }
}

fn decode_success(request: &StoreRequest, body: &str) -> Option<StoreReply> {
    match request {
        StoreRequest::Get { .. } => Some(StoreReply::Found(parse_object(body)?)),
        StoreRequest::List { .. } => {
            let (version, objects) = parse_list(body)?;
            Some(StoreReply::Listed { version, objects })
        }
        StoreRequest::Watch { .. } => {
            let (version, changes) = parse_changes(body)?;
            Some(StoreReply::Changes { version, changes })
        }
        StoreRequest::Create { .. } | StoreRequest::Update { .. } | StoreRequest::Delete { .. } => {
            Some(StoreReply::Written { version: parse_version(body)? })
        }
    }
}

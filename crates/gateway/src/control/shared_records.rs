use std::sync::Arc;

use celeryhaven_records::{RecordWrite, WriteOutcome};
use celeryhaven_store::StoreCodec;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::counted_store::{CountedStore, StoreCallKind};

/// Carries out a write, and reads the record if the store holds another version.
///
/// A record that cannot be read is replaced: nobody else would.
pub(super) async fn write_record<W: StoreCodec, K, R: Serialize + DeserializeOwned>(
    store: &CountedStore<W>,
    kind: StoreCallKind,
    key: ObjectKey,
    write: &RecordWrite<K, R>,
) -> WriteOutcome<R> {
    let Some(request) = write_request(&key, write) else { return WriteOutcome::Failed };
    match store.call(kind, &request).await {
        StoreReply::Written { version } => WriteOutcome::Written(version),
        StoreReply::Conflict => match store.call(kind, &StoreRequest::Get { key }).await {
            StoreReply::Found(object) => match parse(&object.value) {
                Some(record) => WriteOutcome::Found(object.version, record),
                None => {
                    let request = at_version(request, object.version);
                    match store.call(kind, &request).await {
                        StoreReply::Written { version } => WriteOutcome::Written(version),
                        _ => WriteOutcome::Failed,
                    }
                }
            },
            StoreReply::Missing => WriteOutcome::Missing,
            _ => WriteOutcome::Failed,
        },
        // Repeating a write that took effect conflicts, and adds nothing.
        _ => WriteOutcome::Failed,
    }
}

fn write_request<K, R: Serialize>(
    key: &ObjectKey,
    write: &RecordWrite<K, R>,
) -> Option<StoreRequest> {
    let key = key.clone();
    Some(match write {
        RecordWrite::Put { version, record, .. } => {
            let value: Arc<str> = serde_json::to_string(record).ok()?.into();
            match *version {
                Some(version) => StoreRequest::Update { key, version, value },
                None => StoreRequest::Create { key, value },
            }
        }
        RecordWrite::Delete { version, .. } => StoreRequest::Delete { key, version: *version },
    })
}

/// Returns the same write, provided that the object is at `version`.
fn at_version(request: StoreRequest, version: ObjectVersion) -> StoreRequest {
    match request {
        StoreRequest::Create { key, value } | StoreRequest::Update { key, value, .. } => {
            StoreRequest::Update { key, version, value }
        }
        StoreRequest::Delete { key, .. } => StoreRequest::Delete { key, version },
        read => read,
    }
}

/// Parses the value of a record.
pub(super) fn parse<R: DeserializeOwned>(value: &str) -> Option<R> {
    serde_json::from_str(value).ok()
}

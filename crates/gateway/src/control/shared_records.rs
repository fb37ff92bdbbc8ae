use std::sync::Arc;

use celeryhaven_records::{RecordWrite, WriteOutcome};
use celeryhaven_store::StoreCodec;
use celeryhaven_types::store::{ObjectKey, StoreReply, StoreRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::counted_store::{CountedStore, StoreCallKind};

/// Carries out a write, and reads the record if the store holds another version.
pub(super) async fn write_record<W: StoreCodec, K, R: Serialize + DeserializeOwned>(
    store: &CountedStore<W>,
    kind: StoreCallKind,
    key: ObjectKey,
    write: &RecordWrite<K, R>,
) -> WriteOutcome<R> {
    let request = match write {
        RecordWrite::Put { version, record, .. } => {
            let Ok(value) = serde_json::to_string(record) else { return WriteOutcome::Failed };
            let (key, value): (_, Arc<str>) = (key.clone(), value.into());
            match *version {
                Some(version) => StoreRequest::Update { key, version, value },
                None => StoreRequest::Create { key, value },
            }
        }
        RecordWrite::Delete { version, .. } => {
            StoreRequest::Delete { key: key.clone(), version: *version }
        }
    };
    match store.call(kind, &request).await {
        StoreReply::Written { version } => WriteOutcome::Written(version),
        StoreReply::Conflict => match store.call(kind, &StoreRequest::Get { key }).await {
            StoreReply::Found(object) => match parse(&object.value) {
                Some(record) => WriteOutcome::Found(object.version, record),
                None => WriteOutcome::Failed,
            },
            StoreReply::Missing => WriteOutcome::Missing,
            _ => WriteOutcome::Failed,
        },
        // Repeating a write that took effect conflicts, and adds nothing.
        _ => WriteOutcome::Failed,
    }
}

/// Parses the value of a record.
pub(super) fn parse<R: DeserializeOwned>(value: &str) -> Option<R> {
    serde_json::from_str(value).ok()
}

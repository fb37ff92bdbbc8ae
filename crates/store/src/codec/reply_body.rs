use std::sync::Arc;

use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion};
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
struct VersionBody {
    version: ObjectVersion,
}

#[derive(Deserialize)]
struct ObjectBody<'a> {
    key: ObjectKey,
    version: ObjectVersion,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    version: ObjectVersion,
    #[serde(borrow)]
    objects: Vec<ObjectBody<'a>>,
}

#[derive(Deserialize)]
struct WatchBody<'a> {
    version: ObjectVersion,
    #[serde(borrow)]
    events: Vec<ObjectBody<'a>>,
}

/// Parses the reply to a write, which holds the new version.
pub(crate) fn parse_version(body: &str) -> Option<ObjectVersion> {
    serde_json::from_str::<VersionBody>(body).ok().map(|body| body.version)
}

pub(crate) fn parse_object(body: &str) -> Option<Object> {
    serde_json::from_str::<ObjectBody<'_>>(body).ok().map(object)
}

pub(crate) fn parse_list(body: &str) -> Option<(ObjectVersion, Vec<Object>)> {
    let list = serde_json::from_str::<ListBody<'_>>(body).ok()?;
    Some((list.version, list.objects.into_iter().map(object).collect()))
}

/// Parses the reply to a watch.
pub(crate) fn parse_changes(body: &str) -> Option<(ObjectVersion, Vec<ObjectChange>)> {
    let watch = serde_json::from_str::<WatchBody<'_>>(body).ok()?;
    Some((watch.version, watch.events.into_iter().map(change).collect()))
}

/// Returns an object of a read; one without a value has the value `null`, which hides no other.
fn object(body: ObjectBody<'_>) -> Object {
    let value = Arc::from(body.value.map_or("null", RawValue::get));
    Object { key: body.key, version: body.version, value }
}

fn change(body: ObjectBody<'_>) -> ObjectChange {
    let value = body.value.map(|value| Arc::from(value.get()));
    ObjectChange { key: body.key, version: body.version, value }
}

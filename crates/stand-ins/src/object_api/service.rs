use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion};
use serde_json::{Value, json};
use smol::Timer;

use crate::http::{Answer, Request, Serve};
use crate::object_api::{Counters, Limits, ObjectApiFaults, Objects, TokenBucket, WriteOutcome};

/// Maximum size of a value, in bytes.
const VALUE_BYTES_MAX: usize = 1 << 20;
/// Maximum duration of a watch, in milliseconds.
const WATCH_WAIT_MAX_MS: u64 = 60_000;

/// The Object API over HTTP, with fault injection and counters.
#[derive(Debug)]
pub struct ObjectApi {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    stale: Option<Objects>,
    faults: ObjectApiFaults,
    counters: Counters,
    reads: TokenBucket,
    writes: TokenBucket,
    /// Closed and replaced to wake all waiting watches.
    wakeup: (Sender<()>, Receiver<()>),
}

impl ObjectApi {
    /// Creates an empty store that retains up to `history_max` changes for watches.
    pub fn new(limits: Limits, history_max: usize) -> Self {
        let now = Instant::now();
        let state = State {
            objects: Objects::new(history_max),
            stale: None,
            faults: ObjectApiFaults::default(),
            counters: Counters::default(),
            reads: TokenBucket::new(limits.reads_per_s, now),
            writes: TokenBucket::new(limits.writes_per_s, now),
            wakeup: async_channel::bounded(1),
        };
        Self { state: Mutex::new(state) }
    }

    /// Returns the number of calls since the start.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Replaces the set of active faults.
    pub fn set_faults(&self, faults: ObjectApiFaults) {
        let mut state = self.lock();
        if !faults.stale_reads {
            state.stale = None;
        } else if state.stale.is_none() {
            state.stale = Some(state.objects.clone());
        }
        state.faults = faults;
        state.wake_watches();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, request: &Request) -> Answer {
        let mut state = self.lock();
        let key = request.path.strip_prefix("/objects/").map(ObjectKey::new);
        match &key {
            Some(_) => state.counters.gets += 1,
            None => state.counters.lists += 1,
        }
        if !state.reads.take(Instant::now()) {
            return state.reject_over_rate();
        }
        let objects = state.stale.as_ref().unwrap_or(&state.objects);
        let Some(key) = key else {
            let list = objects.list(request.query("prefix").unwrap_or(""));
            let list = list.iter().map(object_json).collect::<Vec<_>>();
            return Answer::json(200, &json!({"version": objects.version(), "objects": list}));
        };
        match objects.get(&key) {
            Some(object) => Answer::json(200, &object_json(object)),
            None => Answer::json(404, &json!({"error": {"code": "missing"}})),
        }
    }

    fn write(&self, request: &Request) -> Answer {
        let mut state = self.lock();
        let delete = request.method == "DELETE";
        match delete {
            true => state.counters.deletes += 1,
            false => state.counters.puts += 1,
        }
        let Some(key) = request.path.strip_prefix("/objects/").map(ObjectKey::new) else {
            return Answer::bad_request("invalid path: expected /objects/KEY");
        };
        let Some(expected) = expected_version(request) else {
            return Answer::bad_request(
                "missing precondition: send if-match: VERSION or if-none-match: *",
            );
        };
        let value = match delete {
            true => None,
            false => match parse_value(&request.body) {
                Some(value) => Some(value),
                None => {
                    return Answer::bad_request("invalid value: expected JSON of at most 1 MiB");
                }
            },
        };
        if !state.writes.take(Instant::now()) {
            return state.reject_over_rate();
        }
        state.write(key, expected, value)
    }

    async fn watch(&self, request: &Request) -> Answer {
        {
            let mut state = self.lock();
            state.counters.watches += 1;
            if !state.reads.take(Instant::now()) {
                return state.reject_over_rate();
            }
            state.counters.watches_waiting += 1;
        }
        let _waiting = WaitingWatch { api: self };
        self.wait_for_changes(request).await
    }

    async fn wait_for_changes(&self, request: &Request) -> Answer {
        let prefix = request.query("prefix").unwrap_or("");
        let from = ObjectVersion::new(request.query_number("from").unwrap_or(0));
        let wait_ms = request.query_number("wait_ms").unwrap_or(0).min(WATCH_WAIT_MAX_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let wakeup = {
                let mut state = self.lock();
                if state.faults.outage {
                    state.counters.cut += 1;
                    return Answer::Close;
                }
                let objects = state.stale.as_ref().unwrap_or(&state.objects);
                match objects.changes(prefix, from) {
                    None => return Answer::json(410, &json!({"error": {"code": "too_old"}})),
                    Some(changes) if !changes.is_empty() || Instant::now() >= deadline => {
                        let events = changes.iter().map(change_json).collect::<Vec<_>>();
                        let version = objects.version();
                        return Answer::json(200, &json!({"version": version, "events": events}));
                    }
                    Some(_) => state.wakeup.1.clone(),
                }
            };
            let closed = async {
                let _ = wakeup.recv().await;
            };
            let timeout = async {
                Timer::at(deadline).await;
            };
            smol::future::or(closed, timeout).await;
        }
    }
}

/// Counts a watch as waiting until it is answered or its caller disconnects.
struct WaitingWatch<'a> {
    api: &'a ObjectApi,
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.api.lock().counters.watches_waiting -= 1;
    }
}

impl Serve for ObjectApi {
    async fn serve(&self, request: Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/faults") => return set_faults(self, &request),
            ("GET", "/counters") => return Answer::json(200, &self.counters()),
            _ => {}
        }
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            self.lock().counters.cut += 1;
            return Answer::Close;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/watch") => self.watch(&request).await,
            ("GET", path) if path.starts_with("/objects") => self.read(&request),
            ("PUT" | "DELETE", _) => self.write(&request),
            _ => Answer::json(404, &json!({"error": {"code": "unknown_path"}})),
        }
    }
}

impl State {
    fn reject_over_rate(&mut self) -> Answer {
        self.counters.over_rate += 1;
        Answer::json(429, &json!({"error": {"code": "over_rate"}}))
    }

    fn write(
        &mut self,
        key: ObjectKey,
        expected: ObjectVersion,
        value: Option<Arc<str>>,
    ) -> Answer {
        match self.objects.write(key, expected, value) {
            WriteOutcome::Conflict(version) => {
                self.counters.conflicts += 1;
                Answer::json(412, &json!({"version": version}))
            }
            WriteOutcome::Written(version) => {
                self.counters.writes_done += 1;
                self.wake_watches();
                if self.faults.lose_answer_after_write > 0 {
                    self.faults.lose_answer_after_write -= 1;
                    self.counters.cut += 1;
                    return Answer::Close;
                }
                Answer::json(200, &json!({"version": version}))
            }
        }
    }

    fn wake_watches(&mut self) {
        self.wakeup.0.close();
        self.wakeup = async_channel::bounded(1);
    }
}

fn set_faults(api: &ObjectApi, request: &Request) -> Answer {
    match request.json() {
        Ok(faults) => {
            api.set_faults(faults);
            Answer::json(200, &faults)
        }
        Err(error) => Answer::bad_request(error.to_string()),
    }
}

/// Returns the version that a write expects: zero for no object, `None` if invalid.
fn expected_version(request: &Request) -> Option<ObjectVersion> {
    match (request.header("if-match"), request.header("if-none-match")) {
        (Some(version), None) => version.parse().ok().filter(|v| *v > 0).map(ObjectVersion::new),
        (None, Some("*")) => Some(ObjectVersion::new(0)),
        _ => None,
    }
}

fn parse_value(body: &[u8]) -> Option<Arc<str>> {
    if body.len() > VALUE_BYTES_MAX {
        return None;
    }
    let text = std::str::from_utf8(body).ok()?;
    serde_json::from_str::<serde::de::IgnoredAny>(text).ok()?;
    Some(Arc::from(text))
}

fn object_json(object: &Object) -> Value {
    json!({"key": object.key, "version": object.version, "value": value_json(&object.value)})
}

fn change_json(change: &ObjectChange) -> Value {
    let value = change.value.as_deref().map_or(Value::Null, value_json);
    json!({"key": change.key, "version": change.version, "value": value})
}

fn value_json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or(Value::Null)
}

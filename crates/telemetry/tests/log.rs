//! Fields and levels of the log.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use celeryhaven_settings::LogLevel;
use celeryhaven_telemetry::{RequestRecord, open_log};
use celeryhaven_types::{OrganisationName, RequestId, Verdict};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn record() -> RequestRecord {
    RequestRecord {
        request_id: RequestId::new("r-1"),
        organisation: Some(OrganisationName::new("coop \"east\"\n")),
        replica: None,
        verdict: Verdict::NotRun,
        code: Some("overloaded".into()),
        took_ms: 12,
        delivered: 0,
    }
}

#[test]
fn log_request_fields() {
    let buffer = SharedBuffer::default();
    let (log, guard) = open_log(buffer.clone(), LogLevel::Info, "entry", "entry-1");
    record().write(&log);
    drop((log, guard));
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    let fields = [
        r#""request_id":"r-1""#,
        r#""organisation":"coop \"east\"\n""#,
        r#""replica":null"#,
        r#""verdict":"not_run""#,
        r#""code":"overloaded""#,
        r#""node":"entry-1""#,
    ];
    fields.into_iter().for_each(|field| assert!(text.contains(field), "{field}: {text}"));
}

#[test]
fn log_level_filters() {
    let buffer = SharedBuffer::default();
    let (log, guard) = open_log(buffer.clone(), LogLevel::Error, "entry", "entry-1");
    record().write(&log);
    drop((log, guard));
    assert!(buffer.0.lock().unwrap().is_empty());
}

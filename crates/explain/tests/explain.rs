//! Analysis of a log with one loss of a member.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use celeryhaven_explain::{Log, RecoveryReport, RequestTable, TargetTable, request_timeline};

/// A replica of two members is formed, loses a member and is formed again, during two requests.
const LINES: &[(&str, &str, &str)] = &[
    ("00.0", "a", r#""msg":"started""#),
    (
        "01.0",
        "a",
        r#""msg":"replica","change":"planned","domain":"d","replica":"d-1","target":"i-1""#,
    ),
    (
        "01.1",
        "a",
        r#""msg":"order","order":"join","outcome":"accepted","model":"m","replica":"d-1","target":"i-1""#,
    ),
    (
        "01.1",
        "a",
        r#""msg":"order","order":"join","outcome":"accepted","model":"m","replica":"d-1","target":"i-2""#,
    ),
    (
        "01.2",
        "a",
        r#""msg":"order","order":"stage","outcome":"accepted","model":"m","target":"i-3""#,
    ),
    ("02.0", "a", r#""msg":"replica","change":"open","domain":"d","replica":"d-1","target":"i-1""#),
    ("12.0", "b", r#""msg":"attempt broken","request_id":"r-1","target":"i-1","error":"silent""#),
    ("12.1", "b", r#""msg":"replica suspected","replica":"d-1","why":"streams stand still""#),
    (
        "12.2",
        "b",
        r#""msg":"request ended","request_id":"r-1","route":"x","outcome":"broken off","took_ms":900"#,
    ),
    ("12.3", "a", r#""msg":"probe","target":"i-2","reachability":"Silent""#),
    ("12.4", "a", r#""msg":"replica","change":"member lost","domain":"d","replica":"d-1""#),
    ("12.4", "a", r#""msg":"replica","change":"member lost","domain":"d","replica":"d-1""#),
    (
        "12.5",
        "a",
        r#""msg":"order","order":"leave","outcome":"accepted","replica":"d-1","target":"i-1""#,
    ),
    (
        "12.6",
        "a",
        r#""msg":"replica","change":"planned","domain":"d","replica":"d-2","target":"i-1""#,
    ),
    (
        "12.7",
        "a",
        r#""msg":"order","order":"join","outcome":"accepted","model":"m","replica":"d-2","target":"i-1""#,
    ),
    (
        "12.7",
        "a",
        r#""msg":"order","order":"join","outcome":"accepted","model":"m","replica":"d-2","target":"i-3""#,
    ),
    ("14.4", "a", r#""msg":"replica","change":"open","domain":"d","replica":"d-2","target":"i-1""#),
    (
        "25.0",
        "b",
        r#""msg":"request ended","request_id":"r-2","route":"x","outcome":"answered","took_ms":400"#,
    ),
];

fn log() -> Log {
    let text = LINES.iter().map(|(second, node, fields)| {
        let ts = format!("2026-01-01T00:00:{second}Z");
        format!("12.5 host {{\"ts\":\"{ts}\",\"node\":\"{node}\",{fields}}}\n")
    });
    let text: String = text.chain(["no line of a gateway\n".to_owned()]).collect();
    Log::read(text.as_bytes()).unwrap()
}

#[test]
fn log_skips_foreign_lines() {
    let log = log();
    assert_eq!((log.lines.len(), log.skipped), (LINES.len(), 1));
}

#[test]
fn requests_by_span_and_route() {
    let table = RequestTable::new(&log(), 10);
    assert_eq!(table.by_span[&10].outcomes["broken off"], 1);
    assert_eq!(table.by_span[&20].quantile_ms(0.5), 400);
    assert_eq!(table.by_route["x"].outcomes.values().sum::<u64>(), 2);
}

#[test]
fn recovery_loss_logged_twice() {
    let report = RecoveryReport::new(&log());
    assert_eq!(report.recoveries.len(), 1);
    assert_eq!(report.recoveries[0].planned_ms, Some(200));
    assert_eq!(report.quantile_ms(0.95), Some(2_000));
}

#[test]
fn targets_follow_orders() {
    let table = TargetTable::new(&log(), 10, 5_000);
    let row = &table.rows[&10];
    assert_eq!((row.serving["m"], row.staged, row.loading), (2, 1, 0));
    let row = &table.rows[&20];
    assert_eq!((row.serving["m"], row.silent, row.in_transition), (2, 1, 0));
    assert_eq!(table.concurrent_loads_max, 1);
}

#[test]
fn timeline_includes_loss_of_target() {
    let log = log();
    let lines = request_timeline(&log, "r-1");
    let messages: Vec<&str> = lines.iter().map(|line| line.fields.msg.as_str()).collect();
    assert!(messages.contains(&"attempt broken") && messages.contains(&"request ended"));
    let changes: Vec<&str> =
        lines.iter().filter_map(|line| line.fields.change.as_deref()).collect();
    assert!(changes.contains(&"member lost"), "{changes:?}");
    assert!(lines.iter().all(|line| line.fields.request_id.as_deref() != Some("r-2")));
}

#[test]
fn timeline_unknown_request() {
    assert!(request_timeline(&log(), "r-9").is_empty());
}

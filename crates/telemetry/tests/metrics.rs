//! Metrics and labels in the text format.

use celeryhaven_telemetry::metrics::DeploymentLabel;
use celeryhaven_telemetry::{ControllerMetrics, EntryMetrics, RequestLabels};

#[test]
fn entry_requests_by_verdict() {
    let metrics = EntryMetrics::new();
    let labels = RequestLabels {
        organisation: "coop".into(),
        verdict: "not_run",
        code: "overloaded".into(),
    };
    metrics.requests.get_or_create(&labels).inc();
    metrics.first_token.observe(0.05);
    let text = metrics.process.encode();
    let line =
        r#"celeryhaven_requests_total{organisation="coop",verdict="not_run",code="overloaded"} 1"#;
    assert!(text.contains(line), "{text}");
    assert!(text.contains(r#"celeryhaven_first_token_seconds_bucket{le="0.059"} 1"#), "{text}");
    assert!(text.contains("celeryhaven_config_number 0"), "{text}");
}

#[test]
fn controller_downtime_by_deployment() {
    let metrics = ControllerMetrics::new();
    let label = DeploymentLabel { deployment: "draft".into() };
    metrics.group_downtime.get_or_create(&label).inc_by(1.5);
    metrics.stranded_accelerators.get_or_create(&label).set(8);
    let text = metrics.process.encode();
    let downtime = r#"celeryhaven_group_downtime_seconds_total{deployment="draft"} 1.5"#;
    assert!(text.contains(downtime), "{text}");
    let stranded = r#"celeryhaven_stranded_accelerators{deployment="draft"} 8"#;
    assert!(text.contains(stranded), "{text}");
}

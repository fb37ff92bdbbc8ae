//! Settings of the processes: accepted values and error messages.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use celeryhaven_settings::{ControllerSettings, EntrySettings, GatewaySettings, LogLevel};

const ENTRY: &str = "node: entry-1
data_centre: riga-a
http_listen: 127.0.0.1:7000
http_advertised: 10.0.0.1:7000
peer_listen: 127.0.0.1:7100
peer_advertised: 10.0.0.1:7100
object_api: 127.0.0.1:7900
vm_list: 127.0.0.1:7901
certificate_file: node.pem
key_file: node.key
authority_file: authority.pem
";

const GATEWAY: &str = "node: front-1
data_centre: riga-a
caller_listen: 127.0.0.1:7000
ready_listen: 127.0.0.1:7001
lookup_listen: 127.0.0.1:7002
peer_listen: 127.0.0.1:7100
metrics_listen: 127.0.0.1:9464
store: 127.0.0.1:7900
";

fn entry_error(text: &str) -> String {
    EntrySettings::from_yaml("entry.yaml", text).unwrap_err().to_string()
}

#[test]
fn entry_defaults() {
    let settings = EntrySettings::from_yaml("entry.yaml", ENTRY).unwrap();
    assert_eq!(settings.node.as_str(), "entry-1");
    assert_eq!(settings.seeds, []);
    assert_eq!(settings.address_ttl_ms, 15_000);
    assert_eq!(settings.log_level, LogLevel::Info);
}

#[test]
fn entry_lists() {
    let text = format!("{ENTRY}seeds:\n  - 10.0.0.2:7100\n  - \"[::1]:7100\"\nlog_level: debug\n");
    let settings = EntrySettings::from_yaml("entry.yaml", &text).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.log_level, LogLevel::Debug);
}

#[test]
fn entry_unknown_field() {
    let error = entry_error(&format!("{ENTRY}body_limit: 5\n"));
    assert!(error.starts_with("entry.yaml:12: `body_limit` is not a known field; known are node,"));
}

#[test]
fn entry_missing_field() {
    let error = entry_error(&ENTRY.replace("node: entry-1\n", ""));
    let expected =
        "entry.yaml: `node` is missing; add it with 1 to 63 lowercase letters, digits and hyphens";
    assert_eq!(error, expected);
}

#[test]
fn entry_invalid_values() {
    let cases = [
        ("node: entry-1", "node: Entry_1", "entry.yaml:1: `node` is `Entry_1`; write 1 to 63"),
        ("127.0.0.1:7000", "localhost", "entry.yaml:3: `http_listen` is `localhost`; write an IP"),
        ("node.pem", "[]", "entry.yaml:9: `certificate_file` is `a list of 0`; write the path"),
        ("vm_list: ", "read_timeout_ms: 0\nvm_list: ", "entry.yaml:8: `read_timeout_ms` is `0`"),
        ("vm_list: ", "seeds: [here]\nvm_list: ", "entry.yaml:8: `seeds` is `a list of 1`"),
        (
            "vm_list: ",
            "log_level: loud\nvm_list: ",
            "entry.yaml:8: `log_level` is `loud`; write one",
        ),
    ];
    cases.into_iter().for_each(|(from, to, expected)| {
        let error = entry_error(&ENTRY.replace(from, to));
        assert!(error.starts_with(expected), "{error}");
    });
}

/// If reports expire between two polls, healthy replicas receive no requests.
#[test]
fn entry_report_life_too_short() {
    let error = entry_error(&format!("{ENTRY}report_life_ms: 800\n"));
    assert!(
        error.starts_with("entry.yaml:12: `report_life_ms` is `800`; write more than"),
        "{error}"
    );
}

#[test]
fn entry_not_yaml() {
    let error = entry_error("node: [a\nb: }\n");
    assert!(error.starts_with("entry.yaml:2:"), "{error}");
    assert!(entry_error("- a\n- b\n").contains("fields of the form `name: value` go here"));
    let twice = entry_error(&format!("{ENTRY}node: entry-2\n"));
    assert!(twice.starts_with("entry.yaml:12:") && twice.contains("node"), "{twice}");
}

#[test]
fn entry_file_missing() {
    let error = EntrySettings::load("no-such-file.yaml").unwrap_err().to_string();
    assert!(error.starts_with("no-such-file.yaml: cannot be read"), "{error}");
}

/// If the lease TTL does not cover two renewals, a healthy holder loses its lease.
#[test]
fn controller_lease_too_short() {
    let text = "node: entry-1
data_centre: riga-a
operator_listen: 127.0.0.1:7400
http_listen: 127.0.0.1:7401
object_api: 127.0.0.1:7900
vm_list: 127.0.0.1:7901
certificate_file: node.pem
key_file: node.key
authority_file: authority.pem
";
    assert!(ControllerSettings::from_yaml("controller.yaml", text).is_ok());
    let short = format!("{text}lease_ttl_ms: 5000\n");
    let error = ControllerSettings::from_yaml("controller.yaml", &short).unwrap_err().to_string();
    assert!(
        error.starts_with("controller.yaml:10: `lease_ttl_ms` is `5000`; write at least twice")
    );
}

/// If fractional limits are rejected, a gateway configured with them does not start.
#[test]
fn gateway_fractional_limits() {
    let text =
        format!("{GATEWAY}stop_s: 7.5\nretry_ratio: 0.125\nretry_extra: 53.80952380952381\n");
    let settings = GatewaySettings::from_yaml("gateway.yaml", &text).unwrap();
    assert_eq!(settings.stop_timeout().as_millis(), 7_500);
    assert_eq!((settings.retry_ratio, settings.retry_extra), (0.125, 53.80952380952381));
}

#[test]
fn gateway_integer_limits() {
    let text = format!("{GATEWAY}stop_s: 8\nretry_ratio: 1\nretry_extra: 107\n");
    let settings = GatewaySettings::from_yaml("gateway.yaml", &text).unwrap();
    assert_eq!((settings.stop_s, settings.retry_ratio, settings.retry_extra), (8.0, 1.0, 107.0));
}

#[test]
fn gateway_invalid_decimals() {
    let cases = [
        ("retry_ratio: 1.5", "write a number from 0 to 1"),
        ("retry_extra: NaN", "write a number from 0 to 1000000"),
        ("stop_s: 4", "write more than twice address_ttl_ms"),
    ];
    for (line, advice) in cases {
        let error = GatewaySettings::from_yaml("gateway.yaml", &format!("{GATEWAY}{line}\n"));
        let text = error.unwrap_err().to_string();
        assert!(text.contains(advice), "{text}");
    }
}

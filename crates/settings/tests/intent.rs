//! Intent files: parsing, validation and the positions of errors.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use celeryhaven_settings::parse_intent;

const INTENT: &str = "organisations:
  - name: coop
    worth: 5
    priority: 3
    api_key_sha256: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
  - name: blenders
    worth: 2
    priority: 2
    api_key_sha256: [bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb]
deployments:
  - name: draft
    model: draft-70b
    version: '3'
    weights_bytes: 1000
    replicas: 2
    vms_per_replica: 2
    slots_per_replica: 8
    priority: 3
    organisations: [coop]
    fencing: checked
services:
  - name: portal
    targets:
      - vm: portal-1
        address: 10.0.0.9:80
        data_centre: riga-a
    slots_per_target: 4
    idempotent_methods: [GET]
objective:
  group_downtime_weight: 2
  stranded_accelerator_weight: 1
";

fn error_after_replace(from: &str, to: &str) -> String {
    assert!(INTENT.contains(from));
    parse_intent("intent.yaml", &INTENT.replacen(from, to, 1)).unwrap_err().to_string()
}

#[test]
fn parse_valid() {
    let intent = parse_intent("intent.yaml", INTENT).unwrap();
    assert_eq!(intent.organisations.len(), 2);
    assert_eq!(intent.deployments[0].organisations.len(), 1);
}

#[test]
fn parse_invalid_value() {
    let cases = [
        ("worth: 5", "worth: 0", "intent.yaml:3: `organisations[0].worth` is `0`; write a whole"),
        ("blenders", "coop", "intent.yaml:6: `organisations[1].name` is `coop`; write a name that"),
        ("[aaaa", "[AAAA", "intent.yaml:5: `organisations[0].api_key_sha256[0]` is `AAAA"),
        ("[coop]", "[rivals]", "intent.yaml:19: `deployments[0].organisations[0]` is `rivals`"),
        ("replica: 2", "replica: 0", "intent.yaml:16: `deployments[0].vms_per_replica` is `0`"),
        ("[GET]", "[get]", "intent.yaml:28: `services[0].idempotent_methods[0]` is `get`"),
        ("weight: 2", "weight: -2", "intent.yaml:30: `objective.group_downtime_weight` is `-2`"),
    ];
    cases.into_iter().for_each(|(from, to, expected)| {
        let error = error_after_replace(from, to);
        assert!(error.starts_with(expected), "{error}");
    });
}

/// Two organisations with the same API key could act as each other.
#[test]
fn parse_shared_key() {
    let error = error_after_replace(&"b".repeat(64), &"a".repeat(64));
    assert!(error.starts_with("intent.yaml:9: `organisations[1].api_key_sha256[0]`"), "{error}");
}

#[test]
fn parse_invalid_structure() {
    let unknown = error_after_replace("replicas: 2", "replica_count: 2");
    assert!(unknown.starts_with("intent.yaml:15: `deployments[0].replica_count`"), "{unknown}");
    let wrong_type = error_after_replace("replicas: 2", "replicas: many");
    assert!(
        wrong_type.starts_with("intent.yaml:15: `deployments[0].replicas` is `many`"),
        "{wrong_type}"
    );
    let fencing = error_after_replace("fencing: checked", "fencing: sometimes");
    assert!(fencing.starts_with("intent.yaml:20: `deployments[0].fencing`"), "{fencing}");
}

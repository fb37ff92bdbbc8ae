//! The settings page matches the settings in the code.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use celeryhaven_settings::field::markdown_table;
use celeryhaven_settings::{ControllerSettings, EntrySettings, GatewaySettings, OperatorSettings};

fn page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
    std::fs::read_to_string(path).unwrap()
}

#[test]
fn page_tables() {
    let page = page();
    let tables = [
        EntrySettings::FIELDS,
        ControllerSettings::FIELDS,
        GatewaySettings::FIELDS,
        OperatorSettings::FIELDS,
    ]
    .map(markdown_table);
    for expected in &tables {
        assert!(
            page.contains(expected),
            "page is out of date; run `cargo run --example settings_tables`"
        );
    }
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    let expected: usize = tables.iter().map(|table| table.lines().count() - 2).sum();
    assert_eq!(rows, expected, "the page has settings that the code lacks");
}

/// An example on the page that its program rejects would not start when copied.
#[test]
fn page_examples() {
    let page = page();
    let example = |name: &str| {
        let (_, rest) = page.split_once(&format!("```yaml\n# {name}\n")).unwrap();
        rest.split_once("```").unwrap().0.to_owned()
    };
    EntrySettings::from_yaml("entry.yaml", &example("entry.yaml")).unwrap();
    GatewaySettings::from_yaml("gateway.yaml", &example("gateway.yaml")).unwrap();
    ControllerSettings::from_yaml("controller.yaml", &example("controller.yaml")).unwrap();
    OperatorSettings::from_yaml("ctl.yaml", &example("ctl.yaml")).unwrap();
}

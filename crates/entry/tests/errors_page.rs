//! The error page matches the refusal codes.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;

use celeryhaven_types::RefusalCode;

/// Returns all codes, taken from the deserialization error of an unknown one.
fn all_codes() -> Vec<String> {
    let error = serde_json::from_str::<RefusalCode>("\"?\"").unwrap_err().to_string();
    let (_, expected) = error.split_once("expected one of ").unwrap();
    expected.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn errors_page_rows() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let rows: BTreeMap<String, Vec<&str>> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>())
        .map(|cells| (cells[0].trim_matches('`').to_owned(), cells))
        .collect();
    let codes = all_codes();
    assert!(codes.len() > 10, "{codes:?}");
    let mut documented: Vec<String> = rows.keys().cloned().collect();
    let mut expected = codes.clone();
    documented.sort();
    expected.sort();
    assert_eq!(documented, expected);
    for code in codes {
        let parsed: RefusalCode = serde_json::from_str(&format!("\"{code}\"")).unwrap();
        let cells = &rows[&code];
        assert_eq!(cells.len(), 5, "{code}");
        assert_eq!(cells[1], parsed.http_status().to_string(), "{code}");
        let verdicts: Vec<&str> = cells[2].split(", ").collect();
        assert!(verdicts.iter().all(|word| ["not_run", "may_have_run"].contains(word)), "{code}");
        assert!(cells[3..].iter().all(|cell| !cell.is_empty()), "{code}");
    }
}

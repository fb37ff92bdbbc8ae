//! The guarantees page names only existing tests.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the names of the form `file::function` in backticks.
fn named_tests(page: &str) -> BTreeSet<(String, String)> {
    let quoted = page.split('`').skip(1).step_by(2);
    let named = quoted.filter_map(|text| text.split_once("::"));
    let is_name = |text: &str| text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    named
        .filter(|(file, function)| is_name(file) && is_name(function))
        .map(|(file, function)| (file.to_owned(), function.to_owned()))
        .collect()
}

/// Returns all test functions of the crates and of `platform`, with the name of their file.
fn existing_tests() -> BTreeSet<(String, String)> {
    let crates = fs::read_dir(root().join("crates")).expect("the `crates` folder is readable");
    let folders = crates.filter_map(Result::ok).map(|entry| entry.path().join("tests"));
    let folders = folders.chain([root().join("platform/tests")]);
    let files = folders.filter_map(|folder| fs::read_dir(folder).ok()).flatten();
    let files = files.filter_map(Result::ok).map(|entry| entry.path());
    files
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .flat_map(|path| {
            let text = fs::read_to_string(&path).unwrap_or_default();
            let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
            tests_of(&text).into_iter().map(|test| (stem.to_owned(), test)).collect::<Vec<_>>()
        })
        .collect()
}

fn tests_of(text: &str) -> Vec<String> {
    let after = text.split("#[test]").skip(1);
    let functions = after.filter_map(|rest| rest.split_once("fn ")?.1.split_once('('));
    functions.map(|(name, _)| name.to_owned()).collect()
}

#[test]
fn page_names_tests_that_exist() {
    let page = fs::read_to_string(root().join("docs/GUARANTEES.md"))
        .expect("docs/GUARANTEES.md is readable");
    let named = named_tests(&page);
    let existing = existing_tests();
    let missing: Vec<_> = named.difference(&existing).collect();
    assert!(missing.is_empty(), "tests not found: {missing:?}");
    assert!(named.len() > 40, "the page names {} tests", named.len());
}

#[test]
fn page_has_all_eight_promises() {
    let page = fs::read_to_string(root().join("docs/GUARANTEES.md"))
        .expect("docs/GUARANTEES.md is readable");
    for number in 1..=8 {
        assert!(page.contains(&format!("\n## {number}. ")), "promise {number} is missing");
    }
}

#[test]
fn named_tests_found_and_missed() {
    let page = "Tests: `once::claim_written_runs`, `once::no_such_test`, `celeryhaven-once`.";
    let named = named_tests(page);
    assert_eq!(named.len(), 2);
    let missing: Vec<_> = named.difference(&existing_tests()).cloned().collect();
    assert_eq!(missing, vec![("once".to_owned(), "no_such_test".to_owned())]);
}

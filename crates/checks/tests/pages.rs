//! Links and names in the documentation match the source tree.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Returns the paths of README.md, CONTRIBUTING.md, CHANGELOG.md and all pages in docs/.
fn pages() -> Vec<String> {
    let docs = fs::read_dir(root().join("docs")).expect("the `docs` folder is readable");
    let names =
        docs.filter_map(Result::ok).filter_map(|entry| entry.file_name().into_string().ok());
    let in_docs = names.filter(|name| name.ends_with(".md")).map(|name| format!("docs/{name}"));
    let at_root = ["README.md", "CONTRIBUTING.md", "CHANGELOG.md"].map(str::to_owned);
    in_docs.chain(at_root).collect()
}

/// Returns the targets of links to files, without fragments.
fn links(text: &str) -> Vec<&str> {
    let after = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let files = after.filter(|link| !link.contains("://") && !link.starts_with('#'));
    files.filter_map(|link| link.split('#').next()).collect()
}

/// Returns the texts in backticks.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Returns the paths in the last column of the glossary.
fn places(glossary: &str) -> Vec<&str> {
    let rows = glossary.lines().filter(|line| line.starts_with("| ") && line.contains('`'));
    let columns = rows.filter_map(|row| row.trim_end_matches(" |").rsplit(" | ").next());
    columns.flat_map(quoted).collect()
}

/// Returns the first column of the README's table of crates.
fn crates_of(readme: &str) -> BTreeSet<String> {
    let after = readme.split("\n## Crates\n").nth(1).unwrap_or_default();
    let rows = after.lines().filter(|line| line.starts_with("| `"));
    rows.filter_map(|row| quoted(row).next()).map(str::to_owned).collect()
}

/// Returns the examples in the README's table of crates, as crate and name.
fn examples_of(readme: &str) -> BTreeSet<(String, String)> {
    let after = readme.split("\n## Crates\n").nth(1).unwrap_or_default();
    let rows = after.lines().filter(|line| line.starts_with("| `"));
    rows.filter_map(|row| {
        let mut words = quoted(row);
        Some((words.next()?.to_owned(), words.last()?.to_owned()))
    })
    .collect()
}

#[test]
fn links_lead_to_files() {
    let missing: Vec<_> = pages()
        .iter()
        .flat_map(|name| {
            let folder = root().join(name).parent().map(Path::to_owned).unwrap_or_default();
            let text = page(name);
            let dead = links(&text).into_iter().filter(|link| !folder.join(link).exists());
            dead.map(|link| format!("{name}: {link}")).collect::<Vec<_>>()
        })
        .collect();
    assert!(missing.is_empty(), "not there: {missing:?}");
    assert!(links(&page("README.md")).len() >= 10);
}

#[test]
fn glossary_places_exist() {
    let glossary = page("docs/GLOSSARY.md");
    let places = places(&glossary);
    let missing: Vec<_> =
        places.iter().filter(|place| !root().join("crates").join(place).exists()).collect();
    assert!(missing.is_empty(), "not there: {missing:?}");
    assert!(places.len() >= 60, "the glossary names {} places", places.len());
}

#[test]
fn readme_lists_every_crate() {
    let folders = fs::read_dir(root().join("crates")).expect("the `crates` folder is readable");
    let there: BTreeSet<String> = folders
        .filter_map(Result::ok)
        .filter(|entry| entry.path().join("Cargo.toml").exists())
        .filter_map(|entry| entry.file_name().into_string().ok())
        .collect();
    assert_eq!(crates_of(&page("README.md")), there);
}

#[test]
fn readme_examples_exist() {
    let named = examples_of(&page("README.md"));
    let file = |(name, example): &(String, String)| {
        root().join(format!("crates/{name}/examples/{example}.rs"))
    };
    let missing: Vec<_> = named.iter().filter(|named| !file(named).exists()).collect();
    assert!(missing.is_empty(), "not there: {missing:?}");
    assert!(named.len() >= 8, "{named:?}");
}

#[test]
fn links_and_places_missed() {
    assert_eq!(links("[a](x.md#part) [b](https://c) [d](#e)"), ["x.md"]);
    assert_eq!(places("| a | b | `x`, `y` |\n|---|\n| `a` | b |"), ["x", "y"]);
}

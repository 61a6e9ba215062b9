//! The catalogue of log events, compared with the event numbers in the code.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use report::prelude::BurnRule;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn files(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(files(&path, extension));
        } else if path.extension().is_some_and(|found| found == extension) {
            found.push(path);
        }
    }
    found
}

/// Returns the number at the start of a text.
fn leading_number(text: &str) -> Option<u32> {
    let end = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
    text[..end].parse().ok()
}

/// Returns the numbers that follow `marker`.
fn numbers_after(text: &str, marker: &str) -> BTreeSet<u32> {
    text.split(marker).skip(1).filter_map(leading_number).collect()
}

fn numbers_in_code() -> BTreeSet<u32> {
    let mut numbers = BTreeSet::new();
    for folder in fs::read_dir(root().join("crates")).expect("the crates") {
        for path in files(&folder.expect("a crate").path().join("src"), "rs") {
            let text = fs::read_to_string(&path).expect("a source file");
            numbers.extend(numbers_after(&text, "event = "));
            if path.ends_with("event.rs") || text.contains("_EVENT: u32 = ") {
                numbers.extend(numbers_after(&text, ": u32 = "));
            }
            // Typed events return their numbers from a method of this name.
            if let Some((_, arms)) = text.split_once("fn event_number(") {
                let arms = arms.split_once("\n    }\n").map_or(arms, |(arms, _)| arms);
                numbers.extend(numbers_after(arms, "=> "));
            }
        }
    }
    numbers
}

/// Returns the event numbers in the tables of `docs/decisions`.
fn numbers_in_decisions() -> BTreeSet<u32> {
    let mut numbers = BTreeSet::new();
    for path in files(&root().join("docs/decisions"), "md") {
        let text = fs::read_to_string(&path).expect("a decision");
        let rows = text.lines().filter_map(|line| leading_number(line.strip_prefix("| ")?));
        numbers.extend(rows.filter(|number| (1000..3000).contains(number)));
    }
    numbers
}

/// Returns the rows of the catalogue by event number, each without its number.
fn catalogue() -> BTreeMap<u32, Vec<String>> {
    let text = fs::read_to_string(root().join("docs/events.md")).expect("the catalogue");
    let mut rows = BTreeMap::new();
    for line in text.lines() {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        if let Some(number) = cells.first().and_then(|cell| cell.parse().ok()) {
            let rest = cells[1..].iter().map(|cell| (*cell).to_owned()).collect();
            assert!(rows.insert(number, rest).is_none(), "event {number} is listed twice");
        }
    }
    rows
}

/// Guards against events that operators cannot look up, and against entries for events that no
/// longer exist.
#[test]
fn the_catalogue_lists_the_events_of_the_code() {
    let listed: BTreeSet<u32> = catalogue().into_keys().collect();
    let code = numbers_in_code();
    assert!(code.len() > 10, "events were not found in the code");
    assert_eq!(listed, code);
    let documented = numbers_in_decisions();
    assert!(documented.is_subset(&listed), "not listed: {:?}", documented.difference(&listed));
}

/// Guards against an alert that is logged with another level than operators expect.
#[test]
fn alerts_have_the_level_of_the_catalogue() {
    let catalogue = catalogue();
    for rule in BurnRule::ALL {
        let level = if rule.is_urgent() { "error" } else { "warn" };
        assert_eq!(catalogue[&rule.event_number()][0], level, "{rule:?}");
    }
}

/// Guards against catalogue entries without a level, a cause or a remedy.
#[test]
fn every_entry_is_complete() {
    for (number, cells) in catalogue() {
        assert_eq!(cells.len(), 4, "event {number}");
        assert!(cells.iter().all(|cell| !cell.is_empty()), "event {number}");
        let level = cells[0].as_str();
        assert!(["debug", "info", "warn", "error"].contains(&level), "event {number}");
    }
}

//! Generators of malformed input for the property tests of several crates, and a runner with a
//! fixed seed, so that a test has the same result in every run.

use std::str::FromStr;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{RngSeed, TestRunner};
use serde_json::{Map, Value, json};

/// The seed with which every runner generates its cases.
pub const SEED: u64 = 20_261_204;

/// The environment variable with another number of cases, for long runs by hand.
const CASES_VARIABLE: &str = "AGATEROAD_PROPERTY_CASES";
/// The environment variable with another seed.
const SEED_VARIABLE: &str = "AGATEROAD_PROPERTY_SEED";

/// Returns a runner that generates `cases` cases, the same ones in every run. The environment can
/// set other numbers of cases and seeds.
pub fn seeded_runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: number_from_environment(CASES_VARIABLE).unwrap_or(cases),
        rng_seed: RngSeed::Fixed(number_from_environment(SEED_VARIABLE).unwrap_or(SEED)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn number_from_environment<T: FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Names and values of header fields, in the order in which they are sent.
pub type HeaderFields = Vec<(&'static str, String)>;

/// Generates up to seven fields with names from `names`. Four of five have a value from `values`,
/// the others up to 20 printable characters.
pub fn header_fields(
    names: &'static [&'static str],
    values: &'static [&'static str],
) -> impl Strategy<Value = HeaderFields> {
    let value = prop_oneof![
        4 => select(values).prop_map(str::to_owned),
        1 => "[ -~]{0,20}",
    ];
    vec((select(names), value), 0..8)
}

/// Returns the values of all fields called `name`, in their order.
pub fn field_values<'a>(fields: &'a [(&'static str, String)], name: &str) -> Vec<&'a str> {
    fields.iter().filter(|(field, _)| *field == name).map(|(_, value)| value.as_str()).collect()
}

/// Generates up to 256 bytes: arbitrary ones, or characters that occur in JSON.
pub fn hostile_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..256),
        "[\\[\\]{}\",:0-9a-z_ ]{0,256}".prop_map(String::into_bytes)
    ]
}

/// Positions of bytes and the values that replace them.
pub type ByteDamage = Vec<(Index, u8)>;

/// Generates replacements of one to three bytes.
pub fn byte_damage() -> impl Strategy<Value = ByteDamage> {
    vec((any::<Index>(), any::<u8>()), 1..4)
}

/// Returns a copy of `bytes`, which must not be empty, with the replacements made.
pub fn damaged(bytes: &[u8], damage: &ByteDamage) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (index, byte) in damage {
        let position = index.index(bytes.len());
        bytes[position] = *byte;
    }
    bytes
}

/// The value to change, the kind of change, and the value that replaces it, as random indexes.
pub type JsonMutation = (Index, Index, Index);

/// Generates one to three changes of a JSON value.
pub fn json_mutations() -> impl Strategy<Value = Vec<JsonMutation>> {
    vec(any::<JsonMutation>(), 1..4)
}

/// Changes one value of a JSON document. Most changes keep the type of the value, because parsers
/// reject the others at once. `texts` are strings that may replace a value.
pub fn mutate(root: &mut Value, (target, change, source): JsonMutation, texts: &[&str]) {
    let mut pointers = Vec::new();
    collect_pointers(root, String::new(), &mut pointers);
    let pointer = target.get(&pointers);
    let mut values = simple_values(texts);
    values.extend(pointers.iter().filter_map(|pointer| root.pointer(pointer)).cloned());
    let Some(value) = root.pointer_mut(pointer) else { return };
    let change = change.index(8);
    if change > 0 {
        values.retain(|other| std::mem::discriminant(other) == std::mem::discriminant(value));
    }
    match (change, value) {
        (1 | 2, Value::Array(items)) if items.len() > 1 => items.swap(0, 1),
        (3 | 4, Value::Array(items)) => drop(items.pop()),
        (5, Value::Array(items)) => items.extend(items.first().cloned()),
        (1..=3, Value::Object(fields)) => drop(remove_first(fields)),
        (_, value) => *value = source.get(&values).clone(),
    }
}

fn simple_values(texts: &[&str]) -> Vec<Value> {
    let numbers = [0.0, 1.0, 0.5, -1.0, 1e308].map(Value::from);
    let counts = [0, 1, 16, 250, u32::MAX].map(Value::from);
    let texts = texts.iter().map(|text| Value::from(*text));
    let others = [Value::Null, json!([]), json!({}), json!(true), json!(false)];
    numbers.into_iter().chain(counts).chain(texts).chain(others).collect()
}

fn remove_first(fields: &mut Map<String, Value>) -> Option<Value> {
    let name = fields.keys().next()?.clone();
    fields.remove(&name)
}

fn collect_pointers(value: &Value, pointer: String, pointers: &mut Vec<String>) {
    match value {
        Value::Array(items) => items.iter().enumerate().for_each(|(index, item)| {
            collect_pointers(item, format!("{pointer}/{index}"), pointers);
        }),
        Value::Object(fields) => fields.iter().for_each(|(name, field)| {
            collect_pointers(field, format!("{pointer}/{name}"), pointers);
        }),
        _ => {}
    }
    pointers.push(pointer);
}

//! Generators of hostile input that the property tests of several crates share, and a runner whose
//! verdict is the same every time.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{RngSeed, TestRunner};
use serde_json::{Map, Value, json};

/// The seed of all runners.
pub const SEED: u64 = 20_261_204;

/// Returns a runner for this many cases.
pub fn seeded_runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Header fields in the order in which they are sent.
pub type HeaderFields = Vec<(&'static str, String)>;

/// Returns up to seven fields with these names. Most have one of these values, the others visible
/// characters.
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

/// Returns the values of a field.
pub fn field_values<'a>(fields: &'a [(&'static str, String)], name: &str) -> Vec<&'a str> {
    fields.iter().filter(|(own, _)| *own == name).map(|(_, value)| value.as_str()).collect()
}

/// Returns bytes of any kind, or characters that JSON consists of.
pub fn hostile_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..256),
        "[\\[\\]{}\",:0-9a-z_ ]{0,256}".prop_map(String::into_bytes)
    ]
}

/// Selects bytes and what to put in their place.
pub type ByteDamage = Vec<(Index, u8)>;

/// Returns changes of one to three bytes.
pub fn byte_damage() -> impl Strategy<Value = ByteDamage> {
    vec((any::<Index>(), any::<u8>()), 1..4)
}

/// Returns `bytes` with the changes.
pub fn damaged(bytes: &[u8], damage: &ByteDamage) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (index, byte) in damage {
        let position = index.index(bytes.len());
        bytes[position] = *byte;
    }
    bytes
}

/// Selects the value to change, the kind of the change, and what to put in its place.
pub type JsonMutation = (Index, Index, Index);

/// Returns one to three changes of a JSON value.
pub fn json_mutations() -> impl Strategy<Value = Vec<JsonMutation>> {
    vec(any::<JsonMutation>(), 1..4)
}

/// Changes one value of a document. Most changes keep the type, since parsers reject others.
/// `texts` are strings that the document may hold.
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

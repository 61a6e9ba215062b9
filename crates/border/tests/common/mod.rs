//! Example documents and edits of them. Each test file uses a part of this module.

#![allow(dead_code)]

use serde_json::Value;

pub const ALMATY: &[u8] = include_bytes!("../../../../examples/almaty.json");
pub const VITI: &[u8] = include_bytes!("../../../../examples/viti.json");
pub const SETTINGS: &[u8] = include_bytes!("../../../../examples/settings.json");

/// A JSON pointer and the JSON to put there. Empty JSON removes the value; `-` as the last part of
/// the pointer appends to a list.
pub type Edit = (&'static str, &'static str);

/// Returns `document` with the edits applied in order.
pub fn edited(document: &[u8], edits: &[Edit]) -> Vec<u8> {
    let mut root: Value = serde_json::from_slice(document).unwrap();
    for (pointer, json) in edits {
        let (parent, last) = pointer.rsplit_once('/').unwrap();
        let value = (!json.is_empty()).then(|| serde_json::from_str(json).unwrap());
        match (root.pointer_mut(parent).unwrap(), value) {
            (Value::Object(fields), Some(value)) => drop(fields.insert(last.to_owned(), value)),
            (Value::Object(fields), None) => drop(fields.remove(last).unwrap()),
            (Value::Array(items), Some(value)) if last == "-" => items.push(value),
            (Value::Array(items), Some(value)) => items[last.parse::<usize>().unwrap()] = value,
            (Value::Array(items), None) => drop(items.remove(last.parse().unwrap())),
            _ => panic!("{pointer} is not in an object or a list"),
        }
    }
    serde_json::to_vec(&root).unwrap()
}

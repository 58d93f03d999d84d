//! JSON documents with one value that another writer got wrong, and documents with spoiled bytes.

use serde_json::Value;
use snipehollow_core::rng::Rng;

/// Depth of a value that is nested deeply: more than a recursive reader accepts.
const NESTING: usize = 400;
/// Stands for a number that no type holds, which [`Value`] cannot represent.
const HUGE_NUMBER: &str = "number-too-large";
/// Maximum number of bytes that are spoiled.
const MAX_SPOILED_BYTES: usize = 4;

/// Replaces or removes one value of a JSON document, chosen at random.
///
/// Returns the document unchanged if it is not JSON.
///
/// ```
/// use snipehollow_core::rng::Rng;
/// use snipehollow_fuzzing::generators::spoil_value;
///
/// let text = spoil_value(&mut Rng::new(1), r#"{"port":80}"#);
/// assert_ne!(text, r#"{"port":80}"#);
/// ```
pub fn spoil_value(rng: &mut Rng, text: &str) -> String {
    let Ok(mut value) = serde_json::from_str::<Value>(text) else {
        return text.to_owned();
    };
    let mut index = rng.below(count(&value));
    if let Some(found) = find(&mut value, &mut index) {
        spoil(rng, found);
    }
    value.to_string().replace(&format!("\"{HUGE_NUMBER}\""), "1e999")
}

/// Changes, inserts, removes or cuts off a few bytes, chosen at random.
pub fn spoil_bytes(rng: &mut Rng, text: &str) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..=rng.below(MAX_SPOILED_BYTES) {
        if bytes.is_empty() {
            break;
        }
        let at = rng.below(bytes.len());
        let byte = rng.below(256) as u8;
        match rng.below(8) {
            0 => bytes.truncate(at),
            1 | 2 => bytes.insert(at, byte),
            3 | 4 => drop(bytes.remove(at)),
            _ => bytes[at] = byte,
        }
    }
    bytes
}

/// Returns the number of values in a document, itself included.
fn count(value: &Value) -> usize {
    1 + match value {
        Value::Array(items) => items.iter().map(count).sum(),
        Value::Object(fields) => fields.values().map(count).sum(),
        _ => 0,
    }
}

/// Returns the value with this index in depth-first order.
fn find<'a>(value: &'a mut Value, index: &mut usize) -> Option<&'a mut Value> {
    if *index == 0 {
        return Some(value);
    }
    *index -= 1;
    match value {
        Value::Array(items) => items.iter_mut().find_map(|item| find(item, index)),
        Value::Object(fields) => fields.values_mut().find_map(|field| find(field, index)),
        _ => None,
    }
}

fn spoil(rng: &mut Rng, value: &mut Value) {
    *value = match rng.below(12) {
        0 => Value::Null,
        1 => Value::Bool(rng.chance(0.5)),
        2 => Value::from(u64::MAX - rng.below(2) as u64),
        3 => Value::from(-1),
        4 => Value::from(70_000),
        5 => Value::from(1.5),
        6 => Value::from(HUGE_NUMBER),
        7 => Value::from("127.0.0.1:70000"),
        8 => Value::from("x".repeat(rng.below(5_000))),
        9 => Value::from("\u{0}\u{fffd}\n"),
        10 => (0..NESTING).fold(Value::Null, |inner, _| Value::Array(vec![inner])),
        _ => Value::Object(serde_json::Map::new()),
    };
}

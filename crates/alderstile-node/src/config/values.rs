//! Flattens JSON to the values by path that the settings parser reads.

use alderstile::settings::SettingValues;
use serde_json::Value;

/// Returns the values by path: objects by key, lists of objects by index and count, lists of plain values
/// joined by commas.
pub fn setting_values(prefix: &'static str, value: &Value) -> SettingValues {
    let mut pairs = Vec::new();
    flatten(String::new(), value, &mut pairs);
    SettingValues::new(prefix, pairs)
}

fn flatten(path: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(under(key), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((under("count"), items.len().to_string()));
            for (i, item) in items.iter().enumerate() {
                flatten(under(&i.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            pairs.push((path, items.join(",")));
        }
        Value::Null => {}
        _ => pairs.push((path, plain_text(value))),
    }
}

/// Returns a value as the text that the settings parser reads.
pub fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

//! Single changes of a JSON text.

use crate::key_changes::KeyChange;
use serde_json::{Value, json};

/// Each key, at every depth, misspelt and left out; each value that is no object made an empty one.
pub fn json_changes(text: &str) -> Vec<KeyChange> {
    let whole: Value = serde_json::from_str(text).expect("JSON");
    let mut changes = Vec::new();
    collect(&whole, &whole, "", &mut changes);
    changes
}

fn collect(whole: &Value, at: &Value, pointer: &str, changes: &mut Vec<KeyChange>) {
    if let Value::Array(entries) = at {
        for (number, entry) in entries.iter().enumerate() {
            collect(whole, entry, &format!("{pointer}/{number}"), changes);
        }
    }
    let Value::Object(entries) = at else { return };
    for (key, value) in entries {
        let mut add = |what: &str, new: Option<(String, Value)>| {
            let mut changed = whole.clone();
            let object = changed.pointer_mut(pointer).and_then(Value::as_object_mut).expect("the object");
            object.remove(key);
            object.extend(new);
            changes.push(KeyChange { label: format!("{pointer}/{key}: {what}"), text: changed.to_string() });
        };
        add("misspelt", Some((format!("{key}x"), value.clone())));
        add("left out", None);
        if !value.is_object() {
            add("an empty object", Some((key.clone(), json!({}))));
        }
        collect(whole, value, &format!("{pointer}/{key}"), changes);
    }
}

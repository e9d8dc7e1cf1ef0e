//! Tells what a value's own checks found, with the keys as they are written.

use serde_json::Value;
use validator::{ValidationError, ValidationErrors, ValidationErrorsKind};

/// All faults, each as `Key: what was found, what is wanted`.
pub(crate) fn describe(faults: &ValidationErrors) -> String {
    let mut lines = Vec::new();
    collect(faults, "", &mut lines);
    lines.sort();
    lines.join("; ")
}

fn collect(faults: &ValidationErrors, before: &str, lines: &mut Vec<String>) {
    for (key, kind) in faults.errors() {
        let key = format!("{before}{}", as_written(key));
        match kind {
            ValidationErrorsKind::Field(found) => {
                lines.extend(found.iter().map(|fault| format!("{key}: {}", what(fault))));
            }
            ValidationErrorsKind::Struct(inner) => collect(inner, &format!("{key}."), lines),
            ValidationErrorsKind::List(inner) => {
                for (index, inner) in inner {
                    collect(inner, &format!("{key}[{index}]."), lines);
                }
            }
        }
    }
}

/// `memory_mb` is written `MemoryMb`.
fn as_written(key: &str) -> String {
    let capitalised = |word: &str| {
        let mut letters = word.chars();
        letters.next().map_or(String::new(), |first| first.to_uppercase().chain(letters).collect())
    };
    key.split('_').map(capitalised).collect()
}

fn what(fault: &ValidationError) -> String {
    let found = fault.params.get("value").map_or(String::new(), Value::to_string);
    let least = fault.params.get("min").map(|least| format!("{least} or more"));
    let most = fault.params.get("max").map(|most| format!("{most} or less"));
    let wanted: Vec<String> = least.into_iter().chain(most).collect();
    let unit = if fault.code == "length" { " in length" } else { "" };
    format!("{found} is there, wanted is {}{unit}", wanted.join(" and "))
}

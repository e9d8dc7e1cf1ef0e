//! Describes the errors of a value's own checks, with the keys as operators write them.

use serde_json::Value;
use validator::{ValidationError, ValidationErrors, ValidationErrorsKind};

/// All errors in alphabetical order, each as `Key: what was found, what is wanted`.
pub(crate) fn describe(errors: &ValidationErrors) -> String {
    let mut descriptions = Vec::new();
    collect(errors, "", &mut descriptions);
    descriptions.sort();
    descriptions.join("; ")
}

fn collect(errors: &ValidationErrors, prefix: &str, descriptions: &mut Vec<String>) {
    for (field, kind) in errors.errors() {
        let key = format!("{prefix}{}", key_of_field(field));
        match kind {
            ValidationErrorsKind::Field(errors) => {
                descriptions.extend(errors.iter().map(|error| format!("{key}: {}", found_and_wanted(error))));
            }
            ValidationErrorsKind::Struct(inner) => collect(inner, &format!("{key}."), descriptions),
            ValidationErrorsKind::List(elements) => {
                for (index, inner) in elements {
                    collect(inner, &format!("{key}[{index}]."), descriptions);
                }
            }
        }
    }
}

/// The key of a field in files: `MemoryMb` for `memory_mb`.
fn key_of_field(field: &str) -> String {
    let capitalised = |word: &str| {
        let mut letters = word.chars();
        letters.next().map_or(String::new(), |first| first.to_uppercase().chain(letters).collect())
    };
    field.split('_').map(capitalised).collect()
}

fn found_and_wanted(error: &ValidationError) -> String {
    let found = error.params.get("value").map_or(String::new(), Value::to_string);
    let min = error.params.get("min").map(|min| format!("{min} or more"));
    let max = error.params.get("max").map(|max| format!("{max} or less"));
    let wanted: Vec<String> = min.into_iter().chain(max).collect();
    let unit = if error.code == "length" { " in length" } else { "" };
    format!("{found} is there, wanted is {}{unit}", wanted.join(" and "))
}

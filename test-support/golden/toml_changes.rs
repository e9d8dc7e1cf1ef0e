//! Single changes of a TOML text in which every key stands on a line of its own.

use crate::key_changes::KeyChange;

/// Each key misspelt, left out, and with an empty table for its value; each section's name misspelt.
pub fn toml_changes(text: &str) -> Vec<KeyChange> {
    let lines: Vec<&str> = text.lines().collect();
    let mut section = String::new();
    let mut changes = Vec::new();
    for (number, line) in lines.iter().enumerate() {
        let place = number + 1;
        let mut add = |label: String, new: Option<String>| {
            let (before, after) = (&lines[..number], &lines[number + 1..]);
            let middle: Vec<&str> = new.iter().map(String::as_str).collect();
            let text = [before, &middle, after].concat().join("\n") + "\n";
            changes.push(KeyChange { label: format!("line {place}, {label}"), text });
        };
        if line.starts_with('[') {
            let name = line.trim_matches(['[', ']']);
            section = format!("{name}.");
            add(format!("[{name}]: misspelt"), Some(line.replacen(name, &format!("{name}x"), 1)));
        } else if let Some((key, value)) = line.split_once(" = ") {
            add(format!("{section}{key}: misspelt"), Some(format!("{key}x = {value}")));
            add(format!("{section}{key}: left out"), None);
            add(format!("{section}{key}: an empty table"), Some(format!("{key} = {{}}")));
        }
    }
    changes
}

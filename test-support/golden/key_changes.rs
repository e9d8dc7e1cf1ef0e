//! Changes a text of settings at one key at a time, and writes out what each change comes to.

use std::fmt::Write as _;

/// A text with one key changed.
pub struct KeyChange {
    /// The key, and what was done to it.
    pub label: String,
    /// The whole text.
    pub text: String,
}

/// What a text was read as: a line for each value, or why it was refused.
pub type Outcome = Result<Vec<String>, String>;

/// What the unchanged text is read as, and how each change of it differs from that.
pub fn report(unchanged: &str, changes: &[KeyChange], read: impl Fn(&str) -> Outcome) -> String {
    let values = read(unchanged).unwrap_or_else(|fault| panic!("the whole example is refused: {fault}"));
    let mut text = String::from("===== as it stands\n");
    for line in &values {
        let _ = writeln!(text, "{line}");
    }
    for KeyChange { label, text: changed } in changes {
        let _ = writeln!(text, "===== {label}");
        match read(changed) {
            Err(fault) => {
                let _ = writeln!(text, "refused: {fault}");
            }
            Ok(others) if others == values => text.push_str("accepted, no value differs\n"),
            Ok(others) => {
                text.push_str("accepted\n");
                for line in values.iter().filter(|line| !others.contains(line)) {
                    let _ = writeln!(text, "- {line}");
                }
                for line in others.iter().filter(|line| !values.contains(line)) {
                    let _ = writeln!(text, "+ {line}");
                }
            }
        }
    }
    text
}

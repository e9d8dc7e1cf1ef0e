//! Reads the files that the sub-commands are given; errors name the file on each of their lines.

use pointcross_experiments::script::Script;
use std::path::Path;

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: cannot be read: {error}", path.display()))
}

/// Reads and checks a rehearsal script.
pub fn read_script(path: &Path) -> Result<Script, String> {
    Script::parse(&read_text(path)?).map_err(|faults| with_path(path, &faults))
}

/// Puts the file's path before each line of a message.
pub fn with_path(path: &Path, faults: &impl ToString) -> String {
    let lines: Vec<String> =
        faults.to_string().lines().map(|line| format!("{}: {line}", path.display())).collect();
    lines.join("\n")
}

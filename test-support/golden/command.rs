//! Runs a built program as an operator does, and writes out what came of it.

use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::process::{Command, Output, Stdio};

/// Runs `program` in `folder` with an environment of just `variables`; `input` is its whole standard input.
pub fn run(
    program: &str,
    folder: &Path,
    arguments: &[&str],
    variables: &[(&str, &str)],
    input: &[u8],
) -> Output {
    let mut child = Command::new(program)
        .args(arguments)
        .current_dir(folder)
        .env_clear()
        .env("COLUMNS", "100")
        .envs(variables.iter().copied())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // A program that reads nothing may have ended by now.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    child.wait_with_output().expect("the program ends")
}

/// The command line, the exit code, and the first line of each stream.
pub fn describe(name: &str, arguments: &[&str], variables: &[(&str, &str)], output: &Output) -> String {
    let mut text = String::from("$ ");
    for (key, value) in variables {
        let _ = write!(text, "{key}={value} ");
    }
    let _ = writeln!(text, "{}", [&[name], arguments].concat().join(" "));
    let code = output.status.code().map_or("none".to_owned(), |code| code.to_string());
    let _ = writeln!(text, "exit code: {code}");
    for (stream, bytes) in [("output", &output.stdout), ("error", &output.stderr)] {
        let all = String::from_utf8_lossy(bytes);
        let first = all.lines().next().unwrap_or("(nothing)");
        let _ = writeln!(text, "{stream}: {first}");
    }
    text.push('\n');
    text
}

//! The command line as an operator meets it.

use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pointcross-tier"));
    command.args(arguments).env_remove("POINTCROSS_BOOT").output().expect("the program runs")
}

fn error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file");
    path.display().to_string()
}

#[test]
fn errors_say_what_is_missing() {
    for (arguments, wanted) in [
        (&[][..], "a command has to be named"),
        (&["fly"][..], "fly is no command"),
        (&["proxy"][..], "POINTCROSS_BOOT is not set"),
        (&["proxy", "--log", "loud"][..], "--log: loud is no level"),
        (&["proxy", "--with-agent"][..], "POINTCROSS_BOOT is not set"),
        (&["store", "--with-agent"][..], "--with-agent goes with proxy only"),
        (&["config", "get"][..], "--control: the address of a control member is needed"),
        (&["config", "apply", "x", "--control", "127.0.0.1:1"][..], "config apply needs --base"),
    ] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(error(&output).contains(wanted), "{arguments:?}: {}", error(&output));
    }
}

#[test]
fn a_settings_file_is_checked_by_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let valid = "Node = \"n\"\nBindIp = \"127.0.0.1\"\nZone = \"z\"\nPortRange = [1000,1010]\n\
                 SeedNodes = [\"127.0.0.1:1\"]\n[Limits]\nMemoryMb = 64\nMaxFds = 100\n";
    let good = write(folder.path(), "good.toml", valid);
    assert_eq!(run(&["check", "--settings", &good]).status.code(), Some(0));
    let bad = write(folder.path(), "bad.toml", &valid.replace("64", "2"));
    let output = run(&["check", "--settings", &bad]);
    assert_eq!(output.status.code(), Some(2));
    assert!(error(&output).contains("Limits.MemoryMb: 2 is there"), "{}", error(&output));
}

#[test]
fn a_configuration_is_checked_by_route_and_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let good = write(folder.path(), "good.json", r#"{"Version":3,"Routes":[],"Services":[{"Name":"s"}]}"#);
    let output = run(&["config", "check", &good]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "version 3: 0 routes, 1 services\n");
    let bad = write(folder.path(), "bad.json", r#"{"Version":0,"Routes":[],"Services":[]}"#);
    let output = run(&["config", "check", &bad]);
    assert_eq!(output.status.code(), Some(1));
    assert!(error(&output).contains("Version: 0 is there, wanted is 1 or more"), "{}", error(&output));
}

#[test]
fn an_order_without_an_answer_says_to_send_it_again() {
    // Nobody listens on port 1.
    let output = run(&["config", "get", "--control", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(error(&output).contains("send the same again"), "{}", error(&output));
}

#[test]
fn a_folder_without_a_ring_has_nothing_to_tell() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().display().to_string();
    assert_eq!(run(&["inspect", &path]).status.code(), Some(0));
    assert_eq!(run(&["inspect", &format!("{path}/missing")]).status.code(), Some(1));
}

//! The program itself: its start, its stop, and what it says when it can't start.

mod common;

use common::{SETTINGS, exchange, operator};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// Writes a file for one test and gives its path.
fn file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).unwrap();
    path
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pointcross"));
    for key in ["RELAY_CONFIG", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_NAME", "POINTCROSS_OPERATOR"] {
        command.env_remove(key);
    }
    command
}

#[test]
fn sigterm_ends_the_program_in_good_order() {
    // Nobody listens on port 1: discovery fails from the first call on, which the program must bear.
    let platform = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":{SETTINGS}}}"#
    );
    let mut child = program()
        .env("RELAY_CONFIG", file("stop.json", &platform))
        .env("RELAY_DISCOVERY", "127.0.0.1:1")
        .env("POINTCROSS_OPERATOR", file("stop.toml", &operator("basic", "")))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let serving = log.find_map(|line| line.unwrap().split_once("http=Some(").map(|found| found.1.to_owned()));
    let serving = serving.expect("it never said where it serves");
    assert!(serving.contains("nbd=Some(127.0.0.1:"), "{serving}");
    let http = serving.split(')').next().unwrap().parse().unwrap();
    // With no node listed it cannot serve, and says so.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";
    let answer = runtime.block_on(async { exchange(&mut common::connect(http).await, ready).await });
    assert_eq!(answer.unwrap().status(), 503);
    let signal = |name: &str| {
        assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
    };
    // What is wrong with a new file is said, and the old one holds; a right one is taken, whatever the
    // environment said at the start.
    let told = |log: &mut dyn Iterator<Item = std::io::Result<String>>, what: &str| {
        log.map(Result::unwrap).find(|line| line.contains(what)).expect(what)
    };
    file("stop.json", "{\"settings\":");
    signal("-HUP");
    assert!(told(&mut log, "not taken").contains("RELAY_CONFIG: not its JSON"));
    file("stop.json", &platform.replace("127.0.0.1:1\"", "127.0.0.1:2\""));
    signal("-HUP");
    assert!(told(&mut log, "read again").contains("127.0.0.1:2"));
    signal("-HUP");
    signal("-TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
    let rest: Vec<String> = log.map(Result::unwrap).collect();
    assert!(rest.iter().any(|line| line.ends_with("stopped")), "{rest:?}");
}

#[test]
fn a_fault_is_told_in_one_line_that_names_its_key() {
    let cases = [
        (program().output().unwrap(), "pointcross: RELAY_CONFIG: not set"),
        (
            program().env("RELAY_CONFIG", file("bad.json", "{\"settings\":")).output().unwrap(),
            "pointcross: RELAY_CONFIG: not its JSON",
        ),
    ];
    for (output, wanted) in cases {
        let told = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1));
        assert!(told.lines().count() == 1 && told.starts_with(wanted), "{told}");
    }
}

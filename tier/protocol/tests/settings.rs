//! The settings file: unknown keys are ignored, a faulty one is named.

use pointcross_tier_protocol::Settings;
use std::path::Path;

const VALID: &str = "Node = \"front-1\"\nBindIp = \"10.1.0.38\"\nZone = \"a\"\nPortRange = [7380,7395]\n\
SeedNodes = [\"10.1.0.41:8144\"]\nNewKey = 3\n[Limits]\nMemoryMb = 260\nMaxFds = 4100\n";

fn fault(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    let text = VALID.replace(from, to);
    Settings::from_text(&text, Path::new("settings.toml")).expect_err("a fault").to_string()
}

#[test]
fn a_valid_file_with_unknown_keys_is_taken() {
    let settings = Settings::from_text(VALID, Path::new("settings.toml")).expect("valid");
    assert_eq!(settings.fault_tolerance.copies(), 2);
    assert_eq!(settings.bounds.drain_ms, 2000);
    assert_eq!(settings.feed_address().to_string(), "127.0.0.1:7382");
}

#[test]
fn faults_name_the_key() {
    let faults = [
        fault("Zone = \"a\"\n", ""),
        fault("260", "\"much\""),
        fault("260", "1"),
        fault("[7380,7395]", "[7395,7380]"),
        fault("10.1.0.41:8144", "nowhere"),
        fault("Node = \"front-1\"", "Node = \"\""),
    ];
    insta::assert_snapshot!(faults.join("\n---\n"));
}

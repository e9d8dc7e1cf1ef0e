//! Rehearsal scripts as they are read: errors name their keys and lines.

use pointcross_experiments::script::{Script, ScriptErrors};

#[test]
fn faults_name_their_keys_and_lines() {
    let text = include_str!("../../deploy/rehearsals/first-rains.toml");
    Script::parse(text).unwrap();
    for (from, to, keys) in [
        ("load = 0.6", "load = -1", vec!["site.load"]),
        ("nodes = 16", "nodes = 0", vec!["site.nodes"]),
        ("kind = \"silent\"", "kind = \"quiet\"", vec!["line"]),
        ("plan = \"basic\"", "plan = \"gold\"", vec!["trouble.0.plan"]),
        ("aim_ms = 250", "aim_ms = 2500", vec!["class.reading-get.aim_ms"]),
        ("number = 1", "number = 9", vec!["trouble.5.number"]),
        ("seconds = 60", "second = 60", vec!["line"]),
        ("number = 1", "number = 1\nnodes = 3", vec!["line"]),
        ("for_s = 1\n", "four_s = 1\n", vec!["line"]),
    ] {
        assert!(text.contains(from), "{from}");
        let ScriptErrors(faults) = Script::parse(&text.replacen(from, to, 1)).unwrap_err();
        assert_eq!(faults.len(), keys.len(), "{faults:?}");
        assert!(faults.iter().zip(keys).all(|(fault, key)| fault.starts_with(key)), "{faults:?}");
    }
}

//! The capacity page and what it is made from.

use pointcross_capacity::{Basis, Capacity, page, slopes};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;

fn docs(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs").join(name)
}

fn text(name: &str) -> String {
    std::fs::read_to_string(docs(name)).unwrap_or_else(|error| panic!("docs/{name}: {error}"))
}

fn committed() -> Capacity {
    let file = |name: &str| text(&format!("capacity/{name}.toml"));
    Capacity::read(&file("targets"), &file("fits"), &file("slopes"), &file("rows")).unwrap()
}

/// Guards against slopes that the points do not bear out: fitted anew, the committed file is the same.
#[test]
fn the_slopes_are_the_points_own() {
    let mut points = BTreeMap::new();
    for entry in std::fs::read_dir(docs("capacity/points")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        if name.ends_with(".jsonl") {
            points.insert(name.clone(), text(&format!("capacity/points/{name}")));
        }
    }
    let fitted = slopes::worked_out(&text("capacity/fits.toml"), &points).unwrap();
    let same = slopes::text(&fitted) == text("capacity/slopes.toml");
    assert!(same, "docs/capacity/slopes.toml is not what `pointcross lab capacity fit` makes of the points");
}

/// Guards against figures typed into the page, or left there when a target or slope moved.
#[test]
fn the_page_is_what_the_program_makes_of_slopes_and_targets() {
    let page_text = text("CAPACITY.md");
    let made = page::made(&committed(), &page_text).unwrap();
    let differing = page_text.lines().zip(made.lines()).find(|(page, made)| page != made);
    assert_eq!(differing, None, "made anew by `pointcross lab capacity --write docs/CAPACITY.md`");
    assert_eq!(page_text, made);
}

/// Guards against a figure without its ground: every row has a figure, or says what was not measured, or cannot be met;
/// whatever a measured one stands on names its runs. The smallest margin is first, before the mechanism and after it.
#[test]
fn every_row_has_its_ground_and_the_smallest_margin_is_first() {
    let capacity = committed();
    let mechanisms: Vec<Vec<String>> = capacity.mechanisms().into_iter().map(|name| vec![name]).collect();
    assert!(mechanisms.contains(&vec!["configuration".to_owned()]));
    for without in [vec![]].into_iter().chain(mechanisms) {
        let rows = capacity.rows(&without).unwrap();
        for row in &rows {
            let cannot = row.cannot;
            assert!(!cannot || row.margin == row.budget.map(|_| 0.0), "{}", row.title());
            assert_eq!(row.need.is_none(), cannot || row.basis == Basis::NotMeasured, "{}", row.title());
            let missing = row.terms.iter().flat_map(|term| &term.missing).count();
            assert_eq!(row.basis == Basis::NotMeasured, missing > 0 && !cannot, "{}", row.title());
            assert!(row.basis != Basis::Measured || !row.run.is_empty(), "{}", row.title());
            let runs = row.terms.iter().flat_map(|term| &term.grounds).map(|ground| ground.runs);
            assert!(runs.min().is_none_or(|least| least > 0), "{}", row.title());
        }
        let margins: Vec<f64> = rows.iter().map(|row| row.margin.unwrap_or(f64::INFINITY)).collect();
        assert!(margins.is_sorted() && margins[0].is_finite(), "{without:?}: {margins:?}");
    }
    let before = capacity.rows(&["configuration".to_owned()]).unwrap();
    assert_eq!((before[0].margin, before[0].reach), (Some(0.0), 1e7), "{}", before[0].title());
}

/// Guards against a command line that says other than the page: one line of JSON with what is asked of each row, faults
/// named with their file, and a page that `--write` leaves as it is when nothing moved.
#[test]
fn the_command_line_tells_the_same_and_names_a_fault() {
    let run = |arguments: &[&str]| {
        let program = env!("CARGO_BIN_EXE_pointcross");
        Command::new(program).args(["lab", "capacity"]).args(arguments).output().unwrap()
    };
    let folder = docs("capacity").display().to_string();
    let told = run(&["--json", "--without", "configuration", "--folder", &folder]);
    assert!(told.status.success(), "{}", String::from_utf8_lossy(&told.stderr));
    let told: serde_json::Value = serde_json::from_slice(&told.stdout).unwrap();
    assert_eq!(told["rows"][0]["margin"], 0.0);
    for row in told["rows"].as_array().unwrap() {
        for key in ["role", "resource", "need", "budget", "margin", "basis", "run"] {
            assert!(row.get(key).is_some(), "{key}: {row}");
        }
    }
    let own = std::env::temp_dir().join(format!("pointcross-capacity-{}", std::process::id()));
    std::fs::create_dir_all(own.join("points")).unwrap();
    for name in ["targets.toml", "fits.toml", "rows.toml"] {
        std::fs::copy(docs("capacity").join(name), own.join(name)).unwrap();
    }
    let (page_there, here) = (own.join("page.md"), own.display().to_string());
    std::fs::write(&page_there, text("CAPACITY.md")).unwrap();
    assert!(run(&["fit", "--folder", &here]).status.success(), "no points yet is no fault");
    let page_there = page_there.display().to_string();
    assert!(run(&["--write", &page_there, "--folder", &here]).status.success());
    assert!(!std::fs::read_to_string(&page_there).unwrap().contains("| measured: `"), "without points");
    assert!(run(&["--write", &page_there, "--folder", &folder]).status.success());
    assert_eq!(std::fs::read_to_string(&page_there).unwrap(), text("CAPACITY.md"));
    std::fs::write(own.join("points/target.jsonl"), "{}").unwrap();
    let faulty = run(&["fit", "--folder", &here]);
    let error = String::from_utf8_lossy(&faulty.stderr).into_owned();
    assert!(faulty.status.code() == Some(2) && error.contains("target.jsonl: line 1: command"), "{error}");
    std::fs::remove_dir_all(&own).unwrap();
}

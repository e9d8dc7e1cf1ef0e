//! From points to rows and the page.

use pointcross_capacity::slopes;
use pointcross_capacity::{Basis, Capacity, page};
use std::collections::BTreeMap;

const TARGETS: &str = r#"
schedulers = { value = 1200, unit = "", kind = "target", words = "1,200 schedulers" }
allowed = { value = 28672, unit = "B/s", kind = "budget", words = "28 KB a second" }
share = { value = "schedulers / 8", unit = "", kind = "assumed", words = "evenly dealt" }
"#;

const FITS: &str = r#"
[schedulers]
points = "a.jsonl"
x = "real + hollow"
where = { nodes = 5 }
command = "pointcross lab scale"
fit.bytes = { y = "out", unit = "B/s" }
[all]
points = "a.jsonl"
command = "pointcross lab scale"
fit.worst = { y = "out", unit = "B/s", take = "worst" }
[later]
points = "b.jsonl"
x = "real"
command = "pointcross lab scale"
fit.absent = { y = "out", unit = "B/s" }
"#;

const ROWS: &str = r#"
[[row]]
group = "roles"
role = "scheduler"
resource = "bytes"
unit = "B/s"
need = "bytes(schedulers)"
budget = "allowed"
by = "daemon/src/discovery.rs"
without.relay = { cannot = true, words = "nothing carries it" }
[[row]]
group = "roles"
role = "list service"
resource = "bytes"
unit = "B/s"
need = "bytes(schedulers) * 3"
budget = "allowed"
[[row]]
group = "roles"
role = "list service"
resource = "processor"
unit = "%"
need = "absent(schedulers)"
budget = "allowed"
[[row]]
group = "event"
role = "list service"
resource = "told"
unit = "B/s"
budget = "allowed"
term = [{ words = "one", need = "bytes(schedulers)" }, { words = "two", need = "share" }]
"#;

fn points() -> BTreeMap<String, String> {
    let mut text = String::new();
    for hollow in [10, 20, 30, 40] {
        for by in [-1, 0, 1] {
            let out = 100 + 2 * hollow + by;
            text += &format!(r#"{{"command":"r","real":0,"hollow":{hollow},"nodes":5,"out":{out}}}"#);
            text += "\n";
        }
    }
    text += r#"{"command":"r","real":0,"hollow":90,"nodes":7,"out":900}"#;
    text += "\n";
    text += r#"{"command":"r","real":0,"hollow":90,"nodes":5,"out":9000,"set_aside":"it was disturbed"}"#;
    [("a.jsonl".to_owned(), text)].into()
}

fn capacity() -> Capacity {
    let slopes = slopes::text(&slopes::worked_out(FITS, &points()).unwrap());
    Capacity::read(TARGETS, FITS, &slopes, ROWS).unwrap()
}

/// Guards against a committed file that says other than the points, and against runs left out or put in unseen.
#[test]
fn slopes_come_from_the_points_and_are_read_back_as_written() {
    let text = slopes::text(&slopes::worked_out(FITS, &points()).unwrap());
    assert_eq!(slopes::text(&slopes::kept(FITS, &text).unwrap()), text);
    assert!(text.contains("slope = 2.0\n") && text.contains("runs = [3, 3, 3, 3]"), "{text}");
    assert!(text.contains("value = 900.0\nerror = 0.0\nruns = 13"), "{text}");
    assert!(text.contains("not_measured = \"b.jsonl: no points yet\""), "{text}");
    let wrong = |line: &str| {
        let mut files = points();
        files.get_mut("a.jsonl").unwrap().push_str(line);
        slopes::worked_out(FITS, &files).unwrap_err()
    };
    assert!(wrong("\n{").contains("a.jsonl: line 15"));
    assert!(wrong("\n{\"out\":1}").contains("line 15: command"));
    assert!(wrong("\n{\"command\":\"r\",\"nodes\":5,\"out\":1}").contains("bytes: a.jsonl: line 15: real"));
    let twice =
        format!("{FITS}[more]\npoints = \"a\"\ncommand = \"c\"\nfit.worst = {{ y = \"out\", unit = \"\" }}");
    assert!(slopes::kept(&twice, "").unwrap_err().contains("worst: declared twice"));
    assert!(slopes::kept(FITS, "[other]\nnot_measured = \"x\"").unwrap_err().contains("other"));
}

/// Guards against a figure whose ground is not told: measured, reckoned and not measured are told apart, the run and how
/// far it is extrapolated are named, what is not measured has no margin, and the smallest margin is first.
#[test]
fn rows_say_on_what_they_stand_and_the_smallest_margin_is_first() {
    let rows = capacity().rows(&[]).unwrap();
    let told: Vec<_> =
        rows.iter().map(|row| (row.resource.as_str(), row.basis, row.margin.is_some())).collect();
    assert_eq!(
        told,
        [
            ("bytes", Basis::Reckoned, true),
            ("told", Basis::Reckoned, true),
            ("bytes", Basis::Measured, true),
            ("processor", Basis::NotMeasured, false),
        ]
    );
    assert!((rows[2].need.unwrap() - 2500.0).abs() < 0.1 && rows[2].error.unwrap() > 0.0, "{:?}", rows[2]);
    assert!((rows[2].extrapolated - 30.0).abs() < 1e-9 && rows[2].run == "pointcross lab scale");
    assert!((rows[1].need.unwrap() - 2650.0).abs() < 0.1 && rows[1].assumed.contains("share"));
    assert_eq!(rows[1].terms[1].basis, Basis::Assumed);
    assert_eq!(rows[3].need, None);

    let without = capacity().rows(&["relay".to_owned()]).unwrap();
    assert_eq!(
        (without[0].role.as_str(), without[0].need, without[0].margin),
        ("scheduler", None, Some(0.0))
    );
    assert!(without[0].cannot && !rows[2].cannot);
    assert!(capacity().rows(&["other".to_owned()]).is_err());
}

/// Guards against a table typed by hand: only what stands between the markers changes, the same twice, and a group of
/// rows that the page leaves out is named.
#[test]
fn the_page_keeps_its_words_and_shows_every_group() {
    let page_text = "# Words\n<!-- made by lab capacity: roles -->\nold\n<!-- end -->\nbetween\n\
                     <!-- made by lab capacity: event -->\n<!-- end -->\nlast\n";
    let made = page::made(&capacity(), page_text).unwrap();
    assert!(
        made.starts_with("# Words\n<!-- made") && made.contains("\nbetween\n") && made.ends_with("\nlast\n")
    );
    assert!(!made.contains("\nold\n") && made.contains("not measured: `absent`"), "{made}");
    assert!(made.contains("measured: `bytes` (12 runs, extrapolated 30 times)"), "{made}");
    assert_eq!(page::made(&capacity(), &made).unwrap(), made);
    assert!(
        page::made(&capacity(), "<!-- made by lab capacity: roles -->\n<!-- end -->\n")
            .unwrap_err()
            .contains("event")
    );
    assert!(page::made(&capacity(), "<!-- made by lab capacity: roles -->\n").is_err());
    let figures = [
        (0.0, "0"),
        (0.01234, "0.0123"),
        (2.5, "2.5"),
        (28_672.4, "28,672"),
        (99.96, "100"),
        (-1200.0, "-1,200"),
    ];
    for (figure, text) in figures {
        assert_eq!(page::number(figure), text);
    }
}

/// Guards against a name that means two things, or nothing.
#[test]
fn a_name_is_one_thing_and_circles_are_named() {
    let slopes = "";
    let read = |targets: &str, rows: &str| {
        Capacity::read(targets, FITS, slopes, rows)
            .and_then(|capacity| capacity.rows(&[]).map(drop))
            .unwrap_err()
    };
    let target = |name: &str, value: &str| {
        format!("{name} = {{ value = \"{value}\", unit = \"\", kind = \"assumed\", words = \"\" }}\n")
    };
    assert!(read(&target("bytes", "1"), ROWS).contains("bytes"));
    let row = |need: &str| {
        format!("[[row]]\ngroup = \"g\"\nrole = \"r\"\nresource = \"s\"\nunit = \"\"\nneed = \"{need}\"\n")
    };
    let circle = target("one", "two") + &target("two", "one");
    assert!(read(&circle, &row("one")).contains("needs itself"));
    assert!(read("", &row("nobody + 1")).contains("r, s: nobody"));
    assert!(read("", &row("bytes(1, 2)")).contains("bytes: wanted 1"));
}

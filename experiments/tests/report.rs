//! The page that a rehearsal is drawn as.

use pointcross_experiments::report::{Lived, fleet_html, html};
use pointcross_experiments::script::Script;
use pointcross_experiments::virtual_time::play;

/// The page stands alone, names every trouble and plan, and marks what is broken.
#[test]
fn the_page_holds_what_happened() {
    let text =
        include_str!("../../deploy/rehearsals/first-rains.toml").replace("seconds = 60", "seconds = 30");
    let script = Script::parse(&text).unwrap();
    let mut outcome = play(&script, 1, 1);
    let page = html(&script, &outcome).unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    for wanted in ["20% of nodes die", "basic at 4 times", "discovery silent", "priority", "reading-put"] {
        assert!(page.contains(wanted), "{wanted}");
    }
    assert!(!page.contains("class=\"broken\"") && !page.contains("http://127") && !page.contains("<script"));
    outcome.broken.doubled_writes = 2;
    assert!(html(&script, &outcome).unwrap().contains("class=\"broken\">writes run twice: 2"));
    let lived = Lived { list_calls: &[9, 1], answers: &[[5, 1, 0, 0], [6, 0, 0, 0]], held: &[vec![1, 2]] };
    let page = fleet_html("a <start>", &[("crashed".into(), "0".into())], &lived).unwrap();
    assert_eq!((page.matches("<svg").count(), page.contains("a &lt;start&gt;")), (3, true));
}

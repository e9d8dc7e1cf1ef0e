//! Servers that are full, ejected or slow together: what is queued, what is refused, and which programs are shed.

use pointcross_tier_protocol::{Instance, InstanceState};
use pointcross_tier_routing::{
    AdmittedPrograms, AnswerBegin, AttemptEnd, Choice, Demand, LoadReport, Policy, ProgramDemand,
    ProgramStage, PromptParts, Servers, parse_prefix,
};
use std::net::{Ipv4Addr, SocketAddrV4};

const SERVICE: &str = "engines";
/// Requests that a proxy may have at a server whose rate is not known.
const FLOOR: u32 = 4;

fn server(id: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        zone: "a".to_owned(),
        capacity: 32,
        state: InstanceState::Ready,
        call_seq: 1,
    }
}

fn servers(ids: &[&str], policy: Policy) -> Servers {
    let mut servers = Servers::new("front-1", "a").with_policy(policy);
    for id in ids {
        servers.update(&server(id));
    }
    servers
}

fn demand(queued_units: f64) -> Demand<'static> {
    Demand {
        service: SERVICE,
        route: "r",
        units: 100.0,
        prompt: None,
        time_left: 1000.0,
        target: 250.0,
        queued_units,
        tried: &[],
        object: None,
        has_idle_connection: &|_| false,
    }
}

fn fill(servers: &mut Servers, id: &str) {
    for _ in 0..FLOOR {
        servers.sent(0.0, id, 100.0, None);
    }
}

/// One attempt after the other that finds no connection.
fn lose_connections(servers: &mut Servers, id: &str) {
    for _ in 0..3 {
        servers.sent(0.0, id, 100.0, None);
        servers.ended(0.0, id, 100.0, AttemptEnd::NoConnection);
    }
}

/// Before, the dead server was the only one with room, and got whatever the others had no room for.
#[test]
fn a_request_waits_for_full_servers_rather_than_go_to_an_ejected_one() {
    let all = Policy::default();
    for (policy, is_queued) in [(all, true), (Policy { ejection_before_room: false, ..all }, false)] {
        let mut servers = servers(&["dead", "full"], policy);
        lose_connections(&mut servers, "dead");
        fill(&mut servers, "full");
        assert_eq!(servers.choose(1.0, &demand(0.0)) == Choice::Queue, is_queued, "{policy:?}");
    }
}

#[test]
fn where_all_are_ejected_one_of_them_is_asked() {
    let mut servers = servers(&["dead"], Policy::default());
    lose_connections(&mut servers, "dead");
    assert!(matches!(servers.choose(1.0, &demand(0.0)), Choice::Send { .. }));
}

/// Four servers that each work off 100 units in 100 ms take 1,600 units in 400 ms, not in 1,600.
#[test]
fn the_queue_is_forecast_by_the_rates_of_all_its_servers() {
    let ids = ["one", "two", "three", "four"];
    let all = Policy::default();
    for (policy, is_refused) in [(all, false), (Policy { shared_queue: false, ..all }, true)] {
        let mut servers = servers(&ids, policy);
        for id in ids {
            for round in 0..50 {
                let now = f64::from(round) * 100.0;
                servers.sent(now, id, 100.0, None);
                servers.ended(now + 100.0, id, 100.0, AttemptEnd::Served);
            }
            fill(&mut servers, id);
        }
        let choice = servers.choose(6000.0, &demand(1600.0));
        assert_eq!(matches!(choice, Choice::Refuse(_)), is_refused, "{choice:?}");
        assert_eq!(choice == Choice::Queue, !is_refused, "{choice:?}");
    }
}

fn answer(servers: &mut Servers, now: f64, id: &str, took: f64, report: Option<LoadReport>) {
    servers.answered(now, id, AnswerBegin { plain_route: None, took, expected_ms: 50.0, report });
}

#[test]
fn a_server_with_free_slots_by_its_own_report_has_room_until_that_is_old() {
    let prompt: PromptParts = parse_prefix("aa:100");
    let has_room = |report: &str, now: f64| {
        let mut servers = servers(&["one"], Policy::default());
        fill(&mut servers, "one");
        answer(&mut servers, 0.0, "one", 50.0, LoadReport::parse(report));
        let wants = Demand { prompt: Some(&prompt), ..demand(0.0) };
        matches!(servers.choose(now, &wants), Choice::Send { .. })
    };
    assert!(has_room("10,0,32", 100.0));
    assert!(!has_room("10,0,32", 600.0), "the report is old");
    assert!(!has_room("10,1,32", 100.0), "something waits there");
    assert!(!has_room("24,0,32", 100.0), "the last quarter of the slots is left to other proxies");
}

/// A proxy whose answers all take this many times as long as expected.
fn slow_by(factor: f64) -> Servers {
    let mut servers = servers(&["one", "two"], Policy::default());
    for number in 0..40 {
        let id = if number % 2 == 0 { "one" } else { "two" };
        answer(&mut servers, f64::from(number) * 20.0, id, 50.0 * factor, None);
    }
    servers
}

const NOW: f64 = 800.0;

fn refused(servers: &Servers, now: f64, program: &str, stage: ProgramStage, priority: u8) -> Option<f64> {
    servers.refuse_program(now, SERVICE, &ProgramDemand { program, stage, priority })
}

fn refused_of_a_thousand(servers: &Servers, stage: ProgramStage, priority: u8) -> usize {
    let programs = (0..1000).map(|number| format!("{number:x}"));
    programs.filter(|program| refused(servers, NOW, program, stage, priority).is_some()).count()
}

#[test]
fn new_programs_are_shed_by_slowness_and_less_urgent_ones_first() {
    use ProgramStage::{Late, New, UnderWay};
    let usual = slow_by(3.0);
    assert_eq!(refused_of_a_thousand(&usual, New, 1) + refused_of_a_thousand(&usual, Late, 1), 0);
    let overloaded = slow_by(4.6);
    let (less_urgent, urgent) =
        (refused_of_a_thousand(&overloaded, New, 1), refused_of_a_thousand(&overloaded, New, 0));
    assert!((350..450).contains(&less_urgent) && (100..200).contains(&urgent), "{less_urgent} {urgent}");
    assert_eq!(refused_of_a_thousand(&overloaded, UnderWay, 1), 0);
    assert_eq!(refused_of_a_thousand(&overloaded, Late, 0), 1000);
    let worst = slow_by(50.0);
    let (less_urgent, urgent) =
        (refused_of_a_thousand(&worst, New, 1), refused_of_a_thousand(&worst, New, 0));
    assert!(less_urgent < 750 && urgent < 550, "some are always admitted: {less_urgent} {urgent}");
}

#[test]
fn a_program_is_judged_alike_at_each_try_and_returns_at_a_time_of_its_own() {
    let (one, other) = (slow_by(4.6), slow_by(4.6));
    let mut times = Vec::new();
    for number in 0..200 {
        let program = format!("{number:x}");
        let verdict = refused(&one, NOW, &program, ProgramStage::New, 1);
        assert_eq!(verdict, refused(&other, NOW, &program, ProgramStage::New, 1));
        times.extend(verdict);
    }
    assert!(times.iter().all(|time| (600.0..=1500.0).contains(time)));
    let first_half = times.iter().filter(|time| **time < 1320.0).count();
    assert!(
        first_half > times.len() / 4 && first_half < times.len() * 3 / 4,
        "{first_half} of {}",
        times.len()
    );
}

#[test]
fn few_or_old_answers_shed_nobody() {
    let mut few = servers(&["one"], Policy::default());
    for number in 0..9 {
        answer(&mut few, f64::from(number), "one", 5000.0, None);
    }
    assert_eq!(refused(&few, 10.0, "p", ProgramStage::Late, 1), None);
    let overloaded = slow_by(9.0);
    assert!(refused(&overloaded, NOW, "p", ProgramStage::Late, 1).is_some());
    assert_eq!(
        refused(&overloaded, NOW + 6000.0, "p", ProgramStage::Late, 1),
        None,
        "nothing is known any more"
    );
    assert_eq!(
        overloaded.refuse_program(
            NOW,
            "other",
            &ProgramDemand { program: "p", stage: ProgramStage::Late, priority: 1 }
        ),
        None,
        "of another service"
    );
}

#[test]
fn servers_that_answer_in_time_again_end_the_shedding() {
    let mut servers = slow_by(9.0);
    for number in 0..100 {
        answer(&mut servers, NOW + f64::from(number) * 20.0, "one", 60.0, None);
    }
    let now = NOW + 2000.0;
    assert_eq!(refused(&servers, now, "p", ProgramStage::Late, 1), None);
}

#[test]
fn programs_are_remembered_up_to_a_bound() {
    let mut programs = AdmittedPrograms::default();
    for number in 0..5000 {
        programs.insert(&format!("{number}"));
    }
    assert!(!programs.contains("0") && programs.contains("4999") && programs.contains("1000"));
    assert!(!programs.contains("5000"));
}

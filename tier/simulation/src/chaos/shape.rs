//! Shapes of random days: how long they last, what the programs do, and which faults strike.

use super::kinds::Kind;
use std::time::Duration;

/// What a random day is made of.
#[derive(Clone, Copy, Debug)]
pub struct DayShape {
    /// How long turns are retained, as the configuration says.
    pub(super) retention: Duration,
    /// How long load and faults last.
    pub(super) load: Duration,
    /// Programs under way at the same time.
    pub(super) programs: usize,
    /// Turns of one program.
    pub(super) max_turns: u64,
    /// The pause before a program's next turn: at least so many milliseconds, and up to so many more.
    pub(super) pause_ms: (u64, u64),
    /// Whether a program's turns go through one proxy, which caches them, in place of either one.
    pub(super) has_sticky_programs: bool,
    /// The kinds of faults.
    pub(super) kinds: &'static [Kind],
    /// The class of the machines with a disk that faults strike; `None` for all classes.
    pub(super) struck_class: Option<&'static str>,
    /// Whether faults that strike right after an acknowledgement wait for that of a turn, in place of an order's.
    pub(super) strikes_after_turns: bool,
    /// Whether servers call any control machine, and learn of those that are added. What members know of the servers
    /// is checked at the end of the day then.
    pub(super) servers_call_any_control: bool,
}

impl DayShape {
    /// Half a minute of short programs under all kinds of faults. All turns outlast the day.
    pub const MIXED: DayShape = DayShape {
        retention: Duration::from_secs(60),
        load: Duration::from_secs(32),
        programs: 5,
        max_turns: 6,
        pause_ms: (10, 100),
        has_sticky_programs: false,
        kinds: &Kind::MIXED,
        struck_class: None,
        strikes_after_turns: false,
        servers_call_any_control: false,
    };

    /// Two minutes of programs that pause, several times as long as turns are retained: the early turns of a chain are
    /// retained for the sake of the later ones only, while stores are killed, wiped, added, replaced and emptied.
    pub const LONG_CHAINS: DayShape = DayShape {
        retention: Duration::from_secs(30),
        load: Duration::from_secs(120),
        programs: 16,
        max_turns: 24,
        pause_ms: (100, 16_000),
        has_sticky_programs: true,
        kinds: &Kind::OF_STORES,
        struck_class: Some("storage"),
        strikes_after_turns: true,
        servers_call_any_control: false,
    };

    /// Two minutes, twice as long as a silent server is remembered, in which processes go on with what they knew before
    /// they stood still, were cut off or were replaced, and servers call whatever control machine there is.
    pub const STALE_STATE: DayShape = DayShape {
        load: Duration::from_secs(120),
        kinds: &Kind::OF_STALE_STATE,
        servers_call_any_control: true,
        ..DayShape::MIXED
    };

    /// The shape with this name, as `simulate-tier --days` takes it.
    pub fn named(name: &str) -> Option<DayShape> {
        match name {
            "mixed" => Some(DayShape::MIXED),
            "long-chains" => Some(DayShape::LONG_CHAINS),
            "stale-state" => Some(DayShape::STALE_STATE),
            _ => None,
        }
    }
}

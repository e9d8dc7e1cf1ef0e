//! What a scale run comes to: one line of figures, each with its unit in its name.

use serde::Serialize;

/// What control took: a scheduler's mean and worst, or `None` where none was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Mean.
    pub mean: Option<f64>,
    /// Greatest.
    pub worst: Option<f64>,
}

impl Spread {
    /// Of these values.
    pub fn of(values: &[f64]) -> Self {
        let mean = (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64);
        Spread { mean, worst: values.iter().copied().reduce(f64::max) }
    }
}

/// The figures of a run. Times of day are over the day's window, after the start and before the rig waits for the last
/// changes to be told.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct ScaleResult {
    /// The scenario's file, by name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Length of the day's window.
    pub seconds: f64,
    /// Real schedulers.
    pub real: usize,
    /// Hollow schedulers.
    pub hollow: usize,
    /// Listed nodes.
    pub nodes: usize,
    /// Whether the configuration was carried.
    pub configuration: bool,
    /// Processes at the most, the rig among them.
    pub processes: usize,

    /// Changes of the list in the window.
    pub changes: u64,
    /// The same a second.
    pub change_rate: f64,
    /// Changes of the configuration in the window.
    pub configuration_changes: u64,
    /// From a change at the list service until it is in force, over every change and scheduler: the half.
    pub told_p50_ms: Option<f64>,
    /// All but a hundredth.
    pub told_p99_ms: Option<f64>,
    /// The worst.
    pub told_worst_ms: Option<f64>,
    /// At real schedulers: the half.
    pub real_told_p50_ms: Option<f64>,
    /// At real schedulers, all but a hundredth.
    pub real_told_p99_ms: Option<f64>,
    /// At real schedulers, the worst.
    pub real_told_worst_ms: Option<f64>,
    /// At hollow schedulers: the half.
    pub hollow_told_p50_ms: Option<f64>,
    /// At hollow schedulers, all but a hundredth.
    pub hollow_told_p99_ms: Option<f64>,
    /// At hollow schedulers, the worst.
    pub hollow_told_worst_ms: Option<f64>,
    /// Changes made or kept back while a scheduler was cut off, from its link's return: the worst.
    pub told_after_cut_worst_ms: Option<f64>,
    /// How many such times there were.
    pub told_after_cut: u64,
    /// From a change of primary at the list service until in force at every scheduler that was not cut off: the worst.
    pub primary_change_worst_ms: Option<f64>,
    /// Changes of primary.
    pub primary_changes: u64,
    /// From a configuration's publication until in force: all but a hundredth.
    pub config_in_force_p99_ms: Option<f64>,
    /// The worst.
    pub config_in_force_worst_ms: Option<f64>,
    /// The worst after a cut, from the link's return.
    pub config_after_cut_worst_ms: Option<f64>,
    /// Changes and starts that a running scheduler had not taken at the run's end.
    pub never_told: u64,
    /// The last revision that every scheduler had in force at the run's end, where all had the same.
    pub last_revision_everywhere: Option<u64>,

    /// Bytes at the list service until every first start had the list.
    pub start_bytes: u64,
    /// From a first start to the whole list in force: the worst.
    pub start_ready_worst_ms: Option<f64>,
    /// The same from later starts.
    pub restart_ready_worst_ms: Option<f64>,
    /// Schedulers started again, real ones.
    pub real_restarts: u64,
    /// Hollow ones.
    pub hollow_restarts: u64,

    /// Time on a core that control takes of a real scheduler without traffic, in percent of one: mean.
    pub control_cpu_pct: Option<f64>,
    /// Worst.
    pub control_cpu_worst_pct: Option<f64>,
    /// Its resident memory: mean.
    pub control_rss_mb: Option<f64>,
    /// Worst.
    pub control_rss_worst_mb: Option<f64>,
    /// Bytes of its calls, both directions: mean.
    pub control_bytes_per_s: Option<f64>,
    /// Worst.
    pub control_bytes_worst_per_s: Option<f64>,
    /// A hollow scheduler: the host process less an empty one, by its schedulers: mean.
    pub hollow_cpu_pct: Option<f64>,
    /// Of the worst host.
    pub hollow_cpu_worst_pct: Option<f64>,
    /// Memory, reckoned alike.
    pub hollow_rss_mb: Option<f64>,
    /// Of the worst host.
    pub hollow_rss_worst_mb: Option<f64>,
    /// Bytes of its calls: mean over all.
    pub hollow_bytes_per_s: Option<f64>,

    /// Calls at the list service.
    pub list_calls_per_s: f64,
    /// The most in any second of the whole run, the start too.
    pub list_peak_calls_per_s: u64,
    /// Calls of a real scheduler.
    pub list_calls_per_real_per_s: Option<f64>,
    /// Calls of a hollow scheduler.
    pub list_calls_per_hollow_per_s: Option<f64>,
    /// Bytes at the list service, both directions.
    pub list_bytes_per_s: f64,
    /// Time of its thread, in percent of a core.
    pub list_cpu_pct: f64,
    /// Watches open at once at the most.
    pub list_watches: usize,
    /// Calls at the configuration's sources.
    pub source_calls_per_s: Option<f64>,
    /// Bytes there, both directions.
    pub source_bytes_per_s: Option<f64>,
    /// Time of their processes together, in percent of a core.
    pub source_cpu_pct: Option<f64>,

    /// Resident memory of all processes together at the most; pages that they share counted in each.
    pub peak_rss_mb: f64,
    /// Of the rig alone at the most.
    pub rig_rss_mb: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered 200.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests answered otherwise.
    pub failed: u64,
    /// Requests with no final answer.
    pub unanswered: u64,
    /// Written paths that a node ran more than once.
    pub doubled_writes: u64,
    /// Processes and hollow schedulers that ended without being told to.
    pub crashed: u64,
    /// Wall time of the whole run, the start and the end too.
    pub wall_s: f64,
}

impl ScaleResult {
    /// Whether the rules hold: no doubled write, every request answered, no crash, every change told.
    pub fn rules_hold(&self) -> bool {
        self.doubled_writes == 0 && self.unanswered == 0 && self.crashed == 0 && self.never_told == 0
    }
}

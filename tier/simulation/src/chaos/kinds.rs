//! The kinds of faults of a random day.

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A proxy and its agent are killed.
    KillFront,
    /// They are told to stop.
    StopFront,
    /// They stand still.
    FreezeFront,
    /// Half of a machine's connections are reset.
    ResetConnections,
    /// Machines with a disk are killed.
    KillCounted,
    /// They lose power.
    PowerOffCounted,
    /// They lose their disks.
    WipeCounted,
    /// One is cut off from the others.
    CutOffCounted,
    /// One is not heard by the others.
    CutOneWay,
    /// Half of them are cut from the other half.
    CutHalves,
    /// A minority misses changes; then others lose their disks, and the rest is dark.
    MissChanges,
    /// One stands still.
    FreezeCounted,
    /// A control member stands still, is cut off meanwhile, and goes on.
    FreezeCutOff,
    /// One is told to stop.
    StopCounted,
    /// One is gone for good, and replaced.
    ReplaceCounted,
    /// One is replaced before it goes.
    ReplaceAsPlanned,
    /// All control members are killed.
    KillAllOfTheCore,
    /// All processes are killed.
    KillAll,
    /// All machines lose power.
    PowerOffAll,
    /// A machine's time of day is stepped.
    StepClock,
    /// A disk is slow.
    SlowDisk,
    /// A disk answers nothing.
    StallDisk,
    /// A disk takes no more bytes.
    FillDisk,
    /// Syncs of disks fail, and their machines lose power.
    FailSyncs,
    /// A store is emptied and taken away.
    Retire,
    /// The same, and others lose their disks right after.
    RetireAndWipe,
    /// A store is added.
    AddStore,
    /// A proxy stands still while two stores are added.
    FreezeFrontAddStores,
    /// A spare control machine is added, which is no member while the group is complete.
    AddControl,
    /// The settings name other seeds.
    TurnSeedsOver,
    /// A process gets SIGHUP.
    HangUp,
    /// A server is leaving.
    DrainEngine,
    /// A server leaves without draining before, and serves on for a while; another one has started.
    DeregisterEngine,
    /// A heartbeat of a server comes late, to any control machine.
    LateHeartbeat,
    /// A server runs requests and loses their answers.
    LoseAnswers,
    /// Servers answer early, late, twice, spoilt or not at all.
    Misbehave,
    /// Servers reset connections that have rested.
    ForgetResting,
    /// A server crashes, and its address goes to another service.
    ReuseAddress,
}

impl Kind {
    /// Those by which copies of turns are lost, moved or held up.
    pub const OF_STORES: [Kind; 17] = [
        Kind::KillFront,
        Kind::ResetConnections,
        Kind::KillCounted,
        Kind::PowerOffCounted,
        Kind::WipeCounted,
        Kind::CutOffCounted,
        Kind::FreezeCounted,
        Kind::StopCounted,
        Kind::ReplaceCounted,
        Kind::ReplaceAsPlanned,
        Kind::KillAll,
        Kind::PowerOffAll,
        Kind::SlowDisk,
        Kind::StallDisk,
        Kind::Retire,
        Kind::RetireAndWipe,
        Kind::AddStore,
    ];

    /// Those by which processes that know old state only go on with it: control machines that are no members, proxies
    /// and members that stood still, heartbeats and ends of servers that come late or to any control machine.
    pub const OF_STALE_STATE: [Kind; 26] = [
        Kind::KillFront,
        Kind::FreezeFront,
        Kind::FreezeFrontAddStores,
        Kind::FreezeFrontAddStores,
        Kind::ResetConnections,
        Kind::KillCounted,
        Kind::WipeCounted,
        Kind::CutOffCounted,
        Kind::CutHalves,
        Kind::FreezeCounted,
        Kind::FreezeCutOff,
        Kind::ReplaceCounted,
        Kind::ReplaceAsPlanned,
        Kind::KillAllOfTheCore,
        Kind::Retire,
        Kind::AddControl,
        Kind::AddControl,
        Kind::AddControl,
        Kind::TurnSeedsOver,
        Kind::DrainEngine,
        Kind::DeregisterEngine,
        Kind::DeregisterEngine,
        Kind::DeregisterEngine,
        Kind::LateHeartbeat,
        Kind::LateHeartbeat,
        Kind::ReuseAddress,
    ];

    /// Those of mixed days.
    pub const MIXED: [Kind; 34] = [
        Kind::KillFront,
        Kind::StopFront,
        Kind::FreezeFront,
        Kind::ResetConnections,
        Kind::KillCounted,
        Kind::PowerOffCounted,
        Kind::WipeCounted,
        Kind::CutOffCounted,
        Kind::CutOneWay,
        Kind::CutHalves,
        Kind::MissChanges,
        Kind::FreezeCounted,
        Kind::FreezeCutOff,
        Kind::StopCounted,
        Kind::ReplaceCounted,
        Kind::ReplaceAsPlanned,
        Kind::KillAllOfTheCore,
        Kind::KillAll,
        Kind::PowerOffAll,
        Kind::StepClock,
        Kind::SlowDisk,
        Kind::StallDisk,
        Kind::FillDisk,
        Kind::FailSyncs,
        Kind::Retire,
        Kind::RetireAndWipe,
        Kind::AddStore,
        Kind::TurnSeedsOver,
        Kind::HangUp,
        Kind::DrainEngine,
        Kind::LoseAnswers,
        Kind::Misbehave,
        Kind::ForgetResting,
        Kind::ReuseAddress,
    ];

    /// Whether machines of the deployment are in trouble by it; else only servers are.
    pub fn harms_machines(self) -> bool {
        let at_servers = [
            Kind::HangUp,
            Kind::DrainEngine,
            Kind::DeregisterEngine,
            Kind::LateHeartbeat,
            Kind::LoseAnswers,
            Kind::Misbehave,
            Kind::ForgetResting,
            Kind::ReuseAddress,
        ];
        !at_servers.contains(&self)
    }

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::KillFront => "kill_front",
            Kind::StopFront => "stop_front",
            Kind::FreezeFront => "freeze_front",
            Kind::ResetConnections => "reset_connections",
            Kind::KillCounted => "kill_counted",
            Kind::PowerOffCounted => "power_off_counted",
            Kind::WipeCounted => "wipe_counted",
            Kind::CutOffCounted => "cut_off_counted",
            Kind::CutOneWay => "cut_one_way",
            Kind::CutHalves => "cut_halves",
            Kind::MissChanges => "miss_changes",
            Kind::FreezeCounted => "freeze_counted",
            Kind::FreezeCutOff => "freeze_cut_off",
            Kind::StopCounted => "stop_counted",
            Kind::ReplaceCounted => "replace_counted",
            Kind::ReplaceAsPlanned => "replace_as_planned",
            Kind::KillAllOfTheCore => "kill_all_of_the_core",
            Kind::KillAll => "kill_all",
            Kind::PowerOffAll => "power_off_all",
            Kind::StepClock => "step_clock",
            Kind::SlowDisk => "slow_disk",
            Kind::StallDisk => "stall_disk",
            Kind::FillDisk => "fill_disk",
            Kind::FailSyncs => "fail_syncs",
            Kind::Retire => "retire",
            Kind::RetireAndWipe => "retire_and_wipe",
            Kind::AddStore => "add_store",
            Kind::FreezeFrontAddStores => "freeze_front_add_stores",
            Kind::AddControl => "add_control",
            Kind::TurnSeedsOver => "turn_seeds_over",
            Kind::HangUp => "hang_up",
            Kind::DrainEngine => "drain_engine",
            Kind::DeregisterEngine => "deregister_engine",
            Kind::LateHeartbeat => "late_heartbeat",
            Kind::LoseAnswers => "lose_answers",
            Kind::Misbehave => "misbehave",
            Kind::ForgetResting => "forget_resting",
            Kind::ReuseAddress => "reuse_address",
        }
    }
}

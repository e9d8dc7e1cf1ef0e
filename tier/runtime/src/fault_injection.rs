//! Deliberate faults of the code, one for each guarantee that the simulator's checker watches over: a
//! simulated day with a fault injected has to be reported as faulty.
//!
//! Guarantees that no fault can reach a program in service: without the feature `defects`, [`is_injected`] is
//! constant and false, and the faulty branches are not compiled in. Only the simulator enables the feature.

/// A fault of the code. The variants' names are arguments of the simulator's `--broken` and stay as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An acceptor's reply is sent before its promise or acceptance is durable, which is never written.
    VoteWithoutDisk,
    /// A member that lost its disk votes under the id of the lost disk.
    VoteUnderOldName,
    /// A configuration is committed whatever version it is based on.
    TakeAnyBase,
    /// A configuration that was committed is rejected when it is sent again, instead of acknowledged.
    RefuseRepeatedOrder,
    /// An instance's draining is acknowledged without any watcher being notified.
    DrainingToldToNobody,
    /// A turn is acknowledged with a single replica.
    OneCopy,
    /// A store acknowledges a turn, and counts as its replica, without the turns that it continues from.
    AcknowledgeWithoutChain,
    /// The reservations of a program's other attempts are not counted against its budget.
    IgnoreOtherAttempts,
    /// A chain is returned without its oldest turn.
    DropOldestTurn,
    /// A request that may have been executed is retried at another server.
    RunAgain,
    /// A request that may have been executed is answered as not executed.
    PromiseAfterRun,
    /// Quorum contact with a member is counted for whatever process answers at its address.
    ContactByAddress,
    /// Quorum contact counts from when the reply was processed, instead of from when the call was sent, and
    /// also after the call's timeout.
    ContactFromReply,
    /// An order is rejected by a value read in the first round, before that value is known to be committed.
    RefuseWhileUndecided,
    /// A retiring store counts replicas at stores that are retiring as well.
    CountLeavingStores,
    /// Writes that a failed sync did not cover count as durable.
    PassOverFailedSync,
    /// A reply is given to the oldest pending call, whatever its call number.
    MatchRepliesByOrder,
    /// A turn is denied by the stores of a directory that may be old.
    DenyByOldDirectory,
    /// Watches are answered from memory by control processes that are no members too.
    AnswerWatchesAsNonMember,
    /// Missing heartbeats end an instance for good, at whichever member received one of it, late ones too.
    EndByMissingHeartbeats,
    /// A Deregister of an instance that the control process does not know is acknowledged without effect.
    ForgetUnknownDeregister,
}

impl InjectedFault {
    /// All faults.
    pub const ALL: [InjectedFault; 21] = [
        InjectedFault::VoteWithoutDisk,
        InjectedFault::VoteUnderOldName,
        InjectedFault::TakeAnyBase,
        InjectedFault::RefuseRepeatedOrder,
        InjectedFault::DrainingToldToNobody,
        InjectedFault::OneCopy,
        InjectedFault::AcknowledgeWithoutChain,
        InjectedFault::IgnoreOtherAttempts,
        InjectedFault::DropOldestTurn,
        InjectedFault::RunAgain,
        InjectedFault::PromiseAfterRun,
        InjectedFault::ContactByAddress,
        InjectedFault::ContactFromReply,
        InjectedFault::RefuseWhileUndecided,
        InjectedFault::CountLeavingStores,
        InjectedFault::PassOverFailedSync,
        InjectedFault::MatchRepliesByOrder,
        InjectedFault::DenyByOldDirectory,
        InjectedFault::AnswerWatchesAsNonMember,
        InjectedFault::EndByMissingHeartbeats,
        InjectedFault::ForgetUnknownDeregister,
    ];

    /// The fault whose variant has this name.
    pub fn named(name: &str) -> Option<InjectedFault> {
        InjectedFault::ALL.into_iter().find(|fault| format!("{fault:?}") == name)
    }
}

#[cfg(feature = "defects")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Injects a fault into all code on this thread, in place of the one before; `None` injects none.
#[cfg(feature = "defects")]
pub fn inject(fault: Option<InjectedFault>) {
    INJECTED.set(fault);
}

/// Whether this fault is injected on this thread.
#[cfg(feature = "defects")]
pub fn is_injected(fault: InjectedFault) -> bool {
    INJECTED.get() == Some(fault)
}

/// Whether this fault is injected: never, in a build without the feature `defects`.
#[cfg(not(feature = "defects"))]
pub const fn is_injected(_: InjectedFault) -> bool {
    false
}

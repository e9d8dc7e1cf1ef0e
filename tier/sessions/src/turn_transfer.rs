//! The calls that store a turn, with its chain, on one store.
//!
//! Guarantees that the store is given each turn behind the one that it continues from, and that the transfer
//! ends: the turns that the store is thought to lack are sent first, the complete chain after a store said that
//! it lacks more, and nothing after that. No I/O and no clock: the caller makes the calls.

use crate::replication::split_batches;
use pointcross_tier_protocol::StoreId;
use pointcross_tier_protocol::messages::StoreReply;
use pointcross_tier_protocol::turns::TurnRecord;
use std::collections::VecDeque;
use std::rc::Rc;

/// Bytes of text in one call after which the next one begins. One turn is never divided.
pub const TRANSFER_BATCH_BYTES: usize = 1024 * 1024;

/// What the caller does next.
#[derive(Debug, PartialEq, Eq)]
pub enum TransferStep {
    /// Calls the store with these turns, and passes its reply on.
    Put(Vec<TurnRecord>),
    /// Nothing: the store has the turn and its complete chain.
    Stored,
    /// Nothing: the store did not take the turn.
    Rejected,
}

/// A turn that is being stored on one store.
pub struct TurnTransfer {
    turn: TurnRecord,
    /// The turns before it, oldest first.
    chain: Rc<[TurnRecord]>,
    callee: StoreId,
    /// Turns that were not sent yet, in the order of their calls.
    batches: VecDeque<Vec<TurnRecord>>,
    sends_complete_chain: bool,
}

impl TurnTransfer {
    /// Stores `turn` on the store `callee`. `chain` has the turns before it, oldest first.
    pub fn new(turn: TurnRecord, chain: Rc<[TurnRecord]>, callee: StoreId) -> Self {
        TurnTransfer { turn, chain, callee, batches: VecDeque::new(), sends_complete_chain: false }
    }

    /// The turns of the first call: those of the chain that the store is no replica of, and the turn.
    pub fn begin(&mut self) -> Vec<TurnRecord> {
        let lacking = self.chain.iter().filter(|turn| !turn.replicas.contains(&self.callee));
        self.enqueue(lacking.map(|turn| self.for_callee(turn)).collect())
    }

    /// What follows on the store's reply to the last call.
    pub fn on_reply(&mut self, reply: &StoreReply) -> TransferStep {
        match reply {
            StoreReply::Done => self.batches.pop_front().map_or(TransferStep::Stored, TransferStep::Put),
            StoreReply::MissingTurns(_) if !self.sends_complete_chain => {
                self.sends_complete_chain = true;
                TransferStep::Put(self.enqueue(self.chain.iter().map(|turn| self.for_callee(turn)).collect()))
            }
            _ => TransferStep::Rejected,
        }
    }

    /// Replaces what is to be sent by these turns and the turn itself. Returns the first call's turns.
    fn enqueue(&mut self, mut turns: Vec<TurnRecord>) -> Vec<TurnRecord> {
        turns.push(self.turn.clone());
        self.batches = split_batches(turns, TRANSFER_BATCH_BYTES).into();
        self.batches.pop_front().unwrap_or_default()
    }

    /// A turn of the chain as the store is given it: retained no shorter than the turn that continues from it.
    fn for_callee(&self, turn: &TurnRecord) -> TurnRecord {
        let mut turn = turn.clone();
        turn.retention_ms = turn.retention_ms.max(self.turn.retention_ms);
        if !turn.replicas.contains(&self.callee) {
            turn.replicas.push(self.callee.clone());
        }
        turn
    }
}

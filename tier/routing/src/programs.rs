//! Programs that were admitted lately, each as one number.

use crate::rendezvous;
use std::collections::{HashSet, VecDeque};

/// Programs remembered: some minutes of a proxy's traffic, in about 100 KB. At the bound the oldest is forgotten, which
/// then counts as new.
const MAX_PROGRAMS: usize = 4096;

/// The programs that were admitted; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct AdmittedPrograms {
    keys: HashSet<u64>,
    by_age: VecDeque<u64>,
}

impl AdmittedPrograms {
    /// Whether a program was admitted before.
    pub fn contains(&self, program: &str) -> bool {
        self.keys.contains(&rendezvous::key(program))
    }

    /// Records that a program was admitted.
    pub fn insert(&mut self, program: &str) {
        let key = rendezvous::key(program);
        if !self.keys.insert(key) {
            return;
        }
        self.by_age.push_back(key);
        if self.by_age.len() > MAX_PROGRAMS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.keys.remove(&oldest);
        }
    }
}

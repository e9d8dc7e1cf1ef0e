//! Steps of a seeded run for a golden file, numbered: the first in full, then a running hash at an interval.
#![allow(dead_code, reason = "each test file that includes this module uses a part of it")]

#[path = "running_hash.rs"]
mod running_hash;

use running_hash::RunningHash;
use std::fmt::Write as _;

/// Full text of the first steps, then the running hash of all steps once in so many.
pub struct Recorder {
    text: String,
    hash: RunningHash,
    steps: usize,
    full_steps: usize,
    hash_interval: usize,
}

impl Recorder {
    /// Records `full_steps` steps as text, and then a line each `hash_interval` steps.
    pub fn new(full_steps: usize, hash_interval: usize) -> Self {
        Recorder { text: String::new(), hash: RunningHash::default(), steps: 0, full_steps, hash_interval }
    }

    /// Records a line whatever the step.
    pub fn note(&mut self, line: &str) {
        self.hash.update(line.as_bytes());
        self.text.push_str(line);
        self.text.push('\n');
    }

    /// Records one step's text.
    pub fn step(&mut self, step: &str) {
        self.hash.update(step.as_bytes());
        self.steps += 1;
        if self.steps <= self.full_steps {
            writeln!(self.text, "{} {step}", self.steps).expect("writing to a string cannot fail");
        } else if self.steps.is_multiple_of(self.hash_interval) {
            self.write_hash();
        }
    }

    /// Hashes a step with the others, without counting it or writing a line for it.
    pub fn hash_step(&mut self, step: &str) {
        self.hash.update(step.as_bytes());
    }

    fn write_hash(&mut self) {
        writeln!(self.text, "{} hash {:016x}", self.steps, self.hash.value())
            .expect("writing to a string cannot fail");
    }

    /// The record, closed by the hash of all steps.
    pub fn finish(mut self) -> String {
        self.write_hash();
        self.text
    }
}

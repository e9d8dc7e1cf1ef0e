//! What a test saw, step by step, for a golden file: the first steps in full, a running hash of the others.

#[path = "golden_file.rs"]
mod golden_file;
#[path = "running_hash.rs"]
mod running_hash;

use golden_file::assert_golden;
use running_hash::RunningHash;
use std::fmt::Write;

/// Steps between two lines with the running hash, once the steps that are written in full have passed.
const STEPS_PER_HASH: usize = 50;

/// The steps of a test: the first ones as text, and of all later ones a running hash, once per fifty steps.
pub struct Transcript {
    text: String,
    full_steps: usize,
    steps: usize,
    hash: RunningHash,
}

impl Transcript {
    /// An empty transcript that writes the first `full_steps` steps in full.
    pub fn new(full_steps: usize) -> Self {
        Transcript { text: String::new(), full_steps, steps: 0, hash: RunningHash::default() }
    }

    /// Adds a step.
    pub fn step(&mut self, line: &str) {
        self.steps += 1;
        self.hash.update(line.as_bytes());
        self.hash.update(b"\n");
        if self.steps <= self.full_steps {
            writeln!(self.text, "{line}").expect("writing to a string cannot fail");
        } else if self.steps.is_multiple_of(STEPS_PER_HASH) {
            self.write_hash();
        }
    }

    fn write_hash(&mut self) {
        writeln!(self.text, "after {} steps: {:016x}", self.steps, self.hash.value())
            .expect("writing to a string cannot fail");
    }

    /// Compares all steps with the golden file of this name in the package's `tests/golden`.
    pub fn check(mut self, file: &str) {
        self.write_hash();
        assert_golden(file, &self.text);
    }
}

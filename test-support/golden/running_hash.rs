//! A hash over the steps of a test, so that a golden file can cover many steps in few lines.

/// The offset basis and the prime of 64-bit FNV-1a (Fowler, Noll and Vo).
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// 64-bit FNV-1a over all bytes so far.
#[derive(Clone, Copy)]
pub struct RunningHash(u64);

impl Default for RunningHash {
    fn default() -> Self {
        RunningHash(OFFSET_BASIS)
    }
}

impl RunningHash {
    /// Adds bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// The hash of all bytes so far.
    pub fn value(self) -> u64 {
        self.0
    }
}

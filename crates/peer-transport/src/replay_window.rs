//! Replay window, which accepts each sequence number at most once.

/// Number of tracked sequence numbers, including the highest.
const WINDOW_SIZE: u64 = u128::BITS as u64;

/// Recently seen sequence numbers of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if `highest - n` was seen.
    seen: u128,
}

impl ReplayWindow {
    /// Accepts a number that has not been seen; numbers older than the window are rejected.
    pub(crate) fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            self.advance(number);
            return true;
        }
        let age = self.highest - number;
        if age >= WINDOW_SIZE || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }

    fn advance(&mut self, number: u64) {
        let distance = number - self.highest;
        let shifted = if distance < WINDOW_SIZE {
            self.seen << distance
        } else {
            0
        };
        self.seen = shifted | 1;
        self.highest = number;
    }
}

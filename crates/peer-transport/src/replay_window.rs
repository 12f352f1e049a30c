//! The replay window: each sequence number is accepted once.

/// Sequence numbers that are remembered, the highest among them.
const WINDOW: u64 = u128::BITS as u64;

/// The sequence numbers of one sender that were seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if `highest - n` was seen.
    seen: u128,
}

impl ReplayWindow {
    /// Accepts a number that has not been seen and is not too old to tell.
    pub(crate) fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            self.advance(number);
            return true;
        }
        let age = self.highest - number;
        if age >= WINDOW || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }

    fn advance(&mut self, number: u64) {
        let distance = number - self.highest;
        let shifted = if distance < WINDOW {
            self.seen << distance
        } else {
            0
        };
        self.seen = shifted | 1;
        self.highest = number;
    }
}

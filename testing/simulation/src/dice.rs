//! Random choices. Every party has dice of its own, made from the run's seed and its own number, so that taking one
//! party out of a script leaves the others' throws as they were.

use sillward_runtime::random::Random;
use std::ops::Range;

/// Dice from a seed.
pub struct Dice(Random);

impl Dice {
    /// The dice of a party: of `kind`, the `number`th.
    pub fn of(seed: u64, kind: &str, number: u64) -> Self {
        let mixed = kind
            .bytes()
            .fold(seed ^ 0x9e37_79b9_7f4a_7c15, |hash, byte| {
                (hash ^ u64::from(byte))
                    .wrapping_mul(0x0000_0100_0000_01b3)
                    .rotate_left(23)
            });
        Dice(Random::seeded(
            mixed ^ number.wrapping_add(1).wrapping_mul(0xd6e8_feb8_6659_fd93),
        ))
    }

    /// A number of the range, which is not empty.
    pub fn within(&mut self, range: Range<u64>) -> u64 {
        let wide = u64::from(self.0.next_u32()) << 32 | u64::from(self.0.next_u32());
        range.start + wide % (range.end - range.start)
    }

    /// Whether something happens that happens so often in a thousand.
    pub fn permille(&mut self, permille: u64) -> bool {
        (u64::from(self.0.next_u32()) * 1000) >> 32 < permille
    }

    /// A fraction: 0 or more, less than 1.
    pub fn fraction(&mut self) -> f64 {
        self.0.next_f64()
    }
}

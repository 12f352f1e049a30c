//! Message authentication codes: BLAKE3's keyed hash, truncated.

/// The length of a code, in bytes: one guess in 2^128 is right.
pub(crate) const MAC_BYTES: usize = 16;

/// A message authentication code.
pub(crate) type Mac = [u8; MAC_BYTES];

/// The code of what was hashed.
pub(crate) fn finalize(hasher: &blake3::Hasher) -> Mac {
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
    mac
}

/// Compares in constant time: how long it takes must not show how much of a forged code is right.
pub(crate) fn is_equal(mac: &Mac, other: &[u8]) -> bool {
    let difference = mac.iter().zip(other).fold(0, |all, (a, b)| all | (a ^ b));
    mac.len() == other.len() && difference == 0
}

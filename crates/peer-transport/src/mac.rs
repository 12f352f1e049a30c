//! Message authentication codes (MACs): BLAKE3's keyed hash, truncated to 16 bytes.

/// Length of a MAC in bytes; a forger guesses one with a probability of 2^-128.
pub(crate) const MAC_BYTES: usize = 16;

pub(crate) type Mac = [u8; MAC_BYTES];

/// Returns the truncated MAC of the data hashed so far.
pub(crate) fn finalize(hasher: &blake3::Hasher) -> Mac {
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
    mac
}

/// Compares in constant time, so that timing does not reveal how many bytes of a forged MAC are correct.
pub(crate) fn is_equal(mac: &Mac, other: &[u8]) -> bool {
    let difference = mac.iter().zip(other).fold(0, |all, (a, b)| all | (a ^ b));
    mac.len() == other.len() && difference == 0
}

//! The file in the state directory that holds the epoch of the last incarnation. A file that is truncated, corrupt or
//! another node's counts as lost.

use sillward_membership::Name;

/// The longest file that is read, in bytes.
pub const MAX_BYTES: u64 = 256;
/// The file's name.
pub const FILE_NAME: &str = "life";
/// The header, with the version of the format.
const HEADER: &str = "sillward life 1";
/// The hexadecimal digits of the checksum.
const CHECKSUM_DIGITS: usize = 16;

/// The content of the file.
pub fn encode(name: &Name, epoch: u32) -> String {
    let body = format!("{HEADER}\n{name}\n{epoch}\n");
    let checksum = blake3::hash(body.as_bytes()).to_hex();
    format!("{body}{}\n", &checksum[..CHECKSUM_DIGITS])
}

/// The epoch that a file holds; `None` if the file counts as lost.
pub fn decode(name: &Name, bytes: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(bytes).ok()?;
    let epoch = text.lines().nth(2)?.parse().ok()?;
    (encode(name, epoch) == text).then_some(epoch)
}

//! Format of the file in the state directory that stores the epoch of the last incarnation. A file that is truncated,
//! corrupt or written by another node is treated as missing.

use sillward_membership::Name;

/// Maximum size of a file that is read, in bytes.
pub const MAX_BYTES: u64 = 256;
/// Name of the file in the state directory.
pub const FILE_NAME: &str = "life";
/// First line of the file, with the format version.
const HEADER: &str = "sillward life 1";
/// Number of hexadecimal digits of the checksum.
const CHECKSUM_DIGITS: usize = 16;

/// Returns the file content for a node and its epoch.
pub fn encode(name: &Name, epoch: u32) -> String {
    let body = format!("{HEADER}\n{name}\n{epoch}\n");
    let checksum = blake3::hash(body.as_bytes()).to_hex();
    format!("{body}{}\n", &checksum[..CHECKSUM_DIGITS])
}

/// Returns the stored epoch; `None` if the file is truncated, corrupt or belongs to another node.
pub fn decode(name: &Name, bytes: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(bytes).ok()?;
    let epoch = text.lines().nth(2)?.parse().ok()?;
    (encode(name, epoch) == text).then_some(epoch)
}

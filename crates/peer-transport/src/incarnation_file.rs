//! What the folder remembers: the epoch of the last incarnation. A file that is torn, spoilt or another node's counts as lost.

use sillward_membership::Name;

/// The longest file that is read, in bytes.
pub const MAX_BYTES: u64 = 256;
/// The file's name in the folder.
pub const FILE_NAME: &str = "life";

/// The text of the file.
pub fn encode(name: &Name, epoch: u32) -> String {
    let said = format!("sillward life 1\n{name}\n{epoch}\n");
    format!("{said}{}\n", &blake3::hash(said.as_bytes()).to_hex()[..16])
}

/// The epoch that it remembers; `None` if it does not.
pub fn decode(name: &Name, bytes: &[u8]) -> Option<u32> {
    let said = std::str::from_utf8(bytes).ok()?;
    let epoch = said.lines().nth(2)?.parse().ok()?;
    (encode(name, epoch) == said).then_some(epoch)
}

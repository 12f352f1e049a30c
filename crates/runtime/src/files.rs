//! Small files that persist across restarts: read completely, and replaced atomically.

use crate::simulation;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

/// The permission bits of all but the owner.
const GROUP_AND_OTHERS: u32 = 0o077;

/// Reads a file, at most `max_bytes` of it; `None` if it does not exist.
///
/// # Errors
/// An operating system error.
pub fn read(path: &Path, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
    if let Some(machine) = simulation::current() {
        return Ok(machine.read_file(path));
    }
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    file.take(max_bytes).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

/// Reads a file that only its owner may access, at most `max_bytes` of it.
///
/// # Errors
/// An operating system error, [`ErrorKind::NotFound`], or [`ErrorKind::PermissionDenied`] if others may access it.
pub fn read_secret(path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
    use std::os::unix::fs::MetadataExt;
    if simulation::current().is_none() && fs::metadata(path)?.mode() & GROUP_AND_OTHERS != 0 {
        let reason = "others than its owner may read or write it; its mode must be 0600 or 0400";
        return Err(io::Error::new(ErrorKind::PermissionDenied, reason));
    }
    read(path, max_bytes)?.ok_or_else(|| ErrorKind::NotFound.into())
}

/// Replaces a file atomically; the new contents are durable when this returns.
///
/// Blocks until the disk has written them, so it must be called on a thread that may block
/// ([`write_atomic_in_background`]) or before the node serves requests.
///
/// # Errors
/// An operating system error; the old file is then unchanged.
pub fn write_atomic(path: &Path, bytes: &[u8]) -> io::Result<()> {
    if let Some(machine) = simulation::current() {
        return machine.write_file(path, bytes);
    }
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    match path.parent() {
        // The rename is durable only after a sync of the directory.
        Some(directory) if !directory.as_os_str().is_empty() => File::open(directory)?.sync_all(),
        _ => Ok(()),
    }
}

/// As [`write_atomic`], on a thread that may block.
///
/// # Errors
/// As [`write_atomic`], or the thread could not be started.
pub async fn write_atomic_in_background(path: &Path, bytes: Vec<u8>) -> io::Result<()> {
    if simulation::current().is_some() {
        return write_atomic(path, &bytes);
    }
    injected_delay().await;
    let path = path.to_owned();
    let written = tokio::task::spawn_blocking(move || write_atomic(&path, &bytes)).await;
    written.map_err(|error| io::Error::other(error.to_string()))?
}

/// Creates a directory and its parents if they do not exist.
///
/// # Errors
/// An operating system error.
pub fn create_dir_all(path: &Path) -> io::Result<()> {
    if simulation::current().is_some() {
        return Ok(());
    }
    fs::create_dir_all(path)
}

#[cfg(not(feature = "faults"))]
async fn injected_delay() {}

/// Injected fault: a slow disk.
#[cfg(feature = "faults")]
async fn injected_delay() {
    let ms = crate::fault_variable("SILLWARD_FAULT_DISK_MS").and_then(|ms| ms.parse().ok());
    if let Some(ms) = ms {
        crate::time::sleep(std::time::Duration::from_millis(ms)).await;
    }
}

//! Small files that outlast the process: read whole, and kept whole or not at all.

use crate::world;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

/// What a file holds, at most `most` bytes of it; `None` if it is not there.
///
/// # Errors
/// The system's.
pub fn read(path: &Path, most: u64) -> io::Result<Option<Vec<u8>>> {
    if let Some(world) = world::current() {
        return Ok(world.file(path));
    }
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let mut bytes = Vec::new();
    file.take(most).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

/// What a file holds that nobody but its owner may read.
///
/// # Errors
/// The system's, or others may read it.
pub fn secret(path: &Path, most: u64) -> io::Result<Vec<u8>> {
    use std::os::unix::fs::MetadataExt;
    if world::current().is_none() && fs::metadata(path)?.mode() & 0o077 != 0 {
        let what = "others than its owner may read or write it; its mode must be 0600 or 0400";
        return Err(io::Error::new(ErrorKind::PermissionDenied, what));
    }
    read(path, most)?.ok_or_else(|| ErrorKind::NotFound.into())
}

/// Keeps a file whole, in the place of the one that is there: on the disk when this returns. Blocks for as long as the
/// disk takes, so it is called on a thread that may wait ([`keep_aside`]) or before anybody is served.
///
/// # Errors
/// The system's; then the old one is there as it was.
pub fn keep(path: &Path, bytes: &[u8]) -> io::Result<()> {
    if let Some(world) = world::current() {
        return world.keep(path, bytes);
    }
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    match path.parent() {
        // A name is on the disk when its folder is.
        Some(folder) if !folder.as_os_str().is_empty() => File::open(folder)?.sync_all(),
        _ => Ok(()),
    }
}

/// As [`keep`], while the caller's thread goes on.
///
/// # Errors
/// As there, or the thread could not be had.
pub async fn keep_aside(path: &Path, bytes: Vec<u8>) -> io::Result<()> {
    if world::current().is_some() {
        return keep(path, &bytes);
    }
    slow().await;
    let path = path.to_owned();
    let kept = tokio::task::spawn_blocking(move || keep(&path, &bytes)).await;
    kept.map_err(|e| io::Error::other(e.to_string()))?
}

/// Makes a folder and those above it, if they are not there.
///
/// # Errors
/// The system's.
pub fn folder(path: &Path) -> io::Result<()> {
    if world::current().is_some() {
        Ok(())
    } else {
        fs::create_dir_all(path)
    }
}

#[cfg(not(feature = "faults"))]
async fn slow() {}

/// A disk that takes its time, as the ground plays it.
#[cfg(feature = "faults")]
async fn slow() {
    let ms = crate::told("SILLWARD_FAULT_DISK_MS").and_then(|ms| ms.parse().ok());
    if let Some(ms) = ms {
        crate::time::sleep(std::time::Duration::from_millis(ms)).await;
    }
}

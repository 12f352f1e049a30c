//! Loads and stores the epoch of the last incarnation in the state directory.

use crate::error::TransportError;
use crate::incarnation_file;
use sillward_logging::log;
use sillward_membership::{Incarnation, Name};
use sillward_runtime::files;
use sillward_runtime::task::spawn_local;
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Whether the current incarnation is stored in the state directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreStatus {
    /// There is no state directory, or the incarnation is being stored.
    Pending,
    /// The incarnation is stored.
    Stored,
    /// The incarnation could not be stored.
    Failed,
}

/// Sends incarnations to a background task that stores them.
pub(crate) struct IncarnationStore {
    /// Channel to the task; `None` without a state directory. Unbounded, because new incarnations are rare and the task
    /// drains the channel at each step.
    incarnations: Option<mpsc::UnboundedSender<Incarnation>>,
    status: Rc<Cell<StoreStatus>>,
}

impl IncarnationStore {
    /// Starts the background task if there is a state directory.
    pub(crate) fn start(state_dir: Option<PathBuf>, name: &Name) -> Self {
        let status = Rc::new(Cell::new(StoreStatus::Pending));
        let incarnations = state_dir.map(|state_dir| {
            let (sender, receiver) = mpsc::unbounded_channel();
            spawn_local(store_newest(
                state_dir,
                name.clone(),
                receiver,
                status.clone(),
            ));
            sender
        });
        IncarnationStore {
            incarnations,
            status,
        }
    }

    /// Requests that an incarnation be stored.
    pub(crate) fn store(&self, incarnation: Incarnation) {
        self.status.set(StoreStatus::Pending);
        if let Some(incarnations) = &self.incarnations {
            // Sending fails only when the runtime shuts down; incarnations that are not stored still differ by their salts.
            let _ = incarnations.send(incarnation);
        }
    }

    /// Storage status of the last incarnation.
    pub(crate) fn status(&self) -> StoreStatus {
        self.status.get()
    }
}

/// Loads the epoch from the state directory, which is created if missing; returns 0 if there is no valid file.
pub(crate) fn load(state_dir: &Path, name: &Name) -> Result<u32, TransportError> {
    let error = |source| TransportError::StateDir {
        path: state_dir.to_owned(),
        source,
    };
    files::create_dir_all(state_dir).map_err(error)?;
    let path = state_dir.join(incarnation_file::FILE_NAME);
    let Some(bytes) = files::read(&path, incarnation_file::MAX_BYTES).map_err(error)? else {
        return Ok(0);
    };
    let epoch = incarnation_file::decode(name, &bytes);
    if epoch.is_none() {
        log(format_args!(
            "ignoring the file {} in {}: it is corrupt or belongs to another node",
            incarnation_file::FILE_NAME,
            state_dir.display()
        ));
    }
    Ok(epoch.unwrap_or_default())
}

/// Stores incarnations one at a time; if several are queued, only the newest.
async fn store_newest(
    state_dir: PathBuf,
    name: Name,
    mut incarnations: mpsc::UnboundedReceiver<Incarnation>,
    status: Rc<Cell<StoreStatus>>,
) {
    let path = state_dir.join(incarnation_file::FILE_NAME);
    while let Some(mut incarnation) = incarnations.recv().await {
        while let Ok(newer) = incarnations.try_recv() {
            incarnation = newer;
        }
        let content = incarnation_file::encode(&name, incarnation.epoch);
        let stored = files::write_atomic_in_background(&path, content.into_bytes()).await;
        match stored {
            Ok(()) => status.set(StoreStatus::Stored),
            Err(e) => {
                log(format_args!(
                    "cannot store incarnation {incarnation} in {}: {e}",
                    state_dir.display()
                ));
                status.set(StoreStatus::Failed);
            }
        }
    }
}

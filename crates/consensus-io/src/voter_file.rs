//! The file with a voter's state.

use crate::config::ConsensusConfig;
use crate::error::{ConsensusError, LostState};
use sillward_consensus::voter_state::{FILE_NAME, MAX_FILE_BYTES, VoterState};
use sillward_membership::Name;
use sillward_runtime::{files, random};
use std::io;
use std::path::Path;

/// Initialises a voter's folder, once, on an operator's command. A voter without a file in its folder does not vote: so one
/// that has lost its file does not vote a second time on what it has voted on before.
///
/// # Errors
/// The node is no voter, there is a file already, or the folder cannot be used.
pub fn initialise(config: &ConsensusConfig, name: &Name) -> Result<String, ConsensusError> {
    let place = config
        .voter_place(name)
        .ok_or_else(|| ConsensusError::NotAVoter(name.as_str().to_owned()))?;
    let folder = config
        .folder
        .as_deref()
        .ok_or(ConsensusError::MissingFolder)?;
    let path = folder.join(FILE_NAME);
    let failed = |source: io::Error| ConsensusError::Initialise {
        path: path.clone(),
        source,
    };
    files::create_dir_all(folder).map_err(failed)?;
    if files::read(&path, 1).map_err(failed)?.is_some() {
        return Err(ConsensusError::AlreadyInitialised(path));
    }
    let storage_id = random::entropy().map_err(failed)?;
    let voters = config.voters.len();
    let state = VoterState::initial(config.log_id(), place as u64, voters, storage_id);
    files::write_atomic(&path, &state.encode()).map_err(failed)?;
    Ok(format!(
        "voter {} of log {:?} is founded in {}",
        name.as_str(),
        config.log_name,
        folder.display()
    ))
}

/// Reads the state of the voter at that place.
///
/// # Errors
/// The file cannot be read. A missing or invalid file is the inner error.
pub(crate) fn load(
    folder: &Path,
    config: &ConsensusConfig,
    place: usize,
) -> Result<Result<VoterState, LostState>, ConsensusError> {
    let path = folder.join(FILE_NAME);
    let bytes = match files::read(&path, MAX_FILE_BYTES) {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return Ok(Err(LostState::Missing(path))),
        Err(source) => return Err(ConsensusError::Read { path, source }),
    };
    let voters = config.voters.len();
    let state = VoterState::decode(&bytes, config.log_id(), place as u64, voters);
    Ok(state.map_err(|source| LostState::Invalid { path, source }))
}

//! The platform's configuration of a node: the JSON file that `PROXY_CONFIG` names, checked as a whole.
#![forbid(unsafe_code)]

mod config;
mod error;
mod file;
mod limits;
mod required_keys;

pub use config::Config;
pub use error::{ConfigError, FileError, ReloadError};

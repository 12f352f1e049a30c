//! What each node of a fleet saw of each backend and class, told to all others, and what a node may read from it. No I/O, no
//! clock and no dice of its own: events with times in, messages out, the same for the same seed.
//!
//! A node counts what it sees in windows ([`Book`]). Its *word* is the sum of its last closed windows, under its name, its life
//! and a version; a word takes the place of an older one of the same life, so that to hear one twice, late or by several ways
//! adds nothing ([`Board`]). Words are never pushed: a node asks another for what that one has learnt since it asked the last
//! time, and so knows of each word it gets that it was no older than what was claimed when it *asked* ([`Spread`]). What is
//! read is an estimate with its age, its weight and how wrong it may be ([`View`]).
//!
//! The ways weighed, the promises and their figures stand in `docs/design/outcomes.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod board;
mod book;
mod counts;
mod sketch;
mod spread;
mod terms;
mod view;
pub mod words;

pub use board::{Board, Word};
pub use book::Book;
pub use counts::{Asked, Backend, Cell, Class, Counts, End, Tally};
pub use sketch::Sketch;
pub use spread::{Action, Figures, Spread};
pub use terms::{Plant, Terms};
pub use view::{Demand, Judged, Share, View};

//! Transport between the members of a fleet: authenticated datagrams for membership frames and short messages, and one
//! authenticated connection per pair of members, opened on demand, for longer messages. [`sillward_membership`] decides
//! which frames to send; [`envelope`] and [`inbound_filter`] decide which datagrams to accept.
//!
//! Other parts of a node publish values and send messages through [`PeerTransport`] instead of opening their own sockets.
#![forbid(unsafe_code)]

mod connection;
mod connections;
pub mod envelope;
mod error;
mod event_loop;
mod handshake;
pub mod inbound_filter;
pub mod incarnation_file;
mod incarnation_store;
mod mac;
mod replay_window;
pub mod send_queue;
pub mod session;
mod settings;
mod sockets;
pub mod status_page;
mod token_bucket;
mod traffic;
mod transport;

pub use error::TransportError;
pub use settings::TransportSettings;
pub use sockets::BoundSockets;
pub use traffic::SentTraffic;
pub use transport::PeerTransport;

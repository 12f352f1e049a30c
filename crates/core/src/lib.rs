//! The node's middle, which knows no protocol and opens no socket. Fronts turn bytes into a [`Call`] and an
//! [`Answer`] into bytes; backend protocols ([`Backends`]) turn an [`Attempt`] into bytes and what comes back
//! into an outcome. Between them stands the [`Node`]: the only owner of the decision module and of the request
//! table. A further protocol needs no change here.
#![forbid(unsafe_code)]

mod attempt;
mod call;
mod dispatch;
mod intake;
mod live;
mod memory;
mod news;
mod node;
mod report;

pub use attempt::{Attempt, Backends, Ended, Exchanged, ProbeEnded, Stop, Task, run};
pub use call::{Answer, Call, Content, Form, Judge, key_number};
pub use dispatch::Dispatch;
pub use intake::{Intake, Taken};
pub use live::Live;
pub use memory::{Budget, Lease};
pub use news::{Backend, News, Order};
pub use node::{Gauges, Node};
pub use report::Reports;

/// The most bytes of a body, either way.
pub const BODY_LIMIT: usize = 64 * 1024;
/// What a connection may buffer. For HTTP no head is longer; the least that hyper allows.
pub const READ_BUFFER: usize = 8 * 1024;
/// A probe that is not answered by then tells nothing that is still true.
pub const PROBE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(250);

/// What reaches the node.
pub enum Message {
    /// A request that a front has taken.
    Request(Box<Taken>),
    /// A client has left before its answer.
    ClientGone(hillpick::RequestId),
    /// An attempt has ended.
    Attempt(Ended),
    /// A probe has ended.
    Probe(ProbeEnded),
    /// News of the list of backends.
    List(News),
    /// The settings have changed.
    Settings(std::rc::Rc<hillpick::settings::Site>),
    /// Somebody asks how many backends are listed, and how many of them are avoided.
    View(tokio::sync::oneshot::Sender<sillward_metrics::View>),
}

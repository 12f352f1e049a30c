//! The node's middle, which knows no protocol and opens no socket. Fronts turn bytes into a [`Call`] and an
//! [`Answer`] into bytes; backend protocols ([`Backends`]) turn an [`Attempt`] into bytes and what comes back
//! into an outcome. Between them stands the [`Node`]: the only owner of the decision module and of the request
//! table. A further protocol needs no change here.
#![forbid(unsafe_code)]

mod attempt;
mod call;
mod dispatch;
mod flow;
mod intake;
mod live;
mod memory;
mod news;
mod node;
mod report;
mod witness;

pub use attempt::{Attempt, Backends, Ended, Exchanged, ProbeEnded, Started, Stop, Task, run};
pub use call::{Answer, Call, Content, Form, Here, Judge, key_number};
pub use dispatch::Dispatch;
pub use flow::{Broken, Coming, Feed, Flow, Rest};
pub use intake::{Intake, Taken};
pub use live::{Lapse, Live};
pub use memory::{Budget, Lease};
pub use news::{Backend, News, Order};
pub use node::{Gauges, Node};
pub use report::Reports;
pub use witness::Witness;

/// The most bytes of a body, either way.
pub const BODY_LIMIT: u64 = 32 << 20;
/// Up to so many bytes an answer is read whole before it goes on, so that a broken one is an outcome and no half answer.
pub const WHOLE_ANSWER: usize = 64 * 1024;
/// Up to so many bytes a request's body is read whole before it goes on, and kept: so long it can be sent again.
pub const KEPT_BODY: usize = 256 * 1024;
/// What a connection may buffer. For HTTP no head is longer; the least that hyper allows.
pub const READ_BUFFER: usize = 8 * 1024;
/// A probe that is not answered by then tells nothing that is still true.
pub const PROBE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(250);

/// What reaches the node.
pub enum Message {
    /// A request that a front has taken.
    Request(Box<Taken>),
    /// A client has left before its answer.
    ClientGone(sillward_balancer::RequestId),
    /// The last byte of a request has come whose body went on while it came: at that time.
    Arrived(sillward_balancer::RequestId, std::time::Duration),
    /// The first bytes of a long answer are there.
    Started(Started),
    /// An attempt has ended.
    Attempt(Ended),
    /// A probe has ended.
    Probe(ProbeEnded),
    /// News of the list of backends.
    List(News),
    /// The settings have changed; the generation, where a [`Lapse`] says whether they may be acted on.
    Settings(
        std::rc::Rc<sillward_balancer::settings::PlatformSettings>,
        u64,
    ),
    /// Somebody asks how many backends are listed, and how many of them are avoided.
    View(tokio::sync::oneshot::Sender<sillward_metrics::EndpointGauges>),
}

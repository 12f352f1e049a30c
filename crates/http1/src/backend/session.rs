//! HTTP/1.1 sessions on connections to backends.

use crate::hyper_io::HyperIo;
use crate::outgoing_body::{OutgoingBody, WriteProgress};
use hyper::client::conn::http1::{self, SendRequest};
use sillward_forwarding::READ_BUFFER_BYTES;
use sillward_pool::ConnectionProtocol;
use sillward_runtime::Stream;
use sillward_runtime::task::{AbortHandle, spawn_local};
use std::io;
use std::rc::Rc;

/// HTTP/1.1 as a protocol of the connection pool.
pub struct Http1;

/// An HTTP/1.1 session, which carries one request at a time. Dropping it closes the connection.
pub struct Session {
    pub(super) sender: SendRequest<OutgoingBody>,
    /// The write progress of the current request.
    pub(super) progress: Rc<WriteProgress>,
    task: AbortHandle,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ConnectionProtocol for Http1 {
    type Session = Session;

    async fn handshake(&self, stream: Stream) -> io::Result<Session> {
        let progress = Rc::<WriteProgress>::default();
        let io = HyperIo::observed(stream, progress.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let task = spawn_local(async move {
            let _ = connection.await; // errors are reported by the request on the connection
        });
        Ok(Session {
            sender,
            progress,
            task: task.abort_handle(),
        })
    }

    fn is_closed(session: &Session) -> bool {
        session.sender.is_closed()
    }
}

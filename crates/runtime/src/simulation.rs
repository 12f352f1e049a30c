//! What can take the place of the system: a simulated world with its own time, sockets and network.
//!
//! The program never makes one; `testing/simulation` does. Without one, the cost is a look at a thread-local, only where
//! something is opened or started.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A simulated connection, as the kernel shows one. Dropping it closes it.
pub trait Socket {
    /// Reads what is available, at most the length of `buffer`; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection is broken.
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>>;

    /// Accepts as many of these bytes as fit, and returns how many.
    ///
    /// # Errors
    /// The connection is broken; none of these bytes were accepted.
    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>>;

    /// Closes the sending side.
    ///
    /// # Errors
    /// The connection is closed already.
    fn shutdown_write(&self) -> io::Result<()>;

    /// Whether it is open and has nothing to read.
    fn read_would_block(&self) -> bool;

    /// Whether the peer has closed its sending side or reset the connection, as far as can be seen without reading.
    fn has_peer_closed(&self) -> bool;

    /// Limits the bytes that are accepted before the peer has received them.
    fn set_send_buffer_size(&self, bytes: usize);
}

/// A simulated listener.
pub trait Listener {
    /// The next connection and its peer's address.
    ///
    /// # Errors
    /// Out of descriptors.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(Box<dyn Socket>, SocketAddr)>>;

    /// The address it listens at.
    fn address(&self) -> SocketAddr;
}

/// The bytes of a datagram and its sender's address.
pub type Datagram = (Vec<u8>, SocketAddr);

/// A simulated socket for datagrams.
pub trait DatagramSocket {
    /// The next datagram, at most `max_bytes` of it.
    fn poll_receive(&self, cx: &mut Context<'_>, max_bytes: usize) -> Poll<io::Result<Datagram>>;

    /// Sends a datagram, which may be lost.
    ///
    /// # Errors
    /// There is no route to that address.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// The address it receives at.
    fn address(&self) -> SocketAddr;
}

/// A connection that is being opened.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn Socket>>>>>;

/// A simulated world, as one machine sees it.
pub trait SimulatedMachine {
    /// The time of day, since 1970.
    fn unix_time(&self) -> Duration;

    /// Opens a connection.
    fn connect(&self, address: SocketAddr) -> ConnectFuture;

    /// Listens for connections.
    ///
    /// # Errors
    /// The address is in use, or there is no descriptor left.
    fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>>;

    /// Opens a socket for datagrams.
    ///
    /// # Errors
    /// The address is in use, or there is no descriptor left.
    fn bind_udp(&self, address: SocketAddr) -> io::Result<Box<dyn DatagramSocket>>;

    /// The bytes of a file of this machine; `None` if it does not exist.
    fn read_file(&self, path: &Path) -> Option<Vec<u8>>;

    /// Replaces a file of this machine.
    ///
    /// # Errors
    /// The disk has failed.
    fn write_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// A number that differs from process to process.
    fn entropy(&self) -> u64;

    /// Called when a task was started.
    fn task_started(&self);

    /// Called when a task has ended or was dropped.
    fn task_ended(&self);

    /// Called with a line of the log.
    fn log_line(&self, line: &str);
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<dyn SimulatedMachine>>> = const { RefCell::new(None) };
}

/// The world of this thread just now; `None` for the system.
pub fn current() -> Option<Rc<dyn SimulatedMachine>> {
    CURRENT.with(|current| current.borrow().clone())
}

/// Runs `act` within a machine.
pub fn within<T>(machine: &Rc<dyn SimulatedMachine>, act: impl FnOnce() -> T) -> T {
    let previous = CURRENT.with(|current| current.replace(Some(machine.clone())));
    let _restore = RestoreOnDrop(previous);
    act()
}

/// Restores the previous world, also when the code within panics.
struct RestoreOnDrop(Option<Rc<dyn SimulatedMachine>>);

impl Drop for RestoreOnDrop {
    fn drop(&mut self) {
        let previous = self.0.take();
        CURRENT.with(|current| drop(current.replace(previous)));
    }
}

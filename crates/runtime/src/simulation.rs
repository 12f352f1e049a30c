//! The interface of a simulation, which can replace the operating system with its own time, sockets, files and network.
//!
//! The program never creates one; `testing/simulation` does. Without a simulation, the cost is a lookup of a thread-local
//! variable, only where something is opened or started.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A simulated TCP connection, which behaves like a kernel's. Dropping it closes it.
pub trait Socket {
    /// Reads what is available, at most the length of `buffer`; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection has failed.
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>>;

    /// Accepts as many of these bytes as fit, and returns their number.
    ///
    /// # Errors
    /// The connection has failed; none of these bytes were accepted.
    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>>;

    /// Closes the sending side.
    ///
    /// # Errors
    /// The connection is closed already.
    fn shutdown_write(&self) -> io::Result<()>;

    /// Whether the connection is open and has nothing to read.
    fn read_would_block(&self) -> bool;

    /// Whether the peer has closed its sending side or reset the connection, as far as can be detected
    /// without reading.
    fn has_peer_closed(&self) -> bool;

    /// Sets the limit for bytes that are accepted before the peer has received them.
    fn set_send_buffer_size(&self, bytes: usize);
}

/// A simulated TCP listener.
pub trait Listener {
    /// The next connection and its peer's address.
    ///
    /// # Errors
    /// There is no file descriptor left.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(Box<dyn Socket>, SocketAddr)>>;

    /// The address at which it listens.
    fn address(&self) -> SocketAddr;
}

/// The bytes of a datagram and its sender's address.
pub type Datagram = (Vec<u8>, SocketAddr);

/// A simulated UDP socket.
pub trait DatagramSocket {
    /// The next datagram, at most `max_bytes` of it.
    fn poll_receive(&self, cx: &mut Context<'_>, max_bytes: usize) -> Poll<io::Result<Datagram>>;

    /// Sends a datagram, which may be lost.
    ///
    /// # Errors
    /// There is no route to that address.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// The address at which it receives.
    fn address(&self) -> SocketAddr;
}

/// A connection that is being opened.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn Socket>>>>>;

/// A machine of a simulation.
pub trait SimulatedMachine {
    /// The machine's system time, since the Unix epoch.
    fn unix_time(&self) -> Duration;

    /// Opens a connection.
    fn connect(&self, address: SocketAddr) -> ConnectFuture;

    /// Listens for connections.
    ///
    /// # Errors
    /// The address is in use, or there is no file descriptor left.
    fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>>;

    /// Opens a UDP socket.
    ///
    /// # Errors
    /// The address is in use, or there is no file descriptor left.
    fn bind_udp(&self, address: SocketAddr) -> io::Result<Box<dyn DatagramSocket>>;

    /// The contents of a file of this machine; `None` if it does not exist.
    fn read_file(&self, path: &Path) -> Option<Vec<u8>>;

    /// Replaces a file of this machine.
    ///
    /// # Errors
    /// The disk has failed.
    fn write_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// A number that differs from process to process.
    fn entropy(&self) -> u64;

    /// Called when a task has started.
    fn task_started(&self);

    /// Called when a task has ended or was dropped.
    fn task_ended(&self);

    /// Called with a log line.
    fn log_line(&self, line: &str);
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<dyn SimulatedMachine>>> = const { RefCell::new(None) };
}

/// The simulated machine on which this thread currently runs; `None` on the operating system.
pub fn current() -> Option<Rc<dyn SimulatedMachine>> {
    CURRENT.with(|current| current.borrow().clone())
}

/// Runs `act` on a simulated machine.
pub fn within<T>(machine: &Rc<dyn SimulatedMachine>, act: impl FnOnce() -> T) -> T {
    let previous = CURRENT.with(|current| current.replace(Some(machine.clone())));
    let _restore = RestoreOnDrop(previous);
    act()
}

/// Restores the previous machine, also if `act` panics.
struct RestoreOnDrop(Option<Rc<dyn SimulatedMachine>>);

impl Drop for RestoreOnDrop {
    fn drop(&mut self) {
        let previous = self.0.take();
        CURRENT.with(|current| drop(current.replace(previous)));
    }
}

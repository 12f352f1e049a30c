//! What may stand beneath in place of the system: a world of its own with time, sockets and a network. The program
//! never makes one; `testing/simulation` does. Where none stands, nothing but a look at a thread-local is paid, and that
//! only where something is opened or started.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A connection of that world, as the kernel would show it. Dropped, it closes.
pub trait Socket {
    /// Reads what is there, at most `to`'s length; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection is broken.
    fn poll_read(&self, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>>;
    /// Takes as many of these bytes as there is room for, and says how many.
    ///
    /// # Errors
    /// The connection is broken; none of these bytes were taken.
    fn poll_write(&self, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>>;
    /// Says to the peer that nothing more will come.
    ///
    /// # Errors
    /// The connection is closed already.
    fn shut_write(&self) -> io::Result<()>;
    /// Whether it is open and has nothing to read.
    fn is_quiet(&self) -> bool;
    /// Whether the peer has ended its sending or reset the connection, as far as it shows without reading.
    fn has_ended(&self) -> bool;
    /// Bounds the bytes that are taken before the peer takes them.
    fn bound_unsent(&self, bytes: usize);
}

/// A listener of that world.
pub trait Listener {
    /// The next connection and where it comes from.
    ///
    /// # Errors
    /// There is no descriptor left for it.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(Box<dyn Socket>, SocketAddr)>>;
    /// Where it listens.
    fn address(&self) -> SocketAddr;
}

/// A datagram's bytes and where they come from.
pub type Datagram = (Vec<u8>, SocketAddr);

/// A socket for datagrams of that world.
pub trait Datagrams {
    /// The next datagram, at most `most` bytes of it.
    fn poll_receive(&self, cx: &mut Context<'_>, most: usize) -> Poll<io::Result<Datagram>>;
    /// Sends one, which may never get there.
    ///
    /// # Errors
    /// There is no way there.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
    /// Where it receives.
    fn address(&self) -> SocketAddr;
}

/// A dial under way.
pub type Dial = Pin<Box<dyn Future<Output = io::Result<Box<dyn Socket>>>>>;

/// The world outside, as one machine sees it.
pub trait World {
    /// The time of day, as the time since 1970.
    fn unix(&self) -> Duration;
    /// Opens a connection.
    fn dial(&self, to: SocketAddr) -> Dial;
    /// Listens.
    ///
    /// # Errors
    /// Somebody does already, or there is no descriptor left.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;
    /// Opens a socket for datagrams.
    ///
    /// # Errors
    /// Somebody has that address, or there is no descriptor left.
    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>>;
    /// What a file of this machine holds; `None` if it is not there.
    fn file(&self, path: &Path) -> Option<Vec<u8>>;
    /// Keeps a file of this machine.
    ///
    /// # Errors
    /// The disk is at fault.
    fn keep(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// A number that differs from process to process.
    fn entropy(&self) -> u64;
    /// A task has been started.
    fn started(&self);
    /// A task has ended, or was dropped.
    fn ended(&self);
    /// A line of the log.
    fn logged(&self, line: &str);
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<dyn World>>> = const { RefCell::new(None) };
}

/// The world that stands beneath just now.
pub fn current() -> Option<Rc<dyn World>> {
    CURRENT.with(|current| current.borrow().clone())
}

/// Puts a world beneath for as long as `act` runs.
pub fn within<T>(world: &Rc<dyn World>, act: impl FnOnce() -> T) -> T {
    /// Puts back what stood there, also when `act` panics.
    struct Back(Option<Rc<dyn World>>);
    impl Drop for Back {
        fn drop(&mut self) {
            let before = self.0.take();
            CURRENT.with(|current| drop(current.replace(before)));
        }
    }
    let _back = Back(CURRENT.with(|current| current.replace(Some(world.clone()))));
    act()
}

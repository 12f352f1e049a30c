//! A relay before a tally box that sends some frames a second time, to another box: what a node that resends unsafe
//! work would look like on the sockets.

use crate::tally::read_frame;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::spawn;

static FRAMES: AtomicUsize = AtomicUsize::new(0);

/// Relays to `to`, and every twentieth frame that names `method` to `other` too. Returns where it listens.
pub fn start(to: SocketAddr, other: SocketAddr, method: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    spawn(move || {
        for near in listener.incoming().flatten() {
            spawn(move || relay(near, to, other, method));
        }
    });
    address
}

fn relay(mut near: TcpStream, to: SocketAddr, other: SocketAddr, method: &'static str) {
    let Ok(mut far) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(mut back), Ok(mut answers)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    spawn(move || {
        let _ = std::io::copy(&mut answers, &mut back);
        let _ = back.shutdown(Shutdown::Both);
    });
    while let Ok(Some(body)) = read_frame(&mut near) {
        let frame = [&(body.len() as u32).to_be_bytes()[..], &body].concat();
        if far.write_all(&frame).is_err() {
            break;
        }
        let named = body
            .windows(method.len())
            .any(|part| part == method.as_bytes());
        if named && FRAMES.fetch_add(1, Ordering::SeqCst) % 20 == 19 {
            let again = TcpStream::connect(other).and_then(|mut other| {
                other.write_all(&frame)?;
                read_frame(&mut other)
            });
            drop(again);
        }
    }
    let _ = far.shutdown(Shutdown::Both);
}

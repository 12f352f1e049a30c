//! A reserved port stays with whoever reserved it.

use sillward_test_servers::reserved_port::ReservedPort;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};

/// Many enough that a port which is merely free is assigned again, now and then.
const LISTENERS: usize = 4_000;

/// Guards against a test whose dead backend is another test's live one.
#[test]
fn connections_are_refused_and_the_port_is_assigned_to_no_other_listener() {
    let reserved = ReservedPort::new();
    for _ in 0..LISTENERS {
        let other = TcpListener::bind("127.0.0.1:0").expect("a port");
        assert_ne!(other.local_addr().expect("its address"), reserved.address());
    }
    let refused = TcpStream::connect(reserved.address()).expect_err("nobody listens");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
}

/// Guards against a process that can't listen at the port that was reserved for it.
#[test]
fn a_listener_that_names_the_port_gets_its_connections() {
    let reserved = ReservedPort::new();
    let listener = TcpListener::bind(reserved.address()).expect("the reserved port");
    let client = TcpStream::connect(reserved.address()).expect("a connection");
    let (_, peer) = listener.accept().expect("that connection");
    assert_eq!(peer, client.local_addr().expect("its address"));
}

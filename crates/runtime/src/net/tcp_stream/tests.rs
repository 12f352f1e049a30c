//! Socket options.

use super::{Inner, TcpStream};
use crate::net::TcpListener;
use std::io;

fn has_nodelay(stream: &TcpStream) -> bool {
    match &stream.0 {
        Inner::System(stream) => stream.nodelay().expect("read TCP_NODELAY"),
        Inner::Simulated(_) => panic!("this test runs without a simulation"),
    }
}

/// Regression test: small writes that the kernel delays are lost when the connection is reset.
#[test]
fn tcp_nodelay_is_set_on_opened_and_accepted_connections() {
    let opened = crate::task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("a valid address")).await?;
        let connected = TcpStream::connect(listener.local_addr()?).await?;
        let (accepted, _) = listener.accept().await?;
        io::Result::Ok((has_nodelay(&connected), has_nodelay(&accepted)))
    });
    assert_eq!(
        opened.expect("start the runtime").expect("connect"),
        (true, true)
    );
}

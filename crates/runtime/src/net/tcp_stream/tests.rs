//! Options of the system's sockets.

use super::{Inner, TcpStream};
use crate::net::TcpListener;
use std::io;

fn has_nodelay(stream: &TcpStream) -> bool {
    match &stream.0 {
        Inner::System(stream) => stream.nodelay().expect("the option"),
        Inner::Simulated(_) => panic!("there is no simulated world"),
    }
}

/// Regression: small writes that the system holds back are lost when the connection is reset.
#[test]
fn sends_without_delay_whichever_side_opened_the_connection() {
    let opened = crate::task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("an address")).await?;
        let connected = TcpStream::connect(listener.local_addr()?).await?;
        let (accepted, _) = listener.accept().await?;
        io::Result::Ok((has_nodelay(&connected), has_nodelay(&accepted)))
    });
    assert_eq!(opened.expect("a runtime").expect("two ends"), (true, true));
}

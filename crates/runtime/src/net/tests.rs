//! What the system's sockets are set to.

use super::*;

fn is_prompt(stream: &TcpStream) -> bool {
    match &stream.0 {
        Stands::System(stream) => stream.nodelay().expect("the option"),
        Stands::World(_) => panic!("no world stands beneath"),
    }
}

/// Small writes that the system holds back go with a connection that is reset.
#[test]
fn a_connection_sends_without_delay_whichever_side_opened_it() {
    let opened = crate::task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("an address")).await?;
        let dialled = TcpStream::connect(listener.local_addr()?).await?;
        let (accepted, _) = listener.accept().await?;
        io::Result::Ok((is_prompt(&dialled), is_prompt(&accepted)))
    });
    assert_eq!(opened.expect("a runtime").expect("two ends"), (true, true));
}

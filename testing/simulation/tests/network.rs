//! The simulated network behaves as the kernel's: order, limits, ends and resets.

use sillward_runtime::time::timeout;
use sillward_simulation::net::{Host, Net, Socket};
use sillward_simulation::trace::Trace;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

const AT: ([u8; 4], u16) = ([127, 9, 0, 1], 80);

/// Two machines, and a listener with a queue of two.
fn on(
    seed: u64,
    test: impl AsyncFnOnce(Net, Host, Host, sillward_simulation::net::Listener),
) -> u64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("a runtime");
    let tasks = LocalSet::new();
    let hash = tasks.block_on(&runtime, async {
        let trace = Rc::new(Trace::new(false));
        let net = Net::new(seed, trace.clone());
        spawn_local(net.clone().drive());
        let (here, there) = (net.machine("here", 0, 8), net.machine("there", 1, 8));
        let listener = net.listen(there, AT.into(), 2).expect("free");
        test(net, here, there, listener).await;
        trace.hash()
    });
    runtime.block_on(async { drop(tasks) });
    hash
}

async fn pair(
    net: &Net,
    here: Host,
    listener: &sillward_simulation::net::Listener,
) -> (Socket, Socket) {
    let near = net.dial(here, SocketAddr::from(AT)).await.expect("up");
    (near, listener.accept().await.expect("a descriptor"))
}

async fn all(socket: &Socket) -> (Vec<u8>, Result<(), ErrorKind>) {
    let (mut whole, mut chunk) = (Vec::new(), [0; 700]);
    loop {
        match socket.read(&mut chunk).await {
            Ok(0) => return (whole, Ok(())),
            Ok(count) => whole.extend_from_slice(&chunk[..count]),
            Err(e) => return (whole, Err(e.kind())),
        }
    }
}

#[test]
fn bytes_come_in_order_and_whole_and_a_writer_waits_for_room() {
    let sent: Vec<u8> = (0..400_000u32).map(|n| (n % 251) as u8).collect();
    let hashes: Vec<u64> = (0..2)
        .map(|_| {
            let sent = sent.clone();
            on(7, async move |net, here, _, listener| {
                let (near, far) = pair(&net, here, &listener).await;
                let waits = timeout(Duration::from_secs(5), near.write_all(&sent));
                assert!(waits.await.is_err(), "nobody reads: there is room for less");
                let (near, far) = {
                    drop((near, far));
                    pair(&net, here, &listener).await
                };
                let writes = sent.clone();
                spawn_local(async move { near.write_all(&writes).await });
                let (got, end) = all(&far).await;
                assert_eq!((got.len(), end), (sent.len(), Ok(())));
                assert!(got == sent, "in another order");
            })
        })
        .collect();
    assert_eq!(hashes[0], hashes[1]);
}

#[test]
fn what_is_closed_with_bytes_unread_resets_its_peer_and_otherwise_ends() {
    on(1, async |net, here, _, listener| {
        let (near, far) = pair(&net, here, &listener).await;
        drop(far);
        assert_eq!(all(&near).await, (Vec::new(), Ok(())));
        let (near, far) = pair(&net, here, &listener).await;
        near.write_all(b"unread").await.expect("room");
        tokio::time::sleep(Duration::from_millis(10)).await;
        drop(far);
        assert_eq!(all(&near).await.1, Err(ErrorKind::ConnectionReset));
        // What comes to a closed end is answered with a reset.
        let (near, far) = pair(&net, here, &listener).await;
        drop(far);
        tokio::time::sleep(Duration::from_millis(10)).await;
        near.write_all(b"late").await.expect("the end is no reset");
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(
            near.write_all(b"more").await.map_err(|e| e.kind()),
            Err(ErrorKind::ConnectionReset)
        );
    });
}

#[test]
fn a_process_that_dies_resets_and_a_machine_that_falls_silent_says_nothing() {
    on(2, async |net, here, there, listener| {
        let (near, far) = pair(&net, here, &listener).await;
        net.with(there, |machine| machine.dying = true);
        drop(far);
        assert_eq!(all(&near).await.1, Err(ErrorKind::ConnectionReset));
        net.with(there, |machine| machine.dying = false);
        let (near, far) = pair(&net, here, &listener).await;
        net.silence(there, net.now() + Duration::from_secs(9));
        far.write_all(b"x").await.expect("the kernel takes it");
        drop(far);
        let heard = timeout(Duration::from_secs(8), all(&near)).await;
        assert!(heard.is_err(), "something came from a silent machine");
        assert_eq!(
            all(&near).await,
            (b"x".to_vec(), Ok(())),
            "it is sent again once that is over"
        );
    });
}

#[test]
fn dials_are_refused_wait_for_the_queue_or_are_never_answered() {
    on(3, async |net, here, there, listener| {
        let nowhere = net.dial(here, ([127, 9, 0, 2], 80).into()).await;
        assert_eq!(
            nowhere.err().map(|e| e.kind()),
            Some(ErrorKind::ConnectionRefused)
        );
        let first = net.dial(here, AT.into()).await.expect("up");
        let second = net.dial(here, AT.into()).await.expect("up");
        let began = net.now();
        let mut third = Box::pin(net.dial(here, AT.into()));
        assert!(
            timeout(Duration::from_millis(900), &mut third)
                .await
                .is_err(),
            "the queue holds two"
        );
        let taken = listener.accept().await.expect("a descriptor");
        let third = third.await.expect("there is room now");
        assert!(
            net.now() - began >= Duration::from_secs(1),
            "it is tried again after a second"
        );
        drop((first, second, third, taken));
        net.with(there, |machine| machine.deaf_until = Some(Duration::MAX));
        let deaf = timeout(Duration::from_secs(60), net.dial(here, AT.into())).await;
        assert!(deaf.is_err(), "a dial that nobody hears is never answered");
    });
}

#[test]
fn descriptors_are_bounded_on_both_sides_and_come_back() {
    on(4, async |net, here, there, listener| {
        net.with(here, |machine| machine.descriptors = 1);
        let first = net.dial(here, AT.into()).await.expect("one is left");
        let more = net.dial(here, AT.into()).await;
        assert_eq!(more.err().and_then(|e| e.raw_os_error()), Some(24));
        drop(first);
        let again = net.dial(here, AT.into()).await.expect("it came back");
        net.with(there, |machine| machine.descriptors = 1); // the listener's own
        assert_eq!(
            listener.accept().await.err().and_then(|e| e.raw_os_error()),
            Some(24)
        );
        drop((again, listener));
        assert_eq!(
            net.with(here, |machine| machine.open) + net.with(there, |machine| machine.open),
            0
        );
    });
}

#[test]
fn a_cut_breaks_both_ends_at_any_byte() {
    let mut lengths = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let (tell, told) = std::sync::mpsc::channel();
        on(seed, async move |net, here, there, listener| {
            net.cuts(there, 1000, Duration::MAX);
            let (near, far) = pair(&net, here, &listener).await;
            let _ = near.write_all(&[7; 1000]).await;
            let (got, end) = all(&far).await;
            assert_eq!(end, Err(ErrorKind::ConnectionReset));
            assert!(got.len() < 1000 && got.iter().all(|byte| *byte == 7));
            assert!(near.is_spoilt());
            tell.send(got.len()).expect("a listener");
        });
        lengths.insert(told.recv().expect("a length"));
    }
    assert!(lengths.len() > 5, "always at the same byte: {lengths:?}");
}

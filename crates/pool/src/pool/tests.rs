//! Acquiring, dialling and releasing connections.

use super::{Pool, REUSE_DELAY};
use crate::{ConnectionLimit, ConnectionProtocol, PoolTimeouts};
use sillward_balancer::{Endpoint, EndpointUpdate, Outcome, ServerId, ServerState};
use sillward_forwarding::{Backend, BackendUpdate};
use sillward_runtime::net::TcpListener;
use sillward_runtime::task::{block_on, yield_now};
use sillward_runtime::time::sleep;
use sillward_runtime::{Clock, Stream};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

const SERVER: ServerId = ServerId(1);

/// Numbers the connections.
#[derive(Default)]
struct NumberedSessions(Cell<usize>);

impl ConnectionProtocol for NumberedSessions {
    type Session = (usize, Stream);

    async fn handshake(&self, stream: Stream) -> io::Result<Self::Session> {
        self.0.set(self.0.get() + 1);
        Ok((self.0.get(), stream))
    }

    fn is_closed(_: &Self::Session) -> bool {
        false
    }
}

/// Completes a handshake each time it is notified.
#[derive(Default)]
struct DelayedHandshake(tokio::sync::Notify);

impl ConnectionProtocol for DelayedHandshake {
    type Session = Stream;

    async fn handshake(&self, stream: Stream) -> io::Result<Self::Session> {
        self.0.notified().await;
        Ok(stream)
    }

    fn is_closed(_: &Self::Session) -> bool {
        false
    }
}

/// Runs a test on a pool with one backend, which listens.
fn with_pool(test: impl AsyncFnOnce(Rc<Pool<NumberedSessions>>, TcpListener)) {
    with_pool_of(
        NumberedSessions::default(),
        Duration::from_secs(60),
        10,
        test,
    );
}

fn with_pool_of<P: ConnectionProtocol>(
    protocol: P,
    connect_timeout: Duration,
    max_connections: usize,
    test: impl AsyncFnOnce(Rc<Pool<P>>, TcpListener),
) {
    block_on(async {
        let listener = TcpListener::bind(([127, 0, 0, 1], 0).into())
            .await
            .expect("a port");
        let idle_timeout = Duration::from_secs(60);
        let terms = PoolTimeouts {
            idle_timeout,
            connect_timeout,
            drain_grace: Duration::ZERO,
        };
        let pool = Pool::start(
            Clock::start(),
            protocol,
            terms,
            ConnectionLimit::new(max_connections),
        );
        let entry = Endpoint {
            id: SERVER,
            state: ServerState::Ready,
            ..Endpoint::default()
        };
        let backend = Backend {
            endpoint: entry,
            address: listener.local_addr().expect("its address"),
        };
        let news = BackendUpdate {
            kind: EndpointUpdate::Full,
            backends: vec![backend],
        };
        pool.update_backends(&news, pool.clock.now());
        test(pool, listener).await;
    })
    .expect("a runtime");
}

/// How many connections to the backend are idle in the pool.
fn idle_count<P: ConnectionProtocol>(pool: &Pool<P>) -> usize {
    pool.backends
        .borrow()
        .get(&SERVER)
        .map_or(0, |backend| backend.idle_count())
}

#[test]
fn uses_a_released_connection_while_dialling_and_keeps_the_dialled_one() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let released = first.session.0;
        let mut second = std::pin::pin!(pool.acquire(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial has not been up yet"),
            () = std::future::ready(()) => pool.release_unused(first),
        }
        let taken = second.await.expect("a connection");
        assert_eq!(taken.session.0, released);
        while idle_count(&pool) == 0 {
            yield_now().await;
        }
        let late = pool.acquire(SERVER).await.expect("a connection");
        assert_ne!(late.session.0, released);
        assert_eq!(pool.limit.open(), 2, "there was no further dial");
    });
}

#[test]
fn serves_a_later_request_with_a_dial_that_came_up_late() {
    with_pool_of(
        DelayedHandshake::default(),
        Duration::from_millis(30),
        10,
        async |pool, _listener| {
            assert_eq!(
                pool.acquire(SERVER).await.err(),
                Some(Outcome::ConnectFailed)
            );
            assert_eq!(pool.limit.open(), 1, "it may still come up");
            pool.protocol.0.notify_one();
            while idle_count(&pool) == 0 {
                yield_now().await;
            }
            assert!(pool.acquire(SERVER).await.is_ok());
        },
    );
}

#[test]
fn abandons_a_dial_that_never_comes_up_or_when_descriptors_run_short() {
    for max_connections in [10, 1] {
        with_pool_of(
            DelayedHandshake::default(),
            Duration::from_millis(10),
            max_connections,
            async |pool, _listener| {
                assert_eq!(
                    pool.acquire(SERVER).await.err(),
                    Some(Outcome::ConnectFailed)
                );
                if max_connections == 1 {
                    // At the next poll, not after the rest of its time.
                    yield_now().await;
                    assert_eq!(pool.limit.open(), 0);
                }
                while pool.limit.open() > 0 {
                    sleep(Duration::from_millis(5)).await;
                }
                assert_eq!(idle_count(&pool), 0);
            },
        );
    }
}

/// Regression: the runtime has not polled since the bytes were received, so that only the kernel knows of them.
#[test]
fn does_not_reuse_a_connection_with_bytes_after_its_response() {
    with_pool(async |pool, listener| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("the dial");
        let (backend, _) = Stream::new(stream);
        // Writable from now on: the write below does not wait for the runtime.
        backend.write(&[]).await.expect("a node");
        let used = first.session.0;
        // The first poll is before the bytes are written, and sees nothing.
        yield_now().await;
        pool.release(first);
        assert_eq!(idle_count(&pool), 1);
        backend
            .write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .await
            .expect("a node");
        let next = pool.acquire(SERVER).await.expect("a connection");
        assert_ne!(next.session.0, used);
    });
}

#[test]
fn returns_a_connection_that_was_delivered_to_a_cancelled_waiter() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let released = first.session.0;
        let mut second = Box::pin(pool.acquire(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial has not been up yet"),
            () = std::future::ready(()) => pool.release_unused(first),
        }
        assert_eq!(idle_count(&pool), 0);
        drop(second);
        assert_eq!(idle_count(&pool), 1);
        assert_eq!(
            pool.acquire(SERVER).await.ok().map(|back| back.session.0),
            Some(released)
        );
    });
}

#[test]
fn delays_reuse_after_a_response_and_waits_for_it() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let used = first.session.0;
        let answered = pool.clock.now();
        pool.release(first);
        let again = pool.acquire(SERVER).await.expect("a connection");
        assert_eq!(
            (again.session.0, pool.limit.open()),
            (used, 1),
            "it costs no handshake"
        );
        assert!(
            pool.clock.now() >= answered + REUSE_DELAY,
            "a late second response would be read as the next one"
        );
        // An unused connection is reusable at once.
        let unsent = pool.clock.now();
        pool.release_unused(again);
        assert!(pool.acquire(SERVER).await.is_ok() && pool.clock.now() < unsent + REUSE_DELAY);
    });
}

#[test]
fn hedges_a_slow_dial_with_one_other() {
    with_pool_of(
        DelayedHandshake::default(),
        Duration::from_millis(900),
        10,
        async |pool, _listener| {
            for _ in 0..12 {
                pool.protocol.0.notify_one();
                drop(pool.acquire(SERVER).await.expect("a connection"));
            }
            assert_eq!(pool.limit.open(), 0);
            let mut taking = Box::pin(pool.acquire(SERVER));
            let mut most = 0;
            let beside = async {
                while pool.limit.open() < 2 {
                    sleep(Duration::from_millis(1)).await;
                }
            };
            tokio::select! {
                biased;
                _ = &mut taking => panic!("no dial has been up yet"),
                () = beside => most = most.max(pool.limit.open()),
            }
            assert_eq!(most, 2);
            pool.protocol.0.notify_one();
            let taken = taking.await;
            assert!(taken.is_ok() && pool.limit.open() == 2);
            // The other one comes up late, and serves a later request.
            pool.protocol.0.notify_one();
            while idle_count(&pool) == 0 {
                yield_now().await;
            }
        },
    );
}

#[test]
fn uses_a_released_connection_while_dialling_after_the_reuse_delay() {
    with_pool_of(
        DelayedHandshake::default(),
        Duration::from_secs(60),
        10,
        async |pool, _listener| {
            pool.protocol.0.notify_one();
            let first = pool.acquire(SERVER).await.expect("a connection");
            let mut second = Box::pin(pool.acquire(SERVER));
            let answered = pool.clock.now();
            tokio::select! {
                biased;
                _ = &mut second => panic!("the dial has not been up yet"),
                () = std::future::ready(()) => pool.release(first),
            }
            assert!(second.await.is_ok(), "the dial never comes up");
            assert!(pool.clock.now() >= answered + REUSE_DELAY);
        },
    );
}

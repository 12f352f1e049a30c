//! Tests of acquiring, dialling and releasing connections.

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

/// A protocol whose sessions are numbered in the order of their handshakes.
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

/// A protocol that completes one handshake per notification.
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

/// Runs a test on a pool with one listening backend.
fn with_pool(test: impl AsyncFnOnce(Rc<Pool<NumberedSessions>>, TcpListener)) {
    with_pool_and_protocol(
        NumberedSessions::default(),
        Duration::from_secs(60),
        10,
        test,
    );
}

fn with_pool_and_protocol<P: ConnectionProtocol>(
    protocol: P,
    connect_timeout: Duration,
    max_connections: usize,
    test: impl AsyncFnOnce(Rc<Pool<P>>, TcpListener),
) {
    block_on(async {
        let listener = TcpListener::bind(([127, 0, 0, 1], 0).into())
            .await
            .expect("bind a listener");
        let idle_timeout = Duration::from_secs(60);
        let timeouts = PoolTimeouts {
            idle_timeout,
            connect_timeout,
            drain_grace: Duration::ZERO,
        };
        let pool = Pool::start(
            Clock::start(),
            protocol,
            timeouts,
            ConnectionLimit::new(max_connections),
        );
        let entry = Endpoint {
            id: SERVER,
            state: ServerState::Ready,
            ..Endpoint::default()
        };
        let backend = Backend {
            endpoint: entry,
            address: listener.local_addr().expect("the listener has an address"),
        };
        let update = BackendUpdate {
            kind: EndpointUpdate::Full,
            backends: vec![backend],
        };
        pool.update_backends(&update, pool.clock.now());
        test(pool, listener).await;
    })
    .expect("start a runtime");
}

/// The number of idle connections to the backend in the pool.
fn idle_count<P: ConnectionProtocol>(pool: &Pool<P>) -> usize {
    pool.backends
        .borrow()
        .get(&SERVER)
        .map_or(0, |backend| backend.idle_count())
}

#[test]
fn uses_a_released_connection_while_dialling_and_keeps_the_dialled_connection() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("acquire a connection");
        let released = first.session.0;
        let mut second = std::pin::pin!(pool.acquire(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("acquired before the dial was established"),
            () = std::future::ready(()) => pool.release_unused(first),
        }
        let acquired = second.await.expect("acquire a connection");
        assert_eq!(acquired.session.0, released);
        while idle_count(&pool) == 0 {
            yield_now().await;
        }
        let late = pool.acquire(SERVER).await.expect("acquire a connection");
        assert_ne!(late.session.0, released);
        assert_eq!(pool.limit.open(), 2, "no further connection was dialled");
    });
}

#[test]
fn serves_a_later_request_with_a_connection_established_late() {
    with_pool_and_protocol(
        DelayedHandshake::default(),
        Duration::from_millis(30),
        10,
        async |pool, _listener| {
            assert_eq!(
                pool.acquire(SERVER).await.err(),
                Some(Outcome::ConnectFailed)
            );
            assert_eq!(pool.limit.open(), 1, "the late dial is still in progress");
            pool.protocol.0.notify_one();
            while idle_count(&pool) == 0 {
                yield_now().await;
            }
            assert!(pool.acquire(SERVER).await.is_ok());
        },
    );
}

#[test]
fn abandons_a_dial_that_is_never_established_or_when_connections_are_scarce() {
    for max_connections in [10, 1] {
        with_pool_and_protocol(
            DelayedHandshake::default(),
            Duration::from_millis(10),
            max_connections,
            async |pool, _listener| {
                assert_eq!(
                    pool.acquire(SERVER).await.err(),
                    Some(Outcome::ConnectFailed)
                );
                if max_connections == 1 {
                    // The dial is abandoned at the next poll, not after the timeout for late dials.
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

/// Regression: the bytes are in the socket buffer, but the runtime has not polled the socket since they arrived.
#[test]
fn does_not_reuse_a_connection_with_bytes_after_its_response() {
    with_pool(async |pool, listener| {
        let first = pool.acquire(SERVER).await.expect("acquire a connection");
        let (stream, _) = listener
            .accept()
            .await
            .expect("accept the dialled connection");
        let (backend, _) = Stream::new(stream);
        // The socket is writable after this, so that the write below does not wait for the runtime.
        backend.write(&[]).await.expect("write to the node");
        let used = first.session.0;
        // The runtime polls the socket before the bytes are written, and finds none.
        yield_now().await;
        pool.release(first);
        assert_eq!(idle_count(&pool), 1);
        backend
            .write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .await
            .expect("write to the node");
        let next = pool.acquire(SERVER).await.expect("acquire a connection");
        assert_ne!(next.session.0, used);
    });
}

#[test]
fn returns_a_connection_that_was_delivered_to_a_cancelled_waiter() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("acquire a connection");
        let released = first.session.0;
        let mut second = Box::pin(pool.acquire(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("acquired before the dial was established"),
            () = std::future::ready(()) => pool.release_unused(first),
        }
        assert_eq!(idle_count(&pool), 0);
        drop(second);
        assert_eq!(idle_count(&pool), 1);
        assert_eq!(
            pool.acquire(SERVER)
                .await
                .ok()
                .map(|connection| connection.session.0),
            Some(released)
        );
    });
}

#[test]
fn delays_reuse_after_a_response_and_waits_for_it() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("acquire a connection");
        let used = first.session.0;
        let responded_at = pool.clock.now();
        pool.release(first);
        let again = pool.acquire(SERVER).await.expect("acquire a connection");
        assert_eq!(
            (again.session.0, pool.limit.open()),
            (used, 1),
            "no second handshake is made"
        );
        assert!(
            pool.clock.now() >= responded_at + REUSE_DELAY,
            "a late duplicate response would be read as the next one"
        );
        // An unused connection is reusable immediately.
        let released_at = pool.clock.now();
        pool.release_unused(again);
        assert!(pool.acquire(SERVER).await.is_ok() && pool.clock.now() < released_at + REUSE_DELAY);
    });
}

#[test]
fn hedges_a_slow_dial_with_one_more_dial() {
    with_pool_and_protocol(
        DelayedHandshake::default(),
        Duration::from_millis(900),
        10,
        async |pool, _listener| {
            for _ in 0..12 {
                pool.protocol.0.notify_one();
                drop(pool.acquire(SERVER).await.expect("acquire a connection"));
            }
            assert_eq!(pool.limit.open(), 0);
            let mut acquiring = Box::pin(pool.acquire(SERVER));
            let mut most = 0;
            let hedged = async {
                while pool.limit.open() < 2 {
                    sleep(Duration::from_millis(1)).await;
                }
            };
            tokio::select! {
                biased;
                _ = &mut acquiring => panic!("acquired before any dial was established"),
                () = hedged => most = most.max(pool.limit.open()),
            }
            assert_eq!(most, 2);
            pool.protocol.0.notify_one();
            let acquired = acquiring.await;
            assert!(acquired.is_ok() && pool.limit.open() == 2);
            // The other connection is established late and serves a later request.
            pool.protocol.0.notify_one();
            while idle_count(&pool) == 0 {
                yield_now().await;
            }
        },
    );
}

#[test]
fn uses_a_released_connection_while_dialling_after_the_reuse_delay() {
    with_pool_and_protocol(
        DelayedHandshake::default(),
        Duration::from_secs(60),
        10,
        async |pool, _listener| {
            pool.protocol.0.notify_one();
            let first = pool.acquire(SERVER).await.expect("acquire a connection");
            let mut second = Box::pin(pool.acquire(SERVER));
            let responded_at = pool.clock.now();
            tokio::select! {
                biased;
                _ = &mut second => panic!("acquired before the dial was established"),
                () = std::future::ready(()) => pool.release(first),
            }
            assert!(second.await.is_ok(), "the second dial is never established");
            assert!(pool.clock.now() >= responded_at + REUSE_DELAY);
        },
    );
}

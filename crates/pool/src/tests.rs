use super::*;
use sillward_balancer::Endpoint;
use sillward_runtime::net::TcpListener;
use sillward_runtime::task::{block_on, yield_now};

const SERVER: ServerId = ServerId(1);

/// Carries nothing, and tells connections apart by their number.
#[derive(Default)]
struct Numbered(Cell<usize>);

impl ConnectionProtocol for Numbered {
    type Session = (usize, Stream);

    async fn handshake(&self, stream: Stream) -> io::Result<Self::Session> {
        self.0.set(self.0.get() + 1);
        Ok((self.0.get(), stream))
    }

    fn is_closed(_: &Self::Session) -> bool {
        false
    }
}

/// Makes no connection ready before it is told to.
#[derive(Default)]
struct Late(tokio::sync::Notify);

impl ConnectionProtocol for Late {
    type Session = Stream;

    async fn handshake(&self, stream: Stream) -> io::Result<Self::Session> {
        self.0.notified().await;
        Ok(stream)
    }

    fn is_closed(_: &Self::Session) -> bool {
        false
    }
}

/// A pool that knows one backend, which listens.
fn with_pool(test: impl AsyncFnOnce(Rc<Pool<Numbered>>, TcpListener)) {
    with_pool_of(Numbered::default(), Duration::from_secs(60), 10, test);
}

fn with_pool_of<P: ConnectionProtocol>(
    protocol: P,
    connect_timeout: Duration,
    most: usize,
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
        let pool = Pool::start(Clock::start(), protocol, terms, ConnectionLimit::new(most));
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
fn idle<P: ConnectionProtocol>(pool: &Pool<P>) -> usize {
    pool.places
        .borrow()
        .get(&SERVER)
        .map_or(0, |place| place.idle.len())
}

#[test]
fn who_waits_for_a_dial_takes_what_falls_free_and_the_late_dial_is_kept() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let freed = first.session.0;
        let mut second = std::pin::pin!(pool.acquire(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial has not been up yet"),
            () = std::future::ready(()) => pool.release_unused(first),
        }
        let taken = second.await.expect("a connection");
        assert_eq!(taken.session.0, freed);
        while idle(&pool) == 0 {
            yield_now().await;
        }
        let late = pool.acquire(SERVER).await.expect("a connection");
        assert_ne!(late.session.0, freed);
        assert_eq!(pool.sockets.open.get(), 2, "nothing further was dialled");
    });
}

#[test]
fn a_dial_that_came_too_late_for_who_waited_serves_the_next() {
    with_pool_of(
        Late::default(),
        Duration::from_millis(30),
        10,
        async |pool, _listener| {
            assert_eq!(
                pool.acquire(SERVER).await.err(),
                Some(Outcome::ConnectFailed)
            );
            assert_eq!(pool.sockets.open.get(), 1, "it may yet come");
            pool.protocol.0.notify_one();
            while idle(&pool) == 0 {
                yield_now().await;
            }
            assert!(pool.acquire(SERVER).await.is_ok());
        },
    );
}

#[test]
fn a_dial_that_never_comes_up_and_one_where_descriptors_run_short_are_let_go_of() {
    for most in [10, 1] {
        with_pool_of(
            Late::default(),
            Duration::from_millis(10),
            most,
            async |pool, _listener| {
                assert_eq!(
                    pool.acquire(SERVER).await.err(),
                    Some(Outcome::ConnectFailed)
                );
                if most == 1 {
                    // The next turn, not the rest of its time.
                    yield_now().await;
                    assert_eq!(pool.sockets.open.get(), 0);
                }
                while pool.sockets.open.get() > 0 {
                    sleep(Duration::from_millis(5)).await;
                }
                assert_eq!(idle(&pool), 0);
            },
        );
    }
}

/// Neither the runtime nor hyper have had a turn since the bytes came: only the kernel knows of them.
#[test]
fn a_connection_is_not_used_again_once_something_came_behind_its_answer() {
    with_pool(async |pool, listener| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("the dial");
        let (backend, _) = Stream::new(stream);
        // Known to be writable from now on: what is written below waits for no turn of the runtime.
        backend.write(&[]).await.expect("a node");
        let used = first.session.0;
        // Hyper has its first turn before, and would see nothing.
        yield_now().await;
        pool.release(first);
        assert_eq!(idle(&pool), 1);
        backend
            .write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .await
            .expect("a node");
        let next = pool.acquire(SERVER).await.expect("a connection");
        assert_ne!(next.session.0, used);
    });
}

#[test]
fn a_connection_delivered_to_who_has_left_goes_back_to_the_pool() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let freed = first.session.0;
        let mut second = Box::pin(pool.acquire(SERVER));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial has not been up yet"),
            () = std::future::ready(()) => pool.release_unused(first),
        }
        assert_eq!(idle(&pool), 0);
        drop(second);
        assert_eq!(idle(&pool), 1);
        assert_eq!(
            pool.acquire(SERVER).await.ok().map(|back| back.session.0),
            Some(freed)
        );
    });
}

#[test]
fn a_connection_rests_after_its_answer_and_whoever_needs_it_waits_for_that() {
    with_pool(async |pool, _listener| {
        let first = pool.acquire(SERVER).await.expect("a connection");
        let used = first.session.0;
        let answered = pool.clock.now();
        pool.release(first);
        let again = pool.acquire(SERVER).await.expect("a connection");
        assert_eq!(
            (again.session.0, pool.sockets.open.get()),
            (used, 1),
            "it costs no handshake"
        );
        assert!(
            pool.clock.now() >= answered + REUSE_DELAY,
            "what comes late behind the answer would be read as the next"
        );
        // What carried nothing has nothing to rest from.
        let unsent = pool.clock.now();
        pool.release_unused(again);
        assert!(pool.acquire(SERVER).await.is_ok() && pool.clock.now() < unsent + REUSE_DELAY);
    });
}

#[test]
fn a_dial_that_takes_far_longer_than_usual_has_one_other_beside_it() {
    with_pool_of(
        Late::default(),
        Duration::from_millis(900),
        10,
        async |pool, _listener| {
            for _ in 0..12 {
                pool.protocol.0.notify_one();
                drop(pool.acquire(SERVER).await.expect("a connection"));
            }
            assert_eq!(pool.sockets.open.get(), 0);
            let mut taking = Box::pin(pool.acquire(SERVER));
            let mut most = 0;
            let beside = async {
                while pool.sockets.open.get() < 2 {
                    sleep(Duration::from_millis(1)).await;
                }
            };
            tokio::select! {
                biased;
                _ = &mut taking => panic!("no dial has been up yet"),
                () = beside => most = most.max(pool.sockets.open.get()),
            }
            assert_eq!(most, 2);
            pool.protocol.0.notify_one();
            let taken = taking.await;
            assert!(taken.is_ok() && pool.sockets.open.get() == 2);
            // The other one comes up late, and serves the next.
            pool.protocol.0.notify_one();
            while idle(&pool) == 0 {
                yield_now().await;
            }
        },
    );
}

#[test]
fn who_waits_for_a_dial_takes_what_falls_free_once_that_has_rested() {
    with_pool_of(
        Late::default(),
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

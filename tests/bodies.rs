//! Long bodies, slow peers and all forms of HTTP/1.1, over loopback sockets and byte by byte.

use sillward_scenarios::peers::*;
use sillward_scenarios::raw_backend::{
    self, RawBackend, answer, head, pattern, request, with_length,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const LONG: u64 = 20_000;
const MIB: usize = 1 << 20;

fn serving_raw(backends: &[&RawBackend]) -> (Node, Watch, Discovery) {
    raw_backend::serving_raw(&settings(LONG, ""), backends)
}

fn post(class: &str, framing: &str) -> String {
    format!(
        "POST /{class}/1 HTTP/1.1\r\nHost: s\r\n{}{framing}\r\n",
        common(LONG)
    )
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).expect("the node accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream
}

fn chunked(body: &[u8], size: usize, end: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in body.chunks(size) {
        out.extend_from_slice(format!("{:x};part=\"a;b\"\r\n", chunk.len()).as_bytes());
        out.extend_from_slice(chunk);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(format!("0\r\n{end}\r\n").as_bytes());
    out
}

// ---- Answers ------------------------------------------------------------------------------------

#[test]
fn answers_of_every_length_and_framing_come_unchanged() {
    for length in [0, 1, 64 * 1024, 64 * 1024 + 1, 3 * MIB, 32 * MIB] {
        let body = pattern(length);
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let close = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        let forms = [
            with_length(&body),
            [&head[..], &chunked(&body, 40_000, "X-Sum: 1\r\n")].concat(),
            [&close[..], &body].concat(),
        ];
        for (form, bytes) in forms.into_iter().enumerate() {
            let ends = form == 2;
            let backend = RawBackend::start(move |_, mut stream| {
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                while request(&mut reader).is_some() && stream.write_all(&bytes).is_ok() && !ends {}
            });
            let (node, _watch, _discovery) = serving_raw(&[&backend]);
            for _ in 0..2 {
                let mut client = connect(&node);
                client
                    .write_all(post("correct", "Content-Length: 0\r\n").as_bytes())
                    .expect("it reads");
                let (status, got) = answer(&client);
                assert_eq!(status, 200, "{length} in form {form}");
                assert!(
                    got.as_ref() == Ok(&body),
                    "{length} in form {form}: {:?}",
                    got.map(|b| b.len())
                );
            }
            until(
                || node.figure("node.handled.correct.passed") == 2,
                "the counts",
            );
            assert_eq!(node.figure("node.in_progress"), 0);
            let expected = if ends { 2 } else { 1 };
            assert_eq!(
                backend.connections.load(Ordering::SeqCst),
                expected,
                "{length} in form {form}"
            );
        }
    }
}

#[test]
fn an_answer_over_the_limit_is_dropped_and_one_that_breaks_is_seen_to() {
    let over = RawBackend::answering(
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n....".to_vec(),
    );
    let (node, _watch, _discovery) = serving_raw(&[&over]);
    assert_eq!(node.client().correct().status(), 502);
    let half = pattern(200_000);
    let lengthy = [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"[..],
        &half,
    ]
    .concat();
    let chunks = chunked(&half, 10_000, "");
    let open = [
        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
        &chunks[..150_000],
    ]
    .concat();
    for bytes in [lengthy, open] {
        let backend = RawBackend::start(move |_, mut stream| {
            let _ = request(&mut BufReader::new(stream.try_clone().expect("a handle")));
            let _ = stream
                .write_all(&bytes)
                .and_then(|()| stream.shutdown(Shutdown::Both));
        });
        let (node, _watch, _discovery) = serving_raw(&[&backend]);
        let mut client = connect(&node);
        client
            .write_all(post("correct", "Content-Length: 0\r\n").as_bytes())
            .expect("it reads");
        let (status, got) = answer(&client);
        assert_eq!(
            (status, got),
            (200, Err("not whole".to_owned())),
            "what is passed on can't be taken back"
        );
        until(
            || node.figure("node.handled.correct.bad_gateway") == 1,
            "its count",
        );
        assert_eq!(
            backend.connections.load(Ordering::SeqCst),
            1,
            "no second attempt"
        );
    }
}

/// The first bytes are there long before the last, and no deadline cuts off what the backend still gives.
#[test]
fn the_first_bytes_of_a_long_answer_go_on_at_once_and_none_is_cut_by_its_deadline() {
    let (go, gate) = channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let body = pattern(300_000);
    let sent = body.clone();
    let backend = RawBackend::start(move |_, mut stream| {
        let _ = request(&mut BufReader::new(stream.try_clone().expect("a handle")));
        let bytes = with_length(&sent);
        let _ = stream.write_all(&bytes[..1000]);
        let _ = gate.lock().expect("the gate").recv_timeout(PATIENCE);
        let _ = stream.write_all(&bytes[1000..]);
    });
    let (node, _watch, _discovery) = serving_raw(&[&backend]);
    let mut client = connect(&node);
    let head =
        post("correct", "Content-Length: 0\r\n").replace("X-Budget-Ms: 20000", "X-Budget-Ms: 500");
    client.write_all(head.as_bytes()).expect("it reads");
    let mut first = [0; 16];
    client.read_exact(&mut first).expect("the first bytes");
    assert_eq!(node.figure("node.in_progress"), 1);
    // Out of service, too: what is under way goes on, well past its deadline.
    assert_eq!(node.operate("POST /control/out-of-service").0, 200);
    sleep(Duration::from_millis(1900));
    go.send(()).expect("the backend waits");
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).expect("all of it");
    assert!(
        rest.ends_with(&body[1000..]) && rest.len() > body.len(),
        "{}",
        rest.len()
    );
    until(|| node.figure("node.in_progress") == 0, "its end");
    assert_eq!(
        node.figure("node.handled.correct.passed"),
        1,
        "served, whatever its deadline was"
    );
}

/// Many clients that do not read: what is on its way for them stays within bounds, and small calls go on.
#[test]
fn more_long_answers_than_memory_holds_slow_down_their_backends_alone() {
    let body = pattern(8 * MIB);
    let bytes = with_length(&body);
    let long = RawBackend::start(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Some((head, _)) = request(&mut reader) {
            let small = head.starts_with("GET");
            let sent = if small {
                stream.write_all(&with_length(b"small"))
            } else {
                stream.write_all(&bytes)
            };
            if sent.is_err() {
                return;
            }
        }
    });
    let (node, _watch, _discovery) = serving_raw(&[&long]);
    let before = node.memory_kb();
    let slow: Vec<_> = (0..30)
        .map(|_| {
            let mut client = connect(&node);
            client
                .write_all(post("correct", "Content-Length: 0\r\n").as_bytes())
                .expect("it reads");
            let mut first = [0; 12];
            client.read_exact(&mut first).expect("the first bytes");
            assert_eq!(&first, b"HTTP/1.1 200");
            client
        })
        .collect();
    for _ in 0..20 {
        let asked = Instant::now();
        assert_eq!(node.client().read().body, b"small");
        assert!(
            asked.elapsed() < Duration::from_secs(1),
            "{:?}",
            asked.elapsed()
        );
    }
    let grown = node.memory_kb().saturating_sub(before);
    assert!(grown < 8 * 1024, "240 MiB on their way took {grown} kB");
    drop(slow);
    until(
        || node.figure("node.in_progress") == 0,
        "the end of what nobody reads",
    );
}

// ---- Requests' bodies ---------------------------------------------------------------------------

/// Answers with the length and a sum of each request's body.
fn summing() -> RawBackend {
    RawBackend::start(|_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Some((_, body)) = request(&mut reader) {
            if stream
                .write_all(&with_length(summed(&body).as_bytes()))
                .is_err()
            {
                return;
            }
        }
    })
}

fn summed(body: &[u8]) -> String {
    let sum = body.iter().fold(0u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add((*byte).into())
    });
    format!("{} {sum:x}", body.len())
}

#[test]
fn bodies_of_every_length_and_framing_reach_the_backend_unchanged() {
    let backend = summing();
    let (node, _watch, _discovery) = serving_raw(&[&backend]);
    for length in [
        0,
        1,
        64 * 1024,
        64 * 1024 + 1,
        256 * 1024,
        256 * 1024 + 1,
        5 * MIB,
        32 * MIB,
    ] {
        let body = pattern(length);
        let known = [
            post("correct", &format!("Content-Length: {length}\r\n")).as_bytes(),
            &body,
        ]
        .concat();
        let head = post(
            "correct",
            "transfer-encoding: Chunked\r\nTrailer: X-Sum\r\n",
        );
        let unknown = [head.as_bytes(), &chunked(&body, 50_000, "X-Sum: 1\r\n")].concat();
        for bytes in [known, unknown] {
            let mut client = connect(&node);
            let mut writer = client.try_clone().expect("a handle");
            let writing = spawn(move || writer.write_all(&bytes));
            let (status, got) = answer(&client);
            assert_eq!(
                (status, got),
                (200, Ok(summed(&body).into_bytes())),
                "{length}"
            );
            writing.join().expect("a writer").expect("it reads");
            client
                .write_all(post("correct", "Content-Length: 0\r\n").as_bytes())
                .expect("it is kept");
            assert_eq!(answer(&client).0, 200);
        }
    }
}

#[test]
fn a_request_may_come_in_pieces_of_one_byte_pipelined_expected_and_in_absolute_form() {
    let backend = summing();
    let (node, _watch, _discovery) = serving_raw(&[&backend]);
    let mut client = connect(&node);
    client.set_nodelay(true).expect("its mode");
    let head = post("correct", "Transfer-Encoding: chunked\r\n");
    for byte in [head.as_bytes(), &chunked(b"sheet", 2, "")].concat() {
        client.write_all(&[byte]).expect("it reads");
    }
    assert_eq!(answer(&client), (200, Ok(summed(b"sheet").into_bytes())));
    let pipelined: String = (0..3)
        .map(|i| post("correct", "Content-Length: 1\r\n") + &i.to_string())
        .collect();
    client.write_all(pipelined.as_bytes()).expect("it reads");
    let mut reader = BufReader::new(client.try_clone().expect("a handle"));
    for i in 0..3 {
        let message = read_message(&mut reader).expect("an answer");
        assert_eq!(message.body, summed(i.to_string().as_bytes()).into_bytes());
    }
    let absolute =
        post("correct", "Content-Length: 0\r\n").replace("POST /", "POST http://service.internal/");
    client.write_all(absolute.as_bytes()).expect("it reads");
    assert_eq!(
        read_message(&mut reader).map(|message| message.status()),
        Some(200)
    );
    // The body comes only once it is asked for.
    client
        .write_all(post("correct", "Content-Length: 5\r\nExpect: 100-continue\r\n").as_bytes())
        .expect("it reads");
    assert!(head_of(&mut reader).starts_with("HTTP/1.1 100 "));
    client.write_all(b"sheet").expect("it reads");
    assert_eq!(
        read_message(&mut reader).map(|message| message.body),
        Some(summed(b"sheet").into_bytes())
    );
}

fn head_of(reader: &mut impl BufRead) -> String {
    head(reader).expect("a head")
}

#[test]
fn what_frames_a_body_twice_or_badly_is_turned_down_and_never_passed_on() {
    let backend = summing();
    let (node, _watch, _discovery) = serving_raw(&[&backend]);
    let hidden = post("correct", "Content-Length: 0\r\n");
    let heads = [
        post(
            "correct",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        ),
        post(
            "correct",
            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        ),
        post("correct", "Content-Length: 4\r\nContent-Length: 4\r\n"),
        post("correct", "Content-Length: 4\r\nContent-Length: 5\r\n"),
        post(
            "correct",
            "Transfer-Encoding: chunked\r\nX-Folded: a\r\n b\r\n",
        ),
        post("correct", "Transfer-Encoding: gzip, chunked\r\n"),
        post("correct", "Transfer-Encoding: gzip\r\n"),
    ];
    for head in heads {
        let mut client = connect(&node);
        client
            .write_all(format!("{head}0\r\n\r\n{hidden}").as_bytes())
            .expect("it reads");
        let (status, _) = answer(&client);
        assert!(
            (400..600).contains(&status) && ![429, 503].contains(&status),
            "{status} for {head}"
        );
    }
    for chunk in [
        "4\nbody\r\n0\r\n\r\n",
        "4\r\nbody\n0\r\n\r\n",
        "4 x\r\nbody\r\n",
        "4;a\nb\r\nbody\r\n",
        "-1\r\n",
        "zz\r\n",
    ] {
        let mut client = connect(&node);
        let head = post("correct", "Transfer-Encoding: chunked\r\n");
        client
            .write_all(format!("{head}{chunk}{hidden}").as_bytes())
            .expect("it reads");
        let (status, _) = answer(&client);
        assert_eq!(status, 400, "{chunk:?}");
    }
    // Too long by its head, and too long as it comes.
    let mut client = connect(&node);
    client
        .write_all(post("correct", "Content-Length: 33554433\r\n").as_bytes())
        .expect("it reads");
    assert_eq!(answer(&client).0, 413);
    let mut client = connect(&node);
    client
        .write_all(post("correct", "Transfer-Encoding: chunked\r\n").as_bytes())
        .expect("it reads");
    let mut writer = client.try_clone().expect("a handle");
    spawn(move || writer.write_all(&chunked(&pattern(34 * MIB), MIB, "")));
    assert_eq!(answer(&client).0, 413);
    assert_eq!(
        node.figure("node.upstream_tries"),
        0,
        "nothing of it was ever whole at a backend"
    );
}

#[test]
fn a_body_that_stalls_is_told_so_in_time_and_a_slow_one_is_taken() {
    let backend = summing();
    let (node, _watch, _discovery) = serving_raw(&[&backend]);
    let begun = Instant::now();
    for framing in [
        "Content-Length: 400000\r\n",
        "Content-Length: 9\r\n",
        "Transfer-Encoding: chunked\r\n",
    ] {
        let mut client = connect(&node);
        client
            .write_all(format!("{}4\r\n", post("correct", framing)).as_bytes())
            .expect("it reads");
        spawn(move || {
            let (status, _) = answer(&client);
            assert_eq!(status, 408);
        })
        .join()
        .expect("a time-out");
    }
    assert!(
        begun.elapsed() < Duration::from_secs(9),
        "3 s each: {:?}",
        begun.elapsed()
    );
    // 64 kB a second in pieces, for a little longer than any stall may be.
    let body = pattern(170_000);
    let mut client = connect(&node);
    client
        .write_all(post("correct", "Content-Length: 170000\r\n").as_bytes())
        .expect("it reads");
    for piece in body.chunks(16_000) {
        sleep(Duration::from_millis(250));
        client.write_all(piece).expect("it reads");
    }
    assert_eq!(answer(&client), (200, Ok(summed(&body).into_bytes())));
}

#[test]
fn a_long_body_that_has_nowhere_to_go_is_refused_though_it_is_not_read_to_its_end() {
    let (node, _watch, _discovery) = serving_raw(&[]);
    let mut client = connect(&node);
    let head = post("correct", "Content-Length: 8000000\r\n").replace(&LONG.to_string(), "500");
    client.write_all(head.as_bytes()).expect("it reads");
    // More than is kept of it: the node reads on only for a backend.
    let mut writer = client.try_clone().expect("a handle");
    let writing = spawn(move || writer.write_all(&pattern(8_000_000)).is_ok());
    assert_eq!(answer(&client).0, 503);
    let _ = client.shutdown(Shutdown::Both);
    let _ = writing.join();
}

// ---- What may be sent again ---------------------------------------------------------------------

/// Tells when the first bytes of a request have come that is not broken.
type Began = std::sync::Mutex<std::sync::mpsc::Sender<()>>;

/// Serves a connection's requests, and tells when each begins.
fn serve_telling(mut stream: TcpStream, began: &Began) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    while reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
        let _ = began.lock().expect("the way").send(());
        let Some((_, body)) = request(&mut reader) else {
            return;
        };
        let _ = stream.write_all(&with_length(summed(&body).as_bytes()));
    }
}

/// Plays a backend that breaks its first connection once so many bytes of a request have come, and serves all others.
fn breaking(after: usize, began: Began) -> (RawBackend, Receiver<usize>) {
    let (broke, broken) = channel();
    let broke = std::sync::Mutex::new(broke);
    let backend = RawBackend::start(move |number, mut stream| {
        if number == 0 {
            let _ = stream.read_exact(&mut vec![0; after]);
            let _ = broke.lock().expect("the way").send(after);
            return; // with bytes unread: its end is a reset
        }
        serve_telling(stream, &began);
    });
    (backend, broken)
}

#[test]
fn an_unsafe_body_that_never_came_whole_is_sent_again_while_it_is_kept() {
    let (began, begins) = channel();
    let (backend, broken) = breaking(100, Began::new(began.clone()));
    let began = Began::new(began);
    let other = RawBackend::start(move |_, stream| serve_telling(stream, &began));
    let (node, _watch, _discovery) = serving_raw(&[&backend, &other]);
    let body = pattern(400_000);
    for _ in 0..20 {
        let mut client = connect(&node);
        client
            .write_all(post("correct", "Content-Length: 400000\r\n").as_bytes())
            .expect("it reads");
        // What is kept goes on; the rest has not come.
        client.write_all(&body[..256 * 1024]).expect("it reads");
        // The rest comes after the node has seen a break and sent again what it keeps: before that it would be written to the
        // broken connection, and be spent.
        begins
            .recv_timeout(PATIENCE)
            .expect("a backend that serves it");
        let broke = broken.try_recv().is_ok();
        client.write_all(&body[256 * 1024..]).expect("it reads");
        assert_eq!(answer(&client), (200, Ok(summed(&body).into_bytes())));
        if broke {
            return;
        }
    }
    panic!("the backend that breaks was never asked");
}

#[test]
fn a_body_that_is_spent_is_not_sent_again_and_refused_if_it_never_ran() {
    let (backend, broken) = breaking(700_000, Began::new(channel().0));
    let (node, _watch, _discovery) = serving_raw(&[&backend]);
    let body = pattern(20 * MIB);
    let mut client = connect(&node);
    let mut writer = client.try_clone().expect("a handle");
    client
        .write_all(post("correct", &format!("Content-Length: {}\r\n", body.len())).as_bytes())
        .expect("it reads");
    let writing = spawn(move || writer.write_all(&body).is_ok());
    let (status, _) = answer(&client);
    broken.recv_timeout(PATIENCE).expect("the break");
    assert_eq!(status, 503, "it never ran: to try again is harmless");
    drop(client);
    let _ = writing.join();
    assert_eq!(
        backend.connections.load(Ordering::SeqCst),
        1,
        "half a body is no attempt"
    );
    assert_eq!(node.figure("node.upstream_tries"), 0);
    assert_eq!(node.figure("node.handled.correct.dropped"), 1);
}

/// The client leaves in the middle of its body: no backend may take what came for the whole.
#[test]
fn a_client_that_leaves_within_a_long_body_leaves_no_whole_request_behind() {
    let (came, whole) = channel();
    let came = std::sync::Mutex::new(came);
    let backend = RawBackend::start(move |_, stream| {
        let got = request(&mut BufReader::new(stream)).is_some();
        let _ = came.lock().expect("the way").send(got);
    });
    let (node, _watch, _discovery) = serving_raw(&[&backend]);
    for framing in [
        "Content-Length: 900000\r\n",
        "Transfer-Encoding: chunked\r\n",
    ] {
        let mut client = connect(&node);
        client
            .write_all(post("correct", framing).as_bytes())
            .expect("it reads");
        client
            .write_all(&chunked(&pattern(600_000), 600_000, "")[..600_000])
            .expect("it reads");
        until(
            || node.figure("node.in_progress") == 1,
            "the request under way",
        );
        drop(client);
        assert!(
            !whole
                .recv_timeout(PATIENCE)
                .expect("the end at the backend"),
            "{framing}"
        );
        until(|| node.figure("node.in_progress") == 0, "its end");
    }
    assert_eq!(node.figure("node.upstream_tries"), 0);
}

//! Thrift callers and tally boxes at the real node, over loopback sockets: each test is one failure, seen by a peer.

use sillward_scenarios::peers::{
    self, Backend, Discovery, Node, Watch, config, config_with, entry_of, list, settings, until,
};
use sillward_scenarios::tally::{
    Answer, BINARY, BOTH, Caller, End, Reply, Seen, Tally, Value, ok, operator, origin, read_answer,
};
use sillward_thrift::wire::{Encoding, Kind};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LONG: u64 = 20_000;

/// What a test has running.
struct Site {
    node: Node,
    watch: Watch,
    _discovery: Discovery,
}

fn name(encoding: Encoding) -> &'static str {
    if encoding == Encoding::Compact {
        "compact"
    } else {
        "binary"
    }
}

/// A node before tally boxes of that encoding.
fn site(encoding: Encoding, boxes: &[&Tally], more: &str) -> Site {
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(LONG, ""), 1024);
    site_of(
        config,
        discovery,
        &operator(name(encoding), more),
        &lines(boxes),
    )
}

fn lines(boxes: &[&Tally]) -> Vec<String> {
    let line = |(i, tally): (usize, &&Tally)| {
        entry_of("t", &format!("t-{i}"), tally.address, "in_service")
    };
    boxes.iter().enumerate().map(line).collect()
}

fn site_of(config: String, discovery: Discovery, operator: &str, lines: &[String]) -> Site {
    let (node, watch, discovery) = peers::serving_operator(&config, discovery, operator, lines);
    Site {
        node,
        watch,
        _discovery: discovery,
    }
}

impl Site {
    fn caller(&self, encoding: Encoding) -> Caller {
        Caller::connect(self.node.thrift.expect("a Thrift listener"), encoding)
    }
}

/// A pair of tally boxes that share a script; it is told how many calls came before, at either.
fn pair(
    encoding: Encoding,
    script: impl Fn(usize, &Seen) -> Reply + Send + Sync + 'static,
) -> (Arc<Tally>, Arc<Tally>) {
    let (count, script) = (Arc::new(AtomicUsize::new(0)), Arc::new(script));
    let start = || {
        let (count, script) = (count.clone(), script.clone());
        Tally::start(encoding, move |seen| {
            script(count.fetch_add(1, Ordering::SeqCst), seen)
        })
    };
    (start(), start())
}

/// Runs a check for many values, some at once.
fn each<T: Send + 'static>(values: Vec<T>, check: impl Fn(T) + Send + Sync + 'static) {
    let (values, check) = (Arc::new(Mutex::new(values)), Arc::new(check));
    let workers: Vec<_> = (0..4)
        .map(|_| {
            let (values, check) = (values.clone(), check.clone());
            std::thread::spawn(move || {
                loop {
                    let value = values.lock().expect("no worker panics with it").pop();
                    let Some(value) = value else { return };
                    check(value);
                }
            })
        })
        .collect();
    workers
        .into_iter()
        .for_each(|worker| worker.join().expect("the check holds"));
}

// ---- Callers that leave ---------------------------------------------------------------------------

/// The second call waits for its turn, and is not read past: the end of the connection stands behind it.
#[test]
fn what_a_caller_asked_for_that_left_behind_a_waiting_call_is_not_sent() {
    for encoding in BOTH {
        let tally = Tally::start(encoding, |_| ok("counted"));
        let mut site = site(encoding, &[], "order = \"called\"");
        let mut caller = site.caller(encoding);
        for _ in 0..3 {
            let frame = caller.frame(
                "Tally:correct",
                &[origin("1f", "", 20_000), (2, Value::from("sheet"))],
            );
            caller.write(&frame).expect("the node reads");
        }
        // The node has had a turn since: the first is held, since nobody is listed.
        assert!(site.node.is_ready());
        drop(caller);
        // Held behind the others: what becomes of these is decided before it is sent.
        let mut stays = site.caller(encoding);
        let frame = stays.frame("Tally:read", &[origin("1f", "", 20_000)]);
        stays.write(&frame).expect("the node reads");
        assert!(site.node.is_ready());
        site.watch.line(&list(9, false, &lines(&[&tally])));
        assert_eq!(
            stays.answer().expect("read").expect("an answer").end(),
            End::Served
        );
        assert_eq!(tally.next().name, "Tally:read");
        assert_eq!(tally.count(), 1, "nothing of the one who had left");
    }
}

// ---- Calls and answers --------------------------------------------------------------------------

#[test]
fn callers_of_both_encodings_share_a_tally_box_of_either_byte_for_byte() {
    for encoding in BOTH {
        let tally = Tally::start(encoding, |_| ok("counted"));
        let site = site(encoding, &[&tally], "");
        let mut sent = Vec::new();
        for caller in BOTH {
            let mut caller = site.caller(caller);
            let answer = caller.submit("k-1");
            assert_eq!(
                (answer.end(), answer.text.as_deref()),
                (End::Served, Some("counted"))
            );
            let seen = tally.next();
            assert_eq!(
                (seen.name.as_str(), seen.kind),
                ("Tally:submit", Kind::Call)
            );
            assert_eq!(seen.station.as_deref(), Some("1f"));
            assert_eq!(
                (seen.key.as_deref(), seen.sheet.as_deref()),
                (Some("k-1"), Some("sheet"))
            );
            // Sequence numbers are the connection's; what stands behind the head is the content.
            let head = seen.bytes.len()
                - sillward_thrift::wire::read_head(&seen.bytes, &Default::default())
                    .expect("a head")
                    .body
                    .len();
            sent.push(seen.bytes[head..].to_vec());
        }
        assert_eq!(sent[0], sent[1]);
    }
}

#[test]
fn declared_exceptions_go_through_and_others_are_told_apart() {
    for encoding in BOTH {
        let (one, two) = pair(encoding, |_, seen| match seen.station.as_deref() {
            Some("declared") => Reply::Result(vec![(
                1,
                Value::Struct(vec![(1, Value::from("the station is closed"))]),
            )]),
            Some("away") => Reply::Bytes(seen.exception(10)),
            Some("away-declared") => {
                Reply::Result(vec![(2, Value::Struct(vec![(1, Value::from("full"))]))])
            }
            Some("oops") => Reply::Bytes(seen.exception(6)),
            _ => Reply::Silence,
        });
        let site = site(encoding, &[&one, &two], "");
        for caller in BOTH {
            let call = |station: &str, budget| {
                let arguments = [origin(station, "", budget), (2, Value::from("sheet"))];
                site.caller(caller).call("Tally:correct", &arguments)
            };
            let answer = call("declared", 20_000);
            assert_eq!(answer.declared.as_deref(), Some("the station is closed"));
            assert_eq!(answer.end(), End::Served);
            // Unsafe work, and yet sent again: a box that turns away never ran it.
            let before = one.count() + two.count();
            for away in ["away", "away-declared"] {
                let answer = call(away, 20_000);
                assert_eq!(
                    (answer.end(), answer.retry_ms),
                    (End::Refused, Some(1500)),
                    "{answer:?}"
                );
            }
            assert!(
                one.count() + two.count() > before + 2,
                "turned away is sent again"
            );
            let before = one.count() + two.count();
            assert_eq!(call("oops", 20_000).end(), End::Failed);
            let answer = call("silent", 500);
            assert!(
                matches!(answer.end(), End::TimedOut | End::Failed),
                "{answer:?}"
            );
            assert_eq!(
                one.count() + two.count(),
                before + 2,
                "what may have run is not sent again"
            );
        }
    }
}

#[test]
fn what_is_no_call_of_the_service_is_turned_down_and_sent_nowhere() {
    let tally = Tally::start(BINARY, |_| ok("counted"));
    let site = site(BINARY, &[&tally], "");
    for encoding in BOTH {
        let mut caller = site.caller(encoding);
        let sheet = (2, Value::from("sheet"));
        let mut turned =
            |name: &str, arguments: &[(i16, Value)]| caller.call(name, arguments).number;
        // Unknown: 1. Not readable as told: 7.
        assert_eq!(turned("Tally:erase", &[origin("1", "", 1000)]), Some(1));
        assert_eq!(
            turned("read", &[origin("1", "", 1000)]),
            Some(1),
            "a name without its service"
        );
        assert_eq!(turned("Other:read", &[origin("1", "", 1000)]), Some(1));
        assert_eq!(
            turned("Tally:submit", &[origin("1", "", 1000), sheet.clone()]),
            Some(7),
            "no key"
        );
        assert_eq!(
            turned("Tally:read", &[origin("1", "", 0)]),
            Some(7),
            "a budget of nothing"
        );
        assert_eq!(turned("Tally:read", &[origin("1", "", -5)]), Some(7));
        let stranger = Value::Struct(vec![(1, Value::from("1")), (3, Value::from("nobody"))]);
        assert_eq!(
            turned("Tally:read", &[(1, stranger)]),
            Some(7),
            "an unknown tenant"
        );
        let twice = Value::Struct(vec![
            (1, Value::from("1")),
            (2, Value::from("a")),
            (2, Value::from("b")),
        ]);
        assert_eq!(
            turned("Tally:submit", &[(1, twice), sheet.clone()]),
            Some(7),
            "two keys"
        );
        let frame = caller.frame_as(Kind::Reply, "Tally:read", 77, &[]);
        caller.write(&frame).expect("written");
        let answer = caller.answer().expect("read").expect("an answer");
        assert_eq!(
            (answer.number, answer.seqid),
            (Some(2), 77),
            "no call at all"
        );
        // The connection is as good as before.
        assert_eq!(caller.read().end(), End::Served);
    }
    assert_eq!(tally.count(), 2);
}

#[test]
fn who_speaks_no_framed_thrift_is_told_so_and_closed() {
    let tally = Tally::start(BINARY, |_| ok("counted"));
    let site = site(BINARY, &[&tally], "");
    let address = site.node.thrift.expect("a listener");
    let rest = |bytes: &[u8]| {
        let mut caller = site.caller(BINARY);
        caller.write(bytes).expect("written");
        caller.rest()
    };
    let connected = Instant::now();
    let http = rest(b"GET / HTTP/1.1\r\nHost: tally\r\n\r\n");
    assert!(
        http.starts_with(b"HTTP/1.1 400 "),
        "{:?}",
        String::from_utf8_lossy(&http)
    );
    // A message without a frame, answered without one.
    let mut caller = site.caller(BINARY);
    let frame = caller.frame("Tally:read", &[origin("1", "", 1000)]);
    assert_eq!(read_answer(&rest(&frame[4..])).number, Some(7));
    for length in [i32::MAX, -1, 64 * 1024 + 1] {
        let framed = rest(&length.to_be_bytes());
        assert_eq!(
            read_answer(&framed[4..]).number,
            Some(7),
            "a frame of {length} bytes"
        );
    }
    assert!(rest(&[0x16, 3, 1, 2, 0, 1, 0, 1]).is_empty(), "TLS");
    assert_eq!(
        read_answer(&rest(&[0, 0, 0, 4, 9, 9, 9, 9])[4..]).number,
        Some(7),
        "no message in a frame"
    );
    let mut silent = TcpStream::connect(address).expect("accepted");
    assert_eq!(silent.read(&mut [0; 9]).expect("closed"), 0);
    let half = rest(&frame[..frame.len() - 1]);
    assert!(
        half.is_empty() || read_answer(&half[4..]).number == Some(7),
        "half a frame"
    );
    // 3 s are what each is owed, and two of them wait; the rest is for a slow machine.
    assert!(
        connected.elapsed() < Duration::from_secs(15),
        "{:?}",
        connected.elapsed()
    );
    assert_eq!(tally.count(), 0);
    assert_eq!(site.caller(Encoding::Compact).read().end(), End::Served);
}

#[test]
fn half_a_frame_behind_an_open_call_is_turned_down_in_time() {
    let (one, two) = pair(BINARY, |_, _| Reply::Silence);
    let site = site(BINARY, &[&one, &two], "");
    let mut caller = site.caller(BINARY);
    let open = caller.frame("Tally:correct", &[origin("1f", "", 20_000)]);
    caller
        .write(&[&open[..], &open[..9]].concat())
        .expect("written");
    let answer = caller.answer().expect("read").expect("an answer");
    assert_eq!(
        (answer.number, answer.seqid),
        (Some(7), 0),
        "to the half frame, before the open call's"
    );
}

#[test]
fn calls_of_a_connection_are_answered_by_their_sequence_numbers() {
    let slow = |_: usize, seen: &Seen| {
        if seen.station.as_deref() == Some("slow") {
            std::thread::sleep(Duration::from_millis(300));
        }
        ok(seen.station.as_deref().unwrap_or("none"))
    };
    for encoding in BOTH {
        for (order, finished) in [("finished", true), ("called", false)] {
            let (one, two) = pair(encoding, slow);
            let site = site(encoding, &[&one, &two], &format!("order = \"{order}\""));
            let mut caller = site.caller(encoding);
            let mut answers = |calls: &[(&str, i32)]| {
                let frames = calls.iter().map(|(station, seqid)| {
                    caller.frame_as(
                        Kind::Call,
                        "Tally:correct",
                        *seqid,
                        &[origin(station, "", 20_000)],
                    )
                });
                let frames: Vec<u8> = frames.flatten().collect();
                caller.write(&frames).expect("written");
                let answers = calls.iter().map(|_| {
                    let answer = caller.answer().expect("read").expect("an answer");
                    (answer.text.unwrap_or_default(), answer.seqid)
                });
                answers.collect::<Vec<_>>()
            };
            let pairs = |pairs: &[(&str, i32)]| -> Vec<(String, i32)> {
                pairs
                    .iter()
                    .map(|(text, seqid)| ((*text).to_owned(), *seqid))
                    .collect()
            };
            let called = [("slow", -3), ("fast", 8)];
            let expected = if finished {
                [("fast", 8), ("slow", -3)]
            } else {
                called
            };
            assert_eq!(answers(&called), pairs(&expected), "{order}");
            // Who does not count calls gets answers in their order.
            assert_eq!(
                answers(&[("slow", 0), ("a", 0), ("b", 0)]),
                pairs(&[("slow", 0), ("a", 0), ("b", 0)])
            );
        }
    }
}

// ---- Hard case 1: calls and replies that are cut off --------------------------------------------

#[test]
fn a_call_cut_off_at_any_byte_by_its_caller_is_sent_nowhere() {
    let tally = Tally::start(BINARY, |_| ok("counted"));
    let site = site(BINARY, &[&tally], "");
    for encoding in BOTH {
        let mut whole = site.caller(encoding);
        let frame = whole.frame(
            "Tally:correct",
            &[origin("1f", "", 20_000), (2, Value::from("sheet"))],
        );
        for end in 0..frame.len() {
            let mut caller = site.caller(encoding);
            caller.write(&frame[..end]).expect("written");
        }
        // Those that left came before this one did.
        let before = tally.count();
        assert_eq!(whole.correct().end(), End::Served);
        assert_eq!(
            (before, tally.count()),
            (usize::from(encoding == Encoding::Compact), before + 1)
        );
    }
}

#[test]
fn a_reply_cut_off_at_any_byte_may_have_run_and_the_call_is_not_sent_again() {
    let mut cases = Vec::new();
    for encoding in BOTH {
        // As long as the longest reply below: its own seqid, name and text.
        let length = if encoding == Encoding::Compact {
            40
        } else {
            60
        };
        cases.extend((0..length).map(|end| (encoding, end)));
    }
    each(cases, |(encoding, end)| {
        let (one, two) = pair(encoding, move |_, seen| {
            let whole = seen.reply(&[(0, Value::from("counted"))]);
            let end = end.min(whole.len() - 1);
            Reply::Cut(whole[..end].to_vec())
        });
        let site = site(encoding, &[&one, &two], "");
        let caller = if end % 2 == 0 {
            BINARY
        } else {
            Encoding::Compact
        };
        let answer = site.caller(caller).correct();
        assert_eq!(answer.end(), End::Failed, "{encoding:?} {end}: {answer:?}");
        assert_eq!(one.count() + two.count(), 1, "{encoding:?} {end}");
    });
}

#[test]
fn a_box_that_refuses_connections_never_ran_it_and_another_has_it() {
    let dead = Tally::start(BINARY, |_| ok("never"));
    let alive = Tally::start(BINARY, |_| ok("here"));
    dead.kill();
    let site = site(BINARY, &[&dead, &alive], "");
    for _ in 0..8 {
        assert_eq!(site.caller(BINARY).correct().text.as_deref(), Some("here"));
    }
    assert_eq!((dead.count(), alive.count()), (0, 8));
}

/// A box that reads so many bytes of a call, and then breaks the connection.
fn breaking(reads: usize) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // What it takes without reading is little: connections have this from their listener.
    socket.set_recv_buffer_size(2048).expect("a small buffer");
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket
        .bind(&any.into())
        .and_then(|()| socket.listen(64))
        .expect("a port");
    let listener = std::net::TcpListener::from(socket);
    let (address, broken) = (
        listener.local_addr().expect("its address"),
        Arc::new(AtomicUsize::new(0)),
    );
    let count = broken.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            if stream.read_exact(&mut vec![0; reads]).is_ok() {
                count.fetch_add(1, Ordering::SeqCst);
                // With bytes unread, it is a reset.
            }
        }
    });
    (address, broken)
}

#[test]
fn a_call_whose_last_byte_was_not_taken_never_ran_and_goes_to_another_box() {
    let cases: Vec<_> = BOTH
        .into_iter()
        .flat_map(|e| [1, 4, 5, 100, 1000, 3000].map(|reads| (e, reads)))
        .collect();
    each(cases, |(encoding, reads)| {
        let good = Tally::start(encoding, |_| ok("here"));
        let (address, broken) = breaking(reads);
        let discovery = Discovery::start();
        let config = config(discovery.address, &settings(LONG, ""), 1024);
        let operator = operator(name(encoding), "") + "send_buffer = 2048\n";
        let lines = [
            entry_of("t", "t-0", address, "in_service"),
            entry_of("t", "t-1", good.address, "in_service"),
        ];
        let site = site_of(config, discovery, &operator, &lines);
        let mut caller = site.caller(encoding);
        let sheet = Value::Bytes(vec![7; 60_000]);
        for i in 1..=12 {
            let answer = caller.call(
                "Tally:correct",
                &[origin("1f", "", 20_000), (2, sheet.clone())],
            );
            assert_eq!(
                answer.text.as_deref(),
                Some("here"),
                "{encoding:?}, {reads} bytes read: {answer:?}"
            );
            assert_eq!(good.count(), i);
        }
        assert!(broken.load(Ordering::SeqCst) > 0, "some were broken off");
    });
}

/// As above, but the kernel takes all of a small call, so that nobody can tell.
#[test]
fn a_call_whose_last_byte_was_taken_may_have_run_and_goes_to_no_other_box() {
    let cases: Vec<_> = BOTH
        .into_iter()
        .flat_map(|e| [0, 1, 4, 5, 20, 40].map(|reads| (e, reads)))
        .collect();
    each(cases, |(encoding, reads)| {
        let good = Tally::start(encoding, |_| ok("here"));
        let (address, broken) = breaking(reads);
        let discovery = Discovery::start();
        let config = config(discovery.address, &settings(LONG, ""), 1024);
        let lines = [
            entry_of("t", "t-0", address, "in_service"),
            entry_of("t", "t-1", good.address, "in_service"),
        ];
        let site = site_of(config, discovery, &operator(name(encoding), ""), &lines);
        let mut caller = site.caller(encoding);
        let mut served = 0;
        for _ in 0..12 {
            match caller.correct().end() {
                End::Served => served += 1,
                End::Failed | End::Refused => {}
                other => panic!("{other:?}"),
            }
            assert_eq!(
                good.count(),
                served,
                "{encoding:?}, {reads} bytes read: a broken call ran elsewhere"
            );
        }
        assert!(
            broken.load(Ordering::SeqCst) > 0 && served < 12,
            "some were broken off"
        );
    });
}

// ---- Hard case 2: replies that are none ---------------------------------------------------------

#[test]
fn a_reply_that_is_none_to_its_call_is_nobodys_answer_and_ends_its_connection() {
    type Spoil = fn(&Seen) -> Vec<u8>;
    let spoilt: [(&str, Spoil); 11] = [
        ("another seqid", |seen| {
            seen.reply_as(seen.told(), seen.seqid + 1, &[(0, "spoilt".into())])
        }),
        ("an earlier seqid", |seen| {
            seen.reply_as(seen.told(), seen.seqid - 1, &[(0, "spoilt".into())])
        }),
        ("another method", |seen| {
            seen.reply_as("read", seen.seqid, &[(0, "spoilt".into())])
        }),
        ("another method's whole name", |seen| {
            seen.reply_as("Tally:read", seen.seqid, &[(0, "spoilt".into())])
        }),
        ("another service", |seen| {
            seen.reply_as("Count:correct", seen.seqid, &[(0, "spoilt".into())])
        }),
        ("a call", |seen| seen.bytes_framed()),
        ("bytes behind it in its frame", |seen| {
            let mut reply = seen.reply(&[(0, "spoilt".into())]);
            reply.push(0);
            let length = (reply.len() - 4) as u32;
            reply[..4].copy_from_slice(&length.to_be_bytes());
            reply
        }),
        ("a frame of 2 GB", |_| vec![0x7f, 0xff, 0xff, 0xff, 0x80, 1]),
        ("HTTP", |_| {
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()
        }),
        ("noise", |_| vec![0, 0, 0, 5, 1, 2, 3, 4, 5]),
        ("100 levels", |seen| {
            let mut value = Value::from("deep");
            for _ in 0..100 {
                value = Value::Struct(vec![(1, value)]);
            }
            seen.reply(&[(0, value)])
        }),
    ];
    let cases: Vec<_> = spoilt
        .into_iter()
        .flat_map(|case| BOTH.map(|encoding| (encoding, case)))
        .collect();
    each(cases, |(encoding, (what, spoil))| {
        let (one, two) = pair(encoding, move |before, seen| match before {
            0 => Reply::Bytes(spoil(seen)),
            _ => ok("good"),
        });
        let site = site(encoding, &[&one, &two], "");
        let mut caller = site.caller(encoding);
        let answer = caller.correct();
        assert_eq!(answer.end(), End::Failed, "{what}: {answer:?}");
        assert_eq!(
            one.count() + two.count(),
            1,
            "{what}: unsafe work is not sent again"
        );
        // The next calls have connections of their own.
        let spoilt = if one.count() == 1 { &one } else { &two };
        let first = spoilt.next();
        for _ in 0..8 {
            assert_eq!(caller.correct().text.as_deref(), Some("good"), "{what}");
        }
        for _ in 1..spoilt.count() {
            assert_ne!(
                spoilt.next().connection,
                first.connection,
                "{what}: used again"
            );
        }
    });
}

#[test]
fn what_comes_behind_a_reply_is_nobodys_answer() {
    for encoding in BOTH {
        // A second reply, at once: to the call that is over, and forged for the one that comes next.
        let tally = Tally::start(encoding, |seen| {
            let stale = |seqid| seen.reply_as(seen.told(), seqid, &[(0, "stale".into())]);
            let good = seen.reply(&[(0, seen.sheet.as_deref().unwrap_or("none").into())]);
            Reply::Bytes([good, stale(seen.seqid), stale(seen.seqid + 1)].concat())
        });
        let site = site(encoding, &[&tally], "");
        let mut caller = site.caller(encoding);
        for i in 0..20 {
            let sheet = format!("sheet-{i}");
            let arguments = [origin("1f", "", 20_000), (2, Value::from(&*sheet))];
            let answer = caller.call("Tally:correct", &arguments);
            assert_eq!(answer.text.as_deref(), Some(&*sheet));
            assert_eq!(
                tally.next().connection,
                i,
                "each call has a connection of its own"
            );
        }
    }
}

/// A connection, and a reply that comes on it when no call is open.
type Late = (TcpStream, Vec<u8>);

#[test]
fn a_reply_to_nobody_ends_its_connection() {
    for encoding in BOTH {
        // The connection's second reply comes when no call is open on it.
        let (late, told) = std::sync::mpsc::channel::<()>();
        let (late, told) = (Mutex::new(late), Mutex::new(told));
        let address: Arc<Mutex<Option<Late>>> = Arc::default();
        let kept = address.clone();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let place = listener.local_addr().expect("its address");
        let (served, count) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (saw, connections) = (served.clone(), count.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                connections.fetch_add(1, Ordering::SeqCst);
                let (kept, saw) = (kept.clone(), saw.clone());
                let late = late.lock().expect("it").clone();
                std::thread::spawn(move || {
                    while let Ok(Some(bytes)) = sillward_scenarios::tally::read_frame(&mut stream) {
                        saw.fetch_add(1, Ordering::SeqCst);
                        let message = sillward_thrift::wire::read_head(&bytes, &Default::default());
                        let head = message.expect("a head").head;
                        let reply = |seqid, text: &str| {
                            let head = sillward_thrift::wire::Head {
                                kind: Kind::Reply,
                                seqid,
                                ..head
                            };
                            sillward_scenarios::tally::message(encoding, head, &[(0, text.into())])
                        };
                        stream
                            .write_all(&reply(head.seqid, "good"))
                            .expect("written");
                        let handle = stream.try_clone().expect("a handle");
                        *kept.lock().expect("it") = Some((handle, reply(head.seqid + 1, "stale")));
                        let _ = late.send(());
                    }
                });
            }
        });
        let discovery = Discovery::start();
        let config = config(discovery.address, &settings(LONG, ""), 1024);
        let line = entry_of("t", "t-0", place, "in_service");
        let site = site_of(config, discovery, &operator(name(encoding), ""), &[line]);
        let mut caller = site.caller(encoding);
        for i in 1..=10 {
            assert_eq!(caller.correct().text.as_deref(), Some("good"));
            told.lock()
                .expect("it")
                .recv_timeout(peers::PATIENCE)
                .expect("served");
            let (mut stream, stale) = address.lock().expect("it").take().expect("a connection");
            stream.write_all(&stale).expect("written");
            assert_eq!(
                count.load(Ordering::SeqCst),
                i,
                "no connection is used again"
            );
        }
        assert_eq!(served.load(Ordering::SeqCst), 10);
    }
}

// ---- Hard case 3: both encodings and both protocols at once -------------------------------------

/// What ran where, by key.
type Ledger = Arc<Mutex<Vec<(String, Option<String>)>>>;

#[test]
fn keyed_work_goes_from_a_thrift_box_to_an_http_box_only_with_the_same_key() {
    for encoding in BOTH {
        // Whoever is first runs it and breaks, so that every call has to be sent again.
        let ledger: Ledger = Arc::default();
        let first = Arc::new(Mutex::new(std::collections::BTreeSet::new()));
        let (ran, begun) = (ledger.clone(), first.clone());
        let tally = Tally::start(encoding, move |seen| {
            let key = seen.key.clone();
            ran.lock()
                .expect("it")
                .push(("thrift".to_owned(), key.clone()));
            if begun.lock().expect("it").insert(key) {
                Reply::Cut(Vec::new())
            } else {
                ok("by Thrift")
            }
        });
        let (ran, begun) = (ledger.clone(), first.clone());
        let http = Backend::start(move |message| {
            let key = message.header("idempotency-key").map(str::to_owned);
            ran.lock()
                .expect("it")
                .push(("http".to_owned(), key.clone()));
            assert!(
                message
                    .header("content-type")
                    .is_some_and(|kind| kind.contains("thrift"))
            );
            assert!(
                message.start.starts_with("POST /submit/1f "),
                "{}",
                message.start
            );
            if begun.lock().expect("it").insert(key) {
                return peers::Reply::Break(Vec::new());
            }
            let bounds = Default::default();
            let call = sillward_thrift::wire::read_head(&message.body, &bounds).expect("a message");
            let head = sillward_thrift::wire::Head {
                kind: Kind::Reply,
                ..call.head
            };
            let reply =
                sillward_scenarios::tally::message(call.encoding, head, &[(0, "by HTTP".into())]);
            peers::Reply::Answer("200 OK", "", reply[4..].to_vec())
        });
        let discovery = Discovery::start();
        let config = config(discovery.address, &settings(LONG, ""), 1024);
        let lines = [
            entry_of("t", "t-0", tally.address, "in_service"),
            entry_of("m", "m-0", http.address, "in_service"),
        ];
        let site = site_of(config, discovery, &operator(name(encoding), ""), &lines);
        let mut served = 0;
        for i in 0..12 {
            let caller = BOTH[i % 2];
            let answer = site.caller(caller).submit(&format!("key-{i}"));
            served += usize::from(answer.end() == End::Served);
            // A key that no header carries unaltered may go to the Thrift box alone.
            site.caller(caller).submit(&format!(" key {i}\u{e9}"));
        }
        let ledger = ledger.lock().expect("it");
        let ran = |place: &str, key: &str| {
            ledger
                .iter()
                .filter(|(p, k)| p == place && k.as_deref() == Some(key))
                .count()
        };
        let both = (0..12).filter(|i| {
            ran("thrift", &format!("key-{i}")) > 0 && ran("http", &format!("key-{i}")) > 0
        });
        assert!(
            both.count() > 0 && served > 0,
            "some were sent on from one to the other: {ledger:?}"
        );
        for (place, key) in ledger.iter() {
            let key = key.as_deref().expect("all of it is keyed");
            assert!(
                place == "thrift" || !key.contains(' '),
                "{place} was sent {key:?}"
            );
        }
    }
}

/// Its content is a key that a Thrift box can see and an HTTP box's header does not have.
#[test]
fn work_that_is_keyed_by_its_content_goes_to_thrift_boxes_alone() {
    let tally = Tally::start(BINARY, |_| ok("counted"));
    let http = Backend::start(|_| peers::ok("never"));
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(LONG, ""), 1024);
    let lines = [
        entry_of("t", "t-0", tally.address, "in_service"),
        entry_of("m", "m-0", http.address, "in_service"),
    ];
    let content = "idempotency_key = \"1.2\"\ndefault_idempotency_key = \"content\"";
    let operator = operator("binary", "").replace("idempotency_key = \"1.2\"", content);
    let site = site_of(config, discovery, &operator, &lines);
    for i in 0..20 {
        let end = site.caller(BOTH[i % 2]).submit("").end();
        assert!(matches!(end, End::Served | End::Refused), "{end:?}");
    }
    assert_eq!(http.count(), 0);
    assert!(tally.count() > 0);
}

#[test]
fn callers_of_both_encodings_and_of_http_share_a_box_and_unsafe_work_runs_once() {
    for encoding in BOTH {
        let tally = Tally::start(encoding, |seen| {
            // Some are turned away, some break, some are served, by their sheet.
            match seen
                .sheet
                .as_deref()
                .and_then(|sheet| sheet.strip_prefix("n"))
                .and_then(|n| n.parse::<u32>().ok())
            {
                Some(n) if n % 5 == 4 => Reply::Cut(Vec::new()),
                _ => ok(seen.sheet.as_deref().unwrap_or("none")),
            }
        });
        let other = Tally::start(encoding, |seen| ok(seen.sheet.as_deref().unwrap_or("none")));
        let call = "[[thrift.backend.http_call]]\nclass = \"correct\"\nmethod = \"Tally:correct\"\ntarget = 1\nbody = 2\n";
        let discovery = Discovery::start();
        let config = config(discovery.address, &settings(LONG, ""), 1024);
        let operator = operator(name(encoding), "") + call;
        let site = site_of(config, discovery, &operator, &lines(&[&tally, &other]));
        let mut callers = BOTH.map(|encoding| site.caller(encoding));
        let mut http = site.node.client();
        let (mut served, mut failed) = (0, 0);
        for n in 0..60 {
            let sheet = format!("n{n}");
            if n % 3 == 2 {
                let answer = http.ask("POST /correct/1f", &peers::common(LONG), sheet.as_bytes());
                match answer.status() {
                    200 => {
                        assert_eq!(answer.body, sheet.as_bytes());
                        served += 1;
                    }
                    502 => failed += 1,
                    other => panic!("{other}"),
                }
                continue;
            }
            let arguments = [origin("1f", "", 20_000), (2, Value::from(&*sheet))];
            let answer: Answer = callers[n % 3].call("Tally:correct", &arguments);
            match answer.end() {
                End::Served => {
                    assert_eq!(answer.text.as_deref(), Some(&*sheet), "its own answer");
                    served += 1;
                }
                End::Failed => failed += 1,
                other => panic!("{other:?}"),
            }
        }
        assert!(served > 0 && failed > 0, "{served} served, {failed} failed");
        let mut sheets: Vec<_> = Vec::new();
        for tally in [&tally, &other] {
            sheets.extend((0..tally.count()).map(|_| tally.next().sheet.expect("a sheet")));
        }
        sheets.sort();
        let all = sheets.len();
        sheets.dedup();
        assert_eq!((sheets.len(), all), (60, 60), "each ran once");
    }
}

// ---- Hard case 4: oneway ------------------------------------------------------------------------

#[test]
fn a_oneway_call_is_sent_once_whatever_becomes_of_it() {
    for encoding in BOTH {
        let (one, two) = pair(encoding, |_, _| Reply::Silence);
        let site = site(encoding, &[&one, &two], "");
        for n in 0..20 {
            let mut caller = site.caller(BOTH[n % 2]);
            let sheet = Value::from(&*format!("n{n}"));
            let frame = caller.frame_as(
                Kind::Oneway,
                "Tally:note",
                0,
                &[origin("1f", "", 2_000), (2, sheet)],
            );
            caller.write(&frame).expect("written");
            // It leaves at once, and has no answer to wait for. One that is no method has none either.
            let unknown = caller.frame_as(Kind::Oneway, "Tally:erase", 0, &[]);
            caller.write(&unknown).expect("written");
            if n % 3 == 0 {
                assert_eq!(
                    caller.correct_slowly(),
                    End::TimedOut,
                    "its connection goes on"
                );
            }
        }
        until(
            || one.count() + two.count() >= 27,
            "20 oneway calls and 7 others",
        );
        let mut sheets: Vec<_> = Vec::new();
        for tally in [&one, &two] {
            let seen = (0..tally.count()).map(|_| tally.next());
            sheets.extend(
                seen.filter(|seen| seen.kind == Kind::Oneway)
                    .map(|seen| seen.sheet),
            );
        }
        sheets.sort();
        let all = sheets.len();
        sheets.dedup();
        assert_eq!((sheets.len(), all), (20, 20), "each once");
        site.node.terminate();
        site.node.logged("20 oneway calls were taken");
    }
}

/// The class may be repeated freely, and the module would: nobody waits for this one, so nobody would know.
#[test]
fn a_oneway_call_to_an_http_box_is_not_repeated_once_it_may_have_run() {
    for encoding in BOTH {
        let start = || Backend::start(|_| peers::Reply::Break(Vec::new()));
        let (one, two) = (start(), start());
        let discovery = Discovery::start();
        let config = config(discovery.address, &settings(LONG, ""), 1024);
        let lines = [
            entry_of("m", "m-0", one.address, "in_service"),
            entry_of("m", "m-1", two.address, "in_service"),
        ];
        let site = site_of(config, discovery, &operator(name(encoding), ""), &lines);
        let mut caller = site.caller(encoding);
        let note = |seqid| {
            caller.frame_as(
                Kind::Oneway,
                "Tally:note",
                seqid,
                &[origin("1f", "", 2_000)],
            )
        };
        let frame = note(1);
        caller.write(&frame).expect("written");
        until(|| one.count() + two.count() == 1, "the oneway call");
        // A call of the same class that somebody waits for is repeated, and ends after all its attempts.
        assert_ne!(caller.read().end(), End::Served);
        let repeated = one.count() + two.count() - 1;
        assert!(
            repeated > 1,
            "{repeated} attempts of a call that is waited for"
        );
    }
}

#[test]
fn a_body_from_an_http_box_is_an_answer_only_if_it_is_a_reply_to_its_call() {
    type Spoil = fn(&[u8], sillward_thrift::wire::Head<'_>, Encoding) -> Vec<u8>;
    let spoilt: [(&str, Spoil); 7] = [
        ("the call itself", |call, _, _| call.to_vec()),
        ("no message", |_, _, _| b"<html>".to_vec()),
        ("another seqid", |_, head, encoding| {
            replied(head.name, head.seqid + 1, encoding)
        }),
        ("another method", |_, head, encoding| {
            replied("read", head.seqid, encoding)
        }),
        ("another service", |_, head, encoding| {
            replied("Count:correct", head.seqid, encoding)
        }),
        ("a cut one", |_, head, encoding| {
            let mut reply = replied(head.name, head.seqid, encoding);
            reply.pop();
            reply
        }),
        ("bytes behind it", |_, head, encoding| {
            [replied(head.name, head.seqid, encoding), vec![0]].concat()
        }),
    ];
    let cases: Vec<_> = spoilt
        .into_iter()
        .flat_map(|case| BOTH.map(|encoding| (encoding, case)))
        .collect();
    each(cases, |(encoding, (what, spoil))| {
        let http = Backend::start(move |message| {
            let call = sillward_thrift::wire::read_head(&message.body, &Default::default())
                .expect("a message");
            peers::Reply::Answer("200 OK", "", spoil(&message.body, call.head, call.encoding))
        });
        let discovery = Discovery::start();
        let config = config(discovery.address, &settings(LONG, ""), 1024);
        let line = entry_of("m", "m-0", http.address, "in_service");
        let site = site_of(config, discovery, &operator(name(encoding), ""), &[line]);
        assert_eq!(site.caller(encoding).correct().end(), End::Failed, "{what}");
        assert_eq!(http.count(), 1, "{what}");
    });
}

fn replied(name: &str, seqid: i32, encoding: Encoding) -> Vec<u8> {
    let head = sillward_thrift::wire::Head {
        kind: Kind::Reply,
        name,
        seqid,
    };
    sillward_scenarios::tally::message(encoding, head, &[(0, "spoilt".into())]).split_off(4)
}

// ---- Hard case 5: sizes -------------------------------------------------------------------------

#[test]
fn half_frames_and_deep_ones_stay_within_memory_and_harm_nobody() {
    let tally = Tally::start(BINARY, |_| ok("counted"));
    let discovery = Discovery::start();
    let config = config_with(
        discovery.address,
        &settings(LONG, ""),
        r#""memory_mb":32,"sockets":4096"#,
    );
    let operator = operator("binary", "connections = 380");
    let site = site_of(config, discovery, &operator, &lines(&[&tally]));
    let before = site.node.memory_kb();
    let mut halves = Vec::new();
    for i in 0..1000 {
        let mut caller = site.caller(BOTH[i % 2]);
        // Said to hold 64 KiB or 2 GB, and half of a small part of it comes.
        let length: i32 = if i % 10 == 9 { i32::MAX } else { 64 * 1024 };
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(vec![0; if i % 10 == 9 { 8 } else { 65_000 }]);
        let _ = caller.write(&bytes); // some are closed already
        halves.push(caller);
        if i % 100 == 0 {
            assert_eq!(
                site.caller(BINARY).read().end(),
                End::Served,
                "after {i} half frames"
            );
        }
    }
    let mut caller = site.caller(Encoding::Compact);
    let mut value = Value::from("deep");
    for _ in 0..100 {
        value = Value::Struct(vec![(1, value)]);
    }
    assert_eq!(
        caller.call("Tally:read", &[(1, value)]).number,
        Some(7),
        "100 levels"
    );
    assert_eq!(caller.read().end(), End::Served);
    let peak = site.node.memory_kb();
    assert!(peak < 32 * 1024, "{peak} kB of 32 MB, {before} before");
    drop(halves);
    assert_eq!(tally.count(), 11);
}

// ---- Hard case 6: SIGTERM and drains in the middle ----------------------------------------------

#[test]
fn on_sigterm_open_calls_have_their_answers_and_the_node_ends() {
    for encoding in BOTH {
        let (go, wait) = std::sync::mpsc::channel::<()>();
        let wait = Mutex::new(wait);
        let tally = Tally::start(encoding, move |_| {
            wait.lock()
                .expect("it")
                .recv_timeout(peers::PATIENCE)
                .expect("told to go on");
            ok("in the end")
        });
        let mut site = site(encoding, &[&tally], "");
        let mut callers = BOTH.map(|encoding| site.caller(encoding));
        let mut idle = site.caller(BINARY);
        for caller in &mut callers {
            let frame = caller.frame("Tally:correct", &[origin("1f", "", 20_000)]);
            caller.write(&frame).expect("written");
        }
        until(|| tally.count() == 2, "both calls at the box");
        site.node.terminate();
        site.node.logged("told to stop");
        // Accepted in its last moments, and answered.
        let mut late = site.caller(BINARY);
        let frame = late.frame("Tally:read", &[origin("1f", "", 20_000)]);
        late.write(&frame).expect("written");
        assert!(
            idle.rest().is_empty(),
            "an idle caller is closed without a word"
        );
        (0..3).for_each(|_| go.send(()).expect("it waits"));
        for caller in &mut callers {
            let answer = caller.answer().expect("read").expect("an answer");
            assert_eq!(answer.text.as_deref(), Some("in the end"));
            assert!(caller.rest().is_empty(), "and then the end");
        }
        // Whether a third call is too much for the box is the module's to say.
        let answer = late.answer().expect("read").expect("an answer");
        assert!(
            matches!(answer.end(), End::Served | End::Refused),
            "{answer:?}"
        );
        assert!(late.rest().is_empty(), "and then the end");
        assert!(site.node.exit().success());
    }
}

#[test]
fn a_draining_box_finishes_what_it_has_and_gets_nothing_new_after_the_grace() {
    for encoding in BOTH {
        let (go, wait) = std::sync::mpsc::channel::<()>();
        let wait = Mutex::new(wait);
        let leaving = Tally::start(encoding, move |seen| {
            // One call is held; for all others it is as good as the other box, so that only the news keeps them off.
            if seen.station.as_deref() == Some("held") {
                wait.lock()
                    .expect("it")
                    .recv_timeout(peers::PATIENCE)
                    .expect("told to go on");
            }
            ok("the leaving one")
        });
        let staying = Tally::start(encoding, |_| {
            std::thread::sleep(Duration::from_millis(5));
            ok("the staying one")
        });
        let mut site = site(encoding, &[&leaving], "");
        let mut caller = site.caller(encoding);
        let frame = caller.frame("Tally:correct", &[origin("held", "", 20_000)]);
        caller.write(&frame).expect("written");
        until(|| leaving.count() == 1, "the call at the box");
        let entries = [
            entry_of("t", "t-0", leaving.address, "terminating"),
            entry_of("t", "t-1", staying.address, "in_service"),
        ];
        site.watch.line(&list(9, true, &entries));
        let mut other = site.caller(BINARY);
        // The grace is 2 s from when the node was told.
        let told = Instant::now();
        until(
            || other.read().text.as_deref() == Some("the staying one"),
            "the new box",
        );
        while told.elapsed() < Duration::from_millis(2500) {
            assert_eq!(other.read().end(), End::Served);
        }
        let before = leaving.count();
        // Many at once: without the news the draining box, with one call open, would be the better choice.
        let address = site.node.thrift.expect("a Thrift listener");
        each((0..16).collect(), move |_: i32| {
            let mut caller = Caller::connect(address, encoding);
            let mut ends = (0..10).map(|_| caller.read().end());
            assert!(ends.all(|end| matches!(end, End::Served | End::Refused)));
        });
        assert_eq!(leaving.count(), before, "nothing new past the grace");
        go.send(()).expect("it waits");
        assert_eq!(
            caller
                .answer()
                .expect("read")
                .expect("an answer")
                .text
                .as_deref(),
            Some("the leaving one")
        );
    }
}

// ---- The command line ---------------------------------------------------------------------------

#[test]
fn a_bad_operator_file_is_told_whole_with_file_line_and_key() {
    let bad = "[thrift]\nlisten = \"nowhere\"\nordre = \"called\"\nmax_depth = 9000\n\n\
        [[thrift.method]]\nname = \"submit\"\nclass = \"submit\"\ndefault_tenant = \"acme\"\n\n\
        [[thrift.method]]\nname = \"read\"\nclass = \"reed\"\nstation_key = \"1.x\"\ndefault_tenant = \"acme\"\n\n\
        [[thrift.backend]]\ntype = \"q\"\nencoding = \"json\"\nturned_away = [\"field zero\"]\n";
    let check = |operator: &str, config: &str| {
        let (mut command, _) = peers::command(config, "");
        let path = peers::file("operator.toml", operator);
        let output = command
            .args(["check", "--operator"])
            .arg(&path)
            .output()
            .expect("it runs");
        let text =
            String::from_utf8_lossy(&output.stderr).replace(&path.display().to_string(), "FILE");
        (
            output.status.code(),
            text.lines().map(str::to_owned).collect::<Vec<_>>(),
        )
    };
    let good = config(
        "127.0.0.1:1".parse().expect("one"),
        &settings(LONG, ""),
        1024,
    );
    let (code, lines) = check(bad, &good);
    let starts = [
        "FILE:2: thrift.listen: ",
        "FILE:3: thrift.ordre: unknown key; known here: ",
        "FILE:4: thrift.max_depth: 9000 is not within 2 and 64",
        "FILE:6: thrift.method[0].idempotency_key: is missing",
        "FILE:13: thrift.method[1].class: \"reed\" is no class of the settings: read, submit, correct",
        "FILE:14: thrift.method[1].station_key: ",
        "FILE:18: thrift.backend[0].type: \"q\" is no machine type of the settings: m, t, u",
        "FILE:19: thrift.backend[0].encoding: \"json\" is none of binary, compact, binary-old",
        "FILE:20: thrift.backend[0].turned_away: ",
    ];
    assert_eq!(code, Some(1));
    assert_eq!(lines.len(), starts.len(), "{lines:#?}");
    for (line, start) in lines.iter().zip(starts) {
        assert!(line.starts_with(start), "{line}\n{start}");
    }
    assert_eq!(check(&operator("compact", ""), &good), (Some(0), vec![]));
    let (code, lines) = check("[thrift\nlisten = 1", &good);
    assert_eq!(code, Some(1));
    assert!(lines[0].starts_with("FILE:1: "), "{lines:?}");
    // Both files are read, whatever is wrong with the other.
    let (code, lines) = check("[thirft]\n", "{}");
    assert_eq!((code, lines.len()), (Some(1), 2), "{lines:?}");
    assert!(
        lines[0].starts_with("bad configuration: ") && lines[1].starts_with("FILE:1: thirft: "),
        "{lines:?}"
    );
}

#[test]
fn the_example_operator_file_is_good() {
    let example = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/deploy/operator.example.toml"
    ));
    let settings = settings(LONG, "");
    let (mut command, _) = peers::command(
        &config("127.0.0.1:1".parse().expect("one"), &settings, 1024),
        "",
    );
    let path = peers::file("operator.toml", &example.expect("the example"));
    let output = command
        .args(["check", "--operator"])
        .arg(path)
        .output()
        .expect("it runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

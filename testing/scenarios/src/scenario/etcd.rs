//! Steady load on eight backends while the stand-in etcd compacts, restarts, stalls and drains them by the seed.

use super::{figure, last_line};
use crate::etcd::{Etcd, Manner, Sent, operator};
use crate::peers::{Backend, Client, Discovery, Node, config, entry, list, ok, settings, until};
use crate::random::Random;
use sillward_etcd::GrpcConnection;
use sillward_etcd::proto::{RangeRequest, RangeResponse};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const BACKENDS: usize = 8;
const CLIENTS: usize = 8;
const RATE: u32 = 200;
const GRACE: Duration = Duration::from_millis(2000);
/// A send that was decided on in time may be seen so much later.
const SLACK: Duration = Duration::from_millis(150);
/// Within so long of its last disturbance etcd is followed again.
const CATCH_UP: Duration = Duration::from_millis(1000);
/// While there is a list some backend is sent something at least so often: clients ask every 5 ms. Refusals alone don't show
/// an empty list: the module holds a call for which nobody is listed, and whoever waits asks nothing more.
const STILL: Duration = Duration::from_millis(250);
/// Entries of the large list, and how often it is told.
const LARGE: usize = 10_000;
const LISTS: usize = 6;

pub struct Options {
    pub seed: u64,
    pub seconds: u64,
    pub forgets: bool,
    pub empties: bool,
}

/// A backend that was told to drain: from which revision, and until when it stays out.
struct Drain {
    backend: usize,
    put: Instant,
    revision: i64,
    until: Option<Instant>,
}

/// What a client saw: when it asked, how long it took, and the status; 0 for no answer.
type Asked = (Instant, Duration, u16);

/// Runs it, prints its figures, and returns the exit code.
pub fn run(options: &Options) -> u8 {
    let arrivals: Vec<Arc<Mutex<Vec<Instant>>>> = (0..BACKENDS).map(|_| Arc::default()).collect();
    let backends: Vec<Backend> = arrivals
        .iter()
        .map(|arrivals| {
            let arrivals = arrivals.clone();
            Backend::start(move |_| {
                arrivals.lock().expect("arrivals").push(Instant::now());
                sleep(Duration::from_millis(2));
                ok("")
            })
        })
        .collect();
    let etcd = Etcd::start();
    let put = |i: usize, status: &str| {
        etcd.put(
            &key(i),
            &entry(&format!("b-{i}"), backends[i].address, status),
            0,
        )
    };
    for i in 0..BACKENDS {
        put(i, "in_service");
    }
    let discovery = Discovery::start();
    let operator = operator(&[etcd.address], 450, "") + "[admin]\nlisten = \"127.0.0.1:0\"\n";
    let node = Node::start_with(
        &config(discovery.address, &settings(2_000, ""), 1024),
        &operator,
    );
    let mut roster = discovery.call();
    roster.open();
    roster.line(&list(1, true, &[]));
    until(
        || node.is_ready() && page(&node, "/admin/membership").contains(r#""backends":8,"#),
        "a list",
    );

    let (to_decision, round_trip) = calm_times(&etcd, &node, &backends[0]);
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (address, over) = (node.address, over.clone());
            spawn(move || ask(address, &over))
        })
        .collect();
    sleep(Duration::from_secs(5));
    let calm = Instant::now();
    let before = node.memory_kb();
    large_lists(&etcd, &node);
    let large = Instant::now();
    let memory = node.memory_kb().saturating_sub(before);
    let disturbed = disturb(options, &etcd, &put);
    over.store(true, Ordering::SeqCst);
    let asked: Vec<Asked> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"))
        .collect();

    let mut breaches = Vec::new();
    let p99 = |from: Option<Instant>, to: Instant| {
        let within = |at: &Instant| from.is_none_or(|from| *at >= from) && *at < to;
        let mut times: Vec<Duration> = asked
            .iter()
            .filter(|(at, ..)| within(at))
            .map(|(_, took, _)| *took)
            .collect();
        times.sort();
        times
            .get(times.len() * 99 / 100)
            .copied()
            .unwrap_or_default()
    };
    let (calm_p99, large_p99) = (p99(None, calm), p99(Some(calm), large));
    let statuses =
        |wanted: fn(u16) -> bool| asked.iter().filter(|(.., status)| wanted(*status)).count();
    let (lost, refused) = (statuses(|s| s == 0), statuses(|s| s == 503));
    let failed = asked.len() - statuses(|s| s == 200) - lost - refused;
    if lost + failed > 0 {
        breaches.push(format!(
            "{lost} requests without an answer, {failed} failed"
        ));
    }
    // A module that has backends may refuse one now and then; one that has none refuses all.
    if refused * 100 > asked.len() {
        breaches.push(format!(
            "{refused} of {} refused: the list was empty for a while",
            asked.len()
        ));
    }
    let still = longest_still(large, &arrivals);
    if still > STILL {
        breaches.push(format!(
            "nothing was sent to anybody for {} ms",
            still.as_millis()
        ));
    }
    let effects = check_drains(&disturbed, &etcd, &arrivals, &mut breaches);
    let median = |mut times: Vec<Duration>| {
        times.sort();
        times
            .get(times.len() / 2)
            .copied()
            .unwrap_or_default()
            .as_secs_f64()
            * 1e3
    };
    let worst = effects
        .iter()
        .max()
        .copied()
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3;
    let (decision_ms, trip_ms) = (median(to_decision), median(round_trip));
    figure("requests", asked.len());
    figure("refused", refused);
    figure("longest_still_ms", still.as_millis());
    figure("drains", disturbed.drains.len());
    figure("disturbances", disturbed.ends.len());
    figure("put_to_effect_median_ms", format!("{:.1}", median(effects)));
    figure("put_to_effect_worst_ms", format!("{worst:.1}"));
    figure("put_to_decision_ms", format!("{decision_ms:.3}"));
    figure("bare_round_trip_ms", format!("{trip_ms:.3}"));
    figure(
        "decision_to_round_trip",
        format!("{:.2}", decision_ms / trip_ms),
    );
    figure(
        "calm_p99_ms",
        format!("{:.2}", calm_p99.as_secs_f64() * 1e3),
    );
    figure(
        "large_list_p99_ms",
        format!("{:.2}", large_p99.as_secs_f64() * 1e3),
    );
    figure(
        "large_to_calm",
        format!("{:.2}", large_p99.as_secs_f64() / calm_p99.as_secs_f64()),
    );
    figure("bytes_a_backend", memory * 1024 / LARGE);
    if disturbed.drains.len() < 3 || disturbed.ends.len() < 3 {
        breaches.push("too little happened: that is no test".to_owned());
    }
    last_line(
        "etcd",
        options.seed,
        &breaches,
        &format!("requests={}", asked.len()),
    )
}

fn key(i: usize) -> String {
    format!("/tally/b-{i}")
}

fn page(node: &Node, path: &str) -> String {
    let mut client = Client::connect(node.admin.expect("a listener for operators"));
    String::from_utf8(client.ask(&format!("GET {path}"), "", b"").body).unwrap_or_default()
}

/// How long from a Put to the node's decision, as operators see it, and how long a bare call of etcd takes.
fn calm_times(etcd: &Etcd, node: &Node, backend: &Backend) -> (Vec<Duration>, Vec<Duration>) {
    let mut decisions = Vec::new();
    for i in 0..60 {
        let status = if i % 2 == 0 {
            "terminating"
        } else {
            "in_service"
        };
        let wanted = format!("\"address\":\"{}\",\"state\":\"{status}\"", backend.address);
        let begun = Instant::now();
        etcd.put(&key(0), &entry("b-0", backend.address, status), 0);
        while !page(node, "/admin/membership").contains(&wanted) {
            assert!(
                begun.elapsed() < Duration::from_secs(10),
                "the node follows"
            );
        }
        decisions.push(begun.elapsed());
        sleep(Duration::from_millis(5));
    }
    let address = etcd.address;
    let trips = spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async move {
            let mut grpc = GrpcConnection::connect(address)
                .await
                .expect("a connection");
            let mut times = Vec::new();
            for _ in 0..60 {
                let request = RangeRequest {
                    key: key(0).into(),
                    ..RangeRequest::default()
                };
                let begun = Instant::now();
                let _: RangeResponse = grpc
                    .unary("/etcdserverpb.KV/Range", &request)
                    .await
                    .expect("an answer");
                times.push(begun.elapsed());
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            times
        })
    });
    (decisions, trips.join().expect("round trips"))
}

/// Ten thousand entries that nobody may use, told in whole lists, several times over.
fn large_lists(etcd: &Etcd, node: &Node) {
    let nowhere: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let put = |i| {
        etcd.put(
            &format!("/tally/far-{i:05}"),
            &entry(&format!("far-{i}"), nowhere, "terminating"),
            0,
        )
    };
    for round in 0..LISTS {
        etcd.down();
        if round == 0 {
            (0..LARGE).for_each(|i| assert!(put(i) > 0));
        }
        // The watch's revision is gone, and with it the way round the list.
        put(0);
        let (before, whole) = (etcd.sent().len(), etcd.revision());
        etcd.compact();
        etcd.up();
        let listed = |(_, sent): &(Instant, Sent)| matches!(sent, Sent::List(revision) if *revision >= whole);
        until(|| etcd.sent()[before..].iter().any(listed), "the list");
        let wanted = format!("\"backends\":{},\"held\":0", LARGE + BACKENDS);
        let current = "\"etcd\",\"state\":\"current\"";
        until(
            || {
                sleep(Duration::from_millis(50));
                let page = page(node, "/admin/membership/sources");
                page.contains(&wanted) && page.contains(current)
            },
            "the list at the node",
        );
    }
}

#[derive(Default)]
struct Disturbed {
    drains: Vec<Drain>,
    /// When a disturbance began and ended.
    ends: Vec<(Instant, Instant)>,
}

fn disturb(options: &Options, etcd: &Etcd, put: &impl Fn(usize, &str) -> i64) -> Disturbed {
    let (mut random, mut disturbed) = (Random::new(options.seed), Disturbed::default());
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let drain = |disturbed: &mut Disturbed, random: &mut Random| {
        let out: Vec<usize> = disturbed
            .drains
            .iter()
            .filter(|d| d.until.is_none())
            .map(|d| d.backend)
            .collect();
        if out.len() < 3 {
            let free: Vec<usize> = (0..BACKENDS).filter(|i| !out.contains(i)).collect();
            let backend = free[random.below(free.len())];
            let (instant, revision) = (Instant::now(), put(backend, "terminating"));
            disturbed.drains.push(Drain {
                backend,
                put: instant,
                revision,
                until: None,
            });
        }
    };
    let mut second = 0;
    while Instant::now() < end {
        sleep(random.millis(150..450));
        // Back into service once it has been out for long enough.
        for drain in disturbed
            .drains
            .iter_mut()
            .filter(|drain| drain.until.is_none())
        {
            if drain.put.elapsed() > GRACE + 3 * CATCH_UP {
                drain.until = Some(Instant::now());
                put(drain.backend, "in_service");
            }
        }
        let (begun, mut calm) = (Instant::now(), false);
        match random.below(6) {
            0 | 1 => {
                drain(&mut disturbed, &mut random);
                continue;
            }
            2 => {
                etcd.down();
                drain(&mut disturbed, &mut random);
                // What was drained is behind the compaction.
                etcd.put("/other", "", 0);
                etcd.compact();
                etcd.behave(Manner {
                    forgets: options.forgets,
                    ..Manner::default()
                });
                etcd.up();
                // Left alone for long enough that it must be known.
                calm = true;
            }
            3 => {
                etcd.down();
                sleep(random.millis(50..400));
                etcd.up();
            }
            4 => {
                let empties = options.empties;
                etcd.behave(Manner {
                    empties,
                    ..Manner::default()
                });
                if empties {
                    sleep(Duration::from_millis(100));
                }
                etcd.behave(Manner {
                    stalled: true,
                    empties,
                    ..Manner::default()
                });
                drain(&mut disturbed, &mut random);
                sleep(random.millis(300..1200));
                etcd.behave(Manner {
                    empties,
                    ..Manner::default()
                });
            }
            _ => etcd.behave(Manner {
                split: 1,
                twice: random.percent(50),
                slow: random.millis(0..20),
                ..Manner::default()
            }),
        }
        disturbed.ends.push((begun, Instant::now()));
        if calm {
            sleep(CATCH_UP + SLACK);
        }
        let seconds = options
            .seconds
            .saturating_sub(end.saturating_duration_since(Instant::now()).as_secs());
        if seconds >= second + 2 {
            second = seconds;
            eprintln!(
                "{seconds} s: {} drains, {} disturbances",
                disturbed.drains.len(),
                disturbed.ends.len()
            );
        }
    }
    etcd.behave(Manner::default());
    // What came last has its time too.
    sleep(GRACE + CATCH_UP);
    disturbed
}

/// The longest time, since `from`, in which no backend was sent anything.
fn longest_still(from: Instant, arrivals: &[Arc<Mutex<Vec<Instant>>>]) -> Duration {
    let mut all: Vec<Instant> = vec![from];
    for arrivals in arrivals {
        all.extend(
            arrivals
                .lock()
                .expect("arrivals")
                .iter()
                .filter(|at| **at > from),
        );
    }
    all.sort();
    all.windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or_default()
}

/// No send later than the grace after a drain was told, nor after it should have been; returns how long after the
/// Put each backend was still sent to.
fn check_drains(
    disturbed: &Disturbed,
    etcd: &Etcd,
    arrivals: &[Arc<Mutex<Vec<Instant>>>],
    breaches: &mut Vec<String>,
) -> Vec<Duration> {
    let sent = etcd.sent();
    let mut effects = Vec::new();
    for drain in &disturbed.drains {
        let told = sent.iter().find(|(_, sent)| match sent {
            Sent::Event(name, revision) => {
                *name == key(drain.backend) && *revision >= drain.revision
            }
            Sent::List(revision) => *revision >= drain.revision,
        });
        // Whatever happens, it is known when etcd has been left alone for long enough.
        let mut quiet = drain.put;
        for (begun, end) in &disturbed.ends {
            if *begun <= quiet + CATCH_UP && *end > quiet {
                quiet = *end;
            }
        }
        let due =
            told.map_or(quiet + CATCH_UP, |(at, _)| (*at).min(quiet + CATCH_UP)) + GRACE + SLACK;
        let until = drain
            .until
            .unwrap_or_else(|| drain.put + Duration::from_secs(3600));
        let arrivals = arrivals[drain.backend].lock().expect("arrivals");
        let late = arrivals
            .iter()
            .filter(|at| **at > due && **at < until)
            .count();
        if late > 0 {
            breaches.push(format!("b-{}: {late} sends past the grace", drain.backend));
        }
        let last = arrivals
            .iter()
            .filter(|at| **at > drain.put && **at < until)
            .max();
        effects.push(last.map_or(Duration::ZERO, |last| *last - drain.put));
    }
    effects
}

fn ask(address: SocketAddr, over: &AtomicBool) -> Vec<Asked> {
    let (mut client, mut asked) = (Client::connect(address), Vec::new());
    let pause = Duration::from_secs(CLIENTS as u64) / RATE;
    let mut next = Instant::now();
    while !over.load(Ordering::SeqCst) {
        sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        let begun = Instant::now();
        client.send("GET /read/1f", &crate::peers::common(2_000), b"");
        let status = client.answer().map_or(0, |answer| answer.status());
        asked.push((begun, begun.elapsed(), status));
        if status == 0 {
            client = Client::connect(address);
        }
    }
    asked
}

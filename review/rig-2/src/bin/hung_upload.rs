//! A box hangs while it takes a long request. Its client has sent the last byte, and is owed a final answer in its time.

use review_rig_2::boxes::{TallyBox, answer};
use review_rig_2::client::{self, Sent};
use review_rig_2::discovery::{Discovery, Entry};
use review_rig_2::node::{self, Folder, Node};
use review_rig_2::record::Record;
use std::io::{ErrorKind, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BOXES: usize = 4;
const LONG: &str = "/tally-correct/station-2";
/// What each client waits for its answer, from its last byte.
const BUDGET_MS: u64 = 2000;
/// An answer earns nothing but is not lost up to half a second after its time; the time limits on sockets are 50 ms longer.
const SLACK_MS: u64 = 550;
/// How long the clients are watched beyond that.
const WATCHED: Duration = Duration::from_secs(20);
/// A request whose last byte can't be written in this time was not taken: it doesn't count.
const WRITE_TIME: Duration = Duration::from_secs(5);
/// The lengths of the requests. How much the kernels between client, node and box take differs between machines.
const SIZES_KB: [usize; 16] = [
    4750, 5000, 5250, 5500, 5750, 6000, 6250, 6500, 6750, 7000, 7250, 7500, 7750, 8000, 8250, 8500,
];
/// A box begins to hang with this much of a long request. Until then boxes read a piece a millisecond.
const HANGS_AT: usize = 300_000;

fn main() {
    review_rig_2::watchdog(Duration::from_secs(110));
    let trouble = review_rig_2::trouble();
    let record = Record::start();
    let folder = Folder::new();
    // The box that hangs: the first that has begun to take a long request.
    let hung = Arc::new(AtomicBool::new(false));
    let boxes: Vec<TallyBox> = (0..BOXES)
        .map(|number| {
            let name = format!("box-{number}");
            let own = Arc::new(Mutex::new(None::<Arc<AtomicBool>>));
            let (hung, record_progress, named, own_hangs) =
                (hung.clone(), record.clone(), name.clone(), own.clone());
            let progress = move |target: &str, bytes: usize| {
                std::thread::sleep(Duration::from_millis(u64::from(target == LONG)));
                if trouble && bytes >= HANGS_AT && !hung.swap(true, Ordering::SeqCst) {
                    record_progress.line(format_args!(
                        "{named} hangs from now on, with {bytes} bytes of {target}"
                    ));
                    if let Some(hangs) = &*own_hangs.lock().expect("its flag") {
                        hangs.store(true, Ordering::SeqCst);
                    }
                }
            };
            let (record_work, named) = (record.clone(), name.clone());
            let work = move |request: &review_rig_2::boxes::Received,
                             stream: &mut std::net::TcpStream| {
                record_work.line(format_args!(
                    "{named} ran {} with {} bytes",
                    request.header("x-call-id").unwrap_or("?"),
                    request.body.len()
                ));
                answer(
                    stream,
                    "200 OK",
                    "X-Load-Report: inflight=0,queue=0\r\n",
                    b"counted",
                )
            };
            let tally_box = TallyBox::start(&name, Arc::new(work), Arc::new(progress));
            *own.lock().expect("its flag") = Some(tally_box.hangs.clone());
            tally_box
        })
        .collect();
    let entries = boxes.iter().map(|tally_box| Entry {
        name: tally_box.name.clone(),
        address: tally_box.address,
        zone: "tembalang".to_owned(),
        machine_type: "std-4".to_owned(),
        group: 1,
        status: "in_service",
        since_ms: 0,
    });
    let discovery = Discovery::start(entries.collect());
    let listen = node::free_address();
    let mut node = Node::start(
        &folder.0,
        listen,
        &node::config(listen, discovery.address),
        None,
    );
    if !node.wait_ready() {
        record.cannot_run(format_args!("the node is not ready:\n{}", node.log()));
    }
    // Short requests first, so that the node knows its boxes.
    for number in 0..40 {
        let mut stream = client::connect(listen).expect("a connection");
        let id = format!("short-{number}");
        let sent = Sent {
            method: "POST",
            target: "/tally-correct/station-1",
            id: &id,
            budget_ms: 2500,
            key: None,
            body: b"one more",
        };
        let answer = client::ask(&mut stream, &sent, Duration::from_secs(3));
        if answer.status != 200 {
            record.line(format_args!("{id} was answered {}", answer.status));
        }
    }
    let clients: Vec<_> = SIZES_KB
        .iter()
        .enumerate()
        .map(|(number, size)| {
            let (record, size) = (record.clone(), size * 1000);
            std::thread::spawn(move || upload(&record, listen, number, size))
        })
        .collect();
    let broken: Vec<String> = clients
        .into_iter()
        .filter_map(|client| client.join().expect("a client"))
        .collect();
    if trouble && !hung.load(Ordering::SeqCst) {
        record.cannot_run("no box came to hang");
    }
    if let Some(code) = node.ended() {
        record.cannot_run(format_args!(
            "the node ended with {code:?}:\n{}",
            node.log()
        ));
    }
    drop(folder);
    record.finish(&broken);
}

/// Sends a long request and waits for its answer. What was broken, if anything was.
fn upload(
    record: &Record,
    listen: std::net::SocketAddr,
    number: usize,
    size: usize,
) -> Option<String> {
    let id = format!("long-{number}");
    let body = vec![b'x'; size];
    let sent = Sent {
        method: "POST",
        target: LONG,
        id: &id,
        budget_ms: BUDGET_MS,
        key: None,
        body: &body,
    };
    let mut stream = client::connect(listen).expect("a connection");
    let bytes = [client::head(&sent).as_bytes(), &body].concat();
    if let Err(why) = write_within(&mut stream, &bytes) {
        record.line(format_args!(
            "{id}: its last byte of {size} could not be written ({why}): it was not taken"
        ));
        return None;
    }
    let written = Instant::now();
    record.line(format_args!("{id}: its last byte of {size} is written"));
    let answer = client::read_answer(&mut stream, written + WATCHED, 16 * 1024, |_| {});
    let took = written.elapsed().as_millis() as u64;
    if answer.whole && took <= BUDGET_MS + SLACK_MS {
        record.line(format_args!(
            "{id}: answered {} after {took} ms",
            answer.status
        ));
        return None;
    }
    let what = format!(
        "{id}: budget {BUDGET_MS} ms, status {} whole {} end {:?} after {took} ms from its last byte",
        answer.status, answer.whole, answer.end
    );
    record.line(&what);
    Some(what)
}

/// Writes all bytes, or gives up after [`WRITE_TIME`].
fn write_within(stream: &mut std::net::TcpStream, mut bytes: &[u8]) -> Result<(), String> {
    let until = Instant::now() + WRITE_TIME;
    let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
    while !bytes.is_empty() {
        if Instant::now() >= until {
            return Err(format!(
                "{} bytes were left after {WRITE_TIME:?}",
                bytes.len()
            ));
        }
        match stream.write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error.to_string()),
        }
    }
    Ok(())
}

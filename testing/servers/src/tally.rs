//! Thrift peers: a stand-in tally box, and callers. The service, in Thrift's own words:
//!
//! ```thrift
//! struct Origin { 1: string station, 2: string key, 3: string caller, 4: i64 budget_ms }
//! exception Closed { 1: string why }
//! service Tally {
//!   string read(1: Origin origin),
//!   string submit(1: Origin origin, 2: binary sheet) throws (1: Closed closed),
//!   string correct(1: Origin origin, 2: binary sheet) throws (1: Closed closed),
//!   oneway void note(1: Origin origin, 2: binary sheet),
//! }
//! ```

use crate::peers::PATIENCE;
use sillward_thrift::method_names::reply_name;
use sillward_thrift::wire::*;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// The binary encoding as everybody writes it.
pub const BINARY: Encoding = Encoding::Binary { strict: true };
/// Both encodings.
pub const BOTH: [Encoding; 2] = [BINARY, Encoding::Compact];
/// What these peers read.
pub const BOUNDS: MessageLimits = MessageLimits {
    max_frame_bytes: 1 << 24,
    max_depth: 64,
    max_name_bytes: 1024,
};

/// A value that peers send.
#[derive(Clone, Debug)]
pub enum Value {
    Text(String),
    Bytes(Vec<u8>),
    Number(i64),
    Struct(Vec<(i16, Value)>),
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.to_owned())
    }
}

impl Value {
    fn write(&self, id: i16, to: &mut impl Writer) {
        match self {
            Value::Text(text) => {
                to.field(Type::Bytes, id);
                to.bytes(text.as_bytes());
            }
            Value::Bytes(bytes) => {
                to.field(Type::Bytes, id);
                to.bytes(bytes);
            }
            Value::Number(number) => {
                to.field(Type::I64, id);
                to.i64(*number);
            }
            Value::Struct(fields) => {
                to.field(Type::Struct, id);
                write_struct(fields, to);
            }
        }
    }
}

fn write_struct(fields: &[(i16, Value)], to: &mut impl Writer) {
    let saved = to.struct_begin();
    fields.iter().for_each(|(id, value)| value.write(*id, to));
    to.struct_end(saved);
}

/// A message with its frame.
pub fn message(encoding: Encoding, head: Head<'_>, fields: &[(i16, Value)]) -> Vec<u8> {
    let mut out = vec![0; 4];
    write_head(&mut out, encoding, head);
    frame(match encoding {
        Encoding::Binary { .. } => {
            let mut writer = BinaryWriter(out);
            write_struct(fields, &mut writer);
            writer.0
        }
        Encoding::Compact => {
            let mut writer = CompactWriter::after(out);
            write_struct(fields, &mut writer);
            writer.out
        }
    })
}

/// Reads a frame; `None` if the connection ends first.
pub fn read_frame(stream: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    if let Err(e) = stream.read_exact(&mut length) {
        return if e.kind() == io::ErrorKind::UnexpectedEof {
            Ok(None)
        } else {
            Err(e)
        };
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > BOUNDS.max_frame_bytes {
        return Err(io::Error::other("no frame"));
    }
    let mut body = vec![0; length];
    match stream.read_exact(&mut body) {
        Ok(()) => Ok(Some(body)),
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
        Err(e) => Err(e),
    }
}

/// Field 2 of a message's struct, as text.
pub fn sheet_of(message: &Message<'_>) -> Option<String> {
    values(message, &["2"]).remove(0)
}

/// Values at these paths, as text.
fn values(message: &Message<'_>, paths: &[&str]) -> Vec<Option<String>> {
    let paths: Vec<FieldPath> = paths
        .iter()
        .map(|path| path.parse().expect("a path"))
        .collect();
    let paths: Vec<Option<&FieldPath>> = paths.iter().map(Some).collect();
    let found = match message.encoding {
        Encoding::Binary { .. } => {
            read_fields(&mut BinaryReader::new(message.body), &paths, &BOUNDS)
        }
        Encoding::Compact => read_fields(&mut CompactReader::new(message.body), &paths, &BOUNDS),
    };
    let found = found.expect("what the node sends reads");
    found
        .iter()
        .map(|value| value.map(|value| String::from_utf8_lossy(&value.text()).into_owned()))
        .collect()
}

// ---- Tally boxes --------------------------------------------------------------------------------

/// A call as a tally box sees it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The number of its connection.
    pub connection: usize,
    pub encoding: Encoding,
    pub kind: Kind,
    /// The method's full name.
    pub name: String,
    pub seqid: i32,
    pub station: Option<String>,
    pub key: Option<String>,
    pub sheet: Option<String>,
    /// FieldPath and query of a call that came over HTTP.
    pub target: Option<String>,
    /// The whole message, without its frame.
    pub bytes: Vec<u8>,
}

impl Seen {
    /// The frame of a reply to it.
    pub fn reply(&self, fields: &[(i16, Value)]) -> Vec<u8> {
        self.reply_as(self.told(), self.seqid, fields)
    }
    /// The name that the libraries' processors answer with: behind `TMultiplexedProcessor`, the method's alone.
    pub fn told(&self) -> &str {
        reply_name(&self.name)
    }
    pub fn reply_as(&self, name: &str, seqid: i32, fields: &[(i16, Value)]) -> Vec<u8> {
        message(
            self.encoding,
            Head {
                kind: Kind::Reply,
                name,
                seqid,
            },
            fields,
        )
    }
    /// The call itself, in a frame.
    pub fn bytes_framed(&self) -> Vec<u8> {
        frame([&[0; 4], &self.bytes[..]].concat())
    }
    pub fn exception(&self, number: i32) -> Vec<u8> {
        let fields = [(1, Value::from("from the box")), (2, Value::Number(0))];
        let head = Head {
            kind: Kind::Exception,
            name: self.told(),
            seqid: self.seqid,
        };
        let mut out = vec![0; 4];
        write_head(&mut out, self.encoding, head);
        // The type is an i32, which `Value` has none of.
        fn write(to: &mut impl Writer, text: &(i16, Value), number: i32) {
            let saved = to.struct_begin();
            text.1.write(text.0, to);
            to.field(Type::I32, 2);
            to.i32(number);
            to.struct_end(saved);
        }
        frame(match self.encoding {
            Encoding::Binary { .. } => {
                let mut writer = BinaryWriter(out);
                write(&mut writer, &fields[0], number);
                writer.0
            }
            Encoding::Compact => {
                let mut writer = CompactWriter::after(out);
                write(&mut writer, &fields[0], number);
                writer.out
            }
        })
    }
}

/// What a tally box does with a call.
pub enum Reply {
    /// A result: field 0, or an exception that is declared.
    Result(Vec<(i16, Value)>),
    /// These bytes, and the connection stays.
    Bytes(Vec<u8>),
    /// These bytes, and the connection ends.
    Cut(Vec<u8>),
    /// Nothing, and the connection stays.
    Silence,
}

/// A served call.
pub fn ok(text: &str) -> Reply {
    Reply::Result(vec![(0, Value::from(text))])
}

type Script = dyn Fn(&Seen) -> Reply + Send + Sync;

/// A stand-in tally box of one encoding. It reads no other: such a call ends its connection.
pub struct Tally {
    pub address: SocketAddr,
    encoding: Encoding,
    script: Arc<Script>,
    saw: Sender<Seen>,
    seen: Mutex<Receiver<Seen>>,
    count: Arc<AtomicUsize>,
    run: Mutex<Option<Run>>,
}

/// A run of it, from a start to a kill.
struct Run {
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: std::thread::JoinHandle<()>,
}

impl Tally {
    pub fn start(
        encoding: Encoding,
        script: impl Fn(&Seen) -> Reply + Send + Sync + 'static,
    ) -> Arc<Self> {
        Tally::start_on("127.0.0.1:0".parse().expect("an address"), encoding, script)
    }

    pub fn start_on(
        address: SocketAddr,
        encoding: Encoding,
        script: impl Fn(&Seen) -> Reply + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a port");
        let (saw, seen) = channel();
        let tally = Arc::new(Tally {
            address: listener.local_addr().expect("its address"),
            encoding,
            script: Arc::new(script),
            saw,
            seen: Mutex::new(seen),
            count: Arc::default(),
            run: Mutex::default(),
        });
        tally.serve(listener);
        tally
    }

    fn serve(&self, listener: TcpListener) {
        let ended = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (script, saw, count) = (self.script.clone(), self.saw.clone(), self.count.clone());
        let (over, kept, encoding) = (ended.clone(), streams.clone(), self.encoding);
        let accepting = spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                if over.load(Ordering::SeqCst) {
                    return;
                }
                kept.lock()
                    .expect("streams")
                    .push(stream.try_clone().expect("a handle"));
                let (script, saw, count) = (script.clone(), saw.clone(), count.clone());
                spawn(move || answer(stream, connection, encoding, &*script, &saw, &count));
            }
        });
        *self.run.lock().expect("its run") = Some(Run {
            ended,
            streams,
            accepting,
        });
    }

    /// Ends it as a crash would: its port refuses, its connections break wherever they are.
    pub fn kill(&self) {
        let Some(run) = self.run.lock().expect("its run").take() else {
            return;
        };
        run.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address); // wakes the accept
        let _ = run.accepting.join();
        for stream in run.streams.lock().expect("streams").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts it again at the same address.
    pub fn restart(&self) {
        self.kill();
        let end = std::time::Instant::now() + PATIENCE;
        loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => return self.serve(listener),
                Err(e) if std::time::Instant::now() > end => panic!("its port is not free: {e}"),
                Err(_) => std::thread::sleep(std::time::Duration::from_millis(5)),
            }
        }
    }

    /// The next call that it sees.
    pub fn next(&self) -> Seen {
        self.seen
            .lock()
            .expect("seen")
            .recv_timeout(PATIENCE)
            .expect("a call at the tally box")
    }

    /// How many calls it has seen, over all its runs.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.kill();
    }
}

fn answer(
    mut stream: TcpStream,
    connection: usize,
    encoding: Encoding,
    script: &Script,
    saw: &Sender<Seen>,
    count: &AtomicUsize,
) {
    let _ = stream.set_nodelay(true);
    while let Ok(Some(bytes)) = read_frame(&mut stream) {
        let Ok(message) = read_head(&bytes, &BOUNDS) else {
            break;
        };
        if message.encoding != encoding {
            break;
        }
        let found = values(&message, &["1.1", "1.2", "2", "4"]);
        let mut found = found.into_iter();
        let seen = Seen {
            connection,
            encoding,
            kind: message.head.kind,
            name: message.head.name.to_owned(),
            seqid: message.head.seqid,
            station: found.next().flatten(),
            key: found.next().flatten(),
            sheet: found.next().flatten(),
            target: found.next().flatten(),
            bytes: bytes.clone(),
        };
        count.fetch_add(1, Ordering::SeqCst);
        let _ = saw.send(seen.clone());
        let written = match script(&seen) {
            _ if seen.kind == Kind::Oneway => Ok(()),
            Reply::Result(fields) => stream.write_all(&seen.reply(&fields)),
            Reply::Bytes(bytes) => stream.write_all(&bytes),
            Reply::Cut(bytes) => {
                let _ = stream.write_all(&bytes);
                break;
            }
            Reply::Silence => Ok(()),
        };
        if written.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

// ---- Callers ------------------------------------------------------------------------------------

/// An answer as a caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub kind: Kind,
    pub name: String,
    pub seqid: i32,
    /// Field 0 of a reply, or the text of a `TApplicationException`.
    pub text: Option<String>,
    /// Field 1 of field 1: why an exception that is declared was thrown.
    pub declared: Option<String>,
    /// The type of a `TApplicationException`.
    pub number: Option<i32>,
    /// Its field 3: when to try again.
    pub retry_ms: Option<i64>,
}

/// How a call ended, as a program can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum End {
    Served,
    Refused,
    Failed,
    TimedOut,
    /// Not taken: the call itself is wrong.
    Wrong,
}

impl Answer {
    pub fn end(&self) -> End {
        match (self.kind, self.number) {
            (Kind::Reply, _) => End::Served,
            (_, Some(10)) => End::Refused,
            (_, Some(6)) => End::Failed,
            (_, Some(5)) => End::TimedOut,
            _ => End::Wrong,
        }
    }
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    pub encoding: Encoding,
    seqid: i32,
}

/// Where a call comes from, and how long it may take.
pub fn origin(station: &str, key: &str, budget_ms: i64) -> (i16, Value) {
    let mut fields = vec![(1, Value::from(station))];
    if !key.is_empty() {
        fields.push((2, Value::from(key)));
    }
    fields.extend([(3, Value::from("acme")), (4, Value::Number(budget_ms))]);
    (1, Value::Struct(fields))
}

impl Caller {
    pub fn connect(address: SocketAddr, encoding: Encoding) -> Self {
        Caller::try_connect(address, encoding).expect("the node accepts")
    }

    pub fn try_connect(address: SocketAddr, encoding: Encoding) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        Ok(Caller {
            stream,
            encoding,
            seqid: 0,
        })
    }

    /// The frame of the next call.
    pub fn frame(&mut self, name: &str, arguments: &[(i16, Value)]) -> Vec<u8> {
        self.seqid += 1;
        self.frame_as(Kind::Call, name, self.seqid, arguments)
    }

    pub fn frame_as(
        &self,
        kind: Kind,
        name: &str,
        seqid: i32,
        arguments: &[(i16, Value)],
    ) -> Vec<u8> {
        message(self.encoding, Head { kind, name, seqid }, arguments)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next answer; `None` if the connection ends without one.
    pub fn answer(&mut self) -> io::Result<Option<Answer>> {
        let Some(bytes) = read_frame(&mut self.stream)? else {
            return Ok(None);
        };
        Ok(Some(read_answer(&bytes)))
    }

    /// Whether an answer is to the last call made, of that name: as strict clients look at it.
    pub fn is_last(&self, answer: &Answer, name: &str) -> bool {
        answer.seqid == self.seqid && answer.name == reply_name(name)
    }

    /// Leaves in good order; returns how many answers came to nobody.
    pub fn leave(mut self) -> usize {
        let _ = self.stream.shutdown(Shutdown::Write);
        let mut strays = 0;
        while let Ok(Some(_)) = self.answer() {
            strays += 1;
        }
        strays
    }

    /// Whatever comes until the connection ends.
    pub fn rest(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        let _ = self.stream.read_to_end(&mut rest); // what came before a reset counts too
        rest
    }

    /// Calls, and waits for the one answer.
    pub fn call(&mut self, name: &str, arguments: &[(i16, Value)]) -> Answer {
        let frame = self.frame(name, arguments);
        self.write(&frame).expect("the node reads");
        let answer = self
            .answer()
            .expect("the connection lasts")
            .expect("an answer");
        assert_eq!(
            (answer.seqid, answer.name.as_str()),
            (self.seqid, reply_name(name)),
            "an answer to this call"
        );
        answer
    }

    pub fn read(&mut self) -> Answer {
        self.call("Tally:read", &[origin("1f", "", 20_000)])
    }

    pub fn submit(&mut self, key: &str) -> Answer {
        self.call(
            "Tally:submit",
            &[origin("1f", key, 20_000), (2, Value::from("sheet"))],
        )
    }

    pub fn correct(&mut self) -> Answer {
        self.call(
            "Tally:correct",
            &[origin("1f", "", 20_000), (2, Value::from("sheet"))],
        )
    }
}

impl Caller {
    /// A call whose box says nothing, and how that ends.
    pub fn correct_slowly(&mut self) -> End {
        let answer = self.call(
            "Tally:correct",
            &[origin("1f", "", 300), (2, Value::from("slow"))],
        );
        // Which of the two depends on whose clock is first: the attempt's or the call's.
        if answer.end() == End::Failed {
            End::TimedOut
        } else {
            answer.end()
        }
    }
}

/// Reads an answer's message.
pub fn read_answer(bytes: &[u8]) -> Answer {
    let message = read_head(bytes, &BOUNDS).expect("the node answers with messages");
    let Head { kind, name, seqid } = message.head;
    let mut answer = Answer {
        kind,
        name: name.to_owned(),
        seqid,
        text: None,
        declared: None,
        number: None,
        retry_ms: None,
    };
    if kind == Kind::Reply {
        let found = values(&message, &["0", "1.1"]);
        (answer.text, answer.declared) = (found[0].clone(), found[1].clone());
    } else {
        let (number, text) = read_exception(&message, &BOUNDS).expect("an exception");
        (answer.number, answer.text) = (Some(number), Some(text));
        answer.retry_ms = values(&message, &["3"])[0]
            .as_ref()
            .and_then(|ms| ms.parse().ok());
    }
    answer
}

/// A further machine type for an operator file of [`operator`].
pub fn operator_backend(kind: &str, encoding: &str) -> String {
    format!(
        "[[thrift.backend]]\ntype = \"{kind}\"\nencoding = \"{encoding}\"\n\
         turned_away = [\"exception 10\", \"field 2\"]\nload_report = \"99\"\n"
    )
}

/// An operator file for these peers: the service `Tally` for callers, and machine type `t` in that encoding. Class
/// names are those of `peers::settings`.
pub fn operator(encoding: &str, more: &str) -> String {
    let method = |name: &str, class: &str, key: &str| {
        format!(
            "[[thrift.method]]\nservice = \"Tally\"\nname = \"{name}\"\nclass = \"{class}\"\n\
             station_key = \"1.1\"\n{key}tenant = \"1.3\"\nbudget_ms = \"1.4\"\ndefault_tenant = \"acme\"\n\n"
        )
    };
    let methods = [
        method("read", "read", ""),
        method("submit", "submit", "idempotency_key = \"1.2\"\n"),
        method("correct", "correct", ""),
        method("note", "read", ""),
    ];
    let backend = operator_backend("t", encoding);
    format!(
        "[thrift]\nlisten = \"127.0.0.1:0\"\n{more}\n{}{backend}",
        methods.concat()
    )
}

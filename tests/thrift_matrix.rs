//! Libraries that nobody here wrote, as callers and as tally boxes, with the node between them: each encoding with
//! each, plain and multiplexed names. A cell is one thing that a caller and a box of two libraries do together.
//!
//! - `thrift`, Apache's: its framed transports, `TServer` and `TMultiplexedProcessor`, which answers with the bare
//!   name, as callers `TMultiplexedOutputProtocol`.
//! - `thrift_codec`, which has no server: its messages over plain sockets. As a box it answers with the name that it
//!   was called by.

#[path = "../crates/thrift/tests/values/mod.rs"]
mod values;

use sillward_scenarios::peers::{self, Discovery, Node, Watch, config, entry_of, settings, until};
use sillward_scenarios::reserved_port::ReservedPort;
use sillward_scenarios::tally::{operator_backend, read_frame};
use sillward_thrift::wire::{Encoding, Head, Kind, frame};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use thrift::protocol::*;
use thrift::server::{TMultiplexedProcessor, TProcessor, TServer};
use thrift::transport::*;
use thrift_codec::data::{Data, DataKind, DataRef, Elements, Field, List, Map, Set, Struct, Uuid};
use thrift_codec::message::{Message, MessageKind};
use thrift_codec::{BinaryDecode, BinaryEncode, CompactDecode, CompactEncode};
use values::{Value, encode_with_apache};

const STRICT: Encoding = Encoding::Binary { strict: true };
const OLD: Encoding = Encoding::Binary { strict: false };
const MAX_FRAME: usize = 65_536;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Library {
    Apache,
    Codec,
}

/// Who writes what.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Peer {
    library: Library,
    encoding: Encoding,
}

/// `thrift_codec` has no old heads.
const PEERS: [Peer; 5] = [
    Peer {
        library: Library::Apache,
        encoding: STRICT,
    },
    Peer {
        library: Library::Apache,
        encoding: OLD,
    },
    Peer {
        library: Library::Apache,
        encoding: Encoding::Compact,
    },
    Peer {
        library: Library::Codec,
        encoding: STRICT,
    },
    Peer {
        library: Library::Codec,
        encoding: Encoding::Compact,
    },
];

// ---- What the peers do together -----------------------------------------------------------------

/// Arguments: where the call comes from (1), what the box is to do (2), and a value (3) that goes there and back.
fn arguments(order: &str, value: Value) -> Value {
    let text = |text: &str| Value::Bytes(text.as_bytes().to_vec());
    let origin = Value::Struct(vec![(1, text("1f")), (4, Value::I64(20_000))]);
    Value::Struct(vec![(1, origin), (2, text(order)), (3, value)])
}

fn field(of: &Value, id: i16) -> Option<&Value> {
    let Value::Struct(fields) = of else {
        return None;
    };
    fields
        .iter()
        .find(|(number, _)| *number == id)
        .map(|(_, value)| value)
}

/// What a box answers: the message's kind and its struct. `length` is how long a message with that struct would be.
fn obey(arguments: &Value, length: impl Fn(&Value) -> usize) -> (Kind, Value) {
    let Some(Value::Bytes(order)) = field(arguments, 2) else {
        panic!("no order: {arguments:?}")
    };
    let order = String::from_utf8_lossy(order);
    let text = |text: &str| Value::Bytes(text.as_bytes().to_vec());
    match order.split_once(' ').unwrap_or((&order, "")) {
        ("echo", _) => {
            let value = field(arguments, 3).expect("a value").clone();
            (Kind::Reply, Value::Struct(vec![(0, value)]))
        }
        ("declared", _) => {
            let closed = Value::Struct(vec![
                (1, text("the station is closed")),
                (77, Value::I16(-3)),
            ]);
            (Kind::Reply, Value::Struct(vec![(1, closed)]))
        }
        ("application", _) => (
            Kind::Exception,
            Value::Struct(vec![(1, text("oops")), (2, Value::I32(6))]),
        ),
        ("void", _) => (Kind::Reply, Value::Struct(vec![])),
        ("size", size) => {
            let of = |padding| Value::Struct(vec![(0, Value::Bytes(vec![b'.'; padding]))]);
            (
                Kind::Reply,
                padded(size.parse().expect("a size"), of, length),
            )
        }
        other => panic!("unknown order: {other:?}"),
    }
}

/// The value of just that length.
fn padded(size: usize, of: impl Fn(usize) -> Value, length: impl Fn(&Value) -> usize) -> Value {
    let guess = size - 512;
    let value = of(guess + (size - length(&of(guess))));
    assert_eq!(length(&value), size, "a length of its own for the padding");
    value
}

/// An answer, as the library read it.
#[derive(Debug, PartialEq)]
struct Got {
    kind: Kind,
    name: String,
    seqid: i32,
    body: Value,
}

trait Caller {
    fn send(&mut self, kind: Kind, method: &str, seqid: i32, arguments: &Value);
    /// The next answer; an error if there is none, or none that the library takes.
    fn answer(&mut self) -> Result<Got, String>;
}

/// What a box saw: whether an answer is wanted, the name, the arguments.
type Seen = Arc<Mutex<Vec<(bool, String, Value)>>>;

// ---- Apache's library ---------------------------------------------------------------------------

fn input(
    encoding: Encoding,
    from: impl TReadTransport + Send + 'static,
) -> Box<dyn TInputProtocol + Send + 'static> {
    match encoding {
        Encoding::Binary { strict } => Box::new(TBinaryInputProtocol::new(from, strict)),
        Encoding::Compact => Box::new(TCompactInputProtocol::new(from)),
    }
}

fn output(
    encoding: Encoding,
    to: impl TWriteTransport + Send + 'static,
) -> Box<dyn TOutputProtocol + Send + 'static> {
    match encoding {
        Encoding::Binary { strict } => Box::new(TBinaryOutputProtocol::new(to, strict)),
        Encoding::Compact => Box::new(TCompactOutputProtocol::new(to)),
    }
}

fn apache_kind(kind: Kind) -> TMessageType {
    match kind {
        Kind::Call => TMessageType::Call,
        Kind::Reply => TMessageType::Reply,
        Kind::Exception => TMessageType::Exception,
        Kind::Oneway => TMessageType::OneWay,
    }
}

struct ApacheCaller {
    input: Box<dyn TInputProtocol + Send>,
    output: Box<dyn TOutputProtocol + Send>,
}

impl ApacheCaller {
    fn connect(address: SocketAddr, encoding: Encoding, multiplexed: bool) -> Self {
        let stream = TcpStream::connect(address).expect("the node accepts");
        stream
            .set_read_timeout(Some(peers::PATIENCE))
            .expect("a time-out");
        let (read, write) = TTcpChannel::with_stream(stream)
            .split()
            .expect("two halves");
        let input = input(encoding, TFramedReadTransport::new(read));
        let output = output(encoding, TFramedWriteTransport::new(write));
        let output: Box<dyn TOutputProtocol + Send> = match multiplexed {
            true => Box::new(TMultiplexedOutputProtocol::new("Tally", output)),
            false => output,
        };
        ApacheCaller { input, output }
    }
}

impl Caller for ApacheCaller {
    fn send(&mut self, kind: Kind, method: &str, seqid: i32, arguments: &Value) {
        let o = &mut self.output;
        let head = TMessageIdentifier::new(method, apache_kind(kind), seqid);
        o.write_message_begin(&head).expect("written");
        arguments.write(o.as_mut()).expect("written");
        o.write_message_end().expect("written");
        o.flush().expect("written");
    }

    fn answer(&mut self) -> Result<Got, String> {
        let i = self.input.as_mut();
        let head = i.read_message_begin().map_err(|e| e.to_string())?;
        let kind = match head.message_type {
            TMessageType::Reply => Kind::Reply,
            TMessageType::Exception => Kind::Exception,
            other => return Err(format!("{other:?} is no answer")),
        };
        let body = Value::read(i, TType::Struct).map_err(|e| e.to_string())?;
        i.read_message_end().map_err(|e| e.to_string())?;
        Ok(Got {
            kind,
            name: head.name,
            seqid: head.sequence_number,
            body,
        })
    }
}

struct ApacheBox {
    encoding: Encoding,
    seen: Seen,
}

impl TProcessor for ApacheBox {
    fn process(
        &self,
        i: &mut dyn TInputProtocol,
        o: &mut dyn TOutputProtocol,
    ) -> thrift::Result<()> {
        let call = i.read_message_begin()?;
        let arguments = Value::read(i, TType::Struct)?;
        i.read_message_end()?;
        let wanted = call.message_type != TMessageType::OneWay;
        self.seen
            .lock()
            .expect("seen")
            .push((wanted, call.name.clone(), arguments.clone()));
        if !wanted {
            return Ok(());
        }
        let head = Head {
            kind: Kind::Reply,
            name: &call.name,
            seqid: call.sequence_number,
        };
        let (kind, body) = obey(&arguments, |body| {
            encode_with_apache(self.encoding, head, body).len()
        });
        o.write_message_begin(&TMessageIdentifier::new(
            &*call.name,
            apache_kind(kind),
            call.sequence_number,
        ))?;
        body.write(o)?;
        o.write_message_end()?;
        o.flush()
    }
}

struct Protocols(Encoding);

impl TInputProtocolFactory for Protocols {
    fn create(&self, from: Box<dyn TReadTransport + Send>) -> Box<dyn TInputProtocol + Send> {
        input(self.0, from)
    }
}

impl TOutputProtocolFactory for Protocols {
    fn create(&self, to: Box<dyn TWriteTransport + Send>) -> Box<dyn TOutputProtocol + Send> {
        output(self.0, to)
    }
}

/// Starts a server, and waits until it listens.
fn apache_box(encoding: Encoding, seen: Seen) -> SocketAddr {
    let reserved = ReservedPort::new();
    let free = reserved.address();
    let mut processor = TMultiplexedProcessor::new();
    processor
        .register("Tally", Box::new(ApacheBox { encoding, seen }), true)
        .expect("the first of its name");
    spawn(move || {
        let reads = Box::new(TFramedReadTransportFactory::new()) as Box<dyn TReadTransportFactory>;
        let writes =
            Box::new(TFramedWriteTransportFactory::new()) as Box<dyn TWriteTransportFactory>;
        let input = Box::new(Protocols(encoding)) as Box<dyn TInputProtocolFactory>;
        let output = Box::new(Protocols(encoding)) as Box<dyn TOutputProtocolFactory>;
        TServer::new(reads, input, writes, output, processor, 32)
            .listen(free)
            .expect("it listens");
    });
    until(|| TcpStream::connect(free).is_ok(), "the server");
    free
}

// ---- thrift_codec -------------------------------------------------------------------------------

fn data(value: &Value) -> Data {
    match value {
        Value::Bool(v) => Data::Bool(*v),
        Value::I8(v) => Data::I8(*v),
        Value::I16(v) => Data::I16(*v),
        Value::I32(v) => Data::I32(*v),
        Value::I64(v) => Data::I64(*v),
        Value::Double(v) => Data::Double(f64::from_bits(*v)),
        Value::Bytes(v) => Data::Binary(v.clone()),
        Value::Uuid(v) => Data::Uuid(Uuid::new(*v)),
        Value::Struct(_) => Data::Struct(structure(value)),
        Value::List(of, all) => Data::List(List::new(elements(*of, all))),
        Value::Set(of, all) => Data::Set(Set::new(elements(*of, all))),
        // Of its own, it has empty maps without types only, and can't write those in binary.
        Value::Map(keys, values, all) => {
            let (keys_of, values_of): (Vec<_>, Vec<_>) = all.iter().cloned().unzip();
            let pairs = (elements(*keys, &keys_of), elements(*values, &values_of));
            Data::Map(Map::from_keys_and_values(pairs.0, pairs.1).expect("as many keys as values"))
        }
    }
}

fn structure(value: &Value) -> Struct {
    let Value::Struct(fields) = value else {
        panic!("no struct: {value:?}")
    };
    Struct::new(
        fields
            .iter()
            .map(|(id, value)| Field::new(*id, data(value)))
            .collect(),
    )
}

fn elements(of: TType, all: &[Value]) -> Elements {
    let mut elements = Elements::new(match of {
        TType::Bool => DataKind::Bool,
        TType::I08 => DataKind::I8,
        TType::I16 => DataKind::I16,
        TType::I32 => DataKind::I32,
        TType::I64 => DataKind::I64,
        TType::Double => DataKind::Double,
        TType::String => DataKind::Binary,
        TType::Uuid => DataKind::Uuid,
        TType::Struct => DataKind::Struct,
        TType::List => DataKind::List,
        TType::Set => DataKind::Set,
        TType::Map => DataKind::Map,
        other => panic!("no elements of {other:?}"),
    });
    for value in all {
        match (&mut elements, data(value)) {
            (Elements::Bool(to), Data::Bool(v)) => to.push(v),
            (Elements::I8(to), Data::I8(v)) => to.push(v),
            (Elements::I16(to), Data::I16(v)) => to.push(v),
            (Elements::I32(to), Data::I32(v)) => to.push(v),
            (Elements::I64(to), Data::I64(v)) => to.push(v),
            (Elements::Double(to), Data::Double(v)) => to.push(v),
            (Elements::Binary(to), Data::Binary(v)) => to.push(v),
            (Elements::Uuid(to), Data::Uuid(v)) => to.push(v),
            (Elements::Struct(to), Data::Struct(v)) => to.push(v),
            (Elements::List(to), Data::List(v)) => to.push(v),
            (Elements::Set(to), Data::Set(v)) => to.push(v),
            (Elements::Map(to), Data::Map(v)) => to.push(v),
            (_, other) => panic!("an element of another type: {other:?}"),
        }
    }
    elements
}

fn ttype(kind: DataKind) -> TType {
    match kind {
        DataKind::Bool => TType::Bool,
        DataKind::I8 => TType::I08,
        DataKind::I16 => TType::I16,
        DataKind::I32 => TType::I32,
        DataKind::I64 => TType::I64,
        DataKind::Double => TType::Double,
        DataKind::Binary => TType::String,
        DataKind::Uuid => TType::Uuid,
        DataKind::Struct => TType::Struct,
        DataKind::List => TType::List,
        DataKind::Set => TType::Set,
        DataKind::Map => TType::Map,
    }
}

fn value(data: DataRef<'_>) -> Value {
    match data {
        DataRef::Bool(v) => Value::Bool(*v),
        DataRef::I8(v) => Value::I8(*v),
        DataRef::I16(v) => Value::I16(*v),
        DataRef::I32(v) => Value::I32(*v),
        DataRef::I64(v) => Value::I64(*v),
        DataRef::Double(v) => Value::Double(v.to_bits()),
        DataRef::Binary(v) => Value::Bytes(v.to_vec()),
        DataRef::Uuid(v) => Value::Uuid(v.get()),
        DataRef::Struct(v) => value_of(v),
        DataRef::List(v) => Value::List(ttype(v.kind()), v.iter().map(value).collect()),
        DataRef::Set(v) => Value::Set(ttype(v.kind()), v.iter().map(value).collect()),
        DataRef::Map(v) => {
            let kind = |kind: Option<DataKind>| kind.map_or(TType::Stop, ttype);
            let pairs = v.iter().map(|(k, v)| (value(k), value(v))).collect();
            Value::Map(kind(v.key_kind()), kind(v.value_kind()), pairs)
        }
    }
}

fn value_of(structure: &Struct) -> Value {
    Value::Struct(
        structure
            .fields()
            .iter()
            .map(|f| (f.id(), value(f.data().as_ref())))
            .collect(),
    )
}

fn codec_written(encoding: Encoding, kind: Kind, name: &str, seqid: i32, body: &Value) -> Vec<u8> {
    let kind = match kind {
        Kind::Call => MessageKind::Call,
        Kind::Reply => MessageKind::Reply,
        Kind::Exception => MessageKind::Exception,
        Kind::Oneway => MessageKind::Oneway,
    };
    let message = Message::new(name, kind, seqid, structure(body));
    let mut out = Vec::new();
    let written = match encoding {
        Encoding::Compact => message.compact_encode(&mut out),
        Encoding::Binary { .. } => message.binary_encode(&mut out),
    };
    written.expect("written");
    out
}

fn codec_read(encoding: Encoding, mut bytes: &[u8]) -> Result<(MessageKind, Got), String> {
    let message = match encoding {
        Encoding::Compact => Message::compact_decode(&mut bytes),
        Encoding::Binary { .. } => Message::binary_decode(&mut bytes),
    };
    let message = message.map_err(|e| e.to_string())?;
    let kind = match message.kind() {
        MessageKind::Call => Kind::Call,
        MessageKind::Reply => Kind::Reply,
        MessageKind::Exception => Kind::Exception,
        MessageKind::Oneway => Kind::Oneway,
    };
    let (name, seqid) = (message.method_name().to_owned(), message.sequence_id());
    Ok((
        message.kind(),
        Got {
            kind,
            name,
            seqid,
            body: value_of(message.body()),
        },
    ))
}

struct CodecCaller {
    stream: TcpStream,
    encoding: Encoding,
    service: &'static str,
}

impl CodecCaller {
    fn connect(address: SocketAddr, encoding: Encoding, multiplexed: bool) -> Self {
        let stream = TcpStream::connect(address).expect("the node accepts");
        stream
            .set_read_timeout(Some(peers::PATIENCE))
            .expect("a time-out");
        CodecCaller {
            stream,
            encoding,
            service: if multiplexed { "Tally:" } else { "" },
        }
    }
}

impl Caller for CodecCaller {
    fn send(&mut self, kind: Kind, method: &str, seqid: i32, arguments: &Value) {
        let name = format!("{}{method}", self.service);
        let message = codec_written(self.encoding, kind, &name, seqid, arguments);
        self.stream.write_all(&framed(&message)).expect("written");
    }

    fn answer(&mut self) -> Result<Got, String> {
        let bytes = read_frame(&mut self.stream)
            .map_err(|e| e.to_string())?
            .ok_or("no answer")?;
        codec_read(self.encoding, &bytes).map(|(_, got)| got)
    }
}

fn framed(message: &[u8]) -> Vec<u8> {
    frame([&[0; 4], message].concat())
}

fn codec_box(encoding: Encoding, seen: Seen) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, seen) = (stream.expect("a connection"), seen.clone());
            spawn(move || {
                while let Ok(Some(bytes)) = read_frame(&mut stream) {
                    let (_, call) =
                        codec_read(encoding, &bytes).expect("what the node sends reads");
                    let wanted = call.kind != Kind::Oneway;
                    seen.lock()
                        .expect("seen")
                        .push((wanted, call.name.clone(), call.body.clone()));
                    if !wanted {
                        continue;
                    }
                    // As it was called.
                    let write = |kind, body: &Value| {
                        codec_written(encoding, kind, &call.name, call.seqid, body)
                    };
                    let (kind, body) = obey(&call.body, |body| write(Kind::Reply, body).len());
                    if stream.write_all(&framed(&write(kind, &body))).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

// ---- Cells --------------------------------------------------------------------------------------

/// A caller, the node, and a box.
struct Link<'a> {
    caller: Box<dyn Caller>,
    from: Peer,
    to: Peer,
    multiplexed: bool,
    seen: &'a Seen,
}

type Row = fn(&mut Link<'_>) -> Result<(), String>;

fn same<T: PartialEq + Debug>(what: &str, got: T, expected: T) -> Result<(), String> {
    let short = |value: &T| format!("{value:?}").chars().take(200).collect::<String>();
    if got == expected {
        Ok(())
    } else {
        Err(format!("{what}: {}, not {}", short(&got), short(&expected)))
    }
}

impl Link<'_> {
    fn ask(&mut self, seqid: i32, arguments: &Value) -> Result<Got, String> {
        self.caller.send(Kind::Call, "echo", seqid, arguments);
        let got = self.caller.answer()?;
        // As strict clients look at it.
        same("its name", got.name.as_str(), "echo")?;
        same("its number", got.seqid, seqid)?;
        Ok(got)
    }

    /// The call that the box saw last.
    fn saw(&self) -> Option<(bool, String, Value)> {
        self.seen.lock().expect("seen").pop()
    }

    /// Sends a value there and back: the box sees what was sent, the caller gets what the box said.
    fn echo(&mut self, seqid: i32, value: Value) -> Result<(), String> {
        let arguments = arguments("echo", value.clone());
        let got = self.ask(seqid, &arguments)?;
        let (_, name, seen) = self.saw().ok_or("the box saw nothing")?;
        let stripped = self.to.library == Library::Apache;
        let called = if self.multiplexed && !stripped {
            "Tally:echo"
        } else {
            "echo"
        };
        same("the box's name", name.as_str(), called)?;
        same("the box's arguments", seen, arguments)?;
        same(
            "the answer",
            (got.kind, got.body),
            (Kind::Reply, Value::Struct(vec![(0, value)])),
        )
    }

    /// The arguments of just that length in this caller's words.
    fn call_of(&self, size: usize) -> Value {
        let (from, multiplexed) = (self.from, self.multiplexed);
        let name = if multiplexed { "Tally:echo" } else { "echo" };
        let of = |padding| arguments("void", Value::Bytes(vec![b'.'; padding]));
        padded(size, of, |body| match from.library {
            Library::Apache => encode_with_apache(
                from.encoding,
                Head {
                    kind: Kind::Call,
                    name,
                    seqid: 1,
                },
                body,
            )
            .len(),
            Library::Codec => codec_written(from.encoding, Kind::Call, name, 1, body).len(),
        })
    }

    fn sized(&mut self, size: usize) -> Result<(), String> {
        let arguments = self.call_of(size);
        let got = self.ask(1, &arguments)?;
        same(
            "the answer",
            (got.kind, got.body),
            (Kind::Reply, Value::Struct(vec![])),
        )?;
        same(
            "the box's arguments",
            self.saw().map(|(.., seen)| seen),
            Some(arguments),
        )
    }
}

/// The number of a `TApplicationException`.
fn number(got: &Got) -> Option<i32> {
    match (got.kind, field(&got.body, 2)) {
        (Kind::Exception, Some(Value::I32(number))) => Some(*number),
        _ => None,
    }
}

fn text(text: &str) -> Value {
    Value::Bytes(text.as_bytes().to_vec())
}

const ROWS: [(&str, Row); 18] = [
    ("result", |link| link.echo(1, text("counted"))),
    ("declared exception", |link| {
        let got = link.ask(7, &arguments("declared", Value::I8(0)))?;
        let closed = Value::Struct(vec![
            (1, text("the station is closed")),
            (77, Value::I16(-3)),
        ]);
        same(
            "the answer",
            (got.kind, got.body),
            (Kind::Reply, Value::Struct(vec![(1, closed)])),
        )
    }),
    ("TApplicationException of the box", |link| {
        // It may have run: the caller is told so in the node's words.
        let got = link.ask(8, &arguments("application", Value::I8(0)))?;
        same("its type", number(&got), Some(6))
    }),
    ("TApplicationException of the node", |link| {
        link.caller
            .send(Kind::Call, "erase", 9, &arguments("void", Value::I8(0)));
        let got = link.caller.answer()?;
        same("its head", (got.name.as_str(), got.seqid), ("erase", 9))?;
        same("its type", number(&got), Some(1))
    }),
    ("void", |link| {
        let got = link.ask(2, &arguments("void", Value::I8(0)))?;
        same(
            "the answer",
            (got.kind, got.body),
            (Kind::Reply, Value::Struct(vec![])),
        )
    }),
    ("oneway", |link| {
        let arguments = arguments("void", text("noted"));
        link.caller.send(Kind::Oneway, "note", 0, &arguments);
        let mut seen = None;
        until(
            || {
                seen = link.saw().filter(|(_, name, _)| name.ends_with("note"));
                seen.is_some()
            },
            "a oneway call at the box",
        );
        same(
            "the box",
            seen.map(|(wanted, _, arguments)| (wanted, arguments)),
            Some((false, arguments)),
        )?;
        // Its connection has nothing that the next call could take for its answer.
        link.echo(0, text("and on"))
    }),
    ("numbers always 0", |link| {
        for n in 0..3 {
            link.caller
                .send(Kind::Call, "echo", 0, &arguments("echo", Value::I32(n)));
        }
        for n in 0..3 {
            let got = link.caller.answer()?;
            let expected = Value::Struct(vec![(0, Value::I32(n))]);
            same(
                "an answer in its turn",
                (got.seqid, got.body),
                (0, expected),
            )?;
        }
        Ok(())
    }),
    ("negative numbers", |link| {
        link.echo(-1, text("a"))?;
        link.echo(i32::MIN, text("b"))
    }),
    ("numbers that wrap", |link| {
        link.echo(i32::MAX, text("last"))?;
        link.echo(i32::MAX.wrapping_add(1), text("first"))
    }),
    ("empty containers", |link| {
        link.echo(
            3,
            Value::Struct(vec![
                (1, Value::List(TType::Struct, vec![])),
                (2, Value::Set(TType::I64, vec![])),
                (3, Value::Bytes(vec![])),
                (4, Value::Struct(vec![])),
                (
                    5,
                    Value::List(TType::List, vec![Value::List(TType::String, vec![])]),
                ),
            ]),
        )
    }),
    ("containers", |link| {
        let list = |count| Value::List(TType::I32, (0..count).map(Value::I32).collect());
        let pairs = (0..20).map(|i| (text(&format!("candidate {i}")), list(i)));
        link.echo(
            3,
            Value::Struct(vec![
                (1, list(14)),
                (2, list(15)),
                (
                    3,
                    Value::Set(TType::Bool, vec![Value::Bool(true), Value::Bool(false)]),
                ),
                (4, Value::Map(TType::String, TType::List, pairs.collect())),
            ]),
        )
    }),
    ("empty maps", |link| {
        link.echo(
            4,
            Value::Struct(vec![
                (1, Value::Map(TType::String, TType::I32, vec![])),
                (2, text("x")),
            ]),
        )
    }),
    ("doubles", |link| {
        let all = [
            0.0,
            -0.0,
            1.5,
            f64::MIN_POSITIVE / 4.0,
            f64::INFINITY,
            f64::NEG_INFINITY,
            f64::MAX,
        ];
        let bits = all
            .map(f64::to_bits)
            .into_iter()
            .chain([0x7ff8_0000_0000_beef]);
        link.echo(
            5,
            Value::Struct((1..).zip(bits.map(Value::Double)).collect()),
        )
    }),
    ("uuid (type 16)", |link| {
        let uuid = |first: u8| Value::Uuid(std::array::from_fn(|i| first + i as u8));
        let list = Value::List(TType::Uuid, vec![uuid(1), uuid(100)]);
        link.echo(6, Value::Struct(vec![(1, uuid(0xe0)), (2, list)]))
    }),
    ("unknown fields", |link| {
        let inner = Value::Struct(vec![(1, Value::I16(-1)), (2, text("deeper"))]);
        let unknown = Value::Struct(vec![
            (99, Value::Bool(true)),
            (100, Value::Bool(false)),
            (32_000, inner),
            (-7, Value::I64(i64::MIN)),
        ]);
        let Value::Struct(mut fields) = arguments("echo", unknown.clone()) else {
            unreachable!()
        };
        fields.extend([(400, Value::I32(-1)), (401, unknown.clone())]);
        let arguments = Value::Struct(fields);
        let got = link.ask(10, &arguments)?;
        same(
            "the box's arguments",
            link.saw().map(|(.., seen)| seen),
            Some(arguments),
        )?;
        same("the answer", got.body, Value::Struct(vec![(0, unknown)]))
    }),
    ("64 KiB less one", |link| {
        link.sized(MAX_FRAME - 1)?;
        let got = link.ask(
            1,
            &arguments(&format!("size {}", MAX_FRAME - 1), Value::I8(0)),
        )?;
        same("its kind", got.kind, Kind::Reply)
    }),
    ("64 KiB", |link| {
        // The numbers of the node's own connection grow, and with them its heads in compact.
        for _ in 0..3 {
            link.sized(MAX_FRAME)?;
        }
        let got = link.ask(-1, &arguments(&format!("size {MAX_FRAME}"), Value::I8(0)))?;
        same("its kind", got.kind, Kind::Reply)
    }),
    ("64 KiB and one", |link| {
        let got = link.ask(
            1,
            &arguments(&format!("size {}", MAX_FRAME + 1), Value::I8(0)),
        )?;
        same("too long an answer: it has run", number(&got), Some(6))?;
        link.saw();
        let arguments = link.call_of(MAX_FRAME + 1);
        link.caller.send(Kind::Call, "echo", 1, &arguments);
        // Without a head that could be read: in strict binary, without a name, and the connection ends.
        let refused = link.caller.answer();
        if link.from.encoding == STRICT {
            let got = refused?;
            same("too long a call", number(&got), Some(7))?;
        }
        same("another answer", link.caller.answer().is_err(), true)?;
        same("a call at the box", link.saw().is_none(), true)
    }),
];

/// What two libraries do not have in common, whatever stands between them.
fn is_cell(row: &str, from: Peer, to: Peer) -> bool {
    let codec = |peer: Peer| peer.library == Library::Codec;
    // `thrift_codec` 0.3.2 tells the types of a compact container's elements by their numbers in binary, and reads no
    // UUID in a compact struct.
    let compact = |peer: Peer| codec(peer) && peer.encoding == Encoding::Compact;
    match row {
        "containers" | "empty containers" | "uuid (type 16)" => !compact(from) && !compact(to),
        // Nor does it have an empty map with types of its own to write.
        "empty maps" => !codec(from) && !codec(to),
        _ => true,
    }
}

fn node(to: Peer, address: SocketAddr) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(20_000, ""), 1024);
    let encoding = match to.encoding {
        STRICT => "binary",
        OLD => "binary-old",
        Encoding::Compact => "compact",
    };
    let method = |service: &str, name: &str, class: &str| {
        format!(
            "[[thrift.method]]\n{service}name = \"{name}\"\nclass = \"{class}\"\nstation_key = \"1.1\"\n\
             default_tenant = \"acme\"\nbudget_ms = \"1.4\"\n"
        )
    };
    let methods: String = ["", "service = \"Tally\"\n"]
        .iter()
        .flat_map(|service| {
            [
                method(service, "echo", "correct"),
                method(service, "note", "correct"),
            ]
        })
        .collect();
    let operator = format!(
        "[thrift]\nlisten = \"127.0.0.1:0\"\n{methods}{}",
        operator_backend("t", encoding)
    );
    peers::serving_operator(
        &config,
        discovery,
        &operator,
        &[entry_of("t", "box", address, "in_service")],
    )
}

/// All cells of a box; the name of each, and what is wrong with it.
fn cells(to: Peer) -> Vec<(String, Result<(), String>)> {
    let seen = Seen::default();
    let address = match to.library {
        Library::Apache => apache_box(to.encoding, seen.clone()),
        Library::Codec => codec_box(to.encoding, seen.clone()),
    };
    let (node, _watch, _discovery) = node(to, address);
    let listens = node.thrift.expect("a listener");
    let mut cells = Vec::new();
    for from in PEERS {
        for multiplexed in [false, true] {
            for (row, check) in ROWS.iter().filter(|(row, _)| is_cell(row, from, to)) {
                let caller: Box<dyn Caller> = match from.library {
                    Library::Apache => {
                        Box::new(ApacheCaller::connect(listens, from.encoding, multiplexed))
                    }
                    Library::Codec => {
                        Box::new(CodecCaller::connect(listens, from.encoding, multiplexed))
                    }
                };
                seen.lock().expect("seen").clear();
                let mut link = Link {
                    caller,
                    from,
                    to,
                    multiplexed,
                    seen: &seen,
                };
                let names = if multiplexed { "multiplexed" } else { "plain" };
                cells.push((
                    format!("{row}: {from:?} to {to:?}, {names}"),
                    check(&mut link),
                ));
            }
        }
    }
    cells
}

#[test]
fn every_cell_of_the_matrix_of_independent_peers_holds() {
    let boxes = PEERS.map(|to| spawn(move || cells(to)));
    let cells: Vec<_> = boxes
        .into_iter()
        .flat_map(|cells| cells.join().expect("its cells"))
        .collect();
    let mut rows: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (name, result) in &cells {
        let (row, _) = name.split_once(':').expect("a row");
        let counts = rows.entry(row).or_default();
        *counts = (counts.0 + usize::from(result.is_ok()), counts.1 + 1);
    }
    rows.iter()
        .for_each(|(row, (held, all))| println!("{row}: {held} of {all} cells"));
    let broken: Vec<_> = cells
        .iter()
        .filter_map(|(name, result)| result.as_ref().err().map(|e| format!("{name}: {e}")))
        .collect();
    println!(
        "matrix: {} of {} cells",
        cells.len() - broken.len(),
        cells.len()
    );
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

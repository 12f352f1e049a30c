//! An etcd of one member, as far as a node's watch needs it: lists and watches of all keys, over HTTP/2 as gRPC words it.
//!
//! A call whose first message ends the client's side of its stream is a Range, any other a Watch. Nothing is compacted.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const ACK: u8 = 1;
const PREFACE_BYTES: usize = 24;

struct Put {
    key: String,
    value: String,
    revision: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The current value of each key.
    keys: Vec<Put>,
    watches: Vec<Watch>,
}

struct Watch {
    stream: TcpStream,
    id: u32,
}

/// An etcd. Clones are the same one.
#[derive(Clone)]
pub struct Etcd {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Etcd {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("etcd listens");
        let etcd = Etcd {
            address: listener.local_addr().expect("its address"),
            state: Arc::default(),
        };
        etcd.state.lock().expect("its state").revision = 1;
        let served = etcd.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || {
                    let _ = served.serve(stream);
                });
            }
        });
        etcd
    }

    /// Puts a value, and tells all watches. Returns how many were told.
    pub fn put(&self, key: &str, value: &str) -> usize {
        let mut state = self.state.lock().expect("its state");
        state.revision += 1;
        let put = Put {
            key: key.to_owned(),
            value: value.to_owned(),
            revision: state.revision,
        };
        let event = bytes(11, &bytes(2, &key_value(&put)));
        let response = [bytes(1, &header(state.revision)), event].concat();
        state.keys.retain(|known| known.key != key);
        state.keys.push(put);
        let message = message(&response);
        state
            .watches
            .retain_mut(|watch| frame(&mut watch.stream, DATA, 0, watch.id, &message).is_ok());
        state.watches.len()
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        stream.read_exact(&mut [0; PREFACE_BYTES])?;
        frame(&mut stream, SETTINGS, 0, 0, &[])?;
        loop {
            let mut head = [0; 9];
            stream.read_exact(&mut head)?;
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let (kind, flags) = (head[3], head[4]);
            let id = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
            let mut payload = vec![0; length];
            stream.read_exact(&mut payload)?;
            // The state is held while a frame is written, since a Put writes to the same connections.
            let mut state = self.state.lock().expect("its state");
            match kind {
                SETTINGS if flags & ACK == 0 => frame(&mut stream, SETTINGS, ACK, 0, &[])?,
                PING if flags & ACK == 0 => frame(&mut stream, PING, ACK, 0, &payload)?,
                DATA if payload.len() >= 5 => {
                    if flags & END_STREAM != 0 {
                        answer_range(&mut stream, id, &state)?;
                    } else {
                        let revision = state.revision;
                        // The first byte of the message is the tag of what is asked: 1 to create, 3 for progress.
                        let created = payload.get(5).is_some_and(|tag| tag >> 3 == 1);
                        let mut response = bytes(1, &header(revision));
                        if created {
                            response.extend(number(3, 1));
                            let headers = response_headers();
                            frame(&mut stream, HEADERS, END_HEADERS, id, &headers)?;
                            let stream = stream.try_clone()?;
                            state.watches.push(Watch { stream, id });
                        }
                        frame(&mut stream, DATA, 0, id, &message(&response))?;
                    }
                }
                _ => {}
            }
        }
    }
}

fn answer_range(stream: &mut TcpStream, id: u32, state: &State) -> std::io::Result<()> {
    let mut response = bytes(1, &header(state.revision));
    for put in &state.keys {
        response.extend(bytes(2, &key_value(put)));
    }
    response.extend(number(4, state.keys.len() as u64));
    frame(stream, HEADERS, END_HEADERS, id, &response_headers())?;
    frame(stream, DATA, 0, id, &message(&response))?;
    let trailers = literal("grpc-status", "0");
    frame(stream, HEADERS, END_HEADERS | END_STREAM, id, &trailers)
}

fn frame(
    stream: &mut TcpStream,
    kind: u8,
    flags: u8,
    id: u32,
    payload: &[u8],
) -> std::io::Result<()> {
    let length = (payload.len() as u32).to_be_bytes();
    let mut out = vec![length[1], length[2], length[3], kind, flags];
    out.extend_from_slice(&id.to_be_bytes());
    out.extend_from_slice(payload);
    stream.write_all(&out)
}

/// `:status: 200` by its number in the static table, and the type of the content.
fn response_headers() -> Vec<u8> {
    let mut out = vec![0x88];
    out.extend(literal("content-type", "application/grpc"));
    out
}

/// A header field without indexing, with a new name. Both are short.
fn literal(name: &str, value: &str) -> Vec<u8> {
    let mut out = vec![0, name.len() as u8];
    out.extend_from_slice(name.as_bytes());
    out.push(value.len() as u8);
    out.extend_from_slice(value.as_bytes());
    out
}

/// A message with its gRPC prefix.
fn message(bytes: &[u8]) -> Vec<u8> {
    let mut out = vec![0];
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
    out
}

fn varint(mut value: u64) -> Vec<u8> {
    let mut out = Vec::new();
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
    out
}

/// A number field of a message.
fn number(tag: u64, value: u64) -> Vec<u8> {
    [varint(tag << 3), varint(value)].concat()
}

/// A field of bytes, or of a message.
fn bytes(tag: u64, value: &[u8]) -> Vec<u8> {
    [
        varint(tag << 3 | 2),
        varint(value.len() as u64),
        value.to_vec(),
    ]
    .concat()
}

fn header(revision: u64) -> Vec<u8> {
    [
        number(1, 7),
        number(2, 1),
        number(3, revision),
        number(4, 1),
    ]
    .concat()
}

fn key_value(put: &Put) -> Vec<u8> {
    [
        bytes(1, put.key.as_bytes()),
        number(2, put.revision),
        number(3, put.revision),
        number(4, 1),
        bytes(5, put.value.as_bytes()),
    ]
    .concat()
}

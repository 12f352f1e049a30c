//! Framed Thrift in the binary encoding, as far as the cases need it, and tally boxes that speak it.
//!
//! The service: `string correct(1: string station, 2: binary sheet)` and `oneway void note(1: string station, 2: binary sheet)`.
//! A sheet begins with the name of its call and a space.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;
const STRING: u8 = 11;
const I32: u8 = 8;

/// What a reply says.
#[derive(Debug, PartialEq)]
pub enum Said {
    /// The result.
    Result(String),
    /// A `TApplicationException`: its type, its text and after how many milliseconds to come back.
    Exception(i32, String, Option<i32>),
}

fn head(kind: u8, name: &str, seqid: i32) -> Vec<u8> {
    let mut out = (0x8001_0000_u32 | u32::from(kind)).to_be_bytes().to_vec();
    string(&mut out, name.as_bytes());
    out.extend_from_slice(&seqid.to_be_bytes());
    out
}

fn string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(&(text.len() as u32).to_be_bytes());
    out.extend_from_slice(text);
}

fn field(out: &mut Vec<u8>, kind: u8, id: i16) {
    out.push(kind);
    out.extend_from_slice(&id.to_be_bytes());
}

fn framed(message: Vec<u8>) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// The frame of a call that has a reply.
pub fn call(name: &str, seqid: i32, station: &str, sheet: &[u8]) -> Vec<u8> {
    arguments(head(CALL, name, seqid), station, sheet)
}

/// The frame of a call that has none.
pub fn oneway(name: &str, seqid: i32, station: &str, sheet: &[u8]) -> Vec<u8> {
    arguments(head(ONEWAY, name, seqid), station, sheet)
}

fn arguments(mut out: Vec<u8>, station: &str, sheet: &[u8]) -> Vec<u8> {
    field(&mut out, STRING, 1);
    string(&mut out, station.as_bytes());
    field(&mut out, STRING, 2);
    string(&mut out, sheet);
    out.push(0);
    framed(out)
}

/// Reads a frame; `None` if the connection ends before it.
pub fn read_frame(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length) {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        other => other?,
    }
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    Ok(Some(body))
}

struct Input<'a>(&'a [u8]);

impl<'a> Input<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn number(&mut self) -> Option<i32> {
        Some(i32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    fn string(&mut self) -> Option<&'a [u8]> {
        let length = self.number()?;
        self.take(usize::try_from(length).ok()?)
    }

    /// The kind, name and number of a message.
    fn head(&mut self) -> Option<(u8, String, i32)> {
        let version = self.number()? as u32;
        let name = String::from_utf8_lossy(self.string()?).into_owned();
        Some((version as u8, name, self.number()?))
    }

    fn field(&mut self) -> Option<(u8, i16)> {
        let kind = self.take(1)?[0];
        if kind == 0 {
            return Some((0, 0));
        }
        Some((kind, i16::from_be_bytes(self.take(2)?.try_into().ok()?)))
    }
}

/// A reply's sequence number, and what it says.
pub fn read_reply(body: &[u8]) -> Option<(i32, Said)> {
    let mut input = Input(body);
    let (kind, _, seqid) = input.head()?;
    let (mut text, mut number, mut later) = (String::new(), 0, None);
    loop {
        match input.field()? {
            (0, _) => break,
            (STRING, _) => text = String::from_utf8_lossy(input.string()?).into_owned(),
            (I32, 2) => number = input.number()?,
            (I32, _) => later = Some(input.number()?),
            _ => return None,
        }
    }
    match kind {
        REPLY => Some((seqid, Said::Result(text))),
        EXCEPTION => Some((seqid, Said::Exception(number, text, later))),
        _ => None,
    }
}

/// Starts a tally box. `work` gets the name of each call whose last byte has come, and its result is the reply.
pub fn start_box(work: Arc<dyn Fn(&str) -> String + Send + Sync>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a box listens");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let work = work.clone();
            std::thread::spawn(move || {
                let _ = serve(stream, &*work);
            });
        }
    });
    address
}

fn serve(mut stream: TcpStream, work: &(dyn Fn(&str) -> String + Send + Sync)) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    while let Some(body) = read_frame(&mut stream)? {
        let mut input = Input(&body);
        let Some((kind @ (CALL | ONEWAY), name, seqid)) = input.head() else {
            break;
        };
        let mut sheet = Vec::new();
        while let Some((STRING, id)) = input.field() {
            let Some(value) = input.string() else { break };
            if id == 2 {
                sheet = value.to_vec();
            }
        }
        let sheet = String::from_utf8_lossy(&sheet).into_owned();
        let result = work(sheet.split(' ').next().unwrap_or_default());
        if kind == ONEWAY {
            continue;
        }
        let mut out = head(REPLY, &name, seqid);
        field(&mut out, STRING, 0);
        string(&mut out, result.as_bytes());
        out.push(0);
        stream.write_all(&framed(out))?;
    }
    Ok(())
}

//! Framed Thrift messages in the strict binary encoding, as far as the cases need them.

use std::io::{self, Read};
use std::net::TcpStream;

const CALL: u8 = 1;
const REPLY: u8 = 2;
const ONEWAY: u8 = 4;
const TYPE_I64: u8 = 10;
const TYPE_STRING: u8 = 11;

/// A message: its type, method, sequence number, and the text in its first field.
#[derive(Debug)]
pub struct Message {
    pub kind: u8,
    pub name: String,
    pub seqid: i32,
    pub text: String,
}

impl Message {
    pub fn is_result(&self) -> bool {
        self.kind == REPLY
    }

    pub fn is_oneway(&self) -> bool {
        self.kind == ONEWAY
    }
}

fn head(kind: u8, name: &str, seqid: i32) -> Vec<u8> {
    let mut out = vec![0x80, 0x01, 0x00, kind];
    out.extend((name.len() as u32).to_be_bytes());
    out.extend(name.as_bytes());
    out.extend(seqid.to_be_bytes());
    out
}

fn text_field(out: &mut Vec<u8>, id: i16, text: &str) {
    out.push(TYPE_STRING);
    out.extend(id.to_be_bytes());
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text.as_bytes());
}

fn framed(body: Vec<u8>) -> Vec<u8> {
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// A call with a text in field 1 and a budget in field 2.
pub fn call(name: &str, seqid: i32, text: &str, budget_ms: i64) -> Vec<u8> {
    message(CALL, name, seqid, text, budget_ms)
}

/// The same as a call that has no answer.
pub fn oneway(name: &str, seqid: i32, text: &str, budget_ms: i64) -> Vec<u8> {
    message(ONEWAY, name, seqid, text, budget_ms)
}

fn message(kind: u8, name: &str, seqid: i32, text: &str, budget_ms: i64) -> Vec<u8> {
    let mut out = head(kind, name, seqid);
    text_field(&mut out, 1, text);
    out.push(TYPE_I64);
    out.extend(2i16.to_be_bytes());
    out.extend(budget_ms.to_be_bytes());
    out.push(0);
    framed(out)
}

/// A result with a text.
pub fn reply(name: &str, seqid: i32, text: &str) -> Vec<u8> {
    let mut out = head(REPLY, name, seqid);
    text_field(&mut out, 0, text);
    out.push(0);
    framed(out)
}

/// Reads a message; `None` at the end of the connection.
pub fn read(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut length = [0; 4];
    if stream.read(&mut length[..1])? == 0 {
        return Ok(None);
    }
    stream.read_exact(&mut length[1..])?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    parse(&body)
        .map(Some)
        .ok_or(io::ErrorKind::InvalidData.into())
}

fn parse(body: &[u8]) -> Option<Message> {
    let number = |at: usize| Some(u32::from_be_bytes(body.get(at..at + 4)?.try_into().ok()?));
    let kind = *body.get(3)?;
    let name_length = number(4)? as usize;
    let name = String::from_utf8_lossy(body.get(8..8 + name_length)?).into_owned();
    let seqid = number(8 + name_length)? as i32;
    let at = 12 + name_length;
    // The first field, if it is a text: in a call its station, in a result or an exception what was said.
    let text = match body.get(at) {
        Some(&TYPE_STRING) => {
            let length = number(at + 3)? as usize;
            String::from_utf8_lossy(body.get(at + 7..at + 7 + length)?).into_owned()
        }
        _ => String::new(),
    };
    Some(Message {
        kind,
        name,
        seqid,
        text,
    })
}

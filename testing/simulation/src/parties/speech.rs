//! The two protocols as peers speak them: as much of HTTP/1.1 and framed Thrift as a scripted peer needs.

use crate::net::Socket;
use sillward_thrift::wire::{
    BinaryWriter, Encoding, ExceptionKind, Head, Kind, Type, Writer, exception, frame, write_head,
};
use std::io;

/// The encoding of all Thrift peers here.
pub const BINARY: Encoding = Encoding::Binary { strict: true };
/// What no peer sends more of.
const LONGEST: usize = 1 << 20;

/// A message, and the bytes behind it that have come already.
#[derive(Default)]
pub struct Inbox {
    bytes: Vec<u8>,
}

/// An HTTP message.
pub struct Http {
    /// Request or status line, and headers.
    pub head: String,
    pub body: Vec<u8>,
}

impl Http {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// An answer's status.
    pub fn status(&self) -> u16 {
        self.head
            .get(9..12)
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (known, value) = line.split_once(':')?;
        known.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Where something stands in bytes.
pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// The call that bytes name: `op=12.0;`.
pub fn call_in(bytes: &[u8]) -> Option<String> {
    let from = find(bytes, b"op=")? + 3;
    let end = bytes[from..]
        .iter()
        .take(24)
        .position(|byte| *byte == b';')?;
    std::str::from_utf8(&bytes[from..from + end])
        .ok()
        .map(str::to_owned)
}

impl Inbox {
    /// Whether something has come that was not asked for.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    async fn more(&mut self, socket: &Socket) -> io::Result<bool> {
        let mut chunk = [0; 1024];
        let count = socket.read(&mut chunk).await?;
        self.bytes.extend_from_slice(&chunk[..count]);
        if self.bytes.len() > LONGEST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(count > 0)
    }

    /// The next HTTP message; `None` at the end of the stream before its first byte.
    ///
    /// # Errors
    /// The connection breaks, or ends within it.
    pub async fn http(&mut self, socket: &Socket) -> io::Result<Option<Http>> {
        let head = loop {
            if let Some(end) = find(&self.bytes, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
                self.bytes.drain(..end + 4);
                break head;
            }
            if !self.more(socket).await? {
                return if self.bytes.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let length = header(&head, "content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while self.bytes.len() < length {
            if !self.more(socket).await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let body = self.bytes.drain(..length).collect();
        Ok(Some(Http { head, body }))
    }

    /// The next Thrift message, without its frame; `None` at the end of the stream before its first byte.
    ///
    /// # Errors
    /// The connection breaks, or ends within it.
    pub async fn frame(&mut self, socket: &Socket) -> io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(length) = self.bytes.first_chunk::<4>() {
                let length = u32::from_be_bytes(*length) as usize;
                if length > LONGEST {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if self.bytes.len() >= 4 + length {
                    let rest = self.bytes.split_off(4 + length);
                    let message = std::mem::replace(&mut self.bytes, rest);
                    return Ok(Some(message[4..].to_vec()));
                }
            }
            if !self.more(socket).await? {
                return if self.bytes.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }
}

/// A Thrift call of one struct argument, as callers word it.
pub fn thrift_call(
    method: &str,
    seqid: i32,
    call: &str,
    key: &str,
    budget_ms: u64,
    sheet: usize,
) -> Vec<u8> {
    let mut out = vec![0; 4];
    write_head(
        &mut out,
        BINARY,
        Head {
            kind: Kind::Call,
            name: method,
            seqid,
        },
    );
    let mut writer = BinaryWriter(out);
    let outer = writer.struct_begin();
    writer.field(Type::Struct, 1);
    let inner = writer.struct_begin();
    writer.field(Type::Bytes, 1);
    writer.bytes(format!("op={call};").as_bytes());
    writer.field(Type::Bytes, 2);
    writer.bytes(key.as_bytes());
    writer.field(Type::I64, 4);
    writer.i64(budget_ms as i64);
    writer.struct_end(inner);
    writer.field(Type::Bytes, 2);
    writer.bytes(&vec![b's'; sheet]);
    writer.struct_end(outer);
    frame(writer.0)
}

/// A Thrift reply with a text as its result.
pub fn thrift_reply(name: &str, seqid: i32, text: &str, load: &str) -> Vec<u8> {
    let mut out = vec![0; 4];
    write_head(
        &mut out,
        BINARY,
        Head {
            kind: Kind::Reply,
            name,
            seqid,
        },
    );
    let mut writer = BinaryWriter(out);
    let saved = writer.struct_begin();
    writer.field(Type::Bytes, 0);
    writer.bytes(text.as_bytes());
    writer.field(Type::Bytes, 99);
    writer.bytes(load.as_bytes());
    writer.struct_end(saved);
    frame(writer.0)
}

/// A Thrift reply that says that the call was turned away: the result's field 2.
pub fn thrift_away(name: &str, seqid: i32) -> Vec<u8> {
    let mut out = vec![0; 4];
    write_head(
        &mut out,
        BINARY,
        Head {
            kind: Kind::Reply,
            name,
            seqid,
        },
    );
    let mut writer = BinaryWriter(out);
    let saved = writer.struct_begin();
    writer.field(Type::Struct, 2);
    let inner = writer.struct_begin();
    writer.struct_end(inner);
    writer.struct_end(saved);
    frame(writer.0)
}

/// A Thrift exception that promises nothing.
pub fn thrift_error(name: &str, seqid: i32) -> Vec<u8> {
    exception(
        BINARY,
        name,
        seqid,
        ExceptionKind::InternalError,
        "from the box",
        None,
    )
}

//! Messages: a head (what it is, the method's name, the sequence number) before a struct.

use super::{
    BinaryReader, BinaryWriter, CompactReader, CompactWriter, DecodeError, Encoding, MessageLimits,
    Reader, Slice, Type, Writer, copy_struct, skip,
};

const BINARY_VERSION: u32 = 0x8001_0000;
const COMPACT_PROTOCOL: u8 = 0x82;
const COMPACT_VERSION: u8 = 1;

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// A call that wants a reply.
    Call = 1,
    /// A result: a value or an exception that the service declares.
    Reply = 2,
    /// A `TApplicationException`.
    Exception = 3,
    /// A call that wants none.
    Oneway = 4,
}

impl Kind {
    fn from_number(number: u8) -> Result<Self, DecodeError> {
        Ok(match number {
            1 => Kind::Call,
            2 => Kind::Reply,
            3 => Kind::Exception,
            4 => Kind::Oneway,
            other => return Err(DecodeError::Kind(other)),
        })
    }
}

/// A message's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head<'a> {
    /// What it is.
    pub kind: Kind,
    /// The method's name, with its service's and a colon before it where services are multiplexed.
    pub name: &'a str,
    /// By which an answer finds its call.
    pub seqid: i32,
}

/// A message whose head has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// How it is written.
    pub encoding: Encoding,
    /// Its head.
    pub head: Head<'a>,
    /// Its struct, and whatever stands behind that.
    pub body: &'a [u8],
}

/// The numbers of `TApplicationException`'s types that are common to all libraries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum ExceptionKind {
    /// No such method.
    UnknownMethod = 1,
    /// A message that is no call.
    InvalidMessageType = 2,
    /// No result.
    MissingResult = 5,
    /// A failure within.
    InternalError = 6,
    /// A message that can't be read.
    ProtocolError = 7,
    /// A client that can't be served.
    UnsupportedClientType = 10,
}

/// The encoding that a message's first bytes tell; `None` if they are neither.
pub fn encoding_of(bytes: &[u8]) -> Option<Encoding> {
    match bytes {
        [0x80, 0x01, ..] => Some(Encoding::Binary { strict: true }),
        [COMPACT_PROTOCOL, ..] => Some(Encoding::Compact),
        // The old head begins with the name's length, and no name has 16 MiB.
        [0x00, ..] => Some(Encoding::Binary { strict: false }),
        _ => None,
    }
}

/// Reads a message's head.
///
/// # Errors
/// The bytes are no head, or the name is beyond its bound or no text.
pub fn read_head<'a>(bytes: &'a [u8], limits: &MessageLimits) -> Result<Message<'a>, DecodeError> {
    let encoding = encoding_of(bytes).ok_or(DecodeError::Version)?;
    let text = |name: &'a [u8]| match std::str::from_utf8(name) {
        Ok(name) if name.len() <= limits.max_name_bytes => Ok(name),
        _ => Err(DecodeError::Name),
    };
    let (head, body) = match encoding {
        Encoding::Binary { strict } => {
            let mut reader = BinaryReader::new(bytes);
            if strict {
                let version = reader.i32()? as u32;
                if version & 0xffff_ff00 != BINARY_VERSION {
                    return Err(DecodeError::Version);
                }
                let kind = Kind::from_number(version as u8)?;
                let name = text(reader.bytes()?)?;
                (
                    Head {
                        kind,
                        name,
                        seqid: reader.i32()?,
                    },
                    reader.rest(),
                )
            } else {
                let name = text(reader.bytes()?)?;
                let kind = Kind::from_number(reader.i8()? as u8)?;
                (
                    Head {
                        kind,
                        name,
                        seqid: reader.i32()?,
                    },
                    reader.rest(),
                )
            }
        }
        Encoding::Compact => {
            let mut slice = Slice(bytes);
            let [_, second] = slice.array()?;
            if second & 0x1f != COMPACT_VERSION {
                return Err(DecodeError::Version);
            }
            let kind = Kind::from_number(second >> 5)?;
            let mut reader = CompactReader::new(slice.0);
            let seqid = reader.varint(32)? as u32 as i32;
            (
                Head {
                    kind,
                    name: text(reader.bytes()?)?,
                    seqid,
                },
                reader.rest(),
            )
        }
    };
    Ok(Message {
        encoding,
        head,
        body,
    })
}

/// Writes a message's head.
pub fn write_head(out: &mut Vec<u8>, encoding: Encoding, head: Head<'_>) {
    let mut binary = BinaryWriter(std::mem::take(out));
    match encoding {
        Encoding::Binary { strict: true } => {
            binary.i32((BINARY_VERSION | u32::from(head.kind as u8)) as i32);
            binary.bytes(head.name.as_bytes());
            binary.i32(head.seqid);
            *out = binary.0;
        }
        Encoding::Binary { strict: false } => {
            binary.bytes(head.name.as_bytes());
            binary.i8(head.kind as i8);
            binary.i32(head.seqid);
            *out = binary.0;
        }
        Encoding::Compact => {
            let mut compact = CompactWriter::after(binary.0);
            compact
                .out
                .extend_from_slice(&[COMPACT_PROTOCOL, (head.kind as u8) << 5 | COMPACT_VERSION]);
            compact.varint(u64::from(head.seqid as u32));
            compact.bytes(head.name.as_bytes());
            *out = compact.out;
        }
    }
}

/// Writes a message into a frame of its own, with another head and perhaps in another encoding. What was compact
/// and stays compact, or was binary and stays so, goes on byte for byte.
///
/// # Errors
/// Its struct does not read, more stands behind it, or what comes out is larger than [`MessageLimits::max_written_bytes`].
pub fn transcode(
    message: &Message<'_>,
    to: Encoding,
    head: Head<'_>,
    limits: &MessageLimits,
) -> Result<Vec<u8>, DecodeError> {
    let mut out = Vec::with_capacity(4 + 32 + head.name.len() + message.body.len() * 2);
    out.extend_from_slice(&[0; 4]);
    write_head(&mut out, to, head);
    let same = matches!(
        (message.encoding, to),
        (Encoding::Compact, Encoding::Compact) | (Encoding::Binary { .. }, Encoding::Binary { .. })
    );
    let whole = MessageLimits {
        max_frame_bytes: limits.max_written_bytes() + 4,
        ..*limits
    };
    let behind = match (message.encoding, to) {
        _ if same => {
            out.extend_from_slice(message.body);
            check(message, limits)?;
            &[][..]
        }
        (Encoding::Binary { .. }, _) => {
            let mut reader = BinaryReader::new(message.body);
            let mut writer = CompactWriter::after(out);
            copy_struct(&mut reader, &mut writer, &whole, limits.max_depth)?;
            out = writer.out;
            reader.rest()
        }
        (Encoding::Compact, _) => {
            let mut reader = CompactReader::new(message.body);
            let mut writer = BinaryWriter(out);
            copy_struct(&mut reader, &mut writer, &whole, limits.max_depth)?;
            out = writer.0;
            reader.rest()
        }
    };
    if !behind.is_empty() {
        return Err(DecodeError::Behind);
    }
    if out.len() > whole.max_frame_bytes {
        Err(DecodeError::Large)
    } else {
        Ok(super::frame(out))
    }
}

/// Checks that the message's struct reads and ends where the message does.
fn check(message: &Message<'_>, limits: &MessageLimits) -> Result<(), DecodeError> {
    let rest = match message.encoding {
        Encoding::Binary { .. } => {
            let mut reader = BinaryReader::new(message.body);
            skip(&mut reader, Type::Struct, limits, limits.max_depth)?;
            reader.rest()
        }
        Encoding::Compact => {
            let mut reader = CompactReader::new(message.body);
            skip(&mut reader, Type::Struct, limits, limits.max_depth)?;
            reader.rest()
        }
    };
    if rest.is_empty() {
        Ok(())
    } else {
        Err(DecodeError::Behind)
    }
}

/// A frame with a `TApplicationException`: its message (1), its type (2) and, beyond what the libraries know and
/// skip, after how many milliseconds to try again (3).
pub fn exception(
    encoding: Encoding,
    name: &str,
    seqid: i32,
    kind: ExceptionKind,
    text: &str,
    retry_ms: Option<i32>,
) -> Vec<u8> {
    let mut out = vec![0; 4];
    write_head(
        &mut out,
        encoding,
        Head {
            kind: Kind::Exception,
            name,
            seqid,
        },
    );
    fn fields(to: &mut impl Writer, kind: ExceptionKind, text: &str, retry_ms: Option<i32>) {
        let saved = to.struct_begin();
        to.field(Type::Bytes, 1);
        to.bytes(text.as_bytes());
        to.field(Type::I32, 2);
        to.i32(kind as i32);
        if let Some(ms) = retry_ms {
            to.field(Type::I32, 3);
            to.i32(ms);
        }
        to.struct_end(saved);
    }
    let out = match encoding {
        Encoding::Binary { .. } => {
            let mut writer = BinaryWriter(out);
            fields(&mut writer, kind, text, retry_ms);
            writer.0
        }
        Encoding::Compact => {
            let mut writer = CompactWriter::after(out);
            fields(&mut writer, kind, text, retry_ms);
            writer.out
        }
    };
    super::frame(out)
}

/// The type and text of a `TApplicationException`; a type that is not told is 0, as in the libraries.
///
/// # Errors
/// The bytes are no such struct.
pub fn read_exception(
    message: &Message<'_>,
    limits: &MessageLimits,
) -> Result<(i32, String), DecodeError> {
    fn fields<'a>(
        from: &mut impl Reader<'a>,
        limits: &MessageLimits,
    ) -> Result<(i32, String), DecodeError> {
        let (mut number, mut text) = (0, String::new());
        let saved = from.struct_begin();
        while let Some((of, id)) = from.field()? {
            match (id, of) {
                (1, Type::Bytes) => text = String::from_utf8_lossy(from.bytes()?).into_owned(),
                (2, Type::I32) => number = from.i32()?,
                _ => skip(from, of, limits, limits.max_depth)?,
            }
        }
        from.struct_end(saved);
        Ok((number, text))
    }
    match message.encoding {
        Encoding::Binary { .. } => fields(&mut BinaryReader::new(message.body), limits),
        Encoding::Compact => fields(&mut CompactReader::new(message.body), limits),
    }
}

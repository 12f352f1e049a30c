//! Messages: a head (message type, method name and sequence number), then a struct.

use super::{
    BinaryReader, BinaryWriter, CompactReader, CompactWriter, DecodeError, Encoding, Input,
    MessageLimits, Reader, Type, Writer, copy_struct, skip,
};

const BINARY_VERSION: u32 = 0x8001_0000;
const COMPACT_PROTOCOL: u8 = 0x82;
const COMPACT_VERSION: u8 = 1;

/// The type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// A call that expects a reply.
    Call = 1,
    /// A reply with a value or an exception that the service declares.
    Reply = 2,
    /// A `TApplicationException`.
    Exception = 3,
    /// A call without a reply.
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
    /// The message type.
    pub kind: Kind,
    /// The method's name, preceded by the service's name and a colon where services are multiplexed.
    pub name: &'a str,
    /// The sequence number, which matches a reply to its call.
    pub seqid: i32,
}

/// A message whose head has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its encoding.
    pub encoding: Encoding,
    /// Its head.
    pub head: Head<'a>,
    /// Its struct, and any bytes after that.
    pub body: &'a [u8],
}

/// The types of `TApplicationException` that all Thrift libraries have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum ExceptionKind {
    /// No such method.
    UnknownMethod = 1,
    /// The message is no call.
    InvalidMessageType = 2,
    /// There is no result.
    MissingResult = 5,
    /// The call failed.
    InternalError = 6,
    /// The message can't be decoded.
    ProtocolError = 7,
    /// The call was rejected.
    UnsupportedClientType = 10,
}

/// Detects the encoding by a message's first bytes; `None` if it is unknown.
pub fn encoding_of(bytes: &[u8]) -> Option<Encoding> {
    match bytes {
        [0x80, 0x01, ..] => Some(Encoding::Binary { strict: true }),
        [COMPACT_PROTOCOL, ..] => Some(Encoding::Compact),
        // The head without a version begins with the name's length, which is below 16 MiB.
        [0x00, ..] => Some(Encoding::Binary { strict: false }),
        _ => None,
    }
}

/// Reads a message's head.
///
/// # Errors
/// The bytes are no valid head, or the name is too long or not UTF-8.
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
                    reader.remaining(),
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
                    reader.remaining(),
                )
            }
        }
        Encoding::Compact => {
            let mut input = Input(bytes);
            let [_, second] = input.array()?;
            if second & 0x1f != COMPACT_VERSION {
                return Err(DecodeError::Version);
            }
            let kind = Kind::from_number(second >> 5)?;
            let mut reader = CompactReader::new(input.0);
            let seqid = reader.varint(32)? as u32 as i32;
            (
                Head {
                    kind,
                    name: text(reader.bytes()?)?,
                    seqid,
                },
                reader.remaining(),
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

/// Encodes a message as a new frame, with another head and possibly in another encoding. If the encoding stays the
/// same, the struct is copied byte for byte.
///
/// # Errors
/// Its struct is invalid, further bytes follow it, or the result is larger than [`MessageLimits::max_written_bytes`].
pub fn transcode(
    message: &Message<'_>,
    to: Encoding,
    head: Head<'_>,
    limits: &MessageLimits,
) -> Result<Vec<u8>, DecodeError> {
    let mut out = Vec::with_capacity(4 + 32 + head.name.len() + message.body.len() * 2);
    out.extend_from_slice(&[0; 4]);
    write_head(&mut out, to, head);
    let same_encoding = matches!(
        (message.encoding, to),
        (Encoding::Compact, Encoding::Compact) | (Encoding::Binary { .. }, Encoding::Binary { .. })
    );
    let write_limits = MessageLimits {
        max_frame_bytes: limits.max_written_bytes() + 4,
        ..*limits
    };
    let trailing = match (message.encoding, to) {
        _ if same_encoding => {
            out.extend_from_slice(message.body);
            check(message, limits)?;
            &[][..]
        }
        (Encoding::Binary { .. }, _) => {
            let mut reader = BinaryReader::new(message.body);
            let mut writer = CompactWriter::after(out);
            copy_struct(&mut reader, &mut writer, &write_limits, limits.max_depth)?;
            out = writer.out;
            reader.remaining()
        }
        (Encoding::Compact, _) => {
            let mut reader = CompactReader::new(message.body);
            let mut writer = BinaryWriter(out);
            copy_struct(&mut reader, &mut writer, &write_limits, limits.max_depth)?;
            out = writer.0;
            reader.remaining()
        }
    };
    if !trailing.is_empty() {
        return Err(DecodeError::TrailingBytes);
    }
    if out.len() > write_limits.max_frame_bytes {
        Err(DecodeError::TooLarge)
    } else {
        Ok(super::frame(out))
    }
}

/// Checks that the message's struct is valid and ends where the message does.
fn check(message: &Message<'_>, limits: &MessageLimits) -> Result<(), DecodeError> {
    let remaining = match message.encoding {
        Encoding::Binary { .. } => {
            let mut reader = BinaryReader::new(message.body);
            skip(&mut reader, Type::Struct, limits, limits.max_depth)?;
            reader.remaining()
        }
        Encoding::Compact => {
            let mut reader = CompactReader::new(message.body);
            skip(&mut reader, Type::Struct, limits, limits.max_depth)?;
            reader.remaining()
        }
    };
    if remaining.is_empty() {
        Ok(())
    } else {
        Err(DecodeError::TrailingBytes)
    }
}

/// A frame with a `TApplicationException`: its message (field 1), its type (field 2) and the milliseconds after which
/// to retry (field 3), which is not part of the standard struct and is skipped by the Thrift libraries.
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

/// The type and message of a `TApplicationException`; a missing type is 0, as in the Thrift libraries.
///
/// # Errors
/// The struct is invalid.
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

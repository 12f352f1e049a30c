//! The encodings, without I/O and without a schema: bytes in, bytes out.
//!
//! From the public specifications of Apache Thrift: "Thrift Binary protocol encoding", "Thrift Compact protocol
//! encoding", "Thrift Remote Procedure Call" (framed transport) and the multiplexed protocol's names.

mod binary;
mod compact;
mod field_path;
mod frame;
mod message;
mod transcode;

pub use binary::{BinaryReader, BinaryWriter};
pub use compact::{CompactReader, CompactWriter};
pub use field_path::{FieldPath, Scalar, read_fields};
pub use frame::{FrameProgress, FrameReader, NotFramed, frame};
pub use message::{
    ExceptionKind, Head, Kind, Message, encoding_of, exception, read_exception, read_head,
    transcode, write_head,
};
pub use transcode::{copy, copy_struct, skip};

use std::fmt;

/// How values are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// The binary protocol; `strict` messages begin with a version.
    Binary {
        /// Whether the message's head names its version (all but very old peers).
        strict: bool,
    },
    /// The compact protocol.
    Compact,
}

/// The type of a value, by its number in the binary protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Type {
    /// No type: ends a struct, and stands for the unknown types of an empty container.
    Stop = 0,
    /// A truth value.
    Bool = 2,
    /// 8 bits, signed.
    I8 = 3,
    /// An IEEE 754 double.
    Double = 4,
    /// 16 bits, signed.
    I16 = 6,
    /// 32 bits, signed: enums too.
    I32 = 8,
    /// 64 bits, signed.
    I64 = 10,
    /// Text or bytes: the wire doesn't tell them apart.
    Bytes = 11,
    /// A struct, union or exception.
    Struct = 12,
    /// A map.
    Map = 13,
    /// A set.
    Set = 14,
    /// A list.
    List = 15,
    /// A UUID, in network order.
    Uuid = 16,
}

impl Type {
    /// The type of that number in the binary protocol. 1 (void) is no value's type.
    #[inline]
    fn from_binary(number: u8) -> Result<Self, DecodeError> {
        Ok(match number {
            0 => Type::Stop,
            2 => Type::Bool,
            3 => Type::I8,
            4 => Type::Double,
            6 => Type::I16,
            8 => Type::I32,
            10 => Type::I64,
            11 => Type::Bytes,
            12 => Type::Struct,
            13 => Type::Map,
            14 => Type::Set,
            15 => Type::List,
            16 => Type::Uuid,
            _ => return Err(DecodeError::Type(number)),
        })
    }
}

/// What bounds a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// The most bytes of a message that is read, without its frame's length.
    pub max_frame_bytes: usize,
    /// The most levels of structs and containers within each other.
    pub max_depth: usize,
    /// The most bytes of a method's name.
    pub max_name_bytes: usize,
}

impl MessageLimits {
    /// The most bytes of a message that is written. A number of the node's own in the head may be longer than the
    /// caller's, and what is compact grows in binary: what was taken for its size is not to fail for that.
    pub fn max_written_bytes(&self) -> usize {
        self.max_frame_bytes * 2
    }
}

impl Default for MessageLimits {
    fn default() -> Self {
        MessageLimits {
            max_frame_bytes: 64 * 1024,
            max_depth: 32,
            max_name_bytes: 256,
        }
    }
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// They end within a value.
    Short,
    /// More follows where the message has ended.
    Behind,
    /// No type has that number.
    Type(u8),
    /// A length or a count is negative.
    Negative,
    /// A length or a count can't be met by the bytes that are left.
    Count,
    /// A number is longer or larger than its type.
    Varint,
    /// A truth value that is neither.
    Bool(u8),
    /// A field's number is beyond 16 bits.
    FieldId,
    /// Levels within levels, beyond the bound.
    Depth,
    /// Larger than a frame may be.
    Large,
    /// The head's version is not known.
    Version,
    /// No message type has that number.
    Kind(u8),
    /// The method's name is longer than the bound or no text.
    Name,
    /// A field that is asked for stands twice: a backend might read the other one.
    Twice(i16),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Short => write!(f, "it ends within a value"),
            DecodeError::Behind => write!(f, "more follows behind its end"),
            DecodeError::Type(number) => write!(f, "no type has number {number}"),
            DecodeError::Negative => write!(f, "a negative length"),
            DecodeError::Count => write!(f, "a length beyond the bytes at hand"),
            DecodeError::Varint => write!(f, "a number too large for its type"),
            DecodeError::Bool(byte) => write!(f, "{byte} is no truth value"),
            DecodeError::FieldId => write!(f, "a field number beyond 16 bits"),
            DecodeError::Depth => write!(f, "too many levels"),
            DecodeError::Large => write!(f, "too large"),
            DecodeError::Version => write!(f, "unknown version or protocol"),
            DecodeError::Kind(number) => write!(f, "no message type has number {number}"),
            DecodeError::Name => write!(f, "a method name too long, or no text"),
            DecodeError::Twice(id) => write!(f, "field {id} stands twice"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Reads values of one encoding from a slice, which it never reads past.
pub trait Reader<'a> {
    /// The least bytes that a value of this type takes: what bounds a container's count.
    fn least(of: Type) -> usize;
    /// What has not been read yet.
    fn rest(&self) -> &'a [u8];
    /// Enters a struct; what it returns goes to `struct_end`.
    fn struct_begin(&mut self) -> i16;
    /// Leaves a struct, after its stop.
    fn struct_end(&mut self, saved: i16);
    /// The next field's type and number; `None` at the stop.
    ///
    /// # Errors
    /// The bytes don't read so, as for all that follow.
    fn field(&mut self) -> Result<Option<(Type, i16)>, DecodeError>;
    /// A truth value.
    fn bool(&mut self) -> Result<bool, DecodeError>;
    /// An 8-bit number.
    fn i8(&mut self) -> Result<i8, DecodeError>;
    /// A 16-bit number.
    fn i16(&mut self) -> Result<i16, DecodeError>;
    /// A 32-bit number.
    fn i32(&mut self) -> Result<i32, DecodeError>;
    /// A 64-bit number.
    fn i64(&mut self) -> Result<i64, DecodeError>;
    /// A double, as its bits: no NaN is altered.
    fn double(&mut self) -> Result<u64, DecodeError>;
    /// Text or bytes.
    fn bytes(&mut self) -> Result<&'a [u8], DecodeError>;
    /// A UUID.
    fn uuid(&mut self) -> Result<[u8; 16], DecodeError>;
    /// A list's or a set's element type and count, which the bytes at hand can meet.
    fn list(&mut self) -> Result<(Type, usize), DecodeError>;
    /// A map's types and count, which the bytes at hand can meet.
    fn map(&mut self) -> Result<(Type, Type, usize), DecodeError>;
}

/// Writes values of one encoding.
pub trait Writer {
    /// How many bytes there are so far.
    fn len(&self) -> usize;
    /// Whether nothing was written.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Enters a struct; what it returns goes to `struct_end`.
    fn struct_begin(&mut self) -> i16;
    /// Writes the stop and leaves a struct.
    fn struct_end(&mut self, saved: i16);
    /// A field's type and number; its value follows.
    fn field(&mut self, of: Type, id: i16);
    /// A truth value.
    fn bool(&mut self, value: bool);
    /// An 8-bit number.
    fn i8(&mut self, value: i8);
    /// A 16-bit number.
    fn i16(&mut self, value: i16);
    /// A 32-bit number.
    fn i32(&mut self, value: i32);
    /// A 64-bit number.
    fn i64(&mut self, value: i64);
    /// A double's bits.
    fn double(&mut self, bits: u64);
    /// Text or bytes.
    fn bytes(&mut self, value: &[u8]);
    /// A UUID.
    fn uuid(&mut self, value: [u8; 16]);
    /// A list's or a set's element type and count; the elements follow.
    fn list(&mut self, of: Type, count: usize);
    /// A map's types and count; keys and values follow in turn.
    fn map(&mut self, keys: Type, values: Type, count: usize);
}

/// The bytes that are left of a message.
struct Slice<'a>(&'a [u8]);

impl<'a> Slice<'a> {
    #[inline]
    fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(DecodeError::Short)?;
        self.0 = rest;
        Ok(taken)
    }

    #[inline]
    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (taken, rest) = self.0.split_first_chunk::<N>().ok_or(DecodeError::Short)?;
        self.0 = rest;
        Ok(*taken)
    }

    #[inline]
    fn byte(&mut self) -> Result<u8, DecodeError> {
        let (first, rest) = self.0.split_first().ok_or(DecodeError::Short)?;
        self.0 = rest;
        Ok(*first)
    }

    /// A count whose elements take at least so many bytes each. Guards the loops over elements, and all that is
    /// reserved for them, against counts that no bytes stand behind.
    #[inline]
    fn met(&self, count: usize, each: usize) -> Result<usize, DecodeError> {
        if each == 0 && count > 0 {
            return Err(DecodeError::Type(0)); // nothing ends a loop over elements that take no bytes
        }
        let most = self.0.len().checked_div(each).unwrap_or_default();
        if count > most {
            Err(DecodeError::Count)
        } else {
            Ok(count)
        }
    }
}

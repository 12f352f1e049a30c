//! The encodings, without I/O and without a schema.
//!
//! They follow the public specifications of Apache Thrift: "Thrift Binary protocol encoding", "Thrift Compact protocol
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

/// How messages are encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// The binary protocol.
    Binary {
        /// Whether the message's head begins with a version, as it does with all but very old peers.
        strict: bool,
    },
    /// The compact protocol.
    Compact,
}

/// The type of a value, by its number in the binary protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Type {
    /// Ends a struct; also the element type of an empty container whose type is unknown.
    Stop = 0,
    /// A boolean.
    Bool = 2,
    /// 8 bits, signed.
    I8 = 3,
    /// An IEEE 754 double.
    Double = 4,
    /// 16 bits, signed.
    I16 = 6,
    /// 32 bits, signed; also used for enums.
    I32 = 8,
    /// 64 bits, signed.
    I64 = 10,
    /// Text or bytes, which are encoded the same.
    Bytes = 11,
    /// A struct, union or exception.
    Struct = 12,
    /// A map.
    Map = 13,
    /// A set.
    Set = 14,
    /// A list.
    List = 15,
    /// A UUID, in network byte order.
    Uuid = 16,
}

impl Type {
    /// The type with this number in the binary protocol. Number 1 (void) is not valid for a value.
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

/// Limits for messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// The maximum size of a message that is read, without the frame's length field.
    pub max_frame_bytes: usize,
    /// The maximum nesting depth of structs and containers.
    pub max_depth: usize,
    /// The maximum length of a method's name.
    pub max_name_bytes: usize,
}

impl MessageLimits {
    /// The maximum size of a message that is written. It exceeds that for reading so that a message that was accepted
    /// does not fail when it grows: the node's sequence number may be longer than the client's, and compact values
    /// are longer in binary.
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

/// Why a message can't be decoded or transcoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The input ends within a value.
    Truncated,
    /// Further bytes follow the message.
    TrailingBytes,
    /// The type number is unknown or not valid here.
    Type(u8),
    /// A length or a count is negative.
    Negative,
    /// A length or a count needs more bytes than are left.
    Count,
    /// A variable-length integer is longer or larger than its type allows.
    Varint,
    /// The byte of a boolean is neither true nor false.
    Bool(u8),
    /// A field id exceeds 16 bits.
    FieldId,
    /// The nesting depth exceeds the limit.
    Depth,
    /// The message exceeds the maximum size.
    TooLarge,
    /// The version in the head is unknown.
    Version,
    /// The number of the message type is unknown.
    Kind(u8),
    /// The method's name is too long or not UTF-8.
    Name,
    /// A field on a requested path occurs twice. A backend might read the other one.
    Duplicate(i16),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Truncated => write!(f, "it ends within a value"),
            DecodeError::TrailingBytes => write!(f, "more follows behind its end"),
            DecodeError::Type(number) => write!(f, "no type has number {number}"),
            DecodeError::Negative => write!(f, "a negative length"),
            DecodeError::Count => write!(f, "a length beyond the bytes at hand"),
            DecodeError::Varint => write!(f, "a number too large for its type"),
            DecodeError::Bool(byte) => write!(f, "{byte} is no truth value"),
            DecodeError::FieldId => write!(f, "a field number beyond 16 bits"),
            DecodeError::Depth => write!(f, "too many levels"),
            DecodeError::TooLarge => write!(f, "too large"),
            DecodeError::Version => write!(f, "unknown version or protocol"),
            DecodeError::Kind(number) => write!(f, "no message type has number {number}"),
            DecodeError::Name => write!(f, "a method name too long, or no text"),
            DecodeError::Duplicate(id) => write!(f, "field {id} stands twice"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Reads values of one encoding from a slice, never past its end.
pub trait Reader<'a> {
    /// The minimum encoded size of a value of this type, which limits the count of a container.
    fn min_size(of: Type) -> usize;
    /// The bytes that have not been read yet.
    fn remaining(&self) -> &'a [u8];
    /// Enters a struct; the result is passed to `struct_end`.
    fn struct_begin(&mut self) -> i16;
    /// Leaves a struct after its stop byte.
    fn struct_end(&mut self, saved: i16);
    /// The next field's type and id; `None` at the stop byte.
    ///
    /// # Errors
    /// The bytes are not valid, as for all following methods.
    fn field(&mut self) -> Result<Option<(Type, i16)>, DecodeError>;
    /// A boolean.
    fn bool(&mut self) -> Result<bool, DecodeError>;
    /// An 8-bit integer.
    fn i8(&mut self) -> Result<i8, DecodeError>;
    /// A 16-bit integer.
    fn i16(&mut self) -> Result<i16, DecodeError>;
    /// A 32-bit integer.
    fn i32(&mut self) -> Result<i32, DecodeError>;
    /// A 64-bit integer.
    fn i64(&mut self) -> Result<i64, DecodeError>;
    /// A double, as its bits, so that no NaN is altered.
    fn double(&mut self) -> Result<u64, DecodeError>;
    /// Text or bytes.
    fn bytes(&mut self) -> Result<&'a [u8], DecodeError>;
    /// A UUID.
    fn uuid(&mut self) -> Result<[u8; 16], DecodeError>;
    /// The element type and count of a list or set. The count is checked against the remaining bytes.
    fn list(&mut self) -> Result<(Type, usize), DecodeError>;
    /// The types and count of a map. The count is checked against the remaining bytes.
    fn map(&mut self) -> Result<(Type, Type, usize), DecodeError>;
}

/// Writes values of one encoding.
pub trait Writer {
    /// The number of bytes written so far.
    fn len(&self) -> usize;
    /// Whether nothing was written yet.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Enters a struct; the result is passed to `struct_end`.
    fn struct_begin(&mut self) -> i16;
    /// Writes the stop byte and leaves a struct.
    fn struct_end(&mut self, saved: i16);
    /// A field's type and id; its value follows.
    fn field(&mut self, of: Type, id: i16);
    /// A boolean.
    fn bool(&mut self, value: bool);
    /// An 8-bit integer.
    fn i8(&mut self, value: i8);
    /// A 16-bit integer.
    fn i16(&mut self, value: i16);
    /// A 32-bit integer.
    fn i32(&mut self, value: i32);
    /// A 64-bit integer.
    fn i64(&mut self, value: i64);
    /// A double, as its bits.
    fn double(&mut self, bits: u64);
    /// Text or bytes.
    fn bytes(&mut self, value: &[u8]);
    /// A UUID.
    fn uuid(&mut self, value: [u8; 16]);
    /// The element type and count of a list or set; the elements follow.
    fn list(&mut self, of: Type, count: usize);
    /// The types and count of a map; its keys and values follow alternately.
    fn map(&mut self, keys: Type, values: Type, count: usize);
}

/// The remaining bytes of a message.
struct Input<'a>(&'a [u8]);

impl<'a> Input<'a> {
    #[inline]
    fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (taken, rest) = self
            .0
            .split_at_checked(count)
            .ok_or(DecodeError::Truncated)?;
        self.0 = rest;
        Ok(taken)
    }

    #[inline]
    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (taken, rest) = self
            .0
            .split_first_chunk::<N>()
            .ok_or(DecodeError::Truncated)?;
        self.0 = rest;
        Ok(*taken)
    }

    #[inline]
    fn byte(&mut self) -> Result<u8, DecodeError> {
        let (first, rest) = self.0.split_first().ok_or(DecodeError::Truncated)?;
        self.0 = rest;
        Ok(*first)
    }

    /// Checks a count of elements of at least `min_size` bytes each. Protects loops over elements, and memory reserved
    /// for them, from counts that the remaining bytes can't hold.
    #[inline]
    fn check_count(&self, count: usize, min_size: usize) -> Result<usize, DecodeError> {
        if min_size == 0 && count > 0 {
            return Err(DecodeError::Type(0)); // the input's length would not limit a loop over empty elements
        }
        let max = self.0.len().checked_div(min_size).unwrap_or_default();
        if count > max {
            Err(DecodeError::Count)
        } else {
            Ok(count)
        }
    }
}

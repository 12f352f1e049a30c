//! The compact protocol: variable-length zig-zag integers, field id deltas, booleans within field headers.

use super::{DecodeError, Input, Reader, Type, Writer};

const TRUE: u8 = 1;
const FALSE: u8 = 2;
/// In a list's header, marks a count that does not fit into four bits and follows as a varint.
const LONG_COUNT: u8 = 15;

/// The type with this number in the compact protocol. Booleans have two numbers, which in a field's header tell the
/// value.
fn from_compact(number: u8) -> Result<Type, DecodeError> {
    Ok(match number {
        0 => Type::Stop,
        TRUE | FALSE => Type::Bool,
        3 => Type::I8,
        4 => Type::I16,
        5 => Type::I32,
        6 => Type::I64,
        7 => Type::Double,
        8 => Type::Bytes,
        9 => Type::List,
        10 => Type::Set,
        11 => Type::Map,
        12 => Type::Struct,
        13 => Type::Uuid,
        _ => return Err(DecodeError::Type(number)),
    })
}

/// The number of a type. For a boolean this is the number of an element type, which all Thrift libraries write as 1.
fn to_compact(of: Type) -> u8 {
    match of {
        Type::Stop => 0,
        Type::Bool => TRUE,
        Type::I8 => 3,
        Type::I16 => 4,
        Type::I32 => 5,
        Type::I64 => 6,
        Type::Double => 7,
        Type::Bytes => 8,
        Type::List => 9,
        Type::Set => 10,
        Type::Map => 11,
        Type::Struct => 12,
        Type::Uuid => 13,
    }
}

fn zigzag(value: u64) -> i64 {
    (value >> 1) as i64 ^ -((value & 1) as i64)
}

/// Reads the compact protocol.
pub struct CompactReader<'a> {
    input: Input<'a>,
    /// The id of the last field, to which the next field's delta is added.
    last_id: i16,
    /// The value of a boolean field, read from the field's header.
    pending_bool: Option<bool>,
}

impl<'a> CompactReader<'a> {
    /// A reader of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        CompactReader {
            input: Input(bytes),
            last_id: 0,
            pending_bool: None,
        }
    }

    /// A varint of at most `bits` bits.
    ///
    /// # Errors
    /// It is longer, or the input ends.
    #[inline]
    pub(super) fn varint(&mut self, bits: u32) -> Result<u64, DecodeError> {
        // Fast path: most varints have one byte.
        match self.input.byte()? {
            byte if byte < 0x80 => Ok(u64::from(byte)),
            byte => self.long_varint(byte, bits),
        }
    }

    fn long_varint(&mut self, first: u8, bits: u32) -> Result<u64, DecodeError> {
        let (mut value, mut shift) = (u64::from(first & 0x7f), 7);
        loop {
            let byte = self.input.byte()?;
            let part = u64::from(byte & 0x7f);
            // Rejects values beyond the type's bits, and padding with zero groups beyond the type's longest encoding.
            if shift >= bits || (shift + 7 > bits && part >> (bits - shift) != 0) {
                return Err(DecodeError::Varint);
            }
            value |= part << shift;
            if byte & 0x80 == 0 {
                return Ok(value);
            }
            shift += 7;
        }
    }

    /// A length or count: 32 bits on the wire, of which the specification allows 31.
    #[inline]
    fn length(&mut self) -> Result<usize, DecodeError> {
        let length = self.varint(32)?;
        if length > i32::MAX as u64 {
            Err(DecodeError::Negative)
        } else {
            Ok(length as usize)
        }
    }
}

impl<'a> Reader<'a> for CompactReader<'a> {
    #[inline]
    fn min_size(of: Type) -> usize {
        match of {
            Type::Stop => 0,
            Type::Double => 8,
            Type::Uuid => 16,
            _ => 1,
        }
    }

    #[inline]
    fn remaining(&self) -> &'a [u8] {
        self.input.0
    }

    #[inline]
    fn struct_begin(&mut self) -> i16 {
        std::mem::take(&mut self.last_id)
    }

    #[inline]
    fn struct_end(&mut self, saved: i16) {
        self.last_id = saved;
    }

    #[inline]
    fn field(&mut self) -> Result<Option<(Type, i16)>, DecodeError> {
        let header = self.input.byte()?;
        let number = header & 0x0f;
        let of = from_compact(number)?;
        if of == Type::Stop {
            // A stop is the byte 0. With a nonzero delta it is invalid.
            return if header == 0 {
                Ok(None)
            } else {
                Err(DecodeError::Type(0))
            };
        }
        self.last_id = match header >> 4 {
            0 => self.i16()?,
            delta => self
                .last_id
                .checked_add(i16::from(delta))
                .ok_or(DecodeError::FieldId)?,
        };
        if of == Type::Bool {
            self.pending_bool = Some(number == TRUE);
        }
        Ok(Some((of, self.last_id)))
    }

    #[inline]
    fn bool(&mut self) -> Result<bool, DecodeError> {
        if let Some(value) = self.pending_bool.take() {
            return Ok(value);
        }
        // For elements the specification has 1 and 0, but the Thrift libraries write 1 and 2.
        match self.input.byte()? {
            TRUE => Ok(true),
            0 | FALSE => Ok(false),
            other => Err(DecodeError::Bool(other)),
        }
    }

    #[inline]
    fn i8(&mut self) -> Result<i8, DecodeError> {
        self.input.byte().map(|byte| byte as i8)
    }

    #[inline]
    fn i16(&mut self) -> Result<i16, DecodeError> {
        i16::try_from(zigzag(self.varint(32)?)).map_err(|_| DecodeError::Varint)
    }

    #[inline]
    fn i32(&mut self) -> Result<i32, DecodeError> {
        i32::try_from(zigzag(self.varint(32)?)).map_err(|_| DecodeError::Varint)
    }

    #[inline]
    fn i64(&mut self) -> Result<i64, DecodeError> {
        self.varint(64).map(zigzag)
    }

    #[inline]
    fn double(&mut self) -> Result<u64, DecodeError> {
        // An early specification had big endian, but the first library wrote little endian, and all others followed.
        self.input.array().map(u64::from_le_bytes)
    }

    #[inline]
    fn bytes(&mut self) -> Result<&'a [u8], DecodeError> {
        let length = self.length()?;
        if length > self.input.0.len() {
            return Err(DecodeError::Count);
        }
        self.input.take(length)
    }

    #[inline]
    fn uuid(&mut self) -> Result<[u8; 16], DecodeError> {
        self.input.array()
    }

    #[inline]
    fn list(&mut self) -> Result<(Type, usize), DecodeError> {
        let header = self.input.byte()?;
        let of = from_compact(header & 0x0f)?;
        let count = match header >> 4 {
            LONG_COUNT => self.length()?,
            short => usize::from(short),
        };
        Ok((of, self.input.check_count(count, Self::min_size(of))?))
    }

    #[inline]
    fn map(&mut self) -> Result<(Type, Type, usize), DecodeError> {
        let count = self.length()?;
        if count == 0 {
            return Ok((Type::Stop, Type::Stop, 0)); // an empty map is one byte and has no types
        }
        let types = self.input.byte()?;
        let (keys, values) = (from_compact(types >> 4)?, from_compact(types & 0x0f)?);
        if keys == Type::Stop || values == Type::Stop {
            return Err(DecodeError::Type(0));
        }
        Ok((
            keys,
            values,
            self.input
                .check_count(count, Self::min_size(keys) + Self::min_size(values))?,
        ))
    }
}

/// Writes the compact protocol.
#[derive(Default)]
pub struct CompactWriter {
    /// The bytes written so far.
    pub out: Vec<u8>,
    /// The id of the last field, from which the next field's delta is computed.
    last_id: i16,
    /// The id of a boolean field, whose header is written together with the value.
    pending_bool: Option<i16>,
}

impl CompactWriter {
    /// A writer that appends to these bytes.
    pub fn after(out: Vec<u8>) -> Self {
        CompactWriter {
            out,
            last_id: 0,
            pending_bool: None,
        }
    }

    #[inline]
    pub(super) fn varint(&mut self, mut value: u64) {
        while value >= 0x80 {
            self.out.push(value as u8 | 0x80);
            value >>= 7;
        }
        self.out.push(value as u8);
    }

    #[inline]
    fn signed(&mut self, value: i64) {
        self.varint((value << 1) as u64 ^ (value >> 63) as u64);
    }

    #[inline]
    fn field_header(&mut self, number: u8, id: i16) {
        let delta = i32::from(id) - i32::from(self.last_id);
        if (1..=15).contains(&delta) {
            self.out.push((delta as u8) << 4 | number);
        } else {
            self.out.push(number);
            self.signed(i64::from(id));
        }
        self.last_id = id;
    }
}

impl Writer for CompactWriter {
    #[inline]
    fn len(&self) -> usize {
        self.out.len()
    }

    #[inline]
    fn struct_begin(&mut self) -> i16 {
        std::mem::take(&mut self.last_id)
    }

    #[inline]
    fn struct_end(&mut self, saved: i16) {
        self.out.push(0);
        self.last_id = saved;
    }

    #[inline]
    fn field(&mut self, of: Type, id: i16) {
        if of == Type::Bool {
            self.pending_bool = Some(id);
        } else {
            self.field_header(to_compact(of), id);
        }
    }

    #[inline]
    fn bool(&mut self, value: bool) {
        let number = if value { TRUE } else { FALSE };
        match self.pending_bool.take() {
            Some(id) => self.field_header(number, id),
            None => self.out.push(number),
        }
    }

    #[inline]
    fn i8(&mut self, value: i8) {
        self.out.push(value as u8);
    }

    #[inline]
    fn i16(&mut self, value: i16) {
        self.signed(i64::from(value));
    }

    #[inline]
    fn i32(&mut self, value: i32) {
        self.signed(i64::from(value));
    }

    #[inline]
    fn i64(&mut self, value: i64) {
        self.signed(value);
    }

    #[inline]
    fn double(&mut self, bits: u64) {
        self.out.extend_from_slice(&bits.to_le_bytes());
    }

    #[inline]
    fn bytes(&mut self, value: &[u8]) {
        self.varint(value.len() as u64);
        self.out.extend_from_slice(value);
    }

    #[inline]
    fn uuid(&mut self, value: [u8; 16]) {
        self.out.extend_from_slice(&value);
    }

    #[inline]
    fn list(&mut self, of: Type, count: usize) {
        match u8::try_from(count).ok().filter(|short| *short < LONG_COUNT) {
            Some(short) => self.out.push(short << 4 | to_compact(of)),
            None => {
                self.out.push(LONG_COUNT << 4 | to_compact(of));
                self.varint(count as u64);
            }
        }
    }

    #[inline]
    fn map(&mut self, keys: Type, values: Type, count: usize) {
        self.varint(count as u64);
        if count > 0 {
            self.out.push(to_compact(keys) << 4 | to_compact(values));
        }
    }
}

//! The compact protocol: variable lengths, zig-zag numbers, truth values within field heads.

use super::{DecodeError, Reader, Slice, Type, Writer};

const TRUE: u8 = 1;
const FALSE: u8 = 2;
/// A count that does not fit the short form's four bits.
const LONG: u8 = 15;

/// The type of that number in the compact protocol. Truth values have two, by their value where they are fields.
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

/// A type's number; a truth value's as an element's, which every library writes as 1.
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
    slice: Slice<'a>,
    /// The last field's number, from which the next one's is told.
    last: i16,
    /// A truth value that stood in its field's head.
    pending: Option<bool>,
}

impl<'a> CompactReader<'a> {
    /// A reader of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        CompactReader {
            slice: Slice(bytes),
            last: 0,
            pending: None,
        }
    }

    /// A varint of at most `bits` bits.
    ///
    /// # Errors
    /// It is longer, or the bytes end.
    #[inline]
    pub(super) fn varint(&mut self, bits: u32) -> Result<u64, DecodeError> {
        // Most are one byte.
        match self.slice.byte()? {
            byte if byte < 0x80 => Ok(u64::from(byte)),
            byte => self.long_varint(byte, bits),
        }
    }

    fn long_varint(&mut self, first: u8, bits: u32) -> Result<u64, DecodeError> {
        let (mut value, mut shift) = (u64::from(first & 0x7f), 7);
        loop {
            let byte = self.slice.byte()?;
            let part = u64::from(byte & 0x7f);
            // Neither beyond the type's bits nor, with nothing in it, without end.
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

    /// A length or count: 32 bits on the wire, of which the specification uses 31.
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
    fn least(of: Type) -> usize {
        match of {
            Type::Stop => 0,
            Type::Double => 8,
            Type::Uuid => 16,
            _ => 1,
        }
    }

    #[inline]
    fn rest(&self) -> &'a [u8] {
        self.slice.0
    }

    #[inline]
    fn struct_begin(&mut self) -> i16 {
        std::mem::take(&mut self.last)
    }

    #[inline]
    fn struct_end(&mut self, saved: i16) {
        self.last = saved;
    }

    #[inline]
    fn field(&mut self) -> Result<Option<(Type, i16)>, DecodeError> {
        let head = self.slice.byte()?;
        let number = head & 0x0f;
        let of = from_compact(number)?;
        if of == Type::Stop {
            // A stop is the byte 0: with a delta before it, it is nothing that anybody writes.
            return if head == 0 {
                Ok(None)
            } else {
                Err(DecodeError::Type(0))
            };
        }
        self.last = match head >> 4 {
            0 => self.i16()?,
            delta => self
                .last
                .checked_add(i16::from(delta))
                .ok_or(DecodeError::FieldId)?,
        };
        if of == Type::Bool {
            self.pending = Some(number == TRUE);
        }
        Ok(Some((of, self.last)))
    }

    #[inline]
    fn bool(&mut self) -> Result<bool, DecodeError> {
        if let Some(value) = self.pending.take() {
            return Ok(value);
        }
        // An element: the specification says 1 and 0, the libraries write 1 and 2.
        match self.slice.byte()? {
            TRUE => Ok(true),
            0 | FALSE => Ok(false),
            other => Err(DecodeError::Bool(other)),
        }
    }

    #[inline]
    fn i8(&mut self) -> Result<i8, DecodeError> {
        self.slice.byte().map(|byte| byte as i8)
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
        // The first specification said big endian, the first library wrote little endian, and so all do.
        self.slice.array().map(u64::from_le_bytes)
    }

    #[inline]
    fn bytes(&mut self) -> Result<&'a [u8], DecodeError> {
        let length = self.length()?;
        if length > self.slice.0.len() {
            return Err(DecodeError::Count);
        }
        self.slice.take(length)
    }

    #[inline]
    fn uuid(&mut self) -> Result<[u8; 16], DecodeError> {
        self.slice.array()
    }

    #[inline]
    fn list(&mut self) -> Result<(Type, usize), DecodeError> {
        let head = self.slice.byte()?;
        let of = from_compact(head & 0x0f)?;
        let count = match head >> 4 {
            LONG => self.length()?,
            short => usize::from(short),
        };
        Ok((of, self.slice.met(count, Self::least(of))?))
    }

    #[inline]
    fn map(&mut self) -> Result<(Type, Type, usize), DecodeError> {
        let count = self.length()?;
        if count == 0 {
            return Ok((Type::Stop, Type::Stop, 0)); // an empty map is one byte, its types are not told
        }
        let types = self.slice.byte()?;
        let (keys, values) = (from_compact(types >> 4)?, from_compact(types & 0x0f)?);
        if keys == Type::Stop || values == Type::Stop {
            return Err(DecodeError::Type(0));
        }
        Ok((
            keys,
            values,
            self.slice
                .met(count, Self::least(keys) + Self::least(values))?,
        ))
    }
}

/// Writes the compact protocol.
#[derive(Default)]
pub struct CompactWriter {
    /// What was written.
    pub out: Vec<u8>,
    last: i16,
    /// A truth value's field, whose head waits for the value.
    pending: Option<i16>,
}

impl CompactWriter {
    /// A writer that goes on behind these bytes.
    pub fn after(out: Vec<u8>) -> Self {
        CompactWriter {
            out,
            last: 0,
            pending: None,
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
    fn head(&mut self, number: u8, id: i16) {
        let delta = i32::from(id) - i32::from(self.last);
        if (1..=15).contains(&delta) {
            self.out.push((delta as u8) << 4 | number);
        } else {
            self.out.push(number);
            self.signed(i64::from(id));
        }
        self.last = id;
    }
}

impl Writer for CompactWriter {
    #[inline]
    fn len(&self) -> usize {
        self.out.len()
    }

    #[inline]
    fn struct_begin(&mut self) -> i16 {
        std::mem::take(&mut self.last)
    }

    #[inline]
    fn struct_end(&mut self, saved: i16) {
        self.out.push(0);
        self.last = saved;
    }

    #[inline]
    fn field(&mut self, of: Type, id: i16) {
        if of == Type::Bool {
            self.pending = Some(id);
        } else {
            self.head(to_compact(of), id);
        }
    }

    #[inline]
    fn bool(&mut self, value: bool) {
        let number = if value { TRUE } else { FALSE };
        match self.pending.take() {
            Some(id) => self.head(number, id),
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
        match u8::try_from(count).ok().filter(|short| *short < LONG) {
            Some(short) => self.out.push(short << 4 | to_compact(of)),
            None => {
                self.out.push(LONG << 4 | to_compact(of));
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

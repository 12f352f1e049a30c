//! Values from one encoding to another, or to nowhere: that is how they are checked.

use super::{DecodeError, MessageLimits, Reader, Type, Writer};

/// Copies a value of that type. `depth` is how many levels it may have.
///
/// # Errors
/// The bytes are no such value, it has too many levels, or what is written is larger than `bounds` let a frame be.
pub fn copy<'a, R: Reader<'a>, W: Writer>(
    from: &mut R,
    to: &mut W,
    of: Type,
    limits: &MessageLimits,
    depth: usize,
) -> Result<(), DecodeError> {
    // A byte may become eight: what is written is bounded by itself.
    if to.len() > limits.max_frame_bytes {
        return Err(DecodeError::Large);
    }
    match of {
        Type::Stop => return Err(DecodeError::Type(0)),
        Type::Bool => to.bool(from.bool()?),
        Type::I8 => to.i8(from.i8()?),
        Type::Double => to.double(from.double()?),
        Type::I16 => to.i16(from.i16()?),
        Type::I32 => to.i32(from.i32()?),
        Type::I64 => to.i64(from.i64()?),
        Type::Bytes => to.bytes(from.bytes()?),
        Type::Uuid => to.uuid(from.uuid()?),
        Type::Struct => return copy_struct(from, to, limits, depth),
        Type::List | Type::Set => {
            let depth = depth.checked_sub(1).ok_or(DecodeError::Depth)?;
            let (of, count) = from.list()?;
            to.list(of, count);
            for _ in 0..count {
                copy(from, to, of, limits, depth)?;
            }
        }
        Type::Map => {
            let depth = depth.checked_sub(1).ok_or(DecodeError::Depth)?;
            let (keys, values, count) = from.map()?;
            to.map(keys, values, count);
            for _ in 0..count {
                copy(from, to, keys, limits, depth)?;
                copy(from, to, values, limits, depth)?;
            }
        }
    }
    Ok(())
}

/// Copies a struct with its stop.
///
/// # Errors
/// As [`copy`].
pub fn copy_struct<'a, R: Reader<'a>, W: Writer>(
    from: &mut R,
    to: &mut W,
    limits: &MessageLimits,
    depth: usize,
) -> Result<(), DecodeError> {
    let depth = depth.checked_sub(1).ok_or(DecodeError::Depth)?;
    let (read, written) = (from.struct_begin(), to.struct_begin());
    while let Some((of, id)) = from.field()? {
        to.field(of, id);
        copy(from, to, of, limits, depth)?;
    }
    from.struct_end(read);
    to.struct_end(written);
    if to.len() > limits.max_frame_bytes {
        Err(DecodeError::Large)
    } else {
        Ok(())
    }
}

/// Reads over a value, and so checks it.
///
/// # Errors
/// As [`copy`].
pub fn skip<'a, R: Reader<'a>>(
    from: &mut R,
    of: Type,
    limits: &MessageLimits,
    depth: usize,
) -> Result<(), DecodeError> {
    copy(from, &mut Nowhere, of, limits, depth)
}

/// Takes what is only to be checked.
struct Nowhere;

impl Writer for Nowhere {
    fn len(&self) -> usize {
        0
    }
    fn struct_begin(&mut self) -> i16 {
        0
    }
    fn struct_end(&mut self, _: i16) {}
    fn field(&mut self, _: Type, _: i16) {}
    fn bool(&mut self, _: bool) {}
    fn i8(&mut self, _: i8) {}
    fn i16(&mut self, _: i16) {}
    fn i32(&mut self, _: i32) {}
    fn i64(&mut self, _: i64) {}
    fn double(&mut self, _: u64) {}
    fn bytes(&mut self, _: &[u8]) {}
    fn uuid(&mut self, _: [u8; 16]) {}
    fn list(&mut self, _: Type, _: usize) {}
    fn map(&mut self, _: Type, _: Type, _: usize) {}
}

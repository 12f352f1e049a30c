//! Copies values from one encoding to another. Without an output this validates them.

use super::{DecodeError, MessageLimits, Reader, Type, Writer};

/// Copies a value of this type. `depth` is the nesting depth that it may have.
///
/// # Errors
/// The value is invalid or nested too deeply, or the output is larger than `limits` allows for a frame.
pub fn copy<'a, R: Reader<'a>, W: Writer>(
    from: &mut R,
    to: &mut W,
    of: Type,
    limits: &MessageLimits,
    depth: usize,
) -> Result<(), DecodeError> {
    // One byte of compact input may become eight in binary, so the output has its own limit.
    if to.len() > limits.max_frame_bytes {
        return Err(DecodeError::TooLarge);
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

/// Copies a struct with its stop byte.
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
    let (saved_in, saved_out) = (from.struct_begin(), to.struct_begin());
    while let Some((of, id)) = from.field()? {
        to.field(of, id);
        copy(from, to, of, limits, depth)?;
    }
    from.struct_end(saved_in);
    to.struct_end(saved_out);
    if to.len() > limits.max_frame_bytes {
        Err(DecodeError::TooLarge)
    } else {
        Ok(())
    }
}

/// Skips a value and thereby validates it.
///
/// # Errors
/// As [`copy`].
pub fn skip<'a, R: Reader<'a>>(
    from: &mut R,
    of: Type,
    limits: &MessageLimits,
    depth: usize,
) -> Result<(), DecodeError> {
    copy(from, &mut NullWriter, of, limits, depth)
}

/// Discards everything, for values that are only validated.
struct NullWriter;

impl Writer for NullWriter {
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

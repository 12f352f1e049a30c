//! The binary protocol: fixed-size integers in big endian.

use super::{DecodeError, Input, Reader, Type, Writer};

/// Reads the binary protocol.
pub struct BinaryReader<'a>(Input<'a>);

impl<'a> BinaryReader<'a> {
    /// A reader of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        BinaryReader(Input(bytes))
    }

    #[inline]
    fn length(&mut self) -> Result<usize, DecodeError> {
        usize::try_from(self.i32()?).map_err(|_| DecodeError::Negative)
    }
}

impl<'a> Reader<'a> for BinaryReader<'a> {
    #[inline]
    fn min_size(of: Type) -> usize {
        match of {
            Type::Stop => 0,
            Type::Bool | Type::I8 | Type::Struct => 1,
            Type::I16 => 2,
            Type::I32 | Type::Bytes => 4,
            Type::List | Type::Set => 5,
            Type::Map => 6,
            Type::I64 | Type::Double => 8,
            Type::Uuid => 16,
        }
    }

    #[inline]
    fn remaining(&self) -> &'a [u8] {
        self.0.0
    }

    #[inline]
    fn struct_begin(&mut self) -> i16 {
        0
    }

    #[inline]
    fn struct_end(&mut self, _: i16) {}

    #[inline]
    fn field(&mut self) -> Result<Option<(Type, i16)>, DecodeError> {
        match Type::from_binary(self.0.byte()?)? {
            Type::Stop => Ok(None),
            of => Ok(Some((of, self.i16()?))),
        }
    }

    #[inline]
    fn bool(&mut self) -> Result<bool, DecodeError> {
        match self.0.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            other => Err(DecodeError::Bool(other)),
        }
    }

    #[inline]
    fn i8(&mut self) -> Result<i8, DecodeError> {
        self.0.byte().map(|byte| byte as i8)
    }

    #[inline]
    fn i16(&mut self) -> Result<i16, DecodeError> {
        self.0.array().map(i16::from_be_bytes)
    }

    #[inline]
    fn i32(&mut self) -> Result<i32, DecodeError> {
        self.0.array().map(i32::from_be_bytes)
    }

    #[inline]
    fn i64(&mut self) -> Result<i64, DecodeError> {
        self.0.array().map(i64::from_be_bytes)
    }

    #[inline]
    fn double(&mut self) -> Result<u64, DecodeError> {
        self.0.array().map(u64::from_be_bytes)
    }

    #[inline]
    fn bytes(&mut self) -> Result<&'a [u8], DecodeError> {
        let length = self.length()?;
        if length > self.0.0.len() {
            return Err(DecodeError::Count);
        }
        self.0.take(length)
    }

    #[inline]
    fn uuid(&mut self) -> Result<[u8; 16], DecodeError> {
        self.0.array()
    }

    #[inline]
    fn list(&mut self) -> Result<(Type, usize), DecodeError> {
        let of = Type::from_binary(self.0.byte()?)?;
        let count = self.length()?;
        Ok((of, self.0.check_count(count, Self::min_size(of))?))
    }

    #[inline]
    fn map(&mut self) -> Result<(Type, Type, usize), DecodeError> {
        let (keys, values) = (
            Type::from_binary(self.0.byte()?)?,
            Type::from_binary(self.0.byte()?)?,
        );
        let count = self.length()?;
        if count > 0 && (keys == Type::Stop || values == Type::Stop) {
            return Err(DecodeError::Type(0));
        }
        Ok((
            keys,
            values,
            self.0
                .check_count(count, Self::min_size(keys) + Self::min_size(values))?,
        ))
    }
}

/// Writes the binary protocol.
#[derive(Default)]
pub struct BinaryWriter(pub Vec<u8>);

impl BinaryWriter {
    #[inline]
    fn length(&mut self, length: usize) {
        // Frames are far below 2 GiB, and so is everything within them.
        self.i32(i32::try_from(length).unwrap_or(i32::MAX));
    }
}

impl Writer for BinaryWriter {
    #[inline]
    fn len(&self) -> usize {
        self.0.len()
    }

    #[inline]
    fn struct_begin(&mut self) -> i16 {
        0
    }

    #[inline]
    fn struct_end(&mut self, _: i16) {
        self.0.push(0);
    }

    #[inline]
    fn field(&mut self, of: Type, id: i16) {
        let [high, low] = id.to_be_bytes();
        self.0.extend_from_slice(&[of as u8, high, low]);
    }

    #[inline]
    fn bool(&mut self, value: bool) {
        self.0.push(u8::from(value));
    }

    #[inline]
    fn i8(&mut self, value: i8) {
        self.0.push(value as u8);
    }

    #[inline]
    fn i16(&mut self, value: i16) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    #[inline]
    fn i32(&mut self, value: i32) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    #[inline]
    fn i64(&mut self, value: i64) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    #[inline]
    fn double(&mut self, bits: u64) {
        self.0.extend_from_slice(&bits.to_be_bytes());
    }

    #[inline]
    fn bytes(&mut self, value: &[u8]) {
        self.length(value.len());
        self.0.extend_from_slice(value);
    }

    #[inline]
    fn uuid(&mut self, value: [u8; 16]) {
        self.0.extend_from_slice(&value);
    }

    #[inline]
    fn list(&mut self, of: Type, count: usize) {
        self.0.push(of as u8);
        self.length(count);
    }

    #[inline]
    fn map(&mut self, keys: Type, values: Type, count: usize) {
        self.0.extend_from_slice(&[keys as u8, values as u8]);
        self.length(count);
    }
}

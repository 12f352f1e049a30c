//! Reads single values of a struct by their field ids.

use super::{DecodeError, MessageLimits, Reader, Type, transcode::skip};
use std::fmt;
use std::str::FromStr;

/// The path to a value: `1.3` is field 3 of the struct in field 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldPath(Vec<i16>);

impl FieldPath {
    /// The path to a field of the outermost struct.
    pub fn field(id: i16) -> Self {
        FieldPath(vec![id])
    }
}

impl FromStr for FieldPath {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Result<Vec<i16>, _> = text.split('.').map(str::parse).collect();
        match parts {
            Ok(parts) if parts.len() <= 8 => Ok(FieldPath(parts)),
            _ => Err(format!(
                "{text:?} is no field path like \"1.3\" of at most 8 fields"
            )),
        }
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = self.0.iter().map(i16::to_string).collect();
        write!(f, "{}", parts.join("."))
    }
}

/// A value that is neither a container nor a double.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scalar<'a> {
    /// Text or bytes.
    Bytes(&'a [u8]),
    /// An integer of any width, or a boolean as 0 or 1.
    Number(i64),
    /// A UUID.
    Uuid([u8; 16]),
}

impl Scalar<'_> {
    /// As text: numbers in decimal, UUIDs in hexadecimal.
    pub fn text(&self) -> Vec<u8> {
        match self {
            Scalar::Bytes(bytes) => bytes.to_vec(),
            Scalar::Number(number) => number.to_string().into_bytes(),
            Scalar::Uuid(bytes) => bytes
                .iter()
                .flat_map(|b| format!("{b:02x}").into_bytes())
                .collect(),
        }
    }
}

/// Reads a whole struct, which also validates it, and returns the values at these paths: `None` for a value that is
/// missing, a container or a double.
///
/// # Errors
/// The struct is invalid, or a field on one of the paths occurs twice.
///
/// # Panics
/// There are more than 32 paths.
pub fn read_fields<'a, R: Reader<'a>>(
    from: &mut R,
    paths: &[Option<&FieldPath>],
    limits: &MessageLimits,
) -> Result<Vec<Option<Scalar<'a>>>, DecodeError> {
    assert!(paths.len() <= 32, "each path needs a bit in a u32");
    let mut found = vec![None; paths.len()];
    let all = (0..paths.len())
        .filter(|i| paths[*i].is_some())
        .fold(0, |bits, i| bits | 1 << i);
    read_struct(from, paths, 0, all, &mut found, limits, limits.max_depth)?;
    Ok(found)
}

/// Reads one struct. `active` has a bit for each path that leads through it; `level` is the index of the path's
/// component that names a field of this struct.
fn read_struct<'a, R: Reader<'a>>(
    from: &mut R,
    paths: &[Option<&FieldPath>],
    level: usize,
    active: u32,
    found: &mut [Option<Scalar<'a>>],
    limits: &MessageLimits,
    depth: usize,
) -> Result<(), DecodeError> {
    let depth = depth.checked_sub(1).ok_or(DecodeError::Depth)?;
    let saved = from.struct_begin();
    let mut seen = 0;
    while let Some((of, id)) = from.field()? {
        let (mut ending, mut continuing) = (0, 0);
        for (i, path) in paths
            .iter()
            .enumerate()
            .filter(|(i, _)| active & 1 << i != 0)
        {
            match path.map(|path| &path.0) {
                Some(parts) if parts.get(level) == Some(&id) => {
                    if parts.len() == level + 1 {
                        ending |= 1 << i
                    } else {
                        continuing |= 1 << i
                    }
                }
                _ => {}
            }
        }
        if seen & (ending | continuing) != 0 {
            return Err(DecodeError::Duplicate(id));
        }
        seen |= ending | continuing;
        if continuing != 0 && of == Type::Struct {
            read_struct(from, paths, level + 1, continuing, found, limits, depth)?;
        } else if ending != 0 {
            let value = scalar(from, of, limits, depth)?;
            for (_, place) in found
                .iter_mut()
                .enumerate()
                .filter(|(i, _)| ending & 1 << i != 0)
            {
                *place = value;
            }
        } else {
            skip(from, of, limits, depth)?;
        }
    }
    from.struct_end(saved);
    Ok(())
}

fn scalar<'a, R: Reader<'a>>(
    from: &mut R,
    of: Type,
    limits: &MessageLimits,
    depth: usize,
) -> Result<Option<Scalar<'a>>, DecodeError> {
    Ok(Some(match of {
        Type::Bytes => Scalar::Bytes(from.bytes()?),
        Type::Bool => Scalar::Number(i64::from(from.bool()?)),
        Type::I8 => Scalar::Number(i64::from(from.i8()?)),
        Type::I16 => Scalar::Number(i64::from(from.i16()?)),
        Type::I32 => Scalar::Number(i64::from(from.i32()?)),
        Type::I64 => Scalar::Number(from.i64()?),
        Type::Uuid => Scalar::Uuid(from.uuid()?),
        other => {
            skip(from, other, limits, depth)?;
            return Ok(None);
        }
    }))
}

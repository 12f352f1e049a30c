//! Single values out of a struct, by the numbers of their fields.

use super::{DecodeError, MessageLimits, Reader, Type, transcode::skip};
use std::fmt;
use std::str::FromStr;

/// The way to a value: `1.3` is field 3 of the struct in field 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldPath(Vec<i16>);

impl FieldPath {
    /// The way to a field of the struct itself.
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

/// A value that is no container.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scalar<'a> {
    /// Text or bytes.
    Bytes(&'a [u8]),
    /// A number of whatever width, or a truth value as 0 or 1.
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

/// Reads over a whole struct, and so checks it, and brings the values at these paths, each if it is there and is
/// no container and no double.
///
/// # Errors
/// The bytes are no struct, or a field on the way to a value stands twice.
///
/// # Panics
/// There are more than 32 paths.
pub fn read_fields<'a, R: Reader<'a>>(
    from: &mut R,
    paths: &[Option<&FieldPath>],
    limits: &MessageLimits,
) -> Result<Vec<Option<Scalar<'a>>>, DecodeError> {
    assert!(paths.len() <= 32, "one bit each");
    let mut found = vec![None; paths.len()];
    let all = (0..paths.len())
        .filter(|i| paths[*i].is_some())
        .fold(0, |bits, i| bits | 1 << i);
    walk(from, paths, 0, all, &mut found, limits, limits.max_depth)?;
    Ok(found)
}

/// `active` has a bit for each path that leads through this struct, with its field at `level`.
fn walk<'a, R: Reader<'a>>(
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
    let mut met = 0;
    while let Some((of, id)) = from.field()? {
        let (mut ends, mut on) = (0, 0);
        for (i, path) in paths
            .iter()
            .enumerate()
            .filter(|(i, _)| active & 1 << i != 0)
        {
            match path.map(|path| &path.0) {
                Some(parts) if parts.get(level) == Some(&id) => {
                    if parts.len() == level + 1 {
                        ends |= 1 << i
                    } else {
                        on |= 1 << i
                    }
                }
                _ => {}
            }
        }
        if met & (ends | on) != 0 {
            return Err(DecodeError::Twice(id));
        }
        met |= ends | on;
        if on != 0 && of == Type::Struct {
            walk(from, paths, level + 1, on, found, limits, depth)?;
        } else if ends != 0 {
            let value = scalar(from, of, limits, depth)?;
            for (_, place) in found
                .iter_mut()
                .enumerate()
                .filter(|(i, _)| ends & 1 << i != 0)
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

//! Random values, written and read by the Apache Thrift library.

#![allow(dead_code)] // the tests and the benchmark each use a part of this module

use sillward_thrift::wire::{Encoding, Head, Kind};
use thrift::protocol::*;

/// SplitMix64, which yields the same numbers on every machine.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }
    /// A number of random magnitude: small numbers, and those near the limits of a type, are as frequent as large ones.
    fn number(&mut self) -> i64 {
        let shift = self.below(64);
        let number = (self.next() >> shift) as i64;
        if self.below(2) == 0 {
            number
        } else {
            number.wrapping_neg()
        }
    }
}

#[derive(Clone, Debug)]
pub enum Value {
    Bool(bool),
    I8(i8),
    I16(i16),
    I32(i32),
    I64(i64),
    Double(u64),
    Bytes(Vec<u8>),
    Uuid([u8; 16]),
    Struct(Vec<(i16, Value)>),
    List(TType, Vec<Value>),
    Set(TType, Vec<Value>),
    Map(TType, TType, Vec<(Value, Value)>),
}

impl PartialEq for Value {
    /// Ignores the types of empty maps, which the compact encoding doesn't contain.
    fn eq(&self, other: &Self) -> bool {
        use Value::*;
        match (self, other) {
            (Bool(a), Bool(b)) => a == b,
            (I8(a), I8(b)) => a == b,
            (I16(a), I16(b)) => a == b,
            (I32(a), I32(b)) => a == b,
            (I64(a), I64(b)) => a == b,
            (Double(a), Double(b)) => a == b,
            (Bytes(a), Bytes(b)) => a == b,
            (Uuid(a), Uuid(b)) => a == b,
            (Struct(a), Struct(b)) => a == b,
            (List(t, a), List(u, b)) | (Set(t, a), Set(u, b)) => t == u && a == b,
            (Map(k, v, a), Map(l, w, b)) => a == b && (a.is_empty() || (k == l && v == w)),
            _ => false,
        }
    }
}

const TYPES: [TType; 12] = [
    TType::Bool,
    TType::I08,
    TType::I16,
    TType::I32,
    TType::I64,
    TType::Double,
    TType::String,
    TType::Uuid,
    TType::Struct,
    TType::List,
    TType::Set,
    TType::Map,
];

impl Value {
    pub fn random_struct(random: &mut Random, depth: usize) -> Self {
        let mut id = 0i16;
        let fields = (0..random.below(6)).map(|_| {
            // Mostly a small increment, sometimes any id that the library can encode: it computes deltas in 16 bits.
            // A delta of 15 is avoided, as the library writes it in the long form and the specification allows the
            // short form.
            let step = 1 + random.below(30) as i16;
            let anywhere = random.below(8) == 0;
            let previous = id;
            id = if anywhere {
                random.below(16_000) as i16 - 8_000
            } else {
                id + step + i16::from(step == 15)
            };
            id += i16::from(id - previous == 15);
            let of = Value::random_type(random, depth);
            (id, Value::random(random, of, depth.saturating_sub(1)))
        });
        Value::Struct(fields.collect())
    }

    fn random_type(random: &mut Random, depth: usize) -> TType {
        TYPES[random.below(if depth == 0 { 8 } else { TYPES.len() })]
    }

    fn random(random: &mut Random, of: TType, depth: usize) -> Self {
        let max = if random.below(10) == 0 { 40 } else { 4 };
        let count = random.below(max);
        let below = depth.saturating_sub(1);
        match of {
            TType::Bool => Value::Bool(random.below(2) == 0),
            TType::I08 => Value::I8(random.number() as i8),
            TType::I16 => Value::I16(random.number() as i16),
            TType::I32 => Value::I32(random.number() as i32),
            TType::I64 => Value::I64(random.number()),
            TType::Double => Value::Double(random.next()),
            TType::String => Value::Bytes((0..count * 5).map(|_| random.next() as u8).collect()),
            TType::Uuid => Value::Uuid(std::array::from_fn(|_| random.next() as u8)),
            TType::Struct => Value::random_struct(random, depth),
            TType::Map => {
                let (keys, values) = (
                    Value::random_type(random, below),
                    Value::random_type(random, below),
                );
                let pair = |random: &mut Random| {
                    (
                        Value::random(random, keys, below),
                        Value::random(random, values, below),
                    )
                };
                Value::Map(keys, values, (0..count).map(|_| pair(random)).collect())
            }
            of => {
                let elements = Value::random_type(random, below);
                let all = (0..count)
                    .map(|_| Value::random(random, elements, below))
                    .collect();
                if of == TType::List {
                    Value::List(elements, all)
                } else {
                    Value::Set(elements, all)
                }
            }
        }
    }

    pub fn has_empty_map(&self) -> bool {
        match self {
            Value::Struct(fields) => fields.iter().any(|(_, value)| value.has_empty_map()),
            Value::List(_, all) | Value::Set(_, all) => all.iter().any(Value::has_empty_map),
            Value::Map(_, _, all) => {
                all.is_empty()
                    || all
                        .iter()
                        .any(|(k, v)| k.has_empty_map() || v.has_empty_map())
            }
            _ => false,
        }
    }

    fn of(&self) -> TType {
        match self {
            Value::Bool(_) => TType::Bool,
            Value::I8(_) => TType::I08,
            Value::I16(_) => TType::I16,
            Value::I32(_) => TType::I32,
            Value::I64(_) => TType::I64,
            Value::Double(_) => TType::Double,
            Value::Bytes(_) => TType::String,
            Value::Uuid(_) => TType::Uuid,
            Value::Struct(_) => TType::Struct,
            Value::List(..) => TType::List,
            Value::Set(..) => TType::Set,
            Value::Map(..) => TType::Map,
        }
    }

    pub fn write(&self, to: &mut dyn TOutputProtocol) -> thrift::Result<()> {
        match self {
            Value::Bool(v) => to.write_bool(*v),
            Value::I8(v) => to.write_i8(*v),
            Value::I16(v) => to.write_i16(*v),
            Value::I32(v) => to.write_i32(*v),
            Value::I64(v) => to.write_i64(*v),
            Value::Double(v) => to.write_double(f64::from_bits(*v)),
            Value::Bytes(v) => to.write_bytes(v),
            Value::Uuid(v) => to.write_uuid(&uuid::Uuid::from_bytes(*v)),
            Value::Struct(fields) => {
                to.write_struct_begin(&TStructIdentifier::new("s"))?;
                for (id, value) in fields {
                    to.write_field_begin(&TFieldIdentifier::new("f", value.of(), *id))?;
                    value.write(to)?;
                    to.write_field_end()?;
                }
                to.write_field_stop()?;
                to.write_struct_end()
            }
            Value::List(of, all) => {
                to.write_list_begin(&TListIdentifier::new(*of, all.len() as i32))?;
                all.iter().try_for_each(|value| value.write(to))?;
                to.write_list_end()
            }
            Value::Set(of, all) => {
                to.write_set_begin(&TSetIdentifier::new(*of, all.len() as i32))?;
                all.iter().try_for_each(|value| value.write(to))?;
                to.write_set_end()
            }
            Value::Map(keys, values, all) => {
                to.write_map_begin(&TMapIdentifier::new(*keys, *values, all.len() as i32))?;
                for (key, value) in all {
                    key.write(to)?;
                    value.write(to)?;
                }
                to.write_map_end()
            }
        }
    }

    pub fn read(from: &mut dyn TInputProtocol, of: TType) -> thrift::Result<Self> {
        Ok(match of {
            TType::Bool => Value::Bool(from.read_bool()?),
            TType::I08 => Value::I8(from.read_i8()?),
            TType::I16 => Value::I16(from.read_i16()?),
            TType::I32 => Value::I32(from.read_i32()?),
            TType::I64 => Value::I64(from.read_i64()?),
            TType::Double => Value::Double(from.read_double()?.to_bits()),
            TType::String => Value::Bytes(from.read_bytes()?),
            TType::Uuid => Value::Uuid(*from.read_uuid()?.as_bytes()),
            TType::Struct => {
                from.read_struct_begin()?;
                let mut fields = Vec::new();
                loop {
                    let field = from.read_field_begin()?;
                    if field.field_type == TType::Stop {
                        break;
                    }
                    let value = Value::read(from, field.field_type)?;
                    fields.push((field.id.expect("a field id"), value));
                    from.read_field_end()?;
                }
                from.read_struct_end()?;
                Value::Struct(fields)
            }
            TType::List => {
                let list = from.read_list_begin()?;
                let all: thrift::Result<_> = (0..list.size)
                    .map(|_| Value::read(from, list.element_type))
                    .collect();
                Value::List(list.element_type, all?)
            }
            TType::Set => {
                let set = from.read_set_begin()?;
                let all: thrift::Result<_> = (0..set.size)
                    .map(|_| Value::read(from, set.element_type))
                    .collect();
                Value::Set(set.element_type, all?)
            }
            TType::Map => {
                let map = from.read_map_begin()?;
                let (keys, values) = (
                    map.key_type.unwrap_or(TType::Stop),
                    map.value_type.unwrap_or(TType::Stop),
                );
                let all: thrift::Result<_> = (0..map.size)
                    .map(|_| Ok((Value::read(from, keys)?, Value::read(from, values)?)))
                    .collect();
                Value::Map(keys, values, all?)
            }
            other => panic!("not the type of a value: {other:?}"),
        })
    }
}

fn kind(kind: Kind) -> TMessageType {
    match kind {
        Kind::Call => TMessageType::Call,
        Kind::Reply => TMessageType::Reply,
        Kind::Exception => TMessageType::Exception,
        Kind::Oneway => TMessageType::OneWay,
    }
}

/// A message without the frame's length.
pub fn encode_with_apache(encoding: Encoding, head: Head<'_>, value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    let id = TMessageIdentifier::new(head.name, kind(head.kind), head.seqid);
    let write = |to: &mut dyn TOutputProtocol| {
        to.write_message_begin(&id).expect("written");
        value.write(to).expect("written");
        to.write_message_end().expect("written");
        to.flush().expect("written");
    };
    match encoding {
        Encoding::Binary { strict } => write(&mut TBinaryOutputProtocol::new(&mut out, strict)),
        Encoding::Compact => write(&mut TCompactOutputProtocol::new(&mut out)),
    }
    out
}

/// Reads a message's head, and the rest with `read`; returns the sequence number and the result.
pub fn decode_with_apache<T>(
    encoding: Encoding,
    bytes: &[u8],
    read: impl FnOnce(&mut dyn TInputProtocol) -> T,
) -> (i32, T) {
    let read_seqid = |from: &mut dyn TInputProtocol| {
        let id = from.read_message_begin().expect("a head");
        id.sequence_number
    };
    match encoding {
        Encoding::Binary { .. } => {
            let mut protocol = TBinaryInputProtocol::new(bytes, false);
            (read_seqid(&mut protocol), read(&mut protocol))
        }
        Encoding::Compact => {
            let mut protocol = TCompactInputProtocol::new(bytes);
            (read_seqid(&mut protocol), read(&mut protocol))
        }
    }
}

/// The sequence number and the struct of a message.
pub fn read_with_apache(encoding: Encoding, bytes: &[u8]) -> (i32, Value) {
    decode_with_apache(encoding, bytes, |from| {
        Value::read(from, TType::Struct).expect("a struct")
    })
}

/// A message of about 2 KiB: a tally sheet with a station, counts by candidate, and pages.
pub fn sample_message() -> Value {
    let counts = (0..48).map(|i| {
        let candidate = Value::Bytes(format!("candidate-{i:02}").into_bytes());
        (candidate, Value::I32(i * 37 % 701))
    });
    let pages = (0..24).map(|i| {
        Value::Struct(vec![
            (1, Value::I16(i)),
            (
                2,
                Value::Bytes(format!("page {i}, table {}", i % 5).into_bytes()),
            ),
            (3, Value::I64(1_800_000_000_000 + i64::from(i) * 7919)),
            (4, Value::Bool(i % 3 != 0)),
            (5, Value::Double((0.25 * f64::from(i)).to_bits())),
        ])
    });
    Value::Struct(vec![(
        1,
        Value::Struct(vec![
            (1, Value::Bytes(b"3374-012-0007".to_vec())),
            (2, Value::Uuid([7; 16])),
            (3, Value::Map(TType::String, TType::I32, counts.collect())),
            (4, Value::List(TType::Struct, pages.collect())),
            (
                5,
                Value::List(
                    TType::I64,
                    (0..16).map(|i| Value::I64(i * 1_000_003)).collect(),
                ),
            ),
        ]),
    )])
}

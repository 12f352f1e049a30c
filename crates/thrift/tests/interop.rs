//! Interoperability with the Apache Thrift library: each side reads what the other writes.

mod values;

use sillward_thrift::wire::*;
use values::{Random, Value, decode_with_apache, encode_with_apache, read_with_apache};

const LIMITS: MessageLimits = MessageLimits {
    max_frame_bytes: 1 << 20,
    max_depth: 32,
    max_name_bytes: 256,
};
const HEAD: Head<'_> = Head {
    kind: Kind::Call,
    name: "Tally:correct",
    seqid: -7,
};
const ENCODINGS: [Encoding; 3] = [
    Encoding::Binary { strict: true },
    Encoding::Binary { strict: false },
    Encoding::Compact,
];

#[test]
fn random_structs_are_transcoded_without_loss() {
    for seed in 0..3000 {
        let value = Value::random_struct(&mut Random::new(seed), 5);
        for from in ENCODINGS {
            let from_library = encode_with_apache(from, HEAD, &value);
            let message = read_head(&from_library, &LIMITS).expect("a head");
            assert_eq!(
                (message.head, message.encoding),
                (HEAD, from),
                "seed {seed}"
            );
            for to in ENCODINGS {
                let head = Head { seqid: 99, ..HEAD };
                let transcoded = transcode(&message, to, head, &LIMITS).expect("it reads");
                let (length, transcoded) = transcoded.split_first_chunk::<4>().expect("a frame");
                assert_eq!(u32::from_be_bytes(*length) as usize, transcoded.len());
                let (seqid, back) = read_with_apache(to, transcoded);
                assert_eq!(seqid, 99);
                assert_eq!(back, value, "seed {seed}, {from:?} to {to:?}");
                if !value.has_empty_map() {
                    let direct = encode_with_apache(to, head, &value);
                    assert_eq!(
                        transcoded, direct,
                        "seed {seed}: differs from the library's encoding"
                    );
                }
            }
        }
    }
}

#[test]
fn truncated_messages_and_trailing_bytes_are_rejected() {
    for seed in 0..40 {
        let value = Value::random_struct(&mut Random::new(seed), 4);
        for encoding in ENCODINGS {
            let whole = encode_with_apache(encoding, HEAD, &value);
            for end in 0..whole.len() {
                let truncated = read_head(&whole[..end], &LIMITS)
                    .and_then(|message| transcode(&message, Encoding::Compact, HEAD, &LIMITS));
                assert!(
                    truncated.is_err(),
                    "seed {seed}, {encoding:?}, {end} of {} bytes",
                    whole.len()
                );
            }
            let extended = [&whole[..], &[0]].concat();
            let message = read_head(&extended, &LIMITS).expect("a head");
            for to in ENCODINGS {
                assert_eq!(
                    transcode(&message, to, HEAD, &LIMITS),
                    Err(DecodeError::TrailingBytes)
                );
            }
        }
    }
}

/// Each of a million mutated frames yields an error or a message, without a panic and without output or memory beyond
/// the limits.
#[test]
fn a_million_mutated_frames_cause_no_panic_and_no_excess_memory() {
    let limits = MessageLimits {
        max_frame_bytes: 4096,
        max_depth: 16,
        max_name_bytes: 64,
    };
    let path: FieldPath = "1.2".parse().expect("a path");
    let mut random = Random::new(1);
    let mut valid = 0;
    let mut frames = Vec::new();
    for seed in 0..200 {
        let value = Value::random_struct(&mut Random::new(seed), 3);
        frames.extend(ENCODINGS.map(|encoding| encode_with_apache(encoding, HEAD, &value)));
    }
    frames.retain(|frame| frame.len() < 600);
    for i in 0..1_000_000 {
        let mut frame = frames[i % frames.len()].clone();
        for _ in 0..=random.below(3) {
            let at = random.below(frame.len());
            match random.below(4) {
                0 => frame[at] = random.next() as u8,
                1 => frame[at] ^= 1 << random.below(8),
                2 => frame.truncate(at.max(1)),
                _ => frame.insert(at, [0, 0x7f, 0x80, 0xff][random.below(4)]),
            }
        }
        let Ok(message) = read_head(&frame, &limits) else {
            continue;
        };
        let to = ENCODINGS[i % 3];
        if let Ok(out) = transcode(&message, to, HEAD, &limits) {
            assert!(out.len() <= limits.max_written_bytes() + 4);
            assert!(
                out.capacity() <= 16 * (frame.len() + 64),
                "{} for {}",
                out.capacity(),
                frame.len()
            );
            valid += 1;
        }
        let fields = match message.encoding {
            Encoding::Compact => read_fields(
                &mut CompactReader::new(message.body),
                &[Some(&path)],
                &limits,
            ),
            Encoding::Binary { .. } => read_fields(
                &mut BinaryReader::new(message.body),
                &[Some(&path)],
                &limits,
            ),
        };
        drop(fields);
    }
    assert!(
        (10_000..900_000).contains(&valid),
        "{valid} of a million were still valid: too few or too many for a useful test"
    );
}

/// Transcodes a message with this struct into the other encoding, and checks that a copy within the same encoding
/// has the same result.
fn transcode_struct(encoding: Encoding, bytes: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let to = if encoding == Encoding::Compact {
        Encoding::Binary { strict: true }
    } else {
        Encoding::Compact
    };
    let message = Message {
        encoding,
        head: HEAD,
        body: bytes,
    };
    let same = transcode(&message, encoding, HEAD, &LIMITS).map(drop);
    let other = transcode(&message, to, HEAD, &LIMITS);
    assert_eq!(
        same,
        other.clone().map(drop),
        "copying and transcoding have different results"
    );
    other
}

#[test]
fn edge_cases_of_the_compact_encoding() {
    let compact = |bytes: &[u8]| transcode_struct(Encoding::Compact, bytes);
    // A list with a count of 2^31 - 1 booleans, and no elements.
    assert_eq!(
        compact(&[0x19, 0xf1, 0xff, 0xff, 0xff, 0xff, 0x07, 0]),
        Err(DecodeError::Count)
    );
    // Elements without bytes: a list of 2^31 - 1 stops.
    assert_eq!(
        compact(&[0x19, 0xf0, 0xff, 0xff, 0xff, 0xff, 0x07, 0]),
        Err(DecodeError::Type(0))
    );
    // A map of stops.
    assert_eq!(
        compact(&[0x1b, 0x02, 0x00, 1, 1, 1, 1, 0]),
        Err(DecodeError::Type(0))
    );
    // A length with its 32nd bit set.
    assert_eq!(
        compact(&[0x18, 0xff, 0xff, 0xff, 0xff, 0x0f, 0]),
        Err(DecodeError::Negative)
    );
    // Varints longer than their type: by a bit, and by padding.
    assert_eq!(
        compact(&[0x15, 0xff, 0xff, 0xff, 0xff, 0x1f, 0]),
        Err(DecodeError::Varint)
    );
    assert_eq!(
        compact(&[0x15, 0x80, 0x80, 0x80, 0x80, 0x80, 0x00, 0]),
        Err(DecodeError::Varint)
    );
    assert_eq!(
        compact(&[0x16, 255, 255, 255, 255, 255, 255, 255, 255, 255, 2, 0]),
        Err(DecodeError::Varint)
    );
    assert_eq!(
        compact(&[0x14, 0x80, 0x80, 0x04, 0]),
        Err(DecodeError::Varint),
        "32768 as 16 bits"
    );
    // The largest values that fit.
    assert!(compact(&[0x16, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 0]).is_ok());
    assert!(compact(&[0x15, 0xff, 0xff, 0xff, 0xff, 0x0f, 0]).is_ok());
    // A field id beyond 16 bits: 32767, then a delta of 1.
    assert_eq!(
        compact(&[0x03, 0xfe, 0xff, 0x03, 7, 0x13, 7, 0]),
        Err(DecodeError::FieldId)
    );
    // A delta of 15, in the short form and in the long form.
    assert!(compact(&[0xf3, 7, 0]).is_ok() && compact(&[0x03, 30, 7, 0]).is_ok());
    // An empty map takes one byte; a boolean field takes none besides its header.
    assert!(compact(&[0x1b, 0x00, 0x11, 0x12, 0]).is_ok());
    // False elements, as in the specification (0) and as the libraries write them (2).
    let booleans = compact(&[0x19, 0x31, 1, 0, 2, 0]).expect("three booleans");
    assert!(
        booleans.ends_with(&[2, 0, 0, 0, 3, 1, 0, 0, 0]),
        "{booleans:?}"
    );
    assert_eq!(compact(&[0x19, 0x11, 3, 0]), Err(DecodeError::Bool(3)));
    assert_eq!(compact(&[0x1e, 0]), Err(DecodeError::Type(14)));
}

#[test]
fn edge_cases_of_the_binary_encoding() {
    let binary = |bytes: &[u8]| transcode_struct(Encoding::Binary { strict: true }, bytes);
    assert_eq!(
        binary(&[11, 0, 1, 0xff, 0xff, 0xff, 0xff, 0]),
        Err(DecodeError::Negative)
    );
    assert_eq!(
        binary(&[11, 0, 1, 0x7f, 0xff, 0xff, 0xff, 0]),
        Err(DecodeError::Count)
    );
    assert_eq!(
        binary(&[15, 0, 1, 2, 0x80, 0, 0, 0, 0]),
        Err(DecodeError::Negative)
    );
    assert_eq!(
        binary(&[15, 0, 1, 12, 0x10, 0, 0, 0, 0]),
        Err(DecodeError::Count)
    );
    assert_eq!(
        binary(&[15, 0, 1, 0, 0, 0, 0, 9, 0]),
        Err(DecodeError::Type(0)),
        "elements without bytes"
    );
    assert_eq!(
        binary(&[15, 0, 1, 1, 0, 0, 0, 9, 0]),
        Err(DecodeError::Type(1)),
        "void is not a value's type"
    );
    assert_eq!(
        binary(&[13, 0, 1, 0, 11, 0, 0, 0, 1, 0, 0, 0, 0, 0]),
        Err(DecodeError::Type(0))
    );
    assert_eq!(binary(&[2, 0, 1, 2, 0]), Err(DecodeError::Bool(2)));
    // An empty list with an unknown element type, as some libraries write it.
    assert!(binary(&[15, 0, 1, 0, 0, 0, 0, 0, 0]).is_ok());
}

#[test]
fn nesting_depth_counts_structs_and_containers() {
    let levels = |count: usize| -> Vec<u8> {
        let mut bytes = [12, 0, 1].repeat(count - 1);
        bytes.extend(vec![0; count]);
        bytes
    };
    let binary = |bytes: &[u8]| transcode_struct(Encoding::Binary { strict: true }, bytes);
    assert!(binary(&levels(32)).is_ok());
    assert_eq!(binary(&levels(33)), Err(DecodeError::Depth));
    assert_eq!(binary(&levels(100)), Err(DecodeError::Depth));
    // Nested lists, which take one byte per level in compact and 5 in binary.
    let mut lists = vec![0x19];
    lists.extend(vec![0x19; 100]);
    lists.extend([0x03, 0]);
    assert_eq!(
        transcode_struct(Encoding::Compact, &lists),
        Err(DecodeError::Depth)
    );
}

#[test]
fn output_larger_than_a_frame_is_rejected() {
    // Zeros that take one byte each in compact and eight in binary.
    let mut zeros = vec![0x19, 0xf6, 0x80, 0x80, 0x04];
    zeros.extend(vec![0; 65536 + 1]);
    let limits = MessageLimits {
        max_frame_bytes: 70_000,
        ..LIMITS
    };
    let message = Message {
        encoding: Encoding::Compact,
        head: HEAD,
        body: &zeros,
    };
    assert!(transcode(&message, Encoding::Compact, HEAD, &limits).is_ok());
    assert_eq!(
        transcode(&message, Encoding::Binary { strict: true }, HEAD, &limits),
        Err(DecodeError::TooLarge)
    );
}

#[test]
fn fields_are_read_by_path_and_duplicates_are_rejected() {
    // {1: {3: "a", 4: 7}, 2: {3: "b"}, 5: true}
    let mut writer = CompactWriter::default();
    let outer = writer.struct_begin();
    for (field, text) in [(1, "a"), (2, "b")] {
        writer.field(Type::Struct, field);
        let inner = writer.struct_begin();
        writer.field(Type::Bytes, 3);
        writer.bytes(text.as_bytes());
        writer.field(Type::I32, 4);
        writer.i32(7);
        writer.struct_end(inner);
    }
    writer.field(Type::Bool, 5);
    writer.bool(true);
    writer.struct_end(outer);
    let paths: Vec<FieldPath> = ["1.3", "2.3", "5", "1.4", "3.3", "1.3.1", "2"]
        .map(|p| p.parse().expect("one"))
        .into();
    let paths: Vec<Option<&FieldPath>> = paths.iter().map(Some).chain([None]).collect();
    let found =
        read_fields(&mut CompactReader::new(&writer.out), &paths, &LIMITS).expect("it reads");
    let expected = [
        Some(Scalar::Bytes(b"a")),
        Some(Scalar::Bytes(b"b")),
        Some(Scalar::Number(1)),
        Some(Scalar::Number(7)),
        None,
        None,
        None,
        None,
    ];
    assert_eq!(found, expected);
    let duplicate = [11, 0, 1, 0, 0, 0, 1, b'a', 11, 0, 1, 0, 0, 0, 1, b'b', 0];
    let path = "1".parse().expect("a path");
    assert_eq!(
        read_fields(&mut BinaryReader::new(&duplicate), &[Some(&path)], &LIMITS),
        Err(DecodeError::Duplicate(1))
    );
    assert!(
        read_fields(&mut BinaryReader::new(&duplicate), &[None], &LIMITS).is_ok(),
        "the duplicate field is on no path"
    );
}

#[test]
fn exceptions_are_readable_by_the_library() {
    for encoding in ENCODINGS {
        let kind = ExceptionKind::UnsupportedClientType;
        let frame = exception(
            encoding,
            "Tally:correct",
            5,
            kind,
            "refused: full",
            Some(250),
        );
        let message = read_head(&frame[4..], &LIMITS).expect("a head");
        assert_eq!(
            message.head,
            Head {
                kind: Kind::Exception,
                name: "Tally:correct",
                seqid: 5
            }
        );
        assert_eq!(
            read_exception(&message, &LIMITS),
            Ok((10, "refused: full".to_owned()))
        );
        let (seqid, read) = decode_with_apache(encoding, &frame[4..], |protocol| {
            thrift::Error::read_application_error_from_in_protocol(protocol).expect("it reads")
        });
        assert_eq!(seqid, 5);
        assert_eq!(read.message, "refused: full");
    }
}

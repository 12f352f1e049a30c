//! The encodings against the library of Apache: what it writes reads here, and what is written here reads there.

mod values;

use sillward_thrift::wire::*;
use values::{Random, Value, apache_message, read_apache, written_by_apache};

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
fn random_structs_go_through_both_encodings_and_come_out_the_same() {
    for seed in 0..3000 {
        let value = Value::random_struct(&mut Random::new(seed), 5);
        for from in ENCODINGS {
            let theirs = written_by_apache(from, HEAD, &value);
            let message = read_head(&theirs, &LIMITS).expect("a head");
            assert_eq!(
                (message.head, message.encoding),
                (HEAD, from),
                "seed {seed}"
            );
            for to in ENCODINGS {
                let head = Head { seqid: 99, ..HEAD };
                let ours = transcode(&message, to, head, &LIMITS).expect("it reads");
                let (length, ours) = ours.split_first_chunk::<4>().expect("a frame");
                assert_eq!(u32::from_be_bytes(*length) as usize, ours.len());
                let (seqid, back) = read_apache(to, ours);
                assert_eq!(seqid, 99);
                assert_eq!(back, value, "seed {seed}, {from:?} to {to:?}");
                if !value.has_empty_map() {
                    let direct = written_by_apache(to, head, &value);
                    assert_eq!(
                        ours, direct,
                        "seed {seed}: byte for byte what the library writes"
                    );
                }
            }
        }
    }
}

#[test]
fn what_is_cut_off_anywhere_is_no_message() {
    for seed in 0..40 {
        let value = Value::random_struct(&mut Random::new(seed), 4);
        for encoding in ENCODINGS {
            let whole = written_by_apache(encoding, HEAD, &value);
            for end in 0..whole.len() {
                let cut = read_head(&whole[..end], &LIMITS)
                    .and_then(|message| transcode(&message, Encoding::Compact, HEAD, &LIMITS));
                assert!(
                    cut.is_err(),
                    "seed {seed}, {encoding:?}, {end} of {} bytes",
                    whole.len()
                );
            }
            let more = [&whole[..], &[0]].concat();
            let message = read_head(&more, &LIMITS).expect("a head");
            for to in ENCODINGS {
                assert_eq!(
                    transcode(&message, to, HEAD, &LIMITS),
                    Err(DecodeError::Behind)
                );
            }
        }
    }
}

/// A million frames, each with a few bytes changed: an error or a message, never a panic, and nothing larger than
/// the bound.
#[test]
fn a_million_mutated_frames_bring_no_panic_and_no_growth() {
    let limits = MessageLimits {
        max_frame_bytes: 4096,
        max_depth: 16,
        max_name_bytes: 64,
    };
    let path: FieldPath = "1.2".parse().expect("a path");
    let mut random = Random::new(1);
    let mut read = 0;
    let mut frames = Vec::new();
    for seed in 0..200 {
        let value = Value::random_struct(&mut Random::new(seed), 3);
        frames.extend(ENCODINGS.map(|encoding| written_by_apache(encoding, HEAD, &value)));
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
            read += 1;
        }
        let picked = match message.encoding {
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
        drop(picked);
    }
    assert!(
        (10_000..900_000).contains(&read),
        "{read} of a million still read: the mutations are no test"
    );
}

/// The whole of a message's struct, of bytes written by hand.
fn body(encoding: Encoding, bytes: &[u8]) -> Result<Vec<u8>, DecodeError> {
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
    assert_eq!(same, other.clone().map(drop), "both ways judge alike");
    other
}

#[test]
fn traps_of_the_compact_encoding() {
    let compact = |bytes: &[u8]| body(Encoding::Compact, bytes);
    // A list said to have 2^31 - 1 truth values, and nothing behind it.
    assert_eq!(
        compact(&[0x19, 0xf1, 0xff, 0xff, 0xff, 0xff, 0x07, 0]),
        Err(DecodeError::Count)
    );
    // Elements that take no bytes: a list of 2^31 - 1 stops.
    assert_eq!(
        compact(&[0x19, 0xf0, 0xff, 0xff, 0xff, 0xff, 0x07, 0]),
        Err(DecodeError::Type(0))
    );
    // A map of stops.
    assert_eq!(
        compact(&[0x1b, 0x02, 0x00, 1, 1, 1, 1, 0]),
        Err(DecodeError::Type(0))
    );
    // A length with its 32nd bit.
    assert_eq!(
        compact(&[0x18, 0xff, 0xff, 0xff, 0xff, 0x0f, 0]),
        Err(DecodeError::Negative)
    );
    // Numbers longer than their type, by a bit and without end.
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
    // The largest that fit.
    assert!(compact(&[0x16, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 0]).is_ok());
    assert!(compact(&[0x15, 0xff, 0xff, 0xff, 0xff, 0x0f, 0]).is_ok());
    // A field's number beyond 16 bits by its delta: 32767, then 1 more.
    assert_eq!(
        compact(&[0x03, 0xfe, 0xff, 0x03, 7, 0x13, 7, 0]),
        Err(DecodeError::FieldId)
    );
    // A step of 15, the short way and the long way.
    assert!(compact(&[0xf3, 7, 0]).is_ok() && compact(&[0x03, 30, 7, 0]).is_ok());
    // An empty map is one byte; a truth value in a field's head takes none.
    assert!(compact(&[0x1b, 0x00, 0x11, 0x12, 0]).is_ok());
    // Elements that are false by the specification (0) and by the libraries (2).
    let by_book = compact(&[0x19, 0x31, 1, 0, 2, 0]).expect("three truth values");
    assert!(
        by_book.ends_with(&[2, 0, 0, 0, 3, 1, 0, 0, 0]),
        "{by_book:?}"
    );
    assert_eq!(compact(&[0x19, 0x11, 3, 0]), Err(DecodeError::Bool(3)));
    assert_eq!(compact(&[0x1e, 0]), Err(DecodeError::Type(14)));
}

#[test]
fn traps_of_the_binary_encoding() {
    let binary = |bytes: &[u8]| body(Encoding::Binary { strict: true }, bytes);
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
        "elements that take no bytes"
    );
    assert_eq!(
        binary(&[15, 0, 1, 1, 0, 0, 0, 9, 0]),
        Err(DecodeError::Type(1)),
        "void is no value"
    );
    assert_eq!(
        binary(&[13, 0, 1, 0, 11, 0, 0, 0, 1, 0, 0, 0, 0, 0]),
        Err(DecodeError::Type(0))
    );
    assert_eq!(binary(&[2, 0, 1, 2, 0]), Err(DecodeError::Bool(2)));
    // An empty list whose element type nobody told, as some libraries write it.
    assert!(binary(&[15, 0, 1, 0, 0, 0, 0, 0, 0]).is_ok());
}

#[test]
fn levels_are_counted_over_structs_and_containers() {
    let levels = |count: usize| -> Vec<u8> {
        let mut bytes = [12, 0, 1].repeat(count - 1);
        bytes.extend(vec![0; count]);
        bytes
    };
    let binary = |bytes: &[u8]| body(Encoding::Binary { strict: true }, bytes);
    assert!(binary(&levels(32)).is_ok());
    assert_eq!(binary(&levels(33)), Err(DecodeError::Depth));
    assert_eq!(binary(&levels(100)), Err(DecodeError::Depth));
    // Lists within lists, a byte a level in compact: each would be 5 in binary.
    let mut lists = vec![0x19];
    lists.extend(vec![0x19; 100]);
    lists.extend([0x03, 0]);
    assert_eq!(body(Encoding::Compact, &lists), Err(DecodeError::Depth));
}

#[test]
fn what_grows_beyond_a_frame_is_refused() {
    // Zeros of a byte in compact, of eight in binary.
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
        Err(DecodeError::Large)
    );
}

#[test]
fn fields_are_found_by_their_paths_and_one_that_stands_twice_is_refused() {
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
    let twice = [11, 0, 1, 0, 0, 0, 1, b'a', 11, 0, 1, 0, 0, 0, 1, b'b', 0];
    let path = "1".parse().expect("a path");
    assert_eq!(
        read_fields(&mut BinaryReader::new(&twice), &[Some(&path)], &LIMITS),
        Err(DecodeError::Twice(1))
    );
    assert!(
        read_fields(&mut BinaryReader::new(&twice), &[None], &LIMITS).is_ok(),
        "nobody asked for it"
    );
}

#[test]
fn an_exception_reads_in_the_library() {
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
        let (seqid, read) = apache_message(encoding, &frame[4..], |protocol| {
            thrift::Error::read_application_error_from_in_protocol(protocol).expect("it reads")
        });
        assert_eq!(seqid, 5);
        assert_eq!(read.message, "refused: full");
    }
}

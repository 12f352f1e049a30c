//! The framed transport: a length of four bytes in big endian, then that many bytes.

/// The minimum buffer for a longer frame of which only a few bytes have arrived.
const MIN_BUFFER_BYTES: usize = 1024;
/// How much is kept of a frame for which there is no memory: enough for its head, so that it can be replied to.
const DISCARDED_PREFIX_BYTES: usize = 512;

/// Splits a byte stream into frames. Its buffer grows with the bytes that arrived, not with the announced length.
pub struct FrameReader {
    max_frame_bytes: usize,
    length_field: [u8; 4],
    /// How many bytes of the length field have arrived.
    length_bytes_read: usize,
    /// How many bytes are missing of the frame that is being read.
    missing: usize,
    body: Vec<u8>,
    /// There is no memory for the frame: only its beginning is kept.
    discard: bool,
}

/// The result of parsing some bytes.
#[derive(Debug, PartialEq)]
pub enum FrameProgress {
    /// The frame is not complete yet.
    Incomplete,
    /// A complete frame.
    Complete(Vec<u8>),
    /// The beginning of a complete frame for which there was no memory.
    Discarded(Vec<u8>),
    /// The input is not framed, or the frame is too long; nothing more can be read.
    NotFramed(NotFramed),
}

/// What was found in place of a valid frame length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFramed {
    /// An HTTP request.
    Http,
    /// A message without the framed transport.
    Unframed,
    /// A TLS handshake.
    Tls,
    /// A length that is too large or negative.
    Length(i32),
}

impl FrameReader {
    /// A reader of frames of at most `max_frame_bytes` bytes.
    pub fn new(max_frame_bytes: usize) -> Self {
        FrameReader {
            max_frame_bytes,
            length_field: [0; 4],
            length_bytes_read: 0,
            missing: 0,
            body: Vec::new(),
            discard: false,
        }
    }

    /// Whether a frame has begun and is not complete.
    pub fn is_in_frame(&self) -> bool {
        self.length_bytes_read > 0
    }

    /// The beginning of the frame that is being read, as far as it has arrived.
    pub fn beginning(&self) -> &[u8] {
        &self.body
    }

    /// Parses bytes at most to the end of a frame, and returns how many were used. `reserve` is called with a number
    /// of bytes before more memory is used; if it returns false, the rest of the frame is read but only its beginning
    /// is kept.
    pub fn take(
        &mut self,
        bytes: &[u8],
        reserve: &mut dyn FnMut(usize) -> bool,
    ) -> (usize, FrameProgress) {
        let mut used = 0;
        if self.length_bytes_read < 4 {
            let part = bytes.len().min(4 - self.length_bytes_read);
            self.length_field[self.length_bytes_read..self.length_bytes_read + part]
                .copy_from_slice(&bytes[..part]);
            (self.length_bytes_read, used) = (self.length_bytes_read + part, part);
            if self.length_bytes_read < 4 {
                return (used, FrameProgress::Incomplete);
            }
            match parse_length(self.length_field, self.max_frame_bytes) {
                Ok(length) => self.missing = length,
                Err(reason) => return (used, FrameProgress::NotFramed(reason)),
            }
        }
        let part = (bytes.len() - used).min(self.missing);
        self.buffer(&bytes[used..used + part], reserve);
        self.missing -= part;
        used += part;
        if self.missing > 0 {
            return (used, FrameProgress::Incomplete);
        }
        self.length_bytes_read = 0;
        let body = std::mem::take(&mut self.body);
        let discarded = std::mem::take(&mut self.discard);
        (
            used,
            if discarded {
                FrameProgress::Discarded(body)
            } else {
                FrameProgress::Complete(body)
            },
        )
    }

    fn buffer(&mut self, part: &[u8], reserve: &mut dyn FnMut(usize) -> bool) {
        let needed = self.body.len() + part.len();
        if !self.discard && needed > self.body.capacity() {
            // Doubled so that a frame is copied only a few times, but never beyond its own length.
            let complete = self.body.len() + self.missing;
            let wanted = (needed * 2).max(MIN_BUFFER_BYTES).min(complete);
            if reserve(wanted - self.body.capacity()) {
                self.body.reserve_exact(wanted - self.body.len());
            } else {
                self.discard = true;
                self.body.truncate(DISCARDED_PREFIX_BYTES);
            }
        }
        if self.discard {
            let kept = part
                .len()
                .min(DISCARDED_PREFIX_BYTES.saturating_sub(self.body.len()));
            self.body.extend_from_slice(&part[..kept]);
        } else {
            self.body.extend_from_slice(part);
        }
    }
}

fn parse_length(field: [u8; 4], max_frame_bytes: usize) -> Result<usize, NotFramed> {
    let length = i32::from_be_bytes(field);
    match field {
        _ if usize::try_from(length).is_ok_and(|length| length <= max_frame_bytes) => {
            Ok(length as usize)
        }
        [0x80, 0x01, 0, _] | [0x82, 0x21 | 0x81, ..] => Err(NotFramed::Unframed),
        [0x16, 0x03, ..] => Err(NotFramed::Tls),
        method
            if [
                b"GET ", b"POST", b"HEAD", b"PUT ", b"DELE", b"OPTI", b"PATC", b"PRI ",
            ]
            .contains(&&method) =>
        {
            Err(NotFramed::Http)
        }
        _ => Err(NotFramed::Length(length)),
    }
}

/// Fills in a frame's length, for which `bytes` begins with four placeholder bytes.
pub fn frame(mut bytes: Vec<u8>) -> Vec<u8> {
    // Frames are limited to far less than 2 GiB.
    let length = u32::try_from(bytes.len().saturating_sub(4)).unwrap_or(u32::MAX);
    if let Some(field) = bytes.first_chunk_mut::<4>() {
        *field = length.to_be_bytes();
    }
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read_all(reader: &mut FrameReader, mut bytes: &[u8]) -> Vec<FrameProgress> {
        let mut steps = Vec::new();
        while !bytes.is_empty() {
            let (used, step) = reader.take(bytes, &mut |_| true);
            assert!(used > 0);
            bytes = &bytes[used..];
            let ended = matches!(step, FrameProgress::NotFramed(_));
            steps.push(step);
            if ended {
                break;
            }
        }
        steps
    }

    #[test]
    fn frames_are_complete_however_the_input_is_split() {
        let stream = [
            &[0, 0, 0, 3][..],
            b"abc",
            &[0, 0, 0, 0],
            &[0, 0, 0, 1],
            b"z",
        ]
        .concat();
        let complete = |body: &[u8]| FrameProgress::Complete(body.to_vec());
        for piece in 1..=stream.len() {
            let mut reader = FrameReader::new(3);
            let mut steps = Vec::new();
            for part in stream.chunks(piece) {
                steps.extend(
                    read_all(&mut reader, part)
                        .into_iter()
                        .filter(|step| *step != FrameProgress::Incomplete),
                );
            }
            assert_eq!(
                steps,
                [complete(b"abc"), complete(b""), complete(b"z")],
                "pieces of {piece}"
            );
            assert!(!reader.is_in_frame());
        }
    }

    #[test]
    fn other_protocols_and_invalid_lengths_are_distinguished() {
        let cases: [(&[u8], NotFramed); 7] = [
            (b"GET / HTTP/1.1\r\n", NotFramed::Http),
            (&[0x80, 1, 0, 1, 0], NotFramed::Unframed),
            (&[0x82, 0x21, 0, 4], NotFramed::Unframed),
            (&[0x16, 3, 1, 2], NotFramed::Tls),
            (&[0x7f, 0xff, 0xff, 0xff], NotFramed::Length(i32::MAX)),
            (&[0, 0, 0, 4], NotFramed::Length(4)),
            (&[0xff; 4], NotFramed::Length(-1)),
        ];
        for (bytes, what) in cases {
            assert_eq!(
                read_all(&mut FrameReader::new(3), bytes).last(),
                Some(&FrameProgress::NotFramed(what))
            );
        }
    }

    #[test]
    fn buffer_grows_with_arrived_bytes_and_frame_without_memory_is_skipped() {
        let mut reader = FrameReader::new(1 << 20);
        let mut asked = 0;
        let mut room = |bytes| {
            asked += bytes;
            true
        };
        assert_eq!(
            reader.take(&[0, 0x10, 0, 0, 1, 2, 3], &mut room),
            (7, FrameProgress::Incomplete)
        );
        assert!(
            asked <= MIN_BUFFER_BYTES,
            "{asked} bytes for three that arrived"
        );
        let mut reader = FrameReader::new(1 << 20);
        let mut long = vec![0, 0, 0x10, 0];
        long.extend((0..0x1000).map(|i| i as u8));
        let (used, step) = reader.take(&long, &mut |_| false);
        assert_eq!(
            (used, step),
            (
                long.len(),
                FrameProgress::Discarded(long[4..4 + DISCARDED_PREFIX_BYTES].to_vec())
            )
        );
        assert_eq!(
            read_all(&mut reader, &[0, 0, 0, 1, 9]),
            [FrameProgress::Complete(vec![9])],
            "the next frame is read"
        );
    }
}

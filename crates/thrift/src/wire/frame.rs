//! The framed transport: four bytes of length, big endian, and so many bytes.

/// Bytes reserved for a frame whose length is told but not yet covered by what has come.
const FIRST_ROOM: usize = 1024;
/// What is kept of a frame there is no room for: enough to tell whose it was.
const KEPT: usize = 512;

/// Takes frames out of a stream, one at a time. Holds no more memory than the bytes that have come call for.
pub struct FrameReader {
    most: usize,
    head: [u8; 4],
    /// Bytes of the head that have come.
    had: usize,
    /// What is left of the frame that is being read.
    left: usize,
    body: Vec<u8>,
    /// There is no room for all of it: only its beginning is kept.
    discard: bool,
}

/// What came of some bytes.
#[derive(Debug, PartialEq)]
pub enum FrameProgress {
    /// They are part of a frame that has not ended.
    Incomplete,
    /// A whole frame.
    Complete(Vec<u8>),
    /// The beginning of a whole frame that there was no room for.
    Discarded(Vec<u8>),
    /// They are no frames; nothing more can be read.
    NotFramed(NotFramed),
}

/// What stands where a frame's length should.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFramed {
    /// An HTTP request.
    Http,
    /// A message without the framed transport.
    Unframed,
    /// A TLS handshake.
    Tls,
    /// A length beyond the bound, or a negative one.
    Length(i32),
}

impl FrameReader {
    /// A reader of frames of at most `most` bytes.
    pub fn new(most: usize) -> Self {
        FrameReader {
            most,
            head: [0; 4],
            had: 0,
            left: 0,
            body: Vec::new(),
            discard: false,
        }
    }

    /// Whether a frame has begun and not ended.
    pub fn is_within(&self) -> bool {
        self.had > 0
    }

    /// Takes bytes, and says how many of them: at most to the end of a frame. `room` is asked for more memory,
    /// in bytes, before it is used; if it says no, the frame is read to its end and all but its beginning is
    /// dropped.
    pub fn take(
        &mut self,
        bytes: &[u8],
        room: &mut dyn FnMut(usize) -> bool,
    ) -> (usize, FrameProgress) {
        let mut used = 0;
        if self.had < 4 {
            let part = bytes.len().min(4 - self.had);
            self.head[self.had..self.had + part].copy_from_slice(&bytes[..part]);
            (self.had, used) = (self.had + part, part);
            if self.had < 4 {
                return (used, FrameProgress::Incomplete);
            }
            match length(self.head, self.most) {
                Ok(length) => self.left = length,
                Err(what) => return (used, FrameProgress::NotFramed(what)),
            }
        }
        let part = (bytes.len() - used).min(self.left);
        self.keep(&bytes[used..used + part], room);
        self.left -= part;
        used += part;
        if self.left > 0 {
            return (used, FrameProgress::Incomplete);
        }
        self.had = 0;
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

    fn keep(&mut self, part: &[u8], room: &mut dyn FnMut(usize) -> bool) {
        let needed = self.body.len() + part.len();
        if !self.discard && needed > self.body.capacity() {
            // Doubled, so that a frame is copied a few times at most, but never beyond its own length.
            let whole = self.body.len() + self.left;
            let wanted = (needed * 2).max(FIRST_ROOM).min(whole);
            if room(wanted - self.body.capacity()) {
                self.body.reserve_exact(wanted - self.body.len());
            } else {
                self.discard = true;
                self.body.truncate(KEPT);
            }
        }
        if self.discard {
            let kept = part.len().min(KEPT.saturating_sub(self.body.len()));
            self.body.extend_from_slice(&part[..kept]);
        } else {
            self.body.extend_from_slice(part);
        }
    }
}

fn length(head: [u8; 4], most: usize) -> Result<usize, NotFramed> {
    let length = i32::from_be_bytes(head);
    match head {
        _ if usize::try_from(length).is_ok_and(|length| length <= most) => Ok(length as usize),
        [0x80, 0x01, 0, _] | [0x82, 0x21 | 0x81, ..] => Err(NotFramed::Unframed),
        [0x16, 0x03, ..] => Err(NotFramed::Tls),
        head if [
            b"GET ", b"POST", b"HEAD", b"PUT ", b"DELE", b"OPTI", b"PATC", b"PRI ",
        ]
        .contains(&&head) =>
        {
            Err(NotFramed::Http)
        }
        _ => Err(NotFramed::Length(length)),
    }
}

/// Puts a frame's length before it: `bytes` begins with four bytes for it.
pub fn frame(mut bytes: Vec<u8>) -> Vec<u8> {
    // Frames are bounded far below 2 GiB.
    let length = u32::try_from(bytes.len().saturating_sub(4)).unwrap_or(u32::MAX);
    if let Some(head) = bytes.first_chunk_mut::<4>() {
        *head = length.to_be_bytes();
    }
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(reader: &mut FrameReader, mut bytes: &[u8]) -> Vec<FrameProgress> {
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
    fn frames_come_out_whole_however_the_bytes_come() {
        let stream = [
            &[0, 0, 0, 3][..],
            b"abc",
            &[0, 0, 0, 0],
            &[0, 0, 0, 1],
            b"z",
        ]
        .concat();
        let whole = |body: &[u8]| FrameProgress::Complete(body.to_vec());
        for piece in 1..=stream.len() {
            let mut reader = FrameReader::new(3);
            let mut steps = Vec::new();
            for part in stream.chunks(piece) {
                steps.extend(
                    all(&mut reader, part)
                        .into_iter()
                        .filter(|step| *step != FrameProgress::Incomplete),
                );
            }
            assert_eq!(
                steps,
                [whole(b"abc"), whole(b""), whole(b"z")],
                "pieces of {piece}"
            );
            assert!(!reader.is_within());
        }
    }

    #[test]
    fn what_is_no_frame_is_told_apart() {
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
                all(&mut FrameReader::new(3), bytes).last(),
                Some(&FrameProgress::NotFramed(what))
            );
        }
    }

    #[test]
    fn a_frame_costs_what_has_come_of_it_and_one_without_room_is_read_over() {
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
        assert!(asked <= FIRST_ROOM, "{asked} bytes for three that came");
        let mut reader = FrameReader::new(1 << 20);
        let mut long = vec![0, 0, 0x10, 0];
        long.extend((0..0x1000).map(|i| i as u8));
        let (used, step) = reader.take(&long, &mut |_| false);
        assert_eq!(
            (used, step),
            (
                long.len(),
                FrameProgress::Discarded(long[4..4 + KEPT].to_vec())
            )
        );
        assert_eq!(
            all(&mut reader, &[0, 0, 0, 1, 9]),
            [FrameProgress::Complete(vec![9])],
            "the next one is read"
        );
    }
}

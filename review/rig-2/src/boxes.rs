//! Tally boxes that speak HTTP/1.1: a thread a connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request as a box has received it.
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// What a box does with a request whose last byte has come: it writes the whole answer to the stream. False ends the
/// connection.
pub type Work = Arc<dyn Fn(&Received, &mut TcpStream) -> bool + Send + Sync>;

/// Told of every part of a request that has come: the target, and the bytes of the body so far.
pub type Progress = Arc<dyn Fn(&str, usize) + Send + Sync>;

/// A tally box. While it hangs it reads nothing, as a process that is held up; its connections stay open.
#[derive(Clone)]
pub struct TallyBox {
    pub name: String,
    pub address: SocketAddr,
    pub hangs: Arc<AtomicBool>,
    pub progress: Progress,
    work: Work,
}

impl TallyBox {
    pub fn start(name: &str, work: Work, progress: Progress) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a box listens");
        let tally_box = TallyBox {
            name: name.to_owned(),
            address: listener.local_addr().expect("its address"),
            hangs: Arc::default(),
            progress,
            work,
        };
        let served = tally_box.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || {
                    let _ = served.serve(stream);
                });
            }
        });
        tally_box
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(Duration::from_millis(50)))?;
        let mut unread = Vec::new();
        while let Some(request) = self.read_request(&mut stream, &mut unread)? {
            while self.hangs.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(10));
            }
            if !(self.work)(&request, &mut stream) {
                break;
            }
        }
        Ok(())
    }

    /// Reads more bytes. False at the end of the connection.
    fn read_more(&self, stream: &mut TcpStream, unread: &mut Vec<u8>) -> std::io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        loop {
            if self.hangs.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(10));
                continue;
            }
            match stream.read(&mut chunk) {
                Ok(0) => return Ok(false),
                Ok(count) => {
                    unread.extend_from_slice(&chunk[..count]);
                    return Ok(true);
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn read_request(
        &self,
        stream: &mut TcpStream,
        unread: &mut Vec<u8>,
    ) -> std::io::Result<Option<Received>> {
        let end = loop {
            if let Some(at) = unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if !self.read_more(stream, unread)? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&unread[..end]).into_owned();
        unread.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut words = lines.next().unwrap_or_default().split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect();
        let mut request = Received {
            method,
            target,
            headers,
            body: Vec::new(),
        };
        let chunked = request
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if chunked {
            return self.read_chunks(stream, unread, request);
        }
        let length: usize = request
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        while unread.len() < length {
            (self.progress)(&request.target, unread.len());
            if !self.read_more(stream, unread)? {
                return Ok(None);
            }
        }
        request.body = unread.drain(..length).collect();
        (self.progress)(&request.target, length);
        Ok(Some(request))
    }

    fn read_chunks(
        &self,
        stream: &mut TcpStream,
        unread: &mut Vec<u8>,
        mut request: Received,
    ) -> std::io::Result<Option<Received>> {
        loop {
            let end = loop {
                if let Some(at) = unread.windows(2).position(|window| window == b"\r\n") {
                    break at;
                }
                if !self.read_more(stream, unread)? {
                    return Ok(None);
                }
            };
            let text = String::from_utf8_lossy(&unread[..end]).into_owned();
            let size = text.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return Ok(None);
            };
            while unread.len() < end + 2 + size + 2 {
                if !self.read_more(stream, unread)? {
                    return Ok(None);
                }
            }
            request
                .body
                .extend_from_slice(&unread[end + 2..end + 2 + size]);
            unread.drain(..end + 2 + size + 2);
            (self.progress)(&request.target, request.body.len());
            if size == 0 {
                return Ok(Some(request));
            }
        }
    }
}

/// Writes a whole answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

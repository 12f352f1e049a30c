use super::LineScanner;

/// Scans a text at once, and checks that chunks of every size give the same result.
fn is_ambiguous(text: &str) -> bool {
    let whole = LineScanner::default().scan(text.as_bytes());
    for size in 1..text.len() {
        let mut scanner = LineScanner::default();
        let results = text
            .as_bytes()
            .chunks(size)
            .map(|chunk| scanner.scan(chunk));
        assert_eq!(
            results.fold(false, |a, b| a | b),
            whole,
            "{text:?} in chunks of {size} bytes"
        );
    }
    whole
}

#[test]
fn detects_two_framing_headers_in_any_order_and_case() {
    for head in [
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\nX: y\r\nCONTENT-LENGTH: 5\r\n\r\n",
        "POST /a HTTP/1.1\nContent-Length: 5\nTransfer-Encoding: chunked\n\n",
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    ] {
        assert!(is_ambiguous(head), "{head:?}");
    }
}

#[test]
fn accepts_one_framing_header_per_head() {
    for head in [
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhelloPOST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nX-Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    ] {
        assert!(!is_ambiguous(head), "{head:?}");
    }
}

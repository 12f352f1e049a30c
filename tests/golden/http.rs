//! What HTTP backends and clients get.

use super::support::{
    LONG, RawBackend, Transcript, budgeted, connect, exchange, find, request, served, serving,
};
use sillward_scenarios::peers::{entry, settings};
use std::io::Write;

#[test]
fn http_backends_get_the_same_request_bytes() {
    let backend = RawBackend::start(served);
    let entries = [entry("s-0", backend.address, "in_service")];
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &entries);
    let head = budgeted(5_000);
    let more = format!("{head}X-Again: 1\r\nX-Call-Cost: 250\r\nAccept: text/plain\r\n");
    let keyed = format!("{head}Idempotency-Key: 5c0f6e\r\nContent-Length: 5\r\n");
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n");
    let long = "x".repeat(100_000);
    let with_length = format!("{head}Content-Length: {}\r\n", long.len());
    let chunks = format!("{:x}\r\n{long}\r\n0\r\n\r\n", long.len());
    let cases = [
        ("idempotent GET", request("GET /read/1f", &head, "")),
        (
            "GET with a query and further headers",
            request("GET /read/a/1f?x=1%202", &more, ""),
        ),
        ("keyed POST", request("POST /submit/7f3a", &keyed, "sheet")),
        (
            "non-idempotent POST",
            request(
                "POST /correct/1f",
                &format!("{head}Content-Length: 5\r\n"),
                "sheet",
            ),
        ),
        (
            "non-idempotent POST without a body",
            request("POST /correct/1f", &head, ""),
        ),
        (
            "short chunked body",
            request(
                "POST /correct/1f",
                &chunked,
                "2\r\nsh\r\n3\r\neet\r\n0\r\n\r\n",
            ),
        ),
        (
            "long body of known length",
            request("POST /correct/1f", &with_length, &long),
        ),
        (
            "long chunked body",
            request("POST /correct/1f", &chunked, &chunks),
        ),
    ];
    let mut transcript = Transcript::default();
    for (title, request) in cases {
        exchange(node.address, &request);
        let mut seen = backend.next();
        // How a long body is cut into chunks is up to the sockets.
        let end = find(&seen, b"\r\n\r\n").expect("a head") + 4;
        if seen.len() > 1_000 {
            assert!(seen.iter().filter(|byte| **byte == b'x').count() >= 100_000);
            seen.truncate(end);
        }
        transcript.bytes(title, &seen);
    }
    transcript.compare("http-requests.txt");
}

/// Requests that stay open bring the node to its cap, where it asks its backends for their load.
#[test]
fn http_backends_get_the_same_health_check_bytes() {
    let backend = RawBackend::start(|path| match path {
        "/stats" => {
            b"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\nconcurrent=0,depth=0"[..].to_vec()
        }
        _ => Vec::new(),
    });
    let entries = [entry("s-0", backend.address, "in_service")];
    let pulling = settings(LONG, r#","Probes":true"#).replace("piggyback", "pull");
    let (node, _watch, _discovery) = serving(&pulling, &entries);
    let mut open = Vec::new();
    let seen = loop {
        let mut client = connect(node.address);
        let id = format!("{:08x}", open.len());
        let head = budgeted(LONG).replace("00c0ffee", &id);
        client
            .write_all(&request("POST /correct/1f", &head, ""))
            .expect("the node reads");
        open.push(client);
        let seen = backend.next();
        if seen.starts_with(b"GET ") {
            break seen;
        }
        assert!(open.len() < 64, "no health check");
    };
    let mut transcript = Transcript::default();
    transcript.bytes("health check", &seen);
    transcript.compare("http-health-check.txt");
}

#[test]
fn http_clients_get_the_same_answers_of_backends() {
    let rejected =
        |_: &str| b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
    let failed = |_: &str| b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops".to_vec();
    let busy = |_: &str| b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_vec();
    let nonsense = |_: &str| b"no HTTP at all\r\n\r\n".to_vec();
    let long = |_: &str| {
        let head = b"HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 100000\r\n\r\n";
        [&head[..], &[b'x'; 100_000]].concat()
    };
    let long_chunked = |_: &str| {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n";
        [&head[..], &[b'x'; 100_000], b"\r\n0\r\n\r\n"].concat()
    };
    let head = budgeted(LONG);
    let post = request(
        "POST /correct/1f",
        &format!("{head}Content-Length: 5\r\n"),
        "sheet",
    );
    let get = request("GET /read/1f", &head, "");
    let get_http_10 = format!("GET /read/1f HTTP/1.0\r\n{head}\r\n").into_bytes();
    type Script = fn(&str) -> Vec<u8>;
    let cases: [(&str, Script, &[u8]); 9] = [
        ("served GET", served, &get),
        ("served POST", served, &post),
        ("served HTTP/1.0 request", served, &get_http_10),
        ("long answer of known length", long, &get),
        ("long answer in chunks", long_chunked, &get),
        ("rejected by all backends", rejected, &post),
        ("backend fails", failed, &post),
        (
            "backend is busy and does not say that it rejects",
            busy,
            &post,
        ),
        ("backend answers nonsense", nonsense, &post),
    ];
    let mut transcript = Transcript::default();
    for (title, script, request) in cases {
        let backend = RawBackend::start(script);
        let entries = [entry("s-0", backend.address, "in_service")];
        let (node, _watch, _discovery) = serving(&settings(LONG, ""), &entries);
        let mut answer = exchange(node.address, request);
        let end = find(&answer, b"\r\n\r\n").expect("a head") + 4;
        if answer.len() > 1_000 {
            assert!(answer.iter().filter(|byte| **byte == b'x').count() >= 100_000);
            answer.truncate(end);
        }
        transcript.bytes(title, &answer);
    }
    transcript.compare("http-answers.txt");
}

/// Neither sends an answer that depends on whose clock is first.
#[test]
fn http_clients_get_the_same_answers_when_time_is_up() {
    let mut transcript = Transcript::default();
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[]);
    let answer = exchange(node.address, &request("GET /read/1f", &budgeted(300), ""));
    transcript.bytes("no backend within the budget", &answer);
    let slow = format!("{}Content-Length: 9\r\n", budgeted(LONG));
    let answer = exchange(node.address, &request("POST /correct/1f", &slow, "half"));
    transcript.bytes("a body that does not come", &answer);
    transcript.compare("http-timeouts.txt");
}

#[test]
fn http_clients_get_the_same_answers_to_bad_requests() {
    let backend = RawBackend::start(|_| Vec::new());
    let entries = [entry("s-0", backend.address, "in_service")];
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &entries);
    let head = budgeted(LONG);
    let without = |name: &str| {
        let lines = head.split_inclusive('\n');
        lines
            .filter(|line| !line.starts_with(name))
            .collect::<String>()
    };
    let with = |more: &str| format!("{head}{more}");
    let get = "GET /read/1f";
    let cases = [
        ("ready", "GET /health/ready", String::new()),
        ("live", "GET /health/live", head.clone()),
        ("unknown class", "GET /erase/1f", head.clone()),
        ("wrong method", "POST /read/1f", head.clone()),
        ("body of a GET", get, with("Content-Length: 5\r\n")),
        ("no key", "POST /submit/1f", head.clone()),
        ("no X-Call-Id", get, without("X-Call-Id")),
        ("no X-Budget-Ms", get, without("X-Budget-Ms")),
        ("no X-Caller", get, without("X-Caller")),
        ("header twice", get, with("X-Caller: acme\r\n")),
        (
            "body over the limit",
            "POST /correct/1f",
            with("Content-Length: 33554433\r\n"),
        ),
        (
            "unknown coding",
            "POST /correct/1f",
            with("Transfer-Encoding: gzip\r\n"),
        ),
        (
            "unknown coding before chunked",
            "POST /correct/1f",
            with("Transfer-Encoding: gzip, chunked\r\n"),
        ),
        (
            "length twice",
            "POST /correct/1f",
            with("Content-Length: 5\r\nContent-Length: 5\r\n"),
        ),
        (
            "length and coding",
            "POST /correct/1f",
            with("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
        ),
        ("malformed header", get, with("no colon\r\n")),
    ];
    let mut transcript = Transcript::default();
    for (title, start, headers) in cases {
        let answer = exchange(node.address, &request(start, &headers, ""));
        transcript.bytes(title, &answer);
    }
    transcript.bytes(
        "nonsense",
        &exchange(node.address, b"\x16\x03\x01 nonsense\r\n\r\n"),
    );
    let broken = request(
        "POST /correct/1f",
        &with("Transfer-Encoding: chunked\r\n"),
        "zz\r\n",
    );
    transcript.bytes("broken chunk", &exchange(node.address, &broken));
    // The first one stays open while the second comes.
    let mut first = connect(node.address);
    first
        .write_all(&request("POST /correct/1f", &head, ""))
        .expect("the node reads");
    backend.next();
    let second = exchange(node.address, &request("POST /correct/1f", &head, ""));
    transcript.bytes("X-Call-Id of an open request", &second);
    transcript.compare("http-bad-requests.txt");
}

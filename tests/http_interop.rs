//! HTTP libraries that nobody here wrote, with the node between them: `ureq` as a client, `tiny_http` as a backend.
//! The peers of all other tests write what their authors believe HTTP to be.

use sillward_scenarios::peers::{self, Discovery, Node, Watch, config, entry, settings};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server, StatusCode};
use ureq::Agent;
use ureq::http::{self, Uri};

/// A request as the backend's library read it.
struct Seen {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Seen {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Starts a backend. What the path's last part asks for it does; it reports its load with each answer.
fn backend() -> (SocketAddr, Receiver<Seen>) {
    let server = Server::http("127.0.0.1:0").expect("a port");
    let address = server.server_addr().to_ip().expect("its address");
    let (saw, seen) = channel();
    spawn(move || {
        server
            .incoming_requests()
            .for_each(|request| answer(request, &saw))
    });
    (address, seen)
}

fn answer(mut request: Request, saw: &Sender<Seen>) {
    let mut body = Vec::new();
    request
        .as_reader()
        .read_to_end(&mut body)
        .expect("a whole body");
    let headers = request.headers().iter();
    let headers = headers
        .map(|h| (h.field.to_string(), h.value.as_str().to_owned()))
        .collect();
    let (method, target) = (request.method().to_string(), request.url().to_owned());
    let order = target.rsplit('/').next().unwrap_or_default().to_owned();
    let echoed = body.clone();
    let _ = saw.send(Seen {
        method,
        target,
        headers,
        body,
    });
    let load: Header = "X-Load: inflight=0,queue=0".parse().expect("a header");
    let sized = |bytes: Vec<u8>| Response::from_data(bytes).with_header(load.clone());
    let done = match order.as_str() {
        // Without a length known beforehand the library answers in chunks.
        "chunked" => {
            let length = None;
            let text = std::io::Cursor::new(b"in chunks of its own".to_vec());
            let headers = vec![load.clone()];
            request.respond(Response::new(StatusCode(200), headers, text, length, None))
        }
        "empty" => request.respond(sized(Vec::new())),
        "oops" => request.respond(sized(b"no such station".to_vec()).with_status_code(404)),
        "away" => {
            let rejected: Header = "X-Rejected: 1".parse().expect("a header");
            request.respond(
                sized(Vec::new())
                    .with_status_code(503)
                    .with_header(rejected),
            )
        }
        "slow" => {
            spawn(move || {
                std::thread::sleep(Duration::from_secs(2));
                let _ = request.respond(Response::empty(200));
            });
            Ok(())
        }
        _ => request.respond(sized(echoed)),
    };
    done.expect("the node takes the answer");
}

fn node() -> (Node, Watch, Discovery, Receiver<Seen>) {
    let (address, seen) = backend();
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(20_000, ""), 1024);
    let node = Node::start(&config, "");
    let mut watch = discovery.call();
    watch.open();
    watch.line(&peers::list(
        8,
        true,
        &[entry("tiny", address, "in_service")],
    ));
    peers::until(|| node.is_ready(), "readiness");
    (node, watch, discovery, seen)
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(peers::PATIENCE))
        .build()
        .new_agent()
}

struct Call<'a> {
    agent: &'a Agent,
    node: &'a Node,
    number: u32,
}

impl Call<'_> {
    fn head(&mut self, method: &str, path: &str, budget_ms: u64) -> http::request::Builder {
        self.number += 1;
        let uri: Uri = format!("http://{}{path}", self.node.address)
            .parse()
            .expect("a target");
        http::Request::builder()
            .method(method)
            .uri(uri)
            .header("X-Call-Id", format!("ureq-{}", self.number))
            .header("X-Caller", "acme")
            .header("X-Budget-Ms", budget_ms)
    }

    fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        more: &[(&str, &str)],
    ) -> (u16, http::HeaderMap, Vec<u8>) {
        let head = self.head(method, path, 20_000);
        let head = more
            .iter()
            .fold(head, |head, (name, value)| head.header(*name, *value));
        let answer = match method {
            "GET" => self.agent.run(head.body(()).expect("a request")),
            _ => self.agent.run(head.body(body).expect("a request")),
        };
        let mut answer = answer.expect("an answer");
        let body = answer.body_mut().read_to_vec().expect("a whole body");
        (answer.status().as_u16(), answer.headers().clone(), body)
    }
}

#[test]
fn a_client_and_a_server_of_independent_libraries_meet_through_the_node() {
    let (node, _watch, _discovery, seen) = node();
    let agent = agent();
    let mut call = Call {
        agent: &agent,
        node: &node,
        number: 0,
    };
    for size in [0, 1, 4_095, 8_192, 65_536] {
        let sheet = vec![b'0' + (size % 10) as u8; size];
        let (status, _, body) = call.send(
            "POST",
            "/correct/1f",
            &sheet,
            &[("Content-Type", "text/plain")],
        );
        assert_eq!((status, body.len()), (200, size), "a sheet of {size} bytes");
        assert_eq!(body, sheet);
        let seen = seen.recv_timeout(peers::PATIENCE).expect("a request");
        assert_eq!(
            (seen.method.as_str(), seen.target.as_str()),
            ("POST", "/correct/1f")
        );
        assert_eq!(seen.body, sheet);
        assert_eq!(
            seen.header("X-Call-Id"),
            Some(&*format!("ureq-{}", call.number))
        );
        let left: u64 = seen
            .header("X-Budget-Ms")
            .and_then(|ms| ms.parse().ok())
            .expect("what is left of it");
        assert!((1..=20_000).contains(&left), "{left}");
    }
    // A body in chunks reaches the client whole, and so does none at all.
    let (status, _, body) = call.send("GET", "/read/chunked", b"", &[]);
    assert_eq!((status, &body[..]), (200, &b"in chunks of its own"[..]));
    let (status, _, body) = call.send("GET", "/read/empty", b"", &[]);
    assert_eq!((status, body.len()), (200, 0));
    // Targets and keys that a library escapes come as they were sent.
    let (status, ..) = call.send(
        "POST",
        "/submit/a%2Fb%20c?x=%C3%A9",
        b"s",
        &[("Idempotency-Key", "k-1 with a space")],
    );
    assert_eq!(status, 200);
    let seen: Vec<Seen> = seen.try_iter().collect();
    let submitted = seen.last().expect("the last");
    assert_eq!(submitted.target, "/submit/a%2Fb%20c?x=%C3%A9");
    assert_eq!(
        submitted.header("Idempotency-Key"),
        Some("k-1 with a space")
    );
    assert_eq!(seen.len(), 3, "each came once");
}

#[test]
fn an_independent_client_understands_every_way_of_not_being_served() {
    let (node, _watch, _discovery, seen) = node();
    let agent = agent();
    let mut call = Call {
        agent: &agent,
        node: &node,
        number: 0,
    };
    // Turned away by the backend: refused, with the time to come back, before the deadline.
    let (status, headers, _) = call.send("POST", "/correct/away", b"sheet", &[]);
    assert_eq!(status, 503);
    let after = headers
        .get("retry-after")
        .and_then(|value| value.to_str().ok());
    // The platform's protocol has decimals, where RFC 9110 (section 10.2.3) has whole seconds only.
    assert_eq!(after, Some("1.500"), "{headers:?}");
    // Any other answer than 200 promises nothing.
    let (status, ..) = call.send("POST", "/correct/oops", b"sheet", &[]);
    assert_eq!(status, 502);
    // Too late.
    let head = call.head("POST", "/correct/slow", 300);
    let late = agent
        .run(head.body(&b"sheet"[..]).expect("a request"))
        .expect("an answer");
    assert!([502, 504].contains(&late.status().as_u16()), "{late:?}");
    // What is no request of this service never gets there, and the client reads why before the connection ends.
    let before = seen.try_iter().count();
    assert!(before >= 3);
    let (status, ..) = call.send("POST", "/erase/1f", b"sheet", &[]);
    assert!((400..500).contains(&status), "{status}");
    assert_eq!(seen.try_iter().count(), 0);
    // And the next call of the same client is served.
    let (status, _, body) = call.send("POST", "/correct/1f", b"and on", &[]);
    assert_eq!((status, &body[..]), (200, &b"and on"[..]));
}

//! Tests of the request path of one entry host with a stand-in runner, over real sockets.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use hyper::Method;
use jujubewinch::agent::{Agent, AgentOptions};
use jujubewinch::entry_host::EntryHost;
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::http::{Client, ClientOptions};
use jujubewinch::options::Settings;
use jujubewinch::protocol::headers;
use jujubewinch::protocol::worker::RunnerCapacity;
use jujubewinch::resources::Resources;

const SETTINGS: &str = include_str!("settings/valid/single.toml");
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Cell {
    host: EntryHost,
    runner: Agent,
    client: Client,
}

impl Cell {
    fn start() -> Self {
        let settings = Settings::parse(SETTINGS, "single.toml").expect("the sample is valid");
        let host = EntryHost::start(settings).expect("free ports are available");
        let runner = Agent::start(AgentOptions {
            worker: "worker-1".to_owned(),
            data_centre: "erdenet".to_owned(),
            rack: "rack-1".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entry_hosts: vec![host.caller_address()],
            resources: Resources::ZERO,
            runner: Some(RunnerCapacity {
                service: "quotes".to_owned(),
                slots: 2,
                connections: 64,
            }),
        })
        .expect("a free port is available");
        Self {
            host,
            runner,
            client: Client::new(ClientOptions::default()),
        }
    }

    /// Returns the number of queued requests, as reported by the administration interface.
    fn queued(&self) -> u64 {
        let url = format!("http://{}/v1/queue", self.host.admin_address());
        let request = ClientRequest::new(Method::GET, url, Instant::now() + WAIT_TIMEOUT);
        let response = self.client.send(request).expect("the entry host answers");
        let queues: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
        let text = queues.to_string();
        let position = text
            .find("\"queued_requests\":")
            .expect("the queue is reported");
        let digits = text[position + 18..]
            .chars()
            .take_while(char::is_ascii_digit);
        digits.collect::<String>().parse().unwrap()
    }

    fn submit_job(&self, id: &str) -> ClientResponse {
        let url = format!("http://{}/v1/jobs", self.host.caller_address());
        let mut request = ClientRequest::new(Method::POST, url, Instant::now() + WAIT_TIMEOUT)
            .header("content-type", "application/json");
        let resources = r#"{"cpu_millis":1,"memory_mib":1}"#;
        let job = format!(r#"{{"id":"{id}","kind":"batch","tasks":1,"resources":{resources}}}"#);
        request.body = job.into_bytes();
        self.client.send(request).expect("the entry host answers")
    }

    fn post(&self, payload: &str, fields: &[(&str, &str)]) -> ClientResponse {
        let url = format!("http://{}/v1/requests", self.host.caller_address());
        let mut request = ClientRequest::new(Method::POST, url, Instant::now() + WAIT_TIMEOUT)
            .header(headers::SERVICE, "quotes");
        if !fields.iter().any(|(name, _)| *name == headers::TIMEOUT_MS) {
            request = request.header(headers::TIMEOUT_MS, "20000");
        }
        for (name, value) in fields {
            request = request.header(name, *value);
        }
        request.body = payload.as_bytes().to_vec();
        self.client.send(request).expect("the entry host answers")
    }
}

fn fresh_key(text: &str) -> String {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap();
    format!("erdenet.{}.{text}", now.as_secs())
}

/// Guards against answers that are lost, corrupted or without a verdict.
#[test]
fn an_idempotent_request_returns_its_answer() {
    let cell = Cell::start();
    let response = cell.post("three wheels", &[(headers::IDEMPOTENT, "true")]);
    assert_eq!(response.status, 200);
    assert_eq!(response.body, b"three wheels");
    assert_eq!(response.header(headers::VERDICT), Some("ran"));
}

/// Guards against a second execution when a caller retries a request with the same key.
#[test]
fn a_repeated_key_runs_once_and_returns_the_first_answer() {
    let cell = Cell::start();
    let key = fresh_key("confirmation");
    let first = cell.post("confirm cart 7", &[(headers::IDEMPOTENCY_KEY, &key)]);
    let second = cell.post("confirm cart 7", &[(headers::IDEMPOTENCY_KEY, &key)]);
    assert_eq!(first.status, 200);
    assert_eq!((second.status, second.body), (first.status, first.body));
    assert_eq!(cell.runner.tasks().started(), 1);
}

/// Guards against accepting one key for two different requests.
#[test]
fn a_key_with_another_payload_is_refused() {
    let cell = Cell::start();
    let key = fresh_key("conflict");
    cell.post("confirm cart 7", &[(headers::IDEMPOTENCY_KEY, &key)]);
    let second = cell.post("confirm cart 8", &[(headers::IDEMPOTENCY_KEY, &key)]);
    assert_eq!(second.status, 422);
    assert_eq!(second.header(headers::VERDICT), Some("did_not_run"));
    assert_eq!(cell.runner.tasks().started(), 1);
}

/// Guards against accepting keys without a readable age, or so old that the record of an earlier
/// execution may have been dropped.
#[test]
fn keys_are_refused_by_form_and_age() {
    let cell = Cell::start();
    let cases = [
        ("free text", 400, "did_not_run"),
        ("nowhere.1764820000.x", 400, "did_not_run"),
        ("erdenet.1000.x", 410, "may_have_run"),
        ("erdenet.99999999999.x", 400, "did_not_run"),
    ];
    for (key, status, verdict) in cases {
        let response = cell.post("confirm", &[(headers::IDEMPOTENCY_KEY, key)]);
        assert_eq!(response.status, status, "{key}");
        assert_eq!(response.header(headers::VERDICT), Some(verdict), "{key}");
    }
    assert_eq!(cell.runner.tasks().started(), 0);
}

/// Guards against a request that is aborted with its caller's connection. A retry has to receive
/// the recorded answer.
#[test]
fn a_request_outlives_its_callers_connection() {
    let cell = Cell::start();
    let key = fresh_key("gone");
    let payload = r#"{"work_ms":300,"echo":"confirmed"}"#;
    let mut stream = TcpStream::connect(cell.host.caller_address()).unwrap();
    write!(
        stream,
        "POST /v1/requests HTTP/1.1\r\nhost: entry\r\njujubewinch-service: quotes\r\n\
         idempotency-key: {key}\r\ncontent-length: {}\r\n\r\n{payload}",
        payload.len()
    )
    .unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while cell.runner.tasks().started() == 0 {
        assert!(Instant::now() < deadline, "the request was not started");
        thread::sleep(Duration::from_millis(5));
    }
    drop(stream);
    let retry = cell.post(payload, &[(headers::IDEMPOTENCY_KEY, &key)]);
    assert_eq!((retry.status, retry.body), (200, b"confirmed".to_vec()));
    assert_eq!(cell.runner.tasks().started(), 1);
}

/// Guards against sending new requests to a runner whose worker an operator has drained.
#[test]
fn a_drained_worker_gets_no_new_work() {
    let cell = Cell::start();
    let idempotent = (headers::IDEMPOTENT, "true");
    assert_eq!(cell.post("before", &[idempotent]).status, 200);
    let admin = |method: Method, path: &str| {
        let url = format!(
            "http://{}/v1/drains/worker:worker-1{path}",
            cell.host.admin_address()
        );
        let mut request = ClientRequest::new(method, url, Instant::now() + WAIT_TIMEOUT);
        request.body = br#"{"reason": "new memory"}"#.to_vec();
        let response = cell.client.send(request).expect("the host answers");
        assert_eq!(response.status, 200);
    };
    admin(Method::PUT, "");
    // Without the drain the runner would answer at once.
    let response = cell.post("during", &[idempotent, (headers::TIMEOUT_MS, "1500")]);
    assert_eq!(response.status, 504);
    assert_eq!(response.header(headers::VERDICT), Some("did_not_run"));
    assert_eq!(cell.runner.tasks().started(), 1);
    admin(Method::POST, "/undrain");
    assert_eq!(cell.post("after", &[idempotent]).status, 200);
}

/// Guards against operators' defaults and exceptions that are accepted but change nothing.
#[test]
fn a_default_and_an_exception_change_what_is_admitted() {
    let cell = Cell::start();
    let admin = |method: Method, path: &str, body: serde_json::Value| {
        let url = format!("http://{}{path}", cell.host.admin_address());
        let mut request = ClientRequest::new(method, url, Instant::now() + WAIT_TIMEOUT);
        request.body = body.to_string().into_bytes();
        let response = cell.client.send(request).expect("the host answers");
        assert_eq!(
            response.status,
            200,
            "{}",
            String::from_utf8_lossy(&response.body)
        );
    };
    let figure = "request.max_queued_per_member";
    let value = serde_json::json!({ "value": 1, "reason": "small cell" });
    admin(Method::PUT, &format!("/v1/defaults/{figure}"), value);
    let exception = serde_json::json!({
        "figure": figure, "scope": "member:rim-works", "value": 5, "reason": "seasonal orders",
    });
    admin(Method::POST, "/v1/exceptions", exception);
    thread::scope(|scope| {
        // Two requests occupy the slots, and one waits.
        for (index, started) in [(0, 1), (1, 2), (2, 2)] {
            let cell = &cell;
            scope.spawn(move || {
                let fields = [
                    (headers::IDEMPOTENT, "true"),
                    (headers::MEMBER, "orkhon-cycles"),
                ];
                let payload = format!(r#"{{"work_ms":3000,"echo":"{index}"}}"#);
                assert_eq!(cell.post(&payload, &fields).status, 200);
            });
            let deadline = Instant::now() + WAIT_TIMEOUT;
            while cell.runner.tasks().started() < started || cell.queued() < index / 2 {
                assert!(Instant::now() < deadline, "request {index} was not taken");
                thread::sleep(Duration::from_millis(5));
            }
        }
        let refused = [
            (headers::IDEMPOTENT, "true"),
            (headers::MEMBER, "orkhon-cycles"),
        ];
        let response = cell.post("one too many", &refused);
        assert_eq!(response.status, 429);
        assert_eq!(response.header(headers::VERDICT), Some("did_not_run"));
        let excepted = [
            (headers::IDEMPOTENT, "true"),
            (headers::MEMBER, "rim-works"),
        ];
        assert_eq!(cell.post("excepted", &excepted).status, 200);
    });
}

/// Guards against an unreadable key that counts as absent, so that a retry runs a second time.
#[test]
fn unreadable_headers_are_refused() {
    let cell = Cell::start();
    for name in [
        "idempotency-key",
        "jujubewinch-member",
        "jujubewinch-caller",
    ] {
        let mut stream = TcpStream::connect(cell.host.caller_address()).unwrap();
        let head = format!(
            "POST /v1/requests HTTP/1.1\r\nhost: entry\r\njujubewinch-service: quotes\r\n\
             jujubewinch-idempotent: true\r\nconnection: close\r\ncontent-length: 0\r\n{name}: "
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(b"\xff\xfe\r\n\r\n").unwrap();
        let mut reply = String::new();
        std::io::Read::read_to_string(&mut stream, &mut reply).unwrap();
        assert!(reply.starts_with("HTTP/1.1 400"), "{name}: {reply}");
        assert!(reply.contains("did_not_run"), "{name}: {reply}");
    }
    assert_eq!(cell.runner.tasks().started(), 0);
}

/// Guards against a second run of a request or a job whose record was lost when a host without a disk
/// started again: a copy of its submission reaches the next process.
#[test]
fn submissions_to_a_former_process_without_a_disk_are_refused() {
    let former = Cell::start();
    let key = fresh_key("confirmation");
    let ran = former.post("confirm cart 7", &[(headers::IDEMPOTENCY_KEY, &key)]);
    assert_eq!(ran.status, 200);
    drop(former);
    // Keys have the resolution of a second.
    while fresh_key("confirmation") == key {
        thread::sleep(Duration::from_millis(10));
    }
    let next = Cell::start();
    let copy = next.post("confirm cart 7", &[(headers::IDEMPOTENCY_KEY, &key)]);
    for response in [copy, next.submit_job(&key)] {
        assert_eq!(response.status, 410);
        assert_eq!(response.header(headers::VERDICT), Some("may_have_run"));
    }
    assert_eq!(next.runner.tasks().started(), 0);
    assert_ne!(next.submit_job(&fresh_key("wheels")).status, 410);
}

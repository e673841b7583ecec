//! Tests keys and configurations of customers over sockets, against a cell of three storage hosts and
//! one entry host.

mod platform_support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use http::Method;
use jujubewinch::workflow::customers::MAX_KEY_BYTES;
use platform_support::{Cell, Ports, Runner, WAIT_TIMEOUT, await_some, configuration};
use serde_json::{Value, json};

/// A connection of a caller to the entry host, which stays open between requests.
struct OpenConnection {
    stream: BufReader<TcpStream>,
}

impl OpenConnection {
    fn open(cell: &Cell) -> Self {
        let entry = *cell.size.entries().start();
        let address = format!("127.0.0.{entry}:{}", cell.ports.callers);
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self {
            stream: BufReader::new(stream),
        }
    }

    /// Sends a request and returns the status of the answer. Panics if the host closes the connection.
    fn send(&mut self, method: &str, path: &str, key: Option<&str>, body: &str) -> u16 {
        let key = key.map(|key| format!("authorization: Token {key}\r\n"));
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: shop.example\r\n{}content-length: {}\r\n\r\n{body}",
            key.unwrap_or_default(),
            body.len()
        );
        let stream = self.stream.get_mut();
        stream.write_all(request.as_bytes()).unwrap();
        let mut status = 0;
        let mut length = 0;
        loop {
            let mut line = String::new();
            let read = self.stream.read_line(&mut line).unwrap();
            assert!(read > 0, "the connection was closed");
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(rest) = line.strip_prefix("http/1.1 ") {
                status = rest[..3].parse().unwrap();
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
        }
        let mut answer = vec![0; length];
        self.stream.read_exact(&mut answer).unwrap();
        status
    }

    /// Submits a job, again while the cell is not ready, and returns the status.
    fn submit(&mut self, prefix: &str, job: &str, key: Option<&str>) -> u16 {
        let path = format!("{prefix}{job}");
        await_some(|| {
            let status = self.send("POST", &path, key, &job_body());
            (status != 503).then_some(status)
        })
    }
}

fn job_body() -> String {
    json!({"task_spec": "plan", "steps": [{"count": 1, "cpu": 500, "mem_mb": 10,
        "estimate_ms": 150}]})
    .to_string()
}

fn tenant(name: &str, keys: &[&str], weight: f64) -> Value {
    json!({"name": name, "api_keys": keys, "weight": weight, "priority": 1,
        "cap": {"cpu": 2000, "mem_mb": 0, "gpu": 0}})
}

/// A configuration with a queue that requires keys, a public one, and customers.
fn with_customers(version: u64, customers: &[Value]) -> Value {
    let mut document = configuration(version);
    let mut public = document["routes"][0].clone();
    public["name"] = json!("open");
    public["path_prefix"] = json!("/open/");
    public["public"] = json!(true);
    document["routes"].as_array_mut().unwrap().push(public);
    document["tenants"] = json!(customers);
    document
}

fn configure(cell: &Cell, document: &Value) -> u16 {
    cell.control(&Method::PUT, "/api/config", document).status
}

/// Guards against a revoked key that works until its connection is closed, against a new key that an
/// entry host does not know yet, against an older version that returns a revoked key, and against
/// public queues that require a key.
#[test]
fn a_revoked_key_is_refused_on_an_open_connection() {
    let folder = tempfile::tempdir().unwrap();
    let cell = Cell::start(folder.path(), Ports::starting_at(17_450));
    // The longest key, which fills a header section of the published size nearly.
    let kept = "k".repeat(MAX_KEY_BYTES);
    let both = [tenant("acme", &["old", &kept], 1.0)];
    assert_eq!(configure(&cell, &with_customers(2, &both)), 200);
    let runner = Runner::start();
    cell.announce("i-1", &runner, runner.next_heartbeat());
    let mut connection = OpenConnection::open(&cell);
    let job = "00c0ffee00000001";
    assert_eq!(connection.submit("/plans/", job, Some("old")), 200);
    let path = format!("/plans/{job}");
    assert_eq!(connection.send("GET", &path, Some("old"), ""), 200);

    let changed = [tenant("acme", &[&kept, "new"], 1.0)];
    assert_eq!(configure(&cell, &with_customers(3, &changed)), 200);
    for method in ["GET", "DELETE"] {
        assert_eq!(connection.send(method, &path, Some("old"), ""), 401);
    }
    let refused = "00c0ffee00000002";
    for key in [Some("old"), Some("never-configured"), None] {
        assert_eq!(connection.submit("/plans/", refused, key), 401, "{key:?}");
    }
    for key in ["new", &kept] {
        assert_eq!(connection.send("GET", &path, Some(key), ""), 200);
    }
    let accepted = "00c0ffee00000003";
    assert_eq!(connection.submit("/plans/", accepted, Some("new")), 200);
    let public = "00c0ffee00000004";
    assert_eq!(connection.submit("/open/", public, None), 200);
    let without_key = format!("/open/{public}");
    assert_eq!(connection.send("GET", &without_key, None, ""), 200);

    assert_eq!(
        configure(&cell, &with_customers(2, &both)),
        200,
        "an older version is acknowledged without effect"
    );
    assert_eq!(connection.submit("/plans/", refused, Some("old")), 401);
    let completed = |job: &str| {
        runner
            .starts()
            .iter()
            .any(|(task, _)| task.starts_with(job))
    };
    cell.await_with_heartbeats("i-1", &runner, || {
        (completed(accepted) && completed(public)).then_some(())
    });
    assert!(!completed(refused), "a refused job has run");
}

/// Guards against a call of another customer that reads or cancels a job.
#[test]
fn a_job_is_served_to_its_customer_only() {
    let folder = tempfile::tempdir().unwrap();
    let cell = Cell::start(folder.path(), Ports::starting_at(17_460));
    let customers = [tenant("acme", &["a"], 1.0), tenant("other", &["b"], 2.0)];
    assert_eq!(configure(&cell, &with_customers(2, &customers)), 200);
    let mut connection = OpenConnection::open(&cell);
    let job = "00c0ffee00000001";
    assert_eq!(connection.submit("/plans/", job, Some("a")), 200);
    let path = format!("/plans/{job}");
    for method in ["GET", "DELETE"] {
        assert_eq!(connection.send(method, &path, Some("b"), ""), 403);
    }
    let through_public = format!("/open/{job}");
    assert_eq!(connection.send("DELETE", &through_public, None, ""), 403);
    assert_eq!(connection.send("GET", &path, Some("a"), ""), 200);
    assert_eq!(connection.send("DELETE", &path, Some("a"), ""), 200);
}

/// Guards against an invalid configuration of which a part is in force: its keys, its queues or its
/// version.
#[test]
fn nothing_of_an_invalid_configuration_is_in_force() {
    let folder = tempfile::tempdir().unwrap();
    let cell = Cell::start(folder.path(), Ports::starting_at(17_470));
    let valid = with_customers(2, &[tenant("acme", &["old"], 1.0)]);
    assert_eq!(configure(&cell, &valid), 200);
    let mut unreadable = tenant("other", &["new"], 1.0);
    unreadable["cap"]["cpu"] = json!("2000");
    let invalid = [
        vec![
            tenant("acme", &["new"], 1.0),
            tenant("other", &["new"], 1.0),
        ],
        vec![tenant("acme", &["new"], 0.0)],
        vec![tenant("acme", &["new"], -1.0)],
        vec![tenant("acme", &["new", "line\nbreak"], 1.0)],
        vec![tenant("acme", &["new", ""], 1.0)],
        vec![tenant("acme", &["new"], 1.0), unreadable],
    ];
    let mut connection = OpenConnection::open(&cell);
    for (number, customers) in invalid.iter().enumerate() {
        let document = with_customers(10, customers);
        assert_eq!(configure(&cell, &document), 400, "{customers:?}");
        let job = format!("00c0ffee0000000{number}");
        assert_eq!(connection.submit("/plans/", &job, Some("new")), 401);
        assert_eq!(connection.submit("/plans/", &job, Some("old")), 200);
        let read = cell.control(&Method::GET, "/api/config", &Value::Null);
        let read: Value = serde_json::from_slice(&read.body).unwrap();
        assert_eq!(read, valid);
    }
    let next = with_customers(3, &[tenant("acme", &["new"], 1.0)]);
    assert_eq!(configure(&cell, &next), 200, "a valid version below 10");
    assert_eq!(
        connection.submit("/plans/", "00c0ffee000000ff", Some("new")),
        200
    );
}

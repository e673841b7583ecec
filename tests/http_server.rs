//! Tests of the HTTP server against slow, faulty and malicious clients.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::http::{Request, Response, Server, ServerOptions};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn options() -> ServerOptions {
    ServerOptions {
        max_connections: 8,
        receive_timeout: Duration::from_millis(300),
        send_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_millis(600),
        max_body_bytes: 1000,
        max_header_bytes: 8 * 1024,
    }
}

fn start(options: ServerOptions) -> (Server, Arc<AtomicUsize>) {
    let handled = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&handled);
    let handler = Arc::new(move |request: Request| {
        count.fetch_add(1, Ordering::AcqRel);
        Response::bytes(200, request.body)
    });
    (Server::start(ANY_PORT, options, handler).unwrap(), handled)
}

fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.local_address()).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Sends the bytes and returns everything received until the server closes the connection.
fn exchange(server: &Server, bytes: &[u8]) -> String {
    let mut stream = connect(server);
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    String::from_utf8_lossy(&reply).into_owned()
}

/// Guards against malformed requests that crash the server, reach the handler or block later
/// requests.
#[test]
fn malformed_requests_get_a_clear_status() {
    let (server, handled) = start(options());
    let long_header = format!(
        "GET / HTTP/1.1\r\nhost: x\r\na: {}\r\n\r\n",
        "b".repeat(100_000)
    );
    let large = format!(
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n{}",
        "b".repeat(1001)
    );
    let chunked = format!(
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n0\r\n\r\n",
        "b".repeat(1001)
    );
    let cases: [(&str, &[u8], &str); 9] = [
        ("no request", b"", ""),
        ("noise", b"\x00\xff\xfe\r\n\r\n", "HTTP/1.1 400"),
        ("no version", b"GET /\r\n\r\n", "HTTP/1.1 400"),
        ("long header", long_header.as_bytes(), "HTTP/1.1 431"),
        ("large body", large.as_bytes(), "HTTP/1.1 413"),
        ("large chunked body", chunked.as_bytes(), "HTTP/1.1 413"),
        (
            "huge length",
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999\r\n\r\n",
            "HTTP/1.1 400",
        ),
        (
            "negative length",
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
            "HTTP/1.1 400",
        ),
        (
            "cut body",
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc",
            "HTTP/1.1 400",
        ),
    ];
    for (name, bytes, expected) in cases {
        let reply = exchange(&server, bytes);
        assert!(reply.starts_with(expected), "{name}: {reply:?}");
    }
    assert_eq!(handled.load(Ordering::Acquire), 0);
    let reply = exchange(
        &server,
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc",
    );
    assert!(
        reply.starts_with("HTTP/1.1 200") && reply.ends_with("abc"),
        "{reply:?}"
    );
}

/// Guards against connections that occupy a thread for ever by sending nothing or an incomplete
/// request.
#[test]
fn slow_and_idle_connections_are_closed() {
    let cases: [(&str, &[u8]); 4] = [
        ("idle", b""),
        ("slow header", b"GET / HT"),
        (
            "slow body",
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc",
        ),
        ("idle after a request", b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"),
    ];
    let (server, _) = start(options());
    for (name, bytes) in cases {
        let mut stream = connect(&server);
        stream.write_all(bytes).unwrap();
        let mut reply = Vec::new();
        // Returns only when the server has closed the connection.
        let closed = stream.read_to_end(&mut reply);
        assert!(
            !matches!(&closed, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock),
            "{name}"
        );
    }
}

/// Guards against connections above the limit that crash the server, are left without a response,
/// or receive no verdict.
#[test]
fn connections_above_the_limit_are_refused_with_a_verdict() {
    let (server, handled) = start(ServerOptions {
        idle_timeout: WAIT_TIMEOUT,
        ..options()
    });
    let held: Vec<TcpStream> = (0..8).map(|_| connect(&server)).collect();
    while server.open_connections() < 8 {
        thread::yield_now();
    }
    let mut extra = connect(&server);
    let mut reply = String::new();
    extra.read_to_string(&mut reply).unwrap();
    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
    assert!(
        reply.contains("jujubewinch-verdict: did_not_run"),
        "{reply}"
    );
    drop(held);
    while server.open_connections() > 0 {
        thread::yield_now();
    }
    let reply = exchange(&server, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert_eq!(handled.load(Ordering::Acquire), 1);
}

/// Guards against connections that send nothing, or only a part of a header section, and keep all
/// others out of the listener until their timeout.
#[test]
fn overdue_connections_make_room_at_the_limit() {
    let timeout = Duration::from_secs(3600);
    for bytes in [b"GET / HT".as_slice(), b""] {
        let (server, _) = start(ServerOptions {
            receive_timeout: timeout,
            idle_timeout: timeout,
            ..options()
        });
        let mut held: Vec<TcpStream> = (0..8).map(|_| connect(&server)).collect();
        for stream in &mut held {
            stream.write_all(bytes).unwrap();
        }
        while server.open_connections() < 8 {
            thread::yield_now();
        }
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let reply = exchange(&server, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
            if reply.starts_with("HTTP/1.1 200") {
                break;
            }
            assert!(Instant::now() < until, "{bytes:?}: {reply}");
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Guards against a shutdown that cuts off a request in flight.
#[test]
fn shutdown_waits_for_the_request_in_flight() {
    let (started, has_started) = mpsc::channel();
    let (finish, may_finish) = mpsc::channel::<()>();
    let may_finish = std::sync::Mutex::new(may_finish);
    let handler = Arc::new(move |_request: Request| {
        started.send(()).unwrap();
        may_finish.lock().unwrap().recv().unwrap();
        Response::text(200, "whole")
    });
    let server = Arc::new(Server::start(ANY_PORT, options(), handler).unwrap());
    let mut stream = connect(&server);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    has_started.recv().unwrap();
    assert!(
        !server.shutdown(Instant::now()),
        "the request is still in flight"
    );
    let address = server.local_address();
    let stopping = thread::spawn(move || server.shutdown(Instant::now() + WAIT_TIMEOUT));
    finish.send(()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    assert!(reply.ends_with("whole"), "{reply}");
    assert!(stopping.join().unwrap());
    assert!(TcpStream::connect(address).is_err());
}

/// Guards against closing the connection of a handler that runs longer than the receive and idle
/// timeouts.
#[test]
fn a_slow_handler_is_not_cut_off() {
    let handler = Arc::new(|_request: Request| {
        thread::sleep(Duration::from_millis(900));
        Response::text(200, "late")
    });
    let server = Server::start(ANY_PORT, options(), handler).unwrap();
    let reply = exchange(
        &server,
        b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    assert!(reply.ends_with("late"), "{reply}");
}

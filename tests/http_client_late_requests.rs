//! Tests of the HTTP client against requests that arrive after their caller gave up.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use jujubewinch::http::client::ClientRequest;
use jujubewinch::http::{Client, ClientError, ClientOptions};
use jujubewinch::platform::outside::outside_calls;
use jujubewinch::workflow::calls::{CallFailure, StartOrder, WorkerTarget};
use jujubewinch::workflow::spec::TaskKey;
use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Deadline of a call that gets an answer, on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of a request that does not fit into the receive buffer of the peer, so that its rest waits
/// in the kernel of the sender, as during a cut.
const LARGE_REQUEST_BYTES: usize = 48 * 1024;

/// Returns a listener whose connections take a small part of a large request while nobody reads.
fn small_window_listener() -> TcpListener {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    set_socket_recv_buffer_size(&listener, 4 * 1024).unwrap();
    listener
}

fn client() -> Client {
    Client::new(ClientOptions {
        unacknowledged_timeout: Some(ANSWER_TIMEOUT),
        ..ClientOptions::default()
    })
}

fn request(listener: &TcpListener, timeout: Duration) -> ClientRequest {
    let url = format!("http://{}/", listener.local_addr().unwrap());
    ClientRequest::new(Method::POST, url, Instant::now() + timeout)
}

/// Reads until the connection ends. Returns the number of bytes and the error.
fn read_rest(mut peer: TcpStream) -> (usize, Option<ErrorKind>) {
    peer.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let mut received = Vec::new();
    let error = peer.read_to_end(&mut received).err();
    (received.len(), error.map(|error| error.kind()))
}

fn assert_discarded((received_bytes, error): (usize, Option<ErrorKind>)) {
    assert_eq!(error, Some(ErrorKind::ConnectionReset));
    assert!(
        received_bytes < LARGE_REQUEST_BYTES,
        "{received_bytes} bytes arrived"
    );
}

/// Guards against a start order that a worker receives seconds after its caller gave up, since the
/// kernel goes on sending what it holds after the socket was closed.
#[test]
fn a_start_order_that_was_given_up_does_not_arrive() {
    let listener = small_window_listener();
    let target = WorkerTarget {
        worker: "w1".to_owned(),
        incarnation: 1,
        address: listener.local_addr().unwrap().to_string(),
        generation: 1,
    };
    let order = StartOrder {
        task: TaskKey::parse("job.0.0.0").unwrap(),
        run: 1,
        payload: "x".repeat(LARGE_REQUEST_BYTES),
        fence: 1,
        lease_until_clock_ms: 0,
        checkpoint: String::new(),
        permit: None,
    };
    let start = outside_calls(None).start;
    // Ends before the kernel gives up the bytes, so that only the reset can discard them.
    let deadline = Instant::now() + Duration::from_millis(500);
    let failure = start(&target, &order, deadline).unwrap_err();
    assert!(matches!(failure, CallFailure::NoAnswer(_)), "{failure:?}");
    let (peer, _) = listener.accept().unwrap();
    assert_discarded(read_rest(peer));
}

/// Guards against bytes that arrive at any later time while the sender cannot close the connection,
/// as in a paused process.
#[test]
fn the_kernel_gives_up_unacknowledged_bytes_by_itself() {
    let listener = small_window_listener();
    let client = Client::new(ClientOptions {
        unacknowledged_timeout: Some(Duration::from_millis(500)),
        ..ClientOptions::default()
    });
    let mut request = request(&listener, ANSWER_TIMEOUT);
    request.body = vec![b'x'; LARGE_REQUEST_BYTES];
    let deadline = request.deadline;
    let error = client.send(request).unwrap_err();
    assert!(Instant::now() < deadline, "{error}");
    assert!(
        matches!(error, ClientError::Interrupted { .. }),
        "{error:?}"
    );
    let (peer, _) = listener.accept().unwrap();
    assert_discarded(read_rest(peer));
}

/// Reads the header section of a request without a body. Returns `false` at the end.
fn read_request(peer: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        match peer.read(&mut byte) {
            Ok(1) => received.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Guards against a reset that discards a response which the peer has sent completely.
#[test]
fn a_response_is_read_completely_when_its_peer_closes_the_connection() {
    const BODY_BYTES: usize = 300_000;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let client = client();
    let mut request = request(&listener, ANSWER_TIMEOUT);
    request.fresh_connection = true;
    let heads = [
        format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".to_owned(),
    ];
    let body = vec![b'y'; BODY_BYTES];
    let rounds = heads.iter().cycle().take(20);
    let answers: Vec<_> = thread::scope(|scope| {
        let peer_rounds = rounds.clone();
        scope.spawn(|| {
            for head in peer_rounds {
                let (mut peer, _) = listener.accept().unwrap();
                if read_request(&mut peer) {
                    let _ = peer.write_all(head.as_bytes());
                    let _ = peer.write_all(&body);
                }
            }
        });
        rounds.map(|_| client.send(request.clone())).collect()
    });
    for answer in answers {
        assert_eq!(answer.unwrap().body.len(), BODY_BYTES);
    }
}

/// Guards against a connection that is opened for each call, or one that is used again after its
/// peer has closed it.
#[test]
fn a_connection_is_used_until_its_peer_closes_it() {
    const CALLS_PER_CONNECTION: usize = 50;
    const CONNECTIONS: usize = 3;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let client = Client::new(ClientOptions {
        unacknowledged_timeout: Some(ANSWER_TIMEOUT),
        max_idle_age: ANSWER_TIMEOUT,
        ..ClientOptions::default()
    });
    for _ in 0..CONNECTIONS {
        let request = request(&listener, ANSWER_TIMEOUT);
        thread::scope(|scope| {
            // The connection is closed before the next round begins.
            scope.spawn(|| {
                let (mut peer, _) = listener.accept().unwrap();
                for _ in 0..CALLS_PER_CONNECTION {
                    assert!(read_request(&mut peer));
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    peer.write_all(response).unwrap();
                }
            });
            for _ in 0..CALLS_PER_CONNECTION {
                let response = client.send(request.clone()).unwrap();
                assert_eq!(response.body, b"ok");
            }
        });
    }
}

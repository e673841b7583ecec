//! Tests of the budget of request bodies, alone and in a server.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use jujubewinch::http::body_budget::{self, BodyBudget, BodyLimits, Refusal};
use jujubewinch::http::{Request, Response, Server, ServerOptions};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST: Option<IpAddr> = Some(IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1)));
const SECOND: Option<IpAddr> = Some(IpAddr::V4(Ipv4Addr::new(192, 0, 2, 2)));

fn limits() -> BodyLimits {
    BodyLimits {
        max_total_bytes: 1_000,
        max_address_bytes: 600,
        ..BodyLimits::default()
    }
}

/// Returns both ends of a connection.
fn connection() -> (Arc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    (Arc::new(listener.accept().unwrap().0), client)
}

/// Guards against one address that uses up the whole budget, and against a budget without a bound.
#[test]
fn an_address_gets_a_part_of_the_budget() {
    let budget = Arc::new(BodyBudget::new(limits()));
    let mut first = budget.open(FIRST, None);
    let mut second = budget.open(SECOND, None);
    assert_eq!(first.grow_to(600), Ok(()));
    assert_eq!(first.grow_to(601), Err(Refusal::AddressShare));
    assert_eq!(second.grow_to(401), Err(Refusal::NoRoom));
    assert_eq!(second.grow_to(400), Ok(()));
    assert_eq!(budget.held_bytes(), 1_000);
}

/// Guards against memory that stays reserved when a handler panics.
#[test]
fn a_panic_releases_the_memory() {
    let budget = Arc::new(BodyBudget::new(limits()));
    let caught = catch_unwind(AssertUnwindSafe(|| {
        let mut body = budget.open(FIRST, None);
        body.grow_to(500).unwrap();
        panic!("fault of a handler");
    }));
    assert!(caught.is_err());
    assert_eq!(budget.held_bytes(), 0);
    let mut next = budget.open(FIRST, None);
    assert_eq!(next.grow_to(600), Ok(()));
}

/// Guards against bodies that stop short and keep ordinary clients out, and against complete bodies
/// that are closed in their place.
#[test]
fn only_a_stalled_body_makes_room() {
    let budget = Arc::new(BodyBudget::new(limits()));
    let (stream, mut client) = connection();
    let (complete_stream, complete_client) = connection();
    let mut complete = budget.open(FIRST, Some(Arc::clone(&complete_stream)));
    complete.grow_to(300).unwrap();
    complete.complete().unwrap();
    let mut stalled = budget.open(FIRST, Some(Arc::clone(&stream)));
    stalled.grow_to(300).unwrap();
    stalled.progress(299);
    // A body is closed only after it was stalled for a second.
    thread::sleep(Duration::from_millis(1_200));
    let owner = thread::spawn(move || {
        let mut byte = [0];
        let ended = (&*stream).read(&mut byte);
        assert_eq!(stalled.complete(), Err(Refusal::Evicted));
        drop(stalled);
        ended.unwrap()
    });
    let mut next = budget.open(FIRST, None);
    assert_eq!(next.grow_to(300), Ok(()));
    assert_eq!(owner.join().unwrap(), 0);
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    complete_client.set_nonblocking(true).unwrap();
    let open = (&complete_client).read(&mut [0]).unwrap_err();
    assert_eq!(open.kind(), ErrorKind::WouldBlock);
    drop(complete_stream);
}

fn send(address: SocketAddr, length: usize) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&vec![b'b'; length]);
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    String::from_utf8_lossy(&reply).to_ascii_lowercase()
}

/// Guards against a body of 4 MiB that is refused in calm, against memory that a handler's body
/// holds outside of the budget, and against a refusal without verdict or time to come back.
#[test]
fn a_server_without_room_refuses_with_a_verdict() {
    let largest = 4 * 1024 * 1024;
    body_budget::configure(BodyLimits {
        max_total_bytes: largest,
        max_address_bytes: largest,
        ..BodyLimits::default()
    });
    let (entered, entries) = mpsc::channel();
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let handler = Arc::new(move |request: Request| {
        if request.body.len() == largest {
            entered.send(()).unwrap();
            let _ = released.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
        }
        Response::text(200, request.body.len().to_string())
    });
    let options = ServerOptions {
        max_body_bytes: largest,
        ..ServerOptions::default()
    };
    let server = Server::start("127.0.0.1:0".parse().unwrap(), options, handler).unwrap();
    let address = server.local_address();
    for _ in 0..2 {
        let held = thread::spawn(move || send(address, largest));
        entries.recv_timeout(WAIT_TIMEOUT).unwrap();
        let refused = send(address, 1_000);
        assert!(refused.starts_with("http/1.1 503"), "{refused}");
        for part in ["retry-after: 1", "jujubewinch-verdict: did_not_run"] {
            assert!(refused.contains(part), "{refused}");
        }
        release.send(()).unwrap();
        let served = held.join().unwrap();
        assert!(served.starts_with("http/1.1 200"), "{served}");
        assert!(served.ends_with("4194304"), "{served}");
    }
}

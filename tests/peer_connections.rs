//! Tests of the life of a connection between hosts: which calls are sent on it, and what ends it.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::unbounded;
use jujubewinch::peer::channel::{FrameReader, FrameWriter};
use jujubewinch::peer::frame::{Frame, length_prefixed};
use jujubewinch::peer::keys::code;
use jujubewinch::peer::{
    CallError, CallHandler, ClusterKeys, PeerClient, PeerClientOptions, PeerServer, handshake,
};
use jujubewinch::protocol::peer::{PeerReply, PeerRequest};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn serve(handler: CallHandler) -> PeerServer {
    PeerServer::start_deferred(ANY_PORT, ClusterKeys::unauthenticated(), handler).unwrap()
}

fn client(address: SocketAddr) -> PeerClient {
    PeerClient::new(PeerClientOptions {
        links: None,
        local_host: "a".to_owned(),
        remote_host: "b".to_owned(),
        address,
        keys: ClusterKeys::unauthenticated(),
        scope: "cell".to_owned(),
    })
}

fn message(name: &str) -> PeerRequest {
    PeerRequest::Extension {
        name: name.to_owned(),
        message: Vec::new(),
    }
}

fn done() -> PeerReply {
    PeerReply::Message(Vec::new())
}

/// Guards against lost answers of calls that take long: the server closed a connection on which the
/// client had sent nothing for 13 s, although replies to earlier calls kept it from sending pings.
#[test]
fn a_connection_stays_open_while_only_replies_are_sent() {
    const CALLS: usize = 40;
    const REPLY_INTERVAL: Duration = Duration::from_millis(400);
    let (sender, waiting) = unbounded();
    let server = serve(Arc::new(move |_, _, responder| {
        sender.send(responder).unwrap();
    }));
    let client = client(server.local_address());
    thread::scope(|scope| {
        let calls: Vec<_> = (0..CALLS)
            .map(|_| scope.spawn(|| client.call(message("x"), Instant::now() + TEST_TIMEOUT)))
            .collect();
        for responder in waiting.iter().take(CALLS) {
            thread::sleep(REPLY_INTERVAL);
            responder.answer(done());
        }
        for call in calls {
            assert_eq!(call.join().unwrap(), Ok(done()));
        }
    });
}

/// Guards against a call that is sent after its caller has given up, and runs although nobody waits
/// for it: the handshake with a paused host ended after the deadline of the call.
#[test]
fn a_call_is_not_sent_after_its_deadline() {
    const PAUSE: Duration = Duration::from_millis(300);
    let listener = TcpListener::bind(ANY_PORT).unwrap();
    let client = client(listener.local_addr().unwrap());
    let paused = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        thread::sleep(PAUSE);
        let session = handshake::accept(&mut stream, &ClusterKeys::unauthenticated()).unwrap();
        let mut reader = FrameReader::new(stream.try_clone().unwrap(), session.client_secret);
        let mut writer = FrameWriter::new(stream, session.server_secret);
        loop {
            let Frame::Request { call_id, request } = reader.read().unwrap() else {
                continue;
            };
            let reply = done();
            writer.write(&Frame::Reply { call_id, reply }).unwrap();
            return request;
        }
    });
    let late = client.call(message("late"), Instant::now() + PAUSE / 3);
    assert!(matches!(late, Err(CallError::NotSent { .. })), "{late:?}");
    let next = client.call(message("next"), Instant::now() + TEST_TIMEOUT);
    assert_eq!(next, Ok(done()));
    assert_eq!(paused.join().unwrap(), message("next"));
}

/// Returns a server whose handler panics on the thread that reads the connection, for the name
/// `bad`.
fn serve_with_panics() -> PeerServer {
    serve(Arc::new(|_, request, responder| {
        assert!(request != message("bad"), "expected in this test");
        responder.answer(done());
    }))
}

/// Guards against a message whose handler panics and leaves the connection open without a reader:
/// all other calls of that host failed after 4 s of silence.
#[test]
fn a_panic_of_a_handler_leaves_the_connection_in_use() {
    let server = serve_with_panics();
    let client = client(server.local_address());
    let failed = client.call(message("bad"), Instant::now() + TEST_TIMEOUT);
    assert!(
        matches!(failed, Err(CallError::NoReply { .. })),
        "{failed:?}"
    );
    let next = client.call(message("good"), Instant::now() + TEST_TIMEOUT);
    assert_eq!(next, Ok(done()));
}

/// Guards against a server that accepts no more connections, since those of panicked handlers still
/// count as open.
#[test]
fn connections_of_panicked_handlers_are_not_counted_for_ever() {
    /// More than the server keeps open at the same time.
    const CONNECTIONS: usize = 300;
    let server = serve_with_panics();
    let address = server.local_address();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).unwrap();
        let keys = ClusterKeys::unauthenticated();
        let session = handshake::open(&mut stream, "a", &keys).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut reader = FrameReader::new(stream.try_clone().unwrap(), session.server_secret);
        let mut writer = FrameWriter::new(stream, session.client_secret);
        let (call_id, request) = (1, message("bad"));
        writer.write(&Frame::Request { call_id, request }).unwrap();
        let reply = PeerReply::Unanswered;
        assert_eq!(reader.read().unwrap(), Frame::Reply { call_id, reply });
    }
    let next = client(address).call(message("good"), Instant::now() + TEST_TIMEOUT);
    assert_eq!(next, Ok(done()));
}

/// Guards against a call of a later version that ends the connection, and with it all other calls
/// of that host that are being handled.
#[test]
fn a_call_that_cannot_be_decoded_ends_only_itself() {
    /// A request with call identifier 2 and an operation that does not exist.
    const UNKNOWN_OPERATION: [u8; 3] = [0, 2, 99];
    let (sender, waiting) = unbounded();
    let server = serve(Arc::new(move |_, _, responder| {
        sender.send(responder).unwrap();
    }));
    let mut stream = TcpStream::connect(server.local_address()).unwrap();
    let session = handshake::open(&mut stream, "a", &ClusterKeys::unauthenticated()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut reader = FrameReader::new(stream.try_clone().unwrap(), session.server_secret);
    let first = Frame::Request {
        call_id: 1,
        request: message("x"),
    };
    let mut writer = FrameWriter::new(stream.try_clone().unwrap(), session.client_secret);
    writer.write(&first).unwrap();
    let sequence = 1_u64.to_be_bytes();
    let code = code(&session.client_secret, &[&sequence, &UNKNOWN_OPERATION]);
    let second = length_prefixed(&[&UNKNOWN_OPERATION[..], &code].concat()).unwrap();
    stream.write_all(&second).unwrap();
    let reply = reader.read().unwrap();
    assert!(
        matches!(
            &reply,
            Frame::Reply {
                call_id: 2,
                reply: PeerReply::Refused(_)
            }
        ),
        "{reply:?}"
    );
    waiting.recv().unwrap().answer(done());
    let (call_id, reply) = (1, done());
    assert_eq!(reader.read().unwrap(), Frame::Reply { call_id, reply });
}

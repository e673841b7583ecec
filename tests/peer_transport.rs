//! Tests of the transport between entry hosts.

use std::io::{Cursor, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::peer::channel::{FrameReader, FrameWriter};
use jujubewinch::peer::frame::{Frame, MAX_FRAME_BYTES, decode, length_prefixed, read_body};
use jujubewinch::peer::keys::ClusterKey;
use jujubewinch::peer::{
    CallError, ClusterKeys, PeerClient, PeerClientOptions, PeerHandler, PeerServer, handshake,
};
use jujubewinch::protocol::peer::{PeerReply, PeerRequest};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn key(id: u32) -> ClusterKey {
    ClusterKey {
        id,
        secret: vec![id as u8; 32],
    }
}

fn client(address: SocketAddr, keys: ClusterKeys) -> PeerClient {
    PeerClient::new(PeerClientOptions {
        links: None,
        local_host: "a".to_owned(),
        remote_host: "b".to_owned(),
        address,
        keys,
        scope: "data_centre".to_owned(),
    })
}

fn message(name: &str) -> PeerRequest {
    PeerRequest::Extension {
        name: name.to_owned(),
        message: vec![1, 2, 3],
    }
}

/// Returns a handler that replies with the caller and the name, after a pause for the name `slow`.
fn echo() -> PeerHandler {
    Arc::new(|host, request| match request {
        PeerRequest::Extension { name, .. } => {
            if name == "slow" {
                thread::sleep(Duration::from_millis(100));
            }
            PeerReply::Refused(format!("{host} {name}"))
        }
        _ => PeerReply::Message(Vec::new()),
    })
}

/// Guards against replies that are delivered to another call when they arrive out of order.
#[test]
fn replies_out_of_order_reach_their_calls() {
    let server = PeerServer::start(ANY_PORT, ClusterKeys::unauthenticated(), echo()).unwrap();
    let client = client(server.local_address(), ClusterKeys::unauthenticated());
    thread::scope(|scope| {
        for index in 0..32 {
            let client = &client;
            scope.spawn(move || {
                let name = if index % 4 == 0 {
                    "slow".to_owned()
                } else {
                    format!("n{index}")
                };
                let reply = client
                    .call(message(&name), Instant::now() + TEST_TIMEOUT)
                    .unwrap();
                assert_eq!(reply, PeerReply::Refused(format!("a {name}")));
            });
        }
    });
}

/// Guards against hosts that connect with an unknown or revoked key, and against a key rotation that
/// excludes hosts with a valid key.
#[test]
fn keys_decide_who_may_call() {
    let old_and_new = ClusterKeys::new(key(2), vec![key(1)]);
    let cases = [
        ("both keys", old_and_new.clone(), true),
        ("old key", ClusterKeys::new(key(1), Vec::new()), true),
        ("unknown key", ClusterKeys::new(key(3), Vec::new()), false),
        ("no key", ClusterKeys::unauthenticated(), false),
        (
            "known number, other secret",
            ClusterKeys::new(
                ClusterKey {
                    id: 2,
                    secret: vec![9; 32],
                },
                Vec::new(),
            ),
            false,
        ),
    ];
    let server = PeerServer::start(ANY_PORT, old_and_new, echo()).unwrap();
    for (name, keys, accepted) in cases {
        let result =
            client(server.local_address(), keys).call(message("x"), Instant::now() + TEST_TIMEOUT);
        assert_eq!(result.is_ok(), accepted, "{name}");
        if let Err(error) = result {
            assert!(
                matches!(error, CallError::NotSent { .. }),
                "{name}: {error}"
            );
        }
    }
}

/// Guards against calls that hang on a connection without replies although a new connection works.
#[test]
fn a_silent_connection_fails_its_calls_and_is_replaced() {
    let listener = TcpListener::bind(ANY_PORT).unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let session = handshake::accept(&mut stream, &ClusterKeys::unauthenticated()).unwrap();
            if count.fetch_add(1, Ordering::AcqRel) == 0 {
                // The first connection remains open, but no call on it is answered.
                open.push(stream);
                continue;
            }
            let mut reader = FrameReader::new(stream.try_clone().unwrap(), session.client_secret);
            let mut writer = FrameWriter::new(stream, session.server_secret);
            while let Ok(frame) = reader.read() {
                let Frame::Request { call_id, .. } = frame else {
                    continue;
                };
                let reply = PeerReply::Message(vec![7]);
                writer.write(&Frame::Reply { call_id, reply }).unwrap();
            }
        }
    });
    let client = client(address, ClusterKeys::unauthenticated());
    let first = client.call(message("x"), Instant::now() + TEST_TIMEOUT);
    assert!(matches!(first, Err(CallError::NoReply { .. })), "{first:?}");
    let second = client.call(message("x"), Instant::now() + TEST_TIMEOUT);
    assert_eq!(second, Ok(PeerReply::Message(vec![7])));
    assert_eq!(accepted.load(Ordering::Acquire), 2);
}

/// Guards against an error that says that the request may have arrived although the host is down, or
/// that it was not sent although it arrived.
#[test]
fn a_call_to_a_host_that_is_down_is_not_sent() {
    let free = TcpListener::bind(ANY_PORT).unwrap().local_addr().unwrap();
    let result = client(free, ClusterKeys::unauthenticated())
        .call(message("x"), Instant::now() + TEST_TIMEOUT);
    assert!(
        matches!(result, Err(CallError::NotSent { .. })),
        "{result:?}"
    );
}

/// Guards against the acceptance of frames that were changed, truncated, replayed or reordered.
#[test]
fn damaged_frames_are_refused() {
    let secret = [5; 32];
    let mut wire = Vec::new();
    let mut writer = FrameWriter::new(&mut wire, secret);
    let first = writer
        .write(&Frame::Request {
            call_id: 1,
            request: message("one"),
        })
        .unwrap();
    writer.write(&Frame::Ping).unwrap();
    let (one, two) = wire.split_at(first);
    let read_all = |bytes: &[u8]| {
        let mut reader = FrameReader::new(Cursor::new(bytes.to_vec()), secret);
        reader.read().and_then(|_| reader.read())
    };
    assert!(read_all(&wire).is_ok());
    assert!(read_all(&[one, one].concat()).is_err(), "a replayed frame");
    assert!(read_all(&[two, one].concat()).is_err(), "reordered frames");
    for position in 0..first {
        let mut changed = wire.clone();
        changed[position] ^= 1;
        let mut reader = FrameReader::new(Cursor::new(changed), secret);
        assert!(reader.read().is_err(), "bit changed in byte {position}");
        let mut reader = FrameReader::new(Cursor::new(&wire[..position]), secret);
        assert!(reader.read().is_err(), "truncated at byte {position}");
    }
}

/// Guards against the allocation of memory for the length that an unauthenticated peer announces.
#[test]
fn the_announced_length_allocates_nothing() {
    let mut claim = u32::try_from(MAX_FRAME_BYTES)
        .unwrap()
        .to_be_bytes()
        .to_vec();
    claim.push(0);
    assert!(read_body(&mut Cursor::new(&claim), MAX_FRAME_BYTES).is_err());
    let above = (u32::try_from(MAX_FRAME_BYTES).unwrap() + 1).to_be_bytes();
    assert!(read_body(&mut Cursor::new(&above), MAX_FRAME_BYTES).is_err());
    assert!(length_prefixed(&vec![0; MAX_FRAME_BYTES + 1]).is_err());
}

/// Guards against a panic or a blocked listener caused by bytes of an unauthenticated peer.
#[test]
fn arbitrary_bytes_end_only_their_own_connection() {
    let server = PeerServer::start(ANY_PORT, ClusterKeys::unauthenticated(), echo()).unwrap();
    for bytes in [
        &b""[..],
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 64],
        &[0, 0, 0, 4, 1, 2, 3, 4],
    ] {
        let mut stream = TcpStream::connect(server.local_address()).unwrap();
        stream.write_all(bytes).unwrap();
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
    let client = client(server.local_address(), ClusterKeys::unauthenticated());
    assert!(
        client
            .call(message("x"), Instant::now() + TEST_TIMEOUT)
            .is_ok()
    );
}

/// Guards against a decoder that panics on malformed input.
#[test]
fn arbitrary_frames_do_not_panic() {
    let seed = [17; 32];
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 2_000,
            failure_persistence: None,
            ..Config::default()
        },
        TestRng::from_seed(RngAlgorithm::ChaCha, &seed),
    );
    let bytes = proptest::collection::vec(any::<u8>(), 0..512);
    let checked = runner.run(&bytes, |bytes| {
        let _ = decode::<Frame>(&bytes);
        let _ = read_body(&mut Cursor::new(&bytes), MAX_FRAME_BYTES);
        Ok(())
    });
    checked.unwrap();
}

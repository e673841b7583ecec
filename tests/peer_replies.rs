//! Tests of deferred replies and of thread pools for calls that block.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, unbounded};
use jujubewinch::peer::channel::{FrameReader, FrameWriter};
use jujubewinch::peer::frame::Frame;
use jujubewinch::peer::responder::MAX_QUEUED_FRAMES;
use jujubewinch::peer::{
    CallError, CallHandler, CallPool, CallPoolOptions, ClusterKeys, PeerClient, PeerClientOptions,
    PeerServer, handshake,
};
use jujubewinch::protocol::peer::{PeerReply, PeerRequest};
use jujubewinch::workflow::directory::Directory;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn serve(handler: CallHandler) -> PeerServer {
    PeerServer::start_deferred(ANY_PORT, ClusterKeys::unauthenticated(), handler).unwrap()
}

fn client(server: &PeerServer) -> PeerClient {
    PeerClient::new(PeerClientOptions {
        links: None,
        local_host: "a".to_owned(),
        remote_host: "b".to_owned(),
        address: server.local_address(),
        keys: ClusterKeys::unauthenticated(),
        scope: "cell".to_owned(),
    })
}

fn open(address: SocketAddr) -> (FrameReader<TcpStream>, FrameWriter<TcpStream>) {
    let mut stream = TcpStream::connect(address).unwrap();
    let keys = ClusterKeys::unauthenticated();
    let session = handshake::open(&mut stream, "a", &keys).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let reader = FrameReader::new(stream.try_clone().unwrap(), session.server_secret);
    (reader, FrameWriter::new(stream, session.client_secret))
}

fn message(name: &str) -> PeerRequest {
    PeerRequest::Extension {
        name: name.to_owned(),
        message: Vec::new(),
    }
}

fn request(call_id: u64) -> Frame {
    Frame::Request {
        call_id,
        request: message("x"),
    }
}

/// Guards against a thread for each call that waits for its reply. With 550 to 1,370 such threads
/// in one process, messages of the replicated log received about a thousandth of the processor time.
#[test]
fn calls_that_wait_for_a_reply_hold_no_thread() {
    const CALLS: u64 = 500;
    let (sender, waiting) = unbounded();
    let threads = Arc::new(Mutex::new(std::collections::HashSet::new()));
    let seen = Arc::clone(&threads);
    let server = serve(Arc::new(move |_, _, responder| {
        seen.lock().unwrap().insert(thread::current().id());
        sender.send(responder).unwrap();
    }));
    let (mut reader, mut writer) = open(server.local_address());
    for call_id in 0..CALLS {
        writer.write(&request(call_id)).unwrap();
    }
    let mut responders = Vec::new();
    for _ in 0..CALLS {
        responders.push(waiting.recv_timeout(TEST_TIMEOUT).unwrap());
    }
    assert_eq!(threads.lock().unwrap().len(), 1);
    for responder in responders.into_iter().rev() {
        responder.answer(PeerReply::Message(vec![1]));
    }
    for call_id in (0..CALLS).rev() {
        let reply = PeerReply::Message(vec![1]);
        assert_eq!(reader.read().unwrap(), Frame::Reply { call_id, reply });
    }
}

/// Guards against callers that wait although the handler has dropped the responder, and against the
/// report that such a call had no effect.
#[test]
fn a_dropped_responder_ends_its_call() {
    let server = serve(Arc::new(|_, _, responder| drop(responder)));
    let result = client(&server).call(message("x"), Instant::now() + TEST_TIMEOUT);
    let Err(CallError::NoReply { reason, .. }) = result else {
        panic!("{result:?}");
    };
    assert_eq!(reason, "the call ended without a reply");
}

/// Guards against a peer that sends calls without reading replies: its replies must neither block
/// the thread that answers nor use memory without limit.
#[test]
fn a_peer_that_does_not_read_is_disconnected() {
    let calls = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&calls);
    let server = serve(Arc::new(move |_, _, responder| {
        count.fetch_add(1, Ordering::AcqRel);
        responder.answer(PeerReply::Message(vec![0; 8 * 1024]));
    }));
    let (_reader, mut writer) = open(server.local_address());
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut call_id = 0;
    while writer.write(&request(call_id)).is_ok() {
        assert!(Instant::now() < deadline, "{call_id} calls were accepted");
        call_id += 1;
        if call_id > MAX_QUEUED_FRAMES as u64 * 4 {
            thread::sleep(Duration::from_millis(5));
        }
    }
    assert!(calls.load(Ordering::Acquire) > 0);
    let _ = writer.stream().shutdown(std::net::Shutdown::Both);
    let answer = client(&server).call(message("x"), Instant::now() + TEST_TIMEOUT);
    assert!(answer.is_ok(), "other connections are served: {answer:?}");
}

/// Guards against an unlimited number of threads for handlers that block, against an unlimited
/// number of queued calls, and against calls that are refused after they ran.
#[test]
fn calls_beyond_the_threads_and_the_queue_are_refused() {
    const THREADS: usize = 3;
    const QUEUED: usize = 5;
    const CALLS: u64 = 40;
    let pool = CallPool::new(CallPoolOptions {
        name: "test-call".to_owned(),
        max_threads: THREADS,
        max_queued: QUEUED,
    });
    let (release, released) = bounded::<()>(0);
    let ran = Arc::new(AtomicUsize::new(0));
    let (counted, threads) = (Arc::clone(&ran), pool.clone());
    let server = serve(Arc::new(move |_, _, responder| {
        let (released, counted) = (released.clone(), Arc::clone(&counted));
        pool.run(responder, move |responder| {
            counted.fetch_add(1, Ordering::AcqRel);
            let _ = released.recv();
            responder.answer(PeerReply::Message(Vec::new()));
        });
    }));
    let (mut reader, mut writer) = open(server.local_address());
    for call_id in 0..CALLS {
        writer.write(&request(call_id)).unwrap();
    }
    let expected_refusals = CALLS as usize - THREADS - QUEUED;
    let mut refused = 0;
    for _ in 0..expected_refusals {
        let frame = reader.read().unwrap();
        let is_refusal = matches!(
            &frame,
            Frame::Reply {
                reply: PeerReply::Refused(_),
                ..
            }
        );
        refused += usize::from(is_refusal);
    }
    assert_eq!(refused, expected_refusals);
    assert!(threads.threads() <= THREADS);
    drop(release);
    for _ in 0..THREADS + QUEUED {
        let frame = reader.read().unwrap();
        assert!(
            matches!(
                &frame,
                Frame::Reply {
                    reply: PeerReply::Message(_),
                    ..
                }
            ),
            "{frame:?}"
        );
    }
    assert_eq!(ran.load(Ordering::Acquire), THREADS + QUEUED);
}

/// Guards against a handler whose panic ends a thread of the pool.
#[test]
fn a_panic_ends_only_its_call() {
    let pool = CallPool::new(CallPoolOptions {
        name: "test-panic".to_owned(),
        max_threads: 1,
        max_queued: 4,
    });
    let server = serve(Arc::new(move |_, request: PeerRequest, responder| {
        pool.run(responder, move |responder| {
            assert!(request == message("good"), "a handler that fails");
            responder.answer(PeerReply::Message(Vec::new()));
        });
    }));
    let client = client(&server);
    let failed = client.call(message("bad"), Instant::now() + TEST_TIMEOUT);
    assert!(
        matches!(failed, Err(CallError::NoReply { .. })),
        "{failed:?}"
    );
    let next = client.call(message("good"), Instant::now() + TEST_TIMEOUT);
    assert_eq!(next, Ok(PeerReply::Message(Vec::new())));
}

/// Guards against messages of a replicated log that wait behind other calls between the same hosts.
#[test]
fn messages_of_the_log_pass_calls_that_wait() {
    const PORT: u16 = 17_295;
    let address = SocketAddr::new("127.0.0.24".parse().unwrap(), PORT);
    let (release, released) = bounded::<()>(0);
    let handler: CallHandler = Arc::new(move |_, request, responder| {
        if !matches!(request, PeerRequest::Replication { .. }) {
            // Blocks the reader thread of its connection.
            let _ = released.recv();
        }
        responder.answer(PeerReply::Message(Vec::new()));
    });
    let keys = ClusterKeys::unauthenticated();
    let _server = PeerServer::start_deferred(address, keys, handler).unwrap();
    let directory = Directory::new("127.0.0.25".to_owned(), PORT, Vec::new());
    let host = "127.0.0.24".to_owned();
    let order = Mutex::new(Vec::new());
    thread::scope(|scope| {
        scope.spawn(|| {
            let reply = directory
                .client(&host)
                .call(message("x"), Instant::now() + TEST_TIMEOUT);
            order.lock().unwrap().push("call");
            reply.unwrap();
        });
        let append = PeerRequest::Replication {
            group: "workflow".to_owned(),
            message: Vec::new(),
        };
        let reply = directory
            .log_client(&host)
            .call(append, Instant::now() + TEST_TIMEOUT);
        order.lock().unwrap().push("log");
        drop(release);
        reply.unwrap();
    });
    assert_eq!(*order.lock().unwrap(), ["log", "call"]);
}

//! Calls to the placer of a whole cell, over sockets.

mod platform_support;

use std::fs;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use jujubewinch::peer::channel::{FrameReader, FrameWriter};
use jujubewinch::peer::frame::Frame;
use jujubewinch::peer::{ClusterKeys, handshake};
use jujubewinch::protocol::peer::PeerRequest;
use jujubewinch::workflow::calls::{CALL_EXTENSION, Call};
use platform_support::{Cell, Ports, await_some};

const PATIENCE: Duration = Duration::from_secs(30);

/// Threads of this process whose name begins with the prefix.
fn threads(prefix: &str) -> usize {
    let names = fs::read_dir("/proc/self/task")
        .unwrap()
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("comm")).ok());
    names.filter(|name| name.starts_with(prefix)).count()
}

/// Guards against a placer that serves each call that waits for a commit with a thread of its own.
#[test]
fn calls_that_wait_for_a_commit_hold_no_thread() {
    const CALLS: u64 = 400;
    const MAX_THREADS: usize = 64;
    let folder = tempfile::tempdir().unwrap();
    let ports = Ports {
        peers: 17_340,
        callers: 17_341,
        readiness: 17_342,
        control: 17_343,
    };
    let cell = Cell::start(folder.path(), ports);
    assert_eq!(cell.configure(1).status, 200);
    let leader = await_some(|| cell.leader()) + 1;
    let mut stream = TcpStream::connect(format!("127.0.0.{leader}:{}", ports.peers)).unwrap();
    let keys = ClusterKeys::unauthenticated();
    let session = handshake::open(&mut stream, "127.0.0.9", &keys).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut reader = FrameReader::new(stream.try_clone().unwrap(), session.server_secret);
    let mut writer = FrameWriter::new(stream, session.client_secret);
    let (done, most) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        scope.spawn(|| {
            while !done.load(Ordering::Acquire) {
                most.fetch_max(threads("peer-call"), Ordering::AcqRel);
                thread::sleep(Duration::from_millis(1));
            }
        });
        for call_id in 0..CALLS {
            let request = PeerRequest::Extension {
                name: CALL_EXTENSION.to_owned(),
                message: postcard::to_stdvec(&Call::ReadQueues).unwrap(),
            };
            writer.write(&Frame::Request { call_id, request }).unwrap();
        }
        let replies = (0..CALLS)
            .filter(|_| matches!(reader.read(), Ok(Frame::Reply { .. })))
            .count();
        done.store(true, Ordering::Release);
        assert_eq!(replies as u64, CALLS);
    });
    let most = most.load(Ordering::Acquire);
    assert!(most <= MAX_THREADS, "{most} threads for {CALLS} calls");
}

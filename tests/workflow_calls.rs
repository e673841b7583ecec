//! Tests how the placer of a cell serves many concurrent calls over sockets.

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

/// Longest time without a reply.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of threads of this process whose names begin with the prefix.
fn count_threads(prefix: &str) -> usize {
    let names = fs::read_dir("/proc/self/task")
        .unwrap()
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("comm")).ok());
    names.filter(|name| name.starts_with(prefix)).count()
}

/// Guards against a placer that occupies one thread for each call that waits for a commit.
#[test]
fn calls_that_wait_for_a_commit_hold_no_thread() {
    const CALLS: u64 = 400;
    const MAX_THREADS: usize = 64;
    let folder = tempfile::tempdir().unwrap();
    let ports = Ports::starting_at(17_340);
    let cell = Cell::start(folder.path(), ports);
    assert_eq!(cell.configure(1).status, 200);
    let leader = await_some(|| cell.leader()) + 1;
    let mut stream = TcpStream::connect(format!("127.0.0.{leader}:{}", ports.peers)).unwrap();
    let keys = ClusterKeys::unauthenticated();
    let session = handshake::open(&mut stream, "127.0.0.9", &keys).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut reader = FrameReader::new(stream.try_clone().unwrap(), session.server_secret);
    let mut writer = FrameWriter::new(stream, session.client_secret);
    let (done, max_threads) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        scope.spawn(|| {
            while !done.load(Ordering::Acquire) {
                max_threads.fetch_max(count_threads("peer-call"), Ordering::AcqRel);
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
    let max_threads = max_threads.load(Ordering::Acquire);
    assert!(
        max_threads <= MAX_THREADS,
        "{max_threads} threads for {CALLS} calls"
    );
}

//! Finding the placer among hosts that fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::peer::{ClusterKeys, PeerServer};
use jujubewinch::protocol::peer::{PeerReply, PeerRequest};
use jujubewinch::workflow::calls::{Call, Reply};
use jujubewinch::workflow::directory::Directory;
use jujubewinch::workflow::queues::QueueAddress;

const PORT: u16 = 17_290;
const FROZEN: &str = "127.0.0.21";
const SUCCESSOR: &str = "127.0.0.22";

/// Guards against callers that wait for a frozen placer long after another one leads: an election
/// takes about 900 ms, and calls waited for 1 s each, then asked the frozen host again because the
/// others still named it.
#[test]
fn a_frozen_placer_is_left_for_its_successor() {
    let address = |host: &str| SocketAddr::new(host.parse().unwrap(), PORT);
    let silence = |_: String, _: PeerRequest| {
        thread::sleep(Duration::from_secs(3));
        PeerReply::Refused("frozen".to_owned())
    };
    let keys = ClusterKeys::unauthenticated();
    let frozen = PeerServer::start(address(FROZEN), keys, Arc::new(silence)).unwrap();
    let asked = AtomicUsize::new(0);
    let handler = move |_: String, _: PeerRequest| {
        // The election is over at the third question.
        if asked.fetch_add(1, Ordering::AcqRel) < 2 {
            return PeerReply::NotPlacer {
                placer: Some(FROZEN.to_owned()),
            };
        }
        PeerReply::Message(postcard::to_stdvec(&Reply::NoSuchJob).unwrap())
    };
    let keys = ClusterKeys::unauthenticated();
    let server = PeerServer::start(address(SUCCESSOR), keys, Arc::new(handler)).unwrap();
    let seeds = vec![FROZEN.to_owned(), SUCCESSOR.to_owned()];
    let directory = Directory::new("127.0.0.23".to_owned(), PORT, seeds);
    let query = Call::Query(QueueAddress {
        host: "shop.example".to_owned(),
        path_prefix: "/plans/1".to_owned(),
    });
    let started = Instant::now();
    let reply = directory.call(&query, started + Duration::from_secs(5));
    assert_eq!(reply, Ok(Reply::NoSuchJob));
    assert!(started.elapsed() < Duration::from_millis(900));
    server.stop();
    frozen.stop();
}

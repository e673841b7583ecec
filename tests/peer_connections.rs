//! Tests of the life of a connection between hosts: which calls are sent on it, and what ends it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::unbounded;
use jujubewinch::peer::{CallHandler, ClusterKeys, PeerClient, PeerClientOptions, PeerServer};
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

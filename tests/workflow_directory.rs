//! Finding the placer among hosts that fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::peer::{CallHandler, ClusterKeys, PeerServer, Responder};
use jujubewinch::protocol::peer::{PeerReply, PeerRequest};
use jujubewinch::workflow::calls::{Call, Reply};
use jujubewinch::workflow::decisions::retries::pause;
use jujubewinch::workflow::directory::{Directory, Unanswered};
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

const BUSY: &str = "127.0.0.26";
const UNSURE: &str = "127.0.0.27";
const LEADERLESS: &str = "127.0.0.28";

fn submission() -> Call {
    Call::Submit {
        target: QueueAddress {
            host: "shop.example".to_owned(),
            path_prefix: "/plans/1".to_owned(),
        },
        spec: Box::default(),
    }
}

/// Answers the calls of a directory with the replies in turn, `None` standing for a call that ends
/// without one; returns the answer to the caller and the number of calls.
fn call_through(host: &str, replies: Vec<Option<Reply>>) -> (Result<Reply, Unanswered>, usize) {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    let handler: CallHandler = Arc::new(move |_, _, responder: Responder| {
        let position = count.fetch_add(1, Ordering::AcqRel);
        if let Some(reply) = replies.get(position).cloned().flatten() {
            responder.answer(PeerReply::Message(postcard::to_stdvec(&reply).unwrap()));
        }
    });
    let address = SocketAddr::new(host.parse().unwrap(), PORT);
    let keys = ClusterKeys::unauthenticated();
    let _server = PeerServer::start_deferred(address, keys, handler).unwrap();
    let directory = Directory::new("127.0.0.23".to_owned(), PORT, vec![host.to_owned()]);
    let answer = directory.call(&submission(), Instant::now() + Duration::from_secs(20));
    (answer, asked.load(Ordering::Acquire))
}

/// Guards against entry hosts that repeat a refused call until the caller's deadline, which keeps
/// an overloaded placer from serving any.
#[test]
fn a_refused_call_is_not_repeated() {
    let busy = Reply::Busy {
        retry_after_ms: 700,
    };
    let (answer, asked) = call_through(BUSY, vec![Some(busy.clone()), Some(Reply::Accepted)]);
    assert_eq!(answer, Ok(busy));
    assert_eq!(asked, 1);
}

/// Guards against a caller that is told that its job was refused although an earlier attempt may
/// have been accepted.
#[test]
fn a_call_that_may_have_taken_effect_is_not_reported_as_refused() {
    let busy = Reply::Busy {
        retry_after_ms: 700,
    };
    let replies = vec![None, Some(busy), Some(Reply::Accepted)];
    let (answer, asked) = call_through(UNSURE, replies);
    assert_eq!(answer, Ok(Reply::Accepted));
    assert_eq!(asked, 3);
}

/// Guards against hosts that all look for a lost placer every 40 ms until their deadlines: the next
/// placer of a large cell was occupied with them.
#[test]
fn a_lost_placer_is_looked_for_less_and_less_often() {
    const MAX_QUESTIONS: usize = 30;
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    let handler: CallHandler = Arc::new(move |_, _, responder: Responder| {
        count.fetch_add(1, Ordering::AcqRel);
        responder.answer(PeerReply::NotPlacer { placer: None });
    });
    let address = SocketAddr::new(LEADERLESS.parse().unwrap(), PORT);
    let keys = ClusterKeys::unauthenticated();
    let _server = PeerServer::start_deferred(address, keys, handler).unwrap();
    let directory = Directory::new("127.0.0.23".to_owned(), PORT, vec![LEADERLESS.to_owned()]);
    let answer = directory.call(&submission(), Instant::now() + Duration::from_secs(3));
    assert_eq!(answer, Err(Unanswered::NotSent));
    let asked = asked.load(Ordering::Acquire);
    assert!(asked <= MAX_QUESTIONS, "{asked} questions in 3 s");
}

/// Guards against hosts that ask at the same moments, and against a pause that keeps callers waiting
/// after a take-over.
#[test]
fn pauses_grow_and_are_spread() {
    let first = Duration::from_millis(40);
    let longest = Duration::from_millis(320);
    for retries in 0..40 {
        let (least, most) = (pause(retries, 0.0), pause(retries, 1.0));
        assert_eq!(least * 2, most, "retry {retries}");
        assert!(
            most <= longest && most >= first,
            "retry {retries}: {most:?}"
        );
        assert!(pause(retries + 1, 1.0) >= most, "retry {retries}");
    }
    let quick: Duration = (0..6).map(|retries| pause(retries, 1.0)).sum();
    assert_eq!(quick, first * 6);
    assert_eq!(pause(39, 1.0), longest);
}

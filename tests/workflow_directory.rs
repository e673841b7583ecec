//! Tests how a host finds the placer while other hosts fail or refuse calls.

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

/// Guards against callers that wait for a frozen placer long after another host has become leader:
/// an election takes about 900 ms, but each call waited for 1 s and was then sent to the frozen
/// host again, because the other hosts still named it as the placer.
#[test]
fn calls_move_from_a_frozen_placer_to_its_successor() {
    let address = |host: &str| SocketAddr::new(host.parse().unwrap(), PORT);
    let delayed_reply = |_: String, _: PeerRequest| {
        thread::sleep(Duration::from_secs(3));
        PeerReply::Refused("frozen".to_owned())
    };
    let keys = ClusterKeys::unauthenticated();
    let frozen = PeerServer::start(address(FROZEN), keys, Arc::new(delayed_reply)).unwrap();
    let received = AtomicUsize::new(0);
    let handler = move |_: String, _: PeerRequest| {
        // The election ends before the third call arrives.
        if received.fetch_add(1, Ordering::AcqRel) < 2 {
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
const NO_REPLY: &str = "127.0.0.27";
const LEADERLESS: &str = "127.0.0.28";
const LATE: &str = "127.0.0.29";
const REMOVED: &str = "127.0.0.30";
const UNKNOWN: &str = "127.0.0.31";

fn submission() -> Call {
    Call::Submit {
        target: QueueAddress {
            host: "shop.example".to_owned(),
            path_prefix: "/plans/1".to_owned(),
        },
        spec: Box::default(),
    }
}

/// Submits a job through a directory whose only host sends the replies in turn, where `None` stands
/// for a call without a reply. Returns the answer to the caller and the number of calls received.
fn submit_to(host: &str, replies: Vec<Option<Reply>>) -> (Result<Reply, Unanswered>, usize) {
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
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
    (answer, received.load(Ordering::Acquire))
}

/// Guards against entry hosts that repeat a refused call until the caller's deadline, which keeps
/// an overloaded placer from serving any calls.
#[test]
fn a_refused_call_is_not_repeated() {
    let busy = Reply::Busy {
        retry_after_ms: 700,
    };
    let (answer, received) = submit_to(BUSY, vec![Some(busy.clone()), Some(Reply::Accepted)]);
    assert_eq!(answer, Ok(busy));
    assert_eq!(received, 1);
}

/// Guards against a refusal that is reported to a caller although an earlier attempt to submit the
/// job may have been accepted.
#[test]
fn a_call_that_may_have_taken_effect_is_not_reported_as_refused() {
    let busy = Reply::Busy {
        retry_after_ms: 700,
    };
    let replies = vec![None, Some(busy), Some(Reply::Accepted)];
    let (answer, received) = submit_to(NO_REPLY, replies);
    assert_eq!(answer, Ok(Reply::Accepted));
    assert_eq!(received, 3);
}

/// Guards against a caller who is told that the job never runs, since the backlog is too long,
/// although an earlier attempt is still on its way and may be accepted.
#[test]
fn a_submission_that_may_be_accepted_is_not_reported_as_refused() {
    let refusal = Reply::NotAccepted {
        retry_after_ms: 700,
    };
    let replies = vec![None, Some(refusal.clone()), Some(refusal)];
    let (answer, received) = submit_to(LATE, replies);
    assert_eq!(answer, Err(Unanswered::MayHaveTakenEffect));
    assert_eq!(received, 2, "an overloaded placer is not asked again");
}

/// Guards against a caller who is told that there is no such queue although an earlier attempt may
/// have been accepted: the queue was removed before the call was repeated.
#[test]
fn a_submission_that_may_be_accepted_is_not_reported_as_unknown() {
    let replies = vec![None, Some(Reply::NoSuchQueue), Some(Reply::NoSuchQueue)];
    let (answer, received) = submit_to(REMOVED, replies);
    assert_eq!(answer, Err(Unanswered::MayHaveTakenEffect));
    assert_eq!(received, 2, "a removed queue does not return");
    let (answer, _) = submit_to(UNKNOWN, vec![Some(Reply::NoSuchQueue)]);
    assert_eq!(answer, Ok(Reply::NoSuchQueue));
}

/// Guards against hosts that all search for a lost placer every 40 ms until their deadlines: these
/// calls kept the next placer of a large cell busy.
#[test]
fn searches_for_a_lost_placer_back_off() {
    const MAX_CALLS: usize = 30;
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
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
    let received = received.load(Ordering::Acquire);
    assert!(received <= MAX_CALLS, "{received} calls in 3 s");
}

/// Guards against hosts that retry at the same moments, and against a pause that keeps callers
/// waiting after a change of the leader.
#[test]
fn retry_pauses_grow_and_are_jittered() {
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
    let first_six: Duration = (0..6).map(|retries| pause(retries, 1.0)).sum();
    assert_eq!(first_six, first * 6);
    assert_eq!(pause(39, 1.0), longest);
}

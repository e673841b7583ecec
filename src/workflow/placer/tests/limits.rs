//! Calls of callers in flight.

use crossbeam::channel::unbounded;

use super::super::CallResponder;
use super::super::call_limits::{CallLimits, MAX_CALLS, MAX_CALLS_PER_HOST};
use super::super::term::Term;
use super::fixture::*;
use crate::workflow::calls::{Call, Reply};

/// Guards against one host that takes all places, against calls without bound from many hosts, and
/// against places that are not given back.
#[test]
fn calls_in_flight_are_bounded() {
    let limits = CallLimits::default();
    let enter_all = |host: &str| {
        let host = host.to_owned();
        std::iter::from_fn(|| limits.acquire(&host)).collect::<Vec<_>>()
    };
    for _ in 0..3 {
        let of_one = enter_all("10.0.0.1");
        assert_eq!(of_one.len(), MAX_CALLS_PER_HOST);
        let of_another = enter_all("10.0.0.2");
        assert_eq!(of_another.len(), MAX_CALLS_PER_HOST);
        let mut of_all = of_one.len() + of_another.len();
        let others: Vec<_> = (3..100)
            .map(|number| enter_all(&format!("10.0.0.{number}")))
            .collect();
        of_all += others.iter().map(Vec::len).sum::<usize>();
        assert_eq!(of_all, MAX_CALLS);
    }
}

/// Guards against places that are held until the end of a term by calls that were answered, and
/// places that are lost when a term ends.
#[test]
fn a_call_slot_is_released_with_the_reply() {
    let limits = CallLimits::default();
    let host = "10.0.0.1".to_owned();
    let mut fixture = Fixture::new();
    let (sender, replies) = unbounded();
    let fill = |term: &mut Term, now| {
        let mut taken = 0;
        while let Some(slot) = limits.acquire(&host) {
            let sender = sender.clone();
            let responder = CallResponder::new(move |reply| sender.send(reply).unwrap());
            let call = Call::ReplaceQueues(Box::new(configuration(4)));
            term.handle_call(call, responder.with_slot(slot), now);
            taken += 1;
        }
        taken
    };
    let now = fixture.now;
    assert_eq!(fill(&mut fixture.term, now), MAX_CALLS_PER_HOST);
    fixture.finish_step();
    assert!(limits.acquire(&host).is_none());
    fixture.commit(u64::MAX);
    let confirmed = replies
        .try_iter()
        .filter(|reply| *reply == Some(Reply::QueuesReplaced));
    assert_eq!(confirmed.count(), MAX_CALLS_PER_HOST);
    assert_eq!(fill(&mut fixture.term, now), MAX_CALLS_PER_HOST);
    drop(fixture);
    let unconfirmed = replies
        .try_iter()
        .filter(|reply| *reply == Some(Reply::Unconfirmed));
    assert_eq!(unconfirmed.count(), MAX_CALLS_PER_HOST);
    assert!(limits.acquire(&host).is_some());
}

//! Tests of the limits on calls in flight.

use crossbeam::channel::unbounded;

use super::super::CallResponder;
use super::super::call_limits::{CallLimits, MAX_CALLS, MAX_CALLS_PER_HOST};
use super::super::term::Term;
use super::fixture::*;
use crate::workflow::calls::{Call, Reply};

/// Guards against one host that uses all slots, against an unbounded number of calls from many
/// hosts, and against slots that are not released.
#[test]
fn calls_in_flight_are_bounded() {
    let limits = CallLimits::default();
    let acquire_all = |host: &str| {
        let host = host.to_owned();
        std::iter::from_fn(|| limits.acquire(&host)).collect::<Vec<_>>()
    };
    for _ in 0..3 {
        let slots_of_one = acquire_all("10.0.0.1");
        assert_eq!(slots_of_one.len(), MAX_CALLS_PER_HOST);
        let slots_of_another = acquire_all("10.0.0.2");
        assert_eq!(slots_of_another.len(), MAX_CALLS_PER_HOST);
        let mut total = slots_of_one.len() + slots_of_another.len();
        let others: Vec<_> = (3..100)
            .map(|number| acquire_all(&format!("10.0.0.{number}")))
            .collect();
        total += others.iter().map(Vec::len).sum::<usize>();
        assert_eq!(total, MAX_CALLS);
    }
}

/// Guards against slots that answered calls hold until the end of the term, and against slots that
/// are not released when a term ends.
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

//! Tests of cancellations that arrive before the submission of their job.

use std::time::Duration;

use super::fixture::*;
use crate::resources::Resources;
use crate::workflow::calls::{Call, Reply};
use crate::workflow::cancellations::{MAX_CANCELLATIONS, MAX_JOB_NAME_BYTES};
use crate::workflow::customers::{Customer, CustomerConfiguration};
use crate::workflow::queues::QueueAddress;
use crate::workflow::state::{JobPhase, WorkflowState};

const KEY: Option<&str> = Some("key-of-acme");
const OTHER_KEY: Option<&str> = Some("key-of-other");

fn cancel(fixture: &mut Fixture, key: Option<&str>, job: &str) -> Reply {
    fixture.reply(key, Call::Cancel(address(job)))
}

fn submit(fixture: &mut Fixture, key: Option<&str>, job: &str) -> Reply {
    fixture.reply(key, submission(job, vec![stage(1)]))
}

/// Returns the term of the next placer, whose state comes from a snapshot.
fn successor(fixture: &Fixture) -> Fixture {
    let snapshot = fixture.term.state.encode();
    let mut successor = Fixture::with_state(WorkflowState::decode(&snapshot).unwrap());
    successor.advance(fixture.now.at - fixture.started_at);
    successor
}

/// Returns a cell with two customers and one worker; the queues at `public` need no key.
fn with_customers(public: Vec<QueueAddress>) -> Fixture {
    let customer = |name: &str, key: Option<&str>| Customer {
        name: name.to_owned(),
        keys: key.into_iter().map(str::to_owned).collect(),
        weight: 1.0,
        cap: Resources::ZERO,
    };
    let customers = vec![customer("acme", KEY), customer("other", OTHER_KEY)];
    let mut state = WorkflowState {
        configuration: Some(configuration(3)),
        ..WorkflowState::default()
    };
    state.customers.configuration = Some(CustomerConfiguration::new(customers, public).unwrap());
    let mut fixture = Fixture::with_state(state);
    fixture.announce("w");
    fixture
}

/// Guards against a job that runs although its cancellation was acknowledged: the submission had
/// waited at an entry host that stood still (review/9).
#[test]
fn a_submission_that_arrives_after_its_cancellation_does_not_run() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    assert_eq!(cancel(&mut fixture, None, JOB), Reply::NoSuchJob);
    assert_eq!(submit(&mut fixture, None, JOB), Reply::NoSuchJob);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 0);
    assert!(fixture.term.state.jobs.is_empty());
}

/// Guards against a cancellation that is acknowledged and lost with the placer: the reply left before
/// a majority had the record.
#[test]
fn a_cancellation_of_an_unknown_job_is_acknowledged_after_its_commit_only() {
    let mut fixture = Fixture::new();
    let before = fixture.replies;
    fixture.call(Call::Cancel(address(JOB)));
    let cancelled = fixture.finish_step().expect("a record");
    assert_eq!(fixture.replies, before);
    fixture.commit(cancelled);
    assert_eq!(fixture.replies, before + 1);
}

/// Guards against a cancellation that the next placer does not know, also after a snapshot, and
/// against one that is kept for ever.
#[test]
fn a_cancellation_outlives_its_placer_for_the_retention_time() {
    let mut fixture = Fixture::new();
    cancel(&mut fixture, None, JOB);
    fixture.advance(settings().retention - Duration::from_secs(1));
    let mut successor = successor(&fixture);
    let tick = |fixture: &mut Fixture| {
        // Jobs and cancellations are forgotten once in 100 ticks.
        for _ in 0..100 {
            fixture.term.tick(fixture.now);
        }
        fixture.commit_all();
    };
    tick(&mut successor);
    assert_eq!(submit(&mut successor, None, JOB), Reply::NoSuchJob);
    successor.advance(Duration::from_secs(2));
    tick(&mut successor);
    assert!(successor.term.state.early_cancellations.is_empty());
    assert_eq!(submit(&mut successor, None, JOB), Reply::Accepted);
}

/// Guards against customers who cancel or probe the jobs of others by their identifiers.
#[test]
fn a_cancellation_has_no_effect_on_jobs_of_other_customers() {
    let mut fixture = with_customers(Vec::new());
    assert_eq!(cancel(&mut fixture, OTHER_KEY, JOB), Reply::NoSuchJob);
    assert_eq!(submit(&mut fixture, KEY, JOB), Reply::Accepted);
    let second = "00c0ffee00000002";
    assert_eq!(cancel(&mut fixture, KEY, second), Reply::NoSuchJob);
    assert_eq!(cancel(&mut fixture, OTHER_KEY, second), Reply::NoSuchJob);
    assert_eq!(submit(&mut fixture, KEY, second), Reply::NoSuchJob);
    let third = "00c0ffee00000003";
    assert_eq!(cancel(&mut fixture, None, third), Reply::UnknownKey);
    assert_eq!(submit(&mut fixture, KEY, third), Reply::Accepted);
}

/// Guards against a cancellation in a public queue that is acknowledged and stops nothing: calls there
/// may cancel jobs without a customer, and calls without a key those that were submitted with one.
#[test]
fn a_cancellation_in_a_public_queue_stops_what_it_could_have_cancelled() {
    let mut fixture = with_customers(vec![queue().address]);
    let (first, second) = (JOB, "00c0ffee00000002");
    assert_eq!(cancel(&mut fixture, None, first), Reply::NoSuchJob);
    assert_eq!(submit(&mut fixture, KEY, first), Reply::NoSuchJob);
    assert_eq!(cancel(&mut fixture, KEY, second), Reply::NoSuchJob);
    assert_eq!(submit(&mut fixture, None, second), Reply::NoSuchJob);
    assert_eq!(submit(&mut fixture, OTHER_KEY, second), Reply::Accepted);
}

/// Guards against an open job that is forgotten together with the cancellation of another customer
/// under the same identifier.
#[test]
fn a_job_stays_when_a_cancellation_of_its_identifier_is_forgotten() {
    let mut fixture = with_customers(Vec::new());
    cancel(&mut fixture, OTHER_KEY, JOB);
    submit(&mut fixture, KEY, JOB);
    fixture.advance(settings().retention + Duration::from_secs(1));
    for _ in 0..100 {
        fixture.term.tick(fixture.now);
    }
    fixture.commit_all();
    assert_ne!(fixture.phase(), JobPhase::Cancelled);
    assert!(fixture.term.state.jobs[JOB].is_open());
}

/// Guards against memory that grows with cancellations of invented identifiers, against a crowd that
/// leaves no room to others, and against an acknowledgement that nothing stands behind.
#[test]
fn a_crowd_of_cancellations_is_refused_and_leaves_room_to_other_customers() {
    let mut fixture = with_customers(Vec::new());
    let mut refused = 0;
    for number in 0..MAX_CANCELLATIONS {
        match cancel(&mut fixture, OTHER_KEY, &format!("{number:016x}")) {
            Reply::NoSuchJob => {}
            Reply::Busy { retry_after_ms } => {
                assert_eq!(retry_after_ms, 120_000, "the retention of the first one");
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(refused, MAX_CANCELLATIONS / 2);
    let kept = fixture.term.state.early_cancellations.len();
    assert_eq!(kept, MAX_CANCELLATIONS / 2);
    // One that is kept can be repeated.
    let first = format!("{:016x}", 0);
    assert_eq!(cancel(&mut fixture, OTHER_KEY, &first), Reply::NoSuchJob);
    assert_eq!(cancel(&mut fixture, KEY, JOB), Reply::NoSuchJob);
    assert_eq!(submit(&mut fixture, KEY, JOB), Reply::NoSuchJob);
}

/// Guards against cancellations of names of any length that fill the memory: no job can have such a
/// name.
#[test]
fn names_that_no_job_can_have_are_not_kept() {
    let mut fixture = Fixture::new();
    let long = "c".repeat(MAX_JOB_NAME_BYTES + 1);
    for name in ["", "a/b", "a.b", &long] {
        assert_eq!(cancel(&mut fixture, None, name), Reply::NoSuchJob);
        let submitted = submit(&mut fixture, None, name);
        assert!(matches!(submitted, Reply::Invalid(_)), "{submitted:?}");
    }
    assert!(fixture.term.state.early_cancellations.is_empty());
    let longest = "c".repeat(MAX_JOB_NAME_BYTES);
    assert_eq!(submit(&mut fixture, None, &longest), Reply::Accepted);
}

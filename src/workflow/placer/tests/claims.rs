//! Tests of heartbeats that contradict what is known of a worker.

use std::time::Duration;

use super::capacity::{send_starts, with_relay};
use super::fixture::*;
use crate::workflow::calls::{CallFailure, OrderOutcome};
use crate::workflow::workers::WorkerHeartbeat;

const STEP: Duration = Duration::from_millis(100);

/// Heartbeat of another writer with the address of the worker `w`.
fn foreign(id: &str, incarnation: u64) -> WorkerHeartbeat {
    let mut foreign = heartbeat(id, incarnation, 1);
    foreign.record.address = "w:80".to_owned();
    foreign.record.service = "telemetry".to_owned();
    foreign
}

pub(super) fn run_number(fixture: &Fixture) -> Option<u32> {
    fixture.term.runs.get(&task(0)).map(|run| run.run)
}

/// Runs a tick and a pass, which would start a lost run again.
pub(super) fn step(fixture: &mut Fixture) {
    fixture.advance(STEP);
    fixture.term.tick(fixture.now);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
}

/// Guards against a second run beside the first one: a heartbeat of another writer with the address
/// of a sound worker ended the worker's runs.
#[test]
fn a_foreign_heartbeat_with_the_address_of_a_worker_ends_no_run() {
    let mut fixture = Fixture::running_on_w();
    fixture.announce("v");
    fixture
        .term
        .handle_heartbeat(foreign("agent", 5), fixture.now);
    for _ in 0..100 {
        fixture.fail_to_answer("agent", &CallFailure::OtherIncarnation);
        step(&mut fixture);
        fixture.report("w", vec![listed(0, 1)], vec![]);
    }
    assert_eq!(run_number(&fixture), Some(1));
    assert_eq!(fixture.starts(), 0);
    let mut draining = heartbeat("w", 1, 5);
    draining.record.draining = true;
    fixture.term.handle_heartbeat(draining, fixture.now);
    assert!(fixture.term.workers["w"].record.draining);
}

/// Guards against the same fault by a heartbeat under the identifier of the worker, and against a
/// worker that is not used any more after it.
#[test]
fn a_foreign_heartbeat_under_the_identifier_of_a_worker_ends_no_run() {
    for address in ["w:80", "elsewhere:80"] {
        let mut fixture = Fixture::running_on_w();
        let mut foreign = foreign("w", 5);
        foreign.record.address = address.to_owned();
        fixture.term.handle_heartbeat(foreign, fixture.now);
        step(&mut fixture);
        fixture.report("w", vec![listed(0, 1)], vec![]);
        assert_eq!(run_number(&fixture), Some(1), "{address}");
        assert!(fixture.term.workers["w"].claim.is_none(), "{address}");
        fixture.submit_as("00c0ffee00000002", vec![stage(1)]);
        fixture.commit_all();
        assert_eq!(fixture.orders[0].worker, "w", "{address}");
        let mut draining = heartbeat("w", 1, 2);
        draining.record.draining = true;
        fixture.term.handle_heartbeat(draining, fixture.now);
        assert!(fixture.term.workers["w"].record.draining, "{address}");
    }
}

/// Guards against runs of a restarted worker that are never started again, or only after its lease,
/// because its heartbeat is not trusted: its answer and its heartbeat come in either order.
#[test]
fn runs_of_a_restarted_worker_are_started_again() {
    let answers_first = |fixture: &mut Fixture| {
        fixture.restart("w");
    };
    let announces_first = |fixture: &mut Fixture| {
        let now = fixture.now;
        fixture.term.handle_heartbeat(heartbeat("w", 2, 1), now);
        assert_eq!(run_number(fixture), Some(1));
        fixture.fail_to_answer("w", &CallFailure::OtherIncarnation);
    };
    for restart in [answers_first, announces_first] {
        let mut fixture = Fixture::running_on_w();
        restart(&mut fixture);
        assert_eq!(fixture.term.workers["w"].record.incarnation, 2);
        fixture.report("w", vec![], vec![]);
        step(&mut fixture);
        assert_eq!(run_number(&fixture), Some(2));
    }
}

/// Guards against a restarted worker that is never used again when nothing answers at its former
/// place.
#[test]
fn a_worker_that_restarts_elsewhere_is_used_after_its_lease() {
    let mut fixture = Fixture::running_on_w();
    let mut elsewhere = heartbeat("w", 2, 1);
    elsewhere.record.address = "elsewhere:80".to_owned();
    for sequence in 1..200 {
        elsewhere.sequence = sequence;
        let now = fixture.now;
        fixture.term.handle_heartbeat(elsewhere.clone(), now);
        if fixture.term.workers["w"].record.incarnation == 1 {
            fixture.fail_to_answer("w", &CallFailure::PortClosed);
        }
        step(&mut fixture);
    }
    assert_eq!(fixture.term.workers["w"].record.address, "elsewhere:80");
    fixture.report("w", vec![], vec![]);
    step(&mut fixture);
    assert_eq!(run_number(&fixture), Some(2));
}

/// Guards against runs that wait for a lease although another worker has taken the place of theirs.
#[test]
fn a_successor_at_the_same_address_ends_the_runs_once_it_answers() {
    let mut fixture = Fixture::running_on_w();
    let mut successor = heartbeat("next", 2, 1);
    successor.record.address = "w:80".to_owned();
    fixture.term.handle_heartbeat(successor, fixture.now);
    assert_eq!(run_number(&fixture), Some(1));
    fixture.report("next", vec![], vec![]);
    assert!(!fixture.term.workers.contains_key("w"));
    step(&mut fixture);
    assert_eq!(run_number(&fixture), Some(2));
    assert_eq!(fixture.orders[0].worker, "next");
}

/// Guards against an idle worker that is lost to the cell after a foreign heartbeat: nobody has
/// heard of its present incarnation, and its own heartbeats count as late.
#[test]
fn an_idle_worker_returns_after_a_foreign_heartbeat() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.term.handle_heartbeat(foreign("w", 5), fixture.now);
    fixture.fail_to_answer("w", &CallFailure::OtherIncarnation);
    fixture
        .term
        .handle_heartbeat(heartbeat("w", 1, 2), fixture.now);
    fixture.report("w", vec![], vec![]);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(fixture.orders[0].worker, "w");
}

/// Guards against a worker that is called where another writer says it is: its lease would expire.
#[test]
fn a_worker_does_not_move_without_a_restart() {
    let mut fixture = Fixture::running_on_w();
    let mut moved = heartbeat("w", 1, 90);
    moved.record.address = "elsewhere:80".to_owned();
    fixture.term.handle_heartbeat(moved, fixture.now);
    assert_eq!(fixture.term.workers["w"].record.address, "w:80");
    let mut draining = heartbeat("w", 1, 2);
    draining.record.draining = true;
    fixture.term.handle_heartbeat(draining, fixture.now);
    assert!(fixture.term.workers["w"].record.draining);
}

/// Guards against a start order that the next incarnation of a worker carries out, while the run
/// counts as lost with the former one.
#[test]
fn a_worker_that_may_have_restarted_receives_no_start_order() {
    let mut fixture = with_relay();
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture), [(0, 1)]);
    fixture.answer_starts(OrderOutcome::Done);
    fixture.report("w", vec![listed(0, 1)], vec![]);
    fixture.submit_as("00c0ffee00000002", vec![stage(1)]);
    fixture.commit_all();
    let now = fixture.now;
    fixture.term.handle_heartbeat(heartbeat("w", 2, 1), now);
    assert_eq!(send_starts(&mut fixture), []);
    fixture.submit_as("00c0ffee00000003", vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture), []);
    step(&mut fixture);
    fixture.report("w", vec![listed(0, 1)], vec![]);
    step(&mut fixture);
    assert_eq!(send_starts(&mut fixture).len(), 2);
}

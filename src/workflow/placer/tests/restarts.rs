//! Tests of workers that start again under their identifiers while calls for their former
//! incarnation are in flight.

use std::time::{Duration, Instant};

use super::fixture::*;
use crate::workflow::calls::{CallFailure, OrderOutcome};

const STEP: Duration = Duration::from_millis(100);
const MAX_LEASE: Duration = Duration::from_secs(10);

fn no_answer() -> CallFailure {
    CallFailure::NoAnswer("a simulated cut".to_owned())
}

fn run_number(fixture: &Fixture) -> Option<u32> {
    fixture.term.runs.get(&task(0)).map(|run| run.run)
}

/// Lets the term last for longer than any lease of an earlier placer.
fn pass_leases_of_earlier_placers(fixture: &mut Fixture) {
    fixture.advance(3 * MAX_LEASE);
    fixture.report("w", vec![listed(0, 1)], vec![]);
}

/// Runs a tick and a pass, which would start a lost run again.
fn step(fixture: &mut Fixture) {
    fixture.advance(STEP);
    fixture.term.tick(fixture.now);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
}

/// Lets a worker be silent until a time and checks that its run stays as it is.
fn expect_run_until(fixture: &mut Fixture, worker: &str, run: u32, until: Instant) {
    while fixture.now.at < until {
        assert_eq!(run_number(fixture), Some(run));
        fixture.fail_to_answer(worker, &no_answer());
        step(fixture);
    }
}

/// Lets a worker be silent for three seconds, after which its run must have been placed again.
fn expect_next_run(fixture: &mut Fixture, worker: &str, run: u32) {
    for _ in 0..30 {
        fixture.fail_to_answer(worker, &no_answer());
        step(fixture);
    }
    assert_eq!(run_number(fixture), Some(run + 1));
}

/// Guards against two runs of a task at once: the next incarnation of a worker carried out a renewal
/// for the former one, and was cut off after a run had started there.
#[test]
fn a_renewal_for_the_former_incarnation_does_not_start_its_tasks_twice() {
    let mut fixture = Fixture::running_on_w();
    pass_leases_of_earlier_placers(&mut fixture);
    fixture.restart("w");
    fixture.report("w", vec![], vec![]);
    let first_answer_at = fixture.now.at;
    step(&mut fixture);
    fixture.answer_starts(OrderOutcome::Done);
    fixture.report("w", vec![listed(0, 2)], vec![]);
    fixture.announce("v");
    assert_eq!(fixture.term.runs[&task(0)].worker, "w");
    expect_run_until(&mut fixture, "w", 2, first_answer_at + MAX_LEASE);
    expect_next_run(&mut fixture, "w", 2);
}

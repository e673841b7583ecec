//! Tests of open start orders with permits on workers that restart twice, young workers, and policies
//! whose permits are accepted for longer than the configuration of the job says.

use std::time::Duration;

use super::claims::{run_number, step};
use super::fixture::*;
use super::permits::{
    RELAYING_TIME, add_other, answer_start, expect_second_run_after, permit_until,
    with_start_in_flight, with_start_in_flight_of,
};
use super::restarts::{LATE_LEASE, MAX_LEASE, expect_run_until, no_answer};
use crate::workflow::calls::{CallFailure, OrderAnswer, OrderOutcome, WorkerReport};
use crate::workflow::relay::messages::{RelayEvent, RelayEventKind};

/// Time for which the policy of a test lets its permits be accepted.
const LONG_VALIDITY: Duration = Duration::from_secs(24);

/// Lets the worker `w` be silent from now on, and returns after which time its task is placed again.
fn wait_when_cut_off(fixture: &mut Fixture) -> Duration {
    let cut_at = fixture.now.at;
    while run_number(fixture) != Some(2) {
        fixture.fail_to_answer("w", &no_answer());
        step(fixture);
        assert!(fixture.now.at < cut_at + 3 * MAX_LEASE);
    }
    fixture.now.at - cut_at
}

/// Gives the worker `w` a clock that started some time ago.
fn set_age(fixture: &mut Fixture, age: Duration) {
    let age_ms = age.as_millis() as u64;
    let live = &mut fixture.term.workers["w"];
    live.clock.as_mut().unwrap().clock_ms = age_ms;
    live.granted_until_clock_ms = age_ms + LEASE.as_millis() as u64;
    live.unknown_until_clock_ms = 0;
}

/// Guards against tasks that wait for the longest lease although the known incarnation of a young worker
/// has listed them, and against an answer that counts although the next one may have given it.
#[test]
fn a_list_ends_the_longer_wait_for_a_young_worker() {
    for (age_ms, is_listed) in [
        (3_000, false),
        (3_000, true),
        (7_400, false),
        (9_000, false),
    ] {
        let mut fixture = with_start_in_flight();
        set_age(&mut fixture, Duration::from_millis(age_ms));
        answer_start(&mut fixture, age_ms + 20);
        add_other(&mut fixture);
        if is_listed {
            let now = fixture.now;
            let report = WorkerReport {
                incarnation: 1,
                clock_ms: age_ms + 100,
                running: vec![listed(0, 1)],
                ends: vec![],
                complete: true,
            };
            fixture
                .term
                .handle_report(&"w".to_owned(), now.at, &report, now);
        }
        let waited = wait_when_cut_off(&mut fixture);
        eprintln!(
            "age {age_ms} ms, listed {is_listed}: {} ms",
            waited.as_millis()
        );
        let waits_long = age_ms < 7_500 && !is_listed;
        assert_eq!(waited > MAX_LEASE, waits_long, "age {age_ms} ms");
    }
}

/// Lets the policy answer that its permits are valid for [`LONG_VALIDITY`].
fn state_long_validity(fixture: &mut Fixture) {
    permit_until(fixture, "w", fixture.now.at + LONG_VALIDITY);
}

/// Guards against two runs of a task at once: the policy answers that its permits are valid for longer
/// than the configuration says.
#[test]
fn a_validity_that_the_policy_states_counts_for_its_permits() {
    let mut fixture = with_start_in_flight_of(state_long_validity);
    let sent_at = fixture.now.at;
    add_other(&mut fixture);
    expect_second_run_after(&mut fixture, sent_at + RELAYING_TIME + LATE_LEASE);
}

/// Guards against the same after a change of the placer, which has not asked the policy yet.
#[test]
fn a_validity_that_the_policy_stated_to_a_former_placer_counts() {
    let former = with_start_in_flight_of(state_long_validity);
    let mut fixture = Fixture::with_state(former.term.state);
    let began_at = fixture.now.at;
    add_other(&mut fixture);
    expect_second_run_after(&mut fixture, began_at + RELAYING_TIME + LATE_LEASE);
}

/// Guards against two runs of a task at once: the validity was raised after the job had been accepted,
/// so that the policy issues permits that are accepted for longer.
#[test]
fn a_validity_that_was_raised_after_the_acceptance_of_a_job_counts() {
    let mut fixture = with_start_in_flight_of(|fixture| {
        let configuration = fixture.term.state.configuration.as_mut().unwrap();
        let policy = configuration.queues[0].placement_policy.as_mut();
        policy.unwrap().validity_ms = LONG_VALIDITY.as_millis() as u64;
    });
    let sent_at = fixture.now.at;
    add_other(&mut fixture);
    expect_second_run_after(&mut fixture, sent_at + RELAYING_TIME + LATE_LEASE);
}

/// Guards against a task with a permit that waits although the known incarnation has confirmed the stop
/// and does not list the run: it was at work after the permit had been issued, so that no later one has
/// that permit. Without a permit, the same case is in KNOWN-RED.txt.
#[test]
fn a_task_with_a_permit_starts_elsewhere_once_the_known_incarnation_does_not_run_it() {
    let mut fixture = with_start_in_flight();
    add_other(&mut fixture);
    let (relay, now) = (fixture.relay(), fixture.now);
    let clock_ms = Some(fixture.clock_ms());
    for kind in [
        RelayEventKind::StartUnanswered {
            task: task(0),
            run: 1,
            may_have_arrived: true,
        },
        RelayEventKind::StopAnswered {
            task: task(0),
            run: 1,
            answer: OrderAnswer {
                outcome: OrderOutcome::Done,
                clock_ms,
            },
        },
    ] {
        let event = RelayEvent {
            worker: "w".to_owned(),
            incarnation: 1,
            kind,
        };
        fixture.term.handle_relay_event(&relay, event, now);
    }
    for _ in 0..3 {
        step(&mut fixture);
        assert_eq!(run_number(&fixture), Some(1));
    }
    fixture.report("w", vec![], vec![]);
    assert!(fixture.term.runs.is_empty());
    step(&mut fixture);
    assert_eq!(run_number(&fixture), Some(2));
}

/// Restarts the worker `w` as incarnation 2, which ends before its first answer.
fn restart_twice(fixture: &mut Fixture) {
    fixture.restart("w");
    assert_eq!(fixture.term.workers["w"].record.incarnation, 2);
    fixture.fail_to_answer("w", &CallFailure::OtherIncarnation);
}

/// Guards against two runs of a task at once: a worker restarted twice, the permit was issued for its
/// third incarnation, and the placer knows the second one, which has ended.
#[test]
fn a_permitted_start_counts_for_an_incarnation_two_restarts_later() {
    for is_claimed in [false, true] {
        let mut fixture = with_start_in_flight();
        let sent_at = fixture.now.at;
        add_other(&mut fixture);
        restart_twice(&mut fixture);
        if is_claimed {
            let now = fixture.now;
            fixture.term.handle_heartbeat(heartbeat("w", 3, 1), now);
        }
        fixture.commit_all();
        expect_run_until(&mut fixture, "w", 1, sent_at + LATE_LEASE);
    }
}

/// Creates a term with a start order in flight on a worker whose third incarnation has announced itself.
fn with_third_incarnation() -> Fixture {
    let mut fixture = with_start_in_flight();
    add_other(&mut fixture);
    restart_twice(&mut fixture);
    let now = fixture.now;
    fixture.term.handle_heartbeat(heartbeat("w", 3, 1), now);
    fixture.commit_all();
    fixture
}

/// Guards against the same, where the third incarnation answers, and against a run that is given up.
#[test]
fn a_run_that_the_third_incarnation_lists_goes_on() {
    let mut fixture = with_third_incarnation();
    assert_eq!(fixture.term.workers["w"].record.incarnation, 3);
    for _ in 0..200 {
        step(&mut fixture);
        fixture.report("w", vec![listed(0, 1)], vec![]);
        assert_eq!(run_number(&fixture), Some(1));
    }
}

/// Guards against work that is lost: none of the three incarnations runs the task.
#[test]
fn a_task_that_the_third_incarnation_does_not_list_is_placed_again() {
    let mut fixture = with_third_incarnation();
    fixture.report("w", vec![], vec![]);
    step(&mut fixture);
    assert_eq!(run_number(&fixture), Some(2));
}

//! Tests of start orders with permits. The policy issues a permit for the incarnation of a worker that
//! it finds, which may be a later one than the placer knows.

use std::time::{Duration, Instant};

use super::capacity::{contact, gang, send_starts};
use super::claims::step;
use super::fixture::*;
use super::restarts::{
    LATE_LEASE, MAX_LEASE, expect_next_run, expect_run_until, expect_second_run_after_departure,
    no_answer,
};
use crate::workflow::calls::{OrderOutcome, WorkerReport};
use crate::workflow::decisions::leases::ClockReading;
use crate::workflow::spec::StageSpec;

/// Time for which a worker accepts a permit.
const VALIDITY: Duration = Duration::from_secs(2);
/// Time within which a relay sends a start order of the placer.
pub(super) const RELAYING_TIME: Duration = Duration::from_millis(2_200);

/// Gives a worker a permit for the job that does not expire in the test.
pub(super) fn permit(fixture: &mut Fixture, worker: &str) {
    permit_until(fixture, worker, fixture.now.at + Duration::from_secs(1_000));
}

/// Gives a worker a permit for the job.
pub(super) fn permit_until(fixture: &mut Fixture, worker: &str, expires_at: Instant) {
    let stage = &mut fixture.term.stages[&task(0).stage];
    let worker = worker.to_owned();
    let granted = [(worker.clone(), "permit".to_owned())];
    stage.permits.record(&[worker], &granted, expires_at);
}

/// Creates a term with a stage whose start orders were sent to the worker `w` with permits.
fn with_starts_in_flight(spec: StageSpec) -> Fixture {
    with_changed_start_in_flight(spec, |_| ())
}

/// Like [`with_starts_in_flight`], with a change before the placement.
fn with_changed_start_in_flight(spec: StageSpec, change: impl Fn(&mut Fixture)) -> Fixture {
    let tasks = spec.task_count;
    let mut fixture = Fixture::with_policy(10.0, 0.1);
    fixture.announce("w");
    contact(&mut fixture, "entry-1", false);
    fixture.term.assign_relays(fixture.now.at);
    fixture.advance(3 * MAX_LEASE);
    fixture.report("w", vec![], vec![]);
    fixture.submit_without_pass(JOB, vec![spec]);
    fixture.commit_all();
    permit(&mut fixture, "w");
    change(&mut fixture);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture).len(), tasks as usize);
    fixture
}

pub(super) fn with_start_in_flight() -> Fixture {
    with_starts_in_flight(stage(1))
}

/// Creates a term with one start order in flight, with a change before its placement.
pub(super) fn with_start_in_flight_of(change: impl Fn(&mut Fixture)) -> Fixture {
    with_changed_start_in_flight(stage(1), change)
}

/// Adds a worker on which the task may run.
pub(super) fn add_other(fixture: &mut Fixture) {
    fixture.announce("v");
    permit(fixture, "v");
}

pub(super) fn expect_second_run_after(fixture: &mut Fixture, until: Instant) {
    expect_run_until(fixture, "w", 1, until);
    expect_next_run(fixture, "w", 1);
}

/// Lets the relay report that the worker `w` has carried out the start order of its run.
pub(super) fn answer_start(fixture: &mut Fixture, clock_ms: u64) {
    let answer = (OrderOutcome::Done, clock_ms);
    fixture.report_start_answer(&fixture.relay(), answer, false);
}

/// Guards against two runs of a task at once: the permit was issued for an incarnation that the placer
/// did not know. It held the run for the longest lease, which a renewal for the known incarnation
/// lengthened, while the placer counted neither.
#[test]
fn a_permitted_start_without_an_answer_allows_for_late_renewals() {
    let mut fixture = with_start_in_flight();
    let sent_at = fixture.now.at;
    add_other(&mut fixture);
    expect_second_run_after(&mut fixture, sent_at + LATE_LEASE);
}

/// Guards against tasks that wait for longer than a lease although the known incarnation has shown that
/// the permit is for it or for an earlier one.
#[test]
fn a_permitted_start_counts_for_the_lease_once_the_known_incarnation_was_at_work() {
    let answered = |fixture: &mut Fixture| {
        answer_start(fixture, fixture.clock_ms());
    };
    let listed = |fixture: &mut Fixture| fixture.report("w", vec![listed(0, 1)], vec![]);
    let listed_without_the_run = |fixture: &mut Fixture| {
        fixture.advance(Duration::from_millis(20));
        fixture.report("w", vec![], vec![]);
    };
    type Evidence = fn(&mut Fixture);
    let cases: [Evidence; 3] = [answered, listed, listed_without_the_run];
    for (number, show) in cases.into_iter().enumerate() {
        let mut fixture = with_start_in_flight();
        show(&mut fixture);
        let shown_at = fixture.now.at;
        add_other(&mut fixture);
        expect_run_until(
            &mut fixture,
            "w",
            1,
            shown_at + LEASE - Duration::from_millis(100),
        );
        expect_next_run(&mut fixture, "w", 1);
        assert!(fixture.now.at < shown_at + MAX_LEASE, "case {number}");
    }
}

/// Guards against two runs of a task at once: a list that was asked for before the permit was issued
/// says nothing of the incarnation that the permit is for.
#[test]
fn a_list_from_before_the_permit_does_not_shorten_the_wait() {
    let mut fixture = with_start_in_flight();
    let sent_at = fixture.now.at;
    let asked_at = sent_at - Duration::from_millis(500);
    let report = WorkerReport {
        incarnation: 1,
        clock_ms: fixture.clock_ms(),
        running: vec![],
        ends: vec![],
        complete: true,
    };
    let now = fixture.now;
    fixture
        .term
        .handle_report(&"w".to_owned(), asked_at, &report, now);
    add_other(&mut fixture);
    expect_second_run_after(&mut fixture, sent_at + LATE_LEASE);
}

/// Guards against two runs of a task at once: an answer soon after the start of a worker may come from
/// its next incarnation, whose clock is nearly the same.
#[test]
fn an_answer_soon_after_the_start_of_a_worker_does_not_shorten_the_wait() {
    let mut fixture = with_start_in_flight();
    let sent_at = fixture.now.at;
    let live = &mut fixture.term.workers["w"];
    live.clock.as_mut().unwrap().clock_ms = 3_000;
    live.granted_until_clock_ms = 3_000 + LEASE.as_millis() as u64;
    live.unknown_until_clock_ms = 0;
    answer_start(&mut fixture, 1_000);
    add_other(&mut fixture);
    expect_second_run_after(&mut fixture, sent_at + LATE_LEASE);
}

/// Guards against the same with two old readings of clocks that drift.
#[test]
fn readings_tell_incarnations_apart_only_where_no_later_one_can_agree() {
    let taken_at = Instant::now();
    let answer_age_ms = 2_500;
    for clock_ms in (500..20_000).step_by(250) {
        let reading = ClockReading {
            clock_ms,
            received_at: taken_at + Duration::from_millis(answer_age_ms),
        };
        if !reading.tells_incarnations_apart() {
            continue;
        }
        for elapsed_ms in (0..60_000).step_by(500) {
            let now = reading.received_at + Duration::from_millis(elapsed_ms);
            // The worker restarted right after the reading was taken.
            let next_clock_ms = answer_age_ms + elapsed_ms;
            assert!(!reading.agrees_with(next_clock_ms, now));
        }
    }
}

/// Guards against two runs of a task at once: the worker is known to have restarted, and a renewal for
/// the former incarnation lengthens the lease of the run.
#[test]
fn a_permitted_start_on_a_restarted_worker_allows_for_late_renewals() {
    let claimed = |fixture: &mut Fixture| {
        let now = fixture.now;
        fixture.term.handle_heartbeat(heartbeat("w", 2, 1), now);
        assert_eq!(fixture.term.workers["w"].record.incarnation, 1);
    };
    let restarted = |fixture: &mut Fixture| fixture.restart("w");
    let answered = |fixture: &mut Fixture| answer_start(fixture, 10);
    type Sign = fn(&mut Fixture);
    let cases: [Sign; 3] = [claimed, restarted, answered];
    for show in cases {
        let mut fixture = with_start_in_flight();
        show(&mut fixture);
        fixture.commit_all();
        add_other(&mut fixture);
        fixture.fail_to_answer("w", &no_answer());
        let silent_from = fixture.now.at;
        expect_second_run_after(&mut fixture, silent_from + LATE_LEASE);
    }
}

/// Guards against two runs of a task at once: the refusal of a later order lengthened the lease of the
/// run that the unknown incarnation had begun with an earlier one.
#[test]
fn the_latest_order_to_a_silent_worker_decides_for_all_its_open_runs() {
    let mut fixture = with_start_in_flight();
    fixture.advance(Duration::from_millis(1_500));
    let later = "00c0ffee00c0fff0";
    fixture.submit_without_pass(later, vec![stage(1)]);
    let mut key = task(0).stage;
    key.job = later.to_owned();
    let (worker, expires_at) = ("w".to_owned(), fixture.now.at + VALIDITY);
    let granted = [(worker.clone(), "permit".to_owned())];
    let permits = &mut fixture.term.stages[&key].permits;
    permits.record(&[worker], &granted, expires_at);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture).len(), 1);
    let sent_at = fixture.now.at;
    add_other(&mut fixture);
    expect_second_run_after(&mut fixture, sent_at + RELAYING_TIME + LATE_LEASE);
}

/// Guards against two runs of a task at once after a change of the placer: the order of the former one
/// was carried out by an incarnation that neither knew.
#[test]
fn a_new_placer_allows_for_permitted_starts_of_the_former_one() {
    let former = with_start_in_flight();
    let mut fixture = Fixture::with_state(former.term.state);
    let began_at = fixture.now.at;
    add_other(&mut fixture);
    expect_second_run_after(&mut fixture, began_at + LATE_LEASE);
}

/// Guards against two runs of a task at once: a worker with such an order in flight announced its
/// departure, and its next incarnation carries the order out.
#[test]
fn a_permitted_start_in_flight_to_a_worker_that_left_is_not_placed_again_at_once() {
    let mut fixture = with_start_in_flight();
    add_other(&mut fixture);
    expect_second_run_after_departure(&mut fixture);
}

/// Guards against a gang of which one member runs twice: it is on a silent worker by such an order.
#[test]
fn a_gang_waits_for_the_permitted_start_of_a_member() {
    let mut fixture = with_starts_in_flight(gang(3));
    let sent_at = fixture.now.at;
    add_other(&mut fixture);
    while fixture.now.at < sent_at + LATE_LEASE {
        for index in 0..3 {
            assert_eq!(fixture.term.runs[&task(index)].run, 1);
        }
        fixture.fail_to_answer("w", &no_answer());
        step(&mut fixture);
    }
}

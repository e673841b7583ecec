//! Tests of workers that start again under their identifiers while calls for their former
//! incarnation are in flight.

use std::time::{Duration, Instant};

use super::super::reports::target;
use super::super::term::RunPhase;
use super::capacity::{send_starts, with_relay};
use super::claims::{run_number, step};
use super::fixture::*;
use crate::workflow::calls::{CallFailure, OrderAnswer, OrderOutcome, WorkerReport};
use crate::workflow::decisions::fencing::fencing_token;
use crate::workflow::records::RunOutcome;
use crate::workflow::state::JobPhase;

pub(super) const MAX_LEASE: Duration = Duration::from_secs(10);
/// Longest time from an order to the end of a lease by it, if it is carried out late.
pub(super) const LATE_LEASE: Duration = Duration::from_secs(12).saturating_add(MAX_LEASE);

pub(super) fn no_answer() -> CallFailure {
    CallFailure::NoAnswer("a simulated cut".to_owned())
}

/// Lets the term last for longer than any lease of an earlier placer.
fn pass_leases_of_earlier_placers(fixture: &mut Fixture) {
    fixture.advance(3 * MAX_LEASE);
    fixture.report("w", vec![listed(0, 1)], vec![]);
}

/// Returns the fencing token of the next call to the worker `w`.
fn token(fixture: &Fixture) -> u64 {
    let target = target(&fixture.term.workers["w"]);
    fencing_token(fixture.term.epoch, target.generation)
}

/// Lets a worker be silent until a time and checks that its run stays as it is.
pub(super) fn expect_run_until(fixture: &mut Fixture, worker: &str, run: u32, until: Instant) {
    while fixture.now.at < until {
        assert_eq!(run_number(fixture), Some(run));
        fixture.fail_to_answer(worker, &no_answer());
        step(fixture);
    }
}

/// Lets a worker be silent for three seconds, after which its run must have been placed again.
pub(super) fn expect_next_run(fixture: &mut Fixture, worker: &str, run: u32) {
    for _ in 0..30 {
        fixture.fail_to_answer(worker, &no_answer());
        step(fixture);
    }
    assert_eq!(run_number(fixture), Some(run + 1));
}

/// Lets the worker `w`, to which a start order has just been sent, leave, and checks that its run is
/// placed again once no late copy of the order can be at work.
pub(super) fn expect_second_run_after_departure(fixture: &mut Fixture) {
    let sent_at = fixture.now.at;
    fixture.term.handle_departure(&"w".to_owned(), sent_at);
    fixture.fail_to_answer("w", &CallFailure::PortClosed);
    expect_run_until(fixture, "w", 1, sent_at + LATE_LEASE);
    for _ in 0..30 {
        step(fixture);
    }
    assert_eq!(run_number(fixture), Some(2));
}

/// Guards against finished work that runs again: the next incarnation of a worker carried out an
/// acknowledgement for the former one and forgot ends that nobody had read.
#[test]
fn a_call_for_a_former_incarnation_has_a_lower_fencing_token() {
    let mut fixture = Fixture::running_on_w();
    let first = token(&fixture);
    fixture.restart("w");
    let second = token(&fixture);
    assert!(second > first);
    fixture.report("w", vec![], vec![]);
    let (id, now) = ("w".to_owned(), fixture.now);
    fixture.term.handle_departure(&id, now.at);
    fixture.fail_to_answer("w", &CallFailure::PortClosed);
    assert!(!fixture.term.workers.contains_key("w"));
    fixture.term.handle_heartbeat(heartbeat("w", 3, 1), now);
    let third = token(&fixture);
    assert!(third > second);
    assert!(fencing_token(fixture.term.epoch + 1, 0) > third);
}

/// Guards against a sound worker that refuses all calls after a heartbeat of another writer: its
/// token must not fall when its own heartbeats count again.
#[test]
fn the_fencing_token_of_a_worker_never_falls() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    let own = token(&fixture);
    let now = fixture.now;
    fixture.term.handle_heartbeat(heartbeat("w", 5, 1), now);
    let foreign = token(&fixture);
    fixture.fail_to_answer("w", &CallFailure::OtherIncarnation);
    fixture.term.handle_heartbeat(heartbeat("w", 1, 2), now);
    assert_eq!(fixture.term.workers["w"].record.incarnation, 1);
    assert!(own < foreign && foreign < token(&fixture));
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

/// Creates a term with a job whose start order was sent to the worker `w`.
fn with_start_in_flight() -> Fixture {
    let mut fixture = with_relay();
    fixture.advance(3 * MAX_LEASE);
    fixture.report("w", vec![], vec![]);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture), [(0, 1)]);
    fixture
}

/// Creates a term with such a job whose worker then restarted.
fn restarted_with_start_in_flight() -> Fixture {
    let mut fixture = with_start_in_flight();
    fixture.restart("w");
    fixture.commit_all();
    fixture
}

/// Guards against work that waits for a restarted worker although no order for it was sent there.
#[test]
fn a_run_without_a_start_order_is_placed_again_at_once() {
    let mut fixture = with_relay();
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    fixture.announce("v");
    fixture.restart("w");
    step(&mut fixture);
    let run = &fixture.term.runs[&task(0)];
    assert_eq!((run.run, run.worker.as_str()), (2, "v"));
}

/// Lets the worker `w` list the end of its run, and checks that it is recorded.
fn expect_recorded_end(fixture: &mut Fixture) {
    let end = listed_end(1, 0, 1, RunOutcome::Succeeded);
    fixture.report("w", vec![], vec![end]);
    assert_eq!(fixture.phase(), JobPhase::Completed);
}

/// Guards against two runs of a task at once: the next incarnation of a worker carried out the start
/// order for the former one, while the run counted as lost and was placed again.
#[test]
fn a_run_that_the_next_incarnation_starts_late_is_not_placed_again() {
    let mut fixture = restarted_with_start_in_flight();
    step(&mut fixture);
    assert_eq!(run_number(&fixture), Some(1));
    fixture.report("w", vec![listed(0, 1)], vec![]);
    step(&mut fixture);
    let run = &fixture.term.runs[&task(0)];
    assert!(matches!(run.phase, RunPhase::Running { .. }));
    assert_eq!((run.run, run.incarnation), (1, 2));
    assert!(fixture.orders.is_empty());
    expect_recorded_end(&mut fixture);
}

/// Guards against finished work that runs again: the late run ended before the first list.
#[test]
fn the_end_of_a_run_that_the_next_incarnation_started_late_counts() {
    let mut fixture = restarted_with_start_in_flight();
    expect_recorded_end(&mut fixture);
}

/// Guards against work that waits for a worker that does not answer after its restart, and against a
/// second run while the first may have been started there late.
#[test]
fn runs_of_a_worker_that_restarts_and_is_silent_end_with_the_longest_lease() {
    let mut fixture = restarted_with_start_in_flight();
    let restarted_at = fixture.now.at;
    fixture.announce("v");
    expect_run_until(&mut fixture, "w", 1, restarted_at + LATE_LEASE);
    expect_next_run(&mut fixture, "w", 1);
}

/// Guards against a job that is given up for crashes of workers on which its task never began: a run
/// of the former incarnation was suspected of the crash of the next one.
#[test]
fn a_run_of_a_former_incarnation_is_not_suspected_of_the_crash_of_the_next_one() {
    let mut fixture = Fixture::running_on_w();
    let crash = |fixture: &mut Fixture| {
        for _ in 0..6 {
            fixture.fail_to_answer("w", &CallFailure::PortClosed);
            step(fixture);
        }
    };
    crash(&mut fixture);
    let crashes = |fixture: &Fixture| fixture.term.state.crashes.history(&task(0)).len();
    assert_eq!(crashes(&fixture), 1);
    for incarnation in 2..6 {
        fixture.fail_to_answer("w", &CallFailure::OtherIncarnation);
        let now = fixture.now;
        let next = heartbeat("w", incarnation, 1);
        fixture.term.handle_heartbeat(next, now);
        assert_eq!(fixture.term.workers["w"].record.incarnation, incarnation);
        crash(&mut fixture);
    }
    assert_eq!(crashes(&fixture), 1);
}

/// Guards against two runs of a task at once after a change of the placer between the restart of a
/// worker and its first answer.
#[test]
fn a_new_placer_waits_for_the_first_list_of_a_restarted_worker() {
    let former = restarted_with_start_in_flight();
    let mut fixture = Fixture::with_state(former.term.state);
    for _ in 0..5 {
        step(&mut fixture);
    }
    assert_eq!(run_number(&fixture), Some(1));
    fixture.report("w", vec![listed(0, 1)], vec![]);
    step(&mut fixture);
    assert_eq!(fixture.term.runs[&task(0)].run, 1);
    assert!(fixture.orders.is_empty());
}

/// Lets the relay report the answer of the worker `w` to the start order of its run.
fn report_start_answer(fixture: &mut Fixture, clock_ms: u64, earlier_attempt_open: bool) {
    let answer = (OrderOutcome::Done, clock_ms);
    fixture.report_start_answer(&fixture.relay(), answer, earlier_attempt_open);
}

/// Guards against two runs of a task at once: a copy of a start order without an answer was carried
/// out by the next incarnation of a worker from which nothing was heard any more. Without such a copy
/// the run must not wait longer than the lease. `permits.rs` has the orders with permits.
#[test]
fn a_start_without_an_answer_on_a_silent_worker_counts_for_the_longest_lease() {
    let unanswered = |_: &mut Fixture| {};
    let listed_only = |fixture: &mut Fixture| fixture.report("w", vec![listed(0, 1)], vec![]);
    let second_attempt =
        |fixture: &mut Fixture| report_start_answer(fixture, fixture.clock_ms(), true);
    let second_order = |fixture: &mut Fixture| {
        fixture.term.runs[&task(0)].starts_sent = 2;
        report_start_answer(fixture, fixture.clock_ms(), false);
    };
    let settled = |fixture: &mut Fixture| report_start_answer(fixture, fixture.clock_ms(), false);
    type Answer = fn(&mut Fixture);
    let cases: [(Answer, bool); 5] = [
        (unanswered, true),
        (listed_only, true),
        (second_attempt, true),
        (second_order, true),
        (settled, false),
    ];
    for (number, (answer, is_open)) in cases.into_iter().enumerate() {
        let mut fixture = with_start_in_flight();
        let sent_at = fixture.now.at;
        answer(&mut fixture);
        fixture.announce("v");
        if is_open {
            expect_run_until(&mut fixture, "w", 1, sent_at + LATE_LEASE);
        } else {
            expect_run_until(&mut fixture, "w", 1, sent_at + LEASE);
        }
        expect_next_run(&mut fixture, "w", 1);
        assert!(
            is_open || fixture.now.at < sent_at + MAX_LEASE,
            "case {number}"
        );
    }
}

/// Guards against two runs of a task at once: the answer of the next incarnation to a start order for
/// the former one confirmed the run, which then ended with the lease of the former one.
#[test]
fn an_answer_with_the_clock_of_another_incarnation_confirms_no_run() {
    for clock_ms in [10, 90_000_000] {
        let mut fixture = with_start_in_flight();
        let sent_at = fixture.now.at;
        report_start_answer(&mut fixture, clock_ms, false);
        fixture.announce("v");
        expect_run_until(&mut fixture, "w", 1, sent_at + LATE_LEASE);
        expect_next_run(&mut fixture, "w", 1);
    }
}

/// Guards against runs that wait much longer than the lease of a silent worker: the answer of the next
/// incarnation to an order for the former one was taken for a reading of the former one's clock.
#[test]
fn a_reading_of_the_next_incarnation_does_not_lengthen_the_lease() {
    let mut fixture = Fixture::running_on_w();
    pass_leases_of_earlier_placers(&mut fixture);
    let (id, now) = ("w".to_owned(), fixture.now);
    let term = &mut fixture.term;
    assert!(!term.is_answer_of_known_incarnation(&id, Some(10), now.at));
    fixture.announce("v");
    expect_run_until(&mut fixture, "w", 1, now.at + LEASE);
    expect_next_run(&mut fixture, "w", 1);
}

/// Handles a report of the worker `w` whose clock was read some time ago.
fn report_late(fixture: &mut Fixture, delay: Duration) {
    let id = "w".to_owned();
    let asked_at = fixture.now.at;
    fixture.term.grant(&id, asked_at);
    let clock_ms = fixture.clock_ms();
    fixture.advance(delay);
    let report = WorkerReport {
        incarnation: 1,
        clock_ms,
        running: vec![],
        ends: vec![],
        complete: true,
    };
    fixture
        .term
        .handle_report(&id, asked_at, &report, fixture.now);
}

/// Guards against leases that stay too short: the first answer of a worker was handled late, as after
/// a pause of the placer or of a relay, and all later readings of its clock were refused.
#[test]
fn a_late_first_answer_does_not_shorten_all_later_leases() {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    fixture.term.handle_heartbeat(heartbeat("w", 1, 1), now);
    report_late(&mut fixture, Duration::from_secs(5));
    for _ in 0..50 {
        fixture.advance(Duration::from_millis(500));
        fixture.report("w", vec![], vec![]);
    }
    let granted = fixture.term.grant_lease(&"w".to_owned(), fixture.now.at);
    let left_ms = granted.unwrap().saturating_sub(fixture.clock_ms());
    assert!(left_ms > 5_000, "the lease lasts for {left_ms} ms");
}

/// Guards against start orders that wait for their time-out: with a clock that was read late once, the
/// refusals of the worker were ignored as those of another incarnation.
#[test]
fn a_refusal_counts_after_a_late_first_answer() {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    fixture.term.handle_heartbeat(heartbeat("w", 1, 1), now);
    report_late(&mut fixture, Duration::from_secs(5));
    fixture.report("w", vec![], vec![]);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    let order = fixture.orders[0].clone();
    let answer = OrderAnswer {
        outcome: OrderOutcome::NoRoom,
        clock_ms: Some(fixture.clock_ms()),
    };
    let now = fixture.now;
    fixture
        .term
        .handle_start_answer(&ordered(&order), answer, now);
    assert_eq!(run_number(&fixture), None);
}

/// Guards against two runs of a task at once: a worker with a start order in flight left and started
/// again under its identifier, where the order was carried out late.
#[test]
fn a_start_in_flight_to_a_worker_that_left_is_not_placed_again_at_once() {
    let mut fixture = with_start_in_flight();
    fixture.announce("v");
    expect_second_run_after_departure(&mut fixture);
}

/// Guards against two runs of a task at once: a start order of the former placer was carried out after
/// the takeover by the next incarnation of a worker that is then cut off.
#[test]
fn a_new_placer_allows_for_late_start_orders_of_the_former_one() {
    let former = with_start_in_flight();
    let mut fixture = Fixture::with_state(former.term.state);
    let began_at = fixture.now.at;
    fixture.announce("v");
    expect_run_until(&mut fixture, "w", 1, began_at + LATE_LEASE);
    expect_next_run(&mut fixture, "w", 1);
}

/// Guards against runs that wait for late start orders of the former placer although the worker has
/// listed them, so that the tasks of a lost worker start elsewhere much later.
#[test]
fn a_run_of_the_former_placer_that_was_listed_ends_with_the_lease() {
    let former = Fixture::running_on_w();
    let mut fixture = Fixture::with_state(former.term.state);
    fixture.report("w", vec![listed(0, 1)], vec![]);
    let answered_at = fixture.now.at;
    fixture.announce("v");
    expect_run_until(&mut fixture, "w", 1, answered_at + MAX_LEASE);
    expect_next_run(&mut fixture, "w", 1);
}

/// Guards against a worker that is forgotten while it may still carry out a start order: its task
/// would start elsewhere beside it.
#[test]
fn a_silent_worker_is_kept_for_as_long_as_a_start_order_may_be_late() {
    let mut fixture = with_start_in_flight();
    fixture.term.settings.late_call_limit = Duration::from_secs(90);
    let sent_at = fixture.now.at;
    fixture.announce("v");
    let late_lease = Duration::from_secs(90) + MAX_LEASE;
    expect_run_until(&mut fixture, "w", 1, sent_at + late_lease);
    for _ in 0..30 {
        step(&mut fixture);
    }
    assert_eq!(run_number(&fixture), Some(2));
}

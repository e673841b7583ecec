//! Tests of runs under lost answers, unreachable workers and changes of the leader.

use std::time::Duration;

use super::super::term::{OrderKind, RunPhase};
use super::fixture::*;
use crate::workflow::calls::{Call, CallFailure, ListedRun, OrderAnswer, OrderOutcome};
use crate::workflow::queues::QueueAddress;
use crate::workflow::records::RunOutcome;
use crate::workflow::state::JobPhase;

/// Guards against orders and replies that are sent before the records they depend on are committed.
#[test]
fn nothing_is_visible_before_its_commit() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    let before = fixture.replies;
    fixture.submit(vec![stage(2)]);
    let sequence = fixture.finish_step().unwrap();
    assert_eq!((fixture.replies, fixture.starts()), (before, 0));
    fixture.commit(sequence);
    assert_eq!((fixture.replies, fixture.starts()), (before + 1, 2));
}

/// Guards against an end that is acknowledged before it is committed: a leader without a majority
/// processed the end of a run and acknowledged it with a later report that had no new ends. The
/// worker dropped the end, and the next leader started the task again.
#[test]
fn ends_are_acknowledged_after_their_commit_only() {
    let mut fixture = Fixture::running_on_w();
    fixture.report(
        "w",
        vec![],
        vec![listed_end(1, 0, 1, RunOutcome::Succeeded)],
    );
    let sequence = fixture.finish_step().unwrap();
    assert_eq!(fixture.phase(), JobPhase::Completed);
    fixture.report(
        "w",
        vec![],
        vec![
            listed_end(1, 0, 1, RunOutcome::Succeeded),
            listed_end(2, 9, 4, RunOutcome::Stopped),
        ],
    );
    assert_eq!(fixture.finish_step(), None);
    assert_eq!(fixture.term.workers["w"].recorded_ends, 0);
    fixture.commit(sequence);
    assert_eq!(fixture.term.workers["w"].recorded_ends, 2);
}

/// Guards against a task that is started again while a lease of an earlier leader may still be
/// valid: the worker answered the new leader once and then became unreachable.
#[test]
fn runs_are_kept_until_leases_of_earlier_leaders_expire() {
    let state = Fixture::running_on_w().term.state;
    let mut fixture = Fixture::with_state(state);
    fixture.report("w", vec![listed(0, 1)], vec![]);
    fixture.fail_to_answer("w", &CallFailure::NoAnswer("cut off".to_owned()));
    fixture.advance(Duration::from_secs(9));
    fixture.term.tick(fixture.now);
    assert!(
        fixture.term.runs.contains_key(&task(0)),
        "10 s may be granted"
    );
    fixture.advance(Duration::from_secs(2));
    fixture.term.tick(fixture.now);
    assert!(!fixture.term.runs.contains_key(&task(0)));
}

/// Guards against a lease that never expires: each attempt to renew it counted as a longer grant,
/// so that the tasks of a failed worker were never started elsewhere.
#[test]
fn attempts_to_reach_a_silent_worker_do_not_extend_its_lease() {
    let mut fixture = Fixture::running_on_w();
    for _ in 0..80 {
        fixture.fail_to_answer("w", &CallFailure::NoAnswer("gone".to_owned()));
        fixture.advance(Duration::from_millis(150));
        fixture.term.tick(fixture.now);
    }
    assert!(!fixture.term.runs.contains_key(&task(0)));
    fixture.announce("other");
    fixture.term.schedule(fixture.now);
    assert_eq!(fixture.term.runs[&task(0)].worker, "other");
}

/// Guards against a run that stays unresolved, or a task that runs twice, after a change of the
/// leader.
#[test]
fn a_new_leader_learns_from_the_workers_what_runs() {
    let state = || Fixture::running_on_w().term.state;
    let mut adopted = Fixture::with_state(state());
    adopted.report("w", vec![listed(0, 1)], vec![]);
    assert!(matches!(
        adopted.term.runs[&task(0)].phase,
        RunPhase::Running { .. }
    ));

    let mut ended = Fixture::with_state(state());
    ended.report(
        "w",
        vec![],
        vec![listed_end(1, 0, 1, RunOutcome::Succeeded)],
    );
    assert_eq!(ended.phase(), JobPhase::Completed);

    let mut absent = Fixture::with_state(state());
    absent.report("w", vec![], vec![]);
    assert!(!absent.term.runs.contains_key(&task(0)));
    absent.term.schedule(absent.now);
    assert_eq!(
        absent.term.runs[&task(0)].run,
        2,
        "the number of a run is never used again"
    );

    let mut gone = Fixture::with_state(state());
    gone.restart("w");
    gone.term.tick(gone.now);
    assert!(gone.term.runs.contains_key(&task(0)));
    gone.report("w", vec![], vec![]);
    assert!(!gone.term.runs.contains_key(&task(0)));
}

/// Guards against a start order without an answer that is executed seconds later, concurrently with
/// the run that replaced it.
#[test]
fn an_unanswered_start_is_stopped_before_the_task_runs_elsewhere() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    let order = fixture.orders.pop().unwrap();
    fixture
        .term
        .handle_unanswered_start(&ordered(&order), true, fixture.now);
    fixture.commit_all();
    fixture.report("w", vec![], vec![]);
    assert!(
        fixture.term.runs.contains_key(&task(0)),
        "it may still start"
    );
    let stop = fixture.orders.pop().unwrap();
    assert_eq!(stop.kind, OrderKind::Stop);
    let answer = OrderAnswer {
        outcome: OrderOutcome::Done,
        clock_ms: None,
    };
    fixture
        .term
        .handle_stop_answer(&ordered(&stop), answer, fixture.now);
    fixture.advance(Duration::from_millis(1));
    fixture.report("w", vec![], vec![]);
    assert!(!fixture.term.runs.contains_key(&task(0)));
}

/// Guards against a start order that was never sent and blocks its task for the duration of a
/// lease.
#[test]
fn a_start_order_that_was_not_sent_ends_the_run_at_once() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    let order = fixture.orders.pop().unwrap();
    fixture
        .term
        .handle_unanswered_start(&ordered(&order), false, fixture.now);
    assert!(!fixture.term.runs.contains_key(&task(0)));
}

/// Guards against members of a gang that wait for a member that could not be started.
#[test]
fn a_gang_is_stopped_when_a_member_cannot_start() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    let mut gang = stage(3);
    gang.gang = true;
    fixture.submit(vec![gang]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 3);
    let refused = fixture.orders.remove(0);
    fixture.answer_starts(OrderOutcome::Done);
    let answer = OrderAnswer {
        outcome: OrderOutcome::Unhealthy,
        clock_ms: None,
    };
    fixture
        .term
        .handle_start_answer(&ordered(&refused), answer, fixture.now);
    fixture.commit_all();
    let stops = fixture
        .orders
        .iter()
        .filter(|order| order.kind == OrderKind::Stop);
    assert_eq!(stops.count(), 2);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(
        fixture.starts(),
        0,
        "no member starts again while others may run"
    );
}

/// Guards against a run that continues after the cancellation of its job, whether this or an
/// earlier leader started it.
#[test]
fn runs_of_cancelled_jobs_are_stopped_until_they_are_gone() {
    let mut fixture = Fixture::running_on_w();
    fixture.call(Call::Cancel(QueueAddress {
        host: "shop.example".to_owned(),
        path_prefix: format!("/plans/{JOB}"),
    }));
    fixture.commit_all();
    assert_eq!(fixture.orders.pop().unwrap().kind, OrderKind::Stop);
    fixture.advance(Duration::from_secs(1));
    fixture.term.tick(fixture.now);
    fixture.commit_all();
    assert_eq!(
        fixture.orders.pop().unwrap().kind,
        OrderKind::Stop,
        "the order is repeated"
    );

    let mut successor = Fixture::with_state(fixture.term.state);
    successor.report("w", vec![listed(0, 1)], vec![]);
    successor.commit_all();
    assert_eq!(successor.orders.pop().unwrap().kind, OrderKind::Stop);
}

/// Guards against a run that the state does not contain and that occupies its worker: its start
/// order was executed after the run had been ended.
#[test]
fn unexpected_runs_are_stopped() {
    let mut fixture = Fixture::running_on_w();
    fixture.report("w", vec![listed(0, 1), listed(5, 3)], vec![]);
    fixture.commit_all();
    let stop = fixture.orders.pop().unwrap();
    assert_eq!(
        (stop.task, stop.run, stop.kind),
        (task(5), 3, OrderKind::Stop)
    );
    assert!(fixture.orders.is_empty(), "the wanted run goes on");
}

/// Guards against runs placed on a worker that hangs: it still answers and seems to have room, and
/// short tasks on it ended after three times their objective (trouble-1 of Tuul).
#[test]
fn a_worker_whose_runs_stall_receives_no_new_runs() {
    let mut fixture = Fixture::running_on_w();
    let at = |percent| ListedRun {
        progress_percent: Some(percent),
        ..listed(0, 1)
    };
    for percent in [10, 40, 60] {
        fixture.advance(Duration::from_millis(1_000));
        fixture.report("w", vec![at(percent)], vec![]);
    }
    fixture.commit_all();
    assert!(fixture.orders.is_empty(), "it makes progress");
    fixture.advance(Duration::from_millis(1_000));
    fixture.report("w", vec![at(60)], vec![]);
    fixture.commit_all();
    assert_eq!(fixture.orders[0].kind, OrderKind::Stop);
    fixture.announce("x");
    fixture.submit_as("00c0ffee00000002", vec![stage(2)]);
    fixture.commit_all();
    let starts = fixture
        .orders
        .iter()
        .filter(|order| order.kind != OrderKind::Stop);
    let workers: Vec<&str> = starts.map(|order| order.worker.as_str()).collect();
    assert_eq!(workers, ["x", "x"]);
}

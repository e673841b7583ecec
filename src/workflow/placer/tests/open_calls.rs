//! Tests that acknowledgements and start orders of different relays, or of an earlier placer, cannot
//! be carried out together by the next incarnation of a worker.

use std::time::{Duration, Instant};

use super::super::reports::target;
use super::super::term::RunPhase;
use super::capacity::{contact, send_starts};
use super::claims::{run_number, step};
use super::fixture::*;
use super::permits::{RELAYING_TIME, permit};
use super::restarts::expect_run_until;
use crate::workflow::calls::{CallFailure, OrderAnswer, OrderOutcome, WorkerReport};
use crate::workflow::decisions::fencing::fencing_token;
use crate::workflow::records::RunOutcome;
use crate::workflow::relay::messages::{RelayEvent, RelayEventKind};

const LATE_CALL_LIMIT: Duration = Duration::from_secs(12);

fn token(fixture: &Fixture) -> u64 {
    let target = target(&fixture.term.workers["w"]);
    fencing_token(fixture.term.epoch, target.generation)
}

/// Returns up to which number the next grant acknowledges ends.
fn acknowledged(fixture: &mut Fixture) -> u64 {
    let now = fixture.now.at;
    let grant = fixture.term.grant(&"w".to_owned(), now);
    let grant = grant.expect("the worker has a relay").1;
    if grant.may_acknowledge {
        grant.recorded_ends
    } else {
        0
    }
}

/// Creates a term with one worker that has a relay, one of two.
fn with_relays(fixture: Fixture) -> Fixture {
    let mut fixture = fixture;
    fixture.announce("w");
    contact(&mut fixture, "entry-1", false);
    contact(&mut fixture, "entry-2", false);
    fixture.term.assign_relays(fixture.now.at);
    fixture
}

/// Creates a term with one worker to which the start order of a task has just been sent.
fn with_sent_start() -> Fixture {
    let mut fixture = with_relays(Fixture::new());
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture), [(0, 1)]);
    fixture
}

/// Lets the relay of the worker fail, so that the other one serves it.
fn change_relay(fixture: &mut Fixture) {
    let former = fixture.term.workers["w"].relay.clone().unwrap();
    let now = fixture.now.at;
    fixture.term.handle_relay_failure(&former, "gone", now);
    fixture.term.assign_relays(now);
    assert_ne!(fixture.term.workers["w"].relay, Some(former));
}

/// Records one end of a run that is not known, so that it can be acknowledged.
fn record_end(fixture: &mut Fixture) {
    let end = listed_end(1, 9, 1, RunOutcome::Succeeded);
    fixture.report("w", vec![], vec![end]);
    fixture.commit_all();
}

/// Guards against finished work that runs again: an acknowledgement of the new relay follows a start
/// order of the former one that has no answer.
#[test]
fn a_new_relay_acknowledges_nothing_while_start_orders_of_the_former_one_are_open() {
    let mut fixture = with_sent_start();
    change_relay(&mut fixture);
    let changed_at = fixture.now.at;
    record_end(&mut fixture);
    while fixture.now.at < changed_at + RELAYING_TIME + LATE_CALL_LIMIT {
        assert_eq!(acknowledged(&mut fixture), 0);
        fixture.advance(Duration::from_millis(500));
    }
    assert_eq!(acknowledged(&mut fixture), 1);
}

/// Guards against a start order of the new relay that an acknowledgement of the former one follows.
#[test]
fn a_new_relay_has_a_higher_token_where_start_orders_have_no_permits() {
    let mut fixture = with_relays(Fixture::new());
    let before = token(&fixture);
    change_relay(&mut fixture);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture), [(0, 1)]);
    assert!(token(&fixture) > before);
    record_end(&mut fixture);
    assert_eq!(acknowledged(&mut fixture), 1);
}

/// Guards against a permitted start order of the new relay that an acknowledgement of the former one
/// follows: the permit may be for an incarnation that is not known.
#[test]
fn a_permitted_start_order_has_a_higher_token_after_a_change_of_the_relay() {
    let mut fixture = with_relays(Fixture::with_policy(10.0, 0.1));
    let before = token(&fixture);
    change_relay(&mut fixture);
    fixture.submit_without_pass(JOB, vec![stage(2)]);
    fixture.commit_all();
    permit(&mut fixture, "w");
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture), [(0, 1), (1, 1)]);
    let raised = token(&fixture);
    assert!(raised > before);
    record_end(&mut fixture);
    assert_eq!(acknowledged(&mut fixture), 1);
    assert_eq!(token(&fixture), raised);
}

/// Guards against calls that a worker refuses after each change of its relay although permits keep
/// its next incarnation from starting work.
#[test]
fn a_new_relay_keeps_the_token_where_start_orders_have_permits() {
    for fixture in [Fixture::with_policy(10.0, 0.1), Fixture::new()] {
        let mut fixture = with_relays(fixture);
        let before = token(&fixture);
        change_relay(&mut fixture);
        assert_eq!(token(&fixture), before);
    }
}

/// Guards against ends of runs that are seen late after each change of the placer: a queue without a
/// policy that has no jobs withheld the acknowledgements of all workers of its service.
#[test]
fn a_queue_without_jobs_withholds_no_acknowledgement() {
    let former = with_relays(Fixture::new()).term.state;
    let mut fixture = Fixture::with_state(former);
    contact(&mut fixture, "entry-1", false);
    fixture.term.assign_relays(fixture.now.at);
    record_end(&mut fixture);
    assert_eq!(acknowledged(&mut fixture), 1);
}

/// Guards against finished work that runs again after a change of the placer: an acknowledgement of
/// the new placer follows a start order of the former one.
#[test]
fn a_new_placer_acknowledges_nothing_while_start_orders_of_the_former_one_are_open() {
    let former = Fixture::running_on_w().term.state;
    let mut fixture = Fixture::with_state(former);
    contact(&mut fixture, "entry-1", false);
    fixture.term.assign_relays(fixture.now.at);
    record_end(&mut fixture);
    assert_eq!(acknowledged(&mut fixture), 0);
    fixture.advance(LATE_CALL_LIMIT);
    assert_eq!(acknowledged(&mut fixture), 0);
    fixture.advance(RELAYING_TIME);
    assert_eq!(acknowledged(&mut fixture), 1);
}

/// Guards against a worker that receives no start orders after an acknowledgement without an answer,
/// and against a token that rises with each report of it.
#[test]
fn a_relay_gets_a_higher_token_once_for_an_unanswered_acknowledgement() {
    let mut fixture = with_relays(Fixture::new());
    let before = fixture.term.workers["w"].generation;
    for _ in 0..3 {
        let asked_at = fixture.now.at - fixture.term.began_at;
        fixture.report("w", vec![], vec![]);
        let event = RelayEvent {
            worker: "w".to_owned(),
            incarnation: 1,
            kind: RelayEventKind::Listed {
                granted_at_ms: asked_at.as_millis() as u64,
                report: WorkerReport {
                    incarnation: 1,
                    clock_ms: fixture.clock_ms(),
                    running: vec![],
                    ends: vec![],
                    complete: true,
                },
                outdated_generation: Some(before),
            },
        };
        let relay = fixture.term.workers["w"].relay.clone().unwrap();
        let now = fixture.now;
        fixture.term.handle_relay_event(&relay, event, now);
    }
    assert_eq!(fixture.term.workers["w"].generation, before + 1);
    assert!(fixture.term.due_grants.contains("w"));
}

/// Lets a relay report the answer to the start order of the first run.
fn report_start_answer(
    fixture: &mut Fixture,
    relay: &str,
    outcome: OrderOutcome,
    earlier_attempt_open: bool,
) {
    let answer = (outcome, fixture.clock_ms());
    fixture.report_start_answer(relay, answer, earlier_attempt_open);
}

/// Guards against runs that are stopped by a change of the relay: its higher token makes the worker
/// refuse the order of the former relay, while that of the new one is on its way.
#[test]
fn a_start_order_that_the_token_of_a_new_relay_overtakes_does_not_stop_the_run() {
    let mut fixture = with_sent_start();
    let former = fixture.relay();
    change_relay(&mut fixture);
    assert_eq!(send_starts(&mut fixture), [(0, 1)]);
    report_start_answer(&mut fixture, &former, OrderOutcome::Fenced, false);
    let new = fixture.relay();
    report_start_answer(&mut fixture, &new, OrderOutcome::Done, false);
    let phase = fixture.term.runs[&task(0)].phase;
    assert!(matches!(phase, RunPhase::Running { .. }), "{phase:?}");
}

/// Lets the run on the worker `w` end although one attempt of its start order has no answer.
fn end_with_open_attempt(fixture: &mut Fixture) {
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(send_starts(fixture), [(0, 1)]);
    let relay = fixture.relay();
    report_start_answer(fixture, &relay, OrderOutcome::Done, true);
    let end = listed_end(1, 0, 1, RunOutcome::Succeeded);
    fixture.report("w", vec![], vec![end]);
    fixture.commit_all();
    assert!(fixture.term.runs.is_empty());
}

/// Guards against finished work that runs again: the run had ended, so that its open start order was
/// not counted when the worker got another relay.
#[test]
fn a_new_relay_acknowledges_no_end_of_a_run_whose_start_order_is_open() {
    let mut fixture = with_relays(Fixture::new());
    end_with_open_attempt(&mut fixture);
    change_relay(&mut fixture);
    assert_eq!(acknowledged(&mut fixture), 0);
    fixture.advance(LATE_CALL_LIMIT);
    assert_eq!(acknowledged(&mut fixture), 0);
    fixture.advance(RELAYING_TIME);
    assert_eq!(acknowledged(&mut fixture), 1);
}

/// Guards against ends that are never acknowledged: each change of the relay counted the start order
/// of a long run as sent just before.
#[test]
fn relay_changes_during_a_long_run_do_not_put_off_acknowledgements() {
    let mut fixture = with_sent_start();
    let first = fixture.relay();
    report_start_answer(&mut fixture, &first, OrderOutcome::Done, true);
    fixture.advance(5 * LATE_CALL_LIMIT);
    contact(&mut fixture, "entry-1", false);
    contact(&mut fixture, "entry-2", false);
    let end = listed_end(1, 9, 1, RunOutcome::Succeeded);
    fixture.report("w", vec![listed(0, 1)], vec![end]);
    fixture.commit_all();
    change_relay(&mut fixture);
    assert_eq!(acknowledged(&mut fixture), 1);
}

/// Guards against a start order of the new relay that an acknowledgement of the former one follows,
/// where only jobs that were accepted earlier have no policy.
#[test]
fn a_new_relay_has_a_higher_token_while_an_accepted_job_has_no_policy() {
    for removed in [true, false] {
        let mut fixture = with_relays(Fixture::new());
        fixture.submit(vec![stage(1)]);
        fixture.commit_all();
        let configuration = fixture.term.state.configuration.as_mut().unwrap();
        if removed {
            configuration.queues.clear();
        } else {
            let with_policy = Fixture::with_policy(10.0, 0.1).term.state.configuration;
            *configuration = with_policy.unwrap();
        }
        let before = token(&fixture);
        change_relay(&mut fixture);
        assert_eq!(send_starts(&mut fixture), [(0, 1)]);
        assert!(token(&fixture) > before, "queue removed: {removed}");
    }
}

/// Guards against the same after a change of the placer: the state no longer has the run.
#[test]
fn a_new_placer_acknowledges_no_end_of_a_run_whose_start_order_may_be_open() {
    let mut former = with_relays(Fixture::new());
    end_with_open_attempt(&mut former);
    let mut fixture = Fixture::with_state(former.term.state);
    contact(&mut fixture, "entry-1", false);
    fixture.term.assign_relays(fixture.now.at);
    let end = listed_end(1, 0, 1, RunOutcome::Succeeded);
    fixture.report("w", vec![], vec![end]);
    fixture.commit_all();
    assert_eq!(acknowledged(&mut fixture), 0);
    fixture.advance(LATE_CALL_LIMIT);
    assert_eq!(acknowledged(&mut fixture), 0);
    fixture.advance(RELAYING_TIME);
    assert_eq!(acknowledged(&mut fixture), 1);
}

/// Lets the start order of the task have no answer: the worker `w` confirms the stop, and does not list
/// the run.
fn end_unanswered_run(fixture: &mut Fixture) {
    let answer = OrderAnswer {
        outcome: OrderOutcome::Done,
        clock_ms: Some(fixture.clock_ms()),
    };
    let (task, run) = (task(0), 1);
    let unanswered = RelayEventKind::StartUnanswered {
        task: task.clone(),
        run,
        may_have_arrived: true,
    };
    for kind in [
        unanswered,
        RelayEventKind::StopAnswered { task, run, answer },
    ] {
        let event = RelayEvent {
            worker: "w".to_owned(),
            incarnation: 1,
            kind,
        };
        let (relay, now) = (fixture.relay(), fixture.now);
        fixture.term.handle_relay_event(&relay, event, now);
    }
    fixture.advance(Duration::from_millis(100));
    fixture.report("w", vec![], vec![]);
}

/// Lets the worker `w` crash, and checks that the task has no second run before a time.
fn expect_no_second_run_until(fixture: &mut Fixture, until: Instant) {
    fixture.fail_to_answer("w", &CallFailure::NoAnswer("crashed".to_owned()));
    while fixture.now.at < until {
        step(fixture);
        assert!(matches!(run_number(fixture), None | Some(1)));
    }
}

/// Guards against two runs of a task at once: the known incarnation of a worker shows that it does not
/// run the task, and its next incarnation carries out an attempt of the start order that is still on
/// its way.
#[test]
fn a_task_does_not_start_elsewhere_while_a_start_order_is_open() {
    let mut fixture = with_sent_start();
    let sent_at = fixture.now.at;
    fixture.announce("v");
    end_unanswered_run(&mut fixture);
    expect_no_second_run_until(&mut fixture, sent_at + LATE_CALL_LIMIT);
}

/// Guards against two runs of a task at once after a change of the placer: the known incarnation shows that
/// it does not run the task, and the next one carries out the start order of the former placer.
#[test]
fn a_new_placer_starts_no_task_whose_start_order_may_be_late() {
    let mut former = Fixture::new();
    former.announce("w");
    former.submit(vec![stage(1)]);
    former.commit_all();
    let mut fixture = Fixture::with_state(former.term.state);
    contact(&mut fixture, "entry-1", false);
    let began_at = fixture.now.at;
    fixture.announce("v");
    fixture.report("w", vec![], vec![]);
    fixture.commit_all();
    expect_no_second_run_until(&mut fixture, began_at + LATE_CALL_LIMIT);
}

/// Guards against two runs of a task at once: the next incarnation of a young worker answered the start
/// order without a permit, its clock was taken for that of the known one, and the run ended with the
/// lease on the former clock.
#[test]
fn an_answer_that_the_next_incarnation_may_have_given_settles_no_start_order() {
    let mut fixture = with_relays(Fixture::new());
    // First answer at 100 ms of the worker's clock, latest list at 2,200 ms.
    let live = &mut fixture.term.workers["w"];
    live.clock.as_mut().unwrap().clock_ms = 2_200;
    live.clock.as_mut().unwrap().received_at = fixture.now.at;
    live.granted_until_clock_ms = 8_200;
    live.unknown_until_clock_ms = 10_100;
    fixture.advance(Duration::from_millis(200));
    let born_at = fixture.now.at;
    fixture.advance(Duration::from_millis(200));
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture), [(0, 1)]);
    let lease_until = Duration::from_millis(fixture.term.workers["w"].granted_until_clock_ms);
    fixture.advance(Duration::from_millis(100));
    fixture.report_start_answer(&fixture.relay(), (OrderOutcome::Done, 300), false);
    fixture.announce("v");
    expect_run_until(&mut fixture, "w", 1, born_at + lease_until);
}

/// Guards against two runs at once: a start order has no answer, and the next incarnation of the worker
/// does not list the run. The incarnation after that one may still carry out the order (issue 63).
#[test]
fn a_task_does_not_start_elsewhere_while_a_start_order_to_a_former_incarnation_is_open() {
    let mut fixture = with_sent_start();
    let sent_at = fixture.now.at;
    fixture.announce("v");
    fixture.restart("w");
    fixture.advance(Duration::from_millis(20));
    fixture.report("w", vec![], vec![]);
    expect_no_second_run_until(&mut fixture, sent_at + LATE_CALL_LIMIT);
}

/// Guards against two runs at once: a worker lists a former run of a task as running, and the start
/// order of the latest one is sent to it before that run has ended.
#[test]
fn a_start_order_waits_for_the_end_of_a_former_run_that_its_worker_lists() {
    let mut fixture = with_sent_start();
    end_unanswered_run(&mut fixture);
    step(&mut fixture);
    assert_eq!(send_starts(&mut fixture), [(0, 2)]);
    fixture.restart("w");
    fixture.advance(Duration::from_millis(20));
    fixture.report("w", vec![listed(0, 1)], vec![]);
    for _ in 0..20 {
        contact(&mut fixture, "entry-1", false);
        contact(&mut fixture, "entry-2", false);
        step(&mut fixture);
        assert_eq!(send_starts(&mut fixture), []);
        fixture.report("w", vec![listed(0, 1)], vec![]);
    }
}

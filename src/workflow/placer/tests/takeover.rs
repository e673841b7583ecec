//! Tests of jobs that were accepted before a change of the placer, and of orders that are lost with
//! a host.

use std::time::Duration;

use super::super::term::OrderKind;
use super::fixture::*;
use crate::workflow::calls::{
    Call, HostContact, ListedRun, OrderAnswer, OrderOutcome, PolicyAnswer,
};
use crate::workflow::queues::{PlacementPolicy, QueueAddress};
use crate::workflow::records::RunOutcome;
use crate::workflow::spec::StageSpec;
use crate::workflow::state::{JobPhase, WorkflowState};

const PLACER_HOST: &str = "10.0.0.1";
const ENTRY_HOST: &str = "10.0.0.9";
const GANG_JOB: &str = "00c0ffee00000002";
/// Time that the members of a gang wait for each other on their workers.
const GANG_WAIT: Duration = Duration::from_millis(4_000);
/// Step of the simulated time, equal to the interval of the placer's time-driven steps.
const STEP: Duration = Duration::from_millis(100);
/// Steps between two reports of a worker that contain nothing new.
const STEPS_PER_REPORT: u32 = 10;

fn gang(members: u32) -> StageSpec {
    StageSpec {
        gang: true,
        ..stage(members)
    }
}

fn cancellation(job: &str) -> Call {
    Call::Cancel(QueueAddress {
        host: "shop.example".to_owned(),
        path_prefix: format!("/plans/{job}"),
    })
}

fn contact(fixture: &mut Fixture, host: &str, stores: bool) {
    let contact = HostContact {
        host: host.to_owned(),
        data_centre: "lowell-yard".to_owned(),
        stores,
    };
    fixture.term.record_contact(contact, fixture.now.at);
}

/// Creates a term with one worker whose relay is an entry host.
fn with_relay() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    contact(&mut fixture, ENTRY_HOST, false);
    fixture.term.assign_relays(fixture.now.at);
    fixture
}

/// Returns the number of collected start orders of a job.
fn starts_of(fixture: &Fixture, job: &str) -> usize {
    let orders = fixture.orders.iter();
    let starts = orders.filter(|order| order.kind != OrderKind::Stop);
    starts.filter(|order| order.task.stage.job == job).count()
}

/// Confirms all collected stop orders and returns their tasks.
fn answer_stops(fixture: &mut Fixture) -> Vec<u32> {
    let (stops, others): (Vec<_>, Vec<_>) = std::mem::take(&mut fixture.orders)
        .into_iter()
        .partition(|order| order.kind == OrderKind::Stop);
    fixture.orders = others;
    let answer = OrderAnswer {
        outcome: OrderOutcome::Done,
        clock_ms: None,
    };
    let mut tasks = Vec::new();
    for stop in &stops {
        fixture
            .term
            .handle_stop_answer(&ordered(stop), answer, fixture.now);
        tasks.push(stop.task.index);
    }
    tasks.sort_unstable();
    tasks
}

/// Sends the collected orders through the relays.
fn send(fixture: &mut Fixture) {
    let orders = std::mem::take(&mut fixture.orders);
    fixture.term.pending_orders.extend(orders);
    fixture.term.next_instructions(fixture.now);
}

/// Advances the time, with reports of the worker, until a stop order is issued or the limit has
/// passed. Confirms the stop orders and returns their tasks.
fn await_stops(fixture: &mut Fixture, running: &[ListedRun], limit: Duration) -> Vec<u32> {
    let give_up_at = fixture.now.at + limit;
    let mut steps = 0;
    while fixture.now.at < give_up_at {
        steps += 1;
        fixture.advance(STEP);
        contact(fixture, ENTRY_HOST, false);
        if steps % STEPS_PER_REPORT == 0 {
            fixture.report("w", running.to_vec(), vec![]);
        }
        fixture.term.tick(fixture.now);
        fixture.commit_all();
        let stopped = answer_stops(fixture);
        if !stopped.is_empty() {
            return stopped;
        }
        send(fixture);
    }
    Vec::new()
}

/// Guards against gangs that an earlier placer accepted and that never run although the whole cell
/// is free (LOST on the largest deployments, where the placer changed every second).
#[test]
fn gangs_of_an_earlier_placer_start_as_soon_as_their_room_is_free() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![stage(2)]);
    fixture.submit_as(GANG_JOB, vec![gang(4)]);
    fixture.commit_all();
    fixture.answer_starts(OrderOutcome::Done);
    assert_eq!(starts_of(&fixture, GANG_JOB), 0);
    let running = vec![listed(0, 1), listed(1, 1)];
    for _ in 0..3 {
        fixture = Fixture::with_state(fixture.term.state);
        fixture.advance(Duration::from_secs(1));
        fixture.term.tick(fixture.now);
        fixture.term.schedule(fixture.now);
        fixture.report("w", running.clone(), vec![]);
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        assert_eq!(starts_of(&fixture, GANG_JOB), 0, "there is no room yet");
    }
    fixture.report(
        "w",
        vec![],
        vec![
            listed_end(1, 0, 1, RunOutcome::Succeeded),
            listed_end(2, 1, 1, RunOutcome::Succeeded),
        ],
    );
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(starts_of(&fixture, GANG_JOB), 4);
}

/// Guards against a gang with a placement policy for which a new placer asks no question: the
/// change of the placer loses the question in flight, the permits and the reservations.
#[test]
fn a_new_placer_asks_the_policy_again_for_a_gang() {
    let mut configuration = configuration(3);
    configuration.queues[0].placement_policy = Some(PlacementPolicy {
        decision_ms: 400.0,
        per_worker_ms: 6.0,
        validity_ms: 2_000,
    });
    let mut fixture = Fixture::with_state(WorkflowState {
        configuration: Some(configuration),
        ..WorkflowState::default()
    });
    contact(&mut fixture, PLACER_HOST, true);
    fixture.announce("w");
    fixture.submit(vec![gang(4)]);
    fixture.commit_all();
    assert_eq!(fixture.term.stages[&task(0).stage].open_questions, 1);

    let mut successor = Fixture::with_state(fixture.term.state);
    successor.report("w", vec![], vec![]);
    assert!(successor.term.schedule(successor.now).is_empty());
    contact(&mut successor, PLACER_HOST, true);
    let questions = successor.term.schedule(successor.now);
    assert_eq!(questions.len(), 1, "a host can ask now");
    let sent_at = successor.now.at;
    successor.advance(Duration::from_millis(500));
    let answer = PolicyAnswer {
        granted: vec![("w".to_owned(), "permit".to_owned())],
        validity_ms: None,
    };
    let now = successor.now;
    successor
        .term
        .handle_policy_answer(&questions[0], sent_at, Ok(answer), now);
    successor.term.schedule(now);
    successor.commit_all();
    assert_eq!(successor.starts(), 4);
}

/// Guards against a gang that never completes because the start orders of some members were lost
/// with the placer that placed it: the other members cannot succeed without them.
#[test]
fn a_gang_whose_orders_were_lost_with_the_placer_starts_again() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![gang(3)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 3);

    let mut successor = Fixture::with_state(fixture.term.state);
    successor.report("w", vec![listed(0, 1)], vec![]);
    successor.commit_all();
    let stopped = answer_stops(&mut successor);
    assert!(stopped.contains(&0), "the member that runs is stopped");
    successor.report("w", vec![], vec![listed_end(1, 0, 1, RunOutcome::Stopped)]);
    successor.term.schedule(successor.now);
    successor.commit_all();
    let runs: Vec<u32> = successor.orders.iter().map(|order| order.run).collect();
    assert_eq!(runs, [2, 2, 2], "all members start, under one new number");
}

/// Guards against a configuration that no placer acknowledges: its operator repeats the call until
/// a placer does, whether an earlier placer has committed the configuration or not.
#[test]
fn a_configuration_is_acknowledged_after_a_change_of_the_placer() {
    let state = Fixture::new().term.state;
    let mut fixture = Fixture::with_state(state.clone());
    let before = fixture.replies;
    fixture.call(Call::ReplaceQueues(Box::new(configuration(9))));
    assert!(fixture.finish_step().is_some());
    assert_eq!(fixture.replies, before, "it is not committed");

    let committed = fixture.term.state;
    for state in [state, committed] {
        let mut successor = Fixture::with_state(state);
        let before = successor.replies;
        successor.call(Call::ReplaceQueues(Box::new(configuration(9))));
        successor.call(Call::ReadQueues);
        let sequence = successor.finish_step().unwrap();
        assert_eq!(successor.replies, before);
        successor.commit(sequence);
        assert_eq!(successor.replies, before + 2);
        assert_eq!(successor.term.state.version(), 9);
    }
}

/// Guards against a cancellation that is never acknowledged: the caller repeats a call that an
/// earlier placer did not answer, while the worker of the run has not answered the new placer.
#[test]
fn a_cancellation_is_acknowledged_after_a_change_of_the_placer() {
    let state = Fixture::running_on_w().term.state;
    let mut fixture = Fixture::with_state(state.clone());
    fixture.call(cancellation(JOB));
    assert!(fixture.finish_step().is_some());
    let cancelled = fixture.term.state;
    for state in [state, cancelled] {
        let mut successor = Fixture::with_state(state);
        let before = successor.replies;
        successor.call(cancellation(JOB));
        let sequence = successor.finish_step().unwrap();
        assert_eq!(successor.replies, before);
        successor.commit(sequence);
        assert_eq!(successor.replies, before + 1);
        assert_eq!(successor.phase(), JobPhase::Cancelled);
        successor.report("w", vec![listed(0, 1)], vec![]);
        successor.commit_all();
        assert_eq!(answer_stops(&mut successor), [0]);
    }
}

/// Guards against a task that is stuck on a start order whose answer never arrives because the
/// relay has failed: the worker has not listed the run, but may still receive the order. The run
/// has to be resolved within the time after which the runs of an unreachable worker are placed
/// again.
#[test]
fn a_start_order_without_any_answer_is_resolved() {
    let mut fixture = with_relay();
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 1);
    send(&mut fixture);
    assert_eq!(
        await_stops(&mut fixture, &[], LEASE),
        [0],
        "the run is stopped"
    );
    fixture.advance(STEP);
    fixture.report("w", vec![], vec![]);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    let runs: Vec<u32> = fixture.orders.iter().map(|order| order.run).collect();
    assert_eq!(runs, [2], "the task is placed again");
}

/// Guards against a gang that is stuck on the start order of one member whose answer never arrives:
/// the other members wait for it on their workers for at most four seconds.
#[test]
fn a_gang_with_a_start_order_without_any_answer_starts_again() {
    let mut fixture = with_relay();
    fixture.submit(vec![gang(3)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 3);
    let lost = fixture.orders.pop().unwrap();
    let answered = fixture.orders.clone();
    fixture.orders.push(lost);
    send(&mut fixture);
    fixture.orders = answered;
    fixture.answer_starts(OrderOutcome::Done);
    let running = [listed(0, 1), listed(1, 1)];
    let stopped = await_stops(&mut fixture, &running, GANG_WAIT);
    assert_eq!(stopped, [0, 1, 2], "all members are stopped");
    fixture.advance(STEP);
    let ends = vec![
        listed_end(1, 0, 1, RunOutcome::Stopped),
        listed_end(2, 1, 1, RunOutcome::Stopped),
    ];
    fixture.report("w", vec![], ends);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    let runs: Vec<u32> = fixture.orders.iter().map(|order| order.run).collect();
    assert_eq!(runs, [2, 2, 2], "all members start, under one new number");
}

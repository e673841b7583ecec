//! Tests of workers whose capacity changes while they run.

use std::time::Duration;

use super::super::term::RunPhase;
use super::fixture::*;
use crate::resources::Resources;
use crate::workflow::calls::{CallFailure, HostContact, OrderOutcome, PolicyAnswer};
use crate::workflow::records::RunOutcome;
use crate::workflow::relay::messages::WorkerOrder;
use crate::workflow::spec::StageSpec;
use crate::workflow::state::Job;
use crate::workflow::workers::WorkerHeartbeat;

const PLACER_HOST: &str = "10.0.0.1";
const ENTRY_HOST: &str = "10.0.0.9";

/// Returns a heartbeat of a worker whose processors have the given capacity.
fn resized(id: &str, sequence: u64, cpu_millis: u64) -> WorkerHeartbeat {
    let mut heartbeat = heartbeat(id, 1, sequence);
    heartbeat.record.capacity.cpu_millis = cpu_millis;
    heartbeat
}

pub(super) fn resize(fixture: &mut Fixture, id: &str, sequence: u64, cpu_millis: u64) {
    let heartbeat = resized(id, sequence, cpu_millis);
    fixture.term.handle_heartbeat(heartbeat, fixture.now);
}

pub(super) fn contact(fixture: &mut Fixture, host: &str, stores: bool) {
    let contact = HostContact {
        host: host.to_owned(),
        data_centre: "lowell-yard".to_owned(),
        stores,
    };
    fixture.term.record_contact(contact, fixture.now.at);
}

pub(super) fn gang(members: u32) -> StageSpec {
    StageSpec {
        gang: true,
        ..stage(members)
    }
}

fn with_policy() -> Fixture {
    let mut fixture = Fixture::with_policy(400.0, 6.0);
    contact(&mut fixture, PLACER_HOST, true);
    fixture
}

pub(super) fn allocated(fixture: &Fixture, worker: &str) -> Resources {
    let index = fixture.term.workers[worker].index;
    fixture.term.ledger.worker(index).unwrap().allocated()
}

/// Guards against a gang that starts in part: room was reserved on two workers while the placement
/// policy was asked to renew the permits, and one of them shrank before the answer.
#[test]
fn a_gang_waits_whole_when_its_reserved_room_shrinks() {
    let mut fixture = with_policy();
    fixture.announce("a");
    fixture.announce("b");
    fixture.submit(vec![gang(4)]);
    fixture.commit_all();
    fixture.advance(Duration::from_secs(1));
    let key = task(0).stage;
    let workers = ["a".to_owned(), "b".to_owned()];
    let stage = &mut fixture.term.stages[&key];
    stage.open_questions = 0;
    let granted = workers.clone().map(|worker| (worker, "permit".to_owned()));
    stage.permits.record(&workers, &granted, fixture.now.at);
    for worker in &workers {
        assert!(fixture.term.reserve(&key, &gang(4), worker, 2));
    }
    let now = fixture.now;
    let question = fixture.term.schedule_gang(&key, true, true, now);
    assert_eq!(question.len(), 1, "expired permits are renewed");
    let question = &question[0];

    resize(&mut fixture, "b", 2, 1_000);
    let sent_at = fixture.now.at;
    fixture.advance(Duration::from_millis(500));
    let answer = PolicyAnswer {
        granted: granted.to_vec(),
        validity_ms: None,
    };
    let now = fixture.now;
    fixture
        .term
        .handle_policy_answer(question, sent_at, Ok(answer), now);
    fixture.commit_all();
    let starts = fixture.starts();
    assert!(starts == 0 || starts == 4, "{starts} of 4 members started");
    assert!(allocated(&fixture, "b").cpu_millis <= 1_000);

    resize(&mut fixture, "b", 3, 4_000);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 4, "the gang starts when there is room");
}

/// Creates a term with one worker whose relay is an entry host.
pub(super) fn with_relay() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    contact(&mut fixture, ENTRY_HOST, false);
    fixture.term.assign_relays(fixture.now.at);
    fixture
}

/// Sends the committed orders to the relays and returns the tasks and run numbers of those that
/// start a run.
pub(super) fn send_starts(fixture: &mut Fixture) -> Vec<(u32, u32)> {
    let orders = std::mem::take(&mut fixture.orders);
    fixture.term.pending_orders.extend(orders);
    let now = fixture.now;
    let instructions = fixture.term.next_instructions(now).into_values();
    let orders = instructions.flat_map(|batch| batch.orders);
    let starts = orders.filter(|order| matches!(order.order, WorkerOrder::Start(_)));
    starts
        .map(|order| {
            let (task, run) = order.order.run();
            (task.index, run)
        })
        .collect()
}

/// Guards against start orders that bring a worker over its capacity: they wait for a commit or for
/// the relay while the worker shrinks.
#[test]
fn start_orders_that_no_longer_fit_are_not_sent() {
    for committed in [false, true] {
        let mut fixture = with_relay();
        fixture.submit(vec![stage(4)]);
        if committed {
            fixture.commit_all();
        }
        resize(&mut fixture, "w", 2, 2_000);
        fixture.commit_all();
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        assert_eq!(send_starts(&mut fixture).len(), 2, "committed: {committed}");
        assert_eq!(allocated(&fixture, "w").cpu_millis, 2_000);
        let waiting = fixture.term.stages[&task(0).stage].waiting.clone();
        assert_eq!(waiting.len(), 2, "the others wait again");
        let attempts = fixture.term.state.jobs[JOB].stage(&task(0).stage).unwrap();
        assert!(attempts.tasks.iter().all(|task| task.failures == 0));

        resize(&mut fixture, "w", 3, 4_000);
        assert!(fixture.term.is_pass_due(), "room has grown");
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        let mut started = send_starts(&mut fixture);
        started.sort_unstable();
        let mut expected: Vec<_> = waiting.iter().map(|&index| (index, 2)).collect();
        expected.sort_unstable();
        assert_eq!(started, expected, "they start once there is room");
    }
}

/// Guards against members of a gang that start without the others: the worker of one member shrinks
/// before its start order is sent, also after those of other members were sent.
#[test]
fn a_gang_that_no_longer_fits_waits_whole() {
    for other_sent in [false, true] {
        let mut fixture = with_relay();
        fixture.announce("v");
        fixture.term.assign_relays(fixture.now.at);
        fixture.submit(vec![gang(8)]);
        fixture.commit_all();
        assert_eq!(fixture.starts(), 8);
        if other_sent {
            let orders = std::mem::take(&mut fixture.orders);
            let (sent, unsent) = orders.into_iter().partition(|order| order.worker == "v");
            fixture.orders = sent;
            assert_eq!(send_starts(&mut fixture).len(), 4);
            fixture.orders = unsent;
        }
        resize(&mut fixture, "w", 2, 3_000);
        fixture.commit_all();
        assert_eq!(send_starts(&mut fixture), [], "other sent: {other_sent}");
        let sent = if other_sent { 4 } else { 0 };
        assert_eq!(
            fixture.term.runs.len(),
            sent,
            "only sent members have a run"
        );
        assert_eq!(allocated(&fixture, "w"), Resources::ZERO);
        let stopping = fixture.term.runs.values();
        let stopping = stopping.filter(|run| matches!(run.phase, RunPhase::Stopping { .. }));
        assert_eq!(stopping.count(), sent, "sent members are stopped");
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        assert_eq!(send_starts(&mut fixture), [], "the gang does not fit");
    }
}

/// Guards against running work that is stopped, and against new work that is started, while a worker
/// has shrunk below what it runs: only starts have to respect the new capacity.
#[test]
fn running_work_goes_on_over_a_shrunk_capacity() {
    let mut fixture = with_relay();
    fixture.submit(vec![stage(4)]);
    fixture.commit_all();
    let running = [listed(0, 1), listed(1, 1), listed(2, 1), listed(3, 1)];
    assert_eq!(send_starts(&mut fixture).len(), 4);
    fixture.report("w", running.to_vec(), vec![]);
    resize(&mut fixture, "w", 2, 2_000);
    fixture.submit_as("00c0ffee00000002", vec![stage(2)]);
    fixture.commit_all();
    assert!(fixture.orders.is_empty(), "nothing is started or stopped");

    for (number, expected) in [(1, 0), (2, 0), (3, 1), (4, 2)] {
        let index = number as u32 - 1;
        let end = listed_end(number, index, 1, RunOutcome::Succeeded);
        fixture.report("w", running[number as usize..].to_vec(), vec![end]);
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        assert_eq!(fixture.starts(), expected, "after {number} ends");
    }
    assert_eq!(allocated(&fixture, "w").cpu_millis, 2_000);
}

/// Guards against a start order that is repeated although its worker has shrunk: the first copy got
/// no answer, and the second would start the run over the capacity.
#[test]
fn start_orders_are_not_repeated_on_a_shrunk_worker() {
    for relay_fails in [false, true] {
        let mut fixture = with_relay();
        contact(&mut fixture, "10.0.0.10", false);
        fixture.submit(vec![stage(4)]);
        fixture.commit_all();
        assert_eq!(send_starts(&mut fixture).len(), 4);
        resize(&mut fixture, "w", 2, 2_000);
        fixture.commit_all();
        if relay_fails {
            let relay = fixture.term.workers["w"].relay.clone().unwrap();
            let now = fixture.now.at;
            fixture.term.handle_relay_failure(&relay, "gone", now);
        }
        let mut repeated = 0;
        for _ in 0..40 {
            fixture.advance(Duration::from_millis(100));
            contact(&mut fixture, "10.0.0.10", false);
            if !relay_fails {
                contact(&mut fixture, ENTRY_HOST, false);
            }
            fixture.term.tick(fixture.now);
            fixture.commit_all();
            repeated += send_starts(&mut fixture).len();
        }
        assert_eq!(repeated, 0, "relay fails: {relay_fails}");
        let mut runs = fixture.term.runs.values();
        assert!(runs.all(|run| matches!(run.phase, RunPhase::Stopping { .. })));
    }
}

/// Guards against a repeated start order that is sent although its worker shrank while the order
/// waited for a relay.
#[test]
fn repeated_start_orders_are_dropped_when_the_worker_shrinks() {
    let mut fixture = with_relay();
    fixture.submit(vec![stage(4)]);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture).len(), 4);
    fixture.advance(Duration::from_millis(1_700));
    contact(&mut fixture, ENTRY_HOST, false);
    fixture.term.tick(fixture.now);
    resize(&mut fixture, "w", 2, 2_000);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture), []);
    resize(&mut fixture, "w", 3, 4_000);
    fixture.advance(Duration::from_millis(100));
    fixture.term.tick(fixture.now);
    fixture.commit_all();
    assert_eq!(send_starts(&mut fixture).len(), 4, "room has grown again");
}

/// Guards against new work on a worker that is about to leave: after it announced its departure, a
/// heartbeat with another capacity made it accept runs again.
#[test]
fn a_departing_worker_that_changes_its_capacity_receives_no_work() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture
        .term
        .handle_departure(&"w".to_owned(), fixture.now.at);
    resize(&mut fixture, "w", 2, 8_000);
    fixture.submit(vec![stage(2)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 0);
}

/// Guards against new work on a worker that does not answer, whose heartbeats still arrive.
#[test]
fn an_unreachable_worker_that_changes_its_capacity_receives_no_work() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    let failure = CallFailure::NoAnswer("cut".to_owned());
    fixture.fail_to_answer("w", &failure);
    resize(&mut fixture, "w", 2, 8_000);
    fixture.submit(vec![stage(2)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 0);
    fixture.report("w", vec![], vec![]);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 2);
}

/// Guards against a task that waits although another worker has room: a task that needs only what
/// others leave over was assigned to a worker that exceeds its capacity, again and again.
#[test]
fn a_worker_over_its_capacity_is_not_chosen() {
    let mut fixture = Fixture::new();
    fixture.announce("a");
    fixture.submit(vec![stage(4)]);
    fixture.commit_all();
    fixture.answer_starts(OrderOutcome::Done);
    resize(&mut fixture, "a", 2, 2_000);
    fixture.announce("b");
    let mut leftover = stage(1);
    leftover.uses_leftover_cpu = true;
    leftover.resources.memory_mib = 0;
    fixture.submit_as("00c0ffee00000002", vec![leftover]);
    fixture.commit_all();
    let workers: Vec<_> = fixture.orders.iter().map(|order| &order.worker).collect();
    assert_eq!(workers, ["b"]);
}

/// Guards against a delayed heartbeat that brings an old capacity back: a new placer did not know
/// the number of the heartbeat that announced the present one, nor did a placer for the first
/// heartbeat of a worker.
#[test]
fn a_late_heartbeat_does_not_bring_an_old_capacity_back() {
    let capacity = |fixture: &Fixture| fixture.term.workers["w"].record.capacity.cpu_millis;
    let mut fixture = Fixture::new();
    resize(&mut fixture, "w", 12, 2_000);
    resize(&mut fixture, "w", 11, 4_000);
    assert_eq!(capacity(&fixture), 2_000, "first heartbeat of the worker");

    let mut successor = Fixture::with_state(fixture.term.state);
    resize(&mut successor, "w", 11, 4_000);
    assert_eq!(capacity(&successor), 2_000, "after a change of the placer");
    resize(&mut successor, "w", 13, 4_000);
    assert_eq!(capacity(&successor), 4_000, "a newer heartbeat counts");
    resize(&mut successor, "w", 12, 2_000);
    assert_eq!(capacity(&successor), 4_000);

    let mut restarted = heartbeat("w", 2, 1);
    restarted.record.capacity.cpu_millis = 1_000;
    successor.term.handle_heartbeat(restarted, successor.now);
    assert_eq!(capacity(&successor), 1_000, "numbers start anew");
    resize(&mut successor, "w", 14, 4_000);
    assert_eq!(capacity(&successor), 1_000, "of the former incarnation");
}

/// Guards against runs that a restarted worker has no room for: it comes back under the same
/// identifier with another capacity while start orders for its former incarnation wait.
#[test]
fn a_restarted_worker_is_used_with_its_new_capacity() {
    for cpu_millis in [2_000, 8_000] {
        let mut fixture = with_relay();
        fixture.submit(vec![stage(4)]);
        fixture.commit_all();
        let mut restarted = heartbeat("w", 2, 1);
        restarted.record.capacity.cpu_millis = cpu_millis;
        fixture.term.handle_heartbeat(restarted, fixture.now);
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        fixture.term.assign_relays(fixture.now.at);
        assert_eq!(send_starts(&mut fixture), [], "it has not answered yet");
        fixture.report("w", vec![], vec![]);
        fixture.submit_as("00c0ffee00000002", vec![stage(4)]);
        fixture.commit_all();
        let started = send_starts(&mut fixture).len() as u64;
        assert_eq!(started * 1_000, cpu_millis);
        assert_eq!(allocated(&fixture, "w").cpu_millis, cpu_millis);
    }
}

/// Guards against an accepted job that is given up, or a new one that is refused, because no worker
/// has room for one of its tasks at present: a worker may grow again.
#[test]
fn a_job_that_fits_no_worker_for_a_while_waits() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    resize(&mut fixture, "w", 2, 500);
    fixture.submit(vec![gang(4)]);
    fixture.submit_as("00c0ffee00000002", vec![stage(1)]);
    for _ in 0..100 {
        fixture.advance(Duration::from_millis(100));
        fixture.term.tick(fixture.now);
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
    }
    assert_eq!(fixture.starts(), 0);
    assert!(fixture.term.state.jobs.values().all(Job::is_open));
    resize(&mut fixture, "w", 3, 5_000);
    assert!(fixture.term.is_pass_due());
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 5, "both start at once");
}

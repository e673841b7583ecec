//! Faults at every step of the request path, with checks of the verdict and of the executions.

mod placer_support;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::agent::faults::Fault;
use jujubewinch::verdict::ErrorCode;
use placer_support::{
    AppendFault, Cell, Gate, Gates, assert_one_at_a_time, fresh_key, request, submit_in_background,
    verdict, wait_until,
};

/// Guards against lost, repeated or corrupted answers when single exchanges with a runner fail.
#[test]
fn failed_exchanges_neither_lose_nor_repeat_a_request() {
    let late = Duration::from_millis(300);
    let cases: [(&str, &[Fault], usize); 9] = [
        ("no fault", &[], 0),
        ("lost create", &[Fault::LoseRequest], 0),
        ("lost answer", &[Fault::LoseAnswer], 0),
        ("delayed create", &[Fault::DelayRequest(late)], 0),
        ("delayed answer", &[Fault::DelayAnswer(late)], 0),
        ("corrupted answer", &[Fault::CorruptAnswer], 0),
        ("truncated answer", &[Fault::TruncateAnswer], 0),
        ("duplicate create", &[], 1),
        (
            "several faults",
            &[
                Fault::DelayRequest(late),
                Fault::LoseRequest,
                Fault::LoseAnswer,
                Fault::TruncateAnswer,
            ],
            2,
        ),
    ];
    for (name, faults, duplicates) in cases {
        let cell = Cell::new(1);
        let host = cell.next_placer();
        for idempotent in [false, true] {
            let key = fresh_key(&format!("exchange-{idempotent}"));
            let runner = cell.runner(0);
            runner.tasks.faults().inject(faults);
            runner.duplicates.store(duplicates, Ordering::SeqCst);
            let outcome = host.placer.submit(&request(&key, idempotent, 5));
            let body = outcome.map(|answer| answer.body);
            assert_eq!(body, Ok(key.clone().into_bytes()), "{name}");
            thread::sleep(late);
            assert_eq!(cell.executions(&key).len(), 1, "{name}");
        }
        assert!(cell.runner(0).tasks.highest_running() <= placer_support::SLOTS);
    }
}

/// Guards against a create call that starts its task after the request was reported as not run. The
/// placer must create a tombstone before it relies on the reply that a task is unknown.
#[test]
fn a_create_that_arrives_after_the_deadline_starts_nothing() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let key = fresh_key("late");
    let late = Duration::from_millis(900);
    cell.runner(0)
        .tasks
        .faults()
        .inject(&[Fault::DelayRequest(late)]);
    let mut submission = request(&key, false, 5);
    submission.deadline = Instant::now() + Duration::from_millis(100);
    let outcome = host.placer.submit(&submission);
    assert_eq!(verdict(&outcome), "may_have_run");
    wait_until(
        "the task is resolved",
        || matches!(host.placer.query(&key), Err(error) if verdict(&Err(error.clone())) == "did_not_run"),
    );
    thread::sleep(late);
    assert_eq!(cell.executions(&key).len(), 0);
}

/// Guards against wrong verdicts and repeated executions when a runner restarts or becomes
/// unreachable.
#[test]
fn a_lost_runner_yields_correct_verdicts() {
    // Name, idempotent, whether the runner restarts (otherwise it becomes unreachable), expected
    // verdict, expected executions.
    let cases = [
        ("restart, not idempotent", false, true, "may_have_run", 1),
        ("restart, idempotent", true, true, "ran", 2),
        (
            "unreachable, not idempotent",
            false,
            false,
            "may_have_run",
            1,
        ),
        ("unreachable, idempotent", true, false, "may_have_run", 1),
    ];
    for (name, idempotent, restarts, expected, executions) in cases {
        let cell = Cell::new(1);
        let host = cell.next_placer();
        let key = fresh_key("lost-runner");
        let work_ms = if idempotent && restarts { 300 } else { 5_000 };
        let running = submit_in_background(&host.placer, &request(&key, idempotent, work_ms));
        cell.wait_for_execution(&key);
        if restarts {
            cell.runner(0).crash();
        } else {
            cell.runner(0).announcing.store(false, Ordering::SeqCst);
            cell.runner(0).unreachable.store(true, Ordering::SeqCst);
        }
        let outcome = running.join().unwrap();
        assert_eq!(verdict(&outcome), expected, "{name}: {outcome:?}");
        if let Err(error) = &outcome {
            assert_eq!(error.code, ErrorCode::RunnerLost, "{name}");
        }
        let retry = host.placer.submit(&request(&key, idempotent, work_ms));
        assert_eq!(verdict(&retry), expected, "{name}: retry {retry:?}");
        assert_eq!(cell.executions(&key).len(), executions, "{name}");
        assert_one_at_a_time(&cell.executions(&key));
    }
}

/// Guards against the verdict "did not run" from a refusal by a new incarnation, although the former
/// incarnation may have executed an earlier copy of the create call whose answer was lost.
#[test]
fn a_refusal_by_a_new_incarnation_proves_nothing_about_the_former_one() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let key = fresh_key("incarnation");
    let runner = cell.runner(0);
    runner.tasks.faults().inject(&[Fault::LoseAnswer]);
    runner.announcing.store(false, Ordering::SeqCst);
    let running = submit_in_background(&host.placer, &request(&key, false, 2_000));
    cell.wait_for_execution(&key);
    runner.crash();
    // Long enough for a second copy of the create call, which the new incarnation refuses.
    thread::sleep(Duration::from_millis(350));
    runner.announcing.store(true, Ordering::SeqCst);
    let outcome = running.join().unwrap();
    assert_eq!(verdict(&outcome), "may_have_run", "{outcome:?}");
    assert_eq!(cell.executions(&key).len(), 1);
}

/// Guards against a request that fails after the refusal of one runner although another has free
/// slots.
#[test]
fn a_refused_create_is_placed_elsewhere() {
    let cell = Cell::new(2);
    // The placer does not know that the first runner refuses new tasks.
    cell.runner(0).tasks.leave();
    let host = cell.next_placer();
    for index in 0..4 {
        let key = fresh_key(&format!("elsewhere-{index}"));
        let outcome = host.placer.submit(&request(&key, false, 1));
        assert_eq!(verdict(&outcome), "ran", "{outcome:?}");
        assert_eq!(cell.executions(&key).len(), 1);
    }
    assert_eq!(cell.runner(0).tasks.started(), 0);
}

/// Guards against lost intents, repeated executions and wrong verdicts when a placer is paused at any
/// step, is replaced, and resumes.
#[test]
fn a_replaced_placer_neither_repeats_nor_denies_an_execution() {
    type Step = (&'static str, fn(&Gates) -> &Gate);
    let steps: [Step; 4] = [
        ("before the intent", |gates| &gates.before_append),
        ("after the intent", |gates| &gates.after_append),
        ("before the create", |gates| &gates.before_exchange),
        ("after the create", |gates| &gates.after_exchange),
    ];
    for (name, gate) in steps {
        for idempotent in [false, true] {
            let cell = Cell::new(2);
            let old = cell.next_placer();
            let key = fresh_key("replaced");
            gate(&old.gates).close();
            let submission = request(&key, idempotent, 20);
            let first = submit_in_background(&old.placer, &submission);
            gate(&old.gates).wait_for_arrival();
            // Both submissions arrive before the new placer can resolve the attempt of the old one.
            let new = cell.unannounced_placer();
            let second = new.placer.start(&submission).unwrap();
            let third = new.placer.start(&submission).unwrap();
            cell.announce_runners(&new);
            let (second, third) = (second.wait(), third.wait());
            for gate in old.gates.all() {
                gate.open();
            }
            let first = first.join().unwrap();
            let context = format!("{name}, idempotent {idempotent}: {first:?} {second:?}");
            let executions = cell.executions(&key);
            assert_one_at_a_time(&executions);
            if idempotent {
                assert_eq!(verdict(&second), "ran", "{context}");
            } else {
                assert!(executions.len() <= 1, "{context}");
            }
            if verdict(&second) == "did_not_run" {
                assert_eq!(executions.len(), 0, "{context}");
            }
            assert_eq!(verdict(&third), verdict(&second), "{context}");
            // The old placer was replaced before it knew an outcome. Only a refused intent proves
            // that its own submission did not run.
            let allowed = match name {
                "before the intent" => "did_not_run",
                "after the create" => "ran",
                _ => "may_have_run",
            };
            assert_eq!(verdict(&first), allowed, "{context}");
        }
    }
}

/// Guards against outcomes that are lost with the placer, or reported before the task has ended. The
/// next placer must query the runner.
#[test]
fn a_lost_completion_is_recovered_from_the_runner() {
    for ended in [true, false] {
        let cell = Cell::new(1);
        let old = cell.next_placer();
        let key = fresh_key("completion");
        let submission = request(&key, false, 200);
        let first = submit_in_background(&old.placer, &submission);
        cell.wait_for_execution(&key);
        old.gates.before_append.close();
        if ended {
            old.gates.before_append.wait_for_arrival();
        }
        let new = cell.next_placer();
        let outcome = new.placer.submit(&submission);
        let body = outcome.map(|answer| answer.body);
        assert_eq!(body, Ok(key.clone().into_bytes()), "ended {ended}");
        old.gates.before_append.open();
        assert_eq!(verdict(&first.join().unwrap()), "ran", "ended {ended}");
        assert_eq!(cell.executions(&key).len(), 1, "ended {ended}");
    }
}

/// Guards against slots of adopted tasks that are assigned to other requests, and against a
/// cancellation that does not reach a task of the former placer.
#[test]
fn adopted_tasks_hold_their_slots_and_can_be_cancelled() {
    let cell = Cell::new(1);
    let old = cell.next_placer();
    let keys: Vec<String> = (0..placer_support::SLOTS)
        .map(|index| fresh_key(&format!("adopted-{index}")))
        .collect();
    for key in &keys {
        submit_in_background(&old.placer, &request(key, false, 20_000));
        cell.wait_for_execution(key);
    }
    let new = cell.next_placer();
    let next = fresh_key("next");
    let waiting = submit_in_background(&new.placer, &request(&next, false, 1));
    wait_until("the request is queued", || {
        new.placer.queued_requests() == 1
    });
    thread::sleep(Duration::from_millis(200));
    assert_eq!(new.placer.queued_requests(), 1);
    // A refused create call would have left a tombstone.
    assert_eq!(cell.runner(0).tasks.records(), placer_support::SLOTS);
    for key in &keys {
        assert!(!new.placer.cancel(key));
        let outcome = new.placer.submit(&request(key, false, 20_000));
        assert_eq!(verdict(&outcome), "may_have_run", "{outcome:?}");
        assert_eq!(cell.executions(key).len(), 1);
    }
    assert_eq!(verdict(&waiting.join().unwrap()), "ran");
}

/// Guards against a copy of a request, for example one that a gateway resends after a lost reply,
/// that runs after the caller received the reply that the request is cancelled and did not run.
#[test]
fn a_cancelled_key_stays_cancelled_under_the_next_placer_too() {
    let cell = Cell::new(1);
    let old = cell.next_placer();
    for index in 0..placer_support::SLOTS {
        let key = fresh_key(&format!("busy-{index}"));
        submit_in_background(&old.placer, &request(&key, false, 2_000));
        cell.wait_for_execution(&key);
    }
    let keys = [false, true].map(|idempotent| {
        let key = fresh_key(&format!("cancelled-{idempotent}"));
        let first = submit_in_background(&old.placer, &request(&key, idempotent, 1));
        wait_until("the request is queued", || {
            old.placer.queued_requests() == 1
        });
        assert!(old.placer.cancel(&key), "idempotent {idempotent}");
        assert_eq!(verdict(&first.join().unwrap()), "did_not_run");
        let copy = old.placer.submit(&request(&key, idempotent, 1));
        assert_eq!(
            copy.unwrap_err().code,
            ErrorCode::Cancelled,
            "idempotent {idempotent}"
        );
        (key, idempotent)
    });
    let new = cell.next_placer();
    for (key, idempotent) in keys {
        let copy = new.placer.submit(&request(&key, idempotent, 1));
        assert_eq!(
            copy.unwrap_err().code,
            ErrorCode::Cancelled,
            "idempotent {idempotent}"
        );
        assert_eq!(cell.executions(&key).len(), 0, "idempotent {idempotent}");
    }
}

/// Guards against placement on runners that have not announced themselves in the new epoch, which
/// would also accept create calls of the old placer.
#[test]
fn a_new_placer_uses_no_runner_before_its_announcement() {
    let cell = Cell::new(1);
    let _old = cell.next_placer();
    let new = cell.unannounced_placer();
    let key = fresh_key("unannounced");
    let mut submission = request(&key, false, 1);
    submission.deadline = Instant::now() + Duration::from_millis(200);
    let outcome = new.placer.submit(&submission);
    assert_eq!(verdict(&outcome), "did_not_run");
    assert_eq!(cell.executions(&key).len(), 0);
}

/// Guards against wrong verdicts and blocked duplicates when the log refuses or loses a record.
#[test]
fn faults_of_the_log_yield_correct_verdicts() {
    // Name, faults of the appends in order, expected verdict of the first caller, expected executions.
    let cases: [(&str, &[Option<AppendFault>], &str, usize); 5] = [
        (
            "refused intent",
            &[Some(AppendFault::Refuse)],
            "did_not_run",
            0,
        ),
        (
            "lost intent",
            &[Some(AppendFault::LoseRecord)],
            "may_have_run",
            0,
        ),
        (
            "unconfirmed intent",
            &[Some(AppendFault::LoseConfirmation)],
            "may_have_run",
            0,
        ),
        (
            "lost completion",
            &[None, Some(AppendFault::LoseRecord)],
            "ran",
            1,
        ),
        (
            "unconfirmed completion",
            &[None, Some(AppendFault::LoseConfirmation)],
            "ran",
            1,
        ),
    ];
    for (name, faults, expected, executions) in cases {
        let cell = Cell::new(1);
        let host = cell.next_placer();
        let key = fresh_key("log");
        let submission = request(&key, false, 50);
        cell.log.faults.lock().unwrap().extend(faults);
        let outcome = host.placer.submit(&submission);
        assert_eq!(verdict(&outcome), expected, "{name}: {outcome:?}");
        assert_eq!(cell.executions(&key).len(), executions, "{name}");
        // Neither the key nor the slot stays blocked.
        wait_until("the slot is free", || {
            host.placer.wait_until_idle(Instant::now())
        });
        let retry = host.placer.submit(&submission);
        assert_eq!(verdict(&retry), "ran", "{name}: {retry:?}");
        assert_eq!(cell.executions(&key).len(), 1, "{name}");
    }
}

/// Guards against a paused runner that resumes after the end of its lease while a retry is running.
#[test]
fn a_paused_runner_never_overlaps_another_attempt() {
    let cell = Cell::new(2);
    let host = cell.next_placer();
    let key = fresh_key("paused");
    let submission = request(&key, true, 50);
    let first = submit_in_background(&host.placer, &submission);
    cell.wait_for_execution(&key);
    let holder = cell
        .runners
        .values()
        .find(|runner| runner.tasks.started() == 1)
        .unwrap();
    holder.announcing.store(false, Ordering::SeqCst);
    holder.tasks.faults().pause(true);
    let outcome = first.join().unwrap();
    assert_eq!(verdict(&outcome), "may_have_run", "{outcome:?}");
    let retry = host.placer.submit(&submission);
    assert_eq!(verdict(&retry), "may_have_run", "{retry:?}");
    holder.tasks.faults().pause(false);
    wait_until("the resumed execution ends", || {
        cell.executions(&key)[0].ended_at.is_some()
    });
    assert_eq!(cell.executions(&key).len(), 1);
}

/// Guards against new work for a runner that is leaving, even if its slot was already assigned.
#[test]
fn a_leaving_runner_receives_no_new_work() {
    let cell = Cell::new(2);
    let host = cell.next_placer();
    let key = fresh_key("leaving");
    host.gates.after_append.close();
    let waiting = submit_in_background(&host.placer, &request(&key, false, 1));
    host.gates.after_append.wait_for_arrival();
    let announced = |phase: &str| {
        let announcements = host.placer.runner_announcements();
        announcements
            .iter()
            .filter(|announcement| announcement.phase.to_string() == phase)
            .count()
    };
    // With equal load, the first runner was selected.
    cell.runner(0).leaving.store(true, Ordering::SeqCst);
    wait_until("the runner is known to leave", || announced("leaving") == 1);
    host.gates.after_append.open();
    assert_eq!(verdict(&waiting.join().unwrap()), "ran");
    for index in 0..6 {
        let key = fresh_key(&format!("later-{index}"));
        assert_eq!(
            verdict(&host.placer.submit(&request(&key, false, 1))),
            "ran"
        );
    }
    assert_eq!(cell.runner(0).tasks.started(), 0);
}

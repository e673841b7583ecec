//! Duplicates, cancellation, retention and retry budgets of a placer.

mod placer_support;

use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::agent::faults::Fault;
use jujubewinch::verdict::{ErrorCode, Verdict};
use placer_support::{
    AppendFault, Cell, WAIT_TIMEOUT, fresh_key, request, submit_in_background, verdict, wait_until,
};

/// Guards against duplicates that wait until their own deadline after the first submission was refused
/// in the queue.
#[test]
fn duplicates_of_a_refused_request_receive_its_refusal() {
    let cell = Cell::new(0);
    let host = cell.next_placer();
    let key = fresh_key("refused");
    let mut short = request(&key, false, 1);
    short.deadline = Instant::now() + Duration::from_millis(300);
    let first = submit_in_background(&host.placer, &short);
    wait_until("the request is queued", || {
        host.placer.queued_requests() == 1
    });
    let duplicate = host.placer.submit(&request(&key, false, 1));
    let first = first.join().unwrap();
    assert_eq!(verdict(&first), "did_not_run");
    assert_eq!(duplicate, first);
}

/// Guards against duplicates that wait forever for an attempt whose intent failed.
#[test]
fn a_failed_intent_frees_the_waiting_duplicates() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let key = fresh_key("failed-intent");
    let submission = request(&key, false, 1);
    cell.log
        .faults
        .lock()
        .unwrap()
        .push_back(Some(AppendFault::Refuse));
    host.gates.before_append.close();
    let first = submit_in_background(&host.placer, &submission);
    host.gates.before_append.wait_for_arrival();
    let duplicates = [0, 1].map(|_| submit_in_background(&host.placer, &submission));
    host.gates.before_append.open();
    assert_eq!(verdict(&first.join().unwrap()), "did_not_run");
    for duplicate in duplicates {
        // A duplicate that arrived after the failure makes its own attempt.
        let outcome = duplicate.join().unwrap();
        assert_ne!(verdict(&outcome), "may_have_run", "{outcome:?}");
    }
    assert!(cell.executions(&key).len() <= 1);
}

/// Guards against a duplicate whose shorter deadline ends the request for other callers.
#[test]
fn a_shorter_deadline_ends_only_its_own_wait() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let key = fresh_key("shorter");
    let first = submit_in_background(&host.placer, &request(&key, false, 300));
    cell.wait_for_execution(&key);
    let mut short = request(&key, false, 300);
    short.deadline = Instant::now() + Duration::from_millis(20);
    assert_eq!(verdict(&host.placer.submit(&short)), "may_have_run");
    assert_eq!(verdict(&first.join().unwrap()), "ran");
}

/// Guards against a request that is abandoned at its caller's deadline. A retry must receive the
/// recorded answer.
#[test]
fn a_request_finishes_after_its_callers_deadline() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let key = fresh_key("gone");
    let mut short = request(&key, false, 400);
    short.deadline = Instant::now() + Duration::from_millis(100);
    assert_eq!(verdict(&host.placer.submit(&short)), "may_have_run");
    let retry = host.placer.submit(&request(&key, false, 400));
    assert_eq!(
        retry.map(|answer| answer.body),
        Ok(key.clone().into_bytes())
    );
    assert_eq!(cell.executions(&key).len(), 1);
}

/// Guards against one key that is accepted for two different requests, at every stage of the first.
#[test]
fn a_conflicting_request_is_refused_at_every_stage() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let runner = cell.runner(0);
    let key = fresh_key("conflict");
    let conflicting = request(&key, false, 999);
    let refused = || {
        let error = host.placer.submit(&conflicting).unwrap_err();
        assert_eq!(error.code, ErrorCode::KeyConflict);
        assert_eq!(error.verdict, Verdict::DidNotRun);
    };
    let blockers: Vec<_> = (0..placer_support::SLOTS)
        .map(|index| {
            let blocker = request(&fresh_key(&format!("blocker-{index}")), true, 300);
            submit_in_background(&host.placer, &blocker)
        })
        .collect();
    wait_until("all slots are busy", || {
        runner.tasks.running() == placer_support::SLOTS
    });
    let first = submit_in_background(&host.placer, &request(&key, false, 300));
    wait_until("the request is queued", || {
        host.placer.queued_requests() == 1
    });
    refused();
    cell.wait_for_execution(&key);
    refused();
    assert_eq!(verdict(&first.join().unwrap()), "ran");
    refused();
    for blocker in blockers {
        assert_eq!(verdict(&blocker.join().unwrap()), "ran");
    }
}

/// Guards against wrong replies to cancellations of waiting, running and finished requests.
#[test]
fn cancellations_report_whether_the_request_may_run() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let running_key = fresh_key("running");
    let running = submit_in_background(&host.placer, &request(&running_key, false, 20_000));
    cell.wait_for_execution(&running_key);
    let blocking_key = fresh_key("blocking");
    let blocking = submit_in_background(&host.placer, &request(&blocking_key, true, 20_000));
    cell.wait_for_execution(&blocking_key);
    let waiting_key = fresh_key("waiting");
    let waiting = submit_in_background(&host.placer, &request(&waiting_key, false, 1));
    wait_until("the request is queued", || {
        host.placer.queued_requests() == 1
    });

    assert!(host.placer.cancel(&waiting_key));
    let error = waiting.join().unwrap().unwrap_err();
    assert_eq!(
        (error.code, error.verdict),
        (ErrorCode::Cancelled, Verdict::DidNotRun)
    );
    assert_eq!(cell.executions(&waiting_key).len(), 0);
    for (key, handle) in [(running_key, running), (blocking_key, blocking)] {
        assert!(!host.placer.cancel(&key));
        let error = handle.join().unwrap().unwrap_err();
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::Cancelled, Verdict::MayHaveRun)
        );
        assert_eq!(cell.executions(&key).len(), 1);
        assert!(!host.placer.cancel(&key));
    }
    let finished = fresh_key("finished");
    assert_eq!(
        verdict(&host.placer.submit(&request(&finished, false, 1))),
        "ran"
    );
    assert!(!host.placer.cancel(&finished));
}

/// Guards against a create call that is sent after its request was cancelled.
#[test]
fn a_request_cancelled_before_its_create_does_not_run() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let key = fresh_key("cancelled-intent");
    host.gates.after_append.close();
    let submitted = submit_in_background(&host.placer, &request(&key, false, 1));
    host.gates.after_append.wait_for_arrival();
    let placer = std::sync::Arc::clone(&host.placer);
    let cancelled_key = key.clone();
    let cancelled = thread::spawn(move || placer.cancel(&cancelled_key));
    thread::sleep(Duration::from_millis(20));
    host.gates.after_append.open();
    let error = submitted.join().unwrap();
    let certain = cancelled.join().unwrap();
    if certain {
        assert_eq!(verdict(&error), "did_not_run");
        assert_eq!(cell.executions(&key).len(), 0);
    }
}

/// Guards against unlimited retries while every runner refuses.
#[test]
fn retries_stop_when_the_budget_is_exhausted() {
    let cell = Cell::new(2);
    for runner in cell.runners.values() {
        runner.tasks.leave();
    }
    let host = cell.next_placer();
    for index in 0..4 {
        let key = fresh_key(&format!("budget-{index}"));
        let mut submission = request(&key, true, 1);
        submission.deadline = Instant::now() + Duration::from_secs(2);
        assert_eq!(verdict(&host.placer.submit(&submission)), "did_not_run");
    }
    // Each attempt leaves one tombstone. The budget starts with 16 retries.
    let attempts: usize = cell
        .runners
        .values()
        .map(|runner| runner.tasks.records())
        .sum();
    assert!(attempts <= 4 + 16 + 1, "{attempts} attempts");
}

/// Guards against endless queries to a runner whose answers always arrive corrupted.
#[test]
fn a_runner_that_only_sends_corrupted_answers_fails_the_request() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let key = fresh_key("corrupted");
    let faults = [Fault::CorruptAnswer; 20];
    cell.runner(0).tasks.faults().inject(&faults);
    let error = host.placer.submit(&request(&key, false, 0)).unwrap_err();
    assert_eq!(
        (error.code, error.verdict),
        (ErrorCode::TaskFailed, Verdict::Ran)
    );
    assert_eq!(cell.executions(&key).len(), 1);
}

/// Guards against a replaced process of a runner that renews its lease.
#[test]
fn a_former_incarnation_is_granted_no_lease() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let mut announcement = host.placer.runner_announcements().remove(0);
    announcement.incarnation += 1;
    assert!(host.placer.announce(announcement.clone()).is_ok());
    announcement.incarnation -= 1;
    assert!(host.placer.announce(announcement).is_err());
}

/// Guards against records that runners keep after the completion of their task was committed.
#[test]
fn runners_are_told_to_drop_committed_tasks() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    for index in 0..20 {
        let key = fresh_key(&format!("dropped-{index}"));
        assert_eq!(verdict(&host.placer.submit(&request(&key, true, 0))), "ran");
    }
    wait_until("the records are dropped", || {
        cell.runner(0).tasks.records() == 0
    });
}

/// Guards against a late copy of a create call that starts its task again after the record was
/// dropped.
#[test]
fn a_late_copy_of_a_finished_create_starts_nothing() {
    let cell = Cell::new(1);
    let host = cell.next_placer();
    let key = fresh_key("late-copy");
    let late = Duration::from_millis(1_500);
    let faults = [Fault::DelayRequest(late)];
    cell.runner(0).tasks.faults().inject(&faults);
    assert_eq!(
        verdict(&host.placer.submit(&request(&key, false, 1))),
        "ran"
    );
    thread::sleep(late + Duration::from_millis(300));
    assert_eq!(cell.executions(&key).len(), 1);
}

/// Guards against a key that is accepted again after its record was dropped.
#[test]
fn a_key_whose_record_was_dropped_is_refused() {
    let mut cell = Cell::new(1);
    cell.timing.key_retention_ms = 1_000;
    let host = cell.next_placer();
    let key = fresh_key("expiring");
    let submission = request(&key, false, 0);
    assert_eq!(verdict(&host.placer.submit(&submission)), "ran");
    wait_until("the record is dropped", || {
        cell.log.state.lock().unwrap().keys.is_empty()
    });
    let error = host.placer.submit(&submission).unwrap_err();
    assert_eq!(
        (error.code, error.verdict),
        (ErrorCode::KeyExpired, Verdict::MayHaveRun)
    );
    assert_eq!(cell.executions(&key).len(), 1);
}

/// Guards against wrong verdicts of a host that loses its role while requests wait.
#[test]
fn waiting_requests_are_refused_when_the_role_is_lost() {
    let cell = Cell::new(0);
    let host = cell.next_placer();
    let submission = request(&fresh_key("role"), false, 1);
    let waiting = submit_in_background(&host.placer, &submission);
    wait_until("the request is queued", || {
        host.placer.queued_requests() == 1
    });
    cell.log.begin_epoch();
    let error = waiting.join().unwrap().unwrap_err();
    assert!(jujubewinch::placer::is_not_placer(&error), "{error}");
    assert_eq!(host.placer.queued_requests(), 0);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    assert!(host.placer.wait_until_idle(deadline));
}

//! Tests workers that crash and start again under their old identifier and address, and then
//! receive calls that were sent to their former process.

mod platform_support;

use std::thread;
use std::time::Duration;

use platform_support::run_record::overlaps;
use platform_support::runner::RunnerOptions;
use platform_support::{Cell, Ports, Runner, await_some};

const JOB: &str = "00c0ffee00c0ffee";
/// Reading of the clock of a first process: a lease on it ends far ahead on the clock of the next.
const FIRST_CLOCK: Duration = Duration::from_secs(600);
/// Age of the cell at the crash. A new leader waits some 10.4 s for leases of an earlier one; leases
/// that it grants from this age on, for 6 s, end later, so that they alone decide.
const AGE_AT_CRASH: Duration = Duration::from_secs(5);

/// When a restarted worker carries out the renewal for its former process.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Delivery {
    /// Before any other call.
    First,
    /// After it was cut off from the cell.
    AfterCut,
}

/// Cuts a worker off that has carried out a renewal for its former process and runs a long task, and
/// checks that the task starts elsewhere only after that run has lapsed.
fn cut_off_after_former_renewal(first_port: u16, delivery: Delivery) {
    let folder = tempfile::tempdir().unwrap();
    let cell = Cell::start(folder.path(), Ports::starting_at(first_port));
    assert_eq!(cell.configure(1).status, 200);
    let options = RunnerOptions {
        run_time: Duration::from_secs(60),
        first_clock: FIRST_CLOCK,
        ..RunnerOptions::default()
    };
    let restarted = Runner::start_with(options);
    cell.announce("i-1", &restarted, 1);
    thread::sleep(AGE_AT_CRASH);

    let is_renewal =
        |request: &str| request.contains("/api/hold") && request.contains("deadline_ms");
    restarted.proxy().hold(Some(Box::new(is_renewal)));
    await_some(|| restarted.proxy().holds_request().then_some(()));
    restarted.crash();
    restarted.proxy().hold(None);
    let held = restarted.proxy().take_held();
    let (first, late): (&[_], &[_]) = match delivery {
        Delivery::First => (&held, &[]),
        Delivery::AfterCut => (&[], &held),
    };
    restarted.restart(first);
    cell.announce("i-1", &restarted, 1);
    cell.submit_task(JOB);
    restarted.await_start();
    restarted.proxy().set_cut(true);
    restarted.deliver(late);

    let other = Runner::start_with(options);
    cell.announce("i-2", &other, 1);
    other.await_start();
    assert_eq!(
        overlaps(&[&restarted, &other]),
        0,
        "two runs of the task at once"
    );
}

/// Guards against a second run of a task while the first one is at work on a worker whose lease was
/// lengthened by a renewal for its former process, which it carried out before any other call.
#[test]
fn a_renewal_for_the_former_process_of_a_worker_does_not_start_its_task_twice() {
    cut_off_after_former_renewal(17_300, Delivery::First);
}

/// Guards against the same when the worker carries out the renewal only after it was cut off.
#[test]
fn a_late_renewal_for_the_former_process_of_a_worker_does_not_start_its_task_twice() {
    cut_off_after_former_renewal(17_305, Delivery::AfterCut);
}

/// Guards against a second run of a task when a worker crashes before its start order arrives and
/// the next process carries it out.
#[test]
fn a_start_for_the_former_process_of_a_worker_does_not_start_its_task_twice() {
    let folder = tempfile::tempdir().unwrap();
    let cell = Cell::start(folder.path(), Ports::starting_at(17_335));
    assert_eq!(cell.configure(1).status, 200);
    let options = RunnerOptions {
        run_time: Duration::from_secs(3),
        ..RunnerOptions::default()
    };
    let restarted = Runner::start_with(options);
    cell.announce("i-1", &restarted, 1);
    let is_start = |request: &str| request.contains("/api/run-start");
    restarted.proxy().hold(Some(Box::new(is_start)));
    cell.submit_task(JOB);
    await_some(|| restarted.proxy().holds_request().then_some(()));
    let other = Runner::start_with(options);
    cell.announce("i-2", &other, 1);
    restarted.crash();
    // Stop orders are lost, so that the run of the next process is at work for its whole run time.
    let is_stop = |request: &str| request.contains("/api/run-stop");
    restarted.proxy().hold(Some(Box::new(is_stop)));
    restarted.restart(&restarted.proxy().take_held());
    cell.announce("i-1", &restarted, 1);
    await_some(|| (cell.state(JOB).as_deref() == Some("completed")).then_some(()));
    assert_eq!(
        overlaps(&[&restarted, &other]),
        0,
        "two runs of the task at once"
    );
}

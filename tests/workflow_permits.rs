//! Tests workers that start again under their identifiers, get permits of the placement policy for the
//! new process before the cell knows of it, and are cut off.

mod platform_support;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use platform_support::await_some;
use platform_support::permit_hosts::{AGE_AT_CRASH, DOWN_TIME, ORDER_TIME, PermitHosts, long_runs};
use platform_support::proxy::{is_acknowledgement, is_start};
use platform_support::run_record::repeats;
use platform_support::runner::RunnerOptions;

/// Attempts of a relay to send a start order.
const ORDER_ATTEMPTS: usize = 3;
/// Delay of a start order that is carried out late, but before its permit has expired.
const LATE_START: Duration = Duration::from_millis(2_200);

/// Run time of a task that ends before the cell knows of the process that runs it.
const SHORT_RUN: Duration = Duration::from_millis(300);

/// Cuts a worker off that restarted unseen and runs a task with a permit for the new process. Some
/// answers to the start order may be lost.
fn cut_off_after_unseen_restart(first_port: u16, lost_answers: usize) {
    let mut hosts = PermitHosts::start(first_port);
    let restarted = hosts.add("i-1", long_runs());
    thread::sleep(AGE_AT_CRASH);
    restarted
        .lose_answers
        .store(lost_answers, Ordering::Release);
    hosts.order_start_on_unknown_process(&restarted, || restarted.is_at_work());
    restarted.proxy().set_cut(true);
    hosts.expect_no_second_run(&restarted);
}

/// Guards against two runs of a task at once: a permit was issued for a process that the cell did not
/// know, whose run ended with the lease of the former process when the worker was cut off.
#[test]
fn a_task_with_a_permit_for_an_unknown_process_does_not_start_twice() {
    cut_off_after_unseen_restart(17_640, 0);
}

/// Guards against the same when no answer has shown that the worker restarted.
#[test]
fn a_task_whose_permitted_start_has_no_answer_does_not_start_twice() {
    cut_off_after_unseen_restart(17_645, ORDER_ATTEMPTS);
}

/// Guards against the same after a change of the placer: the order of the former one was carried out
/// late, while its permit was valid.
#[test]
fn a_late_permitted_start_of_a_former_placer_does_not_start_its_task_twice() {
    let mut hosts = PermitHosts::start(17_650);
    let restarted = hosts.add("i-1", long_runs());
    thread::sleep(AGE_AT_CRASH);
    restarted.proxy().hold(Some(Box::new(is_start)));
    hosts.order_start_on_unknown_process(&restarted, || restarted.proxy().holds_request());
    let sent_at = Instant::now();
    restarted.proxy().set_cut(true);
    let (_, leader) = hosts.processes.leader().unwrap();
    hosts.processes.kill(leader);
    hosts.processes.start_host(leader);
    thread::sleep((sent_at + LATE_START).saturating_duration_since(Instant::now()));
    restarted.deliver(&restarted.proxy().take_held()[..1]);
    hosts.expect_no_second_run(&restarted);
}

/// Guards against finished work that runs again: a process that the cell does not know runs a task with
/// a permit, and then carries out an acknowledgement for its former process, which makes it forget the
/// end before anybody has read it.
#[test]
fn a_late_acknowledgement_erases_no_end_of_a_permitted_run() {
    let mut hosts = PermitHosts::start(17_655);
    let short = RunnerOptions {
        run_time: SHORT_RUN,
        ..long_runs()
    };
    let restarted = hosts.add("i-1", short);
    thread::sleep(AGE_AT_CRASH);
    restarted.proxy().hold(Some(Box::new(is_acknowledgement)));
    hosts.cell.submit_task("00c0ffee00000100");
    await_some(|| restarted.proxy().holds_request().then_some(()));
    restarted.crash_unseen(DOWN_TIME);
    let job = "00c0ffee00000101";
    hosts.cell.submit_task(job);
    let submitted_at = Instant::now();
    while restarted.listed_ends() == 0 && submitted_at.elapsed() < ORDER_TIME {
        thread::sleep(Duration::from_millis(10));
    }
    restarted.deliver(&restarted.proxy().take_held());
    restarted.proxy().hold(None);

    let other = hosts.add("i-2", short);
    let cell = &hosts.cell;
    let announced = restarted.next_heartbeat();
    cell.announce("i-1", &restarted, announced);
    cell.await_with_heartbeats("i-2", &other, || {
        (cell.state(job).as_deref() == Some("completed")).then_some(())
    });
    assert_eq!(
        repeats(&[&restarted, &other]),
        [],
        "finished work ran again"
    );
    hosts.processes.assert_running();
}

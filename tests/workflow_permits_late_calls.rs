//! Tests calls for the former process of a worker that are held over an unseen restart and carried out
//! by the next process, after an order with a permit for that one.

mod platform_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_support::permit_hosts::{DOWN_TIME, MAX_RESTARTS, ORDER_TIME, PermitHosts, long_runs};
use platform_support::proxy::{is_acknowledgement, is_renewal};
use platform_support::run_record::{overlaps, repeats};
use platform_support::runner::RunnerOptions;
use platform_support::{CellSize, Runner, await_some, heartbeat};
use rustix::process::Signal;
use serde_json::{Value, json};

/// Age of the cell at the first job.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time in which a relay gives up an acknowledgement and sends it again, or a worker gets another
/// relay, which then sends its acknowledgement.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Run time of a task that ends before the cell knows of the process that runs it.
const SHORT_RUN: Duration = Duration::from_millis(300);

/// Attempts of a relay to send a start order.
const ORDER_ATTEMPTS: usize = 3;
/// A cell with a placement policy, whose caller may change its entry host.
struct Hosts {
    permit: PermitHosts,
    /// Entry host that serves the caller.
    entry: usize,
}

impl Hosts {
    fn start(first_port: u16, entry_hosts: usize) -> Self {
        let size = CellSize {
            entry_hosts,
            ..CellSize::SMALL
        };
        Self {
            permit: PermitHosts::start_with_size(first_port, size),
            entry: *size.entries().start(),
        }
    }

    /// Restarts a worker while a renewal for its former process is on its way, and submits a job at once,
    /// until the next process runs a task before the cell knows of that process. Returns the renewals.
    fn restart_with_held_renewal(&self, worker: &Arc<Runner>) -> Vec<Vec<u8>> {
        for number in 0..MAX_RESTARTS {
            let renews = |request: &str| is_renewal(request) && request.contains("deadline_ms");
            worker.proxy().hold(Some(Box::new(renews)));
            await_some(|| worker.proxy().holds_request().then_some(()));
            worker.crash_unseen(DOWN_TIME);
            let job = format!("00c0ffee{number:08x}");
            self.submit(&job);
            let submitted_at = Instant::now();
            while submitted_at.elapsed() < ORDER_TIME {
                if worker.is_at_work() {
                    worker.proxy().set_cut(true);
                    worker.proxy().hold(None);
                    return worker.proxy().take_held();
                }
                thread::sleep(Duration::from_millis(10));
            }
            worker.proxy().hold(None);
            worker.proxy().take_held();
            let path = format!("/plans/{job}");
            self.permit
                .cell
                .caller_at(self.entry, Method::DELETE, &path, &Value::Null);
            self.permit
                .cell
                .announce("i-1", worker, worker.next_heartbeat());
            thread::sleep(WARM_UP);
        }
        panic!("no start order reached a process that the cell did not know");
    }

    fn submit(&self, job: &str) {
        let body = json!({"task_spec": "plan", "steps": [
            {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 60_000}]});
        let path = format!("/plans/{job}");
        await_some(|| {
            let answer = self
                .permit
                .cell
                .caller_at(self.entry, Method::POST, &path, &body)?;
            (answer.status == 200).then_some(())
        });
    }

    fn is_completed(&self, job: &str) -> bool {
        let path = format!("/plans/{job}");
        let answer = self
            .permit
            .cell
            .caller_at(self.entry, Method::GET, &path, &Value::Null);
        let body = answer.and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
        body.is_some_and(|body| body["state"] == "completed")
    }

    /// Stops the process of the relay of the only worker as in a pause, and waits for the next relay.
    /// The caller uses an entry host that runs.
    fn pause_relay(&mut self) -> usize {
        let relay = self
            .permit
            .processes
            .last_host_with_line("start order answered");
        let relay = relay.expect("a start order was answered");
        self.permit.processes.signal(relay, Signal::STOP);
        let mut entries = self.permit.cell.size.entries();
        self.entry = entries.find(|entry| *entry != relay).unwrap();
        let moved = || {
            self.permit
                .processes
                .last_host_with_line("worker gets another relay")
        };
        await_some(moved);
        relay
    }
}

fn hold_first_acknowledgement(worker: &Runner) {
    let is_held = AtomicBool::new(false);
    let first_acknowledgement =
        move |request: &str| is_acknowledgement(request) && !is_held.swap(true, Ordering::AcqRel);
    worker.proxy().hold(Some(Box::new(first_acknowledgement)));
}

fn short_runs() -> RunnerOptions {
    RunnerOptions {
        run_time: SHORT_RUN,
        ..long_runs()
    }
}

/// Starts a cell with a worker of which the first acknowledgement is held, and changes its relay then or
/// does not. Returns the former relay, whose process stands still.
fn with_held_acknowledgement(
    first_port: u16,
    changes_relay: bool,
) -> (Hosts, Arc<Runner>, Option<usize>) {
    let mut hosts = Hosts::start(first_port, 1 + usize::from(changes_relay));
    let worker = hosts.permit.add("i-1", short_runs());
    thread::sleep(WARM_UP);
    hold_first_acknowledgement(&worker);
    hosts.submit("00c0ffee00000100");
    let holds = || worker.proxy().holds_request().then_some(());
    hosts
        .permit
        .cell
        .await_with_heartbeats("i-1", &worker, holds);
    let former = changes_relay.then(|| hosts.pause_relay());
    (hosts, worker, former)
}

/// Holds the first acknowledgement to a worker, restarts the worker unseen after later calls were
/// answered, lets the next process run a task with a permit to its end, and delivers the
/// acknowledgement then.
fn deliver_acknowledgement_after_permitted_run(first_port: u16, changes_relay: bool) {
    let (mut hosts, restarted, former) = with_held_acknowledgement(first_port, changes_relay);
    thread::sleep(SETTLING_TIME);
    assert_eq!(
        restarted.listed_ends(),
        0,
        "no later acknowledgement was answered"
    );

    let received = restarted.received();
    await_some(|| (restarted.received() > received).then_some(()));
    restarted.crash_unseen(DOWN_TIME);
    let job = "00c0ffee00000101";
    hosts.submit(job);
    let submitted_at = Instant::now();
    while restarted.listed_ends() == 0 && submitted_at.elapsed() < ORDER_TIME {
        thread::sleep(Duration::from_millis(10));
    }
    eprintln!(
        "ends of the next process before the delivery: {}",
        restarted.listed_ends()
    );
    restarted.deliver(&restarted.proxy().take_held());
    restarted.proxy().hold(None);
    if let Some(former) = former {
        hosts.permit.processes.signal(former, Signal::CONT);
    }

    let other = hosts.permit.add("i-2", short_runs());
    let cell = &hosts.permit.cell;
    cell.announce("i-1", &restarted, restarted.next_heartbeat());
    cell.await_with_heartbeats("i-2", &other, || hosts.is_completed(job).then_some(()));
    assert_eq!(
        repeats(&[&restarted, &other]),
        [],
        "finished work ran again"
    );
    hosts.permit.processes.assert_running();
}

/// Guards against finished work that runs again: the acknowledgement of a former relay, which had the
/// token of the start order of the next one, erased the end of a permitted run.
#[test]
fn an_acknowledgement_of_a_former_relay_erases_no_end_of_a_permitted_run() {
    deliver_acknowledgement_after_permitted_run(23_000, true);
}

/// Guards against the same with one relay, which had given up the answer to its acknowledgement.
#[test]
fn an_acknowledgement_that_was_given_up_erases_no_end_of_a_permitted_run() {
    deliver_acknowledgement_after_permitted_run(23_010, false);
}

/// Lets the unseen next process of a worker run a long task with a permit, cuts the worker off, and lets
/// it carry out a renewal for its former process some time after the order, since the renewal was late
/// on its way or since the process is slow.
fn renew_after_permitted_start(first_port: u16, delay: Duration, process_is_slow: bool) {
    let mut hosts = Hosts::start(first_port, 1);
    let long = long_runs();
    let restarted = hosts.permit.add("i-1", long);
    thread::sleep(WARM_UP);
    restarted
        .lose_answers
        .store(ORDER_ATTEMPTS, Ordering::Release);
    let renewals = hosts.restart_with_held_renewal(&restarted);
    let started_at = Instant::now();
    let other = hosts.permit.add("i-2", long);
    let renewal = renewals[..1].to_vec();
    let worker = Arc::clone(&restarted);
    let renewing = thread::spawn(move || {
        if process_is_slow {
            let delay_ms = u64::try_from(delay.as_millis()).unwrap();
            worker.renewal_delay_ms.store(delay_ms, Ordering::Release);
        } else {
            thread::sleep(delay);
        }
        worker.deliver(&renewal);
    });
    let cell = &hosts.permit.cell;
    cell.await_with_heartbeats("i-2", &other, || other.is_at_work().then_some(()));
    eprintln!(
        "the other worker starts the task {} ms after the order",
        started_at.elapsed().as_millis()
    );
    renewing.join().unwrap();
    assert_eq!(
        overlaps(&[&restarted, &other]),
        0,
        "two runs of the task at once"
    );
    hosts.permit.processes.assert_running();
}

/// Guards against two runs of a task at once: a renewal for the former process lengthened the lease of a
/// permitted run of the next one, of which no answer had told.
#[test]
fn a_renewal_four_seconds_late_lengthens_no_lease_of_a_permitted_run() {
    renew_after_permitted_start(23_020, Duration::from_secs(4), false);
}

/// Guards against the same with a renewal that is held for as long as a cut lasts.
#[test]
fn a_renewal_nine_seconds_late_lengthens_no_lease_of_a_permitted_run() {
    renew_after_permitted_start(23_030, Duration::from_secs(9), false);
}

/// Guards against the same with a renewal that has arrived, in a process that stands still.
#[test]
fn a_renewal_in_a_slow_process_lengthens_no_lease_of_a_permitted_run() {
    renew_after_permitted_start(23_040, Duration::from_secs(9), true);
}

/// Time in which a task is placed and starts, also on a busy machine: the placer repeats an order that a
/// relay has dropped after 1.6 s.
const START_TIME: Duration = Duration::from_millis(1_500);
/// The same where an acknowledgement has no answer: a relay gives it up after 1.6 s at the latest, and
/// the repeated order still has a valid permit.
const START_TIME_BESIDE_ACKNOWLEDGEMENT: Duration = Duration::from_millis(3_600);

/// Returns the time between the acceptance of a job and the start of its task on a sound worker of which
/// an acknowledgement has no answer, after a change of the relay or beside the attempt.
fn start_delay(first_port: u16, changes_relay: bool) -> Duration {
    let (mut hosts, worker, former) = with_held_acknowledgement(first_port, changes_relay);
    if changes_relay {
        thread::sleep(SETTLING_TIME);
    }
    hosts.submit("00c0ffee00000101");
    let submitted_at = Instant::now();
    let has_started = || (worker.starts().len() == 2).then_some(());
    hosts
        .permit
        .cell
        .await_with_heartbeats("i-1", &worker, has_started);
    let delay = submitted_at.elapsed();
    eprintln!("the task starts {} ms after its job", delay.as_millis());
    if let Some(former) = former {
        hosts.permit.processes.signal(former, Signal::CONT);
    }
    hosts.permit.processes.assert_running();
    delay
}

/// Guards against a first order after a change of the relay that is dropped, since it has a higher token
/// than the calls before it.
#[test]
fn a_permitted_task_starts_at_once_after_a_change_of_the_relay() {
    assert!(start_delay(23_050, true) < START_TIME);
}

/// Guards against work with a permit that is held back for long beside an acknowledgement without an
/// answer.
#[test]
fn a_permitted_task_starts_soon_beside_an_acknowledgement_without_an_answer() {
    assert!(start_delay(23_060, false) < START_TIME_BESIDE_ACKNOWLEDGEMENT);
}

/// Guards against two runs of a task at once: a worker restarts twice unseen and runs a task with a permit
/// for its third process, and the cell hears of the second one before the worker is cut off.
#[test]
fn a_task_on_a_process_two_restarts_later_does_not_start_twice() {
    let mut hosts = Hosts::start(23_070, 1);
    let long = long_runs();
    let restarted = hosts.permit.add("i-1", long);
    thread::sleep(WARM_UP);
    let mut second = Value::Null;
    for number in 0..MAX_RESTARTS {
        let received = restarted.received();
        await_some(|| (restarted.received() > received).then_some(()));
        restarted.crash_unseen(DOWN_TIME);
        second = heartbeat(&restarted, restarted.next_heartbeat());
        restarted.crash_unseen(DOWN_TIME);
        let job = format!("00c0ffee{number:08x}");
        hosts.submit(&job);
        let submitted_at = Instant::now();
        while !restarted.is_at_work() && submitted_at.elapsed() < ORDER_TIME {
            thread::sleep(Duration::from_millis(10));
        }
        if restarted.is_at_work() {
            break;
        }
        let path = format!("/plans/{job}");
        let cell = &hosts.permit.cell;
        cell.caller_at(hosts.entry, Method::DELETE, &path, &Value::Null);
        cell.announce("i-1", &restarted, restarted.next_heartbeat());
        thread::sleep(WARM_UP);
    }
    assert!(restarted.is_at_work(), "no start order reached the process");
    let answer = hosts
        .permit
        .cell
        .control(&Method::PUT, "/api/instances/i-1", &second);
    assert_eq!(answer.status, 200);
    restarted.proxy().set_cut(true);
    let other = hosts.permit.add("i-2", long);
    hosts
        .permit
        .cell
        .await_with_heartbeats("i-2", &other, || other.is_at_work().then_some(()));
    assert_eq!(
        overlaps(&[&restarted, &other]),
        0,
        "two runs of the task at once"
    );
    hosts.permit.processes.assert_running();
}

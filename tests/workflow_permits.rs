//! Tests workers that start again under their identifiers, get permits of the placement policy for the
//! new process before the cell knows of it, and are cut off.

mod platform_support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_support::policy::PolicyService;
use platform_support::processes::HostProcesses;
use platform_support::run_record::{overlaps, repeats};
use platform_support::runner::RunnerOptions;
use platform_support::{Cell, CellSize, Ports, Runner, await_some, configuration_with_policy};
use serde_json::Value;
use tempfile::TempDir;

/// Reading of the clock of a first process: a lease on it ends far ahead on the clock of the next.
const FIRST_CLOCK: Duration = Duration::from_secs(600);
/// Age of the cell at the crash. Leases that are granted from this age on end later than those that
/// an earlier placer may have granted.
const AGE_AT_CRASH: Duration = Duration::from_secs(5);
/// Time between a crash and the start of the next process.
const DOWN_TIME: Duration = Duration::from_millis(100);
/// Time in which an order for a worker that restarted unseen is sent or dropped.
const ORDER_TIME: Duration = Duration::from_millis(2_500);
/// Restarts in which the order may arrive too late, as on a busy machine.
const MAX_RESTARTS: u64 = 8;

/// Attempts of a relay to send a start order.
const ORDER_ATTEMPTS: usize = 3;
/// Delay of a start order that is carried out late, but before its permit has expired.
const LATE_START: Duration = Duration::from_millis(2_200);

/// Run time of a task that ends before the cell knows of the process that runs it.
const SHORT_RUN: Duration = Duration::from_millis(300);

/// A cell of processes whose queue has a placement policy.
struct Hosts {
    policy: PolicyService,
    cell: Cell,
    processes: HostProcesses,
    _folder: TempDir,
}

impl Hosts {
    fn start(first_port: u16) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let policy = PolicyService::start();
        let (ports, size) = (Ports::starting_at(first_port), CellSize::SMALL);
        let processes = HostProcesses::start_with_policy(folder.path(), ports, size, &policy);
        let cell = Cell::of_processes(ports, size);
        let document = configuration_with_policy(1);
        let answer = cell.control(&Method::PUT, "/api/config", &document);
        assert_eq!(answer.status, 200);
        Self {
            policy,
            cell,
            processes,
            _folder: folder,
        }
    }

    fn add(&self, id: &str, options: RunnerOptions) -> Arc<Runner> {
        let runner = Runner::start_with(options);
        self.policy.add(id, &runner);
        self.cell.announce(id, &runner, runner.next_heartbeat());
        runner
    }

    /// Restarts a worker unseen and submits a job at once, until a start order is seen before the cell
    /// knows of the new process.
    fn order_start_on_unknown_process(&self, worker: &Arc<Runner>, is_seen: impl Fn() -> bool) {
        for number in 0..MAX_RESTARTS {
            let received = worker.received();
            await_some(|| (worker.received() > received).then_some(()));
            worker.crash_unseen(DOWN_TIME);
            let job = format!("00c0ffee{number:08x}");
            self.cell.submit_task(&job);
            let submitted_at = Instant::now();
            while submitted_at.elapsed() < ORDER_TIME {
                if is_seen() {
                    return;
                }
                thread::sleep(Duration::from_millis(10));
            }
            let path = format!("/plans/{job}");
            self.cell.caller(Method::DELETE, &path, &Value::Null);
            self.cell.announce("i-1", worker, worker.next_heartbeat());
            thread::sleep(AGE_AT_CRASH);
        }
        panic!("no start order reached a process that the cell did not know");
    }
}

fn options() -> RunnerOptions {
    RunnerOptions {
        run_time: Duration::from_secs(60),
        first_clock: FIRST_CLOCK,
        ..RunnerOptions::default()
    }
}

/// Adds a worker to the cell and checks that it starts the task only after its run on the worker that
/// is cut off has lapsed.
fn expect_no_second_run(hosts: &mut Hosts, cut_off: &Runner) {
    let other = hosts.add("i-2", options());
    let cell = &hosts.cell;
    cell.await_with_heartbeats("i-2", &other, || other.is_at_work().then_some(()));
    assert_eq!(
        overlaps(&[cut_off, &other]),
        0,
        "two runs of the task at once"
    );
    hosts.processes.assert_running();
}

/// Cuts a worker off that restarted unseen and runs a task with a permit for the new process. Some
/// answers to the start order may be lost.
fn cut_off_after_unseen_restart(first_port: u16, lost_answers: usize) {
    let mut hosts = Hosts::start(first_port);
    let restarted = hosts.add("i-1", options());
    thread::sleep(AGE_AT_CRASH);
    restarted
        .lose_answers
        .store(lost_answers, Ordering::Release);
    hosts.order_start_on_unknown_process(&restarted, || restarted.is_at_work());
    restarted.proxy().set_cut(true);
    expect_no_second_run(&mut hosts, &restarted);
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
    let mut hosts = Hosts::start(17_650);
    let restarted = hosts.add("i-1", options());
    thread::sleep(AGE_AT_CRASH);
    let is_start = |request: &str| request.contains("/api/run-start");
    restarted.proxy().hold(Some(Box::new(is_start)));
    hosts.order_start_on_unknown_process(&restarted, || restarted.proxy().holds_request());
    let sent_at = Instant::now();
    restarted.proxy().set_cut(true);
    let (_, leader) = hosts.processes.leader().unwrap();
    hosts.processes.kill(leader);
    hosts.processes.start_host(leader);
    thread::sleep((sent_at + LATE_START).saturating_duration_since(Instant::now()));
    restarted.deliver(&restarted.proxy().take_held()[..1]);
    expect_no_second_run(&mut hosts, &restarted);
}

/// Guards against finished work that runs again: a process that the cell does not know runs a task with
/// a permit, and then carries out an acknowledgement for its former process, which makes it forget the
/// end before anybody has read it.
#[test]
fn a_late_acknowledgement_erases_no_end_of_a_permitted_run() {
    let mut hosts = Hosts::start(17_655);
    let short = RunnerOptions {
        run_time: SHORT_RUN,
        ..options()
    };
    let restarted = hosts.add("i-1", short);
    thread::sleep(AGE_AT_CRASH);
    let acknowledges =
        |request: &str| request.contains("/api/hold") && !request.contains("\"ack_cursor\":0");
    restarted.proxy().hold(Some(Box::new(acknowledges)));
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

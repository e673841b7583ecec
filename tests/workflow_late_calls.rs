//! Tests calls to a worker that are held on their way over its crash and reach the next process at
//! its address before any call of its own. The hosts of the cell are processes.

mod platform_support;

use std::thread;
use std::time::{Duration, Instant};

use platform_support::processes::HostProcesses;
use platform_support::run_record::overlaps;
use platform_support::runner::RunnerOptions;
use platform_support::{Cell, CellSize, Ports, Runner, await_some};
use tempfile::TempDir;

const JOB: &str = "00c0ffee00c0ffee";
/// Reading of the clock of a first process: a lease on it ends far ahead on the clock of the next.
const FIRST_CLOCK: Duration = Duration::from_secs(600);
/// Age of the cell at the crash. Leases that are granted from this age on end later than those that
/// an earlier placer may have granted.
const AGE_AT_CRASH: Duration = Duration::from_secs(5);
/// Time between a crash and the start of the next process.
const RESTART_TIME: Duration = Duration::from_millis(600);
/// Time in which a renewal that the cell owes to a worker is sent, also on a busy machine.
const RENEWAL_TIME: Duration = Duration::from_secs(3);

/// A cell of processes with a queue that has no placement policy.
struct Hosts {
    cell: Cell,
    processes: HostProcesses,
    _folder: TempDir,
}

impl Hosts {
    fn start(first_port: u16) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (ports, size) = (Ports::starting_at(first_port), CellSize::SMALL);
        let processes = HostProcesses::start(folder.path(), ports, size);
        let cell = Cell::of_processes(ports, size);
        assert_eq!(cell.configure(1).status, 200);
        Self {
            cell,
            processes,
            _folder: folder,
        }
    }

    fn await_completion(&self, job: &str) {
        await_some(|| (self.cell.state(job).as_deref() == Some("completed")).then_some(()));
    }
}

fn is_start(request: &str) -> bool {
    request.contains("/api/run-start")
}

/// Lets a start order reach the next process of a worker some time after it was sent, while that
/// process is cut off from the cell and was not heard of, and checks that the task starts elsewhere
/// only after the late run has ended.
fn deliver_start_late(first_port: u16, delay: Duration) {
    let mut hosts = Hosts::start(first_port);
    let options = RunnerOptions {
        run_time: Duration::from_secs(60),
        first_clock: FIRST_CLOCK,
        ..RunnerOptions::default()
    };
    let restarted = Runner::start_with(options);
    hosts.cell.announce("i-1", &restarted, 1);
    thread::sleep(AGE_AT_CRASH);

    restarted.proxy().hold(Some(Box::new(is_start)));
    hosts.cell.submit_task(JOB);
    await_some(|| restarted.proxy().holds_request().then_some(()));
    let sent_at = Instant::now();
    restarted.crash();
    let other = Runner::start_with(options);
    hosts.cell.announce("i-2", &other, 1);
    thread::sleep(RESTART_TIME);
    restarted.proxy().set_cut(true);
    restarted.restart(&[]);
    thread::sleep((sent_at + delay).saturating_duration_since(Instant::now()));
    let held = restarted.proxy().take_held();
    restarted.deliver(&held[..1]);
    restarted.await_start();
    other.await_start();
    assert_eq!(
        overlaps(&[&restarted, &other]),
        0,
        "two runs of the task at once"
    );
    hosts.processes.assert_running();
}

/// Guards against two runs of a task at once: a start order was carried out by the next process of a
/// worker some seconds after it was sent, when the task counted as lost.
#[test]
fn a_start_that_arrives_three_seconds_late_does_not_start_its_task_twice() {
    deliver_start_late(17_600, Duration::from_secs(3));
}

/// Guards against the same with an order that is held for as long as a cut lasts.
#[test]
fn a_start_that_arrives_nine_seconds_late_does_not_start_its_task_twice() {
    deliver_start_late(17_605, Duration::from_secs(9));
}

/// Guards against finished work that runs again: the next process of a worker carried out a start
/// order and then a renewal for the former one, whose acknowledgement made it forget the end of the
/// run before anybody had read it.
#[test]
fn a_late_start_and_a_late_renewal_do_not_repeat_finished_work() {
    let mut hosts = Hosts::start(17_610);
    let restarted = Runner::start_with(RunnerOptions {
        first_clock: FIRST_CLOCK,
        ..RunnerOptions::default()
    });
    hosts.cell.announce("i-1", &restarted, 1);
    let first_job = "00c0ffee00000001";
    hosts.cell.submit_task(first_job);
    hosts.await_completion(first_job);
    await_some(|| (restarted.listed_ends() == 0).then_some(()));

    let is_held = |request: &str| is_start(request) || request.contains("/api/hold");
    restarted.proxy().hold(Some(Box::new(is_held)));
    hosts.cell.submit_task(JOB);
    let held_from = Instant::now();
    let mut held = Vec::new();
    let holds = |held: &[Vec<u8>], path: &str| {
        held.iter()
            .any(|request| String::from_utf8_lossy(request).contains(path))
    };
    await_some(|| {
        held.extend(restarted.proxy().take_held());
        let is_whole = holds(&held, "/api/run-start") && holds(&held, "/api/hold");
        (is_whole || held_from.elapsed() > RENEWAL_TIME).then_some(())
    });
    restarted.crash();
    held.extend(restarted.proxy().take_held());
    restarted.proxy().hold(None);
    let (starts, renewals): (Vec<_>, Vec<_>) = held
        .into_iter()
        .partition(|request| is_start(&String::from_utf8_lossy(request)));
    assert!(!starts.is_empty(), "no start order was sent");

    let other = Runner::start();
    hosts.cell.announce("i-2", &other, 1);
    restarted.proxy().set_cut(true);
    restarted.restart(&starts[..1]);
    await_some(|| (restarted.listed_ends() > 0).then_some(()));
    restarted.deliver(&renewals);
    restarted.proxy().set_cut(false);
    hosts.cell.announce("i-1", &restarted, 1);
    hosts.await_completion(JOB);
    let mut starts = restarted.starts();
    starts.extend(other.starts());
    let of_job = starts.iter().filter(|(task, _)| task.starts_with(JOB));
    assert_eq!(of_job.count(), 1, "finished work ran again: {starts:?}");
    hosts.processes.assert_running();
}

//! Tests of submissions that wait at an entry host which stands still, with hosts as processes.

mod platform_support;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_support::late_clients::submit_without_answer;
use platform_support::processes::HostProcesses;
use platform_support::recorded::{path, short_job};
use platform_support::{Cell, CellSize, Ports, Runner, await_some};
use rustix::process::Signal;
use serde_json::Value;
use tempfile::TempDir;

const SIZE: CellSize = CellSize {
    storage_hosts: 3,
    entry_hosts: 2,
};
/// Entry host that stands still, and one that serves.
const STILL_HOST: usize = 4;
const SERVING_HOST: usize = 5;
const JOB: &str = "5c0e7a21d94b36f8";
/// Time in which a job that was handed in would have started.
const OBSERVED_TIME: Duration = Duration::from_secs(3);

struct TestCell {
    cell: Cell,
    processes: HostProcesses,
    runner: Arc<Runner>,
    _folder: TempDir,
}

impl TestCell {
    /// Starts a cell whose worker has completed a job handed in at each entry host.
    fn start(first_port: u16) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ports = Ports::starting_at(first_port);
        let test = Self {
            processes: HostProcesses::start(folder.path(), ports, SIZE),
            cell: Cell::of_processes(ports, SIZE),
            runner: Runner::start(),
            _folder: folder,
        };
        assert_eq!(test.cell.configure(1).status, 200);
        for entry in [STILL_HOST, SERVING_HOST] {
            let job = format!("00c0ffee0000000{entry}");
            test.submit(entry, &job);
            test.cell.await_with_heartbeats("i-1", &test.runner, || {
                (test.cell.state(&job).as_deref() == Some("completed")).then_some(())
            });
        }
        test
    }

    /// Submits a job until it is acknowledged.
    fn submit(&self, entry: usize, job: &str) {
        await_some(|| {
            let answer = self
                .cell
                .caller_at(entry, Method::POST, &path(job), &short_job())?;
            (answer.status == 200).then_some(())
        });
    }

    /// Returns the status of the answer to a request for the late job at the serving host.
    fn status_of(&self, method: &Method) -> u16 {
        await_some(|| {
            let body = Value::Null;
            let answer = self
                .cell
                .caller_at(SERVING_HOST, method.clone(), &path(JOB), &body)?;
            (answer.status < 500).then_some(answer.status)
        })
    }

    /// Checks that the late job does not run and is not shown, while other jobs run.
    fn check_that_the_job_does_not_run(&self) {
        let until = Instant::now() + OBSERVED_TIME;
        while Instant::now() < until {
            self.cell
                .announce("i-1", &self.runner, self.runner.next_heartbeat());
            assert_eq!(self.status_of(&Method::GET), 410);
            thread::sleep(Duration::from_millis(100));
        }
        let starts = self.runner.starts();
        assert!(
            starts.iter().all(|(task, _)| !task.starts_with(JOB)),
            "{starts:?}"
        );
        self.submit(STILL_HOST, "00c0ffee00000009");
    }
}

/// Guards against a job that runs after its cancellation was answered 410: the submission waited at an
/// entry host that stood still, for less than its deadline (review/9).
#[test]
fn a_cancelled_job_does_not_run_when_a_host_hands_it_in_late() {
    let test = TestCell::start(17_620);
    test.processes.signal(STILL_HOST, Signal::STOP);
    let address = test.cell.caller_address(STILL_HOST);
    submit_without_answer(&address, JOB, None, Duration::from_secs(20));
    assert_eq!(test.status_of(&Method::DELETE), 410);
    thread::sleep(Duration::from_millis(300));
    test.processes.signal(STILL_HOST, Signal::CONT);
    test.check_that_the_job_does_not_run();
}

/// Guards against a job that runs after its cancellation was answered 410: a copy of the submission
/// waited at the placer's host, which stood still.
#[test]
fn a_cancelled_job_does_not_run_when_the_host_of_the_placer_goes_on() {
    let test = TestCell::start(17_630);
    let (_, leader) = test.processes.leader().expect("a leader");
    test.processes.signal(leader, Signal::STOP);
    let address = test.cell.caller_address(STILL_HOST);
    submit_without_answer(&address, JOB, None, Duration::from_millis(400));
    thread::sleep(Duration::from_millis(400));
    let cancelled = test.status_of(&Method::DELETE);
    assert_eq!(cancelled, 410);
    test.processes.signal(leader, Signal::CONT);
    test.check_that_the_job_does_not_run();
}

/// Guards against a job that is handed in for a client that has gone on: it was refused elsewhere in
/// the meantime, and would run although the refusal said that it never does.
#[test]
fn a_submission_that_waited_for_longer_than_its_client_is_not_handed_in() {
    let test = TestCell::start(17_625);
    test.processes.signal(STILL_HOST, Signal::STOP);
    let address = test.cell.caller_address(STILL_HOST);
    submit_without_answer(&address, JOB, None, Duration::from_secs(1));
    thread::sleep(Duration::from_millis(2_500));
    test.processes.signal(STILL_HOST, Signal::CONT);
    test.check_that_the_job_does_not_run();
}

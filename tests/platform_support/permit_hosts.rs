//! A cell of host processes whose queue has a placement policy, and workers that restart unseen.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::Value;
use tempfile::TempDir;

use super::policy::PolicyService;
use super::processes::HostProcesses;
use super::run_record::overlaps;
use super::runner::RunnerOptions;
use super::{Cell, CellSize, Ports, Runner, await_some, configuration_with_policy};

/// Reading of the clock of a first process: a lease on it ends far ahead on the clock of the next.
pub const FIRST_CLOCK: Duration = Duration::from_secs(600);
/// Age of the cell at the crash. Leases that are granted from this age on end later than those that
/// an earlier placer may have granted.
pub const AGE_AT_CRASH: Duration = Duration::from_secs(5);
/// Time between a crash and the start of the next process.
pub const DOWN_TIME: Duration = Duration::from_millis(100);
/// Time in which an order for a worker that restarted unseen is sent or dropped.
pub const ORDER_TIME: Duration = Duration::from_millis(2_500);
/// Restarts in which the order may arrive too late, as on a busy machine.
pub const MAX_RESTARTS: u64 = 8;

/// A cell of processes whose queue has a placement policy.
pub struct PermitHosts {
    pub policy: PolicyService,
    pub cell: Cell,
    pub processes: HostProcesses,
    _folder: TempDir,
}

impl PermitHosts {
    pub fn start(first_port: u16) -> Self {
        Self::start_with_size(first_port, CellSize::SMALL)
    }

    pub fn start_with_size(first_port: u16, size: CellSize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let policy = PolicyService::start();
        let ports = Ports::starting_at(first_port);
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

    pub fn add(&self, id: &str, options: RunnerOptions) -> Arc<Runner> {
        let runner = Runner::start_with(options);
        self.policy.add(id, &runner);
        self.cell.announce(id, &runner, runner.next_heartbeat());
        runner
    }

    /// Restarts a worker unseen and submits a job at once, until a start order is seen before the cell
    /// knows of the new process. Returns the job.
    pub fn order_start_on_unknown_process(
        &self,
        worker: &Arc<Runner>,
        is_seen: impl Fn() -> bool,
    ) -> String {
        for number in 0..MAX_RESTARTS {
            let received = worker.received();
            await_some(|| (worker.received() > received).then_some(()));
            worker.crash_unseen(DOWN_TIME);
            let job = format!("00c0ffee{number:08x}");
            self.cell.submit_task(&job);
            let submitted_at = Instant::now();
            while submitted_at.elapsed() < ORDER_TIME {
                if is_seen() {
                    return job;
                }
                thread::sleep(Duration::from_millis(2));
            }
            let path = format!("/plans/{job}");
            self.cell.caller(Method::DELETE, &path, &Value::Null);
            self.cell.announce("i-1", worker, worker.next_heartbeat());
            thread::sleep(AGE_AT_CRASH);
        }
        panic!("no start order reached a process that the cell did not know");
    }

    /// Adds a worker to the cell and checks that it starts the task only after its run on the worker
    /// that is cut off has lapsed.
    pub fn expect_no_second_run(&mut self, cut_off: &Runner) {
        let other = self.add("i-2", long_runs());
        let cell = &self.cell;
        cell.await_with_heartbeats("i-2", &other, || other.is_at_work().then_some(()));
        assert_eq!(
            overlaps(&[cut_off, &other]),
            0,
            "two runs of the task at once"
        );
        self.processes.assert_running();
    }
}

/// Runs that outlast the test, on a first process whose clock is far ahead of that of the next.
pub fn long_runs() -> RunnerOptions {
    RunnerOptions {
        run_time: Duration::from_secs(60),
        first_clock: FIRST_CLOCK,
        ..RunnerOptions::default()
    }
}

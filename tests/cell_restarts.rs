//! Runs a cell of real processes with a placement policy whose workers start again together under their
//! identifiers, get permits for their new processes and are cut off soon after, while long tasks run.

mod platform_support;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_support::permit_hosts::{PermitHosts, long_runs};
use platform_support::run_record::{overlaps, repeats};
use platform_support::runner::RunnerOptions;
use platform_support::{CellSize, Runner, first_port, seeds};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;

/// Workers of each cell that start again together, and those that go on.
const RESTARTED: usize = 4;
const OTHERS: usize = 2;
const LONG_RUN: Duration = Duration::from_secs(14);
const SHORT_RUN: Duration = Duration::from_millis(300);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Age of the cell at the restart. Leases that are granted from this age on end later than those that
/// an earlier placer may have granted.
const AGE_AT_RESTART: Duration = Duration::from_millis(5_500);
const CUT_TIME: Duration = Duration::from_secs(9);
/// Interval between two steps of a play.
const STEP: Duration = Duration::from_millis(50);
/// Average number of steps between two jobs.
const STEPS_PER_JOB: u32 = 2;
/// Time within which each job completes after the cut: two leases of workers that stay silent, late
/// calls to them, and a long run.
const COMPLETION_TIME: Duration = Duration::from_secs(90);

struct Worker {
    id: String,
    runner: Arc<Runner>,
    next_heartbeat_at: Instant,
    is_cut: bool,
}

struct Play {
    permit: PermitHosts,
    workers: Vec<Worker>,
    jobs: Vec<String>,
    rng: StdRng,
}

impl Play {
    fn start(first_port: u16, seed: u64) -> Self {
        let size = CellSize {
            entry_hosts: 2,
            ..CellSize::SMALL
        };
        let mut play = Self {
            permit: PermitHosts::start_with_size(first_port, size),
            workers: Vec::new(),
            jobs: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        for number in 0..RESTARTED + OTHERS {
            play.add_worker(number);
        }
        play
    }

    /// Adds a worker with long or short tasks.
    fn add_worker(&mut self, number: usize) {
        let runner = Runner::start_with(RunnerOptions {
            run_time: if number.is_multiple_of(2) {
                LONG_RUN
            } else {
                SHORT_RUN
            },
            ..long_runs()
        });
        let id = format!("i-{number}");
        self.permit.policy.add(&id, &runner);
        let phase = HEARTBEAT_INTERVAL.mul_f64(self.rng.random());
        self.workers.push(Worker {
            id,
            runner,
            next_heartbeat_at: Instant::now() + phase,
            is_cut: false,
        });
    }

    /// Sends due heartbeats and jobs for some time.
    fn go_on(&mut self, time: Duration, with_jobs: bool) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.send_heartbeats();
            if with_jobs && self.rng.random_ratio(1, STEPS_PER_JOB) {
                self.submit();
            }
            thread::sleep(STEP);
        }
    }

    fn send_heartbeats(&mut self) {
        for worker in &mut self.workers {
            if worker.is_cut || Instant::now() < worker.next_heartbeat_at {
                continue;
            }
            worker.next_heartbeat_at += HEARTBEAT_INTERVAL;
            let sequence = worker.runner.next_heartbeat();
            self.permit
                .cell
                .announce(&worker.id, &worker.runner, sequence);
        }
    }

    /// Submits a job at one of the entry hosts; it counts if it was accepted.
    fn submit(&mut self) {
        let job = format!("00c0ffee{:08x}", self.rng.random::<u32>());
        let body = json!({"task_spec": "plan", "steps": [
            {"count": 4, "cpu": 50, "mem_mb": 10, "estimate_ms": 4_000, "anti_affinity": 1}]});
        let entry = self.rng.random_range(self.permit.cell.size.entries());
        let path = format!("/plans/{job}");
        let answer = self
            .permit
            .cell
            .caller_at(entry, Method::POST, &path, &body);
        if answer.is_some_and(|answer| answer.status == 200) {
            self.jobs.push(job);
        }
    }

    /// Restarts workers together and unseen; what was on its way to them reaches the next processes
    /// or is lost.
    fn restart_workers(&mut self) {
        let down_time = Duration::from_millis(self.rng.random_range(100..700));
        for worker in &mut self.workers[..RESTARTED] {
            worker.runner.proxy().set_cut(true);
            worker.runner.crash();
            worker.is_cut = true;
        }
        self.go_on(down_time, true);
        for worker in &mut self.workers[..RESTARTED] {
            worker.runner.restart(&[]);
            worker.runner.proxy().set_cut(false);
            worker.is_cut = false;
            // The first heartbeat of a process comes at any time within the interval.
            let phase = HEARTBEAT_INTERVAL.mul_f64(self.rng.random());
            worker.next_heartbeat_at = Instant::now() + phase;
        }
    }

    fn set_cut(&mut self, is_cut: bool) {
        for worker in &mut self.workers[..RESTARTED] {
            worker.runner.proxy().set_cut(is_cut);
            worker.is_cut = is_cut;
            worker.next_heartbeat_at = Instant::now();
        }
    }

    /// Kills the leading storage host, or stops it for a while; returns whether it is to go on.
    fn disturb_leader(&mut self) -> Option<usize> {
        let (_, leader) = self.permit.processes.leader()?;
        match self.rng.random_range(0..3) {
            0 => {
                self.permit.processes.kill(leader);
                self.permit.processes.start_host(leader);
                None
            }
            1 => {
                self.permit.processes.signal(leader, Signal::STOP);
                Some(leader)
            }
            _ => None,
        }
    }

    fn play(&mut self) {
        self.go_on(AGE_AT_RESTART, true);
        self.restart_workers();
        let before_cut = Duration::from_millis(self.rng.random_range(200..2_200));
        let until_fault = before_cut.mul_f64(self.rng.random());
        self.go_on(until_fault, true);
        let stopped = self.disturb_leader();
        self.go_on(before_cut - until_fault, true);
        self.set_cut(true);
        self.go_on(Duration::from_secs(2), true);
        if let Some(host) = stopped {
            self.permit.processes.signal(host, Signal::CONT);
        }
        let cut_time = match self.rng.random_range(0..3) {
            // Longer than all leases: the tasks start elsewhere.
            0 => 3 * CUT_TIME,
            _ => CUT_TIME,
        };
        self.go_on(cut_time, false);
        self.set_cut(false);
    }

    /// Checks that all accepted jobs complete and that no task has run twice.
    fn check(&mut self) {
        self.permit.processes.assert_running();
        let deadline = Instant::now() + COMPLETION_TIME;
        for job in self.jobs.clone() {
            let mut state = None;
            while state.as_deref() != Some("completed") {
                assert!(Instant::now() < deadline, "job {job} is {state:?}");
                self.send_heartbeats();
                state = self.permit.cell.state(&job);
                if state.as_deref() != Some("completed") {
                    thread::sleep(STEP);
                }
            }
        }
        let workers: Vec<&Runner> = self.workers.iter().map(|it| it.runner.as_ref()).collect();
        assert_eq!(overlaps(&workers), 0, "tasks with two runs at once");
        assert_eq!(repeats(&workers), [], "finished tasks that ran again");
    }
}

/// Guards against tasks that run twice on workers that start again together under their identifiers and
/// are cut off soon after. Without the variable, runs one seed.
#[test]
fn work_on_workers_that_restart_together_and_are_cut_off_runs_once() {
    for seed in seeds(1) {
        println!("seed {seed}");
        let mut play = Play::start(first_port(17_660), seed);
        play.play();
        println!("{} jobs", play.jobs.len());
        play.check();
    }
}

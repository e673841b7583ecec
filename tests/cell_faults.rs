//! Runs a cell of real processes whose disks refuse writes and which are stopped, paused and
//! killed, while callers and an operator go on and workers start again.

mod platform_support;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use indexmap::IndexSet;
use platform_support::processes::HostProcesses;
use platform_support::runner::{RunnerOptions, overlaps};
use platform_support::{Cell, Ports, Runner, WAIT_TIMEOUT, await_some, configuration};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Storage hosts are numbered from 1.
const STORAGE_HOSTS: usize = 3;
const WORKERS: usize = 2;
/// Average number of rounds between two restarts of workers.
const RESTART_ROUNDS: usize = 6;
/// Long enough for a second run of a task to begin while the first is at work.
const RUN_TIME: Duration = Duration::from_millis(1_500);
/// Environment variable with a range of seeds for [`accepted_work_survives_seeded_faults`], such as
/// `100..150`.
const SEEDS_VARIABLE: &str = "JUJUBEWINCH_FAULT_SEEDS";

/// A cell of processes with its workers, and what it has acknowledged.
struct TestCell {
    cell: Cell,
    processes: HostProcesses,
    workers: Vec<Arc<Runner>>,
    /// Latest version of the configuration that was acknowledged.
    version: u64,
    jobs: Vec<String>,
    _folder: TempDir,
}

impl TestCell {
    fn start(first_port: u16) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ports = Ports::starting_at(first_port);
        let processes = HostProcesses::start(folder.path(), ports);
        let options = RunnerOptions {
            run_time: RUN_TIME,
            ..RunnerOptions::default()
        };
        let mut test = Self {
            cell: Cell::of_processes(ports),
            processes,
            workers: (0..WORKERS).map(|_| Runner::start_with(options)).collect(),
            version: 0,
            jobs: Vec::new(),
            _folder: folder,
        };
        test.work();
        test
    }

    /// Sends a heartbeat of each worker until it is acknowledged.
    fn announce(&self) {
        for (number, worker) in self.workers.iter().enumerate() {
            let id = format!("i-{}", number + 1);
            self.cell.announce(&id, worker, worker.next_heartbeat());
        }
    }

    /// Sends heartbeats, a change of the configuration and a job, each until it is acknowledged.
    fn work(&mut self) {
        self.announce();
        self.version += 1;
        let answer = self.cell.configure(self.version);
        assert_eq!(answer.status, 200, "version {}", self.version);
        let job = format!("00c0ffee{:08x}", self.jobs.len());
        let body = json!({"task_spec": "plan", "steps": [
            {"count": 2, "cpu": 100, "mem_mb": 10, "estimate_ms": 1500, "anti_affinity": 1}]});
        await_some(|| {
            let answer = self
                .cell
                .caller(Method::POST, &format!("/plans/{job}"), &body)?;
            (answer.status == 200).then_some(())
        });
        self.jobs.push(job);
    }

    fn work_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.work();
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Checks that all jobs that were accepted complete, that no task ran twice at a time, and that
    /// each storage host has the latest configuration.
    fn check(&mut self) {
        self.processes.assert_running();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for job in &self.jobs {
            while self.cell.state(job).as_deref() != Some("completed") {
                assert!(Instant::now() < deadline, "job {job} does not complete");
                // Workers are used only while they send heartbeats.
                self.announce();
                thread::sleep(Duration::from_millis(50));
            }
        }
        let workers: Vec<&Runner> = self.workers.iter().map(Arc::as_ref).collect();
        assert_eq!(overlaps(&workers), 0, "tasks with two runs at once");
        let expected = configuration(self.version);
        for host in 1..=STORAGE_HOSTS {
            let url = format!(
                "http://127.0.0.{host}:{}/api/config",
                self.cell.ports.control
            );
            let read = await_some(|| {
                let answer = self.cell.send(Method::GET, &url, &Value::Null)?;
                (answer.status == 200).then_some(answer.body)
            });
            let read: Value = serde_json::from_slice(&read).unwrap();
            assert_eq!(read["version"], expected["version"], "at host {host}");
        }
    }
}

/// Guards against a cell that ends for good once the disks of a majority of its storage hosts have
/// refused writes for a while, one after the other.
#[test]
fn a_cell_survives_disks_that_refuse_writes_in_turn() {
    let mut test = TestCell::start(17_410);
    for round in 0..2 * STORAGE_HOSTS {
        let host = round % STORAGE_HOSTS + 1;
        test.processes.set_disk_full(host, true);
        test.work_for(Duration::from_millis(1_500));
        test.processes.set_disk_full(host, false);
        test.work_for(Duration::from_millis(1_500));
    }
    test.check();
}

/// Guards against acknowledged work or changes that are missing, or shown older, after one storage host
/// has lost its disk at the moment in which all hosts lose power.
#[test]
fn acknowledged_work_survives_a_lost_disk_and_a_power_loss_of_all_hosts() {
    let mut test = TestCell::start(17_430);
    for empty in 1..=STORAGE_HOSTS {
        test.work_for(Duration::from_millis(500));
        test.processes.kill_all();
        test.processes.empty_disk(empty);
        (1..=STORAGE_HOSTS + 1).for_each(|host| test.processes.start_host(host));
        test.check();
    }
}

/// A fault of one storage host that ends by itself.
#[derive(Clone, Copy, Debug)]
enum Fault {
    DiskFull,
    Pause,
    Kill,
    Stop,
}

fn begin(processes: &mut HostProcesses, host: usize, fault: Fault) {
    match fault {
        Fault::DiskFull => processes.set_disk_full(host, true),
        Fault::Pause => processes.signal(host, Signal::STOP),
        Fault::Kill => processes.kill(host),
        Fault::Stop => processes.signal(host, Signal::TERM),
    }
}

fn end(processes: &mut HostProcesses, host: usize, fault: Fault) {
    match fault {
        Fault::DiskFull => processes.set_disk_full(host, false),
        Fault::Pause => processes.signal(host, Signal::CONT),
        Fault::Kill => processes.start_host(host),
        Fault::Stop => {
            processes.kill(host);
            processes.start_host(host);
        }
    }
}

/// Crashes a worker whose requests are held and starts it again. Each held request is lost, carried
/// out by the next process before its other calls, or returned.
///
/// A task that was in a crash before is not crashed again: the cell would be right to give it up.
fn restart_worker(
    worker: &Arc<Runner>,
    crashed: &mut IndexSet<String>,
    mut rng: StdRng,
) -> Vec<Vec<u8>> {
    let in_flight = Duration::from_millis(rng.random_range(300..1_200));
    let pause = Duration::from_millis(rng.random_range(0..300));
    thread::sleep(in_flight);
    let mut held = worker.proxy().take_held();
    let present = worker.present_tasks(&held);
    if !present.is_disjoint(crashed) {
        worker.proxy().hold(None);
        held.extend(worker.proxy().take_held());
        return held;
    }
    crashed.extend(present);
    worker.crash();
    worker.proxy().hold(None);
    held.extend(worker.proxy().take_held());
    thread::sleep(pause);
    let (mut first, mut late) = (Vec::new(), Vec::new());
    for request in held {
        match rng.random_range(0..3) {
            0 => first.push(request),
            1 => late.push(request),
            _ => {}
        }
    }
    worker.restart(&first);
    late
}

/// Begins and ends faults of one or two storage hosts at a time, which overlap at random, and lets
/// workers crash and start again.
fn run_faults(test: &mut TestCell, seed: u64, rounds: usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    // Restarts of workers do not change the faults of the storage hosts under a seed.
    let mut restarts = StdRng::seed_from_u64(!seed);
    let mut crashed = IndexSet::new();
    // Requests that the next process of a worker carries out after other calls.
    let mut late: Option<(Vec<Vec<u8>>, Arc<Runner>)> = None;
    let mut present: Vec<(usize, Fault, Instant)> = Vec::new();
    for _ in 0..rounds {
        let position = restarts.random_range(0..RESTART_ROUNDS * WORKERS);
        let restart = StdRng::seed_from_u64(restarts.random());
        let worker = test.workers.get(position).cloned();
        if let Some(worker) = &worker {
            worker.proxy().hold(Some(Box::new(|_| true)));
        }
        let host = rng.random_range(1..=STORAGE_HOSTS);
        let fault = match rng.random_range(0..6) {
            0..3 => Fault::DiskFull,
            3 => Fault::Pause,
            4 => Fault::Kill,
            _ => Fault::Stop,
        };
        let until = Instant::now() + Duration::from_millis(rng.random_range(200..3_000));
        if present.len() < 2 && present.iter().all(|(other, ..)| *other != host) {
            begin(&mut test.processes, host, fault);
            present.push((host, fault, until));
        }
        if present.len() < 2 {
            test.work();
        }
        if let Some((requests, worker)) = late.take() {
            worker.deliver(&requests);
        }
        if let Some(worker) = worker {
            late = Some((restart_worker(&worker, &mut crashed, restart), worker));
            if present.len() < 2 {
                test.announce();
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(50..500)));
        let now = Instant::now();
        let over = present.extract_if(.., |(_, _, until)| *until <= now);
        for (host, fault, _) in over {
            end(&mut test.processes, host, fault);
        }
    }
    for (host, fault, _) in present {
        end(&mut test.processes, host, fault);
    }
}

/// Guards against lost or repeated work and lost changes after faults that come in series and
/// overlap. Without the variable, runs one seed.
#[test]
fn accepted_work_survives_seeded_faults() {
    let seeds = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1..2".to_owned());
    let (first, last) = seeds.split_once("..").expect("a range of seeds");
    for seed in first.parse::<u64>().unwrap()..last.parse::<u64>().unwrap() {
        println!("seed {seed}");
        let mut test = TestCell::start(17_420);
        run_faults(&mut test, seed, 40);
        test.work();
        test.check();
    }
}

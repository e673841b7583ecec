//! Records what a cell of processes has acknowledged, and checks that it shows all of it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use jujubewinch::http::client::ClientResponse;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::customers::TestCustomer;
use super::processes::HostProcesses;
use super::run_record::overlaps;
use super::runner::RunnerOptions;
use super::{Cell, CellSize, Ports, Runner, WAIT_TIMEOUT, await_some, configuration};

/// State that a job has to reach.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expected {
    Completed,
    Cancelled,
    /// The job was accepted and cannot complete; a cancellation may have had an effect.
    Present,
}

/// A job whose acceptance was acknowledged.
pub struct Job {
    pub name: String,
    expected: Expected,
    shown_completed: bool,
}

/// What was sent to a cell and what it has acknowledged.
#[derive(Default)]
pub struct Record {
    sent_version: u64,
    /// Latest version of the configuration that was acknowledged.
    version: u64,
    sent_jobs: usize,
    pub jobs: Vec<Job>,
}

impl Record {
    pub fn next_version(&mut self) -> u64 {
        self.sent_version += 1;
        self.sent_version
    }

    pub fn next_job(&mut self) -> String {
        self.sent_jobs += 1;
        format!("00c0ffee{:08x}", self.sent_jobs)
    }

    fn accepted(&mut self, name: String, expected: Expected) {
        self.jobs.push(Job {
            name,
            expected,
            shown_completed: false,
        });
    }

    fn cancelled(&mut self, name: &str) {
        let job = self.jobs.iter_mut().find(|job| job.name == name);
        job.expect("the job was accepted").expected = Expected::Cancelled;
    }
}

/// Path of a job in the requests of callers.
pub fn path(job: &str) -> String {
    format!("/plans/{job}")
}

/// A job that completes after one run of each of its tasks.
pub fn short_job() -> Value {
    json!({"task_spec": "plan", "steps": [
        {"count": 2, "cpu": 100, "mem_mb": 10, "estimate_ms": 150}]})
}

/// A job that no worker can hold, so that only its cancellation ends it.
fn job_without_room() -> Value {
    json!({"task_spec": "plan", "steps": [
        {"count": 1, "cpu": 5000, "mem_mb": 10, "estimate_ms": 10}]})
}

/// Body of an answer, for failure messages.
pub fn body_text(answer: &ClientResponse) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// Returns whether the answer is that of a cell that has never had a configuration.
pub fn lacks_configuration(answer: &ClientResponse) -> bool {
    body_text(answer).contains("no configuration yet")
}

fn is_acknowledged(answer: &Option<ClientResponse>) -> bool {
    answer.as_ref().is_some_and(|answer| answer.status == 200)
}

/// Changes the configuration at the storage hosts in turn, submits jobs at an entry host and cancels
/// some, each once, until stopped.
pub fn send_requests(
    cell: &Cell,
    record: &Mutex<Record>,
    entry: usize,
    storage_hosts: &[usize],
    stopped: &AtomicBool,
) {
    while !stopped.load(Ordering::Acquire) {
        let version = record.lock().unwrap().next_version();
        let host = storage_hosts[version as usize % storage_hosts.len()];
        let document = configuration(version);
        if is_acknowledged(&cell.control_at(host, Method::PUT, "/api/config", &document)) {
            let mut record = record.lock().unwrap();
            record.version = record.version.max(version);
        }
        for (expected, body) in [
            (Expected::Completed, short_job()),
            (Expected::Present, job_without_room()),
        ] {
            let job = record.lock().unwrap().next_job();
            if !is_acknowledged(&cell.caller_at(entry, Method::POST, &path(&job), &body)) {
                continue;
            }
            record.lock().unwrap().accepted(job.clone(), expected);
            if expected == Expected::Present {
                let answer = cell.caller_at(entry, Method::DELETE, &path(&job), &Value::Null);
                if is_acknowledged(&answer) {
                    record.lock().unwrap().cancelled(&job);
                }
            }
        }
    }
}

/// A job whose two tasks work at the same time on different workers.
fn job_on_two_workers() -> Value {
    json!({"task_spec": "plan", "steps": [
        {"count": 2, "cpu": 100, "mem_mb": 10, "estimate_ms": 1500, "anti_affinity": 1}]})
}

/// A cell of processes with its workers, and what it has acknowledged.
pub struct TestCell {
    pub cell: Cell,
    pub processes: HostProcesses,
    pub workers: Vec<Arc<Runner>>,
    /// Customer of all jobs; `None` if the configuration names none.
    pub customer: Option<TestCustomer>,
    /// Job that is submitted as work.
    job: Value,
    pub record: Mutex<Record>,
    /// Storage hosts that have lost a disk, and the incarnation that was lost with it.
    pub emptied: Vec<(usize, u64)>,
    /// Jobs that were cancelled before their submission arrived.
    pub cancelled_early: Vec<String>,
    _folder: TempDir,
}

impl TestCell {
    /// Starts a cell with one worker.
    pub fn start(first_port: u16, size: CellSize) -> Self {
        let workers = vec![Runner::start()];
        Self::start_with(first_port, size, workers, short_job(), None)
    }

    /// Starts a cell with two entry hosts, workers whose tasks work for some time, and a customer.
    pub fn start_with_workers(first_port: u16, count: usize, run_time: Duration) -> Self {
        let options = RunnerOptions {
            run_time,
            ..RunnerOptions::default()
        };
        let workers = (0..count).map(|_| Runner::start_with(options));
        let size = CellSize {
            entry_hosts: 2,
            ..CellSize::SMALL
        };
        let customer = Some(TestCustomer::default());
        let job = job_on_two_workers();
        Self::start_with(first_port, size, workers.collect(), job, customer)
    }

    fn start_with(
        first_port: u16,
        size: CellSize,
        workers: Vec<Arc<Runner>>,
        job: Value,
        customer: Option<TestCustomer>,
    ) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ports = Ports::starting_at(first_port);
        let processes = HostProcesses::start(folder.path(), ports, size);
        let mut test = Self {
            cell: Cell::of_processes(ports, size),
            processes,
            workers,
            customer,
            job,
            record: Mutex::default(),
            emptied: Vec::new(),
            cancelled_early: Vec::new(),
            _folder: folder,
        };
        test.work();
        test
    }

    pub fn storage_hosts(&self) -> Vec<usize> {
        (1..=self.cell.size.storage_hosts).collect()
    }

    /// Sends a heartbeat of each worker until it is acknowledged.
    pub fn announce(&self) {
        for (number, worker) in self.workers.iter().enumerate() {
            let id = format!("i-{}", number + 1);
            self.cell.announce(&id, worker, worker.next_heartbeat());
        }
    }

    /// Sends heartbeats, a change of the configuration and a job, each until it is acknowledged.
    pub fn work(&mut self) {
        self.announce();
        let version = self.record.get_mut().unwrap().next_version();
        let customer = self.customer.as_mut();
        let document = customer.map_or_else(
            || configuration(version),
            |customer| customer.document(version),
        );
        let answer = self.cell.control(&Method::PUT, "/api/config", &document);
        assert_eq!(answer.status, 200, "version {version}");
        self.record.get_mut().unwrap().version = version;
        if let Some(customer) = &mut self.customer {
            customer.acknowledged(&self.cell, &self.job);
        }
        let job = self.job.clone();
        self.submit(Expected::Completed, &job);
    }

    /// Submits a job until it is acknowledged.
    fn submit(&mut self, expected: Expected, body: &Value) -> String {
        let record = self.record.get_mut().unwrap();
        let job = record.next_job();
        self.acknowledge(Method::POST, &job, body);
        self.record
            .get_mut()
            .unwrap()
            .accepted(job.clone(), expected);
        job
    }

    fn acknowledge(&self, method: Method, job: &str, body: &Value) {
        await_some(|| {
            let answer = self.cell.caller(method.clone(), &path(job), body);
            let is_refused = answer.as_ref().is_some_and(|answer| answer.status == 401);
            assert!(!is_refused, "the key in force is refused for job {job}");
            is_acknowledged(&answer).then_some(())
        });
    }

    /// Submits a job and cancels it, each until it is acknowledged.
    pub fn cancel(&mut self) {
        let job = self.submit(Expected::Present, &job_without_room());
        self.acknowledge(Method::DELETE, &job, &Value::Null);
        self.record.get_mut().unwrap().cancelled(&job);
    }

    pub fn work_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.work();
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Checks that all jobs that were accepted complete, that no task ran twice at a time, that the
    /// customer has not exceeded its cap, and that each storage host has the latest configuration.
    pub fn check(&mut self) {
        self.processes.assert_running();
        self.check_work(&self.storage_hosts());
    }

    /// As [`Self::check`], while only some hosts run; `asked` are those that show the configuration.
    pub fn check_work(&mut self, asked: &[usize]) {
        self.check_configuration(asked);
        for position in 0..self.record.get_mut().unwrap().jobs.len() {
            // The cap of the customer may let the tasks of all jobs run only one after the other.
            let deadline = Instant::now() + WAIT_TIMEOUT;
            while !self.is_job_as_expected(position) {
                let name = &self.record.get_mut().unwrap().jobs[position].name;
                assert!(Instant::now() < deadline, "job {name} does not complete");
                // Workers are used only while they send heartbeats.
                self.announce();
                thread::sleep(Duration::from_millis(50));
            }
        }
        let workers: Vec<&Runner> = self.workers.iter().map(Arc::as_ref).collect();
        assert_eq!(overlaps(&workers), 0, "tasks with two runs at once");
        if let Some(customer) = &self.customer {
            customer.check(&workers);
        }
        self.check_cancelled_early();
        self.check_configuration(asked);
    }

    /// Returns whether the cell shows the expected state of a job. Panics if the job is missing or
    /// shown in an earlier state than before.
    fn is_job_as_expected(&mut self, position: usize) -> bool {
        let entries = self.cell.size.entries();
        let job = &mut self.record.get_mut().unwrap().jobs[position];
        let name = &job.name;
        let entry = entries.start() + position % self.cell.size.entry_hosts;
        let answer = self
            .cell
            .caller_at(entry, Method::GET, &path(name), &Value::Null);
        let Some(answer) = answer else {
            return false;
        };
        assert!(
            !matches!(answer.status, 401 | 403 | 404 | 410) && !lacks_configuration(&answer),
            "job {name} is missing: {}",
            body_text(&answer)
        );
        if answer.status != 200 {
            return false;
        }
        let body: Value = serde_json::from_slice(&answer.body).unwrap();
        let state = body["state"].as_str().unwrap();
        match (job.expected, state) {
            (Expected::Present, "queued" | "cancelled") | (Expected::Cancelled, "cancelled") => {
                true
            }
            (Expected::Completed, "completed") => {
                job.shown_completed = true;
                true
            }
            (Expected::Completed, "queued" | "running") if !job.shown_completed => false,
            _ => panic!("job {name} is {state}, expected {:?}", job.expected),
        }
    }

    /// Checks that each of the storage hosts shows the configuration that was acknowledged last, or
    /// one that was sent after it.
    fn check_configuration(&self, hosts: &[usize]) {
        let record = self.record.lock().unwrap();
        for host in hosts {
            let read = await_some(|| {
                let answer =
                    self.cell
                        .control_at(*host, Method::GET, "/api/config", &Value::Null)?;
                assert!(
                    !lacks_configuration(&answer),
                    "no configuration at host {host}"
                );
                (answer.status == 200).then_some(answer.body)
            });
            let read: Value = serde_json::from_slice(&read).unwrap();
            let version = read["version"].as_u64().unwrap();
            assert!(
                (record.version..=record.sent_version).contains(&version),
                "version {version} at host {host}, {} was acknowledged, {} was sent",
                record.version,
                record.sent_version
            );
        }
    }
}

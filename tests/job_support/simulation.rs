//! Simulates workers in virtual time that carry out the decisions of the job scheduler, and checks
//! the scheduler's invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::protocol::caller::Urgency;
use jujubewinch::protocol::worker::TaskState;
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job::{JobSpec, LocationPreference, TaskEnd};
use jujubewinch::scheduling::job_scheduler::{Decision, JobScheduler, SchedulerSettings};
use jujubewinch::scheduling::ledger::{Purpose, WorkerDescription};

/// Initial capacity of each simulated worker.
pub const WORKER_CAPACITY: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 32_768,
    accelerators: 2,
};

/// Input to the simulation. A `u16` selects a job, worker or task modulo their number.
#[derive(Clone, Debug)]
pub enum Event {
    Submit {
        /// Number of the member, from which caller, workload and urgency are derived.
        member: u8,
        /// Index into batch, service and gang.
        kind: u8,
        tasks: u32,
        /// Processors of each task.
        cpu: u64,
        /// Memory of each task in units of 2,048 MiB.
        memory: u64,
        accelerators: u64,
        /// Run time, declared and actual; services run until they are cancelled.
        run_s: u64,
        /// Has an effect on batch jobs only.
        at_most_once: bool,
    },
    /// Cancels a job.
    Cancel(u16),
    /// Loses a worker; its tasks are reported as lost when their run time has passed.
    Lose(u16),
    /// Makes a worker available again, with the tasks that still run on it.
    Return(u16),
    /// Changes the memory of a worker.
    Resize {
        worker: u16,
        /// New capacity in eighths of the initial one.
        eighths: u64,
    },
    /// Restarts a worker, which loses its tasks.
    Restart(u16),
    /// A running task fails.
    Fail(u16),
    /// Advances the time by seconds and ends the tasks that are due.
    Advance(u64),
}

#[derive(Clone, Debug)]
struct Run {
    job: String,
    /// Index of the task within the job.
    index: u32,
    worker: String,
    ends_at: Instant,
    /// Whether the worker received a request to stop the task.
    stopping: bool,
}

#[derive(Clone, Debug)]
struct SimulatedWorker {
    description: WorkerDescription,
    lost: bool,
}

/// Scheduler with simulated workers and tasks.
pub struct Simulation {
    pub scheduler: JobScheduler,
    pub now: Instant,
    workers: Vec<SimulatedWorker>,
    /// Running tasks by id.
    runs: IndexMap<String, Run>,
    /// Every job that was accepted, by id.
    specs: IndexMap<String, JobSpec>,
    /// Number of starts by job and index of the task.
    start_counts: BTreeMap<(String, u32), u32>,
    /// Ids of all tasks that were started.
    task_ids: BTreeSet<String>,
    next_job: u32,
    /// Every decision so far except reservations, as text.
    pub decision_log: Vec<String>,
}

impl Simulation {
    pub fn new(workers: usize, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(1_000);
        let settings = SchedulerSettings {
            seed,
            ..SchedulerSettings::default()
        };
        let mut simulation = Self {
            scheduler: JobScheduler::new(settings),
            now,
            workers: Vec::new(),
            runs: IndexMap::new(),
            specs: IndexMap::new(),
            start_counts: BTreeMap::new(),
            task_ids: BTreeSet::new(),
            next_job: 0,
            decision_log: Vec::new(),
        };
        for number in 0..workers {
            simulation.workers.push(SimulatedWorker {
                description: WorkerDescription {
                    id: format!("worker-{number}"),
                    incarnation: 1,
                    rack: format!("rack-{}", number / 4),
                    data_centre: "erdenet".into(),
                    region: "orkhon".into(),
                    capacity: WORKER_CAPACITY,
                    leaving: false,
                },
                lost: false,
            });
            simulation.announce(number);
        }
        simulation
    }

    /// Applies an event, then lets the scheduler decide.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Submit { .. } => self.submit(event),
            Event::Cancel(selector) => {
                if let Some((id, _)) = self
                    .specs
                    .get_index(usize::from(*selector) % self.specs.len().max(1))
                {
                    self.scheduler.cancel(&id.clone());
                }
            }
            Event::Lose(selector) => {
                let worker = self.worker_index(*selector);
                self.workers[worker].lost = true;
                self.scheduler
                    .worker_lost(&self.workers[worker].description.id.clone());
            }
            Event::Return(selector) => {
                let worker = self.worker_index(*selector);
                self.workers[worker].lost = false;
                self.announce(worker);
            }
            Event::Resize { worker, eighths } => {
                let worker = self.worker_index(*worker);
                self.workers[worker].description.capacity.memory_mib =
                    WORKER_CAPACITY.memory_mib * eighths / 8;
                self.announce(worker);
            }
            Event::Restart(selector) => self.restart(*selector),
            Event::Fail(selector) => {
                let picked = self
                    .runs
                    .get_index(usize::from(*selector) % self.runs.len().max(1));
                if let Some((task, _)) = picked {
                    self.end(&task.clone(), TaskEnd::Failed);
                }
            }
            Event::Advance(seconds) => self.advance(*seconds),
        }
        self.decide();
    }

    /// Checks the invariants that hold after every event.
    pub fn check(&self) {
        let mut allocated = BTreeSet::new();
        for (_, worker) in self.scheduler.ledger().workers() {
            let mut sum = Resources::ZERO;
            for (task, allocation) in worker.allocations() {
                sum = sum.checked_add(&allocation.amount).unwrap();
                if allocation.purpose == Purpose::Task {
                    assert!(allocated.insert(task.clone()), "{task} is allocated twice");
                }
            }
            assert_eq!(
                sum,
                worker.allocated(),
                "sum of allocations of {}",
                worker.description.id
            );
        }
        for task in self.runs.keys() {
            assert!(
                allocated.contains(task),
                "{task} runs without an allocation"
            );
        }
        for (job, spec) in &self.specs {
            let running = self.runs.values().filter(|run| run.job == *job);
            let indexes: Vec<u32> = running.clone().map(|run| run.index).collect();
            let distinct: BTreeSet<u32> = indexes.iter().copied().collect();
            assert_eq!(indexes.len(), distinct.len(), "a task of {job} runs twice");
            if spec.at_most_once {
                let starts = self.start_counts.iter().filter(|((id, _), _)| id == job);
                assert!(
                    starts.clone().all(|(_, count)| *count <= 1),
                    "an at-most-once task of {job} was started again"
                );
            }
        }
    }

    /// Ends all disturbances, cancels services, and checks that every job ends and that all
    /// allocations are released.
    pub fn settle(&mut self) {
        for worker in 0..self.workers.len() {
            self.workers[worker].lost = false;
            self.workers[worker].description.capacity = WORKER_CAPACITY;
            self.announce(worker);
        }
        let services: Vec<String> = self
            .specs
            .values()
            .filter(|spec| spec.kind == "service")
            .map(|spec| spec.id.clone())
            .collect();
        for id in services {
            self.scheduler.cancel(&id);
        }
        for _ in 0..2_000 {
            self.advance(10);
            self.decide();
            self.check();
            if self.scheduler.job_count() == 0 {
                break;
            }
        }
        let remaining = self
            .specs
            .keys()
            .filter_map(|id| Some((id, self.scheduler.progress(id)?)));
        let remaining: Vec<_> = remaining.collect();
        assert_eq!(remaining, Vec::new(), "jobs that did not end");
        assert_eq!(
            self.scheduler.ledger().held(),
            Resources::ZERO,
            "holds that were not released"
        );
        for (_, worker) in self.scheduler.ledger().workers() {
            assert!(
                worker.allocations().is_empty(),
                "allocations that were not released"
            );
        }
    }

    fn decide(&mut self) {
        let mut gang_starts: BTreeMap<String, u32> = BTreeMap::new();
        for decision in self.scheduler.decide(self.now, 64) {
            // A reservation contains its deadline, which depends on the clock at the begin of the
            // simulation.
            if !matches!(decision, Decision::Reserve { .. }) {
                self.decision_log.push(format!("{decision:?}"));
            }
            match decision {
                Decision::Start(start) => {
                    assert!(
                        self.task_ids.insert(start.task.clone()),
                        "the id {} is used for two starts",
                        start.task
                    );
                    let spec = &self.specs[&start.job];
                    let worker = self
                        .workers
                        .iter()
                        .find(|worker| worker.description.id == start.worker)
                        .unwrap();
                    assert!(!worker.lost, "a start on the lost worker {}", start.worker);
                    if spec.kind == "gang" {
                        *gang_starts.entry(start.job.clone()).or_default() += 1;
                    }
                    *self
                        .start_counts
                        .entry((start.job.clone(), start.index))
                        .or_default() += 1;
                    let run = Run {
                        job: start.job,
                        index: start.index,
                        worker: start.worker,
                        ends_at: self.now
                            + Duration::from_millis(
                                spec.expected_run_ms.unwrap_or(u64::from(u32::MAX)),
                            ),
                        stopping: false,
                    };
                    self.runs.insert(start.task, run);
                    self.check_capacity();
                }
                Decision::Preempt { task, .. } => {
                    if let Some(run) = self.runs.get_mut(&task) {
                        run.stopping = true;
                    }
                }
                Decision::Reserve { .. } => {}
                Decision::Refuse { job, .. } => {
                    assert!(
                        !self.runs.values().any(|run| run.job == job),
                        "a refused job has running tasks"
                    );
                }
            }
        }
        for (job, started) in gang_starts {
            assert_eq!(
                started, self.specs[&job].tasks,
                "gang {job} started in part"
            );
        }
    }

    /// Checks that the latest start fits beside all tasks that are still running on the worker.
    fn check_capacity(&self) {
        let run = self.runs.values().last().unwrap();
        let on_worker = self
            .runs
            .values()
            .filter(|other| other.worker == run.worker);
        let sum = on_worker.fold(Resources::ZERO, |sum, run| {
            sum.checked_add(&self.specs[&run.job].resources).unwrap()
        });
        let worker = self
            .workers
            .iter()
            .find(|worker| worker.description.id == run.worker)
            .unwrap();
        assert!(
            worker.description.capacity.covers(&sum),
            "the tasks on {} exceed its capacity",
            run.worker
        );
    }

    fn submit(&mut self, event: &Event) {
        let Event::Submit {
            member,
            kind,
            tasks,
            cpu,
            memory,
            accelerators,
            run_s,
            at_most_once,
        } = event
        else {
            return;
        };
        let kind = ["batch", "service", "gang"][usize::from(*kind)];
        self.next_job += 1;
        let spec = JobSpec {
            id: format!("job-{}", self.next_job),
            kind: kind.into(),
            member: format!("member-{member}"),
            caller: format!("caller-{}", member % 2),
            workload: format!("workload-{}", member % 3),
            tasks: *tasks,
            resources: Resources {
                cpu_millis: cpu * 1_000,
                memory_mib: memory * 2_048,
                accelerators: *accelerators,
            },
            expected_run_ms: (kind != "service").then_some(run_s * 1_000),
            urgency: [
                Urgency::Low,
                Urgency::Normal,
                Urgency::High,
                Urgency::Urgent,
            ][usize::from(member % 4)],
            at_most_once: *at_most_once && kind == "batch",
            preference: LocationPreference::default(),
            payload: Vec::new(),
        };
        if self.scheduler.submit(spec.clone(), self.now).is_ok() {
            self.specs.insert(spec.id.clone(), spec);
        }
    }

    fn advance(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        let ended: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| run.stopping || run.ends_at <= self.now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in ended {
            let run = &self.runs[&task];
            let lost = self
                .workers
                .iter()
                .any(|worker| worker.lost && worker.description.id == run.worker);
            let end = match (lost, run.stopping) {
                (true, _) => TaskEnd::Lost,
                (false, true) => TaskEnd::Stopped,
                (false, false) => TaskEnd::Succeeded,
            };
            self.end(&task, end);
        }
    }

    fn end(&mut self, task: &str, end: TaskEnd) {
        self.runs.shift_remove(task);
        self.scheduler.task_ended(task, end, self.now);
    }

    fn restart(&mut self, selector: u16) {
        let worker = self.worker_index(selector);
        self.workers[worker].description.incarnation += 1;
        self.workers[worker].lost = false;
        let id = self.workers[worker].description.id.clone();
        self.runs.retain(|_, run| run.worker != id);
        self.announce(worker);
    }

    fn announce(&mut self, worker: usize) {
        let worker = &self.workers[worker];
        if worker.lost {
            return;
        }
        let id = worker.description.id.clone();
        let running = self.runs.iter().filter(|(_, run)| run.worker == id);
        let running = running
            .map(|(task, _)| (task.clone(), TaskState::Running))
            .collect();
        let description = worker.description.clone();
        for (task, _) in self
            .scheduler
            .worker_announced(description, &running, self.now)
        {
            if let Some(run) = self.runs.get_mut(&task) {
                run.stopping = true;
            }
        }
    }

    fn worker_index(&self, selector: u16) -> usize {
        usize::from(selector) % self.workers.len()
    }
}

//! Workers in virtual time that run what the scheduler decides, and checks of its invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::protocol::caller::Urgency;
use jujubewinch::protocol::worker::TaskState;
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job::{JobSpec, LocationPreference, TaskEnd};
use jujubewinch::scheduling::job_scheduler::{Decision, JobScheduler, SchedulerSettings};
use jujubewinch::scheduling::ledger::{Purpose, WorkerDescription};

/// Capacity of a simulated worker.
pub const WORKER: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 32_768,
    accelerators: 2,
};

/// What happens next.
#[derive(Clone, Debug)]
pub enum Event {
    Submit {
        member: u8,
        kind: u8,
        tasks: u32,
        cpu: u64,
        memory: u64,
        accelerators: u64,
        run_s: u64,
        once: bool,
    },
    Cancel(u16),
    Lose(u16),
    Return(u16),
    Resize {
        worker: u16,
        part: u64,
    },
    Restart(u16),
    Fail(u16),
    Advance(u64),
}

#[derive(Clone, Debug)]
struct Run {
    job: String,
    index: u32,
    worker: String,
    ends_at: Instant,
    stopping: bool,
}

#[derive(Clone, Debug)]
struct SimulatedWorker {
    description: WorkerDescription,
    lost: bool,
}

/// Scheduler, workers and running tasks.
pub struct Simulation {
    pub scheduler: JobScheduler,
    pub now: Instant,
    workers: Vec<SimulatedWorker>,
    runs: IndexMap<String, Run>,
    specs: IndexMap<String, JobSpec>,
    started: BTreeMap<(String, u32), u32>,
    ids: BTreeSet<String>,
    next_job: u32,
    /// Every decision so far, as text.
    pub log: Vec<String>,
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
            started: BTreeMap::new(),
            ids: BTreeSet::new(),
            next_job: 0,
            log: Vec::new(),
        };
        for number in 0..workers {
            simulation.workers.push(SimulatedWorker {
                description: WorkerDescription {
                    id: format!("worker-{number}"),
                    incarnation: 1,
                    rack: format!("rack-{}", number / 4),
                    data_centre: "erdenet".into(),
                    region: "orkhon".into(),
                    capacity: WORKER,
                    leaving: false,
                },
                lost: false,
            });
            simulation.announce(number);
        }
        simulation
    }

    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Submit { .. } => self.submit(event),
            Event::Cancel(pick) => {
                if let Some((id, _)) = self
                    .specs
                    .get_index(usize::from(*pick) % self.specs.len().max(1))
                {
                    self.scheduler.cancel(&id.clone());
                }
            }
            Event::Lose(pick) => {
                let worker = self.pick(*pick);
                self.workers[worker].lost = true;
                self.scheduler
                    .worker_lost(&self.workers[worker].description.id.clone());
            }
            Event::Return(pick) => {
                let worker = self.pick(*pick);
                self.workers[worker].lost = false;
                self.announce(worker);
            }
            Event::Resize { worker, part } => {
                let worker = self.pick(*worker);
                self.workers[worker].description.capacity.memory_mib = WORKER.memory_mib * part / 8;
                self.announce(worker);
            }
            Event::Restart(pick) => self.restart(*pick),
            Event::Fail(pick) => {
                let picked = self
                    .runs
                    .get_index(usize::from(*pick) % self.runs.len().max(1));
                if let Some((task, _)) = picked {
                    self.end(&task.clone(), TaskEnd::Failed);
                }
            }
            Event::Advance(seconds) => self.advance(*seconds),
        }
        self.decide();
    }

    /// Checks what must hold after every event.
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
                let starts = self.started.iter().filter(|((id, _), _)| id == job);
                assert!(
                    starts.clone().all(|(_, count)| *count <= 1),
                    "{job} was repeated"
                );
            }
        }
    }

    /// Ends all disturbances and checks that every job that can end does.
    pub fn settle(&mut self) {
        for worker in 0..self.workers.len() {
            self.workers[worker].lost = false;
            self.workers[worker].description.capacity = WORKER;
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
        let left = self
            .specs
            .keys()
            .filter_map(|id| Some((id, self.scheduler.progress(id)?)));
        let left: Vec<_> = left.collect();
        assert_eq!(left, Vec::new(), "jobs are left over");
        assert_eq!(
            self.scheduler.ledger().held(),
            Resources::ZERO,
            "holds are left over"
        );
        for (_, worker) in self.scheduler.ledger().workers() {
            assert!(worker.allocations().is_empty(), "allocations are left over");
        }
    }

    fn decide(&mut self) {
        let mut gangs: BTreeMap<String, u32> = BTreeMap::new();
        for decision in self.scheduler.decide(self.now, 64) {
            // The deadline of a reservation contains the time at which the simulation began.
            if !matches!(decision, Decision::Reserve { .. }) {
                self.log.push(format!("{decision:?}"));
            }
            match decision {
                Decision::Start(start) => {
                    assert!(
                        self.ids.insert(start.task.clone()),
                        "{} is used twice",
                        start.task
                    );
                    let spec = &self.specs[&start.job];
                    let worker = self
                        .workers
                        .iter()
                        .find(|worker| worker.description.id == start.worker)
                        .unwrap();
                    assert!(!worker.lost, "{} is lost", start.worker);
                    if spec.kind == "gang" {
                        *gangs.entry(start.job.clone()).or_default() += 1;
                    }
                    *self
                        .started
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
                        "a refused job runs"
                    );
                }
            }
        }
        for (job, started) in gangs {
            assert_eq!(
                started, self.specs[&job].tasks,
                "gang {job} started in part"
            );
        }
    }

    /// A start must fit beside everything that still runs on the worker.
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
            "{} has too much",
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
            once,
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
            at_most_once: *once && kind == "batch",
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

    fn restart(&mut self, pick: u16) {
        let worker = self.pick(pick);
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

    fn pick(&self, pick: u16) -> usize {
        usize::from(pick) % self.workers.len()
    }
}

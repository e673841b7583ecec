//! Simulation of a cell under load: three queues with a placement policy receive jobs at rates that
//! are proportional to the number of workers.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::CallResponder;
use super::fixture::{Fixture, configuration, heartbeat, queue, stage};
use crate::ids::{JobId, WorkerId};
use crate::resources::Resources;
use crate::workflow::calls::{Call, PolicyAnswer};
use crate::workflow::decisions::ranking::LATE_FACTOR;
use crate::workflow::placer::policy::Question;
use crate::workflow::queues::{PlacementPolicy, Queue, QueueAddress};
use crate::workflow::records::RunOutcome;
use crate::workflow::spec::{StageSpec, TaskKey, WorkflowSpec};
use crate::workflow::state::{Job, WorkflowState};

/// Step of the simulated time, the delay between a change and its scheduling pass.
pub const STEP: Duration = Duration::from_millis(4);
/// Kinds of jobs of a simulated cell: with one gang, with one wide stage, and small urgent ones.
pub const KINDS: usize = 3;
const QUEUE_NAMES: [&str; KINDS] = ["gangs", "stages", "small"];

/// Jobs that a cell receives, and its placement policy. Arrays have an entry for each kind of job.
#[derive(Clone, Copy)]
pub struct Traffic {
    /// Number of workers to which the rates and the hosts refer.
    reference_workers: f64,
    /// Jobs that arrive each second.
    rates_per_s: [f64; KINDS],
    /// Priority of the queues.
    priorities: [u32; KINDS],
    /// Factor from the expected work of a job to its objective.
    slack_factors: [f64; KINDS],
    /// Further time of the objective.
    target_latency_ms: [u64; KINDS],
    /// Least and greatest number of tasks of a job.
    tasks: [(u32, u32); KINDS],
    /// Least and greatest processors of a task.
    cpu_millis: [(u64, u64); KINDS],
    /// Memory of a task for each thousandth of a core, in thousandths of a MiB.
    memory_per_cpu: [u64; KINDS],
    /// Least and greatest run time of a task.
    estimate_ms: [(u64, u64); KINDS],
    /// Time of a decision of the policy, and additional time for each worker.
    decision_ms: [(f64, f64); KINDS],
    /// Share of workers that the policy grants, in percent.
    granted_percent: [u64; KINDS],
    /// Time for which a permit is valid.
    validity_ms: u64,
    /// Processors of every second worker; the others have 16.
    cores: u64,
    /// Hosts that can call the placement policy.
    hosts: usize,
    /// Whether the logarithms of the numbers of tasks are distributed evenly, and not the numbers.
    skewed: bool,
}

/// Traffic of a cell of 350 workers with 40 hosts.
const GROWN: Traffic = Traffic {
    reference_workers: 350.0,
    rates_per_s: [5.0, 10.0, 115.0],
    priorities: [2, 1, 0],
    slack_factors: [2.0; KINDS],
    target_latency_ms: [1_000; KINDS],
    tasks: [(16, 20), (25, 25), (3, 3)],
    cpu_millis: [(4_500, 9_000), (1_700, 3_500), (2_500, 5_000)],
    memory_per_cpu: [1_000; KINDS],
    estimate_ms: [(5_000, 6_000), (2_700, 2_700), (640, 1_000)],
    decision_ms: [(400.0, 2.0), (100.0, 1.0), (10.0, 0.2)],
    granted_percent: [33, 50, 70],
    validity_ms: 5_000,
    cores: 32,
    hosts: 40,
    skewed: false,
};

/// Traffic of a cell of 1,100 workers with 147 hosts whose policy takes most of a second for a gang;
/// it declares nine tenths of the processors at a load of 1.
pub const WIDE: Traffic = Traffic {
    reference_workers: 1_100.0,
    rates_per_s: [10.9, 18.5, 125.0],
    priorities: [1, 2, 0],
    slack_factors: [2.2, 4.0, 1.5],
    target_latency_ms: [1_200, 3_000, 600],
    tasks: [(8, 56), (10, 70), (1, 8)],
    cpu_millis: [(2_700, 6_300), (1_500, 3_900), (2_200, 5_600)],
    memory_per_cpu: [3_800, 3_700, 2_050],
    estimate_ms: [(2_500, 7_500), (1_400, 4_000), (500, 1_500)],
    decision_ms: [(507.0, 7.28), (182.0, 2.6), (18.2, 0.26)],
    granted_percent: [35, 45, 70],
    validity_ms: 2_500,
    cores: 16,
    hosts: 147,
    skewed: false,
};

/// Traffic like [`WIDE`] in which some gangs and stages are several times as wide as most.
pub const SKEWED: Traffic = Traffic {
    tasks: [(6, 120), (6, 150), (1, 20)],
    skewed: true,
    ..WIDE
};

/// Time from a placement to the recorded end of the run, beyond its work.
const RUN_OVERHEAD: Duration = Duration::from_millis(300);
/// Interval of the time-driven steps of the term.
const TICK: Duration = Duration::from_millis(100);

/// Elapsed time by kind of step of the placer.
#[derive(Default)]
pub struct StepTimes(pub IndexMap<&'static str, Duration>);

impl StepTimes {
    fn measure<R>(&mut self, step_kind: &'static str, step: impl FnOnce() -> R) -> R {
        let begun_at = Instant::now();
        let result = step();
        *self.0.entry(step_kind).or_default() += begun_at.elapsed();
        result
    }
}

/// A simulated cell with its workers, callers and placement policy.
pub struct SimulatedCell {
    pub fixture: Fixture,
    pub step_times: StepTimes,
    pub starts: usize,
    pub submitted: usize,
    pub passes: usize,
    /// Questions to the placement policy.
    pub questions: usize,
    /// Jobs that ended and, of these, those within their objective, by kind.
    pub ended: [[usize; 2]; KINDS],
    /// Hash of all questions and start orders in their order, which is equal for two versions of
    /// the code that decide alike.
    pub decisions: DefaultHasher,
    random: StdRng,
    traffic: Traffic,
    hosts: usize,
    rates_per_s: [f64; KINDS],
    due: [f64; KINDS],
    ends: BTreeMap<(Instant, u64), TaskKey>,
    answers: BTreeMap<(Instant, u64), Question>,
    sequence: u64,
    next_tick_at: Instant,
    /// Accepted jobs.
    pub jobs: IndexMap<JobId, SimulatedJob>,
}

/// An accepted job of a simulated cell.
pub struct SimulatedJob {
    pub kind: usize,
    /// Declared work of all tasks, in milliseconds of a thousandth of a core.
    pub work: u64,
    /// Time after which the end of the job no longer counts.
    pub counts_until: Instant,
    /// Whether the job ended while its end counted.
    pub served: bool,
    /// Whether the job ended within its objective.
    pub in_time: bool,
}

fn queues(traffic: &Traffic) -> Vec<Queue> {
    let queues = QUEUE_NAMES.into_iter().enumerate();
    let queues = queues.map(|(kind, name)| Queue {
        name: name.to_owned(),
        address: QueueAddress {
            host: "shop.example".to_owned(),
            path_prefix: format!("/{name}/"),
        },
        priority: traffic.priorities[kind],
        slack_factor: traffic.slack_factors[kind],
        target_latency_ms: traffic.target_latency_ms[kind],
        placement_policy: Some(PlacementPolicy {
            decision_ms: traffic.decision_ms[kind].0,
            per_worker_ms: traffic.decision_ms[kind].1,
            validity_ms: traffic.validity_ms,
        }),
        ..queue()
    });
    queues.collect()
}

/// Returns the kind of the jobs of a queue.
fn kind_of(queue: &Queue) -> usize {
    let mut names = QUEUE_NAMES.iter();
    names.position(|name| *name == queue.name).unwrap()
}

impl SimulatedCell {
    /// Creates a cell of any size with 40 hosts and with reachable workers of 16 and 32 cores;
    /// `load` multiplies the rates at which jobs arrive.
    pub fn new(workers: usize, load: f64) -> Self {
        let mut cell = Self::with_traffic(&GROWN, workers, load);
        cell.hosts = GROWN.hosts;
        cell
    }

    /// Creates a cell with reachable workers, in which the rates and the number of hosts follow the
    /// number of workers.
    pub fn with_traffic(traffic: &Traffic, workers: usize, load: f64) -> Self {
        let mut configuration = configuration(3);
        configuration.queues = queues(traffic);
        let mut fixture = Fixture::with_state(WorkflowState {
            configuration: Some(configuration),
            ..WorkflowState::default()
        });
        for position in 0..workers {
            let mut heartbeat = heartbeat(&format!("worker-{position}"), 1, 1);
            let cores = if position % 2 == 0 { 16 } else { traffic.cores };
            heartbeat.record.capacity = Resources {
                cpu_millis: cores * 1_000,
                memory_mib: cores * 4_000,
                accelerators: 0,
            };
            let id = heartbeat.record.id.clone();
            fixture.term.handle_heartbeat(heartbeat, fixture.now);
            fixture.report(&id, Vec::new(), Vec::new());
            fixture.commit_all();
        }
        let scale = workers as f64 / traffic.reference_workers;
        let next_tick_at = fixture.now.at;
        Self {
            fixture,
            step_times: StepTimes::default(),
            starts: 0,
            submitted: 0,
            passes: 0,
            questions: 0,
            ended: [[0; 2]; KINDS],
            decisions: DefaultHasher::new(),
            random: StdRng::seed_from_u64(17),
            traffic: *traffic,
            hosts: (traffic.hosts as f64 * scale).round() as usize,
            rates_per_s: traffic.rates_per_s.map(|rate| rate * scale * load),
            due: [0.0; KINDS],
            ends: BTreeMap::new(),
            answers: BTreeMap::new(),
            sequence: 0,
            next_tick_at,
            jobs: IndexMap::new(),
        }
    }

    /// Ends the arrival of jobs.
    pub fn end_arrivals(&mut self) {
        self.rates_per_s = [0.0; KINDS];
    }

    /// Simulates the cell for a duration.
    pub fn run(&mut self, time: Duration) {
        let until = self.fixture.now.at + time;
        while self.fixture.now.at < until {
            self.fixture.advance(STEP);
            self.tick();
            self.submit_due();
            self.end_due_runs();
            self.answer_questions();
            self.schedule();
            self.commit();
        }
    }

    fn tick(&mut self) {
        let now = self.fixture.now;
        if now.at < self.next_tick_at {
            return;
        }
        self.next_tick_at = now.at + TICK;
        self.fixture.contact_entry_hosts(self.hosts);
        let term = &mut self.fixture.term;
        self.step_times.measure("tick", || term.tick(now));
    }

    fn submit_due(&mut self) {
        for kind in 0..self.due.len() {
            self.due[kind] += self.rates_per_s[kind] * STEP.as_secs_f64();
            while self.due[kind] >= 1.0 {
                self.due[kind] -= 1.0;
                self.submit(kind);
            }
        }
    }

    /// Submits a job of a kind: 0 for a gang, 1 for a wide stage, 2 for a small job.
    fn submit(&mut self, kind: usize) {
        let traffic = self.traffic;
        let (least, greatest) = traffic.tasks[kind];
        let tasks = if traffic.skewed {
            let ratio = f64::from(greatest) / f64::from(least);
            let exponent: f64 = self.random.random();
            (f64::from(least) * ratio.powf(exponent)).round() as u32
        } else if least == greatest {
            least
        } else {
            self.random.random_range(least..=greatest)
        };
        let cpu_millis = self.draw(traffic.cpu_millis[kind]);
        let estimate_ms = self.draw(traffic.estimate_ms[kind]);
        let spec = StageSpec {
            gang: kind == 0,
            estimate_ms,
            resources: Resources {
                cpu_millis,
                memory_mib: cpu_millis * traffic.memory_per_cpu[kind] / 1_000,
                accelerators: 0,
            },
            ..stage(tasks)
        };
        self.submit_stage(kind, &format!("{:016x}", self.submitted), None, spec);
    }

    /// Submits a job of a kind with one stage, with or without the key of a customer.
    pub fn submit_stage(&mut self, kind: usize, name: &str, key: Option<&str>, spec: StageSpec) {
        let work = u64::from(spec.task_count) * spec.resources.cpu_millis * spec.estimate_ms;
        let mut call = Call::Submit {
            target: QueueAddress {
                host: "shop.example".to_owned(),
                path_prefix: format!("/{}/{name}", QUEUE_NAMES[kind]),
            },
            spec: Box::new(WorkflowSpec {
                payload: "plan".to_owned(),
                stages: vec![spec],
                repetition: None,
            }),
        };
        if let Some(key) = key {
            let (key, keyed) = (key.to_owned(), Box::new(call));
            call = Call::Keyed { key, call: keyed };
        }
        self.submitted += 1;
        let responder = CallResponder::new(|_| {});
        let Fixture { term, now, .. } = &mut self.fixture;
        let known = term.state.jobs.len();
        let step = || term.handle_call(call, responder, *now);
        self.step_times.measure("submit", step);
        if self.fixture.term.state.jobs.len() > known {
            self.note_accepted(kind, work);
        }
    }

    fn note_accepted(&mut self, kind: usize, work: u64) {
        let term = &self.fixture.term;
        let Some(id) = term.state.jobs.keys().last() else {
            return;
        };
        let Some(stage) = term.stages.iter().rfind(|(key, _)| key.job == *id) else {
            return;
        };
        let job = SimulatedJob {
            kind,
            work,
            counts_until: stage.1.due_at + stage.1.objective * LATE_FACTOR,
            served: false,
            in_time: false,
        };
        self.jobs.insert(id.clone(), job);
    }

    /// Returns a random number between the bounds, both included.
    fn draw(&mut self, (least, greatest): (u64, u64)) -> u64 {
        if least == greatest {
            return least;
        }
        self.random.random_range(least..=greatest)
    }

    fn end_due_runs(&mut self) {
        let now = self.fixture.now;
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > now.at {
                break;
            }
            let task = entry.remove();
            let term = &mut self.fixture.term;
            let was_open = term
                .state
                .jobs
                .get(&task.stage.job)
                .is_some_and(Job::is_open);
            let stage = term.stages.get(&task.stage);
            let in_time = stage.is_some_and(|stage| now.at <= stage.due_at + stage.objective);
            let step = || term.finish_run(&task, RunOutcome::Succeeded, String::new(), now);
            self.step_times.measure("end", step);
            if let Some(job) = term.state.jobs.get(&task.stage.job)
                && was_open
                && !job.is_open()
            {
                if let Some(job) = self.jobs.get_mut(&task.stage.job) {
                    job.served = now.at <= job.counts_until;
                    job.in_time = in_time;
                }
                let ended = &mut self.ended[kind_of(&job.queue)];
                ended[0] += 1;
                ended[1] += usize::from(in_time);
            }
        }
    }

    fn answer_questions(&mut self) {
        let now = self.fixture.now;
        while let Some(entry) = self.answers.first_entry() {
            if entry.key().0 > now.at {
                break;
            }
            let question = entry.remove();
            let granted = self.granted(&question);
            let answer = PolicyAnswer {
                granted,
                validity_ms: Some(self.traffic.validity_ms),
            };
            let term = &mut self.fixture.term;
            let step =
                || term.handle_policy_answer(&question, question.decided_at, Ok(answer), now);
            let next = self.step_times.measure("answer", step);
            self.add_questions(next);
        }
    }

    /// Whether the placement policy grants a worker to a job.
    pub fn is_granted(&self, id: &JobId, worker: &WorkerId) -> bool {
        let job = self.fixture.term.state.jobs.get(id);
        let kind = job.map_or(0, |job| kind_of(&job.queue));
        let seed = id.bytes().map(u64::from);
        let seed = seed.fold(7, |sum: u64, byte| sum.wrapping_mul(31).wrapping_add(byte));
        let hash = worker.bytes().fold(seed, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        (hash >> 20) % 100 < self.traffic.granted_percent[kind]
    }

    fn granted(&self, question: &Question) -> Vec<(WorkerId, String)> {
        let is_granted = |worker: &&WorkerId| self.is_granted(&question.stage.job, worker);
        let allowed = question.workers.iter().filter(is_granted);
        allowed
            .map(|worker| (worker.clone(), "permit".to_owned()))
            .collect()
    }

    fn add_questions(&mut self, questions: impl IntoIterator<Item = Question>) {
        for question in questions {
            (&question.stage, &question.workers, &question.host).hash(&mut self.decisions);
            let answered_at = self.fixture.now.at + question.expected + Duration::from_millis(60);
            self.sequence += 1;
            self.questions += 1;
            self.answers.insert((answered_at, self.sequence), question);
        }
    }

    fn schedule(&mut self) {
        if !self.fixture.term.is_pass_due() {
            return;
        }
        self.passes += 1;
        let Fixture { term, now, .. } = &mut self.fixture;
        let questions = self.step_times.measure("pass", || term.schedule(*now));
        self.add_questions(questions);
    }

    fn commit(&mut self) {
        self.fixture.commit_all();
        for order in std::mem::take(&mut self.fixture.orders) {
            let job = self.fixture.term.state.jobs.get(&order.task.stage.job);
            let spec = job.and_then(|job| job.stage_spec(order.task.stage.stage));
            let Some(spec) = spec else {
                continue;
            };
            (&order.task, order.run, &order.worker).hash(&mut self.decisions);
            let work = Duration::from_millis(spec.estimate_ms);
            self.starts += 1;
            self.sequence += 1;
            let ends_at = self.fixture.now.at + RUN_OVERHEAD + work;
            self.ends.insert((ends_at, self.sequence), order.task);
        }
    }
}

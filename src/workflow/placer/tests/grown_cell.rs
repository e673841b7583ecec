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
use crate::ids::WorkerId;
use crate::resources::Resources;
use crate::workflow::calls::{Call, HostContact, PolicyAnswer};
use crate::workflow::placer::policy::Question;
use crate::workflow::queues::{PlacementPolicy, Queue, QueueAddress};
use crate::workflow::records::RunOutcome;
use crate::workflow::spec::{StageSpec, TaskKey, WorkflowSpec};
use crate::workflow::state::WorkflowState;

/// Step of the simulated time, the delay between a change and its scheduling pass.
pub const STEP: Duration = Duration::from_millis(4);
/// Number of workers to which the rates below refer.
const REFERENCE_WORKERS: f64 = 350.0;
/// Jobs with one gang that arrive each second.
const GANGS_PER_S: f64 = 5.0;
/// Jobs with one wide stage that arrive each second.
const STAGES_PER_S: f64 = 10.0;
/// Small urgent jobs that arrive each second.
const SMALL_JOBS_PER_S: f64 = 115.0;
/// Hosts that can call the placement policy.
const HOSTS: usize = 40;
/// Share of workers that the policy grants to gangs, stages and small jobs, in percent.
const GRANTED_PERCENT: [u64; 3] = [33, 50, 70];
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
    /// Jobs that ended and, of these, those within their objective, by kind.
    pub ended: [[usize; 2]; 3],
    /// Hash of all questions and start orders in their order, which is equal for two versions of
    /// the code that decide alike.
    pub decisions: DefaultHasher,
    random: StdRng,
    rates_per_s: [f64; 3],
    due: [f64; 3],
    ends: BTreeMap<(Instant, u64), TaskKey>,
    answers: BTreeMap<(Instant, u64), Question>,
    sequence: u64,
    next_tick_at: Instant,
}

fn queues() -> Vec<Queue> {
    let names = ["gangs", "stages", "small"];
    let costs = [(400.0, 2.0), (100.0, 1.0), (10.0, 0.2)];
    let queues = names.into_iter().zip(costs).enumerate();
    let queues = queues.map(|(position, (name, (decision_ms, per_worker_ms)))| Queue {
        name: name.to_owned(),
        address: QueueAddress {
            host: "shop.example".to_owned(),
            path_prefix: format!("/{name}/"),
        },
        priority: 2 - position as u32,
        placement_policy: Some(PlacementPolicy {
            decision_ms,
            per_worker_ms,
            validity_ms: 5_000,
        }),
        ..queue()
    });
    queues.collect()
}

impl SimulatedCell {
    /// Creates a cell with reachable workers of 16 and 32 cores; `load` multiplies the rates at
    /// which jobs arrive.
    pub fn new(workers: usize, load: f64) -> Self {
        let mut configuration = configuration(3);
        configuration.queues = queues();
        let mut fixture = Fixture::with_state(WorkflowState {
            configuration: Some(configuration),
            ..WorkflowState::default()
        });
        for position in 0..workers {
            let mut heartbeat = heartbeat(&format!("worker-{position}"), 1, 1);
            let cores = if position % 2 == 0 { 16 } else { 32 };
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
        let scale = workers as f64 / REFERENCE_WORKERS * load;
        let next_tick_at = fixture.now.at;
        Self {
            fixture,
            step_times: StepTimes::default(),
            starts: 0,
            submitted: 0,
            passes: 0,
            ended: [[0; 2]; 3],
            decisions: DefaultHasher::new(),
            random: StdRng::seed_from_u64(17),
            rates_per_s: [
                GANGS_PER_S * scale,
                STAGES_PER_S * scale,
                SMALL_JOBS_PER_S * scale,
            ],
            due: [0.0; 3],
            ends: BTreeMap::new(),
            answers: BTreeMap::new(),
            sequence: 0,
            next_tick_at,
        }
    }

    /// Ends the arrival of jobs.
    pub fn end_arrivals(&mut self) {
        self.rates_per_s = [0.0; 3];
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
        for host in 0..HOSTS {
            let contact = HostContact {
                host: format!("10.0.0.{host}"),
                data_centre: "lowell-yard".to_owned(),
                stores: false,
            };
            self.fixture.term.record_contact(contact, now.at);
        }
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
        let random = &mut self.random;
        let (tasks, cpu_millis, estimate_ms) = match kind {
            0 => (
                random.random_range(16..=20),
                random.random_range(4_500..=9_000),
                random.random_range(5_000..=6_000),
            ),
            1 => (25, random.random_range(1_700..=3_500), 2_700),
            _ => (
                3,
                random.random_range(2_500..=5_000),
                random.random_range(640..=1_000),
            ),
        };
        let spec = StageSpec {
            gang: kind == 0,
            estimate_ms,
            resources: Resources {
                cpu_millis,
                memory_mib: cpu_millis,
                accelerators: 0,
            },
            ..stage(tasks)
        };
        let names = ["gangs", "stages", "small"];
        let call = Call::Submit {
            target: QueueAddress {
                host: "shop.example".to_owned(),
                path_prefix: format!("/{}/{:016x}", names[kind], self.submitted),
            },
            spec: Box::new(WorkflowSpec {
                payload: "plan".to_owned(),
                stages: vec![spec],
                repetition: None,
            }),
        };
        self.submitted += 1;
        let responder = CallResponder::new(|_| {});
        let Fixture { term, now, .. } = &mut self.fixture;
        let step = || term.handle_call(call, responder, *now);
        self.step_times.measure("submit", step);
    }

    fn end_due_runs(&mut self) {
        let now = self.fixture.now;
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > now.at {
                break;
            }
            let task = entry.remove();
            let term = &mut self.fixture.term;
            let stage = term.stages.get(&task.stage);
            let in_time = stage.is_some_and(|stage| now.at <= stage.due_at + stage.objective);
            let step = || term.finish_run(&task, RunOutcome::Succeeded, String::new(), now);
            self.step_times.measure("end", step);
            if let Some(job) = term.state.jobs.get(&task.stage.job)
                && !job.is_open()
            {
                let ended = &mut self.ended[2 - job.queue.priority as usize];
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
                validity_ms: Some(5_000),
            };
            let term = &mut self.fixture.term;
            let step =
                || term.handle_policy_answer(&question, question.decided_at, Ok(answer), now);
            let next = self.step_times.measure("answer", step);
            self.add_questions(next);
        }
    }

    fn granted(&self, question: &Question) -> Vec<(WorkerId, String)> {
        let job = &self.fixture.term.state.jobs.get(&question.stage.job);
        let kind = job.map_or(0, |job| 2 - job.queue.priority as usize);
        let seed = question.stage.job.bytes().map(u64::from);
        let seed = seed.fold(7, |sum: u64, byte| sum.wrapping_mul(31).wrapping_add(byte));
        let is_granted = |worker: &&WorkerId| {
            let hash = worker.bytes().fold(seed, |sum, byte| {
                (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
            (hash >> 20) % 100 < GRANTED_PERCENT[kind]
        };
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

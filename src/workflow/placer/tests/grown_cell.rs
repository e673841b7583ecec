//! A cell under the load of the grown days, in virtual time: three queues with a placement policy,
//! scaled by the number of workers.

use std::collections::BTreeMap;
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

/// Time between two scheduling passes while changes arrive.
pub const STEP: Duration = Duration::from_millis(4);
/// Workers of the cell for which the rates below are given.
const GROWN_WORKERS: f64 = 350.0;
/// Gangs a second.
const GANGS: f64 = 5.0;
/// Wide stages a second.
const STAGES: f64 = 10.0;
/// Small urgent jobs a second.
const SMALL_JOBS: f64 = 115.0;
/// Hosts that can call the placement policy.
const HOSTS: usize = 40;
/// Share of workers that the policy allows for gangs, stages and small jobs, in percent.
const ALLOWED_PERCENT: [u64; 3] = [33, 50, 70];
/// Time from a placement to the recorded end of the run, beyond its work.
const RUN_OVERHEAD: Duration = Duration::from_millis(300);
/// Interval of time-driven steps.
const TICK: Duration = Duration::from_millis(100);

/// Processor time by part of the placer's work.
#[derive(Default)]
pub struct Parts(pub IndexMap<&'static str, Duration>);

impl Parts {
    fn measure<R>(&mut self, part: &'static str, step: impl FnOnce() -> R) -> R {
        let begun_at = Instant::now();
        let result = step();
        *self.0.entry(part).or_default() += begun_at.elapsed();
        result
    }
}

/// The cell.
pub struct SimulatedCell {
    pub fixture: Fixture,
    pub parts: Parts,
    pub starts: usize,
    pub submitted: usize,
    pub passes: usize,
    /// Jobs that ended and, of these, those within their objective, by kind.
    pub ended: [[usize; 2]; 3],
    random: StdRng,
    rates_per_s: [f64; 3],
    due: [f64; 3],
    ends: BTreeMap<(Instant, u64), TaskKey>,
    answers: BTreeMap<(Instant, u64), Question>,
    sequence: u64,
    next_tick_at: Instant,
}

fn policies() -> Vec<Queue> {
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
    /// A cell with reachable workers of 16 and 32 cores; `load` scales the rates beside the number
    /// of workers.
    pub fn new(workers: usize, load: f64) -> Self {
        let mut configuration = configuration(3);
        configuration.queues = policies();
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
        let scale = workers as f64 / GROWN_WORKERS * load;
        let next_tick_at = fixture.now.at;
        Self {
            fixture,
            parts: Parts::default(),
            starts: 0,
            submitted: 0,
            passes: 0,
            ended: [[0; 2]; 3],
            random: StdRng::seed_from_u64(17),
            rates_per_s: [GANGS * scale, STAGES * scale, SMALL_JOBS * scale],
            due: [0.0; 3],
            ends: BTreeMap::new(),
            answers: BTreeMap::new(),
            sequence: 0,
            next_tick_at,
        }
    }

    /// Runs the cell for a time.
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
        self.parts.measure("tick", || term.tick(now));
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

    /// A job of a kind: gang, wide stage or small job.
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
        self.parts.measure("submit", step);
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
            self.parts.measure("end", step);
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
            let next = self.parts.measure("answer", step);
            self.note_questions(next);
        }
    }

    fn granted(&self, question: &Question) -> Vec<(WorkerId, String)> {
        let job = &self.fixture.term.state.jobs.get(&question.stage.job);
        let kind = job.map_or(0, |job| 2 - job.queue.priority as usize);
        let seed = question.stage.job.bytes().map(u64::from);
        let seed = seed.fold(7, |sum: u64, byte| sum.wrapping_mul(31).wrapping_add(byte));
        let is_allowed = |worker: &&WorkerId| {
            let hash = worker.bytes().fold(seed, |sum, byte| {
                (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
            (hash >> 20) % 100 < ALLOWED_PERCENT[kind]
        };
        let allowed = question.workers.iter().filter(is_allowed);
        allowed
            .map(|worker| (worker.clone(), "permit".to_owned()))
            .collect()
    }

    fn note_questions(&mut self, questions: impl IntoIterator<Item = Question>) {
        for question in questions {
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
        let questions = self.parts.measure("pass", || term.schedule(*now));
        self.note_questions(questions);
    }

    fn commit(&mut self) {
        self.fixture.commit_all();
        for order in std::mem::take(&mut self.fixture.orders) {
            let job = self.fixture.term.state.jobs.get(&order.task.stage.job);
            let spec = job.and_then(|job| job.stage_spec(order.task.stage.stage));
            let Some(spec) = spec else {
                continue;
            };
            let work = Duration::from_millis(spec.estimate_ms);
            self.starts += 1;
            self.sequence += 1;
            let ends_at = self.fixture.now.at + RUN_OVERHEAD + work;
            self.ends.insert((ends_at, self.sequence), order.task);
        }
    }
}

//! A cell in simulated time: the real term of the placer, its log, and the network between the parts.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::super::policy::Question;
use super::super::super::term::{Effect, StepOutput, Term};
use super::super::super::{CallResponder, Now};
use super::super::fixture::*;
use super::check::{Ended, Started};
use super::plan::{Fault, Plan, Target};
use super::relay::{Link, Relay};
use super::worker::Worker;
use crate::ids::{Epoch, HostId, WorkerId};
use crate::workflow::calls::{CallFailure, HostContact, OrderAnswer, PolicyAnswer, WorkerReport};
use crate::workflow::queues::PlacementPolicy;
use crate::workflow::records::Batch;
use crate::workflow::relay::messages::{Instructions, RelayEvent};
use crate::workflow::spec::StageKey;
use crate::workflow::state::{JobPhase, WorkflowState};

/// Longest time between sending a call to a worker and its execution.
pub(super) const LATE_CALL_LIMIT: Duration = Duration::from_secs(12);
/// Time for which a worker accepts a permit.
pub(super) const PERMIT_VALIDITY: Duration = Duration::from_millis(2_500);
/// Time after the last fault within which all jobs end.
const RECOVERY_TIME: Duration = Duration::from_secs(90);
const TICK: Duration = Duration::from_millis(100);
const DISPATCH_INTERVAL: Duration = Duration::from_millis(30);
const INSTRUCTION_TIMEOUT: Duration = Duration::from_millis(800);

pub(super) type Event = Box<dyn FnOnce(&mut Cell)>;
pub(super) type Done = Box<dyn FnOnce(&mut Cell, Result<Answer, CallFailure>)>;

/// Answer of a worker.
#[derive(Clone, Debug)]
pub(super) enum Answer {
    Order(OrderAnswer),
    Lists(WorkerReport),
    Fenced,
}

/// What the policy permitted: one stage on one life of a worker, until a time.
pub(super) struct Permit {
    pub stage: StageKey,
    pub worker: WorkerId,
    pub incarnation: u64,
    pub expires_at: Instant,
}

pub(super) struct Cell {
    pub now: Now,
    pub began_at: Instant,
    pub rng: StdRng,
    pub plan: Plan,
    events: BTreeMap<(Instant, u64), Event>,
    pub next_id: u64,
    pub term: Term,
    pub committed: WorkflowState,
    /// Batches that are appended and not committed.
    log: VecDeque<Batch>,
    commits_from: Instant,
    pub relays: Vec<Relay>,
    pub links: Vec<Link>,
    pub workers: IndexMap<WorkerId, Worker>,
    pub permits: Vec<Permit>,
    policy_free_at: IndexMap<Option<HostId>, Instant>,
    pub pending: IndexMap<u64, Done>,
    pub starts: Vec<Started>,
    pub ends: Vec<Ended>,
    /// Lines of the course, if it is recorded.
    pub course: Option<Vec<String>>,
    /// What broke the rule, with the workers involved.
    pub violation: Option<String>,
}

impl Cell {
    /// Plays a plan and returns the cell at its end, or at the first violation.
    pub(super) fn play(plan: &Plan, records: bool) -> Self {
        let mut cell = Self::new(plan.clone(), records);
        let last = cell.began_at + Duration::from_millis(plan.ends_at_ms()) + RECOVERY_TIME;
        while cell.violation.is_none() && cell.now.at < last {
            let Some(((at, _), event)) = cell.events.pop_first() else {
                break;
            };
            let passed = at - cell.now.at;
            cell.now.at = at;
            cell.now.unix_ms = 1_000_000 + (at - cell.began_at).as_millis() as u64;
            event(&mut cell);
            if passed > Duration::ZERO && cell.has_ended_all_jobs() {
                break;
            }
        }
        if cell.violation.is_none() && !cell.has_ended_all_jobs() {
            cell.violation = Some("a job does not end".to_owned());
        }
        cell
    }

    fn new(plan: Plan, records: bool) -> Self {
        let mut configuration = configuration(3);
        configuration.services[0].workers_check_capacity = true;
        configuration.queues[0].placement_policy = plan.permits.then_some(PlacementPolicy {
            decision_ms: 20.0,
            per_worker_ms: 0.5,
            validity_ms: PERMIT_VALIDITY.as_millis() as u64,
        });
        let state = WorkflowState {
            configuration: Some(configuration),
            ..WorkflowState::default()
        };
        let now = Now {
            at: Instant::now() + Duration::from_secs(1_000),
            unix_ms: 1_000_000,
        };
        let mut cell = Self {
            now,
            began_at: now.at,
            rng: StdRng::seed_from_u64(plan.network_seed),
            events: BTreeMap::new(),
            next_id: 0,
            term: Term::begin(EPOCH, state.clone(), settings(), now),
            committed: state,
            log: VecDeque::new(),
            commits_from: now.at,
            relays: (0..2).map(Relay::new).collect(),
            links: Vec::new(),
            workers: IndexMap::new(),
            permits: Vec::new(),
            policy_free_at: IndexMap::new(),
            pending: IndexMap::new(),
            starts: Vec::new(),
            ends: Vec::new(),
            course: records.then(Vec::new),
            violation: None,
            plan,
        };
        cell.flush();
        for worker in 0..cell.plan.workers {
            cell.add_worker(format!("w{worker}"));
        }
        for fault in cell.plan.faults.clone() {
            let at = cell.began_at + Duration::from_millis(fault.at_ms());
            cell.at(at, move |cell| cell.begin_fault(fault));
        }
        cell.tick(0);
        cell.dispatch();
        cell
    }

    pub(super) fn at(&mut self, at: Instant, event: impl FnOnce(&mut Self) + 'static) {
        self.next_id += 1;
        let at = at.max(self.now.at);
        self.events.insert((at, self.next_id), Box::new(event));
    }

    pub(super) fn after(&mut self, delay: Duration, event: impl FnOnce(&mut Self) + 'static) {
        self.at(self.now.at + delay, event);
    }

    pub(super) fn note(&mut self, line: impl FnOnce() -> String) {
        let elapsed = (self.now.at - self.began_at).as_millis();
        if let Some(course) = &mut self.course {
            course.push(format!("{elapsed:>6} {}", line()));
        }
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(super) fn ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Delay of a message that is rarely as late as `limit_ms`.
    pub(super) fn delay(&mut self, limit_ms: u64) -> Duration {
        if self.chance(5) {
            self.ms(20..limit_ms)
        } else {
            self.ms(1..20)
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        self.note(|| format!("{fault:?}"));
        match fault {
            Fault::Restart {
                worker, down_ms, ..
            } => self.restart_worker(&worker, down_ms),
            Fault::Placer { .. } => self.change_placer(),
            Fault::Relay { relay, .. } => {
                let host = self.relays[relay].host.clone();
                let now = self.now.at;
                self.step(|term| term.handle_relay_failure(&host, "a simulated fault", now));
            }
            Fault::Job {
                number,
                tasks,
                work_ms,
                ..
            } => self.submit_job(number, tasks, work_ms),
            Fault::Hold { .. } | Fault::Cut { .. } | Fault::SlowDisk { .. } => {}
        }
    }

    /// Time until which a fault lasts that covers the current time.
    pub(super) fn fault_until(&self, covers: impl Fn(&Fault) -> Option<u64>) -> Option<Instant> {
        let now_ms = (self.now.at - self.began_at).as_millis() as u64;
        let faults = self.plan.faults.iter();
        let begun = faults.filter(|fault| fault.at_ms() <= now_ms);
        let until_ms = begun
            .filter_map(covers)
            .filter(|until| now_ms < *until)
            .max();
        until_ms.map(|until| self.began_at + Duration::from_millis(until))
    }

    pub(super) fn cut_until(&self, id: &WorkerId) -> Option<Instant> {
        self.fault_until(|fault| match fault {
            Fault::Cut {
                worker, until_ms, ..
            } if worker == id => Some(*until_ms),
            _ => None,
        })
    }

    pub(super) fn is_held(&self, id: &WorkerId, what: Target) -> bool {
        let until = self.fault_until(|fault| match fault {
            Fault::Hold {
                worker,
                target,
                until_ms,
                ..
            } if worker == id && *target == what => Some(*until_ms),
            _ => None,
        });
        until.is_some()
    }

    // The placer.

    /// Runs a step of the term and appends its records.
    pub(super) fn step<R>(&mut self, step: impl FnOnce(&mut Term) -> R) -> R {
        let result = step(&mut self.term);
        self.flush();
        result
    }

    fn flush(&mut self) {
        match self.term.finish_step() {
            StepOutput::Effects(effects) => self.execute(effects),
            StepOutput::Batch(batch) => {
                let is_slow = self.fault_until(|fault| match fault {
                    Fault::SlowDisk { until_ms, .. } => Some(*until_ms),
                    _ => None,
                });
                let delay = match is_slow {
                    Some(_) => self.ms(300..3_000),
                    None => self.ms(2..60),
                };
                let position = (batch.epoch, batch.sequence);
                self.log.push_back(batch);
                self.commits_from = self.commits_from.max(self.now.at + delay);
                self.at(self.commits_from, move |cell| cell.commit(position));
            }
        }
    }

    fn commit(&mut self, (epoch, sequence): (Epoch, u64)) {
        let is_current = |batch: &mut Batch| (batch.epoch, batch.sequence) == (epoch, sequence);
        let Some(batch) = self.log.pop_front_if(is_current) else {
            return;
        };
        self.committed.apply(batch);
        let effects = self.term.take_committed_effects(sequence);
        self.execute(effects);
    }

    fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Order(order) => self.term.pending_orders.push(order),
                Effect::EndsRecorded {
                    worker,
                    incarnation,
                    through,
                } => self
                    .term
                    .record_committed_ends(&worker, incarnation, through),
                Effect::TakenOver => self.term.ready = true,
                Effect::Reply(..) | Effect::ReplyQueues(_) => {}
            }
        }
    }

    /// Another placer leads. Any number of the batches of the former one may be committed.
    fn change_placer(&mut self) {
        let kept = self.rng.random_range(0..=self.log.len());
        for batch in self.log.drain(..).take(kept) {
            self.committed.apply(batch);
        }
        self.commits_from = self.now.at;
        let epoch = self.term.epoch + 1;
        self.term = Term::begin(epoch, self.committed.clone(), settings(), self.now);
        self.flush();
    }

    fn tick(&mut self, number: u64) {
        if number.is_multiple_of(5) {
            for relay in 0..self.relays.len() {
                let contact = HostContact {
                    host: self.relays[relay].host.clone(),
                    data_centre: "lowell-yard".to_owned(),
                    stores: false,
                };
                let now = self.now.at;
                self.step(|term| term.record_contact(contact, now));
            }
        }
        let now = self.now;
        self.step(|term| term.tick(now));
        if self.term.ready {
            let questions = self.step(|term| term.schedule(now));
            self.ask(questions);
        }
        self.after(TICK, move |cell| cell.tick(number + 1));
    }

    fn dispatch(&mut self) {
        if self.term.ready {
            for (host, instructions) in self.term.next_instructions(self.now) {
                self.send_instructions(host, instructions);
            }
        }
        self.after(DISPATCH_INTERVAL, Self::dispatch);
    }

    fn send_instructions(&mut self, host: HostId, instructions: Instructions) {
        let relay = self.relays.iter().position(|relay| relay.host == host);
        let relay = relay.unwrap();
        if self.chance(1) {
            let epoch = instructions.epoch;
            self.after(INSTRUCTION_TIMEOUT, move |cell| {
                let now = cell.now.at;
                if cell.term.epoch == epoch {
                    cell.step(|term| term.handle_relay_failure(&host, "lost", now));
                }
            });
            return;
        }
        let delay = self.delay(800);
        self.after(delay, move |cell| cell.accept(relay, instructions));
    }

    /// Reports an event of a relay to the placer of an epoch; reports may be lost or arrive twice.
    pub(super) fn report(&mut self, relay: usize, epoch: Epoch, event: RelayEvent) {
        let is_held = self.is_held(&event.worker, Target::Report);
        if self.chance(if is_held { 40 } else { 1 }) {
            return;
        }
        let copies = if self.chance(2) { 2 } else { 1 };
        for _ in 0..copies {
            let (delay, event) = (self.delay(450), event.clone());
            self.after(delay, move |cell| {
                if cell.term.epoch != epoch {
                    return;
                }
                let (host, now) = (cell.relays[relay].host.clone(), cell.now);
                cell.note(|| format!("placer hears from {host}: {event:?}"));
                cell.step(|term| term.handle_relay_event(&host, event, now));
            });
        }
    }

    fn ask(&mut self, questions: Vec<Question>) {
        for question in questions {
            let sent_at = self.now.at;
            let (arrives_in, per_worker) = (self.ms(1..10), question.workers.len() as u64 / 2);
            let free_at = self.policy_free_at.entry(question.host.clone());
            let free_at = free_at.or_insert(sent_at);
            let from = (*free_at).max(sent_at + arrives_in);
            *free_at = from + Duration::from_millis(20 + per_worker);
            let decided_at = *free_at;
            self.at(decided_at, move |cell| cell.decide(question, sent_at));
        }
    }

    /// Lets the policy permit the lives that it finds, and its answer arrive.
    fn decide(&mut self, question: Question, sent_at: Instant) {
        let mut granted = Vec::new();
        for id in &question.workers {
            let worker = &self.workers[id];
            let incarnation = worker.incarnation();
            granted.push((id.clone(), self.permits.len().to_string()));
            self.permits.push(Permit {
                stage: question.stage.clone(),
                worker: id.clone(),
                incarnation,
                expires_at: self.now.at + PERMIT_VALIDITY,
            });
            self.note(|| format!("permit for {id} life {incarnation} of {}", question.stage));
        }
        let mut result = Ok(PolicyAnswer {
            granted,
            validity_ms: Some(PERMIT_VALIDITY.as_millis() as u64),
        });
        let mut delay = self.delay(600);
        if self.chance(2) {
            delay = Duration::from_millis(700);
            result = Err(CallFailure::NoAnswer("lost".to_owned()));
        }
        self.after(delay, move |cell| {
            if cell.term.epoch != question.epoch {
                return;
            }
            let now = cell.now;
            let next = cell.step(|term| term.handle_policy_answer(&question, sent_at, result, now));
            cell.ask(next);
        });
    }

    // Jobs.

    fn submit_job(&mut self, number: u64, tasks: u32, work_ms: u64) {
        let job = job_id(number);
        if self.committed.jobs.contains_key(&job) {
            return;
        }
        let mut spec = stage(tasks);
        spec.estimate_ms = work_ms;
        let now = self.now;
        let call = submission(&job, vec![spec]);
        let questions = self.step(|term| {
            term.handle_call(call, CallResponder::new(|_| {}), now);
            if term.ready {
                term.schedule(now)
            } else {
                Vec::new()
            }
        });
        self.ask(questions);
        self.after(Duration::from_secs(4), move |cell| {
            cell.submit_job(number, tasks, work_ms);
        });
    }

    fn has_ended_all_jobs(&self) -> bool {
        let jobs = self.plan.faults.iter().filter_map(|fault| match fault {
            Fault::Job { number, .. } => Some(job_id(*number)),
            _ => None,
        });
        let mut phases = jobs.map(|job| self.committed.jobs.get(&job).map(|job| job.phase));
        let faults_are_over =
            self.now.at >= self.began_at + Duration::from_millis(self.plan.ends_at_ms());
        faults_are_over
            && phases.all(|phase| matches!(phase, Some(JobPhase::Completed | JobPhase::Failed)))
    }
}

pub(super) fn job_id(number: u64) -> String {
    format!("00c0ffee{number:08x}")
}

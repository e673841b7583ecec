//! Test fixture: a term without threads, log or network.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;

use super::super::orders::OrderedRun;
use super::super::term::{Effect, Order, OrderKind, StepOutput, Term};
use super::super::{CallResponder, Now, PlacerSettings};
use crate::resources::Resources;
use crate::workflow::calls::{
    Call, CallFailure, HostContact, ListedEnd, ListedRun, OrderAnswer, OrderOutcome, OutsideCalls,
    Reply, WorkerReport,
};
use crate::workflow::queues::{PlacementPolicy, Queue, QueueAddress, QueueConfiguration, Service};
use crate::workflow::records::RunOutcome;
use crate::workflow::relay::messages::{RelayEvent, RelayEventKind};
use crate::workflow::spec::{StageKey, StageSpec, TaskKey, WorkflowSpec};
use crate::workflow::state::{JobPhase, WorkflowState};
use crate::workflow::workers::{WorkerHeartbeat, WorkerRecord};

pub(super) const JOB: &str = "00c0ffee00c0ffee";
pub(super) const EPOCH: u64 = 7;
pub(super) const LEASE: Duration = Duration::from_secs(6);

/// A term with a simulated clock, and the orders and replies that it has released.
pub(super) struct Fixture {
    pub term: Term,
    pub started_at: Instant,
    pub now: Now,
    pub orders: Vec<Order>,
    pub replies: usize,
}

pub(super) fn settings() -> PlacerSettings {
    PlacerSettings {
        host: "10.0.0.1".to_owned(),
        lease: LEASE,
        max_lease: Duration::from_secs(10),
        late_call_limit: Duration::from_secs(12),
        retention: Duration::from_secs(120),
        wanted_voters: 3,
        remote_factor: None,
    }
}

/// Returns calls to workers and to a placement policy, none of which is sent.
pub(super) fn unreachable_workers() -> OutsideCalls {
    let failure = || CallFailure::NotSent("a test without workers".to_owned());
    OutsideCalls {
        start: Arc::new(move |_, _, _| Err(failure())),
        stop: Arc::new(move |_, _, _| Err(failure())),
        renew: Arc::new(move |_, _, _| Err(failure())),
        ask_policy: Arc::new(move |_, _| Err(failure())),
    }
}

pub(super) fn queue() -> Queue {
    Queue {
        name: "plans".to_owned(),
        address: QueueAddress {
            host: "shop.example".to_owned(),
            path_prefix: "/plans/".to_owned(),
        },
        service: "shopdesk".to_owned(),
        priority: 1,
        max_attempts: 3,
        slack_factor: 2.0,
        target_latency_ms: 1_000,
        timeout_ms: 3_000,
        placement_policy: None,
    }
}

pub(super) fn configuration(version: u64) -> QueueConfiguration {
    QueueConfiguration {
        version,
        document: Vec::new(),
        queues: vec![queue()],
        services: vec![Service {
            name: "shopdesk".to_owned(),
            workers_check_capacity: false,
        }],
    }
}

pub(super) fn heartbeat(id: &str, incarnation: u64, sequence: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        record: WorkerRecord {
            id: id.to_owned(),
            incarnation,
            address: format!("{id}:80"),
            service: "shopdesk".to_owned(),
            data_centre: "lowell-yard".to_owned(),
            capacity: Resources {
                cpu_millis: 4_000,
                memory_mib: 4_000,
                accelerators: 0,
            },
            labels: vec!["a".to_owned(), "r1".to_owned()],
            draining: false,
        },
        sequence,
    }
}

pub(super) fn stage(tasks: u32) -> StageSpec {
    StageSpec {
        task_count: tasks,
        resources: Resources {
            cpu_millis: 1_000,
            memory_mib: 100,
            accelerators: 0,
        },
        estimate_ms: 1_000,
        ..StageSpec::default()
    }
}

pub(super) fn task(index: u32) -> TaskKey {
    TaskKey {
        stage: StageKey {
            job: JOB.to_owned(),
            occurrence: 0,
            stage: 0,
        },
        index,
    }
}

pub(super) fn listed(index: u32, run: u32) -> ListedRun {
    ListedRun {
        task: task(index),
        run,
        checkpoint: String::new(),
        progress_percent: None,
    }
}

pub(super) fn listed_end(number: u64, index: u32, run: u32, outcome: RunOutcome) -> ListedEnd {
    ListedEnd {
        number,
        run: listed(index, run),
        outcome,
    }
}

/// Returns the address of a job of the queue.
pub(super) fn address(job: &str) -> QueueAddress {
    QueueAddress {
        host: "shop.example".to_owned(),
        path_prefix: format!("/plans/{job}"),
    }
}

pub(super) fn submission(job: &str, stages: Vec<StageSpec>) -> Call {
    Call::Submit {
        target: address(job),
        spec: Box::new(WorkflowSpec {
            payload: "plan".to_owned(),
            stages,
            repetition: None,
        }),
    }
}

/// Returns the run that an order refers to.
pub(super) fn ordered(order: &Order) -> OrderedRun<'_> {
    OrderedRun {
        task: &order.task,
        run: order.run,
        worker: &order.worker,
    }
}

impl Fixture {
    /// Creates a term that has taken over a configured cell without workers.
    pub(super) fn new() -> Self {
        Self::with_state(WorkflowState {
            configuration: Some(configuration(3)),
            ..WorkflowState::default()
        })
    }

    /// Like [`Self::new`], with a placement policy whose answers have the given cost and are valid for
    /// 2 s.
    pub(super) fn with_policy(decision_ms: f64, per_worker_ms: f64) -> Self {
        Self::with_policy_valid_for(decision_ms, per_worker_ms, 2_000)
    }

    /// Like [`Self::with_policy`], with permits that are valid for `validity_ms`.
    pub(super) fn with_policy_valid_for(
        decision_ms: f64,
        per_worker_ms: f64,
        validity_ms: u64,
    ) -> Self {
        let mut configuration = configuration(3);
        configuration.queues[0].placement_policy = Some(PlacementPolicy {
            decision_ms,
            per_worker_ms,
            validity_ms,
        });
        Self::with_state(WorkflowState {
            configuration: Some(configuration),
            ..WorkflowState::default()
        })
    }

    pub(super) fn with_state(state: WorkflowState) -> Self {
        let now = Now {
            at: Instant::now() + Duration::from_secs(1_000),
            unix_ms: 1_000_000,
        };
        let mut fixture = Self {
            term: Term::begin(EPOCH, state, settings(), now),
            started_at: now.at,
            now,
            orders: Vec::new(),
            replies: 0,
        };
        fixture.commit_all();
        fixture
    }

    /// Ends a step and returns the sequence number of its batch, or executes its effects.
    pub(super) fn finish_step(&mut self) -> Option<u64> {
        match self.term.finish_step() {
            StepOutput::Batch(batch) => Some(batch.sequence),
            StepOutput::Effects(effects) => {
                self.release(effects);
                None
            }
        }
    }

    /// Executes effects; orders are only collected.
    pub(super) fn release(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Order(order) => self.orders.push(order),
                Effect::Reply(responder, reply) => {
                    self.replies += 1;
                    responder.reply(reply);
                }
                Effect::ReplyQueues(_) => self.replies += 1,
                Effect::EndsRecorded {
                    worker,
                    incarnation,
                    through,
                } => self
                    .term
                    .record_committed_ends(&worker, incarnation, through),
                Effect::TakenOver => self.term.ready = true,
            }
        }
    }

    pub(super) fn commit(&mut self, sequence: u64) {
        let effects = self.term.take_committed_effects(sequence);
        self.release(effects);
    }

    pub(super) fn commit_all(&mut self) {
        self.finish_step();
        self.commit(u64::MAX);
    }

    /// Advances both clocks.
    pub(super) fn advance(&mut self, time: Duration) {
        self.now.at += time;
        self.now.unix_ms += time.as_millis() as u64;
    }

    /// Returns the current reading of the clock of all workers.
    pub(super) fn clock_ms(&self) -> u64 {
        self.now.at.duration_since(self.started_at).as_millis() as u64 + 50_000
    }

    /// Renews the lease of a worker and handles its answer, which arrives 60 ms later.
    pub(super) fn report(&mut self, worker: &str, running: Vec<ListedRun>, ends: Vec<ListedEnd>) {
        let incarnation = self.term.workers[worker].record.incarnation;
        let id = worker.to_owned();
        let asked_at = self.now.at;
        self.term.grant(&id, asked_at);
        self.advance(Duration::from_millis(60));
        let report = WorkerReport {
            incarnation,
            clock_ms: self.clock_ms(),
            running,
            ends,
            complete: true,
        };
        self.term.handle_report(&id, asked_at, &report, self.now);
    }

    /// Renews the lease of a worker, which does not answer.
    pub(super) fn fail_to_answer(&mut self, worker: &str, failure: &CallFailure) {
        let id = worker.to_owned();
        let incarnation = self.term.workers[worker].record.incarnation;
        self.term.grant(&id, self.now.at);
        self.term
            .handle_no_answer(&id, incarnation, failure, self.now);
    }

    /// Registers a worker that answers its first renewal.
    pub(super) fn announce(&mut self, worker: &str) {
        self.term
            .handle_heartbeat(heartbeat(worker, 1, 1), self.now);
        self.report(worker, Vec::new(), Vec::new());
        self.commit_all();
    }

    /// Lets hosts make contact that can call the policy and store no log.
    pub(super) fn contact_entry_hosts(&mut self, hosts: usize) {
        for host in 0..hosts {
            let contact = HostContact {
                host: format!("10.0.0.{host}"),
                data_centre: "lowell-yard".to_owned(),
                stores: false,
            };
            self.term.record_contact(contact, self.now.at);
        }
    }

    /// Restarts a worker as incarnation 2, which is seen by its answer and by its heartbeat.
    pub(super) fn restart(&mut self, worker: &str) {
        self.fail_to_answer(worker, &CallFailure::OtherIncarnation);
        self.term
            .handle_heartbeat(heartbeat(worker, 2, 1), self.now);
    }

    pub(super) fn submit(&mut self, stages: Vec<StageSpec>) {
        self.submit_as(JOB, stages);
    }

    /// Submits a job and runs a scheduling pass.
    pub(super) fn submit_as(&mut self, job: &str, stages: Vec<StageSpec>) {
        self.submit_without_pass(job, stages);
        self.term.schedule(self.now);
    }

    pub(super) fn submit_without_pass(&mut self, job: &str, stages: Vec<StageSpec>) {
        self.call(submission(job, stages));
    }

    /// Returns the reply to a call with or without a key, once it is committed.
    pub(super) fn reply(&mut self, key: Option<&str>, call: Call) -> Reply {
        let call = match key {
            Some(key) => Call::Keyed {
                key: key.to_owned(),
                call: Box::new(call),
            },
            None => call,
        };
        let (sender, replies) = bounded(1);
        let responder = CallResponder::new(move |reply| sender.send(reply).unwrap());
        self.term.handle_call(call, responder, self.now);
        self.commit_all();
        replies.recv().unwrap().unwrap()
    }

    pub(super) fn call(&mut self, call: Call) {
        let responder = CallResponder::new(|_| {});
        self.term.handle_call(call, responder, self.now);
    }

    /// Answers all collected start orders with an outcome and drops the stop orders.
    pub(super) fn answer_starts(&mut self, outcome: OrderOutcome) {
        for order in std::mem::take(&mut self.orders) {
            if order.kind == OrderKind::Stop {
                continue;
            }
            let answer = OrderAnswer {
                outcome,
                clock_ms: Some(self.clock_ms()),
            };
            self.term
                .handle_start_answer(&ordered(&order), answer, self.now);
        }
    }

    /// Lets a relay report the answer of the worker `w` to the start order of the first run.
    pub(super) fn report_start_answer(
        &mut self,
        relay: &str,
        (outcome, clock_ms): (OrderOutcome, u64),
        earlier_attempt_open: bool,
    ) {
        let event = RelayEvent {
            worker: "w".to_owned(),
            incarnation: 1,
            kind: RelayEventKind::StartAnswered {
                task: task(0),
                run: 1,
                answer: OrderAnswer {
                    outcome,
                    clock_ms: Some(clock_ms),
                },
                earlier_attempt_open,
            },
        };
        self.term
            .handle_relay_event(&relay.to_owned(), event, self.now);
    }

    /// Returns the relay of the worker `w`.
    pub(super) fn relay(&self) -> String {
        self.term.workers["w"].relay.clone().unwrap()
    }

    /// Returns the number of collected start orders.
    pub(super) fn starts(&self) -> usize {
        let starts = self.orders.iter();
        starts.filter(|order| order.kind != OrderKind::Stop).count()
    }

    pub(super) fn phase(&self) -> JobPhase {
        self.term.state.jobs[JOB].phase
    }

    /// Creates a term with a job whose only task runs on the worker `w`.
    pub(super) fn running_on_w() -> Self {
        let mut fixture = Self::new();
        fixture.announce("w");
        fixture.submit(vec![stage(1)]);
        fixture.commit_all();
        fixture.answer_starts(OrderOutcome::Done);
        fixture.commit_all();
        fixture
    }
}

//! Steps of a term, without threads, log or network.

use std::time::{Duration, Instant};

use crossbeam::channel::bounded;

use super::super::calls::{
    Call, CallFailure, ListedEnd, ListedRun, OrderAnswer, OrderOutcome, Reply, WorkerReport,
};
use super::super::queues::{Queue, QueueAddress, QueueConfiguration, Service};
use super::super::records::{Record, RunOutcome};
use super::super::spec::{StageKey, StageSpec, TaskKey, WorkflowSpec};
use super::super::state::{JobPhase, WorkflowState};
use super::super::workers::{WorkerHeartbeat, WorkerRecord};
use super::term::{Effect, Order, OrderKind, RunPhase, Sealed, Term};
use super::{Now, PlacerSettings};
use crate::resources::Resources;

const JOB: &str = "00c0ffee00c0ffee";
const EPOCH: u64 = 7;
const LEASE: Duration = Duration::from_secs(6);

/// A term with a clock, and the effects that were released.
struct Fixture {
    term: Term,
    started_at: Instant,
    now: Now,
    orders: Vec<Order>,
    replies: usize,
}

fn settings() -> PlacerSettings {
    PlacerSettings {
        host: "10.0.0.1".to_owned(),
        lease: LEASE,
        max_lease: Duration::from_secs(10),
        retention: Duration::from_secs(120),
        wanted_voters: 3,
    }
}

fn queue() -> Queue {
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

fn configuration(version: u64) -> QueueConfiguration {
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

fn heartbeat(id: &str, incarnation: u64, sequence: u64) -> WorkerHeartbeat {
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

fn stage(tasks: u32) -> StageSpec {
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

fn task(index: u32) -> TaskKey {
    TaskKey {
        stage: StageKey {
            job: JOB.to_owned(),
            occurrence: 0,
            stage: 0,
        },
        index,
    }
}

fn listed(index: u32, run: u32) -> ListedRun {
    ListedRun {
        task: task(index),
        run,
        checkpoint: String::new(),
    }
}

fn listed_end(number: u64, index: u32, run: u32, outcome: RunOutcome) -> ListedEnd {
    ListedEnd {
        number,
        run: listed(index, run),
        outcome,
    }
}

impl Fixture {
    /// A term that has taken over a configured cell without workers.
    fn new() -> Self {
        Self::with_state(WorkflowState {
            configuration: Some(configuration(3)),
            ..WorkflowState::default()
        })
    }

    fn with_state(state: WorkflowState) -> Self {
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

    /// Ends a step; returns the number of its batch.
    fn seal(&mut self) -> Option<u64> {
        match self.term.seal() {
            Sealed::Batch(batch) => Some(batch.sequence),
            Sealed::Effects(effects) => {
                self.release(effects);
                None
            }
        }
    }

    fn release(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Order(order) => self.orders.push(order),
                Effect::Reply(..) | Effect::ReplyQueues(_) => self.replies += 1,
                Effect::EndsRecorded {
                    worker,
                    incarnation,
                    through,
                } => self.term.note_recorded_ends(&worker, incarnation, through),
                Effect::TakenOver => self.term.ready = true,
            }
        }
    }

    fn commit(&mut self, sequence: u64) {
        let effects = self.term.committed(sequence);
        self.release(effects);
    }

    fn commit_all(&mut self) {
        self.seal();
        self.commit(u64::MAX);
    }

    fn pass(&mut self, time: Duration) {
        self.now.at += time;
        self.now.unix_ms += time.as_millis() as u64;
    }

    fn clock_ms(&self) -> u64 {
        self.now.at.duration_since(self.started_at).as_millis() as u64 + 50_000
    }

    fn report(&mut self, worker: &str, running: Vec<ListedRun>, ends: Vec<ListedEnd>) {
        let incarnation = self.term.workers[worker].record.incarnation;
        self.term.workers[worker].link_generation = EPOCH;
        let id = worker.to_owned();
        let renewal = self
            .term
            .next_renewal(&id, Duration::ZERO, self.now)
            .unwrap();
        self.pass(Duration::from_millis(60));
        let report = WorkerReport {
            incarnation,
            clock_ms: self.clock_ms(),
            running,
            ends,
            complete: true,
        };
        self.term.note_report(&id, &renewal, report, self.now);
    }

    fn silence(&mut self, worker: &str, failure: &CallFailure) {
        let id = worker.to_owned();
        self.term.workers[worker].link_generation = EPOCH;
        let renewal = self
            .term
            .next_renewal(&id, Duration::ZERO, self.now)
            .unwrap();
        self.term.note_silence(&id, &renewal, failure, self.now);
    }

    fn announce(&mut self, worker: &str) {
        self.term.note_heartbeat(heartbeat(worker, 1, 1), self.now);
        self.report(worker, Vec::new(), Vec::new());
        self.commit_all();
    }

    fn submit(&mut self, stages: Vec<StageSpec>) {
        let (sender, _receiver) = bounded(1);
        let call = Call::Submit {
            target: QueueAddress {
                host: "shop.example".to_owned(),
                path_prefix: format!("/plans/{JOB}"),
            },
            spec: Box::new(WorkflowSpec {
                payload: "plan".to_owned(),
                stages,
                repetition: None,
            }),
        };
        self.term.handle_call(call, &sender, self.now);
        self.term.schedule(self.now);
    }

    fn call(&mut self, call: Call) {
        let (sender, _receiver) = bounded(1);
        self.term.handle_call(call, &sender, self.now);
    }

    fn answer_starts(&mut self, outcome: OrderOutcome) {
        for order in std::mem::take(&mut self.orders) {
            if order.kind == OrderKind::Stop {
                continue;
            }
            let answer = OrderAnswer {
                outcome,
                clock_ms: Some(self.clock_ms()),
            };
            self.term.note_start_answer(&order, answer, self.now);
        }
    }

    fn starts(&self) -> usize {
        let starts = self.orders.iter();
        starts.filter(|order| order.kind != OrderKind::Stop).count()
    }

    fn phase(&self) -> JobPhase {
        self.term.state.jobs[JOB].phase
    }

    /// A job with one task that runs on `w`.
    fn running_on_w() -> Self {
        let mut fixture = Self::new();
        fixture.announce("w");
        fixture.submit(vec![stage(1)]);
        fixture.commit_all();
        fixture.answer_starts(OrderOutcome::Done);
        fixture.commit_all();
        fixture
    }
}

/// Guards against orders and answers that precede the commit of what they rest on.
#[test]
fn nothing_is_visible_before_its_commit() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    let before = fixture.replies;
    fixture.submit(vec![stage(2)]);
    let sequence = fixture.seal().unwrap();
    assert_eq!((fixture.replies, fixture.starts()), (before, 0));
    fixture.commit(sequence);
    assert_eq!((fixture.replies, fixture.starts()), (before + 1, 2));
}

/// Guards against an end that its worker may forget before it is recorded. A leader without
/// majority saw the end of a run; a later report without news acknowledged it, the worker forgot
/// it, and the next leader started the task again.
#[test]
fn ends_are_acknowledged_after_their_commit_only() {
    let mut fixture = Fixture::running_on_w();
    fixture.report(
        "w",
        vec![],
        vec![listed_end(1, 0, 1, RunOutcome::Succeeded)],
    );
    let sequence = fixture.seal().unwrap();
    assert_eq!(fixture.phase(), JobPhase::Completed);
    fixture.report(
        "w",
        vec![],
        vec![
            listed_end(1, 0, 1, RunOutcome::Succeeded),
            listed_end(2, 9, 4, RunOutcome::Stopped),
        ],
    );
    assert_eq!(fixture.seal(), None);
    assert_eq!(fixture.term.workers["w"].recorded_ends, 0);
    fixture.commit(sequence);
    assert_eq!(fixture.term.workers["w"].recorded_ends, 2);
}

/// Guards against a run that is started again while an earlier leader's lease may still hold: the
/// worker answered the new leader once and went silent.
#[test]
fn leases_of_earlier_leaders_are_waited_for() {
    let state = Fixture::running_on_w().term.state;
    let mut fixture = Fixture::with_state(state);
    fixture.report("w", vec![listed(0, 1)], vec![]);
    fixture.silence("w", &CallFailure::NoAnswer("cut off".to_owned()));
    fixture.pass(Duration::from_secs(9));
    fixture.term.tick(fixture.now);
    assert!(
        fixture.term.runs.contains_key(&task(0)),
        "10 s may be granted"
    );
    fixture.pass(Duration::from_secs(2));
    fixture.term.tick(fixture.now);
    assert!(!fixture.term.runs.contains_key(&task(0)));
}

/// Guards against a lease that never lapses: each attempt to renew it counted as a longer grant, so
/// that the runs of a worker that was gone for good were never started elsewhere.
#[test]
fn attempts_to_reach_a_silent_worker_do_not_extend_its_lease() {
    let mut fixture = Fixture::running_on_w();
    for _ in 0..80 {
        fixture.silence("w", &CallFailure::NoAnswer("gone".to_owned()));
        fixture.pass(Duration::from_millis(150));
        fixture.term.tick(fixture.now);
    }
    assert!(!fixture.term.runs.contains_key(&task(0)));
    fixture.announce("other");
    fixture.term.schedule(fixture.now);
    assert_eq!(fixture.term.runs[&task(0)].worker, "other");
}

/// Guards against a late departure call of a former incarnation that ends the runs of the present
/// one, which would then be started twice.
#[test]
fn a_departure_ends_runs_once_the_port_is_closed() {
    let mut fixture = Fixture::running_on_w();
    fixture.call(Call::WorkerLeaves("w".to_owned()));
    fixture.report("w", vec![listed(0, 1)], vec![]);
    assert!(fixture.term.runs.contains_key(&task(0)));
    fixture.silence("w", &CallFailure::NoAnswer("timeout".to_owned()));
    assert!(fixture.term.runs.contains_key(&task(0)));
    fixture.silence("w", &CallFailure::PortClosed);
    assert!(!fixture.term.runs.contains_key(&task(0)));
    assert!(!fixture.term.workers.contains_key("w"));
}

/// Guards against a task that stays unresolved, or runs twice, after a change of the leader.
#[test]
fn a_new_leader_learns_from_the_workers_what_runs() {
    let state = || Fixture::running_on_w().term.state;
    let mut adopted = Fixture::with_state(state());
    adopted.report("w", vec![listed(0, 1)], vec![]);
    assert!(matches!(
        adopted.term.runs[&task(0)].phase,
        RunPhase::Running { .. }
    ));

    let mut ended = Fixture::with_state(state());
    ended.report(
        "w",
        vec![],
        vec![listed_end(1, 0, 1, RunOutcome::Succeeded)],
    );
    assert_eq!(ended.phase(), JobPhase::Completed);

    let mut absent = Fixture::with_state(state());
    absent.report("w", vec![], vec![]);
    assert!(!absent.term.runs.contains_key(&task(0)));
    absent.term.schedule(absent.now);
    assert_eq!(
        absent.term.runs[&task(0)].run,
        2,
        "the number of a run is never used again"
    );

    let mut gone = Fixture::with_state(state());
    gone.term.note_heartbeat(heartbeat("w", 2, 1), gone.now);
    gone.term.tick(gone.now);
    assert!(!gone.term.runs.contains_key(&task(0)));
}

/// Guards against a start order without an answer that is carried out seconds later, beside the
/// run that replaced it.
#[test]
fn an_unanswered_start_is_stopped_before_the_task_runs_elsewhere() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    let order = fixture.orders.pop().unwrap();
    fixture
        .term
        .note_start_unanswered(&order, true, fixture.now);
    fixture.commit_all();
    fixture.report("w", vec![], vec![]);
    assert!(
        fixture.term.runs.contains_key(&task(0)),
        "it may still start"
    );
    let stop = fixture.orders.pop().unwrap();
    assert_eq!(stop.kind, OrderKind::Stop);
    let answer = OrderAnswer {
        outcome: OrderOutcome::Done,
        clock_ms: None,
    };
    fixture.term.note_stop_answer(&stop, answer, fixture.now);
    fixture.pass(Duration::from_millis(1));
    fixture.report("w", vec![], vec![]);
    assert!(!fixture.term.runs.contains_key(&task(0)));
}

/// Guards against a start order that never left this host and blocks its task for a lease.
#[test]
fn an_order_that_was_not_sent_is_given_up_at_once() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    let order = fixture.orders.pop().unwrap();
    fixture
        .term
        .note_start_unanswered(&order, false, fixture.now);
    assert!(!fixture.term.runs.contains_key(&task(0)));
}

/// Guards against members of a gang that wait in vain for one that could not be started.
#[test]
fn a_gang_is_stopped_when_a_member_cannot_start() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    let mut gang = stage(3);
    gang.gang = true;
    fixture.submit(vec![gang]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 3);
    let refused = fixture.orders.remove(0);
    fixture.answer_starts(OrderOutcome::Done);
    let answer = OrderAnswer {
        outcome: OrderOutcome::Unhealthy,
        clock_ms: None,
    };
    fixture
        .term
        .note_start_answer(&refused, answer, fixture.now);
    fixture.commit_all();
    let stops = fixture
        .orders
        .iter()
        .filter(|order| order.kind == OrderKind::Stop);
    assert_eq!(stops.count(), 2);
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(
        fixture.starts(),
        0,
        "no member starts again while others may run"
    );
}

/// Guards against a run that goes on after the job was cancelled, whoever started it.
#[test]
fn runs_of_cancelled_jobs_are_stopped_until_they_are_gone() {
    let mut fixture = Fixture::running_on_w();
    fixture.call(Call::Cancel(QueueAddress {
        host: "shop.example".to_owned(),
        path_prefix: format!("/plans/{JOB}"),
    }));
    fixture.commit_all();
    assert_eq!(fixture.orders.pop().unwrap().kind, OrderKind::Stop);
    fixture.pass(Duration::from_secs(1));
    fixture.term.tick(fixture.now);
    fixture.commit_all();
    assert_eq!(
        fixture.orders.pop().unwrap().kind,
        OrderKind::Stop,
        "the order is repeated"
    );

    let mut successor = Fixture::with_state(fixture.term.state);
    successor.report("w", vec![listed(0, 1)], vec![]);
    successor.commit_all();
    assert_eq!(successor.orders.pop().unwrap().kind, OrderKind::Stop);
}

/// Guards against a run that nobody wants and that keeps room on its worker: an order that was
/// carried out after its run had been given up.
#[test]
fn stray_runs_are_stopped() {
    let mut fixture = Fixture::running_on_w();
    fixture.report("w", vec![listed(0, 1), listed(5, 3)], vec![]);
    fixture.commit_all();
    let stop = fixture.orders.pop().unwrap();
    assert_eq!(
        (stop.task, stop.run, stop.kind),
        (task(5), 3, OrderKind::Stop)
    );
    assert!(fixture.orders.is_empty(), "the wanted run goes on");
}

/// Guards against late heartbeats: of a former process at the same address, and older ones of the
/// same process.
#[test]
fn late_heartbeats_change_nothing() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    let mut former = heartbeat("former", 0, 9);
    former.record.address = "w:80".to_owned();
    fixture.term.note_heartbeat(former, fixture.now);
    assert!(!fixture.term.workers.contains_key("former"));
    let mut draining = heartbeat("w", 1, 5);
    draining.record.draining = true;
    fixture.term.note_heartbeat(draining, fixture.now);
    fixture
        .term
        .note_heartbeat(heartbeat("w", 1, 4), fixture.now);
    assert!(fixture.term.workers["w"].record.draining);
}

/// Guards against new work on a worker that is draining, silent or not yet heard in this term.
#[test]
fn only_workers_that_answer_and_stay_get_work() {
    let mut fixture = Fixture::new();
    fixture
        .term
        .note_heartbeat(heartbeat("new", 1, 1), fixture.now);
    fixture.announce("silent");
    fixture.silence("silent", &CallFailure::NoAnswer("cut off".to_owned()));
    fixture.announce("draining");
    let mut draining = heartbeat("draining", 1, 5);
    draining.record.draining = true;
    fixture.term.note_heartbeat(draining, fixture.now);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 0);
    fixture.announce("w");
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(fixture.orders[0].worker, "w");
}

/// Guards against a second job under the same name, and against an acceptance that is confirmed
/// before it is committed.
#[test]
fn a_repeated_submission_is_one_job() {
    let mut fixture = Fixture::new();
    let before = fixture.replies;
    fixture.submit(vec![stage(1)]);
    let first = fixture.seal().unwrap();
    fixture.submit(vec![stage(4)]);
    let second = fixture.seal().unwrap();
    assert_eq!(fixture.replies, before);
    fixture.commit(first);
    fixture.commit(second);
    assert_eq!(fixture.replies, before + 2);
    assert_eq!(fixture.term.state.jobs[JOB].spec.stages[0].task_count, 1);
}

/// Guards against jobs that are refused right after a change of the placer, when few workers have
/// answered yet and the backlog seems long for their capacity (hunt-62ec-3: time to come back 5.6 s
/// with most of the cell free).
#[test]
fn workers_that_were_not_heard_yet_count_as_capacity() {
    let mut fixture = Fixture::new();
    for worker in ["a", "b", "c", "d"] {
        fixture.announce(worker);
    }
    fixture.submit(vec![stage(60)]);
    fixture.commit_all();
    let mut successor = Fixture::with_state(fixture.term.state);
    successor.report("a", vec![], vec![]);
    let (sender, receiver) = bounded(1);
    let call = Call::Submit {
        target: QueueAddress {
            host: "shop.example".to_owned(),
            path_prefix: "/plans/00c0ffee00000002".to_owned(),
        },
        spec: Box::new(WorkflowSpec {
            payload: String::new(),
            stages: vec![stage(1)],
            repetition: None,
        }),
    };
    successor.term.handle_call(call, &sender, successor.now);
    drop(sender);
    let effects = std::mem::take(&mut successor.term.effects);
    let accepted = |effect: &Effect| matches!(effect, Effect::Reply(_, Reply::Accepted));
    assert!(effects.iter().any(accepted));
    drop((effects, receiver));
}

/// Guards against an old configuration that comes back, and an invalid one that is acknowledged.
#[test]
fn older_configurations_are_acknowledged_without_effect() {
    let mut fixture = Fixture::new();
    fixture.call(Call::ReplaceQueues(Box::new(configuration(2))));
    assert_eq!(fixture.term.state.version(), 3);
    assert!(matches!(
        fixture.term.effects[0],
        Effect::Reply(_, Reply::QueuesReplaced)
    ));
    let mut invalid = configuration(9);
    invalid.services.clear();
    fixture.call(Call::ReplaceQueues(Box::new(invalid)));
    assert!(matches!(
        fixture.term.effects[1],
        Effect::Reply(_, Reply::Invalid(_))
    ));
    assert_eq!(fixture.term.state.version(), 3);
    assert!(
        !fixture
            .term
            .records
            .iter()
            .any(|record| matches!(record, Record::QueuesReplaced(_)))
    );
}

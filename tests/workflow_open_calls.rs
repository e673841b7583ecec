//! Tests that a relay keeps start orders and acknowledgements of ends to one worker apart, since the
//! next process of the worker may carry out both.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, unbounded};
use jujubewinch::workflow::calls::{
    CallFailure, ListedEnd, ListedRun, OrderAnswer, OrderOutcome, OutsideCalls, RenewOrder,
    StartOrder, WorkerReport, WorkerTarget,
};
use jujubewinch::workflow::decisions::open_calls::OpenCalls;
use jujubewinch::workflow::records::RunOutcome;
use jujubewinch::workflow::relay::Relay;
use jujubewinch::workflow::relay::messages::{
    Grant, Instructions, RelayEventKind, RelayReport, RelayedOrder, WorkerOrder,
};
use jujubewinch::workflow::spec::{StageKey, TaskKey};

/// Longest wait for an expected event, also on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than a relay needs for several renewals.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);
/// Time that the simulated worker takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(5);

fn task(index: u32) -> TaskKey {
    TaskKey {
        stage: StageKey {
            job: "00c0ffee00c0ffee".to_owned(),
            occurrence: 0,
            stage: 0,
        },
        index,
    }
}

fn no_answer() -> CallFailure {
    CallFailure::NoAnswer("lost".to_owned())
}

/// A worker that lists one end more with each recorded one, and counts the calls that are open.
#[derive(Default)]
struct Worker {
    renewals: Mutex<Vec<RenewOrder>>,
    starts: AtomicUsize,
    open_starts: AtomicUsize,
    open_acknowledgements: AtomicUsize,
    /// Number of calls that were open together with one of the other kind.
    meetings: AtomicUsize,
    /// Whether a start order was answered since the latest renewal began.
    follows_start: AtomicBool,
    /// Number of acknowledgements that followed such an answer without another renewal.
    unconfirmed_acknowledgements: AtomicUsize,
    /// Number of the last end.
    ends: AtomicU64,
    loses_starts: AtomicBool,
    loses_acknowledgements: AtomicBool,
    /// Times for which acknowledgements are held, the next one first.
    holds: Mutex<Vec<Duration>>,
    /// The same for start orders.
    start_holds: Mutex<Vec<Duration>>,
    /// Number of restarts.
    restarts: AtomicU64,
}

impl Worker {
    fn start(&self) -> Result<OrderAnswer, CallFailure> {
        self.starts.fetch_add(1, Ordering::AcqRel);
        self.open_starts.fetch_add(1, Ordering::AcqRel);
        self.note_meeting(&self.open_acknowledgements);
        let held = self.start_holds.lock().unwrap().pop();
        thread::sleep(held.unwrap_or(ANSWER_TIME));
        self.note_meeting(&self.open_acknowledgements);
        self.follows_start.store(true, Ordering::Release);
        self.open_starts.fetch_sub(1, Ordering::AcqRel);
        if self.loses_starts.load(Ordering::Acquire) {
            return Err(no_answer());
        }
        Ok(OrderAnswer {
            outcome: OrderOutcome::Done,
            clock_ms: Some(1),
        })
    }

    fn renew(&self, order: &RenewOrder) -> Result<WorkerReport, CallFailure> {
        let acknowledges = order.recorded_ends > 0;
        let is_lost = acknowledges && self.loses_acknowledgements.load(Ordering::Acquire);
        self.renewals.lock().unwrap().push(order.clone());
        let follows_start = self.follows_start.swap(false, Ordering::AcqRel);
        if acknowledges && follows_start {
            self.unconfirmed_acknowledgements
                .fetch_add(1, Ordering::AcqRel);
        }
        if acknowledges {
            self.open_acknowledgements.fetch_add(1, Ordering::AcqRel);
            self.note_meeting(&self.open_starts);
        }
        let held = acknowledges.then(|| self.holds.lock().unwrap().pop());
        thread::sleep(held.flatten().unwrap_or(ANSWER_TIME));
        if acknowledges {
            self.note_meeting(&self.open_starts);
            self.open_acknowledgements.fetch_sub(1, Ordering::AcqRel);
            if is_lost {
                return Err(no_answer());
            }
        }
        let number = self.ends.load(Ordering::Acquire);
        let ends = (number > order.recorded_ends).then(|| ListedEnd {
            number,
            run: ListedRun {
                task: task(0),
                run: 1,
                checkpoint: String::new(),
                progress_percent: None,
            },
            outcome: RunOutcome::Succeeded,
        });
        Ok(WorkerReport {
            incarnation: 1 + self.restarts.load(Ordering::Acquire),
            clock_ms: 1,
            running: Vec::new(),
            ends: ends.into_iter().collect(),
            complete: true,
        })
    }

    fn note_meeting(&self, others: &AtomicUsize) {
        if others.load(Ordering::Acquire) > 0 {
            self.meetings.fetch_add(1, Ordering::AcqRel);
        }
    }

    fn acknowledgements(&self) -> usize {
        let renewals = self.renewals.lock().unwrap();
        renewals
            .iter()
            .filter(|order| order.recorded_ends > 0)
            .count()
    }
}

struct TestRelay {
    relay: Arc<Relay>,
    worker: Arc<Worker>,
    reports: Receiver<RelayReport>,
}

impl TestRelay {
    fn start(late_call_limit: Duration) -> Self {
        let worker = Arc::<Worker>::default();
        let (starting, renewing) = (Arc::clone(&worker), Arc::clone(&worker));
        let outside = OutsideCalls {
            start: Arc::new(move |_, _, _| starting.start()),
            stop: Arc::new(|_, _, _| Err(no_answer())),
            renew: Arc::new(move |_, order, _| renewing.renew(order)),
            ask_policy: Arc::new(|_, _| Err(no_answer())),
        };
        let (sender, reports) = unbounded();
        let send_report = move |_: &String, report: RelayReport, _: Instant| {
            let _ = sender.send(report);
            Ok(())
        };
        let relay = Relay::start(
            "entry-1".to_owned(),
            outside,
            Arc::new(send_report),
            late_call_limit,
        );
        Self {
            relay,
            worker,
            reports,
        }
    }

    /// Starts a relay whose first acknowledgement has no answer.
    fn with_unanswered_acknowledgement() -> Self {
        let test = Self::start(WAIT_TIMEOUT);
        test.worker.ends.store(1, Ordering::Release);
        test.worker
            .loses_acknowledgements
            .store(true, Ordering::Release);
        test.instruct(0, 1, Vec::new());
        test.await_acknowledgement();
        test.worker
            .loses_acknowledgements
            .store(false, Ordering::Release);
        test
    }

    /// Sends a grant that lets recorded ends be acknowledged, with orders.
    fn instruct(&self, generation: u32, recorded_ends: u64, orders: Vec<WorkerOrder>) {
        self.instruct_with(generation, recorded_ends, true, orders);
    }

    fn instruct_with(
        &self,
        generation: u32,
        recorded_ends: u64,
        may_acknowledge: bool,
        orders: Vec<WorkerOrder>,
    ) {
        let target = WorkerTarget {
            worker: "w".to_owned(),
            incarnation: 1 + self.worker.restarts.load(Ordering::Acquire),
            address: "w:80".to_owned(),
            generation,
        };
        let orders = orders.into_iter().map(|order| RelayedOrder {
            target: target.clone(),
            order,
        });
        let orders = orders.collect();
        self.relay.accept(Instructions {
            epoch: 7,
            placer: "placer".to_owned(),
            grants: vec![Grant {
                target: target.clone(),
                lease_until_clock_ms: Some(6_000),
                recorded_ends,
                may_acknowledge,
                granted_at_ms: 5,
            }],
            orders,
        });
    }

    fn await_acknowledgement(&self) {
        await_true(|| self.worker.acknowledgements() > 0);
    }

    /// Waits for an event that the closure accepts.
    fn await_event(&self, wanted: impl Fn(&RelayEventKind) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while let Ok(report) = self.reports.recv_deadline(deadline) {
            if report.events.iter().any(|event| wanted(&event.kind)) {
                return;
            }
        }
        panic!("the relay did not report the event in time");
    }
}

fn await_true(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition was not met");
        thread::sleep(Duration::from_millis(5));
    }
}

fn start_order(index: u32, permit: Option<&str>) -> WorkerOrder {
    WorkerOrder::Start(StartOrder {
        task: task(index),
        run: 1,
        payload: "plan".to_owned(),
        fence: 7,
        lease_until_clock_ms: 6_000,
        checkpoint: String::new(),
        permit: permit.map(str::to_owned),
    })
}

fn is_start_answer(kind: &RelayEventKind) -> bool {
    matches!(kind, RelayEventKind::StartAnswered { .. })
}

/// Guards against acknowledgements that are on their way all the time: each renewal repeated the
/// latest one, so that a late renewal made the next process forget ends that nobody had read.
#[test]
fn an_answered_acknowledgement_is_not_repeated() {
    let test = TestRelay::start(WAIT_TIMEOUT);
    test.worker.ends.store(1, Ordering::Release);
    test.instruct(0, 1, Vec::new());
    test.await_acknowledgement();
    thread::sleep(OBSERVATION_TIME);
    assert_eq!(test.worker.acknowledgements(), 1);
}

/// Guards against a start order and an acknowledgement that are on their way at the same time. A permit
/// may be for the next process as well.
#[test]
fn start_orders_and_acknowledgements_are_never_open_together() {
    for permit in [None, Some("permit")] {
        let test = TestRelay::start(WAIT_TIMEOUT);
        test.instruct(0, 0, Vec::new());
        for round in 1..=40_u32 {
            test.worker.ends.store(u64::from(round), Ordering::Release);
            let orders = (0..5).map(|order| start_order(round * 5 + order, permit));
            test.instruct(0, u64::from(round), orders.collect());
            thread::sleep(ANSWER_TIME * 2);
        }
        await_true(|| test.worker.starts.load(Ordering::Acquire) >= 200);
        assert!(test.worker.acknowledgements() > 0);
        assert_eq!(test.worker.meetings.load(Ordering::Acquire), 0);
    }
}

/// Guards against an acknowledgement that erases the end of a run of the next process: that one may have
/// answered the start order, and only a later answer of the known process shows that it did not.
#[test]
fn an_end_is_acknowledged_once_the_process_has_answered_after_a_start_order() {
    for permit in [None, Some("permit")] {
        let test = TestRelay::start(WAIT_TIMEOUT);
        test.instruct(0, 0, Vec::new());
        for round in 1..=40_u32 {
            test.worker.ends.store(u64::from(round), Ordering::Release);
            test.instruct(0, u64::from(round), vec![start_order(round, permit)]);
            thread::sleep(ANSWER_TIME * 2);
        }
        await_true(|| test.worker.starts.load(Ordering::Acquire) >= 40);
        test.await_acknowledgement();
        let worker = &test.worker;
        assert_eq!(
            worker.unconfirmed_acknowledgements.load(Ordering::Acquire),
            0
        );
    }
}

/// Guards against an acknowledgement that follows a start order with a permit for the next process: only
/// an answer to a later call shows that the permit was not for that one.
#[test]
fn an_end_is_acknowledged_once_a_permitted_start_is_not_for_the_next_process() {
    let given_up_at = Instant::now();
    let (earlier, later) = (given_up_at - ANSWER_TIME, given_up_at + ANSWER_TIME);
    let mut calls = OpenCalls {
        starts_open_until: Some(given_up_at),
        ..OpenCalls::default()
    };
    assert!(!calls.may_acknowledge());
    assert!(!calls.note_answer(earlier));
    assert!(!calls.may_acknowledge());
    assert!(calls.note_answer(later));
    assert!(calls.may_acknowledge());
}

/// Guards against an acknowledgement that follows a start order without an answer.
#[test]
fn no_end_is_acknowledged_while_a_start_order_may_be_late() {
    let test = TestRelay::start(OBSERVATION_TIME * 2);
    test.worker.loses_starts.store(true, Ordering::Release);
    test.instruct(0, 0, vec![start_order(1, None)]);
    test.await_event(|kind| matches!(kind, RelayEventKind::StartUnanswered { .. }));
    test.worker.ends.store(1, Ordering::Release);
    test.instruct(0, 1, Vec::new());
    thread::sleep(OBSERVATION_TIME);
    assert_eq!(test.worker.acknowledgements(), 0);
    await_true(|| {
        test.instruct(0, 1, Vec::new());
        test.worker.acknowledgements() > 0
    });
}

/// Guards against a start order with the token of an acknowledgement without an answer, and against
/// a worker that receives no start orders for good after one. A permit may be for the next process.
#[test]
fn a_start_order_needs_a_higher_token_than_an_unanswered_acknowledgement() {
    for permit in [None, Some("permit")] {
        let test = TestRelay::with_unanswered_acknowledgement();
        test.instruct(0, 1, vec![start_order(1, permit)]);
        test.await_event(|kind| {
            let outdated = match kind {
                RelayEventKind::Listed {
                    outdated_generation,
                    ..
                } => *outdated_generation,
                _ => None,
            };
            outdated == Some(0)
        });
        assert_eq!(test.worker.starts.load(Ordering::Acquire), 0);
        test.instruct(1, 1, vec![start_order(1, permit)]);
        test.await_event(is_start_answer);
    }
}

/// Guards against a start order that is on its way with an acknowledgement: after a change of the
/// token, the acknowledgement of the former link ended while that of the next one had no answer.
#[test]
fn a_start_order_waits_for_the_acknowledgements_of_two_links() {
    let test = TestRelay::start(WAIT_TIMEOUT);
    let (first, second) = (Duration::from_millis(200), Duration::from_millis(400));
    *test.worker.holds.lock().unwrap() = vec![second, first];
    test.worker.ends.store(1, Ordering::Release);
    test.instruct(0, 1, Vec::new());
    test.await_acknowledgement();
    test.instruct(1, 1, Vec::new());
    thread::sleep(first / 3);
    test.instruct(1, 1, vec![start_order(1, None)]);
    test.await_event(is_start_answer);
    await_true(|| test.worker.open_acknowledgements.load(Ordering::Acquire) == 0);
    assert_eq!(test.worker.meetings.load(Ordering::Acquire), 0);
}

/// Guards against a start order that is on its way with an acknowledgement: the link to the former
/// incarnation waited with an acknowledgement of its own, and dropped the calls to the next one.
#[test]
fn calls_to_the_next_incarnation_count_while_a_call_to_the_former_one_waits() {
    let test = TestRelay::start(WAIT_TIMEOUT);
    let (first, second) = (Duration::from_millis(300), Duration::from_millis(500));
    *test.worker.start_holds.lock().unwrap() = vec![second, first];
    test.worker.ends.store(1, Ordering::Release);
    let open_starts = || test.worker.open_starts.load(Ordering::Acquire);
    test.instruct(0, 0, vec![start_order(1, None)]);
    await_true(|| open_starts() == 1);
    test.instruct(0, 1, Vec::new());
    thread::sleep(first / 6);
    test.worker.restarts.store(1, Ordering::Release);
    test.instruct(1, 0, vec![start_order(2, None)]);
    await_true(|| open_starts() == 2);
    test.instruct(1, 1, Vec::new());
    await_true(|| open_starts() == 0);
    assert_eq!(test.worker.meetings.load(Ordering::Acquire), 0);
    test.await_acknowledgement();
}

/// Guards against ends that are acknowledged although the placer withholds that, and against later ends
/// that are not seen meanwhile.
#[test]
fn ends_are_reported_while_acknowledgements_are_withheld() {
    let test = TestRelay::start(WAIT_TIMEOUT);
    test.worker.ends.store(1, Ordering::Release);
    test.instruct_with(0, 1, false, Vec::new());
    let lists = |number: u64| {
        move |kind: &RelayEventKind| {
            let RelayEventKind::Listed { report, .. } = kind else {
                return false;
            };
            report.ends.last().is_some_and(|end| end.number == number)
        }
    };
    test.await_event(lists(1));
    test.worker.ends.store(2, Ordering::Release);
    test.await_event(lists(2));
    assert_eq!(test.worker.acknowledgements(), 0);
    test.instruct(0, 2, Vec::new());
    test.await_acknowledgement();
}

/// Guards against an acknowledgement that erases the end of a run that a late start order began in the next
/// process: the order may arrive until the limit is over, and only an answer to a later call shows that the
/// known process was at work until then.
#[test]
fn an_end_is_acknowledged_once_the_process_has_outlived_a_late_start_order() {
    let given_up_at = Instant::now();
    let open_until = given_up_at + WAIT_TIMEOUT;
    let mut calls = OpenCalls::default();
    calls.note_unanswered_start(false, given_up_at, WAIT_TIMEOUT);
    calls.note_answer(open_until - ANSWER_TIME);
    assert!(!calls.may_acknowledge());
    calls.note_answer(open_until + ANSWER_TIME);
    assert!(calls.may_acknowledge());
}

/// Guards against the same where the placer withholds acknowledgements, after a change of the relay or of
/// the placer: the process may have been replaced since its latest answer, before the limit was over.
#[test]
fn a_withheld_end_is_acknowledged_once_the_process_has_answered_a_later_call() {
    let test = TestRelay::start(WAIT_TIMEOUT);
    let renewals = || test.worker.renewals.lock().unwrap().len();
    test.worker.ends.store(1, Ordering::Release);
    test.instruct_with(0, 1, false, Vec::new());
    await_true(|| renewals() >= 3);
    thread::sleep(10 * ANSWER_TIME);
    let begun_before = renewals();
    test.instruct(0, 1, Vec::new());
    test.await_acknowledgement();
    let renewals = test.worker.renewals.lock().unwrap();
    let first = renewals.iter().position(|order| order.recorded_ends > 0);
    assert!(
        first.is_some_and(|first| first > begun_before),
        "acknowledged by call {first:?}, {begun_before} calls were made before that was allowed"
    );
}

//! Tests relays between the placer and workers; closures stand in for both.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use jujubewinch::workflow::calls::{
    CallFailure, ListedEnd, ListedRun, OrderAnswer, OrderOutcome, OutsideCalls, RenewOrder,
    StartOrder, WorkerReport, WorkerTarget,
};
use jujubewinch::workflow::records::RunOutcome;
use jujubewinch::workflow::relay::messages::{
    Grant, Instructions, RelayEvent, RelayEventKind, RelayReport, RelayedOrder, WorkerOrder,
};
use jujubewinch::workflow::relay::{Relay, SendReport};
use jujubewinch::workflow::spec::{StageKey, TaskKey};

/// Longest wait for an expected event, also on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause of the simulated worker before each answer, so that links do not renew in a busy loop.
const ANSWER_TIME: Duration = Duration::from_millis(10);
/// Simulated pause of a relay; longer than a worker takes for an answer while nothing ends.
const PAUSE: Duration = Duration::from_millis(2_300);
/// Time for which a relay tries to deliver a start order.
const START_VALIDITY: Duration = Duration::from_millis(1_400);
/// Time after which no call of the relay is carried out any more.
const LATE_CALL_LIMIT: Duration = Duration::from_secs(12);

fn task() -> TaskKey {
    TaskKey {
        stage: StageKey {
            job: "00c0ffee00c0ffee".to_owned(),
            occurrence: 0,
            stage: 0,
        },
        index: 0,
    }
}

fn target() -> WorkerTarget {
    WorkerTarget {
        worker: "w".to_owned(),
        incarnation: 1,
        address: "w:80".to_owned(),
        generation: 0,
    }
}

fn instructions(epoch: u64, recorded_ends: u64) -> Instructions {
    Instructions {
        epoch,
        placer: format!("placer-{epoch}"),
        grants: vec![Grant {
            target: target(),
            lease_until_clock_ms: Some(6_000),
            recorded_ends,
            may_acknowledge: true,
            granted_at_ms: 5,
        }],
        orders: Vec::new(),
    }
}

fn start(epoch: u64) -> RelayedOrder {
    RelayedOrder {
        target: target(),
        order: WorkerOrder::Start(StartOrder {
            task: task(),
            run: 1,
            payload: "plan".to_owned(),
            fence: epoch,
            lease_until_clock_ms: 6_000,
            checkpoint: String::new(),
            permit: None,
        }),
    }
}

fn start_with(outside: OutsideCalls, send_report: SendReport) -> Arc<Relay> {
    Relay::start("entry-1".to_owned(), outside, send_report, LATE_CALL_LIMIT)
}

/// A relay between a worker that lists one end until it is acknowledged and a placer that loses the
/// first report.
struct TestRelay {
    relay: Arc<Relay>,
    /// Renewals that the worker received, in order.
    renewals: Arc<Mutex<Vec<RenewOrder>>>,
    /// Number of start orders that the worker received.
    starts: Arc<AtomicUsize>,
    /// Reports with the placer that each was sent to.
    reports: Receiver<(String, RelayReport)>,
}

/// Starts a relay whose worker answers start orders with the outcomes in turn, then with `Done`.
fn start_relay(outcomes: Vec<Result<OrderOutcome, CallFailure>>) -> TestRelay {
    start_relay_with(outcomes, 1)
}

/// Starts a relay whose worker answers as the given incarnation; all orders are meant for
/// incarnation 1.
fn start_relay_with(
    outcomes: Vec<Result<OrderOutcome, CallFailure>>,
    incarnation: u64,
) -> TestRelay {
    let renewals: Arc<Mutex<Vec<RenewOrder>>> = Arc::default();
    let starts = Arc::new(AtomicUsize::new(0));
    let (renewing, starting) = (Arc::clone(&renewals), Arc::clone(&starts));
    let outcomes = Mutex::new(outcomes.into_iter());
    let outside = OutsideCalls {
        start: Arc::new(move |_, _, _| {
            starting.fetch_add(1, Ordering::AcqRel);
            let next = outcomes.lock().unwrap().next();
            next.unwrap_or(Ok(OrderOutcome::Done))
                .map(|outcome| OrderAnswer {
                    outcome,
                    clock_ms: Some(1),
                })
        }),
        stop: Arc::new(|_, _, _| Err(CallFailure::NotSent("not used".to_owned()))),
        renew: Arc::new(move |_, order, _| {
            thread::sleep(ANSWER_TIME);
            renewing.lock().unwrap().push(order.clone());
            let end = ListedEnd {
                number: 1,
                run: ListedRun {
                    task: task(),
                    run: 1,
                    checkpoint: String::new(),
                    progress_percent: None,
                },
                outcome: RunOutcome::Succeeded,
            };
            Ok(WorkerReport {
                incarnation,
                clock_ms: 1,
                running: Vec::new(),
                ends: if order.recorded_ends < 1 {
                    vec![end]
                } else {
                    Vec::new()
                },
                complete: true,
            })
        }),
        ask_policy: Arc::new(|_, _| Err(CallFailure::NotSent("not used".to_owned()))),
    };
    let (sender, reports): (Sender<(String, RelayReport)>, _) = unbounded();
    let lost = AtomicUsize::new(1);
    let send_report = move |placer: &String, report: RelayReport, _: Instant| {
        let lose = lost.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
            left.checked_sub(1)
        });
        if lose.is_ok() {
            return Err("the connection ended".to_owned());
        }
        let _ = sender.send((placer.clone(), report));
        Ok(())
    };
    TestRelay {
        relay: start_with(outside, Arc::new(send_report)),
        renewals,
        starts,
        reports,
    }
}

impl TestRelay {
    /// Returns the first event that satisfies the predicate, which also receives the placer's name.
    fn await_event(&self, wanted: impl Fn(&str, &RelayEvent) -> bool) -> RelayEvent {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while let Ok((placer, report)) = self.reports.recv_deadline(deadline) {
            if let Some(event) = report
                .events
                .into_iter()
                .find(|event| wanted(&placer, event))
            {
                return event;
            }
        }
        panic!("the relay did not report the event in time");
    }
}

fn has_end(event: &RelayEvent) -> bool {
    matches!(&event.kind, RelayEventKind::Listed { report, .. } if !report.ends.is_empty())
}

/// Guards against the end of a run that is lost together with a report, or acknowledged to the
/// worker before the placer has recorded it.
#[test]
fn an_end_is_reported_until_the_placer_has_recorded_it() {
    let test = start_relay(Vec::new());
    test.relay.accept(instructions(7, 0));
    test.await_event(|_, event| has_end(event));
    let before_recording = test.renewals.lock().unwrap().clone();
    assert!(
        before_recording
            .iter()
            .all(|order| order.recorded_ends == 0 && order.fence == 7)
    );
    test.relay.accept(instructions(7, 1));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let acknowledged = || {
        let renewals = test.renewals.lock().unwrap();
        renewals.iter().any(|order| order.recorded_ends == 1)
    };
    while !acknowledged() {
        assert!(Instant::now() < deadline, "the end was not acknowledged");
        thread::sleep(ANSWER_TIME);
    }
}

/// Guards against a relay that obeys a former placer after its successor has become leader.
#[test]
fn instructions_of_an_earlier_placer_have_no_effect() {
    let test = start_relay(Vec::new());
    test.relay.accept(instructions(8, 0));
    test.await_event(|placer, event| placer == "placer-8" && has_end(event));
    let mut outdated = instructions(7, 1);
    outdated.orders.push(start(7));
    test.relay.accept(outdated);
    test.await_event(|placer, event| placer == "placer-8" && has_end(event));
    assert_eq!(test.starts.load(Ordering::Acquire), 0);
    let renewals = test.renewals.lock().unwrap();
    assert!(
        renewals
            .iter()
            .all(|order| order.fence == 8 && order.recorded_ends == 0)
    );
}

/// Guards against a task that runs twice: its start order remained unanswered, the second attempt
/// was refused, and the run was recorded as never started.
#[test]
fn a_refusal_after_an_unanswered_attempt_does_not_prove_that_no_run_started() {
    let test = start_relay(vec![
        Err(CallFailure::NoAnswer("cut".to_owned())),
        Ok(OrderOutcome::NoRoom),
    ]);
    test.relay.accept(instructions(7, 0));
    test.await_event(|_, event| has_end(event));
    let mut with_order = instructions(7, 0);
    with_order.orders.push(start(7));
    test.relay.accept(with_order);
    let event = test.await_event(|_, event| {
        matches!(
            event.kind,
            RelayEventKind::StartUnanswered { .. } | RelayEventKind::StartAnswered { .. }
        )
    });
    assert!(
        matches!(
            event.kind,
            RelayEventKind::StartUnanswered {
                may_have_arrived: true,
                ..
            }
        ),
        "{event:?}"
    );
}

/// Guards against lost ends and leases that are too long: a link continued after its worker had
/// restarted under the same id; it acknowledged ends and set a lease deadline that belonged to the
/// former incarnation.
#[test]
fn a_restarted_worker_receives_no_state_of_its_former_incarnation() {
    let test = start_relay_with(Vec::new(), 2);
    test.relay.accept(instructions(7, 1));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while test.relay.workers() > 0 {
        assert!(Instant::now() < deadline, "the link did not end");
        thread::sleep(ANSWER_TIME);
    }
    let renewals = test.renewals.lock().unwrap();
    assert_eq!(renewals.len(), 1);
    assert_eq!(
        (renewals[0].recorded_ends, renewals[0].lease_until_clock_ms),
        (0, None)
    );
}

/// Guards against a placer that learns of a restart from nobody, or has to believe a heartbeat: the
/// link to the former incarnation ended without a report.
#[test]
fn the_answer_of_another_incarnation_is_reported() {
    let test = start_relay_with(Vec::new(), 2);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    // The first report is lost; the next grant opens the link again.
    let report = loop {
        test.relay.accept(instructions(7, 1));
        if let Ok((_, report)) = test.reports.recv_timeout(ANSWER_TIME) {
            break report;
        }
        assert!(Instant::now() < deadline, "the answer was not reported");
    };
    let failure = CallFailure::OtherIncarnation;
    assert_eq!(report.events[0].kind, RelayEventKind::Silent { failure });
    assert_eq!(report.events[0].incarnation, 1);
}

/// Guards against a start order that reaches the next incarnation of a worker, which knows neither
/// the run nor the fencing token.
#[test]
fn start_orders_are_sent_only_to_incarnations_that_the_relay_serves() {
    let test = start_relay(Vec::new());
    let mut other_incarnation = instructions(7, 0);
    let mut order = start(7);
    order.target.incarnation = 0;
    other_incarnation.orders = vec![order, start(7)];
    test.relay.accept(other_incarnation);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while test.starts.load(Ordering::Acquire) == 0 {
        assert!(Instant::now() < deadline, "no order was sent");
        thread::sleep(ANSWER_TIME);
    }
    test.await_event(|_, event| has_end(event));
    assert_eq!(test.starts.load(Ordering::Acquire), 1);
}

/// Guards against a task that runs twice: a relay that was paused while its worker restarted sent
/// the start orders that had waited to the next incarnation, which knows neither their runs nor the
/// fencing token. The renewal in progress stands for the pause.
#[test]
fn a_relay_that_wakes_from_a_pause_sends_no_order_to_a_restarted_worker() {
    let starts = Arc::new(AtomicUsize::new(0));
    let renewals = Arc::new(AtomicUsize::new(0));
    let (starting, renewing) = (Arc::clone(&starts), Arc::clone(&renewals));
    let outside = OutsideCalls {
        start: Arc::new(move |_, _, _| {
            starting.fetch_add(1, Ordering::AcqRel);
            Ok(OrderAnswer {
                outcome: OrderOutcome::Done,
                clock_ms: Some(1),
            })
        }),
        stop: Arc::new(|_, _, _| Err(CallFailure::NotSent("not used".to_owned()))),
        renew: Arc::new(move |_, _, _| {
            let paused = renewing.fetch_add(1, Ordering::AcqRel) > 0;
            if paused {
                thread::sleep(PAUSE);
            }
            Ok(WorkerReport {
                incarnation: if paused { 2 } else { 1 },
                clock_ms: 1,
                running: Vec::new(),
                ends: Vec::new(),
                complete: true,
            })
        }),
        ask_policy: Arc::new(|_, _| Err(CallFailure::NotSent("not used".to_owned()))),
    };
    let relay = start_with(outside, Arc::new(|_, _, _| Ok(())));
    relay.accept(instructions(7, 0));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while renewals.load(Ordering::Acquire) < 2 {
        assert!(Instant::now() < deadline, "the worker was not renewed");
        thread::sleep(ANSWER_TIME);
    }
    thread::sleep(PAUSE.saturating_sub(Duration::from_millis(500)));
    let mut with_order = instructions(7, 0);
    with_order.orders.push(start(7));
    relay.accept(with_order);
    while relay.workers() > 0 {
        assert!(Instant::now() < deadline, "the link did not end");
        thread::sleep(ANSWER_TIME);
    }
    assert_eq!(starts.load(Ordering::Acquire), 0);
}

/// Guards against a lease that is not renewed: instructions that were overtaken on the way ended the
/// link to a restarted worker and called its former incarnation.
#[test]
fn a_late_grant_does_not_replace_the_link_to_a_later_incarnation() {
    let called: Arc<Mutex<Vec<u64>>> = Arc::default();
    let calls = Arc::clone(&called);
    let outside = OutsideCalls {
        start: Arc::new(|_, _, _| Err(CallFailure::NotSent("not used".to_owned()))),
        stop: Arc::new(|_, _, _| Err(CallFailure::NotSent("not used".to_owned()))),
        renew: Arc::new(move |target, _, _| {
            thread::sleep(ANSWER_TIME);
            calls.lock().unwrap().push(target.incarnation);
            Err(CallFailure::NoAnswer("not used".to_owned()))
        }),
        ask_policy: Arc::new(|_, _| Err(CallFailure::NotSent("not used".to_owned()))),
    };
    let relay = start_with(outside, Arc::new(|_, _, _| Ok(())));
    let mut present = instructions(7, 0);
    present.grants[0].target.incarnation = 2;
    present.grants[0].target.generation = 1;
    relay.accept(present);
    relay.accept(instructions(7, 0));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while called.lock().unwrap().len() < 3 {
        assert!(Instant::now() < deadline, "the worker is not renewed");
        thread::sleep(ANSWER_TIME);
    }
    let called = called.lock().unwrap();
    assert!(
        called.iter().all(|incarnation| *incarnation == 2),
        "{called:?}"
    );
}

/// Guards against a worker whose lease expires although it answers, because the thread of its link
/// ended with a panic and the relay kept the link.
#[test]
fn a_link_continues_after_a_panic() {
    let renewals = Arc::new(AtomicUsize::new(0));
    let renewing = Arc::clone(&renewals);
    let outside = OutsideCalls {
        start: Arc::new(|_, _, _| Err(CallFailure::NotSent("not used".to_owned()))),
        stop: Arc::new(|_, _, _| Err(CallFailure::NotSent("not used".to_owned()))),
        renew: Arc::new(move |_, _, _| {
            thread::sleep(ANSWER_TIME);
            let earlier = renewing.fetch_add(1, Ordering::AcqRel);
            assert!(earlier > 0, "expected in this test");
            Err(CallFailure::NoAnswer("not used".to_owned()))
        }),
        ask_policy: Arc::new(|_, _| Err(CallFailure::NotSent("not used".to_owned()))),
    };
    let relay = start_with(outside, Arc::new(|_, _, _| Ok(())));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while renewals.load(Ordering::Acquire) < 3 {
        assert!(Instant::now() < deadline, "the worker is not renewed");
        relay.accept(instructions(7, 0));
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a start order that is repeated after the placer has given up its run, because the
/// first attempt took longer than the order is valid.
#[test]
fn a_start_order_is_not_sent_again_after_its_validity() {
    let starts = Arc::new(AtomicUsize::new(0));
    let starting = Arc::clone(&starts);
    let outside = OutsideCalls {
        start: Arc::new(move |_, _, _| {
            starting.fetch_add(1, Ordering::AcqRel);
            thread::sleep(START_VALIDITY);
            Err(CallFailure::NoAnswer("paused".to_owned()))
        }),
        stop: Arc::new(|_, _, _| Err(CallFailure::NotSent("not used".to_owned()))),
        renew: Arc::new(move |_, _, _| {
            thread::sleep(ANSWER_TIME);
            Ok(WorkerReport {
                incarnation: 1,
                clock_ms: 1,
                running: Vec::new(),
                ends: Vec::new(),
                complete: true,
            })
        }),
        ask_policy: Arc::new(|_, _| Err(CallFailure::NotSent("not used".to_owned()))),
    };
    let (sender, reports) = unbounded();
    let send_report = move |_: &String, report: RelayReport, _: Instant| {
        let _ = sender.send(report);
        Ok(())
    };
    let relay = start_with(outside, Arc::new(send_report));
    let mut with_order = instructions(7, 0);
    with_order.orders.push(start(7));
    relay.accept(with_order);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let is_unanswered = |event: &RelayEvent| {
        let unanswered = RelayEventKind::StartUnanswered {
            task: task(),
            run: 1,
            may_have_arrived: true,
        };
        event.kind == unanswered
    };
    while let Ok(report) = reports.recv_deadline(deadline) {
        if report.events.iter().any(is_unanswered) {
            break;
        }
    }
    assert_eq!(starts.load(Ordering::Acquire), 1);
}

//! Relays between the placer and workers, with workers as closures.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use jujubewinch::workflow::calls::{
    CallFailure, ListedEnd, ListedRun, OrderAnswer, OrderOutcome, OutsideCalls, RenewOrder,
    StartOrder, WorkerReport, WorkerTarget,
};
use jujubewinch::workflow::decisions::relays::{HostClass, RelayHost, ServedWorker, assign};
use jujubewinch::workflow::records::RunOutcome;
use jujubewinch::workflow::relay::Relay;
use jujubewinch::workflow::relay::messages::{
    Grant, Instructions, RelayEvent, RelayEventKind, RelayReport, RelayedOrder, WorkerOrder,
};
use jujubewinch::workflow::spec::{StageKey, TaskKey};

/// Time for anything to happen on a busy machine; waits end as soon as it has.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause of the stand-in worker before it answers, so that links do not spin.
const ANSWER_TIME: Duration = Duration::from_millis(10);

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

/// A worker that lists one end until it is acknowledged, and a placer that loses the first report.
struct Scene {
    relay: Arc<Relay>,
    renewals: Arc<Mutex<Vec<RenewOrder>>>,
    starts: Arc<AtomicUsize>,
    reports: Receiver<(String, RelayReport)>,
}

fn scene(outcomes: Vec<Result<OrderOutcome, CallFailure>>) -> Scene {
    scene_with(outcomes, 1)
}

/// A scene whose worker answers as the given incarnation; 1 is the one that is meant.
fn scene_with(outcomes: Vec<Result<OrderOutcome, CallFailure>>, incarnation: u64) -> Scene {
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
    Scene {
        relay: Relay::start("entry-1".to_owned(), outside, Arc::new(send_report)),
        renewals,
        starts,
        reports,
    }
}

impl Scene {
    fn await_event(&self, wanted: impl Fn(&str, &RelayEvent) -> bool) -> RelayEvent {
        let until = Instant::now() + PATIENCE;
        while let Ok((placer, report)) = self.reports.recv_deadline(until) {
            if let Some(event) = report
                .events
                .into_iter()
                .find(|event| wanted(&placer, event))
            {
                return event;
            }
        }
        panic!("the relay did not report in time");
    }
}

fn has_end(event: &RelayEvent) -> bool {
    matches!(&event.kind, RelayEventKind::Listed { report, .. } if !report.ends.is_empty())
}

/// Guards against an end that is lost with a report, or acknowledged to its worker before the
/// placer has recorded it.
#[test]
fn an_end_is_reported_until_the_placer_has_recorded_it() {
    let scene = scene(Vec::new());
    scene.relay.accept(instructions(7, 0));
    scene.await_event(|_, event| has_end(event));
    let early = scene.renewals.lock().unwrap().clone();
    assert!(
        early
            .iter()
            .all(|order| order.recorded_ends == 0 && order.fence == 7)
    );
    scene.relay.accept(instructions(7, 1));
    let until = Instant::now() + PATIENCE;
    let acknowledged = || {
        let renewals = scene.renewals.lock().unwrap();
        renewals.iter().any(|order| order.recorded_ends == 1)
    };
    while !acknowledged() {
        assert!(Instant::now() < until, "the end was not acknowledged");
        thread::sleep(ANSWER_TIME);
    }
}

/// Guards against a relay that follows a placer after its successor has taken over.
#[test]
fn instructions_of_an_earlier_placer_have_no_effect() {
    let scene = scene(Vec::new());
    scene.relay.accept(instructions(8, 0));
    scene.await_event(|placer, event| placer == "placer-8" && has_end(event));
    let mut late = instructions(7, 1);
    late.orders.push(start(7));
    scene.relay.accept(late);
    scene.await_event(|placer, event| placer == "placer-8" && has_end(event));
    assert_eq!(scene.starts.load(Ordering::Acquire), 0);
    let renewals = scene.renewals.lock().unwrap();
    assert!(
        renewals
            .iter()
            .all(|order| order.fence == 8 && order.recorded_ends == 0)
    );
}

/// Guards against a task that runs twice: its start order stayed unanswered once, a further attempt
/// was refused, and the run counted as never started.
#[test]
fn a_refusal_after_an_unanswered_attempt_is_no_proof() {
    let scene = scene(vec![
        Err(CallFailure::NoAnswer("cut".to_owned())),
        Ok(OrderOutcome::NoRoom),
    ]);
    scene.relay.accept(instructions(7, 0));
    scene.await_event(|_, event| has_end(event));
    let mut with_order = instructions(7, 0);
    with_order.orders.push(start(7));
    scene.relay.accept(with_order);
    let event = scene.await_event(|_, event| {
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

fn host(data_centre: &str, class: HostClass) -> RelayHost<'_> {
    RelayHost { data_centre, class }
}

fn worker(data_centre: &str, relay: Option<usize>) -> ServedWorker<'_> {
    ServedWorker {
        data_centre,
        relay,
        avoided: None,
    }
}

/// Guards against one host that carries the messages of all workers: 350 workers took more than the
/// processor of the leading storage host.
#[test]
fn workers_are_spread_over_the_entry_hosts_of_their_data_centre() {
    let hosts = [
        host("erdenet", HostClass::Placer),
        host("erdenet", HostClass::Entry),
        host("erdenet", HostClass::Entry),
        host("darkhan", HostClass::Entry),
    ];
    let mut workers = vec![worker("erdenet", None); 10];
    workers.extend(vec![worker("darkhan", None); 3]);
    workers.push(worker("elsewhere", None));
    let moves = assign(&hosts, &workers);
    let mut loads = [0; 4];
    for (_, host) in &moves {
        loads[*host] += 1;
    }
    assert_eq!((moves.len(), loads), (14, [0, 5, 5, 4]));
}

/// Guards against workers that stay with a host that is overloaded or not suited, and against moves
/// without need.
#[test]
fn workers_move_only_when_it_helps() {
    let hosts = [
        host("erdenet", HostClass::Entry),
        host("erdenet", HostClass::Entry),
        host("erdenet", HostClass::Storage),
    ];
    let balanced = [
        worker("erdenet", Some(0)),
        worker("erdenet", Some(0)),
        worker("erdenet", Some(1)),
    ];
    assert_eq!(assign(&hosts, &balanced), []);
    let crowded = vec![worker("erdenet", Some(0)); 8];
    assert_eq!(assign(&hosts, &crowded).len(), 3);
    assert_eq!(assign(&hosts, &[worker("erdenet", Some(2))]), [(0, 0)]);
    let mut unreached = worker("erdenet", None);
    unreached.avoided = Some(0);
    assert_eq!(assign(&hosts, &[unreached]), [(0, 1)]);
    assert_eq!(assign(&[], &[worker("erdenet", None)]), []);
}

/// Guards against ends that are lost and leases that are too long: a link went on after its worker
/// had restarted under the same id, and acknowledged ends and set a deadline of the former life.
#[test]
fn a_restarted_worker_gets_nothing_of_its_former_life() {
    let scene = scene_with(Vec::new(), 2);
    scene.relay.accept(instructions(7, 1));
    let until = Instant::now() + PATIENCE;
    while scene.relay.workers() > 0 {
        assert!(Instant::now() < until, "the link did not end");
        thread::sleep(ANSWER_TIME);
    }
    let renewals = scene.renewals.lock().unwrap();
    assert_eq!(renewals.len(), 1);
    assert_eq!(
        (renewals[0].recorded_ends, renewals[0].lease_until_clock_ms),
        (0, None)
    );
}

/// Guards against a start order that reaches the next life of a worker, which knows neither the run
/// nor the fencing token.
#[test]
fn start_orders_go_to_workers_that_the_relay_serves_only() {
    let scene = scene(Vec::new());
    let mut other_life = instructions(7, 0);
    let mut order = start(7);
    order.target.incarnation = 0;
    other_life.orders = vec![order, start(7)];
    scene.relay.accept(other_life);
    let until = Instant::now() + PATIENCE;
    while scene.starts.load(Ordering::Acquire) == 0 {
        assert!(Instant::now() < until, "no order was sent");
        thread::sleep(ANSWER_TIME);
    }
    scene.await_event(|_, event| has_end(event));
    assert_eq!(scene.starts.load(Ordering::Acquire), 1);
}

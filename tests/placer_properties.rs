//! Invariants of the request path over random schedules of faults.

mod placer_support;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::agent::faults::Fault;
use jujubewinch::placer::{Outcome, Placer};
use placer_support::{
    AppendFault, Cell, Host, SLOTS, WAIT_TIMEOUT, assert_one_at_a_time, fresh_key, request,
    verdict, wait_until,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Number of schedules per test; each takes about two seconds. The environment variable
/// `FAULT_SCHEDULES` overrides it for longer runs.
const SCHEDULES: u32 = 10;
const RUNNERS: usize = 2;

#[derive(Clone, Debug)]
struct PlannedRequest {
    idempotent: bool,
    start_ms: u64,
    work_ms: u64,
    timeout_ms: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Crash(usize),
    PauseRunner(usize, u64),
    LoseRunner(usize, u64),
    Leave(usize),
    Duplicates(usize, usize),
    Cancel(usize),
    TakeOver,
    /// Pauses the current placer at the gate with this index for the given milliseconds.
    PausePlacer(usize, u64),
}

#[derive(Clone, Debug)]
struct Schedule {
    requests: Vec<PlannedRequest>,
    exchange_faults: Vec<Vec<Fault>>,
    append_faults: Vec<Option<AppendFault>>,
    events: Vec<(u64, Event)>,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::LoseRequest),
        Just(Fault::LoseAnswer),
        (50..600_u64).prop_map(|ms| Fault::DelayRequest(Duration::from_millis(ms))),
        (50..600_u64).prop_map(|ms| Fault::DelayAnswer(Duration::from_millis(ms))),
        Just(Fault::CorruptAnswer),
        Just(Fault::TruncateAnswer),
    ]
}

fn append_fault() -> impl Strategy<Value = Option<AppendFault>> {
    prop_oneof![
        6 => Just(None),
        1 => Just(Some(AppendFault::Refuse)),
        1 => Just(Some(AppendFault::LoseConfirmation)),
        1 => Just(Some(AppendFault::LoseRecord)),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let runner = 0..RUNNERS;
    prop_oneof![
        2 => runner.clone().prop_map(Event::Crash),
        1 => (runner.clone(), 50..1_000_u64).prop_map(|(runner, ms)| Event::PauseRunner(runner, ms)),
        1 => (runner.clone(), 50..1_000_u64).prop_map(|(runner, ms)| Event::LoseRunner(runner, ms)),
        1 => runner.clone().prop_map(Event::Leave),
        2 => (runner, 1..4_usize).prop_map(|(runner, count)| Event::Duplicates(runner, count)),
        1 => (0..12_usize).prop_map(Event::Cancel),
        2 => Just(Event::TakeOver),
        2 => (0..4_usize, 50..800_u64).prop_map(|(gate, ms)| Event::PausePlacer(gate, ms)),
    ]
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let planned = (any::<bool>(), 0..400_u64, 0..150_u64, 100..1_500_u64).prop_map(
        |(idempotent, start_ms, work_ms, timeout_ms)| PlannedRequest {
            idempotent,
            start_ms,
            work_ms,
            timeout_ms,
        },
    );
    let faults = prop::collection::vec(fault(), 0..5);
    (
        prop::collection::vec(planned, 6..12),
        prop::collection::vec(faults, RUNNERS),
        prop::collection::vec(append_fault(), 0..12),
        prop::collection::vec((0..600_u64, event()), 0..8),
    )
        .prop_map(|(requests, exchange_faults, append_faults, mut events)| {
            events.sort_by_key(|(at_ms, _)| *at_ms);
            Schedule {
                requests,
                exchange_faults,
                append_faults,
                events,
            }
        })
}

/// One submission with its start and its outcome.
#[derive(Debug)]
struct Submitted {
    began_at: Instant,
    outcome: Outcome,
}

/// Submits to the latest placer, and a second time when the first outcome was an error.
fn submit_twice(
    hosts: &Mutex<Vec<Arc<Host>>>,
    key: &str,
    planned: &PlannedRequest,
) -> Vec<Submitted> {
    thread::sleep(Duration::from_millis(planned.start_ms));
    let mut submitted = Vec::new();
    for _ in 0..2 {
        let mut submission = request(key, planned.idempotent, planned.work_ms);
        let began_at = Instant::now();
        submission.deadline = began_at + Duration::from_millis(planned.timeout_ms);
        let host = Arc::clone(hosts.lock().unwrap().last().unwrap());
        let outcome = host.placer.submit(&submission);
        let ran = outcome.is_ok();
        submitted.push(Submitted { began_at, outcome });
        if ran {
            break;
        }
    }
    submitted
}

fn apply_event(cell: &Cell, hosts: &Mutex<Vec<Arc<Host>>>, keys: &[String], event: &Event) {
    match event {
        Event::Crash(runner) => cell.runner(*runner).crash(),
        Event::Leave(runner) => cell.runner(*runner).leaving.store(true, Ordering::SeqCst),
        Event::Duplicates(runner, count) => {
            cell.runner(*runner)
                .duplicates
                .store(*count, Ordering::SeqCst);
        }
        Event::Cancel(index) => {
            let placer: Arc<Placer> = Arc::clone(&hosts.lock().unwrap().last().unwrap().placer);
            let key = keys[index % keys.len()].clone();
            thread::spawn(move || placer.cancel(&key));
        }
        Event::TakeOver => {
            let host = Arc::new(cell.next_placer());
            hosts.lock().unwrap().push(host);
        }
        Event::PauseRunner(runner, ms) => {
            let runner = Arc::clone(&cell.runners[*runner]);
            let pause = Duration::from_millis(*ms);
            runner.tasks.faults().pause(true);
            runner.announcing.store(false, Ordering::SeqCst);
            thread::spawn(move || {
                thread::sleep(pause);
                runner.tasks.faults().pause(false);
                runner.announcing.store(true, Ordering::SeqCst);
            });
        }
        Event::LoseRunner(runner, ms) => {
            let runner = Arc::clone(&cell.runners[*runner]);
            let outage = Duration::from_millis(*ms);
            runner.unreachable.store(true, Ordering::SeqCst);
            runner.announcing.store(false, Ordering::SeqCst);
            thread::spawn(move || {
                thread::sleep(outage);
                runner.unreachable.store(false, Ordering::SeqCst);
                runner.announcing.store(true, Ordering::SeqCst);
            });
        }
        Event::PausePlacer(gate, ms) => {
            let host = Arc::clone(hosts.lock().unwrap().last().unwrap());
            let (gate, pause) = (*gate, Duration::from_millis(*ms));
            host.gates.all()[gate].close();
            thread::spawn(move || {
                thread::sleep(pause);
                host.gates.all()[gate].open();
            });
        }
    }
}

fn run_schedule(schedule: &Schedule) {
    let cell = Cell::new(RUNNERS);
    let hosts = Mutex::new(vec![Arc::new(cell.next_placer())]);
    for (index, faults) in schedule.exchange_faults.iter().enumerate() {
        cell.runner(index).tasks.faults().inject(faults);
    }
    cell.log
        .faults
        .lock()
        .unwrap()
        .extend(schedule.append_faults.iter().copied());
    let keys: Vec<String> = (0..schedule.requests.len())
        .map(|index| fresh_key(&format!("request-{index}")))
        .collect();
    let submitted: Vec<Vec<Submitted>> = thread::scope(|scope| {
        let callers: Vec<_> = keys
            .iter()
            .zip(&schedule.requests)
            .map(|(key, planned)| scope.spawn(|| submit_twice(&hosts, key, planned)))
            .collect();
        let began_at = Instant::now();
        for (at_ms, event) in &schedule.events {
            let at = began_at + Duration::from_millis(*at_ms);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            apply_event(&cell, &hosts, &keys, event);
        }
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect()
    });
    wait_until_resolved(&cell, &hosts);
    for ((key, planned), submitted) in keys.iter().zip(&schedule.requests).zip(&submitted) {
        check(&cell, key, planned, submitted);
    }
    for runner in cell.runners.values() {
        assert!(runner.tasks.highest_running() <= SLOTS);
    }
}

/// Ends all faults and waits until every request is resolved and nothing runs.
fn wait_until_resolved(cell: &Cell, hosts: &Mutex<Vec<Arc<Host>>>) {
    cell.log.faults.lock().unwrap().clear();
    let last = Arc::clone(hosts.lock().unwrap().last().unwrap());
    let open = || {
        let state = cell.log.state.lock().unwrap();
        let open = state
            .keys
            .values()
            .filter(|record| record.outcome.is_none());
        open.count()
    };
    wait_until("every request is resolved", || {
        last.placer.wait_until_idle(Instant::now()) && open() == 0
    });
    assert!(last.placer.wait_until_idle(Instant::now() + WAIT_TIMEOUT));
    wait_until("no task runs", || {
        cell.runners
            .values()
            .all(|runner| runner.tasks.running() == 0)
    });
    // Delayed create calls arrive after at most 600 ms.
    thread::sleep(Duration::from_millis(650));
}

fn check(cell: &Cell, key: &str, planned: &PlannedRequest, submitted: &[Submitted]) {
    let executions = cell.executions(key);
    let context = format!("{key} {planned:?}\n{submitted:#?}\n{executions:#?}");
    assert_one_at_a_time(&executions);
    if !planned.idempotent {
        assert!(executions.len() <= 1, "repeated: {context}");
    }
    for (index, submission) in submitted.iter().enumerate() {
        match verdict(&submission.outcome).as_str() {
            "ran" => {
                assert!(
                    !executions.is_empty(),
                    "verdict ran without an execution: {context}"
                );
                let body = submission.outcome.as_ref().map(|answer| &answer.body);
                assert_eq!(body, Ok(&key.as_bytes().to_vec()), "{context}");
            }
            "did_not_run" => {
                // Executions that started before this submission belong to an earlier one. Those
                // that started after the next submission began may belong to that one.
                let until = submitted.get(index + 1).map(|next| next.began_at);
                let started = executions.iter().filter(|execution| {
                    execution.started_at >= submission.began_at
                        && until.is_none_or(|until| execution.started_at < until)
                });
                assert_eq!(
                    started.count(),
                    0,
                    "executed despite did_not_run: {context}"
                );
            }
            _ => {}
        }
    }
}

fn run_schedules(seed: u64) {
    let cases = std::env::var("FAULT_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        // Because of thread timing, a shrunk schedule may pass by chance, so shrinking is disabled
        // and the first failing schedule is reported.
        max_shrink_iters: 0,
        ..Config::default()
    });
    runner
        .run(&schedule(), |schedule| {
            run_schedule(&schedule);
            Ok(())
        })
        .unwrap();
}

/// Guards against repeated or overlapping executions, wrong verdicts, answers of other requests and
/// exceeded slots under combinations of faults that the table tests do not cover.
#[test]
fn invariants_hold_over_random_faults_first_half() {
    run_schedules(0x6a75_6a75);
}

/// Guards against the same failures as the first half, with schedules from another seed.
#[test]
fn invariants_hold_over_random_faults_second_half() {
    run_schedules(0x6265_7769);
}

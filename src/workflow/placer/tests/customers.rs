//! Tests of the keys and caps of customers.

use std::time::Duration;

use super::super::term::OrderKind;
use super::fixture::*;
use crate::resources::Resources;
use crate::workflow::calls::{Call, CallFailure, OrderOutcome, Reply};
use crate::workflow::customers::{Customer, CustomerConfiguration};
use crate::workflow::queues::QueueAddress;
use crate::workflow::records::RunOutcome;
use crate::workflow::spec::{StageSpec, WorkflowSpec};
use crate::workflow::state::{JobPhase, WorkflowState};

const KEY: &str = "key-of-acme";
const SECOND_JOB: &str = "00c0ffee00000002";

fn customer(name: &str, key: &str, cap_millis: u64) -> Customer {
    Customer {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        weight: 1.0,
        cap: Resources {
            cpu_millis: cap_millis,
            ..Resources::ZERO
        },
    }
}

fn customers(cap_millis: u64) -> CustomerConfiguration {
    let customers = vec![
        customer("acme", KEY, cap_millis),
        customer("other", "key-of-other", 0),
    ];
    CustomerConfiguration::new(customers, []).unwrap()
}

fn gang(members: u32) -> StageSpec {
    StageSpec {
        gang: true,
        ..stage(members)
    }
}

/// A cell with two workers for four tasks each, and a customer with a cap.
fn with_cap(cap_millis: u64) -> Fixture {
    let mut state = WorkflowState {
        configuration: Some(configuration(3)),
        ..WorkflowState::default()
    };
    state.customers.configuration = Some(customers(cap_millis));
    let mut fixture = Fixture::with_state(state);
    fixture.announce("w");
    fixture.announce("v");
    fixture
}

fn submit(fixture: &mut Fixture, key: Option<&str>, job: &str, stages: Vec<StageSpec>) -> Reply {
    fixture.reply(key, submission(job, stages))
}

fn schedule(fixture: &mut Fixture) {
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
}

fn starts_of(fixture: &Fixture, job: &str) -> usize {
    let orders = fixture.orders.iter();
    orders
        .filter(|order| order.task.stage.job == job && order.kind != OrderKind::Stop)
        .count()
}

fn replace(fixture: &mut Fixture, version: u64, customers: CustomerConfiguration) {
    let call = Call::ReplaceCustomers {
        queues: Box::new(configuration(version)),
        customers: Box::new(customers),
    };
    assert_eq!(fixture.reply(None, call), Reply::QueuesReplaced);
}

/// Guards against jobs that run although no configuration in force has the key of their call.
#[test]
fn a_call_needs_a_key_that_is_in_force() {
    let mut fixture = with_cap(0);
    for key in [None, Some("unknown")] {
        let refused = submit(&mut fixture, key, JOB, vec![stage(1)]);
        assert_eq!(refused, Reply::UnknownKey);
    }
    assert!(fixture.term.state.jobs.is_empty());
    let accepted = submit(&mut fixture, Some(KEY), JOB, vec![stage(1)]);
    assert_eq!(accepted, Reply::Accepted);
    let of_other = submit(&mut fixture, Some("key-of-other"), JOB, vec![stage(1)]);
    assert_eq!(of_other, Reply::OtherCustomer);
    let cancelled = fixture.reply(None, Call::Cancel(address(JOB)));
    assert_eq!(cancelled, Reply::UnknownKey);
    assert_ne!(fixture.phase(), JobPhase::Cancelled);
}

/// Guards against a withdrawn key that works again because an older version of the configuration
/// arrives late, or because the placer changes.
#[test]
fn a_withdrawn_key_stays_withdrawn() {
    let mut fixture = with_cap(0);
    let without_key = CustomerConfiguration::new(vec![customer("acme", "new-key", 0)], []);
    replace(&mut fixture, 9, without_key.unwrap());
    replace(&mut fixture, 5, customers(0));
    let refused = submit(&mut fixture, Some(KEY), JOB, vec![stage(1)]);
    assert_eq!(refused, Reply::UnknownKey);
    let mut successor = Fixture::with_state(fixture.term.state);
    let refused = submit(&mut successor, Some(KEY), JOB, vec![stage(1)]);
    assert_eq!(refused, Reply::UnknownKey);
    let accepted = submit(&mut successor, Some("new-key"), JOB, vec![stage(1)]);
    assert_eq!(accepted, Reply::Accepted);
}

/// Guards against calls without a key that are refused although the configuration has no customers,
/// or although the queue is public.
#[test]
fn no_key_is_needed_for_public_queues() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    assert_eq!(
        submit(&mut fixture, None, JOB, vec![stage(1)]),
        Reply::Accepted
    );
    let public = CustomerConfiguration::new(vec![customer("acme", KEY, 0)], [queue().address]);
    replace(&mut fixture, 9, public.unwrap());
    let accepted = submit(&mut fixture, None, SECOND_JOB, vec![stage(1)]);
    assert_eq!(accepted, Reply::Accepted);
}

/// Guards against a customer that has more running than its cap, also after the cap was lowered
/// while its work runs, and against room under the cap that is not used again.
#[test]
fn a_cap_limits_what_runs() {
    let mut fixture = with_cap(3_000);
    submit(&mut fixture, Some(KEY), JOB, vec![stage(6)]);
    schedule(&mut fixture);
    assert_eq!(starts_of(&fixture, JOB), 3);
    submit(
        &mut fixture,
        Some("key-of-other"),
        SECOND_JOB,
        vec![stage(5)],
    );
    schedule(&mut fixture);
    assert_eq!(starts_of(&fixture, SECOND_JOB), 5, "others use the room");

    replace(&mut fixture, 9, customers(2_000));
    fixture.answer_starts(OrderOutcome::Done);
    let first = fixture.term.runs.keys().find(|task| task.stage.job == JOB);
    let first = first.cloned().unwrap();
    fixture
        .term
        .finish_run(&first, RunOutcome::Succeeded, String::new(), fixture.now);
    schedule(&mut fixture);
    assert_eq!(starts_of(&fixture, JOB), 0, "two of two still run");
    replace(&mut fixture, 10, customers(3_000));
    schedule(&mut fixture);
    assert_eq!(starts_of(&fixture, JOB), 1);
}

/// Guards against a new placer that does not count the runs of earlier ones against the cap, or that
/// counts them twice.
#[test]
fn a_new_placer_counts_the_same() {
    let mut fixture = with_cap(3_000);
    submit(&mut fixture, Some(KEY), JOB, vec![gang(2)]);
    submit(&mut fixture, Some(KEY), SECOND_JOB, vec![stage(4)]);
    schedule(&mut fixture);
    let running = fixture.term.customers["acme"].running;
    assert_eq!(running.cpu_millis, 3_000);
    let mut successor = Fixture::with_state(fixture.term.state);
    assert_eq!(successor.term.customers["acme"].running, running);
    successor.report("v", vec![], vec![]);
    successor.report("w", vec![listed(0, 1), listed(1, 1)], vec![]);
    assert!(successor.term.customers["acme"].running.cpu_millis <= 3_000);
    schedule(&mut successor);
    assert!(successor.term.customers["acme"].running.cpu_millis <= 3_000);
}

/// Guards against runs of a lost worker that no longer count while they may go on, and against their
/// room that is never given back.
#[test]
fn runs_of_a_lost_worker_count_until_they_are_over() {
    let mut fixture = with_cap(4_000);
    submit(&mut fixture, Some(KEY), JOB, vec![stage(8)]);
    schedule(&mut fixture);
    fixture.answer_starts(OrderOutcome::Done);
    let lost = fixture.term.runs.values().next().unwrap().worker.clone();
    let other = if lost == "w" { "v" } else { "w" };
    let failure = CallFailure::NoAnswer("cut off".to_owned());
    fixture.fail_to_answer(&lost, &failure);
    schedule(&mut fixture);
    assert_eq!(starts_of(&fixture, JOB), 0, "the runs may go on");
    for _ in 0..120 {
        fixture.advance(Duration::from_millis(100));
        fixture.report(other, vec![], vec![]);
        let now = fixture.now;
        fixture.term.tick(now);
        schedule(&mut fixture);
        assert!(fixture.term.customers["acme"].running.cpu_millis <= 4_000);
    }
    assert_eq!(fixture.term.customers["acme"].running.cpu_millis, 4_000);
    assert!(fixture.term.runs.values().all(|run| run.worker == other));
}

/// Guards against a gang that waits for ever because small work of its own customer takes all room
/// under the cap, and against parts of a gang that start.
#[test]
fn small_work_does_not_starve_a_gang() {
    let mut fixture = with_cap(4_000);
    submit(&mut fixture, Some(KEY), JOB, vec![stage(4)]);
    schedule(&mut fixture);
    fixture.answer_starts(OrderOutcome::Done);
    submit(&mut fixture, Some(KEY), "gang", vec![gang(4)]);
    schedule(&mut fixture);
    fixture.advance(Duration::from_millis(1_500));
    for number in 0..4 {
        let small = format!("small-{number}");
        submit(&mut fixture, Some(KEY), &small, vec![stage(4)]);
        let first = fixture.term.runs.keys().find(|task| task.stage.job == JOB);
        let first = first.cloned().unwrap();
        let now = fixture.now;
        fixture
            .term
            .finish_run(&first, RunOutcome::Succeeded, String::new(), now);
        schedule(&mut fixture);
        let expected = if number == 3 { 4 } else { 0 };
        assert_eq!(starts_of(&fixture, "gang"), expected);
        assert_eq!(starts_of(&fixture, &small), 0);
    }
}

/// Guards against a gang that no longer fits a lowered cap and holds back all other work of its
/// customer until the cap is raised.
#[test]
fn a_gang_above_a_lowered_cap_holds_nothing_back() {
    let mut fixture = with_cap(4_000);
    submit(&mut fixture, Some(KEY), JOB, vec![stage(1)]);
    schedule(&mut fixture);
    submit(&mut fixture, Some(KEY), "gang", vec![gang(4)]);
    replace(&mut fixture, 9, customers(3_000));
    schedule(&mut fixture);
    submit(&mut fixture, Some(KEY), SECOND_JOB, vec![stage(2)]);
    fixture.advance(Duration::from_millis(1_500));
    schedule(&mut fixture);
    assert_eq!(starts_of(&fixture, "gang"), 0);
    assert_eq!(starts_of(&fixture, SECOND_JOB), 2);
}

/// Guards against a gang that waits for room on workers while small work of its own customer takes
/// the room under the cap again and again.
#[test]
fn small_work_leaves_the_cap_to_a_gang_that_waits_for_workers() {
    let mut fixture = with_cap(6_000);
    let other = Some("key-of-other");
    submit(&mut fixture, other, JOB, vec![stage(4)]);
    schedule(&mut fixture);
    fixture.answer_starts(OrderOutcome::Done);
    // Two workers have room for four cores each, so that one member fits at most.
    let mut wide = gang(2);
    wide.resources.cpu_millis = 3_000;
    submit(&mut fixture, Some(KEY), "gang", vec![wide]);
    schedule(&mut fixture);
    fixture.advance(Duration::from_millis(1_500));
    submit(&mut fixture, Some(KEY), SECOND_JOB, vec![stage(2)]);
    schedule(&mut fixture);
    assert_eq!(starts_of(&fixture, SECOND_JOB), 0);
    let others: Vec<_> = fixture.term.runs.keys().cloned().collect();
    let now = fixture.now;
    for task in others {
        fixture
            .term
            .finish_run(&task, RunOutcome::Succeeded, String::new(), now);
    }
    schedule(&mut fixture);
    assert_eq!(starts_of(&fixture, "gang"), 2);
}

/// Guards against work that waits although a run has left room under the cap: the worker of the run
/// is gone, so that no room on a worker grows with its end.
#[test]
fn room_under_the_cap_makes_a_pass_due() {
    let mut fixture = with_cap(1_000);
    submit(&mut fixture, Some(KEY), JOB, vec![stage(1)]);
    submit(&mut fixture, Some(KEY), SECOND_JOB, vec![stage(1)]);
    schedule(&mut fixture);
    let (task, run) = fixture.term.runs.first().unwrap();
    let (task, worker) = (task.clone(), run.worker.clone());
    fixture.term.workers.swap_remove(&worker);
    let cancelled = fixture.reply(Some(KEY), Call::Cancel(address(JOB)));
    assert_eq!(cancelled, Reply::Cancelled);
    schedule(&mut fixture);
    assert!(!fixture.term.is_pass_due());
    let now = fixture.now;
    fixture
        .term
        .finish_run(&task, RunOutcome::Stopped, String::new(), now);
    assert!(fixture.term.is_pass_due());
}

/// Guards against a caller of a public queue that is refused its job since it was submitted with a
/// key, and against public queues that give access to the jobs of other queues.
#[test]
fn a_public_queue_needs_no_key_for_its_jobs_only() {
    let mut fixture = with_cap(0);
    let mut queues = configuration(9);
    let mut open = queue();
    open.address.path_prefix = "/open/".to_owned();
    queues.queues.push(open.clone());
    let customers = CustomerConfiguration::new(vec![customer("acme", KEY, 0)], [open.address]);
    let call = Call::ReplaceCustomers {
        queues: Box::new(queues),
        customers: Box::new(customers.unwrap()),
    };
    assert_eq!(fixture.reply(None, call), Reply::QueuesReplaced);
    submit(&mut fixture, Some(KEY), JOB, vec![stage(1)]);
    let open = |job: &str| QueueAddress {
        host: "shop.example".to_owned(),
        path_prefix: format!("/open/{job}"),
    };
    let spec = WorkflowSpec {
        payload: "plan".to_owned(),
        stages: vec![stage(1)],
        repetition: None,
    };
    let submission = Call::Submit {
        target: open(SECOND_JOB),
        spec: Box::new(spec),
    };
    assert_eq!(fixture.reply(Some(KEY), submission), Reply::Accepted);
    let cancelled = fixture.reply(Some("revoked"), Call::Cancel(open(SECOND_JOB)));
    assert_eq!(cancelled, Reply::Cancelled);
    let of_other_queue = fixture.reply(None, Call::Cancel(open(JOB)));
    assert_eq!(of_other_queue, Reply::OtherCustomer);
}

/// Guards against held jobs of which the log says nothing, and against a customer whose held jobs fill
/// the log.
#[test]
fn held_jobs_are_logged_at_a_bounded_rate() {
    let mut fixture = with_cap(1_000);
    let short = StageSpec {
        estimate_ms: 100,
        ..stage(1)
    };
    for number in 0..30 {
        let job = format!("job-{number}");
        let accepted = submit(&mut fixture, Some(KEY), &job, vec![short.clone()]);
        assert_eq!(accepted, Reply::Accepted);
    }
    let logged = |fixture: &Fixture| {
        let stages = fixture.term.stages.values();
        stages.filter(|stage| stage.logged_as_held).count()
    };
    for _ in 0..2 {
        schedule(&mut fixture);
        assert_eq!(logged(&fixture), 20);
    }
    fixture.advance(Duration::from_millis(1_000));
    schedule(&mut fixture);
    assert_eq!(logged(&fixture), 29);
}

/// Guards against a report that the placer leaves room free which only the cap holds back.
#[test]
fn room_that_a_cap_holds_back_is_not_idle() {
    let mut fixture = with_cap(2_000);
    submit(&mut fixture, Some(KEY), JOB, vec![stage(4)]);
    submit(&mut fixture, Some(KEY), SECOND_JOB, vec![stage(4)]);
    assert_eq!(fixture.term.idle_room(fixture.now).total_millis(), 2_000);
    schedule(&mut fixture);
    assert_eq!(fixture.term.idle_room(fixture.now).total_millis(), 0);
}

/// Guards against an accepted job that can never run, as its gang or one of its tasks needs more than
/// the cap.
#[test]
fn what_never_fits_the_cap_is_refused_at_once() {
    let mut fixture = with_cap(3_000);
    let large = StageSpec {
        resources: Resources {
            cpu_millis: 3_500,
            memory_mib: 100,
            accelerators: 0,
        },
        ..stage(1)
    };
    for stages in [vec![stage(1), gang(4)], vec![large]] {
        let refused = submit(&mut fixture, Some(KEY), JOB, stages);
        assert!(matches!(refused, Reply::ExceedsCap(_)), "{refused:?}");
    }
    assert!(fixture.term.state.jobs.is_empty());
    let accepted = submit(&mut fixture, Some(KEY), JOB, vec![gang(3)]);
    assert_eq!(accepted, Reply::Accepted);
}

/// Guards against customers that cannot be told apart or served: two with one key, a weight of zero,
/// and a key that no header can carry.
#[test]
fn invalid_customers_are_refused() {
    let refused = |customers: Vec<Customer>| CustomerConfiguration::new(customers, []).is_err();
    assert!(refused(vec![
        customer("acme", KEY, 0),
        customer("other", KEY, 0)
    ]));
    assert!(refused(vec![
        customer("acme", KEY, 0),
        customer("acme", "x", 0)
    ]));
    for key in ["", "two words", "line\nbreak", "ключ"] {
        assert!(refused(vec![customer("acme", key, 0)]), "{key:?}");
    }
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let customer = Customer {
            weight,
            ..customer("acme", KEY, 0)
        };
        assert!(refused(vec![customer]), "{weight}");
    }
}

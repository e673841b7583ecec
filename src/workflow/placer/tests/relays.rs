//! Tests of orders that are sent through relays, also when a relay fails.

use std::time::Duration;

use super::super::Now;
use super::super::term::RunPhase;
use super::fixture::*;
use crate::workflow::calls::{CallFailure, HostContact, OrderAnswer, OrderOutcome, WorkerReport};
use crate::workflow::relay::messages::{
    Instructions, RelayEvent, RelayEventKind, RelayedOrder, WorkerOrder,
};

/// Time after which a start order without an outcome has been repeated, or its run stopped.
const REPEAT_TIME: Duration = Duration::from_millis(2_100);

fn make_contact(fixture: &mut Fixture, host: &str, stores: bool) {
    let contact = HostContact {
        host: host.to_owned(),
        data_centre: "lowell-yard".to_owned(),
        stores,
    };
    fixture.term.record_contact(contact, fixture.now.at);
}

/// Creates a term with one worker whose relay is the first of two entry hosts.
fn with_relays() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    make_contact(&mut fixture, "entry-1", false);
    make_contact(&mut fixture, "entry-2", false);
    fixture.term.assign_relays(fixture.now.at);
    fixture
}

fn relay_of(fixture: &Fixture) -> Option<&str> {
    fixture.term.workers["w"].relay.as_deref()
}

/// Returns the orders that are due for the relay of the worker.
fn take_due_orders(fixture: &mut Fixture) -> Vec<RelayedOrder> {
    let orders = std::mem::take(&mut fixture.orders);
    fixture.term.pending_orders.extend(orders);
    let now = fixture.now;
    let instructions = fixture.term.next_instructions(now);
    let instructions = instructions.into_values();
    instructions
        .flat_map(|batch: Instructions| batch.orders)
        .collect()
}

fn report_event(fixture: &mut Fixture, relay: &str, kind: RelayEventKind) {
    let event = RelayEvent {
        worker: "w".to_owned(),
        incarnation: 1,
        kind,
    };
    let now: Now = fixture.now;
    fixture
        .term
        .handle_relay_event(&relay.to_owned(), event, now);
}

fn start_answered(outcome: OrderOutcome) -> RelayEventKind {
    RelayEventKind::StartAnswered {
        task: task(0),
        run: 1,
        answer: OrderAnswer {
            outcome,
            clock_ms: None,
        },
        earlier_attempt_open: false,
    }
}

/// Lets the first relay fail, so that its worker is assigned to another one.
fn fail_first_relay(fixture: &mut Fixture) {
    let relay = "entry-1".to_owned();
    fixture
        .term
        .handle_relay_failure(&relay, "gone", fixture.now.at);
    fixture.term.tick(fixture.now);
}

/// Returns an answer of the worker that lists no runs, to a renewal with a grant of the given time.
fn empty_list(fixture: &Fixture, granted_at_ms: u64) -> RelayEventKind {
    RelayEventKind::Listed {
        granted_at_ms,
        report: WorkerReport {
            incarnation: 1,
            clock_ms: fixture.clock_ms(),
            running: Vec::new(),
            ends: Vec::new(),
            complete: true,
        },
        outdated_generation: None,
    }
}

/// Creates a term with relays and a job with one task whose start order is due.
fn with_submitted_job() -> Fixture {
    let mut fixture = with_relays();
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    fixture
}

/// Guards against start orders that are lost with a failed relay: the run would stay in the
/// starting phase for ever, and its gang or stage would never continue.
#[test]
fn start_orders_of_a_failed_relay_are_sent_through_another() {
    let mut fixture = with_submitted_job();
    assert_eq!(relay_of(&fixture), Some("entry-1"));
    assert_eq!(take_due_orders(&mut fixture).len(), 1);
    fail_first_relay(&mut fixture);
    assert_eq!(relay_of(&fixture), Some("entry-2"));
    let again = take_due_orders(&mut fixture);
    assert!(
        matches!(&again[..], [RelayedOrder { order: WorkerOrder::Start(start), .. }] if start.run == 1)
    );
}

/// Guards against a run that waits for ever for an outcome of its start order.
#[test]
fn a_start_without_an_outcome_is_repeated_then_stopped() {
    let mut fixture = with_submitted_job();
    assert_eq!(take_due_orders(&mut fixture).len(), 1);
    fixture.advance(REPEAT_TIME);
    make_contact(&mut fixture, "entry-1", false);
    fixture.term.tick(fixture.now);
    assert_eq!(take_due_orders(&mut fixture).len(), 1);
    fixture.advance(REPEAT_TIME);
    make_contact(&mut fixture, "entry-1", false);
    fixture.term.tick(fixture.now);
    fixture.commit_all();
    let stops = take_due_orders(&mut fixture);
    assert!(matches!(
        &stops[..],
        [RelayedOrder {
            order: WorkerOrder::Stop(_),
            ..
        }]
    ));
    assert!(
        fixture.term.runs.contains_key(&task(0)),
        "it may have started"
    );
}

/// Guards against two runs of a task: the copy of a start order from one relay is refused, and the
/// copy from a failed relay is executed later.
#[test]
fn a_refused_copy_does_not_show_that_the_run_never_started() {
    let mut fixture = with_submitted_job();
    take_due_orders(&mut fixture);
    fail_first_relay(&mut fixture);
    assert_eq!(take_due_orders(&mut fixture).len(), 1);
    report_event(
        &mut fixture,
        "entry-2",
        start_answered(OrderOutcome::PermitInvalid),
    );
    let phase = fixture.term.runs[&task(0)].phase;
    assert!(matches!(phase, RunPhase::Stopping { .. }), "{phase:?}");
}

/// Guards against runs that are ended as missing, and workers that are marked as unreachable,
/// because of a report from a relay that no longer serves them.
#[test]
fn reports_of_a_former_relay_are_ignored() {
    let mut fixture = with_submitted_job();
    take_due_orders(&mut fixture);
    report_event(&mut fixture, "entry-1", start_answered(OrderOutcome::Done));
    fixture.advance(Duration::from_millis(10));
    let failure = CallFailure::NoAnswer("cut off".to_owned());
    report_event(&mut fixture, "entry-2", RelayEventKind::Silent { failure });
    assert!(fixture.term.workers["w"].reachable);
    let empty = empty_list(&fixture, 60_000);
    report_event(&mut fixture, "entry-2", empty.clone());
    assert!(fixture.term.runs.contains_key(&task(0)));
    report_event(&mut fixture, "entry-1", empty);
    assert!(!fixture.term.runs.contains_key(&task(0)));
}

/// Guards against a run that is ended as missing because of a list that is older than its
/// confirmation.
#[test]
fn a_list_older_than_the_start_does_not_end_the_run() {
    let mut fixture = with_submitted_job();
    take_due_orders(&mut fixture);
    fixture.advance(Duration::from_millis(500));
    report_event(&mut fixture, "entry-1", start_answered(OrderOutcome::Done));
    let listed = empty_list(&fixture, 100);
    report_event(&mut fixture, "entry-1", listed);
    assert!(fixture.term.runs.contains_key(&task(0)));
}

/// Guards against a storage host that becomes the relay of all workers, such as the placer's own
/// host, while the entry hosts have not made contact with a new placer yet.
#[test]
fn workers_wait_for_an_entry_host_as_relay() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    make_contact(&mut fixture, "10.0.0.1", true);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), None);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(
        take_due_orders(&mut fixture).len(),
        0,
        "kept until there is a relay"
    );
    fixture.advance(Duration::from_millis(800));
    make_contact(&mut fixture, "10.0.0.1", true);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), Some("10.0.0.1"));
    assert_eq!(take_due_orders(&mut fixture).len(), 1);
    make_contact(&mut fixture, "entry-1", false);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), Some("entry-1"));
}

/// Guards against a worker that counts as lost because a single host cannot reach it.
#[test]
fn another_relay_tries_to_reach_a_silent_worker() {
    let mut fixture = with_relays();
    let failure = CallFailure::NoAnswer("cut off".to_owned());
    report_event(&mut fixture, "entry-1", RelayEventKind::Silent { failure });
    fixture.advance(Duration::from_millis(1_100));
    make_contact(&mut fixture, "entry-1", false);
    make_contact(&mut fixture, "entry-2", false);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), Some("entry-2"));
}

/// Guards against a worker whose runs are given up because two hosts cannot reach it, although it
/// answers others.
#[test]
fn further_relays_try_to_reach_a_silent_worker_while_its_lease_lasts() {
    let mut fixture = with_submitted_job();
    take_due_orders(&mut fixture);
    report_event(&mut fixture, "entry-1", start_answered(OrderOutcome::Done));
    let mut tried = Vec::new();
    for _ in 0..50 {
        for host in ["entry-1", "entry-2", "entry-3"] {
            make_contact(&mut fixture, host, false);
        }
        fixture.term.tick(fixture.now);
        let relay = relay_of(&fixture).unwrap_or_default().to_owned();
        let failure = CallFailure::NoAnswer("cut off".to_owned());
        report_event(&mut fixture, &relay, RelayEventKind::Silent { failure });
        if tried.last() != Some(&relay) {
            tried.push(relay);
        }
        fixture.advance(Duration::from_millis(100));
    }
    assert!(fixture.term.runs.contains_key(&task(0)), "the lease lasts");
    assert!(tried.contains(&"entry-3".to_owned()), "{tried:?}");
    assert!(tried.len() <= 6, "one change a second: {tried:?}");
}

/// Guards against a worker whose runs neither start nor end any more: its relay is in contact but
/// could not start a thread for the worker, so that neither lists nor silence were reported.
#[test]
fn a_worker_whose_relay_reports_nothing_gets_another_relay() {
    let mut fixture = with_submitted_job();
    take_due_orders(&mut fixture);
    report_event(&mut fixture, "entry-1", start_answered(OrderOutcome::Done));
    for _ in 0..60 {
        make_contact(&mut fixture, "entry-1", false);
        make_contact(&mut fixture, "entry-2", false);
        fixture.term.tick(fixture.now);
        fixture.advance(Duration::from_millis(100));
    }
    assert_eq!(relay_of(&fixture), Some("entry-2"));
    assert!(fixture.term.workers["w"].reachable);
}

/// Guards against all workers getting another relay after a pause of the placer, in which the
/// reports of their relays have waited.
#[test]
fn a_pause_of_the_placer_changes_no_relay() {
    let mut fixture = with_relays();
    fixture.term.tick(fixture.now);
    fixture.advance(Duration::from_secs(20));
    make_contact(&mut fixture, "entry-1", false);
    fixture.term.tick(fixture.now);
    assert!(fixture.term.workers["w"].reachable);
    assert_eq!(relay_of(&fixture), Some("entry-1"));
}

/// Guards against two runs of a task: one relay cannot reach the worker, and the run counts as
/// never started although the copy of its start order at another relay is executed later.
#[test]
fn an_order_that_one_relay_could_not_send_may_be_sent_by_another() {
    let mut fixture = with_submitted_job();
    take_due_orders(&mut fixture);
    fail_first_relay(&mut fixture);
    assert_eq!(take_due_orders(&mut fixture).len(), 1);
    let unanswered = RelayEventKind::StartUnanswered {
        task: task(0),
        run: 1,
        may_have_arrived: false,
    };
    report_event(&mut fixture, "entry-2", unanswered);
    let phase = fixture.term.runs.get(&task(0)).map(|run| run.phase);
    assert!(
        matches!(phase, Some(RunPhase::Stopping { .. })),
        "{phase:?}"
    );
}

/// Guards against a lease that does not expire: the clock of a worker starts anew with each
/// incarnation, and a late answer of an earlier incarnation would set the clock of the new one far
/// ahead.
#[test]
fn answers_of_an_earlier_incarnation_are_ignored() {
    let mut fixture = with_submitted_job();
    take_due_orders(&mut fixture);
    let now = fixture.now;
    fixture.restart("w");
    fixture.term.assign_relays(now.at);
    let late = RelayEventKind::StartAnswered {
        task: task(0),
        run: 1,
        answer: OrderAnswer {
            outcome: OrderOutcome::Done,
            clock_ms: Some(480_000),
        },
        earlier_attempt_open: false,
    };
    report_event(&mut fixture, "entry-1", late);
    assert_eq!(fixture.term.workers["w"].clock, None);
}

/// Guards against an entry host that is assigned all workers at once because it is the first in
/// contact: their first renewals would occupy its processor for longer than the contact timeout.
#[test]
fn the_first_entry_host_is_not_assigned_all_workers_at_once() {
    let mut fixture = Fixture::new();
    for number in 0..100 {
        fixture.announce(&format!("w{number}"));
    }
    make_contact(&mut fixture, "entry-1", false);
    fixture.term.assign_relays(fixture.now.at);
    let relayed = |fixture: &Fixture| {
        let workers = fixture.term.workers.values();
        workers.filter(|worker| worker.relay.is_some()).count()
    };
    assert!(relayed(&fixture) <= 20, "{}", relayed(&fixture));
    for _ in 0..10 {
        fixture.term.assign_relays(fixture.now.at);
    }
    assert_eq!(relayed(&fixture), 100);
}

/// Guards against the assignment of all workers to the placer's own host after a stall of the
/// placer during which it handled no contact.
#[test]
fn a_short_absence_of_all_entry_hosts_moves_no_worker_to_storage_hosts() {
    let mut fixture = with_relays();
    fixture.advance(Duration::from_millis(1_500));
    make_contact(&mut fixture, "10.0.0.1", true);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), Some("entry-1"));
    fixture.advance(Duration::from_millis(2_000));
    make_contact(&mut fixture, "10.0.0.1", true);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), Some("10.0.0.1"));
}

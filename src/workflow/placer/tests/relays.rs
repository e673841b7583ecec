//! Orders that are sent through relays, and what happens when a relay is gone.

use std::time::Duration;

use super::super::Now;
use super::super::term::RunPhase;
use super::fixture::*;
use crate::workflow::calls::{CallFailure, HostContact, OrderAnswer, OrderOutcome, WorkerReport};
use crate::workflow::relay::messages::{
    Instructions, RelayEvent, RelayEventKind, RelayedOrder, WorkerOrder,
};

/// Time after which orders without an outcome are certainly repeated or given up.
const REPEAT_TIME: Duration = Duration::from_millis(2_100);

fn make_contact(fixture: &mut Fixture, host: &str, stores: bool) {
    let contact = HostContact {
        host: host.to_owned(),
        data_centre: "lowell-yard".to_owned(),
        stores,
    };
    fixture.term.record_contact(contact, fixture.now.at);
}

/// A cell with one worker whose orders are relayed by the first of two entry hosts.
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

/// What is sent to the relay of the worker.
fn sent(fixture: &mut Fixture) -> Vec<RelayedOrder> {
    let orders = std::mem::take(&mut fixture.orders);
    fixture.term.pending_orders.extend(orders);
    let now = fixture.now;
    let instructions = fixture.term.next_instructions(now);
    let of_relays = instructions.into_values();
    of_relays.flat_map(|one: Instructions| one.orders).collect()
}

fn note(fixture: &mut Fixture, relay: &str, kind: RelayEventKind) {
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
    }
}

/// Takes the workers of the first relay away and gives them another one.
fn lose_first_relay(fixture: &mut Fixture) {
    let relay = "entry-1".to_owned();
    fixture
        .term
        .handle_relay_failure(&relay, "gone", fixture.now.at);
    fixture.term.tick(fixture.now);
}

/// An answer of the worker that lists nothing, to a renewal under a grant of that time.
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
    }
}

fn submitted() -> Fixture {
    let mut fixture = with_relays();
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    fixture
}

/// Guards against start orders that are lost with the host that relays them: the run counted as
/// starting for ever, and its gang or stage never went on.
#[test]
fn start_orders_of_a_failed_relay_are_sent_through_another() {
    let mut fixture = submitted();
    assert_eq!(relay_of(&fixture), Some("entry-1"));
    assert_eq!(sent(&mut fixture).len(), 1);
    lose_first_relay(&mut fixture);
    assert_eq!(relay_of(&fixture), Some("entry-2"));
    let again = sent(&mut fixture);
    assert!(
        matches!(&again[..], [RelayedOrder { order: WorkerOrder::Start(start), .. }] if start.run == 1)
    );
}

/// Guards against a run that waits for ever for the outcome of its start order.
#[test]
fn a_start_without_an_outcome_is_repeated_then_stopped() {
    let mut fixture = submitted();
    assert_eq!(sent(&mut fixture).len(), 1);
    fixture.advance(REPEAT_TIME);
    make_contact(&mut fixture, "entry-1", false);
    fixture.term.tick(fixture.now);
    assert_eq!(sent(&mut fixture).len(), 1);
    fixture.advance(REPEAT_TIME);
    make_contact(&mut fixture, "entry-1", false);
    fixture.term.tick(fixture.now);
    fixture.commit_all();
    let stops = sent(&mut fixture);
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

/// Guards against two runs of a task: one relay's copy of a start order is refused while the copy
/// of a lost relay is carried out later.
#[test]
fn a_refused_copy_does_not_show_that_the_run_never_started() {
    let mut fixture = submitted();
    sent(&mut fixture);
    lose_first_relay(&mut fixture);
    assert_eq!(sent(&mut fixture).len(), 1);
    note(
        &mut fixture,
        "entry-2",
        start_answered(OrderOutcome::PermitInvalid),
    );
    let phase = fixture.term.runs[&task(0)].phase;
    assert!(matches!(phase, RunPhase::Stopping { .. }), "{phase:?}");
}

/// Guards against runs that end as absent, and workers that count as silent, by the word of a relay
/// that no longer serves them.
#[test]
fn reports_of_a_former_relay_are_ignored() {
    let mut fixture = submitted();
    sent(&mut fixture);
    note(&mut fixture, "entry-1", start_answered(OrderOutcome::Done));
    fixture.advance(Duration::from_millis(10));
    let failure = CallFailure::NoAnswer("cut off".to_owned());
    note(&mut fixture, "entry-2", RelayEventKind::Silent { failure });
    assert!(fixture.term.workers["w"].reachable);
    let empty = empty_list(&fixture, 60_000);
    note(&mut fixture, "entry-2", empty.clone());
    assert!(fixture.term.runs.contains_key(&task(0)));
    note(&mut fixture, "entry-1", empty);
    assert!(!fixture.term.runs.contains_key(&task(0)));
}

/// Guards against a run that ends as absent by a list that was read before the run was confirmed.
#[test]
fn a_list_older_than_the_start_does_not_end_the_run() {
    let mut fixture = submitted();
    sent(&mut fixture);
    fixture.advance(Duration::from_millis(500));
    note(&mut fixture, "entry-1", start_answered(OrderOutcome::Done));
    let listed = empty_list(&fixture, 100);
    note(&mut fixture, "entry-1", listed);
    assert!(fixture.term.runs.contains_key(&task(0)));
}

/// Guards against the placer's own host, or another storage host, taking the messages of all
/// workers while entry hosts have not made contact with a new placer yet.
#[test]
fn workers_wait_for_an_entry_host_as_relay() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    make_contact(&mut fixture, "10.0.0.1", true);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), None);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(sent(&mut fixture).len(), 0, "kept until there is a relay");
    fixture.advance(Duration::from_millis(800));
    make_contact(&mut fixture, "10.0.0.1", true);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), Some("10.0.0.1"));
    assert_eq!(sent(&mut fixture).len(), 1);
    make_contact(&mut fixture, "entry-1", false);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), Some("entry-1"));
}

/// Guards against a worker that is lost since one host cannot reach it.
#[test]
fn another_relay_tries_to_reach_a_silent_worker() {
    let mut fixture = with_relays();
    let failure = CallFailure::NoAnswer("cut off".to_owned());
    note(&mut fixture, "entry-1", RelayEventKind::Silent { failure });
    fixture.advance(Duration::from_millis(1_100));
    make_contact(&mut fixture, "entry-1", false);
    make_contact(&mut fixture, "entry-2", false);
    fixture.term.assign_relays(fixture.now.at);
    assert_eq!(relay_of(&fixture), Some("entry-2"));
}

/// Guards against two runs of a task: one relay could not reach the worker, and the run counted as
/// never started while the copy of its order that another relay held was carried out later.
#[test]
fn an_order_that_one_relay_could_not_send_may_be_sent_by_another() {
    let mut fixture = submitted();
    sent(&mut fixture);
    lose_first_relay(&mut fixture);
    assert_eq!(sent(&mut fixture).len(), 1);
    let unanswered = RelayEventKind::StartUnanswered {
        task: task(0),
        run: 1,
        may_have_arrived: false,
    };
    note(&mut fixture, "entry-2", unanswered);
    let phase = fixture.term.runs.get(&task(0)).map(|run| run.phase);
    assert!(
        matches!(phase, Some(RunPhase::Stopping { .. })),
        "{phase:?}"
    );
}

/// Guards against a lease that never lapses: a late answer of an earlier life set the clock of the
/// worker's new life, which begins anew, far ahead.
#[test]
fn answers_of_an_earlier_incarnation_are_ignored() {
    let mut fixture = submitted();
    sent(&mut fixture);
    let now = fixture.now;
    fixture.term.handle_heartbeat(heartbeat("w", 2, 1), now);
    fixture.term.assign_relays(now.at);
    let late = RelayEventKind::StartAnswered {
        task: task(0),
        run: 1,
        answer: OrderAnswer {
            outcome: OrderOutcome::Done,
            clock_ms: Some(480_000),
        },
    };
    note(&mut fixture, "entry-1", late);
    assert_eq!(fixture.term.workers["w"].clock, None);
}

/// Guards against a host that is given all workers at once since it makes contact first: their first
/// renewals take its processor for longer than it may be silent.
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

/// Guards against workers that all move to the placer's own host after a stall of the placer, in
/// which it handled no contact.
#[test]
fn a_short_silence_of_all_entry_hosts_moves_no_worker_to_storage_hosts() {
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

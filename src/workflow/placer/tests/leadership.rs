//! Tests the placer on a real replica: which periods of leadership begin a term.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;

use super::super::heartbeats::heard_other_leader_at;
use super::super::term::Term;
use super::super::{CallResponder, Committed, Placer, SendInstructions};
use super::fixture::{
    Fixture, JOB, address, configuration, heartbeat, settings, stage, unreachable_workers,
};
use crate::clock::Clock;
use crate::ids::Epoch;
use crate::replication::{Limits, Replica, ReplicaOptions, StorageOptions, Timing};
use crate::workflow::calls::{Call, HostContact, Reply, WorkerReport};
use crate::workflow::host::MAX_BATCH_BYTES;
use crate::workflow::queues::QueueAddress;
use crate::workflow::spec::WorkflowSpec;

/// Longest wait for an election of a single host, which takes a second.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a query reaches the lock of the committed state.
const QUERY_TIME: Duration = Duration::from_millis(300);

/// Starts the placer of a cell with one storage host, whose log refuses larger batches than the
/// limit.
fn start_placer(max_command_bytes: usize) -> (Arc<Placer>, Arc<Replica<()>>) {
    start_placer_with(Committed::default(), max_command_bytes, no_relays())
}

fn no_relays() -> SendInstructions {
    Arc::new(|_, _, _| Err("there are no relays".to_owned()))
}

/// Starts such a placer with a committed state and a connection to relays.
fn start_placer_with(
    committed: Committed,
    max_command_bytes: usize,
    send: SendInstructions,
) -> (Arc<Placer>, Arc<Replica<()>>) {
    let replica = Replica::start(ReplicaOptions {
        group: "workflows".to_owned(),
        host: settings().host,
        initial_voters: vec![settings().host],
        may_lead: true,
        storage: StorageOptions::Memory,
        clock: Clock::system(),
        timing: Timing::default(),
        limits: Limits {
            max_command_bytes,
            ..Limits::default()
        },
        seed: 1,
        send: Arc::new(|_, _, _| Err("there is no other host".to_owned())),
        machine: committed.machine(),
    });
    let replica = Arc::new(replica.expect("a replica in memory starts"));
    let placer = Placer::start(
        settings(),
        Clock::system(),
        Arc::clone(&replica),
        committed,
        unreachable_workers(),
        Arc::new(|host| panic!("no call to {host} is expected")),
        send,
    );
    (placer, replica)
}

fn await_placer(placer: &Placer, replica: &Replica<()>) -> Option<Epoch> {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !placer.is_leading() {
        assert!(Instant::now() < deadline, "no placer");
        thread::sleep(Duration::from_millis(5));
    }
    replica.leadership()
}

/// Sends a configuration with a document of the given size to the placer, and returns its reply.
fn replace_queues(placer: &Placer, document_bytes: usize) -> Option<Reply> {
    let mut replaced = configuration(1);
    replaced.document = vec![0; document_bytes];
    reply_to(placer, Call::ReplaceQueues(Box::new(replaced)))
}

fn reply_to(placer: &Placer, call: Call) -> Option<Reply> {
    let (sender, replies) = bounded(1);
    let responder = CallResponder::new(move |reply| {
        let _ = sender.send(reply);
    });
    placer.handle(&"10.0.0.2".to_owned(), call, responder);
    replies.recv_timeout(TEST_TIMEOUT).expect("a reply")
}

/// Guards against two terms in one epoch, whose reports, grants and batches would be taken for each
/// other's: a placer whose records cannot be appended drops its term while it still leads the log.
#[test]
fn a_term_that_could_not_append_is_followed_by_a_later_epoch() {
    let (placer, replica) = start_placer(1_000);
    let first = await_placer(&placer, &replica);
    assert_eq!(replace_queues(&placer, 2_000), Some(Reply::Unconfirmed));
    assert!(!placer.is_leading());
    assert!(await_placer(&placer, &replica) > first);
}

/// Guards against a cell without a placer for as long as a large configuration is sent to it again.
#[test]
fn a_configuration_of_the_largest_request_does_not_end_the_term() {
    let (placer, replica) = start_placer(MAX_BATCH_BYTES);
    let first = await_placer(&placer, &replica);
    let reply = replace_queues(&placer, 4 * 1024 * 1024);
    assert_eq!(reply, Some(Reply::QueuesReplaced));
    assert_eq!(await_placer(&placer, &replica), first);
}

/// Guards against effects of batches that another leader has replaced in the log: a term that
/// outlives its leadership, because the timer waits for the lock, appends further batches in a later
/// period of leadership of its host, and their commit releases the effects of all earlier batches.
#[test]
fn a_term_appends_nothing_in_a_later_epoch() {
    let (placer, replica) = start_placer(MAX_BATCH_BYTES);
    let first = await_placer(&placer, &replica).expect("a single voter keeps its lease");
    // The timer cannot end the term meanwhile.
    let mut guard = placer.lock();
    replica.resign(first);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while replica.leadership().is_none_or(|epoch| epoch == first) {
        assert!(Instant::now() < deadline, "no later epoch");
        thread::sleep(Duration::from_millis(5));
    }
    let term = guard.as_mut().expect("the term has not ended");
    assert_eq!(term.epoch, first);
    term.needs_commit = true;
    let now = placer.now();
    assert!(placer.flush(term, now).is_err());
}

/// Guards against a host that leads without placing anything: after a panic in one step, each
/// further step of the placer panicked too, since the lock of the term was poisoned.
#[test]
fn a_panic_in_a_step_ends_the_term_and_not_the_placer() {
    let (placer, replica) = start_placer(MAX_BATCH_BYTES);
    let first = await_placer(&placer, &replica);
    let panicking = Arc::clone(&placer);
    let step = thread::spawn(move || {
        panicking.with_term(None, |_, _| panic!("expected in this test"));
    });
    assert!(step.join().is_err());
    assert!(await_placer(&placer, &replica) > first);
    assert_eq!(replace_queues(&placer, 1), Some(Reply::QueuesReplaced));
}

/// Guards against a relay that receives no more instructions because no thread could be started for
/// it when the first ones were due.
#[test]
fn a_relay_without_sender_threads_receives_instructions_again() {
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    let send: SendInstructions = Arc::new(move |_, _, _| {
        counted.fetch_add(1, Ordering::AcqRel);
        Ok(())
    });
    let (placer, replica) = start_placer_with(Committed::default(), MAX_BATCH_BYTES, send);
    // The receivers of such a queue end with the threads that did not start.
    let (without_threads, _) = bounded(1);
    let mut senders = placer.relay_senders.lock().unwrap();
    senders.insert("entry-1".to_owned(), without_threads);
    drop(senders);
    await_placer(&placer, &replica);
    await_instructions(&placer, &sent, 1);
}

/// Guards against a relay that receives no more instructions because the threads that send them
/// have ended with a panic.
#[test]
fn a_thread_of_the_placer_continues_after_a_panic() {
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    let send: SendInstructions = Arc::new(move |_, _, _| {
        let earlier = counted.fetch_add(1, Ordering::AcqRel);
        assert!(earlier >= 3, "expected in this test");
        Ok(())
    });
    let (placer, replica) = start_placer_with(Committed::default(), MAX_BATCH_BYTES, send);
    await_placer(&placer, &replica);
    await_instructions(&placer, &sent, 5);
}

/// Waits until instructions to a relay were sent the given number of times.
fn await_instructions(placer: &Placer, sent: &AtomicUsize, wanted: usize) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while sent.load(Ordering::Acquire) < wanted {
        assert!(Instant::now() < deadline, "no instructions are sent");
        placer.with_term(None, |term, now| {
            term.handle_heartbeat(heartbeat("w", 1, 1), now);
            let contact = HostContact {
                host: "entry-1".to_owned(),
                data_centre: "lowell-yard".to_owned(),
                stores: false,
            };
            term.record_contact(contact, now.at);
            term.due_grants.insert("w".to_owned());
        });
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against runs that are started over the capacity of a worker: it shrank while the cell had
/// no placer, and answers the next one before its heartbeat arrives there.
#[test]
fn a_worker_receives_no_runs_before_its_first_heartbeat_after_an_outage() {
    let mut former = Fixture::new();
    former.announce("w");
    let committed = Committed::default();
    *committed.state.lock().unwrap() = former.term.state;
    let (placer, replica) = start_placer_with(committed, MAX_BATCH_BYTES, no_relays());
    await_placer(&placer, &replica);
    let runs = |placer: &Placer| placer.lock().as_ref().unwrap().runs.len();
    placer.with_term(None, |term, now| {
        let report = WorkerReport {
            incarnation: 1,
            clock_ms: 50_000,
            running: Vec::new(),
            ends: Vec::new(),
            complete: true,
        };
        term.handle_report(&"w".to_owned(), now.at, &report, now);
    });
    let call = Call::Submit {
        target: QueueAddress {
            host: "shop.example".to_owned(),
            path_prefix: format!("/plans/{JOB}"),
        },
        spec: Box::new(WorkflowSpec {
            payload: "plan".to_owned(),
            stages: vec![stage(4)],
            repetition: None,
        }),
    };
    assert_eq!(reply_to(&placer, call), Some(Reply::Accepted));
    placer.with_term(None, Term::schedule);
    assert_eq!(runs(&placer), 0, "the capacity is not known");

    let mut shrunk = heartbeat("w", 1, 2);
    shrunk.record.capacity.cpu_millis = 3_000;
    let call = Call::Heartbeat(Box::new(shrunk));
    assert_eq!(reply_to(&placer, call), Some(Reply::WorkerNoted));
    placer.with_term(None, Term::schedule);
    assert_eq!(runs(&placer), 3);
}

/// Guards against a worker that receives no runs after an outage although its heartbeats arrive:
/// they do not differ from its committed record, so that any storage host would acknowledge them.
#[test]
fn the_placer_receives_the_first_heartbeat_after_an_outage() {
    let mut former = Fixture::new();
    former.announce("w");
    let committed = Committed::default();
    *committed.state.lock().unwrap() = former.term.state;
    let (placer, replica) = start_placer_with(committed, MAX_BATCH_BYTES, no_relays());
    await_placer(&placer, &replica);
    let unchanged = |sequence| Call::Heartbeat(Box::new(heartbeat("w", 1, sequence)));
    assert_eq!(reply_to(&placer, unchanged(2)), Some(Reply::WorkerNoted));
    let state = placer.committed.state.lock().unwrap().clone();
    assert_eq!(state.heartbeat_sequences["w"], 2, "the placer recorded it");
    assert_eq!(reply_to(&placer, unchanged(3)), Some(Reply::WorkerNoted));
    let state = placer.committed.state.lock().unwrap().clone();
    assert_eq!(state.heartbeat_sequences["w"], 2, "later ones stay local");
}

/// Guards against a placer that takes over after an outage as if it had just heard of a leader: a
/// restarted replica reports its start as a contact, and names itself as the leader once it is
/// elected, before it leads.
#[test]
fn an_election_is_no_contact_with_a_leader() {
    let (_placer, replica) = start_placer(MAX_BATCH_BYTES);
    let host = settings().host;
    let mut status = replica.status();
    status.heard_leader_at = Some(Instant::now());
    status.leader = None;
    assert_eq!(heard_other_leader_at(&status, &host), None);
    status.leader = Some(host.clone());
    assert_eq!(heard_other_leader_at(&status, &host), None);
    status.leader = Some("10.0.0.2".to_owned());
    let heard_at = status.heard_leader_at;
    assert_eq!(heard_other_leader_at(&status, &host), heard_at);
}

/// Guards against a refusal by a placer that was paused after the check of its leadership, while
/// another one leads and may have accepted the job.
#[test]
fn a_reply_without_a_commit_is_not_sent_after_the_leadership_has_ended() {
    let (placer, replica) = start_placer(MAX_BATCH_BYTES);
    let first = await_placer(&placer, &replica).expect("a single voter keeps its lease");
    replace_queues(&placer, 0);
    let (sender, replies) = bounded(1);
    let responder = CallResponder::new(move |reply| {
        let _ = sender.send(reply);
    });
    placer.with_term(Some(first), |term, now| {
        replica.resign(first);
        let unknown_queue = QueueAddress {
            host: "other.example".to_owned(),
            path_prefix: format!("/plans/{JOB}"),
        };
        term.handle_call(Call::Cancel(unknown_queue), responder, now);
    });
    let reply = replies.recv_timeout(TEST_TIMEOUT).expect("a reply");
    assert_eq!(reply, Some(Reply::Unconfirmed));
}

/// Guards against a query that is answered from an old state: the placer was paused after the check of
/// its leadership, while another one leads and has accepted the job.
#[test]
fn a_query_is_not_answered_after_the_leadership_has_ended() {
    let (placer, replica) = start_placer(MAX_BATCH_BYTES);
    let first = await_placer(&placer, &replica).expect("a single voter keeps its lease");
    replace_queues(&placer, 0);
    // The query waits here, after the check of the leadership.
    let state = placer.committed.state.lock().unwrap();
    let querying = Arc::clone(&placer);
    let query = thread::spawn(move || reply_to(&querying, Call::Query(address(JOB))));
    thread::sleep(QUERY_TIME);
    replica.resign(first);
    drop(state);
    assert_eq!(query.join().unwrap(), None);
}

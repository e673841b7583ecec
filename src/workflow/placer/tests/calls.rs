//! Tests of the calls of callers, workers and operators.

use std::time::Duration;

use crossbeam::channel::unbounded;

use super::super::CallResponder;
use super::super::term::Effect;
use super::fixture::*;
use crate::workflow::calls::{Call, CallFailure, HostContact, OrderOutcome, PolicyAnswer, Reply};
use crate::workflow::queues::QueueAddress;
use crate::workflow::records::Record;
use crate::workflow::spec::WorkflowSpec;

/// Guards against a late departure call of a former incarnation that ends the runs of the current
/// one, whose tasks would then run twice.
#[test]
fn a_departure_ends_runs_once_the_port_is_closed() {
    let mut fixture = Fixture::running_on_w();
    fixture.call(Call::WorkerLeaves("w".to_owned()));
    fixture.report("w", vec![listed(0, 1)], vec![]);
    assert!(fixture.term.runs.contains_key(&task(0)));
    fixture.fail_to_answer("w", &CallFailure::NoAnswer("timeout".to_owned()));
    assert!(fixture.term.runs.contains_key(&task(0)));
    fixture.fail_to_answer("w", &CallFailure::PortClosed);
    assert!(!fixture.term.runs.contains_key(&task(0)));
    assert!(!fixture.term.workers.contains_key("w"));
}

/// Guards against a machine that is given up for good: a late departure call of its former
/// incarnation arrived after the restart under the same id.
#[test]
fn a_worker_that_answers_after_a_departure_call_receives_work_again() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.call(Call::WorkerLeaves("w".to_owned()));
    fixture.report("w", vec![], vec![]);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 0, "the worker may be about to leave");
    for _ in 0..10 {
        fixture.advance(Duration::from_secs(1));
        fixture.report("w", vec![], vec![]);
    }
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 1);
}

/// Guards against the effects of late heartbeats: from a former process at the same address, and
/// earlier ones from the same process.
#[test]
fn late_heartbeats_change_nothing() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    let mut former = heartbeat("former", 0, 9);
    former.record.address = "w:80".to_owned();
    fixture.term.handle_heartbeat(former, fixture.now);
    assert!(!fixture.term.workers.contains_key("former"));
    let mut draining = heartbeat("w", 1, 5);
    draining.record.draining = true;
    fixture.term.handle_heartbeat(draining, fixture.now);
    fixture
        .term
        .handle_heartbeat(heartbeat("w", 1, 4), fixture.now);
    assert!(fixture.term.workers["w"].record.draining);
}

/// Guards against runs placed on a worker that is draining, is unreachable or has not answered in
/// this term.
#[test]
fn only_reachable_workers_that_are_not_draining_receive_work() {
    let mut fixture = Fixture::new();
    fixture
        .term
        .handle_heartbeat(heartbeat("new", 1, 1), fixture.now);
    fixture.announce("silent");
    fixture.fail_to_answer("silent", &CallFailure::NoAnswer("cut off".to_owned()));
    fixture.announce("draining");
    let mut draining = heartbeat("draining", 1, 5);
    draining.record.draining = true;
    fixture.term.handle_heartbeat(draining, fixture.now);
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 0);
    fixture.announce("w");
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(fixture.orders[0].worker, "w");
}

/// Guards against a second job with the same name, and against a submission that is confirmed
/// before its acceptance is committed.
#[test]
fn a_repeated_submission_is_one_job() {
    let mut fixture = Fixture::new();
    let before = fixture.replies;
    fixture.submit(vec![stage(1)]);
    let first = fixture.finish_step().unwrap();
    fixture.submit(vec![stage(4)]);
    let second = fixture.finish_step().unwrap();
    assert_eq!(fixture.replies, before);
    fixture.commit(first);
    fixture.commit(second);
    assert_eq!(fixture.replies, before + 2);
    assert_eq!(fixture.term.state.jobs[JOB].spec.stages[0].task_count, 1);
}

/// Guards against jobs that are rejected right after a take-over, when few workers have answered
/// yet and the backlog seems long for their capacity (hunt-62ec-3: retry after 5.6 s with most of
/// the cell free).
#[test]
fn workers_without_an_answer_in_this_term_count_as_capacity() {
    let mut fixture = Fixture::new();
    for worker in ["a", "b", "c", "d"] {
        fixture.announce(worker);
    }
    fixture.submit(vec![stage(60)]);
    fixture.commit_all();
    let mut successor = Fixture::with_state(fixture.term.state);
    successor.report("a", vec![], vec![]);
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
    successor.call(call);
    let effects = std::mem::take(&mut successor.term.effects);
    let accepted = |effect: &Effect| matches!(effect, Effect::Reply(_, Reply::Accepted));
    assert!(effects.iter().any(accepted));
}

/// Guards against an older configuration that replaces a newer one, and against an invalid
/// configuration that is acknowledged.
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

/// Guards against a count of waiting jobs that omits jobs whose runs were placed on workers that
/// were cut off and never started them (MIXED on mix --seed 4108665479 of the Authority: 1 job was
/// reported as waiting, 7 were).
#[test]
fn jobs_whose_runs_are_not_confirmed_still_wait() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![stage(2)]);
    fixture.commit_all();
    assert_eq!(fixture.term.unconfirmed_runs()[JOB], 2);
    assert_eq!(fixture.term.state.jobs[JOB].begun_tasks(), 2);
    fixture.answer_starts(OrderOutcome::Done);
    assert!(fixture.term.unconfirmed_runs().is_empty());

    let mut successor = Fixture::with_state(fixture.term.state);
    assert_eq!(successor.term.unconfirmed_runs()[JOB], 2);
    successor.report("w", vec![listed(0, 1), listed(1, 1)], vec![]);
    assert!(successor.term.unconfirmed_runs().is_empty());
}

/// Guards against an answer of the placement policy that still excludes a worker after its restart,
/// although the new incarnation may differ in labels or capacity.
#[test]
fn policy_answers_apply_to_one_incarnation_of_a_worker() {
    let mut fixture = Fixture::new();
    fixture.submit(vec![stage(1)]);
    let key = task(0).stage;
    let stages = &mut fixture.term.stages;
    stages[&key]
        .permits
        .record(&["w".to_owned()], &[], fixture.now.at);
    fixture.announce("w");
    assert!(fixture.term.stages[&key].permits.is_denied("w"));
    fixture
        .term
        .handle_heartbeat(heartbeat("w", 2, 1), fixture.now);
    assert!(!fixture.term.stages[&key].permits.is_known("w"));
}

/// Guards against an answer of the placement policy about an incarnation that ended while the question
/// was in flight: its permit is used for the next one, or its refusal excludes the next one for ever.
#[test]
fn an_answer_that_was_in_flight_at_a_restart_says_nothing_about_the_worker() {
    let mut fixture = Fixture::with_policy(400.0, 6.0);
    let contact = HostContact {
        host: "10.0.0.1".to_owned(),
        data_centre: "lowell-yard".to_owned(),
        stores: true,
    };
    fixture.term.record_contact(contact, fixture.now.at);
    fixture.announce("v");
    fixture.announce("w");
    fixture.submit_without_pass(JOB, vec![stage(8)]);
    let questions = fixture.term.schedule(fixture.now);
    assert_eq!(questions[0].workers.len(), 2);
    fixture
        .term
        .handle_heartbeat(heartbeat("w", 2, 1), fixture.now);
    let granted = ["v", "w"].map(|id| (id.to_owned(), "permit".to_owned()));
    let answer = PolicyAnswer {
        granted: granted.to_vec(),
        validity_ms: Some(2_000),
    };
    let (now, sent_at) = (fixture.now, questions[0].decided_at);
    fixture
        .term
        .handle_policy_answer(&questions[0], sent_at, Ok(answer), now);
    let permits = &fixture.term.stages[&task(0).stage].permits;
    assert!(permits.was_granted("v"));
    assert!(!permits.is_known("w"));
}

/// Guards against calls that still wait for commits of a term that has ended, while their hosts
/// could already repeat them at the next placer.
#[test]
fn calls_are_answered_when_their_term_ends() {
    let mut fixture = Fixture::new();
    let (sender, replies) = unbounded();
    for _ in 0..3 {
        let sender = sender.clone();
        let responder = CallResponder::new(move |reply| sender.send(reply).unwrap());
        let call = Call::ReplaceQueues(Box::new(configuration(4)));
        fixture.term.handle_call(call, responder, fixture.now);
        fixture.finish_step();
    }
    let responder = CallResponder::new(move |reply| sender.send(reply).unwrap());
    fixture
        .term
        .handle_call(Call::ReadQueues, responder, fixture.now);
    assert!(replies.is_empty());
    drop(fixture);
    let replies: Vec<Option<Reply>> = replies.iter().collect();
    assert_eq!(replies, vec![Some(Reply::Unconfirmed); 4]);
}

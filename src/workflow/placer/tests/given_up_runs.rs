//! Tests of runs that the placer took for over and whose worker lists them as done afterwards.

use std::time::Duration;

use super::super::term::LiveStage;
use super::capacity::gang;
use super::claims::step;
use super::fixture::*;
use super::permits::permit_until;
use crate::workflow::calls::{Call, CallFailure, OrderOutcome, PolicyAnswer};
use crate::workflow::records::RunOutcome;
use crate::workflow::spec::StageSpec;
use crate::workflow::state::JobPhase;

/// Runs the first stage on the worker `w`, which is then silent until its lease has expired and its runs
/// are given up.
fn given_up_on_w(stages: Vec<StageSpec>) -> Fixture {
    let tasks = stages[0].task_count;
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(stages);
    fixture.commit_all();
    fixture.answer_starts(OrderOutcome::Done);
    let running = (0..tasks).map(|index| listed(index, 1));
    fixture.report("w", running.collect(), vec![]);
    while !fixture.term.runs.is_empty() {
        fixture.fail_to_answer("w", &CallFailure::NoAnswer("cut off".to_owned()));
        step(&mut fixture);
    }
    fixture
}

/// Lets the worker `w` list an end as done, and runs some passes.
fn list_as_done(fixture: &mut Fixture, number: u64, index: u32, run: u32) {
    let end = listed_end(number, index, run, RunOutcome::Succeeded);
    fixture.report("w", vec![], vec![end]);
    fixture.commit_all();
    for _ in 0..10 {
        step(fixture);
        fixture.commit_all();
    }
}

/// Guards against finished work that runs again: a run was given up with the lease of its worker, which
/// lists its end as done while the task waits for its next run. The other task still needs one.
#[test]
fn a_given_up_run_that_is_done_does_not_run_again() {
    let mut fixture = given_up_on_w(vec![stage(2)]);
    list_as_done(&mut fixture, 1, 0, 1);
    let runs: Vec<_> = fixture.term.runs.values().map(|run| run.run).collect();
    assert_eq!(runs, [2]);
    assert!(!fixture.term.runs.contains_key(&task(0)));
    list_as_done(&mut fixture, 2, 1, 2);
    assert_eq!(fixture.phase(), JobPhase::Completed);
}

/// Guards against waiting work that counts for good after a run that was given up has succeeded. The
/// success of one member of a gang is that of all.
#[test]
fn a_given_up_gang_that_is_done_leaves_nothing_behind() {
    let mut fixture = given_up_on_w(vec![gang(2), stage(1)]);
    list_as_done(&mut fixture, 1, 1, 1);
    let stage = fixture.term.state.jobs[JOB].stage(&task(0).stage).unwrap();
    assert!(stage.is_complete());
    assert!(!fixture.term.stages.contains_key(&task(0).stage));
    let runs = fixture.term.runs.keys().map(|key| key.stage.stage);
    assert_eq!(runs.collect::<Vec<_>>(), [1]);
    assert_eq!(fixture.term.waiting_work.before_ms(u32::MAX), 0);
}

/// Guards against a task that counts as done although none of its runs has begun: a worker that was cut off
/// lists the end of a job that was forgotten, and a later job has its name.
#[test]
fn an_end_of_a_forgotten_job_ends_no_task_of_a_later_one() {
    let mut fixture = given_up_on_w(vec![stage(1)]);
    fixture.call(Call::Cancel(address(JOB)));
    fixture.commit_all();
    while fixture.term.state.jobs.contains_key(JOB) {
        fixture.advance(Duration::from_secs(1));
        step(&mut fixture);
    }
    fixture.announce("v");
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    fixture.answer_starts(OrderOutcome::NoRoom);
    fixture.commit_all();
    assert!(fixture.term.runs.is_empty());
    fixture.announce("w");
    list_as_done(&mut fixture, 1, 0, 1);
    assert_ne!(
        fixture.phase(),
        JobPhase::Completed,
        "no run of this job has begun"
    );
}

/// Guards against a start of a task that has succeeded meanwhile, and against waiting work that counts for
/// good, while a question to the policy is in flight.
#[test]
fn a_question_in_flight_starts_no_task_that_succeeded_meanwhile() {
    for ended in [1_u32, 2] {
        let mut fixture = Fixture::with_policy(10.0, 0.1);
        fixture.announce("w");
        fixture.contact_entry_hosts(2);
        fixture.submit_without_pass(JOB, vec![stage(2)]);
        fixture.commit_all();
        let expires_at = fixture.now.at + Duration::from_secs(1);
        permit_until(&mut fixture, "w", expires_at);
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        assert_eq!(fixture.starts(), 2);
        fixture.answer_starts(OrderOutcome::Done);
        fixture.report("w", vec![listed(0, 1), listed(1, 1)], vec![]);
        while !fixture.term.runs.is_empty() {
            fixture.fail_to_answer("w", &CallFailure::NoAnswer("cut off".to_owned()));
            fixture.advance(Duration::from_millis(100));
            fixture.term.tick(fixture.now);
            fixture.commit_all();
        }
        fixture.contact_entry_hosts(2);
        fixture.announce("v");
        let questions = fixture.term.schedule(fixture.now);
        assert_eq!(questions.len(), 1);
        let sent_at = fixture.now.at;
        fixture.advance(Duration::from_millis(20));
        let ends = (0..ended)
            .map(|index| listed_end(u64::from(index) + 1, index, 1, RunOutcome::Succeeded));
        fixture.report("w", vec![], ends.collect());
        fixture.commit_all();
        let answer = PolicyAnswer {
            granted: vec![("v".to_owned(), "permit".to_owned())],
            validity_ms: None,
        };
        let now = fixture.now;
        let next = fixture
            .term
            .handle_policy_answer(&questions[0], sent_at, Ok(answer), now);
        fixture.commit_all();
        assert!(next.is_empty());
        let runs: Vec<_> = fixture.term.runs.keys().map(|key| key.index).collect();
        assert_eq!(runs, (ended..2).collect::<Vec<_>>());
        assert_eq!(fixture.term.waiting_work.before_ms(u32::MAX), 0);
        let reserved: usize = fixture
            .term
            .stages
            .values()
            .map(LiveStage::reserved_tasks)
            .sum();
        assert_eq!(reserved, 0);
    }
}

/// Guards against finished work that runs again: the run that followed the one that was given up never
/// started, and the task waits again when the end of the first one is listed.
#[test]
fn a_given_up_run_that_is_done_counts_after_a_later_run_that_never_started() {
    let mut fixture = given_up_on_w(vec![stage(1)]);
    fixture.announce("v");
    step(&mut fixture);
    fixture.answer_starts(OrderOutcome::NoRoom);
    fixture.commit_all();
    assert!(fixture.term.runs.is_empty());
    list_as_done(&mut fixture, 1, 0, 1);
    let runs: Vec<_> = fixture.term.runs.values().map(|run| run.run).collect();
    assert_eq!(runs, [] as [u32; 0]);
    assert_eq!(fixture.phase(), JobPhase::Completed);
}

/// Guards against finished work that runs again: one list shows the end as done of a former run and that
/// the latest one never began.
#[test]
fn a_list_with_the_end_of_a_former_run_and_without_the_latest_one_ends_the_task() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![stage(1)]);
    fixture.commit_all();
    fixture.restart("w");
    fixture.advance(Duration::from_millis(20));
    fixture.report("w", vec![], vec![]);
    fixture.commit_all();
    step(&mut fixture);
    assert_eq!(fixture.term.runs[&task(0)].run, 2);
    fixture.fail_to_answer("w", &CallFailure::OtherIncarnation);
    fixture
        .term
        .handle_heartbeat(heartbeat("w", 3, 1), fixture.now);
    fixture.advance(Duration::from_millis(20));
    list_as_done(&mut fixture, 1, 0, 1);
    assert_eq!(fixture.phase(), JobPhase::Completed);
    assert!(fixture.term.runs.is_empty());
}

//! Tests of the running sums over the backlog and of the admission of jobs.

use std::time::Duration;

use super::fixture::{Fixture, stage};
use super::grown_cell::SimulatedCell;
use crate::workflow::calls::Call;
use crate::workflow::decisions::ranking::{self, Usefulness};
use crate::workflow::placer::Now;
use crate::workflow::placer::term::Term;
use crate::workflow::queues::QueueAddress;
use crate::workflow::spec::{Repetition, StageKey, WorkflowSpec};

/// Recomputes the declared work of waiting tasks of a priority and of all more urgent ones from the
/// stages, in milliseconds of one core.
fn recount_ms(term: &Term, priority: u32, now: std::time::Instant) -> u64 {
    let mut work = 0;
    for (key, stage) in &term.stages {
        let job = &term.state.jobs[&key.job];
        let too_late = ranking::usefulness(&term.waiting(stage), now) == Usefulness::TooLate;
        if job.queue.priority > priority || too_late {
            continue;
        }
        let spec = &job.spec.stages[key.stage as usize];
        let tasks = stage.waiting.len() as u64;
        work += tasks * spec.estimate_ms * spec.ledger_amount().cpu_millis;
    }
    work / 1_000
}

/// Guards against a running sum of the waiting work that differs from the sum over the stages. The
/// running sum exists because each submission, also a rejected one, scanned the whole backlog.
#[test]
fn the_waiting_work_is_that_of_the_stages() {
    let mut cell = SimulatedCell::new(20, 4.0);
    let mut was_too_late = false;
    for round in 0..60 {
        cell.run(Duration::from_millis(500));
        if round % 10 == 9 {
            let running = cell.fixture.term.runs.keys().next().cloned().unwrap();
            let now = cell.fixture.now;
            cell.fixture.term.stop_job(&running.stage.job, now.at);
        }
        let now = cell.fixture.now;
        cell.fixture.term.schedule(now);
        let term = &cell.fixture.term;
        was_too_late |= term.stages.values().any(|stage| stage.too_late);
        for priority in 0..3 {
            let counted = recount_ms(term, priority, now.at);
            assert_eq!(
                term.waiting_work.before_ms(priority),
                counted,
                "round {round}"
            );
        }
    }
    assert!(was_too_late, "the overload made no job too late");
}

/// Guards against a repeated job whose later occurrences never begin, also after a take-over, and
/// against a scan of all jobs in each tick.
#[test]
fn open_repeated_jobs_are_indexed() {
    let mut fixture = Fixture::new();
    fixture.announce("w");
    fixture.submit(vec![stage(1)]);
    let spec = WorkflowSpec {
        payload: "plan".to_owned(),
        stages: vec![stage(1)],
        repetition: Some(Repetition {
            count: 3,
            first_due_unix_ms: fixture.now.unix_ms,
            interval_ms: 1_000,
        }),
    };
    let target = |job: &str| QueueAddress {
        host: "shop.example".to_owned(),
        path_prefix: format!("/plans/{job}"),
    };
    for job in ["repeated", "cancelled"] {
        let spec = Box::new(spec.clone());
        let target = target(job);
        fixture.call(Call::Submit { target, spec });
    }
    fixture.call(Call::Cancel(target("cancelled")));
    fixture.commit_all();
    fixture.term.tick(fixture.now);
    assert!(fixture.term.repeated_jobs.iter().eq(["repeated"]));
    let mut fixture = Fixture::with_state(fixture.term.state);
    assert!(fixture.term.repeated_jobs.iter().eq(["repeated"]));
    fixture.advance(Duration::from_millis(1_500));
    fixture.term.tick(fixture.now);
    let stages = fixture.term.stages.keys();
    let begun = stages.filter(|key| key.job == "repeated").count();
    assert_eq!(begun, 2);
}

/// Guards against a backlog that grows without bound under a lasting overload, because new jobs are
/// not rejected.
#[test]
fn a_lasting_overload_is_refused_once_waiting_is_of_no_use() {
    let mut cell = SimulatedCell::new(20, 8.0);
    let mut waiting = Vec::new();
    for _ in 0..4 {
        cell.run(Duration::from_secs(15));
        let stages = cell.fixture.term.stages.iter();
        let keys = stages.filter(|(_, stage)| !stage.waiting.is_empty());
        let keys: Vec<&StageKey> = keys.map(|(key, _)| key).collect();
        waiting.push(keys.len());
    }
    let accepted = cell.fixture.term.state.jobs.len();
    assert!(accepted < cell.submitted);
    assert!(waiting[3] <= waiting[1] * 3 / 2, "{waiting:?} stages wait");
}

/// Returns the gangs that could start if the policy renewed their permits, and are not asked about.
fn gangs_that_wait_for_their_turn(term: &Term, now: Now) -> Vec<StageKey> {
    let mut found = Vec::new();
    for (key, stage) in &term.stages {
        if !stage.needs.gang || !stage.all_tasks_wait() {
            continue;
        }
        let needs = term.gang_needs(key, 0, now).unwrap();
        if needs.granted_room >= needs.tasks && needs.reserved == 0 && !needs.question_pending {
            found.push(key.clone());
        }
    }
    found
}

/// Guards against accepted gangs that wait after the end of a burst although they have room: three
/// of them at a time had their permits renewed, whatever the size of the cell (LOST on scale-2 of
/// tuul-orders-grown).
#[test]
fn gangs_with_room_wait_only_for_the_policy_after_a_burst() {
    let mut cell = SimulatedCell::new(350, 2.0);
    cell.run(Duration::from_secs(20));
    cell.end_arrivals();
    let mut before: Vec<StageKey> = Vec::new();
    for _ in 0..40 {
        cell.run(Duration::from_millis(500));
        let Fixture { term, now, .. } = &cell.fixture;
        let mut found = gangs_that_wait_for_their_turn(term, *now);
        if term.questions.any_refused() {
            // Their turn comes once a host can call the policy.
            found.clear();
        }
        let longer = found.iter().filter(|key| before.contains(*key)).count();
        assert_eq!(longer, 0, "gangs with room are not asked about");
        before = found;
    }
}

//! Sums over the backlog.

use std::time::Duration;

use super::grown_cell::GrownCell;
use crate::workflow::decisions::ranking::{self, Usefulness};
use crate::workflow::placer::term::Term;

/// Declared work of waiting tasks up to a priority, counted anew.
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

/// Guards against a sum of the waiting work that drifts from the stages: each submission walked the
/// whole backlog, also the ones that were refused because of its length.
#[test]
fn the_waiting_work_is_that_of_the_stages() {
    let mut cell = GrownCell::new(20, 4.0);
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

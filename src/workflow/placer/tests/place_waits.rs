//! Tests of waits for room near the data or on one rack, in a light, a full and an overloaded cell.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::fixture::*;
use crate::workflow::calls::OrderOutcome;
use crate::workflow::records::RunOutcome;
use crate::workflow::spec::{StageKey, StageSpec, TaskKey};

const FILLER: &str = "00c0ffee000000f1";
const SECOND_FILLER: &str = "00c0ffee000000f2";
const FACTOR: f64 = 2.0;

fn key(job: &str) -> StageKey {
    StageKey {
        job: job.to_owned(),
        occurrence: 0,
        stage: 0,
    }
}

fn in_rack(rack: &str, tasks: u32) -> StageSpec {
    StageSpec {
        data_rack: Some(rack.to_owned()),
        ..stage(tasks)
    }
}

fn one_rack_gang(members: u32) -> StageSpec {
    StageSpec {
        gang: true,
        prefers_one_rack: true,
        ..stage(members)
    }
}

fn announce_in(fixture: &mut Fixture, id: &str, rack: &str) {
    let mut beat = heartbeat(id, 1, 1);
    beat.record.labels = vec![rack.to_owned()];
    fixture.term.handle_heartbeat(beat, fixture.now);
    fixture.report(id, Vec::new(), Vec::new());
    fixture.commit_all();
}

/// A cell with a worker `n` on the rack `r1` and a worker `f` on `r2`, for four tasks each.
fn cell(factor: Option<f64>) -> Fixture {
    let mut fixture = Fixture::new();
    fixture.term.settings.remote_factor = factor;
    announce_in(&mut fixture, "n", "r1");
    announce_in(&mut fixture, "f", "r2");
    fixture
}

/// Commits the placements; all workers confirm the starts and report.
fn start(fixture: &mut Fixture) {
    fixture.commit_all();
    fixture.answer_starts(OrderOutcome::Done);
    fixture.commit_all();
    hear(fixture);
}

fn hear(fixture: &mut Fixture) {
    let workers: Vec<_> = fixture.term.workers.keys().cloned().collect();
    let clock_ms = fixture.clock_ms();
    for worker in workers {
        fixture.term.record_clock(&worker, clock_ms, fixture.now.at);
    }
}

fn pass_after(fixture: &mut Fixture, time: Duration) {
    fixture.advance(time);
    fixture.term.passes.changed = true;
    fixture.term.schedule(fixture.now);
}

/// Ends all runs of a job.
fn finish(fixture: &mut Fixture, job: &str) {
    let tasks: Vec<TaskKey> = fixture.term.runs.keys().cloned().collect();
    for task in tasks.iter().filter(|task| task.stage.job == job) {
        let now = fixture.now;
        fixture
            .term
            .finish_run(task, RunOutcome::Succeeded, String::new(), now);
    }
}

/// Returns the workers of the runs of a job.
fn workers_of(fixture: &Fixture, job: &str) -> Vec<String> {
    let runs = fixture.term.runs.iter();
    let runs = runs.filter(|(task, _)| task.stage.job == job);
    runs.map(|(_, run)| run.worker.clone()).collect()
}

fn free_millis(fixture: &Fixture, worker: &str) -> u64 {
    let index = fixture.term.workers[worker].index;
    fixture.term.ledger.free(index).cpu_millis
}

/// Creates a cell whose near worker is full with tasks that were started 0.7 s ago and take a second.
fn full_rack(factor: Option<f64>) -> Fixture {
    let mut fixture = cell(factor);
    fixture.submit_as(FILLER, vec![in_rack("r1", 4)]);
    start(&mut fixture);
    assert_eq!(workers_of(&fixture, FILLER), ["n"; 4]);
    fixture.advance(Duration::from_millis(700));
    hear(&mut fixture);
    fixture
}

/// Guards against a wait although there is room near the data, and against an effect on stages that
/// name no rack or on cells without a factor.
#[test]
fn nothing_waits_in_a_light_cell_or_without_a_rack_or_a_factor() {
    let mut fixture = cell(Some(FACTOR));
    fixture.submit(vec![in_rack("r1", 4)]);
    assert_eq!(workers_of(&fixture, JOB), ["n"; 4]);
    assert!(fixture.term.place_waits.is_empty());

    let mut fixture = full_rack(Some(FACTOR));
    fixture.submit(vec![stage(2)]);
    assert_eq!(workers_of(&fixture, JOB), ["f"; 2]);
    assert!(fixture.term.place_waits.is_empty());

    let mut fixture = full_rack(None);
    fixture.submit(vec![in_rack("r1", 2)]);
    assert_eq!(workers_of(&fixture, JOB), ["f"; 2]);
    assert!(fixture.term.place_waits.is_empty());
}

/// Guards against a start elsewhere although room near the data is free sooner than the time that it
/// saves, and against room that a waiting stage holds.
#[test]
fn a_stage_waits_for_a_rack_that_is_free_soon_and_holds_nothing() {
    let mut fixture = full_rack(Some(FACTOR));
    fixture.submit(vec![in_rack("r1", 2)]);
    assert!(workers_of(&fixture, JOB).is_empty());
    assert_eq!(fixture.term.place_waits[&key(JOB)].rack, "r1");
    assert_eq!(free_millis(&fixture, "f"), 4_000);
    pass_after(&mut fixture, Duration::from_millis(300));
    finish(&mut fixture, FILLER);
    fixture.term.schedule(fixture.now);
    assert_eq!(workers_of(&fixture, JOB), ["n"; 2]);
    assert!(fixture.term.place_waits.is_empty());
}

/// Guards against a wait without end when the runs near the data take longer than expected.
#[test]
fn a_stage_starts_elsewhere_at_its_deadline() {
    let mut fixture = full_rack(Some(FACTOR));
    let submitted_at = fixture.now.at;
    fixture.submit(vec![in_rack("r1", 1)]);
    let until = fixture.term.place_waits[&key(JOB)].until;
    let saved = Duration::from_millis(1_000);
    assert!(until > submitted_at && until <= submitted_at + saved);
    while workers_of(&fixture, JOB).is_empty() {
        assert!(fixture.now.at <= until, "the stage waits past its deadline");
        hear(&mut fixture);
        pass_after(&mut fixture, Duration::from_millis(100));
    }
    assert_eq!(workers_of(&fixture, JOB), ["f"]);
    assert!(fixture.term.place_waits.is_empty());
}

/// Guards against a wait on the word of workers that have not reported: a partition of the rack. The
/// same stage waits when they have.
#[test]
fn a_stale_forecast_allows_no_wait() {
    for (reported, waits) in [(true, true), (false, false)] {
        let mut fixture = cell(Some(1.6));
        let long = |rack, estimate_ms| StageSpec {
            estimate_ms,
            ..in_rack(rack, 1)
        };
        let mut filler = long("r1", 3_500);
        filler.resources.cpu_millis = 4_000;
        fixture.submit_as(FILLER, vec![filler]);
        start(&mut fixture);
        fixture.advance(Duration::from_millis(2_100));
        if reported {
            hear(&mut fixture);
        }
        fixture.submit(vec![long("r1", 3_000)]);
        assert_eq!(workers_of(&fixture, JOB).is_empty(), waits, "{reported}");
    }
}

/// Guards against a wait that makes a job miss its objective.
#[test]
fn an_objective_that_is_near_allows_no_wait() {
    let mut fixture = full_rack(Some(FACTOR));
    fixture.submit_without_pass(JOB, vec![in_rack("r1", 1)]);
    // The objective is 3 s. A start elsewhere takes 2.35 s, and the rack is free in 0.3 s.
    fixture.term.stages[&key(JOB)].due_at -= Duration::from_millis(200);
    fixture.term.schedule(fixture.now);
    assert_eq!(workers_of(&fixture, JOB), ["f"]);
}

/// Guards against stages that all wait for the same room: only as many wait as the rack frees in time,
/// the others start elsewhere at once.
#[test]
fn no_more_stages_wait_than_the_rack_has_room_for() {
    let mut fixture = full_rack(Some(FACTOR));
    announce_in(&mut fixture, "g", "r2");
    hear(&mut fixture);
    for number in 0..8 {
        fixture.submit_as(&format!("{number:016x}"), vec![in_rack("r1", 1)]);
    }
    assert_eq!(fixture.term.place_waits.len(), 4);
    let elsewhere = fixture.term.runs.values();
    let elsewhere = elsewhere.filter(|run| run.worker != "n");
    assert_eq!(elsewhere.count(), 4);
}

/// Guards against a gang that is spread over racks although one rack has room for it soon.
#[test]
fn a_gang_waits_for_the_rack_that_is_free_first() {
    for factor in [None, Some(FACTOR)] {
        let mut fixture = cell(factor);
        fixture.submit_as(FILLER, vec![in_rack("r1", 2)]);
        fixture.submit_as(SECOND_FILLER, vec![in_rack("r2", 2)]);
        start(&mut fixture);
        fixture.advance(Duration::from_millis(700));
        hear(&mut fixture);
        fixture.submit(vec![one_rack_gang(4)]);
        if factor.is_none() {
            assert_eq!(workers_of(&fixture, JOB).len(), 4);
            continue;
        }
        assert!(workers_of(&fixture, JOB).is_empty());
        assert!(fixture.term.stages[&key(JOB)].reservations.is_empty());
        pass_after(&mut fixture, Duration::from_millis(300));
        assert!(workers_of(&fixture, JOB).is_empty());
        finish(&mut fixture, SECOND_FILLER);
        fixture.term.schedule(fixture.now);
        assert_eq!(workers_of(&fixture, JOB), ["f"; 4]);
    }
}

/// Guards against a gang that prefers one rack and never starts in an overloaded cell, since smaller
/// stages take all room that becomes free.
#[test]
fn a_gang_that_has_no_room_anywhere_gathers_it() {
    for (factor, gathers) in [(None, false), (Some(FACTOR), true)] {
        let mut fixture = cell(factor);
        fixture.submit_as(FILLER, vec![in_rack("r1", 4)]);
        fixture.submit_as(SECOND_FILLER, vec![in_rack("r2", 3)]);
        start(&mut fixture);
        fixture.submit(vec![one_rack_gang(4)]);
        for _ in 0..3 {
            pass_after(&mut fixture, Duration::from_millis(100));
        }
        let reserved = fixture.term.stages[&key(JOB)].reserved_tasks();
        assert_eq!(reserved > 0, gathers);
    }
}

/// A linear congruential generator.
struct Random(u64);

impl Random {
    /// Returns a number from 0 up to 1.
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}

/// Runs stages of 1 s that all name one rack with 8 places, beside 32 places on another, for 20 s at a
/// load relative to the 8 places. Run times are 0.6 to 1.4 times the estimate. Returns the mean time
/// from submission to completion in milliseconds.
fn mean_completion_ms(factor: Option<f64>, load: f64, seed: u64) -> f64 {
    const STEP: Duration = Duration::from_millis(20);
    let mut fixture = Fixture::new();
    fixture.term.settings.remote_factor = factor;
    for number in 0..10 {
        let rack = if number < 2 { "r1" } else { "r2" };
        announce_in(&mut fixture, &format!("w{number}"), rack);
    }
    let mut random = Random(seed);
    let mut ends: IndexMap<TaskKey, Instant> = IndexMap::new();
    let mut submitted: IndexMap<String, (Instant, f64)> = IndexMap::new();
    let mut total = Duration::ZERO;
    let mut completed = 0;
    for step in 0..2_000 {
        fixture.advance(STEP);
        if step % 25 == 0 {
            hear(&mut fixture);
        }
        let arrives = random.next() < load * 8.0 * STEP.as_secs_f64();
        let length = 0.6 + 0.8 * random.next();
        if step < 1_000 && arrives {
            let job = format!("{step:016x}");
            fixture.submit_without_pass(&job, vec![in_rack("r1", 1)]);
            submitted.insert(job, (fixture.now.at, length));
        }
        let now = fixture.now;
        let due: Vec<TaskKey> = ends.keys().cloned().collect();
        for task in due {
            if ends[&task] > now.at {
                continue;
            }
            ends.swap_remove(&task);
            let outcome = RunOutcome::Succeeded;
            fixture.term.finish_run(&task, outcome, String::new(), now);
            total += now.at - submitted[&task.stage.job].0;
            completed += 1;
        }
        fixture.term.schedule(now);
        fixture.commit_all();
        fixture.answer_starts(OrderOutcome::Done);
        fixture.commit_all();
        for (task, run) in &fixture.term.runs {
            let is_near = fixture.term.workers[&run.worker].record.rack() == "r1";
            let slowdown = if is_near { 1.0 } else { FACTOR };
            let length = Duration::from_secs_f64(submitted[&task.stage.job].1 * slowdown);
            ends.entry(task.clone()).or_insert(now.at + length);
        }
    }
    assert_eq!(completed, submitted.len(), "jobs were refused or lost");
    total.as_secs_f64() * 1_000.0 / completed as f64
}

/// Guards against waits that cost more than they save: stages that each wait for their own advantage
/// raised the mean from 1,290 to 1,333 ms at a load of 1.2. The target is a mean below that of a start
/// elsewhere at once while the rack has spare capacity, and at most 1% above it at any load, as the
/// demand is not known in the first seconds.
#[test]
fn waits_do_not_raise_the_mean_completion() {
    for load in [0.5, 1.2, 2.5] {
        let mean = |factor| {
            let runs = (1..=5).map(|seed| mean_completion_ms(factor, load, seed));
            runs.sum::<f64>() / 5.0
        };
        let (without, with) = (mean(None), mean(Some(FACTOR)));
        println!("load {load}: {without:.0} ms without, {with:.0} ms with the decision");
        let limit = if load < 1.0 { without } else { without * 1.01 };
        assert!(
            with <= limit,
            "load {load}: {with} ms instead of {without} ms"
        );
    }
}

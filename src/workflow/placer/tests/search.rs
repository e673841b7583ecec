//! Tests of the search for workers.

use std::time::Duration;

use super::fixture::*;
use super::grown_cell::SimulatedCell;
use crate::ids::WorkerId;
use crate::protocol::caller::Urgency;
use crate::resources::Resources;
use crate::scheduling::ledger::{Allocation, Purpose, WorkerIndex, WorkerStatus};
use crate::workflow::decisions::placing::{self, Candidate};
use crate::workflow::placer::scheduling::StageDecision;
use crate::workflow::placer::term::Term;
use crate::workflow::spec::{StageKey, StageSpec};

fn key(job: &str) -> StageKey {
    StageKey {
        job: job.to_owned(),
        ..task(0).stage
    }
}

/// Returns the workers that best fit chooses among all workers that are up and have room.
fn chosen_from_all(term: &Term, key: &StageKey) -> Vec<WorkerId> {
    let spec = &term.state.jobs[&key.job].spec.stages[0];
    let mut candidates = Vec::new();
    for (id, worker) in &term.workers {
        let free = term.ledger.free(worker.index);
        if !free.covers(&spec.ledger_amount()) {
            continue;
        }
        candidates.push(Candidate {
            worker: id.clone(),
            free,
            rack: worker.record.rack(),
            tasks_of_stage: 0,
            slowness: worker.health.slowness(),
        });
    }
    let wanted = term.stages[key].waiting.len();
    let chosen = placing::place(spec, wanted, &candidates).into_iter();
    chosen
        .map(|position| candidates[position].worker.clone())
        .collect()
}

/// Guards against a search that stops before it has examined the best worker.
#[test]
fn a_search_chooses_as_if_it_examined_all_workers() {
    let mut fixture = Fixture::new();
    for position in 0..40_u64 {
        let mut heartbeat = heartbeat(&format!("worker-{position}"), 1, 1);
        heartbeat.record.capacity.cpu_millis = 1_000 + position * 977 % 7_000;
        heartbeat.record.capacity.memory_mib = 100 + position * 131 % 1_000;
        heartbeat.record.labels = vec!["a".to_owned(), format!("r{}", position % 3)];
        let id = heartbeat.record.id.clone();
        fixture.term.handle_heartbeat(heartbeat, fixture.now);
        fixture.report(&id, Vec::new(), Vec::new());
        if position % 5 == 0 {
            let slow = Duration::from_secs(4);
            let health = &mut fixture.term.workers[&id].health;
            health.record_success(slow, Duration::from_secs(1));
        }
    }
    fixture.commit_all();
    for position in 0..60_u32 {
        let job = format!("{position:016x}");
        let mut spec = stage(1 + position % 5);
        spec.resources.cpu_millis = 300 + u64::from(position) * 613 % 2_500;
        spec.gang = position % 4 == 0;
        spec.data_rack = (position % 3 == 0).then(|| "r1".to_owned());
        fixture.submit_without_pass(&job, vec![spec]);
        let expected = chosen_from_all(&fixture.term, &key(&job));
        let found = match fixture.term.decide_stage(&key(&job), fixture.now) {
            StageDecision::Place(choices) => {
                choices.into_iter().map(|choice| choice.worker).collect()
            }
            _ => Vec::new(),
        };
        assert_eq!(found, expected, "job {position}");
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
    }
}

/// Guards against an index of free room that is inconsistent with the allocations.
#[test]
fn the_index_of_free_room_has_each_worker_that_is_up() {
    let mut cell = SimulatedCell::new(20, 2.0);
    for round in 0..20 {
        cell.run(Duration::from_millis(200));
        let term = &mut cell.fixture.term;
        let status = [WorkerStatus::Lost, WorkerStatus::Up, WorkerStatus::Leaving][round % 3];
        let changed = term.workers[round].index;
        term.ledger.set_status(changed, status);
        let up = term.ledger.workers();
        let up = up.filter(|(_, worker)| worker.status == WorkerStatus::Up);
        let mut expected: Vec<(u64, WorkerIndex)> = up
            .map(|(index, worker)| (worker.free().cpu_millis, index))
            .collect();
        expected.sort_unstable();
        let indexed = term.ledger.with_free_cpu(0, 0);
        let indexed = indexed.map(|index| (term.ledger.free(index).cpu_millis, index));
        assert_eq!(indexed.collect::<Vec<_>>(), expected);
    }
}

/// Guards against a stage that is skipped after a search without a result although it can be placed
/// now.
#[test]
fn a_stage_that_found_nothing_is_placed_once_a_worker_can_be_used() {
    let mut fixture = Fixture::new();
    for worker in ["v", "w"] {
        fixture.announce(worker);
        let health = &mut fixture.term.workers[worker].health;
        health.record_failure(fixture.now.at);
        health.record_failure(fixture.now.at);
    }
    fixture.submit(vec![stage(1)]);
    let mut passes = 0;
    while fixture.starts() == 0 && passes < 40 {
        fixture.advance(Duration::from_millis(100));
        fixture.term.tick(fixture.now);
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        passes += 1;
    }
    // The workers are avoided for 1.5 s.
    assert_eq!(passes, 15);
}

const POLICY_JOB: &str = "00c0ffee00000009";

/// Creates a term with a quick placement policy.
fn with_policy() -> Fixture {
    Fixture::with_policy(10.0, 1.0)
}

/// Creates a term with three workers, of which the placement policy has denied all but the first to
/// the only waiting job. The first is full.
fn waiting_for_a_granted_worker(spec: StageSpec) -> Fixture {
    let mut fixture = with_policy();
    for worker in ["u", "v", "w"] {
        fixture.announce(worker);
    }
    fixture.submit_without_pass(POLICY_JOB, vec![spec]);
    let stage = &mut fixture.term.stages[&key(POLICY_JOB)];
    let workers = ["u", "v", "w"].map(str::to_owned);
    let granted = [("u".to_owned(), "permit".to_owned())];
    let expires_at = fixture.now.at + Duration::from_secs(60);
    stage.permits.record(&workers, &granted, expires_at);
    let granted = fixture.term.workers["u"].index;
    occupy(&mut fixture, granted, "other");
    fixture.term.schedule(fixture.now);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 0);
    fixture
}

/// Returns an allocation of all free processors of a worker.
fn all_processors(fixture: &Fixture, worker: WorkerIndex) -> Allocation {
    Allocation {
        amount: Resources {
            cpu_millis: fixture.term.ledger.free(worker).cpu_millis,
            memory_mib: 0,
            accelerators: 0,
        },
        purpose: Purpose::Task,
        urgency: Urgency::Normal,
    }
}

fn occupy(fixture: &mut Fixture, worker: WorkerIndex, name: &str) {
    let allocation = all_processors(fixture, worker);
    let allocated = fixture.term.ledger.allocate(worker, name, allocation);
    allocated.expect("the amount is free");
}

/// Runs a tick and a pass each 100 ms, and returns the searches of the passes that found nothing.
fn searches_in(fixture: &mut Fixture, ticks: u32, before_pass: impl Fn(&mut Fixture)) -> u64 {
    let before = fixture.term.passes.fruitless_searches;
    for _ in 0..ticks {
        fixture.advance(Duration::from_millis(100));
        for worker in ["u", "v", "w"] {
            fixture.report(worker, Vec::new(), Vec::new());
        }
        fixture.term.tick(fixture.now);
        before_pass(fixture);
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
    }
    fixture.term.passes.fruitless_searches - before
}

/// Guards against passes that search again for a stage although nothing has changed: under overload
/// they took a fifth of the leader's processor time, and short jobs ended late (SHORT).
#[test]
fn a_search_is_not_repeated_while_nothing_changes() {
    for gang in [false, true] {
        let mut fixture = waiting_for_a_granted_worker(StageSpec { gang, ..stage(1) });
        let searches = searches_in(&mut fixture, 10, |_| {});
        assert!(searches <= 2, "{searches} searches, gang {gang}");
    }
}

/// Guards against a search for each stage whenever room is freed on a worker that the placement
/// policy has denied to it.
#[test]
fn room_on_a_denied_worker_causes_no_search() {
    for gang in [false, true] {
        let mut fixture = waiting_for_a_granted_worker(StageSpec { gang, ..stage(1) });
        let searches = searches_in(&mut fixture, 10, |fixture| {
            let denied = fixture.term.workers["w"].index;
            occupy(fixture, denied, "other");
            fixture.term.ledger.release(denied, "other");
        });
        assert!(searches <= 2, "{searches} searches, gang {gang}");
        let granted = fixture.term.workers["u"].index;
        fixture.term.ledger.release(granted, "other");
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
        assert_eq!(fixture.starts(), 1, "gang {gang}");
    }
}

/// Guards against passes that search for each stage that waits for a host to call the placement
/// policy: under overload these are most of the waiting stages, after a take-over all of them.
#[test]
fn stages_that_wait_for_the_policy_are_not_searched_in_each_pass() {
    const STAGES: u64 = 20;
    const PASSES: u64 = 10;
    let mut fixture = with_policy();
    for worker in ["u", "v", "w"] {
        fixture.announce(worker);
    }
    for position in 0..STAGES {
        fixture.submit_without_pass(&format!("{position:016x}"), vec![stage(1)]);
    }
    // No host has made contact that could call the policy.
    let before = fixture.term.passes.searches.get();
    for _ in 0..PASSES {
        fixture.term.passes.changed = true;
        fixture.term.schedule(fixture.now);
    }
    let searches = fixture.term.passes.searches.get() - before;
    assert!(searches <= STAGES + 2 * PASSES, "{searches} searches");
}

/// Guards against a look at each worker whose room has grown for each waiting stage: gangs release
/// and reserve theirs in each pass, and most of it is too little for others.
#[test]
fn freed_workers_with_too_little_room_are_not_examined() {
    let mut spec = stage(1);
    spec.resources.cpu_millis = 3_000;
    let mut fixture = waiting_for_a_granted_worker(spec);
    let freed = ["u", "v"].map(|worker| fixture.term.workers[worker].index);
    fixture.term.ledger.release(freed[0], "other");
    let mut examined = Vec::new();
    for _ in 0..5 {
        for worker in freed {
            let mut allocation = all_processors(&fixture, worker);
            allocation.amount.cpu_millis -= 1_000;
            let ledger = &mut fixture.term.ledger;
            ledger.allocate(worker, "large", allocation).unwrap();
            ledger.note_growth(worker);
        }
        let before = fixture.term.passes.examined_workers.get();
        fixture.term.schedule(fixture.now);
        examined.push(fixture.term.passes.examined_workers.get() - before);
        for worker in freed {
            fixture.term.ledger.release(worker, "large");
        }
    }
    // Only the denied worker, which has room for any stage.
    assert_eq!(examined, [1; 5]);
}

//! Tests of the search for workers.

use std::time::Duration;

use super::fixture::*;
use super::grown_cell::SimulatedCell;
use crate::ids::WorkerId;
use crate::scheduling::ledger::{WorkerIndex, WorkerStatus};
use crate::workflow::decisions::placing::{self, Candidate};
use crate::workflow::placer::scheduling::StageDecision;
use crate::workflow::placer::term::Term;
use crate::workflow::spec::StageKey;

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

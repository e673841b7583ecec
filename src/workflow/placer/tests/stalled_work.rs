//! Tests that accepted work does not wait in a cell that is mostly free.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::fixture::{Fixture, stage};
use super::grown_cell::{SKEWED, SimulatedCell, Traffic, WIDE};
use crate::ids::WorkerId;
use crate::resources::Resources;
use crate::scheduling::ledger::Purpose;
use crate::workflow::decisions::placing::tasks_that_fit;
use crate::workflow::spec::{StageKey, StageSpec};

/// Time for which a stage may wait although there is room for it twice over in a cell of which less
/// than half is in use.
const MAX_STALL: Duration = Duration::from_secs(3);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks after the end of the arrivals.
const MAX_CHECKS: usize = 300;

/// What runs leave free. Reserved room counts as free.
struct FreeRoom {
    workers: Vec<(WorkerId, Resources)>,
    used_millis: u64,
    capacity_millis: u64,
}

fn free_room(cell: &SimulatedCell) -> FreeRoom {
    let term = &cell.fixture.term;
    let mut room = FreeRoom {
        workers: Vec::new(),
        used_millis: 0,
        capacity_millis: 0,
    };
    for (id, worker) in &term.workers {
        let entry = term.ledger.worker(worker.index).unwrap();
        let mut free = entry.description.capacity;
        room.capacity_millis += free.cpu_millis;
        let allocations = entry.allocations().values();
        for allocation in allocations.filter(|allocation| allocation.purpose != Purpose::Gang) {
            room.used_millis += allocation.amount.cpu_millis;
            free = free.checked_sub(&allocation.amount).unwrap();
        }
        room.workers.push((id.clone(), free));
    }
    room
}

/// Returns the stages without a run for which there is room twice over on the workers that the policy
/// grants.
fn stages_with_room(cell: &SimulatedCell, room: &FreeRoom) -> Vec<StageKey> {
    let mut found = Vec::new();
    for (key, stage) in &cell.fixture.term.stages {
        let tasks = stage.needs.task_count;
        if stage.waiting.len() < tasks {
            continue;
        }
        let granted = room.workers.iter();
        let granted = granted.filter(|(id, _)| cell.is_granted(&key.job, id));
        let fitting = granted.map(|(_, free)| tasks_that_fit(&stage.needs.amount, free, tasks));
        if fitting.sum::<usize>() >= 2 * tasks {
            found.push(key.clone());
        }
    }
    found
}

/// Returns the stages that stall after an overload of 34 s.
fn stalled_stages(traffic: &Traffic, workers: usize, load: f64) -> IndexMap<StageKey, Duration> {
    let mut cell = SimulatedCell::with_traffic(traffic, workers, load);
    cell.run(Duration::from_secs(34));
    cell.end_arrivals();
    let mut waits_since: IndexMap<StageKey, Instant> = IndexMap::new();
    let mut stalled = IndexMap::new();
    for _ in 0..MAX_CHECKS {
        cell.run(CHECK_INTERVAL);
        let room = free_room(&cell);
        let now = cell.fixture.now.at;
        let mut waiting = IndexMap::new();
        if room.used_millis * 2 < room.capacity_millis {
            for key in stages_with_room(&cell, &room) {
                let since = waits_since.get(&key).copied().unwrap_or(now);
                waiting.insert(key, since);
            }
        }
        waits_since = waiting;
        for (key, since) in &waits_since {
            if now >= *since + MAX_STALL {
                stalled.insert(key.clone(), now - *since);
            }
        }
    }
    stalled
}

/// Guards against a backlog that is not worked off after an overload: gangs that were too late to count
/// kept room on the workers of each other and started late or never (LOST on the large and the grown
/// deployments).
#[test]
fn accepted_work_does_not_stall_in_a_cell_that_is_mostly_free() {
    for (traffic, load) in [(&WIDE, 2.5), (&SKEWED, 1.3)] {
        let stalled = stalled_stages(traffic, 1_100, load);
        println!("load {load}: {} stages stall", stalled.len());
        assert!(
            stalled.is_empty(),
            "load {load}: {} stages stall",
            stalled.len()
        );
    }
}

/// Guards against a gang that holds room for ever although the workers that it may use cannot hold all
/// members: others that could start wait for this room.
#[test]
fn a_gang_that_cannot_become_whole_holds_no_room() {
    let mut fixture = Fixture::new();
    fixture.announce("a");
    let gang = |members| StageSpec {
        gang: true,
        ..stage(members)
    };
    fixture.submit_as("00000000000000a1", vec![gang(5)]);
    assert_eq!(fixture.term.load(fixture.now.at).held_millis, 0);
    fixture.submit_as("00000000000000a2", vec![gang(4)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 4);
    fixture.orders.clear();
    // The next worker lets it start within the interval of the checks.
    fixture.announce("b");
    fixture.announce("c");
    for _ in 0..12 {
        fixture.advance(CHECK_INTERVAL);
        fixture.term.schedule(fixture.now);
    }
    fixture.commit_all();
    assert_eq!(fixture.starts(), 5);
}

/// Guards against two gangs that are too late to count, each with room for half of its members, which
/// wait for each other for ever: their room was assigned again only in passes that had two intervals
/// of 100 and 300 ms expire at the same time.
#[test]
fn gangs_that_are_too_late_do_not_keep_the_room_of_each_other() {
    const PASS_INTERVAL: Duration = Duration::from_millis(50);
    let mut fixture = Fixture::new();
    for worker in ["a", "b"] {
        fixture.announce(worker);
    }
    let gang = StageSpec {
        gang: true,
        ..stage(8)
    };
    // A job in time that does not fit keeps the passes from including late jobs each time.
    let large = StageSpec {
        resources: Resources {
            cpu_millis: 5_000,
            ..stage(1).resources
        },
        ..stage(1)
    };
    for (job, worker) in [("00000000000000a1", "a"), ("00000000000000a2", "b")] {
        fixture.submit_without_pass(job, vec![gang.clone()]);
        let key = StageKey {
            job: job.to_owned(),
            occurrence: 0,
            stage: 0,
        };
        let term = &mut fixture.term;
        assert!(term.reserve(&key, &gang, &worker.to_owned(), 4));
        let stage = &mut term.stages[&key];
        stage.too_late = true;
        stage.objective = Duration::ZERO;
        stage.remaining = Duration::from_secs(60);
    }
    fixture.submit_without_pass("00000000000000a3", vec![large]);
    fixture.commit_all();
    let now = fixture.now.at;
    fixture.term.passes.reassign_at = now;
    fixture.term.passes.too_late_at = now + PASS_INTERVAL;
    for _ in 0..40 {
        fixture.term.schedule(fixture.now);
        fixture.advance(PASS_INTERVAL);
    }
    fixture.commit_all();
    assert_eq!(fixture.starts(), 8);
}

//! Tests of the cost of the placer's decisions.

use std::hash::Hasher;
use std::time::Duration;

use super::fixture::{Fixture, stage};
use super::grown_cell::SimulatedCell;
use crate::workflow::calls::HostContact;
use crate::workflow::state::Job;

/// Returns the number of workers that the placer examines for each started run.
fn examined_per_start(workers: usize, load: f64) -> u64 {
    let mut cell = SimulatedCell::new(workers, load);
    cell.run(Duration::from_secs(2));
    let examined = cell.fixture.term.passes.examined_workers.get();
    println!(
        "workers {workers} load {load}: examined {examined} starts {}",
        cell.starts
    );
    examined / cell.starts as u64
}

/// Guards against a cost for each start that grows with the size of the cell: a pass that examines
/// all workers for each waiting stage costs at least sixteen times as much for four times the
/// workers under four times the load.
#[test]
fn workers_examined_for_each_start_do_not_grow_with_the_cell() {
    for load in [1.0, 2.0] {
        let small = examined_per_start(350, load);
        let large = examined_per_start(1_400, load);
        assert!(large <= small * 2, "{large} after {small} at load {load}");
    }
}

/// Guards against a look-up by identifier for each worker that a pass examines: a position that is
/// wrong after a worker was removed has to be derived again.
#[test]
fn few_examined_workers_are_looked_up_by_identifier() {
    let mut cell = SimulatedCell::new(350, 1.0);
    cell.run(Duration::from_secs(1));
    let removed = cell.fixture.term.workers.get_index(100).unwrap().0.clone();
    cell.fixture.term.remove_worker(&removed, cell.fixture.now);
    cell.run(Duration::from_secs(1));
    let passes = &cell.fixture.term.passes;
    let (lookups, examined) = (passes.worker_lookups.get(), passes.examined_workers.get());
    assert!(lookups * 50 < examined, "{lookups} of {examined}");
}

/// Guards against a look at each worker whose room has grown for each stage that waits for the first
/// answer of the policy, which alone makes a worker usable for it. In a pass under three times the
/// load, 1,600 workers were examined 23,500 times.
#[test]
fn stages_without_an_answer_examine_no_grown_workers() {
    const STAGES: u64 = 4;
    let mut fixture = Fixture::with_policy(10.0, 1.0);
    for worker in 0..10 {
        fixture.announce(&format!("worker-{worker}"));
    }
    let contact = HostContact {
        host: "10.0.0.9".to_owned(),
        data_centre: "lowell-yard".to_owned(),
        stores: false,
    };
    fixture.term.record_contact(contact, fixture.now.at);
    for job in 0..STAGES {
        fixture.submit_as(&format!("00c0ffee0000000{job}"), vec![stage(2)]);
    }
    fixture.term.schedule(fixture.now);
    let stages = fixture.term.stages.values();
    assert!(
        stages
            .clone()
            .all(|stage| stage.empty_search.is_some() && stage.open_questions > 0)
    );
    for index in 0..10 {
        fixture.term.ledger.note_growth(index);
    }
    let before = fixture.term.passes.examined_workers.get();
    fixture.term.schedule(fixture.now);
    let examined = fixture.term.passes.examined_workers.get() - before;
    assert!(examined <= STAGES, "{examined}");
}

/// Numbers of workers, each with the simulated time for which the cell runs, in seconds.
const SIZES: [(usize, u64); 4] = [(48, 8), (350, 6), (1_100, 6), (1_600, 6)];

/// Prints the time that each step of the placer takes for each start, for cells of four sizes
/// under two loads, and a hash of all decisions. Serves to compare two versions of the code on the
/// same machine.
#[test]
#[ignore = "prints times that differ from machine to machine"]
fn print_cost_of_a_start() {
    for (workers, seconds) in SIZES {
        for load in [1.0, 3.0] {
            let mut cell = SimulatedCell::new(workers, load);
            cell.run(Duration::from_secs(seconds));
            let jobs = cell.fixture.term.state.jobs.values();
            let open = jobs.filter(|job| Job::is_open(job)).count();
            print!(
                "workers {workers} load {load}: submitted {} accepted {} open {open} starts {} passes {} ended {:?};",
                cell.submitted,
                cell.fixture.term.state.jobs.len(),
                cell.starts,
                cell.passes,
                cell.ended,
            );
            let passes = &cell.fixture.term.passes;
            print!(
                " searches {} fruitless {} examined {};",
                passes.searches.get(),
                passes.fruitless_searches,
                passes.examined_workers.get(),
            );
            for (step, time) in &cell.step_times.0 {
                let each_us = time.as_secs_f64() * 1e6 / cell.starts.max(1) as f64;
                print!(" {step} {each_us:.1}");
            }
            println!(
                " us for each start; decisions {:016x}",
                cell.decisions.finish()
            );
        }
    }
}

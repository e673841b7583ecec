//! Tests that room does not stay free while accepted work waits that fits it.

use std::time::Duration;

use super::fixture::{Fixture, stage};
use super::grown_cell::{SimulatedCell, Traffic, WIDE};

/// Share of the cell that may be free while tasks wait that could use it, on average, in percent.
const MAX_IDLE_PERCENT: u64 = 10;

/// Returns the average room that is free while tasks wait that could use it, in percent of the
/// cell.
fn idle_percent(traffic: &Traffic, workers: usize, load: f64) -> u64 {
    let mut cell = SimulatedCell::with_traffic(traffic, workers, load);
    cell.run(Duration::from_secs(3));
    let mut idle_millis = 0;
    let mut capacity_millis = 0;
    for _ in 0..28 {
        cell.run(Duration::from_millis(250));
        let Fixture { term, now, .. } = &cell.fixture;
        let idle = term.idle_room(*now);
        let load = term.load(now.at);
        idle_millis += idle.total_millis();
        capacity_millis += load.capacity_millis;
    }
    let percent = idle_millis * 100 / capacity_millis;
    println!(
        "workers {workers} load {load}: {percent}% idle, ended {:?}",
        cell.ended
    );
    percent
}

/// Guards against a path from accepted to placed whose width does not follow the cell, so that room
/// stays free while the backlog grows (SHORT on tuul-orders-large).
#[test]
fn room_does_not_stay_free_while_accepted_work_fits_it() {
    for (workers, load) in [(350, 1.0), (1_100, 1.0), (1_100, 1.5)] {
        let percent = idle_percent(&WIDE, workers, load);
        assert!(
            percent <= MAX_IDLE_PERCENT,
            "{percent}% of {workers} workers are idle at load {load}"
        );
    }
}

/// Guards against a report that counts room which no waiting task can use, or misses room that one
/// can.
#[test]
fn room_counts_as_idle_only_while_a_task_fits_it() {
    let mut fixture = Fixture::new();
    fixture.announce("a");
    fixture.announce("b");
    assert_eq!(fixture.term.idle_room(fixture.now).total_millis(), 0);
    fixture.submit_without_pass("00000000000000a1", vec![stage(3)]);
    let idle = fixture.term.idle_room(fixture.now);
    assert_eq!((idle.total_millis(), idle.other_millis), (3_000, 3_000));
    fixture.term.schedule(fixture.now);
    assert_eq!(fixture.term.idle_room(fixture.now).total_millis(), 0);
    let mut gang = stage(6);
    gang.gang = true;
    fixture.submit_without_pass("00000000000000a2", vec![gang.clone()]);
    assert_eq!(
        fixture.term.idle_room(fixture.now).total_millis(),
        0,
        "the gang does not fit whole"
    );
    gang.task_count = 5;
    fixture.submit_without_pass("00000000000000a3", vec![gang]);
    let idle = fixture.term.idle_room(fixture.now);
    assert_eq!((idle.total_millis(), idle.gang_millis), (5_000, 5_000));
}

/// Prints the idle room, the jobs that ended and the cost for cells of several sizes and loads. Serves
/// to compare two versions of the code.
#[test]
#[ignore = "prints figures for comparison"]
fn print_idle_room_and_classes() {
    let cells = [
        (48, 1.0),
        (48, 1.5),
        (350, 1.0),
        (350, 1.3),
        (1_100, 1.0),
        (1_100, 1.3),
    ];
    for (workers, load) in cells {
        let mut cell = SimulatedCell::with_traffic(&WIDE, workers, load);
        cell.run(Duration::from_secs(3));
        let (mut idle_millis, mut held, mut free, mut capacity) = (0, 0, 0, 0);
        let mut parts = [0; 4];
        for _ in 0..60 {
            cell.run(Duration::from_millis(500));
            let Fixture { term, now, .. } = &cell.fixture;
            let idle = term.idle_room(*now);
            let load = term.load(now.at);
            idle_millis += idle.total_millis();
            for (part, millis) in parts.iter_mut().zip([
                idle.unasked_millis,
                idle.asked_millis,
                idle.other_millis,
                idle.gang_millis,
            ]) {
                *part += millis;
            }
            held += load.held_millis;
            free += load.capacity_millis - load.allocated_millis;
            capacity += load.capacity_millis;
        }
        let term = &cell.fixture.term;
        let percent = |millis: u64| millis * 1_000 / capacity;
        println!(
            "workers {workers} load {load}: idle {} (unasked, asked, other, gangs {:?}) held {} free {} per mille; submitted {} open {} ended, in time {:?}; passes {} searches {} examined {} starts {} questions {}",
            percent(idle_millis),
            parts.map(percent),
            percent(held),
            percent(free),
            cell.submitted,
            term.state.jobs.values().filter(|job| job.is_open()).count(),
            cell.ended,
            cell.passes,
            term.passes.searches.get(),
            term.passes.examined_workers.get(),
            cell.starts,
            cell.questions,
        );
    }
}

//! Tests that an overload is shared by gangs of all sizes.

use std::cmp::Reverse;
use std::time::Duration;

use super::grown_cell::{SKEWED, SimulatedCell, SimulatedJob, Traffic, WIDE};

/// Kind of the simulated jobs that are gangs.
const GANGS: usize = 0;
/// Part of the served share of all gangs that each size is owed, in percent.
const OWED_PERCENT: usize = 50;

/// Gangs that were served, of those that were accepted.
#[derive(Clone, Copy, Debug)]
struct Served {
    served: usize,
    accepted: usize,
}

impl Served {
    fn of(jobs: &[&SimulatedJob]) -> Self {
        Self {
            served: jobs.iter().filter(|job| job.served).count(),
            accepted: jobs.len(),
        }
    }

    /// Whether the served share is at least the owed part of that of all gangs.
    fn is_owed_part_of(self, all: Self) -> bool {
        self.served * all.accepted * 100 >= all.served * self.accepted * OWED_PERCENT
    }
}

/// Returns the served gangs of a cell after an overload of 28 s and a pause: of all, of the largest
/// tenth, and of the fifth below it.
fn served_gangs(traffic: &Traffic, workers: usize, load: f64) -> [Served; 3] {
    let mut cell = SimulatedCell::with_traffic(traffic, workers, load);
    cell.run(Duration::from_secs(28));
    cell.end_arrivals();
    cell.run(Duration::from_secs(20));
    let jobs = cell.jobs.values().filter(|job| job.kind == GANGS);
    let mut jobs: Vec<&SimulatedJob> = jobs.collect();
    jobs.sort_by_key(|job| Reverse(job.work));
    let (largest, rest) = jobs.split_at(jobs.len() / 10);
    let next = &rest[..jobs.len() / 5];
    [Served::of(&jobs), Served::of(largest), Served::of(next)]
}

/// Guards against an overload at the expense of the largest gangs: they lost their place among the
/// gangs that gather room before they had it, while smaller ones fitted into the room that was free
/// (SHORT on tuul-orders-large).
#[test]
fn large_gangs_are_served_half_as_often_as_all() {
    for (traffic, workers) in [(&SKEWED, 1_100), (&WIDE, 350)] {
        let [all, largest, next] = served_gangs(traffic, workers, 1.3);
        println!("workers {workers}: all {all:?}, largest tenth {largest:?}, next fifth {next:?}");
        assert!(
            largest.is_owed_part_of(all) && next.is_owed_part_of(all),
            "{workers} workers: of all {all:?}, of the largest tenth {largest:?}, of the next fifth {next:?}"
        );
    }
}

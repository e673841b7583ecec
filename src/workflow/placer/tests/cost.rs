//! Cost of the placer's decisions.

use std::time::Duration;

use super::grown_cell::GrownCell;
use crate::workflow::state::Job;

/// Sizes of the cell and the virtual time for which each is measured.
const SIZES: [(usize, u64); 3] = [(48, 8), (350, 6), (1_600, 2)];

/// Prints the time that each part of the placer's work takes for each start, for cells of three
/// sizes and loads. Compares two versions of the code that run side by side.
#[test]
#[ignore = "prints times that differ from machine to machine"]
fn print_cost_of_a_start() {
    for (workers, seconds) in SIZES {
        for load in [1.0, 1.5] {
            let mut cell = GrownCell::new(workers, load);
            cell.run(Duration::from_secs(seconds));
            let jobs = cell.fixture.term.state.jobs.values();
            let open = jobs.filter(|job| Job::is_open(job)).count();
            print!(
                "workers {workers} load {load}: submitted {} accepted {} open {open} starts {} passes {};",
                cell.submitted,
                cell.fixture.term.state.jobs.len(),
                cell.starts,
                cell.passes,
            );
            for (part, time) in &cell.parts.0 {
                let each_us = time.as_secs_f64() * 1e6 / cell.starts.max(1) as f64;
                print!(" {part} {each_us:.1}");
            }
            println!(" us for each start");
        }
    }
}

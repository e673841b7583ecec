//! Measures the allocated capacity when a job first fits on no worker although it fits into the sum
//! of the free resources. Jobs arrive one by one and never end. Run with
//! `cargo bench --bench packing`.

mod support;

use std::time::Instant;

use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job_scheduler::SchedulerSettings;
use jujubewinch::scheduling::placement::PlacementPolicy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Seeds of the job sequences. Seeds 0 to 4 are left out because the weights in
/// `scheduling::placement` are fitted to them, which would bias the result.
const SEEDS: std::ops::Range<u64> = 5..15;
/// Maximum declared processor time in millicores and memory in MiB, about a third of the smaller
/// workers.
const MAX_DECLARED: (u64, u64) = (16_000, 40_960);

/// Declared resources of the next task, which differ from its needs by a factor of up to four.
fn declared_need(random: &mut StdRng) -> Resources {
    let actual = support::mixed_need(random);
    let factor = 2f64.powf(random.random_range(-2.0..2.0));
    let scale = |amount: u64, max: u64| ((amount as f64 * factor) as u64).clamp(1, max);
    Resources {
        cpu_millis: scale(actual.cpu_millis, MAX_DECLARED.0),
        memory_mib: scale(actual.memory_mib, MAX_DECLARED.1),
        accelerators: actual.accelerators,
    }
}

/// Allocated fraction of the resource of which the largest fraction is allocated.
fn fullest_fraction(sum: &Resources, capacity: &Resources) -> f64 {
    let fraction = |amount: u64, capacity: u64| amount as f64 / capacity.max(1) as f64;
    fraction(sum.cpu_millis, capacity.cpu_millis)
        .max(fraction(sum.memory_mib, capacity.memory_mib))
        .max(fraction(sum.accelerators, capacity.accelerators))
}

/// Fills the workers. Returns the [`fullest_fraction`] when a job first fits on no worker, and the
/// upper bound for the same jobs.
fn fill(workers: usize, placement: PlacementPolicy, seed: u64) -> (f64, f64) {
    let now = Instant::now();
    let settings = SchedulerSettings {
        placement,
        seed,
        ..SchedulerSettings::default()
    };
    let mut scheduler = support::scheduler(workers, settings, now);
    let capacity = scheduler.ledger().capacity();
    let mut random = StdRng::seed_from_u64(seed);
    let mut sum = Resources::ZERO;
    let mut reached = None;
    for number in 0.. {
        let need = declared_need(&mut random);
        let after = sum.checked_add(&need).expect("small");
        if !capacity.covers(&after) {
            // No placement could have allocated more of this sequence.
            let bound = fullest_fraction(&sum, &capacity);
            return (reached.unwrap_or(bound), bound);
        }
        if reached.is_none() {
            let run = std::time::Duration::from_secs(60);
            scheduler
                .submit(support::job(number, 0, need, run), now)
                .expect("feasible");
            if support::starts(scheduler.decide(now, 1)).is_empty() {
                reached = Some(fullest_fraction(&sum, &capacity));
            }
        }
        sum = after;
    }
    unreachable!("the capacity is finite")
}

fn main() {
    println!("policy     workers  allocated  bound   allocated/bound  worst seed");
    for workers in [48, 400, 1_600] {
        for (name, placement) in [
            ("best_fit", PlacementPolicy::BestFit),
            ("first_fit", PlacementPolicy::FirstFit),
        ] {
            let results: Vec<_> = SEEDS.map(|seed| fill(workers, placement, seed)).collect();
            let ratios: Vec<f64> = results
                .iter()
                .map(|(allocated, bound)| allocated / bound)
                .collect();
            let allocated: Vec<f64> = results.iter().map(|(allocated, _)| *allocated).collect();
            let bounds: Vec<f64> = results.iter().map(|(_, bound)| *bound).collect();
            println!(
                "{name:<10} {workers:>7} {:>10.3} {:>6.3} {:>17.3} {:>11.3}",
                support::mean(&allocated),
                support::mean(&bounds),
                support::mean(&ratios),
                ratios.iter().copied().fold(1.0, f64::min),
            );
        }
    }
}

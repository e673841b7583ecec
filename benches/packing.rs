//! Capacity allocated when the first job is refused that would fit the sum of free space. Jobs
//! arrive one by one and never end. Run with `cargo bench --bench packing`.

mod support;

use std::time::Instant;

use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job_scheduler::SchedulerSettings;
use jujubewinch::scheduling::placement::PlacementPolicy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The weights in `scheduling::placement` were chosen with seeds 0 to 4, which are left out.
const SEEDS: std::ops::Range<u64> = 5..15;
/// Largest declared size, a third of the smaller workers.
const LARGEST: (u64, u64) = (16_000, 40_960);

/// Size of the next task as declared: up to four times too small or too large.
fn declared(random: &mut StdRng) -> Resources {
    let real = support::mixed_need(random);
    let factor = 2f64.powf(random.random_range(-2.0..2.0));
    let scale = |amount: u64, largest: u64| ((amount as f64 * factor) as u64).clamp(1, largest);
    Resources {
        cpu_millis: scale(real.cpu_millis, LARGEST.0),
        memory_mib: scale(real.memory_mib, LARGEST.1),
        accelerators: real.accelerators,
    }
}

fn part(sum: &Resources, capacity: &Resources) -> f64 {
    let part = |amount: u64, capacity: u64| amount as f64 / capacity.max(1) as f64;
    part(sum.cpu_millis, capacity.cpu_millis)
        .max(part(sum.memory_mib, capacity.memory_mib))
        .max(part(sum.accelerators, capacity.accelerators))
}

/// Allocated part of the fullest dimension at the first refusal, and the bound for the same jobs.
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
        let need = declared(&mut random);
        let after = sum.checked_add(&need).expect("small");
        if !capacity.covers(&after) {
            // No order of placement could have allocated more of this sequence.
            let bound = part(&sum, &capacity);
            return (reached.unwrap_or(bound), bound);
        }
        if reached.is_none() {
            let run = std::time::Duration::from_secs(60);
            scheduler
                .submit(support::job(number, 0, need, run), now)
                .expect("feasible");
            if support::starts(scheduler.decide(now, 1)).is_empty() {
                reached = Some(part(&sum, &capacity));
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
            let ratios: Vec<f64> = results.iter().map(|(got, bound)| got / bound).collect();
            let allocated: Vec<f64> = results.iter().map(|(got, _)| *got).collect();
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

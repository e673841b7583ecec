//! Start time of gangs under a stream of small work, and the idle capacity that is held for them.
//! Run with `cargo bench --bench gangs`.

mod support;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::scheduling::fair_share::QueuePolicy;
use jujubewinch::scheduling::gangs::GangSettings;
use jujubewinch::scheduling::job::TaskEnd;
use jujubewinch::scheduling::job_scheduler::SchedulerSettings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::virtual_time::Fleet;

const WORKERS: usize = 100;
const MEASURED: Duration = Duration::from_secs(3_600);
const GANG_EVERY: Duration = Duration::from_secs(180);
const GANG_TASKS: u32 = 16;
const STEP: Duration = Duration::from_secs(1);
const SEEDS: u64 = 3;

#[derive(Default)]
struct Result {
    waits: Vec<f64>,
    not_started: usize,
    idle: f64,
    allocated: f64,
    backfilled: u64,
    preempted: usize,
}

fn run(queue: QueuePolicy, backfill: bool, seed: u64) -> Result {
    let now = Instant::now();
    let settings = SchedulerSettings {
        queue,
        seed,
        gangs: GangSettings {
            backfill,
            ..GangSettings::default()
        },
        ..SchedulerSettings::default()
    };
    let mut fleet = Fleet::new(support::scheduler(WORKERS, settings, now), now);
    let mut random = StdRng::seed_from_u64(seed);
    let mut real: IndexMap<String, Duration> = IndexMap::new();
    let mut gangs: IndexMap<String, (Instant, u32)> = IndexMap::new();
    let mut waiting = 0;
    let mut submitted = 0;
    let mut next_gang = GANG_EVERY;
    let mut result = Result::default();
    let mut steps = 0.0;
    while fleet.elapsed() < MEASURED {
        while waiting < 200 {
            let need = support::mixed_need(&mut random);
            let run = Duration::from_secs(random.random_range(10..300));
            let factor = 2f64.powf(random.random_range(-2.0..2.0));
            let mut spec = support::job(
                submitted,
                random.random_range(0..20),
                need,
                run.mul_f64(factor),
            );
            spec.workload = format!("workload-{submitted}");
            submitted += 1;
            waiting += 1;
            real.insert(spec.id.clone(), run);
            fleet.submit(spec);
        }
        if fleet.elapsed() >= next_gang && fleet.elapsed() + Duration::from_secs(600) < MEASURED {
            next_gang += GANG_EVERY;
            let need = support::resources(24_000, 49_152, 0);
            let run = Duration::from_secs(120);
            let mut spec = support::job(submitted, 20 + gangs.len() % 4, need, run);
            spec.kind = "gang".into();
            spec.tasks = GANG_TASKS;
            submitted += 1;
            real.insert(spec.id.clone(), run);
            gangs.insert(spec.id.clone(), (fleet.now, 0));
            fleet.submit(spec);
        }
        let step = fleet.step(STEP, |start| (real[&start.job], TaskEnd::Succeeded));
        result.preempted += step.preempted;
        for start in step.started {
            if let Some((since, started)) = gangs.get_mut(&start.job) {
                *started += 1;
                if *started == GANG_TASKS {
                    result.waits.push((fleet.now - *since).as_secs_f64());
                }
            } else if start.attempt == 0 {
                waiting -= 1;
            }
        }
        steps += 1.0;
        let capacity = fleet.scheduler.ledger().capacity().cpu_millis as f64;
        result.idle += fleet.scheduler.reserved_idle().cpu_millis as f64 / capacity;
        let held = fleet.scheduler.ledger().held().cpu_millis as f64 / capacity;
        result.allocated += support::allocated_parts(&fleet.scheduler)[0] - held;
    }
    result.idle /= steps;
    result.allocated /= steps;
    result.not_started = gangs.len() - result.waits.len();
    result.backfilled = fleet.scheduler.gang_counters().backfilled;
    result
}

fn main() {
    println!(
        "setting                 gangs  not started  median wait s  max wait s  idle held  cpu used  backfilled  preempted"
    );
    for (name, queue, backfill) in [
        ("reservation+backfill", QueuePolicy::FairShare, true),
        ("reservation only", QueuePolicy::FairShare, false),
        ("strict_priority", QueuePolicy::StrictPriority, true),
        ("first_come", QueuePolicy::FirstCome, true),
    ] {
        let runs: Vec<Result> = (0..SEEDS).map(|seed| run(queue, backfill, seed)).collect();
        let waits: Vec<f64> = runs.iter().flat_map(|run| run.waits.clone()).collect();
        let average =
            |of: fn(&Result) -> f64| support::mean(&runs.iter().map(of).collect::<Vec<_>>());
        println!(
            "{name:<22} {:>6} {:>12} {:>14.0} {:>11.0} {:>10.4} {:>9.3} {:>11.0} {:>10.0}",
            waits.len(),
            runs.iter().map(|run| run.not_started).sum::<usize>(),
            support::median(waits.clone()),
            waits.iter().copied().fold(0.0, f64::max),
            average(|run| run.idle),
            average(|run| run.allocated),
            average(|run| run.backfilled as f64),
            average(|run| run.preempted as f64),
        );
    }
}

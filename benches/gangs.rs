//! Measures the waiting time of gangs under a stream of small jobs, and the idle capacity that is
//! reserved for them.
//!
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
/// Simulated time.
const SIMULATED: Duration = Duration::from_secs(3_600);
/// Simulated time between the submissions of two gangs.
const GANG_INTERVAL: Duration = Duration::from_secs(180);
const GANG_TASKS: u32 = 16;
/// Simulated time between two rounds of decisions.
const STEP: Duration = Duration::from_secs(1);
/// Number of seeds, and thus of runs, per setting.
const SEEDS: u64 = 3;

#[derive(Default)]
struct GangResult {
    /// Seconds from the submission of each gang to the start of its last task.
    waits: Vec<f64>,
    /// Number of gangs of which not all tasks started.
    not_started: usize,
    /// Mean fraction of processor time that is reserved for a gang and idle.
    idle: f64,
    /// Mean fraction of processor time that is allocated to tasks.
    allocated: f64,
    /// Number of tasks that were started as backfill.
    backfilled: u64,
    /// Number of tasks that were preempted.
    preempted: usize,
}

/// Simulates one hour of small jobs, whose declared run times are wrong by a factor of up to four,
/// and of gangs. No gang is submitted in the last ten minutes.
fn run(queue: QueuePolicy, backfill: bool, seed: u64) -> GangResult {
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
    let mut run_times: IndexMap<String, Duration> = IndexMap::new();
    let mut gangs: IndexMap<String, (Instant, u32)> = IndexMap::new();
    let mut waiting = 0;
    let mut submitted = 0;
    let mut next_gang = GANG_INTERVAL;
    let mut result = GangResult::default();
    let mut steps = 0.0;
    while fleet.elapsed() < SIMULATED {
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
            run_times.insert(spec.id.clone(), run);
            fleet.submit(spec);
        }
        if fleet.elapsed() >= next_gang && fleet.elapsed() + Duration::from_secs(600) < SIMULATED {
            next_gang += GANG_INTERVAL;
            let need = support::resources(24_000, 49_152, 0);
            let run = Duration::from_secs(120);
            let mut spec = support::job(submitted, 20 + gangs.len() % 4, need, run);
            spec.kind = "gang".into();
            spec.tasks = GANG_TASKS;
            submitted += 1;
            run_times.insert(spec.id.clone(), run);
            gangs.insert(spec.id.clone(), (fleet.now, 0));
            fleet.submit(spec);
        }
        let step = fleet.step(STEP, |start| (run_times[&start.job], TaskEnd::Succeeded));
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
        result.allocated += support::allocated_fractions(&fleet.scheduler)[0] - held;
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
        let runs: Vec<GangResult> = (0..SEEDS).map(|seed| run(queue, backfill, seed)).collect();
        let waits: Vec<f64> = runs.iter().flat_map(|run| run.waits.clone()).collect();
        let average =
            |of: fn(&GangResult) -> f64| support::mean(&runs.iter().map(of).collect::<Vec<_>>());
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

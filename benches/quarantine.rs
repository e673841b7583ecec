//! Time until a worker that fails every task gets no more work, and healthy workers wrongly
//! quarantined. Run with `cargo bench --bench quarantine`.

mod support;

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use jujubewinch::scheduling::job::TaskEnd;
use jujubewinch::scheduling::job_scheduler::SchedulerSettings;
use jujubewinch::scheduling::quarantine::HealthState;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::virtual_time::Fleet;

const WORKERS: usize = 200;
const SEEDS: u64 = 20;
const MEASURED: Duration = Duration::from_secs(600);
const STEP: Duration = Duration::from_secs(1);
/// Workers that fail every task from the first third on.
const BAD: [&str; 3] = ["worker-17", "worker-101", "worker-180"];
/// Failures in a row after which the baseline stops using a worker.
const BASELINE_FAILURES: u32 = 5;

#[derive(Default)]
struct Result {
    times: Vec<f64>,
    failed_there: Vec<f64>,
    undetected: usize,
    wrong: usize,
    baseline_wrong: usize,
}

/// Failure rate of a workload: most are reliable, one always fails, one breaks half-way.
fn failure_rate(workload: usize, elapsed: Duration) -> f64 {
    match workload {
        0 => 1.0,
        1 if elapsed > MEASURED / 2 => 1.0,
        2 => 0.3,
        _ => 0.01,
    }
}

fn run(seed: u64) -> Result {
    let now = Instant::now();
    let settings = SchedulerSettings {
        seed,
        ..SchedulerSettings::default()
    };
    let mut fleet = Fleet::new(support::scheduler(WORKERS, settings, now), now);
    let mut random = StdRng::seed_from_u64(seed);
    let mut workloads: IndexMap<String, usize> = IndexMap::new();
    let mut fates: IndexMap<String, TaskEnd> = IndexMap::new();
    let mut in_a_row: IndexMap<String, u32> = IndexMap::new();
    let mut baseline: IndexSet<String> = IndexSet::new();
    let mut caught: IndexMap<String, f64> = IndexMap::new();
    let mut wrong: IndexSet<usize> = IndexSet::new();
    let mut failures: IndexMap<String, f64> = IndexMap::new();
    let mut submitted = 0;
    let broken_at = MEASURED / 3;
    while fleet.elapsed() < MEASURED {
        // More than the fleet can run, so that every worker gets work.
        while fleet.scheduler.job_count() < fleet.running.len() + 200 {
            let workload = random.random_range(0..20);
            let need = support::resources(random.random_range(2..9) * 1_000, 8_192, 0);
            let mut spec = support::job(submitted, workload, need, Duration::from_secs(40));
            spec.workload = "same".into();
            submitted += 1;
            workloads.insert(spec.id.clone(), workload);
            fleet.submit(spec);
        }
        let elapsed = fleet.elapsed();
        let step = fleet.step(STEP, |start| {
            let bad = BAD.contains(&start.worker.as_str()) && elapsed >= broken_at;
            let rate = failure_rate(workloads[&start.job], elapsed);
            let end = *fates.entry(start.task.clone()).or_insert_with(|| {
                if bad || random.random_bool(rate) {
                    TaskEnd::Failed
                } else {
                    TaskEnd::Succeeded
                }
            });
            let run = if bad {
                1
            } else {
                20 + u64::from(start.index % 30)
            };
            (Duration::from_secs(run), end)
        });
        for (running, end) in step.ended {
            fates.swap_remove(&running.start.task);
            let worker = running.start.worker.clone();
            let count = in_a_row.entry(worker.clone()).or_default();
            *count = if end == TaskEnd::Failed {
                *count + 1
            } else {
                0
            };
            if *count >= BASELINE_FAILURES {
                baseline.insert(worker.clone());
            }
            if end == TaskEnd::Failed && BAD.contains(&worker.as_str()) && elapsed >= broken_at {
                *failures.entry(worker).or_default() += 1.0;
            }
        }
        for number in 0..WORKERS {
            if fleet.scheduler.quarantine().health_state(number) == HealthState::Healthy {
                continue;
            }
            let id = format!("worker-{number}");
            if BAD.contains(&id.as_str()) && elapsed >= broken_at {
                let at = (elapsed - broken_at).as_secs_f64();
                caught.entry(id).or_insert(at);
            } else {
                wrong.insert(number);
            }
        }
    }
    Result {
        undetected: BAD.len() - caught.len(),
        times: caught.into_values().collect(),
        failed_there: failures.into_values().collect(),
        wrong: wrong.len(),
        baseline_wrong: baseline
            .iter()
            .filter(|id| !BAD.contains(&id.as_str()))
            .count(),
    }
}

fn main() {
    let runs: Vec<Result> = (0..SEEDS).map(run).collect();
    let times: Vec<f64> = runs.iter().flat_map(|run| run.times.clone()).collect();
    let failed: Vec<f64> = runs
        .iter()
        .flat_map(|run| run.failed_there.clone())
        .collect();
    println!("rule                 undetected  median s  max s  failed tasks  healthy quarantined");
    println!(
        "likelihood ratio    {:>11} {:>9.0} {:>6.0} {:>13.0} {:>20}",
        runs.iter().map(|run| run.undetected).sum::<usize>(),
        support::median(times.clone()),
        times.iter().copied().fold(0.0, f64::max),
        support::median(failed),
        runs.iter().map(|run| run.wrong).sum::<usize>(),
    );
    println!(
        "{BASELINE_FAILURES} failures in a row  {:>11} {:>9} {:>6} {:>13} {:>20}",
        "-",
        "-",
        "-",
        "-",
        runs.iter().map(|run| run.baseline_wrong).sum::<usize>(),
    );
    println!(
        "{SEEDS} seeds, {WORKERS} workers, {} of them faulty",
        BAD.len()
    );
}

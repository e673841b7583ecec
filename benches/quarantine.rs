//! Measures the time until a worker that fails every task receives no more tasks, and counts healthy
//! workers that are quarantined. Run with `cargo bench --bench quarantine`.

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
/// Number of seeds, and thus of runs.
const SEEDS: u64 = 20;
/// Simulated time of a run.
const SIMULATED: Duration = Duration::from_secs(600);
/// Simulated time between two rounds of decisions.
const STEP: Duration = Duration::from_secs(1);
/// Workers that fail every task after the first third of the simulated time.
const FAULTY: [&str; 3] = ["worker-17", "worker-101", "worker-180"];
/// Number of consecutive failures after which the baseline quarantines a worker.
const BASELINE_FAILURES: u32 = 5;

#[derive(Default)]
struct QuarantineResult {
    /// Seconds from the fault of each worker to its quarantine.
    detection_times: Vec<f64>,
    /// Number of tasks that failed on each faulty worker.
    failed_tasks: Vec<f64>,
    /// Number of faulty workers that were not quarantined.
    undetected: usize,
    /// Number of workers that were quarantined while they were healthy.
    healthy_quarantined: usize,
    /// Number of healthy workers that the baseline would have quarantined.
    baseline_healthy_quarantined: usize,
}

/// Failure rate of a workload on healthy workers: workload 0 always fails, workload 1 from the middle
/// of the simulated time on.
fn failure_rate(workload: usize, elapsed: Duration) -> f64 {
    match workload {
        0 => 1.0,
        1 if elapsed > SIMULATED / 2 => 1.0,
        2 => 0.3,
        _ => 0.01,
    }
}

fn run(seed: u64) -> QuarantineResult {
    let now = Instant::now();
    let settings = SchedulerSettings {
        seed,
        ..SchedulerSettings::default()
    };
    let mut fleet = Fleet::new(support::scheduler(WORKERS, settings, now), now);
    let mut random = StdRng::seed_from_u64(seed);
    let mut workloads: IndexMap<String, usize> = IndexMap::new();
    let mut outcomes: IndexMap<String, TaskEnd> = IndexMap::new();
    let mut consecutive_failures: IndexMap<String, u32> = IndexMap::new();
    let mut baseline_quarantined: IndexSet<String> = IndexSet::new();
    let mut detection_times: IndexMap<String, f64> = IndexMap::new();
    let mut healthy_quarantined: IndexSet<usize> = IndexSet::new();
    let mut failures: IndexMap<String, f64> = IndexMap::new();
    let mut submitted = 0;
    let faulty_from = SIMULATED / 3;
    while fleet.elapsed() < SIMULATED {
        // Keeps more jobs waiting than the fleet can run, so that every worker receives tasks.
        while fleet.scheduler.job_count() < fleet.running.len() + 200 {
            let workload = random.random_range(0..20);
            let need = support::resources(random.random_range(2..9) * 1_000, 8_192, 0);
            let mut spec = support::job(submitted, workload, need, Duration::from_secs(40));
            // The scheduler tells the workloads apart by member and name, here by member only.
            spec.workload = "same".into();
            submitted += 1;
            workloads.insert(spec.id.clone(), workload);
            fleet.submit(spec);
        }
        let elapsed = fleet.elapsed();
        let step = fleet.step(STEP, |start| {
            let faulty = FAULTY.contains(&start.worker.as_str()) && elapsed >= faulty_from;
            let rate = failure_rate(workloads[&start.job], elapsed);
            let end = *outcomes.entry(start.task.clone()).or_insert_with(|| {
                if faulty || random.random_bool(rate) {
                    TaskEnd::Failed
                } else {
                    TaskEnd::Succeeded
                }
            });
            let run_s = if faulty {
                1
            } else {
                20 + u64::from(start.index % 30)
            };
            (Duration::from_secs(run_s), end)
        });
        for (running, end) in step.ended {
            outcomes.swap_remove(&running.start.task);
            let worker = running.start.worker.clone();
            let count = consecutive_failures.entry(worker.clone()).or_default();
            *count = if end == TaskEnd::Failed {
                *count + 1
            } else {
                0
            };
            if *count >= BASELINE_FAILURES {
                baseline_quarantined.insert(worker.clone());
            }
            if end == TaskEnd::Failed && FAULTY.contains(&worker.as_str()) && elapsed >= faulty_from
            {
                *failures.entry(worker).or_default() += 1.0;
            }
        }
        for number in 0..WORKERS {
            if fleet.scheduler.quarantine().health_state(number) == HealthState::Healthy {
                continue;
            }
            let id = format!("worker-{number}");
            if FAULTY.contains(&id.as_str()) && elapsed >= faulty_from {
                let at = (elapsed - faulty_from).as_secs_f64();
                detection_times.entry(id).or_insert(at);
            } else {
                healthy_quarantined.insert(number);
            }
        }
    }
    QuarantineResult {
        undetected: FAULTY.len() - detection_times.len(),
        detection_times: detection_times.into_values().collect(),
        failed_tasks: failures.into_values().collect(),
        healthy_quarantined: healthy_quarantined.len(),
        baseline_healthy_quarantined: baseline_quarantined
            .iter()
            .filter(|id| !FAULTY.contains(&id.as_str()))
            .count(),
    }
}

fn main() {
    let runs: Vec<QuarantineResult> = (0..SEEDS).map(run).collect();
    let detection_times: Vec<f64> = runs
        .iter()
        .flat_map(|run| run.detection_times.clone())
        .collect();
    let failed: Vec<f64> = runs
        .iter()
        .flat_map(|run| run.failed_tasks.clone())
        .collect();
    println!("rule                 undetected  median s  max s  failed tasks  healthy quarantined");
    println!(
        "likelihood ratio    {:>11} {:>9.0} {:>6.0} {:>13.0} {:>20}",
        runs.iter().map(|run| run.undetected).sum::<usize>(),
        support::median(detection_times.clone()),
        detection_times.iter().copied().fold(0.0, f64::max),
        support::median(failed),
        runs.iter()
            .map(|run| run.healthy_quarantined)
            .sum::<usize>(),
    );
    println!(
        "{BASELINE_FAILURES} failures in a row  {:>11} {:>9} {:>6} {:>13} {:>20}",
        "-",
        "-",
        "-",
        "-",
        runs.iter()
            .map(|run| run.baseline_healthy_quarantined)
            .sum::<usize>(),
    );
    println!(
        "{SEEDS} seeds, {WORKERS} workers, {} of them faulty",
        FAULTY.len()
    );
}

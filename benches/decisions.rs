//! Measures the rate and the duration of scheduling decisions with 48, 400 and 1,600 workers, a full
//! fleet and a backlog. Run with `cargo bench --bench decisions`.

mod support;

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jujubewinch::scheduling::job::TaskEnd;
use jujubewinch::scheduling::job_scheduler::{JobScheduler, SchedulerSettings};
use jujubewinch::scheduling::placement::PlacementPolicy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of running tasks per worker: 38,000 on 1,600 workers.
const TASKS_PER_WORKER: f64 = 23.75;
/// Number of waiting jobs per worker.
const BACKLOG_PER_WORKER: usize = 4;
const MEMBERS: usize = 500;
/// Number of decisions after which a round ends.
const MAX_DECISIONS: usize = 30_000;
/// Duration after which a round ends even with fewer decisions.
const MAX_DURATION: Duration = Duration::from_secs(5);
const ROUNDS: usize = 3;

/// A scheduler with running and waiting jobs.
struct LoadedScheduler {
    scheduler: JobScheduler,
    random: StdRng,
    /// Ids of the running tasks.
    running: Vec<String>,
    /// Number of submitted jobs.
    submitted: usize,
    /// Simulated time.
    now: Instant,
}

impl LoadedScheduler {
    /// Submits jobs until [`TASKS_PER_WORKER`] tasks per worker are running or the workers are full,
    /// then the backlog.
    fn new(workers: usize, placement: PlacementPolicy, seed: u64) -> Self {
        let now = Instant::now();
        let settings = SchedulerSettings {
            placement,
            seed,
            ..SchedulerSettings::default()
        };
        let mut loaded = Self {
            scheduler: support::scheduler(workers, settings, now),
            random: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            submitted: 0,
            now,
        };
        let target = (workers as f64 * TASKS_PER_WORKER) as usize;
        while loaded.running.len() < target {
            let missing = target - loaded.running.len();
            for _ in 0..missing.min(1_000) {
                loaded.submit();
            }
            let started = loaded.decide(1_000);
            if started == 0 {
                break;
            }
        }
        for _ in 0..workers * BACKLOG_PER_WORKER {
            loaded.submit();
        }
        while loaded.decide(1_000) > 0 {}
        loaded
    }

    /// Submits a random job.
    fn submit(&mut self) {
        let member = self.random.random_range(0..MEMBERS);
        let need = support::mixed_need(&mut self.random);
        let run = Duration::from_secs(self.random.random_range(30..900));
        let spec = support::job(self.submitted, member, need, run);
        self.submitted += 1;
        self.scheduler.submit(spec, self.now).expect("feasible");
    }

    /// Carries out at most `limit` decisions and returns their number.
    fn decide(&mut self, limit: usize) -> usize {
        let decisions = self.scheduler.decide(self.now, limit);
        let count = decisions.len();
        let running = &mut self.running;
        let started = support::carry_out(&mut self.scheduler, decisions, self.now, |task| {
            running.retain(|other| other != task);
        });
        self.running
            .extend(started.into_iter().map(|start| start.task));
        count
    }
}

/// Ends a task and submits a job every 2 ms of simulated time. Returns the number of decisions per
/// second of scheduler run time, the durations of decisions in nanoseconds, and the number of running
/// tasks at the start.
fn measure(workers: usize, placement: PlacementPolicy, seed: u64) -> (f64, Histogram<u64>, usize) {
    let mut loaded = LoadedScheduler::new(workers, placement, seed);
    let running = loaded.running.len();
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3).expect("valid bounds");
    let started_at = Instant::now();
    let mut scheduler_time = Duration::ZERO;
    let mut decided = 0;
    while decided < MAX_DECISIONS && started_at.elapsed() < MAX_DURATION {
        loaded.now += Duration::from_millis(2);
        let ended = loaded.random.random_range(0..loaded.running.len());
        let task = loaded.running.swap_remove(ended);
        let called_at = Instant::now();
        loaded
            .scheduler
            .task_ended(&task, TaskEnd::Succeeded, loaded.now);
        scheduler_time += called_at.elapsed();
        loaded.submit();
        loop {
            let called_at = Instant::now();
            let decisions = loaded.scheduler.decide(loaded.now, 1);
            let duration = called_at.elapsed();
            scheduler_time += duration;
            histogram.saturating_record(duration.as_nanos() as u64);
            if decisions.is_empty() {
                break;
            }
            decided += decisions.len();
            let running = &mut loaded.running;
            let started =
                support::carry_out(&mut loaded.scheduler, decisions, loaded.now, |task| {
                    running.retain(|other| other != task);
                });
            loaded
                .running
                .extend(started.into_iter().map(|start| start.task));
        }
    }
    (
        decided as f64 / scheduler_time.as_secs_f64(),
        histogram,
        running,
    )
}

fn main() {
    println!("policy     workers  running  decisions/s  p50 us  p99 us  max us");
    for (name, placement) in [
        ("best_fit", PlacementPolicy::BestFit),
        ("first_fit", PlacementPolicy::FirstFit),
    ] {
        for workers in [48, 400, 1_600] {
            if name == "first_fit" && workers == 400 {
                continue;
            }
            let mut rates = Vec::new();
            let mut durations =
                Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3).expect("valid bounds");
            let mut running = 0;
            for round in 0..ROUNDS {
                let (rate, histogram, tasks) = measure(workers, placement, round as u64);
                rates.push(rate);
                running = tasks;
                durations.add(histogram).expect("equal ranges");
            }
            let quantile_us = |quantile| durations.value_at_quantile(quantile) as f64 / 1e3;
            println!(
                "{name:<10} {workers:>7} {running:>8} {:>12.0} {:>7.1} {:>7.1} {:>7.0}",
                support::median(rates),
                quantile_us(0.5),
                quantile_us(0.99),
                durations.max() as f64 / 1e3,
            );
        }
    }
}

//! Decisions per second and the time of a decision at 48, 400 and 1,600 workers, with a full fleet
//! and a backlog. Run with `cargo bench --bench decisions`.

mod support;

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jujubewinch::scheduling::job::TaskEnd;
use jujubewinch::scheduling::job_scheduler::{JobScheduler, SchedulerSettings};
use jujubewinch::scheduling::placement::PlacementPolicy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Running tasks per worker: 38,000 on 1,600 workers.
const TASKS_PER_WORKER: f64 = 23.75;
/// Waiting jobs per worker.
const BACKLOG_PER_WORKER: usize = 4;
const MEMBERS: usize = 500;
const MEASURED: usize = 30_000;
const MAX_TIME: Duration = Duration::from_secs(5);
const ROUNDS: usize = 3;

struct Load {
    scheduler: JobScheduler,
    random: StdRng,
    running: Vec<String>,
    submitted: usize,
    now: Instant,
}

impl Load {
    fn new(workers: usize, placement: PlacementPolicy, seed: u64) -> Self {
        let now = Instant::now();
        let settings = SchedulerSettings {
            placement,
            seed,
            ..SchedulerSettings::default()
        };
        let mut load = Self {
            scheduler: support::scheduler(workers, settings, now),
            random: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            submitted: 0,
            now,
        };
        let wanted = (workers as f64 * TASKS_PER_WORKER) as usize;
        while load.running.len() < wanted {
            let missing = wanted - load.running.len();
            for _ in 0..missing.min(1_000) {
                load.submit();
            }
            let started = load.decide(1_000);
            if started == 0 {
                break;
            }
        }
        for _ in 0..workers * BACKLOG_PER_WORKER {
            load.submit();
        }
        while load.decide(1_000) > 0 {}
        load
    }

    fn submit(&mut self) {
        let member = self.random.random_range(0..MEMBERS);
        let need = support::mixed_need(&mut self.random);
        let run = Duration::from_secs(self.random.random_range(30..900));
        let spec = support::job(self.submitted, member, need, run);
        self.submitted += 1;
        self.scheduler.submit(spec, self.now).expect("feasible");
    }

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

fn measure(workers: usize, placement: PlacementPolicy, seed: u64) -> (f64, Histogram<u64>, usize) {
    let mut load = Load::new(workers, placement, seed);
    let running = load.running.len();
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3).expect("valid bounds");
    let begun = Instant::now();
    let mut busy = Duration::ZERO;
    let mut decided = 0;
    while decided < MEASURED && begun.elapsed() < MAX_TIME {
        load.now += Duration::from_millis(2);
        let ended = load.random.random_range(0..load.running.len());
        let task = load.running.swap_remove(ended);
        let at = Instant::now();
        load.scheduler
            .task_ended(&task, TaskEnd::Succeeded, load.now);
        busy += at.elapsed();
        load.submit();
        loop {
            let at = Instant::now();
            let decisions = load.scheduler.decide(load.now, 1);
            let taken = at.elapsed();
            busy += taken;
            histogram.saturating_record(taken.as_nanos() as u64);
            if decisions.is_empty() {
                break;
            }
            decided += decisions.len();
            let running = &mut load.running;
            let started = support::carry_out(&mut load.scheduler, decisions, load.now, |task| {
                running.retain(|other| other != task);
            });
            load.running
                .extend(started.into_iter().map(|start| start.task));
        }
    }
    (decided as f64 / busy.as_secs_f64(), histogram, running)
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
            let mut all =
                Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3).expect("valid bounds");
            let mut running = 0;
            for round in 0..ROUNDS {
                let (rate, histogram, tasks) = measure(workers, placement, round as u64);
                rates.push(rate);
                running = tasks;
                all.add(histogram).expect("equal ranges");
            }
            let us = |quantile| all.value_at_quantile(quantile) as f64 / 1e3;
            println!(
                "{name:<10} {workers:>7} {running:>8} {:>12.0} {:>7.1} {:>7.1} {:>7.0}",
                support::median(rates),
                us(0.5),
                us(0.99),
                all.max() as f64 / 1e3,
            );
        }
    }
}

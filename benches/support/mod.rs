//! Fleets, jobs and statistics for the benchmarks of the job scheduler.
#![allow(dead_code, reason = "each benchmark uses only some of the helpers")]

pub mod virtual_time;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::protocol::caller::Urgency;
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job::{JobSpec, LocationPreference, TaskEnd};
use jujubewinch::scheduling::job_scheduler::{
    Decision, JobScheduler, SchedulerSettings, TaskStart,
};
use jujubewinch::scheduling::ledger::WorkerDescription;
use rand::RngExt;
use rand::rngs::StdRng;

/// Number of accelerators of each worker that has any: 425 of 1,600 workers, 3,400 accelerators in
/// total.
const ACCELERATORS: u64 = 8;

/// Description of the worker with the given number; `count` has no effect.
pub fn worker(number: usize, count: usize) -> WorkerDescription {
    let with_accelerators = number * 425 / 1_600 != (number + 1) * 425 / 1_600;
    let capacity = if with_accelerators {
        resources(64_000, 262_144, ACCELERATORS)
    } else {
        resources(48_000, 131_072, 0)
    };
    let _ = count;
    WorkerDescription {
        id: format!("worker-{number}"),
        incarnation: 1,
        rack: format!("rack-{}", number / 8),
        data_centre: "erdenet".into(),
        region: "orkhon".into(),
        capacity,
        leaving: false,
    }
}

pub fn resources(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib,
        accelerators,
    }
}

/// Creates a scheduler with workers that run no tasks.
pub fn scheduler(workers: usize, settings: SchedulerSettings, now: Instant) -> JobScheduler {
    let mut scheduler = JobScheduler::new(settings);
    for number in 0..workers {
        scheduler.worker_announced(worker(number, workers), &IndexMap::new(), now);
    }
    scheduler
}

/// A batch job of one task that declares `run` as its run time.
pub fn job(id: usize, member: usize, need: Resources, run: Duration) -> JobSpec {
    JobSpec {
        id: format!("job{id}"),
        kind: "batch".into(),
        member: format!("team-{member}"),
        caller: format!("caller-{}", id % 4),
        workload: format!("workload-{}", id % 7),
        tasks: 1,
        resources: need,
        expected_run_ms: Some(run.as_millis() as u64),
        urgency: Urgency::Normal,
        at_most_once: false,
        preference: LocationPreference::default(),
        payload: Vec::new(),
    }
}

/// Random resources of a task: mostly small, with accelerators in one of 25 tasks.
pub fn mixed_need(random: &mut StdRng) -> Resources {
    match random.random_range(0..100) {
        0..4 => resources(
            random.random_range(2..9) * 1_000,
            random.random_range(4..17) * 2_048,
            random.random_range(1..5),
        ),
        4..10 => resources(
            random.random_range(4..17) * 1_000,
            random.random_range(4..33) * 1_024,
            0,
        ),
        10..55 => resources(
            random.random_range(2..9) * 250,
            random.random_range(8..19) * 512,
            0,
        ),
        _ => resources(
            random.random_range(4..11) * 250,
            random.random_range(2..9) * 512,
            0,
        ),
    }
}

/// Task starts among the decisions.
pub fn starts(decisions: Vec<Decision>) -> Vec<TaskStart> {
    let starts = decisions.into_iter().filter_map(|decision| match decision {
        Decision::Start(start) => Some(start),
        _ => None,
    });
    starts.collect()
}

/// Ends the preempted tasks immediately, reports each to `stopped`, and returns the started tasks.
pub fn carry_out(
    scheduler: &mut JobScheduler,
    decisions: Vec<Decision>,
    now: Instant,
    mut stopped: impl FnMut(&str),
) -> Vec<TaskStart> {
    let mut started = Vec::new();
    for decision in decisions {
        match decision {
            Decision::Start(start) => started.push(start),
            Decision::Preempt { task, .. } => {
                stopped(&task);
                scheduler.task_ended(&task, TaskEnd::Stopped, now);
            }
            Decision::Reserve { .. } | Decision::Refuse { .. } => {}
        }
    }
    started
}

/// Allocated fractions of processor time, memory and accelerators.
pub fn allocated_fractions(scheduler: &JobScheduler) -> [f64; 3] {
    let capacity = scheduler.ledger().capacity();
    let mut sum = Resources::ZERO;
    for (_, worker) in scheduler.ledger().workers() {
        sum = sum.checked_add(&worker.allocated()).unwrap_or(sum);
    }
    let fraction = |amount: u64, capacity: u64| amount as f64 / capacity.max(1) as f64;
    [
        fraction(sum.cpu_millis, capacity.cpu_millis),
        fraction(sum.memory_mib, capacity.memory_mib),
        fraction(sum.accelerators, capacity.accelerators),
    ]
}

pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

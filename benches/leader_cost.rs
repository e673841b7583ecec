//! Measures the processor time of the host that leads a cell, by kind of thread and for each task
//! start.
//!
//! Starts the binary's `cell` command once for each host, on loopback addresses with the delay of
//! links between regions. This process simulates the workers with their heartbeats, the placement
//! policy and the callers. Each of the six loads takes about 25 s.
//!
//! Run all loads with `cargo bench --bench leader_cost`, or one with `-- 350x900` (number of
//! workers x task starts per second).

mod cell_load;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use cell_load::callers::{Callers, Heartbeats};
use cell_load::hosts::Hosts;
use cell_load::links::Links;
use cell_load::processor_time::{self, Usage};
use cell_load::workers::StandIns;
use indexmap::IndexMap;

/// Time until the queues and the running tasks are in a steady state: longer than the longest run.
const WARM_UP: Duration = Duration::from_secs(8);
/// Duration of the measurement after the warm-up.
const MEASUREMENT: Duration = Duration::from_secs(12);
/// Numbers of workers of a small and of the largest deployment.
const WORKERS: [usize; 2] = [48, 350];
/// Task starts per second: the rate of a small deployment, and half and all of that of the largest.
const RATES: [usize; 3] = [200, 450, 900];

/// Load of one run.
struct Load {
    workers: usize,
    starts_per_s: usize,
}

/// Results of one run.
struct Results {
    /// Task starts within the measurement.
    starts: usize,
    /// Processor time of the leader by kind of thread.
    usage: IndexMap<String, Usage>,
    /// Processor time of each entry host within the measurement.
    entry_spent_ms: Vec<f64>,
    /// Number of hosts that were named as leader during the run; 1 if the leader never changed.
    leaders: usize,
    /// Number of answers to callers, by kind of request and status.
    answers: IndexMap<String, usize>,
}

fn main() {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    let mut loads = Vec::new();
    for workers in WORKERS {
        for starts_per_s in RATES {
            let name = format!("{workers}x{starts_per_s}");
            if selected.is_empty() || selected.contains(&name) {
                loads.push(Load {
                    workers,
                    starts_per_s,
                });
            }
        }
    }
    for load in loads {
        let results = measure(&load);
        report(&load, &results);
    }
}

fn measure(load: &Load) -> Results {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let _links = Links::start();
    let simulated_workers = StandIns::start(load.workers);
    let hosts = Hosts::start(folder.path(), simulated_workers.policy_address());
    let heartbeats = Heartbeats::start(&simulated_workers, load.workers);
    let callers = Callers::start(load.workers, load.starts_per_s, WARM_UP + MEASUREMENT);
    thread::sleep(WARM_UP);
    let leader = heartbeats.leader().expect("a leader");
    let process = hosts.process_id(&leader);
    println!("measuring process {process} of {leader}");
    let starts_before = simulated_workers.starts().load(Ordering::Acquire);
    let entry_processes = hosts.entry_processes();
    let totals = || {
        entry_processes
            .iter()
            .map(|id| processor_time::total_ms(*id))
    };
    let entry_before: Vec<f64> = totals().collect();
    let usage = processor_time::watch(process, Instant::now() + MEASUREMENT);
    let entry_spent_ms = totals()
        .zip(entry_before)
        .map(|(after, before)| after - before);
    let entry_spent_ms = entry_spent_ms.collect();
    let starts = simulated_workers.starts().load(Ordering::Acquire) - starts_before;
    let leader_after = heartbeats.leader();
    if leader_after.as_ref() != Some(&leader) {
        println!("invalid run: the leader at the end was {leader_after:?}");
    }
    Results {
        starts,
        usage,
        entry_spent_ms,
        leaders: heartbeats.leaders(),
        answers: callers.finish(),
    }
}

fn report(load: &Load, results: &Results) {
    let seconds = MEASUREMENT.as_secs_f64();
    let total_ms: f64 = results.usage.values().map(|usage| usage.spent_ms).sum();
    println!(
        "\n{} workers, {} starts per second requested: {:.0} started, {:.3} cores, {:.3} ms per start, {} leaders seen",
        load.workers,
        load.starts_per_s,
        results.starts as f64 / seconds,
        total_ms / seconds / 1_000.0,
        total_ms / results.starts.max(1) as f64,
        results.leaders,
    );
    let entry_mean_ms =
        results.entry_spent_ms.iter().sum::<f64>() / results.entry_spent_ms.len().max(1) as f64;
    let entry_max_ms = results.entry_spent_ms.iter().copied().fold(0.0, f64::max);
    println!(
        "cores of an entry host: {:.3} mean, {:.3} maximum",
        entry_mean_ms / seconds / 1_000.0,
        entry_max_ms / seconds / 1_000.0,
    );
    println!("answers to callers: {:?}", results.answers);
    println!("| thread | threads | ms per start | share |\n| --- | --- | --- | --- |");
    let mut rows: Vec<_> = results.usage.iter().collect();
    rows.sort_by(|left, right| right.1.spent_ms.total_cmp(&left.1.spent_ms));
    for (name, usage) in rows {
        println!(
            "| {name} | {} | {:.4} | {:.0}% |",
            usage.threads,
            usage.spent_ms / results.starts.max(1) as f64,
            usage.spent_ms / total_ms * 100.0
        );
    }
}

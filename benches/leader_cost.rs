//! Processor time of the host that leads a cell, by kind of thread and for each task start.
//!
//! Starts the binary's `cell` command once for each host, on loopback addresses with the delay of
//! links between regions, beside stand-ins of workers, the placement policy, callers and
//! heartbeats. Bounded in time: about 25 s for each of the six sizes.
//!
//! `cargo bench --bench leader_cost`, or `-- 350x900` for one size (workers x starts a second).

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

/// Time for the queues and the running tasks to become steady: longer than the longest run.
const WARM_UP: Duration = Duration::from_secs(8);
/// Measured time.
const MEASURED: Duration = Duration::from_secs(12);
/// Workers of a small and of the largest deployment.
const WORKERS: [usize; 2] = [48, 350];
/// Task starts a second: a small deployment, half and the whole of the largest.
const RATES: [usize; 3] = [200, 450, 900];

/// One run.
struct Size {
    workers: usize,
    starts_per_s: usize,
}

/// What a run showed.
struct Figures {
    starts: usize,
    usage: IndexMap<String, Usage>,
    /// Processor time of each entry host.
    entry_spent_ms: Vec<f64>,
    leaders: usize,
    answers: IndexMap<String, usize>,
}

fn main() {
    let chosen: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    let mut sizes = Vec::new();
    for workers in WORKERS {
        for starts_per_s in RATES {
            let name = format!("{workers}x{starts_per_s}");
            if chosen.is_empty() || chosen.contains(&name) {
                sizes.push(Size {
                    workers,
                    starts_per_s,
                });
            }
        }
    }
    for size in sizes {
        let figures = measure(&size);
        report(&size, &figures);
    }
}

fn measure(size: &Size) -> Figures {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let _links = Links::start();
    let stand_ins = StandIns::start(size.workers);
    let hosts = Hosts::start(folder.path(), stand_ins.policy_address());
    let heartbeats = Heartbeats::start(&stand_ins, size.workers);
    let callers = Callers::start(size.workers, size.starts_per_s, WARM_UP + MEASURED);
    thread::sleep(WARM_UP);
    let leader = heartbeats.leader().expect("a leader");
    let process = hosts.process_id(&leader);
    println!("measuring process {process} of {leader}");
    let starts_before = stand_ins.starts().load(Ordering::Acquire);
    let entry_processes = hosts.entry_processes();
    let totals = || {
        entry_processes
            .iter()
            .map(|id| processor_time::total_ms(*id))
    };
    let entry_before: Vec<f64> = totals().collect();
    let usage = processor_time::watch(process, Instant::now() + MEASURED);
    let entry_spent_ms = totals()
        .zip(entry_before)
        .map(|(after, before)| after - before);
    let entry_spent_ms = entry_spent_ms.collect();
    let starts = stand_ins.starts().load(Ordering::Acquire) - starts_before;
    let leader_after = heartbeats.leader();
    if leader_after.as_ref() != Some(&leader) {
        println!("not valid: {leader_after:?} led at the end");
    }
    Figures {
        starts,
        usage,
        entry_spent_ms,
        leaders: heartbeats.leaders(),
        answers: callers.finish(),
    }
}

fn report(size: &Size, figures: &Figures) {
    let seconds = MEASURED.as_secs_f64();
    let total_ms: f64 = figures.usage.values().map(|usage| usage.spent_ms).sum();
    println!(
        "\n{} workers, {} starts a second asked for: {:.0} begun, {:.3} cores, {:.3} ms for each start, {} leaders seen",
        size.workers,
        size.starts_per_s,
        figures.starts as f64 / seconds,
        total_ms / seconds / 1_000.0,
        total_ms / figures.starts.max(1) as f64,
        figures.leaders,
    );
    let entry_mean_ms =
        figures.entry_spent_ms.iter().sum::<f64>() / figures.entry_spent_ms.len().max(1) as f64;
    let entry_most_ms = figures.entry_spent_ms.iter().copied().fold(0.0, f64::max);
    println!(
        "cores of an entry host: {:.3} in the mean, {:.3} at the most",
        entry_mean_ms / seconds / 1_000.0,
        entry_most_ms / seconds / 1_000.0,
    );
    println!("answers to callers: {:?}", figures.answers);
    println!("| thread | threads | ms for each start | share |\n| --- | --- | --- | --- |");
    let mut rows: Vec<_> = figures.usage.iter().collect();
    rows.sort_by(|left, right| right.1.spent_ms.total_cmp(&left.1.spent_ms));
    for (name, usage) in rows {
        println!(
            "| {name} | {} | {:.4} | {:.0}% |",
            usage.threads,
            usage.spent_ms / figures.starts.max(1) as f64,
            usage.spent_ms / total_ms * 100.0
        );
    }
}

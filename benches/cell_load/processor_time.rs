//! Measures the processor time of a process by kind of thread.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Interval of the samples; the time that a thread uses after its last sample is not counted.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(250);

/// Length of a clock tick, in which Linux states the times of a process.
const MS_PER_TICK: f64 = 10.0;

/// Processor time of the threads of one kind.
#[derive(Default)]
pub struct Usage {
    /// Number of threads at the last sample.
    pub threads: usize,
    /// Processor time used while the process was watched, in milliseconds.
    pub spent_ms: f64,
}

struct Thread {
    kind: String,
    /// Processor time at the start of the watch; zero for threads that started later.
    first_ns: u64,
    /// Processor time at the last sample.
    last_ns: u64,
    /// Whether the thread existed at the last sample.
    present: bool,
}

/// Samples a process until the time `until` and returns its usage by kind of thread.
pub fn watch(process: u32, until: Instant) -> IndexMap<String, Usage> {
    let mut threads = IndexMap::new();
    sample(process, &mut threads, true);
    while Instant::now() < until {
        thread::sleep(SAMPLING_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        sample(process, &mut threads, false);
    }
    let mut usage: IndexMap<String, Usage> = IndexMap::new();
    for thread in threads.values() {
        let entry = usage.entry(thread.kind.clone()).or_default();
        entry.threads += usize::from(thread.present);
        entry.spent_ms += (thread.last_ns - thread.first_ns) as f64 / 1e6;
    }
    usage
}

fn sample(process: u32, threads: &mut IndexMap<String, Thread>, first: bool) {
    for thread in threads.values_mut() {
        thread.present = false;
    }
    let Ok(tasks) = fs::read_dir(format!("/proc/{process}/task")) else {
        return;
    };
    for task in tasks.flatten() {
        let id = task.file_name().to_string_lossy().into_owned();
        // The first field is the processor time in nanoseconds. A thread may end between the reads.
        let Ok(statistics) = fs::read_to_string(task.path().join("schedstat")) else {
            continue;
        };
        let spent_ns = statistics
            .split(' ')
            .next()
            .and_then(|text| text.parse().ok());
        let Some(spent_ns) = spent_ns else {
            continue;
        };
        if let Some(known) = threads.get_mut(&id) {
            known.last_ns = spent_ns;
            known.present = true;
            continue;
        }
        let Ok(name) = fs::read_to_string(task.path().join("comm")) else {
            continue;
        };
        let thread = Thread {
            kind: kind_of(name.trim_end()),
            first_ns: if first { spent_ns } else { 0 },
            last_ns: spent_ns,
            present: true,
        };
        threads.insert(id, thread);
    }
}

/// Returns the processor time of a whole process since its start, in milliseconds.
pub fn total_ms(process: u32) -> f64 {
    let statistics = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The program name is in brackets; user and system time are the 12th and 13th field after it.
    let fields = statistics.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|text| text.parse::<f64>().ok()).sum();
    ticks * MS_PER_TICK
}

/// Returns the thread name without the part that differs between threads of a kind. Linux truncates
/// thread names to 15 bytes.
fn kind_of(name: &str) -> String {
    match name {
        "placer-schedule" => "placer-scheduler".to_owned(),
        "placer-membersh" => "placer-membership".to_owned(),
        name if name.starts_with("replica-to-") => "replica-to".to_owned(),
        name => name.to_owned(),
    }
}

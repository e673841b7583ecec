//! Estimates the resource usage and run time of a workload from observations.
//!
//! Estimates order work and admit backfill. The ledger doesn't use them: it counts declared sizes
//! only.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::resources::Resources;

/// Buckets per power of two; an estimate is at most 19% above the observed value.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets; covers values up to 2^32 in the unit of the histogram.
const BUCKETS: usize = 130;
/// Time after which the weight of an observation has halved.
const HALF_LIFE: Duration = Duration::from_secs(3_600);
/// Limit of the age of the reference time, in half-lives, above which all weights are rescaled;
/// `record` rescales at 100 already. The weight of a new observation doubles with each half-life
/// and overflows an `f32` at 128.
const MAX_EXPONENT: f64 = 200.0;
/// Maximum number of workloads with a history; beyond it, approximately the least recently
/// observed one is evicted.
const MAX_WORKLOADS: usize = 20_000;
/// Twice the weight of the observations that an estimate requires. A recent observation has weight
/// 1, so that two of them suffice.
const MIN_WEIGHT: f64 = 3.0;

/// Histogram with exponentially decaying weights. The crate `hdrhistogram` isn't used because it
/// has integer counts and no decay.
#[derive(Clone, Debug)]
pub struct DecayingHistogram {
    weights: Vec<f32>,
    /// Time at which an observation is recorded with weight 1.
    reference: Instant,
}

impl DecayingHistogram {
    /// Creates an empty histogram.
    pub fn new(now: Instant) -> Self {
        Self {
            weights: Vec::new(),
            reference: now,
        }
    }

    /// Adds an observation.
    pub fn record(&mut self, value: u64, now: Instant) {
        let mut exponent = self.exponent(now);
        if exponent > MAX_EXPONENT.min(100.0) {
            let factor = 2f64.powf(-exponent) as f32;
            for weight in &mut self.weights {
                *weight *= factor;
            }
            self.reference = now;
            exponent = 0.0;
        }
        let bucket = bucket_of(value);
        if self.weights.len() <= bucket {
            self.weights.resize(bucket + 1, 0.0);
        }
        self.weights[bucket] += 2f64.powf(exponent) as f32;
    }

    /// Returns the upper bound of the bucket that contains the quantile, or `None` if there are
    /// too few observations.
    pub fn quantile(&self, quantile: f64, now: Instant) -> Option<u64> {
        let total: f64 = self.weights.iter().map(|&weight| f64::from(weight)).sum();
        if total < MIN_WEIGHT * 2f64.powf(self.exponent(now)) * 0.5 {
            return None;
        }
        let mut below = 0.0;
        for (bucket, &weight) in self.weights.iter().enumerate() {
            below += f64::from(weight);
            if below >= total * quantile && weight > 0.0 {
                return Some(upper_bound(bucket));
            }
        }
        None
    }

    /// Age of the reference time in half-lives.
    fn exponent(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reference);
        age.as_secs_f64() / HALF_LIFE.as_secs_f64()
    }
}

fn bucket_of(value: u64) -> usize {
    let position = ((value.max(1) as f64).log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    position.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> u64 {
    2f64.powf(bucket as f64 / BUCKETS_PER_DOUBLING).ceil() as u64
}

struct WorkloadHistory {
    run_ms: DecayingHistogram,
    cpu_millis: DecayingHistogram,
    memory_mib: DecayingHistogram,
}

/// Observations of all workloads.
#[derive(Default)]
pub struct Estimates {
    /// Keyed by [`JobSpec::workload_key`](super::job::JobSpec::workload_key), and ordered
    /// approximately from the least to the most recently observed.
    workloads: IndexMap<String, WorkloadHistory>,
}

impl Estimates {
    /// Records the run time of a task that succeeded.
    pub fn record_run(&mut self, workload: &str, run: Duration, now: Instant) {
        let run_ms = u64::try_from(run.as_millis()).unwrap_or(u64::MAX);
        self.history(workload, now).run_ms.record(run_ms, now);
    }

    /// Records the measured usage of a running task.
    pub fn record_usage(&mut self, workload: &str, usage: &Resources, now: Instant) {
        let history = self.history(workload, now);
        history.cpu_millis.record(usage.cpu_millis, now);
        history.memory_mib.record(usage.memory_mib, now);
    }

    /// Returns the run time that the given fraction of tasks doesn't exceed.
    pub fn run_time(&self, workload: &str, quantile: f64, now: Instant) -> Option<Duration> {
        let history = self.workloads.get(workload)?;
        history
            .run_ms
            .quantile(quantile, now)
            .map(Duration::from_millis)
    }

    /// Returns the processor time and memory that the given fraction of usage reports doesn't
    /// exceed. Accelerators are always zero.
    pub fn usage(&self, workload: &str, quantile: f64, now: Instant) -> Option<Resources> {
        let history = self.workloads.get(workload)?;
        Some(Resources {
            cpu_millis: history.cpu_millis.quantile(quantile, now)?,
            memory_mib: history.memory_mib.quantile(quantile, now)?,
            accelerators: 0,
        })
    }

    fn history(&mut self, workload: &str, now: Instant) -> &mut WorkloadHistory {
        if !self.workloads.contains_key(workload) {
            if self.workloads.len() >= MAX_WORKLOADS {
                self.workloads.swap_remove_index(0);
            }
            let history = WorkloadHistory {
                run_ms: DecayingHistogram::new(now),
                cpu_millis: DecayingHistogram::new(now),
                memory_mib: DecayingHistogram::new(now),
            };
            self.workloads.insert(workload.to_owned(), history);
        }
        &mut self.workloads[workload]
    }
}

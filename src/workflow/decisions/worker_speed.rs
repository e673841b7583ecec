//! Measures how fast workers are from the runs that ended on them.
//!
//! Load pattern: workers differ in speed by a third, and a job ends with its slowest task. Declared
//! run times are wrong by half, so that they say little about a worker; the tasks of one stage are
//! alike, so that the run times of a completed stage show which of its workers are slower.

/// Fewest run times of a stage that are compared: with two, either may be the unusual one.
const MIN_COMPARED_RUNS: usize = 3;
/// Largest difference of a run time from the others that counts, as a natural logarithm: one task in
/// thirty takes several times as long as the others of its stage on any worker.
const MAX_DIFFERENCE: f64 = 0.7;
/// Run times after which earlier ones have lost half of their weight, so that a change of the worker
/// shows.
const HALVING_RUNS: f64 = 64.0;
/// Fewest run times from which the speed of a worker is judged: five, of which the earlier ones have
/// lost some weight.
const MIN_RUNS: f64 = 4.5;
/// Difference from the average worker that counts as slow, as a natural logarithm.
const SLOW_DIFFERENCE: f64 = 0.08;
/// Standard errors by which the difference has to exceed zero: with 1.5, one worker in fifteen of
/// equal ones counts as slow for a time, which costs nothing while others have room.
const STANDARD_ERRORS: f64 = 1.5;
/// Run time on a slow worker relative to the others in the order of workers.
const SLOW_FACTOR: f64 = 1.25;

/// Returns the difference of each run time from the average of a stage, as natural logarithms.
/// `None` if there are too few to compare, or a run took no time.
pub fn differences(run_times_ms: &[u64]) -> Option<Vec<f64>> {
    if run_times_ms.len() < MIN_COMPARED_RUNS || run_times_ms.contains(&0) {
        return None;
    }
    let logarithms = run_times_ms.iter().map(|&run_ms| (run_ms as f64).ln());
    let logarithms: Vec<f64> = logarithms.collect();
    let count = logarithms.len() as f64;
    let mean = logarithms.iter().sum::<f64>() / count;
    // A run is part of the average that it is compared with.
    let scale = count / (count - 1.0);
    let differences = logarithms.iter().map(|logarithm| {
        let difference = (logarithm - mean) * scale;
        difference.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE)
    });
    Some(differences.collect())
}

/// Run times of a worker relative to those of other workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerSpeed {
    /// Number of run times, earlier ones with less weight.
    count: f64,
    /// Sum of the differences.
    sum: f64,
    /// Sum of the squares of the differences.
    squares: f64,
}

impl WorkerSpeed {
    /// Records the difference of a run time from the average of its stage.
    pub fn record(&mut self, difference: f64) {
        let kept = 0.5_f64.powf(1.0 / HALVING_RUNS);
        self.count = self.count * kept + 1.0;
        self.sum = self.sum * kept + difference;
        self.squares = self.squares * kept + difference * difference;
    }

    /// Whether enough runs ended to judge the speed.
    pub fn is_known(&self) -> bool {
        self.count >= MIN_RUNS
    }

    /// Expected run time relative to other workers; 1 unless the worker is known to be slow.
    pub fn slowness(&self) -> f64 {
        if !self.is_known() {
            return 1.0;
        }
        let mean = self.sum / self.count;
        let variance = (self.squares / self.count - mean * mean).max(0.0);
        let standard_error = (variance / self.count).sqrt();
        let least = SLOW_DIFFERENCE.max(STANDARD_ERRORS * standard_error);
        if mean >= least { SLOW_FACTOR } else { 1.0 }
    }
}

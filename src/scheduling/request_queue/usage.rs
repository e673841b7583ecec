//! Accounting of slot time, and estimates of execution times and rates.

use std::time::Duration;

/// Virtual time of one microsecond of slot time at weight 1.
const VIRTUAL_SCALE: u64 = 1_000;
/// Assumed execution time until one has been measured.
const INITIAL_EXECUTION_US: u64 = 10_000;
/// Weight of a new execution time in the moving mean.
const EXECUTION_GAIN: f64 = 0.1;
/// Length of the sliding window of the dispatch rate.
const RATE_WINDOW_US: u64 = 1_000_000;
/// Time constant of the mean number of running requests.
const MEAN_RUNNING_US: f64 = 2e6;

/// Advances a virtual time by slot time divided by the weight; negative slot time moves it back.
pub(super) fn advance(virtual_time: u64, slot_us: i64, weight: u32) -> u64 {
    let step = slot_us.unsigned_abs().saturating_mul(VIRTUAL_SCALE) / u64::from(weight.max(1));
    if slot_us >= 0 {
        virtual_time.saturating_add(step)
    } else {
        virtual_time.saturating_sub(step)
    }
}

/// Slot time of running requests: estimated at dispatch and exact once all have finished.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenUsage {
    running: u64,
    /// Sum of the start times of the running requests.
    starts_us: u64,
    /// Sum of the estimated execution times of the running requests.
    estimates_us: u64,
    /// Slot time charged for the running requests so far.
    charged_us: u64,
}

impl OpenUsage {
    pub(super) fn running(&self) -> u64 {
        self.running
    }

    /// Slot time of the running requests: the elapsed time or, if larger, the estimates.
    fn open_us(&self, now_us: u64) -> u64 {
        let elapsed_us = (self.running * now_us).saturating_sub(self.starts_us);
        elapsed_us.max(self.estimates_us)
    }

    /// Returns the slot time to charge since the last call, which includes the time by which
    /// requests exceed their estimates.
    pub(super) fn settle(&mut self, now_us: u64) -> i64 {
        let open_us = self.open_us(now_us);
        let charge = open_us.cast_signed() - self.charged_us.cast_signed();
        self.charged_us = open_us;
        charge
    }

    /// Records a request that starts; returns the slot time to charge.
    pub(super) fn start(&mut self, now_us: u64, estimate_us: u64) -> i64 {
        self.running += 1;
        self.starts_us += now_us;
        self.estimates_us += estimate_us;
        self.settle(now_us)
    }

    /// Records a request that finished; returns the slot time to charge, negative to refund.
    pub(super) fn finish(&mut self, start_us: u64, estimate_us: u64, now_us: u64) -> i64 {
        self.running -= 1;
        self.starts_us -= start_us;
        self.estimates_us -= estimate_us;
        now_us.saturating_sub(start_us).cast_signed() + self.settle(now_us)
    }
}

/// Moving mean of execution times.
#[derive(Clone, Debug, Default)]
pub(super) struct ExecutionTime {
    mean_us: Option<f64>,
}

impl ExecutionTime {
    pub(super) fn record(&mut self, execution_us: u64) {
        let sample = execution_us as f64;
        let mean = self.mean_us.unwrap_or(sample);
        self.mean_us = Some(mean + (sample - mean) * EXECUTION_GAIN);
    }

    pub(super) fn known_us(&self) -> Option<u64> {
        self.mean_us.map(|mean| mean.max(1.0) as u64)
    }

    /// Returns the mean, or else the mean of `other`, or else the initial assumption.
    pub(super) fn mean_us_or(&self, other: &Self) -> u64 {
        self.known_us()
            .or(other.known_us())
            .unwrap_or(INITIAL_EXECUTION_US)
    }
}

/// Events per second over a sliding window, interpolated from two fixed windows.
#[derive(Clone, Debug, Default)]
pub(super) struct RateWindow {
    window: u64,
    current: u64,
    previous: u64,
}

impl RateWindow {
    fn roll(&mut self, now_us: u64) {
        let window = now_us / RATE_WINDOW_US;
        if window == self.window {
            return;
        }
        self.previous = if window == self.window + 1 {
            self.current
        } else {
            0
        };
        self.current = 0;
        self.window = window;
    }

    pub(super) fn record(&mut self, now_us: u64) {
        self.roll(now_us);
        self.current += 1;
    }

    pub(super) fn per_second(&mut self, now_us: u64) -> f64 {
        self.roll(now_us);
        let remaining = 1.0 - (now_us % RATE_WINDOW_US) as f64 / RATE_WINDOW_US as f64;
        let events = self.previous as f64 * remaining + self.current as f64;
        events / Duration::from_micros(RATE_WINDOW_US).as_secs_f64()
    }
}

/// Moving mean of the number of running requests, weighted by time.
#[derive(Clone, Debug, Default)]
pub(super) struct MeanRunning {
    running: u64,
    mean: f64,
    updated_us: u64,
}

impl MeanRunning {
    pub(super) fn mean_at(&mut self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us);
        let weight = (-(age_us as f64) / MEAN_RUNNING_US).exp();
        self.mean = self.mean * weight + self.running as f64 * (1.0 - weight);
        self.updated_us = now_us;
        self.mean
    }

    pub(super) fn set_running(&mut self, running: u64, now_us: u64) {
        self.mean_at(now_us);
        self.running = running;
    }
}

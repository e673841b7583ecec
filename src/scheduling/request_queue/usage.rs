//! Accounting of slot time and its estimates.

use std::time::Duration;

/// Virtual time of one microsecond of slot time at weight 1.
const VIRTUAL_SCALE: u64 = 1_000;
/// Execution time assumed before one was measured.
const INITIAL_EXECUTION_US: u64 = 10_000;
/// Weight of a new execution time in the moving mean.
const EXECUTION_GAIN: f64 = 0.1;
/// Window of the dispatch rate.
const RATE_WINDOW_US: u64 = 1_000_000;
/// Time constant of the mean number of running requests.
const MEAN_RUNNING_US: f64 = 2e6;

/// Moves a virtual time by slot time divided by the weight.
pub(super) fn advance(virtual_time: u64, slot_us: i64, weight: u32) -> u64 {
    let step = slot_us.unsigned_abs().saturating_mul(VIRTUAL_SCALE) / u64::from(weight.max(1));
    if slot_us >= 0 {
        virtual_time.saturating_add(step)
    } else {
        virtual_time.saturating_sub(step)
    }
}

/// Slot time of requests in execution: estimated at dispatch, exact once all have finished.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenUsage {
    running: u64,
    /// Sum of the start times.
    starts_us: u64,
    /// Sum of the estimates.
    estimates_us: u64,
    /// Slot time charged for the running requests so far.
    charged_us: u64,
}

impl OpenUsage {
    pub(super) fn running(&self) -> u64 {
        self.running
    }

    fn open_us(&self, now_us: u64) -> u64 {
        let elapsed_us = (self.running * now_us).saturating_sub(self.starts_us);
        elapsed_us.max(self.estimates_us)
    }

    /// Slot time to charge since the last call; covers requests that outlast their estimate.
    pub(super) fn settle(&mut self, now_us: u64) -> i64 {
        let open_us = self.open_us(now_us);
        let charge = open_us.cast_signed() - self.charged_us.cast_signed();
        self.charged_us = open_us;
        charge
    }

    /// Slot time to charge for a request that starts.
    pub(super) fn start(&mut self, now_us: u64, estimate_us: u64) -> i64 {
        self.running += 1;
        self.starts_us += now_us;
        self.estimates_us += estimate_us;
        self.settle(now_us)
    }

    /// Slot time to charge or give back for a request that finished.
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

    pub(super) fn or(&self, other: &Self) -> u64 {
        self.known_us()
            .or(other.known_us())
            .unwrap_or(INITIAL_EXECUTION_US)
    }
}

/// Events per second over a sliding window.
#[derive(Clone, Debug, Default)]
pub(super) struct RateWindow {
    window: u64,
    present: u64,
    former: u64,
}

impl RateWindow {
    fn roll(&mut self, now_us: u64) {
        let window = now_us / RATE_WINDOW_US;
        if window == self.window {
            return;
        }
        self.former = if window == self.window + 1 {
            self.present
        } else {
            0
        };
        self.present = 0;
        self.window = window;
    }

    pub(super) fn record(&mut self, now_us: u64) {
        self.roll(now_us);
        self.present += 1;
    }

    pub(super) fn per_second(&mut self, now_us: u64) -> f64 {
        self.roll(now_us);
        let remaining = 1.0 - (now_us % RATE_WINDOW_US) as f64 / RATE_WINDOW_US as f64;
        let events = self.former as f64 * remaining + self.present as f64;
        events / Duration::from_micros(RATE_WINDOW_US).as_secs_f64()
    }
}

/// Moving mean of a number of running requests, weighted by time.
#[derive(Clone, Debug, Default)]
pub(super) struct MeanRunning {
    running: u64,
    mean: f64,
    updated_us: u64,
}

impl MeanRunning {
    pub(super) fn at(&mut self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us);
        let weight = (-(age_us as f64) / MEAN_RUNNING_US).exp();
        self.mean = self.mean * weight + self.running as f64 * (1.0 - weight);
        self.updated_us = now_us;
        self.mean
    }

    pub(super) fn change(&mut self, running: u64, now_us: u64) {
        self.at(now_us);
        self.running = running;
    }
}

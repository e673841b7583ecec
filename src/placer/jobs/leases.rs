//! Leases of workers, and the limit on the rate of task starts.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{Incarnation, WorkerId};

/// Time after the end of its lease after which a worker is removed. Until then, waiting jobs that
/// fit only on this worker are kept, since most workers return after a restart.
const REMOVE_AFTER: Duration = Duration::from_secs(3_600);

/// Address and incarnation of a worker, and the lease of its tasks.
#[derive(Clone, Debug)]
pub(super) struct WorkerLease {
    /// Empty until the worker has announced itself to this placer.
    pub(super) address: String,
    pub(super) incarnation: Incarnation,
    /// The incarnation has announced that it is leaving, after which it accepts no tasks.
    pub(super) leaving: bool,
    /// Time at which the worker stops its tasks unless the lease is renewed.
    pub(super) ends_at: Instant,
    /// The lease has expired and the scheduler places nothing there.
    pub(super) expired: bool,
    /// The tasks of the expired lease were recorded as lost.
    pub(super) tasks_ended: bool,
}

/// Leases of all workers that announced themselves or have committed tasks.
#[derive(Default)]
pub(super) struct Leases {
    pub(super) workers: IndexMap<WorkerId, WorkerLease>,
}

impl Leases {
    /// Returns the workers whose lease has expired since the last call.
    pub(super) fn newly_expired(&mut self, now: Instant) -> Vec<WorkerId> {
        let mut expired = Vec::new();
        for (id, lease) in &mut self.workers {
            if !lease.expired && lease.ends_at <= now {
                lease.expired = true;
                expired.push(id.clone());
            }
        }
        expired
    }

    /// Returns the workers on which no task of the expired lease can be running any more. Each worker
    /// is returned once per expired lease.
    pub(super) fn certainly_stopped(&mut self, margin: Duration, now: Instant) -> Vec<WorkerId> {
        let mut stopped = Vec::new();
        for (id, lease) in &mut self.workers {
            let waited = now.saturating_duration_since(lease.ends_at) >= margin;
            if lease.expired && !lease.tasks_ended && waited {
                lease.tasks_ended = true;
                stopped.push(id.clone());
            }
        }
        stopped
    }

    /// Removes and returns the workers that are not expected to return.
    pub(super) fn remove_long_expired(&mut self, now: Instant) -> Vec<WorkerId> {
        let gone = self.workers.iter().filter(|(_, lease)| {
            lease.tasks_ended && now.saturating_duration_since(lease.ends_at) >= REMOVE_AFTER
        });
        let gone: Vec<WorkerId> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.workers.swap_remove(id);
        }
        gone
    }
}

/// Token bucket that limits task starts, with a burst of a tenth of a second.
pub(super) struct StartRate {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl StartRate {
    pub(super) fn new(per_s: u32, now: Instant) -> Self {
        Self {
            per_s: f64::from(per_s.max(1)),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Returns the number of starts that are permitted now.
    pub(super) fn available(&mut self, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let burst = (self.per_s / 10.0).max(1.0);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_s).min(burst);
        self.tokens.max(0.0) as usize
    }

    /// Removes tokens for starts. A gang may take the bucket below zero.
    pub(super) fn consume(&mut self, starts: usize) {
        self.tokens -= starts as f64;
    }
}

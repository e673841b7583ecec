//! Leases of workers and the rate of starts.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{Incarnation, WorkerId};

/// Time after which a silent worker is forgotten. Until then waiting jobs that only it could hold
/// are kept, since most workers return after a restart.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// A worker and the lease of its tasks.
#[derive(Clone, Debug)]
pub(super) struct WorkerLease {
    /// Empty until the worker has announced itself to this placer.
    pub(super) address: String,
    pub(super) incarnation: Incarnation,
    /// Tasks stop at this time unless it is renewed.
    pub(super) ends_at: Instant,
    /// The lease has lapsed and the scheduler places nothing there.
    pub(super) lapsed: bool,
    /// Its tasks were ended as lost.
    pub(super) emptied: bool,
}

/// Leases of all workers.
#[derive(Default)]
pub(super) struct Leases {
    pub(super) workers: IndexMap<WorkerId, WorkerLease>,
}

impl Leases {
    /// Workers whose lease has lapsed since the last call.
    pub(super) fn newly_lapsed(&mut self, now: Instant) -> Vec<WorkerId> {
        let mut lapsed = Vec::new();
        for (id, lease) in &mut self.workers {
            if !lease.lapsed && lease.ends_at <= now {
                lease.lapsed = true;
                lapsed.push(id.clone());
            }
        }
        lapsed
    }

    /// Workers on which no task of the lapsed lease can be running any longer; each is returned
    /// once.
    pub(super) fn certainly_stopped(&mut self, margin: Duration, now: Instant) -> Vec<WorkerId> {
        let mut stopped = Vec::new();
        for (id, lease) in &mut self.workers {
            let waited = now.saturating_duration_since(lease.ends_at) >= margin;
            if lease.lapsed && !lease.emptied && waited {
                lease.emptied = true;
                stopped.push(id.clone());
            }
        }
        stopped
    }

    /// Workers that are not expected back.
    pub(super) fn gone_for_good(&mut self, now: Instant) -> Vec<WorkerId> {
        let gone = self.workers.iter().filter(|(_, lease)| {
            lease.emptied && now.saturating_duration_since(lease.ends_at) >= FORGET_AFTER
        });
        let gone: Vec<WorkerId> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.workers.swap_remove(id);
        }
        gone
    }
}

/// Token bucket for starts with a burst of a tenth of a second.
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

    /// Starts that are permitted now.
    pub(super) fn available(&mut self, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let burst = (self.per_s / 10.0).max(1.0);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_s).min(burst);
        self.tokens.max(0.0) as usize
    }

    /// Takes note of starts; a gang may overdraw the bucket.
    pub(super) fn take(&mut self, starts: usize) {
        self.tokens -= starts as f64;
    }
}

//! Leases of workers: grants, readings of the workers' clocks, and what happens at their end.

use std::time::{Duration, Instant};

use derive_more::Display;

use super::super::decisions::leases::{ClockReading, expires_without_reading};
use super::super::records::RunOutcome;
use super::Now;
use super::term::{LiveWorker, Term};
use crate::ids::WorkerId;

/// Time without an answer after which a worker is removed whose lease has expired, so that it has
/// no runs.
const UNRESPONSIVE_WORKER_RETENTION: Duration = Duration::from_secs(60);
/// Largest difference between readings of answers that overtook each other, in milliseconds: the
/// longest time for which a renewal waits for its answer.
const MAX_OVERTAKING_MS: u64 = 1_700;

/// Time from which on no run that was started before is still running on a worker, unless its lease
/// is renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseEnd {
    /// End of the lease.
    pub expires_at: Instant,
    /// What the end is derived from.
    pub basis: LeaseBasis,
}

/// What the end of a lease is derived from.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum LeaseBasis {
    /// The latest grant of this placer and a reading of the worker's clock.
    Grant,
    /// The longest lease that an earlier placer may have granted.
    EarlierPlacer,
}

impl LiveWorker {
    /// Returns the end of the lease of the worker unless it is renewed.
    pub fn lease_end(&self, term_began_at: Instant, max_lease: Duration) -> LeaseEnd {
        // An earlier leader may have granted a longer lease than this one.
        let earlier = expires_without_reading(term_began_at, max_lease);
        let granted = self
            .clock
            .map(|reading| reading.expires_at(self.granted_until_clock_ms));
        match granted.filter(|granted| *granted > earlier) {
            Some(expires_at) => LeaseEnd {
                expires_at,
                basis: LeaseBasis::Grant,
            },
            None => LeaseEnd {
                expires_at: earlier,
                basis: LeaseBasis::EarlierPlacer,
            },
        }
    }
}

impl Term {
    /// Returns the end of the lease of a worker.
    pub(super) fn lease_end(&self, worker: &LiveWorker) -> LeaseEnd {
        worker.lease_end(self.began_at, self.settings.max_lease)
    }

    /// Grants a lease that begins now and returns its end on the worker's clock. The lease of a
    /// worker that does not answer is not extended, so that it expires. Returns `None` while the
    /// clock of the worker is not known.
    pub(super) fn grant_lease(&mut self, worker: &WorkerId, now: Instant) -> Option<u64> {
        let lease_ms = u64::try_from(self.settings.lease.as_millis()).unwrap_or(0);
        let live = self.workers.get_mut(worker)?;
        let until = live
            .clock
            .as_ref()?
            .at_least_ms(now)
            .saturating_add(lease_ms);
        if live.unresponsive_since.is_none() {
            live.granted_until_clock_ms = live.granted_until_clock_ms.max(until);
        }
        Some(live.granted_until_clock_ms)
    }

    pub(super) fn record_clock(&mut self, worker: &WorkerId, clock_ms: Option<u64>, now: Instant) {
        let (Some(clock_ms), Some(live)) = (clock_ms, self.workers.get_mut(worker)) else {
            return;
        };
        let known = live.clock.map(|reading| reading.at_least_ms(now));
        if known.is_some_and(|known| clock_ms.saturating_add(MAX_OVERTAKING_MS) < known) {
            log::info!(
                worker = worker.as_str(), incarnation = live.record.incarnation, clock_ms, known;
                "the reading of a worker's clock is earlier than a former one"
            );
        }
        live.clock = Some(ClockReading {
            clock_ms,
            received_at: now,
        });
    }

    /// Ends the runs of workers whose lease has expired, and removes those that have been silent for
    /// long.
    pub(super) fn end_runs_with_expired_lease(&mut self, now: Now) {
        let mut expired = Vec::new();
        let mut removed = Vec::new();
        for (id, worker) in &self.workers {
            let Some(unresponsive_since) = worker.unresponsive_since else {
                continue;
            };
            if now.at < self.lease_end(worker).expires_at {
                continue;
            }
            expired.push(id.clone());
            if now.at > unresponsive_since + UNRESPONSIVE_WORKER_RETENTION {
                removed.push(id.clone());
            }
        }
        for id in expired {
            self.report_expired_lease(&id, now.at);
            self.note_expired_lease(&id, now);
            self.end_runs_on(&id, RunOutcome::Lost, "the lease expired", now);
        }
        for id in removed {
            self.remove_worker(&id, now);
        }
    }

    fn report_expired_lease(&self, id: &WorkerId, now: Instant) {
        let Some(worker) = self
            .workers
            .get(id)
            .filter(|worker| !worker.runs.is_empty())
        else {
            return;
        };
        let silent_since = worker.unresponsive_since.unwrap_or(now);
        let silent_ms = now.saturating_duration_since(silent_since).as_millis() as u64;
        log::warn!(
            worker = id.as_str(), incarnation = worker.record.incarnation,
            runs = worker.runs.len(), silent_ms, basis:% = self.lease_end(worker).basis,
            granted_until_clock_ms = worker.granted_until_clock_ms,
            clock_ms:? = worker.clock.map(|reading| reading.clock_ms),
            read_ms_ago:? = worker.clock_age_ms(now);
            "lease of a worker expired"
        );
    }
}

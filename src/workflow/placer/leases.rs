//! Leases of workers: grants, readings of the workers' clocks, and what happens at their end.

use std::time::{Duration, Instant};

use derive_more::Display;

use super::super::decisions::leases::{ClockReading, expires_without_reading};
use super::super::spec::TaskKey;
use super::reports::ms_ago;
use super::term::{LiveRun, LiveWorker, Term};
use super::{Now, PlacerSettings};
use crate::ids::WorkerId;

/// Time without an answer after which a worker is removed whose lease has expired, so that it has
/// no runs.
const UNRESPONSIVE_WORKER_RETENTION: Duration = Duration::from_secs(60);

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
    /// The latest grant of this placer.
    Grant,
    /// The longest lease by a call before the first answer in this term.
    BeforeFirstAnswer,
    /// The longest lease, since the worker has not answered in this term.
    NoAnswer,
}

impl LiveWorker {
    /// Returns the end of the lease of the worker unless it is renewed.
    ///
    /// The first answer in a term comes from a call with a higher fencing token than all calls of
    /// earlier placers and for former incarnations, which have no effect from then on. Before it,
    /// each of them may have renewed the lease up to the longest one, whatever end it names: that is
    /// a time on the clock of the former incarnation.
    ///
    /// Without an answer, the end holds for runs that no later incarnation can begin: their lease is
    /// a time on a clock that has gone on since it was granted, however late the call arrived.
    pub fn lease_end(&self, max_lease: Duration) -> LeaseEnd {
        let Some(reading) = self.clock else {
            return LeaseEnd {
                expires_at: expires_without_reading(self.known_since, max_lease),
                basis: LeaseBasis::NoAnswer,
            };
        };
        let (until_clock_ms, basis) = if self.granted_until_clock_ms >= self.unknown_until_clock_ms
        {
            (self.granted_until_clock_ms, LeaseBasis::Grant)
        } else {
            (self.unknown_until_clock_ms, LeaseBasis::BeforeFirstAnswer)
        };
        LeaseEnd {
            expires_at: reading.expires_at(until_clock_ms),
            basis,
        }
    }
}

impl LiveRun {
    /// Returns until when a later incarnation of a worker may carry out the start order; `None` if none
    /// can, or if the known incarnation was at work when the order no longer arrives.
    fn late_start_arrives_by(
        &self,
        worker: &LiveWorker,
        settings: &PlacerSettings,
    ) -> Option<Instant> {
        let arrives_by = self.start_arrives_by(settings.late_call_limit)?;
        let outlived = |reading: ClockReading| reading.taken_after(arrives_by);
        (!worker.clock.is_some_and(outlived)).then_some(arrives_by)
    }
}

impl Term {
    /// Returns the end of the lease of a worker.
    pub(super) fn lease_end(&self, worker: &LiveWorker) -> LeaseEnd {
        worker.lease_end(self.settings.max_lease)
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

    /// Records a reading of the clock of the known incarnation. One that another answer overtook says
    /// less than the former reading and is ignored.
    pub(super) fn record_clock(&mut self, worker: &WorkerId, clock_ms: u64, now: Instant) {
        let Some(live) = self.workers.get_mut(worker) else {
            return;
        };
        match live.clock {
            None => {
                let max_lease_ms = u64::try_from(self.settings.max_lease.as_millis());
                let max_lease_ms = max_lease_ms.unwrap_or(u64::MAX);
                live.unknown_until_clock_ms = clock_ms.saturating_add(max_lease_ms);
            }
            Some(known) if clock_ms < known.at_least_ms(now) => return,
            Some(_) => {}
        }
        live.clock = Some(ClockReading {
            clock_ms,
            received_at: now,
        });
    }

    /// Returns whether the answer to an order can be one of the known incarnation, and records its
    /// clock then. The next incarnation also answers orders for the known one, and its clock starts
    /// anew; what it did says nothing about the run, which its first list shows.
    pub(super) fn is_answer_of_known_incarnation(
        &mut self,
        worker: &WorkerId,
        clock_ms: Option<u64>,
        now: Instant,
    ) -> bool {
        let Some(clock_ms) = clock_ms else {
            return true;
        };
        let Some(live) = self.workers.get(worker) else {
            return false;
        };
        let contradicted = live.clock.filter(|known| !known.agrees_with(clock_ms, now));
        if let Some(known) = contradicted {
            log::warn!(
                worker = worker.as_str(), incarnation = live.record.incarnation, clock_ms,
                known_ms = known.at_least_ms(now);
                "an answer has the clock of another incarnation"
            );
            return false;
        }
        self.record_clock(worker, clock_ms, now);
        true
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
            let ended = self.runs_without_late_start(&id, now.at);
            self.report_expired_lease(&id, ended.len(), now.at);
            self.report_open_starts(&id, &ended, now.at);
            self.note_expired_lease(&id, now);
            self.end_runs_as_lost(&id, ended, "the lease expired", now);
        }
        for id in removed {
            // A run that waits for a late start order keeps its worker.
            if self
                .workers
                .get(&id)
                .is_some_and(|worker| worker.runs.is_empty())
            {
                self.remove_worker(&id, now);
            }
        }
    }

    /// Returns until when runs may be at work on a silent worker by start orders of which a copy has no
    /// answer: the worker may have restarted, and its next incarnation carries out such copies and later
    /// calls, whose leases end on the clock of the former one. `None` if there is no such order.
    ///
    /// The end is common to all these runs, since each such call lengthens the lease of all of them.
    pub(super) fn late_starts_end_at(&self, worker: &LiveWorker) -> Option<Instant> {
        let runs = worker.runs.iter().filter_map(|task| self.runs.get(task));
        let arrivals = runs.filter_map(|run| run.late_start_arrives_by(worker, &self.settings));
        let start_arrives_by = arrivals.max()?;
        // A relay sends no lease after a renewal without an answer.
        let last_renewal = worker.unresponsive_since.unwrap_or(worker.known_since);
        let renewal_arrives_by = last_renewal + self.settings.late_call_limit;
        Some(expires_without_reading(
            start_arrives_by.max(renewal_arrives_by),
            self.settings.max_lease,
        ))
    }

    /// Returns the runs on a worker that no incarnation of it can still begin or continue.
    pub(super) fn runs_without_late_start(&self, id: &WorkerId, now: Instant) -> Vec<TaskKey> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let is_over = self
            .late_starts_end_at(worker)
            .is_none_or(|until| now >= until);
        let mut ended = Vec::new();
        for task in &worker.runs {
            let run = self.runs.get(task);
            let is_open =
                run.is_some_and(|run| run.late_start_arrives_by(worker, &self.settings).is_some());
            if is_over || !is_open {
                ended.push(task.clone());
            }
        }
        ended
    }

    /// Logs the runs on a silent worker that wait since a copy of their start order may still be
    /// carried out, and those that end although no answer has shown that it cannot.
    fn report_open_starts(&mut self, id: &WorkerId, ended: &[TaskKey], now: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(until) = self.late_starts_end_at(worker) else {
            return;
        };
        for task in &worker.runs {
            let Some(run) = self.runs.get_mut(task) else {
                continue;
            };
            if run.late_start_arrives_by(worker, &self.settings).is_none() {
                continue;
            }
            let sent_ms_ago = run.start_sent_at.map(|at| ms_ago(at, now));
            if ended.contains(task) {
                log::warn!(
                    task:% = task, run = run.run, worker = id.as_str(), sent_ms_ago:?,
                    has_permit = run.has_permit;
                    "a start order without an answer counts as lost by time"
                );
            } else if !run.logged_as_open {
                run.logged_as_open = true;
                log::info!(
                    task:% = task, run = run.run, worker = id.as_str(), sent_ms_ago:?,
                    has_permit = run.has_permit, waits_ms = -ms_ago(until, now);
                    "a task waits: a copy of its start order may still be carried out"
                );
            }
        }
    }

    fn report_expired_lease(&self, id: &WorkerId, ended: usize, now: Instant) {
        let Some(worker) = self.workers.get(id).filter(|_| ended > 0) else {
            return;
        };
        let silent_since = worker.unresponsive_since.unwrap_or(now);
        let silent_ms = now.saturating_duration_since(silent_since).as_millis() as u64;
        log::warn!(
            worker = id.as_str(), incarnation = worker.record.incarnation,
            runs = worker.runs.len(), ended, silent_ms, basis:% = self.lease_end(worker).basis,
            granted_until_clock_ms = worker.granted_until_clock_ms,
            unknown_until_clock_ms = worker.unknown_until_clock_ms,
            clock_ms:? = worker.clock.map(|reading| reading.clock_ms),
            read_ms_ago:? = worker.clock_age_ms(now);
            "lease of a worker expired"
        );
    }
}

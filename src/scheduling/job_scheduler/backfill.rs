//! Backfill: short tasks in resources that are reserved for a gang.

use std::time::{Duration, Instant};

use super::table::Job;
use super::{Decision, JobScheduler};
use crate::ids::{JobId, TaskId};
use crate::kernel::Preemption;
use crate::resources::Resources;
use crate::scheduling::fair_share::{Offer, Parked};
use crate::scheduling::gangs::Backfill;
use crate::scheduling::ledger::{Purpose, WorkerIndex, subtract};

/// Time between two searches for parked jobs that fit into reserved resources.
const BACKFILL_INTERVAL: Duration = Duration::from_millis(250);
/// Holds and draining workers that one search for parked jobs examines.
const MAX_PLACES: usize = 64;

impl JobScheduler {
    /// Starts a short task in resources that are reserved for a gang; returns whether it started.
    pub(super) fn backfill(
        &mut self,
        id: &JobId,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let (Some(job), Some(active)) = (self.jobs.get(id), &self.gangs.active) else {
            return false;
        };
        if !self.may_backfill(job, now) {
            return false;
        }
        let need = job.spec.resources;
        let permits = |worker| self.placement.permits(worker, &job.spec.preference);
        let drained = self.reserved.iter().find(|&(&worker, drain)| {
            drain.gang && self.ledger.free(worker).covers(&need) && permits(worker)
        });
        let place = match drained {
            Some((&worker, _)) => Some((worker, None)),
            None if active.need.covers(&need) => {
                let unlent = active.held.iter().find(|&(hold, &worker)| {
                    permits(worker)
                        && !active
                            .backfill
                            .values()
                            .any(|lent| lent.hold.as_ref() == Some(hold))
                });
                unlent.map(|(hold, &worker)| (worker, Some(hold.clone())))
            }
            None => None,
        };
        let Some((worker, hold)) = place else {
            return false;
        };
        self.start_backfill(id, worker, hold, now, decisions)
    }

    /// Whether a job may use resources that are reserved for a gang: its tasks are expected to end
    /// before the gang starts and can be preempted if they don't.
    fn may_backfill(&self, job: &Job, now: Instant) -> bool {
        let Some(active) = self
            .gangs
            .active
            .as_ref()
            .filter(|_| self.gangs.settings.backfill)
        else {
            return false;
        };
        !job.spec.at_most_once
            && (job.kind.preempting)(&job.spec) != Preemption::Never
            && active.admits_backfill(self.expected_run(job, now), now)
    }

    /// Searches at intervals for parked jobs that fit into reserved resources. The placement index
    /// doesn't offer reserved resources, so parked jobs don't reach [`Self::backfill`].
    pub(super) fn backfill_parked(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let Some(active) = self.gangs.active.as_mut() else {
            return;
        };
        if now >= active.planned_start || active.backfill_checked_at + BACKFILL_INTERVAL > now {
            return;
        }
        active.backfill_checked_at = now;
        for (worker, hold, room) in self.reserved_places() {
            let found = self.queue.find_parked(&room, false, |id| {
                let job = self
                    .jobs
                    .get(id)
                    .filter(|job| !job.cancelled && job.has_pending());
                let Some(job) = job else {
                    return Offer::Stale;
                };
                let permitted = self.placement.permits(worker, &job.spec.preference);
                if !job.is_gang() && permitted && self.may_backfill(job, now) {
                    Offer::Take
                } else {
                    Offer::Pass
                }
            });
            match found {
                Parked::Stale(head) => self.remove_head(&head),
                Parked::Fits(_, head) => {
                    self.start_backfill(&head.job, worker, hold, now, decisions);
                    self.dequeue_if_placed(&head.job);
                }
                Parked::Truncated | Parked::None => {}
            }
        }
    }

    /// Returns the reserved resources that are not lent to a backfill task: on draining workers
    /// (without a hold) and in holds.
    fn reserved_places(&self) -> Vec<(WorkerIndex, Option<TaskId>, Resources)> {
        let Some(active) = &self.gangs.active else {
            return Vec::new();
        };
        let drained = self.reserved.iter().filter(|(_, drain)| drain.gang);
        let drained = drained.map(|(&worker, _)| (worker, None, self.ledger.free(worker)));
        let lent = |hold| {
            active
                .backfill
                .values()
                .any(|lent| lent.hold.as_ref() == Some(hold))
        };
        let held = active.held.iter().filter(|&(hold, _)| !lent(hold));
        let held = held.map(|(hold, &worker)| (worker, Some(hold.clone()), active.need));
        drained.chain(held).take(MAX_PLACES).collect()
    }

    fn start_backfill(
        &mut self,
        id: &JobId,
        worker: WorkerIndex,
        hold: Option<TaskId>,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let lent = hold
            .as_ref()
            .and_then(|hold| self.ledger.release(worker, hold));
        let Some(task) = self.start_next(id, worker, Purpose::Task, now, decisions) else {
            return false;
        };
        if let (Some(hold), Some(mut rest)) = (&hold, lent) {
            let taken = self
                .jobs
                .get(id)
                .map_or(Resources::ZERO, |job| job.spec.resources);
            rest.amount = subtract(&rest.amount, &taken);
            if let Err(error) = self.ledger.allocate(worker, hold, rest) {
                log::error!("could not allocate the remainder of hold {hold}: {error}");
            }
            self.refresh(worker);
        }
        if let Some(active) = self.gangs.active.as_mut() {
            active.backfill.insert(task, Backfill { worker, hold });
        }
        self.gangs.counters.backfilled += 1;
        true
    }

    /// Returns the resources of an ended backfill task to the hold of the gang.
    pub(super) fn return_backfill(&mut self, task: &str) {
        let Some(active) = self.gangs.active.as_mut() else {
            return;
        };
        let Some(Backfill { worker, hold }) = active.backfill.swap_remove(task) else {
            return;
        };
        let (need, Some(hold)) = (active.need, hold) else {
            return;
        };
        let Some(mut allocation) = self.ledger.release(worker, &hold) else {
            return;
        };
        allocation.amount = need;
        if self.ledger.allocate(worker, &hold, allocation).is_err()
            && let Some(active) = self.gangs.active.as_mut()
        {
            // The worker shrank or is lost, so the task of the gang needs another hold.
            active.held.swap_remove(&hold);
        }
    }
}

//! Short tasks in room that is reserved for a gang.

use std::time::Instant;

use super::{Decision, JobScheduler};
use crate::ids::{JobId, TaskId};
use crate::kernel::Preemption;
use crate::resources::Resources;
use crate::scheduling::gangs::Backfill;
use crate::scheduling::ledger::{Purpose, WorkerIndex, subtract};

impl JobScheduler {
    /// Starts a short task in room that is reserved for a gang.
    pub(super) fn backfill(
        &mut self,
        id: &JobId,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        if !self.gangs.settings.backfill {
            return false;
        }
        let (Some(job), Some(active)) = (self.jobs.get(id), &self.gangs.active) else {
            return false;
        };
        let preemptible =
            !job.spec.at_most_once && (job.kind.preempting)(&job.spec) != Preemption::Never;
        if !preemptible || !active.admits_backfill(self.expected_run(job, now), now) {
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
                log::error!("the rest of hold {hold} was lost: {error}");
            }
            self.refresh(worker);
        }
        if let Some(active) = self.gangs.active.as_mut() {
            active.backfill.insert(task, Backfill { worker, hold });
        }
        self.gangs.counters.backfilled += 1;
        true
    }

    /// Gives the place of an ended backfill task back to the gang.
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
            // The worker shrank or is lost; the task gets another place.
            active.held.swap_remove(&hold);
        }
    }
}

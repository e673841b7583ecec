//! Room that is reserved for a stage before its tasks are placed.

use super::super::decisions::permits::Unpermitted;
use super::super::spec::{StageKey, StageSpec};
use super::takeover::urgency;
use super::term::Term;
use crate::ids::WorkerId;
use crate::protocol::caller::Urgency;
use crate::scheduling::ledger::{Allocation, Purpose};

impl Term {
    /// Reserves room for the waiting tasks of a stage, so that stages of a lower rank cannot use it
    /// while the policy decides.
    pub(super) fn reserve_room(&mut self, key: &StageKey, workers: &[Unpermitted]) {
        let Some(stage) = self.stages.get(key) else {
            return;
        };
        let Some(job) = self.state.jobs.get(&key.job) else {
            return;
        };
        let Some(spec) = job.stage_spec(key.stage) else {
            return;
        };
        let reserved = stage.reserved_tasks();
        let mut missing = stage.waiting.len().saturating_sub(reserved);
        let spec = spec.clone();
        for entry in workers {
            let count = entry.room.min(missing);
            if count > 0 && self.reserve(key, &spec, &entry.worker, count) {
                missing -= count;
            }
        }
    }

    /// Reserves room for further tasks of a stage on a worker. Returns whether there was room.
    pub(super) fn reserve(
        &mut self,
        key: &StageKey,
        spec: &StageSpec,
        worker: &WorkerId,
        count: usize,
    ) -> bool {
        let (Some(stage), Some(live)) = (self.stages.get_mut(key), self.workers.get(worker)) else {
            return false;
        };
        let name = reservation_name(key);
        let before = stage.reservations.get(worker).copied().unwrap_or(0);
        let amount = |count: usize| spec.ledger_amount().checked_mul(count as u64);
        let (Some(all), Some(former)) = (amount(before + count), amount(before)) else {
            return false;
        };
        let urgency = self
            .state
            .jobs
            .get(&key.job)
            .map_or(Urgency::Normal, |job| urgency(job.queue.priority));
        let allocation = |amount| Allocation {
            amount,
            purpose: Purpose::Gang,
            urgency,
        };
        self.ledger.release(live.index, &name);
        if self
            .ledger
            .allocate(live.index, &name, allocation(all))
            .is_ok()
        {
            stage.reservations.insert(worker.clone(), before + count);
            return true;
        }
        let restored = before > 0
            && self
                .ledger
                .allocate(live.index, &name, allocation(former))
                .is_ok();
        if before > 0 && !restored {
            stage.reservations.shift_remove(worker);
        }
        false
    }

    /// Releases the room reserved for a stage on one worker.
    pub(super) fn release_reservation(&mut self, key: &StageKey, worker: &WorkerId) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        if stage.reservations.shift_remove(worker).is_none() {
            return;
        }
        if let Some(worker) = self.workers.get(worker) {
            self.ledger.release(worker.index, &reservation_name(key));
        }
    }

    /// Releases the room reserved for a stage on all workers.
    pub(super) fn release_reservations(&mut self, key: &StageKey) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        for (worker, _) in std::mem::take(&mut stage.reservations) {
            if let Some(worker) = self.workers.get(&worker) {
                self.ledger.release(worker.index, &reservation_name(key));
            }
        }
    }
}

/// Returns the name of a stage's reservation in the ledger.
fn reservation_name(key: &StageKey) -> String {
    format!("{key} held")
}

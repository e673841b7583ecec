//! Work that waits, as running sums: what decides about a new job costs the same however long the
//! backlog is.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::spec::StageKey;
use super::search::StageNeeds;
use super::term::Term;
use crate::resources::Resources;

/// Time for which the sum of the capacities of all workers is used. One tick.
const CAPACITY_VALIDITY: Duration = Duration::from_millis(100);

/// Work that waits and the capacity for it.
#[derive(Debug, Default)]
pub struct WaitingWork {
    /// Declared work of waiting tasks by the priority of their queue, in milliseconds of a
    /// thousandth of a core. Always the sum over all stages that are not marked as too late.
    by_priority: IndexMap<u32, u64>,
    /// Processors of the workers that are not known to be gone, in thousandths of a core, with the
    /// end of the time for which they are used.
    capacity: Option<(Instant, u64)>,
}

impl WaitingWork {
    fn add(&mut self, needs: &StageNeeds, tasks: usize) {
        *self.by_priority.entry(needs.priority).or_default() += needs.task_work * tasks as u64;
    }

    fn subtract(&mut self, needs: &StageNeeds, tasks: usize) {
        let work = self.by_priority.entry(needs.priority).or_default();
        *work = work.saturating_sub(needs.task_work * tasks as u64);
    }

    /// Declared processor time of waiting tasks that come before a new job of the priority, in
    /// milliseconds of one core.
    pub fn before_ms(&self, priority: u32) -> u64 {
        let works = self.by_priority.iter();
        let before = works.filter(|(other, _)| **other <= priority);
        before.map(|(_, work)| work).sum::<u64>() / 1_000
    }
}

/// Work of a task as [`WaitingWork`] counts it.
pub(super) fn task_work(estimate_ms: u64, amount: &Resources) -> u64 {
    estimate_ms.saturating_mul(amount.cpu_millis)
}

impl Term {
    /// Counts further waiting tasks of a stage.
    pub(super) fn note_waiting(&mut self, key: &StageKey, tasks: usize) {
        if let Some(stage) = self.stages.get(key).filter(|stage| !stage.too_late) {
            self.waiting_work.add(&stage.needs, tasks);
        }
    }

    /// Stops counting tasks of a stage that no longer wait.
    pub(super) fn note_not_waiting(&mut self, key: &StageKey, tasks: usize) {
        if let Some(stage) = self.stages.get(key).filter(|stage| !stage.too_late) {
            self.waiting_work.subtract(&stage.needs, tasks);
        }
    }

    /// Marks a stage as too late to count; it stays too late. Others do not wait for its work.
    pub(super) fn note_too_late(&mut self, position: usize) {
        let Some((_, stage)) = self.stages.get_index_mut(position) else {
            return;
        };
        if !stage.too_late {
            self.waiting_work
                .subtract(&stage.needs, stage.waiting.len());
            stage.too_late = true;
        }
    }

    /// Removes a stage that needs no further runs.
    pub(super) fn remove_stage(&mut self, key: &StageKey) {
        let waiting = self.stages.get(key).map_or(0, |stage| stage.waiting.len());
        self.note_not_waiting(key, waiting);
        self.release_holds(key);
        self.stages.swap_remove(key);
    }

    /// Processors of the workers that are not known to be gone, in thousandths of a core. Right
    /// after a take-over most have not answered yet; counting only those that have would refuse jobs
    /// for no reason.
    pub(super) fn expected_capacity_millis(&mut self, now: Instant) -> u64 {
        if let Some((valid_until, capacity_millis)) = self.waiting_work.capacity
            && now < valid_until
        {
            return capacity_millis;
        }
        let workers = self.workers.values();
        let present = workers.filter(|worker| {
            worker.silent_since.is_none() && !worker.leaving && !worker.record.draining
        });
        let capacity_millis = present
            .map(|worker| worker.record.capacity.cpu_millis)
            .sum();
        self.waiting_work.capacity = Some((now + CAPACITY_VALIDITY, capacity_millis));
        capacity_millis
    }
}

//! Running sums over the backlog, so that the cost of the decision about a new job does not depend
//! on the length of the backlog.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::spec::{StageKey, TaskIndex};
use super::gang_sizes::band;
use super::search::StageNeeds;
use super::term::Term;
use crate::resources::Resources;
use crate::scheduling::ledger::add;

/// Time for which the computed capacity of all workers is reused. One tick.
const CAPACITY_VALIDITY: Duration = Duration::from_millis(100);

/// Declared work of waiting tasks by the priority of their queue, in milliseconds of a thousandth of a
/// core. The type is wide enough for any number of tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkByPriority(IndexMap<u32, u128>);

impl WorkByPriority {
    fn add(&mut self, needs: &StageNeeds, tasks: usize) {
        *self.0.entry(needs.priority).or_default() += work_of(needs, tasks);
    }

    fn subtract(&mut self, needs: &StageNeeds, tasks: usize) {
        let work = self.0.entry(needs.priority).or_default();
        *work = work.saturating_sub(work_of(needs, tasks));
    }

    /// Returns the declared processor time of waiting tasks of the same or a more urgent priority,
    /// in milliseconds of one core.
    pub fn before_ms(&self, priority: u32) -> u64 {
        let works = self.0.iter();
        let before = works.filter(|(other, _)| **other <= priority);
        let work_ms = before.map(|(_, work)| work).sum::<u128>() / 1_000;
        u64::try_from(work_ms).unwrap_or(u64::MAX)
    }
}

/// Declared work of waiting tasks, and the capacity of the workers.
#[derive(Debug, Default)]
pub struct WaitingWork {
    /// Invariant: the sum over all stages that are not marked as too late.
    by_priority: WorkByPriority,
    /// Processors of the workers that are not known to be unavailable, in thousandths of a core,
    /// with the time until which the value is valid.
    capacity: Option<(Instant, u64)>,
}

impl WaitingWork {
    /// Returns the declared processor time of waiting tasks of the same or a more urgent priority,
    /// in milliseconds of one core.
    pub fn before_ms(&self, priority: u32) -> u64 {
        self.by_priority.before_ms(priority)
    }
}

fn work_of(needs: &StageNeeds, tasks: usize) -> u128 {
    u128::from(needs.task_work) * tasks as u128
}

/// Returns the resources of tasks together. What the type cannot hold counts as nothing: no cell has a
/// capacity in its range.
fn amount_of(needs: &StageNeeds, tasks: usize) -> Resources {
    needs.amount.checked_mul(tasks as u64).unwrap_or_default()
}

/// Returns the work of a task as [`WaitingWork`] counts it.
pub(super) fn task_work(estimate_ms: u64, amount: &Resources) -> u64 {
    estimate_ms.saturating_mul(amount.cpu_millis)
}

impl Term {
    /// Adds waiting tasks of a stage to the sums.
    pub(super) fn add_waiting_tasks(&mut self, key: &StageKey, tasks: usize) {
        if let Some(stage) = self.stages.get(key).filter(|stage| !stage.too_late) {
            let needs = stage.needs;
            self.waiting_work.by_priority.add(&needs, tasks);
            self.add_waiting_work_of_customer(&needs, tasks);
        }
    }

    /// Subtracts tasks of a stage that no longer wait from the sums.
    pub(super) fn subtract_waiting_tasks(&mut self, key: &StageKey, tasks: usize) {
        if let Some(stage) = self.stages.get(key).filter(|stage| !stage.too_late) {
            let needs = stage.needs;
            self.waiting_work.by_priority.subtract(&needs, tasks);
            self.subtract_waiting_work_of_customer(&needs, tasks);
        }
    }

    /// Removes tasks of a stage that no longer wait, also from the sums, and returns how many are left.
    pub(super) fn remove_waiting_tasks(
        &mut self,
        key: &StageKey,
        is_removed: impl Fn(TaskIndex) -> bool,
    ) -> usize {
        let Some(stage) = self.stages.get_mut(key) else {
            return 0;
        };
        let before = stage.waiting.len();
        stage.waiting.retain(|task| !is_removed(*task));
        let left = stage.waiting.len();
        self.subtract_waiting_tasks(key, before - left);
        left
    }

    /// Marks a stage as too late to count, which is final: other jobs do not wait for its work.
    pub(super) fn mark_too_late(&mut self, position: usize) {
        let Some((_, stage)) = self.stages.get_index_mut(position) else {
            return;
        };
        if !stage.too_late {
            let (needs, waiting) = (stage.needs, stage.waiting.len());
            self.waiting_work.by_priority.subtract(&needs, waiting);
            stage.too_late = true;
            if needs.gang && stage.all_tasks_wait() {
                self.size_shares.record_given_up(band(&needs));
            }
            self.subtract_waiting_work_of_customer(&needs, waiting);
        }
    }

    fn add_waiting_work_of_customer(&mut self, needs: &StageNeeds, tasks: usize) {
        let customer = needs.customer;
        if let Some((_, live)) = customer.and_then(|index| self.customers.get_index_mut(index)) {
            live.waiting_work.add(needs, tasks);
            live.waiting = add(&live.waiting, &amount_of(needs, tasks));
        }
    }

    fn subtract_waiting_work_of_customer(&mut self, needs: &StageNeeds, tasks: usize) {
        let customer = needs.customer;
        if let Some((_, live)) = customer.and_then(|index| self.customers.get_index_mut(index)) {
            live.waiting_work.subtract(needs, tasks);
            let left = live.waiting.checked_sub(&amount_of(needs, tasks));
            live.waiting = left.unwrap_or_default();
        }
    }

    /// Removes a stage that needs no further runs.
    pub(super) fn remove_stage(&mut self, key: &StageKey) {
        let waiting = self.stages.get(key).map_or(0, |stage| stage.waiting.len());
        self.subtract_waiting_tasks(key, waiting);
        self.release_reservations(key);
        self.stages.swap_remove(key);
        self.place_waits.shift_remove(key);
    }

    /// Returns the processors of the workers that are not known to be unavailable, in thousandths
    /// of a core. Right after a take-over most workers have not answered yet; counting only those
    /// that have would reject jobs without need.
    pub(super) fn available_capacity_millis(&mut self, now: Instant) -> u64 {
        if let Some((valid_until, capacity_millis)) = self.waiting_work.capacity
            && now < valid_until
        {
            return capacity_millis;
        }
        let workers = self.workers.values();
        let available = workers.filter(|worker| {
            worker.unresponsive_since.is_none()
                && worker.leaving_until.is_none()
                && !worker.record.draining
        });
        let capacity_millis = available
            .map(|worker| worker.record.capacity.cpu_millis)
            .fold(0, u64::saturating_add);
        self.waiting_work.capacity = Some((now + CAPACITY_VALIDITY, capacity_millis));
        capacity_millis
    }
}

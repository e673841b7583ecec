//! Measures against tasks that use more than their allocation on an overloaded worker.

use std::time::{Duration, Instant};

use derive_more::Display;
use indexmap::IndexMap;

use super::ledger::{LedgerWorker, add, subtract};
use crate::ids::TaskId;
use crate::resources::Resources;

/// Minimum time between two measures, so that the effect of the first appears in the usage reports.
const STEP_INTERVAL: Duration = Duration::from_secs(10);

/// Measures against a task, in the order in which they are taken.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum Measure {
    /// Limit the processor time of the task.
    Throttle,
    /// Write a checkpoint from which the task can continue on another worker.
    Checkpoint,
    /// Stop the task.
    Stop,
}

/// A measure against a task, with its reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OveruseAction {
    /// Task that exceeds its allocation.
    pub task: TaskId,
    /// Measure to take.
    pub measure: Measure,
    /// Reason, for the record and for the member.
    pub reason: String,
}

/// Measures in effect, with the time of each.
#[derive(Default)]
pub struct Overuse {
    measures: IndexMap<TaskId, (Measure, Instant)>,
}

impl Overuse {
    /// Chooses the next measure on a worker whose measured usage exceeds its capacity. Only tasks
    /// above their own allocation are affected, the least urgent first.
    pub fn assess(
        &mut self,
        worker: &LedgerWorker,
        usage: &IndexMap<TaskId, Resources>,
        now: Instant,
    ) -> Vec<OveruseAction> {
        let total = usage
            .values()
            .fold(Resources::ZERO, |sum, usage| add(&sum, usage));
        let capacity = worker.description.capacity;
        if capacity.covers(&total) {
            // While the worker has idle capacity, usage above an allocation affects no other task.
            self.clear_measures(usage);
            return Vec::new();
        }
        let mut offenders: Vec<_> = usage
            .iter()
            .filter_map(|(task, used)| {
                let allocation = worker.allocations().get(task)?;
                let over = subtract(used, &allocation.amount);
                (over != Resources::ZERO).then_some((allocation.urgency, task, over))
            })
            .collect();
        offenders.sort_by(|left, right| {
            left.0
                .cmp(&right.0)
                .then(right.2.memory_mib.cmp(&left.2.memory_mib))
        });
        for (urgency, task, over) in offenders {
            let Some(measure) = self.next_measure(task, now) else {
                // The effect of an earlier measure is not visible yet.
                return Vec::new();
            };
            let Some(measure) = measure else {
                continue;
            };
            self.measures.insert(task.clone(), (measure, now));
            let reason = format!(
                "worker {} uses {total} of {capacity}; this task ({urgency}) is {over} above its \
                 allocation",
                worker.description.id
            );
            return vec![OveruseAction {
                task: task.clone(),
                measure,
                reason,
            }];
        }
        Vec::new()
    }

    /// Removes the measure against a task that ended.
    pub fn ended(&mut self, task: &str) {
        self.measures.swap_remove(task);
    }

    fn clear_measures(&mut self, usage: &IndexMap<TaskId, Resources>) {
        if self.measures.is_empty() {
            return;
        }
        for task in usage.keys() {
            self.measures.swap_remove(task);
        }
    }

    /// Returns the next measure against a task: `None` within [`STEP_INTERVAL`] of the latest
    /// measure, `Some(None)` if the task is already being stopped.
    fn next_measure(&self, task: &str, now: Instant) -> Option<Option<Measure>> {
        let Some((measure, taken_at)) = self.measures.get(task) else {
            return Some(Some(Measure::Throttle));
        };
        if now.saturating_duration_since(*taken_at) < STEP_INTERVAL {
            return None;
        }
        Some(match measure {
            Measure::Throttle => Some(Measure::Checkpoint),
            Measure::Checkpoint => Some(Measure::Stop),
            Measure::Stop => None,
        })
    }
}

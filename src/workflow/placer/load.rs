//! Regular report of the allocated resources of the cell and of the waiting work.

use std::time::Instant;

use super::super::decisions::ranking::{self, Usefulness};
use super::super::instruments::instruments;
use super::term::Term;
use crate::scheduling::ledger::WorkerStatus;

/// Interval of the report, in ticks of 100 ms: one line a second, which is short enough to show a
/// burst.
pub(super) const LOAD_REPORT_TICKS: u64 = 10;

/// Allocated resources of the cell and waiting work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Load {
    /// Workers that accept runs.
    pub workers_up: usize,
    /// Workers that accept runs but are avoided after failures.
    pub workers_avoided: usize,
    /// Processors of the workers that accept runs, in thousandths of a core.
    pub capacity_millis: u64,
    /// Processors that are allocated or reserved on these workers, in thousandths of a core.
    pub allocated_millis: u64,
    /// Processors that are reserved for stages before their runs are placed, in thousandths of a
    /// core.
    pub held_millis: u64,
    /// Stages with waiting tasks that can still complete within their objective.
    pub stages_in_time: usize,
    /// Stages with waiting tasks that cannot complete within their objective.
    pub stages_late: usize,
    /// Gangs among the waiting stages.
    pub gangs: usize,
    /// Waiting tasks of all stages.
    pub tasks: usize,
}

impl Term {
    pub(super) fn load(&self, now: Instant) -> Load {
        let mut load = Load {
            held_millis: self.ledger.held().cpu_millis,
            ..Load::default()
        };
        for worker in self.workers.values() {
            let entry = self.ledger.worker(worker.index);
            let Some(entry) = entry.filter(|entry| entry.status == WorkerStatus::Up) else {
                continue;
            };
            load.workers_up += 1;
            load.workers_avoided += usize::from(worker.health.is_avoided(now));
            let capacity_millis = entry.description.capacity.cpu_millis;
            load.capacity_millis = load.capacity_millis.saturating_add(capacity_millis);
            let allocated_millis = entry.allocated().cpu_millis;
            load.allocated_millis = load.allocated_millis.saturating_add(allocated_millis);
        }
        for stage in self.stages.values() {
            if stage.waiting.is_empty() {
                continue;
            }
            load.tasks += stage.waiting.len();
            load.gangs += usize::from(stage.needs.gang);
            if ranking::usefulness(&self.waiting(stage), now) == Usefulness::InTime {
                load.stages_in_time += 1;
            } else {
                load.stages_late += 1;
            }
        }
        load
    }

    pub(super) fn report_load(&self, now: Instant) {
        let load = self.load(now);
        log::info!(
            epoch = self.epoch, workers_up = load.workers_up,
            workers_avoided = load.workers_avoided, capacity_millis = load.capacity_millis,
            allocated_millis = load.allocated_millis, held_millis = load.held_millis,
            stages_in_time = load.stages_in_time, stages_late = load.stages_late,
            gangs = load.gangs, tasks = load.tasks, runs = self.runs.len();
            "load of the cell"
        );
        instruments().record_load(
            load.capacity_millis,
            load.allocated_millis,
            load.held_millis,
            load.tasks as u64,
        );
        if !self.customers.is_empty() {
            instruments().record_customers(&self.customer_loads(load.capacity_millis));
        }
    }
}

//! Changes of the capacity of workers that run.
//!
//! Runs that a worker has started go on when its capacity shrinks: they count against it until they
//! end, and the worker receives no new ones before there is room again.

use std::cmp::Reverse;

use super::super::records::RunOutcome;
use super::super::spec::{StageKey, TaskKey};
use super::Now;
use super::term::{LiveRun, OrderKind, RunPhase, Term};
use crate::ids::WorkerId;
use crate::resources::Resources;
use crate::scheduling::ledger::LedgerWorker;

impl Term {
    /// Adapts what was planned on a worker to its new capacity, which the ledger already has.
    pub(super) fn handle_capacity_change(&mut self, id: &WorkerId, former: Resources, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let allocated = self
            .ledger
            .worker(worker.index)
            .map(LedgerWorker::allocated);
        log::info!(
            worker = id.as_str(), former:% = former, capacity:% = worker.record.capacity,
            allocated:% = allocated.unwrap_or_default(), runs = worker.runs.len();
            "capacity of a worker changed"
        );
        self.release_excess_reservations(id);
        self.withdraw_excess_starts(id, now);
        if self.is_over_allocated(id) {
            // Only repeated starts are left; they are queued again once there is room.
            self.pending_orders
                .retain(|order| order.worker != *id || order.kind == OrderKind::Stop);
        }
    }

    /// Whether the allocations on a worker exceed its capacity.
    pub(super) fn is_over_allocated(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        let entry = worker.and_then(|worker| self.ledger.worker(worker.index));
        entry.is_some_and(LedgerWorker::is_over_allocated)
    }

    /// Releases reservations on a worker, those of the least urgent stages first, until the
    /// allocations fit: a reservation must not be larger than the room that it is exchanged for.
    fn release_excess_reservations(&mut self, id: &WorkerId) {
        let mut reserving: Vec<(u32, StageKey)> = Vec::new();
        for (key, stage) in &self.stages {
            if stage.reservations.contains_key(id) {
                reserving.push((stage.needs.priority, key.clone()));
            }
        }
        reserving.sort_by_key(|(priority, _)| Reverse(*priority));
        for (_, key) in reserving {
            if !self.is_over_allocated(id) {
                return;
            }
            log::info!(stage:% = key, worker = id.as_str(); "reservation released: the capacity of the worker shrank");
            self.release_reservation(&key, id);
        }
    }

    /// Withdraws starts that were not sent yet until the allocations fit, those of the least urgent
    /// queues first and the latest first among equals. Their tasks wait again.
    fn withdraw_excess_starts(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut unsent = Vec::new();
        for task in &worker.runs {
            let Some(run) = self.runs.get(task).filter(|run| is_unsent(run)) else {
                continue;
            };
            let job = self.state.jobs.get(&task.stage.job);
            let priority = job.map_or(0, |job| job.queue.priority);
            unsent.push((Reverse(priority), Reverse(run.placed_at), task.clone()));
        }
        unsent.sort_by_key(|(priority, placed_at, _)| (*priority, *placed_at));
        let mut withdrawn = 0;
        for (_, _, task) in unsent {
            if !self.is_over_allocated(id) {
                break;
            }
            withdrawn += self.withdraw_start(&task, now);
        }
        if withdrawn > 0 {
            log::info!(worker = id.as_str(), starts = withdrawn; "starts withdrawn: the capacity of the worker shrank");
        }
    }

    /// Ends a run whose start was not sent, and the other members of its gang, and returns the
    /// number of withdrawn starts. Members whose start was sent are stopped.
    fn withdraw_start(&mut self, task: &TaskKey, now: Now) -> usize {
        let mut tasks = vec![task.clone()];
        if self.is_gang(&task.stage) {
            let members = self.runs.iter();
            let members = members.filter(|(key, _)| key.stage == task.stage);
            let unsent = members.filter(|(key, run)| *key != task && is_unsent(run));
            tasks.extend(unsent.map(|(key, _)| key.clone()));
        }
        let mut withdrawn = 0;
        for task in tasks {
            if self.runs.contains_key(&task) {
                self.finish_run(&task, RunOutcome::NeverStarted, String::new(), now);
                withdrawn += 1;
            }
        }
        withdrawn
    }
}

/// Whether the run was placed in this term and no start order was sent for it.
fn is_unsent(run: &LiveRun) -> bool {
    run.phase == RunPhase::Starting && run.starts_sent == 0
}

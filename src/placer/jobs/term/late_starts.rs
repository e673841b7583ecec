//! Starts that may still arrive after their tasks were given up with the lease of their worker.
//!
//! No bound on the time that a call is on its way is known. A worker whose lease lapsed starts nothing
//! until the lease is renewed, so the lease is renewed only once the worker holds a tombstone for each
//! of these starts. A later placer needs none: the worker refuses calls of earlier epochs.

use std::sync::{Arc, Mutex};

use indexmap::IndexMap;

use super::Term;
use crate::ids::{Epoch, Incarnation, JobId, TaskId, WorkerId};
use crate::placer::jobs::calls::{WorkerCall, WorkerReply, WorkerRequest};
use crate::protocol::worker::{Announcement, TaskState};

/// Start of a task that was given up, to one incarnation of a worker.
struct LateStart {
    job: JobId,
    worker: WorkerId,
    incarnation: Incarnation,
}

/// Starts of one epoch that may still arrive. They outlive a state that is rebuilt in the same epoch.
#[derive(Default)]
pub(in crate::placer::jobs) struct LateStarts {
    epoch: Epoch,
    tasks: IndexMap<TaskId, LateStart>,
}

/// Late starts that successive states of one placer share.
pub(in crate::placer::jobs) type SharedLateStarts = Arc<Mutex<LateStarts>>;

impl LateStarts {
    /// Drops the starts of other epochs.
    pub(super) fn begin_epoch(&mut self, epoch: Epoch) {
        if self.epoch != epoch {
            *self = Self {
                epoch,
                tasks: IndexMap::new(),
            };
        }
    }
}

impl Term {
    /// Records a task that ends with the lease of its worker. A worker that confirmed the start has a
    /// record of the task, which refuses further copies.
    pub(super) fn record_late_start(&self, task: &TaskId) {
        let Some(live) = self.tasks.get(task).filter(|live| !live.attempt.started) else {
            return;
        };
        let start = LateStart {
            job: live.job.clone(),
            worker: live.attempt.worker.clone(),
            incarnation: live.attempt.incarnation,
        };
        let mut late_starts = self.late_starts.lock().unwrap();
        late_starts.tasks.insert(task.clone(), start);
    }

    /// Prepares cancellations of the starts that may still reach the worker. Returns whether there are
    /// any, so that its lease must not be renewed yet.
    pub(in crate::placer::jobs) fn cancel_late_starts(
        &mut self,
        announcement: &Announcement,
    ) -> bool {
        let mut late_starts = self.late_starts.lock().unwrap();
        // Another incarnation refuses them.
        late_starts.tasks.retain(|task, start| {
            start.worker != announcement.worker
                || start.incarnation >= announcement.incarnation
                    && !announcement.tasks.contains_key(task)
        });
        let open = late_starts.tasks.iter().filter(|(_, start)| {
            start.worker == announcement.worker && start.incarnation == announcement.incarnation
        });
        let before = self.calls.len();
        for (task, start) in open {
            self.calls.push(WorkerCall {
                job: start.job.clone(),
                task: task.clone(),
                worker: start.worker.clone(),
                address: announcement.address.clone(),
                incarnation: start.incarnation,
                epoch: self.epoch,
                request: WorkerRequest::Cancel,
            });
        }
        let count = self.calls.len() - before;
        if count > 0 {
            log::info!(worker = announcement.worker.as_str(), starts = count; "lease not renewed: starts without an answer are cancelled first");
        }
        count > 0
    }

    /// Removes a start once the worker has a record of its task.
    pub(super) fn settle_late_start(&self, call: &WorkerCall, reply: WorkerReply) {
        let has_record = matches!(reply, WorkerReply::State(state) if state != TaskState::Unknown);
        if has_record && call.request == WorkerRequest::Cancel {
            let mut late_starts = self.late_starts.lock().unwrap();
            late_starts.tasks.swap_remove(&call.task);
        }
    }
}

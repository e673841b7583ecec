//! Tasks whose end is not committed, by worker and by the time of their next call.

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::calls::WorkerRequest;
use crate::ids::{JobId, TaskId, WorkerId};
use crate::placer::job_records::TaskAttempt;
use crate::scheduling::overuse::Measure;

/// A task whose end is not committed.
pub(super) struct LiveTask {
    pub(super) job: JobId,
    pub(super) attempt: TaskAttempt,
    /// Consecutive announcements of its worker that did not list the task.
    pub(super) missed_announcements: u32,
    /// Copies of the start call that were prepared since this placer recovered the task or decided it.
    pub(super) prepared_starts: u32,
    next_call: Option<(Instant, WorkerRequest)>,
}

/// All tasks without a committed end, indexed by worker and by the time of the next call.
#[derive(Default)]
pub(super) struct LiveTasks {
    tasks: IndexMap<TaskId, LiveTask>,
    by_worker: IndexMap<WorkerId, IndexSet<TaskId>>,
    due: BTreeSet<(Instant, TaskId)>,
}

impl LiveTasks {
    pub(super) fn insert(&mut self, task: TaskId, job: JobId, attempt: TaskAttempt) {
        let on_worker = self.by_worker.entry(attempt.worker.clone()).or_default();
        on_worker.insert(task.clone());
        let live = LiveTask {
            job,
            attempt,
            missed_announcements: 0,
            prepared_starts: 0,
            next_call: None,
        };
        self.tasks.insert(task, live);
    }

    pub(super) fn remove(&mut self, task: &str) -> Option<LiveTask> {
        self.clear_call(task);
        let live = self.tasks.swap_remove(task)?;
        if let Some(on_worker) = self.by_worker.get_mut(&live.attempt.worker) {
            on_worker.swap_remove(task);
            if on_worker.is_empty() {
                self.by_worker.swap_remove(&live.attempt.worker);
            }
        }
        Some(live)
    }

    pub(super) fn get(&self, task: &str) -> Option<&LiveTask> {
        self.tasks.get(task)
    }

    pub(super) fn get_mut(&mut self, task: &str) -> Option<&mut LiveTask> {
        self.tasks.get_mut(task)
    }

    /// Returns the tasks placed on a worker.
    pub(super) fn on_worker(&self, worker: &str) -> Vec<TaskId> {
        let tasks = self.by_worker.get(worker);
        tasks
            .map(|tasks| tasks.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Schedules the next call about a task and replaces an earlier one, but not a stop or a
    /// cancellation by a weaker call: they are repeated until the end of the task is reported.
    pub(super) fn set_call(&mut self, task: &str, at: Instant, request: WorkerRequest) {
        let next = self
            .tasks
            .get(task)
            .and_then(|live| live.next_call.as_ref());
        if next.is_some_and(|(_, next)| stop_rank(next) > stop_rank(&request)) {
            return;
        }
        self.clear_call(task);
        if let Some(live) = self.tasks.get_mut(task) {
            live.next_call = Some((at, request));
            self.due.insert((at, task.to_owned()));
        }
    }

    pub(super) fn clear_call(&mut self, task: &str) {
        let live = self.tasks.get_mut(task);
        if let Some((at, _)) = live.and_then(|live| live.next_call.take()) {
            self.due.remove(&(at, task.to_owned()));
        }
    }

    /// Cancels the repetition of a call that had its effect, unless another call was scheduled
    /// meanwhile: replies may arrive late.
    pub(super) fn complete_call(&mut self, task: &str, request: &WorkerRequest) {
        if self.is_next(task, request) {
            self.clear_call(task);
        }
    }

    /// Whether the request is that of the next call about a task.
    pub(super) fn is_next(&self, task: &str, request: &WorkerRequest) -> bool {
        let call = self
            .tasks
            .get(task)
            .and_then(|live| live.next_call.as_ref());
        call.is_some_and(|(_, next)| next == request)
    }

    /// Whether a call about a task is scheduled.
    pub(super) fn has_call(&self, task: &str) -> bool {
        self.tasks
            .get(task)
            .is_some_and(|live| live.next_call.is_some())
    }

    /// Whether the next call about a task is its start.
    pub(super) fn is_starting(&self, task: &str) -> bool {
        let call = self
            .tasks
            .get(task)
            .and_then(|live| live.next_call.as_ref());
        matches!(call, Some((_, WorkerRequest::Start { .. })))
    }

    /// Returns the calls that are due with their tasks, and reschedules them for `again_at`.
    pub(super) fn take_due(
        &mut self,
        now: Instant,
        again_at: Instant,
    ) -> Vec<(TaskId, WorkerRequest)> {
        let mut calls = Vec::new();
        while let Some((at, task)) = self.due.first().cloned() {
            if at > now {
                break;
            }
            self.due.pop_first();
            let live = self.tasks.get_mut(&task);
            if let Some((at, request)) = live.and_then(|live| live.next_call.as_mut()) {
                *at = again_at;
                calls.push((task.clone(), request.clone()));
                self.due.insert((again_at, task));
            }
        }
        calls
    }
}

/// Orders calls by whether they stop a task. Unlike a stop, a cancellation leaves a tombstone for a
/// task that the worker does not know.
fn stop_rank(request: &WorkerRequest) -> u8 {
    match request {
        WorkerRequest::Cancel => 2,
        WorkerRequest::Apply(Measure::Stop) => 1,
        _ => 0,
    }
}

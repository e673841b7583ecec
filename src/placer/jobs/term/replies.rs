//! Replies of workers to the calls of the job placer.

use std::time::{Duration, Instant};

use super::Term;
use crate::placer::job_records::JobRecord;
use crate::placer::jobs::calls::{WorkerCall, WorkerCallError, WorkerReply, WorkerRequest};
use crate::protocol::worker::TaskState;
use crate::scheduling::job::TaskEnd;
use crate::scheduling::overuse::Measure;

/// Time between the request for a checkpoint and the stop.
const CHECKPOINT_TIME: Duration = Duration::from_secs(5);

impl Term {
    /// Records the reply to a call.
    pub(in crate::placer::jobs) fn handle_reply(
        &mut self,
        call: &WorkerCall,
        reply: Result<WorkerReply, WorkerCallError>,
        now: Instant,
    ) {
        // A call without a reply is repeated; the worker ignores operations it has already performed.
        let Ok(reply) = reply else {
            return;
        };
        self.settle_late_start(call, reply);
        let state = match reply {
            WorkerReply::State(state) => state,
            // A refused measure does not change the task.
            WorkerReply::Refused if !matches!(call.request, WorkerRequest::Start { .. }) => return,
            WorkerReply::Refused => TaskState::NeverStarted,
        };
        // The next incarnation of the worker refuses a start for the former one, which may have
        // carried out another copy. The tombstone of a cancellation settles whether it did.
        let is_start = matches!(call.request, WorkerRequest::Start { .. });
        let only_copy = self.tasks.get(&call.task).map(|live| live.prepared_starts) == Some(1);
        if state == TaskState::NeverStarted && is_start && !only_copy {
            self.tasks.set_call(&call.task, now, WorkerRequest::Cancel);
            return;
        }
        if let Some(end) = task_end(state) {
            self.end_task(&call.task, end, now);
            return;
        }
        match &call.request {
            // A late reply must not postpone or end a stop that was decided meanwhile.
            WorkerRequest::Apply(Measure::Checkpoint) => {
                if !self.tasks.is_next(&call.task, &call.request) {
                    return;
                }
                let stop = WorkerRequest::Apply(Measure::Stop);
                self.tasks.set_call(&call.task, now + CHECKPOINT_TIME, stop);
            }
            WorkerRequest::Apply(Measure::Throttle) => {
                self.tasks.complete_call(&call.task, &call.request);
            }
            WorkerRequest::Start { .. } => self.confirm_start(&call.task),
            // A start that is still in transit must find a tombstone.
            WorkerRequest::Query if state == TaskState::Unknown => {
                self.tasks.set_call(&call.task, now, WorkerRequest::Cancel);
            }
            WorkerRequest::Query => {
                self.confirm_start(&call.task);
                self.tasks.complete_call(&call.task, &call.request);
            }
            // Repeated until the end of the task is reported.
            WorkerRequest::Apply(Measure::Stop) | WorkerRequest::Cancel => {}
            WorkerRequest::RemoveRecord => {}
        }
    }

    pub(super) fn confirm_start(&mut self, task: &str) {
        if self.tasks.is_starting(task) {
            self.tasks.clear_call(task);
        }
        let Some(live) = self
            .tasks
            .get_mut(task)
            .filter(|live| !live.attempt.started)
        else {
            return;
        };
        live.attempt.started = true;
        self.records.push(JobRecord::TaskStarted {
            job: live.job.clone(),
            task: task.to_owned(),
        });
    }
}

/// Returns how a task ended; `None` while it may be running.
pub(super) fn task_end(state: TaskState) -> Option<TaskEnd> {
    match state {
        // A start that is still in transit may start an unknown task.
        TaskState::Running | TaskState::Unknown => None,
        TaskState::Succeeded => Some(TaskEnd::Succeeded),
        TaskState::Failed => Some(TaskEnd::Failed),
        TaskState::Stopped => Some(TaskEnd::Stopped),
        TaskState::NeverStarted => Some(TaskEnd::NeverStarted),
    }
}

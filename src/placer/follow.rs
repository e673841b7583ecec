//! Resolves orphaned tasks, which no caller's thread runs any more: tasks of former placers, tasks
//! whose caller's deadline has passed, and tasks with an unconfirmed record. One thread polls each
//! runner that has such tasks.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use hyper::Method;

use super::dispatch::runner_lost;
use super::flight::{InFlightRequest, RequestEnd};
use super::links::RunnerLink;
use super::runners::health::Execution;
use super::runners::{RunnerSlot, RunnerStatus};
use super::task_calls::{self, MAX_CORRUPTED_ANSWERS, Reply};
use super::{Outcome, Placer, not_placer};
use crate::ids::{Epoch, Incarnation, RequestKey, TaskId, WorkerId};
use crate::protocol::caller::Answer;
use crate::scheduling::request_queue::QueuedRequest;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Pause between two queries about the same task.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Slot that an orphaned task occupies on its runner.
pub(super) enum OccupiedSlot {
    /// The slot was already released.
    Released,
    /// The slot that was reserved for it.
    Reserved(Box<(QueuedRequest, RunnerSlot)>),
    /// A slot that the new placer counted when it took over.
    Adopted,
}

/// A task that no caller's thread runs any more.
pub(super) struct OrphanedTask {
    pub key: RequestKey,
    pub task: TaskId,
    pub worker: WorkerId,
    pub incarnation: Incarnation,
    /// Epoch of the placer that polls the task.
    pub epoch: Epoch,
    /// Generation of the runner table in which its slot is counted.
    pub generation: u64,
    pub deadline_unix_ms: u64,
    pub idempotent: bool,
    /// Whether the runner confirmed that it has the task. Then an unknown id means a lost record.
    pub acknowledged: bool,
    pub corrupted_answers: AtomicU32,
    pub in_flight: Arc<InFlightRequest>,
    pub occupied_slot: OccupiedSlot,
    /// Outcome whose completion was not confirmed, and whether the task is certain to be over.
    pub unconfirmed_outcome: Option<(Outcome, bool)>,
}

impl Placer {
    /// Polls a task until its outcome is committed. Its request must be registered in flight.
    pub(super) fn track_orphan(self: &Arc<Self>, orphan: OrphanedTask) {
        let mut state = self.state.lock().unwrap();
        if !state.is_current_generation(orphan.generation) {
            drop(state);
            orphan
                .in_flight
                .finish(RequestEnd::Outcome(Err(no_longer_placer())));
            return;
        }
        let worker = orphan.worker.clone();
        let has_thread = state.orphaned_tasks.contains_key(&worker);
        state
            .orphaned_tasks
            .entry(worker.clone())
            .or_default()
            .push(orphan);
        drop(state);
        if has_thread {
            return;
        }
        let placer = Arc::downgrade(self);
        let name = format!("follow-{worker}");
        let spawned = thread::Builder::new()
            .name(name)
            .spawn(move || poll_runner(&placer, &worker));
        if let Err(error) = spawned {
            log::error!("cannot start a thread to poll tasks of a runner: {error}");
        }
    }

    /// Polls the orphaned tasks of a runner once and returns whether any are left.
    fn poll_orphans(self: &Arc<Self>, worker: &str) -> bool {
        let batch = {
            let mut state = self.state.lock().unwrap();
            state.orphaned_tasks.get_mut(worker).map(std::mem::take)
        };
        let mut open = Vec::new();
        for orphan in batch.unwrap_or_default() {
            if !self.poll_orphan(&orphan) {
                open.push(orphan);
            }
        }
        let mut state = self.state.lock().unwrap();
        let list = state.orphaned_tasks.entry(worker.to_owned()).or_default();
        list.append(&mut open);
        if list.is_empty() {
            state.orphaned_tasks.swap_remove(worker);
            return false;
        }
        true
    }

    /// Polls one task and returns whether it needs no further polling.
    fn poll_orphan(self: &Arc<Self>, orphan: &OrphanedTask) -> bool {
        let runner_status =
            self.runner_status(&orphan.worker, orphan.incarnation, orphan.generation);
        let Some(runner_status) = runner_status else {
            let end = RequestEnd::Outcome(Err(no_longer_placer()));
            orphan.in_flight.finish(end);
            return true;
        };
        if let Some((outcome, over)) = &orphan.unconfirmed_outcome {
            return self.resolve(orphan, outcome.clone(), *over);
        }
        match runner_status {
            RunnerStatus::Unknown => false,
            RunnerStatus::Restarted => {
                let message = "the runner restarted while it held the task";
                let error = RequestError::may_have_run(ErrorCode::RunnerLost, message);
                self.resolve(orphan, Err(error), true)
            }
            RunnerStatus::LeaseExpired => self.resolve(orphan, Err(runner_lost()), false),
            RunnerStatus::Alive(link) => match self.query_runner(orphan, &link) {
                Some((outcome, over)) => self.resolve(orphan, outcome, over),
                None => false,
            },
        }
    }

    /// Returns the outcome that the runner reports, and whether the task is certain to be over.
    fn query_runner(&self, orphan: &OrphanedTask, link: &RunnerLink) -> Option<(Outcome, bool)> {
        let (options, task, epoch) = (&self.options, &orphan.task, orphan.epoch);
        let mut reply = if orphan.acknowledged {
            let target = task_calls::Target {
                link,
                task,
                epoch,
                deadline: options.clock.now() + options.timing.exchange_timeout(),
                fresh_connection: true,
            };
            task_calls::call(options, &target, Method::GET, "", Duration::ZERO).ok()?
        } else {
            task_calls::query_or_tombstone(options, link, task, epoch)?
        };
        let unwanted = self.is_abandoned(orphan) || orphan.in_flight.is_cancelled();
        if matches!(reply, Reply::Running) && unwanted {
            reply = task_calls::cancel(options, link, task, epoch, Duration::ZERO)?;
        }
        let lost = |message: &str| RequestError::may_have_run(ErrorCode::RunnerLost, message);
        match reply {
            Reply::Running | Reply::Unrecognized(_) => None,
            Reply::Corrupted => {
                let corrupted = orphan.corrupted_answers.fetch_add(1, Ordering::Relaxed) + 1;
                if corrupted < MAX_CORRUPTED_ANSWERS {
                    return None;
                }
                let message = "the answer arrived damaged several times";
                Some((Err(RequestError::ran(ErrorCode::TaskFailed, message)), true))
            }
            Reply::Succeeded(body) => Some((Ok(Answer { body, wait_us: 0 }), true)),
            Reply::Failed(message) => {
                Some((Err(RequestError::ran(ErrorCode::TaskFailed, message)), true))
            }
            Reply::Stopped => Some((
                Err(lost("the runner stopped the task before its end")),
                true,
            )),
            Reply::NeverStarted(message) => {
                let error = RequestError::did_not_run(ErrorCode::Unavailable, message);
                Some((Err(error), true))
            }
            Reply::Unknown => Some((Err(lost("the runner lost the record of the task")), false)),
        }
    }

    /// Whether a running task may be stopped to free its slot: the request is idempotent, its
    /// deadline has passed and no caller waits, so that nobody can use the answer.
    fn is_abandoned(&self, orphan: &OrphanedTask) -> bool {
        orphan.idempotent
            && !orphan.in_flight.has_waiters()
            && orphan.deadline_unix_ms <= self.options.clock.unix_ms()
    }

    /// Commits the outcome and ends the request. Returns false when the commit must be retried.
    fn resolve(self: &Arc<Self>, orphan: &OrphanedTask, outcome: Outcome, over: bool) -> bool {
        let outcome = outcome.map_err(|error| describe_cancelled(orphan, error));
        let committed = self.commit_completion(&orphan.key, &orphan.task, &outcome, over);
        let outcome = match committed {
            Ok(recorded) => recorded,
            Err(error) => {
                // The commit is retried until it succeeds or the epoch ends.
                log::debug!("completion of {} not confirmed: {error}", orphan.key);
                return false;
            }
        };
        let verdict = outcome
            .as_ref()
            .map_or_else(|error| error.verdict, |_| Verdict::Ran);
        log::info!(
            key = orphan.key.as_str(), runner = orphan.worker.as_str(),
            task = orphan.task.as_str(), verdict = verdict.to_string().as_str();
            "task without an owner resolved"
        );
        let another = orphan.idempotent
            && over
            && verdict != Verdict::Ran
            && !orphan.in_flight.is_cancelled();
        let execution = match &orphan.occupied_slot {
            OccupiedSlot::Reserved(reserved) => Some(Execution::of(
                &outcome,
                &reserved.1,
                self.options.clock.now(),
            )),
            OccupiedSlot::Released | OccupiedSlot::Adopted => None,
        };
        let end = if another {
            RequestEnd::RetryLookup
        } else {
            RequestEnd::Outcome(outcome)
        };
        match &orphan.occupied_slot {
            OccupiedSlot::Released => {}
            OccupiedSlot::Reserved(reserved) => self.release(&reserved.0, &reserved.1, execution),
            OccupiedSlot::Adopted => self.release_adopted(orphan),
        }
        self.end_in_flight(&orphan.key, &orphan.in_flight, end);
        true
    }
}

fn poll_runner(placer: &Weak<Placer>, worker: &str) {
    loop {
        let Some(placer) = placer.upgrade() else {
            return;
        };
        if !placer.poll_orphans(worker) {
            return;
        }
        drop(placer);
        thread::sleep(POLL_INTERVAL);
    }
}

fn describe_cancelled(orphan: &OrphanedTask, error: RequestError) -> RequestError {
    if error.verdict == Verdict::Ran || !orphan.in_flight.is_cancelled() {
        return error;
    }
    RequestError {
        code: ErrorCode::Cancelled,
        ..error
    }
}

/// Error of a request that was in flight when this host lost its role.
pub(super) fn no_longer_placer() -> RequestError {
    RequestError {
        verdict: Verdict::MayHaveRun,
        ..not_placer()
    }
}

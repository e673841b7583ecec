//! Tasks of the stand-in runner: idempotent create, tombstones, fencing and leases.

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::executions::ExecutionLog;
use super::payload::StandInPayload;
use crate::http::Request;
use crate::ids::{Epoch, Incarnation, TaskId, WorkerId};
use crate::protocol::headers;
use crate::protocol::worker::TaskState;
use crate::verdict::{ErrorCode, RequestError};

/// Finished tasks and tombstones kept; the oldest are dropped first.
const MAX_FINISHED_TASKS: usize = 100_000;
/// Longest wait for the end of a task within one exchange.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// State and answer of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskView {
    /// State.
    pub state: TaskState,
    /// Answer, or the reason of a failure.
    pub answer: Vec<u8>,
}

#[derive(Default)]
struct Table {
    tasks: IndexMap<TaskId, TaskView>,
    running: usize,
    highest_running: usize,
    started: usize,
    highest_epoch: Epoch,
    lease_ends_at: Option<Instant>,
}

/// Tasks of one runner.
pub struct TaskTable {
    slots: usize,
    incarnation: Incarnation,
    table: Mutex<Table>,
    changed: Condvar,
    /// Worker id, for payloads that fail on one runner.
    pub worker: WorkerId,
    /// What was executed.
    pub executions: ExecutionLog,
}

impl TaskTable {
    /// A table without tasks.
    pub fn new(slots: usize, incarnation: Incarnation) -> Self {
        Self {
            slots,
            incarnation,
            table: Mutex::default(),
            changed: Condvar::new(),
            worker: WorkerId::new(),
            executions: ExecutionLog::default(),
        }
    }

    /// Starts a task unless its id is known.
    ///
    /// # Errors
    ///
    /// `did_not_run` when the epoch or incarnation is stale, all slots are busy, or the id has a
    /// tombstone.
    pub fn create(self: &Arc<Self>, id: &str, request: &Request) -> Result<(), RequestError> {
        let refuse = |message: &str| RequestError::did_not_run(ErrorCode::Unavailable, message);
        let incarnation = request.parse_header::<u64>(headers::INCARNATION)?;
        let mut table = self.table.lock().unwrap();
        check_epoch(&mut table, request)?;
        if table.tasks.contains_key(id) {
            return Ok(());
        }
        if incarnation.is_some_and(|incarnation| incarnation != self.incarnation) {
            return Err(refuse("the task is for another incarnation of this runner"));
        }
        if table.running >= self.slots {
            return Err(refuse("all slots are busy"));
        }
        table.running += 1;
        table.started += 1;
        table.highest_running = table.highest_running.max(table.running);
        let view = TaskView {
            state: TaskState::Running,
            answer: Vec::new(),
        };
        table.tasks.insert(id.to_owned(), view);
        drop(table);
        self.executions.started(id, &request.body);
        let (tasks, id, payload) = (Arc::clone(self), id.to_owned(), request.body.clone());
        thread::spawn(move || tasks.execute(&id, &payload));
        Ok(())
    }

    fn execute(&self, id: &str, payload: &[u8]) {
        let instructions: Option<StandInPayload> = serde_json::from_slice(payload).ok();
        let work =
            Duration::from_millis(instructions.as_ref().map_or(0, |payload| payload.work_ms));
        let ends_at = Instant::now() + work;
        let mut table = self.table.lock().unwrap();
        loop {
            let stopped = table
                .tasks
                .get(id)
                .is_none_or(|view| view.state != TaskState::Running);
            let remaining = ends_at.saturating_duration_since(Instant::now());
            if stopped || remaining.is_zero() {
                break;
            }
            table = self.changed.wait_timeout(table, remaining).unwrap().0;
        }
        let finished = match instructions {
            Some(payload) if payload.fails_on(&self.worker) => TaskView {
                state: TaskState::Failed,
                answer: b"instructed to fail".to_vec(),
            },
            Some(payload) => TaskView {
                state: TaskState::Succeeded,
                answer: payload.answer(),
            },
            None => TaskView {
                state: TaskState::Succeeded,
                answer: payload.to_vec(),
            },
        };
        if let Some(view) = table
            .tasks
            .get_mut(id)
            .filter(|view| view.state == TaskState::Running)
        {
            *view = finished;
        }
        table.running -= 1;
        self.executions.ended(id);
        drop_oldest(&mut table);
        self.changed.notify_all();
    }

    /// State of a task, after waiting at most `wait` for its end. An unknown id was never started.
    pub fn wait(&self, id: &str, wait: Duration) -> TaskView {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut table = self.table.lock().unwrap();
        loop {
            let Some(view) = table.tasks.get(id) else {
                return TaskView {
                    state: TaskState::NeverStarted,
                    answer: b"unknown task".to_vec(),
                };
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if view.state != TaskState::Running || remaining.is_zero() {
                return view.clone();
            }
            table = self.changed.wait_timeout(table, remaining).unwrap().0;
        }
    }

    /// Stops a task; an unknown id gets a tombstone.
    ///
    /// # Errors
    ///
    /// `did_not_run` when the epoch is stale.
    pub fn cancel(&self, id: &str, request: &Request) -> Result<(), RequestError> {
        let mut table = self.table.lock().unwrap();
        check_epoch(&mut table, request)?;
        let tombstone = TaskView {
            state: TaskState::NeverStarted,
            answer: b"cancelled".to_vec(),
        };
        let view = table.tasks.entry(id.to_owned()).or_insert(tombstone);
        if view.state == TaskState::Running {
            view.state = TaskState::Stopped;
        }
        self.changed.notify_all();
        Ok(())
    }

    /// Drops the record of a task that is not running.
    pub fn forget(&self, id: &str) {
        let mut table = self.table.lock().unwrap();
        if table
            .tasks
            .get(id)
            .is_some_and(|view| view.state != TaskState::Running)
        {
            table.tasks.shift_remove(id);
        }
    }

    /// Renews the lease of all tasks.
    pub fn renew(&self, epoch: Epoch, lease_ends_at: Instant) {
        let mut table = self.table.lock().unwrap();
        if epoch >= table.highest_epoch {
            table.highest_epoch = epoch;
            table.lease_ends_at = Some(lease_ends_at);
        }
    }

    /// Stops all tasks when the lease has lapsed.
    pub fn stop_if_lapsed(&self, now: Instant) {
        let mut table = self.table.lock().unwrap();
        if table.lease_ends_at.is_none_or(|ends_at| ends_at > now) {
            return;
        }
        for view in table.tasks.values_mut() {
            if view.state == TaskState::Running {
                view.state = TaskState::Stopped;
            }
        }
        self.changed.notify_all();
    }

    /// Tasks executing now.
    pub fn running(&self) -> usize {
        self.table.lock().unwrap().running
    }

    /// Most tasks that executed at once.
    pub fn highest_running(&self) -> usize {
        self.table.lock().unwrap().highest_running
    }

    /// Tasks started so far.
    pub fn started(&self) -> usize {
        self.table.lock().unwrap().started
    }

    /// Highest epoch seen.
    pub fn highest_epoch(&self) -> Epoch {
        self.table.lock().unwrap().highest_epoch
    }

    /// Tasks that are running, for announcements.
    pub fn running_tasks(&self) -> IndexMap<TaskId, TaskState> {
        let table = self.table.lock().unwrap();
        let running = table
            .tasks
            .iter()
            .filter(|(_, view)| view.state == TaskState::Running);
        running.map(|(id, view)| (id.clone(), view.state)).collect()
    }
}

fn check_epoch(table: &mut Table, request: &Request) -> Result<(), RequestError> {
    let epoch = request
        .parse_header::<Epoch>(headers::EPOCH)?
        .ok_or_else(|| {
            RequestError::did_not_run(
                ErrorCode::BadRequest,
                "header jujubewinch-epoch is required",
            )
        })?;
    if epoch < table.highest_epoch {
        let message = format!("epoch {epoch} is stale; {} was seen", table.highest_epoch);
        return Err(RequestError::did_not_run(ErrorCode::Unavailable, message));
    }
    table.highest_epoch = epoch;
    Ok(())
}

fn drop_oldest(table: &mut Table) {
    while table.tasks.len() > MAX_FINISHED_TASKS {
        let oldest = table
            .tasks
            .iter()
            .position(|(_, view)| view.state != TaskState::Running);
        let Some(index) = oldest else { return };
        table.tasks.shift_remove_index(index);
    }
}

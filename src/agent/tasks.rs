//! Tasks of the stand-in runner: idempotent create, tombstones, fencing and leases.

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::executions::{Execution, ExecutionLog};
use super::faults::Faults;
use super::payload::StandInPayload;
use super::pool::Pool;
use crate::http::Request;
use crate::ids::{Epoch, Incarnation, TaskId, WorkerId};
use crate::protocol::headers;
use crate::protocol::worker::TaskState;
use crate::resources::Resources;
use crate::verdict::{ErrorCode, RequestError};

/// Finished tasks and tombstones kept; the oldest are dropped first. The placer has them dropped
/// after it committed their completions, so only abandoned ones reach the bound.
const MAX_FINISHED_TASKS: usize = 100_000;
/// Ids of dropped records kept, so that a late copy of their create starts nothing.
const MAX_DROPPED_IDS: usize = 100_000;
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

impl TaskView {
    fn new(state: TaskState, answer: &[u8]) -> Self {
        Self {
            state,
            answer: answer.to_vec(),
        }
    }
}

struct Task {
    view: TaskView,
    /// Set by a cancellation; the state changes once the execution has ended.
    stop_requested: bool,
    /// Allocation of a task of a job; absent for tasks of requests, which use a slot.
    resources: Option<Resources>,
}

#[derive(Default)]
struct Table {
    incarnation: Incarnation,
    tasks: IndexMap<TaskId, Task>,
    dropped: IndexSet<TaskId>,
    leaving: bool,
    running: usize,
    /// Running tasks of requests.
    busy_slots: usize,
    highest_running: usize,
    started: usize,
    highest_epoch: Epoch,
    lease_ends_at: Option<Instant>,
}

/// Tasks of one runner.
pub struct TaskTable {
    slots: usize,
    faults: Faults,
    pool: Pool,
    table: Mutex<Table>,
    changed: Condvar,
    /// What the worker has for tasks of jobs.
    pub capacity: Resources,
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
            faults: Faults::default(),
            pool: Pool::new(),
            table: Mutex::new(Table {
                incarnation,
                ..Table::default()
            }),
            changed: Condvar::new(),
            capacity: Resources::ZERO,
            worker: WorkerId::new(),
            executions: ExecutionLog::default(),
        }
    }

    /// Faults that can be switched on.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.table.lock().unwrap().incarnation
    }

    /// Drops all tasks and records, as a crash of the process does, and begins an incarnation.
    pub fn crash(&self, incarnation: Incarnation) {
        let mut table = self.table.lock().unwrap();
        self.executions.all_ended();
        table.incarnation = incarnation;
        table.tasks.clear();
        table.dropped.clear();
        table.running = 0;
        table.busy_slots = 0;
        table.highest_epoch = 0;
        table.lease_ends_at = None;
        self.changed.notify_all();
    }

    /// Refuses new tasks from now on.
    pub fn leave(&self) {
        self.table.lock().unwrap().leaving = true;
    }

    /// Starts a task unless its id is known.
    ///
    /// # Errors
    ///
    /// `did_not_run` when the epoch or incarnation is stale, the lease has lapsed, all slots are
    /// busy, the resources are not free, the runner is leaving, or the record of the id was dropped. A refused id becomes a tombstone.
    pub fn create(self: &Arc<Self>, id: &str, request: &Request) -> Result<(), RequestError> {
        let refuse = |message: &str| RequestError::did_not_run(ErrorCode::Unavailable, message);
        let resources = task_resources(request)?;
        let mut table = self.table.lock().unwrap();
        check_epoch(&mut table, request)?;
        check_incarnation(&table, request)?;
        if table.tasks.contains_key(id) {
            return Ok(());
        }
        if table.dropped.contains(id) {
            return Err(refuse("the task ended and its record was dropped"));
        }
        let now = Instant::now();
        let refusal = if table.lease_ends_at.is_some_and(|ends_at| ends_at <= now) {
            Some("the lease of the runner has lapsed")
        } else if table.leaving {
            Some("the runner is leaving")
        } else {
            self.lacking(&table, resources)
        };
        if let Some(message) = refusal {
            // Another copy of this create may still arrive when a slot is free.
            let view = TaskView::new(TaskState::NeverStarted, message.as_bytes());
            table.add(id, view, resources);
            return Ok(());
        }
        table.start(id, resources);
        let incarnation = table.incarnation;
        drop(table);
        let key = request.header(headers::IDEMPOTENCY_KEY);
        self.executions.started(id, key, &request.body);
        let instructions: Option<StandInPayload> = serde_json::from_slice(&request.body).ok();
        let work = instructions.as_ref().map(StandInPayload::work);
        let work = work.unwrap_or_default();
        let view = self.finished_view(instructions, &request.body);
        if work.is_zero() {
            // A thread change would cost more than the work.
            self.execute(incarnation, id, Duration::ZERO, view);
            return Ok(());
        }
        let (tasks, id) = (Arc::clone(self), id.to_owned());
        self.pool
            .execute(move || tasks.execute(incarnation, &id, work, view));
        Ok(())
    }

    /// Why there is no room for another task.
    fn lacking(&self, table: &Table, resources: Option<Resources>) -> Option<&'static str> {
        let Some(resources) = resources else {
            return (table.busy_slots >= self.slots).then_some("all slots are busy");
        };
        let running = table
            .tasks
            .values()
            .filter(|task| task.view.state == TaskState::Running);
        let allocated = running
            .filter_map(|task| task.resources)
            .try_fold(resources, |sum, allocation| sum.checked_add(&allocation));
        let fits = allocated.is_some_and(|sum| self.capacity.covers(&sum));
        (!fits).then_some("the resources of the worker are allocated to other tasks")
    }

    fn execute(&self, incarnation: Incarnation, id: &str, work: Duration, finished: TaskView) {
        let stopped = self.work_until(incarnation, id, Instant::now() + work);
        self.faults.wait_while_paused();
        let mut table = self.table.lock().unwrap();
        if table.incarnation != incarnation {
            return;
        }
        let view = if stopped {
            TaskView::new(TaskState::Stopped, b"stopped")
        } else {
            finished
        };
        table.end(id, view);
        self.executions.ended(id);
        drop_oldest(&mut table);
        self.changed.notify_all();
    }

    /// What a task shows after it ended by itself.
    fn finished_view(&self, instructions: Option<StandInPayload>, payload: &[u8]) -> TaskView {
        match instructions {
            Some(payload) if payload.fails_on(&self.worker) => {
                TaskView::new(TaskState::Failed, b"instructed to fail")
            }
            Some(payload) => TaskView::new(TaskState::Succeeded, &payload.answer()),
            None => TaskView::new(TaskState::Succeeded, payload),
        }
    }

    /// Waits for the end of the work; returns whether the task was stopped before.
    fn work_until(&self, incarnation: Incarnation, id: &str, ends_at: Instant) -> bool {
        let mut table = self.table.lock().unwrap();
        loop {
            if table.incarnation != incarnation {
                return true;
            }
            let now = Instant::now();
            let lapsed = table.lease_ends_at.is_some_and(|ends_at| ends_at <= now);
            if lapsed || table.tasks.get(id).is_none_or(|task| task.stop_requested) {
                return true;
            }
            let remaining = ends_at.saturating_duration_since(now);
            if remaining.is_zero() {
                return false;
            }
            table = self.changed.wait_timeout(table, remaining).unwrap().0;
        }
    }

    /// State of a task, after waiting at most `wait` for its end.
    ///
    /// # Errors
    ///
    /// `did_not_run` when the question is for another incarnation, which alone could answer it.
    pub fn wait(
        &self,
        id: &str,
        request: &Request,
        wait: Duration,
    ) -> Result<TaskView, RequestError> {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut table = self.table.lock().unwrap();
        loop {
            check_incarnation(&table, request)?;
            let Some(task) = table.tasks.get(id) else {
                return Ok(TaskView::new(TaskState::Unknown, b"unknown task"));
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if task.view.state != TaskState::Running || remaining.is_zero() {
                return Ok(task.view.clone());
            }
            table = self.changed.wait_timeout(table, remaining).unwrap().0;
        }
    }

    /// Stops a task; an unknown id gets a tombstone.
    ///
    /// # Errors
    ///
    /// `did_not_run` when the epoch or incarnation is stale, or the record was dropped.
    pub fn cancel(&self, id: &str, request: &Request) -> Result<(), RequestError> {
        let mut table = self.table.lock().unwrap();
        check_epoch(&mut table, request)?;
        check_incarnation(&table, request)?;
        if table.dropped.contains(id) {
            let message = "the task ended and its record was dropped";
            return Err(RequestError::did_not_run(ErrorCode::NotFound, message));
        }
        match table.tasks.get_mut(id) {
            Some(task) => task.stop_requested = true,
            None => table.add(
                id,
                TaskView::new(TaskState::NeverStarted, b"cancelled"),
                None,
            ),
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
            .is_none_or(|task| task.view.state == TaskState::Running)
        {
            return;
        }
        table.tasks.swap_remove(id);
        if table.dropped.len() >= MAX_DROPPED_IDS {
            table.dropped.swap_remove_index(0);
        }
        table.dropped.insert(id.to_owned());
    }

    /// Stops tasks that the placer does not know.
    pub fn stop(&self, ids: &[TaskId]) {
        let mut table = self.table.lock().unwrap();
        for id in ids {
            if let Some(task) = table.tasks.get_mut(id) {
                task.stop_requested = true;
            }
        }
        self.changed.notify_all();
    }

    /// Measured usage of running tasks of jobs; the stand-in uses what it is allocated.
    pub fn usage(&self) -> IndexMap<TaskId, Resources> {
        let table = self.table.lock().unwrap();
        let running = table
            .tasks
            .iter()
            .filter(|(_, task)| task.view.state == TaskState::Running);
        running
            .filter_map(|(id, task)| Some((id.clone(), task.resources?)))
            .collect()
    }

    /// Renews the lease of all tasks.
    pub fn renew(&self, epoch: Epoch, lease_ends_at: Instant) {
        let mut table = self.table.lock().unwrap();
        if epoch >= table.highest_epoch {
            table.highest_epoch = epoch;
            table.lease_ends_at = Some(lease_ends_at);
        }
    }

    /// Wakes the tasks when the lease has lapsed, which stop then.
    pub fn stop_if_lapsed(&self, now: Instant) {
        let table = self.table.lock().unwrap();
        if table.lease_ends_at.is_some_and(|ends_at| ends_at <= now) {
            self.changed.notify_all();
        }
    }

    /// Tasks executing now.
    pub fn running(&self) -> usize {
        self.table.lock().unwrap().running
    }

    /// Most tasks that executed at once.
    pub fn highest_running(&self) -> usize {
        self.table.lock().unwrap().highest_running
    }

    /// Tasks started so far, in all incarnations.
    pub fn started(&self) -> usize {
        self.table.lock().unwrap().started
    }

    /// Records of tasks and tombstones held now.
    pub fn records(&self) -> usize {
        self.table.lock().unwrap().tasks.len()
    }

    /// Executions so far, in all incarnations.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.list("")
    }

    /// Highest epoch seen.
    pub fn highest_epoch(&self) -> Epoch {
        self.table.lock().unwrap().highest_epoch
    }

    /// Tasks that are running, and ended tasks of jobs until their records are dropped.
    pub fn announced_tasks(&self) -> IndexMap<TaskId, TaskState> {
        let table = self.table.lock().unwrap();
        let announced = table
            .tasks
            .iter()
            .filter(|(_, task)| task.view.state == TaskState::Running || task.resources.is_some());
        announced
            .map(|(id, task)| (id.clone(), task.view.state))
            .collect()
    }
}

impl Table {
    fn add(&mut self, id: &str, view: TaskView, resources: Option<Resources>) {
        let task = Task {
            view,
            stop_requested: false,
            resources,
        };
        self.tasks.insert(id.to_owned(), task);
    }

    fn start(&mut self, id: &str, resources: Option<Resources>) {
        self.running += 1;
        self.busy_slots += usize::from(resources.is_none());
        self.started += 1;
        self.highest_running = self.highest_running.max(self.running);
        self.add(id, TaskView::new(TaskState::Running, b""), resources);
    }

    fn end(&mut self, id: &str, view: TaskView) {
        self.running -= 1;
        if let Some(task) = self.tasks.get_mut(id) {
            task.view = view;
            self.busy_slots -= usize::from(task.resources.is_none());
        }
    }
}

/// Allocation in the header of a task of a job.
fn task_resources(request: &Request) -> Result<Option<Resources>, RequestError> {
    let Some(text) = request.header(headers::RESOURCES) else {
        return Ok(None);
    };
    serde_json::from_str(text).map(Some).map_err(|error| {
        let message = format!("header jujubewinch-resources is not valid: {error}");
        RequestError::did_not_run(ErrorCode::BadRequest, message)
    })
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

/// Refuses calls for a former incarnation: this one knows nothing of its tasks.
fn check_incarnation(table: &Table, request: &Request) -> Result<(), RequestError> {
    let incarnation = request.parse_header::<Incarnation>(headers::INCARNATION)?;
    if incarnation.is_none_or(|incarnation| incarnation == table.incarnation) {
        return Ok(());
    }
    let message = "the call is for another incarnation of this runner";
    Err(RequestError::did_not_run(ErrorCode::Unavailable, message))
}

fn drop_oldest(table: &mut Table) {
    while table.tasks.len() > MAX_FINISHED_TASKS {
        let oldest = table
            .tasks
            .iter()
            .position(|(_, task)| task.view.state != TaskState::Running);
        let Some(index) = oldest else { return };
        table.tasks.swap_remove_index(index);
    }
}

//! Tasks of the stand-in runner: idempotent create, tombstones, fencing and leases.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::checks::{check_epoch, check_incarnation, task_resources};
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

/// Maximum number of task records, tombstones included; the oldest ended ones are dropped first. The
/// placer requests to drop a record after it committed the completion, so only abandoned records
/// reach this limit.
pub const MAX_FINISHED_TASKS: usize = 100_000;
/// Maximum number of ids of dropped records, which are kept so that a late copy of their create call
/// starts nothing.
pub const MAX_DROPPED_IDS: usize = 100_000;
/// Maximum wait for the end of a task within one exchange.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// State and answer of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskView {
    /// State of the task.
    pub state: TaskState,
    /// Answer of a succeeded task, or an explanation of any other state; empty while it runs.
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
    /// Resources allocated to a task of a job; absent for tasks of requests, which use a slot.
    resources: Option<Resources>,
}

#[derive(Default)]
struct Table {
    incarnation: Incarnation,
    tasks: IndexMap<TaskId, Task>,
    /// Ended tasks and tombstones, oldest first; the records of some may be dropped.
    ended_order: VecDeque<TaskId>,
    dropped: IndexSet<TaskId>,
    /// The ids of `dropped`, oldest first.
    dropped_order: VecDeque<TaskId>,
    leaving: bool,
    running: usize,
    /// Number of running tasks of requests.
    busy_slots: usize,
    highest_running: usize,
    started: usize,
    highest_epoch: Epoch,
    lease_ends_at: Option<Instant>,
    /// When the first announcement of this incarnation was about to be sent.
    announced_at: Option<Instant>,
}

/// Task records of one runner, and the execution of its tasks.
pub struct TaskTable {
    slots: usize,
    faults: Faults,
    pool: Pool,
    table: Mutex<Table>,
    changed: Condvar,
    /// Resources of the worker for tasks of jobs.
    pub capacity: Resources,
    /// Worker id, compared with `fail_on` of payloads.
    pub worker: WorkerId,
    /// Log of all executions.
    pub executions: ExecutionLog,
}

impl TaskTable {
    /// Creates a table without tasks.
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

    /// Returns the faults, for tests to inject.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.table.lock().unwrap().incarnation
    }

    /// Drops all tasks and records, as in a crash of the process, and begins a new incarnation.
    pub fn crash(&self, incarnation: Incarnation) {
        let mut table = self.table.lock().unwrap();
        self.executions.all_ended();
        table.incarnation = incarnation;
        table.tasks.clear();
        table.ended_order.clear();
        table.dropped.clear();
        table.dropped_order.clear();
        table.running = 0;
        table.busy_slots = 0;
        table.highest_epoch = 0;
        table.lease_ends_at = None;
        table.announced_at = None;
        self.changed.notify_all();
    }

    /// Records that an announcement of the incarnation is about to be sent.
    pub fn announcing(&self, incarnation: Incarnation, now: Instant) {
        let mut table = self.table.lock().unwrap();
        if table.incarnation == incarnation {
            table.announced_at.get_or_insert(now);
        }
    }

    /// Makes the runner refuse all further tasks.
    pub fn leave(&self) {
        self.table.lock().unwrap().leaving = true;
    }

    /// Starts a task unless its id is already known.
    ///
    /// # Errors
    ///
    /// `did_not_run` when a header is invalid, the epoch or incarnation is stale, or the record of the
    /// id was dropped. When the lease has expired, all slots are busy, the resources are not free or
    /// the runner is leaving, the id becomes a tombstone instead and the result is `Ok`.
    pub fn create(self: &Arc<Self>, id: &str, request: &Request) -> Result<(), RequestError> {
        let refuse = |message: &str| RequestError::did_not_run(ErrorCode::Unavailable, message);
        let resources = task_resources(request)?;
        let lease_ms = request.parse_header::<u64>(headers::LEASE_MS)?;
        let mut table = self.table.lock().unwrap();
        check_epoch(&mut table.highest_epoch, request)?;
        check_incarnation(table.incarnation, request)?;
        if table.tasks.contains_key(id) {
            return Ok(());
        }
        if table.dropped.contains(id) {
            return Err(refuse("the task ended and its record was dropped"));
        }
        if table.lease_ends_at.is_none()
            && let (Some(announced_at), Some(lease_ms)) = (table.announced_at, lease_ms)
        {
            // The placer sends tasks only after an announcement of this incarnation, so the lease
            // that it granted ends no earlier than this, although its reply has not arrived.
            table.lease_ends_at = announced_at.checked_add(Duration::from_millis(lease_ms));
            self.changed.notify_all();
        }
        let now = Instant::now();
        let refusal = if table.lease_ends_at.is_some_and(|ends_at| ends_at <= now) {
            Some("the lease of the runner has lapsed")
        } else if table.leaving {
            Some("the runner is leaving")
        } else {
            self.capacity_shortage(&table, resources)
        };
        if let Some(message) = refusal {
            // The tombstone refuses another copy of this create call, which may arrive when a slot
            // is free.
            let view = TaskView::new(TaskState::NeverStarted, message.as_bytes());
            table.add(id, view, resources);
            table.retain_ended(id);
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
            // Handing the task to another thread would cost more than the work.
            self.execute(incarnation, id, Duration::ZERO, view);
            return Ok(());
        }
        let (tasks, id) = (Arc::clone(self), id.to_owned());
        self.pool
            .execute(move || tasks.execute(incarnation, &id, work, view));
        Ok(())
    }

    /// Returns why there is no capacity for another task; `None` when it fits.
    fn capacity_shortage(
        &self,
        table: &Table,
        resources: Option<Resources>,
    ) -> Option<&'static str> {
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
        self.changed.notify_all();
    }

    /// Returns the view of a task that ends without being stopped.
    fn finished_view(&self, instructions: Option<StandInPayload>, payload: &[u8]) -> TaskView {
        match instructions {
            Some(payload) if payload.fails_on(&self.worker) => {
                TaskView::new(TaskState::Failed, b"instructed to fail")
            }
            Some(payload) => TaskView::new(TaskState::Succeeded, &payload.answer()),
            None => TaskView::new(TaskState::Succeeded, payload),
        }
    }

    /// Waits for the end of the work and returns whether the task was stopped before.
    fn work_until(&self, incarnation: Incarnation, id: &str, ends_at: Instant) -> bool {
        let mut table = self.table.lock().unwrap();
        loop {
            if table.incarnation != incarnation {
                return true;
            }
            let now = Instant::now();
            let lease_expired = table.lease_ends_at.is_some_and(|ends_at| ends_at <= now);
            if lease_expired || table.tasks.get(id).is_none_or(|task| task.stop_requested) {
                return true;
            }
            if ends_at <= now {
                return false;
            }
            // The announcer cannot wake this thread at the end of the lease while it waits for an
            // entry host that does not answer.
            let wake_at = table
                .lease_ends_at
                .map_or(ends_at, |lease_ends_at| lease_ends_at.min(ends_at));
            table = self.changed.wait_timeout(table, wake_at - now).unwrap().0;
        }
    }

    /// Waits at most `wait` for the end of a task and returns its state.
    ///
    /// # Errors
    ///
    /// `did_not_run` when the call is for another incarnation, whose tasks this one does not know.
    pub fn wait(
        &self,
        id: &str,
        request: &Request,
        wait: Duration,
    ) -> Result<TaskView, RequestError> {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut table = self.table.lock().unwrap();
        loop {
            check_incarnation(table.incarnation, request)?;
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

    /// Stops a task, and records a tombstone for an unknown id.
    ///
    /// # Errors
    ///
    /// `did_not_run` when the epoch or incarnation is stale, or the record was dropped.
    pub fn cancel(&self, id: &str, request: &Request) -> Result<(), RequestError> {
        let mut table = self.table.lock().unwrap();
        check_epoch(&mut table.highest_epoch, request)?;
        check_incarnation(table.incarnation, request)?;
        if table.dropped.contains(id) {
            let message = "the task ended and its record was dropped";
            return Err(RequestError::did_not_run(ErrorCode::NotFound, message));
        }
        match table.tasks.get_mut(id) {
            Some(task) => task.stop_requested = true,
            None => {
                let view = TaskView::new(TaskState::NeverStarted, b"cancelled");
                table.add(id, view, None);
                table.retain_ended(id);
            }
        }
        self.changed.notify_all();
        Ok(())
    }

    /// Drops the record of a task that is not running.
    pub fn remove_ended(&self, id: &str) {
        self.table.lock().unwrap().drop_record(id);
    }

    /// Stops tasks that the placer does not know, as listed in its reply to an announcement.
    pub fn stop(&self, ids: &[TaskId]) {
        let mut table = self.table.lock().unwrap();
        for id in ids {
            if let Some(task) = table.tasks.get_mut(id) {
                task.stop_requested = true;
            }
        }
        self.changed.notify_all();
    }

    /// Returns the reported usage of running tasks of jobs, which equals their allocation.
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

    /// Renews the lease of all tasks. A reply of an epoch below the highest one is ignored.
    pub fn renew_lease(&self, epoch: Epoch, lease_ends_at: Instant) {
        let mut table = self.table.lock().unwrap();
        if epoch < table.highest_epoch {
            return;
        }
        table.highest_epoch = epoch;
        let waits_longer = table
            .lease_ends_at
            .is_none_or(|ends_at| lease_ends_at < ends_at);
        table.lease_ends_at = Some(lease_ends_at);
        if waits_longer {
            // The running tasks wait until a later time.
            self.changed.notify_all();
        }
    }

    /// Wakes all tasks when the lease has expired, so that they stop.
    pub fn wake_if_lease_expired(&self, now: Instant) {
        let table = self.table.lock().unwrap();
        if table.lease_ends_at.is_some_and(|ends_at| ends_at <= now) {
            self.changed.notify_all();
        }
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.table.lock().unwrap().running
    }

    /// Returns the highest number of tasks that ran at the same time.
    pub fn highest_running(&self) -> usize {
        self.table.lock().unwrap().highest_running
    }

    /// Returns the number of tasks started in all incarnations.
    pub fn started(&self) -> usize {
        self.table.lock().unwrap().started
    }

    /// Returns the number of task records, including tombstones.
    pub fn records(&self) -> usize {
        self.table.lock().unwrap().tasks.len()
    }

    /// Returns the executions of all incarnations.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.list("")
    }

    /// Returns the highest epoch of any call or renewal in this incarnation.
    pub fn highest_epoch(&self) -> Epoch {
        self.table.lock().unwrap().highest_epoch
    }

    /// Returns the tasks that are running, and ended tasks of jobs until their records are dropped.
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
        self.retain_ended(id);
    }

    /// Keeps the record of a task that ended, and drops the oldest one above the limit.
    fn retain_ended(&mut self, id: &str) {
        self.ended_order.push_back(id.to_owned());
        if self.ended_order.len() > MAX_FINISHED_TASKS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.drop_record(&oldest);
        }
    }

    /// Drops the record of a task that is not running, and keeps its id up to the limit.
    fn drop_record(&mut self, id: &str) {
        let task = self.tasks.get(id);
        if task.is_none_or(|task| task.view.state == TaskState::Running) {
            return;
        }
        self.tasks.swap_remove(id);
        self.dropped.insert(id.to_owned());
        self.dropped_order.push_back(id.to_owned());
        if self.dropped_order.len() > MAX_DROPPED_IDS
            && let Some(oldest) = self.dropped_order.pop_front()
        {
            self.dropped.swap_remove(&oldest);
        }
    }
}

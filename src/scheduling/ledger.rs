//! Capacity and allocations of each worker.
//!
//! Only this module adds allocations to workers, so it alone upholds the invariant that no worker
//! is allocated more than its capacity.

use std::collections::{BTreeSet, VecDeque};

use indexmap::IndexMap;
use thiserror::Error;

use crate::ids::{DataCentreName, Incarnation, RegionName, TaskId, WorkerId};
use crate::protocol::caller::Urgency;
use crate::resources::Resources;

/// Index of a worker in the ledger; reused after the worker was removed.
pub type WorkerIndex = usize;
/// Index of a group of workers that serve the same work.
pub type PoolIndex = usize;

/// Number of recorded increases of a worker's free resources; more than occur between two passes
/// in a cell of 1,600 workers.
const MAX_RECORDED_GROWTHS: usize = 4_096;

/// Purpose of an allocation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// For a task that has been started or is about to be started.
    Task,
    /// Held for a gang until there are resources for all of its tasks.
    Gang,
    /// Held on the destination of a task that is being moved.
    Move,
    /// Held for a task whose former attempt may still be running elsewhere.
    Restart,
}

/// Resources of one task on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allocation {
    /// Allocated amount.
    pub amount: Resources,
    /// Whether a task runs in the allocation, or what it is held for.
    pub purpose: Purpose,
    /// Urgency of the task; the least urgent tasks are stopped first.
    pub urgency: Urgency,
}

/// Description of a worker in its latest announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerDescription {
    /// Identifier, which stays the same over restarts.
    pub id: WorkerId,
    /// Number that increases with each restart of the worker.
    pub incarnation: Incarnation,
    /// Rack within the data centre.
    pub rack: String,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker finishes its tasks and accepts no new ones.
    pub leaving: bool,
}

/// Availability of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerStatus {
    /// The worker announces itself and accepts tasks.
    Up,
    /// The worker finishes its tasks and accepts no new ones.
    Leaving,
    /// The lease of the worker expired; its tasks may still be running.
    Lost,
}

/// Refusal of an allocation.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum LedgerError {
    /// The worker is not known.
    #[error("worker {0} is not in the ledger")]
    UnknownWorker(WorkerIndex),
    /// The worker is leaving or lost.
    #[error("worker {worker} accepts no tasks ({status:?})")]
    NotAccepting {
        /// Worker that was to receive the allocation.
        worker: WorkerId,
        /// Status of the worker, which is not [`WorkerStatus::Up`].
        status: WorkerStatus,
    },
    /// The amount does not fit.
    #[error("worker {worker} has {free} free, {need} requested")]
    Insufficient {
        /// Worker that was to receive the allocation.
        worker: WorkerId,
        /// Free resources of the worker.
        free: Resources,
        /// Requested resources.
        need: Resources,
    },
    /// The task already has an allocation on this worker.
    #[error("task {0} already has an allocation on this worker")]
    Duplicate(TaskId),
}

/// A worker with its allocations.
#[derive(Clone, Debug)]
pub struct LedgerWorker {
    /// Description from the latest announcement.
    pub description: WorkerDescription,
    /// Availability of the worker.
    pub status: WorkerStatus,
    pool: PoolIndex,
    /// Always the sum of `allocations`. Exceeds the capacity only because of tasks that were
    /// already running when the worker shrank or when they were adopted.
    allocated: Resources,
    allocations: IndexMap<TaskId, Allocation>,
}

impl LedgerWorker {
    /// Sum of all allocations.
    pub fn allocated(&self) -> Resources {
        self.allocated
    }

    /// Allocations by task.
    pub fn allocations(&self) -> &IndexMap<TaskId, Allocation> {
        &self.allocations
    }

    /// Resources that a new task can use; zero while the worker accepts no tasks or any resource is
    /// over-allocated.
    pub fn free(&self) -> Resources {
        if self.status != WorkerStatus::Up {
            return Resources::ZERO;
        }
        let capacity = &self.description.capacity;
        capacity
            .checked_sub(&self.allocated)
            .unwrap_or(Resources::ZERO)
    }

    /// Sort key by free processor time; `None` while the worker accepts no tasks.
    fn free_cpu_millis(&self) -> Option<u64> {
        (self.status == WorkerStatus::Up).then(|| self.free().cpu_millis)
    }

    /// Whether the allocations exceed the capacity.
    pub fn is_over_allocated(&self) -> bool {
        !self.description.capacity.covers(&self.allocated)
    }

    /// Returns the tasks to stop so that the remaining ones fit: the least urgent first, and the
    /// latest first among equals. Holds come before any running task.
    pub fn excess(&self) -> Vec<TaskId> {
        let mut order: Vec<_> = self.allocations.iter().enumerate().collect();
        order.sort_by_key(|(position, (_, allocation))| {
            let running = allocation.purpose == Purpose::Task;
            (running, allocation.urgency, std::cmp::Reverse(*position))
        });
        let mut remaining = self.allocated;
        let mut stop = Vec::new();
        for (_, (task, allocation)) in order {
            if self.description.capacity.covers(&remaining) {
                break;
            }
            remaining = subtract(&remaining, &allocation.amount);
            stop.push(task.clone());
        }
        stop
    }
}

/// Capacity and allocations of all workers of a placer.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    workers: Vec<Option<LedgerWorker>>,
    by_id: IndexMap<WorkerId, WorkerIndex>,
    vacant: Vec<WorkerIndex>,
    /// Sum of the capacities of all workers that are not lost.
    capacity: Resources,
    /// Sum of all allocations whose purpose is not [`Purpose::Task`].
    held: Resources,
    /// Sum of the free resources of all workers.
    free_total: Resources,
    /// Number of times that the free resources of a worker increased.
    growths: u64,
    /// Workers of the latest increases, the newest last.
    grown: VecDeque<WorkerIndex>,
    /// For each pool, its workers that are up, ordered by free processor time in thousandths of a
    /// core.
    by_free_cpu: Vec<BTreeSet<(u64, WorkerIndex)>>,
}

impl Ledger {
    /// Adds a worker or updates its description; returns its index. A lost worker that announces
    /// itself is up again and keeps its allocations.
    pub fn announce(&mut self, description: WorkerDescription) -> WorkerIndex {
        let status = if description.leaving {
            WorkerStatus::Leaving
        } else {
            WorkerStatus::Up
        };
        if let Some(&index) = self.by_id.get(&description.id) {
            self.set_status(index, WorkerStatus::Lost);
            if let Some(worker) = self.workers[index].as_mut() {
                worker.description = description;
            }
            self.set_status(index, status);
            return index;
        }
        let id = description.id.clone();
        let worker = LedgerWorker {
            description,
            status: WorkerStatus::Lost,
            pool: 0,
            allocated: Resources::ZERO,
            allocations: IndexMap::new(),
        };
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.workers.push(None);
            self.workers.len() - 1
        });
        self.workers[index] = Some(worker);
        self.by_id.insert(id, index);
        self.set_status(index, status);
        index
    }

    /// Changes the status of a worker and updates the total capacity.
    pub fn set_status(&mut self, index: WorkerIndex, status: WorkerStatus) {
        let Some(worker) = self.workers.get_mut(index).and_then(Option::as_mut) else {
            return;
        };
        let capacity = worker.description.capacity;
        match (
            worker.status == WorkerStatus::Lost,
            status == WorkerStatus::Lost,
        ) {
            (true, false) => self.capacity = add(&self.capacity, &capacity),
            (false, true) => self.capacity = subtract(&self.capacity, &capacity),
            _ => {}
        }
        self.update_worker(index, |worker| worker.status = status);
    }

    /// Moves a worker to a pool; new workers are in pool 0.
    pub fn set_pool(&mut self, index: WorkerIndex, pool: PoolIndex) {
        self.update_worker(index, |worker| worker.pool = pool);
    }

    /// Changes a worker and updates everything that is derived from its free resources.
    fn update_worker(&mut self, index: WorkerIndex, change: impl FnOnce(&mut LedgerWorker)) {
        let Some(worker) = self.workers.get_mut(index).and_then(Option::as_mut) else {
            return;
        };
        let (before, former) = (worker.free(), (worker.pool, worker.free_cpu_millis()));
        change(worker);
        let (after, current) = (worker.free(), (worker.pool, worker.free_cpu_millis()));
        self.free_total = add(&subtract(&self.free_total, &before), &after);
        if !before.covers(&after) {
            self.note_growth(index);
        }
        if former == current {
            return;
        }
        if let (pool, Some(cpu_millis)) = former {
            self.by_free_cpu[pool].remove(&(cpu_millis, index));
        }
        if let (pool, Some(cpu_millis)) = current {
            if pool >= self.by_free_cpu.len() {
                self.by_free_cpu.resize_with(pool + 1, BTreeSet::new);
            }
            self.by_free_cpu[pool].insert((cpu_millis, index));
        }
    }

    /// Counts the room of a worker as grown, also when it can be used again for a reason that the
    /// ledger does not know.
    pub fn note_growth(&mut self, index: WorkerIndex) {
        self.growths += 1;
        self.grown.push_back(index);
        if self.grown.len() > MAX_RECORDED_GROWTHS {
            self.grown.pop_front();
        }
    }

    /// Adds a worker that is named in committed records but has not announced itself yet; returns
    /// its index. It is lost and has no capacity until it announces itself.
    pub fn expect_worker(&mut self, id: &str, incarnation: Incarnation) -> WorkerIndex {
        let index = self.announce(WorkerDescription {
            id: id.to_owned(),
            incarnation,
            rack: String::new(),
            data_centre: String::new(),
            region: String::new(),
            capacity: Resources::ZERO,
            leaving: false,
        });
        self.set_status(index, WorkerStatus::Lost);
        index
    }

    /// Removes a worker without allocations; returns whether it was removed.
    pub fn remove_worker(&mut self, index: WorkerIndex) -> bool {
        let empty = self
            .worker(index)
            .is_some_and(|worker| worker.allocations.is_empty());
        if !empty {
            return false;
        }
        self.set_status(index, WorkerStatus::Lost);
        if let Some(worker) = self.workers[index].take() {
            self.by_id.swap_remove(&worker.description.id);
            self.vacant.push(index);
        }
        true
    }

    /// Index of the worker with this identifier.
    pub fn index_of(&self, id: &str) -> Option<WorkerIndex> {
        self.by_id.get(id).copied()
    }

    /// Worker at an index; `None` if it was removed.
    pub fn worker(&self, index: WorkerIndex) -> Option<&LedgerWorker> {
        self.workers.get(index)?.as_ref()
    }

    /// All workers with their indexes.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerIndex, &LedgerWorker)> {
        let entries = self.workers.iter().enumerate();
        entries.filter_map(|(index, worker)| Some((index, worker.as_ref()?)))
    }

    /// Number of known workers, including lost ones.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Exclusive upper bound of all worker indexes.
    pub fn index_bound(&self) -> usize {
        self.workers.len()
    }

    /// Total capacity of workers that are not lost.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Sum of the amounts held for gangs, moves and restarts.
    pub fn held(&self) -> Resources {
        self.held
    }

    /// Sum of the free resources of all workers.
    pub fn free_total(&self) -> Resources {
        self.free_total
    }

    /// Number of times that the free resources of a worker increased. While it is unchanged, no
    /// task fits that did not fit before.
    pub fn growths(&self) -> u64 {
        self.growths
    }

    /// Returns the workers whose free resources increased since [`Ledger::growths`] returned the
    /// given value, possibly with repetitions. `None` if that is too long ago to be recorded.
    pub fn grown_since(&self, growths: u64) -> Option<impl Iterator<Item = WorkerIndex>> {
        let count = usize::try_from(self.growths.checked_sub(growths)?).ok()?;
        let known = self.grown.len().checked_sub(count)?;
        Some(self.grown.range(known..).copied())
    }

    /// Returns the workers of a pool that are up and have at least `cpu_millis` of free processor
    /// time, in ascending order of it.
    pub fn with_free_cpu(
        &self,
        pool: PoolIndex,
        cpu_millis: u64,
    ) -> impl DoubleEndedIterator<Item = WorkerIndex> {
        let workers = self.by_free_cpu.get(pool);
        let workers = workers.map(|workers| workers.range((cpu_millis, 0)..));
        workers.into_iter().flatten().map(|&(_, index)| index)
    }

    /// Resources that a new task can use on a worker.
    pub fn free(&self, index: WorkerIndex) -> Resources {
        self.worker(index)
            .map_or(Resources::ZERO, LedgerWorker::free)
    }

    /// Allocates resources on a worker.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the worker accepts no tasks, the task already has an allocation there, or
    /// the amount exceeds the free resources.
    pub fn allocate(
        &mut self,
        index: WorkerIndex,
        task: &str,
        allocation: Allocation,
    ) -> Result<(), LedgerError> {
        let worker = self.worker_mut(index)?;
        let name = || worker.description.id.clone();
        if worker.status != WorkerStatus::Up {
            return Err(LedgerError::NotAccepting {
                worker: name(),
                status: worker.status,
            });
        }
        if worker.allocations.contains_key(task) {
            return Err(LedgerError::Duplicate(task.to_owned()));
        }
        let sum = worker.allocated.checked_add(&allocation.amount);
        let Some(sum) = sum.filter(|sum| worker.description.capacity.covers(sum)) else {
            return Err(LedgerError::Insufficient {
                worker: name(),
                free: worker.free(),
                need: allocation.amount,
            });
        };
        let (amount, purpose) = (allocation.amount, allocation.purpose);
        worker.allocations.insert(task.to_owned(), allocation);
        self.update_worker(index, |worker| worker.allocated = sum);
        if purpose != Purpose::Task {
            self.held = add(&self.held, &amount);
        }
        Ok(())
    }

    /// Records a task that is already running on a worker. This may over-allocate the worker, since
    /// refusing the allocation would not stop the task; [`LedgerWorker::excess`] then returns the
    /// tasks to stop.
    pub fn adopt(&mut self, index: WorkerIndex, task: &str, amount: Resources, urgency: Urgency) {
        self.release(index, task);
        let Ok(worker) = self.worker_mut(index) else {
            return;
        };
        let allocation = Allocation {
            amount,
            purpose: Purpose::Task,
            urgency,
        };
        worker.allocations.insert(task.to_owned(), allocation);
        let sum = add(&worker.allocated, &amount);
        self.update_worker(index, |worker| worker.allocated = sum);
    }

    /// Converts a hold into the allocation of a task that starts; returns whether there was an
    /// allocation.
    pub fn start_held(&mut self, index: WorkerIndex, task: &str) -> bool {
        let Ok(worker) = self.worker_mut(index) else {
            return false;
        };
        let Some(allocation) = worker.allocations.get_mut(task) else {
            return false;
        };
        let was_held = allocation.purpose != Purpose::Task;
        allocation.purpose = Purpose::Task;
        let amount = allocation.amount;
        if was_held {
            self.held = subtract(&self.held, &amount);
        }
        true
    }

    /// Releases and returns the allocation of a task; `None` if it had none on this worker.
    pub fn release(&mut self, index: WorkerIndex, task: &str) -> Option<Allocation> {
        let worker = self.worker_mut(index).ok()?;
        let allocation = worker.allocations.swap_remove(task)?;
        let rest = subtract(&worker.allocated, &allocation.amount);
        self.update_worker(index, |worker| worker.allocated = rest);
        if allocation.purpose != Purpose::Task {
            self.held = subtract(&self.held, &allocation.amount);
        }
        Some(allocation)
    }

    fn worker_mut(&mut self, index: WorkerIndex) -> Result<&mut LedgerWorker, LedgerError> {
        let worker = self.workers.get_mut(index).and_then(Option::as_mut);
        worker.ok_or(LedgerError::UnknownWorker(index))
    }
}

/// Sum of two amounts. The amounts of one fleet are far below the range of the type.
pub(crate) fn add(left: &Resources, right: &Resources) -> Resources {
    Resources {
        cpu_millis: left.cpu_millis.saturating_add(right.cpu_millis),
        memory_mib: left.memory_mib.saturating_add(right.memory_mib),
        accelerators: left.accelerators.saturating_add(right.accelerators),
    }
}

/// Difference of two amounts, at least zero in each dimension.
pub(crate) fn subtract(left: &Resources, right: &Resources) -> Resources {
    Resources {
        cpu_millis: left.cpu_millis.saturating_sub(right.cpu_millis),
        memory_mib: left.memory_mib.saturating_sub(right.memory_mib),
        accelerators: left.accelerators.saturating_sub(right.accelerators),
    }
}

//! Detects jobs that could not run even on an empty fleet.

use derive_more::Display;
use indexmap::IndexMap;
use thiserror::Error;

use super::job::JobSpec;
use crate::ids::{DataCentreName, WorkerId};
use crate::resources::Resources;
use crate::verdict::{ErrorCode, RequestError};

/// A dimension of [`Resources`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ResourceName {
    /// Processor time, in thousandths of a core.
    #[display("cpu_millis")]
    Cpu,
    /// Memory, in mebibytes.
    #[display("memory_mib")]
    Memory,
    /// Number of accelerators.
    #[display("accelerators")]
    Accelerators,
}

impl ResourceName {
    const SCARCEST_FIRST: [Self; 3] = [Self::Accelerators, Self::Memory, Self::Cpu];

    fn of(self, amount: &Resources) -> u64 {
        match self {
            Self::Cpu => amount.cpu_millis,
            Self::Memory => amount.memory_mib,
            Self::Accelerators => amount.accelerators,
        }
    }
}

/// Why a job cannot run.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum Infeasible {
    /// The job has no tasks, or its tasks declare no resources by which they could be scheduled.
    #[error("a task needs some processors, memory or accelerators, and a job at least one task")]
    Empty,
    /// No worker is large enough.
    #[error(
        "a task needs {need} {resource}; the largest worker, {worker} in {data_centre}, has {has}"
    )]
    TooLarge {
        /// Dimension in which no worker is large enough.
        resource: ResourceName,
        /// Need of one task, in the unit of the dimension.
        need: u64,
        /// Largest worker in that dimension among the workers on which the job may run.
        worker: WorkerId,
        /// Data centre of that worker.
        data_centre: DataCentreName,
        /// Capacity of that worker, in the unit of the dimension.
        has: u64,
    },
    /// Each need is met by some worker, but no worker meets all of them.
    #[error(
        "no worker has {need} together; the worker that comes closest, {worker} in {data_centre}, \
         has {has}"
    )]
    NoCombination {
        /// Need of one task.
        need: Resources,
        /// Worker with the most of the scarcest resource that a task needs.
        worker: WorkerId,
        /// Data centre of that worker.
        data_centre: DataCentreName,
        /// Capacity of that worker.
        has: Resources,
    },
    /// All tasks of the gang at once exceed the empty fleet.
    #[error("{tasks} tasks of {need} have to run at once; all workers together hold {fit}")]
    GangTooLarge {
        /// Tasks of the gang.
        tasks: u32,
        /// Need of each task.
        need: Resources,
        /// Number of tasks that would fit if all workers were empty.
        fit: u64,
    },
    /// No worker has announced itself.
    #[error("no worker is known in the data centres in which the job may run")]
    NoWorkers,
    /// The data centre that might hold the job cannot be reached.
    #[error("data centre {0} may have workers for this job but cannot be reached at present")]
    Unreachable(DataCentreName),
}

impl Infeasible {
    /// Converts the reason into an error for the caller. A retry is suggested if a data centre is
    /// unreachable or no worker is known; the other cases need a change of the job or of the
    /// fleet.
    pub fn to_error(&self) -> RequestError {
        match self {
            Self::Unreachable(_) | Self::NoWorkers => {
                RequestError::did_not_run(ErrorCode::Unavailable, self.to_string())
                    .retry_after_ms(10_000)
            }
            Self::Empty => RequestError::did_not_run(ErrorCode::BadRequest, self.to_string()),
            _ => RequestError::did_not_run(ErrorCode::Infeasible, self.to_string()),
        }
    }
}

/// Workers of the same capacity in one data centre.
struct SizeClass {
    workers: indexmap::IndexSet<WorkerId>,
}

/// Capacities of all known workers. Lost workers are included, since they are expected to return.
#[derive(Default)]
pub struct Feasibility {
    sizes: IndexMap<(DataCentreName, Resources), SizeClass>,
    size_of_worker: IndexMap<WorkerId, (DataCentreName, Resources)>,
    /// Incremented when a feasible job may have become infeasible.
    generation: u64,
    /// Data centres whose workers are not known at present.
    unreachable: indexmap::IndexSet<DataCentreName>,
}

impl Feasibility {
    /// Records the capacity of a worker.
    pub fn set_worker(&mut self, worker: &str, data_centre: &str, capacity: Resources) {
        let key = (data_centre.to_owned(), capacity);
        if self.size_of_worker.get(worker) == Some(&key) {
            return;
        }
        self.remove_worker(worker);
        self.size_of_worker.insert(worker.to_owned(), key.clone());
        let class = self.sizes.entry(key).or_insert_with(|| SizeClass {
            workers: indexmap::IndexSet::new(),
        });
        class.workers.insert(worker.to_owned());
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, worker: &str) {
        let Some(key) = self.size_of_worker.swap_remove(worker) else {
            return;
        };
        if let Some(class) = self.sizes.get_mut(&key) {
            class.workers.swap_remove(worker);
            self.generation += 1;
            if class.workers.is_empty() {
                self.sizes.swap_remove(&key);
            }
        }
    }

    /// Number that changes when a feasible job may have become infeasible.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Records whether a data centre can be reached, so that its workers are known.
    pub fn set_reachable(&mut self, data_centre: &str, reachable: bool) {
        if reachable {
            self.unreachable.swap_remove(data_centre);
        } else {
            self.unreachable.insert(data_centre.to_owned());
        }
    }

    /// Checks whether a job could run on empty workers: all of its tasks together if
    /// `all_at_once` is set, else a single task.
    ///
    /// # Errors
    ///
    /// [`Infeasible`] with the resource that is insufficient.
    pub fn check(&self, spec: &JobSpec, all_at_once: bool) -> Result<(), Infeasible> {
        let need = &spec.resources;
        if *need == Resources::ZERO || spec.tasks == 0 {
            return Err(Infeasible::Empty);
        }
        let fit = self.permitted_sizes(spec).map(|((_, size), class)| {
            tasks_per_worker(size, need).saturating_mul(class.workers.len() as u64)
        });
        let fit = fit.fold(0, u64::saturating_add);
        let wanted = if all_at_once {
            u64::from(spec.tasks)
        } else {
            1
        };
        if fit >= wanted {
            return Ok(());
        }
        if let Some(data_centre) = self.unreachable_candidate(spec) {
            return Err(Infeasible::Unreachable(data_centre));
        }
        if fit > 0 {
            return Err(Infeasible::GangTooLarge {
                tasks: spec.tasks,
                need: *need,
                fit,
            });
        }
        Err(self.shortage(spec))
    }

    /// Sizes of the workers on which the job may run.
    fn permitted_sizes<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = (&'a (DataCentreName, Resources), &'a SizeClass)> {
        let wanted = spec.preference.data_centre.as_ref();
        let required = wanted.filter(|_| spec.preference.required);
        self.sizes
            .iter()
            .filter(move |((centre, _), _)| required.is_none_or(|required| required == centre))
    }

    /// An unreachable data centre in which the job may run.
    fn unreachable_candidate(&self, spec: &JobSpec) -> Option<DataCentreName> {
        let wanted = spec.preference.data_centre.as_ref();
        match wanted.filter(|_| spec.preference.required) {
            Some(required) => self.unreachable.get(required).cloned(),
            None => self.unreachable.first().cloned(),
        }
    }

    /// Determines why not even one task of the job fits on any worker.
    fn shortage(&self, spec: &JobSpec) -> Infeasible {
        let need = &spec.resources;
        let mut scarcest = None;
        for resource in ResourceName::SCARCEST_FIRST {
            let of = |amount: &Resources| resource.of(amount);
            let largest = self
                .permitted_sizes(spec)
                .max_by_key(|((_, size), _)| of(size));
            let Some(((data_centre, size), class)) = largest else {
                return Infeasible::NoWorkers;
            };
            let worker = class.workers[0].clone();
            if of(size) < of(need) {
                return Infeasible::TooLarge {
                    resource,
                    need: of(need),
                    worker,
                    data_centre: data_centre.clone(),
                    has: of(size),
                };
            }
            if of(need) > 0 && scarcest.is_none() {
                scarcest = Some((worker, data_centre.clone(), *size));
            }
        }
        let Some((worker, data_centre, has)) = scarcest else {
            return Infeasible::Empty;
        };
        Infeasible::NoCombination {
            need: *need,
            worker,
            data_centre,
            has,
        }
    }
}

/// Number of tasks with this need that fit into resources of this size.
pub(crate) fn tasks_per_worker(size: &Resources, need: &Resources) -> u64 {
    let per = |has: u64, need: u64| has.checked_div(need).unwrap_or(u64::MAX);
    per(size.cpu_millis, need.cpu_millis)
        .min(per(size.memory_mib, need.memory_mib))
        .min(per(size.accelerators, need.accelerators))
}

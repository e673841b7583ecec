//! Workers ordered by their free resources.
//!
//! Each data centre has buckets of workers with similar free resources. A search starts at the
//! bucket of the need and never visits buckets that are too small, so its cost depends on the
//! number of workers that are similar and not on the size of the fleet.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use super::ledger::{LedgerWorker, WorkerIndex};
use crate::ids::{DataCentreName, RegionName};
use crate::resources::Resources;

/// Index of a rack in [`PlacementIndex`].
pub type RackIndex = usize;

/// Class of an amount of resources: accelerators (exact), processor time and memory (four classes
/// per power of two).
pub(super) type Class = (u64, u8, u8);

/// Returns the class of an amount. The function is monotonic, so that a larger amount is never in
/// a lower class.
fn amount_class(amount: u64) -> u8 {
    if amount < 4 {
        return amount as u8;
    }
    let exponent = amount.ilog2();
    let fraction = (amount >> (exponent - 2)) & 3;
    (exponent * 4 + fraction as u32 - 4) as u8
}

pub(super) fn class_of(amount: &Resources) -> Class {
    (
        amount.accelerators,
        amount_class(amount.cpu_millis),
        amount_class(amount.memory_mib),
    )
}

/// Properties of a worker that a search needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerView {
    /// Resources that a new task can use.
    pub free: Resources,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Rack of the worker.
    pub rack: RackIndex,
    /// Index of the data centre in [`PlacementIndex`].
    pub centre: usize,
}

#[derive(Clone, Copy, Debug)]
struct Position {
    class: Class,
    /// Offset in the bucket.
    offset: usize,
}

pub(super) struct Centre {
    pub(super) region: RegionName,
    pub(super) buckets: BTreeMap<Class, Vec<WorkerIndex>>,
}

/// Index of the workers by data centre, rack and free resources.
#[derive(Default)]
pub struct PlacementIndex {
    pub(super) centres: IndexMap<DataCentreName, Centre>,
    pub(super) racks: IndexMap<(DataCentreName, String), Vec<WorkerIndex>>,
    pub(super) views: Vec<WorkerView>,
    positions: Vec<Option<Position>>,
    registered: Vec<bool>,
}

impl PlacementIndex {
    /// Updates the free resources of a worker. `usable` is false for workers that accept no tasks.
    pub fn update(&mut self, index: WorkerIndex, worker: &LedgerWorker, usable: bool) {
        if self.views.len() <= index {
            self.views.resize(index + 1, WorkerView::default());
            self.positions.resize(index + 1, None);
            self.registered.resize(index + 1, false);
        }
        let free = worker.free();
        if !self.registered[index] {
            self.register(index, worker);
        }
        self.views[index].free = free;
        self.views[index].capacity = worker.description.capacity;
        let class = class_of(&free);
        let offered = usable && free != Resources::ZERO;
        let current = self.positions[index].map(|position| position.class);
        if current == Some(class) && offered {
            return;
        }
        self.remove_from_bucket(index);
        if offered {
            self.insert_into_bucket(index, class);
        }
    }

    /// Removes a worker that left or moved to another rack.
    pub fn remove(&mut self, index: WorkerIndex) {
        if !self.registered.get(index).copied().unwrap_or(false) {
            return;
        }
        self.remove_from_bucket(index);
        self.registered[index] = false;
        let rack = self.views[index].rack;
        if let Some((_, workers)) = self.racks.get_index_mut(rack) {
            workers.retain(|&worker| worker != index);
        }
    }

    /// Properties of a worker.
    pub fn view(&self, index: WorkerIndex) -> Option<&WorkerView> {
        self.views.get(index)
    }

    /// Whether a worker accepts new tasks and has free resources.
    pub fn offers(&self, index: WorkerIndex) -> bool {
        self.positions.get(index).is_some_and(Option::is_some)
    }

    fn register(&mut self, index: WorkerIndex, worker: &LedgerWorker) {
        let description = &worker.description;
        let entry = self.centres.entry(description.data_centre.clone());
        let centre = entry.index();
        entry.or_insert_with(|| Centre {
            region: description.region.clone(),
            buckets: BTreeMap::new(),
        });
        let key = (description.data_centre.clone(), description.rack.clone());
        let entry = self.racks.entry(key);
        let rack = entry.index();
        entry.or_default().push(index);
        self.views[index].rack = rack;
        self.views[index].centre = centre;
        self.registered[index] = true;
    }

    fn insert_into_bucket(&mut self, index: WorkerIndex, class: Class) {
        let centre = &mut self.centres[self.views[index].centre];
        let bucket = centre.buckets.entry(class).or_default();
        self.positions[index] = Some(Position {
            class,
            offset: bucket.len(),
        });
        bucket.push(index);
    }

    fn remove_from_bucket(&mut self, index: WorkerIndex) {
        let Some(Position { class, offset }) = self.positions[index].take() else {
            return;
        };
        let centre = &mut self.centres[self.views[index].centre];
        let Some(bucket) = centre.buckets.get_mut(&class) else {
            return;
        };
        bucket.swap_remove(offset);
        if let Some(&moved) = bucket.get(offset) {
            self.positions[moved] = Some(Position { class, offset });
        }
        if bucket.is_empty() {
            centre.buckets.remove(&class);
        }
    }
}

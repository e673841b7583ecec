//! Workers ordered by their free resources.
//!
//! Each data centre has buckets of workers whose free resources are alike. A search starts at the
//! bucket of the need and never visits buckets that are too small, so its cost depends on how many
//! alike workers there are and not on the size of the fleet.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use super::ledger::{LedgerWorker, WorkerIndex};
use crate::ids::{DataCentreName, RegionName};
use crate::resources::Resources;

/// Position of a rack in the index.
pub type RackIndex = usize;

/// Free accelerators (exact), processors and memory (four classes per power of two).
pub(super) type Class = (u64, u8, u8);

/// Class of an amount; monotonic, so that a larger amount is never in a lower class.
fn magnitude(amount: u64) -> u8 {
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
        magnitude(amount.cpu_millis),
        magnitude(amount.memory_mib),
    )
}

/// What a search needs to know about a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerView {
    /// Free resources.
    pub free: Resources,
    /// Capacity.
    pub capacity: Resources,
    /// Rack.
    pub rack: RackIndex,
    /// Data centre, as a position in the index.
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

/// Workers that accept tasks, by data centre, by rack and by free resources.
#[derive(Default)]
pub struct PlacementIndex {
    pub(super) centres: IndexMap<DataCentreName, Centre>,
    pub(super) racks: IndexMap<(DataCentreName, String), Vec<WorkerIndex>>,
    pub(super) views: Vec<WorkerView>,
    positions: Vec<Option<Position>>,
    known: Vec<bool>,
}

impl PlacementIndex {
    /// Takes note of a worker's free resources. `usable` is false for workers that get no tasks.
    pub fn update(&mut self, index: WorkerIndex, worker: &LedgerWorker, usable: bool) {
        if self.views.len() <= index {
            self.views.resize(index + 1, WorkerView::default());
            self.positions.resize(index + 1, None);
            self.known.resize(index + 1, false);
        }
        let free = worker.free();
        if !self.known[index] {
            self.register(index, worker);
        }
        self.views[index].free = free;
        self.views[index].capacity = worker.description.capacity;
        let class = class_of(&free);
        let wanted = usable && free != Resources::ZERO;
        let present = self.positions[index].map(|position| position.class);
        if present == Some(class) && wanted {
            return;
        }
        self.take_out(index);
        if wanted {
            self.put_in(index, class);
        }
    }

    /// Removes a worker that was forgotten or moved to another rack.
    pub fn remove(&mut self, index: WorkerIndex) {
        if !self.known.get(index).copied().unwrap_or(false) {
            return;
        }
        self.take_out(index);
        self.known[index] = false;
        let rack = self.views[index].rack;
        if let Some((_, workers)) = self.racks.get_index_mut(rack) {
            workers.retain(|&worker| worker != index);
        }
    }

    /// View of a worker.
    pub fn view(&self, index: WorkerIndex) -> Option<&WorkerView> {
        self.views.get(index)
    }

    /// Whether a worker is offered for new tasks.
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
        self.known[index] = true;
    }

    fn put_in(&mut self, index: WorkerIndex, class: Class) {
        let centre = &mut self.centres[self.views[index].centre];
        let bucket = centre.buckets.entry(class).or_default();
        self.positions[index] = Some(Position {
            class,
            offset: bucket.len(),
        });
        bucket.push(index);
    }

    fn take_out(&mut self, index: WorkerIndex) {
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

//! Chooses the worker for a task.

use std::ops::ControlFlow;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use super::job::LocationPreference;
use super::ledger::WorkerIndex;
use super::placement_index::{Class, PlacementIndex, RackIndex, WorkerView, class_of};
use crate::resources::Resources;

/// Number of fitting workers that are compared for one task in a data centre.
const MAX_CANDIDATES: usize = 24;
/// Number of fitting workers that are compared in one bucket, whose workers are similar.
const MAX_PER_BUCKET: usize = 4;
/// Number of racks that are tried for a replica before the search ignores racks.
const MAX_RACKS: usize = 16;

/// Weight of the imbalance between free processor time and free memory, relative to the free
/// amounts. With 1.5, most of the free capacity at the first refusal in `benches/packing.rs` was on
/// workers with full memory and idle processors; values above 8 gave no further gain at 48 workers.
const IMBALANCE_WEIGHT: f64 = 8.0;
/// Weight of free accelerators that can't be used for lack of processor time or memory.
const STRANDED_ACCELERATOR_WEIGHT: f64 = 4.0;
/// Cost of each replica of the same service in the rack; exceeds any difference in fit.
const SAME_RACK_COST: f64 = 100.0;

/// Policy for the choice of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// The sampled worker on which the least capacity is stranded.
    #[default]
    BestFit,
    /// Baseline for comparisons: the first worker that fits.
    FirstFit,
}

/// One task that needs a worker.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Resources that the task needs.
    pub need: Resources,
    /// Preferred or required location of the task.
    pub preference: &'a LocationPreference,
    /// Number of replicas of the same service by rack, if they are spread over racks.
    pub spread: Option<&'a IndexMap<RackIndex, u32>>,
    /// Workers that must not be chosen.
    pub avoid: &'a [WorkerIndex],
}

/// Chooses workers for tasks by a policy.
pub struct Placement {
    /// Index of the workers by their free resources.
    pub index: PlacementIndex,
    policy: PlacementPolicy,
    random: StdRng,
}

struct BestCandidate {
    worker: Option<(f64, WorkerIndex)>,
    compared: usize,
}

impl Placement {
    /// Creates an empty index. `seed` initializes the random number generator for sampling.
    pub fn new(policy: PlacementPolicy, seed: u64) -> Self {
        Self {
            index: PlacementIndex::default(),
            policy,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Chooses a worker for a task; `None` if it fits on no worker that accepts tasks.
    pub fn choose(&mut self, request: &PlacementRequest<'_>) -> Option<WorkerIndex> {
        if self.policy == PlacementPolicy::FirstFit {
            return self.first_fit(request);
        }
        if request.spread.is_some()
            && let Some(worker) = self.choose_rack(request)
        {
            return Some(worker);
        }
        // Data centres that need more transfers are tried only if no worker of a better tier fits.
        for tier in 0..3 {
            let mut best = BestCandidate {
                worker: None,
                compared: 0,
            };
            for centre in 0..self.index.centres.len() {
                if transfer_tier(&self.index, centre, request.preference) == Some(tier) {
                    self.search(centre, request, &mut best);
                }
            }
            if let Some((_, worker)) = best.worker {
                return Some(worker);
            }
        }
        None
    }

    /// Random number generator, for other sampling with the same seed.
    pub fn random(&mut self) -> &mut StdRng {
        &mut self.random
    }

    /// Whether a job with this preference may run on a worker at all.
    pub fn permits(&self, worker: WorkerIndex, preference: &LocationPreference) -> bool {
        let view = self.index.view(worker);
        view.is_some_and(|view| transfer_tier(&self.index, view.centre, preference).is_some())
    }

    fn first_fit(&self, request: &PlacementRequest<'_>) -> Option<WorkerIndex> {
        let views = self.index.views.iter().enumerate();
        let mut fitting = views.filter(|&(worker, view)| {
            self.index.offers(worker)
                && view.free.covers(&request.need)
                && !request.avoid.contains(&worker)
                && transfer_tier(&self.index, view.centre, request.preference).is_some()
        });
        fitting.next().map(|(worker, _)| worker)
    }

    /// Compares a sample of the fitting workers of a data centre and updates `best`.
    fn search(&mut self, centre: usize, request: &PlacementRequest<'_>, best: &mut BestCandidate) {
        let least = class_of(&request.need);
        let mut from = least;
        let compared_before = best.compared;
        let index = &self.index;
        let buckets = &index.centres[centre].buckets;
        while let Some((&class, bucket)) = buckets.range(from..).next() {
            if class.1 < least.1 || class.2 < least.2 {
                from = next_covering(class, least);
                continue;
            }
            let offset = self.random.random_range(0..bucket.len());
            let _ = sample_bucket(index, bucket, offset, request, best);
            if best.compared - compared_before >= MAX_CANDIDATES {
                return;
            }
            from = (class.0, class.1, class.2.saturating_add(1));
        }
    }

    /// Chooses a worker in a rack without replicas of the same service, among a sample of the racks
    /// in the preferred location.
    fn choose_rack(&mut self, request: &PlacementRequest<'_>) -> Option<WorkerIndex> {
        let counts = request.spread?;
        let racks = self.index.racks.len();
        if racks == 0 {
            return None;
        }
        let start = self.random.random_range(0..racks);
        let mut best = BestCandidate {
            worker: None,
            compared: 0,
        };
        for step in 0..racks.min(MAX_RACKS) {
            let rack = (start + step) % racks;
            let workers = &self.index.racks[rack];
            let Some(&first) = workers.first() else {
                continue;
            };
            let centre = self.index.views[first].centre;
            let tier = transfer_tier(&self.index, centre, request.preference);
            if tier != Some(0) || counts.contains_key(&rack) {
                continue;
            }
            let _ = sample_bucket(&self.index, workers, 0, request, &mut best);
        }
        best.worker.map(|(_, worker)| worker)
    }
}

/// Compares up to [`MAX_PER_BUCKET`] fitting workers of a bucket, starting at an offset, and updates
/// `best`.
fn sample_bucket(
    index: &PlacementIndex,
    bucket: &[WorkerIndex],
    offset: usize,
    request: &PlacementRequest<'_>,
    best: &mut BestCandidate,
) -> ControlFlow<()> {
    let mut taken = 0;
    for &worker in bucket[offset..].iter().chain(&bucket[..offset]) {
        let view = &index.views[worker];
        if !view.free.covers(&request.need)
            || !index.offers(worker)
            || request.avoid.contains(&worker)
        {
            continue;
        }
        let mut cost = stranding_cost(view, &request.need);
        if let Some(counts) = request.spread {
            cost += SAME_RACK_COST * f64::from(counts.get(&view.rack).copied().unwrap_or(0));
        }
        if best.worker.is_none_or(|(least, _)| cost < least) {
            best.worker = Some((cost, worker));
        }
        best.compared += 1;
        taken += 1;
        if taken >= MAX_PER_BUCKET {
            return ControlFlow::Break(());
        }
    }
    ControlFlow::Continue(())
}

/// Returns the smallest class after `class` that can cover `least`.
fn next_covering(class: Class, least: Class) -> Class {
    if class.1 < least.1 {
        return (class.0, least.1, least.2);
    }
    (class.0, class.1, least.2)
}

/// Cost of the resources that would remain free on a worker: their fractions of the capacity and
/// their imbalance. The worker must cover the need.
pub(crate) fn stranding_cost(view: &WorkerView, need: &Resources) -> f64 {
    let fraction = |free: u64, need: u64, capacity: u64| {
        if capacity == 0 {
            return 0.0;
        }
        (free - need) as f64 / capacity as f64
    };
    let (free, capacity) = (&view.free, &view.capacity);
    let cpu = fraction(free.cpu_millis, need.cpu_millis, capacity.cpu_millis);
    let memory = fraction(free.memory_mib, need.memory_mib, capacity.memory_mib);
    let accelerators = fraction(free.accelerators, need.accelerators, capacity.accelerators);
    let imbalance = (cpu - memory).abs();
    let stranded = (accelerators - cpu.min(memory)).max(0.0);
    cpu + memory
        + accelerators
        + IMBALANCE_WEIGHT * imbalance
        + STRANDED_ACCELERATOR_WEIGHT * stranded
}

/// Returns 0 for the preferred location, 1 for the region of the preferred data centre, 2 if bytes
/// cross regions, and `None` if the job must not run in the data centre.
fn transfer_tier(
    index: &PlacementIndex,
    centre: usize,
    preference: &LocationPreference,
) -> Option<u8> {
    let (name, centre) = index.centres.get_index(centre)?;
    if preference
        .data_centre
        .as_ref()
        .is_some_and(|wanted| wanted != name)
        && preference.required
    {
        return None;
    }
    if preference.data_centre.as_ref() == Some(name) {
        return Some(0);
    }
    let same_region = preference.region.as_ref() == Some(&centre.region);
    match (&preference.region, &preference.data_centre) {
        (None, None) => Some(0),
        (Some(_), None) if same_region => Some(0),
        (Some(_), Some(_)) if same_region => Some(1),
        // Without bytes to transfer, other data centres are as good as the region.
        _ if preference.transfer_bytes == 0 => Some(1),
        _ => Some(2),
    }
}

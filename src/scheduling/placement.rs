//! Choice of the worker for a task.

use std::ops::ControlFlow;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use super::job::LocationPreference;
use super::ledger::WorkerIndex;
use super::placement_index::{Class, PlacementIndex, RackIndex, WorkerView, class_of};
use crate::resources::Resources;

/// Fitting workers that are compared for one task.
const MAX_CANDIDATES: usize = 24;
/// Fitting workers that are taken from one bucket; those in a bucket are nearly alike.
const MAX_PER_BUCKET: usize = 4;
/// Racks that are tried for a replica before the search ignores racks.
const MAX_RACKS: usize = 16;

/// Weight of what stays unbalanced on a worker, relative to what stays free. With 1.5, workers
/// whose memory was full with processors left made up most of the free space at the first refusal
/// (`benches/packing.rs`); values above 8 gave no further gain at 48 workers.
const IMBALANCE_WEIGHT: f64 = 8.0;
/// Weight of free accelerators behind too little processor time or memory.
const STRANDED_ACCELERATOR_WEIGHT: f64 = 4.0;
/// Cost of a replica in the same rack; more than any difference in fit.
const SAME_RACK_COST: f64 = 100.0;

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Least stranded capacity among sampled workers.
    #[default]
    BestFit,
    /// Baseline: the first worker that fits.
    FirstFit,
}

/// One task that needs a worker.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// What it needs.
    pub need: Resources,
    /// Where it would like to run.
    pub preference: &'a LocationPreference,
    /// Replicas of the same service by rack, when they are to be spread.
    pub spread: Option<&'a IndexMap<RackIndex, u32>>,
    /// Workers that must not be chosen.
    pub avoid: &'a [WorkerIndex],
}

/// Chooses workers.
pub struct Placement {
    /// Free resources of the workers.
    pub index: PlacementIndex,
    policy: PlacementPolicy,
    random: StdRng,
}

struct Best {
    worker: Option<(f64, WorkerIndex)>,
    compared: usize,
}

impl Placement {
    /// An empty index with a policy and a seed.
    pub fn new(policy: PlacementPolicy, seed: u64) -> Self {
        Self {
            index: PlacementIndex::default(),
            policy,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Chooses a worker for a task; `None` when none of those offered has room.
    pub fn choose(&mut self, request: &PlacementRequest<'_>) -> Option<WorkerIndex> {
        if self.policy == PlacementPolicy::FirstFit {
            return self.first_fit(request);
        }
        if request.spread.is_some()
            && let Some(worker) = self.choose_rack(request)
        {
            return Some(worker);
        }
        // Data centres with fewer bytes to transfer are exhausted before others are tried.
        for tier in 0..3 {
            let mut best = Best {
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

    /// Source of random numbers for other sampling.
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

    /// Best worker of a data centre, by comparing a sample of those that fit.
    fn search(&mut self, centre: usize, request: &PlacementRequest<'_>, best: &mut Best) {
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

    /// Tries racks with few replicas of the same service.
    fn choose_rack(&mut self, request: &PlacementRequest<'_>) -> Option<WorkerIndex> {
        let counts = request.spread?;
        let racks = self.index.racks.len();
        if racks == 0 {
            return None;
        }
        let start = self.random.random_range(0..racks);
        let mut best = Best {
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

/// Compares fitting workers of a bucket, starting at an offset.
fn sample_bucket(
    index: &PlacementIndex,
    bucket: &[WorkerIndex],
    offset: usize,
    request: &PlacementRequest<'_>,
    best: &mut Best,
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
        let mut cost = stranding(view, &request.need);
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

/// The smallest class after `class` that can cover `least`.
fn next_covering(class: Class, least: Class) -> Class {
    if class.1 < least.1 {
        return (class.0, least.1, least.2);
    }
    (class.0, class.1, least.2)
}

/// Cost of what would stay free on a worker: how much, and how badly balanced.
pub(crate) fn stranding(view: &WorkerView, need: &Resources) -> f64 {
    let part = |free: u64, need: u64, capacity: u64| {
        if capacity == 0 {
            return 0.0;
        }
        (free - need) as f64 / capacity as f64
    };
    let (free, capacity) = (&view.free, &view.capacity);
    let cpu = part(free.cpu_millis, need.cpu_millis, capacity.cpu_millis);
    let memory = part(free.memory_mib, need.memory_mib, capacity.memory_mib);
    let accelerators = part(free.accelerators, need.accelerators, capacity.accelerators);
    let imbalance = (cpu - memory).abs();
    let stranded = (accelerators - cpu.min(memory)).max(0.0);
    cpu + memory
        + accelerators
        + IMBALANCE_WEIGHT * imbalance
        + STRANDED_ACCELERATOR_WEIGHT * stranded
}

/// 0 for the preferred data centre, 1 for its region, 2 when bytes cross regions, and `None` when
/// the job must not run there.
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

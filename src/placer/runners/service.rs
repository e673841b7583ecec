//! Runners of one service and the selection among them.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use rand::rngs::StdRng;

use super::RunnerEntry;
use super::health::KindCounts;
use crate::ids::WorkerId;

/// Number of runners of a service up to which all are compared; with more, two random ones are.
const MAX_COMPARED: usize = 4;
/// Random picks before all runners of a service are examined.
const MAX_TRIES: usize = 8;
/// Weight of the load of the rack relative to the load of the runner itself.
const RACK_WEIGHT: f64 = 0.25;

/// Load of the runners of a service in one rack.
#[derive(Default)]
pub(super) struct RackLoad {
    pub busy_slots: u32,
    pub runners: u32,
}

/// Runners of one service.
#[derive(Default)]
pub(super) struct ServiceRunners {
    pub workers: IndexSet<WorkerId>,
    pub racks: IndexMap<String, RackLoad>,
    pub kinds: KindCounts,
    /// Slots of the runners that were up, and when they were counted.
    pub slots: Option<(u32, Instant)>,
}

/// Selects the less loaded of two random usable runners, or the least loaded of a small service.
pub(super) fn choose(
    service: &ServiceRunners,
    runners: &IndexMap<WorkerId, RunnerEntry>,
    random: &mut StdRng,
    is_usable: &dyn Fn(&RunnerEntry) -> bool,
) -> Option<WorkerId> {
    let score = |entry: &RunnerEntry| {
        let rack = service.racks.get(&entry.announcement.rack);
        let rack_load = rack.map_or(0.0, |rack| {
            f64::from(rack.busy_slots) / f64::from(rack.runners * entry.capacity.slots.max(1))
        });
        entry.load() + RACK_WEIGHT * rack_load
    };
    let count = service.workers.len();
    let mut usable = Vec::new();
    if count > MAX_COMPARED {
        for _ in 0..MAX_TRIES {
            let entry = &runners[&service.workers[random.random_range(0..count)]];
            if is_usable(entry) {
                usable.push(entry);
            }
            if usable.len() == 2 {
                break;
            }
        }
    }
    if usable.is_empty() {
        let entries = service.workers.iter().map(|worker| &runners[worker]);
        usable = entries.filter(|entry| is_usable(entry)).collect();
    }
    let best = usable
        .into_iter()
        .min_by(|one, other| score(one).total_cmp(&score(other)))?;
    Some(best.announcement.worker.clone())
}

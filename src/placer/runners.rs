//! Runners of a data centre and their slots.

pub mod health;
#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ids::{Incarnation, ServiceName, TaskId, WorkerId};
use crate::protocol::worker::{Announcement, RunnerCapacity, WorkerPhase};
use health::{Execution, Health, KindCounts};

/// Up to so many runners of a service all of them are compared, otherwise two random ones.
const MAX_COMPARED: usize = 4;
/// Random choices tried before all runners of a service are looked at.
const MAX_TRIES: usize = 8;
/// Weight of the rack's load against the runner's own.
const RACK_WEIGHT: f64 = 0.25;
/// Time for which a count of slots is used when no runner announces itself.
const SLOTS_VALID: Duration = Duration::from_secs(1);
/// One of so many runners of a service may be in quarantine at once.
const MAX_QUARANTINED_FRACTION: usize = 3;

/// A reserved slot of a runner.
#[derive(Clone, Debug)]
pub struct RunnerSlot {
    /// Runner.
    pub worker: WorkerId,
    /// Incarnation of the runner when the slot was reserved.
    pub incarnation: Incarnation,
    /// Address of its HTTP interface.
    pub address: String,
    /// Attempt that occupies the slot; unique.
    pub task: TaskId,
    /// When the slot was reserved.
    pub reserved_at: Instant,
}

struct RunnerEntry {
    announcement: Announcement,
    capacity: RunnerCapacity,
    lease_ends_at: Instant,
    /// Never more than `capacity.slots`.
    busy_slots: u32,
    health: Health,
}

impl RunnerEntry {
    fn is_up(&self, now: Instant) -> bool {
        self.announcement.phase == WorkerPhase::Up && self.lease_ends_at > now
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.is_up(now) && self.busy_slots < self.capacity.slots && self.health.admits(now)
    }

    fn load(&self) -> f64 {
        f64::from(self.busy_slots) / f64::from(self.capacity.slots.max(1))
    }
}

#[derive(Default)]
struct RackLoad {
    busy_slots: u32,
    runners: u32,
}

#[derive(Default)]
struct ServiceRunners {
    workers: IndexSet<WorkerId>,
    racks: IndexMap<String, RackLoad>,
    kinds: KindCounts,
    /// Slots of the runners that were up, and when they were counted.
    slots: Option<(u32, Instant)>,
}

/// Runners known to the placer.
pub struct RunnerTable {
    runners: IndexMap<WorkerId, RunnerEntry>,
    by_service: IndexMap<ServiceName, ServiceRunners>,
    random: StdRng,
}

impl Default for RunnerTable {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl RunnerTable {
    /// An empty table whose random choices can be repeated.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            runners: IndexMap::new(),
            by_service: IndexMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Adds or updates a runner; announcements of former incarnations are ignored.
    pub fn announce(&mut self, announcement: Announcement, lease_ends_at: Instant) {
        let Some(capacity) = announcement.runner.clone() else {
            return;
        };
        let former = self.runners.get(&announcement.worker);
        if former.is_some_and(|entry| entry.announcement.incarnation > announcement.incarnation) {
            return;
        }
        self.detach(&announcement.worker);
        let worker = announcement.worker.clone();
        let same_incarnation = self
            .runners
            .swap_remove(&worker)
            .filter(|entry| entry.announcement.incarnation == announcement.incarnation);
        let (busy_slots, health) = same_incarnation.map_or((0, Health::default()), |entry| {
            (entry.busy_slots, entry.health)
        });
        let service = self.by_service.entry(capacity.service.clone()).or_default();
        service.workers.insert(worker.clone());
        let rack = service.racks.entry(announcement.rack.clone()).or_default();
        rack.busy_slots += busy_slots;
        rack.runners += 1;
        service.slots = None;
        let entry = RunnerEntry {
            announcement,
            capacity,
            lease_ends_at,
            busy_slots,
            health,
        };
        self.runners.insert(worker, entry);
    }

    /// Takes a runner out of the indexes of its service.
    fn detach(&mut self, worker: &str) {
        let Some(entry) = self.runners.get(worker) else {
            return;
        };
        let Some(service) = self.by_service.get_mut(&entry.capacity.service) else {
            return;
        };
        service.workers.swap_remove(worker);
        let rack = &entry.announcement.rack;
        if let Some(load) = service.racks.get_mut(rack) {
            load.busy_slots = load.busy_slots.saturating_sub(entry.busy_slots);
            load.runners -= 1;
            if load.runners == 0 {
                service.racks.swap_remove(rack);
            }
        }
        if service.workers.is_empty() {
            self.by_service.swap_remove(&entry.capacity.service);
        }
    }

    /// Services with at least one runner.
    pub fn services(&self) -> IndexSet<ServiceName> {
        self.by_service.keys().cloned().collect()
    }

    /// Slots of a service's runners that are up; at most `SLOTS_VALID` old.
    pub fn slots(&mut self, service: &str, now: Instant) -> u32 {
        let Some(service) = self.by_service.get_mut(service) else {
            return 0;
        };
        if let Some((slots, counted_at)) = service.slots
            && now.saturating_duration_since(counted_at) < SLOTS_VALID
        {
            return slots;
        }
        let entries = service.workers.iter().map(|worker| &self.runners[worker]);
        let slots = entries
            .filter(|entry| entry.is_up(now))
            .map(|entry| entry.capacity.slots)
            .sum();
        service.slots = Some((slots, now));
        slots
    }

    /// Reserves a slot of the service: of two random runners the one with the lower load, counting
    /// the load of its rack, so that work spreads over racks.
    pub fn reserve(&mut self, service: &str, now: Instant) -> Option<RunnerSlot> {
        let service = self.by_service.get_mut(service)?;
        let chosen = choose(service, &self.runners, &mut self.random, now)?;
        let entry = &mut self.runners[&chosen];
        entry.busy_slots += 1;
        entry.health.sent(now);
        if let Some(rack) = service.racks.get_mut(&entry.announcement.rack) {
            rack.busy_slots += 1;
        }
        Some(RunnerSlot {
            worker: entry.announcement.worker.clone(),
            incarnation: entry.announcement.incarnation,
            address: entry.announcement.address.clone(),
            task: format!("{:032x}", rand::random::<u128>()),
            reserved_at: now,
        })
    }

    /// Returns a slot.
    pub fn release(&mut self, slot: &RunnerSlot) {
        let Some(entry) = self.runners.get_mut(&slot.worker) else {
            return;
        };
        if entry.announcement.incarnation != slot.incarnation || entry.busy_slots == 0 {
            return;
        }
        entry.busy_slots -= 1;
        let service = self.by_service.get_mut(&entry.capacity.service);
        let rack = service.and_then(|service| service.racks.get_mut(&entry.announcement.rack));
        if let Some(rack) = rack {
            rack.busy_slots = rack.busy_slots.saturating_sub(1);
        }
    }

    /// Records how a request of a kind ended; a runner that fails or is slow where the others are
    /// not is quarantined. Kinds are the members, since payloads are opaque.
    pub fn record(&mut self, slot: &RunnerSlot, kind: &str, execution: &Execution, now: Instant) {
        let Some(entry) = self.runners.get_mut(&slot.worker) else {
            return;
        };
        if entry.announcement.incarnation != slot.incarnation {
            return;
        }
        let Some(service) = self.by_service.get_mut(&entry.capacity.service) else {
            return;
        };
        if !entry
            .health
            .record(&mut service.kinds, kind, execution, now)
        {
            return;
        }
        let quarantined = self.quarantined(&slot.worker);
        let entry = &mut self.runners[&slot.worker];
        let service = &self.by_service[&entry.capacity.service];
        let most = (service.workers.len() / MAX_QUARANTINED_FRACTION).max(1);
        if quarantined < most && service.workers.len() > 1 {
            log::warn!(worker = slot.worker.as_str(); "runner quarantined");
            entry.health.quarantine(now);
        }
    }

    /// Runners in quarantine among those of the same service.
    fn quarantined(&self, worker: &str) -> usize {
        let service = &self.by_service[&self.runners[worker].capacity.service];
        let entries = service.workers.iter().map(|worker| &self.runners[worker]);
        entries
            .filter(|entry| entry.health.is_quarantined())
            .count()
    }

    /// Whether the runner gets no requests, or only probes, because of its failures.
    pub fn is_quarantined(&self, worker: &str) -> bool {
        self.runners
            .get(worker)
            .is_some_and(|entry| entry.health.is_quarantined())
    }

    /// Slots in use on all runners.
    pub fn busy_slots(&self) -> u32 {
        self.runners.values().map(|entry| entry.busy_slots).sum()
    }

    /// Latest announcement of each runner.
    pub fn announcements(&self) -> Vec<Announcement> {
        self.runners
            .values()
            .map(|entry| entry.announcement.clone())
            .collect()
    }
}

fn choose(
    service: &ServiceRunners,
    runners: &IndexMap<WorkerId, RunnerEntry>,
    random: &mut StdRng,
    now: Instant,
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
            if entry.is_usable(now) {
                usable.push(entry);
            }
            if usable.len() == 2 {
                break;
            }
        }
    }
    if usable.is_empty() {
        let entries = service.workers.iter().map(|worker| &runners[worker]);
        usable = entries.filter(|entry| entry.is_usable(now)).collect();
    }
    let best = usable
        .into_iter()
        .min_by(|one, other| score(one).total_cmp(&score(other)))?;
    Some(best.announcement.worker.clone())
}

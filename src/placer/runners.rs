//! Runners of a data centre, the reservation of their slots, and the status of their incarnations.

pub mod health;
mod service;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::links::RunnerLink;
use crate::ids::{Epoch, Incarnation, ServiceName, TaskId, WorkerId};
use crate::protocol::worker::{Announcement, RunnerCapacity, WorkerPhase};
use health::{Execution, Health};
use service::{ServiceRunners, choose};

/// Time after the end of its lease after which a runner without tasks is removed from the table.
const REMOVE_AFTER: Duration = Duration::from_secs(3600);

/// Maximum age of a cached count of slots; announcements of the service invalidate it earlier.
const MAX_SLOT_COUNT_AGE: Duration = Duration::from_secs(1);
/// At most one in this many runners of a service, but at least one, may be in quarantine at once.
const MAX_QUARANTINED_DIVISOR: usize = 3;

/// A slot of a runner that is reserved for one attempt.
#[derive(Clone)]
pub struct RunnerSlot {
    /// Id of the runner.
    pub worker: WorkerId,
    /// Incarnation of the runner when the slot was reserved.
    pub incarnation: Incarnation,
    /// Connections to the runner.
    pub link: Arc<RunnerLink>,
    /// Random id of the attempt that occupies the slot; unique.
    pub task: TaskId,
    /// Epoch of the placer that reserved the slot.
    pub epoch: Epoch,
    /// Generation of the runner table that reserved the slot.
    pub generation: u64,
    /// When the slot was reserved.
    pub reserved_at: Instant,
}

/// Status of the incarnation of a runner that a task was sent to.
#[derive(Clone)]
pub(super) enum RunnerStatus {
    /// The runner announced itself in this epoch and its lease has not expired.
    Alive(Arc<RunnerLink>),
    /// The runner announced a later incarnation, so the process of this incarnation has ended.
    Restarted,
    /// The lease and the clock margin have passed without an announcement.
    LeaseExpired,
    /// The runner has not renewed its lease, or has not announced itself in this epoch, but the lease
    /// and the clock margin have not both passed.
    Unknown,
}

struct RunnerEntry {
    announcement: Announcement,
    capacity: RunnerCapacity,
    lease_ends_at: Instant,
    link: Arc<RunnerLink>,
    /// Slots held by tasks of this incarnation.
    busy_slots: u32,
    /// Time before which the runner receives no new work, since its latest exchange failed.
    avoided_until: Option<Instant>,
    health: Health,
}

impl RunnerEntry {
    fn is_up(&self, now: Instant) -> bool {
        self.announcement.phase == WorkerPhase::Up && self.lease_ends_at > now
    }

    fn load(&self) -> f64 {
        f64::from(self.busy_slots) / f64::from(self.capacity.slots.max(1))
    }

    fn is_usable(&self, now: Instant) -> bool {
        // One exchange stays free for cancellations and for queries about earlier tasks.
        let exchanges = RunnerLink::exchange_limit(self.capacity.connections);
        let usable_slots = self.capacity.slots.min(exchanges.saturating_sub(1).max(1));
        self.is_up(now)
            && self.busy_slots < usable_slots
            && self.health.admits(now)
            && exchanges > 0
            && self.avoided_until.is_none_or(|until| until <= now)
    }
}

/// Runners that announced themselves in the current epoch.
pub struct RunnerTable {
    epoch: Epoch,
    /// Incremented whenever the table is cleared, also when a host begins the same epoch again, so
    /// that slots reserved before are not released in the new table.
    generation: u64,
    /// Latest end of the leases that former epochs granted.
    former_leases_end_at: Option<Instant>,
    runners: IndexMap<WorkerId, RunnerEntry>,
    /// Runners and load of racks by service. Contains the same runners as `runners`.
    by_service: IndexMap<ServiceName, ServiceRunners>,
    random: StdRng,
    /// Occupied slots of incarnations that are not in `runners`: by tasks of former epochs whose
    /// runners have not announced themselves yet, and by tasks of replaced incarnations.
    absent_slots: IndexMap<(WorkerId, Incarnation), u32>,
}

impl Default for RunnerTable {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl RunnerTable {
    /// Creates an empty table whose random choices are reproducible from the seed.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            epoch: 0,
            generation: 0,
            former_leases_end_at: None,
            runners: IndexMap::new(),
            by_service: IndexMap::new(),
            random: StdRng::seed_from_u64(seed),
            absent_slots: IndexMap::new(),
        }
    }

    /// Removes all runners, which must announce themselves in the new epoch.
    pub(super) fn begin_epoch(&mut self, epoch: Epoch, former_leases_end_at: Instant) {
        *self = Self {
            epoch,
            generation: self.generation + 1,
            former_leases_end_at: Some(former_leases_end_at),
            ..Self::default()
        };
    }

    /// Returns the generation, which changes whenever the table is cleared.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Adds or updates a runner. Returns false for an incarnation that was replaced, whose lease must
    /// not be renewed.
    pub fn announce(&mut self, mut announcement: Announcement, lease_ends_at: Instant) -> bool {
        let Some(capacity) = announcement.runner.clone() else {
            return true;
        };
        let worker = announcement.worker.clone();
        let former = self.runners.get(&worker);
        if former.is_some_and(|entry| entry.announcement.incarnation > announcement.incarnation) {
            return false;
        }
        let same =
            former.filter(|entry| entry.announcement.incarnation == announcement.incarnation);
        // Announcements may arrive out of order, and an incarnation that leaves never returns.
        if same.is_some_and(|entry| entry.announcement.phase == WorkerPhase::Leaving) {
            announcement.phase = WorkerPhase::Leaving;
        }
        let link = same
            .filter(|entry| {
                entry
                    .link
                    .serves(&announcement.address, capacity.connections)
            })
            .map_or_else(
                || new_link(&announcement, &capacity),
                |entry| Arc::clone(&entry.link),
            );
        if announcement.phase == WorkerPhase::Leaving {
            link.set_leaving();
            if let Some(entry) = same {
                entry.link.set_leaving();
            }
        }
        let identity = (worker.clone(), announcement.incarnation);
        let busy_slots = match same {
            Some(entry) => entry.busy_slots,
            None => self.absent_slots.swap_remove(&identity).unwrap_or(0),
        };
        let entry = RunnerEntry {
            avoided_until: same.and_then(|entry| entry.avoided_until),
            health: same.map_or_else(Health::default, |entry| entry.health.clone()),
            announcement,
            capacity,
            lease_ends_at,
            link,
            busy_slots,
        };
        self.remove_from_service(&worker);
        self.add_to_service(&worker, &entry);
        if let Some(replaced) = self.runners.insert(worker.clone(), entry)
            && replaced.announcement.incarnation != identity.1
            && replaced.busy_slots > 0
        {
            let replaced_identity = (worker, replaced.announcement.incarnation);
            self.absent_slots
                .insert(replaced_identity, replaced.busy_slots);
        }
        true
    }

    /// Removes runners without tasks whose leases ended more than `REMOVE_AFTER` ago.
    pub(super) fn remove_long_expired(&mut self, now: Instant) {
        let expired = self.runners.iter().filter(|(_, entry)| {
            entry.busy_slots == 0 && entry.lease_ends_at + REMOVE_AFTER <= now
        });
        let expired: Vec<WorkerId> = expired.map(|(worker, _)| worker.clone()).collect();
        for worker in expired {
            self.remove_from_service(&worker);
            self.runners.swap_remove(&worker);
        }
    }

    /// Adds a runner to the indexes of its service.
    fn add_to_service(&mut self, worker: &str, entry: &RunnerEntry) {
        let service = self
            .by_service
            .entry(entry.capacity.service.clone())
            .or_default();
        service.workers.insert(worker.to_owned());
        let rack = service
            .racks
            .entry(entry.announcement.rack.clone())
            .or_default();
        rack.busy_slots += entry.busy_slots;
        rack.runners += 1;
        service.slots = None;
    }

    /// Removes a runner from the indexes of its service.
    fn remove_from_service(&mut self, worker: &str) {
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

    /// Returns the services with at least one runner.
    pub fn services(&self) -> IndexSet<ServiceName> {
        self.by_service.keys().cloned().collect()
    }

    /// Returns the total slots of the service's runners that are up. The count may be as old as
    /// `MAX_SLOT_COUNT_AGE`.
    pub fn slots(&mut self, service: &str, now: Instant) -> u32 {
        let Some(service) = self.by_service.get_mut(service) else {
            return 0;
        };
        if let Some((slots, counted_at)) = service.slots
            && now.saturating_duration_since(counted_at) < MAX_SLOT_COUNT_AGE
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

    /// Reserves a slot of the service on the less loaded of two random runners. The load of the rack
    /// counts as well, so that work spreads over racks. Drained workers are skipped.
    pub fn reserve(
        &mut self,
        service: &str,
        now: Instant,
        is_drained: &dyn Fn(&str) -> bool,
    ) -> Option<RunnerSlot> {
        let service = self.by_service.get_mut(service)?;
        let chosen = choose(service, &self.runners, &mut self.random, &|entry| {
            entry.is_usable(now) && !is_drained(&entry.announcement.worker)
        })?;
        let entry = &mut self.runners[&chosen];
        entry.busy_slots += 1;
        entry.health.request_sent(now);
        if let Some(rack) = service.racks.get_mut(&entry.announcement.rack) {
            rack.busy_slots += 1;
        }
        Some(RunnerSlot {
            worker: entry.announcement.worker.clone(),
            incarnation: entry.announcement.incarnation,
            link: Arc::clone(&entry.link),
            task: format!("{:032x}", rand::random::<u128>()),
            epoch: self.epoch,
            generation: self.generation,
            reserved_at: now,
        })
    }

    /// Counts a slot as occupied by a task of a former epoch.
    pub(super) fn count_former_slot(&mut self, worker: &str, incarnation: Incarnation) {
        *self
            .absent_slots
            .entry((worker.to_owned(), incarnation))
            .or_default() += 1;
    }

    /// Releases a slot that was reserved or counted in the given generation.
    pub(super) fn release(&mut self, worker: &str, incarnation: Incarnation, generation: u64) {
        if generation != self.generation {
            return;
        }
        if let Some(entry) = self.runners.get_mut(worker)
            && entry.announcement.incarnation == incarnation
        {
            if entry.busy_slots > 0 {
                entry.busy_slots -= 1;
                let service = self.by_service.get_mut(&entry.capacity.service);
                let rack =
                    service.and_then(|service| service.racks.get_mut(&entry.announcement.rack));
                if let Some(rack) = rack {
                    rack.busy_slots = rack.busy_slots.saturating_sub(1);
                }
            }
            return;
        }
        let identity = (worker.to_owned(), incarnation);
        let Some(held) = self.absent_slots.get_mut(&identity) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.absent_slots.swap_remove(&identity);
        }
    }

    /// Records how a request ended, and quarantines a runner that fails or is slow for kinds of
    /// requests for which the other runners are not. The kind of a request is its member, since
    /// payloads are opaque.
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
        let max_quarantined = (service.workers.len() / MAX_QUARANTINED_DIVISOR).max(1);
        if quarantined < max_quarantined && service.workers.len() > 1 {
            log::warn!(worker = slot.worker.as_str(); "runner quarantined");
            entry.health.quarantine(now);
        }
    }

    /// Number of quarantined runners of the same service.
    fn quarantined(&self, worker: &str) -> usize {
        let service = &self.by_service[&self.runners[worker].capacity.service];
        let entries = service.workers.iter().map(|worker| &self.runners[worker]);
        entries
            .filter(|entry| entry.health.is_quarantined())
            .count()
    }

    /// Whether the runner receives no requests, or only probes, because it failed or was slow.
    pub fn is_quarantined(&self, worker: &str) -> bool {
        self.runners
            .get(worker)
            .is_some_and(|entry| entry.health.is_quarantined())
    }

    /// Excludes the runner from new work until the given time.
    pub(super) fn avoid(&mut self, worker: &str, until: Instant) {
        if let Some(entry) = self.runners.get_mut(worker) {
            entry.avoided_until = Some(until);
        }
    }

    /// Returns the status of an incarnation of a runner.
    pub(super) fn runner_status(
        &self,
        worker: &str,
        incarnation: Incarnation,
        clock_margin: Duration,
        now: Instant,
    ) -> RunnerStatus {
        let entry = self.runners.get(worker);
        if entry.is_some_and(|entry| entry.announcement.incarnation > incarnation) {
            return RunnerStatus::Restarted;
        }
        let entry = entry.filter(|entry| entry.announcement.incarnation == incarnation);
        if let Some(entry) = entry.filter(|entry| entry.lease_ends_at > now) {
            return RunnerStatus::Alive(Arc::clone(&entry.link));
        }
        let lease_ends_at = entry
            .map(|entry| entry.lease_ends_at)
            .or(self.former_leases_end_at);
        if lease_ends_at.is_some_and(|ends_at| ends_at + clock_margin <= now) {
            return RunnerStatus::LeaseExpired;
        }
        RunnerStatus::Unknown
    }

    /// Returns the connections to the current incarnation of a runner.
    pub(super) fn link(&self, worker: &str) -> Option<&Arc<RunnerLink>> {
        self.runners.get(worker).map(|entry| &entry.link)
    }

    /// Number of occupied slots of all runners, including those of absent incarnations.
    pub fn busy_slots(&self) -> u32 {
        let present: u32 = self.runners.values().map(|entry| entry.busy_slots).sum();
        present + self.absent_slots.values().sum::<u32>()
    }

    /// Returns the latest announcement of each runner.
    pub fn announcements(&self) -> Vec<Announcement> {
        self.runners
            .values()
            .map(|entry| entry.announcement.clone())
            .collect()
    }
}

fn new_link(announcement: &Announcement, capacity: &RunnerCapacity) -> Arc<RunnerLink> {
    Arc::new(RunnerLink::new(
        announcement.worker.clone(),
        announcement.incarnation,
        announcement.address.clone(),
        capacity.connections,
    ))
}

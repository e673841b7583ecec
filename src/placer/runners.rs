//! Runners of a data centre and their slots.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use crate::ids::{Incarnation, ServiceName, TaskId, WorkerId};
use crate::protocol::worker::{Announcement, RunnerCapacity, WorkerPhase};

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
}

/// Runners known to the placer.
#[derive(Default)]
pub struct RunnerTable {
    runners: IndexMap<WorkerId, RunnerEntry>,
}

impl RunnerTable {
    /// Adds or updates a runner; announcements of former incarnations are ignored.
    pub fn announce(&mut self, announcement: Announcement, lease_ends_at: Instant) {
        let Some(capacity) = announcement.runner.clone() else {
            return;
        };
        let former = self.runners.get(&announcement.worker);
        if former.is_some_and(|entry| entry.announcement.incarnation > announcement.incarnation) {
            return;
        }
        let same_incarnation =
            former.filter(|entry| entry.announcement.incarnation == announcement.incarnation);
        let busy_slots = same_incarnation.map_or(0, |entry| entry.busy_slots);
        let worker = announcement.worker.clone();
        let entry = RunnerEntry {
            announcement,
            capacity,
            lease_ends_at,
            busy_slots,
        };
        self.runners.insert(worker, entry);
    }

    /// Services with at least one runner.
    pub fn services(&self) -> IndexSet<ServiceName> {
        self.runners
            .values()
            .map(|entry| entry.capacity.service.clone())
            .collect()
    }

    /// Reserves a slot of the least busy runner of the service.
    pub fn reserve(&mut self, service: &str, now: Instant) -> Option<RunnerSlot> {
        let mut best: Option<&mut RunnerEntry> = None;
        for entry in self.runners.values_mut() {
            let usable = entry.capacity.service == service
                && entry.announcement.phase == WorkerPhase::Up
                && entry.lease_ends_at > now
                && entry.busy_slots < entry.capacity.slots;
            if !usable {
                continue;
            }
            if best
                .as_ref()
                .is_none_or(|present| entry.busy_slots < present.busy_slots)
            {
                best = Some(entry);
            }
        }
        let entry = best?;
        entry.busy_slots += 1;
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
        if entry.announcement.incarnation == slot.incarnation {
            entry.busy_slots = entry.busy_slots.saturating_sub(1);
        }
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

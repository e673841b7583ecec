//! Runners of a data centre and their slots.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::links::RunnerLink;
use crate::ids::{Epoch, Incarnation, ServiceName, TaskId, WorkerId};
use crate::protocol::worker::{Announcement, RunnerCapacity, WorkerPhase};

/// Time after the end of its lease for which a silent runner stays listed.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// A reserved slot of a runner.
#[derive(Clone)]
pub struct RunnerSlot {
    /// Runner.
    pub worker: WorkerId,
    /// Incarnation of the runner when the slot was reserved.
    pub incarnation: Incarnation,
    /// Access to the runner.
    pub link: Arc<RunnerLink>,
    /// Attempt that occupies the slot; unique.
    pub task: TaskId,
    /// Epoch of the table that reserved it.
    pub epoch: Epoch,
    /// When the slot was reserved.
    pub reserved_at: Instant,
}

/// What is known about the incarnation of a runner that got a task.
#[derive(Clone)]
pub(super) enum Fate {
    /// It announced itself to this epoch and its lease runs.
    Present(Arc<RunnerLink>),
    /// The same runner announced a later incarnation, so its former process has ended.
    Restarted,
    /// Its lease and the clock margin have passed without an announcement.
    Lapsed,
    /// Silent, or not yet announced to this epoch, within its lease and margin.
    Silent,
}

struct RunnerEntry {
    announcement: Announcement,
    capacity: RunnerCapacity,
    lease_ends_at: Instant,
    link: Arc<RunnerLink>,
    /// Slots held by tasks of this incarnation.
    busy_slots: u32,
    /// Gets no new work before this, since its latest exchange failed.
    avoided_until: Option<Instant>,
}

impl RunnerEntry {
    fn is_usable(&self, now: Instant) -> bool {
        // One exchange is left for cancellations and for questions about earlier tasks.
        let exchanges = RunnerLink::exchange_limit(self.capacity.connections);
        let usable_slots = self.capacity.slots.min(exchanges.saturating_sub(1).max(1));
        self.announcement.phase == WorkerPhase::Up
            && self.busy_slots < usable_slots
            && self.lease_ends_at > now
            && exchanges > 0
            && self.avoided_until.is_none_or(|until| until <= now)
    }
}

/// Runners that announced themselves to the present epoch.
#[derive(Default)]
pub struct RunnerTable {
    epoch: Epoch,
    /// Leases granted by former epochs end at this time at the latest.
    former_leases_end_at: Option<Instant>,
    runners: IndexMap<WorkerId, RunnerEntry>,
    /// Positions in `runners` by service.
    services: IndexMap<ServiceName, Vec<usize>>,
    /// Slots held on incarnations that are not in `runners`: by tasks of former epochs whose
    /// runners did not announce themselves yet, and by tasks of replaced incarnations.
    absent: IndexMap<(WorkerId, Incarnation), u32>,
}

impl RunnerTable {
    /// Forgets all runners; they must announce themselves to the new epoch.
    pub(super) fn begin_epoch(&mut self, epoch: Epoch, former_leases_end_at: Instant) {
        *self = Self {
            epoch,
            former_leases_end_at: Some(former_leases_end_at),
            ..Self::default()
        };
    }

    /// Adds or updates a runner; announcements of former incarnations are ignored.
    pub fn announce(&mut self, mut announcement: Announcement, lease_ends_at: Instant) {
        let Some(capacity) = announcement.runner.clone() else {
            return;
        };
        let worker = announcement.worker.clone();
        let former = self.runners.get(&worker);
        if former.is_some_and(|entry| entry.announcement.incarnation > announcement.incarnation) {
            return;
        }
        let same =
            former.filter(|entry| entry.announcement.incarnation == announcement.incarnation);
        // Announcements may overtake each other; an incarnation that leaves never comes back.
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
            None => self.absent.swap_remove(&identity).unwrap_or(0),
        };
        let entry = RunnerEntry {
            avoided_until: same.and_then(|entry| entry.avoided_until),
            announcement,
            capacity,
            lease_ends_at,
            link,
            busy_slots,
        };
        let same_service =
            former.is_some_and(|former| former.capacity.service == entry.capacity.service);
        if let Some(replaced) = self.runners.insert(worker.clone(), entry)
            && replaced.announcement.incarnation != identity.1
            && replaced.busy_slots > 0
        {
            let replaced_identity = (worker, replaced.announcement.incarnation);
            self.absent.insert(replaced_identity, replaced.busy_slots);
        }
        if !same_service {
            self.index_services();
        }
    }

    /// Drops runners that have been silent for long.
    pub(super) fn drop_forgotten(&mut self, now: Instant) {
        let before = self.runners.len();
        self.runners
            .retain(|_, entry| entry.busy_slots > 0 || entry.lease_ends_at + FORGET_AFTER > now);
        if self.runners.len() != before {
            self.index_services();
        }
    }

    fn index_services(&mut self) {
        self.services.clear();
        for (position, entry) in self.runners.values().enumerate() {
            let service = entry.capacity.service.clone();
            self.services.entry(service).or_default().push(position);
        }
    }

    /// Services with at least one runner.
    pub fn services(&self) -> IndexSet<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Reserves a slot of the least busy runner of the service on a worker that is not drained.
    pub fn reserve(
        &mut self,
        service: &str,
        now: Instant,
        is_drained: &dyn Fn(&str) -> bool,
    ) -> Option<RunnerSlot> {
        let positions = self.services.get(service)?;
        let usable = positions.iter().copied().filter(|position| {
            let entry = &self.runners[*position];
            entry.is_usable(now) && !is_drained(&entry.announcement.worker)
        });
        let best = usable.min_by_key(|position| self.runners[*position].busy_slots)?;
        let entry = &mut self.runners[best];
        entry.busy_slots += 1;
        Some(RunnerSlot {
            worker: entry.announcement.worker.clone(),
            incarnation: entry.announcement.incarnation,
            link: Arc::clone(&entry.link),
            task: format!("{:032x}", rand::random::<u128>()),
            epoch: self.epoch,
            reserved_at: now,
        })
    }

    /// Counts a slot as held by a task of a former epoch.
    pub(super) fn hold(&mut self, worker: &str, incarnation: Incarnation) {
        *self
            .absent
            .entry((worker.to_owned(), incarnation))
            .or_default() += 1;
    }

    /// Returns a slot that was reserved or held in the given epoch.
    pub(super) fn release(&mut self, worker: &str, incarnation: Incarnation, epoch: Epoch) {
        if epoch != self.epoch {
            return;
        }
        if let Some(entry) = self.runners.get_mut(worker)
            && entry.announcement.incarnation == incarnation
        {
            entry.busy_slots = entry.busy_slots.saturating_sub(1);
            return;
        }
        let identity = (worker.to_owned(), incarnation);
        let Some(held) = self.absent.get_mut(&identity) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.absent.swap_remove(&identity);
        }
    }

    /// Gives the runner no new work before `until`.
    pub(super) fn avoid(&mut self, worker: &str, until: Instant) {
        if let Some(entry) = self.runners.get_mut(worker) {
            entry.avoided_until = Some(until);
        }
    }

    /// What is known about an incarnation of a runner.
    pub(super) fn fate(
        &self,
        worker: &str,
        incarnation: Incarnation,
        clock_margin: Duration,
        now: Instant,
    ) -> Fate {
        let entry = self.runners.get(worker);
        if entry.is_some_and(|entry| entry.announcement.incarnation > incarnation) {
            return Fate::Restarted;
        }
        let entry = entry.filter(|entry| entry.announcement.incarnation == incarnation);
        if let Some(entry) = entry.filter(|entry| entry.lease_ends_at > now) {
            return Fate::Present(Arc::clone(&entry.link));
        }
        let lease_ends_at = entry
            .map(|entry| entry.lease_ends_at)
            .or(self.former_leases_end_at);
        if lease_ends_at.is_some_and(|ends_at| ends_at + clock_margin <= now) {
            return Fate::Lapsed;
        }
        Fate::Silent
    }

    /// Access to the present incarnation of a runner.
    pub(super) fn link(&self, worker: &str) -> Option<&Arc<RunnerLink>> {
        self.runners.get(worker).map(|entry| &entry.link)
    }

    /// Slots in use on all runners.
    pub fn busy_slots(&self) -> u32 {
        let present: u32 = self.runners.values().map(|entry| entry.busy_slots).sum();
        present + self.absent.values().sum::<u32>()
    }

    /// Latest announcement of each runner.
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

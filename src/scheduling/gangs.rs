//! Reservation for a job whose tasks have to start at once.
//!
//! At most one gang holds capacity at any time, so two gangs can never wait for each other's
//! holds. The reservation holds room wherever a task of the gang fits, drains workers for the
//! other tasks, and starts the gang once all tasks have room. Until the planned start, short tasks
//! may run in held places and on draining workers (backfill); those that run longer than estimated
//! are preempted. After the deadline, other preemptible tasks on draining workers are preempted
//! too. When even that does not complete the gang, for example because tasks that must not be
//! preempted run far longer than declared, it gives everything back and queues again after a
//! pause. The idle capacity is thus bounded by one gang's need and the workers that drain for it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::feasibility::tasks_per_worker;
use super::ledger::{WorkerIndex, add};
use crate::ids::{JobId, TaskId};
use crate::resources::Resources;

/// Gangs that are looked at when the reservation is given to the next one.
const MAX_EXAMINED: usize = 64;

/// Limits of reservations.
#[derive(Clone, Copy, Debug)]
pub struct GangSettings {
    /// Time from the reservation to its deadline, when preemption for it begins.
    pub reserve_for: Duration,
    /// Time after the deadline until the holds are given back.
    pub give_up_after: Duration,
    /// Whether short tasks may borrow held places.
    pub backfill: bool,
    /// A gang that waited this long is next whatever the share of its member.
    pub patience: Duration,
}

impl Default for GangSettings {
    fn default() -> Self {
        Self {
            reserve_for: Duration::from_secs(120),
            give_up_after: Duration::from_secs(300),
            backfill: true,
            patience: Duration::from_secs(1_800),
        }
    }
}

/// The reservation in effect.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// Gang.
    pub job: JobId,
    /// Need of each task.
    pub need: Resources,
    /// Tasks of the gang.
    pub tasks: u32,
    /// When preemption begins.
    pub deadline: Instant,
    /// When the holds are given back.
    pub gives_up_at: Instant,
    /// When enough tasks will have ended, by their estimates. Never later than the deadline.
    pub planned_start: Instant,
    /// Worker on which each held task has room.
    pub held: IndexMap<TaskId, WorkerIndex>,
    /// Tasks that run in held places or on draining workers.
    pub backfill: IndexMap<TaskId, Backfill>,
    /// When parked jobs were last looked through for backfill.
    pub backfill_checked_at: Instant,
}

/// A short task that runs in reserved room.
#[derive(Clone, Debug)]
pub struct Backfill {
    /// Worker.
    pub worker: WorkerIndex,
    /// Hold from which its resources were taken; `None` on a draining worker.
    pub hold: Option<TaskId>,
}

impl GangReservation {
    /// Whether every task has its whole room.
    pub fn is_complete(&self) -> bool {
        self.missing() == 0 && self.backfill.values().all(|task| task.hold.is_none())
    }

    /// Tasks that have no room yet.
    pub fn missing(&self) -> u32 {
        self.tasks.saturating_sub(self.held.len() as u32)
    }

    /// Whether a task of the given run time would end before the planned start.
    pub fn admits_backfill(&self, run: Option<Duration>, now: Instant) -> bool {
        let end = run.and_then(|run| now.checked_add(run));
        end.is_some_and(|end| end <= self.planned_start)
    }
}

/// What reservations cost, for reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GangCounters {
    /// Reservations made.
    pub reservations: u64,
    /// Tasks started in held places.
    pub backfilled: u64,
    /// Reservations given back without a start.
    pub abandoned: u64,
    /// Held processor time that was idle, in core-seconds.
    pub idle_core_seconds: u64,
}

/// Gangs that wait, and the reservation of one of them.
#[derive(Default)]
pub struct Gangs {
    /// Limits.
    pub settings: GangSettings,
    /// The only reservation.
    pub active: Option<GangReservation>,
    /// Sums since the start.
    pub counters: GangCounters,
    waiting: BTreeSet<(u64, JobId)>,
    paused_until: IndexMap<JobId, Instant>,
    idle_core_millis_ms: u128,
    measured_at: Option<Instant>,
}

impl Gangs {
    /// No gangs yet.
    pub fn new(settings: GangSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes note of a gang that did not fit.
    pub fn wait(&mut self, seq: u64, job: &JobId) {
        self.waiting.insert((seq, job.clone()));
    }

    /// Forgets a gang that started, ended or was cancelled.
    pub fn forget(&mut self, seq: u64, job: &JobId) {
        self.waiting.remove(&(seq, job.clone()));
        self.paused_until.swap_remove(job);
    }

    /// Gangs in order of arrival.
    pub fn first_waiting(&self, count: usize) -> Vec<JobId> {
        self.waiting
            .iter()
            .take(count)
            .map(|(_, job)| job.clone())
            .collect()
    }

    /// Forgets a gang whose job is over.
    pub fn forget_missing(&mut self, job: &JobId) {
        self.waiting.retain(|(_, waiting)| waiting != job);
        self.paused_until.swap_remove(job);
    }

    /// Next gang for a reservation: the first to arrive among those that `entitled` approves,
    /// otherwise the first to arrive.
    pub fn next(&self, now: Instant, mut entitled: impl FnMut(&JobId) -> bool) -> Option<JobId> {
        let mut first = None;
        for (_, job) in self.waiting.iter().take(MAX_EXAMINED) {
            if self.paused_until.get(job).is_some_and(|until| *until > now) {
                continue;
            }
            if entitled(job) {
                return Some(job.clone());
            }
            first = first.or(Some(job));
        }
        first.cloned()
    }

    /// Begins a reservation.
    pub fn reserve(&mut self, job: JobId, need: Resources, tasks: u32, now: Instant) {
        let deadline = now + self.settings.reserve_for;
        self.counters.reservations += 1;
        self.active = Some(GangReservation {
            job,
            need,
            tasks,
            deadline,
            gives_up_at: deadline + self.settings.give_up_after,
            planned_start: now,
            held: IndexMap::new(),
            backfill: IndexMap::new(),
            backfill_checked_at: now,
        });
    }

    /// Ends the reservation without a start; the gang is considered again after a pause.
    pub fn abandon(&mut self, now: Instant) -> Option<GangReservation> {
        let reservation = self.active.take()?;
        self.counters.abandoned += 1;
        let until = now + self.settings.give_up_after;
        self.paused_until.insert(reservation.job.clone(), until);
        Some(reservation)
    }

    /// Adds the time since the last call to the idle held capacity.
    pub fn measure(&mut self, held: &Resources, now: Instant) {
        let before = self.measured_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(before).as_millis();
        self.idle_core_millis_ms += u128::from(held.cpu_millis) * elapsed;
        self.counters.idle_core_seconds = (self.idle_core_millis_ms / 1_000_000) as u64;
    }
}

/// When a worker without new tasks has room for a task, and for how many then. `ends` are the
/// expected ends of its tasks; those without a foreseeable end are left out.
pub fn drain_time(
    free: &Resources,
    mut ends: Vec<(Instant, Resources)>,
    need: &Resources,
    now: Instant,
) -> Option<(Instant, u32)> {
    ends.sort_by_key(|(end, _)| *end);
    let mut room = *free;
    let mut at = now;
    for (end, amount) in ends {
        if room.covers(need) {
            break;
        }
        room = add(&room, &amount);
        at = end;
    }
    let slots = tasks_per_worker(&room, need);
    (slots > 0).then(|| (at, u32::try_from(slots).unwrap_or(u32::MAX)))
}

//! Reservation for a gang, a job whose tasks have to start at the same time.
//!
//! At most one gang holds capacity at any time, so two gangs can never wait for each other's
//! holds. The reservation holds resources wherever a task of the gang fits, drains workers for the
//! other tasks, and starts the gang once there are resources for all tasks. Until the planned
//! start, short tasks may run in held resources and on draining workers (backfill); tasks that run
//! longer than estimated are preempted. After the deadline, other preemptible tasks on draining
//! workers are preempted too. If even that does not complete the gang, for example because tasks
//! that must not be preempted run far longer than declared, the reservation is released and the
//! gang is considered again after a pause. The idle capacity is thus bounded by the need of one
//! gang and the workers that drain for it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::feasibility::tasks_per_worker;
use super::ledger::{WorkerIndex, add};
use crate::ids::{JobId, TaskId};
use crate::resources::Resources;

/// Waiting gangs that are examined to choose the next one for the reservation.
const MAX_EXAMINED: usize = 64;

/// Time limits of reservations.
#[derive(Clone, Copy, Debug)]
pub struct GangSettings {
    /// Time from the reservation to its deadline, when preemption for it begins.
    pub reserve_for: Duration,
    /// Time after the deadline until an incomplete reservation is abandoned. Also the pause before
    /// the gang is considered again.
    pub abandon_after: Duration,
    /// Whether short tasks may run in reserved resources until the planned start.
    pub backfill: bool,
    /// Waiting time after which a gang is entitled to the reservation regardless of the share of
    /// its member.
    pub starvation_after: Duration,
}

impl Default for GangSettings {
    fn default() -> Self {
        Self {
            reserve_for: Duration::from_secs(120),
            abandon_after: Duration::from_secs(300),
            backfill: true,
            starvation_after: Duration::from_secs(1_800),
        }
    }
}

/// The reservation in effect.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// Gang that holds the reservation.
    pub job: JobId,
    /// Need of each task.
    pub need: Resources,
    /// Tasks of the gang.
    pub tasks: u32,
    /// When preemption of tasks other than backfill begins.
    pub deadline: Instant,
    /// When the reservation is abandoned if it is still incomplete.
    pub abandon_at: Instant,
    /// When enough running tasks are expected to have ended. Never later than the deadline.
    pub planned_start: Instant,
    /// Worker that holds resources for each task of the gang, as far as found.
    pub held: IndexMap<TaskId, WorkerIndex>,
    /// Tasks that run in held resources or on draining workers.
    pub backfill: IndexMap<TaskId, Backfill>,
    /// When parked jobs were last searched for backfill.
    pub backfill_checked_at: Instant,
}

/// A short task that runs in reserved resources.
#[derive(Clone, Debug)]
pub struct Backfill {
    /// Worker on which the task runs.
    pub worker: WorkerIndex,
    /// Hold from which its resources were taken; `None` on a draining worker.
    pub hold: Option<TaskId>,
}

impl GangReservation {
    /// Whether all resources of every task are held and none are lent to backfill.
    pub fn is_complete(&self) -> bool {
        self.missing() == 0 && self.backfill.values().all(|task| task.hold.is_none())
    }

    /// Number of tasks for which no resources are held yet.
    pub fn missing(&self) -> u32 {
        self.tasks.saturating_sub(self.held.len() as u32)
    }

    /// Whether a task with this run time would end by the planned start; false if it is unknown.
    pub fn admits_backfill(&self, run: Option<Duration>, now: Instant) -> bool {
        let end = run.and_then(|run| now.checked_add(run));
        end.is_some_and(|end| end <= self.planned_start)
    }
}

/// Counters of reservations and of the capacity that they kept idle.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GangCounters {
    /// Reservations begun.
    pub reservations: u64,
    /// Tasks started in reserved resources.
    pub backfilled: u64,
    /// Reservations released without a start of the gang.
    pub abandoned: u64,
    /// Reserved processor time that was idle, in core-seconds.
    pub idle_core_seconds: u64,
}

/// Waiting gangs, and the reservation of one of them.
#[derive(Default)]
pub struct Gangs {
    /// Time limits of reservations.
    pub settings: GangSettings,
    /// The only reservation; `None` if no gang has one.
    pub active: Option<GangReservation>,
    /// Totals since the scheduler was created.
    pub counters: GangCounters,
    /// Sequence number and identifier of each waiting gang.
    waiting: BTreeSet<(u64, JobId)>,
    paused_until: IndexMap<JobId, Instant>,
    idle_core_millis_ms: u128,
    measured_at: Option<Instant>,
}

impl Gangs {
    /// Creates a table without gangs.
    pub fn new(settings: GangSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a gang that did not fit to the waiting gangs.
    pub fn add_waiting(&mut self, seq: u64, job: &JobId) {
        self.waiting.insert((seq, job.clone()));
    }

    /// Removes a gang that started, ended or was cancelled.
    pub fn remove(&mut self, seq: u64, job: &JobId) {
        self.waiting.remove(&(seq, job.clone()));
        self.paused_until.swap_remove(job);
    }

    /// Returns the first waiting gangs in order of arrival.
    pub fn first_waiting(&self, count: usize) -> Vec<JobId> {
        self.waiting
            .iter()
            .take(count)
            .map(|(_, job)| job.clone())
            .collect()
    }

    /// Removes a gang whose sequence number is unknown because its job was removed. The cost grows
    /// with the number of waiting gangs.
    pub fn remove_by_job(&mut self, job: &JobId) {
        self.waiting.retain(|(_, waiting)| waiting != job);
        self.paused_until.swap_remove(job);
    }

    /// Returns the next gang for a reservation: the first to arrive among the examined gangs that
    /// `entitled` accepts, otherwise the first to arrive.
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
            abandon_at: deadline + self.settings.abandon_after,
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
        let until = now + self.settings.abandon_after;
        self.paused_until.insert(reservation.job.clone(), until);
        Some(reservation)
    }

    /// Adds the processor time in `held` that was idle since the last call to the counters.
    pub fn record_idle(&mut self, held: &Resources, now: Instant) {
        let before = self.measured_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(before).as_millis();
        self.idle_core_millis_ms += u128::from(held.cpu_millis) * elapsed;
        self.counters.idle_core_seconds = (self.idle_core_millis_ms / 1_000_000) as u64;
    }
}

/// Returns when a worker that receives no new tasks will have free resources for a task, and for
/// how many tasks they will suffice then. `ends` are the expected ends of its running tasks, without
/// tasks whose end can't be estimated.
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

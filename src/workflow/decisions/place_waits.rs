//! Decides how long a stage waits for a better place: near its data, or for a gang on one rack.
//!
//! Load pattern: many stages name the same rack, so that it is full while other workers have room. A
//! start elsewhere at once takes `remote_factor` times as long, and keeps its worker busy for as long.
//! A wait pays while the rack frees its room sooner than the time that the better place saves.

use std::time::{Duration, Instant};

use super::super::spec::StageSpec;
use super::placing::{self, Candidate};
use super::progress::Progress;
use crate::resources::Resources;

/// Age of the reports of the rack from which on a forecast is stale: a worker reports at least each
/// second, so that one report may be lost.
pub const MAX_FORECAST_AGE: Duration = Duration::from_millis(2_000);
/// Smallest difference of the expected ends that counts: a start on room that becomes free follows
/// the record of the end and the next pass.
const MIN_MARGIN: Duration = Duration::from_millis(100);
/// Divisor of the near run time that yields the difference of the expected ends that counts, since
/// the forecast is as uncertain as the run times.
const MARGIN_DIVISOR: u32 = 10;
/// Time before the latest start at which a wait ends: searches are repeated each 100 ms, by passes
/// that are due each 100 ms.
const START_DELAY: Duration = Duration::from_millis(200);
/// Shortest wait that is worthwhile: the interval of the searches, at which a wait can be ended.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Age at which a task counts by a factor of e less in the demand for a place: bursts last seconds.
const DEMAND_MEMORY: Duration = Duration::from_millis(3_000);
/// Weight of the recent tasks below which there is no demand.
const MIN_DEMAND: f64 = 0.01;
/// Smallest progress from which the speed of a run is derived; reports show whole percents and come
/// up to a second late.
const MIN_MEASURED_PERCENT: u32 = 10;

/// When room near the data, or on one rack, is expected to be free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// Time from which on the room is expected to be free.
    pub free_at: Instant,
    /// Time of the oldest report of a worker that the forecast is based on.
    pub reported_at: Instant,
}

/// A choice between a start away from the better place now and a wait for that place.
#[derive(Clone, Copy, Debug)]
pub struct PlaceChoice {
    /// Time of the decision.
    pub now: Instant,
    /// Time at which the stage began to wait for the place; `now` if it has not.
    pub waiting_since: Instant,
    /// Expected run time at the better place.
    pub near_run: Duration,
    /// Expected run time elsewhere.
    pub remote_run: Duration,
    /// Expected run time of the later stages of the job.
    pub later_work: Duration,
    /// Time until which the job should end.
    pub objective_end: Instant,
    /// Mean time between tasks that ask for the better place; `None` if no others do.
    pub demand_gap: Option<Duration>,
    /// Forecast for the better place; `None` if nothing is known.
    pub forecast: Option<Forecast>,
}

/// Whether a stage starts elsewhere at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The stage starts where there is room now.
    StartNow,
    /// The stage waits for the better place, and starts where there is room at this time at the latest.
    WaitUntil(Instant),
}

impl PlaceChoice {
    /// Expected end of a start elsewhere now.
    pub fn remote_end(&self) -> Instant {
        self.now + self.remote_run
    }

    /// Expected end at the better place; `None` without a forecast.
    pub fn near_end(&self) -> Option<Instant> {
        let forecast = self.forecast?;
        Some(forecast.free_at.max(self.now) + self.near_run)
    }

    /// Longest wait that is worthwhile: the time that the better place saves, in proportion to the part
    /// of a run for which the room would be idle without the wait. Room that the next task would take
    /// soon gains nothing from a wait: that task then starts elsewhere.
    fn longest_wait(&self) -> Duration {
        let saved = self.remote_run.saturating_sub(self.near_run);
        let idle = self.demand_gap.map_or(1.0, |gap| {
            (gap.as_secs_f64() / self.near_run.as_secs_f64()).min(1.0)
        });
        saved.mul_f64(idle)
    }

    /// Latest start that still meets the objective, as seen when the wait began: elsewhere, or at the
    /// better place if a start elsewhere was too late even then. `None` if every start was too late.
    fn latest_start(&self) -> Option<Instant> {
        let latest = |run: Duration| {
            let needed = self.later_work + run + START_DELAY;
            let latest = self.objective_end.checked_sub(needed)?;
            (latest > self.waiting_since).then_some(latest)
        };
        latest(self.remote_run).or_else(|| latest(self.near_run))
    }
}

/// Tasks that recently asked for a place.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Number of tasks, of which the weight decays with their age.
    tasks: f64,
    updated_at: Instant,
}

impl Demand {
    /// Demand of no tasks.
    pub fn new(now: Instant) -> Self {
        Self {
            tasks: 0.0,
            updated_at: now,
        }
    }

    /// Adds tasks that start, at the place or elsewhere.
    pub fn note(&mut self, tasks: usize, now: Instant) {
        self.tasks = self.weight(now) + tasks as f64;
        self.updated_at = now;
    }

    /// Mean time between the tasks; `None` if there were hardly any.
    pub fn mean_gap(&self, now: Instant) -> Option<Duration> {
        let weight = self.weight(now);
        (weight > MIN_DEMAND).then(|| DEMAND_MEMORY.div_f64(weight))
    }

    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.tasks * (-age.as_secs_f64() / DEMAND_MEMORY.as_secs_f64()).exp()
    }
}

/// Decides whether a stage that has room elsewhere now waits for the better place. A wait is never
/// longer than the time that the better place saves, also when the forecast moves on.
pub fn decide(choice: &PlaceChoice) -> Verdict {
    let now = choice.now;
    let (Some(forecast), Some(near_end)) = (choice.forecast, choice.near_end()) else {
        return Verdict::StartNow;
    };
    if now.saturating_duration_since(forecast.reported_at) > MAX_FORECAST_AGE {
        return Verdict::StartNow;
    }
    let margin = (choice.near_run / MARGIN_DIVISOR).max(MIN_MARGIN);
    if near_end + margin >= choice.remote_end() {
        return Verdict::StartNow;
    }
    let Some(latest_start) = choice.latest_start() else {
        return Verdict::StartNow;
    };
    let longest_wait = choice.longest_wait();
    if longest_wait < MIN_WAIT {
        return Verdict::StartNow;
    }
    let deadline = latest_start.min(choice.waiting_since + longest_wait);
    if deadline <= now || forecast.free_at > deadline {
        return Verdict::StartNow;
    }
    Verdict::WaitUntil(deadline)
}

/// A run whose end frees room.
#[derive(Clone, Copy, Debug)]
pub struct RunningTask {
    /// Time at which the run started, as far as the placer knows.
    pub started_at: Instant,
    /// Whether `started_at` is the start itself. It is not for a run that was adopted from an earlier
    /// placer, whose speed cannot be derived from its progress.
    pub start_is_known: bool,
    /// Expected run time on its worker.
    pub run_time: Duration,
    /// Progress that the worker reported; `None` if it reported none.
    pub progress: Option<Progress>,
}

/// Returns the expected end of a run, by the speed of its progress if that is known, otherwise by its
/// declared run time. A run that has outlasted it is expected to take as much longer again.
pub fn expected_end(run: &RunningTask, now: Instant) -> Instant {
    let progress = run.progress.filter(|progress| progress.percent() > 0);
    let end = progress.map_or(run.started_at + run.run_time, |progress| {
        let percent = u32::from(progress.percent()).min(100);
        let elapsed = progress
            .advanced_at()
            .saturating_duration_since(run.started_at);
        let total = if run.start_is_known && percent >= MIN_MEASURED_PERCENT {
            elapsed * 100 / percent
        } else {
            run.run_time
        };
        progress.advanced_at() + total * (100 - percent) / 100
    });
    if end > now {
        return end;
    }
    now + now.saturating_duration_since(end).max(MIN_MARGIN)
}

/// A worker of the rack, with the room that is expected to become free there.
#[derive(Clone, Debug)]
pub struct RackWorker {
    /// Resources that are free now.
    pub free: Resources,
    /// Number of tasks of the stage that are already placed on the worker.
    pub tasks_of_stage: u32,
    /// Time of the latest report of the worker.
    pub reported_at: Instant,
    /// Expected ends of the runs on the worker, with the resources that each frees.
    pub releases: Vec<(Instant, Resources)>,
}

/// Returns when room is expected for each of `wanted` tasks on the workers of a rack, the earliest
/// first, after room for `ahead` such tasks of stages that wait longer. The result is shorter if the
/// known ends do not free room for all.
pub fn forecast_rooms(
    spec: &StageSpec,
    workers: &[RackWorker],
    ahead: usize,
    wanted: usize,
    now: Instant,
) -> Vec<Forecast> {
    let limit = ahead + wanted;
    let room = |worker: &RackWorker, free: Resources| {
        let candidate = Candidate {
            worker: (),
            free,
            rack: "",
            tasks_of_stage: worker.tasks_of_stage,
            slowness: 1.0,
        };
        placing::room(spec, &candidate, limit)
    };
    let mut free: Vec<Resources> = workers.iter().map(|worker| worker.free).collect();
    let mut rooms = vec![0; workers.len()];
    let mut changes: Vec<(Instant, usize, Resources)> = Vec::new();
    for (position, worker) in workers.iter().enumerate() {
        changes.push((now, position, Resources::ZERO));
        let releases = worker.releases.iter();
        changes.extend(releases.map(|&(at, amount)| (at, position, amount)));
    }
    changes.sort_by_key(|&(at, position, _)| (at, position));
    let mut total = 0;
    let mut reported_at: Option<Instant> = None;
    let mut forecasts = Vec::with_capacity(wanted);
    for (at, position, amount) in changes {
        let Some(grown) = free[position].checked_add(&amount) else {
            continue;
        };
        free[position] = grown;
        let gained = room(&workers[position], grown) - rooms[position];
        if gained == 0 {
            continue;
        }
        rooms[position] += gained;
        total += gained;
        let reported = workers[position].reported_at;
        let oldest = reported_at.map_or(reported, |oldest| oldest.min(reported));
        reported_at = Some(oldest);
        while forecasts.len() < wanted && ahead + forecasts.len() < total {
            forecasts.push(Forecast {
                free_at: at,
                reported_at: oldest,
            });
        }
        if forecasts.len() == wanted {
            break;
        }
    }
    forecasts
}

/// Returns the number of tasks of one size whose room an amount of resources takes up, rounded up.
pub fn equivalent_tasks(amount: &Resources, need: &Resources) -> usize {
    let quotient = |amount: u64, need: u64| match need {
        0 => 0,
        _ => amount.div_ceil(need),
    };
    let tasks = quotient(amount.cpu_millis, need.cpu_millis)
        .max(quotient(amount.memory_mib, need.memory_mib))
        .max(quotient(amount.accelerators, need.accelerators));
    usize::try_from(tasks).unwrap_or(usize::MAX)
}

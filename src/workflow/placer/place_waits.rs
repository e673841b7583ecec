//! Waits of stages for room near their data, and of gangs for room on one rack. A waiting stage holds
//! no room. Nothing waits unless the cell has a `remote_factor`.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::decisions::place_waits::{
    self, Demand, Forecast, PlaceChoice, RackWorker, RunningTask, Verdict,
};
use super::super::decisions::placing::Candidate;
use super::super::instruments::instruments;
use super::super::records::Placement;
use super::super::spec::{StageKey, StageSpec};
use super::Now;
use super::isolation::StartLimit;
use super::renewals::millis_since;
use super::search::{EmptyResult, Search};
use super::term::{LiveRun, LiveWorker, RunPhase, Term};
use crate::ids::WorkerId;
use crate::resources::Resources;
use crate::scheduling::ledger::{WorkerIndex, WorkerStatus};

/// Largest number of racks of which the demand is known; jobs can name racks that do not exist.
const MAX_DEMANDED_RACKS: usize = 1_024;

/// Largest number of stages that wait for a place: each decision reads the waits before its own.
const MAX_PLACE_WAITS: usize = 64;

/// A wait of a stage for a better place.
#[derive(Clone, Debug)]
pub struct PlaceWait {
    /// Time at which the stage began to wait.
    pub since: Instant,
    /// Time at which the stage starts where there is room; the wait is over then.
    pub until: Instant,
    /// Rack that the stage waits for.
    pub rack: String,
    /// Number of tasks that wait for the rack.
    pub tasks: usize,
    /// Expected end at the rack.
    pub near_end: Instant,
    /// Expected end of a start elsewhere at the latest decision.
    pub remote_end: Instant,
}

impl Term {
    /// Removes from the chosen positions those away from the better place whose tasks wait for it.
    /// Returns the wait if there are any. For a gang, all positions are removed or none.
    pub(super) fn wait_for_place(
        &self,
        search: &Search,
        candidates: &[Candidate<'_, &WorkerId>],
        chosen: &mut Vec<usize>,
    ) -> Option<PlaceWait> {
        let spec = search.spec;
        let one_rack = spec.gang && spec.prefers_one_rack;
        if spec.data_rack.is_none() && !one_rack {
            return None;
        }
        let factor = self.settings.remote_factor?;
        // Suspects start on workers of their own, whose room no forecast covers.
        if spec.lasting || spec.estimate_ms == 0 || search.limit != StartLimit::None {
            return None;
        }
        let rack_of = |position: &usize| candidates[*position].rack;
        let is_far = |rack: &str| spec.data_rack.as_ref().is_some_and(|near| near != rack);
        let far = chosen.iter().map(rack_of).filter(|rack| is_far(rack));
        let far = far.count();
        let first_rack = chosen.first().map(rack_of);
        let is_split = one_rack && chosen.iter().any(|each| Some(rack_of(each)) != first_rack);
        if far == 0 && !is_split {
            return None;
        }
        let is_full = self.place_waits.len() >= MAX_PLACE_WAITS;
        if is_full && !self.place_waits.contains_key(search.key) {
            return None;
        }
        let racks = self.rack_workers(search, factor);
        if spec.gang {
            let waits = racks.iter().filter_map(|(rack, workers)| {
                self.rack_wait(search, factor, (rack, workers), 0, chosen.len())
            });
            let wait = waits.min_by_key(|wait| wait.near_end)?;
            if wait.tasks < chosen.len() {
                return None;
            }
            chosen.clear();
            return Some(wait);
        }
        let (rack, workers) = racks.first()?;
        let wait = self.rack_wait(search, factor, (rack, workers), chosen.len() - far, far)?;
        // Workers near the data come first in the choice.
        chosen.truncate(chosen.len() - wait.tasks);
        Some(wait)
    }

    /// Returns the wait for a rack if it is worthwhile for any of `tasks` tasks; for a gang, for all of
    /// them. `placed` tasks of the stage get room there now.
    fn rack_wait(
        &self,
        search: &Search,
        factor: f64,
        (rack, workers): (&str, &[RackWorker]),
        placed: usize,
        tasks: usize,
    ) -> Option<PlaceWait> {
        let (now, stage, spec) = (search.now.at, search.stage, search.spec);
        let ahead = self.tasks_ahead(search, rack) + placed;
        let forecasts = place_waits::forecast_rooms(spec, workers, ahead, tasks, now);
        let since = self.place_waits.get(search.key).map(|wait| wait.since);
        let since = since.unwrap_or(now);
        let demand = self.place_demand.get(demanded_rack(spec));
        let demand_gap = demand.and_then(|demand| demand.mean_gap(now));
        let near_run = Duration::from_millis(spec.estimate_ms);
        let choice = |forecast: Option<Forecast>| PlaceChoice {
            now,
            waiting_since: since,
            near_run,
            remote_run: near_run.mul_f64(factor),
            later_work: stage.remaining.saturating_sub(near_run),
            objective_end: stage.due_at + stage.objective,
            demand_gap,
            forecast,
        };
        let mut wait = None;
        // The room for the last member of a gang decides.
        let first = if spec.gang { tasks - 1 } else { 0 };
        for count in first..tasks {
            let choice = choice(forecasts.get(count).copied());
            let Verdict::WaitUntil(until) = place_waits::decide(&choice) else {
                break;
            };
            wait = Some(PlaceWait {
                since,
                until,
                rack: rack.to_owned(),
                tasks: count + 1,
                near_end: choice.near_end()?,
                remote_end: choice.remote_end(),
            });
        }
        wait
    }

    /// Returns the number of tasks of a stage whose room is taken up by the stages that have waited
    /// longer for a rack. Without it, all stages would wait for the same room.
    fn tasks_ahead(&self, search: &Search, rack: &str) -> usize {
        let own = self.place_waits.get_index_of(search.key);
        let mut ahead = Resources::ZERO;
        for (key, wait) in self.place_waits.iter().take(own.unwrap_or(usize::MAX)) {
            if wait.rack != rack || wait.until <= search.now.at {
                continue;
            }
            let Some(stage) = self.stages.get(key) else {
                continue;
            };
            let amount = stage.needs.amount.checked_mul(wait.tasks as u64);
            let sum = amount.and_then(|amount| ahead.checked_add(&amount));
            ahead = sum.unwrap_or(ahead);
        }
        place_waits::equivalent_tasks(&ahead, &search.stage.needs.amount)
    }

    /// Returns the workers that a stage may use in its rack, or in every rack for a gang that names
    /// none, with the room that is expected to become free there.
    fn rack_workers(&self, search: &Search, factor: f64) -> IndexMap<String, Vec<RackWorker>> {
        let mut racks: IndexMap<String, Vec<RackWorker>> = IndexMap::new();
        for (id, worker) in &self.workers {
            let rack = worker.record.rack();
            let other = search.spec.data_rack.as_ref();
            if other.is_some_and(|near| near != rack) {
                continue;
            }
            self.passes.count_examined();
            let Some(entry) = self.rack_worker(search, factor, id, worker) else {
                continue;
            };
            match racks.get_mut(rack) {
                Some(workers) => workers.push(entry),
                None => _ = racks.insert(rack.to_owned(), vec![entry]),
            }
        }
        racks
    }

    fn rack_worker(
        &self,
        search: &Search,
        factor: f64,
        id: &WorkerId,
        worker: &LiveWorker,
    ) -> Option<RackWorker> {
        let (now, spec) = (search.now.at, search.spec);
        let entry = self.ledger.worker(worker.index)?;
        let label = spec.required_label.as_ref();
        if !worker.is_in_service()
            || worker.record.service != search.job.queue.service
            || entry.status != WorkerStatus::Up
            || entry.is_over_allocated()
            || worker.health.is_avoided(now)
            || worker.health.needs_probe(now)
            || label.is_some_and(|label| !worker.record.has_label(label))
            || !self.isolation_allows(search, id)
        {
            return None;
        }
        // Room is of use only while the permit for the worker is.
        let usable_until = if search.job.queue.placement_policy.is_some() {
            Some(search.stage.permits.usable_until(id, now)?)
        } else {
            None
        };
        let mut releases = Vec::new();
        let mut tasks_of_stage = 0;
        for task in &worker.runs {
            tasks_of_stage += u32::from(task.stage == *search.key);
            let Some(run) = self.runs.get(task).filter(|run| run.worker == *id) else {
                continue;
            };
            let job = self.state.jobs.get(&task.stage.job);
            let Some(running) = job.and_then(|job| job.stage_spec(task.stage.stage)) else {
                continue;
            };
            let Some(at) = run_end(run, running, (worker.record.rack(), factor), now) else {
                continue;
            };
            if usable_until.is_none_or(|until| at < until) {
                releases.push((at, running.ledger_amount()));
            }
        }
        Some(RackWorker {
            free: entry.free(),
            tasks_of_stage,
            reported_at: worker.clock?.received_at,
            releases,
        })
    }

    /// Records the wait of a stage, which is decided again at short intervals.
    pub(super) fn note_place_wait(&mut self, key: &StageKey, wait: PlaceWait, now: Now) {
        if !self.place_waits.contains_key(key) {
            let until_ms = |at: Instant| at.saturating_duration_since(now.at).as_millis() as u64;
            log::info!(
                stage:% = key, tasks = wait.tasks, rack = wait.rack.as_str(),
                deadline_in_ms = until_ms(wait.until), near_end_in_ms = until_ms(wait.near_end),
                remote_end_in_ms = until_ms(wait.remote_end);
                "stage waits for room on a rack"
            );
        }
        self.place_waits.insert(key.clone(), wait);
        let result = EmptyResult {
            lacking: 1,
            awaits_caller: false,
            isolated: false,
            awaits_place: true,
        };
        self.record_empty_search(key, result, now);
    }

    /// Ends the wait of a stage that has no room elsewhere any more.
    pub(super) fn end_place_wait(&mut self, key: &StageKey, now: Instant) {
        if let Some(wait) = self.place_waits.get_mut(key) {
            wait.until = wait.until.min(now);
        }
    }

    /// Counts the tasks of a stage that start after a wait.
    pub(super) fn note_place_start(
        &mut self,
        key: &StageKey,
        placements: &[Placement],
        left: usize,
        now: Instant,
    ) {
        if self.settings.remote_factor.is_none() {
            return;
        }
        self.note_place_demand(key, placements.len(), now);
        let Some(wait) = self.place_waits.get(key) else {
            return;
        };
        let rack_of = |placement: &Placement| {
            let worker = self.workers.get(&placement.worker);
            worker.map_or("", |worker| worker.record.rack())
        };
        let job = self.state.jobs.get(&key.job);
        let spec = job.and_then(|job| job.stage_spec(key.stage));
        let gang = spec.is_some_and(|spec| spec.gang);
        // A gang without data may have found room on another rack first.
        let rack = match spec {
            Some(spec) if gang && spec.data_rack.is_none() => placements.first().map(rack_of),
            _ => Some(wait.rack.as_str()),
        };
        let near = placements.iter().map(rack_of);
        let near = near.filter(|each| Some(*each) == rack).count();
        let near = if gang && near < placements.len() {
            0
        } else {
            near
        };
        let remote = if now >= wait.until {
            "remote"
        } else {
            "remote_early"
        };
        log::debug!(
            stage:% = key, near, remote = placements.len() - near,
            waited_ms = millis_since(wait.since, now);
            "tasks placed after a wait for room on a rack"
        );
        for (outcome, tasks) in [("near", near), (remote, placements.len() - near)] {
            if tasks > 0 {
                instruments().count_place_wait(outcome, tasks);
            }
        }
        if left == 0 {
            self.place_waits.shift_remove(key);
        }
    }

    fn note_place_demand(&mut self, key: &StageKey, tasks: usize, now: Instant) {
        let job = self.state.jobs.get(&key.job);
        let Some(spec) = job.and_then(|job| job.stage_spec(key.stage)) else {
            return;
        };
        if spec.data_rack.is_none() && !(spec.gang && spec.prefers_one_rack) {
            return;
        }
        let rack = demanded_rack(spec);
        if let Some(demand) = self.place_demand.get_mut(rack) {
            demand.note(tasks, now);
            return;
        }
        if self.place_demand.len() >= MAX_DEMANDED_RACKS {
            self.place_demand
                .retain(|_, demand| demand.mean_gap(now).is_some());
        }
        if self.place_demand.len() < MAX_DEMANDED_RACKS {
            let mut demand = Demand::new(now);
            demand.note(tasks, now);
            self.place_demand.insert(rack.to_owned(), demand);
        }
    }

    /// Whether a gang whose members have no room now may gather it: one that prefers one rack does so
    /// only in a cell with a `remote_factor`, and not while it waits for a rack.
    pub(super) fn may_gather(&self, key: &StageKey, spec: &StageSpec, now: Instant) -> bool {
        if !spec.prefers_one_rack {
            return true;
        }
        let wait = self.place_waits.get(key);
        self.settings.remote_factor.is_some() && wait.is_none_or(|wait| now >= wait.until)
    }

    /// Returns the rack that a stage waits for; `None` if it does not wait.
    pub(super) fn awaited_rack(&self, key: &StageKey) -> Option<&str> {
        Some(self.place_waits.get(key)?.rack.as_str())
    }

    pub(super) fn is_in_rack(&self, index: WorkerIndex, rack: &str) -> bool {
        let worker = self.worker_at(index);
        worker.is_some_and(|(_, worker)| worker.record.rack() == rack)
    }
}

/// Returns the name under which the demand for the better place of a stage is counted.
fn demanded_rack(spec: &StageSpec) -> &str {
    spec.data_rack.as_deref().unwrap_or("")
}

/// Returns the expected end of a run in a rack; `None` if it has no end, or may not run at all.
fn run_end(
    run: &LiveRun,
    spec: &StageSpec,
    (rack, factor): (&str, f64),
    now: Instant,
) -> Option<Instant> {
    if spec.lasting || !matches!(run.phase, RunPhase::Starting | RunPhase::Running { .. }) {
        return None;
    }
    let near_run = Duration::from_millis(spec.estimate_ms);
    let is_far = spec.data_rack.as_ref().is_some_and(|near| near != rack);
    let running = RunningTask {
        started_at: run.confirmed_at().unwrap_or(run.placed_at),
        start_is_known: run.starts_sent > 0,
        run_time: if is_far {
            near_run.mul_f64(factor)
        } else {
            near_run
        },
        progress: run.progress,
    };
    Some(place_waits::expected_end(&running, now))
}

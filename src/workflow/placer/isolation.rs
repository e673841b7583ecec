//! Starts suspects of crashes where the next crash names them, without holding back other stages.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::super::crashes::{CrashHistory, WorkerCrash};
use super::super::decisions::crash_suspects::{self, Isolation, RECENT_START};
use super::super::decisions::placing::Candidate;
use super::super::spec::{MAX_TASKS, StageKey, TaskIndex, TaskKey};
use super::Now;
use super::search::Search;
use super::term::{LiveRun, RunPhase, Term};
use crate::ids::WorkerId;

/// Time after a crash for which the other tasks of a job wait for the verdict on a suspect.
const VERDICT_WAIT_MS: u64 = 5_000;
/// Time for which a worker receives no new runs so that a suspect can be started there alone.
const HOLD_TIME: Duration = Duration::from_millis(4_000);
/// At most one worker in so many runs an isolated suspect on probation or is down after its crash:
/// most of these suspects crash their worker again, and the others can wait.
const WORKERS_PER_ISOLATED_RUN: usize = 4;
/// At most one worker in so many is held for isolated suspects.
const WORKERS_PER_HOLD: usize = 8;
/// Interval at which the placement policy is asked for a stage with suspects: each answer starts one
/// task, and the other stages need the policy too.
const SUSPECT_QUESTION_INTERVAL: Duration = Duration::from_millis(1_000);

/// Which tasks of a stage may be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartLimit {
    /// All waiting tasks.
    None,
    /// The waiting tasks that are not suspects themselves: a run of the stage was harmless.
    Unsuspected,
    /// Only this task, or its whole gang.
    Isolated(TaskIndex, Isolation),
    /// None until the verdict on another task of the job.
    Waits,
}

impl Term {
    /// Returns which tasks of a stage may be started. While a job has no suspects, all may.
    pub(super) fn start_limit(&self, key: &StageKey, now: Now) -> StartLimit {
        let Some(suspects) = self.state.crashes.suspects.get(&key.job) else {
            return StartLimit::None;
        };
        let Some(stage) = self.stages.get(key) else {
            return StartLimit::Waits;
        };
        let is_harmless = !stage.needs.gang && self.has_harmless_run(key);
        let unsuspected = |task: &TaskIndex| is_unsuspected(suspects, key, *task);
        let isolated = self.limit_by_isolated_suspect(key, suspects, now);
        if isolated != Some(StartLimit::Waits)
            && is_harmless
            && stage.waiting.iter().any(unsuspected)
        {
            return StartLimit::Unsuspected;
        }
        if let Some(limit) = isolated {
            return limit;
        }
        if !stage.needs.gang && !is_harmless && self.has_run_on_probation(key) {
            return StartLimit::Waits;
        }
        let history = |task: &TaskIndex| {
            let index = if stage.needs.gang { 0 } else { *task };
            let history = suspects.get(&task_key(key, index));
            history.map_or(&[][..], Vec::as_slice)
        };
        let waiting = stage.waiting.iter().copied();
        let open =
            waiting.filter(|task| crash_suspects::isolation(history(task)) != Isolation::FromAll);
        let most = open.max_by_key(|task| history(task).len());
        most.map_or(StartLimit::Waits, |task| {
            StartLimit::Isolated(task, Isolation::FromSuspects)
        })
    }

    /// Whether starts on a worker may be held back for a suspect that has to be isolated.
    pub(super) fn holds_back_starts(&self) -> bool {
        !self.crash_watch.holds.is_empty() || !self.crash_watch.isolated_runs.is_empty()
    }

    /// Whether another isolated suspect may be started.
    fn may_isolate(&self, history: &[WorkerCrash]) -> bool {
        let is_blamed = history.iter().any(|crash| crash.blamed);
        let limit = (self.workers.len() / WORKERS_PER_ISOLATED_RUN).max(1);
        !is_blamed || self.crash_watch.isolated_runs.len() < limit
    }

    /// Returns the waiting tasks of a stage that its limit allows to start.
    pub(super) fn startable_tasks(&self, search: &Search) -> Vec<TaskIndex> {
        let waiting = &search.stage.waiting;
        match search.limit {
            StartLimit::Waits => Vec::new(),
            StartLimit::Isolated(task, _) if !search.spec.gang => vec![task],
            StartLimit::Isolated(..) | StartLimit::None => waiting.clone(),
            StartLimit::Unsuspected => {
                let Some(suspects) = self.state.crashes.suspects.get(&search.key.job) else {
                    return waiting.clone();
                };
                let unsuspected = |task: &&TaskIndex| is_unsuspected(suspects, search.key, **task);
                waiting.iter().filter(unsuspected).copied().collect()
            }
        }
    }

    /// Returns the limit that follows from a suspect of the job that has to be isolated, if any: it
    /// is started first, and the other tasks wait for a time.
    fn limit_by_isolated_suspect(
        &self,
        key: &StageKey,
        suspects: &IndexMap<TaskKey, CrashHistory>,
        now: Now,
    ) -> Option<StartLimit> {
        let mut first: Option<(&TaskKey, &CrashHistory)> = None;
        for (task, history) in suspects {
            let isolated = crash_suspects::isolation(history) == Isolation::FromAll;
            if isolated && first.is_none_or(|(_, most)| history.len() > most.len()) {
                first = Some((task, history));
            }
        }
        let (task, history) = first?;
        let waits = self
            .stages
            .get(&task.stage)
            .is_some_and(|stage| stage.waiting.contains(&task.index));
        if task.stage == *key && waits && self.may_isolate(history) {
            // So many workers as a gang needs are rarely without runs on probation.
            let isolation = if self.is_gang(key) {
                Isolation::FromSuspects
            } else {
                Isolation::FromAll
            };
            return Some(StartLimit::Isolated(task.index, isolation));
        }
        let crashed_at = history.last().map_or(0, |crash| crash.at_unix_ms);
        (now.unix_ms < crashed_at + VERDICT_WAIT_MS).then_some(StartLimit::Waits)
    }

    /// Whether a run of the stage succeeded or has gone on without a crash of its worker.
    fn has_harmless_run(&self, key: &StageKey) -> bool {
        let job = self.state.jobs.get(&key.job);
        let stage = job.and_then(|job| job.stage(key));
        stage.is_some_and(|stage| stage.succeeded > 0)
            || self.runs_of_stage(key).any(|run| run.harmless)
    }

    /// Whether a worker that answers has a run of the stage on probation.
    fn has_run_on_probation(&self, key: &StageKey) -> bool {
        let answers = |run: &LiveRun| {
            let worker = self.workers.get(&run.worker);
            worker.is_some_and(|worker| worker.unresponsive_since.is_none())
        };
        self.runs_of_stage(key)
            .any(|run| !run.harmless && answers(run))
    }

    /// Whether the isolation of suspects allows a start of the stage on a worker.
    pub(super) fn isolation_allows(&self, search: &Search, id: &WorkerId) -> bool {
        if self.state.crashes.suspects.is_empty() {
            return true;
        }
        if let Some((stage, _)) = self.crash_watch.holds.get(id)
            && stage != search.key
        {
            return false;
        }
        if self.crash_watch.isolated_workers.contains(id) {
            return false;
        }
        let needs_isolation = matches!(
            search.limit,
            StartLimit::Isolated(_, Isolation::FromAll) | StartLimit::Waits
        );
        !needs_isolation || !self.has_recent_run(search, id)
    }

    /// Whether a worker has a run of another stage that was started recently.
    fn has_recent_run(&self, search: &Search, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        worker.runs.iter().any(|task| {
            self.passes.count_examined_run();
            let is_member = task.stage == *search.key && search.spec.gang;
            let run = self.runs.get(task).filter(|run| !run.harmless);
            !is_member && run.is_some() && self.is_recent(task, search.now)
        })
    }

    /// Returns the workers with a run on probation of a suspect that has to be isolated.
    pub(super) fn isolated_workers(&self) -> IndexSet<WorkerId> {
        let mut isolated = IndexSet::new();
        for suspects in self.state.crashes.suspects.values() {
            for (task, history) in suspects {
                if crash_suspects::isolation(history) != Isolation::FromAll {
                    continue;
                }
                let on_probation = |run: &&LiveRun| !run.harmless;
                if self.is_gang(&task.stage) {
                    let runs = self.runs_of_stage(&task.stage).filter(on_probation);
                    isolated.extend(runs.map(|run| run.worker.clone()));
                } else {
                    let run = self.runs.get(task).filter(on_probation);
                    isolated.extend(run.map(|run| run.worker.clone()));
                }
            }
        }
        isolated
    }

    /// Whether a run was started so recently that a crash of its worker might be attributed to it.
    fn is_recent(&self, task: &TaskKey, now: Now) -> bool {
        let Some(run) = self.runs.get(task) else {
            return false;
        };
        match run.phase {
            RunPhase::Running { confirmed_at } => now.at < confirmed_at + RECENT_START,
            _ => true,
        }
    }

    /// Returns the worker on which a suspect may start: one without other suspects on probation where
    /// possible, and with the fewest runs.
    pub(super) fn least_used_candidate<'a>(
        &'a self,
        search: &Search<'a>,
    ) -> Vec<Candidate<'a, &'a WorkerId>> {
        let candidates = self.usable_candidates(search, MAX_TASKS as usize);
        let neighbours = |candidate: &Candidate<'_, &WorkerId>| {
            let worker = self.workers.get(candidate.worker);
            worker.map_or((0, 0), |worker| {
                let runs = worker.runs.iter();
                let suspects = runs.filter(|task| self.is_on_probation(task));
                (suspects.count(), worker.runs.len())
            })
        };
        let chosen = candidates.into_iter().min_by_key(neighbours);
        chosen.into_iter().collect()
    }

    /// Whether a task is a suspect whose latest run is on probation.
    fn is_on_probation(&self, task: &TaskKey) -> bool {
        self.state.crashes.suspects.contains_key(&task.stage.job)
            && self.runs.get(task).is_some_and(|run| !run.harmless)
            && self.state.crashes.is_suspect(&self.suspect_key(task))
    }

    /// Whether a suspect could start if it did not have to be isolated. The placement policy is not
    /// asked about further workers then.
    pub(super) fn waits_for_isolation(&self, search: &Search) -> bool {
        if !matches!(search.limit, StartLimit::Isolated(_, Isolation::FromAll)) {
            return false;
        }
        let open = Search {
            limit: StartLimit::None,
            ..*search
        };
        !self.usable_candidates(&open, 1).is_empty()
    }

    /// Chooses a worker on which no further run starts until the suspect of the stage can be started
    /// there alone.
    pub(super) fn hold_worker_for(&mut self, key: &StageKey, now: Now) {
        if !self.state.crashes.suspects.contains_key(&key.job) {
            return;
        }
        let Some(mut search) = self.search(key, now) else {
            return;
        };
        if !matches!(search.limit, StartLimit::Isolated(_, Isolation::FromAll)) {
            return;
        }
        let holds = &self.crash_watch.holds;
        let is_held = holds.values().any(|(stage, _)| stage == key);
        if is_held || holds.len() >= (self.workers.len() / WORKERS_PER_HOLD).max(1) {
            return;
        }
        search.limit = StartLimit::None;
        let candidates = self.usable_candidates(&search, MAX_TASKS as usize);
        let runs = |id: &WorkerId| self.workers.get(id).map_or(0, |worker| worker.runs.len());
        let workers = candidates.iter().map(|candidate| candidate.worker);
        let Some(worker) = workers.min_by_key(|id| runs(id)).cloned() else {
            return;
        };
        log::info!(stage:% = key, worker = worker.as_str(), runs = runs(&worker); "worker receives no new runs until a suspect has started there");
        let hold = (key.clone(), now.at + HOLD_TIME);
        self.crash_watch.holds.insert(worker, hold);
    }

    /// Notes that tasks of a stage were started: workers are no longer held for it.
    pub(super) fn note_started(&mut self, key: &StageKey) {
        let Some(suspects) = self.state.crashes.suspects.get(&key.job) else {
            return;
        };
        self.crash_watch.holds.retain(|_, (stage, _)| stage != key);
        for (task, history) in suspects {
            let isolated = crash_suspects::isolation(history) == Isolation::FromAll;
            if task.stage == *key && isolated && self.runs.contains_key(task) {
                self.crash_watch.isolated_runs.insert(task.clone());
            }
        }
        self.crash_watch.isolated_workers = self.isolated_workers();
    }

    /// Forgets isolated runs that have ended or did not crash their worker.
    pub(super) fn drop_ended_isolated_runs(&mut self) {
        let runs = &self.runs;
        let is_open = |task: &TaskKey| runs.get(task).is_some_and(|run| !run.harmless);
        self.crash_watch.isolated_runs.retain(is_open);
    }

    /// Delays the next question to the policy for a stage with suspects.
    pub(super) fn note_question(&mut self, key: &StageKey, now: Now) {
        if !self.state.crashes.suspects.contains_key(&key.job) {
            return;
        }
        if let Some(stage) = self.stages.get_mut(key) {
            stage.next_question_at = now.at + SUSPECT_QUESTION_INTERVAL;
        }
    }
}

fn task_key(stage: &StageKey, index: TaskIndex) -> TaskKey {
    TaskKey {
        stage: stage.clone(),
        index,
    }
}

fn is_unsuspected(
    suspects: &IndexMap<TaskKey, CrashHistory>,
    stage: &StageKey,
    index: TaskIndex,
) -> bool {
    !suspects.contains_key(&task_key(stage, index))
}

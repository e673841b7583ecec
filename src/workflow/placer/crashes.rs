//! Crashes of workers: which tasks may have caused them, which is given up and which are cleared.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::super::calls::CallFailure;
use super::super::crashes::WorkerCrash;
use super::super::decisions::crash_suspects::{self, ExposedRun, PROBATION};
use super::super::instruments::instruments;
use super::super::records::{CrashSuspect, Record};
use super::super::spec::{StageKey, TaskIndex, TaskKey};
use super::super::state::TaskProgress;
use super::Now;
use super::term::{LiveRun, RunPhase, Term};
use crate::ids::{Incarnation, WorkerId};

/// Time after a loss at which its cause is judged: by then the workers that were lost with it are
/// known as well.
const JUDGEMENT_DELAY: Duration = Duration::from_millis(400);
/// Largest difference between the losses of two workers that have one cause.
const COMMON_LOSS_WINDOW: Duration = Duration::from_millis(1_000);
/// Workers lost at the same time from which on a common cause is likelier than as many tasks, and
/// the largest difference between these losses.
const MIN_COMMON_LOSSES: usize = 4;
const SIMULTANEOUS: Duration = Duration::from_millis(100);
/// Time for which losses are kept: longer than a worker takes to restart.
const LOSS_RETENTION: Duration = Duration::from_secs(15);
/// Workers of a rack that are lost together at least when the rack failed as a whole.
const MIN_RACK_WORKERS: usize = 3;

/// What the placer of this term knows about lost workers beyond the committed state.
#[derive(Default)]
pub struct CrashWatch {
    /// Workers that stopped answering or restarted, oldest first.
    losses: VecDeque<WorkerLoss>,
    /// Workers whose process has ended without notice, until the cause is judged.
    pending: IndexMap<WorkerId, Instant>,
    /// Latest incarnation of each worker whose end was judged.
    judged: IndexMap<WorkerId, Incarnation>,
    /// Runs on probation whose worker was silent until its lease expired: whether it crashed shows
    /// when it is back.
    expired: IndexMap<WorkerId, Vec<ExposedRun>>,
    /// Isolated suspects whose run is on probation, or lost with its worker that is not back yet.
    pub(super) isolated_runs: IndexSet<TaskKey>,
    /// Workers with a run on probation of an isolated suspect, as of the latest pass or start of one:
    /// a worker that no longer belongs to them is usable from the next pass on.
    pub(super) isolated_workers: IndexSet<WorkerId>,
    /// Workers that receive only the suspects of one stage, and until when.
    pub(super) holds: IndexMap<WorkerId, (StageKey, Instant)>,
}

struct WorkerLoss {
    worker: WorkerId,
    lost_at: Instant,
}

impl Term {
    /// Returns the key under which a task is suspected: its own, or that of the first member of its
    /// gang.
    pub(super) fn suspect_key(&self, task: &TaskKey) -> TaskKey {
        let index = if self.is_gang(&task.stage) {
            0
        } else {
            task.index
        };
        TaskKey {
            stage: task.stage.clone(),
            index,
        }
    }

    /// Notes that a worker does not answer.
    pub(super) fn note_silence(&mut self, id: &WorkerId, failure: &CallFailure, now: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let lost_at = worker.unresponsive_since.unwrap_or(now);
        if lost_at == now {
            self.crash_watch.add_loss(id, now);
        }
        let is_crash = *failure == CallFailure::PortClosed
            && worker.leaving_until.is_none()
            && !worker.record.draining
            && !self.is_judged(id);
        if is_crash {
            self.crash_watch
                .pending
                .entry(id.clone())
                .or_insert(lost_at);
        }
    }

    /// Notes that a worker that did not answer still runs.
    pub(super) fn note_return(&mut self, id: &WorkerId) {
        let watch = &mut self.crash_watch;
        watch.losses.retain(|loss| loss.worker != *id);
        watch.pending.shift_remove(id);
        watch.expired.shift_remove(id);
    }

    /// Notes that the lease of a worker expires that may have crashed, before its runs end.
    pub(super) fn note_expired_lease(&mut self, id: &WorkerId, now: Now) {
        if self.crash_watch.pending.contains_key(id) {
            self.judge_crash(id, now);
            return;
        }
        let worker = self.workers.get(id);
        let silent_since = worker.and_then(|worker| worker.unresponsive_since);
        let mut exposed = self.exposed_runs(id, silent_since.unwrap_or(now.at));
        if exposed.is_empty() {
            return;
        }
        // Runs whose start order has no outcome end later than the others.
        let known = self.crash_watch.expired.entry(id.clone()).or_default();
        exposed.retain(|run| !known.iter().any(|known| known.is_same_run(run)));
        known.extend(exposed);
    }

    /// Judges the crashes whose delay is over.
    pub(super) fn judge_due_crashes(&mut self, now: Now) {
        self.drop_ended_isolated_runs();
        let watch = &mut self.crash_watch;
        while let Some(loss) = watch.losses.front()
            && now.at >= loss.lost_at + LOSS_RETENTION
        {
            watch.losses.pop_front();
        }
        watch.holds.retain(|_, (_, until)| now.at < *until);
        let pending = watch.pending.iter();
        let due = pending.filter(|(_, lost_at)| now.at >= **lost_at + JUDGEMENT_DELAY);
        let due: Vec<WorkerId> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.judge_crash(&id, now);
        }
    }

    /// Judges the end of an incarnation that gave no notice of it: records the tasks that may have
    /// caused it, and gives up a task that has crashed its workers before.
    pub(super) fn judge_crash(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.leaving_until.is_some() || worker.record.draining || self.is_judged(id) {
            return;
        }
        let incarnation = worker.record.incarnation;
        let rack = worker.record.rack().to_owned();
        let silent_since = worker.unresponsive_since;
        let watch = &mut self.crash_watch;
        watch.judged.insert(id.clone(), incarnation);
        let noticed_at = watch.pending.shift_remove(id).or(silent_since);
        if noticed_at.is_none() {
            watch.add_loss(id, now.at);
        }
        let lost_at = noticed_at.unwrap_or(now.at);
        let mut expired = watch.expired.shift_remove(id).unwrap_or_default();
        let mut exposed = self.exposed_runs(id, lost_at);
        expired.retain(|run| {
            let is_exposed = exposed.iter().any(|other| other.is_same_run(run));
            !is_exposed && !self.is_harmless(&run.suspect)
        });
        exposed.extend(expired);
        let exposed = crash_suspects::likeliest(exposed);
        if exposed.is_empty() {
            return;
        }
        if self.is_rack_lost(&rack, lost_at) {
            log::info!(worker = id.as_str(), incarnation, rack = rack.as_str(), runs = exposed.len(); "worker was lost with its rack; no task is suspected");
            return;
        }
        let losses = self.crash_watch.losses_near(lost_at, SIMULTANEOUS);
        let blamed = crash_suspects::blamed(&exposed).cloned();
        // A gang may crash as many workers as it has members, and with many tasks that crash their
        // workers some crashes coincide.
        let blamed = blamed.filter(|task| {
            losses < MIN_COMMON_LOSSES
                || crash_suspects::is_lone_suspect(&exposed)
                || self.is_gang(&task.stage)
        });
        self.record_crash(id, incarnation, &exposed, blamed.as_ref(), now);
    }

    fn is_judged(&self, id: &WorkerId) -> bool {
        let incarnation = self.workers.get(id).map(|worker| worker.record.incarnation);
        incarnation.is_some() && self.crash_watch.judged.get(id).copied() == incarnation
    }

    /// Whether the latest run of a task did not crash its worker.
    fn is_harmless(&self, task: &TaskKey) -> bool {
        let ended = self.state.task(task);
        ended.is_some_and(|task| task.progress == TaskProgress::Succeeded)
            || self.runs.get(task).is_some_and(|run| run.harmless)
    }

    /// Returns the runs on a worker that may have crashed it: all that may have begun there and were
    /// not listed for the whole probation.
    fn exposed_runs(&self, id: &WorkerId, lost_at: Instant) -> Vec<ExposedRun> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let mut exposed = Vec::new();
        for task in &worker.runs {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            // A run of a former incarnation has not begun on this one as far as it is known.
            let is_former = run.incarnation != worker.record.incarnation;
            if run.harmless || run.was_never_sent() || is_former {
                continue;
            }
            let suspect = self.suspect_key(task);
            let suspected_before = self.state.crashes.is_suspect(&suspect);
            let listed_for = match run.phase {
                RunPhase::Running { confirmed_at } => {
                    lost_at.saturating_duration_since(confirmed_at)
                }
                RunPhase::Unresolved => PROBATION,
                _ if run.confirmed => lost_at.saturating_duration_since(run.placed_at),
                _ => Duration::ZERO,
            };
            exposed.push(ExposedRun {
                suspect,
                run: run.run,
                suspected_before,
                listed_for,
            });
        }
        exposed
    }

    /// Whether all workers of a rack were lost, several of them at about the same time.
    fn is_rack_lost(&self, rack: &str, lost_at: Instant) -> bool {
        let mut lost = 0;
        for (id, worker) in &self.workers {
            if worker.record.rack() != rack || worker.leaving_until.is_some() {
                continue;
            }
            if self.crash_watch.was_lost(id, lost_at) {
                lost += 1;
            } else if worker.unresponsive_since.is_none() {
                return false;
            }
        }
        !rack.is_empty() && lost >= MIN_RACK_WORKERS
    }

    fn record_crash(
        &mut self,
        id: &WorkerId,
        incarnation: Incarnation,
        exposed: &[ExposedRun],
        blamed: Option<&TaskKey>,
        now: Now,
    ) {
        let mut suspects: Vec<CrashSuspect> = Vec::new();
        for run in exposed {
            if !suspects.iter().any(|known| known.task == run.suspect) {
                suspects.push(CrashSuspect {
                    task: run.suspect.clone(),
                    run: run.run,
                    blamed: blamed == Some(&run.suspect),
                    run_ms: run.listed_for.as_millis() as u64,
                });
            }
        }
        self.record(Record::WorkerCrashed {
            worker: id.clone(),
            incarnation,
            at_unix_ms: now.unix_ms,
            suspects: suspects.clone(),
        });
        for suspect in suspects {
            let crashes = self.state.crashes.history(&suspect.task).len();
            log::warn!(
                task:% = suspect.task, run = suspect.run, worker = id.as_str(), incarnation,
                run_ms = suspect.run_ms, runs = exposed.len(), crashes, blamed = suspect.blamed;
                "task is suspected of crashing its worker"
            );
            if crash_suspects::is_abandoned(self.state.crashes.history(&suspect.task)) {
                self.abandon_task(&suspect.task, now);
            }
        }
        self.passes.changed = true;
    }

    /// Fails the job of a task that crashes its workers, and stops its other runs.
    fn abandon_task(&mut self, task: &TaskKey, now: Now) {
        let history = self.state.crashes.history(task);
        log::error!(
            task:% = task, crashes = history.len(), workers = describe_crashes(history);
            "task given up: it crashes the workers that start it"
        );
        self.record(Record::TaskAbandoned {
            task: task.clone(),
            at_unix_ms: now.unix_ms,
        });
        let job = &task.stage.job;
        let Some(phase) = self.state.jobs.get(job).map(|job| job.phase) else {
            return;
        };
        log::info!(job = job.as_str(), phase:% = phase; "job ended");
        instruments().count_job(&phase.to_string());
        self.stop_job(job, now.at);
    }

    /// Notes that a worker lists a run; after the probation the run is harmless.
    pub(super) fn note_listed_run(&mut self, task: &TaskKey, now: Instant) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let RunPhase::Running { confirmed_at } = run.phase else {
            return;
        };
        if run.harmless || now < confirmed_at + PROBATION {
            return;
        }
        run.harmless = true;
        if self.is_gang(&task.stage) && !self.is_gang_harmless(&task.stage) {
            return;
        }
        self.clear_suspect(task);
    }

    fn is_gang_harmless(&self, key: &StageKey) -> bool {
        let is_harmless = |run: &LiveRun| run.harmless;
        self.runs_of_stage(key).all(is_harmless)
    }

    pub(super) fn runs_of_stage<'a>(
        &'a self,
        key: &'a StageKey,
    ) -> impl Iterator<Item = &'a LiveRun> {
        let job = self.state.jobs.get(&key.job);
        let tasks = job.and_then(|job| Some(&job.stage(key)?.tasks));
        let tasks = tasks.into_iter().flatten().enumerate();
        let placed = tasks.filter(|(_, task)| matches!(task.progress, TaskProgress::Placed { .. }));
        placed.filter_map(move |(index, _)| {
            self.runs.get(&TaskKey {
                stage: key.clone(),
                index: index as TaskIndex,
            })
        })
    }

    /// Clears a task whose run went on or ended without a crash of its worker.
    pub(super) fn clear_suspect(&mut self, task: &TaskKey) {
        let suspects = &self.state.crashes.suspects;
        if !suspects.contains_key(&task.stage.job) {
            return;
        }
        self.passes.changed = true;
        let suspect = self.suspect_key(task);
        let crashes = self.state.crashes.history(&suspect).len();
        if crashes == 0 {
            return;
        }
        log::info!(task:% = suspect, crashes; "suspect cleared: its run did not crash the worker");
        self.record(Record::SuspectCleared(suspect));
    }
}

impl CrashWatch {
    fn add_loss(&mut self, id: &WorkerId, lost_at: Instant) {
        self.losses.push_back(WorkerLoss {
            worker: id.clone(),
            lost_at,
        });
    }

    /// Forgets a worker that will not return.
    pub(super) fn forget(&mut self, id: &WorkerId) {
        self.pending.shift_remove(id);
        self.judged.shift_remove(id);
        self.expired.shift_remove(id);
        self.holds.shift_remove(id);
    }

    fn was_lost(&self, id: &WorkerId, at: Instant) -> bool {
        let losses = self.losses.iter();
        let mut losses = losses.filter(|loss| loss.worker == *id);
        losses.any(|loss| loss.is_near(at, COMMON_LOSS_WINDOW))
    }

    /// Number of losses at about the same time.
    fn losses_near(&self, at: Instant, difference: Duration) -> usize {
        let losses = self.losses.iter();
        losses.filter(|loss| loss.is_near(at, difference)).count()
    }
}

impl WorkerLoss {
    fn is_near(&self, at: Instant, difference: Duration) -> bool {
        let later = self.lost_at.saturating_duration_since(at);
        later.max(at.saturating_duration_since(self.lost_at)) <= difference
    }
}

/// Describes crashes in a log line, as `worker at Unix milliseconds`.
fn describe_crashes(history: &[WorkerCrash]) -> String {
    let crashes = history.iter();
    let texts = crashes.map(|crash| format!("{} at {}", crash.worker, crash.at_unix_ms));
    texts.collect::<Vec<_>>().join(", ")
}

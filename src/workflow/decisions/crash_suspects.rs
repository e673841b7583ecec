//! Finds the task that crashes the workers that start it.
//!
//! Load pattern: a task crashes each worker shortly after it was started there, and every other run
//! of the worker ends with it. A run that its worker has listed for [`PROBATION`] did not cause the
//! crash. One crash rarely tells which of the recent runs did, so that each becomes a suspect; a
//! suspect is started away from the others, so that the next crash names it.

use std::time::Duration;

use indexmap::IndexSet;

use super::super::crashes::WorkerCrash;
use super::super::records::RunNumber;
use super::super::spec::TaskKey;

/// Time for which a worker has to list a run until the run is considered harmless.
pub const PROBATION: Duration = Duration::from_millis(1_000);
/// Time before the loss of a worker within which the start of a run makes it a likelier cause than
/// runs that were started earlier.
pub const RECENT_START: Duration = Duration::from_millis(500);
/// Time after its start within which a run that crashes its worker does so: crashes come some 10 ms
/// after the start, and the notice of it takes a few round trips.
const PROMPT_CRASH_MS: u64 = 300;
/// Runs with a prompt crash that is attributed to them after which a task is given up. A worker
/// rarely crashes for another reason so shortly after a start, and twice under one task hardly ever.
const PROMPT_CRASHES_TO_ABANDON: usize = 2;
/// The same for crashes that are either not prompt or not attributed to the task: it was present at
/// each of them and no run cleared it.
const CRASHES_TO_ABANDON: usize = 4;
/// Runs that were lost in a crash after which a suspect is isolated although none is attributed to
/// it.
const LOST_RUNS_TO_ISOLATE: usize = 2;

/// A run that was on a worker when it crashed and was still on probation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExposedRun {
    /// Task of the run; for a gang, its first member.
    pub suspect: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Whether the task is suspected because of an earlier crash.
    pub suspected_before: bool,
    /// Time between the confirmation of the start and the loss of the worker; zero for a start that
    /// was not confirmed, and [`PROBATION`] if the time of the start is not known.
    pub listed_for: Duration,
}

impl ExposedRun {
    /// Whether both are the same run, or members of the same run of a gang.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.suspect == other.suspect && self.run == other.run
    }
}

/// Returns the runs that are the likeliest causes of a crash: those that were started last, if any
/// was started shortly before the worker was lost.
pub fn likeliest(mut runs: Vec<ExposedRun>) -> Vec<ExposedRun> {
    let is_recent = |run: &ExposedRun| run.listed_for < RECENT_START;
    if runs.iter().any(is_recent) {
        runs.retain(is_recent);
    }
    runs
}

/// How far a suspect is kept away from other runs when it is started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Isolation {
    /// No other suspect on probation on the worker where there is a choice.
    FromSuspects,
    /// No other run on the worker that was started within [`RECENT_START`], and no further start
    /// there until the suspect is cleared.
    FromAll,
}

/// Returns the task to which a crash is attributed: the only one with an exposed run, or the only
/// one among them that an earlier crash made a suspect. `None` if several may have caused it.
pub fn blamed(runs: &[ExposedRun]) -> Option<&TaskKey> {
    let tasks: IndexSet<&TaskKey> = runs.iter().map(|run| &run.suspect).collect();
    if tasks.len() == 1 {
        return tasks.first().copied();
    }
    let suspected = runs.iter().filter(|run| run.suspected_before);
    let suspected: IndexSet<&TaskKey> = suspected.map(|run| &run.suspect).collect();
    if suspected.len() == 1 {
        return suspected.first().copied();
    }
    None
}

/// Whether a single run may have caused a crash: that of a task that was suspected before, shortly
/// after its start.
pub fn is_lone_suspect(runs: &[ExposedRun]) -> bool {
    let prompt = Duration::from_millis(PROMPT_CRASH_MS);
    matches!(runs, [run] if run.suspected_before && run.listed_for < prompt)
}

/// How the next run of a suspect is isolated.
pub fn isolation(history: &[WorkerCrash]) -> Isolation {
    if history.len() < LOST_RUNS_TO_ISOLATE && !history.iter().any(|crash| crash.blamed) {
        return Isolation::FromSuspects;
    }
    // After a change of the placer, the age of a run is not known, and all runs of the worker count.
    let probation_ms = PROBATION.as_millis() as u64;
    let counted = history.iter().filter(|crash| crash.run_ms < probation_ms);
    let lost: IndexSet<RunNumber> = counted.map(|crash| crash.run).collect();
    if history.iter().any(|crash| crash.blamed) || lost.len() >= LOST_RUNS_TO_ISOLATE {
        Isolation::FromAll
    } else {
        Isolation::FromSuspects
    }
}

/// Whether a suspect is not started again. A run of a gang may crash several workers and counts
/// once.
pub fn is_abandoned(history: &[WorkerCrash]) -> bool {
    let mut crashed: IndexSet<RunNumber> = IndexSet::new();
    let mut crashed_promptly: IndexSet<RunNumber> = IndexSet::new();
    for crash in history {
        let prompt = crash.run_ms < PROMPT_CRASH_MS;
        if crash.blamed || prompt {
            crashed.insert(crash.run);
        }
        if crash.blamed && prompt {
            crashed_promptly.insert(crash.run);
        }
    }
    crashed_promptly.len() >= PROMPT_CRASHES_TO_ABANDON || crashed.len() >= CRASHES_TO_ABANDON
}

//! Record of the runs of simulated runners, and what it shows of runs that must not exist.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use indexmap::IndexMap;

use super::Runner;

/// A run that was started.
pub struct RecordedRun {
    /// Number of the process that started it.
    pub born: u64,
    pub task: String,
    pub run: u64,
    pub started_at: Instant,
    /// `None` while the run is at work.
    pub ended_at: Option<Instant>,
    /// Whether the run ended as done and this end was acknowledged, while the lease did not lapse.
    pub done_is_noted: bool,
}

/// Runs of all processes of a runner, in the order of their starts.
#[derive(Default)]
pub struct RunRecord(Mutex<Vec<RecordedRun>>);

impl RunRecord {
    pub fn lock(&self) -> MutexGuard<'_, Vec<RecordedRun>> {
        self.0.lock().unwrap()
    }

    pub fn start(&self, born: u64, task: &str, run: u64, at: Instant) {
        self.lock().push(RecordedRun {
            born,
            task: task.to_owned(),
            run,
            started_at: at,
            ended_at: None,
            done_is_noted: false,
        });
    }

    pub fn end(&self, task: &str, run: u64, at: Instant) {
        self.change_latest(task, run, |recorded| {
            recorded.ended_at.get_or_insert(at);
        });
    }

    /// Ends all runs that are at work.
    pub fn end_all(&self, at: Instant) {
        for run in self.lock().iter_mut() {
            run.ended_at.get_or_insert(at);
        }
    }

    pub fn note_done(&self, task: &str, run: u64) {
        self.change_latest(task, run, |recorded| recorded.done_is_noted = true);
    }

    fn change_latest(&self, task: &str, run: u64, change: impl FnOnce(&mut RecordedRun)) {
        let mut runs = self.lock();
        let mut latest = runs.iter_mut().rev();
        if let Some(recorded) = latest.find(|other| other.task == task && other.run == run) {
            change(recorded);
        }
    }
}

/// Task, start and end of the runs of all runners, in the order of their starts.
pub fn recorded_runs(runners: &[&Runner]) -> Vec<(String, Instant, Option<Instant>)> {
    let mut runs = Vec::new();
    for runner in runners {
        let recorded = runner.run_record().lock();
        let recorded = recorded.iter();
        runs.extend(recorded.map(|run| (run.task.clone(), run.started_at, run.ended_at)));
    }
    runs.sort_by_key(|(_, started_at, _)| *started_at);
    runs
}

/// Number of runs that started on one of the runners while another run of the same task was at work
/// on any of them.
pub fn overlaps(runners: &[&Runner]) -> usize {
    let runs = recorded_runs(runners);
    let at_work = |position: usize| {
        let (task, started_at, _) = &runs[position];
        runs[..position].iter().any(|(other, _, ended_at)| {
            other == task && ended_at.is_none_or(|ended_at| ended_at > *started_at)
        })
    };
    (0..runs.len())
        .filter(|position| at_work(*position))
        .count()
}

/// Tasks and numbers of the runs that started after another run of the task had ended as done, if that
/// end was acknowledged while the lease of its worker did not lapse.
pub fn repeats(runners: &[&Runner]) -> Vec<(String, u64)> {
    let mut done: IndexMap<String, Instant> = IndexMap::new();
    let recorded: Vec<_> = runners.iter().map(|it| it.run_record().lock()).collect();
    for run in recorded.iter().flat_map(|runs| runs.iter()) {
        if let Some(ended_at) = run.ended_at.filter(|_| run.done_is_noted) {
            let first = done.entry(run.task.clone()).or_insert(ended_at);
            *first = ended_at.min(*first);
        }
    }
    let runs = recorded.iter().flat_map(|runs| runs.iter());
    runs.filter(|run| done.get(&run.task).is_some_and(|at| *at < run.started_at))
        .map(|run| (run.task.clone(), run.run))
        .collect()
}

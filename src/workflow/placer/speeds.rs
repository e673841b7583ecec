//! Compares the workers of each completed stage by the run times on them.

use super::super::calls::ListedEnd;
use super::super::decisions::worker_speed;
use super::super::records::RunOutcome;
use super::super::spec::StageKey;
use super::Now;
use super::term::Term;

impl Term {
    /// Notes the run time of a task that succeeded in its first run, to compare the workers of its
    /// stage. Later runs may have resumed from a checkpoint.
    pub(super) fn note_run_time(&mut self, end: &ListedEnd, now: Now) {
        if end.outcome != RunOutcome::Succeeded || end.run.run != 1 {
            return;
        }
        let key = &end.run.task.stage;
        let job = self.state.jobs.get(&key.job);
        let spec = job.and_then(|job| job.stage_spec(key.stage));
        // Tasks away from their data take longer on any worker.
        if spec.is_none_or(|spec| spec.data_rack.is_some()) {
            return;
        }
        // The start of a run that was adopted from an earlier placer is not known.
        let run = self.runs.get(&end.run.task);
        let run = run.filter(|run| run.starts_sent > 0);
        let Some((run, confirmed_at)) = run.and_then(|run| Some((run, run.confirmed_at()?))) else {
            return;
        };
        let Some(stage) = self.stages.get_mut(&end.run.task.stage) else {
            return;
        };
        if !stage.needs.gang {
            let run_ms = now.at.saturating_duration_since(confirmed_at).as_millis();
            let run_ms = u64::try_from(run_ms).unwrap_or(u64::MAX);
            stage.run_times_ms.push((run.worker.clone(), run_ms));
        }
    }

    /// Compares the workers of a completed stage.
    pub(super) fn compare_workers(&mut self, key: &StageKey) {
        let Some(stage) = self.stages.get(key) else {
            return;
        };
        let run_times_ms: Vec<u64> = stage
            .run_times_ms
            .iter()
            .map(|(_, run_ms)| *run_ms)
            .collect();
        let Some(differences) = worker_speed::differences(&run_times_ms) else {
            return;
        };
        for ((worker, _), difference) in stage.run_times_ms.iter().zip(differences) {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.speed.record(difference);
            }
        }
    }
}

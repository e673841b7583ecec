//! Links to workers: renewing their leases and reading their lists.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, bounded};

use super::super::calls::{
    CallFailure, ListedEnd, ListedRun, RenewOrder, WorkerReport, WorkerTarget,
};
use super::super::decisions::leases::ClockReading;
use super::super::decisions::progress::{Progress, RESTARTED_RUN_TIME};
use super::super::records::{RunNumber, RunOutcome};
use super::super::spec::TaskKey;
use super::term::{Effect, OrderKind, RunPhase, Term};
use super::{Now, Placer};
use crate::ids::{Epoch, WorkerId};
use crate::scheduling::ledger::WorkerStatus;

/// How long a worker may wait for an end before it answers a renewal.
const RENEWAL_WAIT: Duration = Duration::from_millis(1_000);
/// Time for an answer beyond the wait: a round trip between regions and the worker's own delay.
const RENEWAL_GRACE: Duration = Duration::from_millis(600);
/// Pause after a renewal without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest wait of a link for the commit of ends before it renews the lease without them.
const COMMIT_WAIT: Duration = Duration::from_millis(700);

/// A renewal that is due.
pub(super) struct Renewal {
    target: WorkerTarget,
    order: RenewOrder,
    sent_at: Instant,
}

/// What a link does next.
pub(super) enum NextStep {
    /// Renews at once.
    Renew,
    /// Renews once the ends are recorded.
    AwaitCommit(Receiver<()>),
    /// Renews after a pause.
    Pause,
}

impl Placer {
    /// Serves one worker until the term ends or the worker is gone.
    pub(super) fn run_link(self: &Arc<Self>, worker: &WorkerId, generation: Epoch) {
        let mut wait = Duration::ZERO;
        loop {
            let renewal = self.with_term(Some(generation), |term, now| {
                term.next_renewal(worker, wait, now)
            });
            let Some(renewal) = renewal.flatten() else {
                return;
            };
            let deadline = renewal.sent_at + wait + RENEWAL_GRACE;
            let result = (self.outside.renew)(&renewal.target, &renewal.order, deadline);
            let next = self.with_term(Some(generation), |term, now| match result {
                Ok(report) => term.note_report(worker, &renewal, report, now),
                Err(failure) => term.note_silence(worker, &renewal, &failure, now),
            });
            match next {
                None => return,
                Some(NextStep::Renew) => wait = RENEWAL_WAIT,
                Some(NextStep::AwaitCommit(signal)) => {
                    wait = RENEWAL_WAIT;
                    let _ = signal.recv_timeout(COMMIT_WAIT);
                }
                Some(NextStep::Pause) => {
                    wait = Duration::ZERO;
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }
}

impl Term {
    /// The next renewal of a worker's lease; `None` when the worker is gone or has another link.
    pub(super) fn next_renewal(
        &mut self,
        worker: &WorkerId,
        wait: Duration,
        now: Now,
    ) -> Option<Renewal> {
        let epoch = self.epoch;
        let granted = self.grant_lease(worker, now.at);
        let live = self.workers.get(worker)?;
        let lease_until_clock_ms = granted.filter(|_| live.silent_since.is_none());
        if live.link_generation != epoch {
            return None;
        }
        Some(Renewal {
            target: target(live),
            order: RenewOrder {
                fence: epoch,
                lease_until_clock_ms,
                recorded_ends: live.recorded_ends,
                wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
            },
            sent_at: now.at,
        })
    }

    /// End of a lease that begins now, on the worker's clock; remembered as granted. A worker that
    /// does not answer gets no longer lease, so that its lease lapses. `None` while the clock is
    /// not known.
    pub(super) fn grant_lease(&mut self, worker: &WorkerId, now: Instant) -> Option<u64> {
        let lease_ms = u64::try_from(self.settings.lease.as_millis()).unwrap_or(0);
        let live = self.workers.get_mut(worker)?;
        let until = live.clock.as_ref()?.at_least_ms(now) + lease_ms;
        if live.silent_since.is_none() {
            live.granted_until_clock_ms = live.granted_until_clock_ms.max(until);
        }
        Some(live.granted_until_clock_ms)
    }

    pub(super) fn note_clock(&mut self, worker: &WorkerId, clock_ms: Option<u64>, now: Instant) {
        let (Some(clock_ms), Some(live)) = (clock_ms, self.workers.get_mut(worker)) else {
            return;
        };
        live.clock = Some(ClockReading {
            clock_ms,
            received_at: now,
        });
    }

    pub(super) fn note_silence(
        &mut self,
        worker: &WorkerId,
        renewal: &Renewal,
        failure: &CallFailure,
        now: Now,
    ) -> NextStep {
        let Some(live) = self.workers.get_mut(worker) else {
            return NextStep::Pause;
        };
        if live.record.incarnation != renewal.target.incarnation {
            return NextStep::Pause;
        }
        if live.reachable || live.silent_since.is_none() {
            log::warn!(
                worker = worker.as_str(), incarnation = live.record.incarnation,
                runs = live.runs.len();
                "worker lost: {failure}; it gets no new runs"
            );
        }
        live.reachable = false;
        live.silent_since.get_or_insert(renewal.sent_at);
        let (index, leaving) = (live.index, live.leaving);
        self.ledger.set_status(index, WorkerStatus::Lost);
        if leaving && *failure == CallFailure::PortClosed {
            self.remove_worker(worker, now);
        }
        NextStep::Pause
    }

    pub(super) fn note_report(
        &mut self,
        worker: &WorkerId,
        renewal: &Renewal,
        report: WorkerReport,
        now: Now,
    ) -> NextStep {
        let Some(live) = self.workers.get_mut(worker) else {
            return NextStep::Pause;
        };
        let incarnation = live.record.incarnation;
        if incarnation != renewal.target.incarnation || report.incarnation != incarnation {
            return NextStep::Pause;
        }
        if !live.reachable {
            log::info!(worker = worker.as_str(), incarnation, running = report.running.len(); "worker answers");
        }
        live.reachable = true;
        live.silent_since = None;
        let (index, ends) = (live.index, live.record.draining || live.leaving);
        let status = if ends {
            WorkerStatus::Leaving
        } else {
            WorkerStatus::Up
        };
        self.ledger.set_status(index, status);
        let seen_before = live.seen_ends;
        self.note_clock(worker, Some(report.clock_ms), now.at);
        self.note_ends(worker, &report.ends, now);
        self.note_running(worker, &report.running, now.at);
        self.note_stalls(worker, now.at);
        if report.complete {
            self.note_absent(worker, renewal.sent_at, &report, now);
        }
        self.await_commit(worker, incarnation, seen_before)
    }

    /// Waits while ends of this or an earlier report are not recorded yet.
    fn await_commit(&mut self, worker: &WorkerId, incarnation: u64, seen_before: u64) -> NextStep {
        let Some(live) = self.workers.get_mut(worker) else {
            return NextStep::Pause;
        };
        if live.seen_ends <= live.recorded_ends {
            return NextStep::Renew;
        }
        let (sender, receiver) = bounded(1);
        live.recorded_signal = Some(sender);
        // Ends of an earlier report have their own effect, which waits for their commit.
        if live.seen_ends > seen_before {
            self.effects.push(Effect::EndsRecorded {
                worker: worker.clone(),
                incarnation,
                through: live.seen_ends,
            });
        }
        NextStep::AwaitCommit(receiver)
    }

    /// Ends up to a number are committed.
    pub(super) fn note_recorded_ends(&mut self, worker: &WorkerId, incarnation: u64, through: u64) {
        let Some(live) = self.workers.get_mut(worker) else {
            return;
        };
        if live.record.incarnation != incarnation {
            return;
        }
        live.recorded_ends = live.recorded_ends.max(through);
        if let Some(signal) = live.recorded_signal.take() {
            let _ = signal.try_send(());
        }
    }

    fn note_ends(&mut self, worker: &WorkerId, ends: &[ListedEnd], now: Now) {
        for end in ends {
            let Some(live) = self.workers.get_mut(worker) else {
                return;
            };
            if end.number <= live.seen_ends {
                continue;
            }
            live.seen_ends = end.number;
            let current = self.runs.get(&end.run.task);
            let matches = current
                .is_some_and(|current| current.run == end.run.run && current.worker == *worker);
            if !matches {
                log::info!(
                    task:% = end.run.task, run = end.run.run, worker = worker.as_str(),
                    outcome:% = end.outcome;
                    "end of a run that is not the latest ignored"
                );
                continue;
            }
            self.judge_worker(worker, end, now);
            if matches!(end.outcome, RunOutcome::GangIncomplete) {
                log::error!(task:% = end.run.task, run = end.run.run, worker = worker.as_str(); "a gang did not start in time");
            }
            self.finish_run(&end.run.task, end.outcome, end.run.checkpoint.clone(), now);
        }
    }

    /// Learns from an end how sound the worker is.
    fn judge_worker(&mut self, worker: &WorkerId, end: &ListedEnd, now: Now) {
        let Some(run) = self.runs.get(&end.run.task) else {
            return;
        };
        let took = now.at.saturating_duration_since(run.placed_at);
        let job = self.state.jobs.get(&end.run.task.stage.job);
        let spec = job.and_then(|job| job.stage_spec(end.run.task.stage.stage));
        let expected = spec.map_or(Duration::ZERO, |spec| {
            Duration::from_millis(spec.estimate_ms)
        });
        let Some(live) = self.workers.get_mut(worker) else {
            return;
        };
        match end.outcome {
            RunOutcome::Succeeded => live.health.record_success(took, expected),
            RunOutcome::Failed => {
                live.health.record_failure(now.at);
                if live.health.is_avoided(now.at) {
                    log::warn!(worker = worker.as_str(), task:% = end.run.task; "worker is left out after repeated failures");
                }
            }
            _ => {}
        }
    }

    fn note_running(&mut self, worker: &WorkerId, running: &[ListedRun], now: Instant) {
        let mut strays = Vec::new();
        for listed in running {
            let current = self.runs.get_mut(&listed.task);
            let current = current.filter(|run| run.run == listed.run && run.worker == *worker);
            let Some(run) = current else {
                strays.push((listed.task.clone(), listed.run));
                continue;
            };
            run.confirm(now);
            if let Some(percent) = listed.progress_percent {
                run.progress
                    .get_or_insert(Progress::new(percent, now))
                    .note(percent, now);
            }
        }
        for (task, run) in strays {
            self.stop_stray(worker, task, run, now);
        }
        self.stop_adopted_runs_of_ended_jobs(worker, now);
    }

    /// Leaves out a worker whose runs stand still, and starts short ones again elsewhere.
    fn note_stalls(&mut self, worker: &WorkerId, now: Instant) {
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        let mut still = Vec::new();
        for task in &live.runs {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            let job = self.state.jobs.get(&task.stage.job);
            let Some(spec) = job.and_then(|job| job.stage_spec(task.stage.stage)) else {
                continue;
            };
            let (RunPhase::Running { .. }, Some(progress)) = (run.phase, &run.progress) else {
                continue;
            };
            let run_time = Duration::from_millis(spec.estimate_ms);
            // A member of a gang stands still when the worker of another one does; lasting tasks
            // have no end to work towards.
            if !spec.lasting && !spec.gang && progress.stands_still(run_time, now) {
                still.push((task.clone(), run_time <= RESTARTED_RUN_TIME));
            }
        }
        if still.is_empty() {
            return;
        }
        let runs = live.runs.len();
        if let Some(live) = self.workers.get_mut(worker)
            && live.health.record_stall(now)
        {
            log::warn!(worker = worker.as_str(), still = still.len(), runs; "runs stand still; the worker gets no new ones");
        }
        for (task, restart) in still {
            if restart {
                self.stop_run(&task, now);
            }
        }
    }

    /// Stops a run that nobody wants: a start order that was carried out late.
    fn stop_stray(&mut self, worker: &WorkerId, task: TaskKey, run: RunNumber, now: Instant) {
        let key = (task.clone(), run);
        if self.stray_stops.contains_key(&key) {
            return;
        }
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        let incarnation = live.record.incarnation;
        log::warn!(task:% = task, run, worker = worker.as_str(); "stopping a run that is not wanted");
        self.stray_stops.insert(key, now);
        self.push_order(task, run, (worker.clone(), incarnation), OrderKind::Stop);
    }

    fn stop_adopted_runs_of_ended_jobs(&mut self, worker: &WorkerId, now: Instant) {
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        let is_over = |task: &TaskKey| {
            let job = self.state.jobs.get(&task.stage.job);
            job.is_none_or(|job| !job.is_open())
        };
        let over = live.runs.iter().filter(|task| is_over(task));
        let over: Vec<TaskKey> = over.cloned().collect();
        for task in over {
            self.stop_run(&task, now);
        }
    }

    /// Ends runs that the worker, asked after their last order, neither runs nor lists as ended.
    fn note_absent(
        &mut self,
        worker: &WorkerId,
        sent_at: Instant,
        report: &WorkerReport,
        now: Now,
    ) {
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        let mut absent = Vec::new();
        for task in &live.runs {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            let listed = report
                .running
                .iter()
                .any(|listed| listed.task == *task && listed.run == run.run);
            if listed {
                continue;
            }
            let outcome = match run.phase {
                // The fencing token of this term reached the worker before it answered.
                RunPhase::Unresolved => RunOutcome::NeverStarted,
                RunPhase::Running { confirmed_at } if confirmed_at < sent_at => RunOutcome::Lost,
                RunPhase::Stopping {
                    confirmed_at: Some(confirmed_at),
                    ..
                } if confirmed_at < sent_at => RunOutcome::NeverStarted,
                _ => continue,
            };
            absent.push((task.clone(), outcome));
        }
        for (task, outcome) in absent {
            self.finish_run(&task, outcome, String::new(), now);
        }
    }
}

/// Address of a worker's present incarnation.
pub(super) fn target(live: &super::term::LiveWorker) -> WorkerTarget {
    WorkerTarget {
        worker: live.record.id.clone(),
        incarnation: live.record.incarnation,
        address: live.record.address.clone(),
    }
}

//! Handles the reports of relays: the lists of running and ended runs with which workers answer
//! renewals, and the outcomes of orders.

use std::time::{Duration, Instant};

use super::super::calls::{CallFailure, ListedEnd, ListedRun, WorkerReport, WorkerTarget};
use super::super::decisions::progress::{Progress, RESTARTED_RUN_TIME};
use super::super::records::{RunNumber, RunOutcome};
use super::super::relay::messages::{RelayEvent, RelayEventKind};
use super::super::spec::TaskKey;
use super::Now;
use super::orders::OrderedRun;
use super::term::{Effect, OrderKind, RunPhase, Term};
use crate::ids::{HostId, Incarnation, WorkerId};
use crate::scheduling::ledger::WorkerStatus;

impl Term {
    pub(super) fn handle_relay_event(&mut self, relay: &HostId, event: RelayEvent, now: Now) {
        let RelayEvent {
            worker,
            incarnation,
            kind,
        } = event;
        let run_of = |task, run| OrderedRun {
            task,
            run,
            worker: &worker,
        };
        let Some(live) = self.workers.get(&worker) else {
            return;
        };
        // The clock and the numbers of ends start anew with each incarnation.
        if live.record.incarnation != incarnation {
            return;
        }
        // A former relay may still report on the worker.
        let current = live.relay.as_ref() == Some(relay);
        match kind {
            RelayEventKind::StartAnswered {
                task,
                run,
                answer,
                earlier_attempt_open,
            } => {
                let is_known = self.handle_start_answer(&run_of(&task, run), answer, now);
                if is_known && answer.clock_ms.is_some() {
                    self.settle_start(&run_of(&task, run), earlier_attempt_open, now.at);
                }
            }
            RelayEventKind::StartUnanswered {
                task,
                run,
                may_have_arrived,
            } => self.handle_unanswered_start(&run_of(&task, run), may_have_arrived, now),
            RelayEventKind::StopAnswered { task, run, answer } => {
                self.handle_stop_answer(&run_of(&task, run), answer, now);
            }
            RelayEventKind::Listed {
                granted_at_ms,
                report,
                outdated_generation,
            } if current => {
                let asked_at = self.began_at + Duration::from_millis(granted_at_ms);
                self.handle_report(&worker, asked_at, &report, now);
                if let Some(generation) = outdated_generation {
                    self.raise_token(&worker, generation);
                }
            }
            RelayEventKind::Silent { failure } if current => {
                self.handle_no_answer(&worker, incarnation, &failure, now);
            }
            RelayEventKind::Listed { .. } | RelayEventKind::Silent { .. } => {}
        }
    }

    pub(super) fn handle_no_answer(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        failure: &CallFailure,
        now: Now,
    ) {
        let Some(live) = self.workers.get_mut(worker) else {
            return;
        };
        if live.record.incarnation != incarnation {
            return;
        }
        if live.reachable || live.unresponsive_since.is_none() {
            let lease = live.lease_end(self.settings.max_lease);
            log::warn!(
                worker = worker.as_str(), incarnation = live.record.incarnation,
                runs = live.runs.len(),
                lease_ends_in_ms = -ms_ago(lease.expires_at, now.at), lease_basis:% = lease.basis,
                clock_read_ms_ago:? = live.clock_age_ms(now.at);
                "worker lost: {failure}; it receives no new runs"
            );
        }
        live.steps_without_report = 0;
        live.reachable = false;
        live.unresponsive_since.get_or_insert(now.at);
        let (index, leaving) = (live.index, live.leaving_until.is_some());
        self.ledger.set_status(index, WorkerStatus::Lost);
        self.note_silence(worker, failure, now.at);
        match failure {
            CallFailure::PortClosed if leaving => self.remove_departed_worker(worker, now),
            CallFailure::OtherIncarnation => self.handle_ended_incarnation(worker, now),
            _ => {}
        }
    }

    /// Handles the answer to a renewal that was sent after `asked_at`.
    pub(super) fn handle_report(
        &mut self,
        worker: &WorkerId,
        asked_at: Instant,
        report: &WorkerReport,
        now: Now,
    ) {
        let Some(live) = self.workers.get_mut(worker) else {
            return;
        };
        let incarnation = live.record.incarnation;
        if report.incarnation != incarnation {
            return;
        }
        let needs_lease = live.clock.is_none() || live.unresponsive_since.is_some();
        if !live.reachable {
            log::info!(worker = worker.as_str(), incarnation, running = report.running.len(); "worker is reachable");
        }
        live.steps_without_report = 0;
        live.ended = false;
        let first_answer = live.clock.is_none();
        let record = first_answer.then(|| live.record.clone());
        live.reachable = true;
        let was_silent = live.unresponsive_since.take().is_some();
        live.failed_relays.clear();
        if live.leaving_until.is_some_and(|until| asked_at > until) {
            log::info!(worker = worker.as_str(), incarnation; "worker still answers: its former incarnation left");
            live.leaving_until = None;
        }
        let leaves = live.record.draining || live.leaving_until.is_some();
        let index = live.index;
        let status = if leaves {
            WorkerStatus::Leaving
        } else if self.state.outdated_workers.contains(worker) {
            // It accepts runs from its next heartbeat on.
            WorkerStatus::Lost
        } else {
            WorkerStatus::Up
        };
        self.ledger.set_status(index, status);
        let seen_before = live.seen_ends;
        if was_silent {
            self.note_return(worker);
        }
        self.record_clock(worker, report.clock_ms, now.at);
        self.refute_claim(worker, asked_at);
        self.settle_earlier_starts(worker, asked_at);
        if let Some(record) = record {
            self.remove_predecessors(&record, now);
        }
        self.handle_ends(worker, &report.ends, now);
        self.confirm_running(worker, &report.running, now.at);
        self.handle_stalled_runs(worker, now.at);
        if report.complete {
            self.end_missing_runs(worker, asked_at, report, now);
        }
        self.acknowledge_ends(worker, seen_before);
        if needs_lease {
            self.due_grants.insert(worker.clone());
        }
    }

    /// Acknowledges the new ends of a report to the worker once they are committed. Each grant
    /// repeats the latest acknowledgement.
    fn acknowledge_ends(&mut self, worker: &WorkerId, seen_before: u64) {
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        // Ends of an earlier report have an effect of their own, which waits for their commit.
        if live.seen_ends > seen_before {
            self.effects.push(Effect::EndsRecorded {
                worker: worker.clone(),
                incarnation: live.record.incarnation,
                through: live.seen_ends,
            });
        }
    }

    /// Records that the ends up to a number are committed, and acknowledges them with the next
    /// grant.
    pub(super) fn record_committed_ends(
        &mut self,
        worker: &WorkerId,
        incarnation: u64,
        through: u64,
    ) {
        let Some(live) = self.workers.get_mut(worker) else {
            return;
        };
        if live.record.incarnation != incarnation {
            return;
        }
        live.recorded_ends = live.recorded_ends.max(through);
        self.due_grants.insert(worker.clone());
    }

    fn handle_ends(&mut self, worker: &WorkerId, ends: &[ListedEnd], now: Now) {
        for end in ends {
            let Some(live) = self.workers.get_mut(worker) else {
                return;
            };
            if end.number <= live.seen_ends {
                continue;
            }
            // An earlier placer may have acknowledged ends of an incarnation that it knew.
            let first_is_known = live.seen_ends > 0 || live.generation > 0;
            if first_is_known && end.number > live.seen_ends + 1 {
                log::error!(
                    worker = worker.as_str(), incarnation = live.record.incarnation,
                    number = end.number, seen = live.seen_ends;
                    "ends are missing in the list of a worker: another call acknowledged them"
                );
            }
            live.seen_ends = end.number;
            let current = self.runs.get(&end.run.task);
            let matches = current
                .is_some_and(|current| current.run == end.run.run && current.worker == *worker);
            if !matches {
                let incarnation = live.record.incarnation;
                self.handle_former_end(worker, incarnation, end, now);
                continue;
            }
            self.update_worker_health(worker, end, now);
            self.note_run_time(end, now);
            if matches!(end.outcome, RunOutcome::GangIncomplete) {
                log::error!(task:% = end.run.task, run = end.run.run, worker = worker.as_str(); "a gang did not start in time");
            }
            if end.outcome == RunOutcome::Succeeded || end.outcome == RunOutcome::Failed {
                self.clear_suspect(&end.run.task);
            }
            self.finish_run(&end.run.task, end.outcome, end.run.checkpoint.clone(), now);
        }
    }

    /// Updates the health of the worker from the end of a run.
    fn update_worker_health(&mut self, worker: &WorkerId, end: &ListedEnd, now: Now) {
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

    fn confirm_running(&mut self, worker: &WorkerId, running: &[ListedRun], now: Instant) {
        let Some(incarnation) = self.workers.get(worker).map(|live| live.record.incarnation) else {
            return;
        };
        let mut unexpected = Vec::new();
        let mut on_probation = Vec::new();
        for listed in running {
            let current = self.runs.get_mut(&listed.task);
            let current = current.filter(|run| run.run == listed.run && run.worker == *worker);
            let Some(run) = current else {
                unexpected.push((listed.task.clone(), listed.run));
                continue;
            };
            run.confirm(now);
            run.incarnation = incarnation;
            // A worker accepts only permits that are for its own incarnation.
            run.start_is_settled |= run.has_permit;
            if !run.harmless {
                on_probation.push(listed.task.clone());
            }
            if let Some(percent) = listed.progress_percent {
                run.progress
                    .get_or_insert(Progress::new(percent, now))
                    .note(percent, now);
            }
        }
        for task in on_probation {
            self.note_listed_run(&task, now);
        }
        for (task, run) in unexpected {
            self.stop_unexpected_run(worker, task, run, now);
        }
        self.stop_runs_of_ended_jobs(worker, now);
    }

    /// Avoids a worker whose runs make no progress, and stops its short runs so that they are
    /// placed elsewhere.
    fn handle_stalled_runs(&mut self, worker: &WorkerId, now: Instant) {
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        let mut stalled = Vec::new();
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
            // A member of a gang also stalls when the worker of another member does; lasting tasks
            // have no end to progress towards.
            if !spec.lasting && !spec.gang && progress.is_stalled(run_time, now) {
                stalled.push((task.clone(), run_time <= RESTARTED_RUN_TIME));
            }
        }
        if stalled.is_empty() {
            return;
        }
        let runs = live.runs.len();
        if let Some(live) = self.workers.get_mut(worker)
            && live.health.record_stall(now)
        {
            log::warn!(worker = worker.as_str(), still = stalled.len(), runs; "runs stand still; the worker gets no new ones");
        }
        for (task, restart) in stalled {
            if restart {
                self.stop_run(&task, now);
            }
        }
    }

    /// Stops a run that the state does not contain, as after a start order that was executed late.
    fn stop_unexpected_run(
        &mut self,
        worker: &WorkerId,
        task: TaskKey,
        run: RunNumber,
        now: Instant,
    ) {
        let key = (task.clone(), run);
        if self.unexpected_run_stops.contains_key(&key) {
            return;
        }
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        let incarnation = live.record.incarnation;
        log::warn!(task:% = task, run, worker = worker.as_str(); "stopping an unexpected run");
        self.unexpected_run_stops.insert(key, now);
        self.push_order(task, run, (worker.clone(), incarnation), OrderKind::Stop);
    }

    fn stop_runs_of_ended_jobs(&mut self, worker: &WorkerId, now: Instant) {
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        let has_ended = |task: &TaskKey| {
            let job = self.state.jobs.get(&task.stage.job);
            job.is_none_or(|job| !job.is_open())
        };
        let ended = live.runs.iter().filter(|task| has_ended(task));
        let ended: Vec<TaskKey> = ended.cloned().collect();
        for task in ended {
            self.stop_run(&task, now);
        }
    }

    /// Ends runs that the worker lists neither as running nor as ended, if the renewal was sent
    /// after their last confirmed order.
    fn end_missing_runs(
        &mut self,
        worker: &WorkerId,
        sent_at: Instant,
        report: &WorkerReport,
        now: Now,
    ) {
        let Some(live) = self.workers.get(worker) else {
            return;
        };
        let mut missing = Vec::new();
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
                // The fencing token of the incarnation in this term reached it before it answered.
                RunPhase::Unresolved if run.incarnation == live.record.incarnation => {
                    RunOutcome::NeverStarted
                }
                RunPhase::Unresolved => RunOutcome::Lost,
                RunPhase::Running { confirmed_at } if confirmed_at < sent_at => RunOutcome::Lost,
                RunPhase::Stopping {
                    confirmed_at: Some(confirmed_at),
                    ..
                } if confirmed_at < sent_at => RunOutcome::NeverStarted,
                _ => continue,
            };
            let confirmed_at = match run.phase {
                RunPhase::Running { confirmed_at } => Some(confirmed_at),
                RunPhase::Stopping { confirmed_at, .. } => confirmed_at,
                RunPhase::Unresolved | RunPhase::Starting => None,
            };
            log::warn!(
                task:% = task, run = run.run, worker = worker.as_str(), outcome:% = outcome,
                asked_ms_ago = ms_ago(sent_at, now.at),
                confirmed_ms_ago:? = confirmed_at.map(|at| ms_ago(at, now.at));
                "the worker does not list a run"
            );
            missing.push((task.clone(), outcome));
        }
        for (task, outcome) in missing {
            self.finish_run(&task, outcome, String::new(), now);
        }
    }
}

/// Returns how many milliseconds ago a time was; negative for a time in the future.
pub(super) fn ms_ago(at: Instant, now: Instant) -> i64 {
    let ms = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
    match now.checked_duration_since(at) {
        Some(past) => ms(past),
        None => -ms(at.saturating_duration_since(now)),
    }
}

/// Returns the address of the current incarnation of a worker.
pub(super) fn target(live: &super::term::LiveWorker) -> WorkerTarget {
    WorkerTarget {
        worker: live.record.id.clone(),
        incarnation: live.record.incarnation,
        address: live.record.address.clone(),
        generation: live.generation,
    }
}

//! A simulated cell in which some tasks crash the workers that start them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::term::{OrderKind, Term};
use super::fixture::*;
use crate::ids::{Incarnation, WorkerId};
use crate::workflow::calls::{
    CallFailure, ListedEnd, ListedRun, OrderAnswer, OrderOutcome, WorkerReport,
};
use crate::workflow::records::{RunNumber, RunOutcome};
use crate::workflow::spec::{StageKey, StageSpec, TaskKey};
use crate::workflow::state::JobPhase;

pub(super) const STEP: Duration = Duration::from_millis(100);
/// Time after which a crashed worker announces its next incarnation.
pub(super) const RESTART_TIME: Duration = Duration::from_millis(2_500);
pub(super) const BAD_JOB: &str = "00c0ffee0000bad0";

/// A worker that answers orders and renewals.
pub(super) struct SimulatedWorker {
    pub(super) rack: String,
    incarnation: Incarnation,
    /// Time at which a crashed worker is back; `None` while it runs.
    pub(super) up_at: Option<Instant>,
    pub(super) running: IndexMap<TaskKey, (RunNumber, Instant)>,
    ends: Vec<ListedEnd>,
}

/// A cell in which some tasks crash each worker that starts them. All other runs succeed.
pub(super) struct CrashingCell {
    pub(super) fixture: Fixture,
    pub(super) workers: IndexMap<WorkerId, SimulatedWorker>,
    crashes_worker: fn(&TaskKey) -> bool,
    pub(super) run_time: Duration,
    /// Number of workers that crashed, by the task that crashed them.
    pub(super) crashes: IndexMap<TaskKey, u32>,
    /// Runs that ended with the crash of their worker, by task.
    pub(super) lost: IndexMap<TaskKey, u32>,
}

pub(super) fn of_bad_job(task: &TaskKey) -> bool {
    task.stage.job == BAD_JOB
}

impl CrashingCell {
    /// Creates a cell with workers in racks of four.
    pub(super) fn new(workers: usize, crashes_worker: fn(&TaskKey) -> bool) -> Self {
        let mut cell = Self {
            fixture: Fixture::new(),
            workers: IndexMap::new(),
            crashes_worker,
            run_time: Duration::from_millis(600),
            crashes: IndexMap::new(),
            lost: IndexMap::new(),
        };
        for index in 0..workers {
            let worker = SimulatedWorker {
                rack: format!("r{}", index / 4),
                incarnation: 0,
                up_at: Some(cell.fixture.now.at),
                running: IndexMap::new(),
                ends: Vec::new(),
            };
            cell.workers.insert(format!("w{index}"), worker);
        }
        cell.step();
        cell
    }

    /// Advances the cell by [`STEP`].
    pub(super) fn step(&mut self) {
        self.fixture.advance(STEP);
        self.restart_workers();
        self.end_runs();
        self.report();
        self.fixture.term.tick(self.fixture.now);
        self.fixture.term.schedule(self.fixture.now);
        self.fixture.commit_all();
        self.execute_orders();
        self.fixture.commit_all();
    }

    pub(super) fn run_for(&mut self, time: Duration) {
        let until = self.fixture.now.at + time;
        while self.fixture.now.at < until {
            self.step();
        }
    }

    fn restart_workers(&mut self) {
        let now = self.fixture.now;
        for (id, worker) in &mut self.workers {
            if worker.up_at.is_none_or(|at| now.at < at) {
                continue;
            }
            worker.up_at = None;
            let failure = CallFailure::OtherIncarnation;
            let term = &mut self.fixture.term;
            term.handle_no_answer(id, worker.incarnation, &failure, now);
            worker.incarnation += 1;
            let mut heartbeat = heartbeat(id, worker.incarnation, 1);
            heartbeat.record.labels = vec!["a".to_owned(), worker.rack.clone()];
            self.fixture.term.handle_heartbeat(heartbeat, now);
        }
    }

    fn end_runs(&mut self) {
        let now = self.fixture.now.at;
        let mut members: IndexMap<StageKey, usize> = IndexMap::new();
        for task in self
            .workers
            .values()
            .flat_map(|worker| worker.running.keys())
        {
            *members.entry(task.stage.clone()).or_default() += 1;
        }
        let term = &self.fixture.term;
        // A gang works only while all of its members run.
        let works = |task: &TaskKey| {
            let stage = term.stages.get(&task.stage);
            let tasks = stage.map_or(0, |stage| stage.needs.task_count);
            !term.is_gang(&task.stage) || members[&task.stage] == tasks
        };
        for worker in self.workers.values_mut() {
            let mut done = Vec::new();
            for (task, (_, started_at)) in &worker.running {
                if now >= *started_at + self.run_time && works(task) {
                    done.push(task.clone());
                }
            }
            for task in done {
                worker.end(&task, RunOutcome::Succeeded);
            }
        }
    }

    fn report(&mut self) {
        let clock_ms = self.fixture.clock_ms();
        let now = self.fixture.now;
        for (id, worker) in &self.workers {
            if worker.up_at.is_some() {
                let failure = CallFailure::PortClosed;
                let term = &mut self.fixture.term;
                term.handle_no_answer(id, worker.incarnation, &failure, now);
                continue;
            }
            let running = worker.running.iter().map(|(task, (run, _))| ListedRun {
                task: task.clone(),
                run: *run,
                checkpoint: String::new(),
                progress_percent: None,
            });
            let report = WorkerReport {
                incarnation: worker.incarnation,
                clock_ms,
                running: running.collect(),
                ends: worker.ends.clone(),
                complete: true,
            };
            self.fixture.term.grant(id, now.at);
            self.fixture.term.handle_report(id, now.at, &report, now);
        }
    }

    fn execute_orders(&mut self) {
        let clock_ms = self.fixture.clock_ms();
        let now = self.fixture.now;
        for order in std::mem::take(&mut self.fixture.orders) {
            let worker = &mut self.workers[&order.worker];
            if worker.up_at.is_some() || worker.incarnation != order.incarnation {
                continue;
            }
            let answer = OrderAnswer {
                outcome: OrderOutcome::Done,
                clock_ms: Some(clock_ms),
            };
            if order.kind == OrderKind::Stop {
                worker.end(&order.task, RunOutcome::Stopped);
                let term = &mut self.fixture.term;
                term.handle_stop_answer(&ordered(&order), answer, now);
                continue;
            }
            worker
                .running
                .insert(order.task.clone(), (order.run, now.at));
            let term = &mut self.fixture.term;
            term.handle_start_answer(&ordered(&order), answer, now);
            if (self.crashes_worker)(&order.task) {
                *self.crashes.entry(order.task.clone()).or_default() += 1;
                self.crash(&order.worker);
            }
        }
    }

    pub(super) fn crash(&mut self, id: &WorkerId) {
        let worker = &mut self.workers[id];
        worker.up_at = Some(self.fixture.now.at + RESTART_TIME);
        worker.ends.clear();
        let lost: Vec<TaskKey> = worker.running.drain(..).map(|(task, _)| task).collect();
        for task in lost {
            if self.fixture.term.is_gang(&task.stage) {
                self.break_gang(&task.stage);
            }
            *self.lost.entry(task).or_default() += 1;
        }
    }

    /// Ends the members of a gang that run on other workers.
    fn break_gang(&mut self, stage: &StageKey) {
        for worker in self.workers.values_mut() {
            let members = worker.running.keys().filter(|task| task.stage == *stage);
            let members: Vec<TaskKey> = members.cloned().collect();
            for task in members {
                worker.end(&task, RunOutcome::GangBroken);
            }
        }
    }

    /// Replaces the placer by one that knows the committed state only.
    pub(super) fn change_placer(&mut self) {
        let epoch = self.fixture.term.epoch + 1;
        let state = self.fixture.term.state.clone();
        self.fixture.term = Term::begin(epoch, state, settings(), self.fixture.now);
        self.fixture.orders.clear();
        self.fixture.commit_all();
    }

    pub(super) fn submit(&mut self, job: &str, stages: Vec<StageSpec>) {
        self.fixture.submit_without_pass(job, stages);
    }

    pub(super) fn phase(&self, job: &str) -> JobPhase {
        self.fixture.term.state.jobs[job].phase
    }

    /// Number of workers that one task of the job crashed, at most.
    pub(super) fn most_crashes(&self) -> u32 {
        self.crashes.values().max().copied().unwrap_or(0)
    }
}

impl SimulatedWorker {
    fn end(&mut self, task: &TaskKey, outcome: RunOutcome) {
        let Some((run, _)) = self.running.swap_remove(task) else {
            return;
        };
        let number = self.ends.last().map_or(0, |end| end.number) + 1;
        self.ends.push(ListedEnd {
            number,
            run: ListedRun {
                task: task.clone(),
                run,
                checkpoint: String::new(),
                progress_percent: None,
            },
            outcome,
        });
    }
}

pub(super) fn job_name(index: u32) -> String {
    format!("00c0ffee{index:08}")
}

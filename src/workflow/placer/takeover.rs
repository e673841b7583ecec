//! Start of a term: rebuilds the state of the placer from the committed state.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::super::records::Record;
use super::super::spec::{StageKey, TaskKey};
use super::super::state::{Job, TaskProgress, WorkflowState};
use super::backlog::task_work;
use super::passes::Passes;
use super::policy::is_slow;
use super::search::StageNeeds;
use super::term::{Effect, LiveRun, LiveStage, RunPhase, Term};
use super::{Now, PlacerSettings};
use crate::ids::{Epoch, JobId};
use crate::protocol::caller::Urgency;
use crate::scheduling::ledger::Ledger;

/// Time of a run beyond its work, in milliseconds: two commits among three regions of 90 ms each,
/// the start order and the report of the end of up to 60 ms each, and the poll that detects the
/// end.
const RUN_OVERHEAD_MS: u64 = 350;
/// Number of workers in a question to the placement policy that the objective of a job assumes.
const OBJECTIVE_POLICY_WORKERS: f64 = 30.0;

impl Term {
    /// Begins a term with the committed state. Runs of earlier leaders are unresolved until their
    /// workers report in this term.
    pub(super) fn begin(
        epoch: Epoch,
        state: WorkflowState,
        settings: PlacerSettings,
        now: Now,
    ) -> Self {
        let mut term = Self {
            epoch,
            settings,
            began_at: now.at,
            ready: false,
            state,
            records: vec![Record::TakenOver],
            effects: vec![Effect::TakenOver],
            needs_commit: true,
            next_sequence: 0,
            uncommitted: VecDeque::new(),
            ledger: Ledger::default(),
            pools: Default::default(),
            workers: IndexMap::new(),
            next_generations: IndexMap::new(),
            stages: IndexMap::new(),
            repeated_jobs: Default::default(),
            runs: IndexMap::new(),
            customers: Default::default(),
            place_waits: Default::default(),
            place_demand: Default::default(),
            waiting_work: Default::default(),
            passes: Passes::new(now.at),
            newest_gangs_first: false,
            size_shares: Default::default(),
            good_shares: IndexMap::new(),
            policy_callers: IndexMap::new(),
            questions: Default::default(),
            unexpected_run_stops: IndexMap::new(),
            ticks: 0,
            adopted_runs_checked: false,
            crash_watch: Default::default(),
            pending_orders: Vec::new(),
            due_grants: IndexSet::new(),
        };
        term.update_customers();
        let records: Vec<_> = term.state.workers.values().cloned().collect();
        for record in records {
            term.add_worker(record, now.at);
        }
        let jobs: Vec<JobId> = term.state.jobs.keys().cloned().collect();
        for job in jobs {
            term.adopt_job(&job, now);
        }
        term.withhold_acknowledgements(now.at);
        term
    }

    fn adopt_job(&mut self, id: &JobId, now: Now) {
        let Some(job) = self.state.jobs.get(id) else {
            return;
        };
        for key in job.stage_keys(id) {
            self.adopt_runs(&key, now.at);
        }
        self.activate_stages(id, now);
    }

    fn adopt_runs(&mut self, key: &StageKey, now: Instant) {
        let customer = self.customer_of(&key.job);
        let Some(job) = self.state.jobs.get(&key.job) else {
            return;
        };
        let (Some(stage), Some(spec)) = (job.stage(key), job.stage_spec(key.stage)) else {
            return;
        };
        let amount = spec.ledger_amount();
        let urgency = urgency(job.queue.priority);
        // Which copies of the start orders have an answer is known to the former leader alone.
        let has_permit = job.queue.placement_policy.is_some();
        let mut adopted = Vec::new();
        for (index, task) in stage.tasks.iter().enumerate() {
            let TaskProgress::Placed {
                worker,
                incarnation,
            } = &task.progress
            else {
                continue;
            };
            let task_key = TaskKey {
                stage: key.clone(),
                index: index as u32,
            };
            adopted.push((task_key, task.run, worker.clone(), *incarnation));
        }
        for (task, run, worker, incarnation) in adopted {
            let target = (worker.clone(), incarnation);
            let mut live = LiveRun::new(run, target, RunPhase::Unresolved, now);
            live.start_sent_at = Some(now);
            live.has_permit = has_permit;
            self.charge(&mut live, customer, amount);
            self.runs.insert(task.clone(), live);
            // A worker that left no longer has the run; the first tick ends it.
            let Some(known) = self.workers.get_mut(&worker) else {
                continue;
            };
            known.runs.insert(task.clone());
            let index = known.index;
            self.ledger.adopt(index, &task.to_string(), amount, urgency);
        }
    }

    /// Makes the stages of a job schedulable whose dependencies are met and that are due.
    pub(super) fn activate_stages(&mut self, id: &JobId, now: Now) {
        let service = self.state.jobs.get(id).map(|job| job.queue.service.clone());
        let pool = service.map_or(0, |service| self.pool_of(&service));
        let customer = self.customer_of(id);
        let Some(job) = self.state.jobs.get(id) else {
            return;
        };
        if !job.is_open() {
            return;
        }
        if job.spec.repetition.is_some() {
            self.repeated_jobs.insert(id.clone());
        }
        let mut activated = Vec::new();
        for key in job.stage_keys(id) {
            if self.stages.contains_key(&key) || !job.dependencies_met(&key) {
                continue;
            }
            let due_unix_ms = job
                .spec
                .repetition
                .as_ref()
                .map_or(job.accepted_unix_ms, |repeat| {
                    let offset_ms = u64::from(key.occurrence).saturating_mul(repeat.interval_ms);
                    repeat.first_due_unix_ms.saturating_add(offset_ms)
                });
            if due_unix_ms > now.unix_ms && job.spec.repetition.is_some() {
                continue;
            }
            let Some(stage) = job.stage(&key).filter(|stage| !stage.is_complete()) else {
                continue;
            };
            let tasks = stage.tasks.iter().enumerate();
            let waiting = tasks.filter(|(_, task)| task.progress == TaskProgress::Waiting);
            let waiting: Vec<_> = waiting.map(|(index, _)| index as u32).collect();
            let age = Duration::from_millis(now.unix_ms.saturating_sub(due_unix_ms));
            let Some(spec) = job.stage_spec(key.stage) else {
                continue;
            };
            let needs = StageNeeds {
                priority: job.queue.priority,
                customer,
                gang: spec.gang,
                task_count: spec.task_count as usize,
                pool,
                amount: spec.ledger_amount(),
                task_work: task_work(spec.estimate_ms, &spec.ledger_amount()),
                slow_policy: job.queue.placement_policy.as_ref().map(is_slow),
            };
            let live = LiveStage {
                needs,
                too_late: false,
                logged_as_held: false,
                empty_search: None,
                next_worker_search_at: now.at,
                waiting,
                run_times_ms: Vec::new(),
                permits: Default::default(),
                granted_workers: Default::default(),
                open_questions: 0,
                restarted_workers: IndexSet::new(),
                reservations: IndexMap::new(),
                gathers_since: None,
                renewing: IndexMap::new(),
                renewal_is_incomplete: false,
                lacks_capacity: false,
                next_gathering_at: now.at,
                given_up: VecDeque::new(),
                room_whole_since: None,
                renewals: 0,
                next_question_at: now.at,
                due_at: now.at.checked_sub(age).unwrap_or(now.at),
                objective: objective(job),
                remaining: remaining(job, key.stage),
            };
            activated.push((key, live));
        }
        self.passes.changed |= !activated.is_empty();
        for (key, stage) in activated {
            let waiting = stage.waiting.len();
            self.stages.insert(key.clone(), stage);
            self.add_waiting_tasks(&key, waiting);
        }
    }
}

/// Returns the urgency in the ledger for the priority of a queue; priority zero is the most urgent.
pub(super) fn urgency(priority: u32) -> Urgency {
    match priority {
        0 => Urgency::Urgent,
        1 => Urgency::High,
        2 => Urgency::Normal,
        _ => Urgency::Low,
    }
}

/// Returns the expected decision time of the placement policy of a job, in milliseconds; zero
/// without a policy.
fn policy_ms(job: &Job) -> f64 {
    job.queue.placement_policy.as_ref().map_or(0.0, |policy| {
        policy.decision_ms + policy.per_worker_ms * OBJECTIVE_POLICY_WORKERS
    })
}

/// Returns the time after it is due within which a job should complete.
fn objective(job: &Job) -> Duration {
    let chain_ms =
        job.spec.critical_path_ms() as f64 + policy_ms(job) * job.spec.stages.len() as f64;
    let slack_ms = chain_ms * job.queue.slack_factor;
    Duration::from_millis((slack_ms as u64).saturating_add(job.queue.target_latency_ms))
}

/// Returns the expected time from the placement of a stage to the recorded end of the longest chain
/// that depends on it.
fn remaining(job: &Job, stage: u32) -> Duration {
    let stages = &job.spec.stages;
    let policy_ms = policy_ms(job) as u64;
    let mut longest = vec![0_u64; stages.len()];
    for index in (0..stages.len()).rev() {
        let after = stages.iter().enumerate().skip(index + 1);
        let dependents = after.filter(|(_, other)| other.depends_on.contains(&(index as u32)));
        let behind = dependents
            .map(|(other, _)| longest[other].saturating_add(policy_ms))
            .max()
            .unwrap_or(0);
        let run_ms = stages[index].estimate_ms.saturating_add(RUN_OVERHEAD_MS);
        longest[index] = run_ms.saturating_add(behind);
    }
    Duration::from_millis(longest.get(stage as usize).copied().unwrap_or(0))
}

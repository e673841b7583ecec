//! A scheduling pass: which waiting tasks get which workers.

use super::super::decisions::permits::{self, Unpermitted};
use super::super::decisions::placing::{self, Candidate};
use super::super::decisions::ranking::{self, Rank, Waiting};
use super::super::decisions::reservations::GatheringSlots;
use super::super::instruments::instruments;
use super::super::records::{Placement, Record};
use super::super::spec::{StageKey, StageSpec, TaskIndex, TaskKey};
use super::Now;
use super::policy::Question;
use super::takeover::urgency;
use super::term::{LiveRun, LiveWorker, OrderKind, RunPhase, Term};
use crate::ids::WorkerId;
use crate::protocol::caller::Urgency;
use crate::scheduling::ledger::{Allocation, Purpose, WorkerStatus};

/// Late gangs from which on gangs are served newest first: as many as gather room at a time.
const MANY_LATE_GANGS: usize = 3;

/// A stage in the order of a scheduling pass.
struct Ranked {
    rank: Rank,
    stage: StageKey,
    gang: bool,
}

/// A worker that is chosen for a task.
pub(super) struct Choice {
    pub task: TaskIndex,
    pub worker: WorkerId,
    pub permit: Option<String>,
}

/// What a stage gets in a pass.
pub(super) enum StageDecision {
    /// Nothing can be done now.
    Wait,
    /// Tasks are placed.
    Place(Vec<Choice>),
    /// The policy has to be asked about workers with room.
    Ask(Vec<Unpermitted>),
}

impl Term {
    /// Places what has room; returns questions to the placement policy.
    pub(super) fn schedule(&mut self, now: Now) -> Vec<Question> {
        let order = self.order(now);
        let gangs = order.iter().filter(|entry| entry.gang);
        self.late_gangs = gangs.filter(|entry| !entry.rank.is_in_time()).count();
        for entry in order.iter().filter(|entry| entry.gang) {
            self.return_gathered_room(&entry.stage);
        }
        let mut slots = GatheringSlots::default();
        let mut questions = Vec::new();
        for Ranked { rank, stage, gang } in order {
            if !gang {
                questions.extend(self.serve_stage(&stage, now));
                continue;
            }
            if !self.is_whole(&stage) {
                continue;
            }
            let may_gather = slots.claim(rank.priority());
            questions.extend(self.serve_gang(&stage, may_gather, now));
        }
        questions
    }

    /// Stages with waiting tasks in the order in which they get room.
    fn order(&self, now: Now) -> Vec<Ranked> {
        let mut order = Vec::new();
        for (key, stage) in &self.stages {
            if stage.waiting.is_empty() {
                continue;
            }
            let Some(waiting) = self.waiting(key) else {
                continue;
            };
            order.push(Ranked {
                rank: ranking::rank(&waiting, now.at),
                stage: key.clone(),
                gang: self.is_gang(key),
            });
        }
        order.sort_by_key(|entry| entry.rank);
        order
    }

    /// Whether all members of a gang wait; until then it can't be placed.
    pub(super) fn is_whole(&self, key: &StageKey) -> bool {
        let job = self.state.jobs.get(&key.job);
        let spec = job.and_then(|job| job.stage_spec(key.stage));
        let stage = self.stages.get(key);
        spec.zip(stage)
            .is_some_and(|(spec, stage)| stage.waiting.len() >= spec.task_count as usize)
    }

    /// What decides the rank of a stage.
    pub(super) fn waiting(&self, key: &StageKey) -> Option<Waiting> {
        let stage = self.stages.get(key)?;
        let job = self.state.jobs.get(&key.job)?;
        Some(Waiting {
            priority: job.queue.priority,
            due_at: stage.due_at,
            objective: stage.objective,
            remaining: stage.remaining,
            newest_first: self.late_gangs >= MANY_LATE_GANGS && self.is_gang(key),
        })
    }

    /// Places the tasks of a stage that have room; returns a question about further workers.
    pub(super) fn serve_stage(&mut self, key: &StageKey, now: Now) -> Option<Question> {
        let mut decision = self.decide_stage(key, now);
        if let StageDecision::Place(choices) = decision {
            self.place(key, choices, now);
            decision = self.decide_stage(key, now);
        }
        match decision {
            StageDecision::Ask(workers) => self.question(key, workers, now),
            StageDecision::Wait | StageDecision::Place(_) => None,
        }
    }

    pub(super) fn decide_stage(&self, key: &StageKey, now: Now) -> StageDecision {
        let (Some(job), Some(stage)) = (self.state.jobs.get(&key.job), self.stages.get(key)) else {
            return StageDecision::Wait;
        };
        let Some(spec) = job.stage_spec(key.stage) else {
            return StageDecision::Wait;
        };
        let wanted = stage.waiting.len();
        if wanted == 0 || (spec.gang && wanted < spec.task_count as usize) {
            return StageDecision::Wait;
        }
        self.examined.note(self.workers.len());
        let mut permitted = Vec::new();
        let mut unpermitted = Vec::new();
        for (id, worker) in &self.workers {
            let Some(candidate) = self.candidate(key, spec, &job.queue.service, (id, worker), now)
            else {
                continue;
            };
            if job.queue.placement_policy.is_none() || stage.permits.usable(id, now.at).is_some() {
                permitted.push(candidate);
            } else if !stage.permits.is_denied(id) {
                unpermitted.push(Unpermitted {
                    room: placing::room(spec, &candidate, wanted),
                    known_good: stage.permits.was_granted(id),
                    worker: candidate.worker,
                });
            }
        }
        let chosen = placing::place(spec, wanted, &permitted);
        if chosen.is_empty() {
            if stage.asking || now.at < stage.ask_again_at {
                return StageDecision::Wait;
            }
            let held: usize = permitted
                .iter()
                .map(|one| placing::room(spec, one, wanted))
                .sum();
            let missing = wanted.saturating_sub(held).max(1);
            let share = self.good_shares.get(&job.queue.name);
            let share = share.copied().unwrap_or_default();
            let workers = permits::choose_workers(
                unpermitted,
                missing,
                spec.gang,
                share,
                self.question_cost(job),
            );
            return if workers.is_empty() {
                StageDecision::Wait
            } else {
                StageDecision::Ask(workers)
            };
        }
        let choices = chosen.iter().zip(&stage.waiting).map(|(&position, &task)| {
            let worker = permitted[position].worker.clone();
            let permit = stage.permits.usable(&worker, now.at).map(str::to_owned);
            Choice {
                task,
                worker,
                permit,
            }
        });
        StageDecision::Place(choices.collect())
    }

    /// The worker as a candidate for the stage, when it may run it and has room for a task.
    pub(super) fn candidate<'a>(
        &self,
        key: &StageKey,
        spec: &StageSpec,
        service: &str,
        (id, worker): (&WorkerId, &'a LiveWorker),
        now: Now,
    ) -> Option<Candidate<'a, WorkerId>> {
        if !worker.reachable || worker.record.service != service || worker.health.is_avoided(now.at)
        {
            return None;
        }
        let entry = self.ledger.worker(worker.index)?;
        if entry.status != WorkerStatus::Up {
            return None;
        }
        let free = entry.free();
        if !free.covers(&spec.ledger_amount()) {
            return None;
        }
        if worker.health.needs_probe(now.at) && (spec.gang || !worker.runs.is_empty()) {
            return None;
        }
        if let Some(label) = &spec.required_label
            && !worker.record.has_label(label)
        {
            return None;
        }
        let tasks_of_stage = if spec.max_tasks_per_worker.is_some() {
            worker.runs.iter().filter(|task| task.stage == *key).count() as u32
        } else {
            0
        };
        Some(Candidate {
            worker: id.clone(),
            free,
            rack: worker.record.rack(),
            tasks_of_stage,
            slowness: worker.health.slowness(),
        })
    }

    pub(super) fn place(&mut self, key: &StageKey, choices: Vec<Choice>, now: Now) {
        let Some(job) = self.state.jobs.get(&key.job) else {
            return;
        };
        let Some(spec) = job.stage_spec(key.stage).cloned() else {
            return;
        };
        let urgency = urgency(job.queue.priority);
        let gang_run = job.stage(key).map_or(1, |stage| {
            stage.tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1
        });
        let mut placements = Vec::new();
        for choice in choices {
            let task = TaskKey {
                stage: key.clone(),
                index: choice.task,
            };
            let Some(worker) = self.workers.get_mut(&choice.worker) else {
                continue;
            };
            let allocation = Allocation {
                amount: spec.ledger_amount(),
                purpose: Purpose::Task,
                urgency,
            };
            if let Err(error) = self
                .ledger
                .allocate(worker.index, &task.to_string(), allocation)
            {
                log::error!(task:% = task, worker = choice.worker.as_str(); "a chosen worker has no room: {error}");
                continue;
            }
            let incarnation = worker.record.incarnation;
            worker.runs.insert(task.clone());
            let run = if spec.gang {
                gang_run
            } else {
                self.state.task(&task).map_or(1, |task| task.run + 1)
            };
            placements.push(Placement {
                task: choice.task,
                run,
                worker: choice.worker.clone(),
                incarnation,
            });
            let worker = choice.worker;
            let mut live = LiveRun::new(run, worker.clone(), RunPhase::Starting, now.at);
            live.permit.clone_from(&choice.permit);
            self.runs.insert(task.clone(), live);
            let kind = OrderKind::Start {
                permit: choice.permit,
            };
            self.push_order(task, run, (worker, incarnation), kind);
        }
        self.note_placed(key, placements, now);
    }

    fn note_placed(&mut self, key: &StageKey, placements: Vec<Placement>, now: Now) {
        if let Some(stage) = self.stages.get_mut(key) {
            let placed: Vec<TaskIndex> = placements.iter().map(|one| one.task).collect();
            stage.waiting.retain(|task| !placed.contains(task));
            let waited = now.at.saturating_duration_since(stage.due_at);
            instruments().record_placement(placed.len(), waited);
            log::info!(
                stage:% = key, tasks = placed.len(), left = stage.waiting.len(),
                waited_ms = waited.as_millis() as u64;
                "tasks placed"
            );
        }
        self.record(Record::RunsPlaced {
            stage: key.clone(),
            placements,
        });
    }

    /// A question about workers, on which room is held until the answer; `None` while all callers
    /// of the policy are busy.
    pub(super) fn question(
        &mut self,
        key: &StageKey,
        workers: Vec<Unpermitted>,
        now: Now,
    ) -> Option<Question> {
        let job = self.state.jobs.get(&key.job)?;
        let policy = job.queue.placement_policy.clone()?;
        let (host, expected) = self.choose_policy_caller(&policy, workers.len(), now.at)?;
        self.hold_room(key, &workers);
        self.stages.get_mut(key)?.asking = true;
        Some(Question {
            epoch: self.epoch,
            stage: key.clone(),
            workers: workers.into_iter().map(|one| one.worker).collect(),
            host,
            expected,
            decided_at: now.at,
        })
    }

    /// Holds room for the waiting tasks of a stage, so that stages of a lower rank do not take it
    /// while the policy decides.
    fn hold_room(&mut self, key: &StageKey, workers: &[Unpermitted]) {
        let Some(stage) = self.stages.get(key) else {
            return;
        };
        let Some(job) = self.state.jobs.get(&key.job) else {
            return;
        };
        let Some(spec) = job.stage_spec(key.stage) else {
            return;
        };
        let held: usize = stage.holds.values().sum();
        let mut missing = stage.waiting.len().saturating_sub(held);
        let spec = spec.clone();
        for one in workers {
            let count = one.room.min(missing);
            if count > 0 && self.hold(key, &spec, &one.worker, count) {
                missing -= count;
            }
        }
    }

    /// Holds room for further tasks of a stage on a worker; returns whether there was room.
    pub(super) fn hold(
        &mut self,
        key: &StageKey,
        spec: &StageSpec,
        worker: &WorkerId,
        count: usize,
    ) -> bool {
        let (Some(stage), Some(live)) = (self.stages.get_mut(key), self.workers.get(worker)) else {
            return false;
        };
        let name = hold_name(key);
        let before = stage.holds.get(worker).copied().unwrap_or(0);
        let amount = |count: usize| spec.ledger_amount().checked_mul(count as u64);
        let (Some(all), Some(former)) = (amount(before + count), amount(before)) else {
            return false;
        };
        let urgency = self
            .state
            .jobs
            .get(&key.job)
            .map_or(Urgency::Normal, |job| urgency(job.queue.priority));
        let allocation = |amount| Allocation {
            amount,
            purpose: Purpose::Gang,
            urgency,
        };
        self.ledger.release(live.index, &name);
        if self
            .ledger
            .allocate(live.index, &name, allocation(all))
            .is_ok()
        {
            stage.holds.insert(worker.clone(), before + count);
            return true;
        }
        let restored = before > 0
            && self
                .ledger
                .allocate(live.index, &name, allocation(former))
                .is_ok();
        if before > 0 && !restored {
            stage.holds.shift_remove(worker);
        }
        false
    }

    /// Returns the room that was held for a stage on one worker.
    pub(super) fn release_hold(&mut self, key: &StageKey, worker: &WorkerId) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        if stage.holds.shift_remove(worker).is_none() {
            return;
        }
        if let Some(worker) = self.workers.get(worker) {
            self.ledger.release(worker.index, &hold_name(key));
        }
    }

    /// Returns the room that was held for a stage.
    pub(super) fn release_holds(&mut self, key: &StageKey) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        for (worker, _) in std::mem::take(&mut stage.holds) {
            if let Some(worker) = self.workers.get(&worker) {
                self.ledger.release(worker.index, &hold_name(key));
            }
        }
    }
}

fn hold_name(key: &StageKey) -> String {
    format!("{key} held")
}

//! A scheduling pass: which waiting tasks get which workers.

use indexmap::IndexSet;

use super::super::decisions::permits::{self, Unpermitted};
use super::super::decisions::placing::{self, Candidate};
use super::super::decisions::ranking::{self, Rank, Waiting};
use super::super::decisions::reservations::ReservationSlots;
use super::super::instruments::instruments;
use super::super::records::{Placement, Record};
use super::super::spec::{StageKey, StageSpec, TaskIndex, TaskKey};
use super::Now;
use super::policy::{Question, is_slow};
use super::search::{AmountsWithoutRoom, Search};
use super::takeover::urgency;
use super::term::{LiveRun, LiveStage, OrderKind, RunPhase, Term};
use crate::ids::WorkerId;
use crate::protocol::caller::Urgency;
use crate::scheduling::ledger::{Allocation, Purpose};

/// Late gangs from which on gangs are served newest first: as many as gather room at a time.
const MANY_LATE_GANGS: usize = 3;

/// A stage in the order of a scheduling pass.
struct Ranked {
    rank: Rank,
    /// Position among the stages of the term, none of which is removed during a pass.
    position: usize,
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
    /// No worker has room that the stage may use or ask about.
    NothingFound,
    /// Tasks are placed.
    Place(Vec<Choice>),
    /// The policy has to be asked about workers with room.
    Ask(Vec<Unpermitted>),
}

impl Term {
    /// Places what has room; returns questions to the placement policy.
    pub(super) fn schedule(&mut self, now: Now) -> Vec<Question> {
        let searched_growths = self.ledger.growths();
        let order = self.order(now);
        for entry in order.iter().filter(|entry| entry.rank.is_too_late()) {
            self.note_too_late(entry.position);
        }
        let gangs = order.iter().filter(|entry| entry.gang);
        self.late_gangs = gangs.filter(|entry| !entry.rank.is_in_time()).count();
        for entry in order.iter().filter(|entry| entry.gang) {
            if let Some(key) = self.gathering_gang(entry.position) {
                self.release_holds(&key);
            }
        }
        let grown = self.begin_pass();
        let mut without_room = AmountsWithoutRoom::default();
        let mut slots = ReservationSlots::default();
        let mut questions = Vec::new();
        for Ranked { rank, position, .. } in order {
            let Some((key, stage)) = self.stages.get_index(position) else {
                continue;
            };
            if stage.needs.gang {
                if !stage.is_whole() {
                    continue;
                }
                let key = key.clone();
                let may_gather = slots.claim(rank.priority());
                let may_fit = !self.finds_nothing(stage, grown.as_ref(), now);
                if !may_fit {
                    self.keep_empty_search(position);
                }
                questions.extend(self.serve_gang(&key, may_gather, may_fit, now));
                continue;
            }
            if !self.has_room(&stage.needs, &mut without_room) {
                continue;
            }
            if self.finds_nothing(stage, grown.as_ref(), now) {
                self.keep_empty_search(position);
                continue;
            }
            let key = key.clone();
            questions.extend(self.serve_stage(&key, now));
        }
        self.passes.searched_growths = searched_growths;
        self.note_pass();
        questions
    }

    /// Stages with waiting tasks in the order in which they get room.
    fn order(&self, now: Now) -> Vec<Ranked> {
        let mut order = Vec::new();
        for (position, stage) in self.stages.values().enumerate() {
            if stage.waiting.is_empty() {
                continue;
            }
            order.push(Ranked {
                rank: ranking::rank(&self.waiting(stage), now.at),
                position,
                gang: stage.needs.gang,
            });
        }
        order.sort_by_key(|entry| entry.rank);
        order
    }

    /// What decides the rank of a stage.
    pub(super) fn waiting(&self, stage: &LiveStage) -> Waiting {
        Waiting {
            priority: stage.needs.priority,
            due_at: stage.due_at,
            objective: stage.objective,
            remaining: stage.remaining,
            newest_first: self.late_gangs >= MANY_LATE_GANGS && stage.needs.gang,
        }
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
            StageDecision::NothingFound => {
                self.note_empty_search(key, now);
                None
            }
            StageDecision::Wait | StageDecision::Place(_) => None,
        }
    }

    pub(super) fn decide_stage(&self, key: &StageKey, now: Now) -> StageDecision {
        let Some(search) = self.search(key, now) else {
            return StageDecision::Wait;
        };
        let Search { stage, spec, .. } = &search;
        let wanted = stage.waiting.len();
        if wanted == 0 || (spec.gang && !stage.is_whole()) {
            return StageDecision::Wait;
        }
        let permitted = self.usable_candidates(&search, wanted);
        let chosen = placing::place(spec, wanted, &permitted);
        if chosen.is_empty() {
            return self.decide_question(&search, &permitted);
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

    /// Which workers to ask about for a stage without room on the workers that it may use.
    fn decide_question(
        &self,
        search: &Search,
        permitted: &[Candidate<'_, &WorkerId>],
    ) -> StageDecision {
        let Search {
            stage, job, spec, ..
        } = search;
        // A gang is asked about as a whole, whether there is room now or not.
        if spec.gang {
            return StageDecision::NothingFound;
        }
        let Some(policy) = &job.queue.placement_policy else {
            return StageDecision::NothingFound;
        };
        if stage.asking {
            return StageDecision::NothingFound;
        }
        if search.now.at < stage.ask_again_at || self.callers_are_busy(policy) {
            return StageDecision::Wait;
        }
        let wanted = stage.waiting.len();
        let rooms = permitted.iter().map(|one| placing::room(spec, one, wanted));
        let missing = wanted.saturating_sub(rooms.sum()).max(1);
        let (unpermitted, has_more) = self.unpermitted(search, wanted);
        let share = self.good_shares.get(&job.queue.name).copied();
        let mut cost = self.question_cost(job);
        // Workers that were not examined are too many to ask about all.
        cost.callers_are_free &= !has_more;
        let share = share.unwrap_or_default();
        let workers = permits::choose_workers(unpermitted, missing, false, share, cost);
        if workers.is_empty() {
            StageDecision::NothingFound
        } else {
            StageDecision::Ask(workers)
        }
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
            let placed: IndexSet<TaskIndex> = placements.iter().map(|one| one.task).collect();
            let before = stage.waiting.len();
            stage.waiting.retain(|task| !placed.contains(task));
            let left = stage.waiting.len();
            let waited = now.at.saturating_duration_since(stage.due_at);
            instruments().record_placement(placed.len(), waited);
            log::info!(
                stage:% = key, tasks = placed.len(), left,
                waited_ms = waited.as_millis() as u64;
                "tasks placed"
            );
            self.note_not_waiting(key, before - left);
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
        let Some((host, expected)) = self.choose_policy_caller(&policy, workers.len(), now.at)
        else {
            self.passes.busy_callers[usize::from(is_slow(&policy))] = true;
            return None;
        };
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

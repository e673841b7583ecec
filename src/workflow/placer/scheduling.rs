//! The scheduling pass, which assigns waiting tasks to workers.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::decisions::permits::Unpermitted;
use super::super::decisions::placing;
use super::super::decisions::ranking::Rank;
use super::super::records::Placement;
use super::super::spec::{StageKey, StageSpec, TaskIndex, TaskKey};
use super::Now;
use super::growth::UsableGrowth;
use super::isolation::StartLimit;
use super::place_waits::PlaceWait;
use super::policy::Question;
use super::ranked_stages::Ranked;
use super::search::{EmptyResult, KnownRoom, Search};
use super::takeover::urgency;
use super::term::{LiveRun, OrderKind, RunPhase, Term};
use crate::ids::WorkerId;
use crate::scheduling::ledger::{Allocation, Purpose};

/// Number of late gangs from which on gangs are served newest first: as many as gather room at a
/// time in a small cell.
const NEWEST_FIRST_THRESHOLD: usize = 3;
/// Interval at which the room that gangs have gathered is assigned again by rank. One tick.
const REASSIGNMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which stages that are too late to count are scheduled, unless the last time gave one of
/// them room or a question.
const TOO_LATE_INTERVAL: Duration = Duration::from_millis(300);

/// Gangs whose room a pass assigns again. Those that are too late to count have an interval of their
/// own, as not all passes include them: the passes of a common one need not.
#[derive(Clone, Copy)]
struct Reassignment {
    counting: bool,
    too_late: bool,
}

impl Reassignment {
    fn includes(self, rank: Rank) -> bool {
        if rank.is_too_late() {
            self.too_late
        } else {
            self.counting
        }
    }
}

/// A worker chosen for a task, with the permit of the placement policy.
pub(super) struct Choice {
    pub task: TaskIndex,
    pub worker: WorkerId,
    pub permit: Option<String>,
}

/// Decision of a pass about a stage.
pub(super) enum StageDecision {
    /// No task can be placed and no question asked now.
    Wait,
    /// No worker that the stage may use or ask about has room.
    NothingFound,
    /// No worker that the stage may use has room, and the policy cannot be asked about others now.
    AwaitCaller,
    /// There is room, but a wait for room at a better place is worthwhile.
    WaitForPlace(PlaceWait),
    /// Tasks to place.
    Place(Vec<Choice>),
    /// Workers with room about which to ask the placement policy.
    Ask(Vec<Unpermitted>),
}

impl Term {
    /// Runs a scheduling pass: places the tasks that have room and returns questions to the
    /// placement policy.
    pub(super) fn schedule(&mut self, now: Now) -> Vec<Question> {
        let searched_growths = self.ledger.growths();
        self.free_unused_slots();
        self.update_shares();
        let mut includes_too_late = now.at >= self.passes.too_late_at;
        let mut order = self.ranked_stages(now, includes_too_late);
        if order.is_empty() && !includes_too_late {
            includes_too_late = true;
            order = self.ranked_stages(now, true);
        }
        for entry in order.iter().filter(|entry| entry.rank.is_too_late()) {
            self.mark_too_late(entry.position);
        }
        if includes_too_late {
            let gangs = order.iter().filter(|entry| entry.needs.gang);
            let late_gangs = gangs.filter(|entry| !entry.rank.is_in_time()).count();
            self.newest_gangs_first = late_gangs >= NEWEST_FIRST_THRESHOLD;
        }
        self.reserve_for_aged_gangs(&order, includes_too_late, now);
        self.choose_gathering_gangs(&order, now);
        let reassigns = self.reassignment(includes_too_late, now);
        for entry in order.iter().filter(|entry| entry.needs.gang) {
            if reassigns.includes(entry.rank)
                && let Some(key) = self.reserving_gang(entry.position)
            {
                self.release_reservations(&key);
            }
        }
        let grown = self.begin_pass();
        let mut known_room = KnownRoom::default();
        let mut serves_too_late = false;
        let mut questions = Vec::new();
        for Ranked {
            rank,
            position,
            needs,
        } in order
        {
            // Comes first, as it reads nothing of the stage: in the order of their ranks, stages are
            // spread over the memory.
            if !needs.gang && !self.has_room(&needs, &mut known_room) {
                continue;
            }
            if self.is_held_by_cap(position, &needs) {
                if needs.gang {
                    self.reserve_under_cap(position, &needs);
                }
                self.log_held_by_cap(position, &needs, now);
                continue;
            }
            let Some((key, stage)) = self.stages.get_index(position) else {
                continue;
            };
            if self.start_limit(key, now) == StartLimit::Waits {
                continue;
            }
            let (waiting, asked) = (stage.waiting.len(), questions.len());
            if needs.gang {
                if !stage.all_tasks_wait() {
                    continue;
                }
                let gathers = stage.gathers_since.is_some();
                let growth = self.growth_since_search(position, grown.as_ref(), now);
                let may_reserve =
                    gathers && (reassigns.includes(rank) || growth != UsableGrowth::None);
                let may_fit = growth == UsableGrowth::Enough;
                if !may_fit && !self.may_ask_or_reserve(position, may_reserve, now) {
                    continue;
                }
                let Some(key) = self.stages.get_index(position).map(|(key, _)| key.clone()) else {
                    continue;
                };
                questions.extend(self.schedule_gang(&key, may_reserve, may_fit, now));
            } else {
                let growth = self.growth_since_search(position, grown.as_ref(), now);
                if growth != UsableGrowth::Enough {
                    continue;
                }
                let Some(key) = self.stages.get_index(position).map(|(key, _)| key.clone()) else {
                    continue;
                };
                questions.extend(self.schedule_stage(&key, now));
            }
            if rank.is_too_late() {
                let stage = self.stages.get_index(position);
                let left = stage.map_or(0, |(_, stage)| stage.waiting.len());
                serves_too_late |= left < waiting || questions.len() > asked;
            }
        }
        if includes_too_late && !serves_too_late {
            self.passes.too_late_at = now.at + TOO_LATE_INTERVAL;
        }
        self.passes.searched_growths = searched_growths;
        self.finish_pass();
        questions
    }

    /// Decides for which gangs a pass assigns gathered room again.
    fn reassignment(&mut self, includes_too_late: bool, now: Now) -> Reassignment {
        let passes = &mut self.passes;
        let is_due = |at: &mut Instant| {
            let is_due = now.at >= *at;
            if is_due {
                *at = now.at + REASSIGNMENT_INTERVAL;
            }
            is_due
        };
        Reassignment {
            counting: is_due(&mut passes.reassign_at),
            too_late: includes_too_late && is_due(&mut passes.reassign_too_late_at),
        }
    }

    /// Places the tasks of a stage that have room and returns a question about further workers.
    pub(super) fn schedule_stage(&mut self, key: &StageKey, now: Now) -> Option<Question> {
        let mut decision = self.decide_stage(key, now);
        if let StageDecision::Place(choices) = decision {
            self.place(key, choices, now);
            self.note_started(key);
            decision = self.decide_stage(key, now);
        } else if !matches!(decision, StageDecision::WaitForPlace(_)) {
            self.hold_worker_for(key, now);
        }
        match decision {
            StageDecision::Ask(workers) => {
                self.note_question(key, now);
                self.question(key, workers, now)
            }
            StageDecision::NothingFound => {
                self.record_empty_stage_search(key, false, now);
                None
            }
            StageDecision::AwaitCaller => {
                self.note_busy_callers(key, now);
                self.record_empty_stage_search(key, true, now);
                None
            }
            StageDecision::WaitForPlace(wait) => {
                self.note_place_wait(key, wait, now);
                None
            }
            StageDecision::Wait | StageDecision::Place(_) => None,
        }
    }

    fn record_empty_stage_search(&mut self, key: &StageKey, awaits_caller: bool, now: Now) {
        let result = EmptyResult {
            lacking: 1,
            awaits_caller,
            isolated: self.start_limit(key, now) != StartLimit::None,
            awaits_place: false,
        };
        self.record_empty_search(key, result, now);
    }

    pub(super) fn decide_stage(&self, key: &StageKey, now: Now) -> StageDecision {
        let Some(search) = self.search(key, now) else {
            return StageDecision::Wait;
        };
        let Search { stage, spec, .. } = &search;
        let limited;
        let tasks = if search.limit == StartLimit::None {
            &stage.waiting
        } else {
            limited = self.startable_tasks(&search);
            &limited
        };
        let wanted = self.tasks_under_cap(key, &stage.needs, tasks.len());
        if wanted == 0
            || (spec.gang && wanted < tasks.len())
            || (spec.gang && !stage.all_tasks_wait())
        {
            return StageDecision::Wait;
        }
        let permitted = match search.limit {
            StartLimit::Isolated(..) if !spec.gang => self.least_used_candidate(&search),
            _ => self.usable_candidates(&search, wanted),
        };
        let mut chosen = placing::place(spec, wanted, &permitted);
        if chosen.is_empty() && self.waits_for_isolation(&search) {
            return StageDecision::NothingFound;
        }
        if chosen.is_empty() {
            return self.decide_question(&search, &permitted);
        }
        if let Some(wait) = self.wait_for_place(&search, &permitted, &mut chosen)
            && chosen.is_empty()
        {
            return StageDecision::WaitForPlace(wait);
        }
        let choices = chosen.iter().zip(tasks).map(|(&position, &task)| {
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

    pub(super) fn place(&mut self, key: &StageKey, choices: Vec<Choice>, now: Now) {
        let Some(job) = self.state.jobs.get(&key.job) else {
            return;
        };
        let Some(spec) = job.stage_spec(key.stage).cloned() else {
            return;
        };
        let urgency = urgency(job.queue.priority);
        let has_permit = job.queue.placement_policy.is_some();
        let gang_run = job.stage(key).map_or(1, |stage| {
            stage.tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1
        });
        if spec.gang && !self.fits_whole(&spec, &choices) {
            log::warn!(stage:% = key; "a gang is not placed: a chosen worker has no room for its members");
            return;
        }
        let needs = self.stages.get(key).map(|stage| stage.needs);
        let allowed = needs.map_or(choices.len(), |needs| {
            self.tasks_under_cap(key, &needs, choices.len())
        });
        if spec.gang && allowed < choices.len() {
            log::debug!(stage:% = key; "a gang is not placed: the cap of its customer does not allow all members");
            return;
        }
        let customer = needs.and_then(|needs| needs.customer);
        let mut placements = Vec::new();
        for choice in choices.into_iter().take(allowed) {
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
                log::error!(task:% = task, worker = choice.worker.as_str(); "failed to allocate resources on the chosen worker: {error}");
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
            let target = (worker.clone(), incarnation);
            let mut live = LiveRun::new(run, target, RunPhase::Starting, now.at);
            live.permit.clone_from(&choice.permit);
            live.has_permit = has_permit;
            self.charge(&mut live, customer, spec.ledger_amount());
            self.runs.insert(task.clone(), live);
            let kind = OrderKind::Start {
                permit: choice.permit,
            };
            self.push_order(task, run, (worker, incarnation), kind);
        }
        self.record_placements(key, placements, now);
    }

    /// Whether all chosen workers have room for the tasks that are to be placed on them.
    fn fits_whole(&self, spec: &StageSpec, choices: &[Choice]) -> bool {
        let mut tasks: IndexMap<&WorkerId, u64> = IndexMap::new();
        for choice in choices {
            *tasks.entry(&choice.worker).or_default() += 1;
        }
        tasks.into_iter().all(|(id, count)| {
            let worker = self.workers.get(id);
            let amount = spec.ledger_amount().checked_mul(count);
            let entry = worker.and_then(|worker| self.ledger.worker(worker.index));
            let (Some(entry), Some(amount)) = (entry, amount) else {
                return false;
            };
            !entry.is_over_allocated() && entry.free().covers(&amount)
        })
    }
}

//! Placement of gangs: room is reserved for all members before any of them starts.

use std::time::{Duration, Instant};

use super::super::decisions::permits::{
    self, GangRoom, MAX_WORKERS_PER_CALL, UnknownWorker, Unpermitted,
};
use super::super::decisions::placing::{self, Candidate};
use super::super::decisions::reservations::reserve_room;
use super::super::spec::{StageKey, StageSpec};
use super::Now;
use super::isolation::StartLimit;
use super::policy::Question;
use super::scheduling::StageDecision;
use super::search::EmptyResult;
use super::term::{LiveStage, LiveWorker, Term};
use crate::ids::WorkerId;
use crate::resources::Resources;

/// Workers from which those are chosen about which the policy is asked for a gang at one time.
const MAX_WORKERS_FOR_GANG: usize = 4 * MAX_WORKERS_PER_CALL;
/// Interval at which a gang that has asked about all workers searches for new ones. One tick.
const WORKER_SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a gang that the workers it may use cannot hold looks for others that joined.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

impl Term {
    /// Places a gang that has room, or reserves room for it if `may_reserve` is set, also while the
    /// policy is asked about further workers. Returns questions about workers for the gang.
    /// `may_fit` is false if the last search found no room for all members and no room that a member
    /// could use has been freed since.
    pub(super) fn schedule_gang(
        &mut self,
        key: &StageKey,
        may_reserve: bool,
        may_fit: bool,
        now: Now,
    ) -> Vec<Question> {
        let Some(job) = self.state.jobs.get(&key.job) else {
            return Vec::new();
        };
        let has_policy = job.queue.placement_policy.is_some();
        let spec = job.stage_spec(key.stage).cloned();
        let (Some(spec), Some(stage)) = (spec, self.stages.get(key)) else {
            return Vec::new();
        };
        if !stage.all_tasks_wait() {
            return Vec::new();
        }
        if may_fit && (stage.reservations.is_empty() || stage.open_questions > 0) {
            // Without reservations the gang can be placed if room for all members is free now.
            match self.decide_stage(key, now) {
                StageDecision::Place(choices) => {
                    self.release_reservations(key);
                    self.place(key, choices, now);
                    return Vec::new();
                }
                StageDecision::Ask(_) | StageDecision::AwaitCaller | StageDecision::Wait => {}
                StageDecision::NothingFound => {
                    self.end_place_wait(key, now.at);
                    self.record_empty_gang_search(key, &spec, now);
                }
                StageDecision::WaitForPlace(wait) => {
                    self.release_reservations(key);
                    self.note_place_wait(key, wait, now);
                    return Vec::new();
                }
            }
        }
        let Some(stage) = self.stages.get(key) else {
            return Vec::new();
        };
        let is_asked_about = stage.open_questions > 0;
        if is_asked_about && !may_reserve && stage.renewing.is_empty() {
            return Vec::new();
        }
        if stage.reserved_tasks() >= stage.waiting.len() {
            return self.start_reserved_gang(key, now);
        }
        let holds_nothing = !is_asked_about && stage.reservations.is_empty();
        let questions = if may_reserve && self.may_gather(key, &spec, now.at) {
            self.reserve_room_for_gang(key, &spec, now);
            self.start_reserved_gang(key, now)
        } else if has_policy && may_fit && holds_nothing {
            self.renew_permits_for_free_room(key, &spec, now)
        } else {
            Vec::new()
        };
        if !questions.is_empty() {
            return questions;
        }
        self.ask_for_gang(key, &spec, now)
    }

    /// Returns the stage at a position if it has reservations and does not renew the permits for
    /// them. These are released at intervals and granted again in the order of the ranks: otherwise
    /// a late gang would keep room that a gang in time needs, and gangs that hold room on the
    /// workers of each other would wait for ever.
    pub(super) fn reserving_gang(&self, position: usize) -> Option<StageKey> {
        let (key, stage) = self.stages.get_index(position)?;
        (stage.renewing.is_empty() && !stage.reservations.is_empty()).then(|| key.clone())
    }

    /// Records that a search found no room for all members of a gang.
    fn record_empty_gang_search(&mut self, key: &StageKey, spec: &StageSpec, now: Now) {
        let Some(search) = self.search(key, now) else {
            return;
        };
        let tasks = spec.task_count as usize;
        let candidates = self.reservation_candidates(&search, tasks);
        let rooms = candidates
            .iter()
            .map(|candidate| placing::room(spec, candidate, tasks));
        let lacking = tasks.saturating_sub(rooms.sum());
        let result = EmptyResult {
            lacking,
            awaits_caller: !self.may_ask(search.stage, now),
            isolated: lacking == 0 || search.limit != StartLimit::None,
            awaits_place: false,
        };
        self.record_empty_search(key, result, now);
    }

    /// Reserves free room on suitable workers for the members that have none yet. A gang that these
    /// workers could not hold if they were empty gathers no room for a time.
    fn reserve_room_for_gang(&mut self, key: &StageKey, spec: &StageSpec, now: Now) {
        let lacks_capacity = !self.may_become_whole(key, spec);
        self.note_capacity(key, lacks_capacity);
        if lacks_capacity {
            self.stop_gathering(key, now.at + CAPACITY_CHECK_INTERVAL);
            return;
        }
        let Some(search) = self.search(key, now) else {
            return;
        };
        let reserved = search.stage.reserved_tasks();
        let missing = search.stage.waiting.len().saturating_sub(reserved);
        let candidates = self.reservation_candidates(&search, missing);
        let counts = reserve_room(spec, missing, &candidates);
        let mut chosen: Vec<(WorkerId, usize)> = Vec::new();
        for (candidate, count) in candidates.iter().zip(counts) {
            if count > 0 {
                chosen.push((candidate.worker.clone(), count));
            }
        }
        for (worker, count) in chosen {
            self.reserve(key, spec, &worker, count);
        }
    }

    fn note_capacity(&mut self, key: &StageKey, lacks_capacity: bool) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        if stage.lacks_capacity == lacks_capacity {
            return;
        }
        stage.lacks_capacity = lacks_capacity;
        let (tasks, known_workers) = (stage.needs.task_count, stage.permits.known_count());
        if lacks_capacity {
            log::warn!(
                stage:% = key, tasks, known_workers;
                "a gang gathers no room: the workers that it may use cannot hold all members"
            );
        } else {
            log::info!(
                stage:% = key, tasks, known_workers;
                "a gang gathers room again: the workers that it may use can hold all members"
            );
        }
    }

    /// Whether the workers that a gang may use can hold all members when they are empty. Workers about
    /// which the policy has not answered count.
    fn may_become_whole(&self, key: &StageKey, spec: &StageSpec) -> bool {
        let Some(stage) = self.stages.get(key) else {
            return false;
        };
        let tasks = spec.task_count as usize;
        let mut capacity = 0;
        for index in self.ledger.with_free_cpu(stage.needs.pool, 0).rev() {
            self.passes.count_examined();
            let Some((id, worker)) = self.worker_at(index) else {
                continue;
            };
            if worker.is_in_service()
                && has_required_label(spec, worker)
                && !stage.permits.is_denied(id)
            {
                capacity += capacity_for(spec, worker.record.capacity);
            }
            if capacity >= tasks {
                return true;
            }
        }
        false
    }

    /// Releases the room of a gang, which gathers again from a time on.
    pub(super) fn stop_gathering(&mut self, key: &StageKey, until: Instant) {
        self.release_reservations(key);
        if let Some(stage) = self.stages.get_mut(key) {
            stage.room_whole_since = None;
            stage.gathers_since = None;
            stage.next_gathering_at = until;
        }
    }

    /// Returns the tasks of a gang that fit on the workers granted by the policy, now and if they
    /// were empty.
    fn granted_room(&self, key: &StageKey, spec: &StageSpec, now: Now) -> GangRoom {
        let capacity = self.granted_capacity(key, spec);
        let Some(search) = self.search(key, now) else {
            return GangRoom { room: 0, capacity };
        };
        let tasks = spec.task_count as usize;
        let candidates = self.reservation_candidates(&search, tasks);
        let rooms = candidates
            .iter()
            .map(|candidate| placing::room(spec, candidate, tasks));
        GangRoom {
            room: rooms.sum(),
            capacity,
        }
    }

    /// Returns the number of tasks that would fit on all workers granted by the policy if they were
    /// empty.
    fn granted_capacity(&self, key: &StageKey, spec: &StageSpec) -> usize {
        let Some(stage) = self.stages.get(key) else {
            return 0;
        };
        let mut potential = 0;
        for id in stage.permits.granted_workers() {
            self.passes.count_examined();
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            if worker.is_in_service() {
                potential += capacity_for(spec, worker.record.capacity);
            }
        }
        potential
    }

    /// Whether [`Self::schedule_gang`] may do anything for a gang whose members do not fit now. Most
    /// waiting gangs are neither among those that reserve room nor may ask.
    pub(super) fn may_ask_or_reserve(&self, position: usize, may_reserve: bool, now: Now) -> bool {
        let Some((_, stage)) = self.stages.get_index(position) else {
            return false;
        };
        let may_ask = stage.open_questions == 0 || stage.renewal_is_incomplete;
        let holds_room = may_ask && !stage.reservations.is_empty();
        may_reserve || holds_room || self.may_ask_about_unknown(stage, now)
    }

    /// Whether a gang may ask about further workers. Only those that gather room do: the room that is
    /// free suffices for few of the others, and their permits would expire before they start.
    fn may_ask_about_unknown(&self, stage: &LiveStage, now: Now) -> bool {
        stage.needs.slow_policy.is_some()
            && stage.gathers_since.is_some()
            && stage.all_tasks_wait()
            && stage.open_questions == 0
            && now.at >= stage.next_worker_search_at
            && self.may_ask(stage, now)
    }

    /// Asks the policy about workers for which it has not answered yet, whether they have room now
    /// or not: the answer about a worker does not change. Several hosts are asked at the same time
    /// while enough of them are free.
    fn ask_for_gang(&mut self, key: &StageKey, spec: &StageSpec, now: Now) -> Vec<Question> {
        let (Some(job), Some(stage)) = (self.state.jobs.get(&key.job), self.stages.get(key)) else {
            return Vec::new();
        };
        if !self.may_ask_about_unknown(stage, now) {
            return Vec::new();
        }
        let share = self.good_shares.get(&job.queue.name).copied();
        let share = share.unwrap_or_default();
        let cost = self.question_cost(&job.queue);
        if self.are_policy_callers_busy(&job.queue, now.at) {
            self.note_busy_callers(key, now);
            return Vec::new();
        }
        let mut known = self.granted_room(key, spec, now);
        known.room += stage.reserved_tasks();
        if known.has_enough_workers(spec.task_count as usize) {
            // Only room that is free now is a reason to ask about further workers.
            let missing = (spec.task_count as usize).saturating_sub(known.room) as u64;
            let free_millis = self.ledger.free_total().cpu_millis;
            if missing.saturating_mul(stage.needs.amount.cpu_millis) as f64
                > free_millis as f64 * share.value()
            {
                self.delay_worker_search(key, now);
                return Vec::new();
            }
        }
        let unknown = self.unknown_workers(stage, spec);
        let workers =
            permits::choose_workers_for_gang(unknown, spec.task_count as usize, known, share, cost);
        if workers.is_empty() {
            self.delay_worker_search(key, now);
            return Vec::new();
        }
        let mut questions = Vec::new();
        for workers in permits::split_question(workers, cost) {
            // No room is reserved for these questions: room matters only once the granted workers
            // are known.
            let workers = workers.into_iter().map(|worker| Unpermitted {
                worker,
                room: 0,
                previously_granted: false,
            });
            let Some(question) = self.question(key, workers.collect(), now) else {
                break;
            };
            questions.push(question);
        }
        questions
    }

    fn delay_worker_search(&mut self, key: &StageKey, now: Now) {
        if let Some(stage) = self.stages.get_mut(key) {
            stage.next_worker_search_at = now.at + WORKER_SEARCH_INTERVAL;
        }
    }

    /// Returns the workers about which the policy has not answered for a gang, those with the most
    /// free processors first.
    fn unknown_workers(&self, stage: &LiveStage, spec: &StageSpec) -> Vec<UnknownWorker> {
        let tasks = spec.task_count as usize;
        let mut unknown = Vec::new();
        for index in self.ledger.with_free_cpu(stage.needs.pool, 0).rev() {
            self.passes.count_examined();
            let Some((id, worker)) = self.worker_at(index) else {
                continue;
            };
            if stage.permits.is_known(id) || !worker.reachable || !has_required_label(spec, worker)
            {
                continue;
            }
            let capacity = capacity_for(spec, worker.record.capacity);
            if capacity == 0 {
                continue;
            }
            let free = self.ledger.free(index);
            unknown.push(UnknownWorker {
                worker: id.clone(),
                room: placing::tasks_that_fit(&stage.needs.amount, &free, tasks).min(capacity),
                capacity,
            });
            if unknown.len() == MAX_WORKERS_FOR_GANG {
                break;
            }
        }
        unknown
    }
}

/// Whether a worker has the label that a stage requires, if it requires one.
fn has_required_label(spec: &StageSpec, worker: &LiveWorker) -> bool {
    let label = spec.required_label.as_ref();
    label.is_none_or(|label| worker.record.has_label(label))
}

/// Returns the number of tasks of a stage that fit on an empty worker of the capacity.
fn capacity_for(spec: &StageSpec, capacity: Resources) -> usize {
    let empty = Candidate {
        worker: (),
        free: capacity,
        rack: "",
        tasks_of_stage: 0,
        slowness: 1.0,
    };
    placing::room(spec, &empty, spec.task_count as usize)
}

//! Search for workers that a stage can use. The cost depends on the number of workers with room for
//! the stage and not on the size of the cell.

use std::time::{Duration, Instant};

use super::super::decisions::permits::{MAX_WORKERS_PER_CALL, Unpermitted};
use super::super::decisions::placing::{self, Candidate};
use super::super::spec::{StageKey, StageSpec};
use super::super::state::Job;
use super::Now;
use super::customers::CustomerIndex;
use super::isolation::StartLimit;
use super::term::{LiveStage, LiveWorker, Term};
use crate::ids::{ServiceName, WorkerId};
use crate::resources::Resources;
use crate::scheduling::ledger::{PoolIndex, WorkerIndex, WorkerStatus};

/// Number of workers without an answer of the policy from which the workers of a question are
/// chosen. More than fit in a call: the index orders workers by free processors alone, and those
/// with the most room should be among them.
pub(super) const MAX_UNKNOWN_WORKERS: usize = 2 * MAX_WORKERS_PER_CALL;
/// Time after which a search without a result is repeated in any case. Everything that may give it a
/// result is noticed, so that this bounds the effect of an oversight.
const EMPTY_SEARCH_VALIDITY: Duration = Duration::from_millis(2_000);
/// Time after which a search is repeated that was held back by the isolation of suspects, or by a wait
/// for a better place. One tick.
const BLOCKED_SEARCH_VALIDITY: Duration = Duration::from_millis(100);
/// Number of amounts without room that a pass keeps; each further stage is compared with all of
/// them.
const MAX_AMOUNTS_WITHOUT_ROOM: usize = 32;

/// Requirements of a stage in a search; they do not change after its job is accepted.
#[derive(Clone, Copy, Debug)]
pub struct StageNeeds {
    /// Priority of the queue; zero is the most urgent.
    pub priority: u32,
    /// Customer of the job; `None` if it has none.
    pub customer: Option<CustomerIndex>,
    /// Whether the stage is a gang, whose tasks all start together.
    pub gang: bool,
    /// Number of tasks of the stage, whether they wait or not.
    pub task_count: usize,
    /// Pool of the workers of the service.
    pub pool: PoolIndex,
    /// Resources that each task allocates in the ledger.
    pub amount: Resources,
    /// Declared work of one task, in milliseconds of a thousandth of a core.
    pub task_work: u64,
    /// Whether the placement policy of the queue is slow; `None` for a queue without a policy.
    pub slow_policy: Option<bool>,
}

impl StageNeeds {
    /// Processors that all tasks of the stage need, in thousandths of a core.
    pub fn room_millis(&self) -> u64 {
        let tasks = self.task_count as u64;
        self.amount.cpu_millis.saturating_mul(tasks)
    }
}

/// A search for a stage that found neither room nor workers to ask about.
#[derive(Clone, Copy, Debug)]
pub struct EmptySearch {
    /// `Ledger::growths` at the time of the search, or of a later pass that found it still valid.
    pub growths: u64,
    /// Number of tasks for which room has to be freed before the stage can be placed: for a gang, all
    /// that do not fit at the same time, otherwise one.
    pub lacking: usize,
    /// Whether the stage would have asked the placement policy if a host could have called it.
    pub awaits_caller: bool,
    /// Whether the stage waits for a better place, so that only room there is of use.
    pub awaits_place: bool,
    /// Time from which on the search is repeated in any case.
    pub repeat_at: Instant,
}

/// Why a search found nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct EmptyResult {
    /// Number of tasks for which room has to be freed; at least one counts.
    pub lacking: usize,
    /// Whether the stage would have asked the placement policy if a host could have called it.
    pub awaits_caller: bool,
    /// Whether the stage has suspects, or room that it may not use yet.
    pub isolated: bool,
    /// Whether the stage waits for a better place.
    pub awaits_place: bool,
}

/// A stage and the job that it belongs to, as input of a search.
pub(super) struct Search<'a> {
    pub key: &'a StageKey,
    pub stage: &'a LiveStage,
    pub job: &'a Job,
    pub spec: &'a StageSpec,
    pub limit: StartLimit,
    pub now: Now,
}

/// What a pass found out about the room of the cell. Valid within one pass, in which room only
/// shrinks.
#[derive(Default)]
pub(super) struct KnownRoom {
    /// Amounts for which no worker of a pool has room.
    without: Vec<(PoolIndex, Resources)>,
    /// Worker of a pool that had room for the latest amount that was searched for; most further
    /// amounts fit there too.
    roomy: Option<(PoolIndex, WorkerIndex)>,
}

impl KnownRoom {
    /// Whether there is no room for the amount because there is none for a smaller one.
    fn lacks(&self, needs: &StageNeeds) -> bool {
        let mut known = self.without.iter();
        known.any(|(pool, amount)| *pool == needs.pool && needs.amount.covers(amount))
    }

    fn insert_lacking(&mut self, needs: &StageNeeds) {
        self.without
            .retain(|(pool, amount)| *pool != needs.pool || !amount.covers(&needs.amount));
        if self.without.len() < MAX_AMOUNTS_WITHOUT_ROOM {
            self.without.push((needs.pool, needs.amount));
        }
    }
}

impl Term {
    /// Returns the pool of the workers of a service, which is created on first use.
    pub(super) fn pool_of(&mut self, service: &ServiceName) -> PoolIndex {
        if let Some(pool) = self.pools.get_index_of(service) {
            return pool;
        }
        self.pools.insert_full(service.clone()).0
    }

    pub(super) fn search<'a>(&'a self, key: &'a StageKey, now: Now) -> Option<Search<'a>> {
        self.passes.count_search();
        let job = self.state.jobs.get(&key.job)?;
        Some(Search {
            key,
            stage: self.stages.get(key)?,
            job,
            spec: job.stage_spec(key.stage)?,
            limit: self.start_limit(key, now),
            now,
        })
    }

    /// Returns the worker at an index of the ledger. Looking each worker up by its identifier took a
    /// tenth of the time of a pass.
    pub(super) fn worker_at(&self, index: WorkerIndex) -> Option<(&WorkerId, &LiveWorker)> {
        let position = self.passes.worker_positions.get(index);
        let found = position.and_then(|&position| self.workers.get_index(position));
        if let Some((id, worker)) = found
            && worker.index == index
        {
            return Some((id, worker));
        }
        self.passes.count_worker_lookup();
        let id = &self.ledger.worker(index)?.description.id;
        let (_, id, worker) = self.workers.get_full(id)?;
        Some((id, worker))
    }

    /// Whether any worker of the pool has room for one task, including workers that the stage may
    /// not use.
    pub(super) fn has_room(&self, needs: &StageNeeds, known: &mut KnownRoom) -> bool {
        if known.lacks(needs) {
            return false;
        }
        if let Some((pool, index)) = known.roomy
            && pool == needs.pool
            && self.ledger.free(index).covers(&needs.amount)
        {
            return true;
        }
        let workers = self
            .ledger
            .with_free_cpu(needs.pool, needs.amount.cpu_millis);
        for index in workers {
            self.passes.count_examined();
            if self.ledger.free(index).covers(&needs.amount) {
                known.roomy = Some((needs.pool, index));
                return true;
            }
        }
        known.insert_lacking(needs);
        false
    }

    /// Whether a stage may ask the placement policy now.
    pub(super) fn may_ask(&self, stage: &LiveStage, now: Now) -> bool {
        let refused = self.questions.is_refused(stage.needs.priority);
        now.at >= stage.next_question_at && (stage.needs.slow_policy.is_none() || !refused)
    }

    /// Records that a search for a stage found nothing.
    pub(super) fn record_empty_search(&mut self, key: &StageKey, result: EmptyResult, now: Now) {
        let growths = self.ledger.growths();
        self.passes.fruitless_searches += 1;
        let is_blocked = result.isolated || result.awaits_place || self.holds_back_starts();
        let validity = if is_blocked {
            BLOCKED_SEARCH_VALIDITY
        } else {
            EMPTY_SEARCH_VALIDITY
        };
        if let Some(stage) = self.stages.get_mut(key) {
            stage.empty_search = Some(EmptySearch {
                growths,
                lacking: result.lacking.max(1),
                awaits_caller: result.awaits_caller,
                awaits_place: result.awaits_place,
                repeat_at: now.at + validity,
            });
        }
    }

    /// Returns workers with room that the stage may use now: enough for `wanted` tasks, or all.
    pub(super) fn usable_candidates<'a>(
        &'a self,
        search: &Search<'a>,
        wanted: usize,
    ) -> Vec<Candidate<'a, &'a WorkerId>> {
        let mut candidates = Vec::new();
        if search.job.queue.placement_policy.is_some() {
            for id in search.stage.permits.granted_workers() {
                if search.stage.permits.usable(id, search.now.at).is_some() {
                    candidates.extend(self.candidate(search, id));
                }
            }
            return candidates;
        }
        let one_rack = search.spec.gang && search.spec.prefers_one_rack;
        let mut room = 0;
        for index in self.with_room_for(search) {
            let Some(candidate) = self.candidate_at(search, index) else {
                continue;
            };
            // Later workers of the same class have more free room and are a worse fit.
            if !one_rack && placing::is_best_class(search.spec, &candidate) {
                room += placing::room(search.spec, &candidate, wanted);
            }
            candidates.push(candidate);
            if room >= wanted {
                break;
            }
        }
        candidates
    }

    /// Returns workers on which a gang may reserve room, those with the most free processors first:
    /// enough for `missing` tasks, or all.
    pub(super) fn reservation_candidates<'a>(
        &'a self,
        search: &Search<'a>,
        missing: usize,
    ) -> Vec<Candidate<'a, &'a WorkerId>> {
        let mut candidates = Vec::new();
        if search.job.queue.placement_policy.is_some() {
            for id in search.stage.permits.granted_workers() {
                candidates.extend(self.candidate(search, id));
            }
            return candidates;
        }
        let mut room = 0;
        for index in self.with_room_for(search).rev() {
            let Some(candidate) = self.candidate_at(search, index) else {
                continue;
            };
            room += placing::room(search.spec, &candidate, missing);
            candidates.push(candidate);
            if room >= missing {
                break;
            }
        }
        candidates
    }

    /// Returns workers with room about which the policy can be asked, and whether there are more.
    pub(super) fn unpermitted<'a>(
        &'a self,
        search: &Search<'a>,
        wanted: usize,
    ) -> (Vec<Unpermitted<&'a WorkerId>>, bool) {
        let permits = &search.stage.permits;
        let mut found = Vec::new();
        let unpermitted =
            |candidate: &Candidate<'a, &'a WorkerId>, previously_granted| Unpermitted {
                room: placing::room(search.spec, candidate, wanted),
                previously_granted,
                worker: candidate.worker,
            };
        for id in permits.granted_workers() {
            if permits.usable(id, search.now.at).is_none()
                && let Some(candidate) = self.able_candidate(search, id)
            {
                found.push(unpermitted(&candidate, true));
            }
        }
        let mut unknown = 0;
        for index in self.with_room_for(search).rev() {
            let Some(candidate) = self.able_candidate_at(search, index) else {
                continue;
            };
            if permits.is_known(candidate.worker) {
                continue;
            }
            if unknown == MAX_UNKNOWN_WORKERS {
                return (found, true);
            }
            unknown += 1;
            found.push(unpermitted(&candidate, false));
        }
        (found, false)
    }

    /// Returns the workers with enough free processors for a task, in increasing order of them.
    fn with_room_for(&self, search: &Search) -> impl DoubleEndedIterator<Item = WorkerIndex> {
        let needs = &search.stage.needs;
        self.ledger
            .with_free_cpu(needs.pool, needs.amount.cpu_millis)
    }

    fn candidate_at<'a>(
        &'a self,
        search: &Search<'a>,
        index: WorkerIndex,
    ) -> Option<Candidate<'a, &'a WorkerId>> {
        let entry = self.ledger.worker(index)?;
        if !entry.free().covers(&search.stage.needs.amount) {
            self.passes.count_examined();
            return None;
        }
        let candidate = self.able_candidate_at(search, index)?;
        self.isolation_allows(search, candidate.worker)
            .then_some(candidate)
    }

    /// Returns the worker as a candidate if it may run tasks of the stage now and has room for one.
    pub(super) fn candidate<'a>(
        &'a self,
        search: &Search<'a>,
        id: &WorkerId,
    ) -> Option<Candidate<'a, &'a WorkerId>> {
        let candidate = self.able_candidate(search, id)?;
        self.isolation_allows(search, id).then_some(candidate)
    }

    /// Like [`Self::candidate`], but without regard to the isolation of suspects: the answer of the
    /// policy does not depend on it, and it ends soon.
    fn able_candidate<'a>(
        &'a self,
        search: &Search<'a>,
        id: &WorkerId,
    ) -> Option<Candidate<'a, &'a WorkerId>> {
        let found = self.workers.get_full(id);
        self.to_able_candidate(search, found.map(|(_, id, worker)| (id, worker)))
    }

    /// Like [`Self::able_candidate`] for the worker at an index of the ledger.
    fn able_candidate_at<'a>(
        &'a self,
        search: &Search<'a>,
        index: WorkerIndex,
    ) -> Option<Candidate<'a, &'a WorkerId>> {
        self.to_able_candidate(search, self.worker_at(index))
    }

    fn to_able_candidate<'a>(
        &'a self,
        search: &Search<'a>,
        worker: Option<(&'a WorkerId, &'a LiveWorker)>,
    ) -> Option<Candidate<'a, &'a WorkerId>> {
        self.passes.count_examined();
        let (id, worker) = worker?;
        let (spec, now) = (search.spec, search.now.at);
        if !worker.reachable || worker.record.service != search.job.queue.service {
            return None;
        }
        let entry = self.ledger.worker(worker.index)?;
        let free = entry.free();
        if entry.status != WorkerStatus::Up
            || entry.is_over_allocated()
            || !free.covers(&search.stage.needs.amount)
        {
            return None;
        }
        if worker.health.is_avoided(now)
            || (worker.health.needs_probe(now) && (spec.gang || !worker.runs.is_empty()))
        {
            return None;
        }
        if let Some(label) = &spec.required_label
            && !worker.record.has_label(label)
        {
            return None;
        }
        let tasks_of_stage = if spec.max_tasks_per_worker.is_some() {
            let runs = worker.runs.iter();
            runs.filter(|task| task.stage == *search.key).count() as u32
        } else {
            0
        };
        Some(Candidate {
            worker: id,
            free,
            rack: worker.record.rack(),
            tasks_of_stage,
            slowness: worker.slowness(),
        })
    }
}

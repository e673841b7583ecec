//! Placement of gangs: room is gathered for all members before any of them starts.

use std::time::Duration;

use super::super::decisions::permits::{self, Unpermitted};
use super::super::decisions::placing::{self, Candidate};
use super::super::decisions::reservations::{has_enough_workers, needs_permits, reserve_room};
use super::super::spec::{StageKey, StageSpec};
use super::Now;
use super::policy::Question;
use super::scheduling::{Choice, StageDecision};
use super::search::MAX_UNKNOWN_WORKERS;
use super::term::{LiveWorker, Term};
use crate::ids::WorkerId;
use crate::resources::Resources;

/// Time after which a gang that knows all workers looks for new ones. One tick.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(100);

impl Term {
    /// Places a gang that has room, or keeps room for it where `may_gather` allows it; returns a
    /// question about its workers. `may_fit` is false when its last search found no room for all
    /// members and no room has grown since that one of them could use.
    pub(super) fn serve_gang(
        &mut self,
        key: &StageKey,
        may_gather: bool,
        may_fit: bool,
        now: Now,
    ) -> Option<Question> {
        let job = self.state.jobs.get(&key.job)?;
        let spec = job.stage_spec(key.stage)?.clone();
        let has_policy = job.queue.placement_policy.is_some();
        let stage = self.stages.get(key)?;
        if !stage.is_whole() {
            return None;
        }
        if may_fit && (stage.holds.is_empty() || stage.asking) {
            // Without held room the gang may still find it all free at once.
            match self.decide_stage(key, now) {
                StageDecision::Place(choices) => {
                    self.release_holds(key);
                    self.place(key, choices, now);
                    return None;
                }
                StageDecision::Ask(_) | StageDecision::Wait => {}
                StageDecision::NothingFound => self.note_empty_search(key, now),
            }
        }
        if self.stages.get(key)?.asking {
            return None;
        }
        if !may_gather || spec.prefers_one_rack {
            return self.ask_for_gang(key, &spec, now);
        }
        if has_policy && !has_enough_workers(&spec, self.potential(key, &spec)) {
            let question = self.ask_for_gang(key, &spec, now);
            if question.is_some() {
                return question;
            }
        }
        self.gather_room(key, &spec, now);
        self.start_gathered(key, &spec, has_policy, now)
    }

    /// The stage at a position, when it holds room that it has gathered. Each scheduling pass returns
    /// this room and gives it out anew in the order of the ranks: a gang that is late would otherwise
    /// keep room that one in time needs.
    pub(super) fn gathering_gang(&self, position: usize) -> Option<StageKey> {
        let (key, stage) = self.stages.get_index(position)?;
        (!stage.asking && !stage.holds.is_empty()).then(|| key.clone())
    }

    /// Keeps room on good workers as it becomes free.
    fn gather_room(&mut self, key: &StageKey, spec: &StageSpec, now: Now) {
        let Some(search) = self.search(key, now) else {
            return;
        };
        let held: usize = search.stage.holds.values().sum();
        let missing = search.stage.waiting.len().saturating_sub(held);
        let candidates = self.gathering_candidates(&search, missing);
        let kept = reserve_room(spec, missing, &candidates);
        let mut holds: Vec<(WorkerId, usize)> = Vec::new();
        for (candidate, count) in candidates.iter().zip(kept) {
            if count > 0 {
                holds.push((candidate.worker.clone(), count));
            }
        }
        for (worker, count) in holds {
            self.hold(key, spec, &worker, count);
        }
    }

    /// Starts a gang whose members all have room and permits; renews the permits once most members
    /// have room and one has expired. All are renewed together: one after the other, the first would
    /// expire again before the last is there.
    fn start_gathered(
        &mut self,
        key: &StageKey,
        spec: &StageSpec,
        has_policy: bool,
        now: Now,
    ) -> Option<Question> {
        self.drop_unusable_holds(key);
        let stage = self.stages.get(key)?;
        let held: usize = stage.holds.values().sum();
        let tasks = spec.task_count as usize;
        if !needs_permits(held, tasks) {
            return None;
        }
        let expires = |worker: &WorkerId| stage.permits.usable(worker, now.at).is_none();
        if has_policy && stage.holds.keys().any(expires) {
            if now.at < stage.ask_again_at {
                return None;
            }
            let held = stage.holds.keys().map(|worker| Unpermitted {
                worker: worker.clone(),
                room: 0,
                previously_granted: true,
            });
            let held = held.collect();
            return self.question(key, held, now);
        }
        if held < tasks {
            return None;
        }
        let mut tasks = stage.waiting.iter().copied();
        let mut choices = Vec::new();
        for (worker, count) in &stage.holds {
            for task in tasks.by_ref().take(*count) {
                choices.push(Choice {
                    task,
                    worker: worker.clone(),
                    permit: stage.permits.usable(worker, now.at).map(str::to_owned),
                });
            }
        }
        self.release_holds(key);
        self.place(key, choices, now);
        None
    }

    /// Gives up room on workers that do not answer or leave.
    fn drop_unusable_holds(&mut self, key: &StageKey) {
        let Some(stage) = self.stages.get(key) else {
            return;
        };
        let usable = |worker: &LiveWorker| worker.reachable && !worker.record.draining;
        let holds = stage.holds.keys();
        let lost = holds.filter(|id| !self.workers.get(*id).is_some_and(usable));
        let lost: Vec<WorkerId> = lost.cloned().collect();
        for worker in lost {
            self.release_hold(key, &worker);
        }
    }

    /// Tasks of a gang that fit on its known good workers when they are empty.
    fn potential(&self, key: &StageKey, spec: &StageSpec) -> usize {
        let Some(stage) = self.stages.get(key) else {
            return 0;
        };
        let mut potential = 0;
        for id in stage.permits.granted_workers() {
            self.passes.count_examined();
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            if worker.reachable && !worker.record.draining {
                potential += capacity_for(spec, worker.record.capacity);
            }
        }
        potential
    }

    /// Asks about workers that the gang does not know, whether they have room now or not: what the
    /// policy says of a worker does not change.
    fn ask_for_gang(&mut self, key: &StageKey, spec: &StageSpec, now: Now) -> Option<Question> {
        let job = self.state.jobs.get(&key.job)?;
        let policy = job.queue.placement_policy.as_ref()?;
        let stage = self.stages.get(key)?;
        if stage.asking
            || now.at < stage.ask_again_at.max(stage.look_again_at)
            || self.callers_are_busy(policy)
        {
            return None;
        }
        let label = spec.required_label.as_ref();
        let mut unknown = Vec::new();
        // Those with the most free processors first.
        for index in self.ledger.with_free_cpu(stage.needs.pool, 0).rev() {
            self.passes.count_examined();
            let id = self.ledger.worker(index).map(|entry| &entry.description.id);
            let Some((id, worker)) = id.and_then(|id| Some((id, self.workers.get(id)?))) else {
                continue;
            };
            if stage.permits.is_known(id)
                || !worker.reachable
                || !label.is_none_or(|label| worker.record.has_label(label))
            {
                continue;
            }
            let room = capacity_for(spec, worker.record.capacity);
            if room == 0 {
                continue;
            }
            unknown.push(Unpermitted {
                worker: id.clone(),
                room,
                previously_granted: false,
            });
            if unknown.len() == MAX_UNKNOWN_WORKERS {
                break;
            }
        }
        let share = self.good_shares.get(&job.queue.name).copied();
        let share = share.unwrap_or_default();
        let wanted = spec.task_count as usize * 2;
        let mut cost = self.question_cost(job);
        // Workers that were not examined are too many to ask about all.
        cost.callers_are_free &= unknown.len() < MAX_UNKNOWN_WORKERS;
        let workers = permits::choose_workers(unknown, wanted, false, share, cost);
        if workers.is_empty() {
            if let Some(stage) = self.stages.get_mut(key) {
                stage.look_again_at = now.at + LOOK_AGAIN_AFTER;
            }
            return None;
        }
        // Nothing is held for these questions: room counts once the good workers are known.
        let workers = workers
            .into_iter()
            .map(|one| Unpermitted { room: 0, ..one });
        self.question(key, workers.collect(), now)
    }
}

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

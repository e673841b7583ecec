//! Placement of gangs: room is gathered for all members before any of them starts.

use super::super::decisions::permits::{self, Unpermitted};
use super::super::decisions::placing::{self, Candidate};
use super::super::decisions::reservations::{gather, knows_enough, needs_permits};
use super::super::spec::{StageKey, StageSpec};
use super::Now;
use super::policy::Question;
use super::scheduling::{Choice, StageDecision};
use super::term::{LiveWorker, Term};
use crate::ids::WorkerId;
use crate::resources::Resources;

impl Term {
    /// Places a gang that has room, or keeps room for it where `may_gather` allows it; returns a
    /// question about its workers.
    pub(super) fn serve_gang(
        &mut self,
        key: &StageKey,
        may_gather: bool,
        now: Now,
    ) -> Option<Question> {
        let job = self.state.jobs.get(&key.job)?;
        let spec = job.stage_spec(key.stage)?.clone();
        let has_policy = job.queue.placement_policy.is_some();
        if !self.is_whole(key) {
            return None;
        }
        let stage = self.stages.get(key)?;
        if stage.holds.is_empty() || stage.asking {
            // Without held room the gang may still find it all free at once.
            match self.decide_stage(key, now) {
                StageDecision::Place(choices) => {
                    self.release_holds(key);
                    self.place(key, choices, now);
                    return None;
                }
                StageDecision::Ask(_) | StageDecision::Wait => {}
            }
        }
        if self.stages.get(key)?.asking {
            return None;
        }
        if !may_gather || spec.prefers_one_rack {
            return self.ask_for_gang(key, &spec, now);
        }
        if has_policy && !knows_enough(&spec, self.potential(key, &spec)) {
            let question = self.ask_for_gang(key, &spec, now);
            if question.is_some() {
                return question;
            }
        }
        self.gather_room(key, &spec, now);
        self.start_gathered(key, &spec, has_policy, now)
    }

    /// Returns the room that a gang has gathered, so that each scheduling pass gives it out anew in
    /// the order of the ranks: a gang that is late would otherwise keep room that one in time needs.
    pub(super) fn return_gathered_room(&mut self, key: &StageKey) {
        let asking = self.stages.get(key).is_none_or(|stage| stage.asking);
        if !asking {
            self.release_holds(key);
        }
    }

    /// Keeps room on good workers as it becomes free.
    fn gather_room(&mut self, key: &StageKey, spec: &StageSpec, now: Now) {
        let Some(job) = self.state.jobs.get(&key.job) else {
            return;
        };
        let Some(stage) = self.stages.get(key) else {
            return;
        };
        let policy = job.queue.placement_policy.is_some();
        let held: usize = stage.holds.values().sum();
        let missing = stage.waiting.len().saturating_sub(held);
        self.examined.note(self.workers.len());
        let mut candidates: Vec<Candidate<'_, WorkerId>> = Vec::new();
        for (id, worker) in &self.workers {
            if policy && !stage.permits.was_granted(id) {
                continue;
            }
            candidates.extend(self.candidate(key, spec, &job.queue.service, (id, worker), now));
        }
        let kept = gather(spec, missing, &candidates);
        let kept: Vec<(WorkerId, usize)> = candidates
            .into_iter()
            .map(|candidate| candidate.worker)
            .zip(kept)
            .collect();
        for (worker, count) in kept {
            if count > 0 {
                self.hold(key, spec, &worker, count);
            }
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
                known_good: true,
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
        let workers = self.workers.iter();
        let good = workers.filter(|(id, worker)| {
            worker.reachable && !worker.record.draining && stage.permits.was_granted(id)
        });
        good.map(|(_, worker)| capacity_for(spec, worker.record.capacity))
            .sum()
    }

    /// Asks about workers that the gang does not know, whether they have room now or not: what the
    /// policy says of a worker does not change.
    fn ask_for_gang(&mut self, key: &StageKey, spec: &StageSpec, now: Now) -> Option<Question> {
        let job = self.state.jobs.get(&key.job)?;
        job.queue.placement_policy.as_ref()?;
        let stage = self.stages.get(key)?;
        if stage.asking || now.at < stage.ask_again_at {
            return None;
        }
        let mut unknown = Vec::new();
        for (id, worker) in &self.workers {
            let label = spec.required_label.as_ref();
            let fits = worker.reachable
                && !worker.record.draining
                && worker.record.service == job.queue.service
                && label.is_none_or(|label| worker.record.has_label(label));
            let room = capacity_for(spec, worker.record.capacity);
            if fits && room > 0 && !stage.permits.is_known(id) {
                unknown.push((self.ledger.free(worker.index).cpu_millis, id, room));
            }
        }
        unknown.sort_by_key(|(free, ..)| std::cmp::Reverse(*free));
        let workers = unknown.into_iter().map(|(_, id, room)| Unpermitted {
            worker: id.clone(),
            room,
            known_good: false,
        });
        let share = self.good_shares.get(&job.queue.name).copied();
        let wanted = spec.task_count as usize * 2;
        let workers = permits::choose_workers(
            workers.collect(),
            wanted,
            false,
            share.unwrap_or_default(),
            self.question_cost(job),
        );
        if workers.is_empty() {
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

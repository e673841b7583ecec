//! Renewal of the permits of gangs that have room for all members, and their start.

use std::time::{Duration, Instant};

use super::super::decisions::permits::Unpermitted;
use super::super::decisions::renewals::{
    RenewalsInFlight, WorkerWithRoom, longest_hold, plan_renewal,
};
use super::super::decisions::reservations::reserve_whole_gang;
use super::super::instruments::instruments;
use super::super::spec::{StageKey, StageSpec};
use super::Now;
use super::policy::Question;
use super::scheduling::Choice;
use super::term::{LiveStage, LiveWorker, Term};
use crate::ids::WorkerId;

impl LiveStage {
    /// Number of tasks for which room is reserved.
    pub(super) fn reserved_tasks(&self) -> usize {
        self.reservations.values().sum()
    }

    fn renewals_in_flight(&self) -> Option<RenewalsInFlight> {
        Some(RenewalsInFlight {
            first_answer_at: *self.renewing.values().min()?,
            last_answer_at: *self.renewing.values().max()?,
        })
    }
}

impl Term {
    /// Starts a gang whose members all have room and permits. If all have room only, returns the
    /// questions that renew the permits; if that cannot succeed, releases the room.
    pub(super) fn start_reserved_gang(&mut self, key: &StageKey, now: Now) -> Vec<Question> {
        self.release_unusable_reservations(key);
        self.note_whole_room(key, now);
        let Some(stage) = self.stages.get(key) else {
            return Vec::new();
        };
        if stage.room_whole_since.is_none() {
            return Vec::new();
        }
        let has_policy = stage.needs.slow_policy.is_some();
        let lapsed = |worker: &WorkerId| stage.permits.usable(worker, now.at).is_none();
        if !has_policy || !stage.reservations.keys().any(lapsed) {
            self.place_reserved_gang(key, now);
            return Vec::new();
        }
        let questions = self.renew_permits(key, now);
        if questions.is_empty() {
            self.give_up_long_hold(key, now);
        }
        questions
    }

    fn place_reserved_gang(&mut self, key: &StageKey, now: Now) {
        let Some(stage) = self.stages.get(key) else {
            return;
        };
        let mut tasks = stage.waiting.iter().copied();
        let mut choices = Vec::new();
        for (worker, count) in &stage.reservations {
            for task in tasks.by_ref().take(*count) {
                choices.push(Choice {
                    task,
                    worker: worker.clone(),
                    permit: stage.permits.usable(worker, now.at).map(str::to_owned),
                });
            }
        }
        self.release_reservations(key);
        self.place(key, choices, now);
    }

    /// Renews the permits of a gang whose members all have room now on workers that the policy has
    /// granted, and keeps the room until the answers. Any gang may do so: it does not gather room, and
    /// without renewed permits it would wait although it could start.
    pub(super) fn renew_permits_for_free_room(
        &mut self,
        key: &StageKey,
        spec: &StageSpec,
        now: Now,
    ) -> Vec<Question> {
        let Some(stage) = self.stages.get(key) else {
            return Vec::new();
        };
        let may_ask = self.may_ask(stage, now) && now.at >= stage.next_gathering_at;
        if !may_ask || !stage.permits.has_expired(now.at) {
            return Vec::new();
        }
        let Some(search) = self.search(key, now) else {
            return Vec::new();
        };
        let candidates = self.reservation_candidates(&search, spec.task_count as usize);
        let Some(counts) = reserve_whole_gang(spec, &candidates) else {
            return Vec::new();
        };
        let rooms = candidates.iter().zip(counts);
        let rooms: Vec<(WorkerId, usize)> = rooms
            .filter(|(_, count)| *count > 0)
            .map(|(candidate, count)| (candidate.worker.clone(), count))
            .collect();
        for (worker, count) in rooms {
            self.reserve(key, spec, &worker, count);
        }
        let questions = self.start_reserved_gang(key, now);
        if questions.is_empty() {
            self.release_reservations(key);
            if let Some(stage) = self.stages.get_mut(key) {
                stage.room_whole_since = None;
            }
        }
        questions
    }

    /// Returns the questions that renew the permits for the reserved room of a gang, and keeps the room
    /// until the answers.
    fn renew_permits(&mut self, key: &StageKey, now: Now) -> Vec<Question> {
        let (Some(job), Some(stage)) = (self.state.jobs.get(&key.job), self.stages.get(key)) else {
            return Vec::new();
        };
        let Some(policy) = &job.queue.placement_policy else {
            return Vec::new();
        };
        if now.at < stage.next_question_at {
            return Vec::new();
        }
        let workers = stage.reservations.keys();
        let workers = workers.filter(|worker| !stage.renewing.contains_key(*worker));
        let workers = workers.map(|worker| WorkerWithRoom {
            worker: worker.clone(),
            usable_until: stage.permits.usable_until(worker, now.at),
        });
        let plan = plan_renewal(
            workers.collect(),
            stage.renewals_in_flight(),
            self.question_cost(&job.queue),
            self.callers(&job.queue, now.at),
            Duration::from_millis(policy.validity_ms),
            now.at,
        );
        if plan.questions.is_empty() {
            self.note_busy_callers(key, now);
        }
        let mut is_incomplete = plan.is_incomplete;
        let mut questions = Vec::new();
        for workers in plan.questions {
            let Some(question) = self.renewal(key, workers, now) else {
                is_incomplete = true;
                break;
            };
            questions.push(question);
        }
        if let Some(stage) = self.stages.get_mut(key) {
            stage.renewal_is_incomplete = is_incomplete;
        }
        questions
    }

    /// Prepares a question about workers on which a gang has room.
    fn renewal(&mut self, key: &StageKey, workers: Vec<WorkerId>, now: Now) -> Option<Question> {
        let unpermitted = workers.into_iter().map(|worker| Unpermitted {
            worker,
            room: 0,
            previously_granted: true,
        });
        let question = self.question(key, unpermitted.collect(), now)?;
        let host = question.host.as_ref().unwrap_or(&self.settings.host);
        let caller = self.policy_callers.get(host);
        let round_trip = caller.map_or(Duration::ZERO, |caller| caller.round_trip);
        let answer_at = now.at + question.expected + round_trip;
        let stage = self.stages.get_mut(key)?;
        let asked = question.workers.iter().cloned();
        stage
            .renewing
            .extend(asked.map(|worker| (worker, answer_at)));
        stage.renewals += 1;
        instruments().count_permit_renewal();
        let usable = stage.reservations.keys();
        let usable = usable.filter_map(|worker| stage.permits.usable_until(worker, now.at));
        log::info!(
            stage:% = key, tasks = stage.needs.task_count, reserved = stage.reserved_tasks(),
            workers = stage.reservations.len(), usable = usable.clone().count(),
            asked = question.workers.len(), asking = stage.renewing.len(), host:? = question.host,
            renewals = stage.renewals,
            whole_ms:? = stage.room_whole_since.map(|since| millis_since(since, now.at)),
            earliest_expiry_ms:? = usable.min().map(|at| millis_since(now.at, at));
            "permits of a gang are renewed"
        );
        Some(question)
    }

    /// Releases the room of a gang that has had room for all members for so long that its permits will
    /// not all be usable at the same time. Others can use the room for as long.
    fn give_up_long_hold(&mut self, key: &StageKey, now: Now) {
        let (Some(job), Some(stage)) = (self.state.jobs.get(&key.job), self.stages.get(key)) else {
            return;
        };
        let Some(since) = stage.room_whole_since else {
            return;
        };
        if !stage.renewing.is_empty() {
            return;
        }
        let callers = self.callers(&job.queue, now.at);
        let hold = longest_hold(self.question_cost(&job.queue), callers);
        if now.at < since + hold {
            return;
        }
        log::warn!(
            stage:% = key, tasks = stage.needs.task_count, workers = stage.reservations.len(),
            whole_ms = millis_since(since, now.at), renewals = stage.renewals,
            free_callers = callers.free, callers = callers.places;
            "a gang gives its room back: its permits are not valid at the same time"
        );
        instruments().count_abandoned_room();
        self.stop_gathering(key, now.at + hold);
    }

    /// Records whether there is reserved room for all members of a gang.
    fn note_whole_room(&mut self, key: &StageKey, now: Now) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        let is_whole = stage.reserved_tasks() >= stage.waiting.len();
        let since = stage.room_whole_since.unwrap_or(now.at);
        stage.room_whole_since = is_whole.then_some(since);
    }

    /// Releases reservations on workers that are unreachable or draining.
    fn release_unusable_reservations(&mut self, key: &StageKey) {
        let Some(stage) = self.stages.get(key) else {
            return;
        };
        let reserved = stage.reservations.keys();
        let unusable =
            reserved.filter(|id| !self.workers.get(*id).is_some_and(LiveWorker::is_in_service));
        let unusable: Vec<WorkerId> = unusable.cloned().collect();
        for worker in unusable {
            self.release_reservation(key, &worker);
        }
    }
}

/// Returns the milliseconds between two times, zero if the second is not later.
pub(super) fn millis_since(earlier: Instant, later: Instant) -> u64 {
    later.saturating_duration_since(earlier).as_millis() as u64
}

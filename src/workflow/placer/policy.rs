//! Questions to the placement policy, distributed over the hosts of the cell.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;

use super::super::calls::{CallFailure, POLICY_EXTENSION, PolicyAnswer, PolicyQuestion};
use super::super::decisions::permits::{self, MAX_QUEUE, QuestionCost, Unpermitted};
use super::super::decisions::placing::{self, Candidate};
use super::super::decisions::renewals::Callers;
use super::super::instruments::instruments;
use super::super::queues::{PlacementPolicy, Queue};
use super::super::spec::StageKey;
use super::scheduling::StageDecision;
use super::search::Search;
use super::term::{PolicyCaller, Term};
use super::{Now, POLICY_THREADS, Placer};
use crate::ids::{Epoch, HostId, WorkerId};
use crate::protocol::peer::{PeerReply, PeerRequest};

/// Time allowed for an answer beyond the expected time of the decision: a round trip between regions
/// and a queue.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Delay before a stage asks again after a question without an answer.
const QUESTION_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time without contact after which a host receives no questions and is no candidate for membership
/// of the workflow log.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Initial estimate of the time that an answer takes beyond the decision itself: a round trip
/// between regions.
pub(super) const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(60);
/// Weight of each measured round trip in the moving average.
const ROUND_TRIP_WEIGHT_PERCENT: u32 = 20;
/// Decision time above which a policy is slow. Slow questions are sent by some hosts only, so that
/// quick ones do not queue behind them.
const SLOW_DECISION_MS: f64 = 200.0;

/// A question about workers for a stage that is in flight.
pub(super) struct Question {
    pub epoch: Epoch,
    pub stage: StageKey,
    pub workers: Vec<WorkerId>,
    /// Number of these workers that the policy had granted before.
    pub renewed: usize,
    /// Host that calls the policy; `None` for this host.
    pub host: Option<HostId>,
    /// Expected time from `decided_at` to the decision, without the round trip to the policy.
    pub expected: Duration,
    /// Time at which the question was decided on.
    pub decided_at: Instant,
    /// Priority of the queue of the stage.
    pub priority: u32,
}

impl PolicyCaller {
    /// Whether the queue of the host is short enough for another question.
    fn takes_question(&self, now: Instant) -> bool {
        self.busy_until <= now + MAX_QUEUE
    }
}

impl Placer {
    pub(super) fn run_questions(self: &Arc<Self>, queue: &Receiver<Question>) {
        for question in queue {
            let sent_at = self.clock.now();
            let result = self.ask(&question);
            let next = self.with_term(Some(question.epoch), |term, now| {
                term.handle_policy_answer(&question, sent_at, result, now)
            });
            for next in next.unwrap_or_default() {
                let _ = self.questions.send(next);
            }
        }
    }

    fn ask(&self, question: &Question) -> Result<PolicyAnswer, CallFailure> {
        let timeout = question.expected + ANSWER_TIMEOUT_MARGIN;
        let deadline = self.clock.now() + timeout;
        let message = PolicyQuestion {
            stage: question.stage.clone(),
            workers: question.workers.clone(),
            timeout_ms: u64::try_from(timeout.as_millis()).unwrap_or(0),
        };
        let Some(host) = &question.host else {
            return (self.outside.ask_policy)(&message, deadline);
        };
        let encoded = postcard::to_stdvec(&message);
        let message = encoded.map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let request = PeerRequest::Extension {
            name: POLICY_EXTENSION.to_owned(),
            message,
        };
        match (self.find_peer)(host).call(request, deadline) {
            Ok(PeerReply::Message(reply)) => {
                let decoded: Result<Result<PolicyAnswer, String>, _> = postcard::from_bytes(&reply);
                let answer = decoded.map_err(|error| CallFailure::NoAnswer(error.to_string()))?;
                answer.map_err(CallFailure::NoAnswer)
            }
            Ok(other) => Err(CallFailure::NoAnswer(format!("{other:?}"))),
            Err(error) => Err(CallFailure::NoAnswer(error.to_string())),
        }
    }
}

/// Whether the decisions of the policy take so long that they are kept apart from quick ones.
pub(super) fn is_slow(policy: &PlacementPolicy) -> bool {
    policy.decision_ms > SLOW_DECISION_MS
}

impl Term {
    /// Returns the cost of a question for a queue, of zero decision time when it has no policy.
    pub(super) fn question_cost(&self, queue: &Queue) -> QuestionCost {
        let policy = queue.placement_policy.as_ref();
        QuestionCost {
            decision_ms: policy.map_or(0.0, |policy| policy.decision_ms),
            per_worker_ms: policy.map_or(0.0, |policy| policy.per_worker_ms),
            callers_are_free: self.questions.open_questions() * 2
                < POLICY_THREADS.min(self.policy_callers.len()),
        }
    }

    /// Chooses the host whose answer is expected first and adds the question to its queue. Returns
    /// the host, `None` for this one, and the expected time of the decision, or `None` while the
    /// queues of all hosts are too long or the free ones are owed to other priorities.
    pub(super) fn choose_policy_caller(
        &mut self,
        queue: &Queue,
        workers: usize,
        now: Instant,
    ) -> Option<(Option<HostId>, Duration)> {
        queue.placement_policy.as_ref()?;
        let decision = self.question_cost(queue).decision(workers);
        let Some(position) = self.free_policy_caller(queue, now) else {
            self.refuse_question(queue);
            return None;
        };
        self.questions.open(queue.priority);
        let (host, caller) = self.policy_callers.get_index_mut(position)?;
        caller.busy_until = caller.busy_until.max(now) + decision;
        let expected = caller.busy_until.saturating_duration_since(now);
        let this_host = *host == self.settings.host;
        Some(((!this_host).then(|| host.clone()), expected))
    }

    /// Returns the position of the host whose answer to a question of a queue is expected first, or
    /// `None` while none takes one.
    pub(super) fn free_policy_caller(&self, queue: &Queue, now: Instant) -> Option<usize> {
        let slow = is_slow(queue.placement_policy.as_ref()?);
        let hosts = self.hosts_for_questions(slow, now);
        let mut first = None;
        for &position in &hosts {
            let (_, caller) = self.policy_callers.get_index(position)?;
            if !caller.takes_question(now) {
                continue;
            }
            let free_at = caller.busy_until.max(now) + caller.round_trip;
            if first.is_none_or(|(earliest, _)| free_at < earliest) {
                first = Some((free_at, position));
            }
        }
        let is_allowed = self.questions.allows(queue.priority, POLICY_THREADS);
        let first = first.filter(|_| is_allowed);
        first.map(|(_, position)| position)
    }

    /// Returns how many questions of a queue can be asked now and in all, and how long their answers
    /// take beyond the decision on average.
    pub(super) fn callers(&self, queue: &Queue, now: Instant) -> Callers {
        let slow = queue.placement_policy.as_ref().is_some_and(is_slow);
        let hosts = self.hosts_for_questions(slow, now);
        let mut free = 0;
        let mut round_trips = Duration::ZERO;
        for position in &hosts {
            let Some((_, caller)) = self.policy_callers.get_index(*position) else {
                continue;
            };
            round_trips += caller.round_trip;
            free += usize::from(caller.takes_question(now));
        }
        let allowed = self.questions.places(queue.priority, POLICY_THREADS);
        Callers {
            free: free.min(allowed),
            places: hosts
                .len()
                .min(self.questions.open_of(queue.priority) + allowed),
            round_trip: round_trips / hosts.len().max(1) as u32,
        }
    }

    /// Whether there are hosts that call the policy of a queue, and none takes a question of it now.
    pub(super) fn are_policy_callers_busy(&self, queue: &Queue, now: Instant) -> bool {
        !self.policy_callers.is_empty() && self.free_policy_caller(queue, now).is_none()
    }

    /// Records for the rest of a pass that no host takes a question of the queue of a stage, if so.
    pub(super) fn note_busy_callers(&mut self, key: &StageKey, now: Now) {
        let (Some(job), Some(stage)) = (self.state.jobs.get(&key.job), self.stages.get(key)) else {
            return;
        };
        if self.may_ask(stage, now) && self.are_policy_callers_busy(&job.queue, now.at) {
            let queue = job.queue.clone();
            self.refuse_question(&queue);
        }
    }

    /// Records that no host takes a question of a queue now.
    fn refuse_question(&mut self, queue: &Queue) {
        self.questions.refuse(queue.priority);
    }

    /// Returns the positions of the hosts for slow or for quick questions. The nearer half receives
    /// the quick ones, for which the round trip matters most.
    fn hosts_for_questions(&self, slow: bool, now: Instant) -> Vec<usize> {
        let callers = self.policy_callers.values().enumerate();
        let fresh = callers.filter(|(_, caller)| now < caller.last_contact_at + CONTACT_TIMEOUT);
        let mut hosts: Vec<(Duration, usize)> = fresh
            .map(|(position, caller)| (caller.round_trip, position))
            .collect();
        let half = hosts.len().div_ceil(2);
        if half < hosts.len() {
            hosts.select_nth_unstable(half);
            if slow {
                hosts.drain(..half);
            } else {
                hosts.truncate(half);
            }
        }
        hosts.into_iter().map(|(_, position)| position).collect()
    }

    /// Handles the result of a question and schedules its stage again. Returns further questions.
    pub(super) fn handle_policy_answer(
        &mut self,
        question: &Question,
        sent_at: Instant,
        result: Result<PolicyAnswer, CallFailure>,
        now: Now,
    ) -> Vec<Question> {
        // Other stages can use the host again, and this stage its permits.
        self.passes.changed = true;
        self.questions.close(question.priority);
        self.questions.clear_refusals();
        let took = now.at.saturating_duration_since(sent_at);
        if result.is_ok() {
            let host = question.host.as_ref().unwrap_or(&self.settings.host);
            if let Some(caller) = self.policy_callers.get_mut(host) {
                let round_trip = took.saturating_sub(question.expected);
                caller.round_trip = caller.round_trip * (100 - ROUND_TRIP_WEIGHT_PERCENT) / 100
                    + round_trip * ROUND_TRIP_WEIGHT_PERCENT / 100;
            }
        }
        instruments().record_policy(result.is_ok(), took);
        let took_ms = took.as_millis() as u64;
        let queued_ms = sent_at
            .saturating_duration_since(question.decided_at)
            .as_millis() as u64;
        let expected_ms = question.expected.as_millis() as u64;
        log::info!(
            stage:% = question.stage, host:? = question.host, asked = question.workers.len(),
            renewed = question.renewed, granted:? = result.as_ref().ok().map(|answer| answer.granted.len()), queued_ms,
            took_ms, expected_ms;
            "placement policy answered"
        );
        self.apply_policy_answer(question, sent_at, result, now);
        // The stage is scheduled before others can use the room that was reserved for it.
        if self.is_gang(&question.stage) {
            let stage = self.stages.get(&question.stage);
            let gathers = stage.is_some_and(|stage| stage.gathers_since.is_some());
            return self.schedule_gang(&question.stage, gathers, true, now);
        }
        self.release_reservations(&question.stage);
        let next = self.schedule_stage(&question.stage, now);
        next.into_iter().collect()
    }

    fn apply_policy_answer(
        &mut self,
        question: &Question,
        sent_at: Instant,
        result: Result<PolicyAnswer, CallFailure>,
        now: Now,
    ) {
        let Some(stage) = self.stages.get_mut(&question.stage) else {
            return;
        };
        stage.open_questions = stage.open_questions.saturating_sub(1);
        stage.empty_search = None;
        let restarted = stage.restarted_workers.clone();
        for worker in &question.workers {
            stage.renewing.swap_remove(worker);
        }
        if stage.open_questions == 0 {
            stage.restarted_workers.clear();
        }
        let Some(job) = self.state.jobs.get(&question.stage.job) else {
            return;
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(failure) => {
                log::warn!(
                    stage:% = question.stage, host:? = question.host,
                    workers = question.workers.len();
                    "the placement policy did not answer: {failure}"
                );
                stage.next_question_at = now.at + QUESTION_RETRY_DELAY;
                return;
            }
        };
        let policy = job.queue.placement_policy.as_ref();
        let configured = policy.map(|policy| policy.validity_ms);
        let validity_ms = answer.validity_ms.or(configured).unwrap_or(0);
        // The policy issues the permits at the end of its decision, before which the question waits
        // for others of its host. This process may have been paused since, or the answer delayed.
        let issued_at = now.at.min(sent_at + question.expected);
        let expires_at = issued_at + Duration::from_millis(validity_ms);
        stage
            .permits
            .record(&question.workers, &answer.granted, expires_at);
        for worker in &restarted {
            stage.permits.remove(worker);
        }
        let queue = job.queue.name.clone();
        let share = self.good_shares.entry(queue).or_default();
        share.update(question.workers.len(), answer.granted.len());
    }

    /// Chooses the workers to ask about for a stage that found no room on the workers it may use.
    pub(super) fn decide_question<'a>(
        &'a self,
        search: &Search<'a>,
        permitted: &[Candidate<'_, &WorkerId>],
    ) -> StageDecision {
        let Search {
            stage, job, spec, ..
        } = search;
        // For a gang, questions are asked by `ask_for_gang`, whether there is room now or not.
        if spec.gang {
            return StageDecision::NothingFound;
        }
        if job.queue.placement_policy.is_none() || stage.open_questions > 0 {
            return StageDecision::NothingFound;
        }
        if !self.may_ask(stage, search.now)
            || self.are_policy_callers_busy(&job.queue, search.now.at)
        {
            return StageDecision::AwaitCaller;
        }
        // Permits for tasks that the cap holds back would keep room from others.
        let wanted = self.tasks_under_cap(search.key, &stage.needs, stage.waiting.len());
        let rooms = permitted
            .iter()
            .map(|candidate| placing::room(spec, candidate, wanted));
        let missing = wanted.saturating_sub(rooms.sum()).max(1);
        let (unpermitted, has_more) = self.unpermitted(search, wanted);
        let share = self.good_shares.get(&job.queue.name).copied();
        let mut cost = self.question_cost(&job.queue);
        // When the search stopped early, there are too many workers to ask about all of them.
        cost.callers_are_free &= !has_more;
        let share = share.unwrap_or_default();
        let workers = permits::choose_workers(unpermitted, missing, false, share, cost);
        if workers.is_empty() {
            StageDecision::NothingFound
        } else {
            StageDecision::Ask(workers.into_iter().map(Unpermitted::cloned).collect())
        }
    }

    /// Prepares a question about workers and reserves room on them until the answer. Returns `None`
    /// while all hosts that can call the policy are busy.
    pub(super) fn question(
        &mut self,
        key: &StageKey,
        workers: Vec<Unpermitted>,
        now: Now,
    ) -> Option<Question> {
        let job = self.state.jobs.get(&key.job)?;
        let queue = job.queue.clone();
        let (host, expected) = self.choose_policy_caller(&queue, workers.len(), now.at)?;
        self.reserve_room(key, &workers);
        let renewed = workers.iter().filter(|entry| entry.previously_granted);
        let renewed = renewed.count();
        self.stages.get_mut(key)?.open_questions += 1;
        Some(Question {
            epoch: self.epoch,
            stage: key.clone(),
            workers: workers.into_iter().map(|entry| entry.worker).collect(),
            renewed,
            host,
            expected,
            decided_at: now.at,
            priority: queue.priority,
        })
    }
}

//! Chooses the questions that renew the permits of a gang with room for its members.
//!
//! Load pattern: a gang starts only while the permits of all its workers are usable at the same time.
//! On more workers than one question names, questions that follow each other take longer than a permit
//! is usable. All workers whose permits lapse before the last answer are asked about together, in as
//! many questions as that takes.

use std::time::{Duration, Instant};

use super::permits::{MAX_QUEUE, MAX_WORKERS_PER_CALL, PERMIT_MARGIN, QuestionCost};
use crate::ids::WorkerId;

/// Time by which answers may be later than expected: that of the longest queue at a caller.
const ANSWER_DELAY: Duration = MAX_QUEUE;
/// Answers to the longest questions for which a gang keeps room for all members without usable
/// permits for all of them. Two suffice unless an answer is lost or too few callers are free.
const MAX_ANSWERS_WITH_ROOM: u32 = 4;
/// Least time for which a gang keeps room for all members. Covers a question that gets no answer, and
/// its repetition, however quick the decisions of the policy are.
const MIN_HOLD: Duration = Duration::from_millis(2_000);

/// A worker on which a gang has room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerWithRoom {
    /// Worker that the policy has granted.
    pub worker: WorkerId,
    /// Time until which its permit is usable; `None` if it is not usable now.
    pub usable_until: Option<Instant>,
}

/// Hosts that can call the policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Callers {
    /// Questions that can be asked now.
    pub free: usize,
    /// Questions that can be in flight at the same time, those in flight included.
    pub places: usize,
    /// Time that an answer takes beyond the decision.
    pub round_trip: Duration,
}

/// Renewals of a gang that are in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RenewalsInFlight {
    /// Time of the first expected answer.
    pub first_answer_at: Instant,
    /// Time of the last expected answer.
    pub last_answer_at: Instant,
}

/// Questions that renew permits.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RenewalPlan {
    /// Workers of each question to ask now.
    pub questions: Vec<Vec<WorkerId>>,
    /// Whether there are workers to ask about for which no caller is free.
    pub is_incomplete: bool,
}

/// Plans the questions after whose answers the permits of all workers are usable at the same time. The
/// plan has no questions if these permits cannot all be usable at the time of the last answer with the
/// callers that there are, or if none is free.
pub fn plan_renewal(
    mut workers: Vec<WorkerWithRoom>,
    in_flight: Option<RenewalsInFlight>,
    cost: QuestionCost,
    callers: Callers,
    validity: Duration,
    now: Instant,
) -> RenewalPlan {
    workers.sort_by_key(|entry| entry.usable_until);
    let answered_at = |count: usize| {
        let planned = (count > 0).then(|| now + Round::new(count, cost, callers).took);
        let in_flight = in_flight.map(|renewals| renewals.last_answer_at);
        planned.max(in_flight).unwrap_or(now) + ANSWER_DELAY
    };
    let lapse_by = |at: Instant| workers.partition_point(|entry| entry.usable_until <= Some(at));
    let mut count = lapse_by(now);
    if count == 0 && in_flight.is_none() {
        return RenewalPlan::default();
    }
    // More workers take longer to ask about, so that the permits of further ones lapse.
    loop {
        let lapsed = lapse_by(answered_at(count));
        if lapsed <= count {
            break;
        }
        count = lapsed;
    }
    if count == 0 {
        return RenewalPlan::default();
    }
    let round = Round::new(count, cost, callers);
    let usable = validity.saturating_sub(PERMIT_MARGIN);
    let is_usable_long_enough = match in_flight {
        None => round.begin_spread + callers.round_trip + ANSWER_DELAY < usable,
        Some(renewals) => {
            answered_at(count) + callers.round_trip < renewals.first_answer_at + usable
        }
    };
    if callers.free == 0 || !is_usable_long_enough {
        return RenewalPlan {
            questions: Vec::new(),
            is_incomplete: true,
        };
    }
    workers.truncate(count);
    let workers: Vec<WorkerId> = workers.into_iter().map(|entry| entry.worker).collect();
    let questions = workers.chunks(round.size).take(callers.free);
    RenewalPlan {
        questions: questions.map(<[WorkerId]>::to_vec).collect(),
        is_incomplete: round.questions > callers.free,
    }
}

/// Returns the time for which a gang keeps room for all members without usable permits.
pub fn longest_hold(cost: QuestionCost, callers: Callers) -> Duration {
    let answer = cost.decision(MAX_WORKERS_PER_CALL) + callers.round_trip;
    (answer * MAX_ANSWERS_WITH_ROOM).max(MIN_HOLD)
}

/// Questions about a number of workers, which begin as soon as callers are free.
struct Round {
    questions: usize,
    /// Workers in a question.
    size: usize,
    /// Time between the begin of the first and of the last question.
    begin_spread: Duration,
    /// Time until the last answer.
    took: Duration,
}

impl Round {
    fn new(workers: usize, cost: QuestionCost, callers: Callers) -> Self {
        let least = workers.div_ceil(MAX_WORKERS_PER_CALL);
        let questions = workers
            .div_ceil(cost.balanced_size())
            .min(callers.free)
            .max(least);
        let size = workers.div_ceil(questions);
        let answer = cost.decision(size) + callers.round_trip;
        // Callers become free one by one.
        let waiting = questions.saturating_sub(callers.free) as u32;
        let begin_spread = answer * waiting / callers.places.max(1) as u32;
        Self {
            questions,
            size,
            begin_spread,
            took: begin_spread + answer,
        }
    }
}

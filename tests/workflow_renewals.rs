//! Tests of the choice of the questions that renew the permits of a gang.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::workflow::decisions::permits::{
    MAX_WORKERS_PER_CALL, PERMIT_MARGIN, QuestionCost,
};
use jujubewinch::workflow::decisions::renewals::{
    Callers, RenewalsInFlight, WorkerWithRoom, longest_hold, plan_renewal,
};
use proptest::prelude::*;

const COST: QuestionCost = QuestionCost {
    decision_ms: 500.0,
    per_worker_ms: 7.0,
    callers_are_free: true,
};
const VALIDITY: Duration = Duration::from_millis(2_500);

fn callers(free: usize, places: usize) -> Callers {
    Callers {
        free,
        places,
        round_trip: Duration::from_millis(150),
    }
}

/// Returns workers whose permits are usable for the given times.
fn workers(usable_ms: &[u64], now: Instant) -> Vec<WorkerWithRoom> {
    let workers = usable_ms.iter().enumerate();
    let workers = workers.map(|(position, &usable_ms)| WorkerWithRoom {
        worker: format!("w{position}"),
        usable_until: (usable_ms > 0).then(|| now + Duration::from_millis(usable_ms)),
    });
    workers.collect()
}

/// Guards against questions about workers whose permits are still usable at the last answer, in place
/// of those whose permits lapse before it (LOST on tuul-orders-large, issue 48).
#[test]
fn workers_are_asked_about_whose_permits_lapse_before_the_last_answer() {
    let now = Instant::now();
    let workers = workers(&[1_800, 0, 500, 1_800, 900], now);
    let plan = plan_renewal(workers, None, COST, callers(10, 10), VALIDITY, now);
    let mut asked = plan.questions.concat();
    asked.sort_unstable();
    assert_eq!(asked, ["w1", "w2"]);
    assert!(!plan.is_incomplete);
}

/// Guards against questions for a gang whose permits are all usable.
#[test]
fn usable_permits_are_not_renewed() {
    let now = Instant::now();
    let plan = plan_renewal(
        workers(&[100; 200], now),
        None,
        COST,
        callers(10, 10),
        VALIDITY,
        now,
    );
    assert!(plan.questions.is_empty() && !plan.is_incomplete);
}

/// Guards against questions that are asked in vain: the permits of the first lapse before the last
/// can begin.
#[test]
fn nothing_is_asked_while_too_few_hosts_are_there() {
    let now = Instant::now();
    let lapsed = workers(&[0; 300], now);
    let plan = plan_renewal(lapsed.clone(), None, COST, callers(1, 1), VALIDITY, now);
    assert!(plan.questions.is_empty() && plan.is_incomplete);
    let plan = plan_renewal(lapsed, None, COST, callers(1, 60), VALIDITY, now);
    assert_eq!(plan.questions.len(), 1);
    assert!(plan.is_incomplete, "the others follow as hosts become free");
}

/// Guards against a gang that gives its room back because of one lost answer: a quick policy answers
/// four times before the loss of an answer is noticed, 0.7 s after its time.
#[test]
fn a_lost_answer_of_a_quick_policy_does_not_cost_the_room() {
    let quick = QuestionCost {
        decision_ms: 18.0,
        per_worker_ms: 0.26,
        callers_are_free: true,
    };
    let noticed = quick.decision(MAX_WORKERS_PER_CALL) + Duration::from_millis(700 + 150);
    assert!(longest_hold(quick, callers(1, 1)) > noticed + callers(1, 1).round_trip);
}

/// Asks as planned until no question is left, with hosts that answer one question at a time in the
/// expected time, and returns whether all permits are usable at the last answer; `None` if nothing was
/// asked.
fn carry_out(usable_ms: &[u64], hosts: usize, cost: QuestionCost) -> Option<bool> {
    let begun_at = Instant::now();
    let round_trip = callers(1, 1).round_trip;
    let mut permits: IndexMap<String, Option<Instant>> = workers(usable_ms, begun_at)
        .into_iter()
        .map(|entry| (entry.worker, entry.usable_until))
        .collect();
    let mut in_flight: Vec<(Instant, Vec<String>)> = Vec::new();
    let mut asked = false;
    for step in 0..2_000 {
        let now = begun_at + Duration::from_millis(10 * step);
        let answered = in_flight.extract_if(.., |(answer_at, _)| *answer_at <= now);
        for (answer_at, named) in answered {
            let usable_until = answer_at - round_trip + VALIDITY - PERMIT_MARGIN;
            for worker in named {
                permits.insert(worker, Some(usable_until));
            }
        }
        let is_asked = |worker: &String| in_flight.iter().any(|(_, named)| named.contains(worker));
        let unasked = permits.iter().filter(|(worker, _)| !is_asked(worker));
        let unasked = unasked.map(|(worker, usable_until)| WorkerWithRoom {
            worker: worker.clone(),
            usable_until: usable_until.filter(|until| now < *until),
        });
        let answers = in_flight.iter().map(|(answer_at, _)| *answer_at);
        let renewals = answers.clone().min().zip(answers.max());
        let renewals = renewals.map(|(first_answer_at, last_answer_at)| RenewalsInFlight {
            first_answer_at,
            last_answer_at,
        });
        let free = callers(hosts - in_flight.len(), hosts);
        let plan = plan_renewal(unasked.collect(), renewals, cost, free, VALIDITY, now);
        for named in plan.questions {
            assert!(named.len() <= MAX_WORKERS_PER_CALL && !named.is_empty());
            asked = true;
            in_flight.push((now + cost.decision(named.len()) + round_trip, named));
        }
        assert!(in_flight.len() <= hosts);
        if in_flight.is_empty() {
            let all = permits
                .values()
                .all(|until| until.is_some_and(|until| now < until));
            return asked.then_some(all);
        }
    }
    Some(false)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(48), ..ProptestConfig::default() })]

    /// Guards against renewals that follow each other without an end: what the plan asks leaves all
    /// permits usable at its last answer.
    #[test]
    fn planned_questions_end_with_all_permits_usable(
        usable_ms in proptest::collection::vec(0_u64..2_000, 1..400),
        hosts in 1_usize..12,
        callers_are_free in any::<bool>(),
    ) {
        let cost = QuestionCost { callers_are_free, ..COST };
        prop_assert_ne!(carry_out(&usable_ms, hosts, cost), Some(false));
    }
}

//! Tests of the decisions about questions to the placement policy.

use jujubewinch::workflow::decisions::permits::{
    GangRoom, GrantedShare, MAX_WORKERS_PER_CALL, QuestionCost, UnknownWorker,
    choose_workers_for_gang, split_question,
};
use jujubewinch::workflow::decisions::question_shares::QuestionShares;

/// Asks as many questions of a priority as are allowed.
fn ask_all(shares: &mut QuestionShares, priority: u32, limit: usize) -> usize {
    let mut asked = 0;
    while shares.allows(priority, limit) {
        shares.open(priority);
        asked += 1;
    }
    shares.refuse(priority);
    asked
}

/// Guards against a priority that is never asked about because stages that rank before it take each
/// place that becomes free (SHORT of the lowest priority on tuul-orders-large).
#[test]
fn each_priority_that_waits_is_guaranteed_a_part_of_the_questions() {
    const LIMIT: usize = 64;
    let mut shares = QuestionShares::default();
    assert_eq!(ask_all(&mut shares, 1, LIMIT), LIMIT, "nobody else waits");
    ask_all(&mut shares, 2, LIMIT);
    shares.finish_pass();
    // The first priority finds no place in each pass and asks first whenever one is free.
    for _ in 0..LIMIT {
        shares.close(1);
        shares.clear_refusals();
        ask_all(&mut shares, 1, LIMIT);
        ask_all(&mut shares, 2, LIMIT);
        shares.finish_pass();
    }
    let before = shares.open_questions();
    for _ in 0..LIMIT {
        shares.close(2);
    }
    let lowest = before - shares.open_questions();
    assert_eq!(lowest, LIMIT / 8);
}

/// Guards against places that stay free for a priority without questions.
#[test]
fn places_are_kept_only_for_priorities_that_wait() {
    const LIMIT: usize = 40;
    let mut shares = QuestionShares::default();
    shares.refuse(2);
    shares.finish_pass();
    assert!(ask_all(&mut shares, 1, LIMIT) < LIMIT);
    shares.clear_refusals();
    shares.finish_pass();
    shares.finish_pass();
    ask_all(&mut shares, 1, LIMIT);
    assert_eq!(shares.open_questions(), LIMIT);
}
const COST: QuestionCost = QuestionCost {
    decision_ms: 500.0,
    per_worker_ms: 7.0,
    callers_are_free: true,
};

fn unknown(count: usize, room: usize) -> Vec<UnknownWorker> {
    let workers = (0..count).map(|number| UnknownWorker {
        worker: format!("w{number}"),
        room,
        capacity: 3,
    });
    workers.collect()
}

/// Guards against a gang that is asked about in one question after the other although there is room
/// for it at once: four questions of 1.4 s each for 42 tasks on a calm cell.
#[test]
fn a_gang_asks_about_enough_workers_to_fit_at_once() {
    let share = GrantedShare::default();
    let none = GangRoom::default();
    let one_each = choose_workers_for_gang(unknown(400, 1), 42, none, share, COST).len();
    assert!(
        one_each as f64 * share.value() >= 42.0,
        "{one_each} workers"
    );
    let three_each = choose_workers_for_gang(unknown(400, 3), 42, none, share, COST).len();
    assert_eq!(three_each * 3, one_each, "three members fit on each");
}

/// Guards against a gang in a full cell that asks on and on about workers without room, while it has
/// enough workers to gather room on.
#[test]
fn a_gang_without_room_asks_until_it_has_enough_workers() {
    let share = GrantedShare::default();
    let granted = |capacity| GangRoom { room: 0, capacity };
    let asked = choose_workers_for_gang(unknown(400, 0), 30, granted(0), share, COST).len();
    assert!(
        asked as f64 * 3.0 * share.value() >= 120.0,
        "{asked} workers"
    );
    let asked = choose_workers_for_gang(unknown(400, 0), 30, granted(120), share, COST);
    assert!(asked.is_empty());
}

/// Guards against questions that are longer than the policy accepts, or that split what one host
/// answers sooner than it takes to ask a second one.
#[test]
fn a_question_is_split_among_free_hosts_only() {
    let workers: Vec<String> = (0..240).map(|number| format!("w{number}")).collect();
    let cost = |callers_are_free| QuestionCost {
        callers_are_free,
        ..COST
    };
    let parts = split_question(workers.clone(), cost(false));
    assert!(parts.iter().all(|part| part.len() <= MAX_WORKERS_PER_CALL));
    assert_eq!(parts.len(), 3);
    let parts = split_question(workers.clone(), cost(true));
    assert!(parts.iter().all(|part| part.len() <= 72));
    assert_eq!(parts.concat(), workers);
    assert_eq!(split_question(workers[..50].to_vec(), cost(true)).len(), 1);
}

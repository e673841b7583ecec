//! Tests of the decisions about questions to the placement policy.

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
    assert_eq!(lowest, LIMIT / 4);
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

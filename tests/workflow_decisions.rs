//! Decisions about workflows, under the load patterns that they answer.

use std::time::{Duration, Instant};

use jujubewinch::resources::Resources;
use jujubewinch::workflow::decisions::admission::{self, Admission, Backlog};
use jujubewinch::workflow::decisions::leases::{ClockReading, expires_without_reading};
use jujubewinch::workflow::decisions::permits::{
    GrantedShare, PERMIT_MARGIN, PermitCache, QuestionCost, Unpermitted, choose_workers,
};
use jujubewinch::workflow::decisions::placing::{Candidate, place};
use jujubewinch::workflow::decisions::progress::Progress;
use jujubewinch::workflow::decisions::ranking::{Waiting, rank};
use jujubewinch::workflow::decisions::reservations::ReservationSlots;
use jujubewinch::workflow::decisions::worker_health::WorkerHealth;
use jujubewinch::workflow::spec::StageSpec;
use proptest::prelude::*;

/// A policy for which each further worker counts.
const SLOW_QUESTION: QuestionCost = QuestionCost {
    decision_ms: 10.0,
    per_worker_ms: 100.0,
    callers_are_free: true,
};
const SECOND: Duration = Duration::from_secs(1);

fn waiting(priority: u32, due_at: Instant) -> Waiting {
    Waiting {
        priority,
        due_at,
        objective: 3 * SECOND,
        remaining: SECOND,
        newest_first: false,
    }
}

/// Guards against a burst that makes every job late: with the earliest deadline first, jobs that
/// can no longer be in time would take the room of those that can.
#[test]
fn jobs_that_can_be_in_time_come_before_late_ones() {
    let now = Instant::now() + 100 * SECOND;
    let in_time = rank(&waiting(2, now), now);
    let late = rank(&waiting(1, now - 4 * SECOND), now);
    let too_late = rank(&waiting(0, now - 20 * SECOND), now);
    assert!(in_time < late && late < too_late);
}

/// Guards against small urgent jobs that wait behind large ones once they are late: in a burst of
/// the urgent queue nearly none was served in time, and half not at all.
#[test]
fn urgent_jobs_come_first_also_when_they_are_late() {
    let now = Instant::now() + 100 * SECOND;
    let urgent_in_time = rank(&waiting(0, now), now);
    let urgent_late = rank(&waiting(0, now - 4 * SECOND), now);
    let other = rank(&waiting(1, now), now);
    assert!(urgent_in_time < urgent_late && urgent_late < other);
}

fn stage(tasks: u32, cpu_millis: u64) -> StageSpec {
    StageSpec {
        task_count: tasks,
        resources: Resources {
            cpu_millis,
            memory_mib: 100,
            accelerators: 0,
        },
        ..StageSpec::default()
    }
}

fn candidate(worker: usize, cpu_millis: u64, rack: &str) -> Candidate<'_, usize> {
    Candidate {
        worker,
        free: Resources {
            cpu_millis,
            memory_mib: 10_000,
            accelerators: 0,
        },
        rack,
        tasks_of_stage: 0,
        slowness: 1.0,
    }
}

/// Guards against room for large tasks that is lost to small ones spread over all workers.
#[test]
fn small_tasks_go_to_the_fullest_worker_that_holds_them() {
    let candidates = [
        candidate(0, 9_000, "a"),
        candidate(1, 1_200, "a"),
        candidate(2, 2_500, "a"),
    ];
    assert_eq!(place(&stage(3, 1_000), 3, &candidates), [1, 2, 2]);
}

/// Guards against a gang of which only some members get room, which then wait in vain.
#[test]
fn a_gang_gets_room_for_all_members_or_none() {
    let candidates = [candidate(0, 2_000, "a"), candidate(1, 1_000, "b")];
    let mut gang = stage(4, 1_000);
    gang.gang = true;
    assert!(place(&gang, 4, &candidates).is_empty());
    assert_eq!(place(&gang, 3, &candidates).len(), 3);
}

/// Guards against a gang that is spread over racks although one rack has room for it.
#[test]
fn a_gang_that_prefers_one_rack_gets_one() {
    let candidates = [
        candidate(0, 1_000, "a"),
        candidate(1, 4_000, "b"),
        candidate(2, 1_500, "a"),
    ];
    let mut gang = stage(3, 1_000);
    gang.gang = true;
    gang.prefers_one_rack = true;
    assert_eq!(place(&gang, 3, &candidates), [1, 1, 1]);
}

/// Guards against tasks that run far from their data, or on a slow worker, while others have room.
#[test]
fn near_and_sound_workers_are_preferred() {
    let mut slow = candidate(0, 1_000, "a");
    slow.slowness = 4.0;
    let candidates = [slow, candidate(1, 8_000, "b"), candidate(2, 9_000, "a")];
    let mut near = stage(1, 1_000);
    assert_eq!(place(&near, 1, &candidates), [1]);
    near.data_rack = Some("a".to_owned());
    assert_eq!(place(&near, 1, &candidates), [2]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against a placement that gives a worker more than it has free, or too many tasks of
    /// a stage.
    #[test]
    fn no_worker_gets_more_than_it_has(
        frees in prop::collection::vec((0_u64..20_000, 0_u32..4), 1..12),
        tasks in 1_u32..30,
        cpu_millis in 100_u64..6_000,
        limit in prop::option::of(1_u32..5),
        gang in any::<bool>(),
    ) {
        let candidates: Vec<_> = frees
            .iter()
            .enumerate()
            .map(|(worker, (free, there))| Candidate {
                tasks_of_stage: *there,
                ..candidate(worker, *free, "a")
            })
            .collect();
        let mut spec = stage(tasks, cpu_millis);
        spec.max_tasks_per_worker = limit;
        spec.gang = gang;
        let chosen = place(&spec, tasks as usize, &candidates);
        prop_assert!(chosen.len() <= tasks as usize);
        prop_assert!(!gang || chosen.is_empty() || chosen.len() == tasks as usize);
        for (position, one) in candidates.iter().enumerate() {
            let count = chosen.iter().filter(|other| **other == position).count() as u64;
            prop_assert!(count * cpu_millis <= one.free.cpu_millis);
            if let Some(limit) = limit {
                prop_assert!(count == 0 || count + u64::from(one.tasks_of_stage) <= u64::from(limit));
            }
        }
    }

    /// Guards against a run that is started elsewhere while the former one still has its lease: the
    /// worker's clock may be 2% slow.
    #[test]
    fn a_lease_has_lapsed_on_the_slowest_clock(lease_ms in 1_u64..20_000, age_ms in 0_u64..5_000) {
        let received_at = Instant::now();
        let reading = ClockReading { clock_ms: 1_000, received_at };
        let now = received_at + Duration::from_millis(age_ms);
        let until_ms = reading.at_least_ms(now) + lease_ms;
        let expires_at = reading.expires_at(until_ms);
        let elapsed_ms = expires_at.duration_since(received_at).as_millis() as u64;
        prop_assert!(1_000 + elapsed_ms * 98 / 100 >= until_ms);
        prop_assert!(expires_without_reading(received_at, SECOND) > received_at + SECOND);
    }
}

fn unpermitted(worker: &str, room: usize, previously_granted: bool) -> Unpermitted {
    Unpermitted {
        worker: worker.to_owned(),
        room,
        previously_granted,
    }
}

/// Guards against a flood of questions in a full cell: a stage asked about new workers again and
/// again, although it knew good ones whose permits had only expired.
#[test]
fn permits_of_known_good_workers_are_renewed_first() {
    let workers = vec![
        unpermitted("new", 9, false),
        unpermitted("good", 2, true),
        unpermitted("other", 9, false),
    ];
    let chosen = choose_workers(workers, 2, false, GrantedShare::default(), SLOW_QUESTION);
    assert_eq!(chosen, [unpermitted("good", 2, true)]);
}

/// Guards against questions for a gang that cannot get room anyway.
#[test]
fn nothing_is_asked_for_a_gang_without_room() {
    let workers = vec![unpermitted("one", 2, false), unpermitted("two", 1, true)];
    assert!(
        choose_workers(
            workers.clone(),
            4,
            true,
            GrantedShare::default(),
            SLOW_QUESTION
        )
        .is_empty()
    );
    assert!(!choose_workers(workers, 3, true, GrantedShare::default(), SLOW_QUESTION).is_empty());
}

/// Guards against too few workers in a question to a strict policy, which costs a second question.
#[test]
fn strict_policies_are_asked_about_more_workers() {
    let (mut strict, mut lenient) = (GrantedShare::default(), GrantedShare::default());
    for _ in 0..50 {
        strict.update(10, 2);
        lenient.update(10, 9);
    }
    assert!(strict.workers_to_ask(5) > 2 * lenient.workers_to_ask(5));
    assert!(strict.workers_to_ask(1_000) <= 100, "the limit of a call");
}

/// Guards against a start with a permit that expires on the way, and against asking again about
/// workers that the policy has denied for good.
#[test]
fn permits_expire_and_denials_do_not() {
    let now = Instant::now();
    let mut book = PermitCache::default();
    let asked = ["good".to_owned(), "bad".to_owned()];
    book.record(
        &asked,
        &[("good".to_owned(), "token".to_owned())],
        now + SECOND,
    );
    assert_eq!(book.usable("good", now), Some("token"));
    assert_eq!(book.usable("good", now + SECOND - PERMIT_MARGIN), None);
    assert!(book.was_granted("good") && book.is_denied("bad"));
    book.forget("good");
    assert!(!book.was_granted("good"));
}

/// Guards against jobs that are accepted into a backlog that makes them useless, and against a
/// time to come back that is not the time after which they would be accepted.
#[test]
fn a_job_is_refused_while_the_backlog_is_longer_than_it_may_wait() {
    let backlog = |cpu_work_ms| Backlog {
        cpu_work_ms,
        capacity_millis: 10_000,
    };
    assert_eq!(
        admission::decide(&backlog(40_000), 4 * SECOND),
        Admission::Accept
    );
    assert_eq!(
        admission::decide(&backlog(60_000), 4 * SECOND),
        Admission::Refuse {
            retry_after: 2 * SECOND
        }
    );
    let no_workers = Backlog {
        cpu_work_ms: 60_000,
        capacity_millis: 0,
    };
    assert_eq!(
        admission::decide(&no_workers, SECOND),
        Admission::Accept,
        "right after a take-over no worker has reported yet"
    );
}

/// Guards against a worker that fails all that it starts and looks idle, so that it gets ever more.
#[test]
fn a_worker_that_fails_twice_in_a_row_is_left_out_for_a_time() {
    let now = Instant::now();
    let mut health = WorkerHealth::default();
    health.record_failure(now);
    assert!(!health.is_avoided(now), "a sound worker fails now and then");
    health.record_failure(now);
    assert!(health.is_avoided(now) && health.needs_probe(now));
    assert!(!health.is_avoided(now + 2 * SECOND));
    health.record_failure(now + 2 * SECOND);
    assert!(health.is_avoided(now + 4 * SECOND), "the time doubles");
    health.record_success(SECOND, SECOND);
    assert!(!health.is_avoided(now + 2 * SECOND) && !health.needs_probe(now));
}

/// Guards against a gang that never runs at the end of a day: its workers had failed hopeless
/// tasks, no other work was left to probe them with, and gangs make no probes (LOST 1 on four days
/// of the Authority, among them quiet-1 --seed 149491530815).
#[test]
fn a_worker_that_is_not_probed_counts_as_sound_after_a_time() {
    let now = Instant::now();
    let mut health = WorkerHealth::default();
    health.record_failure(now);
    health.record_failure(now);
    assert!(health.needs_probe(now + 2 * SECOND));
    assert!(!health.needs_probe(now + 10 * SECOND));
}

/// Guards against a slow worker that is preferred because it is emptier.
#[test]
fn slow_workers_show_and_small_differences_do_not() {
    let (mut slow, mut usual) = (WorkerHealth::default(), WorkerHealth::default());
    for _ in 0..6 {
        slow.record_success(5 * SECOND, SECOND);
        usual.record_success(SECOND + SECOND / 5, SECOND);
    }
    assert!(slow.slowness() > 2.0);
    assert!((usual.slowness() - WorkerHealth::default().slowness()).abs() < 0.01);
}

/// Guards against a burst of small urgent gangs that keeps large gangs from gathering room: with
/// slots for all together, large gangs waited until the burst was over.
#[test]
fn urgent_gangs_leave_the_slots_of_others() {
    let mut slots = ReservationSlots::default();
    for _ in 0..20 {
        slots.claim(0);
    }
    assert!(slots.claim(1));
}

/// Guards against gangs that together keep most of a full cell idle.
#[test]
fn only_the_first_gangs_of_a_priority_gather_room() {
    let mut slots = ReservationSlots::default();
    let claims: Vec<bool> = (0..5).map(|_| slots.claim(1)).collect();
    assert_eq!(claims, [true, true, true, false, false]);
}

/// Guards against gangs that learn of their good workers in two or three questions one after the
/// other, of 600 ms each, where one about all workers takes 750 ms.
#[test]
fn all_workers_are_asked_about_when_that_is_quicker_than_a_second_question() {
    let workers: Vec<Unpermitted> = (0..48)
        .map(|worker| unpermitted(&format!("w{worker}"), 3, false))
        .collect();
    let cost = |callers_are_free| QuestionCost {
        decision_ms: 440.0,
        per_worker_ms: 6.3,
        callers_are_free,
    };
    let share = GrantedShare::default();
    let asked = choose_workers(workers.clone(), 16, false, share, cost(true));
    assert_eq!(asked.len(), 48);
    let asked = choose_workers(workers, 16, false, share, cost(false));
    assert!(asked.len() < 30);
}

/// Guards against long runs that count as standing still because a percent of them takes longer
/// than the interval of the reports.
#[test]
fn runs_stand_still_after_a_time_that_their_length_explains() {
    let start = Instant::now();
    let mut progress = Progress::new(0, start);
    progress.note(30, start + SECOND);
    assert!(!progress.is_stalled(SECOND, start + 3 * SECOND / 2));
    progress.note(30, start + 2 * SECOND);
    assert!(progress.is_stalled(SECOND, start + 2 * SECOND));
    assert!(!progress.is_stalled(60 * SECOND, start + 3 * SECOND));
    assert!(progress.is_stalled(60 * SECOND, start + 4 * SECOND));
}

/// Guards against an overload in which each gang is started just too late: served by their latest
/// start, all had used up their slack when their turn came.
#[test]
fn gangs_are_served_newest_first_while_many_are_late() {
    let now = Instant::now() + 100 * SECOND;
    let ranked = |age, newest_first| {
        let gang = Waiting {
            newest_first,
            ..waiting(1, now - age)
        };
        rank(&gang, now)
    };
    let (older, newer) = (3 * SECOND / 2, SECOND);
    assert!(ranked(older, false) < ranked(newer, false));
    assert!(ranked(newer, true) < ranked(older, true));
    let late = 4 * SECOND;
    assert!(ranked(older, true) < ranked(late, true));
}

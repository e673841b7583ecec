//! Tests the decision how long a stage waits for a better place, without a cell.

use std::time::{Duration, Instant};

use jujubewinch::resources::Resources;
use jujubewinch::workflow::decisions::place_waits::{
    Forecast, MAX_FORECAST_AGE, PlaceChoice, RackWorker, RunningTask, Verdict, decide,
    equivalent_tasks, expected_end, forecast_rooms,
};
use jujubewinch::workflow::decisions::progress::Progress;
use jujubewinch::workflow::spec::StageSpec;
use proptest::prelude::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn now() -> Instant {
    Instant::now() + ms(1_000_000)
}

/// A task of 1 s near and 2 s elsewhere, with room near in `free_in_ms` and ample time.
fn choice(now: Instant, free_in_ms: u64) -> PlaceChoice {
    PlaceChoice {
        now,
        waiting_since: now,
        near_run: ms(1_000),
        remote_run: ms(2_000),
        later_work: Duration::ZERO,
        objective_end: now + ms(10_000),
        demand_gap: None,
        forecast: Some(Forecast {
            free_at: now + ms(free_in_ms),
            reported_at: now,
        }),
    }
}

/// Guards against a wait that ends later than a start elsewhere, that outlasts the time saved or the
/// objective, or that relies on a missing or stale forecast; and against a start elsewhere although a
/// wait pays.
#[test]
fn a_wait_is_chosen_by_the_expected_ends_within_its_bounds() {
    let now = now();
    let wait = |millis| Verdict::WaitUntil(now + ms(millis));
    assert_eq!(decide(&choice(now, 0)), wait(1_000), "light");
    assert_eq!(decide(&choice(now, 500)), wait(1_000), "full");
    assert_eq!(decide(&choice(now, 950)), Verdict::StartNow, "margin");
    assert_eq!(decide(&choice(now, 3_000)), Verdict::StartNow, "overloaded");

    let mut missing = choice(now, 500);
    missing.forecast = None;
    assert_eq!(decide(&missing), Verdict::StartNow);
    for (age, expected) in [
        (MAX_FORECAST_AGE, wait(1_000)),
        (MAX_FORECAST_AGE + ms(1), Verdict::StartNow),
    ] {
        let mut aged = choice(now, 500);
        aged.forecast = aged.forecast.map(|forecast| Forecast {
            reported_at: now - age,
            ..forecast
        });
        assert_eq!(decide(&aged), expected, "{age:?}");
    }

    let mut waited = choice(now, 500);
    waited.waiting_since = now - ms(400);
    assert_eq!(decide(&waited), wait(600), "the time saved counts once");
    waited.waiting_since = now - ms(600);
    assert_eq!(decide(&waited), Verdict::StartNow);

    // The next task would take the room after 300 ms.
    let mut demanded = choice(now, 200);
    demanded.demand_gap = Some(ms(300));
    assert_eq!(decide(&demanded), wait(300));
    demanded.demand_gap = Some(ms(100));
    assert_eq!(decide(&demanded), Verdict::StartNow);
    demanded = choice(now, 0);
    demanded.demand_gap = Some(ms(99));
    assert_eq!(
        decide(&demanded),
        Verdict::StartNow,
        "the searches are slower"
    );

    // The latest start elsewhere is 200 ms before 2 s before the end of the objective.
    let mut bounded = choice(now, 500);
    bounded.objective_end = now + ms(2_900);
    assert_eq!(decide(&bounded), wait(700));
    bounded.later_work = ms(300);
    assert_eq!(
        decide(&bounded),
        Verdict::StartNow,
        "the objective forbids it"
    );
    // A start elsewhere is too late, but one near is not.
    bounded.later_work = ms(700);
    assert_eq!(decide(&bounded), wait(1_000));
    // Nothing meets the objective.
    bounded.objective_end = now;
    assert_eq!(decide(&bounded), Verdict::StartNow);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]

    /// Guards against a wait outside the bounds that the module states, at any input.
    #[test]
    fn a_wait_is_always_bounded(
        (free, near, factor) in (0_u64..20_000, 1_u64..20_000, 1.0_f64..4.0),
        (waited, later, left, age) in (0_u64..20_000, 0_u64..5_000, 0_u64..60_000, 0_u64..4_000),
    ) {
        let now = now();
        let mut choice = choice(now, free);
        choice.near_run = ms(near);
        choice.remote_run = ms(near).mul_f64(factor);
        choice.waiting_since = now - ms(waited);
        choice.later_work = ms(later);
        choice.objective_end = now + ms(left);
        let reported_at = now - ms(age);
        choice.forecast = Some(Forecast { free_at: now + ms(free), reported_at });
        if let Verdict::WaitUntil(deadline) = decide(&choice) {
            let saved = choice.remote_run - choice.near_run;
            prop_assert!(deadline > now);
            prop_assert!(deadline - choice.waiting_since <= saved);
            prop_assert!(deadline + choice.near_run + choice.later_work <= choice.objective_end);
            prop_assert!(choice.near_end().unwrap() < choice.remote_end());
            prop_assert!(ms(age) <= MAX_FORECAST_AGE);
        }
    }
}

fn amount(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib: cpu_millis,
        accelerators: 0,
    }
}

fn spec() -> StageSpec {
    StageSpec {
        task_count: 1,
        resources: amount(1_000),
        ..StageSpec::default()
    }
}

fn worker(now: Instant, free: u64, ends_ms: &[(u64, u64)]) -> RackWorker {
    let releases = ends_ms
        .iter()
        .map(|&(at, millis)| (now + ms(at), amount(millis)));
    RackWorker {
        free: amount(free),
        tasks_of_stage: 0,
        reported_at: now - ms(free),
        releases: releases.collect(),
    }
}

/// Guards against a forecast that adds up the room of different workers, that counts room twice, that
/// gives the room of stages ahead away, or that is younger than its oldest report.
#[test]
fn room_is_forecast_by_worker_in_the_order_of_the_ends() {
    let now = now();
    let workers = [
        worker(now, 600, &[(300, 500), (900, 1_000)]),
        worker(now, 500, &[(500, 500), (700, 400)]),
    ];
    let times = |ahead, wanted| -> Vec<Duration> {
        let forecasts = forecast_rooms(&spec(), &workers, ahead, wanted, now);
        forecasts.iter().map(|each| each.free_at - now).collect()
    };
    assert_eq!(times(0, 4), [ms(300), ms(500), ms(900)]);
    assert_eq!(times(1, 1), [ms(500)]);
    assert!(times(3, 1).is_empty());
    let forecasts = forecast_rooms(&spec(), &workers, 0, 2, now);
    assert_eq!(forecasts[1].reported_at, now - ms(600));
    let limited = StageSpec {
        max_tasks_per_worker: Some(1),
        ..spec()
    };
    assert_eq!(forecast_rooms(&limited, &workers, 0, 4, now).len(), 2);
}

/// Guards against an amount ahead that is rounded down, or divided by a resource that is not needed.
#[test]
fn room_ahead_is_counted_in_tasks_and_rounded_up() {
    assert_eq!(equivalent_tasks(&amount(0), &amount(1_000)), 0);
    assert_eq!(equivalent_tasks(&amount(1_001), &amount(1_000)), 2);
    assert_eq!(equivalent_tasks(&amount(1_001), &amount(0)), 0);
}

/// Guards against a forecast that trusts the declared run time when the progress shows another, and
/// against an end in the past of a run that goes on.
#[test]
fn ends_follow_the_progress_where_it_is_known() {
    let now = now();
    let run = |started_ms: u64, progress: Option<Progress>| RunningTask {
        started_at: now - ms(started_ms),
        start_is_known: true,
        run_time: ms(1_000),
        progress,
    };
    assert_eq!(expected_end(&run(400, None), now), now + ms(600));
    let half = Some(Progress::new(50, now - ms(100)));
    assert_eq!(expected_end(&run(900, half), now), now + ms(700));
    let adopted = RunningTask {
        start_is_known: false,
        ..run(200, half)
    };
    assert_eq!(expected_end(&adopted, now), now + ms(400));
    assert_eq!(expected_end(&run(1_300, None), now), now + ms(300));
    assert_eq!(expected_end(&run(1_000, None), now), now + ms(100));
}

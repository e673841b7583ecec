//! Tests of the decisions about the shares of customers.

use std::time::{Duration, Instant};

use jujubewinch::resources::Resources;
use jujubewinch::workflow::decisions::admission::{self, Admission, Backlog};
use jujubewinch::workflow::decisions::customer_shares::{
    CustomerUse, DecidingBacklog, OwnBacklog, active_weight, forecast, is_over_share, share,
};
use jujubewinch::workflow::decisions::ranking::{Rank, Waiting, rank};
use jujubewinch::workflow::decisions::reservations::{
    ReservationSlots, WaitingGang, choose_gathering, choose_gathering_by_shares,
};
use jujubewinch::workflow::decisions::size_shares::{SizeBand, SizeShares};
use jujubewinch::workflow::instruments::{CustomerLabels, CustomerLoad};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const CAPACITY: Resources = Resources {
    cpu_millis: 100_000,
    memory_mib: 200_000,
    accelerators: 0,
};

fn amount(cpu_millis: u64, memory_mib: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib,
        accelerators: 0,
    }
}

fn running(weight: f64, running: Resources) -> CustomerUse {
    CustomerUse {
        weight,
        running,
        waiting: Resources::ZERO,
        was_over_share: false,
    }
}

/// Guards against shares that count customers without work, that ignore the scarcest resource, or that
/// are off by the weight.
#[test]
fn a_share_is_the_weight_among_customers_with_work() {
    let idle = running(5.0, Resources::ZERO);
    let customers = [
        running(1.0, amount(50_000, 0)),
        running(3.0, amount(10_000, 0)),
        idle,
    ];
    let weight = active_weight(customers);
    assert_eq!(weight, 4.0);
    assert_eq!(share(&customers[0], weight), 0.25);
    assert!(share(&idle, weight) > 0.5, "it would be active");
    assert!(is_over_share(&customers[0], weight, &CAPACITY));
    assert!(!is_over_share(&customers[1], weight, &CAPACITY));
    let memory = running(1.0, amount(1_000, 100_000));
    assert!(is_over_share(&memory, weight, &CAPACITY));
    assert!(!is_over_share(&memory, weight, &Resources::ZERO));
}

/// Guards against an order that changes with the start and end of each task of a customer near its
/// share.
#[test]
fn a_customer_near_its_share_keeps_its_place() {
    let at = |cpu_millis, was_over_share| {
        let customer = CustomerUse {
            was_over_share,
            ..running(1.0, amount(cpu_millis, 0))
        };
        is_over_share(&customer, 2.0, &CAPACITY)
    };
    assert!(!at(54_000, false) && at(56_000, false));
    assert!(at(51_000, true) && !at(50_000, true));
}

fn ranked(priority: u32, age: Duration, now: Instant) -> Rank {
    let waiting = Waiting {
        priority,
        due_at: now - age,
        objective: 3 * SECOND,
        remaining: SECOND,
        newest_first: false,
        gathers_since: None,
    };
    rank(&waiting, now)
}

/// Guards against urgent work of a customer over its share before work of others, against work that is
/// too late before work that counts, and against a sort key with another order than the ranks.
#[test]
fn stages_of_customers_over_their_share_come_after_the_others() {
    let now = Instant::now() + 100 * SECOND;
    let (in_time, late, too_late) = (Duration::ZERO, 4 * SECOND, 20 * SECOND);
    let over = |priority, age| ranked(priority, age, now).of_customer_over_share();
    let order = [
        ranked(0, in_time, now),
        ranked(0, late, now),
        ranked(1, in_time, now),
        ranked(1, late, now),
        over(0, in_time),
        over(0, late),
        over(1, in_time),
        over(1, late),
        ranked(0, too_late, now),
        over(0, too_late),
    ];
    assert!(order.is_sorted());
    assert!(order.is_sorted_by_key(|rank| rank.sort_key(now)));
    assert!(over(0, too_late).is_too_late() && over(1, in_time).is_in_time());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against a customer that is refused although its share or the cell serves it in time, and
    /// against a retry time that is too short or too long.
    #[test]
    fn a_job_is_refused_only_if_both_forecasts_are_too_long(
        others_ms in 0_u64..1_000_000,
        own_ms in 0_u64..1_000_000,
        weights in 1_u32..50,
    ) {
        let cell = Backlog { cpu_work_ms: others_ms + own_ms, capacity_millis: 100_000 };
        let own = OwnBacklog { cpu_work_ms: own_ms, share: 1.0 / f64::from(weights), cap_millis: 0 };
        let found = forecast(&cell, Some(own)).unwrap();
        let by_share = found.by_share.unwrap();
        prop_assert_eq!(found.wait, by_share.min(found.by_cell));
        let has_more = by_share > found.by_cell;
        prop_assert_eq!(found.decided_by == DecidingBacklog::OfCustomer, has_more);
        let allowed = 2 * SECOND;
        match admission::decide_by_wait(found.wait, allowed) {
            Admission::Accept => prop_assert!(by_share <= allowed || found.by_cell <= allowed),
            Admission::Refuse { retry_after } => {
                prop_assert!(by_share > allowed && found.by_cell > allowed);
                let expected = (found.wait - allowed).clamp(SECOND / 2, 10 * SECOND);
                prop_assert_eq!(retry_after, expected);
            }
        }
        // Without a customer, the decision is that of the cell alone.
        let without = forecast(&cell, None).unwrap();
        prop_assert_eq!(
            admission::decide_by_wait(without.wait, allowed),
            admission::decide(&cell, allowed)
        );
    }
}

/// Guards against refusals while no capacity is known, right after a change of the placer.
#[test]
fn nothing_is_forecast_without_capacity() {
    let cell = Backlog {
        cpu_work_ms: 60_000,
        capacity_millis: 0,
    };
    let own = OwnBacklog {
        cpu_work_ms: 60_000,
        share: 0.1,
        cap_millis: 0,
    };
    assert_eq!(forecast(&cell, Some(own)), None);
}

/// Guards against jobs that are accepted although the cap of their customer serves its backlog too
/// slowly: a cell with room does not serve them sooner.
#[test]
fn a_cap_delays_the_jobs_of_its_customer() {
    let cell = Backlog {
        cpu_work_ms: 60_000,
        capacity_millis: 60_000,
    };
    let own = OwnBacklog {
        cpu_work_ms: 60_000,
        share: 0.5,
        cap_millis: 10_000,
    };
    let capped = forecast(&cell, Some(own)).unwrap();
    assert_eq!(capped.wait, Duration::from_secs(6));
    assert_eq!(capped.decided_by, DecidingBacklog::OfCustomer);
    let wide = OwnBacklog {
        cap_millis: 600_000,
        ..own
    };
    let uncapped = forecast(&cell, Some(wide)).unwrap();
    assert_eq!(uncapped.wait, Duration::from_secs(1));
}

/// Guards against gangs of a customer over its share that keep the slots which gangs of other
/// customers wait for, and against another choice where no customer is over its share.
#[test]
fn gangs_over_a_share_gather_after_the_others() {
    let gang = |gathers| WaitingGang {
        band: SizeBand::new(1, 10_000),
        missing_millis: 10_000,
        in_time: true,
        gathers,
    };
    let mut gangs = vec![gang(true); 2];
    gangs.extend(vec![gang(false); 4]);
    let choose = |comes_last: &[bool]| {
        let (slots, shares) = (ReservationSlots::default(), SizeShares::default());
        choose_gathering_by_shares(&gangs[..comes_last.len()], comes_last, slots, &shares)
    };
    let over = choose(&[true, true, false, false, false, false]);
    assert_eq!(over, [false, false, true, true, true, false]);
    let rest = choose(&[true, true, false]);
    assert_eq!(rest, [true, true, true], "slots that others leave are lent");
    let (slots, shares) = (ReservationSlots::default(), SizeShares::default());
    assert_eq!(
        choose(&[false; 6]),
        choose_gathering(&gangs, slots, &shares)
    );
}

/// Guards against a series of each metric for each name that a configuration ever had.
#[test]
fn customers_beyond_the_first_share_a_label() {
    let mut labels = CustomerLabels::default();
    let names: Vec<String> = (0..80).map(|index| format!("customer-{index}")).collect();
    let loads = names.iter().map(|customer| CustomerLoad {
        customer,
        running_millis: 1,
        waiting_millis: 2,
        share_millis: 3,
        cap_millis: 4,
    });
    let sums = labels.by_label(&loads.collect::<Vec<_>>());
    assert_eq!(sums.len(), 65);
    let parts = [("running", 16), ("waiting", 32), ("share", 48), ("cap", 64)];
    assert_eq!(sums["other"], parts);
    assert_eq!(labels.label("customer-3"), "customer-3");
    assert_eq!(labels.label("one-more"), "other");
}

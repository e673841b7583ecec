//! Tests of the throttle in virtual time, against a placer that accepts a fixed number of requests
//! per second.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{MAX_SHEDDING_TIME, PROBE_INTERVAL, Throttle, ThrottleKey};
use crate::placer::Outcome;
use crate::protocol::caller::{Answer, Urgency};
use crate::verdict::{ErrorCode, RequestError};

fn key(member: &str, urgency: Urgency) -> ThrottleKey {
    ThrottleKey {
        data_centre: "erdenet".to_owned(),
        member: member.to_owned(),
        service: "quotes".to_owned(),
        urgency,
    }
}

fn refusal() -> Outcome {
    Err(RequestError::did_not_run(ErrorCode::Overloaded, "full").retry_after_ms(1_000))
}

struct Counts {
    offered: usize,
    forwarded: usize,
    accepted: usize,
}

/// Offers requests of one member to the hosts in turn for ten seconds. The placer accepts them up
/// to a rate.
fn offer(
    hosts: &[Throttle],
    per_second: usize,
    accepted_per_second: usize,
    from: Instant,
) -> Counts {
    let key = key("wheelwrights", Urgency::Low);
    let mut random = StdRng::seed_from_u64(3);
    let mut counts = Counts {
        offered: 0,
        forwarded: 0,
        accepted: 0,
    };
    let mut tokens = 0.0;
    for index in 0..per_second * 10 {
        let now = from + Duration::from_secs_f64(index as f64 / per_second as f64);
        tokens = f64::min(
            tokens + accepted_per_second as f64 / per_second as f64,
            10.0,
        );
        let host = &hosts[index % hosts.len()];
        counts.offered += 1;
        if host.check(&key, now, random.random()).is_err() {
            continue;
        }
        counts.forwarded += 1;
        if tokens < 1.0 {
            host.record(&key, &refusal(), now);
            continue;
        }
        tokens -= 1.0;
        counts.accepted += 1;
        host.record(&key, &Ok(Answer::default()), now);
    }
    counts
}

/// Guards against a flood that reaches the placer in full, and against hosts that together forward
/// too few requests to use the placer's capacity.
#[test]
fn a_flood_is_shed_at_any_number_of_hosts() {
    for hosts in [1, 3, 8] {
        let throttles: Vec<Throttle> = (0..hosts).map(|_| Throttle::default()).collect();
        let counts = offer(&throttles, 8_000, 400, Instant::now());
        assert!(
            counts.accepted * 100 >= 400 * 10 * 95,
            "{}",
            counts.accepted
        );
        let limit = counts.accepted * 5 / 2 + hosts * 100;
        assert!(
            counts.forwarded <= limit,
            "{} of {}",
            counts.forwarded,
            counts.offered
        );
    }
}

/// Guards against shedding the requests of a member that the placer mostly accepts.
#[test]
fn a_member_that_is_mostly_accepted_is_not_shed() {
    let throttle = [Throttle::default()];
    let counts = offer(&throttle, 500, 300, Instant::now());
    assert_eq!(counts.forwarded, counts.offered);
}

/// Guards against a throttle that stays active after the flood, blocks a key for ever, or sheds
/// the requests of other keys.
#[test]
fn probes_pass_and_shedding_ends() {
    let throttle = Throttle::default();
    let low = key("wheelwrights", Urgency::Low);
    let start = Instant::now();
    for _ in 0..100 {
        throttle.record(&low, &refusal(), start);
    }
    let soon = start + Duration::from_millis(1);
    assert!(throttle.check(&low, soon, 0.0).is_err());
    // Another urgency and another member are not affected.
    assert!(
        throttle
            .check(&key("wheelwrights", Urgency::Urgent), soon, 0.0)
            .is_ok()
    );
    assert!(
        throttle
            .check(&key("gutterworks", Urgency::Low), soon, 0.0)
            .is_ok()
    );
    assert!(throttle.check(&low, start + PROBE_INTERVAL, 0.0).is_ok());
    assert!(throttle.check(&low, start + PROBE_INTERVAL, 0.0).is_err());
    assert!(throttle.check(&low, start + MAX_SHEDDING_TIME, 0.0).is_ok());
}

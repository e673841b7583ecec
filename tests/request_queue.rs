//! Tests of fair sharing and flood protection of the request queue, in virtual time.

#[allow(dead_code)]
mod slot_simulation;

use std::collections::BTreeMap;

use jujubewinch::protocol::caller::Urgency;
use jujubewinch::scheduling::request_queue::RequestQueue;
use jujubewinch::scheduling::request_queue::policy::{
    LEVELS, RequestPolicy, RequestPolicyName, same_policy,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use slot_simulation::{Arrival, Outcome, Simulation, Stream, poisson};

const SLOTS: usize = 32;
/// Execution time of an ordinary request.
const WORK_US: u64 = 20_000;
const SECOND_US: u64 = 1_000_000;
const URGENCIES: [Urgency; LEVELS] = [
    Urgency::Low,
    Urgency::Normal,
    Urgency::High,
    Urgency::Urgent,
];

fn test_config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn queue(max_queued: usize, policy: RequestPolicy) -> RequestQueue {
    RequestQueue::with_policy(max_queued, RequestPolicyName::Fair, same_policy(policy))
}

fn any_arrival() -> impl Strategy<Value = Arrival> {
    let times = (0..2 * SECOND_US, 1_000..200_000_u64, 10_000..3 * SECOND_US);
    (times, 0..4_u8, 0..3_u8, 0..LEVELS).prop_map(|(times, member, caller, urgency)| Arrival {
        at_us: times.0,
        member: format!("member-{member}"),
        caller: format!("caller-{caller}"),
        urgency: URGENCIES[urgency],
        work_us: times.1,
        timeout_us: times.2,
    })
}

fn sorted(mut arrivals: Vec<Arrival>) -> Vec<Arrival> {
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

proptest! {
    #![proptest_config(test_config(64, 11))]

    /// Guards against requests that the queue loses or assigns twice, against starts after the
    /// deadline, and against a queue that grows beyond its bounds. The simulation panics when a
    /// request ends twice.
    #[test]
    fn every_request_ends_once_and_bounds_hold(
        arrivals in prop::collection::vec(any_arrival(), 1..300),
        max_queued in 1..60_usize,
        max_queued_of_member in 1..60_usize,
        policy_name in prop::sample::select(vec![
            RequestPolicyName::Fair,
            RequestPolicyName::FirstComeFirstServed,
            RequestPolicyName::StrictPriority,
        ]),
    ) {
        let policy = RequestPolicy { max_queued: max_queued_of_member, ..RequestPolicy::default() };
        let queue = RequestQueue::with_policy(max_queued, policy_name, same_policy(policy));
        let simulation = Simulation::run(queue, 3, sorted(arrivals));
        for (arrival, outcome) in simulation.results() {
            if let Outcome::Started { wait_us } = outcome {
                prop_assert!(wait_us <= arrival.timeout_us);
            }
        }
        prop_assert!(simulation.longest_queue <= max_queued);
        if policy_name == RequestPolicyName::Fair {
            let longest = simulation.longest_queues.values().max();
            prop_assert!(*longest.unwrap() <= max_queued_of_member);
        }
    }

}

proptest! {
    #![proptest_config(test_config(8, 12))]

    /// Guards against members that obtain more than their share of slot time by long requests, by
    /// many callers or by their sending pattern. Members that always have requests waiting receive
    /// slot time in proportion to their weights.
    #[test]
    fn shares_converge_to_the_weights(
        members in prop::collection::vec((1..5_u32, 5_000..100_000_u64, 1..50_usize), 2..6),
    ) {
        let weights: BTreeMap<String, u32> = members
            .iter()
            .enumerate()
            .map(|(index, member)| (format!("member-{index}"), member.0))
            .collect();
        let until_us = 20 * SECOND_US;
        let mut arrivals = Vec::new();
        for (index, &(_, work_us, callers)) in members.iter().enumerate() {
            // Requests for four times the capacity of all slots.
            let count = 4 * SLOTS as u64 * until_us / work_us;
            arrivals.extend((0..count).map(|number| Arrival {
                at_us: number * until_us / count,
                member: format!("member-{index}"),
                caller: format!("caller-{}", number as usize % callers),
                urgency: Urgency::Normal,
                work_us,
                timeout_us: 5 * SECOND_US,
            }));
        }
        let weight_by_member = weights.clone();
        let source = std::sync::Arc::new(move |member: &String, _: &String, _: &String| {
            RequestPolicy { member_weight: weight_by_member[member], ..RequestPolicy::default() }
        });
        let queue = RequestQueue::with_policy(100_000, RequestPolicyName::Fair, source);
        let simulation = Simulation::run(queue, SLOTS, sorted(arrivals));
        let used = simulation.slot_time_us(until_us);
        let total_used: u64 = used.values().sum();
        let total_weight: u32 = weights.values().sum();
        // Each slot may serve one request of the maximum length too many or too few, and shares
        // converge only once execution times have been estimated.
        let tolerance_us = (SLOTS as u64 * 100_000 + total_used / 50) as f64;
        for (member, weight) in &weights {
            let fair_us = total_used as f64 * f64::from(*weight) / f64::from(total_weight);
            let difference = used[member] as f64 - fair_us;
            prop_assert!(
                difference.abs() <= tolerance_us,
                "{member} used {} us, fair {fair_us}, tolerance {tolerance_us}", used[member]
            );
        }
    }
}

/// Requests of member-0 in excess of its share.
struct FloodCase {
    name: &'static str,
    urgency: Urgency,
    callers: usize,
    work_us: u64,
}

const FLOODS: [FloodCase; 4] = [
    FloodCase {
        name: "least urgent from one caller",
        urgency: Urgency::Low,
        callers: 1,
        work_us: WORK_US,
    },
    FloodCase {
        name: "most urgent from one caller",
        urgency: Urgency::Urgent,
        callers: 1,
        work_us: WORK_US,
    },
    FloodCase {
        name: "most urgent from many callers",
        urgency: Urgency::Urgent,
        callers: 1_000,
        work_us: WORK_US,
    },
    FloodCase {
        name: "long requests",
        urgency: Urgency::Urgent,
        callers: 10,
        work_us: 5 * WORK_US,
    },
];

/// Streams of four members that together use 70% of the slots.
fn ordinary_streams() -> Vec<Stream> {
    let capacity = SLOTS as f64 * 1e6 / WORK_US as f64;
    let stream =
        |index: usize| Stream::new(&format!("member-{index}"), capacity * 0.7 / 4.0, WORK_US);
    (0..4).map(stream).collect()
}

fn count_started(simulation: &Simulation, member: &str) -> usize {
    let results = simulation.results();
    let started = results.filter(|(arrival, outcome)| {
        arrival.member == member && matches!(outcome, Outcome::Started { .. })
    });
    started.count()
}

/// Guards against floods that take capacity from members within their share: the other members keep
/// 95% of their goodput, and their requests start within the bound that the queue documents.
#[test]
fn members_within_their_share_keep_their_goodput_in_a_flood() {
    let without_flood = Simulation::run(
        queue(10_000, RequestPolicy::default()),
        SLOTS,
        poisson(&ordinary_streams(), 5),
    );
    for flood in FLOODS {
        let mut streams = ordinary_streams();
        let rate = streams[0].per_second * 20.0;
        streams.push(Stream {
            callers: flood.callers,
            urgency: flood.urgency,
            from_us: 5 * SECOND_US,
            until_us: 25 * SECOND_US,
            ..Stream::new("member-0", rate, flood.work_us)
        });
        let queue = queue(10_000, RequestPolicy::default());
        let simulation = Simulation::run(queue, SLOTS, poisson(&streams, 5));
        for member in ["member-1", "member-2", "member-3"] {
            let (before, during) = (
                count_started(&without_flood, member),
                count_started(&simulation, member),
            );
            assert!(
                during * 100 >= before * 95,
                "{}: {member} started {during} requests, {before} without the flood",
                flood.name
            );
        }
        let longest_wait_us = simulation
            .results()
            .filter(|(arrival, _)| arrival.member != "member-0")
            .filter_map(|(_, outcome)| match outcome {
                Outcome::Started { wait_us } => Some(wait_us),
                _ => None,
            })
            .max();
        // Bound in the documentation of `scheduling::request_queue`: as many slot releases as there
        // are members.
        let bound_us = flood.work_us + 4 * flood.work_us / SLOTS as u64 + WORK_US;
        assert!(
            longest_wait_us.unwrap() <= bound_us,
            "{}: waited {longest_wait_us:?} us",
            flood.name
        );
    }
}

/// Guards against urgent requests within the share of a member that wait behind the member's own
/// flood of less urgent requests. They start within 3 s.
#[test]
fn urgent_requests_within_the_share_start_within_3_s() {
    let mut streams = ordinary_streams();
    let rate = streams[0].per_second;
    streams[0].urgency = Urgency::Urgent;
    streams.push(Stream {
        urgency: Urgency::Low,
        callers: 100,
        ..Stream::new("member-0", rate * 20.0, WORK_US)
    });
    let queue = queue(10_000, RequestPolicy::default());
    let simulation = Simulation::run(queue, SLOTS, poisson(&streams, 6));
    for (arrival, outcome) in simulation.results() {
        if arrival.urgency != Urgency::Urgent {
            continue;
        }
        let Outcome::Started { wait_us } = outcome else {
            panic!("urgent request at {} us: {outcome:?}", arrival.at_us);
        };
        assert!(wait_us <= 3 * SECOND_US);
    }
}

/// Guards against the starvation of low urgency while the same member keeps sending more urgent
/// requests.
#[test]
fn each_waiting_urgency_is_served_in_turn() {
    let policy = RequestPolicy {
        target_delay_ms: 1_000_000,
        ..RequestPolicy::default()
    };
    let max_gap = policy.lower_urgency_turn as usize * (LEVELS - 1);
    let mut arrivals = Vec::new();
    for urgency in URGENCIES {
        arrivals.extend((0..150).map(|_| Arrival {
            at_us: 0,
            member: "member-0".to_owned(),
            caller: "caller-0".to_owned(),
            urgency,
            work_us: 1_000,
            timeout_us: 100 * SECOND_US,
        }));
    }
    let simulation = Simulation::run(queue(10_000, policy), 1, arrivals);
    let mut low_starts: Vec<u64> = simulation
        .results()
        .filter(|(arrival, _)| arrival.urgency == Urgency::Low)
        .map(|(_, outcome)| match outcome {
            Outcome::Started { wait_us } => wait_us / 1_000,
            other => panic!("{other:?}"),
        })
        .collect();
    low_starts.sort_unstable();
    // The first request starts immediately because the queue is empty; all others compete for the
    // slot. Requests take 1 ms, so the times in ms count dispatches.
    for pair in low_starts.windows(2) {
        assert!(pair[1] - pair[0] <= max_gap as u64, "{pair:?}");
    }
}

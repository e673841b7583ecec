//! Measures the throughput of the request queue, and compares it with the baseline policies under
//! floods in virtual time.
//!
//! `cargo bench --bench request_queue` takes about 20 s.

#[allow(dead_code)]
#[path = "../tests/slot_simulation/mod.rs"]
mod slot_simulation;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jujubewinch::protocol::caller::Urgency;
use jujubewinch::scheduling::request_queue::policy::{
    RequestPolicy, RequestPolicyName, same_policy,
};
use jujubewinch::scheduling::request_queue::{QueuedRequest, RequestQueue};
use slot_simulation::{Outcome, SERVICE, Simulation, Stream, poisson};

/// Duration of each throughput measurement.
const MEASURED: Duration = Duration::from_millis(300);
/// Number of running requests while throughput is measured.
const RUNNING: usize = 64;
const CALLERS_PER_MEMBER: usize = 20;

// Parameters of the flood experiment.
const SLOTS: usize = 128;
const WORK_US: u64 = 20_000;
const MEMBERS: usize = 8;
const SECOND_US: u64 = 1_000_000;
const FLOOD_FROM_US: u64 = 10 * SECOND_US;
const FLOOD_UNTIL_US: u64 = 40 * SECOND_US;
const END_US: u64 = 50 * SECOND_US;
/// Fractions of the slots that all members together use without a flood.
const ORDINARY_LOADS: [f64; 3] = [0.5, 0.8, 0.95];
/// Work of the flood relative to the ordinary work of one member.
const FLOOD_FACTOR: f64 = 20.0;

fn main() {
    println!("throughput, thousands of operations per second (median of 3)");
    println!(
        "{:>8} {:>8} {:>16} {:>16} {:>16}",
        "members", "queued", "admit+next+end", "admit+cancel", "full queue"
    );
    for members in [10, 500] {
        for queued in [100, 1_000, 10_000, 100_000] {
            let row: Vec<f64> = [serve, cancel, overflow]
                .map(|operation| median(|| measure(members, queued, operation)))
                .to_vec();
            println!(
                "{members:>8} {queued:>8} {:>16.0} {:>16.0} {:>16.0}",
                row[0], row[1], row[2]
            );
        }
    }
    println!();
    for load in ORDINARY_LOADS {
        flood_experiment(load);
    }
}

/// Median of three samples.
fn median(mut sample: impl FnMut() -> f64) -> f64 {
    let mut samples = [sample(), sample(), sample()];
    samples.sort_by(f64::total_cmp);
    samples[1]
}

/// A queue with waiting and running requests.
struct LoadedQueue {
    queue: RequestQueue,
    running: VecDeque<QueuedRequest>,
    members: usize,
    /// Number of requests created so far.
    created: usize,
    now: Instant,
}

impl LoadedQueue {
    /// Creates the next request. The prime factor varies the order of the members, which all occur
    /// equally often.
    fn request(&mut self) -> QueuedRequest {
        self.created += 1;
        let member = self.created * 7919 % self.members;
        let caller = self.created / self.members % CALLERS_PER_MEMBER;
        QueuedRequest {
            key: format!("erdenet.1764820000.{}", self.created),
            member: format!("member-{member}"),
            caller: format!("caller-{member}-{caller}"),
            service: SERVICE.to_owned(),
            urgency: Urgency::Normal,
            deadline: self.now + Duration::from_secs(100_000),
            admitted_at: self.now,
        }
    }
}

/// Measures thousands of operations per second with `queued` requests waiting.
fn measure(members: usize, queued: usize, operation: fn(&mut LoadedQueue)) -> f64 {
    // Without a bound per member and without shedding, all `queued` requests stay in the queue.
    let policy = RequestPolicy {
        max_queued: usize::MAX,
        target_delay_ms: u64::MAX / 1_000_000,
        ..RequestPolicy::default()
    };
    let max_queued = if operation as usize == overflow as fn(&mut LoadedQueue) as usize {
        queued
    } else {
        usize::MAX
    };
    let mut loaded = LoadedQueue {
        queue: RequestQueue::with_policy(max_queued, RequestPolicyName::Fair, same_policy(policy)),
        running: VecDeque::new(),
        members,
        created: 0,
        now: Instant::now(),
    };
    loaded.queue.set_slots(SERVICE, 2 * RUNNING as u32);
    while loaded.queue.len() < queued {
        let request = loaded.request();
        let _ = loaded.queue.admit(request, loaded.now);
    }
    let started_at = Instant::now();
    let mut operations = 0_u64;
    while started_at.elapsed() < MEASURED {
        for _ in 0..100 {
            operation(&mut loaded);
        }
        operations += 100;
    }
    operations as f64 / started_at.elapsed().as_secs_f64() / 1e3
}

/// Admits a request and starts one, after one has ended if `RUNNING` requests are running.
fn serve(loaded: &mut LoadedQueue) {
    loaded.now += Duration::from_micros(50);
    let (request, now) = (loaded.request(), loaded.now);
    let _ = loaded.queue.admit(request, now);
    if loaded.running.len() >= RUNNING {
        let ended = loaded.running.pop_front().expect("some run");
        loaded
            .queue
            .finished(&ended, now - Duration::from_millis(3), now);
    }
    loaded
        .running
        .extend(loaded.queue.next(SERVICE, now).chosen);
}

/// Admits a request and cancels it.
fn cancel(loaded: &mut LoadedQueue) {
    let request = loaded.request();
    let key = request.key.clone();
    let _ = loaded.queue.admit(request, loaded.now);
    assert!(loaded.queue.cancel(&key));
}

/// Admits a request to a full queue, which refuses it or drops another request for it.
fn overflow(loaded: &mut LoadedQueue) {
    let request = loaded.request();
    let _ = loaded.queue.admit(request, loaded.now);
    loaded.queue.take_dropped();
}

struct MemberResult {
    /// Requests per second that started early enough to finish by their deadline.
    goodput: f64,
    p99_wait_ms: f64,
}

/// Computes the goodput of all members except the flooding one during the flood, and the 99th
/// percentile of their waiting times.
fn result_of_other_members(simulation: &Simulation) -> MemberResult {
    let mut waits = Histogram::<u64>::new_with_bounds(1, 60 * SECOND_US, 3).expect("valid bounds");
    let mut in_time = 0_u64;
    for (arrival, outcome) in simulation.results() {
        let during = (FLOOD_FROM_US..FLOOD_UNTIL_US).contains(&arrival.at_us);
        if arrival.member == "member-0" || !during {
            continue;
        }
        // A request that did not start counts as waiting until its deadline.
        let mut wait_us = arrival.timeout_us;
        if let Outcome::Started { wait_us: waited_us } = outcome {
            wait_us = waited_us;
            in_time += u64::from(waited_us + arrival.work_us <= arrival.timeout_us);
        }
        waits.saturating_record(wait_us);
    }
    MemberResult {
        goodput: in_time as f64 / ((FLOOD_UNTIL_US - FLOOD_FROM_US) as f64 / 1e6),
        p99_wait_ms: waits.value_at_quantile(0.99) as f64 / 1e3,
    }
}

/// Longest waiting time of the urgent requests of the flooding member that are not part of the flood.
fn longest_urgent_wait_ms(simulation: &Simulation) -> f64 {
    let urgent = simulation.results().filter(|(arrival, _)| {
        arrival.urgency == Urgency::Urgent && arrival.caller == "inside the share"
    });
    let waits = urgent.map(|(arrival, outcome)| match outcome {
        Outcome::Started { wait_us } => wait_us,
        _ => arrival.timeout_us,
    });
    waits.max().unwrap_or(0) as f64 / 1e3
}

/// Streams of all members that together use the fraction `load` of the slots.
fn ordinary_streams(load: f64) -> Vec<Stream> {
    let capacity = SLOTS as f64 * 1e6 / WORK_US as f64;
    let stream = |index: usize| Stream {
        varied_work: true,
        callers: 10,
        until_us: END_US,
        ..Stream::new(
            &format!("member-{index}"),
            capacity * load / MEMBERS as f64,
            WORK_US,
        )
    };
    (0..MEMBERS).map(stream).collect()
}

/// Names and streams of the floods, all of which demand the same slot time.
fn floods(load: f64) -> Vec<(&'static str, Vec<Stream>)> {
    let ordinary = ordinary_streams(load);
    let flood = |urgency, callers, work_us| Stream {
        urgency,
        callers,
        from_us: FLOOD_FROM_US,
        until_us: FLOOD_UNTIL_US,
        per_second: ordinary[0].per_second * FLOOD_FACTOR * WORK_US as f64 / work_us as f64,
        work_us,
        ..ordinary[0].clone()
    };
    vec![
        ("none", Vec::new()),
        (
            "least urgent, 1 caller",
            vec![flood(Urgency::Low, 1, WORK_US)],
        ),
        (
            "least urgent, 1000 callers",
            vec![flood(Urgency::Low, 1_000, WORK_US)],
        ),
        (
            "most urgent, 1 caller",
            vec![flood(Urgency::Urgent, 1, WORK_US)],
        ),
        (
            "most urgent, 1000 callers",
            vec![flood(Urgency::Urgent, 1_000, WORK_US)],
        ),
        (
            "most urgent, 10x longer work",
            vec![flood(Urgency::Urgent, 10, 10 * WORK_US)],
        ),
    ]
}

/// Simulates a policy with a flood by member-0, and with `urgent` also urgent requests within its
/// share.
fn simulate(policy: RequestPolicyName, load: f64, flood: &[Stream], urgent: bool) -> Simulation {
    let mut streams = ordinary_streams(load);
    if urgent {
        // Urgent requests of the flooding member at a tenth of its ordinary rate.
        let per_second = streams[0].per_second / 10.0;
        streams.push(Stream {
            urgency: Urgency::Urgent,
            per_second,
            ..streams[0].clone()
        });
    }
    streams.extend_from_slice(flood);
    let mut arrivals = poisson(&streams, 42);
    if urgent {
        let urgent_arrivals = arrivals
            .iter_mut()
            .filter(|arrival| arrival.urgency == Urgency::Urgent);
        for arrival in urgent_arrivals {
            "inside the share".clone_into(&mut arrival.caller);
        }
    }
    let queue = RequestQueue::with_policy(10_000, policy, same_policy(RequestPolicy::default()));
    Simulation::run(queue, SLOTS, arrivals)
}

fn flood_experiment(load: f64) {
    println!(
        "flood of {FLOOD_FACTOR}x by member-0 of {MEMBERS}, {SLOTS} slots, ordinary load {load}"
    );
    println!(
        "{:<24} {:<30} {:>16} {:>14} {:>12} {:>20}",
        "policy", "flood", "others' goodput", "p99 wait ms", "p99 ratio", "slowest urgent ms"
    );
    for policy in [
        RequestPolicyName::Fair,
        RequestPolicyName::FirstComeFirstServed,
        RequestPolicyName::StrictPriority,
    ] {
        let mut without_flood: Option<MemberResult> = None;
        for (flood_name, flood) in floods(load) {
            let result = result_of_other_members(&simulate(policy, load, &flood, false));
            let least_urgent = flood.iter().all(|stream| stream.urgency == Urgency::Low);
            let urgent = if least_urgent {
                format!(
                    "{:.1}",
                    longest_urgent_wait_ms(&simulate(policy, load, &flood, true))
                )
            } else {
                "-".to_owned()
            };
            let reference = without_flood.as_ref().unwrap_or(&result);
            println!(
                "{:<24} {:<30} {:>15.1}% {:>14.2} {:>12.2} {:>20}",
                format!("{policy:?}"),
                flood_name,
                100.0 * result.goodput / reference.goodput,
                result.p99_wait_ms,
                result.p99_wait_ms / reference.p99_wait_ms,
                urgent
            );
            without_flood.get_or_insert(result);
        }
    }
}

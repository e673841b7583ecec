//! Throughput of the request queue, and a flood experiment in virtual time against the baselines.
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
use slot_simulation::{Ending, SERVICE, Simulation, Stream, poisson};

/// Time for each throughput figure.
const MEASURED: Duration = Duration::from_millis(300);
/// Requests in execution while throughput is measured.
const RUNNING: usize = 64;
const CALLERS_PER_MEMBER: usize = 20;

const SLOTS: usize = 128;
const WORK_US: u64 = 20_000;
const MEMBERS: usize = 8;
const SECOND_US: u64 = 1_000_000;
const FLOOD_FROM_US: u64 = 10 * SECOND_US;
const FLOOD_UNTIL_US: u64 = 40 * SECOND_US;
const END_US: u64 = 50 * SECOND_US;
/// Parts of the slots that all members together use without a flood.
const ORDINARY_LOADS: [f64; 3] = [0.5, 0.8, 0.95];
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

fn median(mut sample: impl FnMut() -> f64) -> f64 {
    let mut samples = [sample(), sample(), sample()];
    samples.sort_by(f64::total_cmp);
    samples[1]
}

struct Loaded {
    queue: RequestQueue,
    running: VecDeque<QueuedRequest>,
    members: usize,
    sent: usize,
    now: Instant,
}

impl Loaded {
    fn request(&mut self) -> QueuedRequest {
        self.sent += 1;
        let member = self.sent * 7919 % self.members;
        let caller = self.sent / self.members % CALLERS_PER_MEMBER;
        QueuedRequest {
            key: format!("erdenet.1764820000.{}", self.sent),
            member: format!("member-{member}"),
            caller: format!("caller-{member}-{caller}"),
            service: SERVICE.to_owned(),
            urgency: Urgency::Normal,
            deadline: self.now + Duration::from_secs(100_000),
            admitted_at: self.now,
        }
    }
}

/// Operations per second in thousands with so many requests waiting.
fn measure(members: usize, queued: usize, operation: fn(&mut Loaded)) -> f64 {
    let policy = RequestPolicy {
        max_queued: usize::MAX,
        target_delay_ms: u64::MAX / 1_000_000,
        ..RequestPolicy::default()
    };
    let max_queued = if operation as usize == overflow as fn(&mut Loaded) as usize {
        queued
    } else {
        usize::MAX
    };
    let mut loaded = Loaded {
        queue: RequestQueue::with_policy(max_queued, RequestPolicyName::Fair, same_policy(policy)),
        running: VecDeque::new(),
        members,
        sent: 0,
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

fn serve(loaded: &mut Loaded) {
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

fn cancel(loaded: &mut Loaded) {
    let request = loaded.request();
    let key = request.key.clone();
    let _ = loaded.queue.admit(request, loaded.now);
    assert!(loaded.queue.cancel(&key));
}

fn overflow(loaded: &mut Loaded) {
    let request = loaded.request();
    let _ = loaded.queue.admit(request, loaded.now);
    loaded.queue.take_dropped();
}

struct MemberResult {
    goodput: f64,
    p99_wait_ms: f64,
}

/// Goodput of all members but the flooding one, and their 99th percentile of waiting time.
fn others(simulation: &Simulation) -> MemberResult {
    let mut waits = Histogram::<u64>::new_with_bounds(1, 60 * SECOND_US, 3).expect("valid bounds");
    let mut good = 0_u64;
    for (arrival, ending) in simulation.results() {
        let during = (FLOOD_FROM_US..FLOOD_UNTIL_US).contains(&arrival.at_us);
        if arrival.member == "member-0" || !during {
            continue;
        }
        // A request that did not start counts as waiting until its deadline.
        let mut wait_us = arrival.timeout_us;
        if let Ending::Started { wait_us: waited_us } = ending {
            wait_us = waited_us;
            good += u64::from(waited_us + arrival.work_us <= arrival.timeout_us);
        }
        waits.saturating_record(wait_us);
    }
    MemberResult {
        goodput: good as f64 / ((FLOOD_UNTIL_US - FLOOD_FROM_US) as f64 / 1e6),
        p99_wait_ms: waits.value_at_quantile(0.99) as f64 / 1e3,
    }
}

/// Slowest start of the flooding member's own urgent requests that are not part of the flood.
fn slowest_urgent_ms(simulation: &Simulation) -> f64 {
    let urgent = simulation.results().filter(|(arrival, _)| {
        arrival.urgency == Urgency::Urgent && arrival.caller == "inside the share"
    });
    let waits = urgent.map(|(arrival, ending)| match ending {
        Ending::Started { wait_us } => wait_us,
        _ => arrival.timeout_us,
    });
    waits.max().unwrap_or(0) as f64 / 1e3
}

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

fn simulate(name: RequestPolicyName, load: f64, flood: &[Stream], urgent: bool) -> Simulation {
    let mut streams = ordinary_streams(load);
    if urgent {
        // Urgent work of the flooding member that uses a tenth of its share.
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
        let inside = arrivals
            .iter_mut()
            .filter(|arrival| arrival.urgency == Urgency::Urgent);
        for arrival in inside {
            "inside the share".clone_into(&mut arrival.caller);
        }
    }
    let queue = RequestQueue::with_policy(10_000, name, same_policy(RequestPolicy::default()));
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
    for name in [
        RequestPolicyName::Fair,
        RequestPolicyName::FirstComeFirstServed,
        RequestPolicyName::StrictPriority,
    ] {
        let mut calm: Option<MemberResult> = None;
        for (flood_name, flood) in floods(load) {
            let result = others(&simulate(name, load, &flood, false));
            let least_urgent = flood.iter().all(|stream| stream.urgency == Urgency::Low);
            let urgent = if least_urgent {
                format!(
                    "{:.1}",
                    slowest_urgent_ms(&simulate(name, load, &flood, true))
                )
            } else {
                "-".to_owned()
            };
            let reference = calm.as_ref().unwrap_or(&result);
            println!(
                "{:<24} {:<30} {:>15.1}% {:>14.2} {:>12.2} {:>20}",
                format!("{name:?}"),
                flood_name,
                100.0 * result.goodput / reference.goodput,
                result.p99_wait_ms,
                result.p99_wait_ms / reference.p99_wait_ms,
                urgent
            );
            calm.get_or_insert(result);
        }
    }
}

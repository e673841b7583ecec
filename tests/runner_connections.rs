//! A placer and a stand-in runner that communicate over real sockets.

mod placer_support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use jujubewinch::agent::faults::Fault;
use jujubewinch::agent::{Agent, AgentOptions};
use jujubewinch::clock::Clock;
use jujubewinch::options::settings::{LimitSettings, TimingSettings};
use jujubewinch::placer::journal::Journal;
use jujubewinch::placer::links::http_exchange;
use jujubewinch::placer::{Placer, PlacerOptions};
use jujubewinch::protocol::caller::Submission;
use jujubewinch::protocol::worker::RunnerCapacity;
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::request_queue::policy::RequestPolicyName;
use placer_support::{fresh_key, request, timing};

fn start(slots: u32, connections: u32) -> (Arc<Placer>, Agent) {
    let placer = Placer::new(PlacerOptions {
        // The fair policy would shed some of 60 concurrent requests, and this test must shed none.
        request_policy: RequestPolicyName::FirstComeFirstServed,
        data_centre: "erdenet".to_owned(),
        limits: LimitSettings::default(),
        timing: TimingSettings {
            lease_ms: 60_000,
            ..timing()
        },
        clock: Clock::system(),
        journal: Journal::in_memory(1),
        exchange: http_exchange(),
    });
    let agent = Agent::start(AgentOptions {
        worker: "worker-1".to_owned(),
        data_centre: "erdenet".to_owned(),
        rack: "rack-1".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        entry_hosts: Vec::new(),
        resources: Resources::ZERO,
        runner: Some(RunnerCapacity {
            service: "quotes".to_owned(),
            slots,
            connections,
        }),
    })
    .expect("a free port is available");
    placer.announce(agent.announcement()).unwrap();
    (placer, agent)
}

fn submission(index: usize, work_ms: u64) -> Submission {
    request(&fresh_key(&index.to_string()), false, work_ms)
}

/// Guards against a placer that uses all connections of a runner, so that the runner refuses those of
/// its successor.
#[test]
fn connections_stay_within_half_of_the_announced_number() {
    let (placer, agent) = start(8, 16);
    let done = AtomicBool::new(false);
    let highest = thread::scope(|scope| {
        let sampling = scope.spawn(|| {
            let mut highest = 0;
            while !done.load(Ordering::SeqCst) {
                highest = highest.max(agent.open_connections());
                thread::sleep(Duration::from_millis(1));
            }
            highest
        });
        let callers: Vec<_> = (0..60)
            .map(|index| {
                let placer = &placer;
                scope.spawn(move || placer.submit(&submission(index, index as u64 % 7 * 40)))
            })
            .collect();
        let outcomes: Vec<_> = callers
            .into_iter()
            .map(thread::ScopedJoinHandle::join)
            .collect();
        // Set before any check, so that a failed check does not leave the sampling thread running.
        done.store(true, Ordering::SeqCst);
        for outcome in outcomes {
            outcome.unwrap().unwrap();
        }
        sampling.join().unwrap()
    });
    assert!(highest <= 8, "{highest} connections were open");
    assert!(highest > 1, "the runner was used");
    assert_eq!(agent.tasks().started(), 60);
}

/// Guards against lost and repeated requests when established connections stop responding or answers
/// are corrupted on real sockets.
#[test]
fn silent_connections_and_corrupted_answers_lose_no_request() {
    let (placer, agent) = start(4, 64);
    // Establishes a pooled connection.
    assert!(placer.submit(&submission(0, 0)).is_ok());
    let faults = [
        Fault::LoseRequest,
        Fault::LoseAnswer,
        Fault::TruncateAnswer,
        Fault::CorruptAnswer,
        Fault::DelayAnswer(Duration::from_millis(500)),
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        agent.tasks().faults().inject(&[fault]);
        let mut submission = submission(index + 1, 0);
        submission.payload = vec![index as u8; 50_000];
        let answer = placer.submit(&submission).unwrap();
        assert_eq!(answer.body, submission.payload, "{fault:?}");
    }
    assert_eq!(agent.tasks().started(), 6);
    agent.tasks().faults().release_blocked_connections();
}

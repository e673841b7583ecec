//! Measures how costs grow with size, for `docs/CAPACITY.md`: each cost at five sizes, with a
//! linear fit and its largest residual. Takes about a minute.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::clock::Clock;
use jujubewinch::configuration::Configuration;
use jujubewinch::configuration::change::{Change, Command, Quota, Team};
use jujubewinch::membership::agent::MembershipPeer;
use jujubewinch::membership::{MembershipAgent, MembershipOptions, ProbeTiming};
use jujubewinch::options::settings::{LimitSettings, TimingSettings};
use jujubewinch::peer::ClusterKeys;
use jujubewinch::placer::journal::Journal;
use jujubewinch::placer::links::http_exchange;
use jujubewinch::placer::records::{Intent, PlacementRecord, PlacementState, RequestDigest};
use jujubewinch::placer::{Placer, PlacerOptions};
use jujubewinch::protocol::worker::{Announcement, RunnerCapacity, TaskState, WorkerPhase};
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::request_queue::policy::RequestPolicyName;
use jujubewinch::telemetry::metrics::metrics;

/// Time for which the membership agents run at each size.
const MEMBERSHIP_TIME: Duration = Duration::from_secs(6);
/// Rounds in which each worker announces itself once, at each size.
const ANNOUNCEMENT_ROUNDS: usize = 20;

fn main() {
    report(
        "announcement, microseconds, against workers",
        &[50, 100, 200, 400, 800],
        announcement_us,
    );
    report(
        "announcement, bytes of its body, against running tasks",
        &[5, 10, 20, 40, 80],
        announcement_bytes,
    );
    report(
        "key records, snapshot bytes, against records",
        &[1_000, 2_000, 4_000, 8_000, 16_000],
        key_bytes,
    );
    report(
        "configuration, snapshot bytes, against teams",
        &[100, 200, 400, 800, 1_600],
        team_bytes,
    );
    report(
        "change applied, microseconds, against teams",
        &[100, 200, 400, 800, 1_600],
        change_us,
    );
    report(
        "failure detection, bytes per second and host, against hosts",
        &[5, 10, 20, 40, 60],
        membership_bytes,
    );
}

/// Measures all sizes and prints the fit `value = base + slope * size`.
fn report(name: &str, sizes: &[usize], measure: fn(usize) -> f64) {
    let points: Vec<(f64, f64)> = sizes
        .iter()
        .map(|size| (*size as f64, measure(*size)))
        .collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let residuals = points
        .iter()
        .map(|(x, y)| ((base + slope * x) / y - 1.0).abs());
    println!("{name}");
    for (size, value) in &points {
        println!("  {size:>8.0} {value:>14.2}");
    }
    let largest_percent = residuals.fold(0.0, f64::max) * 100.0;
    println!("  fit: {base:.3} + {slope:.6} x size, largest residual {largest_percent:.1}%");
}

fn announcement(index: usize) -> Announcement {
    Announcement {
        worker: format!("worker-{index}"),
        incarnation: 1,
        data_centre: "erdenet".to_owned(),
        rack: format!("rack-{}", index / 8),
        address: "127.0.0.1:1".to_owned(),
        resources: Resources {
            cpu_millis: 16_000,
            memory_mib: 32_768,
            accelerators: 2,
        },
        runner: Some(RunnerCapacity {
            service: "quotes".to_owned(),
            slots: 8,
            connections: 64,
        }),
        phase: WorkerPhase::Up,
        tasks: IndexMap::new(),
        usage: IndexMap::new(),
        highest_epoch: 0,
    }
}

/// Mean time in microseconds in which a placer with this many runners handles an announcement.
fn announcement_us(workers: usize) -> f64 {
    let placer = Placer::new(PlacerOptions {
        data_centre: "erdenet".to_owned(),
        limits: LimitSettings::default(),
        timing: TimingSettings::default(),
        request_policy: RequestPolicyName::default(),
        clock: Clock::system(),
        journal: Journal::in_memory(1),
        exchange: http_exchange(),
    });
    let announcements: Vec<Announcement> = (0..workers).map(announcement).collect();
    for announcement in &announcements {
        placer
            .announce(announcement.clone())
            .expect("the placer leads");
    }
    let started_at = Instant::now();
    for _ in 0..ANNOUNCEMENT_ROUNDS {
        for announcement in &announcements {
            black_box(
                placer
                    .announce(announcement.clone())
                    .expect("the placer leads"),
            );
        }
    }
    started_at.elapsed().as_secs_f64() * 1e6 / (ANNOUNCEMENT_ROUNDS * workers) as f64
}

/// Size in bytes of the body of an announcement with this many running tasks.
fn announcement_bytes(tasks: usize) -> f64 {
    let mut announcement = announcement(100);
    for index in 0..tasks {
        let task = format!("erdenet.1764820000.job-{index:06}-0001-1");
        let usage = Resources {
            cpu_millis: 500,
            memory_mib: 1_024,
            accelerators: 0,
        };
        announcement.usage.insert(task.clone(), usage);
        announcement.tasks.insert(task, TaskState::Running);
    }
    let body = serde_json::to_vec(&announcement).expect("announcements can be encoded");
    body.len() as f64
}

/// Size in bytes of a snapshot with this many open key records.
fn key_bytes(records: usize) -> f64 {
    let mut state = PlacementState::default();
    for index in 0..records {
        state.apply(PlacementRecord::Intent(Intent {
            key: format!("erdenet.1764820000.confirmation-{index:08}"),
            digest: RequestDigest([7; 32]),
            idempotent: false,
            task: format!("{index:032x}"),
            former: None,
            former_may_have_run: false,
            worker: format!("worker-{}", index % 100),
            incarnation: 1_764_820_000_000_000,
            address: "127.0.0.1:7401".to_owned(),
            epoch: 1_764_820_000_000,
            deadline_unix_ms: 1_764_820_010_000,
            now_unix_ms: 1_764_820_000_000,
        }));
    }
    postcard::to_stdvec(&state)
        .expect("the state can be encoded")
        .len() as f64
}

fn team_change(index: usize) -> Command {
    Command {
        change_id: format!("change-{index}"),
        expected_version: index as u64,
        author: "saran".to_owned(),
        reason: "quota of the team".to_owned(),
        at_unix_ms: 1_764_820_000_000,
        change: Change::SetTeam(Team {
            member: format!("team-{index:04}"),
            weight: 1 + index as u32 % 7,
            quota: Quota::default(),
        }),
    }
}

fn configuration(teams: usize) -> Arc<Configuration> {
    let configuration = Configuration::new(None, Clock::system());
    for index in 0..teams {
        let command = postcard::to_stdvec(&team_change(index)).expect("commands can be encoded");
        configuration.apply(&command);
    }
    assert_eq!(configuration.read().version(), teams as u64);
    configuration
}

/// Size in bytes of a snapshot with this many teams and their audit entries.
fn team_bytes(teams: usize) -> f64 {
    configuration(teams)
        .snapshot()
        .expect("the state can be encoded")
        .len() as f64
}

/// Mean time in microseconds to apply a change to a configuration with this many teams.
fn change_us(teams: usize) -> f64 {
    const CHANGES: usize = 200;
    let configuration = configuration(teams);
    let commands: Vec<Vec<u8>> = (teams..teams + CHANGES)
        .map(|index| postcard::to_stdvec(&team_change(index)).expect("commands can be encoded"))
        .collect();
    let started_at = Instant::now();
    for command in &commands {
        black_box(configuration.apply(command));
    }
    started_at.elapsed().as_secs_f64() * 1e6 / CHANGES as f64
}

/// Bytes per second that each of this many hosts sends for failure detection.
fn membership_bytes(hosts: usize) -> f64 {
    let sockets: Vec<UdpSocket> = (0..hosts)
        .map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("ports are free"))
        .collect();
    let addresses: Vec<SocketAddr> = sockets
        .iter()
        .map(|socket| socket.local_addr().expect("bound"))
        .collect();
    drop(sockets);
    let agents: Vec<MembershipAgent> = (0..hosts)
        .map(|index| {
            let others = (0..hosts).filter(|other| *other != index);
            let peers = others.map(|other| MembershipPeer {
                host: format!("host-{other}"),
                address: addresses[other],
                scope: "region".to_owned(),
            });
            MembershipAgent::start(MembershipOptions {
                links: None,
                host: format!("host-{index}"),
                incarnation: 1,
                address: addresses[index],
                peers: peers.collect(),
                keys: ClusterKeys::unauthenticated(),
                timing: ProbeTiming::default(),
                seed: index as u64,
            })
            .expect("the port is free")
        })
        .collect();
    let before = membership_bytes_counted();
    let started_at = Instant::now();
    thread::sleep(MEMBERSHIP_TIME);
    let bytes = membership_bytes_counted() - before;
    let elapsed = started_at.elapsed().as_secs_f64();
    drop(agents);
    // Gives the threads of this size time to end before the next size starts.
    thread::sleep(Duration::from_millis(1_500));
    bytes / elapsed / hosts as f64
}

/// Bytes of membership messages that the metrics of this process have counted so far.
fn membership_bytes_counted() -> f64 {
    let text = metrics().render();
    let lines = text
        .lines()
        .filter(|line| line.contains("kind=\"membership\""));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

//! Measures the throughput and latency of a replicated log with three replicas in one process, the
//! bytes that an idle group sends, and the time without a leader after the loss of a leader. Calls
//! go directly to the other replica, without a network. Runs for about 10 seconds.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jujubewinch::clock::Clock;
use jujubewinch::replication::{
    Limits, Replica, ReplicaOptions, SendMessage, StateMachine, StorageOptions, Timing,
};
use tempfile::TempDir;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const MEASURED_TIME: Duration = Duration::from_millis(800);
const IDLE_TIME: Duration = Duration::from_millis(1_000);
const LEADER_LOSSES: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(10);
/// Size of a typical command, the intent record of a placer.
const COMMAND_BYTES: usize = 160;

type Directory = Arc<Mutex<Vec<Weak<Replica<()>>>>>;

struct Group {
    replicas: Vec<Arc<Replica<()>>>,
    directory: Directory,
    sent_bytes: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
    _folder: TempDir,
}

impl Group {
    fn start(on_disk: bool) -> Self {
        let mut group = Self {
            replicas: Vec::new(),
            directory: Arc::new(Mutex::new(HOSTS.iter().map(|_| Weak::new()).collect())),
            sent_bytes: Arc::default(),
            calls: Arc::default(),
            _folder: TempDir::new().expect("a temporary folder can be created"),
        };
        for (position, host) in HOSTS.iter().enumerate() {
            let folder = group._folder.path().join(host);
            let options = ReplicaOptions {
                group: "bench".to_owned(),
                host: (*host).to_owned(),
                initial_voters: HOSTS.iter().map(|host| (*host).to_owned()).collect(),
                may_lead: true,
                storage: if on_disk {
                    StorageOptions::Folder(folder)
                } else {
                    StorageOptions::Memory
                },
                clock: Clock::system(),
                timing: Timing::default(),
                limits: Limits::default(),
                seed: rand::random(),
                send: group.sender(host),
                machine: StateMachine {
                    apply: Box::new(|_, _| ()),
                    snapshot: Box::new(Vec::new),
                    restore: Box::new(|_| ()),
                },
            };
            let replica = Arc::new(Replica::start(options).expect("the folder is new"));
            group.directory.lock().unwrap()[position] = Arc::downgrade(&replica);
            group.replicas.push(replica);
        }
        group.leader();
        group
    }

    fn sender(&self, from: &'static str) -> SendMessage {
        let directory = Arc::clone(&self.directory);
        let (sent_bytes, calls) = (Arc::clone(&self.sent_bytes), Arc::clone(&self.calls));
        Arc::new(move |host, message, _deadline| {
            let position = HOSTS.iter().position(|other| other == host);
            let target = position.and_then(|at| directory.lock().unwrap()[at].upgrade());
            let target = target.ok_or("the host is down")?;
            let reply = target.handle(from, &message);
            sent_bytes.fetch_add((message.len() + reply.len()) as u64, Ordering::Relaxed);
            calls.fetch_add(1, Ordering::Relaxed);
            Ok(reply)
        })
    }

    fn leader(&self) -> usize {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let leads = |replica: &Arc<Replica<()>>| replica.leadership().is_some();
            if let Some(leader) = self.replicas.iter().position(leads) {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn measure_throughput(on_disk: bool, proposers: usize) {
    let group = Group::start(on_disk);
    let leader = &group.replicas[group.leader()];
    let end = Instant::now() + MEASURED_TIME;
    let latencies = Mutex::new(Histogram::<u64>::new(3).expect("three digits are valid"));
    let calls_before = group.calls.load(Ordering::Relaxed);
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..proposers {
            scope.spawn(|| {
                let mut own = Histogram::<u64>::new(3).expect("three digits are valid");
                while Instant::now() < end {
                    let began = Instant::now();
                    let command = vec![0x5a; COMMAND_BYTES];
                    let result = leader.propose(command, began + TIMEOUT);
                    result.expect("nothing fails in this group");
                    own.record(began.elapsed().as_micros() as u64)
                        .expect("the histogram grows");
                }
                latencies.lock().unwrap().add(&own).expect("same bounds");
            });
        }
    });
    let seconds = started.elapsed().as_secs_f64();
    let calls = group.calls.load(Ordering::Relaxed) - calls_before;
    let latencies = latencies.into_inner().unwrap();
    println!(
        "{:<7} {proposers:>9} {:>10.0} {:>9} {:>9} {:>9} {:>14.2}",
        if on_disk { "disk" } else { "memory" },
        latencies.len() as f64 / seconds,
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.max(),
        calls as f64 / latencies.len() as f64,
    );
    group.replicas.iter().for_each(|replica| replica.shutdown());
}

fn measure_idle_and_leader_loss() {
    let mut group = Group::start(false);
    let before = group.sent_bytes.load(Ordering::Relaxed);
    thread::sleep(IDLE_TIME);
    let sent = group.sent_bytes.load(Ordering::Relaxed) - before;
    println!(
        "\nidle group: {:.0} bytes/s of messages, both directions, for both followers",
        sent as f64 / IDLE_TIME.as_secs_f64()
    );
    let mut leaderless_ms = Vec::new();
    for _ in 0..LEADER_LOSSES {
        let leader = group.leader();
        let lost_at = Instant::now();
        group.directory.lock().unwrap()[leader] = Weak::new();
        group.replicas[leader].shutdown();
        group.leader();
        leaderless_ms.push(lost_at.elapsed().as_millis());
        group.replicas.iter().for_each(|replica| replica.shutdown());
        group = Group::start(false);
    }
    println!("time without a leader after the loss of one: {leaderless_ms:?} ms");
    group.replicas.iter().for_each(|replica| replica.shutdown());
}

fn main() {
    println!("storage proposers  commits/s    p50 us    p99 us    max us  calls/commit");
    for on_disk in [false, true] {
        for proposers in [1, 8, 64] {
            measure_throughput(on_disk, proposers);
        }
    }
    measure_idle_and_leader_loss();
}

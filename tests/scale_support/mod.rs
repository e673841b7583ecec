//! Runs a cell at the size of the largest deployment: storage and entry hosts on loopback addresses
//! in this process, and simulated workers that answer the placer's calls in memory.

pub mod fleet;
pub mod threads;

use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use jujubewinch::workflow::calls::{Call, Reply};
use jujubewinch::workflow::host::WorkflowHost;
use jujubewinch::workflow::queues::{
    PlacementPolicy, Queue, QueueAddress, QueueConfiguration, Service,
};
use jujubewinch::workflow::settings::WorkflowSettings;
use jujubewinch::workflow::spec::{StageSpec, WorkflowSpec};
use jujubewinch::workflow::state::JobPhase;

use fleet::Fleet;

/// Workers of the largest deployment.
pub const WORKERS: usize = 350;
/// Longest wait for an expected event, also on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of a worker's heartbeats, also the longest wait for the answer to one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Threads that send heartbeats, so that a call without an answer delays few workers.
const HEARTBEAT_THREADS: usize = 16;
/// Host name of all queues.
const QUEUE_HOST: &str = "shop.example";

/// A running cell with simulated workers.
pub struct ScaledCell {
    /// Storage hosts, then entry hosts, at 127.0.0.1 and the following addresses.
    pub hosts: Vec<Arc<WorkflowHost>>,
    pub fleet: Arc<Fleet>,
    /// Settings of each host, in the order of `hosts`.
    settings: Vec<WorkflowSettings>,
    /// Number of storage hosts.
    storage_hosts: usize,
    /// Threads that repeat the heartbeats of the workers.
    heartbeat_threads: Vec<JoinHandle<()>>,
}

impl ScaledCell {
    /// Starts the hosts, sends the first configuration and a heartbeat of each worker. `sizes`
    /// holds the numbers of storage hosts and of entry hosts.
    pub fn start(folder: &Path, port: u16, sizes: (usize, usize), workers: usize) -> Self {
        let (storage_hosts, entry_hosts) = sizes;
        let fleet = Fleet::start(workers);
        let settings: Vec<WorkflowSettings> = (0..storage_hosts + entry_hosts)
            .map(|host| settings(host, storage_hosts, folder, port))
            .collect();
        let hosts = settings
            .iter()
            .map(|host_settings| start_host(host_settings, &fleet));
        let mut cell = Self {
            hosts: hosts.collect(),
            fleet,
            settings,
            storage_hosts,
            heartbeat_threads: Vec::new(),
        };
        let configured = cell.call(&Call::ReplaceQueues(Box::new(configuration(1))));
        assert_eq!(configured, Reply::QueuesReplaced);
        for heartbeat in cell.fleet.heartbeats(1) {
            let noted = cell.call(&Call::Heartbeat(Box::new(heartbeat)));
            assert_eq!(noted, Reply::WorkerNoted);
        }
        for share in 0..HEARTBEAT_THREADS.min(workers) {
            let (hosts, fleet) = (cell.entry_hosts().to_vec(), Arc::clone(&cell.fleet));
            let run = move || repeat_heartbeats(&hosts, &fleet, share);
            cell.heartbeat_threads.push(thread::spawn(run));
        }
        cell
    }

    pub fn entry_hosts(&self) -> &[Arc<WorkflowHost>] {
        &self.hosts[self.storage_hosts..]
    }

    /// Calls the placer through the first entry host and panics if no reply arrives within
    /// `WAIT_TIMEOUT`.
    pub fn call(&self, call: &Call) -> Reply {
        let answer = self.entry_hosts()[0].call(call, Instant::now() + WAIT_TIMEOUT);
        answer.expect("the placer replies in time")
    }

    /// Waits for a leader and returns its position in `hosts`.
    pub fn leader(&self) -> usize {
        await_some(|| {
            let address = self.entry_hosts()[0].leader()?;
            let number: usize = address.strip_prefix("127.0.0.")?.parse().ok()?;
            number.checked_sub(1)
        })
    }

    /// Stops all storage hosts except the leader at the same time and returns their positions.
    pub fn stop_majority(&self) -> Vec<usize> {
        let leader = self.leader();
        let others: Vec<usize> = (0..self.storage_hosts)
            .filter(|host| *host != leader)
            .collect();
        thread::scope(|scope| {
            for &host in &others {
                let host = &self.hosts[host];
                scope.spawn(move || host.crash());
            }
        });
        others
    }

    /// Restarts stopped storage hosts with their logs.
    pub fn restart(&mut self, stopped: &[usize]) {
        for &host in stopped {
            // The address becomes free when the accepting thread of the stopped host has ended.
            self.hosts[host] = await_some(|| {
                let calls = self.fleet.calls();
                WorkflowHost::start(self.settings[host].clone(), calls).ok()
            });
        }
    }

    pub fn phase(&self, kind: &JobKind, id: &str) -> Reply {
        self.call(&Call::Query(kind.address(id)))
    }

    pub fn await_completed(&self, kind: &JobKind, id: &str) {
        await_some(|| {
            let completed = Reply::Progress(JobPhase::Completed);
            (self.phase(kind, id) == completed).then_some(())
        });
    }
}

impl Drop for ScaledCell {
    fn drop(&mut self) {
        self.fleet.stop();
        thread::scope(|scope| {
            for host in &self.hosts {
                scope.spawn(|| host.crash());
            }
        });
        for thread in self.heartbeat_threads.drain(..) {
            // A panic here would hide that of a failed test.
            let _ = thread.join();
        }
    }
}

/// Repeats the heartbeats of a share of the workers, through all entry hosts in turn, until the fleet
/// stops. A placer that follows a time without one starts no runs on a worker before its next heartbeat.
fn repeat_heartbeats(hosts: &[Arc<WorkflowHost>], fleet: &Fleet, share: usize) {
    for sequence in 2.. {
        let next_at = Instant::now() + HEARTBEAT_INTERVAL;
        let heartbeats = fleet.heartbeats(sequence);
        let own = heartbeats
            .into_iter()
            .skip(share)
            .step_by(HEARTBEAT_THREADS);
        for (number, heartbeat) in own.enumerate() {
            if fleet.is_stopping() {
                return;
            }
            let host = &hosts[(number + sequence as usize) % hosts.len()];
            let call = Call::Heartbeat(Box::new(heartbeat));
            // The next heartbeat makes up for one without an answer.
            let _ = host.call(&call, Instant::now() + HEARTBEAT_INTERVAL);
        }
        while Instant::now() < next_at && !fleet.is_stopping() {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn start_host(settings: &WorkflowSettings, fleet: &Arc<Fleet>) -> Arc<WorkflowHost> {
    WorkflowHost::start(settings.clone(), fleet.calls()).unwrap()
}

fn settings(host: usize, storage_hosts: usize, folder: &Path, port: u16) -> WorkflowSettings {
    let number = host + 1;
    let data = if host < storage_hosts {
        format!("data_folder = {:?}", folder.join(number.to_string()))
    } else {
        String::new()
    };
    let seeds: Vec<String> = (1..=storage_hosts)
        .map(|number| format!("\"127.0.0.{number}:{}\"", port + 1))
        .collect();
    let text = format!(
        "[host]\naddress = \"127.0.0.{number}\"\nname = \"host-{number}\"\n\
         data_centre = \"erdenet\"\n{data}\n\
         [listeners]\npeers = \"127.0.0.{number}:{port}\"\n\
         [cell]\nseeds = [{}]\nforms_new_cell = true\ntolerated_losses = {}\n\
         [timing]\nmax_worker_lease_ms = 10000\nstop_grace_ms = 6000\njob_retention_ms = 120000\n",
        seeds.join(", "),
        (storage_hosts - 1) / 2
    );
    WorkflowSettings::parse(&text, "test").unwrap()
}

/// A kind of job in the simulated load, with its queue.
pub struct JobKind {
    pub queue: &'static str,
    pub priority: u32,
    /// Share of this kind among all jobs.
    pub percent: usize,
    tasks: u32,
    cpu_millis: u64,
    gang: bool,
    /// Declared run time of a task; the simulated run takes a tenth of it.
    run_ms: u64,
}

/// Kinds of jobs as on the largest deployments: few gangs of many tasks, some jobs of many tasks
/// and many small urgent jobs.
pub const KINDS: [JobKind; 3] = [
    JobKind {
        queue: "custom-build",
        priority: 1,
        percent: 5,
        tasks: 20,
        cpu_millis: 4_500,
        gang: true,
        run_ms: 5_000,
    },
    JobKind {
        queue: "spoke-restock",
        priority: 2,
        percent: 10,
        tasks: 25,
        cpu_millis: 1_700,
        gang: false,
        run_ms: 2_700,
    },
    JobKind {
        queue: "delivery-confirm",
        priority: 0,
        percent: 85,
        tasks: 3,
        cpu_millis: 2_500,
        gang: false,
        run_ms: 1_000,
    },
];

impl JobKind {
    pub fn address(&self, id: &str) -> QueueAddress {
        QueueAddress {
            host: QUEUE_HOST.to_owned(),
            path_prefix: format!("/{}/{id}", self.queue),
        }
    }

    pub fn submission(&self, id: &str) -> Call {
        let stage = StageSpec {
            task_count: self.tasks,
            resources: fleet::resources(self.cpu_millis),
            estimate_ms: self.run_ms,
            gang: self.gang,
            ..StageSpec::default()
        };
        let members = if self.gang { self.tasks } else { 1 };
        Call::Submit {
            target: self.address(id),
            spec: Box::new(WorkflowSpec {
                payload: fleet::payload(self.run_ms / 10, members),
                stages: vec![stage],
                repetition: None,
            }),
        }
    }

    pub fn tasks(&self) -> usize {
        self.tasks as usize
    }

    /// Kind of the job with this number; any hundred consecutive jobs match the shares exactly.
    pub fn of_job(number: usize) -> &'static Self {
        // Spreads the kinds evenly: 37 and 100 have no common divisor, so all positions occur.
        let position = number * 37 % 100;
        let mut upper_bound = 0;
        for kind in &KINDS {
            upper_bound += kind.percent;
            if position < upper_bound {
                return kind;
            }
        }
        unreachable!("the shares of the kinds add up to 100 percent")
    }
}

/// A configuration with the queues of all kinds.
pub fn configuration(version: u64) -> QueueConfiguration {
    let queues = KINDS.iter().map(|kind| Queue {
        name: kind.queue.to_owned(),
        address: kind.address(""),
        service: fleet::SERVICE.to_owned(),
        priority: kind.priority,
        max_attempts: 4,
        slack_factor: 2.0,
        target_latency_ms: 60_000,
        timeout_ms: 3_000,
        placement_policy: Some(PlacementPolicy {
            decision_ms: 1.0,
            per_worker_ms: 0.01,
            validity_ms: 2_500,
        }),
    });
    QueueConfiguration {
        version,
        document: Vec::new(),
        queues: queues.collect(),
        services: vec![Service {
            name: fleet::SERVICE.to_owned(),
            workers_check_capacity: false,
        }],
    }
}

/// Polls the closure until it returns a value and panics after `WAIT_TIMEOUT`.
pub fn await_some<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = attempt() {
            return found;
        }
        assert!(
            Instant::now() < deadline,
            "the condition was not met within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

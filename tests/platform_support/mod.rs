//! Simulates runners, callers and the operator of the users' platform, which use its published
//! protocol over sockets, and runs a cell in this process.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod customers;
pub mod late_clients;
pub mod permit_hosts;
pub mod policy;
pub mod processes;
pub mod proxy;
pub mod recorded;
pub mod run_record;
pub mod runner;

use std::ops::{Range, RangeInclusive};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::http::{Client, ClientOptions};
use jujubewinch::platform::listeners::Listeners;
use jujubewinch::platform::outside::outside_calls;
use jujubewinch::workflow::host::WorkflowHost;
use jujubewinch::workflow::settings::WorkflowSettings;
use serde_json::{Value, json};

pub use runner::Runner;

/// Longest wait for an expected event, also on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Environment variable with a range of seeds for the seeded tests, such as `100..150`.
const SEEDS_VARIABLE: &str = "JUJUBEWINCH_FAULT_SEEDS";
/// Environment variable with the first port of the seeded tests, by which several run at once.
const FIRST_PORT_VARIABLE: &str = "JUJUBEWINCH_FAULT_FIRST_PORT";
/// Interval of the heartbeats of a runner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Ports of a cell whose hosts are 127.0.0.1, 127.0.0.2 and so on.
#[derive(Clone, Copy)]
pub struct Ports {
    pub peers: u16,
    pub callers: u16,
    pub readiness: u16,
    pub control: u16,
}

impl Ports {
    /// Returns four consecutive ports.
    pub fn starting_at(first: u16) -> Self {
        Self {
            peers: first,
            callers: first + 1,
            readiness: first + 2,
            control: first + 3,
        }
    }
}

/// Number of hosts of a cell. Storage hosts have the first addresses, entry hosts the next ones.
#[derive(Clone, Copy)]
pub struct CellSize {
    pub storage_hosts: usize,
    pub entry_hosts: usize,
}

impl CellSize {
    /// Three storage hosts and an entry host.
    pub const SMALL: Self = Self {
        storage_hosts: 3,
        entry_hosts: 1,
    };

    pub fn hosts(self) -> usize {
        self.storage_hosts + self.entry_hosts
    }

    /// Numbers of the entry hosts.
    pub fn entries(self) -> RangeInclusive<usize> {
        self.storage_hosts + 1..=self.hosts()
    }

    /// Number of storage hosts that may be lost at once.
    pub fn tolerated_losses(self) -> usize {
        (self.storage_hosts - 1) / 2
    }
}

/// Hosts 127.0.0.1 and so on, in this process or in processes of their own.
pub struct Cell {
    pub hosts: Vec<Arc<WorkflowHost>>,
    pub ports: Ports,
    pub size: CellSize,
    /// Key of the calls; `None` where none is needed.
    pub key: Mutex<Option<String>>,
    _listeners: Vec<Listeners>,
    client: Client,
}

impl Cell {
    /// Starts the hosts of a small cell; storage hosts keep their logs in subfolders of `folder`.
    pub fn start(folder: &Path, ports: Ports) -> Self {
        let size = CellSize::SMALL;
        let mut hosts = Vec::new();
        let mut listeners = Vec::new();
        for number in 1..=size.hosts() {
            let text = settings(number, folder, ports, size);
            let settings = WorkflowSettings::parse(&text, "test").unwrap();
            let host = WorkflowHost::start(settings, outside_calls(None)).unwrap();
            listeners.push(Listeners::start(&host).unwrap());
            hosts.push(host);
        }
        Self {
            hosts,
            ports,
            size,
            key: Mutex::default(),
            _listeners: listeners,
            client: Client::new(ClientOptions::default()),
        }
    }

    /// Returns access to a cell whose hosts are processes of their own.
    pub fn of_processes(ports: Ports, size: CellSize) -> Self {
        Self {
            hosts: Vec::new(),
            ports,
            size,
            key: Mutex::default(),
            _listeners: Vec::new(),
            client: Client::new(ClientOptions::default()),
        }
    }

    pub fn send(&self, method: Method, url: &str, body: &Value) -> Option<ClientResponse> {
        let key = self.key.lock().unwrap().clone();
        self.send_with_key(key.as_deref(), method, url, body)
    }

    fn send_with_key(
        &self,
        key: Option<&str>,
        method: Method,
        url: &str,
        body: &Value,
    ) -> Option<ClientResponse> {
        let deadline = Instant::now() + Duration::from_secs(4);
        let mut request = ClientRequest::new(method, url, deadline).header("host", "shop.example");
        if let Some(key) = key {
            request = request.header("authorization", format!("Token {key}"));
        }
        if !body.is_null() {
            request.body = serde_json::to_vec(body).unwrap();
        }
        self.client.send(request).ok()
    }

    /// Sends a caller's request to the first entry host.
    pub fn caller(&self, method: Method, path: &str, body: &Value) -> Option<ClientResponse> {
        self.caller_at(*self.size.entries().start(), method, path, body)
    }

    /// Sends a caller's request with a key to the first entry host.
    pub fn caller_with_key(
        &self,
        key: &str,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<ClientResponse> {
        let address = self.caller_address(*self.size.entries().start());
        let url = format!("http://{address}{path}");
        self.send_with_key(Some(key), method, &url, body)
    }

    /// Sends a caller's request to an entry host.
    pub fn caller_at(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<ClientResponse> {
        let url = format!("http://{}{path}", self.caller_address(entry));
        self.send(method, &url, body)
    }

    /// Address at which an entry host serves callers.
    pub fn caller_address(&self, entry: usize) -> String {
        format!("127.0.0.{entry}:{}", self.ports.callers)
    }

    /// Sends an operator's request or a heartbeat to a storage host.
    pub fn control_at(
        &self,
        host: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<ClientResponse> {
        let url = format!("http://127.0.0.{host}:{}{path}", self.ports.control);
        self.send(method, &url, body)
    }

    /// Sends an operator's request or a heartbeat to the storage hosts in turn, until one answers
    /// with a status below 500.
    pub fn control(&self, method: &Method, path: &str, body: &Value) -> ClientResponse {
        let mut host = 0;
        await_some(|| {
            host = host % self.size.storage_hosts + 1;
            let answer = self.control_at(host, method.clone(), path, body);
            answer.filter(|answer| answer.status < 500)
        })
    }

    /// Sends a heartbeat of a runner and expects an acknowledgement.
    pub fn announce(&self, id: &str, runner: &Runner, sequence: u64) {
        let body = heartbeat(runner, sequence);
        let answer = self.control(&Method::PUT, &format!("/api/instances/{id}"), &body);
        assert_eq!(answer.status, 200);
    }

    /// Polls the closure like [`await_some`] while a runner repeats its heartbeats. After 1.5 s without
    /// a placer, the next one places no run on a worker before its next heartbeat.
    pub fn await_with_heartbeats<T>(
        &self,
        id: &str,
        runner: &Runner,
        mut attempt: impl FnMut() -> Option<T>,
    ) -> T {
        let mut heartbeat_at = Instant::now();
        await_some(|| {
            if Instant::now() >= heartbeat_at {
                self.announce(id, runner, runner.next_heartbeat());
                heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
            }
            attempt()
        })
    }

    pub fn configure(&self, version: u64) -> ClientResponse {
        self.control(&Method::PUT, "/api/config", &configuration(version))
    }

    /// Submits a job with one task until it is acknowledged.
    pub fn submit_task(&self, job: &str) {
        let body = json!({"task_spec": "plan", "steps": [
            {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 60_000}]});
        let path = format!("/plans/{job}");
        await_some(|| {
            let answer = self.caller(Method::POST, &path, &body)?;
            (answer.status == 200).then_some(())
        });
    }

    /// State of a job; `None` if no answer with a state arrived.
    pub fn state(&self, job: &str) -> Option<String> {
        let answer = self.caller(Method::GET, &format!("/plans/{job}"), &Value::Null)?;
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Position of the leader in `hosts`; `None` while the entry host knows no leader.
    pub fn leader(&self) -> Option<usize> {
        let address = self.hosts[self.size.storage_hosts].leader()?;
        address
            .strip_prefix("127.0.0.")?
            .parse::<usize>()
            .ok()?
            .checked_sub(1)
    }
}

fn settings(number: usize, folder: &Path, ports: Ports, size: CellSize) -> String {
    let has_storage = number <= size.storage_hosts;
    let ip = format!("127.0.0.{number}");
    let listeners = if has_storage {
        format!("control = \"{ip}:{}\"", ports.control)
    } else {
        format!(
            "callers = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"",
            ports.callers, ports.readiness
        )
    };
    let data = folder.join(number.to_string());
    let data = if has_storage {
        format!("data_folder = {data:?}")
    } else {
        String::new()
    };
    let seed = |number| format!("\"127.0.0.{number}:{}\"", ports.control);
    // As on the users' platform, three seeds are named in a cell of any size.
    let seeds: Vec<String> = (1..=3).map(seed).collect();
    format!(
        "[host]\naddress = \"{ip}\"\nname = \"host-{number}\"\ndata_centre = \"lowell-yard\"\n{data}\n\
         [listeners]\npeers = \"{ip}:{}\"\n{listeners}\n\
         [cell]\nseeds = [{}]\nforms_new_cell = true\ntolerated_losses = {}\n\
         [timing]\nmax_worker_lease_ms = 10000\nstop_grace_ms = 6000\njob_retention_ms = 120000\n",
        ports.peers,
        seeds.join(", "),
        size.tolerated_losses()
    )
}

/// A heartbeat of a runner; only the sequence number differs between heartbeats.
pub fn heartbeat(runner: &Runner, sequence: u64) -> Value {
    json!({"service": "shopdesk", "addr": runner.address().to_string(),
        "zone": "lowell-yard", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
        "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 0}, "labels": ["a", "r1"],
        "clock_ms": 1, "seq": sequence, "born": runner.born()})
}

/// A configuration with one queue.
pub fn configuration(version: u64) -> Value {
    json!({"version": version, "routes": [{"name": "plans", "host": "shop.example",
        "path_prefix": "/plans/", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
        "service": "shopdesk", "max_attempts": 3, "slack_factor": 4.0}],
        "services": [{"name": "shopdesk", "enforce_capacity": false}], "limits": {}})
}

/// A configuration with one queue, whose tasks need permits of the simulated placement policy.
pub fn configuration_with_policy(version: u64) -> Value {
    let mut configuration = configuration(version);
    configuration["routes"][0]["policy_service"] = json!({"decision_ms": 10.0,
        "per_worker_ms": 0.1, "validity_ms": policy::PERMIT_VALIDITY.as_millis() as u64});
    configuration
}

/// Returns the seeds that the environment names, otherwise the default.
pub fn seeds(default: u64) -> Range<u64> {
    let Ok(seeds) = std::env::var(SEEDS_VARIABLE) else {
        return default..default + 1;
    };
    let (first, last) = seeds.split_once("..").expect("a range of seeds");
    first.parse().unwrap()..last.parse().unwrap()
}

/// Returns the first port that the environment names, otherwise the default.
pub fn first_port(default: u16) -> u16 {
    let port = std::env::var(FIRST_PORT_VARIABLE).ok();
    port.map_or(default, |port| port.parse().expect("a port"))
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
        thread::sleep(Duration::from_millis(30));
    }
}

//! Simulates runners, callers and the operator of the users' platform, which use its published
//! protocol over sockets, and runs a cell in this process.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod processes;
pub mod recorded;

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use indexmap::IndexMap;
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::http::{Client, ClientOptions, Request, Response, Server, ServerOptions};
use jujubewinch::platform::listeners::Listeners;
use jujubewinch::platform::outside::outside_calls;
use jujubewinch::workflow::host::WorkflowHost;
use jujubewinch::workflow::settings::WorkflowSettings;
use serde_json::{Value, json};

/// Longest wait for an expected event, also on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Run time of each task on a simulated runner.
const RUN_TIME: Duration = Duration::from_millis(150);
/// Delay of an answer that counts as lost; longer than the sender of an order waits for it.
const LOST_ANSWER_DELAY: Duration = Duration::from_millis(1_500);

/// A simulated runner that checks run numbers, fencing tokens and the lease on its own clock, and
/// lists the ends of runs until they are acknowledged.
pub struct Runner {
    started_at: Instant,
    state: Mutex<RunnerState>,
    changed: Condvar,
    /// Number of further start orders that are carried out but whose answers are lost.
    pub lose_answers: AtomicUsize,
    server: Mutex<Option<Server>>,
}

#[derive(Default)]
struct RunnerState {
    /// Highest fencing token that the runner has received.
    fence: u64,
    /// End of the lease on the runner's clock.
    lease_until_ms: u64,
    /// Run number and planned end of each active run, by task.
    running: IndexMap<String, (u64, Instant)>,
    /// Highest run number that was stopped or has ended, by task.
    closed: IndexMap<String, u64>,
    /// Ends that are not acknowledged yet: number of the end, task, run number and outcome.
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Task and run number of each started run, in order.
    starts: Vec<(String, u64)>,
    overlaps: usize,
}

impl Runner {
    /// Starts a runner on a free port of 127.0.0.1.
    pub fn start() -> Arc<Self> {
        let runner = Arc::new(Self {
            started_at: Instant::now(),
            state: Mutex::new(RunnerState {
                next_end: 1,
                ..RunnerState::default()
            }),
            changed: Condvar::new(),
            lose_answers: AtomicUsize::new(0),
            server: Mutex::new(None),
        });
        let handler = Arc::clone(&runner);
        let server = Server::start(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            ServerOptions::default(),
            Arc::new(move |request| handler.answer(&request)),
        );
        *runner.server.lock().unwrap() = Some(server.unwrap());
        let background = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                background.end_runs();
            }
        });
        runner
    }

    pub fn address(&self) -> SocketAddr {
        self.server
            .lock()
            .unwrap()
            .as_ref()
            .unwrap()
            .local_address()
    }

    /// Returns the task and run number of each started run, in order.
    pub fn starts(&self) -> Vec<(String, u64)> {
        self.state.lock().unwrap().starts.clone()
    }

    /// Number of runs that started while another run of the same task was active.
    pub fn overlaps(&self) -> usize {
        self.state.lock().unwrap().overlaps
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn end_runs(&self) {
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        let expired = clock_ms > state.lease_until_ms;
        let finished: Vec<String> = state
            .running
            .iter()
            .filter(|(_, (_, ends_at))| expired || Instant::now() >= *ends_at)
            .map(|(task, _)| task.clone())
            .collect();
        for task in finished {
            state.close(&task, if expired { "lapsed" } else { "done" });
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Response {
        let body: Value = serde_json::from_slice(&request.body).unwrap();
        let fence = body["fence_token"].as_u64().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if fence < state.fence {
                let rejection = json!({"clock_ms": self.clock_ms(), "reason": "fence"});
                return Response::json(409, &rejection);
            }
            state.fence = fence;
            if let Some(until_ms) = body["deadline_ms"].as_u64() {
                state.lease_until_ms = state.lease_until_ms.max(until_ms);
            }
        }
        match request.path.as_str() {
            "/api/run-start" => self.run_start(&body),
            "/api/run-stop" => self.run_stop(&body),
            "/api/hold" => self.hold(&body),
            _ => Response::text(404, ""),
        }
    }

    fn run_start(&self, body: &Value) -> Response {
        let task = body["task"].as_str().unwrap().to_owned();
        let run = body["run_id"].as_u64().unwrap();
        let reject =
            |reason| Response::json(409, &json!({"clock_ms": self.clock_ms(), "reason": reason}));
        {
            let mut state = self.state.lock().unwrap();
            if self.clock_ms() > state.lease_until_ms {
                return reject("late");
            }
            if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
                return reject("old");
            }
            match state.running.get(&task) {
                Some((current, _)) if *current == run => {}
                previous => {
                    state.overlaps += usize::from(previous.is_some());
                    let ends_at = Instant::now() + RUN_TIME;
                    state.running.insert(task.clone(), (run, ends_at));
                    state.starts.push((task, run));
                }
            }
        }
        let lost =
            self.lose_answers
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |remaining| {
                    remaining.checked_sub(1)
                });
        if lost.is_ok() {
            thread::sleep(LOST_ANSWER_DELAY);
        }
        Response::json(200, &json!({"clock_ms": self.clock_ms()}))
    }

    fn run_stop(&self, body: &Value) -> Response {
        let task = body["task"].as_str().unwrap().to_owned();
        let run = body["run_id"].as_u64().unwrap();
        let mut state = self.state.lock().unwrap();
        if state
            .running
            .get(&task)
            .is_some_and(|(current, _)| *current == run)
        {
            state.close(&task, "stopped");
        }
        let closed = state.closed.entry(task).or_insert(0);
        *closed = run.max(*closed);
        self.changed.notify_all();
        Response::json(200, &json!({"clock_ms": self.clock_ms()}))
    }

    fn hold(&self, body: &Value) -> Response {
        let cursor = body["ack_cursor"].as_u64().unwrap();
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        state.ended.retain(|(number, ..)| *number > cursor);
        let no_ends = |state: &mut RunnerState| state.ended.is_empty();
        state = self
            .changed
            .wait_timeout_while(state, wait, no_ends)
            .unwrap()
            .0;
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, (run, _))| json!([task, run, "", 100, 0]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]))
            .collect();
        let answer = json!({"clock_ms": self.clock_ms(), "running": running, "ended_runs": ended, "born": 1});
        Response::json(200, &answer)
    }
}

impl RunnerState {
    /// Removes the active run of a task and lists its end; has no effect without an active run.
    fn close(&mut self, task: &str, outcome: &'static str) {
        if let Some((run, _)) = self.running.shift_remove(task) {
            self.ended
                .push((self.next_end, task.to_owned(), run, outcome));
            self.next_end += 1;
            let closed = self.closed.entry(task.to_owned()).or_insert(0);
            *closed = run.max(*closed);
        }
    }
}

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
            _listeners: Vec::new(),
            client: Client::new(ClientOptions::default()),
        }
    }

    pub fn send(&self, method: Method, url: &str, body: &Value) -> Option<ClientResponse> {
        let deadline = Instant::now() + Duration::from_secs(4);
        let mut request = ClientRequest::new(method, url, deadline).header("host", "shop.example");
        if !body.is_null() {
            request.body = serde_json::to_vec(body).unwrap();
        }
        self.client.send(request).ok()
    }

    /// Sends a caller's request to the first entry host.
    pub fn caller(&self, method: Method, path: &str, body: &Value) -> Option<ClientResponse> {
        self.caller_at(*self.size.entries().start(), method, path, body)
    }

    /// Sends a caller's request to an entry host.
    pub fn caller_at(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<ClientResponse> {
        let url = format!("http://127.0.0.{entry}:{}{path}", self.ports.callers);
        self.send(method, &url, body)
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

    pub fn configure(&self, version: u64) -> ClientResponse {
        self.control(&Method::PUT, "/api/config", &configuration(version))
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
        "clock_ms": 1, "seq": sequence, "born": 1})
}

/// A configuration with one queue.
pub fn configuration(version: u64) -> Value {
    json!({"version": version, "routes": [{"name": "plans", "host": "shop.example",
        "path_prefix": "/plans/", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
        "service": "shopdesk", "max_attempts": 3, "slack_factor": 4.0}],
        "services": [{"name": "shopdesk", "enforce_capacity": false}], "limits": {}})
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

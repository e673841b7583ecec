//! Sends the requests of callers at a given rate, and the heartbeats of the workers.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use http::Method;
use indexmap::{IndexMap, IndexSet};
use jujubewinch::http::client::ClientRequest;
use jujubewinch::http::{Client, ClientOptions};
use serde_json::{Value, json};

use super::workers::StandIns;
use super::{ENTRY_HOSTS, STORAGE_HOSTS, caller_address, control_address, kinds};

/// Limit of callers that wait for an answer at the same time.
const CALLER_THREADS: usize = 192;
/// Stack size of a caller's thread.
const STACK_BYTES: usize = 256 * 1024;
/// Longest time that a caller waits for an answer.
const CALLER_DEADLINE: Duration = Duration::from_secs(3);
/// Times after the submission at which callers query their job: early, and after its expected end.
const QUERIES_AFTER: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(4)];
/// Interval of the heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Threads among which the workers' heartbeats are divided.
const HEARTBEAT_THREADS: usize = 8;
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the cell has to form and to know all workers.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// A request of a caller.
struct Request {
    at: Instant,
    job: usize,
    /// Whether the request submits the job instead of querying its state.
    submits: bool,
}

/// Caller threads, which send requests until the end of the load.
pub struct Callers {
    threads: Vec<JoinHandle<()>>,
    /// Number of answers by method and status.
    answers: Arc<Mutex<IndexMap<String, usize>>>,
}

impl Callers {
    /// Starts the threads. Jobs are submitted at a rate that makes `starts_per_s` tasks start per
    /// second, for the time of `load`.
    pub fn start(workers: usize, starts_per_s: usize, load: Duration) -> Self {
        let started_at = Instant::now();
        let jobs_per_s = starts_per_s as f64 / kinds::mean_tasks();
        let jobs = (jobs_per_s * load.as_secs_f64()) as usize;
        let mut requests = Vec::new();
        for job in 0..jobs {
            let at = started_at + Duration::from_secs_f64(job as f64 / jobs_per_s);
            requests.push(Request {
                at,
                job,
                submits: true,
            });
            for after in QUERIES_AFTER {
                requests.push(Request {
                    at: at + after,
                    job,
                    submits: false,
                });
            }
        }
        requests.retain(|request| request.at < started_at + load);
        requests.sort_by_key(|request| request.at);
        let requests = Arc::new(requests);
        let next = Arc::new(AtomicUsize::new(0));
        let answers = Arc::new(Mutex::new(IndexMap::new()));
        let client = Client::new(ClientOptions::default());
        let threads = (0..CALLER_THREADS).map(|_| {
            let (requests, next) = (Arc::clone(&requests), Arc::clone(&next));
            let (answers, client) = (Arc::clone(&answers), client.clone());
            let run = move || loop {
                let position = next.fetch_add(1, Ordering::AcqRel);
                let Some(request) = requests.get(position) else {
                    return;
                };
                thread::sleep(request.at.saturating_duration_since(Instant::now()));
                let answer = send(&client, request, workers, starts_per_s);
                *answers.lock().unwrap().entry(answer).or_default() += 1;
            };
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            builder.spawn(run).expect("a thread")
        });
        Self {
            threads: threads.collect(),
            answers,
        }
    }

    /// Waits for the last answers and returns the number of answers by method and status.
    pub fn finish(self) -> IndexMap<String, usize> {
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut answers = self.answers.lock().unwrap().clone();
        answers.sort_keys();
        answers
    }
}

fn send(client: &Client, request: &Request, workers: usize, starts_per_s: usize) -> String {
    let kind = kinds::of_job(request.job);
    let host = STORAGE_HOSTS + 1 + (request.job % usize::from(ENTRY_HOSTS)) as u8;
    let url = format!(
        "http://{}/{}/job-{}",
        caller_address(host),
        kind.queue,
        request.job
    );
    let method = if request.submits {
        Method::POST
    } else {
        Method::GET
    };
    let wait_ms = CALLER_DEADLINE.as_millis().to_string();
    let mut call = ClientRequest::new(method.clone(), url, Instant::now() + CALLER_DEADLINE)
        .header("host", kinds::QUEUE_HOST)
        .header("request-deadline", wait_ms);
    if request.submits {
        let body = kinds::body(kind, workers, starts_per_s);
        call.body = body.to_string().into_bytes();
    }
    match client.send(call) {
        Ok(answer) => format!("{method} {}", answer.status),
        Err(_) => format!("{method} no answer"),
    }
}

/// Threads that send the heartbeats of all workers until they are dropped.
pub struct Heartbeats {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    client: Client,
    stopping: AtomicBool,
    /// IP addresses of all hosts that answers named as leader.
    leaders: Mutex<IndexSet<String>>,
    /// IP address of the leader; absent until an answer names one and after a failed request.
    leader: Mutex<Option<String>>,
    /// Workers whose first heartbeat was accepted.
    announced: AtomicUsize,
}

impl Heartbeats {
    /// Applies the configuration and announces the workers; returns once the cell has accepted all.
    pub fn start(stand_ins: &StandIns, workers: usize) -> Self {
        let shared = Arc::new(Shared {
            client: Client::new(ClientOptions::default()),
            stopping: AtomicBool::new(false),
            leaders: Mutex::default(),
            leader: Mutex::default(),
            announced: AtomicUsize::new(0),
        });
        let deadline = Instant::now() + FORMATION_TIMEOUT;
        let configuration = kinds::configuration();
        while !shared.put("/api/config", &configuration, 1) {
            assert!(Instant::now() < deadline, "the cell did not form in time");
            thread::sleep(Duration::from_millis(200));
        }
        let bodies: Vec<Value> = (0..workers)
            .map(|worker| heartbeat_body(stand_ins, worker))
            .collect();
        let threads = (0..HEARTBEAT_THREADS).map(|part| {
            let shared = Arc::clone(&shared);
            let assigned = bodies
                .iter()
                .enumerate()
                .skip(part)
                .step_by(HEARTBEAT_THREADS);
            let assigned: Vec<(usize, Value)> = assigned
                .map(|(worker, body)| (worker, body.clone()))
                .collect();
            thread::spawn(move || shared.send_heartbeats(assigned))
        });
        let threads = threads.collect();
        while shared.announced.load(Ordering::Acquire) < workers {
            assert!(
                Instant::now() < deadline,
                "the workers were not announced in time"
            );
            thread::sleep(Duration::from_millis(50));
        }
        Self { shared, threads }
    }

    /// Returns the IP address of the leader that the latest answer named.
    pub fn leader(&self) -> Option<String> {
        self.shared.leader.lock().unwrap().clone()
    }

    /// Returns the number of different hosts that were named as leader.
    pub fn leaders(&self) -> usize {
        self.shared.leaders.lock().unwrap().len()
    }
}

impl Drop for Heartbeats {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Body of a worker's heartbeat, without its sequence number.
fn heartbeat_body(stand_ins: &StandIns, worker: usize) -> Value {
    json!({"service": "wheel-orders", "addr": stand_ins.worker_address(worker).to_string(),
        "zone": format!("dc-{}", worker % 6), "version": "v1", "slots": 8, "state": "ready",
        "cold_left_ms": 0, "labels": ["a", format!("r{}", worker / 12)], "clock_ms": 1, "born": 1,
        "capacity": {"cpu": kinds::WORKER_CPU_MILLIS, "mem_mb": 65_536, "gpu": 0}})
}

impl Shared {
    /// Sends heartbeats of some workers: without pause until each was accepted, then evenly spread
    /// over the interval.
    fn send_heartbeats(&self, workers: Vec<(usize, Value)>) {
        let pause = HEARTBEAT_INTERVAL / workers.len().max(1) as u32;
        let mut announced = IndexSet::new();
        let mut sequence = 0;
        while !self.stopping.load(Ordering::Acquire) {
            sequence += 1;
            for (worker, body) in &workers {
                let next_at = Instant::now() + pause;
                let mut body = body.clone();
                body["seq"] = json!(sequence);
                let path = format!("/api/instances/worker-{worker}");
                let fallback = 1 + (worker % usize::from(STORAGE_HOSTS)) as u8;
                if self.put(&path, &body, fallback) && announced.insert(*worker) {
                    self.announced.fetch_add(1, Ordering::AcqRel);
                }
                if announced.len() == workers.len() {
                    thread::sleep(next_at.saturating_duration_since(Instant::now()));
                }
            }
        }
    }

    /// Sends a request to the leader, or to the storage host `fallback` while no leader is known.
    /// Returns whether it was accepted.
    fn put(&self, path: &str, body: &Value, fallback: u8) -> bool {
        let known = self.leader.lock().unwrap().clone();
        let host = known.unwrap_or_else(|| control_address(fallback).ip().to_string());
        let url = format!("http://{host}:{}{path}", control_address(1).port());
        let mut request = ClientRequest::new(Method::PUT, url, Instant::now() + HEARTBEAT_TIMEOUT);
        request.body = body.to_string().into_bytes();
        let answer = self.client.send(request);
        let Ok(answer) = answer.map(|answer| (answer.status, answer.body)) else {
            *self.leader.lock().unwrap() = None;
            return false;
        };
        let named: Value = serde_json::from_slice(&answer.1).unwrap_or_default();
        let named = named["heartbeat_addr"].as_str();
        if let Some((leader, _)) = named.and_then(|address| address.split_once(':')) {
            self.leaders.lock().unwrap().insert(leader.to_owned());
            *self.leader.lock().unwrap() = Some(leader.to_owned());
        }
        answer.0 == 200
    }
}

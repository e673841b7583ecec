//! Stand-ins for workers and for the placement policy, which implement the platform's protocol.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::{Value, json};

use super::ONE_WAY_DELAY;
use super::event_loop::{Connection, Event, EventLoop};

/// Running stand-ins; they stop when this is dropped.
pub struct StandIns {
    addresses: Vec<SocketAddr>,
    policy: SocketAddr,
    /// Number of runs that have started on all workers.
    starts: Arc<AtomicUsize>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

enum Timer {
    /// Sends an answer after its delay.
    Answer(Connection, Vec<u8>),
    /// Ends a run after its run time.
    End {
        worker: usize,
        task: String,
        run: u64,
    },
    /// Answers a renewal (`/api/hold`) whose waiting time has passed without the end of a run.
    Renewal(usize, Connection),
}

#[derive(Default)]
struct Worker {
    /// Run id of each task that runs.
    running: IndexMap<String, u64>,
    /// Ended runs that the placer has not acknowledged: number of the end, task, run id, outcome.
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Number of the last end.
    last_end: u64,
    /// Highest fence token received; requests with a lower one are rejected.
    fence: u64,
    /// Connection whose renewal waits for the end of a run.
    waiting: Option<Connection>,
}

/// State of all stand-ins, which one thread owns.
struct Fleet {
    events: EventLoop<Timer>,
    workers: Vec<Worker>,
    /// Index of the listener and unparsed bytes of each connection.
    connections: IndexMap<Connection, (usize, Vec<u8>)>,
    started_at: Instant,
    starts: Arc<AtomicUsize>,
}

impl StandIns {
    /// Starts the stand-ins for this many workers and one placement policy.
    pub fn start(workers: usize) -> Self {
        let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let listeners: Vec<TcpListener> = (0..=workers).map(|_| bind()).collect();
        let mut addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("an address"))
            .collect();
        let policy = addresses.pop().expect("the last listener");
        let starts = Arc::new(AtomicUsize::new(0));
        let stopping = Arc::new(AtomicBool::new(false));
        let (count, stop) = (Arc::clone(&starts), Arc::clone(&stopping));
        let thread = thread::spawn(move || {
            let mut fleet = Fleet {
                events: EventLoop::new(listeners),
                workers: (0..workers).map(|_| Worker::default()).collect(),
                connections: IndexMap::new(),
                started_at: Instant::now(),
                starts: count,
            };
            while !stop.load(Ordering::Acquire) {
                for event in fleet.events.poll() {
                    fleet.handle(event);
                }
            }
        });
        Self {
            addresses,
            policy,
            starts,
            stopping,
            thread: Some(thread),
        }
    }

    pub fn worker_address(&self, worker: usize) -> SocketAddr {
        self.addresses[worker]
    }

    pub fn policy_address(&self) -> SocketAddr {
        self.policy
    }

    /// Number of runs that have started on all workers.
    pub fn starts(&self) -> &AtomicUsize {
        &self.starts
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Fleet {
    fn handle(&mut self, event: Event<Timer>) {
        match event {
            Event::Accepted(listener, connection) => {
                self.connections.insert(connection, (listener, Vec::new()));
            }
            Event::Received(connection, bytes) => self.receive(connection, &bytes),
            Event::Closed(connection) => {
                self.connections.swap_remove(&connection);
            }
            Event::Due(Timer::Answer(connection, bytes)) => self.events.send(connection, &bytes),
            Event::Due(Timer::End { worker, task, run }) => {
                if self.workers[worker].running.get(&task) == Some(&run) {
                    self.end_run(worker, &task, "done");
                }
            }
            Event::Due(Timer::Renewal(worker, connection)) => {
                if self.workers[worker].waiting == Some(connection) {
                    self.workers[worker].waiting = None;
                    self.answer_renewal(worker, connection);
                }
            }
        }
    }

    fn receive(&mut self, connection: Connection, bytes: &[u8]) {
        let Some((listener, unparsed)) = self.connections.get_mut(&connection) else {
            return;
        };
        let listener = *listener;
        unparsed.extend_from_slice(bytes);
        let mut requests = Vec::new();
        while let Some((path, body, length)) = parse(unparsed) {
            unparsed.drain(..length);
            requests.push((path, body));
        }
        for (path, body) in requests {
            self.answer(listener, connection, &path, &body);
        }
    }

    fn answer(&mut self, listener: usize, connection: Connection, path: &str, body: &Value) {
        if path == "/api/advise" {
            self.advise(connection, body);
            return;
        }
        let clock_ms = self.clock_ms();
        let worker = &mut self.workers[listener];
        let fence = body["fence_token"].as_u64().unwrap_or(0);
        if fence < worker.fence {
            let rejection = json!({"clock_ms": clock_ms, "reason": "fence"});
            self.send_later(connection, 409, &rejection, ONE_WAY_DELAY * 2);
            return;
        }
        worker.fence = fence;
        match path {
            "/api/run-start" => self.run_start(listener, connection, body),
            "/api/run-stop" => {
                let task = body["task"].as_str().unwrap_or_default();
                if worker.running.get(task).copied() == body["run_id"].as_u64() {
                    self.end_run(listener, task, "stopped");
                }
                self.send_later(
                    connection,
                    200,
                    &json!({"clock_ms": clock_ms}),
                    ONE_WAY_DELAY * 2,
                );
            }
            "/api/hold" => self.hold(listener, connection, body),
            _ => self.send_later(connection, 404, &json!({}), Duration::ZERO),
        }
    }

    fn run_start(&mut self, worker: usize, connection: Connection, body: &Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run_id"].as_u64().unwrap_or(0);
        let run_ms = body["task_spec"]
            .as_str()
            .and_then(|text| text.parse().ok());
        let run_time = Duration::from_millis(run_ms.unwrap_or(0));
        let previous_run = self.workers[worker].running.insert(task.clone(), run);
        if previous_run != Some(run) {
            self.starts.fetch_add(1, Ordering::AcqRel);
            let end = Timer::End { worker, task, run };
            self.events.set_timer(Instant::now() + run_time, end);
        }
        let answer = json!({"clock_ms": self.clock_ms()});
        self.send_later(connection, 200, &answer, ONE_WAY_DELAY * 2);
    }

    fn hold(&mut self, worker: usize, connection: Connection, body: &Value) {
        let acknowledged = body["ack_cursor"].as_u64().unwrap_or(0);
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        self.workers[worker]
            .ended
            .retain(|end| end.0 > acknowledged);
        if !self.workers[worker].ended.is_empty() || wait.is_zero() {
            self.answer_renewal(worker, connection);
            return;
        }
        self.workers[worker].waiting = Some(connection);
        let timer = Timer::Renewal(worker, connection);
        self.events.set_timer(Instant::now() + wait, timer);
    }

    fn end_run(&mut self, worker: usize, task: &str, outcome: &'static str) {
        let state = &mut self.workers[worker];
        let Some(run) = state.running.swap_remove(task) else {
            return;
        };
        state.last_end += 1;
        state
            .ended
            .push((state.last_end, task.to_owned(), run, outcome));
        if let Some(connection) = state.waiting.take() {
            self.answer_renewal(worker, connection);
        }
    }

    fn answer_renewal(&mut self, worker: usize, connection: Connection) {
        let state = &self.workers[worker];
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, run)| json!([task, run, "", null, 0]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]))
            .collect();
        let answer = json!({"clock_ms": self.clock_ms(), "running": running,
            "ended_runs": ended, "born": 1});
        self.send_later(connection, 200, &answer, ONE_WAY_DELAY * 2);
    }

    /// Answers a question to the placement policy: permits a fraction of the workers, which differs
    /// from job to job.
    fn advise(&mut self, connection: Connection, body: &Value) {
        let step = body["step"].as_str().unwrap_or_default();
        let number = step
            .split(['-', '.'])
            .nth(1)
            .and_then(|text| text.parse().ok());
        let number: usize = number.unwrap_or(0);
        let kind = super::kinds::of_job(number);
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        let permitted = workers.iter().filter_map(Value::as_str).filter(|id| {
            let worker: usize = id
                .rsplit('-')
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            // The products with large odd factors spread the permits of each job over the workers.
            (worker * 7_919 + number * 104_729) % 100 < kind.permitted_percent
        });
        let good: Vec<Value> = permitted.map(|id| json!([id, "permit"])).collect();
        let decision_ms = kind.decision_ms as f64 + kind.per_worker_ms * workers.len() as f64;
        let delay = Duration::from_secs_f64(decision_ms / 1_000.0) + ONE_WAY_DELAY * 2;
        self.send_later(
            connection,
            200,
            &json!({"good": good, "validity_ms": 2_500}),
            delay,
        );
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn send_later(&mut self, connection: Connection, status: u16, body: &Value, delay: Duration) {
        let body = body.to_string();
        let answer = format!(
            "HTTP/1.1 {status} answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let timer = Timer::Answer(connection, answer.into_bytes());
        self.events.set_timer(Instant::now() + delay, timer);
    }
}

/// Returns the path, the body and the length of the first request, or `None` until it is complete.
fn parse(bytes: &[u8]) -> Option<(String, Value, usize)> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..head_end]).ok()?;
    let path = head.split(' ').nth(1)?.to_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    let end = head_end + length.unwrap_or(0);
    let body = bytes.get(head_end..end)?;
    Some((path, serde_json::from_slice(body).unwrap_or_default(), end))
}

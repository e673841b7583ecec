//! A simulated runner of the users' platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::http::{Request, Response, Server, ServerOptions};
use serde_json::{Value, json};

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

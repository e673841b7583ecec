//! A simulated runner of the users' platform, which can crash and start again.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use jujubewinch::http::{Request, Response, Server, ServerOptions};
use serde_json::{Value, json};

use super::await_some;
use super::policy::Permits;
use super::proxy::{Proxy, deliver};
use super::run_record::{RunRecord, overlaps};

/// Delay of an answer that counts as lost; longer than the sender of an order waits for it.
const LOST_ANSWER_DELAY: Duration = Duration::from_millis(1_500);

/// Properties of a simulated runner.
#[derive(Clone, Copy)]
pub struct RunnerOptions {
    /// Run time of each task.
    pub run_time: Duration,
    /// Longest lease; a longer one is shortened to it.
    pub max_hold: Duration,
    /// Reading of the clock at the start of the first process; it is zero at the start of the others.
    pub first_clock: Duration,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self {
            run_time: Duration::from_millis(150),
            max_hold: Duration::from_secs(10),
            first_clock: Duration::ZERO,
        }
    }
}

/// A simulated runner that checks run numbers, fencing tokens and the lease on its own clock, and
/// lists the ends of runs until they are acknowledged. It is called through a [`Proxy`].
pub struct Runner {
    options: RunnerOptions,
    proxy: Proxy,
    state: Mutex<RunnerState>,
    changed: Condvar,
    /// Number of further start orders that are carried out but whose answers are lost.
    pub lose_answers: AtomicUsize,
    /// Time for which renewals that have been received wait for the processor, in milliseconds.
    pub renewal_delay_ms: AtomicU64,
    /// Permits that start orders need; `None` where they need none.
    permits: Mutex<Option<Arc<Permits>>>,
    server: Mutex<Option<Server>>,
    /// Runs of all processes, in the order of their starts.
    runs: RunRecord,
}

/// State of a process, which ends with it.
struct RunnerState {
    /// Number of the process, in place of the time of its start.
    born: u64,
    started_at: Instant,
    first_clock: Duration,
    /// Number of heartbeats that the process has sent.
    heartbeats: u64,
    /// Number of requests that the process has received.
    received: usize,
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
    /// Number of the last end before the lease lapsed for the last time.
    lapsed_end: u64,
}

impl RunnerState {
    fn new(born: u64, first_clock: Duration) -> Self {
        Self {
            born,
            started_at: Instant::now(),
            first_clock,
            heartbeats: 0,
            received: 0,
            fence: 0,
            lease_until_ms: 0,
            running: IndexMap::new(),
            closed: IndexMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lapsed_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        (self.first_clock + self.started_at.elapsed()).as_millis() as u64
    }

    /// Time at which everything is killed unless the lease is renewed.
    fn lapses_at(&self) -> Instant {
        let left = Duration::from_millis(self.lease_until_ms).saturating_sub(self.first_clock);
        self.started_at + left
    }
}

impl Runner {
    /// Starts a runner on a free port of 127.0.0.1.
    pub fn start() -> Arc<Self> {
        Self::start_with(RunnerOptions::default())
    }

    pub fn start_with(options: RunnerOptions) -> Arc<Self> {
        let runner = Arc::new(Self {
            options,
            proxy: Proxy::start(),
            state: Mutex::new(RunnerState::new(1, options.first_clock)),
            changed: Condvar::new(),
            lose_answers: AtomicUsize::new(0),
            renewal_delay_ms: AtomicU64::new(0),
            permits: Mutex::default(),
            server: Mutex::new(None),
            runs: RunRecord::default(),
        });
        runner.start_process(&[]);
        let background = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                background.end_runs(&mut background.state.lock().unwrap());
            }
        });
        runner
    }

    /// Starts the server of the process. It receives the requests in `first` before any other.
    fn start_process(self: &Arc<Self>, first: &[Vec<u8>]) {
        let handler = Arc::clone(self);
        let born = self.born();
        let server = Server::start(
            SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            ServerOptions::default(),
            Arc::new(move |request| handler.answer(&request, born)),
        );
        *self.server.lock().unwrap() = Some(server.unwrap());
        self.deliver(first);
        let server = self.server.lock().unwrap();
        let process = server.as_ref().map(Server::local_address);
        self.proxy.set_process(process);
    }

    /// Ends the process as in a crash: its runs end, and it answers no request any more.
    pub fn crash(&self) {
        self.proxy.set_process(None);
        let mut state = self.state.lock().unwrap();
        self.end_runs(&mut state);
        self.runs.end_all(Instant::now());
        *state = RunnerState::new(state.born + 1, Duration::ZERO);
        self.changed.notify_all();
        drop(state);
        *self.server.lock().unwrap() = None;
    }

    /// Starts the next process at the address of the one that crashed. It receives the requests in
    /// `first` before any other.
    pub fn restart(self: &Arc<Self>, first: &[Vec<u8>]) {
        self.state.lock().unwrap().started_at = Instant::now();
        self.start_process(first);
    }

    /// Delivers held requests to the current process, one after the other, and returns once it has
    /// received them. Their answers are lost.
    pub fn deliver(&self, requests: &[Vec<u8>]) {
        let server = self.server.lock().unwrap();
        let process = server.as_ref().unwrap().local_address();
        drop(server);
        for request in requests {
            let received = || self.state.lock().unwrap().received;
            let before = received();
            deliver(request, process);
            await_some(|| (received() > before).then_some(()));
        }
    }

    /// Crashes behind a cut, so that its connections stay open without answers, and starts again.
    pub fn crash_unseen(self: &Arc<Self>, down_time: Duration) {
        self.proxy.set_cut(true);
        self.crash();
        thread::sleep(down_time);
        self.restart(&[]);
        self.proxy.set_cut(false);
    }

    /// Rejects start orders without a valid permit from now on.
    pub fn require_permits(&self, permits: Arc<Permits>) {
        *self.permits.lock().unwrap() = Some(permits);
    }

    /// Number of requests that the current process has received.
    pub fn received(&self) -> usize {
        self.state.lock().unwrap().received
    }

    /// Proxy at the address of the runner.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Number of the process, in place of the time of its start.
    pub fn born(&self) -> u64 {
        self.state.lock().unwrap().born
    }

    /// Time since the start of the current process.
    pub fn process_age(&self) -> Duration {
        self.state.lock().unwrap().started_at.elapsed()
    }

    /// Returns the sequence number of the next heartbeat of the process.
    pub fn next_heartbeat(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.heartbeats += 1;
        state.heartbeats
    }

    /// Returns the task and run number of each started run, in order.
    pub fn starts(&self) -> Vec<(String, u64)> {
        let runs = self.runs.lock();
        runs.iter().map(|run| (run.task.clone(), run.run)).collect()
    }

    /// Number of ends that the current process lists, since they are not acknowledged.
    pub fn listed_ends(&self) -> usize {
        self.state.lock().unwrap().ended.len()
    }

    /// Waits until the current process runs a task and returns the time of its start.
    pub fn await_start(&self) -> Instant {
        let born = self.born();
        await_some(|| {
            let runs = self.runs.lock();
            let run = runs.iter().find(|run| run.born == born)?;
            Some(run.started_at)
        })
    }

    /// Whether the current process runs a task.
    pub fn is_at_work(&self) -> bool {
        !self.state.lock().unwrap().running.is_empty()
    }

    /// Returns the tasks that are at work or named in one of the held requests.
    pub fn present_tasks(&self, held: &[Vec<u8>]) -> IndexSet<String> {
        let mut present: IndexSet<String> = held.iter().filter_map(|it| task_of(it)).collect();
        let runs = self.runs.lock();
        let at_work = runs.iter().filter(|run| run.ended_at.is_none());
        present.extend(at_work.map(|run| run.task.clone()));
        present
    }

    /// Number of runs that started while another run of the same task was at work on this runner.
    pub fn overlaps(&self) -> usize {
        overlaps(&[self])
    }

    /// Returns the runs of all processes up to now.
    pub fn run_record(&self) -> &RunRecord {
        self.end_runs(&mut self.state.lock().unwrap());
        &self.runs
    }

    /// Ends runs that are complete, and all runs once the lease has expired. The recorded ends are
    /// those of the runs, also when the check is late.
    fn end_runs(&self, state: &mut RunnerState) {
        let (now, lapses_at) = (Instant::now(), state.lapses_at());
        let over = |(_, ends_at): &(u64, Instant)| (*ends_at).min(lapses_at) <= now;
        let over: Vec<(String, Instant)> = state
            .running
            .iter()
            .filter(|(_, run)| over(run))
            .map(|(task, (_, ends_at))| (task.clone(), *ends_at))
            .collect();
        for (task, ends_at) in over {
            let outcome = if lapses_at < ends_at {
                "lapsed"
            } else {
                "done"
            };
            self.close(state, &task, outcome, ends_at.min(lapses_at));
        }
    }

    /// Removes the active run of a task and lists its end; has no effect without an active run.
    fn close(&self, state: &mut RunnerState, task: &str, outcome: &'static str, at: Instant) {
        let Some((run, _)) = state.running.shift_remove(task) else {
            return;
        };
        state
            .ended
            .push((state.next_end, task.to_owned(), run, outcome));
        state.next_end += 1;
        let closed = state.closed.entry(task.to_owned()).or_insert(0);
        *closed = run.max(*closed);
        self.runs.end(task, run, at);
        self.changed.notify_all();
    }

    /// Locks the state of a process; `None` if it has crashed.
    fn lock(&self, born: u64) -> Option<MutexGuard<'_, RunnerState>> {
        let state = self.state.lock().unwrap();
        (state.born == born).then_some(state)
    }

    fn answer(&self, request: &Request, born: u64) -> Response {
        // The proxy discards the answers of a process that has crashed.
        self.answer_of_process(request, born)
            .unwrap_or_else(|| Response::text(503, ""))
    }

    fn answer_of_process(&self, request: &Request, born: u64) -> Option<Response> {
        let body: Value = serde_json::from_slice(&request.body).unwrap();
        let fence = body["fence_token"].as_u64().unwrap_or(0);
        self.lock(born)?.received += 1;
        if request.path == "/api/hold" {
            let delay_ms = self.renewal_delay_ms.load(Ordering::Acquire);
            thread::sleep(Duration::from_millis(delay_ms));
        }
        {
            let mut state = self.lock(born)?;
            self.end_runs(&mut state);
            if Instant::now() >= state.lapses_at() {
                state.lapsed_end = state.next_end - 1;
            }
            let clock_ms = state.clock_ms();
            if fence < state.fence {
                let rejection = json!({"clock_ms": clock_ms, "reason": "fence"});
                return Some(Response::json(409, &rejection));
            }
            state.fence = fence;
            if request.path == "/api/run-start" && !self.has_permit(&body, born) {
                let rejection = json!({"clock_ms": clock_ms, "reason": "ticket"});
                return Some(Response::json(409, &rejection));
            }
            if let Some(until_ms) = body["deadline_ms"].as_u64() {
                let longest_ms = clock_ms + self.options.max_hold.as_millis() as u64;
                state.lease_until_ms = state.lease_until_ms.max(until_ms.min(longest_ms));
            }
        }
        match request.path.as_str() {
            "/api/run-start" => self.run_start(&body, born),
            "/api/run-stop" => self.run_stop(&body, born),
            "/api/hold" => self.hold(&body, born),
            _ => Some(Response::text(404, "")),
        }
    }

    fn has_permit(&self, body: &Value, born: u64) -> bool {
        let permits = self.permits.lock().unwrap();
        let Some(permits) = permits.as_ref() else {
            return true;
        };
        let task = body["task"].as_str().unwrap();
        let (stage, _) = task.rsplit_once('.').unwrap();
        let permit = body["ticket_id"].as_str().unwrap_or_default();
        permits.are_valid(permit, stage, born)
    }

    fn run_start(&self, body: &Value, born: u64) -> Option<Response> {
        let task = body["task"].as_str().unwrap().to_owned();
        let run = body["run_id"].as_u64().unwrap();
        let mut state = self.lock(born)?;
        let clock_ms = state.clock_ms();
        let reject = |reason| Response::json(409, &json!({"clock_ms": clock_ms, "reason": reason}));
        let now = Instant::now();
        if now >= state.lapses_at() {
            return Some(reject("late"));
        }
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return Some(reject("old"));
        }
        let current = state.running.get(&task).map(|(current, _)| *current);
        if current != Some(run) {
            self.runs.start(born, &task, run, now);
            if let Some(replaced) = current {
                // Ends after the start of the other run, so that both count as at work at once.
                self.runs
                    .end(&task, replaced, now + Duration::from_nanos(1));
            }
            let ends_at = now + self.options.run_time;
            state.running.insert(task, (run, ends_at));
        }
        drop(state);
        let lost =
            self.lose_answers
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |remaining| {
                    remaining.checked_sub(1)
                });
        if lost.is_ok() {
            thread::sleep(LOST_ANSWER_DELAY);
        }
        let clock_ms = self.lock(born)?.clock_ms();
        Some(Response::json(200, &json!({"clock_ms": clock_ms})))
    }

    fn run_stop(&self, body: &Value, born: u64) -> Option<Response> {
        let task = body["task"].as_str().unwrap().to_owned();
        let run = body["run_id"].as_u64().unwrap();
        let mut state = self.lock(born)?;
        let current = state.running.get(&task).map(|(current, _)| *current);
        if current == Some(run) {
            self.close(&mut state, &task, "stopped", Instant::now());
        }
        let closed = state.closed.entry(task).or_insert(0);
        *closed = run.max(*closed);
        self.changed.notify_all();
        let clock_ms = state.clock_ms();
        Some(Response::json(200, &json!({"clock_ms": clock_ms})))
    }

    fn hold(&self, body: &Value, born: u64) -> Option<Response> {
        let cursor = body["ack_cursor"].as_u64().unwrap();
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let mut state = self.lock(born)?;
        let lapsed_end = state.lapsed_end;
        let forgotten = state.ended.extract_if(.., |(number, ..)| *number <= cursor);
        for (number, task, run, outcome) in forgotten {
            if outcome == "done" && number > lapsed_end {
                self.runs.note_done(&task, run);
            }
        }
        let no_ends = |state: &mut RunnerState| state.born == born && state.ended.is_empty();
        state = self
            .changed
            .wait_timeout_while(state, wait, no_ends)
            .unwrap()
            .0;
        if state.born != born {
            return None;
        }
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
        let answer = json!({"clock_ms": state.clock_ms(), "running": running,
            "ended_runs": ended, "born": born});
        Some(Response::json(200, &answer))
    }
}

/// Task that a request to a runner names.
fn task_of(request: &[u8]) -> Option<String> {
    let body = request.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let body: Value = serde_json::from_slice(&request[body..]).unwrap();
    body["task"].as_str().map(str::to_owned)
}

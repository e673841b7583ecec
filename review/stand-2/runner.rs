//! A runner of the platform: it starts and stops runs, keeps a lease on its own clock, lists the ends
//! of runs until they are acknowledged, and sends heartbeats, as `PROTOCOL.md` describes it.
//!
//! What a task does follows from the `task_spec` of its job, which the client chose. It holds one entry
//! for each step, separated by `;`:
//! `work MS` ends `done` after MS; `fail MS` ends `failed` after MS, each time; `last` goes on until it
//! is stopped; `last-fail MS` does the same, but its first run ends `failed` after MS.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Server, call};
use crate::json::Json;
use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_HOLD_MS: u64 = 10_000;

/// Room of each runner.
pub const CPU: u64 = 4_000;
pub const MEMORY: u64 = 8_000;

/// One life of a machine.
pub struct Runner {
    pub id: String,
    pub service: String,
    zone: String,
    kind: String,
    born: u64,
    started: Instant,
    record: Arc<Record>,
    control: Vec<SocketAddr>,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    running: Vec<Run>,
    /// Highest run of each task that was stopped or ended here.
    closed: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    draining: bool,
    gone: bool,
    sequence: u64,
}

struct Run {
    task: String,
    run: u64,
    started: Instant,
    /// How it ends by itself and when; `None` if it goes on.
    end: Option<(&'static str, Duration)>,
}

impl Runner {
    /// Starts a runner of kind `a` that registers at the storage hosts.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        control: &[SocketAddr],
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Self::start_life((id, "a"), service, zone, control, record, 0)
    }

    /// Starts a life of a runner. The time of day of its machine is `ahead_ms` ahead.
    pub fn start_life(
        (id, kind): (&str, &str),
        service: &str,
        zone: &str,
        control: &[SocketAddr],
        record: &Arc<Record>,
        ahead_ms: u64,
    ) -> Arc<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            born: since_epoch.as_millis() as u64 + ahead_ms,
            started: Instant::now(),
            record: Arc::clone(record),
            control: control.to_vec(),
            state: Mutex::new(State {
                next_end: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            server: Mutex::default(),
        });
        let answering = Arc::clone(&runner);
        let server = Server::start(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            Arc::new(move |request| answering.answer(request)),
        );
        *runner.server.lock().unwrap() = Some(server.expect("a port for a runner"));
        let working = Arc::clone(&runner);
        thread::spawn(move || {
            while !working.lock().gone {
                thread::sleep(Duration::from_millis(10));
                working.advance(&mut working.lock());
            }
        });
        let beating = Arc::clone(&runner);
        thread::spawn(move || beating.beat());
        runner
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Whether a run of a task whose name begins so is at work here.
    pub fn runs(&self, prefix: &str) -> bool {
        self.lock()
            .running
            .iter()
            .any(|run| run.task.starts_with(prefix))
    }

    /// Number of runs that are at work here.
    pub fn tasks(&self) -> usize {
        self.lock().running.len()
    }

    pub fn idle(&self) -> bool {
        self.tasks() == 0
    }

    /// Crashes: the process ends at once, and sends nothing.
    pub fn crash(&self, why: &str) {
        self.record.line(&format!("runner {} {why}", self.id));
        let mut state = self.lock();
        state.gone = true;
        for run in std::mem::take(&mut state.running) {
            self.record.ended(&run.task, run.run, "gone");
        }
        self.changed.notify_all();
        drop(state);
        if let Some(server) = &*self.server.lock().unwrap() {
            server.end();
        }
    }

    /// Drains and leaves, as at a planned end: reports `draining`, serves on for `drain_ms` after the
    /// acknowledgement and until its runs have ended, sends DELETE and ends.
    pub fn leave(self: &Arc<Self>, drain: Duration) -> thread::JoinHandle<()> {
        let leaving = Arc::clone(self);
        thread::spawn(move || {
            leaving.lock().draining = true;
            while !leaving.send_beat(&leaving.control.clone()) {
                thread::sleep(Duration::from_millis(100));
            }
            leaving
                .record
                .line(&format!("runner {} drains: acknowledged", leaving.id));
            let acknowledged = Instant::now();
            while acknowledged.elapsed() < drain || !leaving.lock().running.is_empty() {
                thread::sleep(Duration::from_millis(20));
            }
            // The ends that it lists are taken note of before it goes.
            thread::sleep(Duration::from_millis(1_000));
            let path = format!("/api/instances/{}", leaving.id);
            for address in &leaving.control {
                if call(*address, "DELETE", &path, &[], "", Duration::from_secs(1))
                    .is_ok_and(|it| it.status() < 300)
                {
                    break;
                }
            }
            leaving.crash("left");
        })
    }

    fn beat(&self) {
        let mut next: Vec<SocketAddr> = self.control.clone();
        loop {
            if self.lock().gone {
                return;
            }
            if !self.send_beat(&next) {
                next.rotate_left(1);
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Sends a heartbeat to the first host that acknowledges it.
    fn send_beat(&self, hosts: &[SocketAddr]) -> bool {
        let (sequence, draining) = {
            let mut state = self.lock();
            state.sequence += 1;
            (state.sequence, state.draining)
        };
        let address = self
            .server
            .lock()
            .unwrap()
            .as_ref()
            .map(|it| it.address.to_string());
        let body = Json::object([
            ("service", Json::text(&self.service)),
            ("addr", Json::text(&address.unwrap_or_default())),
            ("zone", Json::text(&self.zone)),
            ("version", Json::text("v1")),
            ("slots", Json::number(8)),
            (
                "state",
                Json::text(if draining { "draining" } else { "ready" }),
            ),
            ("cold_left_ms", Json::number(0)),
            ("capacity", capacity()),
            (
                "labels",
                Json::List(vec![Json::text(&self.kind), Json::text("r1")]),
            ),
            ("clock_ms", Json::number(self.clock_ms())),
            ("seq", Json::number(sequence)),
            ("born", Json::number(self.born)),
        ]);
        let path = format!("/api/instances/{}", self.id);
        hosts.iter().any(|host| {
            let answer = call(
                *host,
                "PUT",
                &path,
                &[],
                &body.to_string(),
                Duration::from_secs(1),
            );
            let status = answer.map_or(0, |answer| answer.status());
            if self.kind == "b" {
                let (id, born) = (&self.id, self.born);
                self.record.line(&format!(
                    "heartbeat {sequence} of {id}, born {born}: {status}"
                ));
            }
            status / 100 == 2
        })
    }

    /// Ends the runs whose time has come, and all when the lease is over.
    fn advance(&self, state: &mut State) {
        let lapsed = self.clock_ms() >= state.lease_until_ms;
        let (over, on): (Vec<Run>, Vec<Run>) = std::mem::take(&mut state.running)
            .into_iter()
            .partition(|run| {
                lapsed
                    || run
                        .end
                        .is_some_and(|(_, after)| run.started.elapsed() >= after)
            });
        state.running = on;
        for run in over {
            let due = run.end.filter(|(_, after)| run.started.elapsed() >= *after);
            self.close(state, run, due.map_or("lapsed", |(how, _)| how));
        }
    }

    fn close(&self, state: &mut State, run: Run, how: &'static str) {
        let closed = state.closed.entry(run.task.clone()).or_default();
        *closed = run.run.max(*closed);
        self.record.ended(&run.task, run.run, how);
        state.ended.push((state.next_end, run.task, run.run, how));
        state.next_end += 1;
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if request.first.starts_with("GET ") {
            return (200, "{}".to_owned());
        }
        if request
            .header("expected-instance")
            .is_some_and(|id| id != self.id)
        {
            return (421, String::new());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let mut state = self.lock();
        self.advance(&mut state);
        let fence = body.get("fence_token").as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.refusal("fence");
        }
        state.fence = fence;
        if let Some(until) = body.get("deadline_ms").as_u64() {
            let until = until.min(self.clock_ms() + MAX_HOLD_MS);
            state.lease_until_ms = state.lease_until_ms.max(until);
        }
        match request.path() {
            "/api/run-start" => self.run_start(&mut state, &body),
            "/api/run-stop" => self.run_stop(&mut state, &body),
            "/api/hold" => self.hold(state, &body),
            _ => (404, String::new()),
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        let body = Json::object([
            ("clock_ms", Json::number(self.clock_ms())),
            ("reason", Json::text(reason)),
            ("born", Json::number(self.born)),
        ]);
        (409, body.to_string())
    }

    fn accepted(&self) -> (u16, String) {
        let clock = Json::number(self.clock_ms());
        let body = Json::object([("clock_ms", clock), ("born", Json::number(self.born))]);
        (200, body.to_string())
    }

    fn run_start(&self, state: &mut State, body: &Json) -> (u16, String) {
        let task = body.get("task").as_str().to_owned();
        let run = body.get("run_id").as_u64().unwrap_or(0);
        if state
            .running
            .iter()
            .any(|other| other.task == task && other.run == run)
        {
            return self.accepted();
        }
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return self.refusal("old");
        }
        if self.clock_ms() >= state.lease_until_ms {
            return self.refusal("late");
        }
        let end = behaviour(body.get("task_spec").as_str(), &task, run);
        self.record.started(&task, run, &self.id);
        state.running.push(Run {
            task,
            run,
            started: Instant::now(),
            end,
        });
        self.accepted()
    }

    fn run_stop(&self, state: &mut State, body: &Json) -> (u16, String) {
        let task = body.get("task").as_str().to_owned();
        let run = body.get("run_id").as_u64().unwrap_or(0);
        let position = state
            .running
            .iter()
            .position(|other| other.task == task && other.run == run);
        match position {
            Some(position) => {
                let stopped = state.running.remove(position);
                self.close(state, stopped, "stopped");
            }
            None => {
                let closed = state.closed.entry(task).or_default();
                *closed = run.max(*closed);
            }
        }
        self.accepted()
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> (u16, String) {
        let cursor = body.get("ack_cursor").as_u64().unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > cursor);
        let until = Instant::now()
            + Duration::from_millis(body.get("wait_ms").as_u64().unwrap_or(0).min(2_000));
        while state.ended.is_empty() && !state.gone {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter().map(|run| {
            let percent = run.end.map_or(100, |(_, after)| {
                (run.started.elapsed().as_millis() * 100 / after.as_millis().max(1)).min(99) as u64
            });
            Json::List(vec![
                Json::text(&run.task),
                Json::number(run.run),
                Json::text(""),
                Json::number(percent),
                Json::number(0),
            ])
        });
        let ended = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                Json::List(vec![
                    Json::number(*number),
                    Json::text(task),
                    Json::number(*run),
                    Json::text(how),
                    Json::text(""),
                ])
            });
        let answer = Json::object([
            ("clock_ms", Json::number(self.clock_ms())),
            ("running", Json::List(running.collect())),
            ("ended_runs", Json::List(ended.collect())),
            ("born", Json::number(self.born)),
        ]);
        (200, answer.to_string())
    }
}

fn capacity() -> Json {
    Json::object([
        ("cpu", Json::number(CPU)),
        ("mem_mb", Json::number(MEMORY)),
        ("gpu", Json::number(0)),
    ])
}

/// What a run does by itself: how it ends and after which time.
fn behaviour(spec: &str, task: &str, run: u64) -> Option<(&'static str, Duration)> {
    let step: usize = task
        .split('.')
        .nth(2)
        .and_then(|step| step.parse().ok())
        .unwrap_or(0);
    let entry = spec.split(';').nth(step).unwrap_or("work 100");
    let (kind, ms) = entry.split_once(' ').unwrap_or((entry, "100"));
    let after = Duration::from_millis(ms.parse().unwrap_or(100));
    match kind {
        "fail" => Some(("failed", after)),
        "last" => None,
        "last-fail" => (run == 1).then_some(("failed", after)),
        _ => Some(("done", after)),
    }
}

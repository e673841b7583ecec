//! A sound runner as PROTOCOL.md describes it, in a process of its own. How long a task works
//! follows from its `task_spec`: "work=MILLISECONDS", or "lasting".

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::{self, quote, Value};

pub struct Options {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub service: String,
    pub labels: Vec<String>,
    pub control: Vec<SocketAddr>,
    pub max_hold_ms: u64,
    pub log: String,
    /// By how much the time of day of the runner's machine is ahead.
    pub ahead_ms: u64,
}

struct Run {
    run: u64,
    began: Instant,
    /// None for a task that lasts.
    work: Option<Duration>,
}

struct State {
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Number, task, run, how.
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Highest run that was stopped or has ended, by task.
    closed: BTreeMap<String, u64>,
    log: File,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl State {
    fn note(&mut self, what: &str) {
        let _ = self
            .log
            .write_all(format!("{} {what}\n", unix_ms()).as_bytes());
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let number = self.next_end;
        self.next_end += 1;
        self.ends.push((number, task.to_owned(), run.run, how));
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.run.max(*closed);
        self.note(&format!("end {task} {} {how}", run.run));
    }
}

pub fn main(options: Options) {
    let born = unix_ms() + options.ahead_ms;
    let began = Instant::now();
    let clock = move || 1_000 + began.elapsed().as_millis() as u64;
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&options.log)
        .expect("log");
    let mut first = State {
        fence: 0,
        lease_until_ms: 0,
        running: BTreeMap::new(),
        ends: Vec::new(),
        next_end: 1,
        closed: BTreeMap::new(),
        log,
    };
    first.note("up");
    let shared = Arc::new((Mutex::new(first), Condvar::new()));
    let options = Arc::new(options);
    let listener = TcpListener::bind(options.addr).expect("bind");

    let working = Arc::clone(&shared);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(10));
        let mut state = working.0.lock().unwrap();
        let lapsed = clock() >= state.lease_until_ms;
        let mut due = Vec::new();
        for (task, run) in &state.running {
            let is_done = run.work.is_some_and(|work| run.began.elapsed() >= work);
            if is_done {
                due.push((task.clone(), "done"));
            } else if lapsed {
                due.push((task.clone(), "lapsed"));
            }
        }
        for (task, how) in &due {
            state.end(task, how);
        }
        drop(state);
        if !due.is_empty() {
            working.1.notify_all();
        }
    });

    let beating = Arc::clone(&options);
    thread::spawn(move || {
        let (mut seq, mut next, mut named) = (0_u64, 0_usize, None::<SocketAddr>);
        loop {
            seq += 1;
            let body = heartbeat(&beating, clock(), seq, born);
            let path = format!("/api/instances/{}", beating.id);
            for _ in 0..beating.control.len() + 1 {
                let target = named.unwrap_or(beating.control[next % beating.control.len()]);
                let answer = http::call(target, "PUT", &path, &[], &body, Duration::from_secs(1));
                if let Some((200, text)) = answer {
                    let text = json::parse(&text).unwrap_or(Value::Null);
                    let addr = text
                        .text("heartbeat_addr")
                        .and_then(|addr| addr.parse().ok());
                    named = addr.or(named);
                    break;
                }
                named = None;
                next += 1;
            }
            thread::sleep(Duration::from_millis(1_500));
        }
    });

    let handler =
        move |request: Request| answer(&options, &shared, clock(), born, &request, &clock);
    http::serve(listener, Arc::new(handler));
}

fn heartbeat(options: &Options, clock_ms: u64, seq: u64, born: u64) -> String {
    let labels: Vec<String> = options.labels.iter().map(|label| quote(label)).collect();
    format!(
        "{{\"service\":{},\"addr\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
         \"cold_left_ms\":0,\"capacity\":{{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}},\"labels\":[{}],\
         \"clock_ms\":{clock_ms},\"seq\":{seq},\"born\":{born}}}",
        quote(&options.service), options.addr, quote(&options.zone), labels.join(",")
    )
}

fn answer(
    options: &Options,
    shared: &Arc<(Mutex<State>, Condvar)>,
    clock_ms: u64,
    born: u64,
    request: &Request,
    clock: &dyn Fn() -> u64,
) -> (u16, String) {
    if request
        .header("expected-instance")
        .is_some_and(|id| id != options.id)
    {
        return (421, "{}".to_owned());
    }
    let Some(body) = json::parse(&request.body) else {
        return (400, "{}".to_owned());
    };
    let conflict = |reason: &str| {
        (
            409,
            format!("{{\"clock_ms\":{clock_ms},\"born\":{born},\"reason\":\"{reason}\"}}"),
        )
    };
    let done = (200, format!("{{\"clock_ms\":{clock_ms},\"born\":{born}}}"));
    let mut state = shared.0.lock().unwrap();
    let fence = body.number("fence_token").unwrap_or(0);
    if fence < state.fence {
        return conflict("fence");
    }
    state.fence = fence;
    let deadline = body
        .number("deadline_ms")
        .unwrap_or(0)
        .min(clock_ms + options.max_hold_ms);
    let task = body.text("task").unwrap_or_default().to_owned();
    let run = body.number("run_id").unwrap_or(0);
    match request.path.as_str() {
        "/api/run-start" => {
            if state
                .running
                .get(&task)
                .is_some_and(|present| present.run == run)
            {
                return done;
            }
            if body.number("deadline_ms").unwrap_or(0) <= clock_ms {
                return conflict("late");
            }
            state.lease_until_ms = state.lease_until_ms.max(deadline);
            let is_old = state.closed.get(&task).is_some_and(|closed| run <= *closed)
                || state
                    .running
                    .get(&task)
                    .is_some_and(|present| run < present.run);
            if is_old {
                return conflict("old");
            }
            let spec = body.text("task_spec").unwrap_or_default();
            let work = spec.strip_prefix("work=").and_then(|ms| ms.parse().ok());
            state.running.insert(
                task.clone(),
                Run {
                    run,
                    began: Instant::now(),
                    work: work.map(Duration::from_millis),
                },
            );
            state.note(&format!("start {task} {run}"));
            done
        }
        "/api/run-stop" => {
            let closed = state.closed.entry(task.clone()).or_default();
            *closed = run.max(*closed);
            if state
                .running
                .get(&task)
                .is_some_and(|present| present.run <= run)
            {
                state.end(&task, "stopped");
                shared.1.notify_all();
            }
            done
        }
        "/api/hold" => {
            state.lease_until_ms = state.lease_until_ms.max(deadline);
            let cursor = body.number("ack_cursor").unwrap_or(0);
            state.ends.retain(|end| end.0 > cursor);
            let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
            let mut state = shared
                .1
                .wait_timeout_while(state, wait, |state| state.ends.is_empty())
                .unwrap()
                .0;
            let running: Vec<String> = state
                .running
                .iter()
                .map(|(task, run)| {
                    let percent = run.work.map_or(100, |work| {
                        (run.began.elapsed().as_millis() * 100 / work.as_millis().max(1)).min(99)
                    });
                    format!("[{},{},\"\",{percent},100]", quote(task), run.run)
                })
                .collect();
            let ends: Vec<String> = state
                .ends
                .iter()
                .take(500)
                .map(|(number, task, run, how)| {
                    format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
                })
                .collect();
            state.fence = state.fence.max(fence);
            let clock_ms = clock();
            (
                200,
                format!(
                "{{\"clock_ms\":{clock_ms},\"born\":{born},\"running\":[{}],\"ended_runs\":[{}]}}",
                running.join(","), ends.join(",")
            ),
            )
        }
        _ => (404, "{}".to_owned()),
    }
}

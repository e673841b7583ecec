//! Test fixture: placers of successive epochs on a shared in-memory log, with stand-in runners that
//! are called without sockets, so that faults can be injected at chosen points.
#![allow(dead_code, reason = "each test binary uses a part")]

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use indexmap::IndexMap;
use jujubewinch::agent::executions::Execution;
use jujubewinch::agent::serve;
use jujubewinch::agent::tasks::TaskTable;
use jujubewinch::clock::Clock;
use jujubewinch::http::Request;
use jujubewinch::http::client::{ClientError, ClientRequest, ClientResponse};
use jujubewinch::options::settings::{LimitSettings, TimingSettings};
use jujubewinch::placer::journal::{Journal, JournalError};
use jujubewinch::placer::links::Exchange;
use jujubewinch::placer::records::{PlacementRecord, PlacementState};
use jujubewinch::placer::{Outcome, Placer, PlacerOptions};
use jujubewinch::protocol::caller::{Submission, Urgency};
use jujubewinch::protocol::worker::{Announcement, RunnerCapacity, WorkerPhase};
use jujubewinch::resources::Resources;

/// Maximum time for which a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub const SLOTS: usize = 2;

/// Fault of an append to the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AppendFault {
    /// The record is not committed, and the placer learns this.
    Refuse,
    /// The record is committed, but the placer receives no confirmation.
    LoseConfirmation,
    /// The record is not committed, and the placer receives no confirmation.
    LoseRecord,
}

/// Blocks a placer at one point while it is closed, as a pause of the process would.
#[derive(Default)]
pub struct Gate {
    closed: Mutex<bool>,
    opened: Condvar,
    pub waiting: AtomicUsize,
}

impl Gate {
    pub fn close(&self) {
        *self.closed.lock().unwrap() = true;
    }

    pub fn open(&self) {
        *self.closed.lock().unwrap() = false;
        self.opened.notify_all();
    }

    fn pass(&self) {
        let mut closed = self.closed.lock().unwrap();
        while *closed {
            self.waiting.fetch_add(1, Ordering::SeqCst);
            closed = self.opened.wait(closed).unwrap();
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
    }

    pub fn wait_for_arrival(&self) {
        wait_until("a placer waits at the gate", || {
            self.waiting.load(Ordering::SeqCst) > 0
        });
    }
}

/// The points at which a placer can be paused.
#[derive(Default)]
pub struct Gates {
    pub before_append: Gate,
    pub after_append: Gate,
    pub before_exchange: Gate,
    pub after_exchange: Gate,
}

impl Gates {
    pub fn all(&self) -> [&Gate; 4] {
        [
            &self.before_append,
            &self.after_append,
            &self.before_exchange,
            &self.after_exchange,
        ]
    }
}

/// Placement log that all placers of a test share. Only the placer of the latest epoch can append.
#[derive(Default)]
pub struct SharedLog {
    pub state: Arc<Mutex<PlacementState>>,
    pub epoch: AtomicU64,
    /// Faults of the next appends of intents and completions, in order; `None` is a normal append.
    pub faults: Mutex<VecDeque<Option<AppendFault>>>,
}

impl SharedLog {
    fn append(&self, epoch: u64, record: PlacementRecord) -> Result<(), JournalError> {
        let mut state = self.state.lock().unwrap();
        let refused = || JournalError::NotLeader("another epoch has begun".to_owned());
        if self.epoch.load(Ordering::SeqCst) != epoch {
            return Err(refused());
        }
        let counted = matches!(
            record,
            PlacementRecord::Intent(_) | PlacementRecord::Completion(_)
        );
        let fault = if counted {
            self.faults.lock().unwrap().pop_front().flatten()
        } else {
            None
        };
        let lost = || JournalError::Unconfirmed("no majority".to_owned());
        match fault {
            Some(AppendFault::Refuse) => return Err(refused()),
            Some(AppendFault::LoseRecord) => return Err(lost()),
            _ => state.apply(record),
        }
        if fault.is_some() { Err(lost()) } else { Ok(()) }
    }

    pub fn begin_epoch(&self) -> u64 {
        let _no_append = self.state.lock().unwrap();
        self.epoch.fetch_add(1, Ordering::SeqCst) + 1
    }
}

/// A stand-in runner without sockets.
pub struct Runner {
    pub worker: String,
    pub tasks: Arc<TaskTable>,
    pub announcing: AtomicBool,
    pub leaving: AtomicBool,
    /// While set, every exchange with the runner fails to connect.
    pub unreachable: AtomicBool,
    /// Number of the next exchanges that are delivered twice.
    pub duplicates: AtomicUsize,
}

impl Runner {
    fn announcement(&self) -> Announcement {
        Announcement {
            worker: self.worker.clone(),
            incarnation: self.tasks.incarnation(),
            data_centre: "erdenet".to_owned(),
            rack: "rack-1".to_owned(),
            address: self.worker.clone(),
            resources: Resources::ZERO,
            runner: Some(RunnerCapacity {
                service: "quotes".to_owned(),
                slots: SLOTS as u32,
                connections: 64,
            }),
            phase: if self.leaving.load(Ordering::SeqCst) {
                WorkerPhase::Leaving
            } else {
                WorkerPhase::Up
            },
            tasks: self.tasks.announced_tasks(),
            usage: IndexMap::new(),
            highest_epoch: self.tasks.highest_epoch(),
        }
    }

    pub fn crash(&self) {
        self.tasks.crash(self.tasks.incarnation() + 1);
    }

    fn announce_to(&self, placers: &[Arc<Placer>]) {
        if !self.announcing.load(Ordering::SeqCst) {
            return;
        }
        let sent_at = Instant::now();
        let incarnation = self.tasks.incarnation();
        for placer in placers {
            if let Ok(reply) = placer.announce(self.announcement())
                && incarnation == self.tasks.incarnation()
            {
                let lease = Duration::from_millis(reply.lease_ms);
                self.tasks.renew_lease(reply.epoch, sent_at + lease);
            }
        }
    }
}

/// A placer with the gates at which it can be paused.
pub struct Host {
    pub placer: Arc<Placer>,
    pub gates: Arc<Gates>,
}

pub struct Cell {
    pub log: Arc<SharedLog>,
    pub runners: Arc<IndexMap<String, Arc<Runner>>>,
    pub timing: TimingSettings,
    pub limits: LimitSettings,
    placers: Arc<Mutex<Vec<Arc<Placer>>>>,
    stopped: Arc<AtomicBool>,
}

pub fn timing() -> TimingSettings {
    TimingSettings {
        exchange_wait_ms: 60,
        exchange_grace_ms: 120,
        announcement_interval_ms: 30,
        lease_ms: 500,
        clock_margin_ms: 200,
        key_retention_ms: 120_000,
        ..TimingSettings::default()
    }
}

impl Cell {
    pub fn new(runners: usize) -> Self {
        let runners: IndexMap<String, Arc<Runner>> = (1..=runners)
            .map(|index| {
                let worker = format!("worker-{index}");
                let runner = Runner {
                    worker: worker.clone(),
                    tasks: Arc::new(TaskTable::new(SLOTS, 1)),
                    announcing: AtomicBool::new(true),
                    leaving: AtomicBool::new(false),
                    unreachable: AtomicBool::new(false),
                    duplicates: AtomicUsize::new(0),
                };
                (worker, Arc::new(runner))
            })
            .collect();
        let cell = Self {
            log: Arc::default(),
            runners: Arc::new(runners),
            timing: timing(),
            limits: LimitSettings::default(),
            placers: Arc::default(),
            stopped: Arc::default(),
        };
        cell.start_announcer();
        cell
    }

    fn start_announcer(&self) {
        let (runners, placers) = (Arc::clone(&self.runners), Arc::clone(&self.placers));
        let stopped = Arc::clone(&self.stopped);
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let present = placers.lock().unwrap().clone();
                for runner in runners.values() {
                    runner.announce_to(&present);
                    runner.tasks.wake_if_lease_expired(Instant::now());
                }
                thread::sleep(Duration::from_millis(30));
            }
        });
    }

    /// Makes a new placer the leader of the log, and lets the runners announce to it at once.
    pub fn next_placer(&self) -> Host {
        let host = self.unannounced_placer();
        self.announce_runners(&host);
        host
    }

    /// Lets the runners announce to a placer, at once and periodically.
    pub fn announce_runners(&self, host: &Host) {
        self.placers.lock().unwrap().push(Arc::clone(&host.placer));
        for runner in self.runners.values() {
            runner.announce_to(std::slice::from_ref(&host.placer));
        }
    }

    /// Makes a new placer the leader of the log without announcements of the runners.
    pub fn unannounced_placer(&self) -> Host {
        let epoch = self.log.begin_epoch();
        let gates = Arc::new(Gates::default());
        let placer = Placer::new(PlacerOptions {
            request_policy:
                jujubewinch::scheduling::request_queue::policy::RequestPolicyName::default(),
            data_centre: "erdenet".to_owned(),
            limits: self.limits.clone(),
            timing: self.timing.clone(),
            clock: Clock::system(),
            journal: self.journal(epoch, &gates),
            exchange: self.exchange(&gates),
        });
        Host { placer, gates }
    }

    fn journal(&self, epoch: u64, gates: &Arc<Gates>) -> Journal {
        let (log, current) = (Arc::clone(&self.log), Arc::clone(&self.log));
        let gates = Arc::clone(gates);
        Journal {
            append: Arc::new(move |record| {
                gates.before_append.pass();
                let result = log.append(epoch, record);
                gates.after_append.pass();
                result
            }),
            epoch: Arc::new(move || {
                (current.epoch.load(Ordering::SeqCst) == epoch).then_some(epoch)
            }),
            state: Arc::clone(&self.log.state),
            records_since_unix_seconds: 0,
        }
    }

    fn exchange(&self, gates: &Arc<Gates>) -> Exchange {
        let (runners, gates) = (Arc::clone(&self.runners), Arc::clone(gates));
        Arc::new(move |link, request| {
            gates.before_exchange.pass();
            let result = deliver(&runners[&link.address], request);
            gates.after_exchange.pass();
            result
        })
    }

    pub fn runner(&self, index: usize) -> &Runner {
        &self.runners[index]
    }

    pub fn executions(&self, key: &str) -> Vec<Execution> {
        let all = self.runners.values();
        all.flat_map(|runner| runner.tasks.executions())
            .filter(|execution| execution.key == key)
            .collect()
    }

    pub fn wait_for_execution(&self, key: &str) {
        wait_until("the execution begins", || !self.executions(key).is_empty());
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        for runner in self.runners.values() {
            runner.tasks.faults().release_blocked_connections();
            runner.tasks.faults().pause(false);
        }
    }
}

/// Delivers a request on a separate thread and waits for the answer until the deadline.
fn deliver(runner: &Arc<Runner>, request: ClientRequest) -> Result<ClientResponse, ClientError> {
    let (url, deadline) = (request.url.clone(), request.deadline);
    if runner.unreachable.load(Ordering::SeqCst) {
        let reason = "unreachable".to_owned();
        return Err(ClientError::NotSent {
            url,
            reason,
            port_closed: false,
        });
    }
    let taken = |count: usize| count.checked_sub(1);
    if runner
        .duplicates
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, taken)
        .is_ok()
    {
        let (tasks, copy) = (Arc::clone(&runner.tasks), server_request(&request));
        thread::spawn(move || serve(&tasks, &copy));
    }
    let (sender, receiver) = bounded(1);
    let (tasks, arriving) = (Arc::clone(&runner.tasks), server_request(&request));
    thread::spawn(move || sender.send(serve(&tasks, &arriving)));
    let Ok(response) = receiver.recv_deadline(deadline) else {
        let reason = "silent".to_owned();
        return Err(ClientError::Interrupted { url, reason });
    };
    Ok(ClientResponse {
        status: response.status,
        headers: response.headers.into_iter().collect(),
        body: response.body,
    })
}

fn server_request(request: &ClientRequest) -> Request {
    let (_, rest) = request.url.split_once("/v1/").unwrap();
    let (path, query) = rest.split_once('?').unwrap_or((rest, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut headers = HeaderMap::new();
    for (name, value) in &request.headers {
        headers.insert(
            HeaderName::try_from(name.as_str()).unwrap(),
            HeaderValue::try_from(value.as_str()).unwrap(),
        );
    }
    Request {
        method: request.method.clone(),
        path: format!("/v1/{path}"),
        query: pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        headers,
        body: request.body.clone(),
        peer_address: None,
    }
}

pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

pub fn fresh_key(text: &str) -> String {
    format!("erdenet.{}.{text}", Clock::system().unix_seconds())
}

/// Creates a request whose answer is its key.
pub fn request(key: &str, idempotent: bool, work_ms: u64) -> Submission {
    Submission {
        key: key.to_owned(),
        member: "tuul".to_owned(),
        caller: "workshop".to_owned(),
        service: "quotes".to_owned(),
        idempotent,
        urgency: Urgency::Normal,
        deadline: Instant::now() + WAIT_TIMEOUT,
        payload: format!("{{\"work_ms\":{work_ms},\"echo\":\"{key}\"}}").into_bytes(),
    }
}

pub fn submit_in_background(
    placer: &Arc<Placer>,
    submission: &Submission,
) -> thread::JoinHandle<Outcome> {
    let (placer, submission) = (Arc::clone(placer), submission.clone());
    thread::spawn(move || placer.submit(&submission))
}

/// Returns the verdict as text; `ran` for an answer.
pub fn verdict(outcome: &Outcome) -> String {
    match outcome {
        Ok(_) => "ran".to_owned(),
        Err(error) => error.verdict.to_string(),
    }
}

/// Fails when two executions of a key overlap.
pub fn assert_one_at_a_time(executions: &[Execution]) {
    for (index, first) in executions.iter().enumerate() {
        for second in &executions[index + 1..] {
            let overlap = first.ended_at.is_none_or(|end| end > second.started_at)
                && second.ended_at.is_none_or(|end| end > first.started_at);
            assert!(!overlap, "{first:?} overlaps {second:?}");
        }
    }
}

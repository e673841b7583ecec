//! Stand-in for a runner or worker, for tests and experiments. It simulates the execution of requests
//! in slots and of job tasks within its resources.

pub mod announcer;
mod checks;
pub mod executions;
pub mod faults;
pub mod payload;
mod pool;
pub mod tasks;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hyper::Method;

use crate::http::{Handler, Request, Response, Server, ServerOptions};
use crate::ids::WorkerId;
use crate::protocol::headers;
use crate::protocol::worker::{Announcement, RunnerCapacity, TaskState, WorkerPhase};
use crate::resources::Resources;
use crate::verdict::{ErrorCode, RequestError};
use faults::Fault;
use tasks::{TaskTable, TaskView};

/// Maximum number of open connections of a worker that is not a runner.
const WORKER_CONNECTIONS: u32 = 64;

/// Options of a stand-in runner.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Id that it announces.
    pub worker: WorkerId,
    /// Data centre that it announces.
    pub data_centre: String,
    /// Rack that it announces.
    pub rack: String,
    /// Address on which it listens; port 0 selects a free one.
    pub address: SocketAddr,
    /// Addresses of the caller interface of entry hosts, used in turn for announcements. They
    /// replace the load balancer of the platform. Without any, nothing is announced.
    pub entry_hosts: Vec<SocketAddr>,
    /// Resources for tasks of jobs.
    pub resources: Resources,
    /// Service, slots and connections; absent on a worker that runs only tasks of jobs.
    pub runner: Option<RunnerCapacity>,
}

/// A running stand-in runner.
pub struct Agent {
    server: Server,
    announcement: Announcement,
    tasks: Arc<TaskTable>,
    leaving: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl Agent {
    /// Starts the HTTP interface and the announcements.
    ///
    /// # Errors
    ///
    /// Errors of binding the address or starting the announcer thread.
    pub fn start(options: AgentOptions) -> io::Result<Self> {
        Self::start_with_token(options, None)
    }

    /// As [`Agent::start`], with an authentication token for the announcements.
    ///
    /// # Errors
    ///
    /// As [`Agent::start`].
    pub fn start_with_token(options: AgentOptions, token: Option<String>) -> io::Result<Self> {
        let incarnation = announcer::new_incarnation();
        let runner = options.runner.as_ref();
        let slots = runner.map_or(0, |runner| runner.slots);
        let connections = runner.map_or(WORKER_CONNECTIONS, |runner| runner.connections);
        let mut tasks = TaskTable::new(slots as usize, incarnation);
        tasks.capacity = options.resources;
        tasks.worker.clone_from(&options.worker);
        let tasks = Arc::new(tasks);
        let serving = Arc::clone(&tasks);
        let handler: Handler = Arc::new(move |request| serve(&serving, &request));
        let server_options = ServerOptions {
            max_connections: connections as usize,
            ..ServerOptions::default()
        };
        let server = Server::start(options.address, server_options, handler)?;
        let announcement = Announcement {
            worker: options.worker,
            incarnation,
            data_centre: options.data_centre,
            rack: options.rack,
            address: server.local_address().to_string(),
            resources: options.resources,
            runner: options.runner,
            phase: WorkerPhase::Up,
            tasks: indexmap::IndexMap::new(),
            usage: indexmap::IndexMap::new(),
            highest_epoch: 0,
        };
        let leaving = Arc::new(AtomicBool::new(false));
        let stopped = Arc::new(AtomicBool::new(false));
        let announcing = announcer::Announcer {
            announcement: announcement.clone(),
            entry_hosts: options.entry_hosts,
            token,
            tasks: Arc::clone(&tasks),
            leaving: Arc::clone(&leaving),
            stopped: Arc::clone(&stopped),
        };
        thread::Builder::new()
            .name("announcer".to_owned())
            .spawn(move || announcing.run())?;
        Ok(Self {
            server,
            announcement,
            tasks,
            leaving,
            stopped,
        })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }

    /// Returns the current announcement, for tests that pass it to a placer themselves.
    pub fn announcement(&self) -> Announcement {
        let mut announcement = self.announcement.clone();
        announcement.incarnation = self.tasks.incarnation();
        announcement.tasks = self.tasks.announced_tasks();
        announcement.usage = self.tasks.usage();
        announcement.highest_epoch = self.tasks.highest_epoch();
        if self.leaving.load(Ordering::Acquire) {
            announcement.phase = WorkerPhase::Leaving;
        }
        announcement
    }

    /// Simulates a crash and an immediate restart: all tasks and records are lost.
    pub fn crash(&self) {
        self.tasks.crash(announcer::new_incarnation());
    }

    /// Returns the tasks and the executions, for checks in tests.
    pub fn tasks(&self) -> &Arc<TaskTable> {
        &self.tasks
    }

    /// Announces that the runner is leaving, waits for its tasks, and stops. Returns whether all tasks
    /// ended and the server shut down before the deadline.
    pub fn leave(&self, deadline: Instant) -> bool {
        self.leaving.store(true, Ordering::Release);
        self.tasks.leave();
        let mut finished = false;
        while !finished && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
            finished = self.tasks.running() == 0;
        }
        self.stopped.store(true, Ordering::Release);
        self.server.shutdown(deadline) && finished
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
    }
}

/// Handles one call of the task interface, with the faults that tests have injected.
pub fn serve(tasks: &Arc<TaskTable>, request: &Request) -> Response {
    let faults = tasks.faults();
    faults.wait_while_paused();
    let segments = request.segments();
    if segments.first() != Some(&"v1") {
        return Response::text(200, "live\n");
    }
    let fault = faults.next();
    match fault {
        Some(Fault::LoseRequest) => {
            faults.block_connection();
            return silent_response();
        }
        Some(Fault::DelayRequest(delay)) => thread::sleep(delay),
        _ => {}
    }
    let mut response = handle(tasks, request, &segments);
    // A pause may begin at any point, in particular before the answer is sent.
    faults.wait_while_paused();
    match fault {
        Some(Fault::LoseAnswer) => {
            faults.block_connection();
            return silent_response();
        }
        Some(Fault::DelayAnswer(delay)) => thread::sleep(delay),
        Some(Fault::CorruptAnswer) => {
            if let Some(byte) = response.body.first_mut() {
                *byte ^= 1;
            }
        }
        Some(Fault::TruncateAnswer) => response.body.truncate(response.body.len() / 2),
        _ => {}
    }
    response
}

/// Response for a blocked connection; its client has closed the connection by then.
fn silent_response() -> Response {
    Response::text(500, "silent\n").header("connection", "close")
}

fn handle(tasks: &Arc<TaskTable>, request: &Request, segments: &[&str]) -> Response {
    let wait = Duration::from_millis(request.query_value("wait_ms").unwrap_or(0));
    let result = match (&request.method, segments) {
        (&Method::GET, ["v1", "executions"]) => return tasks.executions.respond(request),
        (&Method::PUT, ["v1", "tasks", id]) => match tasks.create(id, request) {
            Ok(()) => tasks.wait(id, request, wait),
            // This copy of the create call starts nothing, now or later.
            Err(error) => {
                return Response::error(&error, "")
                    .header(headers::TASK_STATE, TaskState::NeverStarted.to_string());
            }
        },
        (&Method::GET, ["v1", "tasks", id]) => tasks.wait(id, request, wait),
        (&Method::POST, ["v1", "tasks", id, "cancel" | "stop"]) => tasks
            .cancel(id, request)
            .and_then(|()| tasks.wait(id, request, wait)),
        (&Method::POST, ["v1", "tasks", id, "checkpoint" | "throttle"]) => {
            tasks.wait(id, request, Duration::ZERO)
        }
        (&Method::DELETE, ["v1", "tasks", ids]) => {
            for id in ids.split(',') {
                tasks.remove_ended(id);
            }
            return Response::text(200, "");
        }
        _ => Err(RequestError::did_not_run(
            ErrorCode::NotFound,
            "unknown path",
        )),
    };
    match result {
        Ok(view) => task_response(view),
        Err(error) => Response::error(&error, ""),
    }
}

fn task_response(view: TaskView) -> Response {
    let status = match view.state {
        TaskState::Running => 202,
        TaskState::Unknown => 404,
        TaskState::NeverStarted => 503,
        _ => 200,
    };
    let checksum = crc32fast::hash(&view.answer);
    Response::bytes(status, view.answer)
        .header(headers::TASK_STATE, view.state.to_string())
        .header(headers::ANSWER_CRC32, checksum.to_string())
}

//! Stand-in runner: executes requests of a service in slots.

pub mod announcer;
pub mod executions;
pub mod payload;
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
use tasks::{TaskTable, TaskView};

/// Options of a stand-in runner.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Identifier.
    pub worker: WorkerId,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Caller addresses of entry hosts, as the platform's balancer would offer them.
    pub entry_hosts: Vec<SocketAddr>,
    /// What the worker has.
    pub resources: Resources,
    /// Service, slots and connections.
    pub runner: RunnerCapacity,
}

/// A running stand-in runner.
pub struct Agent {
    server: Server,
    tasks: Arc<TaskTable>,
    leaving: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl Agent {
    /// Starts listening and announcing.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub fn start(options: AgentOptions) -> io::Result<Self> {
        let incarnation = announcer::new_incarnation();
        let mut tasks = TaskTable::new(options.runner.slots as usize, incarnation);
        tasks.worker.clone_from(&options.worker);
        let tasks = Arc::new(tasks);
        let serving = Arc::clone(&tasks);
        let handler: Handler = Arc::new(move |request| handle(&serving, &request));
        let server_options = ServerOptions {
            max_connections: options.runner.connections as usize,
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
            runner: Some(options.runner),
            phase: WorkerPhase::Up,
            tasks: indexmap::IndexMap::new(),
            usage: indexmap::IndexMap::new(),
            highest_epoch: 0,
        };
        let leaving = Arc::new(AtomicBool::new(false));
        let stopped = Arc::new(AtomicBool::new(false));
        let announcing = announcer::Announcer {
            announcement,
            entry_hosts: options.entry_hosts,
            tasks: Arc::clone(&tasks),
            leaving: Arc::clone(&leaving),
            stopped: Arc::clone(&stopped),
        };
        thread::Builder::new()
            .name("announcer".to_owned())
            .spawn(move || announcing.run())?;
        Ok(Self {
            server,
            tasks,
            leaving,
            stopped,
        })
    }

    /// Address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Tasks that it executed, for checks in tests.
    pub fn tasks(&self) -> &Arc<TaskTable> {
        &self.tasks
    }

    /// Announces that it is leaving, waits for its tasks, and stops.
    /// Returns whether all tasks ended before the deadline.
    pub fn leave(&self, deadline: Instant) -> bool {
        self.leaving.store(true, Ordering::Release);
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

fn handle(tasks: &Arc<TaskTable>, request: &Request) -> Response {
    let wait = Duration::from_millis(request.query_value("wait_ms").unwrap_or(0));
    let result = match (&request.method, request.segments().as_slice()) {
        (&Method::GET, ["live"]) => return Response::text(200, "live\n"),
        (&Method::GET, ["v1", "executions"]) => return tasks.executions.respond(request),
        (&Method::PUT, ["v1", "tasks", id]) => {
            tasks.create(id, request).map(|()| tasks.wait(id, wait))
        }
        (&Method::GET, ["v1", "tasks", id]) => Ok(tasks.wait(id, wait)),
        (&Method::POST, ["v1", "tasks", id, "cancel"]) => {
            tasks.cancel(id, request).map(|()| tasks.wait(id, wait))
        }
        (&Method::DELETE, ["v1", "tasks", id]) => {
            tasks.forget(id);
            return Response::text(200, "");
        }
        _ => Err(RequestError::did_not_run(
            ErrorCode::NotFound,
            "unknown path",
        )),
    };
    match result {
        Ok(view) => task_response(view),
        Err(error) => Response::error(&error, "")
            .header(headers::TASK_STATE, TaskState::NeverStarted.to_string()),
    }
}

fn task_response(view: TaskView) -> Response {
    let status = if view.state == TaskState::Running {
        202
    } else {
        200
    };
    let checksum = crc32fast::hash(&view.answer);
    Response::bytes(status, view.answer)
        .header(headers::TASK_STATE, view.state.to_string())
        .header(headers::ANSWER_CRC32, checksum.to_string())
}

//! Leases of a stand-in runner whose entry hosts receive its announcements and do not answer.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use hyper::{HeaderMap, Method};
use indexmap::IndexMap;

use jujubewinch::agent::payload::StandInPayload;
use jujubewinch::agent::{Agent, AgentOptions, serve};
use jujubewinch::http::Request;
use jujubewinch::protocol::headers;
use jujubewinch::protocol::worker::RunnerCapacity;
use jujubewinch::resources::Resources;

/// Lease that the placer grants.
const LEASE: Duration = Duration::from_millis(400);
/// Wait for the end of a task; much longer than the lease.
const WAIT_MS: u64 = 10_000;
const EPOCH: u64 = 1;

/// A runner whose first announcement has arrived at an entry host that never answers.
struct Cell {
    agent: Agent,
    _entry_host: TcpListener,
    _announcement: TcpStream,
}

impl Cell {
    fn start() -> Self {
        let entry_host = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let agent = Agent::start(AgentOptions {
            worker: "worker-1".to_owned(),
            data_centre: "erdenet".to_owned(),
            rack: "rack-1".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entry_hosts: vec![entry_host.local_addr().unwrap()],
            resources: Resources::ZERO,
            runner: Some(RunnerCapacity {
                service: "quotes".to_owned(),
                slots: 2,
                connections: 16,
            }),
        })
        .unwrap();
        let (announcement, _) = entry_host.accept().unwrap();
        Self {
            agent,
            _entry_host: entry_host,
            _announcement: announcement,
        }
    }

    /// Sends a create call of the placer for a task without an end and waits for the task. Returns its
    /// last state.
    fn create(&self, task: &str) -> String {
        let incarnation = self.agent.tasks().incarnation();
        let mut fields = HeaderMap::new();
        fields.insert(headers::EPOCH, EPOCH.into());
        fields.insert(headers::INCARNATION, incarnation.into());
        fields.insert(headers::LEASE_MS, (LEASE.as_millis() as u64).into());
        let payload = StandInPayload {
            until_stopped: true,
            ..StandInPayload::default()
        };
        let request = Request {
            method: Method::PUT,
            path: format!("/v1/tasks/{task}"),
            query: IndexMap::from([("wait_ms".to_owned(), WAIT_MS.to_string())]),
            headers: fields,
            body: serde_json::to_vec(&payload).unwrap(),
            peer_address: None,
        };
        let response = serve(self.agent.tasks(), &request);
        let state = response
            .headers
            .iter()
            .find(|(name, _)| name == headers::TASK_STATE);
        state.unwrap().1.clone()
    }
}

/// Guards against a task that runs on after its lease while the placer starts it elsewhere: the end
/// of the lease went unnoticed as long as announcements received no answer.
#[test]
fn a_task_ends_with_its_lease_while_no_entry_host_answers() {
    let cell = Cell::start();
    let lease_ends_at = Instant::now() + LEASE;
    cell.agent.tasks().renew_lease(EPOCH, lease_ends_at);
    let state = cell.create("task-1");
    assert!(
        ["stopped", "never_started"].contains(&state.as_str()),
        "{state}"
    );
}

/// Guards against a restarted runner whose tasks have no lease: the placer has received its first
/// announcement and sends it a task, and the reply that grants the lease is lost.
#[test]
fn a_restarted_runner_has_the_lease_that_its_first_announcement_began() {
    let cell = Cell::start();
    let state = cell.create("task-1");
    assert!(
        ["stopped", "never_started"].contains(&state.as_str()),
        "{state}"
    );
}

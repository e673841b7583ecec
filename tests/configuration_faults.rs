//! Tests of the replicated configuration when hosts lose their storage, lag behind, or are
//! partitioned.

mod cell_support;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use cell_support::{Cell, HOSTS, SPARE, VOTERS, WAIT_TIMEOUT, json_of};
use hyper::Method;
use jujubewinch::agent::{Agent, AgentOptions};
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::protocol::headers;
use jujubewinch::protocol::worker::RunnerCapacity;
use jujubewinch::resources::Resources;
use serde_json::{Value, json};

/// Position of a host that has no data folder and never votes.
const LEARNER: usize = 4;

/// Guards against a quorum that counts a voter whose storage was lost: the voter's empty log would
/// confirm changes and elections while committed entries exist on one voter only.
#[test]
fn voter_with_lost_storage_does_not_count_until_readmitted() {
    let mut cell = Cell::start();
    cell.change_until_accepted(LEARNER, "first", 0, 20);
    let leader = cell.leader();
    let (empty, other) = ((leader + 1) % VOTERS, (leader + 2) % VOTERS);
    let former = cell.incarnation(empty);
    cell.crash(empty);
    cell.crash(other);
    cell.restart_empty(empty);
    let rejected = cell.change(LEARNER, "second", 1, 30);
    assert_ne!(rejected.status, 200, "{}", json_of(&rejected));
    assert_eq!(cell.version(leader), 1);
    cell.restart(other);
    cell.change_until_accepted(LEARNER, "second", 1, 30);
    cell.wait_for_readmission(empty, &former);
    cell.wait_for_version(2);
}

/// Guards against a readmitted voter that votes before it has all committed changes.
#[test]
fn second_voter_may_be_lost_right_after_readmission_of_the_first() {
    let mut cell = Cell::start();
    cell.change_until_accepted(LEARNER, "first", 0, 20);
    let repaired = cell.follower();
    let former = cell.incarnation(repaired);
    cell.crash(repaired);
    cell.change_until_accepted(LEARNER, "second", 1, 30);
    cell.restart_empty(repaired);
    cell.wait_for_readmission(repaired, &former);
    let leader = cell.leader();
    cell.crash(leader);
    cell.change_until_accepted(LEARNER, "third", 2, 40);
    cell.wait_for_version(3);
}

/// Guards against catch-up that transfers the state twice, that sends the missed changes again
/// after the transfer, or that reverts a version meanwhile.
#[test]
fn hosts_that_missed_600_changes_catch_up_by_one_transfer() {
    let mut cell = Cell::start_with_log_of(Some(128));
    cell.change_until_accepted(0, "first", 0, 20);
    let voter = cell.follower();
    cell.crash(voter);
    cell.crash(LEARNER);
    let leader = cell.leader();
    for version in 1..=600 {
        let value = 1 + version % 90;
        cell.change_until_accepted(leader, &format!("change-{version}"), version, value);
    }
    let state = cell.host(leader).configuration().snapshot().unwrap();
    let name = |position| format!("host-{position}");
    let sent = |cell: &Cell, to| cell.links.sent_bytes_to(&name(leader), &name(to));
    let before: Vec<u64> = (0..HOSTS).map(|to| sent(&cell, to)).collect();
    cell.restart(voter);
    cell.restart(LEARNER);
    cell.wait_for_version(601);
    for host in [voter, LEARNER] {
        let bytes = sent(&cell, host) - before[host];
        // Two transfers of the state would take twice its size.
        let bound = state.len() as u64 * 3 / 2;
        assert!(
            bytes < bound,
            "host {host}: {bytes} bytes, state {}",
            state.len()
        );
        let status = cell.host(host).configuration_status().unwrap();
        assert!(
            status.log_entries < 300,
            "host {host}: {}",
            status.log_entries
        );
    }
}

fn submit(cell: &Cell, host: usize) -> ClientResponse {
    let url = format!("http://{}/v1/requests", cell.host(host).caller_address());
    let mut request = ClientRequest::new(Method::POST, url, Instant::now() + WAIT_TIMEOUT)
        .header(headers::SERVICE, "quotes")
        .header(headers::IDEMPOTENT, "true")
        .header(headers::TIMEOUT_MS, "10000");
    request.body = b"three wheels".to_vec();
    cell.client.send(request).expect("the host answers")
}

fn start_runner(cell: &Cell, host: usize) -> Agent {
    Agent::start(AgentOptions {
        worker: "w1".to_owned(),
        data_centre: format!("dc-{host}"),
        rack: "r1".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        entry_hosts: vec![cell.host(host).caller_address()],
        resources: Resources::ZERO,
        runner: Some(RunnerCapacity {
            service: "quotes".to_owned(),
            slots: 1,
            connections: 8,
        }),
    })
    .expect("a free port is available")
}

/// Sends a membership operation to the host at position `at`; returns status and body.
fn change_replicas(cell: &Cell, at: usize, path: &str, fields: Value) -> (u16, Value) {
    let mut body = fields;
    body["reason"] = json!("disk failed");
    let reply = cell.call(at, Method::POST, &format!("/v1/replicas/{path}"), &body);
    (reply.status, json_of(&reply))
}

/// Guards against a voter that confirms entries it cannot store, that stops serving requests when
/// its storage fails, or that operators cannot identify and replace.
#[test]
fn voter_that_cannot_write_is_listed_and_replaced_while_it_serves() {
    let mut cell = Cell::start();
    cell.change_until_accepted(LEARNER, "first", 0, 20);
    cell.wait_for_version(1);
    let (leader, faulty) = (cell.leader(), cell.follower());
    cell.wait("the faulty host is ready", |cell| cell.is_ready(faulty));
    let _runner = start_runner(&cell, faulty);
    // An election stores its term in a new file, which cannot be created in a missing folder.
    fs::rename(
        cell.log_folder(faulty),
        cell.log_folder(faulty).with_extension("away"),
    )
    .unwrap();
    cell.crash(leader);
    cell.wait("the voter is faulty", |cell| {
        cell.replica(LEARNER, faulty)["phase"] == "faulty"
    });
    let listed = cell.replica(LEARNER, faulty);
    assert!(listed["fault"].is_string(), "{listed}");
    let answer = submit(&cell, faulty);
    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!((answer.status, text.as_ref()), (200, "three wheels"));
    cell.restart(leader);
    cell.change_until_accepted(LEARNER, "second", 1, 30);
    let path = format!("host-{faulty}/replace");
    let (status, reply) = change_replicas(
        &cell,
        LEARNER,
        &path,
        json!({ "new": format!("host-{SPARE}") }),
    );
    assert_eq!(
        (status, &reply["outcome"]),
        (200, &json!("done")),
        "{reply}"
    );
    assert_eq!(reply["done"].as_array().map(Vec::len), Some(3), "{reply}");
    cell.wait_for_vote(SPARE);
    assert_ne!(cell.replica(cell.leader(), faulty)["role"], "voter");
    let (_, repeated) = change_replicas(
        &cell,
        LEARNER,
        &path,
        json!({ "new": format!("host-{SPARE}") }),
    );
    assert_eq!(repeated["outcome"], "done", "{repeated}");
}

/// Guards against a membership change after which the voters have no quorum.
#[test]
fn membership_changes_that_lose_the_quorum_are_rejected() {
    let mut cell = Cell::start();
    cell.change_until_accepted(LEARNER, "first", 0, 20);
    let leader = cell.leader();
    let (lost, kept) = ((leader + 1) % VOTERS, (leader + 2) % VOTERS);
    cell.wait("the spare host receives the log", |cell| {
        cell.replica(leader, SPARE)["role"] == "learner"
    });
    cell.crash(lost);
    let cases = [
        (format!("host-{kept}/remove"), json!({}), "lose its quorum"),
        (format!("host-{LEARNER}/promote"), json!({}), "data_folder"),
        (format!("host-{lost}/promote"), json!({}), "voter already"),
        (
            format!("host-{lost}/replace"),
            json!({ "new": format!("host-{LEARNER}") }),
            "data_folder",
        ),
        (
            format!("host-{SPARE}/replace"),
            json!({ "new": format!("host-{LEARNER}") }),
            "not a voter",
        ),
    ];
    for (path, fields, message) in cases {
        let (status, reply) = change_replicas(&cell, LEARNER, &path, fields);
        assert!(
            reply.to_string().contains(message),
            "{path}: {status} {reply}"
        );
        let membership = cell.host(leader).configuration_status().unwrap().membership;
        assert_eq!(membership.voters().count(), VOTERS, "{path}");
    }
    let path = format!("host-{lost}/replace");
    let (status, reply) = change_replicas(
        &cell,
        LEARNER,
        &path,
        json!({ "new": format!("host-{SPARE}") }),
    );
    assert_eq!(status, 200, "{reply}");
    // The leader transfers the leadership before it is removed.
    let path = format!("host-{leader}/remove");
    let (status, reply) = change_replicas(&cell, LEARNER, &path, json!({}));
    assert_eq!(status, 200, "{reply}");
    cell.change_until_accepted(LEARNER, "second", 1, 30);
}

/// Guards against a restarted host that serves with an older version than it applied before the
/// restart: a limit or drain set by an operator would be reverted until the host receives the log.
#[test]
fn restarted_host_serves_no_older_version() {
    let mut cell = Cell::start();
    for version in 0..20 {
        cell.change_until_accepted(0, &format!("change-{version}"), version, 20 + version);
    }
    cell.wait_for_version(20);
    for host in [cell.follower(), LEARNER, cell.leader()] {
        cell.crash(host);
        cell.restart(host);
        cell.wait("the host is ready", |cell| cell.is_ready(host));
        assert!(
            cell.version(host) >= 20,
            "host {host}: {}",
            cell.version(host)
        );
    }
}

/// Guards against a partitioned data centre that stops serving, that does not report that it may
/// lag behind, or that reverts to an older version when the partition ends.
#[test]
fn partitioned_data_centre_serves_and_never_reverts_its_version() {
    let cell = Cell::start();
    cell.change_until_accepted(0, "first", 0, 20);
    cell.wait_for_version(1);
    cell.wait("the learner is ready", |cell| cell.is_ready(LEARNER));
    let _runner = start_runner(&cell, LEARNER);
    assert_eq!(cell.replica(0, LEARNER)["behind"], 0);
    cell.set_cut(LEARNER, true);
    cell.change_until_accepted(0, "second", 1, 30);
    cell.change_until_accepted(0, "third", 2, 40);
    let log = |cell: &Cell| {
        let path = "/v1/configuration/status";
        json_of(&cell.call(LEARNER, Method::GET, path, &Value::Null))["log"].clone()
    };
    cell.wait("the partition is detected", |cell| {
        log(cell)["has_quorum"] == json!(false)
    });
    assert_eq!(cell.version(LEARNER), 1);
    assert_eq!(cell.replica(0, LEARNER)["behind"], 2);
    let answer = submit(&cell, LEARNER);
    assert_eq!(
        answer.status,
        200,
        "{}",
        String::from_utf8_lossy(&answer.body)
    );
    cell.set_cut(LEARNER, false);
    let mut latest = 1;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while latest < 3 {
        let version = cell.version(LEARNER);
        assert!(version >= latest, "{version} after {latest}");
        assert!(Instant::now() < deadline, "version {version}");
        latest = version;
    }
    cell.wait("the learner hears from the leader again", |cell| {
        log(cell)["has_quorum"] == json!(true)
    });
}

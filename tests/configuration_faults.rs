//! The replicated configuration when hosts lose their storage, fall behind, or are cut off.

mod cell_support;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use cell_support::{Cell, HOSTS, PATIENCE, SPARE, VOTERS, json_of};
use hyper::Method;
use jujubewinch::agent::{Agent, AgentOptions};
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::protocol::headers;
use jujubewinch::protocol::worker::RunnerCapacity;
use jujubewinch::resources::Resources;
use serde_json::{Value, json};

/// A host that never votes and has no folder.
const LEARNER: usize = 4;

/// Guards against a quorum that counts a voter whose storage was lost: its empty log would confirm
/// changes and elections while committed entries exist on one voter only.
#[test]
fn an_empty_voter_counts_for_nothing_until_readmitted() {
    let mut cell = Cell::start();
    cell.change_until_accepted(LEARNER, "first", 0, 20);
    let leader = cell.leader();
    let (empty, other) = ((leader + 1) % VOTERS, (leader + 2) % VOTERS);
    let former = cell.incarnation(empty);
    cell.crash(empty);
    cell.crash(other);
    cell.restart_empty(empty);
    let refused = cell.change(LEARNER, "second", 1, 30);
    assert_ne!(refused.status, 200, "{}", json_of(&refused));
    assert_eq!(cell.version(leader), 1);
    cell.restart(other);
    cell.change_until_accepted(LEARNER, "second", 1, 30);
    cell.wait_for_readmission(empty, &former);
    cell.wait_for_version(2);
}

/// Guards against a repaired voter that votes without having all committed changes.
#[test]
fn a_second_voter_may_be_lost_right_after_a_repair() {
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

/// Guards against catch-up that repeats a transfer, sends every missed change after it again, or
/// reverts a version on the way.
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
    let mut request = ClientRequest::new(Method::POST, url, Instant::now() + PATIENCE)
        .header(headers::SERVICE, "quotes")
        .header(headers::IDEMPOTENT, "true")
        .header(headers::TIMEOUT_MS, "10000");
    request.body = b"three wheels".to_vec();
    cell.client.send(request).expect("the host answers")
}

fn runner(cell: &Cell, host: usize) -> Agent {
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

fn operate(cell: &Cell, at: usize, path: &str, fields: Value) -> (u16, Value) {
    let mut body = fields;
    body["reason"] = json!("disk failed");
    let reply = cell.call(at, Method::POST, &format!("/v1/replicas/{path}"), &body);
    (reply.status, json_of(&reply))
}

/// Guards against a voter that confirms what it cannot store, that takes requests down with it, or
/// that operators cannot find and replace.
#[test]
fn a_voter_that_cannot_write_is_listed_and_replaced_while_it_serves() {
    let mut cell = Cell::start();
    cell.change_until_accepted(LEARNER, "first", 0, 20);
    cell.wait_for_version(1);
    let (leader, faulty) = (cell.leader(), cell.follower());
    cell.wait("the faulty host is ready", |cell| cell.is_ready(faulty));
    let _runner = runner(&cell, faulty);
    // New files cannot be made in a folder that is not there; the term of an election needs one.
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
    let (status, reply) = operate(
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
    let (_, again) = operate(
        &cell,
        LEARNER,
        &path,
        json!({ "new": format!("host-{SPARE}") }),
    );
    assert_eq!(again["outcome"], "done", "{again}");
}

/// Guards against a change of the members that leaves a group unable to accept changes.
#[test]
fn members_are_not_changed_at_the_cost_of_the_quorum() {
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
        let (status, reply) = operate(&cell, LEARNER, &path, fields);
        assert!(
            reply.to_string().contains(message),
            "{path}: {status} {reply}"
        );
        let voters = cell.host(leader).configuration_status().unwrap().membership;
        assert_eq!(voters.voters().count(), VOTERS, "{path}");
    }
    let path = format!("host-{lost}/replace");
    let (status, reply) = operate(
        &cell,
        LEARNER,
        &path,
        json!({ "new": format!("host-{SPARE}") }),
    );
    assert_eq!(status, 200, "{reply}");
    // The leader hands over before it is removed.
    let path = format!("host-{leader}/remove");
    let (status, reply) = operate(&cell, LEARNER, &path, json!({}));
    assert_eq!(status, 200, "{reply}");
    cell.change_until_accepted(LEARNER, "second", 1, 30);
}

/// Guards against a restarted host that serves with an older version than it applied before: a
/// limit or drain set by an operator would be reverted until the log arrives.
#[test]
fn a_host_that_returns_serves_no_older_version() {
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

/// Guards against a partitioned data centre that stops, that hides that it may be behind, or that
/// goes back to an older version when the partition ends.
#[test]
fn a_data_centre_that_is_cut_off_serves_and_only_moves_forward() {
    let cell = Cell::start();
    cell.change_until_accepted(0, "first", 0, 20);
    cell.wait_for_version(1);
    cell.wait("the learner is ready", |cell| cell.is_ready(LEARNER));
    let _runner = runner(&cell, LEARNER);
    assert_eq!(cell.replica(0, LEARNER)["behind"], 0);
    cell.set_cut(LEARNER, true);
    cell.change_until_accepted(0, "second", 1, 30);
    cell.change_until_accepted(0, "third", 2, 40);
    let log = |cell: &Cell| {
        let path = "/v1/configuration/status";
        json_of(&cell.call(LEARNER, Method::GET, path, &Value::Null))["log"].clone()
    };
    cell.wait("the cut is noticed", |cell| {
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
    let deadline = Instant::now() + PATIENCE;
    while latest < 3 {
        let version = cell.version(LEARNER);
        assert!(version >= latest, "{version} after {latest}");
        assert!(Instant::now() < deadline, "version {version}");
        latest = version;
    }
    cell.wait("the log is followed again", |cell| {
        log(cell)["has_quorum"] == json!(true)
    });
}

//! Tests of the replicated configuration across changes of the leader.

mod cell_support;

use std::thread;
use std::time::{Duration, Instant};

use cell_support::{Cell, HOSTS, VOTERS, WAIT_TIMEOUT, json_of};
use jujubewinch::http::client::ClientResponse;
use serde_json::json;

/// Guards against an accepted change that does not reach every host, is lost with the leader, or is
/// reverted by a restarted host.
#[test]
fn accepted_changes_reach_all_hosts_and_survive_loss_of_the_leader() {
    let mut cell = Cell::start();
    cell.change_until_accepted(4, "first", 0, 20);
    cell.wait_for_version(1);
    let leader = cell.leader();
    cell.crash(leader);
    cell.change_until_accepted(3, "second", 1, 30);
    cell.wait_for_version(2);
    cell.restart(leader);
    let other = (leader + 1) % VOTERS;
    cell.wait_for_version(2);
    cell.crash(other);
    cell.change_until_accepted(leader, "third", 2, 40);
    cell.wait_for_version(3);
    for position in cell.running() {
        let content = cell.host(position).configuration().read();
        assert_eq!(content.version(), 3, "host {position}");
    }
}

/// Guards against two accepted changes for one version, and against a conflict that does not name
/// the accepted change.
#[test]
fn one_of_several_concurrent_changes_is_accepted() {
    let cell = Cell::start();
    cell.change_until_accepted(0, "start", 0, 11);
    let replies: Vec<ClientResponse> = thread::scope(|scope| {
        let racing: Vec<_> = (0..HOSTS)
            .map(|host| {
                let cell = &cell;
                scope.spawn(move || cell.change(host, &format!("race-{host}"), 1, 20 + host as u64))
            })
            .collect();
        racing
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let statuses: Vec<u16> = replies.iter().map(|reply| reply.status).collect();
    assert_eq!(
        statuses.iter().filter(|status| **status == 200).count(),
        1,
        "{statuses:?}"
    );
    let winner = statuses.iter().position(|status| *status == 200).unwrap();
    for (host, reply) in replies
        .iter()
        .enumerate()
        .filter(|(host, _)| *host != winner)
    {
        let body = json_of(reply);
        assert_eq!(reply.status, 409, "{body}");
        assert!(
            body.to_string().contains(&format!("race-{winner}")),
            "host {host}: {body}"
        );
    }
    cell.wait_for_version(2);
}

/// Guards against a change that is applied twice when it is resent to another host after the loss
/// of the leader.
#[test]
fn resent_change_returns_its_first_outcome_after_a_leader_change() {
    let mut cell = Cell::start();
    cell.change_until_accepted(3, "once", 0, 20);
    cell.change_until_accepted(3, "next", 1, 30);
    let leader = cell.leader();
    cell.crash(leader);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let reply = loop {
        let reply = cell.change(4, "once", 0, 20);
        if reply.status == 200 {
            break json_of(&reply);
        }
        assert!(
            Instant::now() < deadline,
            "{}",
            String::from_utf8_lossy(&reply.body)
        );
        thread::sleep(Duration::from_millis(100));
    };
    assert_eq!(reply["version"], json!(1), "{reply}");
    for position in cell.running() {
        assert_eq!(cell.version(position), 2, "host {position}");
    }
}

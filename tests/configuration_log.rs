//! The configuration of several entry hosts over real sockets and folders.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use hyper::Method;
use jujubewinch::entry_host::EntryHost;
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::http::{Client, ClientOptions};
use jujubewinch::options::Settings;
use serde_json::{Value, json};
use tempfile::TempDir;

const PATIENCE: Duration = Duration::from_secs(90);
const HOSTS: usize = 5;
/// The first hosts vote; the others receive the log only.
const VOTERS: usize = 3;
const FIGURE: &str = "retry.budget_percent";

fn settings(folder: &Path, peers: &[SocketAddr], position: usize) -> Settings {
    let mut text = format!(
        "[host]\nid = \"host-{position}\"\n{}\
         [listeners]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"{}\"\n\
         [cell]\nname = \"test\"\n[timing]\ndrain_delay_ms = 0\n",
        if position < VOTERS {
            format!("data_folder = {:?}\n", folder.join(position.to_string()))
        } else {
            String::new()
        },
        peers[position]
    );
    for (number, address) in peers.iter().enumerate() {
        text += &format!(
            "[[cell.hosts]]\nid = \"host-{number}\"\ndata_centre = \"dc-{number}\"\n\
             region = \"region-{number}\"\npeers = \"{address}\"\nvotes = {}\n",
            number < VOTERS
        );
    }
    Settings::parse(&text, "test.toml").expect("the settings are valid")
}

/// Ports that were free a moment ago; the hosts must know each other's before they are bound.
fn free_ports() -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let listeners: Vec<TcpListener> = (0..HOSTS).map(bind).collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}

struct Cell {
    folder: TempDir,
    peers: Vec<SocketAddr>,
    hosts: Vec<Option<EntryHost>>,
    client: Client,
}

impl Cell {
    fn start() -> Self {
        for _ in 0..10 {
            let (folder, peers) = (TempDir::new().unwrap(), free_ports());
            let mut hosts = Vec::new();
            for position in 0..HOSTS {
                match EntryHost::start(settings(folder.path(), &peers, position)) {
                    Ok(host) => hosts.push(Some(host)),
                    // Another process took the port meanwhile.
                    Err(error) if error.kind() == ErrorKind::AddrInUse => break,
                    Err(error) => panic!("host {position} does not start: {error}"),
                }
            }
            if hosts.len() == HOSTS {
                return Self {
                    folder,
                    peers,
                    hosts,
                    client: Client::new(ClientOptions::default()),
                };
            }
            hosts.iter().flatten().for_each(EntryHost::stop);
        }
        panic!("no free ports");
    }

    fn host(&self, position: usize) -> &EntryHost {
        self.hosts[position].as_ref().expect("the host is running")
    }

    fn crash(&mut self, position: usize) {
        self.hosts[position]
            .take()
            .expect("the host is running")
            .stop();
    }

    fn restart(&mut self, position: usize) {
        let settings = settings(self.folder.path(), &self.peers, position);
        let deadline = Instant::now() + PATIENCE;
        loop {
            match EntryHost::start(settings.clone()) {
                Ok(host) => {
                    self.hosts[position] = Some(host);
                    return;
                }
                Err(error) => {
                    assert!(Instant::now() < deadline, "host {position}: {error}");
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..HOSTS).filter(|position| self.hosts[*position].is_some())
    }

    fn version(&self, position: usize) -> u64 {
        self.host(position).configuration().read().version()
    }

    fn change(&self, at: usize, id: &str, expected_version: u64, value: u64) -> ClientResponse {
        let url = format!(
            "http://{}/v1/defaults/{FIGURE}",
            self.host(at).admin_address()
        );
        let mut request = ClientRequest::new(Method::PUT, url, Instant::now() + PATIENCE)
            .header("content-type", "application/json");
        let body = json!({
            "change_id": id, "expected_version": expected_version, "author": "saran",
            "reason": "test", "value": value,
        });
        request.body = body.to_string().into_bytes();
        self.client.send(request).expect("the host answers")
    }

    /// Sends a change until it is accepted, as an operator's client does with the same id.
    fn change_until_accepted(&self, at: usize, id: &str, expected_version: u64, value: u64) {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let response = self.change(at, id, expected_version, value);
            if response.status == 200 {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{}",
                String::from_utf8_lossy(&response.body)
            );
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn wait_for_version(&self, version: u64) {
        let deadline = Instant::now() + PATIENCE;
        while self
            .running()
            .any(|position| self.version(position) < version)
        {
            assert!(
                Instant::now() < deadline,
                "version {version} is not in effect everywhere"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn leader(&self) -> usize {
        let deadline = Instant::now() + PATIENCE;
        loop {
            for position in self.running().filter(|position| *position < VOTERS) {
                let status = self.host(position).configuration_status().unwrap();
                if status.leader == Some(format!("host-{position}")) {
                    return position;
                }
            }
            assert!(Instant::now() < deadline, "no leader");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn json_of(response: &ClientResponse) -> Value {
    serde_json::from_slice(&response.body).unwrap()
}

/// Guards against an accepted change that is missing somewhere, lost with the leader, or reverted
/// by a host that returns.
#[test]
fn accepted_changes_reach_all_hosts_and_survive_the_leader() {
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

/// Guards against two winners of one version, and a loser that is not told who won.
#[test]
fn of_changes_with_equal_versions_one_wins() {
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

/// Guards against a resent change that is applied twice, at another host after the leader is lost.
#[test]
fn a_resent_change_gets_its_first_outcome_after_a_change_of_leader() {
    let mut cell = Cell::start();
    cell.change_until_accepted(3, "once", 0, 20);
    cell.change_until_accepted(3, "next", 1, 30);
    let leader = cell.leader();
    cell.crash(leader);
    let deadline = Instant::now() + PATIENCE;
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

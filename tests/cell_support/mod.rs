//! Starts cells of several entry hosts in one process, over real sockets and folders.

// Each test file uses a different part of this module.
#![allow(dead_code)]

use std::fs;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hyper::Method;
use jujubewinch::entry_host::{EntryHost, StartOptions};
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::http::{Client, ClientOptions};
use jujubewinch::options::Settings;
use jujubewinch::peer::LinkConditions;
use jujubewinch::replication::ReplicaStatus;
use serde_json::{Value, json};
use tempfile::TempDir;

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
pub const HOSTS: usize = 5;
/// Number of voters. The first hosts vote; the others are learners.
pub const VOTERS: usize = 3;
pub const FIGURE: &str = "retry.budget_percent";

/// Position of the learner with a data folder, which can be promoted.
pub const SPARE: usize = 3;

fn settings(folder: &Path, peers: &[SocketAddr], position: usize) -> Settings {
    let mut text = format!(
        "[host]\nid = \"host-{position}\"\n{}\
         [listeners]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"{}\"\n\
         [cell]\nname = \"test\"\n[timing]\ndrain_delay_ms = 0\n",
        if position <= SPARE {
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

/// Returns addresses whose ports were free. Another process may take a port before a host binds it,
/// but the hosts must know all addresses before they start.
fn free_ports() -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let listeners: Vec<TcpListener> = (0..HOSTS).map(bind).collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}

pub struct Cell {
    folder: TempDir,
    peers: Vec<SocketAddr>,
    pub links: Arc<LinkConditions>,
    max_log_entries: Option<u64>,
    hosts: Vec<Option<EntryHost>>,
    pub client: Client,
}

impl Cell {
    pub fn start() -> Self {
        Self::start_with_log_of(None)
    }

    /// Starts a cell whose configuration log takes a snapshot after `max_log_entries` entries.
    pub fn start_with_log_of(max_log_entries: Option<u64>) -> Self {
        for _ in 0..10 {
            let mut cell = Self {
                folder: TempDir::new().unwrap(),
                peers: free_ports(),
                links: Arc::default(),
                max_log_entries,
                hosts: Vec::new(),
                client: Client::new(ClientOptions::default()),
            };
            for position in 0..HOSTS {
                match cell.start_host(position) {
                    Ok(host) => cell.hosts.push(Some(host)),
                    // Another process has taken the port.
                    Err(error) if error.kind() == ErrorKind::AddrInUse => break,
                    Err(error) => panic!("host {position} does not start: {error}"),
                }
            }
            if cell.hosts.len() == HOSTS {
                return cell;
            }
            cell.hosts.iter().flatten().for_each(EntryHost::stop);
        }
        panic!("no free ports");
    }

    fn start_host(&self, position: usize) -> std::io::Result<EntryHost> {
        let settings = settings(self.folder.path(), &self.peers, position);
        let options = StartOptions {
            links: Some(Arc::clone(&self.links)),
            max_configuration_log_entries: self.max_log_entries,
        };
        EntryHost::start_with_options(settings, options)
    }

    pub fn host(&self, position: usize) -> &EntryHost {
        self.hosts[position].as_ref().expect("the host is running")
    }

    pub fn crash(&mut self, position: usize) {
        self.hosts[position]
            .take()
            .expect("the host is running")
            .stop();
    }

    pub fn restart(&mut self, position: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.start_host(position) {
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

    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..HOSTS).filter(|position| self.hosts[*position].is_some())
    }

    pub fn version(&self, position: usize) -> u64 {
        self.host(position).configuration().read().version()
    }

    pub fn change(&self, at: usize, id: &str, expected_version: u64, value: u64) -> ClientResponse {
        let url = format!(
            "http://{}/v1/defaults/{FIGURE}",
            self.host(at).admin_address()
        );
        let mut request = ClientRequest::new(Method::PUT, url, Instant::now() + WAIT_TIMEOUT)
            .header("content-type", "application/json");
        let body = json!({
            "change_id": id, "expected_version": expected_version, "author": "saran",
            "reason": "test", "value": value,
        });
        request.body = body.to_string().into_bytes();
        self.client.send(request).expect("the host answers")
    }

    /// Retries a change with the same id until it is accepted, as an operator's client does.
    pub fn change_until_accepted(&self, at: usize, id: &str, expected_version: u64, value: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let response = self.change(at, id, expected_version, value);
            if response.status == 200 {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{}\n{:#?}",
                String::from_utf8_lossy(&response.body),
                self.statuses()
            );
            thread::sleep(Duration::from_millis(100));
        }
    }

    pub fn wait_for_version(&self, version: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
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

    /// Returns the folder of a host's configuration log.
    pub fn log_folder(&self, position: usize) -> PathBuf {
        let folder = self.folder.path().join(position.to_string());
        folder.join("configuration")
    }

    /// Starts a crashed host with an empty folder.
    pub fn restart_empty(&mut self, position: usize) {
        fs::remove_dir_all(self.log_folder(position)).unwrap();
        self.restart(position);
    }

    /// Cuts or restores all links of a host.
    pub fn set_cut(&self, position: usize, cut: bool) {
        for other in (0..HOSTS).filter(|other| *other != position) {
            let (host, other) = (format!("host-{position}"), format!("host-{other}"));
            self.links.set_cut(&host, &other, cut);
        }
    }

    /// Calls the administration interface of a host.
    pub fn call(&self, at: usize, method: Method, path: &str, body: &Value) -> ClientResponse {
        let url = format!("http://{}{path}", self.host(at).admin_address());
        let mut request = ClientRequest::new(method, url, Instant::now() + WAIT_TIMEOUT);
        if !body.is_null() {
            request.body = body.to_string().into_bytes();
        }
        self.client.send(request).expect("the host answers")
    }

    /// Returns the entry of a host in the list of replicas reported by the host `at`.
    pub fn replica(&self, at: usize, position: usize) -> Value {
        let list = json_of(&self.call(at, Method::GET, "/v1/replicas", &Value::Null));
        list["replicas"][position].clone()
    }

    /// Waits until a condition holds; `what` describes it in the failure message.
    pub fn wait(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "not in time: {what}");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns whether the host passes the readiness check of the load balancer.
    pub fn is_ready(&self, position: usize) -> bool {
        let url = format!("http://{}/ready", self.host(position).caller_address());
        let request = ClientRequest::new(Method::GET, url, Instant::now() + WAIT_TIMEOUT);
        let response = self.client.send(request);
        response.is_ok_and(|response| response.status == 200)
    }

    /// Waits until the leader lists the host as a voter with its current storage.
    pub fn wait_for_vote(&self, position: usize) {
        self.wait("the host votes", |cell| {
            // Until the leader learns of new storage, its list shows the former incarnation.
            let status = cell.host(position).configuration_status().unwrap();
            let id = format!("host-{position}");
            status
                .committed_membership
                .is_voter(&id, status.incarnation)
                && cell.replica(cell.leader(), position)["role"] == "voter"
        });
    }

    /// Returns the state of the log on all running hosts, for failure messages.
    fn statuses(&self) -> Vec<(usize, Option<ReplicaStatus>)> {
        let running = self.running();
        running
            .map(|position| (position, self.host(position).configuration_status()))
            .collect()
    }

    /// Returns the identity of a host's storage as listed by the leader.
    pub fn incarnation(&self, position: usize) -> Value {
        self.replica(self.leader(), position)["incarnation"].clone()
    }

    /// Waits until the host votes with storage other than `former`. The role alone does not show
    /// this: the leader may not have noticed the restart yet.
    pub fn wait_for_readmission(&self, position: usize, former: &Value) {
        self.wait("the host is re-admitted", |cell| {
            let replica = cell.replica(cell.leader(), position);
            replica["role"] == "voter" && replica["incarnation"] != *former
        });
    }

    /// Returns a voter that does not lead.
    pub fn follower(&self) -> usize {
        (self.leader() + 1) % VOTERS
    }

    pub fn leader(&self) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
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

pub fn json_of(response: &ClientResponse) -> Value {
    serde_json::from_slice(&response.body).unwrap()
}

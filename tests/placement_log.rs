//! Tests of entry hosts that share a replicated placement log, or keep it on one disk.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use hyper::Method;
use jujubewinch::agent::{Agent, AgentOptions};
use jujubewinch::entry_host::EntryHost;
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::http::{Client, ClientOptions};
use jujubewinch::options::Settings;
use jujubewinch::protocol::headers;
use jujubewinch::protocol::worker::RunnerCapacity;
use jujubewinch::replication::ReplicaPhase;
use jujubewinch::resources::Resources;
use tempfile::TempDir;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const GROUP: &str = "placement/erdenet";

/// Returns the settings of a data centre with a single host that has a disk.
fn single_host_settings(folder: &Path) -> Settings {
    let peers = [SocketAddr::from((Ipv4Addr::LOCALHOST, 0))];
    let mut settings = settings(&[("erdenet", "")], &peers, 0);
    settings.host.data_folder = Some(folder.to_owned());
    settings
}

/// Returns the settings of the host at a position. `hosts` holds for each host its data centre and
/// the data centre for which it is a witness; the latter is empty for other hosts.
fn settings(hosts: &[(&str, &str)], peers: &[SocketAddr], position: usize) -> Settings {
    let mut text = format!(
        "[host]\nid = \"host-{position}\"\n\
         [listeners]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"{}\"\n\
         [cell]\nname = \"test\"\n[timing]\ndrain_delay_ms = 0\n",
        peers[position]
    );
    for (number, ((data_centre, witnessed), address)) in hosts.iter().zip(peers).enumerate() {
        text += &format!(
            "[[cell.hosts]]\nid = \"host-{number}\"\ndata_centre = \"{data_centre}\"\n\
             region = \"orkhon\"\npeers = \"{address}\"\n"
        );
        if !witnessed.is_empty() {
            text += &format!("witness_for = \"{witnessed}\"\n");
        }
    }
    Settings::parse(&text, "test.toml").expect("the settings are valid")
}

/// Returns addresses with ports that were free a moment ago. The hosts must know each other's ports
/// before they bind them.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    let address = |listener: &TcpListener| listener.local_addr().unwrap();
    listeners.iter().map(address).collect()
}

/// Starts all hosts. Retries with other ports when another process has bound one in the meantime.
fn start_hosts(hosts: &[(&str, &str)]) -> Vec<EntryHost> {
    let mut port_conflicts = 0;
    'ports: loop {
        let peers = free_ports(hosts.len());
        let mut started = Vec::new();
        for position in 0..hosts.len() {
            match EntryHost::start(settings(hosts, &peers, position)) {
                Ok(host) => started.push(host),
                Err(error) if error.kind() == ErrorKind::AddrInUse && port_conflicts < 10 => {
                    started.iter().for_each(EntryHost::stop);
                    port_conflicts += 1;
                    continue 'ports;
                }
                Err(error) => panic!("host {position} does not start: {error}"),
            }
        }
        return started;
    }
}

struct Cell {
    hosts: Vec<EntryHost>,
    runner: Agent,
    client: Client,
}

impl Cell {
    fn start(hosts: &[(&str, &str)]) -> Self {
        Self::with_runner(start_hosts(hosts))
    }

    fn with_runner(started: Vec<EntryHost>) -> Self {
        let runner = Agent::start(AgentOptions {
            worker: "worker-1".to_owned(),
            data_centre: "erdenet".to_owned(),
            rack: "rack-1".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entry_hosts: started.iter().map(EntryHost::caller_address).collect(),
            resources: Resources::ZERO,
            runner: Some(RunnerCapacity {
                service: "quotes".to_owned(),
                slots: 2,
                connections: 64,
            }),
        })
        .expect("a free port is available");
        Self {
            hosts: started,
            runner,
            client: Client::new(ClientOptions::default()),
        }
    }

    /// Sends a request to a host until it succeeds; retries only when the request was refused and did
    /// not run.
    fn submit(&self, host: usize, key: &str) -> ClientResponse {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let url = format!("http://{}/v1/requests", self.hosts[host].caller_address());
            let mut request = ClientRequest::new(Method::POST, url, deadline)
                .header(headers::SERVICE, "quotes")
                .header(headers::TIMEOUT_MS, "10000")
                .header(headers::IDEMPOTENCY_KEY, key);
            request.body = b"confirm cart 7".to_vec();
            let response = self.client.send(request).expect("the entry host answers");
            if response.status == 200 {
                return response;
            }
            let verdict = response.header(headers::VERDICT);
            assert_eq!(verdict, Some("did_not_run"), "{}", response.status);
            assert!(Instant::now() < deadline, "still refused");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn phase(&self, host: usize) -> ReplicaPhase {
        self.hosts[host].placement_status()[GROUP].phase.clone()
    }

    fn leader(&self, among: &[usize]) -> usize {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let leads = |host: &&usize| self.phase(**host) == ReplicaPhase::Leader;
            if let Some(host) = among.iter().find(leads) {
                return *host;
            }
            assert!(Instant::now() < deadline, "no leader");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn fresh_key(text: &str) -> String {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    format!("erdenet.{}.{text}", now.unwrap().as_secs())
}

/// Guards against a second run, or a different answer, when the placer is lost between a request
/// and its retry, and against a data centre that elects no new placer.
#[test]
fn a_retry_after_the_loss_of_the_placer_gets_the_first_answer() {
    let cell = Cell::start(&[("erdenet", ""); 3]);
    let key = fresh_key("confirmation");
    let first = cell.submit(0, &key);
    let leader = cell.leader(&[0, 1, 2]);
    cell.hosts[leader].stop();
    let others: Vec<usize> = (0..3).filter(|host| *host != leader).collect();
    for host in &others {
        let retried = cell.submit(*host, &key);
        assert_eq!(retried.body, first.body);
    }
    assert!(others.contains(&cell.leader(&others)));
    assert_eq!(cell.runner.tasks().started(), 1);
    cell.submit(others[0], &fresh_key("another"));
    assert_eq!(cell.runner.tasks().started(), 2);
}

/// Guards against a witness in another data centre that places requests, and against a pair of hosts
/// that is unavailable after the loss of one although the witness is up.
#[test]
fn one_of_two_hosts_serves_with_the_witness() {
    let cell = Cell::start(&[("erdenet", ""), ("erdenet", ""), ("chinggis", "erdenet")]);
    let key = fresh_key("confirmation");
    let first = cell.submit(2, &key);
    let leader = cell.leader(&[0, 1]);
    cell.hosts[leader].stop();
    let other = 1 - leader;
    assert_eq!(cell.submit(2, &key).body, first.body);
    assert_eq!(cell.leader(&[other]), other);
    assert_ne!(cell.phase(2), ReplicaPhase::Leader);
    assert_eq!(cell.runner.tasks().started(), 1);
}

/// Guards against a planned stop that loses the record of a request or leaves the data centre
/// without a placer.
#[test]
fn a_shutdown_hands_the_placement_log_over() {
    let cell = Cell::start(&[("erdenet", ""); 3]);
    let key = fresh_key("confirmation");
    let first = cell.submit(0, &key);
    let leader = cell.leader(&[0, 1, 2]);
    assert!(cell.hosts[leader].shutdown(), "requests are in flight");
    let other = (leader + 1) % 3;
    assert_eq!(cell.submit(other, &key).body, first.body);
    assert_eq!(cell.runner.tasks().started(), 1);
}

/// Guards against a host with a disk that loses the records of its requests on restart.
#[test]
fn a_single_host_with_a_disk_keeps_its_records() {
    let folder = TempDir::new().unwrap();
    let start = || EntryHost::start(single_host_settings(folder.path())).unwrap();
    let mut cell = Cell::with_runner(vec![start()]);
    let key = fresh_key("confirmation");
    let first = cell.submit(0, &key);
    cell.hosts[0].stop();
    cell.hosts[0] = start();
    assert_eq!(cell.submit(0, &key).body, first.body);
    assert_eq!(cell.runner.tasks().started(), 1);
}

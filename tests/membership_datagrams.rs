//! Tests of the datagrams that an agent of failure detection accepts.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::membership::agent::MembershipPeer;
use jujubewinch::membership::datagram::{Datagram, MAX_DATAGRAM_BYTES, Message, open, seal};
use jujubewinch::membership::{
    HostState, HostView, MembershipAgent, MembershipOptions, ProbeTiming, Update,
};
use jujubewinch::peer::ClusterKeys;

const THIS: &str = "host-0";
const OTHER: &str = "host-1";
const WITHDRAWN: &str = "host-2";
/// Longer than the tests, so that the agent sends no probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(600);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An agent whose settings name one other host, with the socket of that host.
struct Cell {
    agent: MembershipAgent,
    other: UdpSocket,
    sequence: u64,
}

impl Cell {
    fn start() -> Self {
        let other = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        other
            .set_read_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        let agent = MembershipAgent::start(MembershipOptions {
            links: None,
            host: THIS.to_owned(),
            incarnation: 1,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            peers: vec![MembershipPeer {
                host: OTHER.to_owned(),
                address: other.local_addr().unwrap(),
                scope: "data_centre".to_owned(),
            }],
            keys: ClusterKeys::unauthenticated(),
            timing: ProbeTiming {
                interval: PROBE_INTERVAL,
                ..ProbeTiming::default()
            },
            seed: 1,
        })
        .unwrap();
        Self {
            agent,
            other,
            sequence: 0,
        }
    }

    /// Sends a ping with an update in the name of a host.
    fn send(&mut self, from: &str, incarnation: u64, updates: Vec<Update>) {
        self.sequence += 1;
        let datagram = Datagram {
            from: from.to_owned(),
            incarnation,
            sequence: self.sequence,
            key_id: 0,
            message: Message::Ping { probe: 1 },
            updates,
        };
        let bytes = seal(&datagram, &ClusterKeys::unauthenticated()).unwrap();
        let address = self.agent.local_address();
        self.other.send_to(&bytes, address).unwrap();
    }

    /// Whether the agent answers the other host; it has then handled all earlier datagrams.
    fn answers_the_other_host(&mut self) -> bool {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while self.other.recv(&mut buffer).is_ok() {}
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            self.send(OTHER, 5, Vec::new());
            let Ok(length) = self.other.recv(&mut buffer) else {
                continue;
            };
            let answer = open(&buffer[..length], &ClusterKeys::unauthenticated()).unwrap();
            if answer.message == (Message::Ack { probe: 1 }) {
                return true;
            }
        }
        false
    }

    fn view_of(&self, host: &str) -> HostView {
        let mut views = self.agent.views().into_iter();
        views.find(|view| view.host == host).unwrap()
    }
}

fn update(host: &str, incarnation: u64, state: HostState) -> Update {
    Update {
        host: host.to_owned(),
        incarnation,
        state,
    }
}

/// Guards against a withdrawn host that still runs with a valid key: no host answers it, so that it
/// declares all of them dead, and those in the settings believed it.
#[test]
fn a_host_outside_the_settings_declares_no_host_dead() {
    let mut cell = Cell::start();
    assert!(cell.answers_the_other_host());
    cell.send(WITHDRAWN, 9, vec![update(OTHER, 5, HostState::Dead)]);
    assert!(cell.answers_the_other_host());
    assert_eq!(cell.view_of(OTHER).state, HostState::Alive);
}

/// Guards against one datagram that ends failure detection on its receiver: a host refutes an update
/// about itself with the next incarnation, which the largest one does not have.
#[test]
fn an_update_with_the_largest_incarnation_ends_no_thread() {
    let mut cell = Cell::start();
    cell.send(OTHER, 5, vec![update(THIS, u64::MAX, HostState::Suspect)]);
    assert!(cell.answers_the_other_host(), "the receiving thread ended");
    assert_eq!(cell.view_of(THIS).incarnation, 1);
}

/// Guards against one datagram after which a host can neither be heard nor refute its death, since
/// no later incarnation is larger than the one in the datagram.
#[test]
fn a_datagram_with_the_largest_incarnation_silences_no_host() {
    let mut cell = Cell::start();
    cell.send(OTHER, u64::MAX, Vec::new());
    assert!(cell.answers_the_other_host(), "the host is not heard");
    cell.send(OTHER, 5, vec![update(OTHER, u64::MAX, HostState::Dead)]);
    cell.send(OTHER, 5, vec![update(OTHER, 6, HostState::Alive)]);
    assert!(cell.answers_the_other_host());
    assert_eq!(cell.view_of(OTHER).state, HostState::Alive);
}

/// Starts an agent that probes often. Retries while the socket of a former agent is open.
fn start_probing(
    host: &str,
    incarnation: u64,
    seed: u64,
    address: SocketAddr,
    other: (&str, SocketAddr),
) -> MembershipAgent {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let started = MembershipAgent::start(MembershipOptions {
            links: None,
            host: host.to_owned(),
            incarnation,
            address,
            peers: vec![MembershipPeer {
                host: other.0.to_owned(),
                address: other.1,
                scope: "data_centre".to_owned(),
            }],
            keys: ClusterKeys::unauthenticated(),
            timing: ProbeTiming {
                interval: Duration::from_millis(50),
                ..ProbeTiming::default()
            },
            seed,
        });
        match started {
            Ok(agent) => return agent,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not reached: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn view(agent: &MembershipAgent, host: &str) -> HostView {
    let mut views = agent.views().into_iter();
    views.find(|view| view.host == host).unwrap()
}

/// Guards against a host that counts as dead for good after a restart with its clock set back: its
/// datagrams were taken for old ones of the process before.
#[test]
fn a_host_that_restarts_with_an_earlier_incarnation_is_heard_again() {
    let free = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let (first, second) = (free(), free());
    let (here, there) = (first.local_addr().unwrap(), second.local_addr().unwrap());
    drop((first, second));
    let observer = start_probing(THIS, 1, 1, here, (OTHER, there));
    let former = start_probing(OTHER, 1_000, 2, there, (THIS, here));
    wait_for("the first process is seen", || {
        view(&observer, OTHER).incarnation >= 1_000
    });
    let former_incarnation = view(&observer, OTHER).incarnation;
    drop(former);
    let _next = start_probing(OTHER, 500, 3, there, (THIS, here));
    wait_for("the next process is seen", || {
        let seen = view(&observer, OTHER);
        seen.incarnation > former_incarnation && seen.state == HostState::Alive
    });
}

/// Guards against an answer to a probe of a former process that counts for a probe of the next one:
/// probe numbers that start again let a host that does not answer seem alive.
#[test]
fn an_answer_to_a_probe_of_a_former_process_is_ignored() {
    const PROBES: usize = 5;
    let silent = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    silent.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let there = silent.local_addr().unwrap();
    let receive_probe = || {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let length = silent.recv(&mut buffer).unwrap();
            let datagram = open(&buffer[..length], &ClusterKeys::unauthenticated()).unwrap();
            if let Message::Ping { probe } = datagram.message {
                return (datagram.incarnation, probe);
            }
        }
    };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let former = start_probing(THIS, 1, 1, any, (OTHER, there));
    let here = former.local_address();
    let former_probes: Vec<u64> = (0..PROBES).map(|_| receive_probe().1).collect();
    drop(former);
    let next = start_probing(THIS, 1_000, 2, here, (OTHER, there));
    let mut sequence = 0;
    let mut probes = 0;
    while probes < PROBES {
        if receive_probe().0 < 1_000 {
            continue;
        }
        probes += 1;
        for probe in &former_probes {
            sequence += 1;
            let answer = Datagram {
                from: OTHER.to_owned(),
                incarnation: 5,
                sequence,
                key_id: 0,
                message: Message::Ack { probe: *probe },
                updates: Vec::new(),
            };
            let bytes = seal(&answer, &ClusterKeys::unauthenticated()).unwrap();
            silent.send_to(&bytes, here).unwrap();
        }
    }
    assert_ne!(view(&next, OTHER).state, HostState::Alive);
}

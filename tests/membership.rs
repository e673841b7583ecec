//! Tests of failure detection over a simulated network in virtual time, and over real sockets.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::membership::agent::MembershipPeer;
use jujubewinch::membership::datagram::{Datagram, Message, ReplayFilter, open, seal};
use jujubewinch::membership::prober::{Exchanges, RelayAnswer, UPDATES_PER_MESSAGE, probe_next};
use jujubewinch::membership::{
    HostState, MembershipAgent, MembershipOptions, MembershipTable, ProbeTiming, Update,
};
use jujubewinch::peer::ClusterKeys;
use jujubewinch::peer::keys::ClusterKey;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const HOSTS: usize = 8;
/// Virtual seconds in which all hosts must learn of a crash: one round of probes, the suspicion
/// timeout at its largest factor, and one round of updates.
const DETECTION_SECONDS: usize = 8 + 4 * 9 + 8;

fn name(index: usize) -> String {
    format!("host-{index}")
}

fn index_of(host: &str) -> usize {
    host.trim_start_matches("host-").parse().unwrap()
}

/// Simulated network. The probes of its hosts run one after the other in virtual time.
struct Network {
    tables: Vec<Mutex<MembershipTable>>,
    /// A host that is down neither sends nor answers.
    down: RefCell<Vec<bool>>,
    /// Pairs of sender and receiver between which all messages are lost.
    cut: RefCell<Vec<(usize, usize)>>,
    loss: f64,
    random: RefCell<SmallRng>,
    now: Cell<Instant>,
}

impl Network {
    fn new(seed: u64, loss: f64) -> Self {
        let names: Vec<String> = (0..HOSTS).map(name).collect();
        let table = |index: usize| {
            let others: Vec<String> = names
                .iter()
                .filter(|host| **host != name(index))
                .cloned()
                .collect();
            let random = SmallRng::seed_from_u64(seed * 100 + index as u64);
            let suspicion = ProbeTiming::default().suspicion;
            Mutex::new(MembershipTable::new(
                name(index),
                1,
                &others,
                suspicion,
                random,
            ))
        };
        Self {
            tables: (0..HOSTS).map(table).collect(),
            down: RefCell::new(vec![false; HOSTS]),
            cut: RefCell::default(),
            loss,
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            now: Cell::new(Instant::now()),
        }
    }

    /// Delivers one message with its updates. Returns whether it arrived.
    fn deliver(&self, from: usize, to: usize) -> bool {
        let updates = self.tables[from]
            .lock()
            .unwrap()
            .take_updates(&name(to), UPDATES_PER_MESSAGE);
        let lost = self.random.borrow_mut().random::<f64>() < self.loss;
        let down = self.down.borrow()[from] || self.down.borrow()[to];
        if lost || down || self.cut.borrow().contains(&(from, to)) {
            return false;
        }
        self.tables[to]
            .lock()
            .unwrap()
            .merge(&updates, self.now.get());
        true
    }

    fn exchange(&self, from: usize, to: usize) -> bool {
        self.deliver(from, to) && self.deliver(to, from)
    }

    fn relay(&self, from: usize, relay: usize, target: usize) -> RelayAnswer {
        if !self.deliver(from, relay) {
            return RelayAnswer::RelaySilent;
        }
        let answered = self.exchange(relay, target);
        match (self.deliver(relay, from), answered) {
            (false, _) => RelayAnswer::RelaySilent,
            (true, true) => RelayAnswer::TargetAnswered,
            (true, false) => RelayAnswer::TargetSilent,
        }
    }

    /// Simulates one second: every running host probes one other host.
    fn step_second(&self) {
        self.now.set(self.now.get() + Duration::from_secs(1));
        for from in 0..HOSTS {
            if self.down.borrow()[from] {
                continue;
            }
            self.tables[from].lock().unwrap().expire(self.now.get());
            let mut ping = |target: &String, _| self.exchange(from, index_of(target));
            let mut through = |relays: &[String], target: &String, _| {
                let target = index_of(target);
                relays
                    .iter()
                    .map(|relay| self.relay(from, index_of(relay), target))
                    .collect()
            };
            let mut exchanges = Exchanges {
                ping: &mut ping,
                ping_through: &mut through,
            };
            let now = || self.now.get();
            probe_next(
                &self.tables[from],
                &ProbeTiming::default(),
                &mut exchanges,
                &now,
            );
        }
    }

    fn run_seconds(&self, count: usize) {
        for _ in 0..count {
            self.step_second();
        }
    }

    fn state(&self, observer: usize, host: usize) -> HostState {
        self.tables[observer].lock().unwrap().state(&name(host))
    }

    /// Counts the other running hosts that see the host in the state.
    fn count_observers(&self, host: usize, state: HostState) -> usize {
        let observers =
            (0..HOSTS).filter(|observer| *observer != host && !self.down.borrow()[*observer]);
        observers
            .filter(|observer| self.state(*observer, host) == state)
            .count()
    }
}

/// Guards against a failed host that another host still sees as alive, and against a returned host
/// that another host still sees as dead.
#[test]
fn a_failed_host_and_its_return_are_detected_everywhere() {
    for seed in 0..20 {
        let network = Network::new(seed, 0.0);
        network.run_seconds(10);
        network.down.borrow_mut()[3] = true;
        network.run_seconds(DETECTION_SECONDS);
        assert_eq!(
            network.count_observers(3, HostState::Dead),
            HOSTS - 1,
            "seed {seed}"
        );
        network.down.borrow_mut()[3] = false;
        network.run_seconds(DETECTION_SECONDS);
        assert_eq!(
            network.count_observers(3, HostState::Alive),
            HOSTS - 1,
            "seed {seed}"
        );
    }
}

/// Guards against healthy hosts that are declared dead when 15% of the datagrams are lost.
#[test]
fn loss_alone_fails_no_host() {
    for seed in 0..10 {
        let network = Network::new(seed, 0.15);
        for _ in 0..600 {
            network.step_second();
            for host in 0..HOSTS {
                assert_eq!(
                    network.count_observers(host, HostState::Dead),
                    0,
                    "seed {seed}, host {host}"
                );
            }
        }
    }
}

/// Guards against a host that is declared dead because one path to it is cut in one direction.
#[test]
fn an_asymmetric_cut_between_two_hosts_fails_neither() {
    for seed in 0..10 {
        let network = Network::new(seed, 0.0);
        network.cut.borrow_mut().push((1, 2));
        for _ in 0..300 {
            network.step_second();
            for host in 0..HOSTS {
                assert_eq!(
                    network.count_observers(host, HostState::Dead),
                    0,
                    "seed {seed}, host {host}"
                );
            }
        }
    }
}

/// Guards against sides of a partition that still see each other as dead after it has healed.
#[test]
fn both_sides_of_a_partition_find_each_other_again() {
    for seed in 0..10 {
        let network = Network::new(seed, 0.0);
        for left in 0..3 {
            for right in 3..HOSTS {
                network
                    .cut
                    .borrow_mut()
                    .extend([(left, right), (right, left)]);
            }
        }
        network.run_seconds(2 * DETECTION_SECONDS);
        assert_eq!(network.state(0, 5), HostState::Dead, "seed {seed}");
        assert_eq!(network.state(0, 1), HostState::Alive, "seed {seed}");
        network.cut.borrow_mut().clear();
        network.run_seconds(2 * DETECTION_SECONDS);
        for host in 0..HOSTS {
            assert_eq!(
                network.count_observers(host, HostState::Alive),
                HOSTS - 1,
                "seed {seed}, host {host}"
            );
        }
    }
}

/// Guards against a process that, after a pause, declares hosts dead because of old suspicions.
#[test]
fn a_pause_of_the_observer_fails_no_host() {
    let network = Network::new(1, 0.0);
    let now = network.now.get();
    let mut table = network.tables[0].lock().unwrap();
    table.probe_failed(&name(1), true, now);
    let resumed_at = now + Duration::from_secs(3600);
    table.restart_suspicions(resumed_at);
    table.expire(resumed_at);
    assert_eq!(table.state(&name(1)), HostState::Suspect);
    let refutation = Update {
        host: name(1),
        incarnation: 2,
        state: HostState::Alive,
    };
    table.merge(&[refutation], resumed_at);
    table.expire(resumed_at + Duration::from_secs(3600));
    assert_eq!(table.state(&name(1)), HostState::Alive);
}

/// Guards against an outdated update that overrides a newer one.
#[test]
fn incarnation_and_state_decide_which_update_wins() {
    use HostState::{Alive, Dead, Suspect};
    let cases = [
        ((5, Suspect), (5, Alive), (5, Suspect)),
        ((5, Dead), (5, Suspect), (5, Dead)),
        ((5, Dead), (6, Alive), (6, Alive)),
        ((5, Alive), (4, Dead), (5, Alive)),
        ((5, Alive), (5, Dead), (5, Dead)),
    ];
    for (first, second, expected) in cases {
        let network = Network::new(1, 0.0);
        let mut table = network.tables[0].lock().unwrap();
        for (incarnation, state) in [first, second] {
            table.merge(
                &[Update {
                    host: name(1),
                    incarnation,
                    state,
                }],
                network.now.get(),
            );
        }
        let view = table
            .views()
            .into_iter()
            .find(|view| view.host == name(1))
            .unwrap();
        assert_eq!(
            (view.incarnation, view.state),
            expected,
            "{first:?} then {second:?}"
        );
    }
}

fn datagram(incarnation: u64, sequence: u64) -> Datagram {
    Datagram {
        from: name(0),
        incarnation,
        sequence,
        key_id: 1,
        message: Message::Ping { probe: 1 },
        updates: Vec::new(),
    }
}

/// Guards against replayed datagrams.
#[test]
fn repeated_datagrams_are_refused() {
    let mut filter = ReplayFilter::default();
    let cases = [
        (5, 10, true),
        (5, 10, false),
        (5, 12, true),
        (5, 11, true),
        (5, 11, false),
        (5, 200, true),
        (5, 100, false),
        (4, 900, false),
        (6, 1, true),
        (5, 201, false),
    ];
    for (incarnation, sequence, accepted) in cases {
        let result = filter.accept(&datagram(incarnation, sequence));
        assert_eq!(
            result, accepted,
            "incarnation {incarnation}, sequence {sequence}"
        );
    }
}

/// Guards against accepting forged, modified or truncated datagrams, and against a decoder that
/// panics on arbitrary bytes.
#[test]
fn only_authentic_datagrams_are_read() {
    let keys = ClusterKeys::new(
        ClusterKey {
            id: 1,
            secret: vec![1; 32],
        },
        Vec::new(),
    );
    let sealed = seal(&datagram(1, 1), &keys).unwrap();
    assert_eq!(open(&sealed, &keys).unwrap(), datagram(1, 1));
    for position in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[position] ^= 1;
        assert!(
            open(&changed, &keys).is_err(),
            "bit changed in byte {position}"
        );
        assert!(
            open(&sealed[..position], &keys).is_err(),
            "cut at byte {position}"
        );
    }
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 2_000,
            failure_persistence: None,
            ..Config::default()
        },
        TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]),
    );
    let bytes = proptest::collection::vec(any::<u8>(), 0..1300);
    runner
        .run(&bytes, |bytes| {
            let _ = open(&bytes, &keys);
            Ok(())
        })
        .unwrap();
}

/// Returns addresses whose ports were free. Another process may take a port before an agent binds
/// it, but the agents must know all addresses before they start.
fn free_addresses() -> Vec<SocketAddr> {
    let bind = |_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let sockets: Vec<UdpSocket> = (0..3).map(bind).collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

fn start_agent(index: usize, addresses: &[SocketAddr]) -> std::io::Result<MembershipAgent> {
    let others = (0..addresses.len()).filter(|other| *other != index);
    let peers = others.map(|other| MembershipPeer {
        host: name(other),
        address: addresses[other],
        scope: "data_centre".to_owned(),
    });
    MembershipAgent::start(MembershipOptions {
        links: None,
        host: name(index),
        incarnation: 1,
        address: addresses[index],
        peers: peers.collect(),
        keys: ClusterKeys::unauthenticated(),
        timing: ProbeTiming {
            interval: Duration::from_millis(50),
            direct_timeout: Duration::from_millis(100),
            indirect_timeout: Duration::from_millis(100),
            suspicion: Duration::from_millis(300),
        },
        seed: index as u64,
    })
}

/// Starts three agents. Retries with other ports when another process has taken one.
fn start_agents() -> Vec<MembershipAgent> {
    for _ in 0..10 {
        let addresses = free_addresses();
        let started: std::io::Result<Vec<MembershipAgent>> =
            (0..3).map(|index| start_agent(index, &addresses)).collect();
        if let Ok(agents) = started {
            return agents;
        }
    }
    panic!("no free ports");
}

/// Guards against failure detection that works only over the simulated network.
#[test]
fn agents_find_a_stopped_host_over_sockets() {
    let mut agents = start_agents();
    let third = agents.remove(2);
    let (first, second) = (&agents[0], &agents[1]);
    thread::sleep(Duration::from_millis(300));
    assert!(!first.is_dead(&name(2)));
    drop(third);
    let deadline = Instant::now() + Duration::from_secs(30);
    while !(first.is_dead(&name(2)) && second.is_dead(&name(2))) {
        assert!(Instant::now() < deadline, "the stopped host was not found");
        thread::sleep(Duration::from_millis(20));
    }
    assert!(!first.is_dead(&name(1)));
}

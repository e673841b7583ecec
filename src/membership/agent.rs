//! Runs failure detection on a UDP socket with a probing and a receiving thread.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use indexmap::IndexMap;
use opentelemetry::KeyValue;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::datagram::{Datagram, MAX_DATAGRAM_BYTES, Message, ReplayFilter, open, seal};
use super::prober::{Exchanges, ProbeTiming, RelayAnswer, UPDATES_PER_MESSAGE, probe_next};
use super::table::{HostState, HostView, MembershipTable, Update};
use crate::ids::{HostId, Incarnation};
use crate::peer::{ClusterKeys, LinkConditions};
use crate::telemetry::metrics::metrics;

/// Longest wait of the receiving thread before it checks the stop flag.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Probe intervals after which a delay of the probing thread counts as a pause of the process.
const PAUSE_INTERVALS: u32 = 3;
/// Largest fraction of the probe interval that is added at random, so that hosts do not probe in
/// lockstep.
const JITTER: f64 = 0.2;

/// Another entry host that takes part in failure detection.
#[derive(Clone, Debug)]
pub struct MembershipPeer {
    /// Identifier of the host in the settings.
    pub host: HostId,
    /// Address of the host's membership socket.
    pub address: SocketAddr,
    /// Value of the label `scope` in the metric of control bytes.
    pub scope: String,
}

/// Options of a membership agent.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// This host; differs from all `peers`.
    pub host: HostId,
    /// Start number of this process; larger than that of every earlier process of the host.
    pub incarnation: Incarnation,
    /// Local address of the UDP socket.
    pub address: SocketAddr,
    /// All other entry hosts.
    pub peers: Vec<MembershipPeer>,
    /// Keys that authenticate the datagrams.
    pub keys: ClusterKeys,
    /// Intervals and timeouts of probes.
    pub timing: ProbeTiming,
    /// Seed of the probing order and the jitter.
    pub seed: u64,
    /// Simulated conditions of the links, for tests and benchmarks; `None` simulates nothing.
    pub links: Option<Arc<LinkConditions>>,
}

/// Failure detection of one host. Dropping the agent ends its threads.
pub struct MembershipAgent {
    shared: Arc<Shared>,
    local_address: SocketAddr,
}

struct Shared {
    options: MembershipOptions,
    peers: IndexMap<HostId, MembershipPeer>,
    socket: UdpSocket,
    table: Mutex<MembershipTable>,
    /// Receivers of the answers to pending probes, by number of the probe.
    pending: Mutex<IndexMap<u64, Sender<Message>>>,
    next_probe: AtomicU64,
    next_sequence: AtomicU64,
    stopping: AtomicBool,
}

impl MembershipAgent {
    /// Binds the socket and starts probing.
    ///
    /// # Errors
    ///
    /// The error of binding the socket or starting a thread.
    pub fn start(options: MembershipOptions) -> io::Result<Self> {
        let socket = UdpSocket::bind(options.address)?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        let local_address = socket.local_addr()?;
        let others: Vec<HostId> = options.peers.iter().map(|peer| peer.host.clone()).collect();
        let table = MembershipTable::new(
            options.host.clone(),
            options.incarnation,
            &others,
            options.timing.suspicion,
            SmallRng::seed_from_u64(options.seed),
        );
        let peers = options
            .peers
            .iter()
            .map(|peer| (peer.host.clone(), peer.clone()))
            .collect();
        let shared = Arc::new(Shared {
            options,
            peers,
            socket,
            table: Mutex::new(table),
            pending: Mutex::default(),
            // Answers to probes of a former process of this host may still arrive.
            next_probe: AtomicU64::new(rand::random()),
            next_sequence: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
        });
        let receiving = Arc::clone(&shared);
        thread::Builder::new()
            .name("membership-receive".to_owned())
            .spawn(move || receive(&receiving))?;
        let probing = Arc::clone(&shared);
        thread::Builder::new()
            .name("membership-probe".to_owned())
            .spawn(move || probe(&probing))?;
        Ok(Self {
            shared,
            local_address,
        })
    }

    /// Local address of the UDP socket.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// States of all hosts as seen by this host, this host included.
    pub fn views(&self) -> Vec<HostView> {
        self.shared.table.lock().unwrap().views()
    }

    /// Returns whether this host has declared a host dead. Unknown hosts count as dead.
    pub fn is_dead(&self, host: &str) -> bool {
        self.shared.table.lock().unwrap().state(host) == HostState::Dead
    }
}

impl Drop for MembershipAgent {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
    }
}

/// Probes one host per interval until the agent stops.
fn probe(shared: &Arc<Shared>) {
    let timing = &shared.options.timing;
    let mut last_probe_at = Instant::now();
    while !shared.stopping.load(Ordering::Acquire) {
        let jitter = shared.table.lock().unwrap().jitter();
        thread::sleep(timing.interval.mul_f64(1.0 + JITTER * jitter));
        let now = Instant::now();
        {
            let mut table = shared.table.lock().unwrap();
            if now.duration_since(last_probe_at)
                > timing.interval * PAUSE_INTERVALS * table.timeout_factor()
            {
                table.restart_suspicions(now);
            }
            table.expire(now);
        }
        let mut ping = |target: &HostId, timeout| shared.ping(target, timeout);
        let mut ping_through = |relays: &[HostId], target: &HostId, timeout| {
            shared.ping_through(relays, target, timeout)
        };
        let mut exchanges = Exchanges {
            ping: &mut ping,
            ping_through: &mut ping_through,
        };
        probe_next(&shared.table, timing, &mut exchanges, &Instant::now);
        last_probe_at = Instant::now();
    }
}

/// Handles datagrams until the agent stops.
fn receive(shared: &Arc<Shared>) {
    let mut replays = ReplayFilter::default();
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
    while !shared.stopping.load(Ordering::Acquire) {
        let Ok((length, _)) = shared.socket.recv_from(&mut buffer) else {
            continue;
        };
        let datagram = match open(&buffer[..length], &shared.options.keys) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::debug!("ignoring an invalid membership datagram: {error}");
                continue;
            }
        };
        // A withdrawn host that still runs receives no answers and declares all others dead.
        if !shared.peers.contains_key(&datagram.from) {
            log::debug!(host = datagram.from.as_str(); "ignoring a membership datagram of a host outside the settings");
            continue;
        }
        if !replays.accept(&datagram) {
            log::debug!("ignoring a replayed membership datagram");
            continue;
        }
        shared.handle(datagram);
    }
}

impl Shared {
    fn handle(self: &Arc<Self>, datagram: Datagram) {
        {
            // The next process of the sender may begin with an earlier incarnation, when its clock was
            // set back. It is heard again once it has refuted the one that is remembered here.
            let sender = Update {
                host: datagram.from.clone(),
                incarnation: datagram.incarnation,
                state: HostState::Alive,
            };
            let (mut table, now) = (self.table.lock().unwrap(), Instant::now());
            table.merge(&[sender], now);
            table.merge(&datagram.updates, now);
        }
        match datagram.message {
            Message::Ping { probe } => self.send(&datagram.from, Message::Ack { probe }),
            Message::PingThrough { probe, target } => {
                let relay = Arc::clone(self);
                let spawned = thread::Builder::new()
                    .name("membership-relay".to_owned())
                    .spawn(move || relay.relay(&datagram.from, probe, &target));
                if let Err(error) = spawned {
                    log::warn!("cannot start a relay thread: {error}");
                }
            }
            answer @ (Message::Ack { probe } | Message::Nack { probe }) => {
                let sender = self.pending.lock().unwrap().get(&probe).cloned();
                if let Some(sender) = sender {
                    let _ = sender.try_send(answer);
                }
            }
        }
    }

    /// Pings the target on behalf of another host and reports the result to it.
    fn relay(&self, from: &HostId, probe: u64, target: &HostId) {
        let answered = self.ping(target, self.options.timing.direct_timeout);
        let answer = if answered {
            Message::Ack { probe }
        } else {
            Message::Nack { probe }
        };
        self.send(from, answer);
    }

    /// Pings the target. Returns whether it answered before the timeout.
    fn ping(&self, target: &HostId, timeout: Duration) -> bool {
        let probe = self.next_probe.fetch_add(1, Ordering::Relaxed);
        let answers = self.register_probe(probe);
        self.send(target, Message::Ping { probe });
        let answered = answers.recv_timeout(timeout).is_ok();
        self.pending.lock().unwrap().swap_remove(&probe);
        answered
    }

    /// Asks the relays to ping the target. Returns one answer per relay. Waits for the timeout of
    /// the exchange with the relay and that of the relay's own ping.
    fn ping_through(
        &self,
        relays: &[HostId],
        target: &HostId,
        timeout: Duration,
    ) -> Vec<RelayAnswer> {
        let deadline = Instant::now() + timeout + self.options.timing.direct_timeout;
        let mut expected = Vec::new();
        for relay in relays {
            let probe = self.next_probe.fetch_add(1, Ordering::Relaxed);
            let answers = self.register_probe(probe);
            self.send(
                relay,
                Message::PingThrough {
                    probe,
                    target: target.clone(),
                },
            );
            expected.push((probe, answers));
        }
        let mut results = Vec::new();
        for (probe, answers) in expected {
            results.push(match answers.recv_deadline(deadline) {
                Ok(Message::Ack { .. }) => RelayAnswer::TargetAnswered,
                Ok(_) => RelayAnswer::TargetSilent,
                Err(_) => RelayAnswer::RelaySilent,
            });
            self.pending.lock().unwrap().swap_remove(&probe);
        }
        results
    }

    /// Registers a probe. Its answer arrives on the returned channel.
    fn register_probe(&self, probe: u64) -> Receiver<Message> {
        let (sender, receiver) = bounded(1);
        self.pending.lock().unwrap().insert(probe, sender);
        receiver
    }

    /// Sends a datagram under the simulated conditions of its link. A separate thread sends a
    /// delayed datagram, since the caller may be the receiving thread.
    fn transmit(&self, to: &HostId, bytes: Vec<u8>, address: SocketAddr) -> io::Result<usize> {
        let Some(links) = &self.options.links else {
            return self.socket.send_to(&bytes, address);
        };
        let from = &self.options.host;
        if links.is_cut(from, to) {
            return Ok(0);
        }
        links.count(from, to, bytes.len());
        let delay = links.delay(from, to);
        if delay.is_zero() {
            return self.socket.send_to(&bytes, address);
        }
        let (socket, length) = (self.socket.try_clone()?, bytes.len());
        thread::Builder::new().spawn(move || {
            thread::sleep(delay);
            let _ = socket.send_to(&bytes, address);
        })?;
        Ok(length)
    }

    /// Sends a message with pending updates; errors are logged only, since probes tolerate loss.
    fn send(&self, to: &HostId, message: Message) {
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        let (incarnation, updates) = {
            let mut table = self.table.lock().unwrap();
            let updates = table.take_updates(to, UPDATES_PER_MESSAGE);
            (table.incarnation(), updates)
        };
        let datagram = Datagram {
            from: self.options.host.clone(),
            incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
            key_id: self.options.keys.current().id,
            message,
            updates,
        };
        let sent = seal(&datagram, &self.options.keys)
            .and_then(|bytes| self.transmit(to, bytes, peer.address));
        match sent {
            Ok(bytes) => {
                let labels = [
                    KeyValue::new("kind", "membership"),
                    KeyValue::new("scope", peer.scope.clone()),
                ];
                metrics().control_bytes.add(bytes as u64, &labels);
            }
            Err(error) => log::debug!("cannot send a membership datagram to {to}: {error}"),
        }
    }
}

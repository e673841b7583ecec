//! A cluster of replicas without threads, with a simulated network, clock and disks.

mod checks;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::clock::Clock;
use crate::ids::HostId;
use crate::replication::image::{Failure, SharedImage};
use crate::replication::log::{Index, Term};
use crate::replication::membership::MemberRole;
use crate::replication::message::{decode, encode};
use crate::replication::peer::{NextAction, OutgoingCall};
use crate::replication::propose::OutcomeReceiver;
use crate::replication::state::State;
use crate::replication::{Limits, ReplicaOptions, StateMachine, StorageOptions, Timing};

/// Commands in the order in which a state machine applied them.
pub type Applied = Arc<Mutex<Vec<(Index, Vec<u8>)>>>;

/// Returns a state machine that records the commands that it applies.
pub fn recorder(applied: &Applied) -> StateMachine<Index> {
    let (add, read, write) = (
        Arc::clone(applied),
        Arc::clone(applied),
        Arc::clone(applied),
    );
    StateMachine {
        apply: Box::new(move |index, command| {
            add.lock().unwrap().push((index, command.to_vec()));
            index
        }),
        snapshot: Box::new(move || encode(&*read.lock().unwrap())),
        restore: Box::new(move |bytes| {
            *write.lock().unwrap() = decode(bytes).expect("the snapshot can be decoded");
        }),
    }
}

/// Limits so small that snapshots are frequent and have several chunks.
pub fn small_limits() -> Limits {
    Limits {
        max_batch_bytes: 200,
        chunk_bytes: 64,
        max_log_entries: 24,
        ..Limits::default()
    }
}

/// Longest time from the recovery of a disk until its host takes part again: the longest pause
/// between attempts and a step.
const LONGEST_REOPEN: Duration = Duration::from_millis(1_050);
/// Share of the steps in which a host runs its timer: each 50 ms on average, as a real one does.
const TICK_SHARE: f64 = 0.2;

pub struct Node {
    pub host: HostId,
    pub state: Option<State<Index>>,
    pub applied: Applied,
    /// Simulated disk; `None` on hosts without a disk.
    image: Option<SharedImage>,
    may_lead: bool,
    paused_until: Option<Instant>,
    calls: BTreeMap<u64, OutgoingCall>,
    /// Number of applied commands that were compared with `committed_commands`, and the applied index, both
    /// as of the latest check.
    checked: (usize, Index),
    /// Until this time the host may have a fault, since its disk failed a moment ago.
    fault_allowed_until: Option<Instant>,
}

enum Packet {
    Request(Vec<u8>),
    Reply(Vec<u8>),
}

struct InTransit {
    at: Instant,
    call: u64,
    from: usize,
    to: usize,
    packet: Packet,
}

struct Pending {
    command: Vec<u8>,
    outcome: OutcomeReceiver<Index>,
}

pub struct Cluster {
    pub now: Instant,
    start: Instant,
    pub nodes: Vec<Node>,
    pub rng: StdRng,
    transit: Vec<InTransit>,
    next_call: u64,
    /// Directed links, as sender and receiver, that drop all packets.
    cuts: Vec<(usize, usize)>,
    /// Percentage of packets that are lost, and of packets that are duplicated.
    pub loss_percent: u32,
    pending: Vec<Pending>,
    proposed: u64,
    /// Commands that any replica has applied, in the order of the log.
    pub committed_commands: Vec<(Index, Vec<u8>)>,
    /// Commands whose outcome was reported as certainly not committed.
    refused: Vec<Vec<u8>>,
    /// Commands that were reported to their proposer as committed.
    pub confirmed: Vec<(Index, Vec<u8>)>,
    committed_terms: BTreeMap<Index, Term>,
    leaders: BTreeMap<Term, HostId>,
    /// Terms in which a host reported its leadership, and whether that has lapsed since.
    reported: BTreeMap<Term, bool>,
}

impl Cluster {
    /// Starts hosts `a`, `b`, ..., one for each element of `disks`, which says whether the host has
    /// a disk. With `witness`, the last host may not lead.
    pub fn new(seed: u64, disks: &[bool], witness: bool) -> Self {
        let now = Instant::now();
        let count = disks.len();
        let nodes = disks.iter().enumerate().map(|(position, disk)| Node {
            host: host_name(position),
            state: None,
            applied: Applied::default(),
            image: disk.then(SharedImage::default),
            may_lead: !witness || position + 1 < count,
            paused_until: None,
            calls: BTreeMap::new(),
            checked: (0, 0),
            fault_allowed_until: None,
        });
        let mut cluster = Self {
            now,
            start: now,
            nodes: nodes.collect(),
            rng: StdRng::seed_from_u64(seed),
            transit: Vec::new(),
            next_call: 0,
            cuts: Vec::new(),
            loss_percent: 0,
            pending: Vec::new(),
            proposed: 0,
            committed_commands: Vec::new(),
            refused: Vec::new(),
            confirmed: Vec::new(),
            committed_terms: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reported: BTreeMap::new(),
        };
        for position in 0..count {
            cluster.start(position);
        }
        cluster
    }

    pub fn start(&mut self, position: usize) {
        let voters = (0..self.nodes.len()).map(host_name).collect();
        self.start_with(position, voters);
    }

    /// Starts a host with the given initial voters.
    pub fn start_with(&mut self, position: usize, initial_voters: Vec<HostId>) {
        if self.nodes[position].state.is_some() {
            return;
        }
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000) + (self.now - self.start);
        let now = self.now;
        let seed = self.rng.random();
        let node = &mut self.nodes[position];
        node.applied = Applied::default();
        node.checked = (0, 0);
        node.paused_until = None;
        let image = node.image.clone();
        let options = ReplicaOptions {
            group: "test".to_owned(),
            host: node.host.clone(),
            initial_voters,
            may_lead: node.may_lead,
            storage: image.map_or(StorageOptions::Memory, StorageOptions::Image),
            clock: Clock::new(move || now, move || wall),
            timing: Timing::default(),
            limits: small_limits(),
            seed,
            send: Arc::new(|_, _, _| Err("the harness delivers the calls".to_owned())),
            machine: recorder(&node.applied),
        };
        node.state = Some(State::open(options, now).expect("the simulated disk can be read"));
    }

    /// Crashes a host; entries that were not synced are kept or lost at random.
    pub fn crash(&mut self, position: usize) {
        let keep_unsynced = self.rng.random();
        let node = &mut self.nodes[position];
        node.state = None;
        node.calls.clear();
        if let Some(image) = &node.image {
            image.lock().unwrap().crash(keep_unsynced);
        }
    }

    /// Resets the records of committed commands, after the loss of all storage.
    pub fn reset_committed(&mut self) {
        self.committed_commands.clear();
        self.confirmed.clear();
        self.committed_terms.clear();
        self.transit.clear();
    }

    /// Crashes a host and clears its disk.
    pub fn lose_disk(&mut self, position: usize) {
        self.crash(position);
        let node = &mut self.nodes[position];
        if node.image.is_some() {
            node.image = Some(SharedImage::default());
        }
    }

    /// Makes all operations of a host's disk fail, or succeed again.
    pub fn set_disk_failure(&mut self, position: usize, failure: Option<Failure>) {
        let node = &mut self.nodes[position];
        let Some(image) = &node.image else {
            return;
        };
        let before = std::mem::replace(&mut image.lock().unwrap().failure, failure);
        if before.is_some() || failure.is_some() {
            node.fault_allowed_until = Some(self.now + LONGEST_REOPEN);
        }
    }

    pub fn has_disk(&self, position: usize) -> bool {
        self.nodes[position].image.is_some()
    }

    pub fn pause(&mut self, position: usize, time: Duration) {
        self.nodes[position].paused_until = Some(self.now + time);
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.push((from, to));
    }

    /// Cuts all links of a host in both directions.
    pub fn isolate(&mut self, position: usize) {
        for other in 0..self.nodes.len() {
            self.cut(position, other);
            self.cut(other, position);
        }
    }

    /// Removes all faults of the network and the disks.
    pub fn heal(&mut self) {
        for position in 0..self.nodes.len() {
            self.set_disk_failure(position, None);
        }
        self.cuts.clear();
        self.loss_percent = 0;
    }

    /// Returns the host that confirms its leadership and accepts proposals.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|position| self.leads(*position))
    }

    fn leads(&self, position: usize) -> bool {
        let state = self.nodes[position].state.as_ref();
        state.is_some_and(|state| state.leadership(self.now).is_some())
    }

    /// Returns whether a leader has committed a membership in which every host votes with its
    /// present storage. Only then can one storage be lost without the loss of a committed entry.
    pub fn all_hosts_vote(&self) -> bool {
        let leader = self
            .leader()
            .and_then(|leader| self.nodes[leader].state.as_ref());
        let Some(leader) = leader else { return false };
        let membership = leader.log.membership_at(leader.commit);
        self.nodes.iter().all(|node| {
            let state = node.state.as_ref();
            state.is_some_and(|state| membership.is_voter(&node.host, state.hard_state.incarnation))
        })
    }

    pub fn role_of(&self, leader: usize, host: &str) -> Option<MemberRole> {
        let state = self.nodes[leader].state.as_ref()?;
        state.log.membership().get(host).map(|member| member.role)
    }

    /// Proposes a new command on a host.
    pub fn propose(&mut self, position: usize) {
        let now = self.now;
        let command = format!("command {}", self.proposed).into_bytes();
        self.proposed += 1;
        let Some(state) = self.nodes[position].state.as_mut() else {
            return;
        };
        match state.propose(command.clone(), now) {
            Ok(outcome) => self.pending.push(Pending { command, outcome }),
            Err(error) => {
                assert!(error.is_certainly_not_committed());
                self.refused.push(command);
            }
        }
    }

    /// Advances the simulated time in small random steps.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(self.rng.random_range(1..=20));
            self.step();
        }
    }

    /// Runs until the condition holds; panics after a minute of simulated time.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_secs(60);
        while !condition(self) {
            assert!(self.now < end, "not reached within a minute: {what}");
            self.run(Duration::from_millis(10));
        }
    }

    fn step(&mut self) {
        for position in 0..self.nodes.len() {
            if !self.runs(position) {
                continue;
            }
            self.expire_calls(position);
            self.reopen_if_due(position);
            let now = self.now;
            let sync = self.rng.random_bool(0.3);
            // Calls are answered between the ticks, also after the end of a lease.
            let tick = self.rng.random_bool(TICK_SHARE);
            let state = self.nodes[position].state.as_mut().unwrap();
            if tick {
                state.tick(now);
            }
            if sync && state.has_unsynced() && state.sync_now() {
                state.advance_commit(now);
            }
            self.send_calls(position);
        }
        self.deliver();
        self.check_invariants();
    }

    fn runs(&self, position: usize) -> bool {
        let node = &self.nodes[position];
        node.state.is_some() && node.paused_until.is_none_or(|until| self.now >= until)
    }

    /// Opens the disk again after a failure; what was not synced is kept or lost at random.
    fn reopen_if_due(&mut self, position: usize) {
        let now = self.now;
        let node = &mut self.nodes[position];
        let state = node.state.as_mut().unwrap();
        if state.reopen_at(now).is_none_or(|at| now < at) {
            return;
        }
        let keep_unsynced = self.rng.random();
        if let Some(image) = &node.image {
            image.lock().unwrap().crash(keep_unsynced);
        }
        let result = state.begin_reopen().run();
        state.finish_reopen(result, now);
    }

    fn expire_calls(&mut self, position: usize) {
        let now = self.now;
        let node = &mut self.nodes[position];
        let expired = node.calls.iter().filter(|(_, call)| call.deadline <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let call = node.calls.remove(&id).unwrap();
            node.state.as_mut().unwrap().complete_call(&call, None, now);
        }
    }

    fn send_calls(&mut self, position: usize) {
        let now = self.now;
        for to in 0..self.nodes.len() {
            let host = host_name(to);
            let state = self.nodes[position].state.as_mut().unwrap();
            let NextAction::Send(call) = state.prepare_call(&host, now) else {
                continue;
            };
            let id = self.next_call;
            self.next_call += 1;
            let request = call.bytes.clone();
            self.nodes[position].calls.insert(id, call);
            self.transmit(id, position, to, &request, Packet::Request);
        }
    }

    fn transmit(
        &mut self,
        call: u64,
        from: usize,
        to: usize,
        bytes: &[u8],
        packet: fn(Vec<u8>) -> Packet,
    ) {
        let copies = match self.rng.random_range(0..100) {
            roll if roll < self.loss_percent => 0,
            roll if roll < self.loss_percent * 2 => 2,
            _ => 1,
        };
        for copy in 0..copies {
            // A second copy may arrive long after the call has ended.
            let longest = if copy == 0 { 30 } else { 5_000 };
            let delay = Duration::from_millis(self.rng.random_range(1..=longest));
            self.transit.push(InTransit {
                at: self.now + delay,
                call,
                from,
                to,
                packet: packet(bytes.to_vec()),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.transit.extract_if(.., |message| message.at <= now);
        let due: Vec<InTransit> = due.collect();
        for message in due {
            if self.cuts.contains(&(message.from, message.to)) {
                continue;
            }
            if !self.runs(message.to) {
                // A paused host receives the message when it resumes.
                if self.nodes[message.to].state.is_some() {
                    self.transit.push(message);
                }
                continue;
            }
            let from = host_name(message.from);
            let node = &mut self.nodes[message.to];
            let state = node.state.as_mut().unwrap();
            match message.packet {
                Packet::Request(bytes) => {
                    let reply = state.handle(&from, &bytes, now);
                    let (from, to) = (message.to, message.from);
                    self.transmit(message.call, from, to, &reply, Packet::Reply);
                }
                Packet::Reply(bytes) => {
                    if let Some(call) = node.calls.remove(&message.call) {
                        state.complete_call(&call, Some(&bytes), now);
                    }
                }
            }
        }
    }
}

pub fn host_name(position: usize) -> HostId {
    char::from(b'a' + u8::try_from(position).unwrap()).to_string()
}

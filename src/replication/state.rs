//! State of a replica and the steps that do not belong to one role.
//!
//! The threads of [`super::Replica`] call these methods with the state locked; tests call them
//! directly in an order of their own.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::ReplicaOptions;
use super::log::{Entry, Index, Log, Payload, Term};
use super::message::VotePhase;
use super::peer::Peer;
use super::propose::{Committed, ProposeError};
use super::snapshots::Incoming;
use super::storage::{HardState, Recovered, Snapshot, Storage, StorageError};
use crate::ids::{HostId, Incarnation};

/// Part of a replica in its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes.
    Candidate(VotePhase),
    /// Creates entries.
    Leader,
}

/// A requested hand-over of the leadership.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub target: HostId,
    pub deadline: Instant,
}

pub(super) type Waiters<T> = BTreeMap<(Index, Term), Sender<Result<Committed<T>, ProposeError>>>;

/// State of one replica.
pub(super) struct State<T> {
    pub options: ReplicaOptions<T>,
    pub rng: StdRng,
    pub storage: Storage,
    pub hard: HardState,
    pub log: Log,
    /// Latest snapshot; its index is at most `applied`.
    pub snapshot: Snapshot,
    /// CRC-32 of the state in the snapshot with this index, while it is being sent.
    pub sent_checksum: Option<(Index, u32)>,
    /// A newer snapshot that has to be written before it replaces `snapshot`.
    pub unsaved_snapshot: Option<Arc<Snapshot>>,
    pub incoming: Option<Incoming>,
    pub role: Role,
    pub leader: Option<HostId>,
    /// Last contact with a leader of the present term.
    pub heard_leader_at: Option<Instant>,
    pub election_deadline: Instant,
    /// A host that may not lead is elected in order to pass entries to one that may.
    pub caretaker_until: Option<Instant>,
    /// Index of this leader's first entry.
    pub term_start: Index,
    pub commit: Index,
    pub applied: Index,
    /// Last entry that is durable here; counts as this host's own match index.
    pub durable: Index,
    /// Grows whenever a sync that is running no longer shows what is durable.
    pub sync_generation: u64,
    pub peers: IndexMap<HostId, Peer>,
    /// Hosts that `add_learner` was called for.
    pub wanted_learners: IndexSet<HostId>,
    pub waiters: Waiters<T>,
    pub transfer: Option<Transfer>,
    /// First storage failure, or the reason why the replica was stopped. Ends all voting.
    pub fault: Option<String>,
}

impl<T> State<T> {
    /// Opens the storage and takes up the state found there.
    ///
    /// # Errors
    ///
    /// [`StorageError`] when the storage is damaged, in use or fails.
    pub(super) fn open(options: ReplicaOptions<T>, now: Instant) -> Result<Self, StorageError> {
        let (mut storage, recovered) = Storage::open(&options.storage)?;
        let mut rng = StdRng::seed_from_u64(options.seed);
        let hard = match &recovered.hard_state {
            Some(hard) => hard.clone(),
            None => {
                let hard = HardState {
                    incarnation: rng.random_range(1..=Incarnation::MAX),
                    ..HardState::default()
                };
                storage.save_hard_state(&hard)?;
                hard
            }
        };
        let snapshot = recovered_snapshot(&hard, &recovered)?;
        let log = recovered_log(&snapshot, recovered.entries)?;
        let mut state = Self {
            rng,
            storage,
            sent_checksum: None,
            unsaved_snapshot: None,
            incoming: None,
            role: Role::Follower,
            leader: None,
            // A replica that was restarted may have confirmed its leader a moment before.
            heard_leader_at: (hard.group != 0).then_some(now),
            election_deadline: now,
            caretaker_until: None,
            term_start: 0,
            commit: snapshot.index,
            applied: snapshot.index,
            durable: log.last_index(),
            sync_generation: 0,
            peers: IndexMap::new(),
            wanted_learners: IndexSet::new(),
            waiters: BTreeMap::new(),
            transfer: None,
            fault: None,
            options,
            hard,
            log,
            snapshot,
        };
        if let Some(bytes) = &state.snapshot.state {
            (state.options.machine.restore)(bytes);
        }
        state.update_peers();
        state.mark_unformed_peers();
        state.reset_election_deadline(now);
        if state.log.membership().voters().count() == 1 {
            state.election_deadline = now;
        }
        Ok(state)
    }

    /// Whether this replica votes: it is a voter of the membership in effect, by incarnation.
    pub(super) fn is_voter(&self) -> bool {
        let membership = self.log.membership();
        membership.is_voter(&self.options.host, self.hard.incarnation)
    }

    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        let timeout = self.options.timing.election_timeout;
        let spread = timeout.mul_f64(self.options.timing.election_spread);
        let spread_us = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX);
        let extra = Duration::from_micros(self.rng.random_range(0..=spread_us));
        self.election_deadline = now + timeout + extra;
    }

    /// Records a storage failure: the replica stops voting and acknowledging.
    pub(super) fn fail(&mut self, error: &StorageError) {
        log::error!(
            "replica {} of {} stops voting: {error}",
            self.options.host,
            self.options.group
        );
        self.stop(&error.to_string());
    }

    /// Stops voting, acknowledging and leading for good.
    pub(super) fn stop(&mut self, reason: &str) {
        self.fault.get_or_insert_with(|| reason.to_owned());
        self.role = Role::Follower;
        self.leader = None;
        self.transfer = None;
        for (_, sender) in std::mem::take(&mut self.waiters) {
            let _ = sender.send(Err(ProposeError::Unknown(reason.to_owned())));
        }
    }

    /// Passes on a success; records a failure.
    pub(super) fn checked<R>(&mut self, result: Result<R, StorageError>) -> Option<R> {
        result.map_err(|error| self.fail(&error)).ok()
    }

    /// Saves identity, term and vote. Returns whether they are durable.
    pub(super) fn save_hard_state(&mut self) -> bool {
        let saved = self.storage.save_hard_state(&self.hard);
        self.checked(saved).is_some()
    }

    /// Takes up a later term as follower. Returns whether it is durable.
    pub(super) fn adopt_term(&mut self, term: Term, now: Instant) -> bool {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
            if !self.save_hard_state() {
                return false;
            }
            self.step_down(now);
        }
        true
    }

    /// Becomes a follower without a leader.
    pub(super) fn step_down(&mut self, now: Instant) {
        if self.role == Role::Leader {
            log::info!(
                calls_ms_ago = self.describe_calls(now);
                "{} no longer leads {} in term {}",
                self.options.host,
                self.options.group,
                self.hard.term
            );
        }
        self.role = Role::Follower;
        self.leader = None;
        self.transfer = None;
        self.reset_election_deadline(now);
    }

    /// For each other host, how long ago the latest answered call and the latest call were sent.
    fn describe_calls(&self, now: Instant) -> String {
        let age = |at: Option<Instant>| {
            at.map_or_else(
                || "never".to_owned(),
                |at| now.saturating_duration_since(at).as_millis().to_string(),
            )
        };
        let mut calls = Vec::new();
        for (host, peer) in &self.peers {
            let (answered, sent) = (age(peer.acked_at), age(peer.sent_at));
            calls.push(format!("{host} answered={answered} sent={sent}"));
        }
        calls.join(", ")
    }

    /// Makes the peers those of the membership in effect.
    pub(super) fn update_peers(&mut self) {
        let membership = self.log.membership();
        let mut wanted: IndexMap<HostId, Option<Incarnation>> = IndexMap::new();
        for member in &membership.members {
            wanted.insert(member.host.clone(), Some(member.incarnation));
        }
        let unformed = (self.hard.group == 0).then_some(&self.options.initial_voters);
        for host in unformed.into_iter().flatten().chain(&self.wanted_learners) {
            wanted.entry(host.clone()).or_insert(None);
        }
        wanted.shift_remove(&self.options.host);
        self.peers.retain(|host, _| wanted.contains_key(host));
        for (host, incarnation) in wanted {
            let present = self.peers.get(&host);
            if present.is_some_and(|peer| peer.incarnation == incarnation) {
                continue;
            }
            let mut peer = Peer::new(incarnation);
            peer.in_flight = present.is_some_and(|present| present.in_flight);
            peer.may_lead = present.is_some_and(|present| present.may_lead);
            peer.next_index = self.log.last_index() + 1;
            self.peers.insert(host, peer);
        }
    }

    /// Writes and syncs all entries at once.
    pub(super) fn sync_now(&mut self) -> bool {
        let synced = self
            .storage
            .begin_sync()
            .and_then(|job| job.map_or(Ok(()), |job| job.run()));
        if self.checked(synced).is_none() {
            return false;
        }
        self.durable = self.log.last_index();
        true
    }

    /// Applies committed entries in order and answers their proposers.
    pub(super) fn apply_committed(&mut self, now: Instant) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.get(index) else {
                break;
            };
            let term = entry.term;
            let output = match &entry.payload {
                Payload::Command(command) => Some((self.options.machine.apply)(index, command)),
                Payload::Noop | Payload::Membership(_) => None,
            };
            self.applied = index;
            self.answer_proposers(index, term, output);
        }
        if self.role == Role::Leader
            && self.log.membership_index() <= self.commit
            && !self.is_voter()
        {
            self.step_down(now);
        }
        self.compact_if_large();
    }

    fn answer_proposers(&mut self, index: Index, term: Term, output: Option<T>) {
        let mut output = Some(output);
        while let Some(first) = self.waiters.first_entry() {
            let key = *first.key();
            if key.0 > index {
                return;
            }
            let sender = first.remove();
            let result = match output.take_if(|_| key == (index, term)) {
                Some(output) => Ok(Committed { index, output }),
                None => Err(ProposeError::Replaced),
            };
            let _ = sender.send(result);
        }
    }

    /// Time-driven steps: elections, loss of the majority, re-admission.
    pub(super) fn tick(&mut self, now: Instant) {
        if self.fault.is_some() {
            return;
        }
        if self.hard.group == 0 {
            self.form_if_all_present(now);
        }
        match self.role {
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::Candidate(_) => self.campaign_if_due(now),
        }
    }
}

fn recovered_snapshot(hard: &HardState, recovered: &Recovered) -> Result<Snapshot, StorageError> {
    if hard.group == 0 {
        // A snapshot is saved just before the group; without the group it was never confirmed.
        return Ok(Snapshot::default());
    }
    let snapshot = recovered.snapshot.clone();
    snapshot
        .filter(|snapshot| snapshot.group == hard.group)
        .ok_or_else(|| StorageError::Damaged {
            file: "snapshot".to_owned(),
            reason: "it is missing or belongs to another group".to_owned(),
        })
}

/// Entries that continue the snapshot. When the entry at the index of the snapshot has another
/// term, the log was overtaken by a snapshot from the leader and none of it is committed.
fn recovered_log(snapshot: &Snapshot, written: Vec<Entry>) -> Result<Log, StorageError> {
    let mut log = Log::new(snapshot.index, snapshot.term, snapshot.membership.clone());
    let mut entries: Vec<Entry> = Vec::new();
    for entry in written {
        while entries.last().is_some_and(|last| last.index >= entry.index) {
            entries.pop();
        }
        if entries
            .last()
            .is_some_and(|last| last.index + 1 != entry.index)
        {
            return Err(missing_entries(entry.index));
        }
        entries.push(entry);
    }
    let overtaken = entries
        .iter()
        .any(|entry| entry.index == snapshot.index && entry.term != snapshot.term);
    if overtaken {
        return Ok(log);
    }
    for entry in entries {
        if entry.index <= snapshot.index {
            continue;
        }
        if entry.index != log.last_index() + 1 {
            return Err(missing_entries(entry.index));
        }
        log.put(entry);
    }
    Ok(log)
}

fn missing_entries(index: Index) -> StorageError {
    StorageError::Damaged {
        file: "log".to_owned(),
        reason: format!("the entries before index {index} are missing"),
    }
}

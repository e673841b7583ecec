//! State of a replica and the operations that are common to all roles.
//!
//! The threads of [`super::Replica`] call these methods with the state locked. Tests call them
//! directly, in an order that they choose.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::ReplicaOptions;
use super::faults::{Fault, ReopenAttempts};
use super::log::{Entry, Index, Log, Payload, Term};
use super::membership::Membership;
use super::message::VotePhase;
use super::peer::Peer;
use super::propose::{Committed, ProposeError};
use super::snapshots::IncomingSnapshot;
use super::storage::{HardState, Recovered, Snapshot, Storage, StorageError};
use crate::ids::{HostId, Incarnation};

/// Raft role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    /// Replicates the log of a leader, or has no leader.
    Follower,
    /// Requests votes of the given kind.
    Candidate(VotePhase),
    /// Appends entries and replicates them.
    Leader,
}

/// A leadership transfer in progress.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub target: HostId,
    pub deadline: Instant,
}

pub(super) type PendingProposals<T> =
    BTreeMap<(Index, Term), Sender<Result<Committed<T>, ProposeError>>>;

/// State of one replica.
pub(super) struct State<T> {
    pub options: ReplicaOptions<T>,
    pub rng: StdRng,
    pub storage: Storage,
    /// Identity, term and vote; without incarnation until the storage has been opened.
    pub hard_state: HardState,
    /// The hard state that was saved last, which is the one that others may have seen.
    pub saved_hard_state: HardState,
    pub log: Log,
    /// Latest snapshot; its index is at most `applied` and at most the last index of `log`.
    pub snapshot: Snapshot,
    /// Index of the latest snapshot that was sent and the CRC-32 of its state, which is computed
    /// once for all chunks.
    pub sent_checksum: Option<(Index, u32)>,
    /// A newer snapshot that replaces `snapshot` once it is written.
    pub unsaved_snapshot: Option<Arc<Snapshot>>,
    /// No snapshot is taken before this time, since writing the latest one failed.
    pub next_snapshot_at: Option<Instant>,
    pub incoming: Option<IncomingSnapshot>,
    pub role: Role,
    pub leader: Option<HostId>,
    /// Last contact with a leader of the present term.
    pub heard_leader_at: Option<Instant>,
    pub election_deadline: Instant,
    /// Until this time a witness starts elections like any other voter, in order to replicate
    /// entries that the candidate it refused lacks.
    pub witness_campaign_until: Option<Instant>,
    /// Index of the first entry that this replica appended as leader of its latest term.
    pub term_start: Index,
    /// At most the last index of `log`.
    pub commit: Index,
    /// Index of the last applied entry. Above `commit` only after the storage was opened again
    /// without entries that were committed by other hosts and not synced here.
    pub applied: Index,
    /// Term and index of the last entry that is durable here. The index serves as this host's own
    /// match index.
    pub durable: (Term, Index),
    /// Incremented whenever entries from another leader, a snapshot or the formation change the log.
    /// The result of a sync that began under an earlier generation does not show what is durable.
    pub sync_generation: u64,
    pub peers: IndexMap<HostId, Peer>,
    /// Hosts for which `add_learner` was called; each is added once it has answered.
    pub requested_learners: IndexSet<HostId>,
    pub pending_proposals: PendingProposals<T>,
    pub transfer: Option<Transfer>,
    /// First storage failure, or the reason why the replica was stopped. While set, the replica
    /// neither votes nor acknowledges nor leads.
    pub fault: Option<Fault>,
    pub reopen_attempts: ReopenAttempts,
}

impl<T> State<T> {
    /// Opens the storage and restores the state found there. If that fails for a reason that may
    /// pass, the replica has a fault until its storage can be opened.
    ///
    /// # Errors
    ///
    /// [`StorageError`] when the storage is damaged, in use or not accessible.
    pub(super) fn open(options: ReplicaOptions<T>, now: Instant) -> Result<Self, StorageError> {
        let mut state = Self::closed(options, now);
        let opened = Storage::open(&state.options.storage).and_then(|(mut storage, recovered)| {
            let restored = state.restore(&mut storage, recovered)?;
            Ok((storage, restored))
        });
        match opened {
            Ok((storage, restored)) => state.adopt_storage(storage, restored, now),
            Err(error) if error.may_pass() => state.fail(&error),
            Err(error) => return Err(error),
        }
        Ok(state)
    }

    /// Returns the state of a replica whose storage has not been opened.
    fn closed(options: ReplicaOptions<T>, now: Instant) -> Self {
        Self {
            rng: StdRng::seed_from_u64(options.seed),
            storage: Storage::Memory,
            hard_state: HardState::default(),
            saved_hard_state: HardState::default(),
            log: Log::new(0, 0, Membership::default()),
            snapshot: Snapshot::default(),
            sent_checksum: None,
            unsaved_snapshot: None,
            next_snapshot_at: None,
            incoming: None,
            role: Role::Follower,
            leader: None,
            heard_leader_at: None,
            election_deadline: now,
            witness_campaign_until: None,
            term_start: 0,
            commit: 0,
            applied: 0,
            durable: (0, 0),
            sync_generation: 0,
            peers: IndexMap::new(),
            requested_learners: IndexSet::new(),
            pending_proposals: BTreeMap::new(),
            transfer: None,
            fault: None,
            reopen_attempts: ReopenAttempts::default(),
            options,
        }
    }

    /// Whether this replica votes: it is a voter of the membership in effect, by incarnation.
    pub(super) fn is_voter(&self) -> bool {
        let membership = self.log.membership();
        membership.is_voter(&self.options.host, self.hard_state.incarnation)
    }

    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        let timeout = self.options.timing.election_timeout;
        let spread = timeout.mul_f64(self.options.timing.election_spread);
        let spread_us = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX);
        let extra = Duration::from_micros(self.rng.random_range(0..=spread_us));
        self.election_deadline = now + timeout + extra;
    }

    /// Saves group, incarnation, term and vote. Returns whether they are durable.
    pub(super) fn save_hard_state(&mut self) -> bool {
        let saved = self.storage.save_hard_state(&self.hard_state);
        if self.ok_or_fail(saved).is_none() {
            return false;
        }
        self.saved_hard_state = self.hard_state.clone();
        true
    }

    /// Adopts the term if it is later than the present one, and becomes a follower. Returns
    /// whether the term is durable.
    pub(super) fn adopt_term(&mut self, term: Term, now: Instant) -> bool {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
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
                self.hard_state.term
            );
        }
        self.role = Role::Follower;
        self.leader = None;
        self.transfer = None;
        self.reset_election_deadline(now);
    }

    /// Describes for each other host how many milliseconds ago the latest answered call and the
    /// latest call were sent.
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

    /// Aligns the peers with the membership in effect, the initial voters before the formation,
    /// and the requested learners.
    pub(super) fn update_peers(&mut self) {
        let membership = self.log.membership();
        let mut wanted: IndexMap<HostId, Option<Incarnation>> = IndexMap::new();
        for member in &membership.members {
            wanted.insert(member.host.clone(), Some(member.incarnation));
        }
        let unformed = (self.hard_state.group == 0).then_some(&self.options.initial_voters);
        for host in unformed
            .into_iter()
            .flatten()
            .chain(&self.requested_learners)
        {
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

    /// Writes and syncs all entries on this thread. Returns whether they are durable.
    pub(super) fn sync_now(&mut self) -> bool {
        let synced = self
            .storage
            .begin_sync()
            .and_then(|job| job.map_or(Ok(()), |job| job.run()));
        if self.ok_or_fail(synced).is_none() {
            return false;
        }
        self.mark_durable(self.log.last_index());
        true
    }

    /// Applies committed entries in order and sends the outcomes to their proposers.
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
            self.notify_proposers(index, term, output);
        }
        if self.role == Role::Leader
            && self.log.membership_index() <= self.commit
            && !self.is_voter()
        {
            self.step_down(now);
        }
        self.compact_if_large(now);
    }

    fn notify_proposers(&mut self, index: Index, term: Term, output: Option<T>) {
        let mut output = Some(output);
        while let Some(first) = self.pending_proposals.first_entry() {
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

    /// Runs the time-driven operations: formation, elections, loss of the majority, membership
    /// changes.
    pub(super) fn tick(&mut self, now: Instant) {
        if self.fault.is_some() {
            return;
        }
        if self.hard_state.group == 0 {
            self.form_if_all_present(now);
        }
        match self.role {
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::Candidate(_) => self.campaign_if_due(now),
        }
    }
}

/// Returns the snapshot that belongs to the group of the replica.
pub(super) fn recover_snapshot(
    hard_state: &HardState,
    recovered: &Recovered,
) -> Result<Snapshot, StorageError> {
    if hard_state.group == 0 {
        // A snapshot is saved just before the group identifier. Without the identifier the
        // formation or the installation was never acknowledged.
        return Ok(Snapshot::default());
    }
    let snapshot = recovered.snapshot.clone();
    snapshot
        .filter(|snapshot| snapshot.group == hard_state.group)
        .ok_or_else(|| StorageError::Damaged {
            file: "snapshot".to_owned(),
            reason: "it is missing or belongs to another group".to_owned(),
        })
}

/// Restores the log after the snapshot. When the entry at the index of the snapshot has another
/// term, a snapshot from the leader superseded the log, and none of its entries is committed.
pub(super) fn recover_log(snapshot: &Snapshot, written: Vec<Entry>) -> Result<Log, StorageError> {
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
    let superseded = entries
        .iter()
        .any(|entry| entry.index == snapshot.index && entry.term != snapshot.term);
    if superseded {
        return Ok(log);
    }
    for entry in entries {
        if entry.index <= snapshot.index {
            continue;
        }
        if entry.index != log.last_index() + 1 {
            return Err(missing_entries(entry.index));
        }
        log.truncate_and_append(entry);
    }
    Ok(log)
}

fn missing_entries(index: Index) -> StorageError {
    StorageError::Damaged {
        file: "log".to_owned(),
        reason: format!("the entries before index {index} are missing"),
    }
}

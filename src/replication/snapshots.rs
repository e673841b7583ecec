//! Snapshots: log compaction, and catch-up of hosts whose next entry was compacted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::disk::SnapshotJob;
use super::formation::FORMATION_INDEX;
use super::instruments::count_storage_failure;
use super::log::{Entry, Index, Log, Term};
use super::membership::Membership;
use super::message::{GroupId, Reply, Request};
use super::peer::CallKind;
use super::propose::ProposeError;
use super::state::State;
use super::storage::{Snapshot, StorageError};

/// `max_log_entries` divided by this is the number of entries that are retained after a snapshot,
/// so that followers that are slightly behind need no snapshot.
const RETAINED_ENTRIES_DIVISOR: u64 = 8;

/// Pause after a snapshot that could not be written.
const SNAPSHOT_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// A snapshot that is being received in chunks.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    term: Term,
    index: Index,
    bytes: Vec<u8>,
}

/// A snapshot that is written while the state is not locked.
pub(super) struct PendingSnapshot {
    snapshot: Arc<Snapshot>,
    job: SnapshotJob,
}

impl PendingSnapshot {
    /// Writes the snapshot and blocks until it is durable.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`].
    pub(super) fn run(&self) -> Result<(), StorageError> {
        self.job.run(&self.snapshot)
    }
}

impl<T> State<T> {
    /// Takes a snapshot once the log exceeds its limits.
    pub(super) fn compact_if_large(&mut self, now: Instant) {
        let limits = &self.options.limits;
        // An applied entry above the commit index is missing in the log.
        if self.unsaved_snapshot.is_some() || self.applied > self.commit {
            return;
        }
        if self.next_snapshot_at.is_some_and(|at| now < at) {
            return;
        }
        let entries = self.applied - self.snapshot.index;
        let large = self.log.size_bytes() >= limits.max_log_bytes && entries > 0;
        if entries >= limits.max_log_entries || large {
            self.take_snapshot();
        }
    }

    pub(super) fn take_snapshot(&mut self) {
        let index = self.applied;
        let snapshot = Snapshot {
            group: self.hard_state.group,
            index,
            term: self.log.term_at(index).unwrap_or(0),
            membership: self.log.membership_at(index).clone(),
            state: Some((self.options.machine.snapshot)()),
            formation: self.snapshot.formation.clone(),
        };
        if self.storage.snapshot_job().is_some() {
            self.unsaved_snapshot = Some(Arc::new(snapshot));
        } else if self.save_snapshot(snapshot) {
            self.drop_covered_entries();
        }
    }

    /// Returns the snapshot that is to be written, if any.
    pub(super) fn begin_snapshot(&mut self) -> Option<PendingSnapshot> {
        let snapshot = self.unsaved_snapshot.clone()?;
        let job = self.storage.snapshot_job()?;
        self.fault
            .is_none()
            .then_some(PendingSnapshot { snapshot, job })
    }

    /// Adopts a snapshot that was written, unless a newer one from the leader was installed or the
    /// storage was opened again in the meantime.
    pub(super) fn finish_snapshot(
        &mut self,
        pending: PendingSnapshot,
        result: Result<(), StorageError>,
        now: Instant,
    ) {
        let current = self
            .unsaved_snapshot
            .take_if(|unsaved| Arc::ptr_eq(unsaved, &pending.snapshot));
        if current.is_none() {
            return;
        }
        if let Err(error) = result {
            self.postpone_snapshot(&error, now);
            return;
        }
        if pending.snapshot.index <= self.snapshot.index {
            return;
        }
        let adopted = self
            .storage
            .adopt_snapshot(&self.entries_after(pending.snapshot.index));
        if self.ok_or_fail(adopted).is_some() {
            self.set_snapshot(Arc::unwrap_or_clone(pending.snapshot));
            self.drop_covered_entries();
            self.advance_commit(now);
        }
    }

    /// Keeps the log as it is after a snapshot could not be written, and tries again later. Nothing
    /// that was acknowledged depends on the file, so this is no storage failure.
    fn postpone_snapshot(&mut self, error: &StorageError, now: Instant) {
        count_storage_failure(&self.options.group, error);
        log::warn!(
            cause = error.cause(), log_entries = self.log.last_index() - self.log.base_index(),
            log_bytes = self.log.size_bytes();
            "replica {} of {} keeps its whole log: {error}",
            self.options.host,
            self.options.group
        );
        self.next_snapshot_at = Some(now + SNAPSHOT_RETRY_PAUSE);
    }

    fn entries_after(&self, index: Index) -> Vec<Entry> {
        let after = self.log.entries().filter(|entry| entry.index > index);
        after.cloned().collect()
    }

    fn set_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot = snapshot;
        self.mark_durable(self.log.last_index());
        self.sync_generation += 1;
    }

    /// Drops entries that the snapshot covers, but retains some for followers that are slightly
    /// behind unless the log is at least half its size limit.
    fn drop_covered_entries(&mut self) {
        let index = self.snapshot.index;
        let limits = &self.options.limits;
        let retained = limits.max_log_entries / RETAINED_ENTRIES_DIVISOR;
        let keep_from = index.saturating_sub(retained);
        let base = if self.log.size_bytes() >= limits.max_log_bytes / 2 {
            index
        } else {
            keep_from
        };
        self.log.compact(base.max(self.log.base_index()));
    }

    /// Saves a snapshot with the entries after it. Returns whether they are durable.
    fn save_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let entries = self.entries_after(snapshot.index);
        let saved = self.storage.save_snapshot(&snapshot, &entries);
        if self.ok_or_fail(saved).is_none() {
            return false;
        }
        self.set_snapshot(snapshot);
        true
    }

    /// Returns the next chunk for a host whose next entry is no longer in the log.
    pub(super) fn snapshot_request(&mut self, host: &str) -> (CallKind, Request) {
        let peer = &mut self.peers[host];
        if peer.snapshot_index != self.snapshot.index {
            peer.snapshot_index = self.snapshot.index;
            peer.snapshot_offset = 0;
        }
        let state = self.snapshot.state.as_deref().unwrap_or_default();
        let known = self
            .sent_checksum
            .filter(|(index, _)| *index == self.snapshot.index);
        let checksum = known.map_or_else(|| crc32fast::hash(state), |(_, checksum)| checksum);
        self.sent_checksum = Some((self.snapshot.index, checksum));
        let start = usize::try_from(peer.snapshot_offset)
            .map_or(state.len(), |offset| offset.min(state.len()));
        let end = state.len().min(start + self.options.limits.chunk_bytes);
        let kind = CallKind::Snapshot {
            index: self.snapshot.index,
            total_bytes: state.len() as u64,
        };
        let request = Request::Snapshot {
            index: self.snapshot.index,
            index_term: self.snapshot.term,
            membership: self.snapshot.membership.clone(),
            formation: self.snapshot.formation.clone(),
            total_bytes: state.len() as u64,
            checksum,
            offset: start as u64,
            chunk: state[start..end].to_vec(),
        };
        (kind, request)
    }

    /// Returns the call that informs a voter without state of the formation; `None` before this
    /// host has joined a group.
    pub(super) fn form_request(&self) -> Option<(CallKind, Request)> {
        let membership = self.snapshot.formation.membership.clone();
        (self.hard_state.group != 0).then_some((CallKind::Form, Request::Form { membership }))
    }

    /// Stores one chunk from the leader, and installs the snapshot after the last one.
    pub(super) fn handle_snapshot(
        &mut self,
        group: GroupId,
        term: Term,
        request: Request,
        now: Instant,
    ) -> Reply {
        let Request::Snapshot {
            index,
            index_term,
            membership,
            formation,
            total_bytes,
            checksum,
            offset,
            chunk,
        } = request
        else {
            return Reply::Rejected;
        };
        if index <= self.commit {
            return Reply::Received {
                offset: total_bytes,
            };
        }
        let incoming = match self.incoming.take() {
            Some(incoming) if incoming.term == term && incoming.index == index => incoming,
            _ => IncomingSnapshot {
                term,
                index,
                bytes: Vec::new(),
            },
        };
        let incoming = self.incoming.insert(incoming);
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(&chunk);
        }
        let received = incoming.bytes.len() as u64;
        if received < total_bytes {
            return Reply::Received { offset: received };
        }
        let bytes = self.incoming.take().map(|incoming| incoming.bytes);
        let bytes = bytes.unwrap_or_default();
        if received != total_bytes || crc32fast::hash(&bytes) != checksum {
            return Reply::Received { offset: 0 };
        }
        let snapshot = Snapshot {
            group,
            index,
            term: index_term,
            membership,
            state: (index > FORMATION_INDEX).then_some(bytes),
            formation,
        };
        if self.install(snapshot, now) {
            Reply::Received {
                offset: total_bytes,
            }
        } else {
            Reply::Rejected
        }
    }

    /// Replaces the state of the state machine and the log up to the snapshot. Returns whether the
    /// snapshot is durable.
    fn install(&mut self, snapshot: Snapshot, now: Instant) -> bool {
        let (group, index, term) = (snapshot.group, snapshot.index, snapshot.term);
        let membership: Membership = snapshot.membership.clone();
        if self.log.term_at(index) == Some(term) {
            self.log.compact(index);
        } else {
            self.log = Log::new(index, term, membership);
        }
        if let Some(bytes) = &snapshot.state {
            (self.options.machine.restore)(bytes);
        }
        self.commit = index;
        self.applied = index;
        if !self.save_snapshot(snapshot) {
            return false;
        }
        if self.hard_state.group != group {
            self.hard_state.group = group;
            if !self.save_hard_state() {
                return false;
            }
        }
        while let Some(first) = self.pending_proposals.first_entry() {
            if first.key().0 > index {
                break;
            }
            let reason = "overtaken by a snapshot of another leader".to_owned();
            let _ = first.remove().send(Err(ProposeError::Unknown(reason)));
        }
        self.update_peers();
        self.reset_election_deadline(now);
        true
    }
}

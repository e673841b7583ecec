//! Storage failures of a replica, and the return to the group after them.
//!
//! After a failed operation the content of the files is unknown: a failed sync may have dropped
//! pages that a later sync reports as stored, a failed append may have left part of a record, and
//! a failed replacement may have taken place. A replica with a failed storage therefore votes and
//! acknowledges nothing. It closes the files, reads them as at the start of a process, compares
//! them with what it acknowledged, and writes all of them again before it takes part once more.
//! The state machine keeps its state, since what it applied was committed.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::instruments::{count_storage_failure, record_storage_unusable};
use super::log::{Index, Log, Term};
use super::propose::ProposeError;
use super::state::{Role, State, recover_log, recover_snapshot};
use super::storage::{HardState, Recovered, Snapshot, Storage, StorageError, StorageOptions};
use crate::ids::Incarnation;

/// Pause before the first attempt to open a failed storage again.
const FIRST_REOPEN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between attempts; a host whose disk has recovered returns within it.
const MAX_REOPEN_PAUSE: Duration = Duration::from_secs(1);
/// Time without a failure after which the pauses start from the shortest again.
const STABLE_AFTER: Duration = Duration::from_secs(10);

/// Why a replica neither votes nor acknowledges nor leads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Fault {
    pub reason: String,
    recovery: Recovery,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Recovery {
    /// The replica was shut down or received a contradictory log; it stays stopped.
    None,
    /// The storage failed, and the next attempt to open it is not scheduled yet.
    Unscheduled,
    /// The storage is opened again at this time.
    At(Instant),
}

/// Attempts to open a failed storage.
#[derive(Debug, Default)]
pub(super) struct ReopenAttempts {
    /// Attempts since the storage last worked for `STABLE_AFTER`.
    count: u32,
    /// When the storage was last opened after a failure.
    succeeded_at: Option<Instant>,
    /// When the present failure was noticed.
    failed_since: Option<Instant>,
}

/// An attempt to open the storage, which runs while the replica is not locked.
pub(super) struct ReopenJob {
    options: StorageOptions,
}

impl ReopenJob {
    /// Reads all files and writes them again; blocks until they are durable.
    ///
    /// # Errors
    ///
    /// [`StorageError`].
    pub(super) fn run(&self) -> Result<(Storage, Recovered), StorageError> {
        let (mut storage, recovered) = Storage::open(&self.options)?;
        storage.rewrite(&recovered)?;
        Ok((storage, recovered))
    }
}

/// Content of a storage as a replica uses it.
pub(super) struct Restored {
    pub hard_state: HardState,
    pub snapshot: Snapshot,
    pub log: Log,
}

impl<T> State<T> {
    /// Records a storage failure: the replica stops voting and acknowledging, and gives up its
    /// leadership, until the storage has been opened again.
    pub(super) fn fail(&mut self, error: &StorageError) {
        count_storage_failure(&self.options.group, error);
        if self.fault.is_some() {
            return;
        }
        record_storage_unusable(&self.options.group, true);
        log::error!(
            cause = error.cause(), role:? = self.role, term = self.hard_state.term,
            last_index = self.log.last_index(), durable = self.durable.1, commit = self.commit;
            "replica {} of {} stops voting: {error}",
            self.options.host,
            self.options.group
        );
        self.end_participation(error.to_string(), Recovery::Unscheduled);
    }

    /// Stops voting, acknowledging and leading permanently.
    pub(super) fn stop(&mut self, reason: &str) {
        self.end_participation(reason.to_owned(), Recovery::None);
    }

    fn end_participation(&mut self, reason: String, recovery: Recovery) {
        match &mut self.fault {
            Some(fault) if recovery == Recovery::None => fault.recovery = recovery,
            Some(_) => {}
            None => {
                self.fault = Some(Fault {
                    reason: reason.clone(),
                    recovery,
                });
            }
        }
        self.role = Role::Follower;
        self.leader = None;
        self.transfer = None;
        for (_, sender) in std::mem::take(&mut self.pending_proposals) {
            let _ = sender.send(Err(ProposeError::Unknown(reason.clone())));
        }
    }

    /// Returns the value of a success; records a failure with [`Self::fail`].
    pub(super) fn ok_or_fail<R>(&mut self, result: Result<R, StorageError>) -> Option<R> {
        result.map_err(|error| self.fail(&error)).ok()
    }

    /// Returns when the storage is to be opened again; `None` while it needs no attempt.
    pub(super) fn reopen_at(&mut self, now: Instant) -> Option<Instant> {
        let fault = self.fault.as_mut()?;
        match fault.recovery {
            Recovery::None => None,
            Recovery::At(at) => Some(at),
            Recovery::Unscheduled => {
                let attempts = &mut self.reopen_attempts;
                let stable_at = attempts.succeeded_at.map(|at| at + STABLE_AFTER);
                if stable_at.is_none_or(|stable_at| now >= stable_at) {
                    attempts.count = 0;
                }
                attempts.failed_since = Some(now);
                let at = now + attempts.next_pause();
                fault.recovery = Recovery::At(at);
                Some(at)
            }
        }
    }

    /// Closes the storage, so that the job can open it.
    pub(super) fn begin_reopen(&mut self) -> ReopenJob {
        self.storage = Storage::Memory;
        ReopenJob {
            options: self.options.storage.clone(),
        }
    }

    /// Takes part in the group again with an opened storage, or schedules the next attempt.
    pub(super) fn finish_reopen(
        &mut self,
        result: Result<(Storage, Recovered), StorageError>,
        now: Instant,
    ) {
        let scheduled = |fault: &Fault| fault.recovery != Recovery::None;
        if !self.fault.as_ref().is_some_and(scheduled) {
            return;
        }
        let checked = result.and_then(|(mut storage, recovered)| {
            let restored = self.restore(&mut storage, recovered)?;
            self.check_acknowledged(&restored)?;
            Ok((storage, restored))
        });
        match checked {
            Ok((storage, restored)) => self.rejoin(storage, restored, now),
            Err(error) => self.retry_reopen(&error, now),
        }
    }

    fn retry_reopen(&mut self, error: &StorageError, now: Instant) {
        count_storage_failure(&self.options.group, error);
        let Some(fault) = &mut self.fault else {
            return;
        };
        let retry_at = now + self.reopen_attempts.next_pause();
        fault.recovery = Recovery::At(retry_at);
        let reason = error.to_string();
        if fault.reason != reason {
            log::error!(
                cause = error.cause(), attempts = self.reopen_attempts.count;
                "replica {} of {} cannot use its storage again: {reason}",
                self.options.host,
                self.options.group
            );
            fault.reason = reason;
        }
    }

    fn rejoin(&mut self, storage: Storage, restored: Restored, now: Instant) {
        self.adopt_storage(storage, restored, now);
        self.fault = None;
        record_storage_unusable(&self.options.group, false);
        let attempts = &mut self.reopen_attempts;
        attempts.succeeded_at = Some(now);
        let failed_ms = attempts
            .failed_since
            .map(|since| now.saturating_duration_since(since).as_millis());
        log::info!(
            failed_ms:? = failed_ms, attempts = attempts.count, term = self.hard_state.term,
            last_index = self.log.last_index(), applied = self.applied;
            "replica {} of {} votes again: its storage works",
            self.options.host,
            self.options.group
        );
    }

    /// Returns what the replica recovers from its storage. A new storage gets an incarnation.
    ///
    /// # Errors
    ///
    /// [`StorageError`] when the files contradict each other, or the incarnation cannot be saved.
    pub(super) fn restore(
        &mut self,
        storage: &mut Storage,
        recovered: Recovered,
    ) -> Result<Restored, StorageError> {
        let hard_state = match recovered.hard_state.clone() {
            Some(hard_state) => hard_state,
            None => {
                let hard_state = HardState {
                    incarnation: self.rng.random_range(1..=Incarnation::MAX),
                    ..HardState::default()
                };
                storage.save_hard_state(&hard_state)?;
                hard_state
            }
        };
        let snapshot = recover_snapshot(&hard_state, &recovered)?;
        let log = recover_log(&snapshot, recovered.entries)?;
        Ok(Restored {
            hard_state,
            snapshot,
            log,
        })
    }

    /// Checks that nothing is missing that this replica acknowledged: its term, its vote, and its
    /// durable entries. Identity, term and vote are those that were saved last, or those whose
    /// replacement failed. The log ends at or after the last durable entry, or in a later term.
    fn check_acknowledged(&self, restored: &Restored) -> Result<(), StorageError> {
        if !self.was_opened() {
            return Ok(());
        }
        let found = &restored.hard_state;
        if *found != self.saved_hard_state && *found != self.hard_state {
            return Err(StorageError::Damaged {
                file: "state".to_owned(),
                reason: "the identity, the term or the vote was changed".to_owned(),
            });
        }
        let position = (restored.log.last_term(), restored.log.last_index());
        if found.group != 0 && position < self.durable {
            return Err(StorageError::Damaged {
                file: "log".to_owned(),
                reason: format!(
                    "acknowledged entries after index {} are missing",
                    position.1
                ),
            });
        }
        Ok(())
    }

    /// Whether the storage has been opened since the start of the process.
    pub(super) fn was_opened(&self) -> bool {
        self.hard_state.incarnation != 0
    }

    /// Continues as a follower with what was recovered. The state machine is restored unless it is
    /// ahead of the snapshot already; it may be ahead of the log as well, which a leader can commit
    /// before its own sync has ended.
    pub(super) fn adopt_storage(&mut self, storage: Storage, restored: Restored, now: Instant) {
        let Restored {
            hard_state,
            snapshot,
            log,
        } = restored;
        let starting = !self.was_opened();
        if snapshot.index > self.applied {
            if let Some(bytes) = &snapshot.state {
                (self.options.machine.restore)(bytes);
            }
            self.applied = snapshot.index;
        }
        self.storage = storage;
        self.saved_hard_state = hard_state.clone();
        self.hard_state = hard_state;
        self.commit = self.applied.min(log.last_index());
        self.snapshot = snapshot;
        self.log = log;
        self.mark_durable(self.log.last_index());
        self.sync_generation += 1;
        self.sent_checksum = None;
        self.unsaved_snapshot = None;
        self.incoming = None;
        self.update_peers();
        self.mark_unformed_peers();
        self.reset_election_deadline(now);
        if starting && self.hard_state.group != 0 {
            // The process before may have acknowledged a leader's lease a moment ago.
            self.heard_leader_at = Some(now);
        }
        if self.log.membership().voters().count() == 1 {
            self.election_deadline = now;
        }
    }

    /// Records that the entries up to the index are durable.
    pub(super) fn mark_durable(&mut self, index: Index) {
        let term: Term = self.log.term_at(index).unwrap_or(self.durable.0);
        self.durable = (term, index);
    }
}

impl ReopenAttempts {
    /// Counts an attempt and returns the pause before it.
    fn next_pause(&mut self) -> Duration {
        let pause = FIRST_REOPEN_PAUSE.saturating_mul(1 << self.count.min(10));
        self.count += 1;
        pause.min(MAX_REOPEN_PAUSE)
    }
}

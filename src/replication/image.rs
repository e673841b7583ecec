//! Simulated disk for tests. It outlives restarts of the replica and can lose unsynced entries.

use std::sync::{Arc, Mutex};

use super::log::Entry;
use super::storage::{HardState, Recovered, Snapshot, StorageError};

/// A simulated disk that the replica and the test share.
pub type SharedImage = Arc<Mutex<Image>>;

/// Content of a simulated disk.
#[derive(Debug, Default)]
pub struct Image {
    /// Group, incarnation, term and vote.
    pub hard_state: Option<HardState>,
    snapshot: Option<Snapshot>,
    synced: Vec<Entry>,
    unsynced: Vec<Entry>,
    /// While set, all operations fail.
    pub failure: Option<Failure>,
}

/// How the operations of a simulated disk fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// They change nothing.
    Refused,
    /// They report an error although they took place.
    Unreported,
}

impl Image {
    pub(super) fn recover(&mut self) -> Result<Recovered, StorageError> {
        self.check()?;
        Ok(Recovered {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.synced.clone(),
        })
    }

    pub(super) fn check(&self) -> Result<(), StorageError> {
        if self.failure.is_none() {
            return Ok(());
        }
        Err(StorageError::Io {
            operation: "write",
            file: "image".to_owned(),
            reason: "injected".to_owned(),
            kind: std::io::ErrorKind::StorageFull,
        })
    }

    pub(super) fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        if self.failure != Some(Failure::Refused) {
            self.hard_state = Some(hard_state.clone());
        }
        self.check()
    }

    pub(super) fn append(&mut self, entries: &[Entry]) {
        self.unsynced.extend_from_slice(entries);
    }

    pub(super) fn sync(&mut self) -> Result<(), StorageError> {
        if self.failure != Some(Failure::Refused) {
            self.synced.append(&mut self.unsynced);
        }
        self.check()
    }

    pub(super) fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        if self.failure != Some(Failure::Refused) {
            self.snapshot = Some(snapshot.clone());
            self.synced = entries.to_vec();
            self.unsynced.clear();
        }
        self.check()
    }

    /// Simulates a crash, which keeps or loses the entries that were not synced.
    pub fn crash(&mut self, keep_unsynced: bool) {
        if keep_unsynced {
            self.synced.append(&mut self.unsynced);
        }
        self.unsynced.clear();
    }
}

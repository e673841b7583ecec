//! Simulated disk for tests. It outlives restarts of the replica and can lose unsynced entries.

use std::sync::{Arc, Mutex};

use super::log::Entry;
use super::storage::{HardState, Recovered, Snapshot};

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
}

impl Image {
    pub(super) fn recover(&mut self) -> Recovered {
        Recovered {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.synced.clone(),
        }
    }

    pub(super) fn append(&mut self, entries: &[Entry]) {
        self.unsynced.extend_from_slice(entries);
    }

    pub(super) fn sync(&mut self) {
        self.synced.append(&mut self.unsynced);
    }

    pub(super) fn save_snapshot(&mut self, snapshot: &Snapshot, entries: &[Entry]) {
        self.snapshot = Some(snapshot.clone());
        self.synced = entries.to_vec();
        self.unsynced.clear();
    }

    /// Simulates a crash, which keeps or loses the entries that were not synced.
    pub fn crash(&mut self, keep_unsynced: bool) {
        if keep_unsynced {
            self.sync();
        }
        self.unsynced.clear();
    }
}

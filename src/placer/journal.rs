//! Interface of the placer to the placement log, which replicates its records.

use std::sync::{Arc, Mutex};

use thiserror::Error;

use super::records::{PlacementRecord, PlacementState};
use crate::ids::Epoch;
use crate::verdict::{ErrorCode, RequestError};

/// A record that was not committed, or may not have been.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum JournalError {
    /// The record was not and will not be committed.
    #[error("not the leader of the placement log: {0}")]
    NotLeader(String),
    /// The record may be committed later.
    #[error("the placement log did not confirm the record: {0}")]
    Unconfirmed(String),
}

impl JournalError {
    /// Returns the error for a caller whose work depends on the record.
    pub fn to_error(&self) -> RequestError {
        match self {
            Self::NotLeader(_) => {
                RequestError::did_not_run(ErrorCode::Unavailable, self.to_string())
            }
            Self::Unconfirmed(_) => self.may_have_run(),
        }
    }

    /// Error of a request that may run: it was sent to a runner, or its intent may be committed, so
    /// that a later placer may find it.
    pub fn may_have_run(&self) -> RequestError {
        RequestError::may_have_run(ErrorCode::Unavailable, self.to_string())
    }
}

/// Appends a record; returns once it is committed and applied.
pub type AppendRecord = Arc<dyn Fn(PlacementRecord) -> Result<(), JournalError> + Send + Sync>;
/// Returns the epoch while this host leads the placement log.
pub type CurrentEpoch = Arc<dyn Fn() -> Option<Epoch> + Send + Sync>;

/// Access to the placement log for requests.
#[derive(Clone)]
pub struct Journal {
    /// Appends a record and waits until it is applied to `state`.
    pub append: AppendRecord,
    /// Returns the current epoch; absent while this host does not lead the log.
    pub epoch: CurrentEpoch,
    /// State built from the committed records in log order.
    pub state: Arc<Mutex<PlacementState>>,
    /// Wall-clock time in Unix seconds before which records may be missing: the start of a process
    /// that keeps them in memory only, 0 for a replicated log. A submission with an earlier issue time
    /// may have run.
    pub records_since_unix_seconds: u64,
}

impl Journal {
    /// Creates a journal of a single host that leads in the given epoch and keeps only the state, in
    /// memory.
    pub fn in_memory(epoch: Epoch) -> Self {
        let state = Arc::new(Mutex::new(PlacementState::default()));
        let applied = Arc::clone(&state);
        Self {
            append: Arc::new(move |record| {
                applied.lock().unwrap().apply(record);
                Ok(())
            }),
            epoch: Arc::new(move || Some(epoch)),
            state,
            records_since_unix_seconds: 0,
        }
    }
}

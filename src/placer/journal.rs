//! Access of the placer to its replicated records.

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
    /// Error of work that depends on the record.
    pub fn to_error(&self) -> RequestError {
        match self {
            Self::NotLeader(_) => {
                RequestError::did_not_run(ErrorCode::Unavailable, self.to_string())
            }
            Self::Unconfirmed(_) => self.may_have_run(),
        }
    }

    /// Error of a request whose intent failed or may be committed, so that a later placer may find
    /// it, or that was sent to a runner.
    pub fn may_have_run(&self) -> RequestError {
        RequestError::may_have_run(ErrorCode::Unavailable, self.to_string())
    }
}

/// Appends a record; returns once it is committed and applied.
pub type AppendRecord = Arc<dyn Fn(PlacementRecord) -> Result<(), JournalError> + Send + Sync>;
/// Returns the epoch while this host leads the placement log.
pub type CurrentEpoch = Arc<dyn Fn() -> Option<Epoch> + Send + Sync>;

/// The placement log as the placer sees it.
#[derive(Clone)]
pub struct Journal {
    /// Appends a record.
    pub append: AppendRecord,
    /// Current epoch, when leading.
    pub epoch: CurrentEpoch,
    /// Committed records, applied in order.
    pub state: Arc<Mutex<PlacementState>>,
}

impl Journal {
    /// A journal of a single host that keeps its records in memory.
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
        }
    }
}

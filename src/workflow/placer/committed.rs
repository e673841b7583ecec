//! The committed state of the workflow log on this host.

use std::sync::{Arc, Mutex};

use crossbeam::channel::{Receiver, Sender, unbounded};

use super::super::records::Batch;
use super::super::state::WorkflowState;
use crate::ids::Epoch;
use crate::replication::StateMachine;

/// The committed state of a replica, and a channel with the positions of applied batches.
#[derive(Clone)]
pub struct Committed {
    /// State after the last applied batch.
    pub state: Arc<Mutex<WorkflowState>>,
    applied: Sender<(Epoch, u64)>,
    /// Positions of applied batches, in the order of the log.
    pub(super) notices: Receiver<(Epoch, u64)>,
}

impl Default for Committed {
    fn default() -> Self {
        let (applied, notices) = unbounded();
        Self {
            state: Arc::default(),
            applied,
            notices,
        }
    }
}

impl Committed {
    /// Returns the state machine of the workflow log, which shares this state.
    pub fn machine(&self) -> StateMachine<()> {
        let (apply, snapshot, restore) = (self.clone(), self.clone(), self.clone());
        StateMachine {
            apply: Box::new(
                move |index, command| match postcard::from_bytes::<Batch>(command) {
                    Ok(batch) => {
                        let position = (batch.epoch, batch.sequence);
                        if apply.state.lock().unwrap().apply(batch) {
                            let _ = apply.applied.send(position);
                        }
                    }
                    Err(error) => log::error!("failed to decode workflow batch {index}: {error}"),
                },
            ),
            snapshot: Box::new(move || snapshot.state.lock().unwrap().encode()),
            restore: Box::new(move |bytes| match WorkflowState::decode(bytes) {
                Ok(state) => *restore.state.lock().unwrap() = state,
                Err(error) => log::error!("failed to decode a workflow snapshot: {error}"),
            }),
        }
    }
}

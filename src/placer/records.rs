//! Replicated records of the placer and the state that they build.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Outcome;
use super::runners::RunnerSlot;
use crate::ids::{Epoch, Incarnation, RequestKey, TaskId, WorkerId};
use crate::protocol::caller::Submission;

/// Hash of everything that makes two requests the same.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Digest of a submission without its deadline and urgency.
    pub fn of(submission: &Submission) -> Self {
        let mut hasher = Sha256::new();
        for part in [&submission.member, &submission.service] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update([u8::from(submission.idempotent)]);
        hasher.update(&submission.payload);
        Self(hasher.finalize().into())
    }
}

/// One entry of the placement log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlacementRecord {
    /// A request is about to be sent to a runner.
    Intent {
        /// Key of the request.
        key: RequestKey,
        /// What the request is.
        digest: RequestDigest,
        /// Whether another attempt is allowed once this one cannot be running.
        idempotent: bool,
        /// Attempt.
        task: TaskId,
        /// Runner that gets it.
        worker: WorkerId,
        /// Incarnation of the runner.
        incarnation: Incarnation,
        /// Epoch of the placer that sends it.
        epoch: Epoch,
    },
    /// The outcome of a request is known.
    Completion {
        /// Key of the request.
        key: RequestKey,
        /// What the caller is told, also on a retry.
        outcome: Outcome,
    },
}

impl PlacementRecord {
    /// The intent to run a submission in a slot.
    pub fn intent(
        submission: &Submission,
        digest: RequestDigest,
        slot: &RunnerSlot,
        epoch: Epoch,
    ) -> Self {
        Self::Intent {
            key: submission.key.clone(),
            digest,
            idempotent: submission.idempotent,
            task: slot.task.clone(),
            worker: slot.worker.clone(),
            incarnation: slot.incarnation,
            epoch,
        }
    }
}

/// What is known about a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// What the request is.
    pub digest: RequestDigest,
    /// Whether another attempt is allowed once this one cannot be running.
    pub idempotent: bool,
    /// Latest attempt.
    pub task: TaskId,
    /// Runner of the latest attempt.
    pub worker: WorkerId,
    /// Incarnation of that runner.
    pub incarnation: Incarnation,
    /// Present once the outcome is known; never changes afterwards.
    pub outcome: Option<Outcome>,
}

/// State built from the committed records; equal on all replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementState {
    /// Records by key.
    pub keys: IndexMap<RequestKey, KeyRecord>,
}

impl PlacementState {
    /// Applies the next record.
    pub fn apply(&mut self, record: PlacementRecord) {
        match record {
            PlacementRecord::Intent {
                key,
                digest,
                idempotent,
                task,
                worker,
                incarnation,
                ..
            } => {
                let record = KeyRecord {
                    digest,
                    idempotent,
                    task,
                    worker,
                    incarnation,
                    outcome: None,
                };
                self.keys.insert(key, record);
            }
            PlacementRecord::Completion { key, outcome } => {
                if let Some(record) = self.keys.get_mut(&key) {
                    record.outcome.get_or_insert(outcome);
                }
            }
        }
    }
}

//! Deterministic state machine of the configuration log.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::audit::{AuditEntry, AuditFault, AuditTrail, MAX_AUDIT_ENTRIES};
use super::change::{ChangeOutcome, Command};
use super::content::{ConfigurationContent, Effect};
use super::digest::Sha256Digest;
use crate::ids::{ChangeId, ConfigVersion};

/// Maximum number of change ids whose outcomes are kept: more than four days at 2,400 changes a
/// day.
pub const MAX_OUTCOMES: usize = 10_000;
/// Version of the snapshot encoding.
const SNAPSHOT_FORMAT: u32 = 1;

/// State that results from the committed commands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationMachine {
    /// Replaced as a whole by each accepted change, so that readers keep a consistent version.
    content: Arc<ConfigurationContent>,
    /// At most [`MAX_OUTCOMES`], oldest first.
    outcomes: IndexMap<ChangeId, StoredOutcome>,
    /// The last version of the trail always equals the version of `content`.
    trail: AuditTrail,
}

/// Outcome of the first command with a change id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredOutcome {
    /// [`Command::digest`] of that command; detects the reuse of a change id for another change.
    digest: Sha256Digest,
    outcome: ChangeOutcome,
}

/// Result of a dry run.
#[derive(Clone, Debug, PartialEq)]
pub struct Preview {
    /// Outcome that the command would have.
    pub outcome: ChangeOutcome,
    /// Effect on the changed object; empty when the command would be rejected or has been applied
    /// already.
    pub effect: Effect,
}

/// Error of encoding or restoring a state.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RestoreError {
    /// The encoder or decoder failed.
    #[error("the configuration snapshot is damaged: {0}")]
    Damaged(String),
    /// The audit chain is broken.
    #[error("the audit trail of the configuration snapshot is damaged: {0}")]
    Audit(#[from] AuditFault),
    /// The offered state is older than the applied state.
    #[error("version {offered} is older than the applied version {applied}")]
    Older {
        /// Version of the offered state.
        offered: ConfigVersion,
        /// Version of the applied state.
        applied: ConfigVersion,
    },
}

impl ConfigurationMachine {
    /// Applies an encoded command and returns its encoded [`ChangeOutcome`].
    pub fn apply(&mut self, command: &[u8]) -> Vec<u8> {
        match postcard::from_bytes::<Command>(command) {
            Ok(command) => self.apply_command(&command).encode(),
            Err(error) => ChangeOutcome::Rejected {
                reason: format!("not a configuration command: {error}"),
            }
            .encode(),
        }
    }

    /// Applies a command, or returns the stored outcome when the change id is already known.
    pub fn apply_command(&mut self, command: &Command) -> ChangeOutcome {
        let digest = command.digest();
        if let Some(outcome) = self.stored_outcome(command, digest) {
            return outcome;
        }
        let outcome = match self.evaluate(command) {
            Ok((content, effect)) => self.accept(command, content, effect),
            Err(rejection) => rejection,
        };
        let stored = StoredOutcome {
            digest,
            outcome: outcome.clone(),
        };
        self.outcomes.insert(command.change_id.clone(), stored);
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.shift_remove_index(0);
        }
        outcome
    }

    /// Returns the outcome and the effect that a command would have now, without applying it.
    pub fn preview(&self, command: &Command) -> Preview {
        let mut effect = Effect::default();
        let outcome = match self.stored_outcome(command, command.digest()) {
            Some(outcome) => outcome,
            None => match self.evaluate(command) {
                Ok((content, planned)) => {
                    effect = planned;
                    let version = content.version;
                    ChangeOutcome::Accepted { version }
                }
                Err(rejection) => rejection,
            },
        };
        Preview { outcome, effect }
    }

    fn stored_outcome(&self, command: &Command, digest: Sha256Digest) -> Option<ChangeOutcome> {
        let earlier = self.outcomes.get(&command.change_id)?;
        if earlier.digest == digest {
            return Some(earlier.outcome.clone());
        }
        Some(ChangeOutcome::Rejected {
            reason: format!(
                "change id {} was used for another change; choose a new one",
                command.change_id
            ),
        })
    }

    /// Returns the content after the command and its effect, or the outcome that rejects it.
    fn evaluate(&self, command: &Command) -> Result<(ConfigurationContent, Effect), ChangeOutcome> {
        let version = self.version();
        if command.expected_version != version {
            let conflicting = self.trail.entry(command.expected_version.wrapping_add(1));
            return Err(ChangeOutcome::Conflict {
                version,
                accepted: conflicting.map(|entry| Box::new(entry.accepted_change())),
            });
        }
        let mut content = ConfigurationContent::clone(&self.content);
        match content.apply(command) {
            Ok(effect) => Ok((content, effect)),
            Err(reason) => Err(ChangeOutcome::Rejected { reason }),
        }
    }

    fn accept(
        &mut self,
        command: &Command,
        content: ConfigurationContent,
        effect: Effect,
    ) -> ChangeOutcome {
        let version = content.version;
        self.content = Arc::new(content);
        let entry = AuditEntry {
            version,
            change_id: command.change_id.clone(),
            author: command.author.clone(),
            at_unix_ms: command.at_unix_ms,
            reason: command.reason.clone(),
            change: command.change.clone(),
            before: effect.before,
            after: effect.after,
            predecessor: Sha256Digest::default(),
        };
        self.trail.append(entry, MAX_AUDIT_ENTRIES);
        ChangeOutcome::Accepted { version }
    }

    /// Returns the number of accepted changes.
    pub fn version(&self) -> ConfigVersion {
        self.content.version
    }

    /// Returns the content at the current version.
    pub fn content(&self) -> Arc<ConfigurationContent> {
        Arc::clone(&self.content)
    }

    /// Returns the stored outcome of a change id, or `None` when the id is unknown or its outcome
    /// is no longer kept.
    pub fn outcome(&self, change_id: &str) -> Option<&ChangeOutcome> {
        self.outcomes.get(change_id).map(|stored| &stored.outcome)
    }

    /// Returns the audit trail.
    pub fn trail(&self) -> &AuditTrail {
        &self.trail
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// Returns [`RestoreError::Damaged`] when the encoder fails.
    pub fn snapshot(&self) -> Result<Vec<u8>, RestoreError> {
        let parts = (
            SNAPSHOT_FORMAT,
            &*self.content,
            &self.outcomes,
            self.trail.encode(),
        );
        postcard::to_stdvec(&parts).map_err(|error| RestoreError::Damaged(error.to_string()))
    }

    /// Decodes a state and verifies its audit chain.
    ///
    /// # Errors
    ///
    /// Returns [`RestoreError`] when the snapshot is damaged or its audit chain is broken.
    pub fn restore(snapshot: &[u8]) -> Result<Self, RestoreError> {
        type Parts = (
            u32,
            ConfigurationContent,
            IndexMap<ChangeId, StoredOutcome>,
            Vec<u8>,
        );
        let damaged = |reason: String| RestoreError::Damaged(reason);
        let (parts, rest): (Parts, _) = postcard::take_from_bytes(snapshot)
            .map_err(|error| RestoreError::Damaged(error.to_string()))?;
        let (format, content, outcomes, trail) = parts;
        if format != SNAPSHOT_FORMAT || !rest.is_empty() {
            return Err(damaged(format!("unknown format {format} or extra bytes")));
        }
        let trail = AuditTrail::decode(&trail)?;
        if trail.last_version() != content.version {
            return Err(damaged(format!(
                "the content has version {} and the audit trail {}",
                content.version,
                trail.last_version()
            )));
        }
        Ok(Self {
            content: Arc::new(content),
            outcomes,
            trail,
        })
    }
}

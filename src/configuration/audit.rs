//! Audit trail: one entry for each accepted change, chained by SHA-256.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::change::{AcceptedChange, Change};
use super::digest::Sha256Digest;
use crate::ids::{ChangeId, ConfigVersion};

/// Maximum number of entries kept in the state: 20 days at 2,400 changes a day. A snapshot with
/// 21,200 entries, 10,000 outcomes and 500 teams has 9.6 MB, so a full one has about 22 MB. Older
/// entries must be archived with `jujubewinch audit list --output json`; an unbounded trail would
/// exceed the memory limit of a control host within a year.
pub const MAX_AUDIT_ENTRIES: usize = 50_000;

/// Record of one accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version that the change created; one larger than the version of the preceding entry.
    pub version: ConfigVersion,
    /// Id that the client chose for the change.
    pub change_id: ChangeId,
    /// Name of the operator who made the change.
    pub author: String,
    /// Wall-clock time at which the change was proposed.
    pub at_unix_ms: u64,
    /// The author's reason; never empty.
    pub reason: String,
    /// The change itself.
    pub change: Change,
    /// The object before the change, as JSON; absent when it did not exist.
    pub before: Option<String>,
    /// The object after the change, as JSON; absent when it no longer exists.
    pub after: Option<String>,
    /// Digest of the preceding entry; zero in the first one.
    pub predecessor: Sha256Digest,
}

impl AuditEntry {
    /// Returns the digest of the postcard encoding of all fields.
    pub fn digest(&self) -> Sha256Digest {
        Sha256Digest::of(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Returns the part of the entry that is reported to the author of a conflicting change.
    pub fn accepted_change(&self) -> AcceptedChange {
        AcceptedChange {
            version: self.version,
            change_id: self.change_id.clone(),
            author: self.author.clone(),
            reason: self.reason.clone(),
            at_unix_ms: self.at_unix_ms,
            change: self.change.clone(),
        }
    }
}

/// Fault of the audit chain.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum AuditFault {
    /// Entries are missing or out of order.
    #[error("the entry of version {expected} is missing; found {found}")]
    Gap {
        /// Version that should follow the preceding entry.
        expected: ConfigVersion,
        /// Version of the entry found instead; zero at the end of the trail.
        found: ConfigVersion,
    },
    /// An entry was edited.
    #[error("the entry of version {version} or its successor was edited")]
    Edited {
        /// Version of the entry whose digest differs from the digest recorded after it.
        version: ConfigVersion,
    },
    /// The bytes are not a canonical encoding of a trail.
    #[error("the audit trail cannot be decoded")]
    Undecodable,
}

/// The kept entries, with the versions and digests that anchor both ends of the chain.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditTrail {
    /// Version of the last dropped entry; zero when all entries are kept.
    dropped_version: ConfigVersion,
    /// Digest of the last dropped entry; zero when all entries are kept.
    dropped_digest: Sha256Digest,
    entries: VecDeque<AuditEntry>,
    /// Version of the last entry; detects a truncated trail.
    last_version: ConfigVersion,
    /// Digest of the last entry; detects an edit of that entry.
    last_digest: Sha256Digest,
}

impl AuditTrail {
    /// Appends an entry, sets its predecessor digest, and drops the oldest entries above
    /// `max_entries`.
    pub(super) fn append(&mut self, mut entry: AuditEntry, max_entries: usize) {
        entry.predecessor = self.last_digest;
        self.last_version = entry.version;
        self.last_digest = entry.digest();
        self.entries.push_back(entry);
        while self.entries.len() > max_entries {
            let Some(dropped) = self.entries.pop_front() else {
                return;
            };
            self.dropped_version = dropped.version;
            self.dropped_digest = dropped.digest();
        }
    }

    /// Returns the version of the last entry; zero for an empty trail.
    pub fn last_version(&self) -> ConfigVersion {
        self.last_version
    }

    /// Iterates over the kept entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    /// Returns the entry of the change that created `version`, when it is still kept.
    pub fn entry(&self, version: ConfigVersion) -> Option<&AuditEntry> {
        let position = version.checked_sub(self.dropped_version + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Checks the whole chain and returns the number of entries.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn verify(&self) -> Result<usize, AuditFault> {
        let mut version = self.dropped_version;
        let mut digest = self.dropped_digest;
        for entry in &self.entries {
            if entry.version != version + 1 {
                return Err(AuditFault::Gap {
                    expected: version + 1,
                    found: entry.version,
                });
            }
            if entry.predecessor != digest {
                return Err(AuditFault::Edited { version });
            }
            version = entry.version;
            digest = entry.digest();
        }
        if version != self.last_version {
            return Err(AuditFault::Gap {
                expected: version + 1,
                found: 0,
            });
        }
        if digest != self.last_digest {
            return Err(AuditFault::Edited { version });
        }
        Ok(self.entries.len())
    }

    /// Encodes the trail.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes and verifies a trail.
    ///
    /// # Errors
    ///
    /// Returns the first fault. Bytes that differ from the output of [`AuditTrail::encode`] are
    /// also a fault, since postcard accepts some values in a longer form and ignores trailing
    /// bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, AuditFault> {
        let trail: Self = postcard::from_bytes(bytes).map_err(|_| AuditFault::Undecodable)?;
        if trail.encode() != bytes {
            return Err(AuditFault::Undecodable);
        }
        trail.verify()?;
        Ok(trail)
    }
}

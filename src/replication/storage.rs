//! Durable state of a replica: identity, term and vote, snapshot, and entries.

use std::path::PathBuf;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::disk::{Disk, SnapshotJob, SyncJob};
#[cfg(test)]
use super::image::SharedImage;
use super::log::{Entry, Index, Term};
use super::membership::Membership;
use super::message::GroupId;
use crate::ids::{HostId, Incarnation};

/// Where a replica keeps its state.
#[derive(Clone, Debug)]
pub enum StorageOptions {
    /// In memory; each start is a new incarnation.
    Memory,
    /// In this folder, which no other process may use.
    Folder(PathBuf),
    /// In memory that a test keeps over restarts.
    #[cfg(test)]
    Image(SharedImage),
}

/// A storage failure; the replica stops voting.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum StorageError {
    /// The operating system reported an error.
    #[error("cannot {operation} {file}: {reason}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// File or folder.
        file: String,
        /// What the operating system reported.
        reason: String,
    },
    /// A file is damaged before its end.
    #[error("{file} is damaged: {reason}")]
    Damaged {
        /// File.
        file: String,
        /// What is wrong.
        reason: String,
    },
    /// Another process uses the folder.
    #[error("{0} is in use by another process")]
    InUse(String),
}

/// Identity, term and vote.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HardState {
    /// Group; zero before the replica has joined one.
    pub group: GroupId,
    /// Identity of this storage.
    pub incarnation: Incarnation,
    /// Latest term.
    pub term: Term,
    /// Candidate that got the vote of the term.
    pub voted_for: Option<(HostId, Incarnation)>,
}

/// State of the machine after the entry at an index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Group to which it belongs.
    pub group: GroupId,
    /// Last covered index.
    pub index: Index,
    /// Term at that index.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
    /// State of the machine; `None` before the first entry.
    pub state: Option<Vec<u8>>,
    /// How the group was formed.
    pub formation: Formation,
}

/// Initial state of a group, for voters that missed the formation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Formation {
    /// First term.
    pub term: Term,
    /// Initial members.
    pub membership: Membership,
}

/// What was found when the storage was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Absent when the storage is new.
    pub hard_state: Option<HardState>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries in the order of writing; a later entry replaces all from its index on.
    pub entries: Vec<Entry>,
}

/// Storage of one replica.
pub enum Storage {
    /// Keeps nothing.
    Memory,
    /// Keeps everything in files.
    Disk(Box<Disk>),
    /// Keeps everything in memory of a test.
    #[cfg(test)]
    Image(SharedImage),
}

impl Storage {
    /// Opens the storage and reads its content.
    ///
    /// # Errors
    ///
    /// [`StorageError`] when it is damaged, in use or unreadable.
    pub fn open(options: &StorageOptions) -> Result<(Self, Recovered), StorageError> {
        match options {
            StorageOptions::Memory => Ok((Self::Memory, Recovered::default())),
            StorageOptions::Folder(folder) => {
                let (disk, recovered) = Disk::open(folder, Arc::new(|_| Ok(())))?;
                Ok((Self::Disk(Box::new(disk)), recovered))
            }
            #[cfg(test)]
            StorageOptions::Image(image) => {
                let recovered = image.lock().unwrap().recover();
                Ok((Self::Image(Arc::clone(image)), recovered))
            }
        }
    }

    /// Replaces identity, term and vote; durable on return.
    ///
    /// # Errors
    ///
    /// [`StorageError`].
    pub fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        match self {
            Self::Memory => Ok(()),
            Self::Disk(disk) => disk.save_hard_state(hard_state),
            #[cfg(test)]
            Self::Image(image) => {
                image.lock().unwrap().hard_state = Some(hard_state.clone());
                Ok(())
            }
        }
    }

    /// Adds entries; durable after the next sync.
    pub fn append(&mut self, entries: &[Entry]) {
        match self {
            Self::Memory => {}
            Self::Disk(disk) => disk.append(entries),
            #[cfg(test)]
            Self::Image(image) => image.lock().unwrap().append(entries),
        }
    }

    /// Writes the added entries and returns what remains to be done to make them durable;
    /// `None` when nothing remains.
    ///
    /// # Errors
    ///
    /// [`StorageError`].
    pub fn begin_sync(&mut self) -> Result<Option<SyncJob>, StorageError> {
        match self {
            Self::Memory => Ok(None),
            Self::Disk(disk) => disk.begin_sync().map(Some),
            #[cfg(test)]
            Self::Image(image) => {
                image.lock().unwrap().sync();
                Ok(None)
            }
        }
    }

    /// Whether entries need a sync to be durable.
    pub fn needs_sync(&self) -> bool {
        !matches!(self, Self::Memory)
    }

    /// What writes a snapshot without the lock of the replica; `None` when saving is immediate.
    pub fn snapshot_job(&self) -> Option<SnapshotJob> {
        match self {
            Self::Disk(disk) => Some(disk.snapshot_job()),
            _ => None,
        }
    }

    /// Takes up a snapshot that was written by a job, and replaces all entries; durable on return.
    ///
    /// # Errors
    ///
    /// [`StorageError`].
    pub fn adopt_snapshot(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        match self {
            Self::Disk(disk) => disk.adopt_snapshot(entries),
            _ => Ok(()),
        }
    }

    /// Replaces the snapshot and all entries; durable on return.
    ///
    /// # Errors
    ///
    /// [`StorageError`].
    pub fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        match self {
            Self::Memory => Ok(()),
            Self::Disk(disk) => disk.save_snapshot(snapshot, entries),
            #[cfg(test)]
            Self::Image(image) => {
                image.lock().unwrap().save_snapshot(snapshot, entries);
                Ok(())
            }
        }
    }
}

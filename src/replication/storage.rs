//! Durable state of a replica: hard state (identity, term and vote), snapshot and entries.

use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

#[cfg(test)]
use super::disk::DiskHook;
use super::disk::{Disk, SnapshotJob, SyncJob};
#[cfg(test)]
use super::image::SharedImage;
use super::log::{Entry, Index, Term};
use super::membership::Membership;
use super::message::GroupId;
use crate::ids::{HostId, Incarnation};

/// Kind and place of the storage of a replica.
#[derive(Clone, Debug)]
pub enum StorageOptions {
    /// In memory; each start creates a new incarnation.
    Memory,
    /// In the files of this folder, which no other process may use.
    Folder(PathBuf),
    /// On a simulated disk that a test keeps over restarts.
    #[cfg(test)]
    Image(SharedImage),
    /// In the files of a folder, with operations that a test can make fail.
    #[cfg(test)]
    Hooked(HookedFolder),
}

impl StorageOptions {
    /// Returns whether state outlives the process, so that entries need a sync.
    pub fn is_durable(&self) -> bool {
        !matches!(self, Self::Memory)
    }
}

/// A folder whose disk operations a test can make fail.
#[cfg(test)]
#[derive(Clone)]
pub struct HookedFolder {
    /// Folder of the files.
    pub folder: PathBuf,
    /// Called before each operation.
    pub hook: DiskHook,
}

#[cfg(test)]
impl std::fmt::Debug for HookedFolder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.folder.fmt(formatter)
    }
}

/// A storage failure, after which the replica stops voting until the storage works again.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum StorageError {
    /// The operating system reported an error.
    #[error("cannot {operation} {file}: {reason}")]
    Io {
        /// Verb of the operation that failed, such as `write`.
        operation: &'static str,
        /// Path of the file or folder.
        file: String,
        /// Error text of the operating system.
        reason: String,
        /// Kind of that error.
        kind: ErrorKind,
    },
    /// A file is missing, or damaged other than by an incomplete last record.
    #[error("{file} is damaged: {reason}")]
    Damaged {
        /// Path of the file.
        file: String,
        /// How the damage shows.
        reason: String,
    },
    /// Another process uses the folder.
    #[error("{0} is in use by another process")]
    InUse(String),
}

impl StorageError {
    /// Returns whether the failure may pass without an operator, as on a full disk. Wrong paths and
    /// permissions, damage and folders in use do not.
    pub fn may_pass(&self) -> bool {
        let Self::Io { kind, .. } = self else {
            return false;
        };
        !matches!(
            kind,
            ErrorKind::NotFound
                | ErrorKind::PermissionDenied
                | ErrorKind::AlreadyExists
                | ErrorKind::NotADirectory
                | ErrorKind::IsADirectory
        )
    }

    /// Returns the failed operation, `damaged` or `in use`, for metrics and log fields.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Io { operation, .. } => operation,
            Self::Damaged { .. } => "damaged",
            Self::InUse(_) => "in use",
        }
    }
}

/// Identity, term and vote; saved before the replica acts on a change of them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HardState {
    /// Group of the replica; zero before it has joined one.
    pub group: GroupId,
    /// Identity of this storage.
    pub incarnation: Incarnation,
    /// Latest term that the replica has seen.
    pub term: Term,
    /// Candidate that received this replica's vote in the term.
    pub voted_for: Option<(HostId, Incarnation)>,
}

/// State of the state machine after the entry at an index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Group to which the snapshot belongs.
    pub group: GroupId,
    /// Index of the last entry that the snapshot covers.
    pub index: Index,
    /// Term at that index.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
    /// Encoded state of the state machine; `None` before the first entry.
    pub state: Option<Vec<u8>>,
    /// Initial state of the group.
    pub formation: Formation,
}

/// Initial state of a group, for voters that missed the formation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Formation {
    /// First term of the group.
    pub term: Term,
    /// Members with which the group was formed.
    pub membership: Membership,
}

/// State that was found when the storage was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Identity, term and vote; absent when the storage is new.
    pub hard_state: Option<HardState>,
    /// Latest snapshot; absent before the replica has joined a group.
    pub snapshot: Option<Snapshot>,
    /// Entries in the order of writing; an entry replaces all earlier entries from its index on.
    pub entries: Vec<Entry>,
}

/// Storage of one replica.
pub enum Storage {
    /// Stores nothing; state is lost with the process.
    Memory,
    /// Stores the state in files.
    Disk(Box<Disk>),
    /// Stores the state on a simulated disk.
    #[cfg(test)]
    Image(SharedImage),
}

impl Storage {
    /// Opens the storage and reads its content.
    ///
    /// # Errors
    ///
    /// [`StorageError`] when the storage is damaged, in use or unreadable.
    pub fn open(options: &StorageOptions) -> Result<(Self, Recovered), StorageError> {
        match options {
            StorageOptions::Memory => Ok((Self::Memory, Recovered::default())),
            StorageOptions::Folder(folder) => {
                let (disk, recovered) = Disk::open(folder, Arc::new(|_| Ok(())))?;
                Ok((Self::Disk(Box::new(disk)), recovered))
            }
            #[cfg(test)]
            StorageOptions::Hooked(HookedFolder { folder, hook }) => {
                let (disk, recovered) = Disk::open(folder, Arc::clone(hook))?;
                Ok((Self::Disk(Box::new(disk)), recovered))
            }
            #[cfg(test)]
            StorageOptions::Image(image) => {
                let recovered = image.lock().unwrap().recover()?;
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
            Self::Image(image) => image.lock().unwrap().save_hard_state(hard_state),
        }
    }

    /// Appends entries, which are durable after the next sync.
    pub fn append(&mut self, entries: &[Entry]) {
        match self {
            Self::Memory => {}
            Self::Disk(disk) => disk.append(entries),
            #[cfg(test)]
            Self::Image(image) => image.lock().unwrap().append(entries),
        }
    }

    /// Writes the appended entries and returns the sync that makes them durable; `None` when no
    /// sync is needed.
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
                image.lock().unwrap().sync()?;
                Ok(None)
            }
        }
    }

    /// Returns whether entries need a sync to be durable.
    pub fn needs_sync(&self) -> bool {
        !matches!(self, Self::Memory)
    }

    /// Returns a job that writes a snapshot while the replica is not locked; `None` for storage that
    /// saves snapshots immediately.
    pub fn snapshot_job(&self) -> Option<SnapshotJob> {
        match self {
            Self::Disk(disk) => Some(disk.snapshot_job()),
            _ => None,
        }
    }

    /// Replaces the snapshot with one that a [`SnapshotJob`] has written, and replaces all entries;
    /// durable on return.
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

    /// Writes all that was recovered again; durable on return.
    ///
    /// # Errors
    ///
    /// [`StorageError`].
    pub fn rewrite(&mut self, recovered: &Recovered) -> Result<(), StorageError> {
        match self {
            Self::Memory => Ok(()),
            Self::Disk(disk) => disk.rewrite(recovered),
            #[cfg(test)]
            Self::Image(image) => image.lock().unwrap().check(),
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
            Self::Image(image) => image.lock().unwrap().save_snapshot(snapshot, entries),
        }
    }
}

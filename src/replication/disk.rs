//! Files of a replica, all in one folder.
//!
//! `state` and `snapshot` hold one record each and are replaced by rename. `log` holds one record
//! for each sync. A record is written only after the preceding record was synced, so that a crash
//! damages at most the last record. An entry replaces all earlier entries from its index on.

use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use super::log::Entry;
use super::message::{decode, encode};
use super::storage::{HardState, Recovered, Snapshot, StorageError};

/// First bytes of each record.
const MAGIC: [u8; 4] = *b"jwr1";
/// Magic, content length, CRC-32 of the content, and CRC-32 of these fields and the record's
/// position. The position prevents that a copy of a record inside a command is mistaken for a
/// record.
const HEADER_BYTES: usize = 16;
const STATE_FILE: &str = "state";
const SNAPSHOT_FILE: &str = "snapshot";
/// File to which a snapshot is written while the replica is not locked; it is then renamed.
const BACKGROUND_FILE: &str = "snapshot.background";
const LOG_FILE: &str = "log";
const LOCK_FILE: &str = "lock";

/// A disk operation that a test can make fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DiskOperation {
    /// Write to a file.
    Write,
    /// Sync of a file or folder.
    Sync,
    /// Rename of a file.
    Rename,
}

/// Called before each operation; an error that the hook returns fails the operation.
pub type DiskHook = Arc<dyn Fn(DiskOperation) -> std::io::Result<()> + Send + Sync>;

/// Open files of a replica.
pub struct Disk {
    folder: PathBuf,
    hook: DiskHook,
    log: Arc<File>,
    log_bytes: u64,
    /// Length of the log that is known to be synced.
    synced_bytes: Arc<AtomicU64>,
    /// Entries that were appended since the last write.
    unwritten: Vec<Entry>,
    /// Holds the lock of the folder until it is dropped.
    _lock: fd_lock::RwLock<File>,
}

/// A sync of the log that can run without access to the [`Disk`].
pub struct SyncJob {
    log: Arc<File>,
    hook: DiskHook,
    path: PathBuf,
    log_bytes: u64,
    synced_bytes: Arc<AtomicU64>,
}

impl SyncJob {
    /// Syncs the log file.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`].
    pub fn run(&self) -> Result<(), StorageError> {
        (self.hook)(DiskOperation::Sync)
            .and_then(|()| self.log.sync_data())
            .map_err(|error| io_error("sync", &self.path, &error))?;
        self.synced_bytes
            .fetch_max(self.log_bytes, Ordering::AcqRel);
        Ok(())
    }
}

/// A write of a snapshot to a second file, which can run without access to the [`Disk`].
pub struct SnapshotJob {
    path: PathBuf,
    hook: DiskHook,
}

impl SnapshotJob {
    /// Writes and syncs the second file.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`].
    pub fn run(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        write_file(&self.hook, &self.path, &encode_record(snapshot, 0))
    }
}

impl Disk {
    /// Opens or creates the files in a folder.
    ///
    /// # Errors
    ///
    /// [`StorageError`] when the folder is in use, a file is damaged or cannot be read.
    pub fn open(folder: &Path, hook: DiskHook) -> Result<(Self, Recovered), StorageError> {
        fs::create_dir_all(folder).map_err(|error| io_error("create", folder, &error))?;
        let lock = lock_folder(folder)?;
        let hard_state: Option<HardState> = read_single(&folder.join(STATE_FILE))?;
        let snapshot: Option<Snapshot> = read_single(&folder.join(SNAPSHOT_FILE))?;
        let log_path = folder.join(LOG_FILE);
        if hard_state.is_some() && !log_path.exists() {
            return Err(damaged(&log_path, "it is missing"));
        }
        let log = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(&log_path)
            .map_err(|error| io_error("open", &log_path, &error))?;
        let bytes = fs::read(&log_path).map_err(|error| io_error("read", &log_path, &error))?;
        let (entries, valid) = parse_log(&log_path, &bytes)?;
        if hard_state.is_none() && !entries.is_empty() {
            return Err(damaged(&folder.join(STATE_FILE), "it is missing"));
        }
        let disk = Self {
            folder: folder.to_owned(),
            hook,
            log: Arc::new(log),
            log_bytes: valid as u64,
            synced_bytes: Arc::new(AtomicU64::new(valid as u64)),
            unwritten: Vec::new(),
            _lock: lock,
        };
        if valid < bytes.len() {
            log::warn!(
                "{} ends in an incomplete record; truncating {} bytes",
                log_path.display(),
                bytes.len() - valid
            );
            disk.log
                .set_len(valid as u64)
                .map_err(|error| io_error("truncate", &log_path, &error))?;
        }
        disk.sync(&disk.log, &log_path)?;
        disk.sync_folder()?;
        let recovered = Recovered {
            hard_state,
            snapshot,
            entries,
        };
        Ok((disk, recovered))
    }

    /// Replaces the hook, so that later operations can fail.
    #[cfg(test)]
    pub(super) fn set_hook(&mut self, hook: DiskHook) {
        self.hook = hook;
    }

    pub(super) fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        self.replace(STATE_FILE, &encode_record(hard_state, 0))
    }

    pub(super) fn append(&mut self, entries: &[Entry]) {
        self.unwritten.extend_from_slice(entries);
    }

    pub(super) fn begin_sync(&mut self) -> Result<SyncJob, StorageError> {
        if !self.unwritten.is_empty() {
            if self.synced_bytes.load(Ordering::Acquire) < self.log_bytes {
                self.sync_job().run()?;
            }
            let bytes = encode_record(&self.unwritten, self.log_bytes);
            write(&self.hook, &self.log, &self.folder.join(LOG_FILE), &bytes)?;
            self.log_bytes += bytes.len() as u64;
            self.unwritten.clear();
        }
        Ok(self.sync_job())
    }

    fn sync_job(&self) -> SyncJob {
        SyncJob {
            log: Arc::clone(&self.log),
            hook: Arc::clone(&self.hook),
            path: self.folder.join(LOG_FILE),
            log_bytes: self.log_bytes,
            synced_bytes: Arc::clone(&self.synced_bytes),
        }
    }

    /// Returns a job that writes a snapshot without access to the [`Disk`].
    pub(super) fn snapshot_job(&self) -> SnapshotJob {
        SnapshotJob {
            path: self.folder.join(BACKGROUND_FILE),
            hook: Arc::clone(&self.hook),
        }
    }

    /// Replaces the snapshot with one that a [`SnapshotJob`] has written, then the log with the
    /// entries that the snapshot does not cover.
    pub(super) fn adopt_snapshot(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let path = self.folder.join(SNAPSHOT_FILE);
        self.rename(&self.folder.join(BACKGROUND_FILE), &path)?;
        self.replace_log(entries)
    }

    /// Writes the snapshot, then the log with the entries that the snapshot does not cover. A crash
    /// between the two writes leaves a log that overlaps the snapshot.
    pub(super) fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.replace(SNAPSHOT_FILE, &encode_record(snapshot, 0))?;
        self.replace_log(entries)
    }

    /// Writes all files anew. After a failed sync, another sync of the same file may succeed without
    /// writing the pages that the first one dropped.
    pub(super) fn rewrite(&mut self, recovered: &Recovered) -> Result<(), StorageError> {
        if let Some(hard_state) = &recovered.hard_state {
            self.save_hard_state(hard_state)?;
        }
        match &recovered.snapshot {
            Some(snapshot) => self.save_snapshot(snapshot, &recovered.entries),
            None => self.replace_log(&recovered.entries),
        }
    }

    fn replace_log(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let bytes = if entries.is_empty() {
            Vec::new()
        } else {
            encode_record(&entries, 0)
        };
        self.replace(LOG_FILE, &bytes)?;
        self.unwritten.clear();
        let path = self.folder.join(LOG_FILE);
        let log = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(|error| io_error("open", &path, &error))?;
        self.log = Arc::new(log);
        self.log_bytes = bytes.len() as u64;
        self.synced_bytes = Arc::new(AtomicU64::new(self.log_bytes));
        Ok(())
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let path = self.folder.join(name);
        let temporary = self.folder.join(format!("{name}.new"));
        write_file(&self.hook, &temporary, bytes)?;
        self.rename(&temporary, &path)
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<(), StorageError> {
        (self.hook)(DiskOperation::Rename)
            .and_then(|()| fs::rename(from, to))
            .map_err(|error| io_error("rename", to, &error))?;
        self.sync_folder()
    }

    fn sync(&self, file: &File, path: &Path) -> Result<(), StorageError> {
        sync(&self.hook, file, path)
    }

    fn sync_folder(&self) -> Result<(), StorageError> {
        let folder =
            File::open(&self.folder).map_err(|error| io_error("open", &self.folder, &error))?;
        self.sync(&folder, &self.folder)
    }
}

fn write(hook: &DiskHook, mut file: &File, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
    hook(DiskOperation::Write)
        .and_then(|()| file.write_all(bytes))
        .map_err(|error| io_error("write", path, &error))
}

fn sync(hook: &DiskHook, file: &File, path: &Path) -> Result<(), StorageError> {
    hook(DiskOperation::Sync)
        .and_then(|()| file.sync_all())
        .map_err(|error| io_error("sync", path, &error))
}

fn write_file(hook: &DiskHook, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
    let file = File::create(path).map_err(|error| io_error("create", path, &error))?;
    write(hook, &file, path, bytes)?;
    sync(hook, &file, path)
}

fn lock_folder(folder: &Path) -> Result<fd_lock::RwLock<File>, StorageError> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).map_err(|error| io_error("create", &path, &error))?;
    let mut lock = fd_lock::RwLock::new(file);
    match lock.try_write() {
        // The lock belongs to the open file and is released when `lock` is dropped.
        Ok(guard) => std::mem::forget(guard),
        Err(error) if error.kind() == ErrorKind::WouldBlock => {
            return Err(StorageError::InUse(folder.display().to_string()));
        }
        Err(error) => return Err(io_error("lock", &path, &error)),
    }
    Ok(lock)
}

fn encode_record(content: &impl Serialize, position: u64) -> Vec<u8> {
    let content = encode(content);
    let length = u32::try_from(content.len()).expect("records are smaller than 4 GiB");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&header_checksum(&bytes, position).to_le_bytes());
    bytes.extend_from_slice(&content);
    bytes
}

fn header_checksum(fields: &[u8], position: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(fields);
    hasher.update(&position.to_le_bytes());
    hasher.finalize()
}

/// Returns length and checksum of the content if a valid header is at the position.
fn read_header(bytes: &[u8], position: usize) -> Option<(usize, u32)> {
    let header = bytes.get(position..position.checked_add(HEADER_BYTES)?)?;
    let field = |at: usize| Some(u32::from_le_bytes(header.get(at..at + 4)?.try_into().ok()?));
    let valid = header.starts_with(&MAGIC)
        && field(12)? == header_checksum(&header[..HEADER_BYTES - 4], position as u64);
    valid.then_some((field(4)? as usize, field(8)?))
}

/// Returns the content of the record at the position if the record is valid.
fn read_content(bytes: &[u8], position: usize) -> Option<&[u8]> {
    let (length, checksum) = read_header(bytes, position)?;
    let start = position + HEADER_BYTES;
    let content = bytes.get(start..start.checked_add(length)?)?;
    (crc32fast::hash(content) == checksum).then_some(content)
}

fn read_single<T: serde::de::DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error("read", path, &error)),
    };
    let content = read_content(&bytes, 0)
        .filter(|content| content.len() + HEADER_BYTES == bytes.len())
        .ok_or_else(|| damaged(path, "the checksum does not match"))?;
    decode(content)
        .map(Some)
        .ok_or_else(|| damaged(path, "the content is malformed"))
}

/// Returns the entries of all valid records and the length of the valid part in bytes.
fn parse_log(path: &Path, bytes: &[u8]) -> Result<(Vec<Entry>, usize), StorageError> {
    let mut entries = Vec::new();
    let mut offset = 0;
    while let Some(content) = read_content(bytes, offset) {
        let batch: Vec<Entry> = decode(content)
            .ok_or_else(|| damaged(path, &format!("malformed record at byte {offset}")))?;
        entries.extend(batch);
        offset += HEADER_BYTES + content.len();
    }
    // A record is written only after the preceding record was synced, so a valid header after the
    // first invalid record proves that synced bytes were damaged.
    for next in offset + 1..bytes.len() {
        if read_header(bytes, next).is_some() {
            let reason = format!("invalid record at byte {offset}, before a record at byte {next}");
            return Err(damaged(path, &reason));
        }
    }
    Ok((entries, offset))
}

fn io_error(operation: &'static str, path: &Path, error: &std::io::Error) -> StorageError {
    StorageError::Io {
        operation,
        file: path.display().to_string(),
        reason: error.to_string(),
        kind: error.kind(),
    }
}

fn damaged(path: &Path, reason: &str) -> StorageError {
    StorageError::Damaged {
        file: path.display().to_string(),
        reason: reason.to_owned(),
    }
}

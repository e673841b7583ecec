//! Files of a replica: incomplete last records, damage, and failing disk operations.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tempfile::TempDir;

use crate::replication::disk::{Disk, DiskHook};
use crate::replication::log::{Entry, Payload};
use crate::replication::storage::{HardState, Recovered, Snapshot, StorageError};

const RECORDS: u64 = 5;

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 7,
        payload: Payload::Command(format!("command {index}").into_bytes()),
    }
}

fn hard_state(term: u64) -> HardState {
    HardState {
        group: 3,
        incarnation: 4,
        term,
        voted_for: Some(("a".to_owned(), 9)),
    }
}

fn no_faults() -> DiskHook {
    Arc::new(|_| Ok(()))
}

fn open(folder: &Path) -> Result<(Disk, Recovered), StorageError> {
    Disk::open(folder, no_faults())
}

/// Writes the state and one record for each entry. Returns the length of the log before the first
/// record and after each record.
fn write_log(folder: &Path) -> Vec<usize> {
    let (mut disk, _) = open(folder).unwrap();
    disk.save_hard_state(&hard_state(7)).unwrap();
    let mut ends = vec![0];
    for index in 1..=RECORDS {
        disk.append(&[entry(index)]);
        disk.begin_sync().unwrap().run().unwrap();
        ends.push(fs::read(folder.join("log")).unwrap().len());
    }
    ends
}

/// Guards against a replica that does not start, or recovers entries that were never written, after
/// a crash during a write.
#[test]
fn a_log_cut_at_any_byte_keeps_its_whole_records() {
    let folder = TempDir::new().unwrap();
    let ends = write_log(folder.path());
    let bytes = fs::read(folder.path().join("log")).unwrap();
    for length in 0..=bytes.len() {
        fs::write(folder.path().join("log"), &bytes[..length]).unwrap();
        let (mut disk, recovered) = open(folder.path()).unwrap();
        let whole = ends.iter().filter(|end| **end <= length).count() as u64 - 1;
        let expected: Vec<Entry> = (1..=whole).map(entry).collect();
        assert_eq!(recovered.entries, expected, "cut at {length}");
        disk.append(&[entry(whole + 1)]);
        disk.begin_sync().unwrap().run().unwrap();
        drop(disk);
        let (_, recovered) = open(folder.path()).unwrap();
        assert_eq!(recovered.entries.len() as u64, whole + 1, "cut at {length}");
    }
}

/// Guards against the silent loss of entries when a synced record is damaged.
#[test]
fn damage_before_the_last_record_is_an_error() {
    let folder = TempDir::new().unwrap();
    let ends = write_log(folder.path());
    let bytes = fs::read(folder.path().join("log")).unwrap();
    let last = ends[ends.len() - 2];
    for position in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x10;
        fs::write(folder.path().join("log"), &damaged).unwrap();
        let opened = open(folder.path()).map(|(_, recovered)| recovered.entries.len() as u64);
        if position < last {
            let error = opened.expect_err("the damage is detected");
            assert!(matches!(error, StorageError::Damaged { .. }), "{error}");
        } else {
            assert_eq!(
                opened,
                Ok(RECORDS - 1),
                "the last record is dropped as incomplete"
            );
        }
    }
}

/// Guards against a vote or an incarnation that is lost or changed by damage of a file.
#[test]
fn damage_of_the_state_or_the_snapshot_is_an_error() {
    for name in ["state", "snapshot"] {
        let folder = TempDir::new().unwrap();
        write_log(folder.path());
        let (mut disk, _) = open(folder.path()).unwrap();
        disk.save_snapshot(&Snapshot::default(), &[]).unwrap();
        drop(disk);
        let path = folder.path().join(name);
        let bytes = fs::read(&path).unwrap();
        for position in 0..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[position] ^= 0x01;
            fs::write(&path, &damaged).unwrap();
            assert!(open(folder.path()).is_err(), "{name} at {position}");
            fs::write(&path, &bytes[..position]).unwrap();
            assert!(open(folder.path()).is_err(), "{name} cut at {position}");
        }
    }
}

/// Guards against a replica that starts as a new one after a file was deleted.
#[test]
fn a_missing_file_is_an_error() {
    for name in ["log", "state"] {
        let folder = TempDir::new().unwrap();
        write_log(folder.path());
        fs::remove_file(folder.path().join(name)).unwrap();
        let error = open(folder.path()).map(|_| ()).unwrap_err();
        assert!(matches!(error, StorageError::Damaged { .. }), "{error}");
    }
}

/// Guards against two processes that vote with the same identity.
#[test]
fn a_folder_is_opened_once() {
    let folder = TempDir::new().unwrap();
    let (disk, _) = open(folder.path()).unwrap();
    let error = open(folder.path()).map(|_| ()).unwrap_err();
    assert!(matches!(error, StorageError::InUse(_)), "{error}");
    drop(disk);
    open(folder.path()).unwrap();
}

/// State that was acknowledged as durable before the first failure.
#[derive(Debug, Default)]
struct Confirmed {
    term: u64,
    entry: u64,
    snapshot: u64,
}

fn write_until_failure(disk: &mut Disk, confirmed: &mut Confirmed) -> Result<(), StorageError> {
    for round in 1..=4 {
        disk.save_hard_state(&hard_state(round))?;
        confirmed.term = round;
        for index in round * 2 - 1..=round * 2 {
            disk.append(&[entry(index)]);
            disk.begin_sync()?.run()?;
            confirmed.entry = index;
        }
        let snapshot = Snapshot {
            index: round * 2 - 1,
            ..Snapshot::default()
        };
        let kept = [entry(round * 2)];
        if round % 2 == 0 {
            disk.save_snapshot(&snapshot, &kept)?;
        } else {
            disk.snapshot_job().run(&snapshot)?;
            disk.adopt_snapshot(&kept)?;
        }
        confirmed.snapshot = snapshot.index;
    }
    Ok(())
}

/// Guards against the loss of acknowledged state when any single write, sync or rename fails.
#[test]
fn confirmed_state_survives_each_failing_operation() {
    let mut failures = 0;
    for failing in 0.. {
        let folder = TempDir::new().unwrap();
        let count = AtomicUsize::new(0);
        let hook: DiskHook = Arc::new(move |_| {
            if count.fetch_add(1, Ordering::Relaxed) == failing {
                return Err(io::Error::other("injected"));
            }
            Ok(())
        });
        let mut confirmed = Confirmed::default();
        let result = Disk::open(folder.path(), hook)
            .and_then(|(mut disk, _)| write_until_failure(&mut disk, &mut confirmed));
        let (_, recovered) = open(folder.path()).unwrap();
        let term = recovered.hard_state.map_or(0, |state| state.term);
        let snapshot = recovered.snapshot.map_or(0, |snapshot| snapshot.index);
        let last = recovered.entries.last().map_or(0, |last| last.index);
        assert!(term >= confirmed.term, "operation {failing}: {confirmed:?}");
        assert!(
            snapshot >= confirmed.snapshot,
            "operation {failing}: {confirmed:?}"
        );
        assert!(
            last >= confirmed.entry,
            "operation {failing}: {confirmed:?}"
        );
        if result.is_ok() {
            break;
        }
        failures += 1;
    }
    assert!(
        failures > 50,
        "only {failures} operations were made to fail"
    );
}

/// Guards against entries that count as durable after a failed sync because a later sync of the
/// same file succeeds, and against a loss when an operation fails while the files are written anew.
#[test]
fn files_are_written_anew_without_loss() {
    for failing in 0.. {
        let folder = TempDir::new().unwrap();
        write_log(folder.path());
        let (mut disk, _) = open(folder.path()).unwrap();
        let snapshot = Snapshot {
            index: 3,
            ..Snapshot::default()
        };
        disk.save_snapshot(&snapshot, &[entry(4), entry(5)])
            .unwrap();
        let (mut disk, before) = {
            drop(disk);
            open(folder.path()).unwrap()
        };
        let files = ["state", "snapshot", "log"].map(|name| folder.path().join(name));
        let inodes = || files.clone().map(|path| fs::metadata(path).unwrap().ino());
        let (old, count) = (inodes(), AtomicUsize::new(0));
        disk.set_hook(Arc::new(move |_| {
            if count.fetch_add(1, Ordering::Relaxed) == failing {
                return Err(io::Error::other("injected"));
            }
            Ok(())
        }));
        let result = disk.rewrite(&before);
        drop(disk);
        let (_, after) = open(folder.path()).unwrap();
        assert_eq!(after.hard_state, before.hard_state, "operation {failing}");
        assert_eq!(after.snapshot, before.snapshot, "operation {failing}");
        assert_eq!(after.entries, before.entries, "operation {failing}");
        if result.is_ok() {
            let renewed = inodes().iter().zip(&old).all(|(new, old)| new != old);
            assert!(renewed, "a file was not written anew");
            break;
        }
    }
}

//! Groups of replicas with their threads, in one process.

use std::fs;
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use super::harness::{Applied, host_name, recorder, small_limits};
use crate::clock::Clock;
use crate::replication::disk::DiskOperation;
use crate::replication::storage::HookedFolder;
use crate::replication::{
    ProposeError, Replica, ReplicaOptions, ReplicaPhase, SendMessage, StorageOptions, Timing,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

type Directory = Arc<Mutex<Vec<Weak<Replica<u64>>>>>;

struct Group {
    replicas: Vec<Arc<Replica<u64>>>,
    applied: Vec<Applied>,
    directory: Directory,
    folder: Option<TempDir>,
    /// Operation that fails on a full disk.
    failing: DiskOperation,
    /// For each host, whether its disk is full.
    disks_full: Vec<Arc<AtomicBool>>,
    /// For each host, number of operations that failed on a full disk.
    failures: Vec<Arc<AtomicU64>>,
}

impl Group {
    fn start(count: usize, on_disk: bool) -> Self {
        Self::start_failing(count, on_disk, DiskOperation::Write)
    }

    /// Starts a group in which the given operation fails on full disks.
    fn start_failing(count: usize, on_disk: bool, failing: DiskOperation) -> Self {
        let mut group = Self {
            replicas: Vec::new(),
            applied: (0..count).map(|_| Applied::default()).collect(),
            directory: Arc::new(Mutex::new((0..count).map(|_| Weak::new()).collect())),
            folder: on_disk.then(|| TempDir::new().unwrap()),
            failing,
            disks_full: (0..count).map(|_| Arc::default()).collect(),
            failures: (0..count).map(|_| Arc::default()).collect(),
        };
        for position in 0..count {
            let replica = group.replica(position);
            group.replicas.push(replica);
        }
        group
    }

    fn options(&self, position: usize) -> ReplicaOptions<u64> {
        let count = self.applied.len();
        let directory = Arc::clone(&self.directory);
        let from = host_name(position);
        let send: SendMessage = Arc::new(move |host, bytes, _deadline| {
            let to = (0..count).find(|other| host_name(*other) == *host).unwrap();
            let target = directory.lock().unwrap()[to].upgrade();
            let target = target.ok_or("the host is down")?;
            Ok(target.handle(&from, &bytes))
        });
        let (failing, disk_full) = (self.failing, Arc::clone(&self.disks_full[position]));
        let failures = Arc::clone(&self.failures[position]);
        let storage = self.folder.as_ref().map(|folder| HookedFolder {
            folder: folder.path().join(host_name(position)),
            hook: Arc::new(move |operation| {
                if operation == failing && disk_full.load(Ordering::SeqCst) {
                    failures.fetch_add(1, Ordering::SeqCst);
                    return Err(io::Error::from(ErrorKind::StorageFull));
                }
                Ok(())
            }),
        });
        ReplicaOptions {
            group: "test".to_owned(),
            host: host_name(position),
            initial_voters: (0..count).map(host_name).collect(),
            may_lead: true,
            storage: storage.map_or(StorageOptions::Memory, StorageOptions::Hooked),
            clock: Clock::system(),
            timing: Timing::default(),
            limits: small_limits(),
            seed: rand::random(),
            send,
            machine: recorder(&self.applied[position]),
        }
    }

    fn replica(&self, position: usize) -> Arc<Replica<u64>> {
        let replica = Replica::start(self.options(position));
        let replica = Arc::new(replica.expect("the storage can be opened"));
        self.directory.lock().unwrap()[position] = Arc::downgrade(&replica);
        replica
    }

    /// Starts a stopped host again from the files in its folder.
    fn restart(&mut self, position: usize) {
        self.applied[position] = Applied::default();
        self.replicas[position] = self.replica(position);
    }

    fn stop(&mut self, position: usize) {
        self.directory.lock().unwrap()[position] = Weak::new();
        self.replicas[position].shutdown();
    }

    fn set_disk_full(&self, position: usize, full: bool) {
        self.disks_full[position].store(full, Ordering::SeqCst);
    }

    /// Replaces the log of a faulty host. An attempt to use the storage again reads all files and then
    /// writes what it has read, so that the file changes only while the disk is full, and the disk gets
    /// room only after an attempt that has read the new content.
    fn replace_log(&self, position: usize, bytes: &[u8]) {
        let folder = self.folder.as_ref().unwrap().path();
        self.set_disk_full(position, true);
        self.wait_for_failures(position, 1);
        fs::write(folder.join(host_name(position)).join("log"), bytes).unwrap();
        // The first failure may be that of an attempt that read the former content.
        self.wait_for_failures(position, 2);
        self.set_disk_full(position, false);
    }

    /// Waits for further failed operations on a full disk; each attempt to use it ends with one.
    fn wait_for_failures(&self, position: usize, count: u64) {
        let failures = || self.failures[position].load(Ordering::SeqCst);
        let enough = failures() + count;
        let deadline = Instant::now() + TEST_TIMEOUT;
        while failures() < enough {
            assert!(Instant::now() < deadline, "the full disk is not used");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the host takes part in the group, or until it does not.
    fn wait_for_fault(&self, position: usize, faulty: bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let phase = self.replicas[position].status().phase;
            if matches!(phase, ReplicaPhase::Faulty(_)) == faulty {
                return;
            }
            assert!(Instant::now() < deadline, "{phase:?}, faulty: {faulty}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn wait_for_last(&self, position: usize, text: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while commands(&self.applied[position]).last().map(String::as_str) != Some(text) {
            assert!(Instant::now() < deadline, "the host does not catch up");
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn leader(&self) -> usize {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let leads = |replica: &Arc<Replica<u64>>| replica.leadership().is_some();
            if let Some(leader) = self.replicas.iter().position(leads) {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Proposes the command until a proposal is committed; returns its index.
    fn commit(&self, text: &str) -> u64 {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let leader = &self.replicas[self.leader()];
            match leader.propose(text.as_bytes().to_vec(), deadline) {
                Ok(proposal) => return proposal.index,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
        }
    }
}

fn commands(applied: &Applied) -> Vec<String> {
    let applied = applied.lock().unwrap();
    let text = |command: &(u64, Vec<u8>)| String::from_utf8(command.1.clone()).unwrap();
    applied.iter().map(text).collect()
}

/// Guards against lost notifications, deadlocks and lost commands between the threads.
#[test]
fn concurrent_proposals_are_all_committed() {
    for on_disk in [false, true] {
        let group = Group::start(3, on_disk);
        group.leader();
        thread::scope(|scope| {
            for worker in 0..8 {
                let group = &group;
                scope.spawn(move || {
                    for round in 0..20 {
                        group.commit(&format!("{worker}.{round}"));
                    }
                });
            }
        });
        let mut known = commands(&group.applied[group.leader()]);
        known.sort();
        known.dedup();
        assert_eq!(known.len(), 160);
    }
}

/// Guards against a group that makes no progress or loses commands after its leader has stopped,
/// and against a former leader that does not catch up after a restart from its folder.
#[test]
fn another_host_takes_over_and_the_old_leader_returns() {
    let mut group = Group::start(3, true);
    let first = group.leader();
    let epoch = group.replicas[first].leadership();
    group.commit("before");
    group.stop(first);
    assert!(matches!(
        group.replicas[first].status().phase,
        ReplicaPhase::Faulty(_)
    ));
    group.commit("between");
    assert!(group.replicas[group.leader()].leadership() > epoch);
    group.restart(first);
    group.commit("after");
    group.wait_for_last(first, "after");
    assert_eq!(commands(&group.applied[first])[0], "before");
}

/// Guards against entries that are missing after a restart from a snapshot and the log after it.
#[test]
fn snapshots_and_log_restore_all_commands() {
    let mut group = Group::start(3, true);
    for number in 0..100 {
        group.commit(&number.to_string());
    }
    let deadline = Instant::now() + TEST_TIMEOUT;
    while group
        .replicas
        .iter()
        .any(|replica| replica.status().log_entries > 48)
    {
        assert!(Instant::now() < deadline, "the log is not bounded");
        thread::sleep(Duration::from_millis(5));
    }
    (0..3).for_each(|position| group.stop(position));
    (0..3).for_each(|position| group.restart(position));
    group.commit("last");
    let expected: Vec<String> = (0..100).map(|number: u32| number.to_string()).collect();
    assert_eq!(commands(&group.applied[group.leader()])[..100], expected);
}

/// Guards against a single voter that waits for others or loses entries on restart.
#[test]
fn a_single_voter_leads_at_once_and_keeps_its_entries() {
    let mut group = Group::start(1, true);
    assert!(group.replicas[0].leadership().is_some() || group.leader() == 0);
    group.commit("kept");
    group.stop(0);
    group.restart(0);
    group.commit("added");
    assert_eq!(commands(&group.applied[0]), ["kept", "added"]);
}

/// Guards against a planned stop that costs an election timeout because the leadership is not
/// transferred, and against a proposal that is accepted by a host that does not lead.
#[test]
fn leadership_moves_on_request() {
    let group = Group::start(3, false);
    let first = group.leader();
    group.commit("known to all");
    let target = host_name((first + 1) % 3);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while group.replicas[first].leadership().is_some() {
        assert!(
            Instant::now() < deadline,
            "the leadership was not transferred"
        );
        let soon = Instant::now() + Duration::from_secs(2);
        let _ = group.replicas[first].transfer_leadership(Some(target.clone()), soon);
    }
    group.leader();
    let refused = group.replicas[first].propose(b"late".to_vec(), deadline);
    if group.replicas[first].leadership().is_none() {
        assert!(matches!(refused, Err(ProposeError::NotLeader { .. })));
    }
}

/// Guards against a leader that dropped its own state and takes over again in the epoch of that
/// state.
#[test]
fn a_leader_that_resigns_leads_again_only_in_a_later_epoch() {
    for hosts in [1, 3] {
        let group = Group::start(hosts, false);
        let first = group.leader();
        let epoch = group.replicas[first].leadership();
        group.replicas[first].resign(epoch.unwrap() - 1);
        assert_eq!(group.replicas[first].leadership(), epoch);
        group.replicas[first].resign(epoch.unwrap());
        assert_eq!(group.replicas[first].leadership(), None);
        group.commit("in a later epoch");
        assert!(group.replicas[group.leader()].leadership() > epoch);
    }
}

/// Guards against a leadership that lapses and returns in the same epoch: the handling of a reply
/// takes so long that the published lease ends before the extended one replaces it.
#[test]
fn a_lease_that_ends_while_a_reply_is_handled_ends_the_epoch() {
    let elapsed_ms = Arc::new(AtomicU64::new(0));
    let (origin, elapsed) = (Instant::now(), Arc::clone(&elapsed_ms));
    let now = move || origin + Duration::from_millis(elapsed.load(Ordering::SeqCst));
    let clock = Clock::new(now, std::time::SystemTime::now);
    let mut group = Group {
        replicas: Vec::new(),
        applied: (0..3).map(|_| Applied::default()).collect(),
        directory: Arc::new(Mutex::new((0..3).map(|_| Weak::new()).collect())),
        folder: None,
        failing: DiskOperation::Write,
        disks_full: (0..3).map(|_| Arc::default()).collect(),
        failures: (0..3).map(|_| Arc::default()).collect(),
    };
    for position in 0..3 {
        let mut options = group.options(position);
        options.clock = clock.clone();
        let (directory, elapsed) = (Arc::clone(&group.directory), Arc::clone(&elapsed_ms));
        let mut record = options.machine.apply;
        options.machine.apply = Box::new(move |index, command| {
            if command == b"slow" {
                let replica = directory.lock().unwrap()[position].upgrade().unwrap();
                while replica.leadership().is_some() {
                    elapsed.fetch_add(1, Ordering::SeqCst);
                }
            }
            record(index, command)
        });
        let replica = Arc::new(Replica::start(options).expect("a replica in memory starts"));
        group.directory.lock().unwrap()[position] = Arc::downgrade(&replica);
        group.replicas.push(replica);
    }
    // Waits for a leader whose calls of the present time have all been answered, so that the next
    // ones are due later.
    let deadline = Instant::now() + TEST_TIMEOUT;
    let (leader, epoch) = loop {
        assert!(Instant::now() < deadline, "no leader in contact with all");
        elapsed_ms.fetch_add(10, Ordering::SeqCst);
        let leads = |replica: &&Arc<Replica<u64>>| replica.leadership().is_some();
        if let Some(leader) = group.replicas.iter().find(leads) {
            let soon = Instant::now() + Duration::from_millis(200);
            let _ = leader.propose(b"quick".to_vec(), soon);
            thread::sleep(Duration::from_millis(20));
            let answered = |at: Option<Instant>| at == Some(clock.now());
            let members = leader.members();
            let in_contact = members
                .iter()
                .filter(|member| answered(member.sent_at) && answered(member.answered_at));
            let epoch = leader.leadership();
            if in_contact.count() == 2 && epoch.is_some() {
                break (leader, epoch);
            }
        }
        thread::sleep(Duration::from_millis(5));
    };
    elapsed_ms.fetch_add(100, Ordering::SeqCst);
    leader.propose(b"slow".to_vec(), deadline).unwrap();
    // Waits until the reply has been handled.
    leader.status();
    assert_ne!(leader.leadership(), epoch);
}

/// Guards against a damaged log that is treated as the empty log of a new host.
#[test]
fn a_damaged_log_does_not_start() {
    let mut group = Group::start(1, true);
    group.commit("one");
    group.commit("two");
    group.stop(0);
    let folder = group.folder.as_ref().unwrap().path();
    let log = folder.join(host_name(0)).join("log");
    let mut bytes = fs::read(&log).unwrap();
    bytes[0] ^= 1;
    fs::write(&log, bytes).unwrap();
    assert!(Replica::start(group.options(0)).is_err());
}

/// Guards against a host that takes no part in the log any more after its disk was full for a
/// while, so that the next full disk ends the group.
#[test]
fn hosts_return_after_their_disks_were_full_in_turn() {
    hosts_return_after_failures(DiskOperation::Write);
}

/// Guards against the same with disks on which only syncs fail.
#[test]
fn hosts_return_after_syncs_failed_in_turn() {
    hosts_return_after_failures(DiskOperation::Sync);
}

/// Guards against the same with disks on which only renames fail, as for a new snapshot.
#[test]
fn hosts_return_after_renames_failed_in_turn() {
    hosts_return_after_failures(DiskOperation::Rename);
}

fn hosts_return_after_failures(operation: DiskOperation) {
    let group = Group::start_failing(3, true, operation);
    group.commit("before");
    for failing in 0..3 {
        group.set_disk_full(failing, true);
        while !matches!(
            group.replicas[failing].status().phase,
            ReplicaPhase::Faulty(_)
        ) {
            group.commit("while a disk is full");
        }
        group.commit("before the disk has room");
        group.set_disk_full(failing, false);
        group.wait_for_fault(failing, false);
        let last = format!("after {failing}");
        group.commit(&last);
        (0..3).for_each(|position| group.wait_for_last(position, &last));
    }
    let expected = commands(&group.applied[0]);
    for applied in &group.applied {
        assert_eq!(commands(applied), expected);
    }
}

/// Guards against a process that ends because its disk is full when it starts.
#[test]
fn a_host_that_starts_on_a_full_disk_joins_later() {
    let mut group = Group::start(3, true);
    group.commit("before");
    for new_disk in [false, true] {
        group.stop(2);
        if new_disk {
            let folder = group.folder.as_ref().unwrap().path();
            fs::remove_dir_all(folder.join(host_name(2))).unwrap();
        }
        group.set_disk_full(2, true);
        // A storage that exists is opened without a write.
        group.restart(2);
        group.commit("while the disk is full");
        group.wait_for_fault(2, true);
        group.set_disk_full(2, false);
        group.wait_for_fault(2, false);
        group.commit("after");
        group.wait_for_last(2, "after");
    }
    assert_eq!(
        commands(&group.applied[2]),
        commands(&group.applied[group.leader()])
    );
}

/// Guards against a host that votes again although entries that it acknowledged are missing on the
/// disk after a failure.
#[test]
fn a_host_that_lost_acknowledged_entries_does_not_vote_again() {
    let group = Group::start(3, true);
    group.commit("acknowledged");
    let failing = (group.leader() + 1) % 3;
    group.wait_for_last(failing, "acknowledged");
    let folder = group.folder.as_ref().unwrap().path();
    let bytes = fs::read(folder.join(host_name(failing)).join("log")).unwrap();
    group.set_disk_full(failing, true);
    group.commit("while the disk is full");
    group.wait_for_fault(failing, true);
    group.replace_log(failing, &[]);
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let ReplicaPhase::Faulty(reason) = group.replicas[failing].status().phase else {
            panic!("the host votes without the entries");
        };
        if reason.contains("acknowledged entries") {
            break;
        }
        assert!(Instant::now() < deadline, "{reason}");
        thread::sleep(Duration::from_millis(5));
    }
    group.replace_log(failing, &bytes);
    group.wait_for_fault(failing, false);
    group.commit("after");
    group.wait_for_last(failing, "after");
}

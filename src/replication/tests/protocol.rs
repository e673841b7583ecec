//! Single cases of the protocol in simulated time.

use std::sync::Arc;
use std::time::Duration;

use super::harness::{Cluster, host_name};
use crate::replication::disk::{Disk, DiskHook, DiskOperation};
use crate::replication::membership::MemberRole;
use crate::replication::state::{Role, State};
use crate::replication::storage::Storage;

const SECOND: Duration = Duration::from_secs(1);

fn working(seed: u64, disks: &[bool], witness: bool) -> Cluster {
    let mut cluster = Cluster::new(seed, disks, witness);
    cluster.run_until("all hosts vote", Cluster::is_whole);
    cluster
}

fn commit_some(cluster: &mut Cluster, count: usize) {
    let wanted = cluster.confirmed.len() + count;
    for _ in 0..count {
        cluster.run_until("a leader", |cluster| cluster.leader().is_some());
        let leader = cluster.leader().unwrap();
        cluster.propose(leader);
        cluster.run(Duration::from_millis(5));
    }
    cluster.run_until("commits", |cluster| cluster.confirmed.len() >= wanted);
}

fn state(cluster: &mut Cluster, position: usize) -> &mut State<u64> {
    cluster.nodes[position].state.as_mut().unwrap()
}

/// Guards against a group that is formed while a voter is absent, and twice later.
#[test]
fn a_group_is_formed_only_when_all_voters_are_present() {
    let mut cluster = Cluster::new(1, &[true; 3], false);
    cluster.crash(2);
    cluster.run(10 * SECOND);
    assert!(
        cluster.nodes[..2]
            .iter()
            .all(|node| node.state.as_ref().unwrap().hard.group == 0)
    );
    cluster.start(2);
    cluster.run_until("all hosts vote", Cluster::is_whole);
}

/// Guards against a new group beside one whose majority is still there.
#[test]
fn lost_hosts_do_not_form_a_group_while_one_has_state() {
    let mut cluster = working(2, &[false, false, true], false);
    commit_some(&mut cluster, 3);
    cluster.lose_disk(0);
    cluster.lose_disk(1);
    cluster.start(0);
    cluster.start(1);
    cluster.run(20 * SECOND);
    assert_eq!(cluster.leader(), None);
    assert_eq!(state(&mut cluster, 0).hard.group, 0);
}

/// Guards against epochs that start again when a group is lost and formed anew.
#[test]
fn epochs_grow_over_the_loss_of_a_group() {
    for disks in [&[false][..], &[false, false, false]] {
        let mut cluster = working(3, disks, false);
        let leader = cluster.leader().unwrap();
        let now = cluster.now;
        let epoch = state(&mut cluster, leader).leadership(now);
        (0..disks.len()).for_each(|host| cluster.crash(host));
        cluster.forget();
        cluster.run(SECOND);
        (0..disks.len()).for_each(|host| cluster.start(host));
        cluster.run_until("a leader", |cluster| cluster.leader().is_some());
        let leader = cluster.leader().unwrap();
        let now = cluster.now;
        assert!(state(&mut cluster, leader).leadership(now) > epoch);
    }
}

/// Guards against a start without storage that helps to elect a host which lacks committed
/// entries: of the two hosts that confirmed an entry, one is gone and the other is empty.
#[test]
fn a_host_with_a_lost_disk_elects_no_leader() {
    let mut cluster = working(4, &[true; 3], false);
    let leader = cluster.leader().unwrap();
    let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.isolate(third);
    commit_some(&mut cluster, 3);
    cluster.crash(leader);
    cluster.lose_disk(second);
    cluster.heal();
    cluster.start(second);
    cluster.run(30 * SECOND);
    assert_eq!(cluster.leader(), None);
    assert_ne!(state(&mut cluster, third).role, Role::Leader);
    cluster.start(leader);
    cluster.finish();
}

/// Guards against a leader that goes on alone after it lost its majority.
#[test]
fn a_leader_without_a_majority_steps_down_in_time() {
    let mut cluster = working(5, &[true; 3], false);
    let leader = cluster.leader().unwrap();
    let (now, timeout) = (cluster.now, Duration::from_millis(1_050));
    let paused = state(&mut cluster, leader).leadership(now + timeout);
    assert_eq!(paused, None, "the timer thread may be late");
    cluster.isolate(leader);
    cluster.run(timeout);
    let now = cluster.now;
    assert_eq!(state(&mut cluster, leader).leadership(now), None);
    assert_eq!(state(&mut cluster, leader).role, Role::Follower);
    cluster.run(3 * SECOND);
    assert!(cluster.leader().is_some_and(|other| other != leader));
}

/// Guards against a host that disturbs a working group when it returns from isolation.
#[test]
fn a_returning_host_does_not_unseat_the_leader() {
    let mut cluster = working(6, &[true; 3], false);
    let leader = cluster.leader().unwrap();
    let term = state(&mut cluster, leader).hard.term;
    cluster.isolate((leader + 1) % 3);
    cluster.run(20 * SECOND);
    cluster.heal();
    cluster.run(5 * SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(state(&mut cluster, leader).hard.term, term);
}

/// Guards against a leader that is believed although nobody can reach it.
#[test]
fn a_leader_that_hears_nothing_is_replaced() {
    let mut cluster = working(7, &[true; 3], false);
    let leader = cluster.leader().unwrap();
    // Its own calls arrive, but no reply comes back.
    (0..3).for_each(|other| cluster.cut(other, leader));
    cluster.run(6 * SECOND);
    assert!(cluster.leader().is_some_and(|other| other != leader));
}

/// Guards against a wait for the election timeout on a planned stop.
#[test]
fn leadership_is_transferred_at_once() {
    let mut cluster = working(8, &[true; 3], false);
    cluster.run(SECOND);
    let leader = cluster.leader().unwrap();
    let deadline = cluster.now + SECOND;
    let target = host_name((leader + 1) % 3);
    let started = state(&mut cluster, leader).start_transfer(Some(target), deadline);
    assert_eq!(started, Ok(()));
    cluster.run(Duration::from_millis(400));
    assert_eq!(cluster.leader(), Some((leader + 1) % 3));
}

/// Guards against a witness that leads, or that keeps entries which only it has.
#[test]
fn a_witness_passes_its_entries_on() {
    let mut cluster = working(9, &[true; 3], true);
    let witness = 2;
    let leader = cluster.leader().unwrap();
    let other = 1 - leader;
    cluster.isolate(other);
    commit_some(&mut cluster, 30);
    cluster.crash(leader);
    cluster.heal();
    // The witness notices a refused pre-vote and does not wait for its longer patience.
    cluster.run(Duration::from_millis(3_500));
    assert_eq!(cluster.leader(), Some(other));
    commit_some(&mut cluster, 1);
    let now = cluster.now;
    assert_eq!(state(&mut cluster, witness).leadership(now), None);
    cluster.finish();
}

/// Guards against a learner that counts towards a quorum, and a host that cannot catch up by a
/// snapshot in chunks.
#[test]
fn a_learner_catches_up_and_is_promoted() {
    let mut cluster = Cluster::new(10, &[true; 3], false);
    let voters = vec![host_name(0), host_name(1)];
    (0..3).for_each(|host| cluster.lose_disk(host));
    (0..2).for_each(|host| cluster.start_with(host, voters.clone()));
    cluster.run_until("a leader", |cluster| cluster.leader().is_some());
    commit_some(&mut cluster, 60);
    let leader = cluster.leader().unwrap();
    cluster.start_with(2, voters);
    state(&mut cluster, leader)
        .wanted_learners
        .insert(host_name(2));
    state(&mut cluster, leader).update_peers();
    let learner = host_name(2);
    cluster.run_until("the learner has all entries", |cluster| {
        *cluster.nodes[2].applied.lock().unwrap() == cluster.ledger
    });
    assert_eq!(cluster.role_of(leader, &learner), Some(MemberRole::Learner));
    assert!(
        state(&mut cluster, 2).snapshot.index > 1,
        "it got a snapshot"
    );
    cluster.run(SECOND);
    let now = cluster.now;
    assert!(state(&mut cluster, leader).promote(&learner, now).is_ok());
    cluster.run_until("all hosts vote", Cluster::is_whole);
    let now = cluster.now;
    let other = host_name(1 - leader);
    assert!(state(&mut cluster, leader).remove(&other, now).is_ok());
    cluster.run(SECOND);
    assert_eq!(cluster.role_of(leader, &other), None);
    commit_some(&mut cluster, 1);
}

/// Guards against a log that grows without bound.
#[test]
fn snapshots_bound_the_log() {
    let mut cluster = working(11, &[true; 3], false);
    commit_some(&mut cluster, 200);
    cluster.run(SECOND);
    for host in 0..3 {
        let log = &state(&mut cluster, host).log;
        assert!(log.last_index() - log.base_index() <= 30);
    }
}

/// Guards against a confirmation or a vote after a failed write or sync.
#[test]
fn a_storage_failure_ends_voting() {
    for operation in [DiskOperation::Write, DiskOperation::Sync] {
        let mut cluster = working(12, &[true; 3], false);
        let leader = cluster.leader().unwrap();
        let folder = tempfile::TempDir::new().unwrap();
        let (mut disk, _) = Disk::open(folder.path(), Arc::new(|_| Ok(()))).unwrap();
        let hook: DiskHook = Arc::new(move |attempted| {
            if attempted == operation {
                return Err(std::io::Error::other("injected"));
            }
            Ok(())
        });
        disk.set_hook(hook);
        let now = cluster.now;
        let failing = state(&mut cluster, leader);
        failing.storage = Storage::Disk(Box::new(disk));
        let outcome = failing.propose(b"lost".to_vec(), now).unwrap();
        assert!(!failing.sync_now());
        let error = outcome.try_recv().unwrap().unwrap_err();
        assert!(!error.is_certainly_not_committed(), "it may be on the disk");
        assert!(failing.fault.is_some());
        assert_eq!(failing.leadership(now), None);
        let term = failing.hard.term;
        failing.tick(now + 60 * SECOND);
        assert_eq!((failing.role, failing.hard.term), (Role::Follower, term));
    }
}

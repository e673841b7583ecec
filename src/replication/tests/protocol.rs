//! Scenarios of the protocol in simulated time.

use std::sync::Arc;
use std::time::Duration;

use super::harness::{Cluster, host_name};
use crate::replication::disk::{Disk, DiskHook, DiskOperation};
use crate::replication::image::Failure;
use crate::replication::membership::MemberRole;
use crate::replication::peer::NextAction;
use crate::replication::state::{Role, State};
use crate::replication::storage::Storage;

const SECOND: Duration = Duration::from_secs(1);

fn formed_cluster(seed: u64, disks: &[bool], witness: bool) -> Cluster {
    let mut cluster = Cluster::new(seed, disks, witness);
    cluster.run_until("all hosts vote", Cluster::all_hosts_vote);
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

/// Guards against the formation of a group while a voter is absent, which would lead to a second
/// formation later.
#[test]
fn a_group_is_formed_only_when_all_voters_are_present() {
    let mut cluster = Cluster::new(1, &[true; 3], false);
    cluster.crash(2);
    cluster.run(10 * SECOND);
    assert!(
        cluster.nodes[..2]
            .iter()
            .all(|node| node.state.as_ref().unwrap().hard_state.group == 0)
    );
    cluster.start(2);
    cluster.run_until("all hosts vote", Cluster::all_hosts_vote);
}

/// Guards against the formation of a second group by hosts that lost their state, while a voter
/// still has the state of the first one.
#[test]
fn lost_hosts_do_not_form_a_group_while_one_has_state() {
    let mut cluster = formed_cluster(2, &[false, false, true], false);
    commit_some(&mut cluster, 3);
    cluster.lose_disk(0);
    cluster.lose_disk(1);
    cluster.start(0);
    cluster.start(1);
    cluster.run(20 * SECOND);
    assert_eq!(cluster.leader(), None);
    assert_eq!(state(&mut cluster, 0).hard_state.group, 0);
}

/// Guards against epochs that start over when a group is lost and formed again.
#[test]
fn epochs_grow_over_the_loss_of_a_group() {
    for disks in [&[false][..], &[false, false, false]] {
        let mut cluster = formed_cluster(3, disks, false);
        let leader = cluster.leader().unwrap();
        let now = cluster.now;
        let epoch = state(&mut cluster, leader).leadership(now);
        (0..disks.len()).for_each(|host| cluster.crash(host));
        cluster.reset_committed();
        cluster.run(SECOND);
        (0..disks.len()).for_each(|host| cluster.start(host));
        cluster.run_until("a leader", |cluster| cluster.leader().is_some());
        let leader = cluster.leader().unwrap();
        let now = cluster.now;
        assert!(state(&mut cluster, leader).leadership(now) > epoch);
    }
}

/// Guards against a vote by a host that lost its storage, which would elect a host that lacks
/// committed entries: of the two hosts that stored an entry, one is down and the other is empty.
#[test]
fn a_host_with_a_lost_disk_elects_no_leader() {
    let mut cluster = formed_cluster(4, &[true; 3], false);
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

/// Guards against a leader that keeps its leadership after it lost contact to a majority.
#[test]
fn a_leader_without_a_majority_steps_down_in_time() {
    let mut cluster = formed_cluster(5, &[true; 3], false);
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

/// Guards against tasks that run twice after a short loss of the lease: the placer drops its state
/// when it no longer leads, and two of its terms with one epoch take each other's messages for their
/// own.
#[test]
fn a_leader_whose_lease_expired_does_not_lead_again_in_the_same_epoch() {
    let mut cluster = formed_cluster(16, &[true; 3], false);
    cluster.run(SECOND);
    let leader = cluster.leader().unwrap();
    let host = host_name(leader);
    let now = cluster.now;
    let lease = state(&mut cluster, leader).lease(now).unwrap();
    // The replies to calls that were sent just before the lease expires arrive just after that.
    let (sent_at, replied_at) = (
        lease.until - Duration::from_millis(20),
        lease.until + Duration::from_millis(20),
    );
    let mut calls = Vec::new();
    for follower in (0..3).filter(|position| *position != leader) {
        let peer = host_name(follower);
        let leading = state(&mut cluster, leader);
        leading.peers[peer.as_str()].in_flight = false;
        let NextAction::Send(call) = leading.prepare_call(&peer, sent_at) else {
            panic!("no heartbeat to {peer} is due");
        };
        let reply = state(&mut cluster, follower).handle(&host, &call.bytes, sent_at);
        calls.push((call, reply));
    }
    let leading = state(&mut cluster, leader);
    assert_eq!(leading.leadership(replied_at), None);
    for (call, reply) in calls {
        leading.complete_call(&call, Some(&reply), replied_at);
    }
    assert_eq!(leading.leadership(replied_at), None);
    assert_eq!(leading.role, Role::Follower);
}

/// Guards against a host that forces an election when it returns from isolation, because its term
/// has increased.
#[test]
fn a_returning_host_does_not_disrupt_the_leader() {
    let mut cluster = formed_cluster(6, &[true; 3], false);
    let leader = cluster.leader().unwrap();
    let term = state(&mut cluster, leader).hard_state.term;
    cluster.isolate((leader + 1) % 3);
    cluster.run(20 * SECOND);
    cluster.heal();
    cluster.run(5 * SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(state(&mut cluster, leader).hard_state.term, term);
}

/// Guards against followers that keep a leader which can send calls but receives no replies.
#[test]
fn a_leader_that_receives_no_replies_is_replaced() {
    let mut cluster = formed_cluster(7, &[true; 3], false);
    let leader = cluster.leader().unwrap();
    // The calls of the leader arrive, but no reply reaches the leader.
    (0..3).for_each(|other| cluster.cut(other, leader));
    cluster.run(6 * SECOND);
    assert!(cluster.leader().is_some_and(|other| other != leader));
}

/// Guards against a planned stop that costs an election timeout.
#[test]
fn leadership_is_transferred_at_once() {
    let mut cluster = formed_cluster(8, &[true; 3], false);
    cluster.run(SECOND);
    let leader = cluster.leader().unwrap();
    let deadline = cluster.now + SECOND;
    let target = host_name((leader + 1) % 3);
    let started = state(&mut cluster, leader).start_transfer(Some(target), deadline);
    assert_eq!(started, Ok(()));
    cluster.run(Duration::from_millis(400));
    assert_eq!(cluster.leader(), Some((leader + 1) % 3));
}

/// Guards against a former leader that leads on beside the target of a transfer, which did not wait
/// for the end of its lease: both granted leases to workers and answered calls.
#[test]
fn a_leader_that_transfers_its_leadership_no_longer_leads() {
    let mut cluster = formed_cluster(13, &[true; 3], false);
    cluster.run(SECOND);
    let leader = cluster.leader().unwrap();
    let deadline = cluster.now + SECOND;
    let started = state(&mut cluster, leader).start_transfer(None, deadline);
    assert_eq!(started, Ok(()));
    // No message of the new leader reaches the former one.
    (0..3).for_each(|other| cluster.cut(other, leader));
    while cluster.now < deadline {
        cluster.run(Duration::from_millis(10));
        let now = cluster.now;
        assert_eq!(state(&mut cluster, leader).leadership(now), None);
    }
    cluster.run_until("another leader", |cluster| {
        cluster.leader().is_some_and(|other| other != leader)
    });
}

/// Guards against a leader that leads again after the deadline of a transfer, although the request
/// to stand for election may still be on its way to the target.
#[test]
fn a_leader_steps_down_after_a_transfer_without_result() {
    let mut cluster = formed_cluster(14, &[true; 3], false);
    cluster.run(SECOND);
    let leader = cluster.leader().unwrap();
    let target = (leader + 1) % 3;
    let deadline = cluster.now + Duration::from_millis(300);
    let started = state(&mut cluster, leader).start_transfer(Some(host_name(target)), deadline);
    assert_eq!(started, Ok(()));
    cluster.cut(leader, target);
    cluster.run(Duration::from_millis(400));
    let now = cluster.now;
    assert_eq!(state(&mut cluster, leader).leadership(now), None);
    assert_ne!(state(&mut cluster, leader).role, Role::Leader);
    cluster.heal();
    cluster.finish();
}

/// Guards against a witness that reports leadership, and against the loss of entries that only the
/// witness has.
#[test]
fn a_witness_replicates_its_entries() {
    let mut cluster = formed_cluster(9, &[true; 3], true);
    let witness = 2;
    let leader = cluster.leader().unwrap();
    let other = 1 - leader;
    cluster.isolate(other);
    commit_some(&mut cluster, 30);
    cluster.crash(leader);
    cluster.heal();
    // The witness campaigns after it refused a pre-vote, without its additional wait of three
    // election timeouts.
    cluster.run(Duration::from_millis(3_500));
    assert_eq!(cluster.leader(), Some(other));
    commit_some(&mut cluster, 1);
    let now = cluster.now;
    assert_eq!(state(&mut cluster, witness).leadership(now), None);
    cluster.finish();
}

/// Guards against a learner that counts towards a quorum, and against a host that cannot catch up
/// from a snapshot in several chunks.
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
        .requested_learners
        .insert(host_name(2));
    state(&mut cluster, leader).update_peers();
    let learner = host_name(2);
    cluster.run_until("the learner has all entries", |cluster| {
        *cluster.nodes[2].applied.lock().unwrap() == cluster.committed_commands
    });
    assert_eq!(cluster.role_of(leader, &learner), Some(MemberRole::Learner));
    assert!(
        state(&mut cluster, 2).snapshot.index > 1,
        "the learner installed a snapshot"
    );
    cluster.run(SECOND);
    let now = cluster.now;
    assert!(state(&mut cluster, leader).promote(&learner, now).is_ok());
    cluster.run_until("all hosts vote", Cluster::all_hosts_vote);
    let now = cluster.now;
    let other = host_name(1 - leader);
    assert!(state(&mut cluster, leader).remove(&other, now).is_ok());
    cluster.run(SECOND);
    assert_eq!(cluster.role_of(leader, &other), None);
    commit_some(&mut cluster, 1);
}

/// Guards against a log that grows without limit.
#[test]
fn snapshots_bound_the_log() {
    let mut cluster = formed_cluster(11, &[true; 3], false);
    commit_some(&mut cluster, 200);
    cluster.run(SECOND);
    for host in 0..3 {
        let log = &state(&mut cluster, host).log;
        assert!(log.last_index() - log.base_index() <= 30);
    }
}

/// Guards against an acknowledgement or a vote after a failed write or sync.
#[test]
fn a_storage_failure_ends_voting() {
    for operation in [DiskOperation::Write, DiskOperation::Sync] {
        let mut cluster = formed_cluster(12, &[true; 3], false);
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
        assert!(
            !error.is_certainly_not_committed(),
            "the entry may be on the disk"
        );
        assert!(failing.fault.is_some());
        assert_eq!(failing.leadership(now), None);
        let term = failing.hard_state.term;
        failing.tick(now + 60 * SECOND);
        assert_eq!(
            (failing.role, failing.hard_state.term),
            (Role::Follower, term)
        );
    }
}

/// Guards against a group that ends for good once the disks of a majority of its hosts have refused
/// writes for some seconds, one after the other: each of these hosts stayed out of the log.
#[test]
fn hosts_vote_again_after_their_disks_failed_in_turn() {
    for failure in [Failure::Refused, Failure::Unreported] {
        let mut cluster = formed_cluster(13, &[true; 3], false);
        for round in 0..6 {
            // Each host in turn, then three times the leader.
            let leader = cluster.leader().unwrap_or(0);
            let failing = if round < 3 { round } else { leader };
            cluster.set_disk_failure(failing, Some(failure));
            let wanted = cluster.confirmed.len() + 20;
            while cluster.confirmed.len() < wanted {
                cluster.run_until("a leader", |cluster| cluster.leader().is_some());
                let leader = cluster.leader().unwrap();
                cluster.propose(leader);
                cluster.run(Duration::from_millis(50));
            }
            cluster.run(5 * SECOND);
            cluster.set_disk_failure(failing, None);
            cluster.run(2 * SECOND);
            assert!(state(&mut cluster, failing).fault.is_none());
        }
        cluster.finish();
    }
}

/// Guards against a host that leads until its lease ends although its disk refuses writes.
#[test]
fn a_leader_gives_up_its_leadership_when_its_disk_fails() {
    let mut cluster = formed_cluster(14, &[true; 3], false);
    cluster.run_until("a leader", |cluster| cluster.leader().is_some());
    let leader = cluster.leader().unwrap();
    cluster.set_disk_failure(leader, Some(Failure::Refused));
    cluster.propose(leader);
    let now = cluster.now;
    assert!(!state(&mut cluster, leader).sync_now());
    assert_eq!(state(&mut cluster, leader).leadership(now), None);
    cluster.run_until("another leader", |cluster| cluster.leader().is_some());
    assert_ne!(cluster.leader(), Some(leader));
}

/// Guards against a host that stops voting because a snapshot finds no room, although its log can
/// still be written, and against attempts to write one after each entry.
#[test]
fn a_snapshot_that_cannot_be_written_is_postponed() {
    let mut cluster = formed_cluster(15, &[true; 3], false);
    commit_some(&mut cluster, 5);
    let folder = tempfile::TempDir::new().unwrap();
    let (mut disk, _) = Disk::open(folder.path(), Arc::new(|_| Ok(()))).unwrap();
    let hook: DiskHook = Arc::new(|_| Err(std::io::ErrorKind::StorageFull.into()));
    disk.set_hook(hook);
    let now = cluster.now;
    let leader = cluster.leader().unwrap();
    let replica = state(&mut cluster, leader);
    replica.storage = Storage::Disk(Box::new(disk));
    replica.options.limits.max_log_entries = 1;
    replica.compact_if_large(now);
    let pending = replica.begin_snapshot().unwrap();
    let result = pending.run();
    assert!(result.is_err());
    replica.finish_snapshot(pending, result, now);
    assert_eq!(replica.fault, None);
    assert!(replica.leadership(now).is_some());
    replica.compact_if_large(now + SECOND);
    assert!(replica.begin_snapshot().is_none());
    replica.compact_if_large(now + 10 * SECOND);
    assert!(replica.begin_snapshot().is_some());
}

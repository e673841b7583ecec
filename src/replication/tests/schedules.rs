//! Random schedules of faults; a fixed seed makes the schedules reproducible.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::harness::Cluster;
use crate::replication::image::Failure;

#[derive(Clone, Debug)]
enum Action {
    Run(u64),
    Propose(usize),
    Crash(usize),
    PowerLoss,
    Restart(usize),
    Pause(usize, u64),
    LoseDisk(usize),
    Cut(usize, usize),
    Isolate(usize),
    Loss(u32),
    Heal,
    Transfer,
    FailDisk(usize, Failure),
    MendDisk(usize),
}

fn action(hosts: usize) -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => (5_u64..600).prop_map(Action::Run),
        6 => (1_u64..40).prop_map(Action::Run),
        2 => (1_500_u64..4_000).prop_map(Action::Run),
        12 => (0..hosts).prop_map(Action::Propose),
        2 => (0..hosts).prop_map(Action::Crash),
        1 => Just(Action::PowerLoss),
        4 => (0..hosts).prop_map(Action::Restart),
        1 => (0..hosts, 100_u64..4_000).prop_map(|(host, ms)| Action::Pause(host, ms)),
        2 => (0..hosts).prop_map(Action::LoseDisk),
        1 => (0..hosts, 0..hosts).prop_map(|(from, to)| Action::Cut(from, to)),
        1 => (0..hosts).prop_map(Action::Isolate),
        1 => (0_u32..30).prop_map(Action::Loss),
        2 => Just(Action::Heal),
        1 => Just(Action::Transfer),
        1 => (0..hosts).prop_map(|host| Action::FailDisk(host, Failure::Refused)),
        1 => (0..hosts).prop_map(|host| Action::FailDisk(host, Failure::Unreported)),
        3 => (0..hosts).prop_map(Action::MendDisk),
    ]
}

fn perform(cluster: &mut Cluster, action: &Action) {
    match *action {
        Action::Run(ms) => cluster.run(Duration::from_millis(ms)),
        Action::Propose(host) => {
            // Half of the proposals go to the leader, since proposers usually know the leader.
            let leader = cluster.leader().filter(|_| host % 2 == 0);
            for _ in 0..5 {
                cluster.propose(leader.unwrap_or(host));
            }
        }
        Action::Crash(host) if cluster.has_disk(host) => cluster.crash(host),
        Action::Crash(host) | Action::LoseDisk(host) => {
            if cluster.all_hosts_vote() {
                cluster.lose_disk(host);
            }
        }
        Action::PowerLoss => {
            let hosts = 0..cluster.nodes.len();
            if hosts.clone().all(|host| cluster.has_disk(host)) {
                hosts.clone().for_each(|host| cluster.crash(host));
                hosts.for_each(|host| cluster.start(host));
            }
        }
        Action::Restart(host) => cluster.start(host),
        Action::Pause(host, ms) => cluster.pause(host, Duration::from_millis(ms)),
        Action::Cut(from, to) => cluster.cut(from, to),
        Action::Isolate(host) => cluster.isolate(host),
        Action::Loss(percent) => cluster.loss_percent = percent,
        Action::Heal => cluster.heal(),
        Action::FailDisk(host, failure) => cluster.set_disk_failure(host, Some(failure)),
        Action::MendDisk(host) => cluster.set_disk_failure(host, None),
        Action::Transfer => {
            let Some(leader) = cluster.leader() else {
                return;
            };
            let deadline = cluster.now + Duration::from_secs(1);
            let state = cluster.nodes[leader].state.as_mut().unwrap();
            let _ = state.start_transfer(None, deadline);
        }
    }
}

fn run_schedule(seed: u64, disks: &[bool], witness: bool, actions: &[Action]) {
    let mut cluster = Cluster::new(seed, disks, witness);
    for action in actions {
        perform(&mut cluster, action);
    }
    cluster.finish();
}

fn configuration(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x6a75_6a75_6265),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(configuration(250))]

    /// Guards against lost or changed committed entries, two leaders in one term, leaders that lack
    /// committed entries, wrong outcomes of proposals, and groups that do not recover from faults.
    #[test]
    fn three_hosts_with_disks(seed: u64, actions in prop::collection::vec(action(3), 20..120)) {
        run_schedule(seed, &[true; 3], false, &actions);
    }

    /// Guards against the same failures on hosts that lose their storage with each crash.
    #[test]
    fn three_hosts_without_disks(seed: u64, actions in prop::collection::vec(action(3), 20..120)) {
        run_schedule(seed, &[false; 3], false, &actions);
    }

    /// Guards against the same failures with two hosts without disks and a witness.
    #[test]
    fn two_hosts_and_a_witness(seed: u64, actions in prop::collection::vec(action(3), 20..120)) {
        run_schedule(seed, &[false, false, true], true, &actions);
    }

    /// Guards against the same failures with five hosts, of which two have no disk.
    #[test]
    fn five_hosts_of_both_kinds(seed: u64, actions in prop::collection::vec(action(5), 20..120)) {
        run_schedule(seed, &[true, false, true, false, true], false, &actions);
    }
}

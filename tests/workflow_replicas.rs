//! Tests which storage hosts become voters and which are removed when hosts are lost or replaced.

use std::time::Duration;

use jujubewinch::ids::HostId;
use jujubewinch::workflow::decisions::replicas::{
    MemberView, MembershipStep, REMOVE_LEARNER_AFTER, REPLACE_AFTER, next_step,
};

fn member(host: &str, votes: bool, silent_for: Duration) -> MemberView {
    MemberView {
        host: host.to_owned(),
        votes,
        caught_up: true,
        silent_for,
    }
}

fn hosts(names: &[&str]) -> Vec<HostId> {
    names.iter().map(|&name| name.to_owned()).collect()
}

fn voters(names: &[&str]) -> Vec<MemberView> {
    let names = names.iter();
    names
        .map(|name| member(name, true, Duration::ZERO))
        .collect()
}

/// Guards against the loss of the log as on the day `fresh-82d3` of the Authority: a storage host
/// was permanently lost, its successor never became a voter, and the loss of the next disk left no
/// majority.
#[test]
fn a_successor_becomes_a_voter_before_the_silent_host_is_removed() {
    let mut members = voters(&["a", "b", "c"]);
    members[2].silent_for = REPLACE_AFTER + Duration::from_millis(1);
    let candidates = hosts(&["a", "b", "d"]);
    let step = |members: &[MemberView]| next_step(members, &candidates, 3);
    assert_eq!(
        step(&members),
        Some(MembershipStep::AddLearner("d".to_owned()))
    );
    members.push(member("d", false, Duration::ZERO));
    members[3].caught_up = false;
    assert_eq!(
        step(&members),
        None,
        "the learner does not have the whole log yet"
    );
    members[3].caught_up = true;
    assert_eq!(
        step(&members),
        Some(MembershipStep::Promote("d".to_owned()))
    );
    members[3].votes = true;
    assert_eq!(step(&members), Some(MembershipStep::Remove("c".to_owned())));
    members.remove(2);
    assert_eq!(step(&members), None);
}

/// Guards against the removal of a host that only restarts or that has no successor.
#[test]
fn short_silence_and_missing_successors_cause_no_membership_change() {
    let mut members = voters(&["a", "b", "c"]);
    members.push(member("d", false, Duration::ZERO));
    members[2].silent_for = REPLACE_AFTER - Duration::from_millis(1);
    let candidates = hosts(&["a", "b", "c", "d"]);
    assert_eq!(next_step(&members, &candidates, 3), None);
    members.pop();
    members[2].silent_for = REPLACE_AFTER * 4;
    assert_eq!(next_step(&members, &hosts(&["a", "b"]), 3), None);
}

/// Guards against a cell that tolerates fewer losses than its settings require although more
/// storage hosts are available than formed it.
#[test]
fn additional_hosts_become_voters_until_there_are_enough() {
    let mut members = voters(&["a", "b", "c"]);
    members.push(member("d", false, Duration::ZERO));
    let candidates = hosts(&["a", "b", "c", "d"]);
    assert_eq!(
        next_step(&members, &candidates, 5),
        Some(MembershipStep::Promote("d".to_owned()))
    );
}

/// Guards against learners that are permanently lost but remain members, so that the leader calls
/// them forever.
#[test]
fn silent_learners_are_removed() {
    let mut members = voters(&["a", "b", "c"]);
    members.push(member("d", false, REMOVE_LEARNER_AFTER * 2));
    assert_eq!(
        next_step(&members, &hosts(&["a", "b", "c"]), 3),
        Some(MembershipStep::Remove("d".to_owned()))
    );
}

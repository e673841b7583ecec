//! Decides which storage hosts are members and voters of the workflow log.
//!
//! Load pattern: a storage host is lost for good and an empty one replaces it at another address,
//! seconds before the next disk is lost. New hosts become learners at once. A learner is promoted
//! when there are too few voters or when a voter is silent, and only then the silent voter is
//! removed.

use std::time::Duration;

use crate::ids::HostId;

/// Silence after which a voter may be replaced. Longer than most restarts and temporary freezes,
/// and well below the time until the next loss has to be tolerated.
pub const REPLACE_AFTER: Duration = Duration::from_millis(2_500);
/// Silence after which a learner is removed.
pub const REMOVE_LEARNER_AFTER: Duration = Duration::from_secs(20);

/// A member of the log as the leader sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Host that holds the replica.
    pub host: HostId,
    /// Whether the member is a voter; otherwise it is a learner.
    pub votes: bool,
    /// Whether the member has all committed entries except for the most recent ones.
    pub caught_up: bool,
    /// Time since the member's last answer; zero for the leader itself.
    pub silent_for: Duration,
}

/// A change of the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipStep {
    /// Adds the host as a learner.
    AddLearner(HostId),
    /// Makes the learner a voter.
    Promote(HostId),
    /// Removes the member, a voter or a learner.
    Remove(HostId),
}

/// Returns the next change of the membership; changes are made one at a time. `candidates` are the
/// storage hosts in contact with the leader.
pub fn next_step(
    members: &[MemberView],
    candidates: &[HostId],
    wanted_voters: usize,
) -> Option<MembershipStep> {
    let is_member = |host: &HostId| members.iter().any(|member| member.host == *host);
    if let Some(joining) = candidates.iter().find(|host| !is_member(host)) {
        return Some(MembershipStep::AddLearner(joining.clone()));
    }
    let voters: Vec<&MemberView> = members.iter().filter(|member| member.votes).collect();
    let silent = voters
        .iter()
        .filter(|voter| voter.silent_for > REPLACE_AFTER)
        .max_by_key(|voter| voter.silent_for);
    let learners = members.iter().filter(|member| !member.votes);
    let ready = learners
        .clone()
        .find(|learner| learner.caught_up && learner.silent_for < REPLACE_AFTER);
    if voters.len() > wanted_voters {
        return silent.map(|voter| MembershipStep::Remove(voter.host.clone()));
    }
    if let Some(ready) = ready
        && (voters.len() < wanted_voters || silent.is_some())
    {
        return Some(MembershipStep::Promote(ready.host.clone()));
    }
    let gone = learners
        .filter(|learner| !candidates.contains(&learner.host))
        .find(|learner| learner.silent_for > REMOVE_LEARNER_AFTER)?;
    Some(MembershipStep::Remove(gone.host.clone()))
}

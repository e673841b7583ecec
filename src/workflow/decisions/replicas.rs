//! Which storage hosts vote in the workflow log.
//!
//! Load pattern: a storage host is gone for good and an empty one takes its place at another
//! address, seconds before the next disk is lost. New hosts learn the log at once; one becomes a
//! voter when there are too few, or when a voter is silent, and only then the silent one leaves.

use std::time::Duration;

use crate::ids::HostId;

/// Silence after which a voter may be replaced. Longer than a restart or a freeze that ends by
/// itself in most cases, and well below the time until the next loss has to be borne.
pub const REPLACE_AFTER: Duration = Duration::from_millis(2_500);
/// Silence after which a learner is forgotten.
pub const FORGET_LEARNER_AFTER: Duration = Duration::from_secs(20);

/// A member of the log as its leader sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Host.
    pub host: HostId,
    /// Whether it votes.
    pub votes: bool,
    /// Whether it has all committed entries, but for those of the last moments.
    pub caught_up: bool,
    /// Time since its last answer; zero for the leader itself.
    pub silent_for: Duration,
}

/// A change of the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipStep {
    /// The host begins to learn the log.
    AddLearner(HostId),
    /// The learner becomes a voter.
    Promote(HostId),
    /// The member leaves.
    Remove(HostId),
}

/// The next change, one at a time. `candidates` are storage hosts in contact.
pub fn next_step(
    members: &[MemberView],
    candidates: &[HostId],
    wanted_voters: usize,
) -> Option<MembershipStep> {
    let is_member = |host: &HostId| members.iter().any(|member| member.host == *host);
    if let Some(new) = candidates.iter().find(|host| !is_member(host)) {
        return Some(MembershipStep::AddLearner(new.clone()));
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
        .find(|learner| learner.silent_for > FORGET_LEARNER_AFTER)?;
    Some(MembershipStep::Remove(gone.host.clone()))
}

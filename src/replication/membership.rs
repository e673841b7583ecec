//! Members of a replicated log and their quorum.

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation};

/// What a member counts for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes and counts towards quorums.
    Voter,
    /// Learner that the leader promotes once it has caught up: a voter that lost its storage.
    Returning,
    /// Receives the log only.
    Learner,
}

/// One host in the membership.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Host.
    pub host: HostId,
    /// Identity of its storage; a host that lost its storage has another one.
    pub incarnation: Incarnation,
    /// What it counts for.
    pub role: MemberRole,
}

/// All members. A change adds or removes at most one voter, so that the majorities before and
/// after the change overlap.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// At most one member for each host.
    pub members: Vec<Member>,
}

impl Membership {
    /// The member on the host.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.host == host)
    }

    /// Whether this incarnation of the host votes.
    pub fn is_voter(&self, host: &str, incarnation: Incarnation) -> bool {
        self.voters()
            .any(|member| member.host == host && member.incarnation == incarnation)
    }

    /// Members that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.role == MemberRole::Voter)
    }

    /// Whether the predicate holds for a majority of the voters.
    pub fn has_majority(&self, predicate: impl Fn(&Member) -> bool) -> bool {
        let voters = self.voters().count();
        let count = self.voters().filter(|member| predicate(member)).count();
        count * 2 > voters
    }

    /// Largest value that a majority of the voters has reached.
    pub fn majority_value(&self, value: impl Fn(&Member) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    /// The membership with a member added, or replaced when its host is present.
    pub fn with(&self, member: Member) -> Self {
        let mut members = self.without(&member.host).members;
        members.push(member);
        members.sort_by(|left, right| left.host.cmp(&right.host));
        Self { members }
    }

    /// The membership without a host.
    pub fn without(&self, host: &str) -> Self {
        let mut members = self.members.clone();
        members.retain(|member| member.host != host);
        Self { members }
    }

    /// Whether majorities of both memberships always overlap.
    pub fn overlaps(&self, next: &Self) -> bool {
        let removed = self
            .voters()
            .filter(|member| !next.is_voter(&member.host, member.incarnation))
            .count();
        let added = next
            .voters()
            .filter(|member| !self.is_voter(&member.host, member.incarnation))
            .count();
        next.voters().next().is_some() && removed + added <= 1
    }
}

//! Membership of a replicated log and its quorums.

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation};

/// Role of a member in quorums and replication.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes and counts towards quorums.
    Voter,
    /// A former voter that lost its storage: a learner that the leader promotes to a voter once it
    /// has caught up.
    Returning,
    /// Receives the log, but neither votes nor counts towards quorums.
    Learner,
}

/// One host in the membership.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Host of the member.
    pub host: HostId,
    /// Identity of the member's storage; a host that lost its storage has a new incarnation.
    pub incarnation: Incarnation,
    /// Whether the member votes.
    pub role: MemberRole,
}

/// Members of a group. A change adds or removes at most one voter, so that the majorities before and
/// after the change overlap.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// At most one member for each host; sorted by host after a change.
    pub members: Vec<Member>,
}

impl Membership {
    /// Returns the member on the host.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.host == host)
    }

    /// Returns whether this incarnation of the host votes.
    pub fn is_voter(&self, host: &str, incarnation: Incarnation) -> bool {
        self.voters()
            .any(|member| member.host == host && member.incarnation == incarnation)
    }

    /// Returns the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.role == MemberRole::Voter)
    }

    /// Returns whether the predicate holds for a majority of the voters.
    pub fn has_majority(&self, predicate: impl Fn(&Member) -> bool) -> bool {
        let voters = self.voters().count();
        let count = self.voters().filter(|member| predicate(member)).count();
        count * 2 > voters
    }

    /// Returns the largest value that a majority of the voters has reached; zero without voters.
    pub fn majority_value(&self, value: impl Fn(&Member) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    /// Returns a copy with the member added; it replaces the member on the same host, if any.
    pub fn with(&self, member: Member) -> Self {
        let mut members = self.without(&member.host).members;
        members.push(member);
        members.sort_by(|left, right| left.host.cmp(&right.host));
        Self { members }
    }

    /// Returns a copy without the member on the host.
    pub fn without(&self, host: &str) -> Self {
        let mut members = self.members.clone();
        members.retain(|member| member.host != host);
        Self { members }
    }

    /// Returns whether every majority of this membership overlaps every majority of the next one:
    /// at most one voter is added or removed, and a voter remains.
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

//! The state of a replica as it is reported to others.

use std::time::Instant;

use super::log::{Index, Term};
use super::membership::{MemberRole, Membership};
use crate::ids::{HostId, Incarnation};

/// Phase of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaPhase {
    /// Belongs to no group yet: waits for the formation, or for its re-admission by the leader, which
    /// then sends a snapshot.
    Joining,
    /// Replicates the log of a leader, or has no leader.
    Follower,
    /// Requests votes.
    Candidate,
    /// Won an election; [`Replica::leadership`] says whether the leadership is confirmed.
    Leader,
    /// Takes no part until its storage works again, or was shut down; holds the reason.
    Faulty(String),
}

/// State of a replica at one moment.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Phase of the replica.
    pub phase: ReplicaPhase,
    /// Identity of its storage.
    pub incarnation: Incarnation,
    /// Latest term that this host has seen.
    pub term: Term,
    /// Leader, when known.
    pub leader: Option<HostId>,
    /// Last contact with a leader. On the leader itself, the last contact with its predecessor.
    pub heard_leader_at: Option<Instant>,
    /// Highest index that this host knows to be committed.
    pub commit: Index,
    /// Index of the last applied entry.
    pub applied: Index,
    /// Index of the last entry, committed or not.
    pub last_index: Index,
    /// Number of entries that are kept in memory after the base of the log.
    pub log_entries: u64,
    /// Membership in effect; it may not be committed yet.
    pub membership: Membership,
    /// Membership at the commit index.
    pub committed_membership: Membership,
}

/// Replication progress of a member, as known to the leader.
#[derive(Clone, Debug)]
pub struct MemberProgress {
    /// Host of the member.
    pub host: HostId,
    /// Whether the member votes.
    pub role: MemberRole,
    /// Send time of the latest call of this term that the member answered; `None` for this host
    /// and before the first reply.
    pub answered_at: Option<Instant>,
    /// Send time of the latest call to the member; `None` for this host.
    pub sent_at: Option<Instant>,
    /// Whether the member has stored, at some time in this term, all entries that were committed
    /// when the leader called it.
    pub caught_up: bool,
}

//! Replication and election state of another host of the group.

use std::time::Instant;

use super::log::{Index, Term};
use super::message::{GroupId, VotePhase};
use crate::ids::{HostId, Incarnation};

/// State of one other host, as known to this replica.
#[derive(Debug)]
pub(super) struct Peer {
    /// Incarnation in the membership in effect; `None` before the host is a member.
    pub incarnation: Option<Incarnation>,
    /// Index of the next entry to send.
    pub next_index: Index,
    /// Index up to which the host's log is known to match the leader's and to be durable.
    pub match_index: Index,
    /// Commit index in the latest call with entries or heartbeat that the host answered.
    pub acked_commit: Index,
    /// Send time of the latest call in this term that the host answered as follower or voter. It
    /// extends the leader lease.
    pub acked_at: Option<Instant>,
    /// Commit index in the latest call with entries or heartbeat that was sent.
    pub sent_commit: Index,
    /// Send time of the latest call.
    pub sent_at: Option<Instant>,
    /// Time before which no call is sent, after a failed or rejected one.
    pub retry_at: Option<Instant>,
    /// Whether a call is in flight; at most one is.
    pub in_flight: bool,
    /// Whether the host granted its vote in the present election; `None` before its reply.
    pub vote: Option<bool>,
    /// Whether the host may be an initial voter that has not joined the formed group yet.
    pub needs_form: bool,
    /// New incarnation of the host, which has to be re-admitted.
    pub replaced_by: Option<Incarnation>,
    /// Latest reply to a `Hello`, which is sent to hosts that are not members yet and before the
    /// formation.
    pub identity: Option<PeerIdentity>,
    /// Whether the host may lead, according to its latest reply.
    pub may_lead: bool,
    /// Position of the next chunk of the snapshot that is being sent, in bytes.
    pub snapshot_offset: u64,
    /// Index of the snapshot that is being sent.
    pub snapshot_index: Index,
    /// Whether the host has stored, at some time in this term, all entries that were committed when
    /// the leader called it.
    pub caught_up: bool,
}

/// Identity and wall clock from a reply to a `Hello`.
#[derive(Clone, Debug)]
pub(super) struct PeerIdentity {
    pub incarnation: Incarnation,
    pub group: GroupId,
    pub wall_ms: u64,
    pub sent_at: Instant,
}

impl Peer {
    pub(super) fn new(incarnation: Option<Incarnation>) -> Self {
        Self {
            incarnation,
            next_index: 1,
            match_index: 0,
            acked_commit: 0,
            acked_at: None,
            sent_commit: 0,
            sent_at: None,
            retry_at: None,
            in_flight: false,
            vote: None,
            needs_form: false,
            replaced_by: None,
            identity: None,
            may_lead: false,
            snapshot_offset: 0,
            snapshot_index: 0,
            caught_up: false,
        }
    }

    /// Resets the fields that are valid only within one term.
    pub(super) fn reset_for_term(&mut self, next_index: Index) {
        self.next_index = next_index;
        self.match_index = 0;
        self.sent_commit = 0;
        self.acked_commit = 0;
        self.snapshot_offset = 0;
        self.caught_up = false;
        self.retry_at = None;
        self.replaced_by = None;
    }
}

/// Next action of the thread of a peer.
pub(super) enum NextAction {
    /// The host is no longer a peer.
    Removed,
    /// No call is due before this time unless the state changes.
    WaitUntil(Instant),
    /// A call to send now.
    Send(OutgoingCall),
}

/// A call to a peer.
#[derive(Clone, Debug)]
pub(super) struct OutgoingCall {
    pub host: HostId,
    pub bytes: Vec<u8>,
    pub sent_at: Instant,
    pub deadline: Instant,
    /// Term of the sender when the call was sent.
    pub term: Term,
    /// Incarnation to which the call is addressed; zero when unknown.
    pub to_incarnation: Incarnation,
    pub kind: CallKind,
}

/// Kind of a call, with what its reply acknowledges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallKind {
    Hello,
    Form,
    Vote(VotePhase),
    Append { last_index: Index, commit: Index },
    Snapshot { index: Index, total_bytes: u64 },
    CampaignNow,
}

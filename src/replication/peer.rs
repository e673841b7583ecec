//! What a replica knows about another host of its group.

use std::time::Instant;

use super::log::{Index, Term};
use super::message::{GroupId, VotePhase};
use crate::ids::{HostId, Incarnation};

/// Progress of one other host.
#[derive(Debug)]
pub(super) struct Peer {
    /// Incarnation in the membership in effect; `None` before the host is a member.
    pub incarnation: Option<Incarnation>,
    /// Next entry to send.
    pub next_index: Index,
    /// Last entry that is known to be stored there, with the leader's content.
    pub match_index: Index,
    /// Committed index in the latest call that the host answered.
    pub told_commit: Index,
    /// Send time of the latest call in this term that the host answered as follower or voter.
    pub acked_at: Option<Instant>,
    /// Commit index in the latest call with entries or heartbeat.
    pub sent_commit: Index,
    /// Send time of the latest call.
    pub sent_at: Option<Instant>,
    /// No call before this time, after a failed one.
    pub retry_at: Option<Instant>,
    /// Whether a call has not returned yet.
    pub in_flight: bool,
    /// Reply in the present election.
    pub vote: Option<bool>,
    /// The host is an initial voter that was not told of the formation.
    pub needs_form: bool,
    /// Another incarnation answered; it has to be re-admitted.
    pub replaced_by: Option<Incarnation>,
    /// Identity from a `Hello` of a host that is no member yet, or before the formation.
    pub presence: Option<Presence>,
    /// Whether the host may lead.
    pub may_lead: bool,
    /// Position of the next chunk while a snapshot is being sent.
    pub snapshot_offset: u64,
    /// Index of the snapshot that is being sent.
    pub snapshot_index: Index,
    /// Whether the host had all entries that were committed when it was last called.
    pub caught_up: bool,
}

/// Reply to a `Hello`.
#[derive(Clone, Debug)]
pub(super) struct Presence {
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
            told_commit: 0,
            acked_at: None,
            sent_commit: 0,
            sent_at: None,
            retry_at: None,
            in_flight: false,
            vote: None,
            needs_form: false,
            replaced_by: None,
            presence: None,
            may_lead: false,
            snapshot_offset: 0,
            snapshot_index: 0,
            caught_up: false,
        }
    }

    /// Forgets what holds only within one term.
    pub(super) fn start_term(&mut self, next_index: Index) {
        self.next_index = next_index;
        self.match_index = 0;
        self.sent_commit = 0;
        self.told_commit = 0;
        self.snapshot_offset = 0;
        self.caught_up = false;
        self.retry_at = None;
        self.replaced_by = None;
    }
}

/// What the next step towards a peer is.
pub(super) enum Prepared {
    /// The host is no longer a peer.
    Gone,
    /// Nothing to send before this time, unless the state changes.
    WaitUntil(Instant),
    /// A call to make.
    Send(Outgoing),
}

/// A call to a peer.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    pub host: HostId,
    pub bytes: Vec<u8>,
    pub sent_at: Instant,
    pub deadline: Instant,
    /// Term in which it was sent.
    pub term: Term,
    /// Addressee; zero when unknown.
    pub to_incarnation: Incarnation,
    pub kind: CallKind,
}

/// What the reply to a call means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallKind {
    Hello,
    Form,
    Vote(VotePhase),
    Append { last_index: Index, commit: Index },
    Snapshot { index: Index, total_bytes: u64 },
    CampaignNow,
}

//! Messages between the replicas of a group, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::log::{Entry, Index, Term};
use super::membership::Membership;
use super::storage::Formation;
use crate::ids::Incarnation;

/// Random identifier of a formed group; zero before the formation.
pub type GroupId = u64;

/// A request with the fields that the receiver checks before the body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestEnvelope {
    /// Group of the sender.
    pub group: GroupId,
    /// Incarnation of the sender.
    pub from_incarnation: Incarnation,
    /// Incarnation to which the request is addressed; ignored by [`Request::Hello`].
    pub to_incarnation: Incarnation,
    /// Term of the sender, or of the election that it proposes.
    pub term: Term,
    /// The request itself.
    pub body: Request,
}

/// Kind of a vote request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum VotePhase {
    /// Pre-vote: asks whether a vote would be granted, without a change of the term.
    Pre,
    /// Asks for a vote in a new term.
    Real,
    /// Asks for a vote after a leadership transfer, so that the lease of the present leader does
    /// not prevent the election.
    Transfer,
}

/// Body of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for the incarnation, group and wall clock of the receiver.
    Hello,
    /// Informs an initial voter without state that the group was formed and that it is a member.
    Form {
        /// Initial members.
        membership: Membership,
    },
    /// Asks for a vote.
    Vote {
        /// Kind of the vote request.
        phase: VotePhase,
        /// Index of the candidate's last entry.
        last_index: Index,
        /// Term of the candidate's last entry.
        last_term: Term,
    },
    /// Replicates entries; a heartbeat when it has none.
    Append {
        /// Index before the first entry.
        prev_index: Index,
        /// Term at that index.
        prev_term: Term,
        /// Commit index of the leader.
        commit: Index,
        /// Entries from `prev_index + 1` on, with consecutive indexes.
        entries: Vec<Entry>,
    },
    /// Sends one chunk of a snapshot.
    Snapshot {
        /// Last index that the snapshot covers.
        index: Index,
        /// Term at that index.
        index_term: Term,
        /// Membership at that index.
        membership: Membership,
        /// Initial term and membership of the group.
        formation: Formation,
        /// Size of the whole snapshot state.
        total_bytes: u64,
        /// CRC-32 of the whole snapshot state.
        checksum: u32,
        /// Position of the chunk in the state, in bytes.
        offset: u64,
        /// Bytes of the state from `offset` on.
        chunk: Vec<u8>,
    },
    /// Asks the receiver to start an election at once, as the target of a leadership transfer.
    CampaignNow,
}

/// A reply with the identity of the replica that sends the reply. "Receiver" is the receiver of
/// the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplyEnvelope {
    /// Group of the receiver; zero while it has none.
    pub group: GroupId,
    /// Incarnation of the receiver.
    pub incarnation: Incarnation,
    /// Term of the receiver.
    pub term: Term,
    /// Whether the receiver may lead.
    pub may_lead: bool,
    /// The reply itself.
    pub body: Reply,
}

/// Body of a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Request::Hello`].
    Hello {
        /// Wall clock in Unix milliseconds. The first term of a new group is the largest wall
        /// clock of its initial voters.
        wall_ms: u64,
    },
    /// Reply to [`Request::Vote`].
    Vote {
        /// Whether the vote was granted, or would be granted after a pre-vote request.
        granted: bool,
    },
    /// The entries of a [`Request::Append`] are stored durably.
    Appended {
        /// Last index up to which the receiver's log is known to match the leader's.
        index: Index,
    },
    /// The receiver has no entry at `prev_index`, or one of another term.
    Mismatch {
        /// Index from which the leader has to send entries next.
        next_index: Index,
    },
    /// Reply to [`Request::Snapshot`].
    Received {
        /// Position at which the next chunk must start; the total size once the snapshot is
        /// installed.
        offset: u64,
    },
    /// Reply to [`Request::Form`] and [`Request::CampaignNow`].
    Accepted,
    /// The request does not match the group, incarnation, term or state of the receiver, or the
    /// receiver has failed.
    Rejected,
}

/// Encodes a message.
pub fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages consist of types that postcard can encode")
}

/// Decodes a message; `None` when it is malformed or has trailing bytes.
pub fn decode<'a, M: Deserialize<'a>>(bytes: &'a [u8]) -> Option<M> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}

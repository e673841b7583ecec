//! Messages between the replicas of a group, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::log::{Entry, Index, Term};
use super::membership::Membership;
use super::storage::Formation;
use crate::ids::Incarnation;

/// Random identifier of a formed group; zero before the formation.
pub type GroupId = u64;

/// A request with what every replica checks first.
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
    /// Content.
    pub body: Request,
}

/// Kind of a vote request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum VotePhase {
    /// Asks whether a vote would be granted, without effect on the term.
    Pre,
    /// Asks for a vote.
    Real,
    /// Asks for a vote on behalf of the present leader, who hands over.
    Transfer,
}

/// Content of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for the identity of the receiver.
    Hello,
    /// Tells an empty initial voter that the group was formed with it.
    Form {
        /// Initial members.
        membership: Membership,
    },
    /// Asks for a vote.
    Vote {
        /// Kind of vote.
        phase: VotePhase,
        /// Last entry of the candidate.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// Sends entries; without entries a heartbeat.
    Append {
        /// Index before the first entry.
        prev_index: Index,
        /// Term at that index.
        prev_term: Term,
        /// Highest committed index of the leader.
        commit: Index,
        /// Consecutive entries.
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
        /// How the group was formed.
        formation: Formation,
        /// Size of the whole state.
        total_bytes: u64,
        /// CRC-32 of the whole state.
        checksum: u32,
        /// Position of the chunk.
        offset: u64,
        /// Content of the chunk.
        chunk: Vec<u8>,
    },
    /// Asks the receiver to become leader at once.
    CampaignNow,
}

/// A reply with the identity of the replica that sends it.
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
    /// Content.
    pub body: Reply,
}

/// Content of a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Request::Hello`].
    Hello {
        /// Wall clock in Unix milliseconds; the first term of a new group is the largest one.
        wall_ms: u64,
    },
    /// Reply to [`Request::Vote`].
    Vote {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// The entries are stored.
    Appended {
        /// Last index that is known to equal the leader's.
        index: Index,
    },
    /// The entry before the first one is missing or differs.
    Mismatch {
        /// Index from which the leader should send.
        next_index: Index,
    },
    /// Reply to [`Request::Snapshot`].
    Received {
        /// Position at which the next chunk must start; the total size once installed.
        offset: u64,
    },
    /// Reply to [`Request::Form`] and [`Request::CampaignNow`].
    Accepted,
    /// The request does not fit the group, incarnation, term or state of the receiver.
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

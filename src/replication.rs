//! A replicated log: commands are committed once a majority of the voters has stored them, and
//! are applied in the same order on every replica.
//!
//! The protocol is Raft with pre-votes, leases of the leader, learners, single-server membership
//! changes and snapshots. Each voter has an incarnation that belongs to its storage. A host that
//! lost its storage is another incarnation, which does not vote until the leader has re-admitted
//! it. A snapshot at index 1 holds the initial state of a group.

mod disk;
mod election;
mod formation;
#[cfg(test)]
mod image;
mod inbound;
mod leader;
mod log;
mod membership;
mod message;
mod outbound;
mod peer;
mod propose;
mod replica;
mod snapshots;
mod state;
mod storage;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::clock::Clock;
use crate::ids::HostId;

pub use log::{Index, Term};
pub use membership::{Member, MemberRole, Membership};
pub use propose::{Proposal, ProposeError};
pub use replica::{MemberProgress, Replica, ReplicaPhase, ReplicaStatus};
pub use storage::{StorageError, StorageOptions};

/// Sends a message to another host and returns its reply, at the latest at the deadline.
pub type SendMessage =
    Arc<dyn Fn(&HostId, Vec<u8>, Instant) -> Result<Vec<u8>, String> + Send + Sync>;

/// Applies a committed command.
pub type ApplyCommand<T> = Box<dyn FnMut(Index, &[u8]) -> T + Send>;
/// Encodes the whole state.
pub type EncodeState = Box<dyn FnMut() -> Vec<u8> + Send>;
/// Replaces the whole state.
pub type RestoreState = Box<dyn FnMut(&[u8]) + Send>;

/// The machine whose commands are replicated. It must be deterministic. The closures run while the
/// replica is locked, so they must neither block for long nor call the replica.
pub struct StateMachine<T> {
    /// Applies a committed command.
    pub apply: ApplyCommand<T>,
    /// Encodes the whole state.
    pub snapshot: EncodeState,
    /// Replaces the whole state.
    pub restore: RestoreState,
}

/// Intervals of a group; equal on all its replicas.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval of calls to followers when there is nothing to send.
    pub heartbeat_interval: Duration,
    /// Time without a leader after which an election starts, and without a majority after which a
    /// leader steps down.
    pub election_timeout: Duration,
    /// Random share of `election_timeout` that is added, so that hosts rarely compete.
    pub election_spread: f64,
    /// Whether followers are told at once that entries are committed, instead of with the next
    /// entries or heartbeat. Costs a call to every follower for each change of a quiet log.
    pub announces_commits: bool,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            election_timeout: Duration::from_millis(1_000),
            election_spread: 0.5,
            announces_commits: false,
        }
    }
}

/// Bounds of a replica.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest command.
    pub max_command_bytes: usize,
    /// Entries that may wait for a majority.
    pub max_uncommitted_entries: u64,
    /// Entries in one call; at least one is sent.
    pub max_batch_bytes: usize,
    /// Snapshot bytes in one call.
    pub chunk_bytes: usize,
    /// Applied entries after which a snapshot is taken.
    pub max_log_entries: u64,
    /// Size of the log at which a snapshot is taken.
    pub max_log_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_command_bytes: 4 * 1024 * 1024,
            max_uncommitted_entries: 16_384,
            max_batch_bytes: 1024 * 1024,
            chunk_bytes: 128 * 1024,
            max_log_entries: 20_000,
            max_log_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Everything that a replica is made of.
pub struct ReplicaOptions<T> {
    /// Name of the log, for messages.
    pub group: String,
    /// This host.
    pub host: HostId,
    /// Voters with which the group is formed; the same on all hosts.
    pub initial_voters: Vec<HostId>,
    /// Whether this host may lead. A witness may not: when only it has the latest entries, it is
    /// elected for as long as it takes to pass them on, but reports no leadership and takes no
    /// proposals.
    pub may_lead: bool,
    /// Where the state is kept.
    pub storage: StorageOptions,
    /// Time source.
    pub clock: Clock,
    /// Intervals.
    pub timing: Timing,
    /// Bounds.
    pub limits: Limits,
    /// Seed of incarnations and election timeouts; must be random outside of tests.
    pub seed: u64,
    /// Calls to other hosts.
    pub send: SendMessage,
    /// The replicated state.
    pub machine: StateMachine<T>,
}

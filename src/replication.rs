//! A replicated log: commands are committed once a majority of the voters has stored them, and
//! are applied in the same order on every replica.
//!
//! The protocol is Raft with pre-votes, leader leases, learners, single-server membership changes
//! and snapshots. Each voter has an incarnation, which identifies its storage. A host that lost
//! its storage has a new incarnation, which does not vote until the leader has re-admitted it. A
//! snapshot at index 1 holds the initial state of a group.

mod disk;
mod election;
mod faults;
mod formation;
#[cfg(test)]
mod image;
mod inbound;
mod instruments;
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
mod status;
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
pub use replica::Replica;
pub use status::{MemberProgress, ReplicaPhase, ReplicaStatus};
pub use storage::{StorageError, StorageOptions};

/// Sends a message to another host and returns its reply; fails no later than the deadline.
pub type SendMessage =
    Arc<dyn Fn(&HostId, Vec<u8>, Instant) -> Result<Vec<u8>, String> + Send + Sync>;

/// Applies the committed command at an index and returns its output.
pub type ApplyCommand<T> = Box<dyn FnMut(Index, &[u8]) -> T + Send>;
/// Encodes the whole state for a snapshot.
pub type EncodeState = Box<dyn FnMut() -> Vec<u8> + Send>;
/// Replaces the whole state with that of a snapshot.
pub type RestoreState = Box<dyn FnMut(&[u8]) + Send>;

/// The state machine to which committed commands are applied. It must be deterministic. The
/// closures run while the replica is locked, so they must neither block for long nor call the
/// replica.
pub struct StateMachine<T> {
    /// Called once for each committed command, in the order of the log.
    pub apply: ApplyCommand<T>,
    /// Called when a snapshot is taken.
    pub snapshot: EncodeState,
    /// Called when the replica starts from a snapshot or installs one of the leader.
    pub restore: RestoreState,
}

/// Timing of a group; must be equal on all its replicas.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval between calls to a follower that has no entries to receive.
    pub heartbeat_interval: Duration,
    /// Time without contact to a leader after which a voter starts an election, and time without
    /// replies from a majority after which a leader steps down.
    pub election_timeout: Duration,
    /// Largest random extension of `election_timeout`, as a fraction of it. The extension makes
    /// simultaneous elections rare.
    pub election_spread: f64,
    /// Whether the leader sends a new commit index at once instead of with the next entries or
    /// heartbeat. Costs an additional call to every follower for each command that is
    /// appended to an otherwise idle log.
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

/// Limits on the memory and message sizes of a replica.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest command that is accepted.
    pub max_command_bytes: usize,
    /// Entries that may be uncommitted before further proposals are refused.
    pub max_uncommitted_entries: u64,
    /// Total size of the entries in one call; a single larger entry is sent alone.
    pub max_batch_bytes: usize,
    /// Snapshot bytes in one call.
    pub chunk_bytes: usize,
    /// Entries applied since the latest snapshot at which the next one is taken.
    pub max_log_entries: u64,
    /// Size of the log in memory at which a snapshot is taken.
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

/// Identity, configuration and callbacks of a replica.
pub struct ReplicaOptions<T> {
    /// Name of the group, for log messages.
    pub group: String,
    /// Identifier of this host.
    pub host: HostId,
    /// Voters with which the group is formed; must be equal on all hosts.
    pub initial_voters: Vec<HostId>,
    /// Whether this host may lead. A witness may not: when no other available voter has the latest
    /// entries, a witness is elected until it has replicated them to another voter, but it reports
    /// no leadership and accepts no proposals.
    pub may_lead: bool,
    /// Where term, vote, log and snapshot are stored.
    pub storage: StorageOptions,
    /// Monotonic and wall clock; tests supply a simulated one.
    pub clock: Clock,
    /// Heartbeat and election timing.
    pub timing: Timing,
    /// Limits on memory and message sizes.
    pub limits: Limits,
    /// Seed for incarnations, group identifiers and election timeouts; must be random outside of
    /// tests.
    pub seed: u64,
    /// Sends calls to other hosts.
    pub send: SendMessage,
    /// State machine to which committed commands are applied.
    pub machine: StateMachine<T>,
}

//! Interface of the configuration log, and implementations of the interface in memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;
use thiserror::Error;

use super::Configuration;
use crate::ids::HostId;

/// Error of a proposal that is not known to be accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProposeError {
    /// The command is not in the log and will not be appended later.
    #[error("the change was not accepted: {0}")]
    NotAccepted(String),
    /// The command may be in the log, or may still be appended.
    #[error("the change may have been accepted: {0}")]
    MayHaveBeenAccepted(String),
}

/// State of the log on this host.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogStatus {
    /// Current leader; `None` when this host knows none.
    pub leader: Option<HostId>,
    /// Voting members of the log, a quorum of which must accept each entry.
    pub voters: Vec<HostId>,
    /// Index of the last entry that this host applied.
    pub applied_index: u64,
    /// Whether this host leads, or heard from a leader within the election timeout. Otherwise this
    /// host may lag behind the leader.
    pub has_quorum: bool,
    /// Time since this host heard from a leader; `None` when it has not heard from any.
    pub leader_heard_age_ms: Option<u64>,
}

/// Appends a command and returns the output of the state machine once this host has applied the
/// command.
pub type Propose = Arc<dyn Fn(Vec<u8>) -> Result<Vec<u8>, ProposeError> + Send + Sync>;
/// Returns the current leader, when known.
pub type LeaderHint = Arc<dyn Fn() -> Option<HostId> + Send + Sync>;
/// Reads the state of the log on this host.
pub type ReadLogStatus = Arc<dyn Fn() -> LogStatus + Send + Sync>;

/// Handle of the configuration log, which consists of closures and so hides the implementation.
#[derive(Clone)]
pub struct ConfigurationLog {
    /// Appends a command and waits until this host has applied it.
    pub propose: Propose,
    /// Returns the current leader, when known.
    pub leader_hint: LeaderHint,
    /// Reads the state of the log on this host.
    pub status: ReadLogStatus,
}

/// Fault that [`ConfigurationLog::faulty`] injects for a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFault {
    /// The command is applied and the outcome is returned.
    None,
    /// The command is applied, but the proposer receives no outcome.
    AnswerLost,
    /// The command is not applied, and the proposer cannot know that it was lost.
    CommandLost,
    /// The command is not applied, and the proposer receives a definite rejection.
    Refused,
}

impl ConfigurationLog {
    /// Creates a log of a single host that keeps only the applied state, in memory.
    pub fn in_memory(configuration: Arc<Configuration>, host: HostId) -> Self {
        Self::faulty(configuration, host, |_| LogFault::None)
    }

    /// Creates a log in memory for tests. `fault` selects the fault for each command by the
    /// command's number, counted from zero.
    pub fn faulty(
        configuration: Arc<Configuration>,
        host: HostId,
        fault: impl Fn(u64) -> LogFault + Send + Sync + 'static,
    ) -> Self {
        let proposed_count = AtomicU64::new(0);
        let applied = Arc::new(AtomicU64::new(0));
        let (leader, status_applied) = (host.clone(), Arc::clone(&applied));
        Self {
            propose: Arc::new(move |command| {
                let fault = fault(proposed_count.fetch_add(1, Ordering::AcqRel));
                let lost = |reason: &str| ProposeError::MayHaveBeenAccepted(reason.to_owned());
                match fault {
                    LogFault::Refused => {
                        return Err(ProposeError::NotAccepted("no leader".to_owned()));
                    }
                    LogFault::CommandLost => return Err(lost("no answer of the leader")),
                    LogFault::None | LogFault::AnswerLost => {}
                }
                let output = configuration.apply(&command);
                applied.fetch_add(1, Ordering::AcqRel);
                if fault == LogFault::AnswerLost {
                    return Err(lost("no answer of the leader"));
                }
                Ok(output)
            }),
            leader_hint: Arc::new(move || Some(leader.clone())),
            status: Arc::new(move || LogStatus {
                leader: Some(host.clone()),
                voters: vec![host.clone()],
                applied_index: status_applied.load(Ordering::Acquire),
                has_quorum: true,
                leader_heard_age_ms: Some(0),
            }),
        }
    }
}

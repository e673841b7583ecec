//! The configuration log as its users see it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;
use thiserror::Error;

use super::Configuration;
use crate::ids::HostId;

/// A command whose outcome is not known to be accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProposeError {
    /// The command is not and will not be in the log.
    #[error("the change was not accepted: {0}")]
    NotAccepted(String),
    /// The command may be in the log or may still get there.
    #[error("the change may have been accepted: {0}")]
    MayHaveBeenAccepted(String),
}

/// State of the log on this host.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogStatus {
    /// Host that accepts changes now, when known.
    pub leader: Option<HostId>,
    /// Hosts whose agreement is needed.
    pub voters: Vec<HostId>,
    /// Index of the last entry that this host applied.
    pub applied_index: u64,
    /// Whether this host leads, or heard from a leader within the election timeout. Otherwise it
    /// may be behind.
    pub has_quorum: bool,
    /// Time since this host heard from a leader.
    pub leader_heard_age_ms: Option<u64>,
}

/// Appends a command and returns the output of the state machine once it is applied here.
pub type Propose = Arc<dyn Fn(Vec<u8>) -> Result<Vec<u8>, ProposeError> + Send + Sync>;
/// Host that accepts changes now, when known.
pub type LeaderHint = Arc<dyn Fn() -> Option<HostId> + Send + Sync>;
/// State of the log on this host.
pub type ReadLogStatus = Arc<dyn Fn() -> LogStatus + Send + Sync>;

/// The configuration log as closures, so that any implementation can stand behind it.
#[derive(Clone)]
pub struct ConfigurationLog {
    /// Appends a command.
    pub propose: Propose,
    /// Host that accepts changes now.
    pub leader_hint: LeaderHint,
    /// State of the log.
    pub status: ReadLogStatus,
}

/// What happens to a command in [`ConfigurationLog::faulty`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFault {
    /// Applied and answered.
    None,
    /// Applied; the answer is lost.
    AnswerLost,
    /// Not applied, and the sender cannot know.
    CommandLost,
    /// Certainly not applied.
    Refused,
}

impl ConfigurationLog {
    /// A log of a single host that keeps nothing but the applied state, in memory.
    pub fn in_memory(configuration: Arc<Configuration>, host: HostId) -> Self {
        Self::faulty(configuration, host, |_| LogFault::None)
    }

    /// A log without a disk whose fault for each command depends on the command's number from
    /// zero. For tests.
    pub fn faulty(
        configuration: Arc<Configuration>,
        host: HostId,
        fault: impl Fn(u64) -> LogFault + Send + Sync + 'static,
    ) -> Self {
        let proposed = AtomicU64::new(0);
        let applied = Arc::new(AtomicU64::new(0));
        let (leader, status_applied) = (host.clone(), Arc::clone(&applied));
        Self {
            propose: Arc::new(move |command| {
                let fault = fault(proposed.fetch_add(1, Ordering::AcqRel));
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

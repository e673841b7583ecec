//! Calls between the hosts of a cell about workflows, and to workers.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::queues::{QueueAddress, QueueConfiguration};
use super::records::{RunNumber, RunOutcome};
use super::spec::{StageKey, TaskKey, WorkflowSpec};
use super::state::JobPhase;
use super::workers::WorkerHeartbeat;
use crate::ids::{ConfigVersion, DataCentreName, Epoch, HostId, Incarnation, WorkerId};

/// Name of the messages of this module in the peer transport.
pub const CALL_EXTENSION: &str = "workflow";
/// Name of the messages that ask a host to call the placement policy.
pub const POLICY_EXTENSION: &str = "workflow-policy";

/// What a caller, worker or operator wants of the placer. All calls may be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Accept a job; its name is the rest of the path behind the queue's prefix.
    Submit {
        /// Host and whole path.
        target: QueueAddress,
        /// What to run.
        spec: Box<WorkflowSpec>,
    },
    /// Cancel a job.
    Cancel(QueueAddress),
    /// Tell the progress of a job, or the number of waiting jobs of a queue when the path is the
    /// queue's own.
    Query(QueueAddress),
    /// Put a configuration in force.
    ReplaceQueues(Box<QueueConfiguration>),
    /// Return the configuration in force.
    ReadQueues,
    /// Take note of a worker.
    Heartbeat(Box<WorkerHeartbeat>),
    /// Take note that a worker left.
    WorkerLeaves(WorkerId),
    /// Tell that a host is there.
    Contact(HostContact),
}

impl Call {
    /// Whether it is refused while too many wait. Calls that keep the cell going are not: contacts,
    /// heartbeats and departures of workers, and the configuration.
    pub fn is_limited(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::Cancel(_))
    }
}

/// A host that forwards calls, as the placer knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostContact {
    /// Host; its identifier is its IP address.
    pub host: HostId,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Whether it can hold a replica of the log.
    pub stores: bool,
}

/// Reply to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is committed.
    Accepted,
    /// The job was not accepted and never runs.
    NotAccepted {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The request is malformed.
    Invalid(String),
    /// No queue has this address.
    NoSuchQueue,
    /// No such job.
    NoSuchJob,
    /// Progress of the job.
    Progress(JobPhase),
    /// The cancellation is committed.
    Cancelled,
    /// Accepted jobs of the queue that have not begun.
    WaitingJobs(u64),
    /// The configuration is committed, or a newer one is in force.
    QueuesReplaced,
    /// Configuration in force, as its operator sent it; `None` before the first.
    Queues(Option<Vec<u8>>),
    /// The heartbeat or the leave is committed.
    WorkerNoted,
    /// Answer to [`Call::Contact`].
    Contacted {
        /// Configuration in force.
        version: ConfigVersion,
    },
    /// There is no configuration yet.
    NotConfigured,
    /// The call may have taken effect; repeat it.
    Unconfirmed,
    /// The call had no effect: too many calls wait for the placer.
    Busy {
        /// When to come back.
        retry_after_ms: u64,
    },
}

/// Where a worker is called.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerTarget {
    /// Worker.
    pub worker: WorkerId,
    /// Incarnation that is meant.
    pub incarnation: Incarnation,
    /// IP address and port.
    pub address: String,
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Opaque text of the job.
    pub payload: String,
    /// Fencing token.
    pub fence: Epoch,
    /// End of the worker's lease on its own clock.
    pub lease_until_clock_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Permit of the placement policy.
    pub permit: Option<String>,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StopOrder {
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Fencing token.
    pub fence: Epoch,
}

/// Renewal of a worker's lease, acknowledgement of ends and request for its lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewOrder {
    /// Fencing token.
    pub fence: Epoch,
    /// End of the lease on the worker's clock; `None` while that clock is not known.
    pub lease_until_clock_ms: Option<u64>,
    /// Ends up to this number are recorded and may be forgotten.
    pub recorded_ends: u64,
    /// How long the worker may wait for an end.
    pub wait_ms: u64,
}

/// How a worker answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Carried out, now or before.
    Done,
    /// Refused: the fencing token is old.
    Fenced,
    /// Refused: the run, or a later one, was stopped or ended there.
    Superseded,
    /// Refused: the lease in the order has passed.
    LeasePassed,
    /// Refused: no room.
    NoRoom,
    /// Refused: the permit is not valid.
    PermitInvalid,
    /// Refused: the worker is unhealthy and did nothing.
    Unhealthy,
    /// Refused for a reason that is not known.
    Refused,
    /// Another incarnation answered.
    OtherIncarnation,
}

impl OrderOutcome {
    /// Whether the worker did not carry this order out, but could carry out another copy of it.
    pub fn is_refusal(self) -> bool {
        matches!(
            self,
            Self::LeasePassed
                | Self::NoRoom
                | Self::PermitInvalid
                | Self::Unhealthy
                | Self::Refused
        )
    }
}

/// A worker's answer with the reading of its clock, when it gave one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Outcome.
    pub outcome: OrderOutcome,
    /// Worker's steady clock.
    pub clock_ms: Option<u64>,
}

/// A run that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedRun {
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Work that is done, in percent; `None` where the worker does not tell.
    pub progress_percent: Option<u8>,
}

/// An end that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// Number within the worker's incarnation; grows.
    pub number: u64,
    /// The run.
    pub run: ListedRun,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// A worker's lists.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Incarnation that answered.
    pub incarnation: Incarnation,
    /// Worker's steady clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// Ends that are not acknowledged.
    pub ends: Vec<ListedEnd>,
    /// Whether `ends` is complete; long lists are returned in parts.
    pub complete: bool,
}

/// Why a call has no answer.
#[derive(Clone, Debug, Error, Eq, PartialEq, Serialize, Deserialize)]
pub enum CallFailure {
    /// The call never left this host.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing listens at the address, so the call was not sent and the process there has ended.
    #[error("not sent: the port is closed")]
    PortClosed,
    /// The call may be carried out, now or later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Another incarnation answered.
    #[error("another incarnation answered")]
    OtherIncarnation,
    /// The worker refused the fencing token.
    #[error("the fencing token is old")]
    Fenced,
}

/// Question to the placement policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyQuestion {
    /// Stage.
    pub stage: StageKey,
    /// Workers that are asked about.
    pub workers: Vec<WorkerId>,
    /// Time for the answer.
    pub timeout_ms: u64,
}

/// Answer of the placement policy: permits for the workers that may run the stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyAnswer {
    /// Worker and token.
    pub granted: Vec<(WorkerId, String)>,
    /// Validity of the tokens, when the policy states it.
    pub validity_ms: Option<u64>,
}

/// Sends a start order.
pub type SendStart = Arc<
    dyn Fn(&WorkerTarget, &StartOrder, Instant) -> Result<OrderAnswer, CallFailure> + Send + Sync,
>;
/// Sends a stop order.
pub type SendStop = Arc<
    dyn Fn(&WorkerTarget, &StopOrder, Instant) -> Result<OrderAnswer, CallFailure> + Send + Sync,
>;
/// Renews a worker's lease and returns its lists.
pub type SendRenew = Arc<
    dyn Fn(&WorkerTarget, &RenewOrder, Instant) -> Result<WorkerReport, CallFailure> + Send + Sync,
>;
/// Asks the placement policy.
pub type AskPolicy =
    Arc<dyn Fn(&PolicyQuestion, Instant) -> Result<PolicyAnswer, CallFailure> + Send + Sync>;

/// Calls to the outside that the adapter of a platform provides.
#[derive(Clone)]
pub struct OutsideCalls {
    /// Starts a run.
    pub start: SendStart,
    /// Stops a run.
    pub stop: SendStop,
    /// Renews a lease and reads the lists.
    pub renew: SendRenew,
    /// Asks the placement policy.
    pub ask_policy: AskPolicy,
}

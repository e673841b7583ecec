//! Defines the calls between the hosts of a cell and the orders to workers.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::customers::CustomerConfiguration;
use super::queues::{QueueAddress, QueueConfiguration};
use super::records::{RunNumber, RunOutcome};
use super::spec::{StageKey, TaskKey, WorkflowSpec};
use super::state::JobPhase;
use super::workers::WorkerHeartbeat;
use crate::ids::{
    CallerKey, ConfigVersion, DataCentreName, Epoch, Generation, HostId, Incarnation, WorkerId,
};

/// Name of the messages of this module in the peer transport.
pub const CALL_EXTENSION: &str = "workflow";
/// Name of the messages that ask a host to call the placement policy.
pub const POLICY_EXTENSION: &str = "workflow-policy";

/// A call of a caller, worker, operator or host to the placer. All calls are idempotent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Submits a job; the path after the prefix of the queue is the name of the job.
    Submit {
        /// Host name and whole path of the request.
        target: QueueAddress,
        /// Workflow that the job runs.
        spec: Box<WorkflowSpec>,
    },
    /// Cancels a job.
    Cancel(QueueAddress),
    /// Returns the progress of a job, or the number of waiting jobs of a queue if the path is that
    /// of the queue itself.
    Query(QueueAddress),
    /// Replaces the configuration, unless a newer one is in force.
    ReplaceQueues(Box<QueueConfiguration>),
    /// Returns the configuration in force.
    ReadQueues,
    /// Announces a worker, or a change of its description.
    Heartbeat(Box<WorkerHeartbeat>),
    /// Announces that a worker leaves. Its runs end only when its port is found closed or its lease
    /// expires.
    WorkerLeaves(WorkerId),
    /// Announces a host that forwards calls.
    Contact(HostContact),
    /// A submission, cancellation or query with the key of its caller.
    Keyed {
        /// Key as the caller sent it.
        key: CallerKey,
        /// The call; not a keyed one itself.
        call: Box<Call>,
    },
    /// Replaces the configuration, unless a newer one is in force, with a list of customers.
    ReplaceCustomers {
        /// Queues and services of the configuration.
        queues: Box<QueueConfiguration>,
        /// Customers of the configuration.
        customers: Box<CustomerConfiguration>,
    },
}

impl Call {
    /// Value of the metric label for the kind of the call.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::Cancel(_) => "cancel",
            Self::Query(_) => "query",
            Self::ReplaceQueues(_) => "replace_queues",
            Self::ReadQueues => "read_queues",
            Self::Heartbeat(_) => "heartbeat",
            Self::WorkerLeaves(_) => "worker_leaves",
            Self::Contact(_) => "contact",
            Self::Keyed { call, .. } => call.kind(),
            Self::ReplaceCustomers { .. } => "replace_queues",
        }
    }

    /// Whether the call submits a job.
    pub fn is_submission(&self) -> bool {
        match self {
            Self::Keyed { call, .. } => call.is_submission(),
            _ => matches!(self, Self::Submit { .. }),
        }
    }

    /// Returns the target of a query and the key of its caller; `None` for other calls.
    pub fn as_query(&self) -> Option<(&QueueAddress, Option<&str>)> {
        match self {
            Self::Query(target) => Some((target, None)),
            Self::Keyed { key, call } => match &**call {
                Self::Query(target) => Some((target, Some(key))),
                _ => None,
            },
            _ => None,
        }
    }

    /// Returns the call without its key, and the key.
    pub fn split_key(self) -> (Self, Option<CallerKey>) {
        match self {
            Self::Keyed { key, call } => (*call, Some(key)),
            call => (call, None),
        }
    }

    /// Whether the call is refused while too many calls wait. Calls that the operation of the cell
    /// depends on are never refused: contacts, heartbeats and departures of workers, and the
    /// configuration.
    pub fn is_limited(&self) -> bool {
        match self {
            Self::Keyed { call, .. } => call.is_limited(),
            _ => matches!(self, Self::Submit { .. } | Self::Cancel(_)),
        }
    }
}

/// A host that forwards calls, as it announces itself to the placer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostContact {
    /// Identifier of the host, which is its IP address.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Whether the host can hold a replica of the log.
    pub stores: bool,
}

/// Reply to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is committed.
    Accepted,
    /// The job was not accepted and never runs.
    NotAccepted {
        /// Time after which the call should be repeated.
        retry_after_ms: u64,
    },
    /// The request is malformed.
    Invalid(String),
    /// No queue has this address.
    NoSuchQueue,
    /// The queue has no job of this name.
    NoSuchJob,
    /// Progress of the job.
    Progress(JobPhase),
    /// The cancellation is committed.
    Cancelled,
    /// Number of accepted jobs of the queue that have not begun.
    WaitingJobs(u64),
    /// The configuration is committed, or a newer one is in force.
    QueuesReplaced,
    /// Configuration in force, as the operator sent it; `None` before the first.
    Queues(Option<Vec<u8>>),
    /// The heartbeat or the departure is committed.
    WorkerNoted,
    /// Answer to [`Call::Contact`].
    Contacted {
        /// Version of the configuration in force; zero before the first.
        version: ConfigVersion,
    },
    /// The queue requires a key, and the call has none that is in force. It had no effect.
    UnknownKey,
    /// The job belongs to another customer than the key. The call had no effect.
    OtherCustomer,
    /// The job can never run under the cap of its customer, and was not accepted.
    ExceedsCap(String),
    /// There is no configuration yet.
    NotConfigured,
    /// The call may have taken effect and should be repeated.
    Unconfirmed,
    /// The call had no effect: too many calls wait for the placer.
    Busy {
        /// Time after which the call should be repeated.
        retry_after_ms: u64,
    },
}

/// Address of an incarnation of a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerTarget {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Incarnation that is called; another one must not carry out the call.
    pub incarnation: Incarnation,
    /// IP address and port of the worker's listener.
    pub address: String,
    /// Generation of the incarnation in the term of the placer; part of the fencing token.
    pub generation: Generation,
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Task to run.
    pub task: TaskKey,
    /// Number of the new run.
    pub run: RunNumber,
    /// Opaque text of the job.
    pub payload: String,
    /// Epoch of the placer that gave the order; part of the fencing token.
    pub fence: Epoch,
    /// End of the worker's lease on its own clock.
    pub lease_until_clock_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Token of the placement policy; `None` for queues without a policy.
    pub permit: Option<String>,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StopOrder {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run to stop.
    pub run: RunNumber,
    /// Epoch of the placer that gave the order; part of the fencing token.
    pub fence: Epoch,
}

/// Renews the lease of a worker, acknowledges ends of runs and requests the worker's lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewOrder {
    /// Epoch of the placer that gave the order; part of the fencing token.
    pub fence: Epoch,
    /// End of the lease on the worker's clock; `None` while that clock is not known.
    pub lease_until_clock_ms: Option<u64>,
    /// Ends up to this number are recorded, so that the worker may discard them.
    pub recorded_ends: u64,
    /// Longest time that the worker may delay its answer while no run ends, in milliseconds.
    pub wait_ms: u64,
}

/// Result of an order, as the worker answered it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The worker carried out the order, now or earlier.
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
    /// Refused for another or an unknown reason.
    Refused,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
}

impl OrderOutcome {
    /// Whether the worker did not carry out this order but may carry out another copy of it.
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

/// Answer of a worker to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Result of the order.
    pub outcome: OrderOutcome,
    /// Reading of the worker's monotonic clock; `None` if the answer contained none.
    pub clock_ms: Option<u64>,
}

/// A run in the list of a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Completed part of the work, in percent; `None` if the worker does not report it.
    pub progress_percent: Option<u8>,
}

/// The end of a run in the list of a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// Number of the end, growing within an incarnation of the worker.
    pub number: u64,
    /// Run that ended.
    pub run: ListedRun,
    /// How the run ended.
    pub outcome: RunOutcome,
}

/// Lists of a worker, in answer to a [`RenewOrder`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Incarnation of the worker that answered.
    pub incarnation: Incarnation,
    /// Reading of the worker's monotonic clock.
    pub clock_ms: u64,
    /// Runs that have not ended.
    pub running: Vec<ListedRun>,
    /// Ends that were not acknowledged, in the order of their numbers.
    pub ends: Vec<ListedEnd>,
    /// Whether `ends` is complete; long lists are returned in parts.
    pub complete: bool,
}

/// Reason why a call has no answer.
#[derive(Clone, Debug, Error, Eq, PartialEq, Serialize, Deserialize)]
pub enum CallFailure {
    /// The call never left this host.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing listens at the address, so the call was not sent and the process there has ended.
    #[error("not sent: the port is closed")]
    PortClosed,
    /// The call was sent; the receiver may carry it out, now or later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Another incarnation of the worker answered.
    #[error("another incarnation answered")]
    OtherIncarnation,
    /// The worker refused the fencing token.
    #[error("the fencing token is old")]
    Fenced,
}

impl CallFailure {
    /// Whether the receiver may carry out the call, now or later.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::NotSent(_) | Self::PortClosed)
    }
}

/// Question to the placement policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyQuestion {
    /// Stage that the workers may have to run.
    pub stage: StageKey,
    /// Workers that the question is about.
    pub workers: Vec<WorkerId>,
    /// Time for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// Answer of the placement policy, with permits for the workers that may run the stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyAnswer {
    /// Workers that may run the stage, each with its token.
    pub granted: Vec<(WorkerId, String)>,
    /// Validity of the tokens, in milliseconds; `None` if the policy does not state it.
    pub validity_ms: Option<u64>,
}

/// Sends a start order and returns the answer, or fails at the deadline.
pub type SendStart = Arc<
    dyn Fn(&WorkerTarget, &StartOrder, Instant) -> Result<OrderAnswer, CallFailure> + Send + Sync,
>;
/// Sends a stop order and returns the answer, or fails at the deadline.
pub type SendStop = Arc<
    dyn Fn(&WorkerTarget, &StopOrder, Instant) -> Result<OrderAnswer, CallFailure> + Send + Sync,
>;
/// Renews the lease of a worker and returns its lists, or fails at the deadline.
pub type SendRenew = Arc<
    dyn Fn(&WorkerTarget, &RenewOrder, Instant) -> Result<WorkerReport, CallFailure> + Send + Sync,
>;
/// Asks the placement policy and returns its answer, or fails at the deadline.
pub type AskPolicy =
    Arc<dyn Fn(&PolicyQuestion, Instant) -> Result<PolicyAnswer, CallFailure> + Send + Sync>;

/// Calls to workers and to the placement policy, provided by the adapter of a platform.
#[derive(Clone)]
pub struct OutsideCalls {
    /// Starts a run on a worker.
    pub start: SendStart,
    /// Stops a run on a worker.
    pub stop: SendStop,
    /// Renews the lease of a worker and reads its lists.
    pub renew: SendRenew,
    /// Asks the placement policy.
    pub ask_policy: AskPolicy,
}

//! Defines the messages between the placer and the hosts that relay its orders to workers.

use serde::{Deserialize, Serialize};

use super::super::calls::{
    CallFailure, OrderAnswer, StartOrder, StopOrder, WorkerReport, WorkerTarget,
};
use super::super::records::RunNumber;
use super::super::spec::TaskKey;
use crate::ids::{Epoch, Generation, HostId, Incarnation, WorkerId};

/// Name of [`Instructions`] in the peer transport.
pub const INSTRUCTIONS_EXTENSION: &str = "workflow-instructions";
/// Name of [`RelayReport`] in the peer transport.
pub const REPORT_EXTENSION: &str = "workflow-relay-report";

/// Grants and orders that the placer sends to a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instructions {
    /// Fencing token of the placer. Instructions of earlier placers have no effect.
    pub epoch: Epoch,
    /// Host of the placer, to which the relay reports.
    pub placer: HostId,
    /// Workers that the relay serves until the grants expire.
    pub grants: Vec<Grant>,
    /// Orders that the relay delivers to workers.
    pub orders: Vec<RelayedOrder>,
}

/// Permission to serve a worker, renewed regularly. Without a newer grant, the relay stops serving
/// the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Worker that the relay serves.
    pub target: WorkerTarget,
    /// End of the lease that the relay may renew, on the worker's clock; `None` while that clock is
    /// not known or the lease has to expire.
    pub lease_until_clock_ms: Option<u64>,
    /// Ends up to this number are recorded.
    pub recorded_ends: u64,
    /// Whether they may be acknowledged, so that the worker discards them.
    pub may_acknowledge: bool,
    /// Time of the grant in milliseconds since the start of the placer's term; reports repeat it.
    pub granted_at_ms: u64,
}

/// An order and the worker that receives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// Worker that receives the order.
    pub target: WorkerTarget,
    /// Order for the worker.
    pub order: WorkerOrder,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerOrder {
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(StopOrder),
}

impl WorkerOrder {
    /// Task and run that the order starts or stops.
    pub fn run(&self) -> (&TaskKey, RunNumber) {
        match self {
            Self::Start(order) => (&order.task, order.run),
            Self::Stop(order) => (&order.task, order.run),
        }
    }

    /// Fencing token of the placer that gave the order.
    pub fn fence(&self) -> Epoch {
        match self {
            Self::Start(order) => order.fence,
            Self::Stop(order) => order.fence,
        }
    }

    /// Name of the kind of order in metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop(_) => "stop",
        }
    }
}

/// Events that a relay reports to the placer. A report may be lost or arrive twice: workers list an
/// end until it is acknowledged, and the placer repeats orders without an outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayReport {
    /// Epoch of the placer whose instructions the relay follows.
    pub epoch: Epoch,
    /// Host of the relay.
    pub host: HostId,
    /// Events, in order for each worker.
    pub events: Vec<RelayEvent>,
}

/// Event at one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayEvent {
    /// Worker that the relay called.
    pub worker: WorkerId,
    /// Incarnation that the relay called.
    pub incarnation: Incarnation,
    /// Answer of the worker, or its absence.
    pub kind: RelayEventKind,
}

/// Kind of a [`RelayEvent`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayEventKind {
    /// A start order was answered.
    StartAnswered {
        /// Task of the order.
        task: TaskKey,
        /// Run of the order.
        run: RunNumber,
        /// Answer of the worker.
        answer: OrderAnswer,
        /// Whether an earlier attempt has no answer, so that the worker may carry it out later.
        earlier_attempt_open: bool,
    },
    /// A start order was abandoned without an answer.
    StartUnanswered {
        /// Task of the order.
        task: TaskKey,
        /// Run of the order.
        run: RunNumber,
        /// Whether the worker may carry out the order, now or later.
        may_have_arrived: bool,
    },
    /// A stop order was answered.
    StopAnswered {
        /// Task of the order.
        task: TaskKey,
        /// Run of the order.
        run: RunNumber,
        /// Answer of the worker.
        answer: OrderAnswer,
    },
    /// The worker answered a renewal.
    Listed {
        /// [`Grant::granted_at_ms`] of the newest grant when the renewal was sent.
        granted_at_ms: u64,
        /// Lists of the worker. If the running runs were reported a short time ago, they are left
        /// out and the report is not complete.
        report: WorkerReport,
        /// Generation that was called, if start orders need a higher one: an acknowledgement with its
        /// token has no answer.
        outdated_generation: Option<Generation>,
    },
    /// The worker did not answer a renewal.
    Silent {
        /// Reason why there is no answer.
        failure: CallFailure,
    },
}

//! Messages between the placer and the hosts that relay its orders to workers.

use serde::{Deserialize, Serialize};

use super::super::calls::{
    CallFailure, OrderAnswer, StartOrder, StopOrder, WorkerReport, WorkerTarget,
};
use super::super::records::RunNumber;
use super::super::spec::TaskKey;
use crate::ids::{Epoch, HostId, Incarnation, WorkerId};

/// Name of [`Instructions`] in the peer transport.
pub const INSTRUCTIONS_EXTENSION: &str = "workflow-instructions";
/// Name of [`RelayReport`] in the peer transport.
pub const REPORT_EXTENSION: &str = "workflow-relay-report";

/// What the placer tells a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instructions {
    /// Fencing token of the placer. Instructions of earlier placers have no effect.
    pub epoch: Epoch,
    /// The placer, to which the relay reports.
    pub placer: HostId,
    /// Workers that the relay serves for some time from now.
    pub grants: Vec<Grant>,
    /// Orders to workers.
    pub orders: Vec<RelayedOrder>,
}

/// Permission to serve a worker, renewed regularly. Without a newer one the relay stops.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Worker.
    pub target: WorkerTarget,
    /// End of the lease that the relay may renew, on the worker's clock; `None` while that clock is
    /// not known or the lease is to lapse.
    pub lease_until_clock_ms: Option<u64>,
    /// Ends up to this number are recorded and may be forgotten by the worker.
    pub recorded_ends: u64,
    /// Milliseconds of the placer's term at which the grant was made; reports repeat it.
    pub granted_at_ms: u64,
}

/// An order with its addressee.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// Worker.
    pub target: WorkerTarget,
    /// What it has to do.
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
    /// Task and run that the order is about.
    pub fn run(&self) -> (&TaskKey, RunNumber) {
        match self {
            Self::Start(order) => (&order.task, order.run),
            Self::Stop(order) => (&order.task, order.run),
        }
    }

    /// Fencing token of the placer that gave it.
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

/// What a relay tells the placer. A report may be lost or arrive twice: workers list an end until
/// it is acknowledged, and the placer repeats orders without an outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayReport {
    /// Placer whose instructions the relay follows.
    pub epoch: Epoch,
    /// The relay.
    pub host: HostId,
    /// What happened, in order for each worker.
    pub events: Vec<RelayEvent>,
}

/// Something that a relay has learned about a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayEvent {
    /// Worker.
    pub worker: WorkerId,
    /// Incarnation that was called.
    pub incarnation: Incarnation,
    /// What happened.
    pub kind: RelayEventKind,
}

/// Kind of a [`RelayEvent`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayEventKind {
    /// A start order was answered.
    StartAnswered {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Answer.
        answer: OrderAnswer,
    },
    /// A start order was given up without an answer.
    StartUnanswered {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Whether the worker may carry it out, now or later.
        may_have_arrived: bool,
    },
    /// A stop order was answered.
    StopAnswered {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Answer.
        answer: OrderAnswer,
    },
    /// The worker answered a renewal.
    Listed {
        /// [`Grant::granted_at_ms`] of the newest grant when the renewal was sent.
        granted_at_ms: u64,
        /// Its lists. Running ones are left out, and the report is not complete, while they were
        /// sent a short time ago.
        report: WorkerReport,
    },
    /// The worker did not answer a renewal.
    Silent {
        /// Why.
        failure: CallFailure,
    },
}

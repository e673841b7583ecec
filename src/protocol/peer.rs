//! Messages between entry hosts, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::caller::{Answer, Urgency};
use super::job::{JobCall, JobView};
use super::worker::{Announcement, AnnouncementReply};
use crate::ids::{CallerId, DataCentreName, MemberId, RequestKey, ServiceName};
use crate::verdict::RequestError;

/// A request forwarded to the placer of its home data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedSubmission {
    /// Data centre whose placer decides.
    pub data_centre: DataCentreName,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Member to which the request is charged.
    pub member: MemberId,
    /// Caller within the member; empty if the caller sent none.
    pub caller: CallerId,
    /// Service whose runners execute the request.
    pub service: ServiceName,
    /// Whether the request may be retried.
    pub idempotent: bool,
    /// Order among the requests of the member.
    pub urgency: Urgency,
    /// Time until the deadline in milliseconds; the receiver computes its own deadline from it.
    pub remaining_ms: u64,
    /// Opaque body for the runner.
    pub payload: Vec<u8>,
}

/// A call from one entry host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Submits a request.
    Submit(ForwardedSubmission),
    /// Cancels a request by key.
    Cancel {
        /// Data centre whose placer decides.
        data_centre: DataCentreName,
        /// Key of the request.
        key: RequestKey,
    },
    /// Returns the outcome of an earlier request.
    Query {
        /// Data centre whose placer decides.
        data_centre: DataCentreName,
        /// Key of the request.
        key: RequestKey,
    },
    /// Submits, queries or cancels a job.
    Job {
        /// Data centre whose placer decides.
        data_centre: DataCentreName,
        /// Call to the placer of jobs.
        call: JobCall,
    },
    /// Forwards a worker's announcement.
    Announce(Announcement),
    /// Carries a message between replicas of a log.
    Replication {
        /// Group name of the log.
        group: String,
        /// Message encoded by the module `replication`.
        message: Vec<u8>,
    },
    /// Carries a message of a module that encodes its own payload.
    Extension {
        /// Name by which the receiver selects the handler.
        name: String,
        /// Message in the encoding of that module.
        message: Vec<u8>,
    },
}

impl PeerRequest {
    /// Value of the label `kind` in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Cancel { .. } => "cancel",
            Self::Query { .. } => "query",
            Self::Job { .. } => "job",
            Self::Announce(_) => "announce",
            Self::Replication { .. } => "replication",
            Self::Extension { .. } => "extension",
        }
    }
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Submit`] or [`PeerRequest::Query`].
    Outcome(Result<Answer, RequestError>),
    /// Reply to [`PeerRequest::Cancel`]: whether the request is certain not to run.
    Cancelled(Result<bool, RequestError>),
    /// Reply to [`PeerRequest::Job`].
    Job(Result<JobView, RequestError>),
    /// Reply to [`PeerRequest::Announce`].
    Announced(Result<AnnouncementReply, RequestError>),
    /// Reply to [`PeerRequest::Replication`] or [`PeerRequest::Extension`].
    Message(Vec<u8>),
    /// The receiver is not the placer of the data centre.
    NotPlacer {
        /// Host that the receiver believes to be the placer; `None` if unknown.
        placer: Option<String>,
    },
    /// The receiver cannot handle the request and did nothing.
    Refused(String),
    /// The receiver accepted the request but produced no reply; the request may have taken effect.
    Unanswered,
}

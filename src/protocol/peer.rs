//! Messages between entry hosts, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::caller::{Answer, Urgency};
use super::job::{JobCall, JobView};
use super::worker::{Announcement, AnnouncementReply};
use crate::ids::{CallerId, DataCentreName, MemberId, RequestKey, ServiceName};
use crate::verdict::RequestError;

/// A request on its way to the placer of its home data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedSubmission {
    /// Data centre whose placer decides.
    pub data_centre: DataCentreName,
    /// Idempotency key.
    pub key: RequestKey,
    /// Member that pays for the request.
    pub member: MemberId,
    /// Caller within the member.
    pub caller: CallerId,
    /// Service whose runners execute it.
    pub service: ServiceName,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Order within the member.
    pub urgency: Urgency,
    /// Remaining time; the receiver makes a deadline of it.
    pub remaining_ms: u64,
    /// Opaque body for the runner.
    pub payload: Vec<u8>,
}

/// A call from one entry host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs a request.
    Submit(ForwardedSubmission),
    /// Cancels a request by key.
    Cancel {
        /// Data centre whose placer decides.
        data_centre: DataCentreName,
        /// Key of the request.
        key: RequestKey,
    },
    /// Asks what became of a request.
    Query {
        /// Data centre whose placer decides.
        data_centre: DataCentreName,
        /// Key of the request.
        key: RequestKey,
    },
    /// A call about a job.
    Job {
        /// Data centre whose placer decides.
        data_centre: DataCentreName,
        /// What the caller wants.
        call: JobCall,
    },
    /// Passes on a worker's announcement.
    Announce(Announcement),
    /// A message of a replicated log.
    Replication {
        /// Name of the log.
        group: String,
        /// Encoded message of `replication`.
        message: Vec<u8>,
    },
    /// A message of a module that encodes its own payload.
    Extension {
        /// Name under which the receiver registered its handler.
        name: String,
        /// Encoded message.
        message: Vec<u8>,
    },
}

impl PeerRequest {
    /// Name of the kind of message in metrics.
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
    /// Outcome of [`PeerRequest::Submit`] and [`PeerRequest::Query`].
    Outcome(Result<Answer, RequestError>),
    /// Outcome of [`PeerRequest::Cancel`]: whether the request is certain not to run.
    Cancelled(Result<bool, RequestError>),
    /// Reply to [`PeerRequest::Job`].
    Job(Result<JobView, RequestError>),
    /// Reply to [`PeerRequest::Announce`].
    Announced(Result<AnnouncementReply, RequestError>),
    /// Reply to [`PeerRequest::Replication`] or [`PeerRequest::Extension`].
    Message(Vec<u8>),
    /// The receiver is not the placer of that data centre.
    NotPlacer {
        /// Host that it believes to be the placer.
        placer: Option<String>,
    },
    /// The receiver cannot handle the request and did nothing.
    Refused(String),
    /// The receiver took the request and ended it without a reply; it may have taken effect.
    Unanswered,
}

//! Sends requests to the placer of their home data centre.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{DataCentreName, HostId};
use crate::peer::{CallError, PeerClient};
use crate::placer::{Outcome, Placer, key};
use crate::protocol::caller::Submission;
use crate::protocol::peer::{ForwardedSubmission, PeerReply, PeerRequest};
use crate::protocol::worker::{Announcement, AnnouncementReply};
use crate::verdict::{ErrorCode, RequestError};

/// Time beyond the request's deadline in which the placer's verdict may still arrive.
const REPLY_GRACE: Duration = Duration::from_millis(500);
/// Time for calls that do not run a request.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Another entry host that may be the placer of a data centre.
#[derive(Clone)]
pub struct RemoteHost {
    /// Identifier.
    pub id: HostId,
    /// Calls to it.
    pub client: PeerClient,
}

/// Routes to placers.
pub struct Router {
    /// Data centre of this host.
    pub data_centre: DataCentreName,
    /// All data centres.
    pub data_centres: Vec<DataCentreName>,
    /// Placer in this process, when it has one.
    pub local: Option<Arc<Placer>>,
    /// Other hosts by data centre.
    pub remote: IndexMap<DataCentreName, Vec<RemoteHost>>,
}

impl Router {
    /// Runs a request at its home data centre.
    ///
    /// # Errors
    ///
    /// [`RequestError`] with the verdict.
    pub fn submit(&self, submission: &Submission) -> Outcome {
        let home = key::home_data_centre(&submission.key, &self.data_centres);
        if let Some(placer) = self.local_placer(&home) {
            return placer.submit(submission);
        }
        let remaining = submission
            .deadline
            .saturating_duration_since(Instant::now());
        let forwarded = ForwardedSubmission {
            data_centre: home.clone(),
            key: submission.key.clone(),
            member: submission.member.clone(),
            caller: submission.caller.clone(),
            service: submission.service.clone(),
            idempotent: submission.idempotent,
            urgency: submission.urgency,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            payload: submission.payload.clone(),
        };
        let deadline = submission.deadline + REPLY_GRACE;
        match self.call_placer(&home, &PeerRequest::Submit(forwarded), deadline)? {
            PeerReply::Outcome(outcome) => outcome,
            other => Err(unexpected(&other)),
        }
    }

    /// Outcome of an earlier request.
    ///
    /// # Errors
    ///
    /// As [`Placer::query`], or `Unavailable`.
    pub fn query(&self, request_key: &str) -> Outcome {
        let home = key::home_data_centre(request_key, &self.data_centres);
        if let Some(placer) = self.local_placer(&home) {
            return placer.query(request_key);
        }
        let request = PeerRequest::Query {
            data_centre: home.clone(),
            key: request_key.to_owned(),
        };
        match self.call_placer(&home, &request, Instant::now() + SHORT_CALL_TIMEOUT)? {
            PeerReply::Outcome(outcome) => outcome,
            other => Err(unexpected(&other)),
        }
    }

    /// Cancels a request; returns whether it is certain not to run.
    ///
    /// # Errors
    ///
    /// `Unavailable` when the home data centre cannot be reached.
    pub fn cancel(&self, request_key: &str) -> Result<bool, RequestError> {
        let home = key::home_data_centre(request_key, &self.data_centres);
        if let Some(placer) = self.local_placer(&home) {
            return Ok(placer.cancel(request_key));
        }
        let request = PeerRequest::Cancel {
            data_centre: home.clone(),
            key: request_key.to_owned(),
        };
        match self.call_placer(&home, &request, Instant::now() + SHORT_CALL_TIMEOUT)? {
            PeerReply::Cancelled(cancelled) => cancelled,
            other => Err(unexpected(&other)),
        }
    }

    /// Hands an announcement to the placer of the worker's data centre.
    ///
    /// # Errors
    ///
    /// `Unavailable` when that placer cannot be reached.
    pub fn announce(&self, announcement: Announcement) -> Result<AnnouncementReply, RequestError> {
        let home = announcement.data_centre.clone();
        if let Some(placer) = self.local_placer(&home) {
            return placer.announce(announcement);
        }
        let deadline = Instant::now() + SHORT_CALL_TIMEOUT;
        match self.call_placer(&home, &PeerRequest::Announce(announcement), deadline)? {
            PeerReply::Announced(reply) => reply,
            other => Err(unexpected(&other)),
        }
    }

    /// The placer of the data centre, when it is in this process and leading.
    pub fn local_placer(&self, data_centre: &str) -> Option<&Arc<Placer>> {
        self.local
            .as_ref()
            .filter(|placer| placer.data_centre() == data_centre && placer.is_leading())
    }

    /// Tries the hosts of a data centre until its placer replies.
    fn call_placer(
        &self,
        data_centre: &str,
        request: &PeerRequest,
        deadline: Instant,
    ) -> Result<PeerReply, RequestError> {
        let hosts = self
            .remote
            .get(data_centre)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let mut reasons = Vec::new();
        for host in hosts {
            match host.client.call(request.clone(), deadline) {
                Ok(PeerReply::NotPlacer { .. }) => {
                    reasons.push(format!("{} is not the placer", host.id));
                }
                Ok(reply) => return Ok(reply),
                Err(error @ CallError::NotSent { .. }) => reasons.push(error.to_string()),
                Err(error) => {
                    return Err(RequestError::may_have_run(
                        ErrorCode::Unavailable,
                        error.to_string(),
                    ));
                }
            }
        }
        let message = format!(
            "no placer of {data_centre} can be reached: {}",
            reasons.join("; ")
        );
        Err(RequestError::did_not_run(ErrorCode::Unavailable, message).retry_after_ms(1_000))
    }
}

fn unexpected(reply: &PeerReply) -> RequestError {
    RequestError::may_have_run(
        ErrorCode::Internal,
        format!("unexpected reply of a peer: {reply:?}"),
    )
}

//! Forwards calls to the placer of their home data centre.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{DataCentreName, HostId};
use crate::peer::{CallError, PeerClient};
use crate::placer::jobs::{JobPlacer, join_replies};
use crate::placer::{Outcome, Placer, is_not_placer, key};
use crate::protocol::caller::Submission;
use crate::protocol::job::{JobCall, JobView};
use crate::protocol::peer::{ForwardedSubmission, PeerReply, PeerRequest};
use crate::protocol::worker::{Announcement, AnnouncementReply};
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Time after the request's deadline for which the entry host still waits for the placer's verdict.
const REPLY_GRACE: Duration = Duration::from_millis(500);
/// Timeout of calls that do not run a request. A cancellation waits for a runner to stop the task.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for one host to reply to a call that does not run a request.
const SHORT_CALL_ATTEMPT: Duration = Duration::from_millis(2_500);
/// Longest search for a placer while no copy of the request was sent; about the time of an
/// election. In a longer outage callers learn early that their request did not run.
const SEARCH_TIME: Duration = Duration::from_secs(3);
/// Pause before the hosts of a data centre are called again.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// Another entry host that may be the placer of a data centre.
#[derive(Clone)]
pub struct RemoteHost {
    /// Identifier of the host in the settings.
    pub id: HostId,
    /// Client for calls to the host.
    pub client: PeerClient,
}

/// Routes calls to the placers of all data centres.
pub struct Router {
    /// Data centre of this host.
    pub data_centre: DataCentreName,
    /// Names of all data centres of the cell.
    pub data_centres: Vec<DataCentreName>,
    /// Placer of requests in this process, if any.
    pub local: Option<Arc<Placer>>,
    /// Placer of jobs in this process, if any.
    pub local_jobs: Option<Arc<JobPlacer>>,
    /// Other entry hosts by data centre.
    pub remote: IndexMap<DataCentreName, Vec<RemoteHost>>,
}

impl Router {
    /// Submits a request to the placer of its home data centre. A call without a reply is retried,
    /// also at other hosts, until the deadline. The placer's record of the key makes retries safe.
    ///
    /// # Errors
    ///
    /// [`RequestError`] whose verdict tells whether the request ran.
    pub fn submit(&self, submission: &Submission) -> Outcome {
        let home = key::home_data_centre(&submission.key, &self.data_centres);
        let mut search = Search::new(submission.deadline);
        loop {
            if let Some(placer) = self.local_placer(&home) {
                match placer.submit(submission) {
                    Err(error) if is_not_placer(&error) => search.record_reason(error.to_string()),
                    outcome => return search.adjust_outcome(outcome),
                }
            }
            if let Some(outcome) = self.submit_round(&home, submission, &mut search) {
                return search.adjust_outcome(outcome);
            }
            if !search.may_continue() {
                return Err(search.into_error(&home));
            }
            thread::sleep(SEARCH_PAUSE);
        }
    }

    /// Sends a request to the hosts of its home data centre, one after the other, until one returns
    /// the outcome.
    fn submit_round(
        &self,
        home: &str,
        submission: &Submission,
        search: &mut Search,
    ) -> Option<Outcome> {
        let mut hosts = self.hosts(home, search);
        while let Some(host) = search.next_host(&mut hosts) {
            let remaining = submission
                .deadline
                .saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            let request = PeerRequest::Submit(forwarded(home, submission, remaining));
            match host.client.call(request, submission.deadline + REPLY_GRACE) {
                Ok(PeerReply::Outcome(Err(error))) if is_not_placer(&error) => {
                    search.record_reason(format!("{} is no longer the placer", host.id));
                }
                Ok(PeerReply::Outcome(outcome)) => return Some(outcome),
                Ok(PeerReply::NotPlacer { placer }) => search.follow_hint(&host.id, placer),
                Ok(other) => return Some(Err(unexpected(&other))),
                Err(error) => search.record_failure(&error),
            }
        }
        None
    }

    /// Returns the outcome of an earlier request.
    ///
    /// # Errors
    ///
    /// As [`Placer::query`], or `Unavailable` when no placer of the data centre can be reached.
    pub fn query(&self, request_key: &str) -> Outcome {
        let home = key::home_data_centre(request_key, &self.data_centres);
        if let Some(placer) = self.local_placer(&home) {
            return placer.query(request_key);
        }
        let request = PeerRequest::Query {
            data_centre: home.clone(),
            key: request_key.to_owned(),
        };
        match self.call_placer(&home, &request)? {
            PeerReply::Outcome(outcome) => outcome,
            other => Err(unexpected(&other)),
        }
    }

    /// Cancels a request. Returns whether the request is certain not to run.
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
        match self.call_placer(&home, &request)? {
            PeerReply::Cancelled(cancelled) => cancelled,
            other => Err(unexpected(&other)),
        }
    }

    /// Forwards an announcement to the placers of the worker's data centre.
    ///
    /// # Errors
    ///
    /// `Unavailable` when no placer of the data centre can be reached.
    pub fn announce(&self, announcement: Announcement) -> Result<AnnouncementReply, RequestError> {
        let home = announcement.data_centre.clone();
        if let Some(placer) = self.local_placer(&home) {
            return announce_to_both(placer, self.local_jobs.as_ref(), announcement);
        }
        match self.call_placer(&home, &PeerRequest::Announce(announcement))? {
            PeerReply::Announced(reply) => reply,
            other => Err(unexpected(&other)),
        }
    }

    /// Sends a call about a job to the placer of the job's home data centre.
    ///
    /// # Errors
    ///
    /// [`RequestError`] whose verdict tells whether the call may have taken effect.
    pub fn job(&self, call: JobCall) -> Result<JobView, RequestError> {
        let id = match &call {
            JobCall::Submit(spec) => &spec.id,
            JobCall::Query(id) | JobCall::Cancel(id) => id,
        };
        let home = key::home_data_centre(id, &self.data_centres);
        let local = self.local_jobs.as_ref();
        if let Some(placer) =
            local.filter(|placer| placer.data_centre() == home && placer.is_leading())
        {
            return placer.handle(call);
        }
        let request = PeerRequest::Job {
            data_centre: home.clone(),
            call,
        };
        let (reply, search) = self.search_placer(&home, &request)?;
        match reply {
            PeerReply::Job(outcome) => outcome.map_err(|error| search.adjust_error(error)),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the placer of the data centre if it runs in this process and leads.
    pub fn local_placer(&self, data_centre: &str) -> Option<&Arc<Placer>> {
        self.local
            .as_ref()
            .filter(|placer| placer.data_centre() == data_centre && placer.is_leading())
    }

    /// Makes an idempotent call to the hosts of a data centre until its placer replies.
    fn call_placer(
        &self,
        data_centre: &str,
        request: &PeerRequest,
    ) -> Result<PeerReply, RequestError> {
        let reply = self.search_placer(data_centre, request);
        reply.map(|(reply, _)| reply)
    }

    /// Like [`Self::call_placer`]; also returns the search, which tells whether an earlier copy of
    /// the call was not answered.
    fn search_placer(
        &self,
        data_centre: &str,
        request: &PeerRequest,
    ) -> Result<(PeerReply, Search), RequestError> {
        let mut search = Search::new(Instant::now() + SHORT_CALL_TIMEOUT);
        loop {
            let mut hosts = self.hosts(data_centre, &mut search);
            while let Some(host) = search.next_host(&mut hosts) {
                let deadline = search.deadline.min(Instant::now() + SHORT_CALL_ATTEMPT);
                match host.client.call(request.clone(), deadline) {
                    Ok(PeerReply::NotPlacer { placer }) => search.follow_hint(&host.id, placer),
                    Ok(reply) => return Ok((reply, search)),
                    Err(error) => search.record_failure(&error),
                }
            }
            if !search.may_continue() {
                return Err(search.into_error(data_centre));
            }
            thread::sleep(SEARCH_PAUSE);
        }
    }

    /// Starts a round of the search and returns the hosts of the data centre. Ends the search if no
    /// host can be the placer.
    fn hosts(&self, data_centre: &str, search: &mut Search) -> Vec<&RemoteHost> {
        let hosts: Vec<&RemoteHost> = self.remote.get(data_centre).into_iter().flatten().collect();
        if hosts.is_empty() && self.data_centre != data_centre {
            search.end_unless_sent();
        }
        search.reasons.clear();
        hosts
    }
}

/// Search for the placer of a data centre on behalf of one call.
struct Search {
    deadline: Instant,
    /// End of the search as long as no copy of the request may have arrived.
    unsent_until: Instant,
    /// Whether a copy of the request may have arrived without being answered.
    unanswered: bool,
    /// Host that another host named as the placer; called next.
    hint: Option<HostId>,
    /// Why the hosts of the current round returned no outcome.
    reasons: Vec<String>,
}

impl Search {
    fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            unsent_until: deadline.min(Instant::now() + SEARCH_TIME),
            unanswered: false,
            hint: None,
            reasons: Vec::new(),
        }
    }

    /// Removes and returns the host to call next: the hinted placer, or else the first host.
    fn next_host<'a>(&mut self, hosts: &mut Vec<&'a RemoteHost>) -> Option<&'a RemoteHost> {
        if hosts.is_empty() {
            return None;
        }
        let hint = self.hint.take();
        let named = hosts
            .iter()
            .position(|host| Some(&host.id) == hint.as_ref());
        Some(hosts.remove(named.unwrap_or(0)))
    }

    fn record_reason(&mut self, reason: String) {
        self.reasons.push(reason);
    }

    fn follow_hint(&mut self, host: &str, placer: Option<HostId>) {
        self.record_reason(format!("{host} is not the placer"));
        self.hint = placer;
    }

    fn record_failure(&mut self, error: &CallError) {
        self.unanswered |= matches!(error, CallError::NoReply { .. });
        self.record_reason(error.to_string());
    }

    fn end_unless_sent(&mut self) {
        self.unsent_until = Instant::now();
    }

    fn may_continue(&self) -> bool {
        let until = if self.unanswered {
            self.deadline
        } else {
            self.unsent_until
        };
        Instant::now() + SEARCH_PAUSE < until
    }

    /// Adjusts the verdict of an outcome as [`Self::adjust_error`] does.
    fn adjust_outcome(&self, outcome: Outcome) -> Outcome {
        outcome.map_err(|error| self.adjust_error(error))
    }

    /// Changes the verdict `did_not_run` to `may_have_run` if a copy of the request was not
    /// answered: that copy may still be processed after a later copy was refused.
    fn adjust_error(&self, error: RequestError) -> RequestError {
        match error.verdict {
            Verdict::DidNotRun if self.unanswered => RequestError {
                verdict: Verdict::MayHaveRun,
                ..error
            },
            _ => error,
        }
    }

    fn into_error(self, data_centre: &str) -> RequestError {
        let reasons = self.reasons.join("; ");
        let message = format!("no placer of {data_centre} can be reached: {reasons}");
        if self.unanswered {
            return RequestError::may_have_run(ErrorCode::Unavailable, message);
        }
        RequestError::did_not_run(ErrorCode::Unavailable, message).retry_after_ms(1_000)
    }
}

/// Passes an announcement to the placers of requests and of jobs in this process, and joins their
/// replies.
pub fn announce_to_both(
    requests: &Arc<Placer>,
    jobs: Option<&Arc<JobPlacer>>,
    announcement: Announcement,
) -> Result<AnnouncementReply, RequestError> {
    let jobs = jobs.map(|jobs| jobs.announce(&announcement)).transpose()?;
    let reply = requests.announce(announcement)?;
    Ok(match jobs {
        Some(jobs) => join_replies(reply, jobs),
        None => reply,
    })
}

fn forwarded(home: &str, submission: &Submission, remaining: Duration) -> ForwardedSubmission {
    ForwardedSubmission {
        data_centre: home.to_owned(),
        key: submission.key.clone(),
        member: submission.member.clone(),
        caller: submission.caller.clone(),
        service: submission.service.clone(),
        idempotent: submission.idempotent,
        urgency: submission.urgency,
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        payload: submission.payload.clone(),
    }
}

fn unexpected(reply: &PeerReply) -> RequestError {
    RequestError::may_have_run(
        ErrorCode::Internal,
        format!("unexpected reply of a peer: {reply:?}"),
    )
}

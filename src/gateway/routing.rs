//! Sends requests to the placer of their home data centre.

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

/// Time beyond the request's deadline in which the placer's verdict may still arrive.
const REPLY_GRACE: Duration = Duration::from_millis(500);
/// Time for calls that do not run a request. A cancellation waits for a runner to stop the task.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for one host to reply to such a call.
const SHORT_CALL_ATTEMPT: Duration = Duration::from_millis(2_500);
/// Longest search for a placer for a request that was not sent yet; about the time of an election.
/// In a longer outage callers learn soon that their request did not run.
const SEARCH_TIME: Duration = Duration::from_secs(3);
/// Pause before the hosts of a data centre are asked again.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

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
    /// Placer of jobs in this process, when it has one.
    pub local_jobs: Option<Arc<JobPlacer>>,
    /// Other hosts by data centre.
    pub remote: IndexMap<DataCentreName, Vec<RemoteHost>>,
}

impl Router {
    /// Runs a request at its home data centre. A call without a reply is repeated, also at other
    /// hosts, until the deadline; the record of the key makes that safe.
    ///
    /// # Errors
    ///
    /// [`RequestError`] with the verdict.
    pub fn submit(&self, submission: &Submission) -> Outcome {
        let home = key::home_data_centre(&submission.key, &self.data_centres);
        let mut search = Search::new(submission.deadline);
        loop {
            if let Some(placer) = self.local_placer(&home) {
                match placer.submit(submission) {
                    Err(error) if is_not_placer(&error) => search.note(error.to_string()),
                    outcome => return search.truthful(outcome),
                }
            }
            if let Some(outcome) = self.submit_round(&home, submission, &mut search) {
                return search.truthful(outcome);
            }
            if !search.may_continue() {
                return Err(search.into_error(&home));
            }
            thread::sleep(SEARCH_PAUSE);
        }
    }

    /// Sends a request to the hosts of its home data centre until one gives the outcome.
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
                    search.note(format!("{} is no longer the placer", host.id));
                }
                Ok(PeerReply::Outcome(outcome)) => return Some(outcome),
                Ok(PeerReply::NotPlacer { placer }) => search.follow_hint(&host.id, placer),
                Ok(other) => return Some(Err(unexpected(&other))),
                Err(error) => search.failed(&error),
            }
        }
        None
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
        match self.call_placer(&home, &request)? {
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
        match self.call_placer(&home, &request)? {
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
            return announce_to_both(placer, self.local_jobs.as_ref(), announcement);
        }
        match self.call_placer(&home, &PeerRequest::Announce(announcement))? {
            PeerReply::Announced(reply) => reply,
            other => Err(unexpected(&other)),
        }
    }

    /// Carries out a call about a job at its home data centre.
    ///
    /// # Errors
    ///
    /// [`RequestError`] with the verdict.
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
            PeerReply::Job(outcome) => outcome.map_err(|error| search.truthful_error(error)),
            other => Err(unexpected(&other)),
        }
    }

    /// The placer of the data centre, when it is in this process and leading.
    pub fn local_placer(&self, data_centre: &str) -> Option<&Arc<Placer>> {
        self.local
            .as_ref()
            .filter(|placer| placer.data_centre() == data_centre && placer.is_leading())
    }

    /// Makes a call that may be repeated; tries the hosts of a data centre until its placer
    /// replies.
    fn call_placer(
        &self,
        data_centre: &str,
        request: &PeerRequest,
    ) -> Result<PeerReply, RequestError> {
        let reply = self.search_placer(data_centre, request);
        reply.map(|(reply, _)| reply)
    }

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
                    Err(error) => search.failed(&error),
                }
            }
            if !search.may_continue() {
                return Err(search.into_error(data_centre));
            }
            thread::sleep(SEARCH_PAUSE);
        }
    }

    /// Hosts of a data centre for one round of the search.
    fn hosts(&self, data_centre: &str, search: &mut Search) -> Vec<&RemoteHost> {
        let hosts: Vec<&RemoteHost> = self.remote.get(data_centre).into_iter().flatten().collect();
        if hosts.is_empty() && self.data_centre != data_centre {
            search.give_up();
        }
        search.reasons.clear();
        hosts
    }
}

/// Search for the placer of a data centre on behalf of one call.
struct Search {
    deadline: Instant,
    /// End of the search while no copy of the request was sent.
    unsent_until: Instant,
    /// Whether a copy of the request may have arrived and was not answered.
    unanswered: bool,
    hint: Option<HostId>,
    /// Why the hosts of the present round gave no outcome.
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

    /// Takes the host that is asked next: the one that another named as the placer, or the first.
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

    fn note(&mut self, reason: String) {
        self.reasons.push(reason);
    }

    fn follow_hint(&mut self, host: &str, placer: Option<HostId>) {
        self.note(format!("{host} is not the placer"));
        self.hint = placer;
    }

    fn failed(&mut self, error: &CallError) {
        self.unanswered |= matches!(error, CallError::NoReply { .. });
        self.note(error.to_string());
    }

    fn give_up(&mut self) {
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

    /// A copy of the request that was not answered may still be processed after a later copy was
    /// refused.
    fn truthful(&self, outcome: Outcome) -> Outcome {
        outcome.map_err(|error| self.truthful_error(error))
    }

    fn truthful_error(&self, error: RequestError) -> RequestError {
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

/// Hands an announcement to the placers of requests and of jobs in this process.
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

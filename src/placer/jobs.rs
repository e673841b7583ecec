//! The life of jobs: accepted, placed, started, watched, ended.
//!
//! Nothing is told to a caller or a worker before its record is committed. All state in memory
//! belongs to one epoch; when the journal fails or the epoch changes it is thrown away and built
//! again from the committed records.

mod calls;
mod leases;
mod live;
mod term;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

pub use calls::{WorkerCall, WorkerCallError, WorkerClient, WorkerReply, WorkerRequest};
use term::Term;

use super::job_records::{JobEnd, JobEntry, JobRecord, JobState};
use super::journal::{CurrentEpoch, JournalError};
use super::key;
use crate::clock::Clock;
use crate::ids::{DataCentreName, Epoch, JobId, MemberId, RegionName};
use crate::protocol::job::{JobCall, JobPhase, JobView};
use crate::protocol::worker::{Announcement, AnnouncementReply};
use crate::scheduling::fair_share::TeamShare;
use crate::scheduling::job::JobSpec;
use crate::scheduling::job_scheduler::{Cancellation, SchedulerSettings};
use crate::verdict::{ErrorCode, RequestError};

/// Decisions of one round, so that a round cannot hold the lock for long.
const MAX_DECISIONS: usize = 1_000;

/// Appends records as one unit; returns once they are committed and applied.
pub type AppendJobRecords = Arc<dyn Fn(Vec<JobRecord>) -> Result<(), JournalError> + Send + Sync>;

/// The placement log as the jobs see it.
#[derive(Clone)]
pub struct JobJournal {
    /// Appends records.
    pub append: AppendJobRecords,
    /// Current epoch, when leading.
    pub epoch: CurrentEpoch,
    /// Committed records, applied in order.
    pub state: Arc<Mutex<JobState>>,
}

impl JobJournal {
    /// A journal of a single host that keeps its records in memory.
    pub fn in_memory(epoch: Epoch) -> Self {
        let state = Arc::new(Mutex::new(JobState::default()));
        let applied = Arc::clone(&state);
        Self {
            append: Arc::new(move |records| {
                let mut state = applied.lock().unwrap();
                records.into_iter().for_each(|record| state.apply(record));
                Ok(())
            }),
            epoch: Arc::new(move || Some(epoch)),
            state,
        }
    }
}

/// Returns the teams with their shares.
pub type TeamSource = Arc<dyn Fn() -> Vec<(MemberId, TeamShare)> + Send + Sync>;

/// Everything that the jobs of a data centre need.
pub struct JobPlacerOptions {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Its region.
    pub region: RegionName,
    /// Lease of the tasks of a worker.
    pub lease: Duration,
    /// Time after the end of a lease until its tasks are certain to have stopped.
    pub clock_margin: Duration,
    /// Time between two announcements of a worker.
    pub announcement_interval: Duration,
    /// Age of its id after which a job without a record is refused: the record of an earlier
    /// submission may have been dropped.
    pub key_retention: Duration,
    /// Starts per second; a new placer would otherwise start everything that waits at once.
    pub max_starts_per_s: u32,
    /// Policies.
    pub scheduler: SchedulerSettings,
    /// Returns the teams with their shares, as operators set them.
    pub teams: TeamSource,
    /// Time source.
    pub clock: Clock,
    /// Replicated records.
    pub journal: JobJournal,
    /// Calls to workers.
    pub client: WorkerClient,
}

/// What a caller sees of its job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// Accepted and not over.
    Active(Box<JobEntry>),
    /// Over.
    Ended(JobEnd),
}

/// Jobs of one data centre.
pub struct JobPlacer {
    options: JobPlacerOptions,
    /// Present while this host leads the placement log and its state is sound.
    term: Mutex<Option<Term>>,
}

impl JobPlacer {
    /// A placer of jobs; it takes over the committed jobs when it leads for the first time.
    pub fn new(options: JobPlacerOptions) -> Self {
        Self {
            options,
            term: Mutex::new(None),
        }
    }

    /// Data centre.
    pub fn data_centre(&self) -> &str {
        &self.options.data_centre
    }

    /// Whether this host is the placer of its data centre now.
    pub fn is_leading(&self) -> bool {
        (self.options.journal.epoch)().is_some()
    }

    /// Carries out a call of a caller.
    ///
    /// # Errors
    ///
    /// As [`Self::submit`] and [`Self::cancel`], and `NotFound` for an unknown job.
    pub fn handle(&self, call: JobCall) -> Result<JobView, RequestError> {
        let id = match call {
            JobCall::Submit(spec) => {
                let id = spec.id.clone();
                // The description of a job that is over is gone, so that it is not compared.
                if !matches!(self.status(&id), Some(JobStatus::Ended(_))) {
                    self.check_age(&id)?;
                    self.submit(*spec)?;
                }
                id
            }
            JobCall::Query(id) => id,
            JobCall::Cancel(id) => {
                self.cancel(&id)?;
                id
            }
        };
        let unknown = || RequestError::did_not_run(ErrorCode::NotFound, format!("no job {id}"));
        self.status(&id)
            .map(|status| view(&id, status))
            .ok_or_else(unknown)
    }

    fn check_age(&self, id: &str) -> Result<(), RequestError> {
        if self.status(id).is_some() {
            return Ok(());
        }
        let issued = key::issued_unix_seconds(id).unwrap_or(0);
        let now = self.options.clock.unix_seconds();
        if issued > now + key::MAX_FUTURE_SECONDS {
            let message = "the id is issued in the future";
            return Err(RequestError::did_not_run(ErrorCode::BadRequest, message));
        }
        if issued + self.options.key_retention.as_secs() < now {
            let message = "the id is too old; its job may have run";
            return Err(RequestError::may_have_run(ErrorCode::KeyExpired, message));
        }
        Ok(())
    }

    /// Accepts a job; returns once it is committed. The same job may be submitted again.
    ///
    /// # Errors
    ///
    /// `did_not_run` when it was refused, `may_have_run` when the commit is not confirmed.
    pub fn submit(&self, spec: JobSpec) -> Result<(), RequestError> {
        let mut guard = self.lock();
        let now = self.options.clock.now();
        let term = self.current(&mut guard)?;
        if let Some(answer) = self.submitted_before(&spec) {
            return answer;
        }
        term.scheduler
            .check(&spec)
            .map_err(|error| error.to_error())?;
        let record = JobRecord::Accepted { spec: spec.clone() };
        if let Err(error) = (self.options.journal.append)(vec![record]) {
            // An unconfirmed record that is committed after all is taken over by the next round.
            return Err(error.to_error());
        }
        let submitted = term.scheduler.submit(spec, now);
        submitted.map_err(|error| error.to_error())
    }

    /// State of a job; `None` when it is not known.
    pub fn status(&self, job: &str) -> Option<JobStatus> {
        let state = self.options.journal.state.lock().unwrap();
        if let Some(entry) = state.jobs.get(job) {
            return Some(JobStatus::Active(Box::new(entry.clone())));
        }
        state.ended.get(job).cloned().map(JobStatus::Ended)
    }

    /// Cancels a job; returns once that is committed. Running tasks are stopped afterwards.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer or the commit failed.
    pub fn cancel(&self, job: &JobId) -> Result<Cancellation, RequestError> {
        let mut guard = self.lock();
        let term = self.current(&mut guard)?;
        let Some(progress) = term.scheduler.progress(job) else {
            return Ok(Cancellation::Unknown);
        };
        let record = if progress.running > 0 {
            JobRecord::CancelRequested { job: job.clone() }
        } else {
            let outcome = JobEnd {
                succeeded: progress.succeeded,
                failed: progress.failed,
                cancelled: true,
                reason: String::new(),
            };
            JobRecord::JobEnded {
                job: job.clone(),
                outcome,
            }
        };
        if let Err(error) = (self.options.journal.append)(vec![record]) {
            *guard = None;
            return Err(error.to_error());
        }
        Ok(term.scheduler.cancel(job))
    }

    /// Takes note of a worker, renews the leases of its tasks and learns which tasks ended.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer.
    pub fn announce(&self, announcement: &Announcement) -> Result<AnnouncementReply, RequestError> {
        let mut guard = self.lock();
        let now = self.options.clock.now();
        let term = self.current(&mut guard)?;
        if announcement.highest_epoch > term.epoch {
            let message = "the worker knows a later placer";
            return Err(RequestError::did_not_run(ErrorCode::Unavailable, message));
        }
        let stop = term.announce(&self.options, announcement, now);
        let epoch = term.epoch;
        self.commit(&mut guard)?;
        let ms = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        // The lease runs from the announcement, also when the commit took long.
        let spent = self.options.clock.now().saturating_duration_since(now);
        Ok(AnnouncementReply {
            epoch,
            lease_ms: ms(self.options.lease.saturating_sub(spent)),
            next_announcement_ms: ms(self.options.announcement_interval),
            stop,
        })
    }

    /// One round: leases, decisions, and the commit of their intents. The caller passes each of
    /// the returned calls to [`Self::perform`]; they may be performed in parallel.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer or the commit failed; then nothing was
    /// decided.
    pub fn tick(&self) -> Result<Vec<WorkerCall>, RequestError> {
        let mut guard = self.lock();
        let now = self.options.clock.now();
        let term = self.current(&mut guard)?;
        term.expire_leases(&self.options, now);
        term.decide(MAX_DECISIONS, now);
        term.repeat_calls(now);
        self.commit(&mut guard)?;
        let Some(term) = guard.as_mut() else {
            return Ok(Vec::new());
        };
        let state = self.options.journal.state.lock().unwrap();
        term.take_over_late(&self.options, &state, now);
        Ok(term.take_calls())
    }

    /// Performs a call and takes note of the reply. Blocks for the time of the exchange, without
    /// holding the lock.
    ///
    /// # Errors
    ///
    /// `Unavailable` when the reply could not be committed.
    pub fn perform(&self, call: &WorkerCall) -> Result<(), RequestError> {
        let reply = (self.options.client.send)(call);
        if let Err(error) = &reply {
            log::debug!(
                "call about task {} to worker {}: {error}",
                call.task,
                call.worker
            );
        }
        let mut guard = self.lock();
        let now = self.options.clock.now();
        let term = self.current(&mut guard)?;
        if term.epoch != call.epoch {
            return Ok(());
        }
        term.replied(call, reply, now);
        self.commit(&mut guard)
    }

    /// Takes over the present teams. Called when operators may have changed them.
    pub fn refresh_teams(&self) {
        if let Some(term) = self.lock().as_mut() {
            term.set_teams(&self.options.teams);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Term>> {
        self.term.lock().unwrap()
    }

    /// State of the current epoch; built from the committed records when it is missing.
    fn current<'a>(&self, term: &'a mut Option<Term>) -> Result<&'a mut Term, RequestError> {
        let Some(epoch) = (self.options.journal.epoch)() else {
            *term = None;
            let message = "this host is not the placer";
            return Err(RequestError::did_not_run(ErrorCode::Unavailable, message));
        };
        if term.as_ref().is_some_and(|term| term.epoch != epoch) {
            *term = None;
        }
        let now = self.options.clock.now();
        Ok(term.get_or_insert_with(|| {
            let state = self.options.journal.state.lock().unwrap();
            Term::recover(&self.options, &state, epoch, now)
        }))
    }

    /// Commits what the term decided; throws the term away when that fails, since its state is
    /// then ahead of the committed records.
    fn commit(&self, term: &mut Option<Term>) -> Result<(), RequestError> {
        let records = term.as_mut().map(Term::take_records).unwrap_or_default();
        if records.is_empty() {
            return Ok(());
        }
        (self.options.journal.append)(records).map_err(|error| {
            *term = None;
            log::warn!("decisions about jobs were not committed: {error}");
            error.to_error()
        })
    }

    /// Answer for a job id that is known already.
    fn submitted_before(&self, spec: &JobSpec) -> Option<Result<(), RequestError>> {
        let state = self.options.journal.state.lock().unwrap();
        let conflict = |message: &str| {
            Some(Err(RequestError::did_not_run(
                ErrorCode::KeyConflict,
                message,
            )))
        };
        match state.jobs.get(&spec.id) {
            Some(entry) if entry.spec == *spec => Some(Ok(())),
            Some(_) => conflict("a different job with this id exists"),
            None if state.ended.contains_key(&spec.id) => conflict("the job is over"),
            None => None,
        }
    }
}

fn view(id: &str, status: JobStatus) -> JobView {
    match status {
        JobStatus::Active(entry) => {
            let succeeded = entry
                .settled
                .values()
                .filter(|succeeded| **succeeded)
                .count();
            JobView {
                id: id.to_owned(),
                phase: match (entry.cancel_requested, entry.running.is_empty()) {
                    (true, _) => JobPhase::Stopping,
                    (false, true) => JobPhase::Waiting,
                    (false, false) => JobPhase::Running,
                },
                tasks: Some(entry.spec.tasks),
                running: entry.running.len(),
                succeeded,
                failed: entry.settled.len() - succeeded,
                reason: String::new(),
            }
        }
        JobStatus::Ended(end) => JobView {
            id: id.to_owned(),
            phase: match end.cancelled {
                true => JobPhase::Cancelled,
                false => JobPhase::Ended,
            },
            tasks: None,
            running: 0,
            succeeded: end.succeeded as usize,
            failed: end.failed as usize,
            reason: end.reason,
        },
    }
}

/// Reply to a worker that both placers of a data centre have answered. The shorter lease counts.
pub fn join_replies(requests: AnnouncementReply, jobs: AnnouncementReply) -> AnnouncementReply {
    AnnouncementReply {
        epoch: requests.epoch.max(jobs.epoch),
        lease_ms: requests.lease_ms.min(jobs.lease_ms),
        next_announcement_ms: requests.next_announcement_ms.min(jobs.next_announcement_ms),
        stop: requests.stop.into_iter().chain(jobs.stop).collect(),
    }
}

//! Placer of jobs: accepts jobs, places and starts their tasks, and records how they end.
//!
//! A decision reaches a caller or a worker only after its record is committed. The state in memory
//! belongs to one epoch. When the journal fails or the epoch changes, that state is discarded and
//! rebuilt from the committed records.

mod calls;
mod leases;
mod live;
mod term;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

pub use calls::{WorkerCall, WorkerCallError, WorkerClient, WorkerReply, WorkerRequest};
use term::Term;
use term::late_starts::SharedLateStarts;

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

/// Maximum number of decisions per round, which bounds the time for which a round holds the lock.
const MAX_DECISIONS: usize = 1_000;

/// Appends records atomically and returns once they are committed and applied.
pub type AppendJobRecords = Arc<dyn Fn(Vec<JobRecord>) -> Result<(), JournalError> + Send + Sync>;

/// Access to the placement log for jobs.
#[derive(Clone)]
pub struct JobJournal {
    /// Appends records and waits until they are applied to `state`.
    pub append: AppendJobRecords,
    /// Returns the current epoch; absent while this host does not lead the log.
    pub epoch: CurrentEpoch,
    /// State built from the committed records in log order.
    pub state: Arc<Mutex<JobState>>,
    /// Wall-clock time in Unix seconds before which records may be missing: the start of a process
    /// that keeps them in memory only, 0 for a replicated log. A submission with an earlier issue time
    /// may have run.
    pub records_since_unix_seconds: u64,
}

impl JobJournal {
    /// Creates a journal of a single host that leads in the given epoch and keeps only the state, in
    /// memory.
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
            records_since_unix_seconds: 0,
        }
    }
}

/// Returns the teams with their shares, as operators set them.
pub type TeamSource = Arc<dyn Fn() -> Vec<(MemberId, TeamShare)> + Send + Sync>;

/// Settings and dependencies of a [`JobPlacer`].
pub struct JobPlacerOptions {
    /// Data centre whose jobs the placer schedules.
    pub data_centre: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Duration of the lease that an announcement gives the tasks of a worker.
    pub lease: Duration,
    /// Time after the end of a lease after which its tasks are certain to have stopped.
    pub clock_margin: Duration,
    /// Time that workers wait between two announcements.
    pub announcement_interval: Duration,
    /// Age of a job id above which a job without a record is refused, since the record of an earlier
    /// submission may have been dropped.
    pub key_retention: Duration,
    /// Maximum number of task starts per second. Without it, a new placer would start all waiting
    /// tasks at once.
    pub max_starts_per_s: u32,
    /// Policies of the job scheduler.
    pub scheduler: SchedulerSettings,
    /// Source of the teams and their shares.
    pub teams: TeamSource,
    /// Source of monotonic and wall-clock time.
    pub clock: Clock,
    /// Placement log and the state built from it.
    pub journal: JobJournal,
    /// Sends calls to workers.
    pub client: WorkerClient,
}

/// State of a job in the committed records.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// The job is accepted and not over.
    Active(Box<JobEntry>),
    /// The job is over.
    Ended(JobEnd),
}

/// Schedules the jobs of one data centre while this host leads its placement log.
pub struct JobPlacer {
    options: JobPlacerOptions,
    /// Present while this host leads the placement log and its state matches the committed records.
    term: Mutex<Option<Term>>,
    late_starts: SharedLateStarts,
}

impl JobPlacer {
    /// Creates a placer without state. The first call while this host leads recovers the committed
    /// jobs.
    pub fn new(options: JobPlacerOptions) -> Self {
        Self {
            options,
            term: Mutex::new(None),
            late_starts: SharedLateStarts::default(),
        }
    }

    /// Data centre whose jobs this placer schedules.
    pub fn data_centre(&self) -> &str {
        &self.options.data_centre
    }

    /// Whether this host currently leads the placement log of the data centre.
    pub fn is_leading(&self) -> bool {
        (self.options.journal.epoch)().is_some()
    }

    /// Executes a call of a caller and returns the state of its job.
    ///
    /// # Errors
    ///
    /// As [`Self::submit`] and [`Self::cancel`], and `NotFound` for an unknown job.
    pub fn handle(&self, call: JobCall) -> Result<JobView, RequestError> {
        let id = match call {
            JobCall::Submit(spec) => {
                let id = spec.id.clone();
                // The description of a job that is over is not kept, so the submission cannot be
                // compared with it.
                if !matches!(self.status(&id), Some(JobStatus::Ended(_))) {
                    self.check_age(&id)?;
                    self.submit(*spec)?;
                }
                id
            }
            JobCall::Query(id) => id,
            JobCall::Cancel(id) => {
                self.check_age(&id)?;
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
        let dropped_before = {
            let state = self.options.journal.state.lock().unwrap();
            // The clock of a caller may have been ahead.
            state.id_floor_unix_seconds.min(now)
        };
        let records_since = self.options.journal.records_since_unix_seconds;
        let floor = records_since.max(dropped_before);
        if issued + self.options.key_retention.as_secs() < now || issued < floor {
            let message = "the id is too old; its job may have run";
            return Err(RequestError::may_have_run(ErrorCode::KeyExpired, message));
        }
        Ok(())
    }

    /// Accepts a job and returns once it is committed. Submitting the same job again has no effect.
    ///
    /// # Errors
    ///
    /// `did_not_run` when the job was refused, `may_have_run` when the commit is not confirmed.
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
            // If an unconfirmed record is committed after all, the next round recovers its job.
            return Err(error.to_error());
        }
        let submitted = term.scheduler.submit(spec, now);
        submitted.map_err(|error| error.to_error())
    }

    /// Returns the state of a job; `None` when there is no record of it.
    pub fn status(&self, job: &str) -> Option<JobStatus> {
        let state = self.options.journal.state.lock().unwrap();
        if let Some(entry) = state.jobs.get(job) {
            return Some(JobStatus::Active(Box::new(entry.clone())));
        }
        state.ended.get(job).cloned().map(JobStatus::Ended)
    }

    /// Cancels a job and returns once the cancellation is committed. Running tasks are stopped
    /// afterwards. A job without a record is over from then on, so that a submission that arrives
    /// later does not run.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer or the commit failed.
    pub fn cancel(&self, job: &JobId) -> Result<Cancellation, RequestError> {
        let mut guard = self.lock();
        let term = self.current(&mut guard)?;
        let progress = term.scheduler.progress(job);
        if progress.is_none() && self.status(job).is_some() {
            return Ok(Cancellation::Unknown);
        }
        let is_unknown = progress.is_none();
        let progress = progress.unwrap_or_default();
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
        if is_unknown {
            log::info!(job = job.as_str(); "job cancelled before it was submitted");
            return Ok(Cancellation::Ended);
        }
        Ok(term.scheduler.cancel(job))
    }

    /// Records the announcement of a worker, renews the lease of its tasks and records which of its
    /// tasks ended.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer, the worker knows a later epoch, starts of tasks
    /// that were given up may still reach it, or the commit failed.
    pub fn announce(&self, announcement: &Announcement) -> Result<AnnouncementReply, RequestError> {
        let mut guard = self.lock();
        let now = self.options.clock.now();
        let term = self.current(&mut guard)?;
        if announcement.highest_epoch > term.epoch {
            let message = "the worker knows a later placer";
            return Err(RequestError::did_not_run(ErrorCode::Unavailable, message));
        }
        if term.cancel_late_starts(announcement) {
            let message = "starts that the worker may still receive are being cancelled";
            return Err(RequestError::did_not_run(ErrorCode::Unavailable, message));
        }
        let stop = term.announce(&self.options, announcement, now);
        let epoch = term.epoch;
        self.commit(&mut guard)?;
        let ms = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        // The lease starts with the announcement, not with the end of the commit.
        let spent = self.options.clock.now().saturating_duration_since(now);
        Ok(AnnouncementReply {
            epoch,
            lease_ms: ms(self.options.lease.saturating_sub(spent)),
            next_announcement_ms: ms(self.options.announcement_interval),
            stop,
        })
    }

    /// Runs one round: expires leases, decides, and commits the intents of the decisions. The caller
    /// passes each of the returned calls to [`Self::perform`]; they may be performed in parallel.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer or the commit failed. The decisions of the round
    /// are then discarded.
    pub fn tick(&self) -> Result<Vec<WorkerCall>, RequestError> {
        let mut guard = self.lock();
        let now = self.options.clock.now();
        let term = self.current(&mut guard)?;
        term.expire_leases(&self.options, now);
        term.decide(MAX_DECISIONS, now);
        term.prepare_due_calls(now);
        self.commit(&mut guard)?;
        let Some(term) = guard.as_mut() else {
            return Ok(Vec::new());
        };
        let state = self.options.journal.state.lock().unwrap();
        term.recover_late_jobs(&self.options, &state, now);
        Ok(term.take_calls())
    }

    /// Performs a call and records the reply. Blocks for the time of the exchange without holding the
    /// lock.
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
        term.handle_reply(call, reply, now);
        self.commit(&mut guard)
    }

    /// Reads the teams from their source. Must be called after operators may have changed them.
    pub fn refresh_teams(&self) {
        if let Some(term) = self.lock().as_mut() {
            term.set_teams(&self.options.teams);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Term>> {
        self.term.lock().unwrap()
    }

    /// Returns the state of the current epoch, rebuilt from the committed records when it is missing.
    fn current<'a>(&self, term: &'a mut Option<Term>) -> Result<&'a mut Term, RequestError> {
        let Some(epoch) = (self.options.journal.epoch)() else {
            *term = None;
            let message = "this host is not the placer";
            return Err(RequestError::did_not_run(ErrorCode::Unavailable, message));
        };
        if term.as_ref().is_some_and(|term| term.epoch != epoch) {
            *term = None;
        }
        if term.is_none() {
            self.await_earlier_records(epoch)?;
        }
        let now = self.options.clock.now();
        Ok(term.get_or_insert_with(|| {
            let state = self.options.journal.state.lock().unwrap();
            Term::recover(&self.options, &state, &self.late_starts, epoch, now)
        }))
    }

    /// Returns once all records that were appended before are applied or will never be, by appending
    /// an empty batch. Records that the journal did not confirm may be committed until then, also in
    /// the epoch in which they were appended.
    fn await_earlier_records(&self, epoch: Epoch) -> Result<(), RequestError> {
        let unavailable =
            |message: String| RequestError::did_not_run(ErrorCode::Unavailable, message);
        (self.options.journal.append)(Vec::new())
            .map_err(|error| unavailable(error.to_string()))?;
        if (self.options.journal.epoch)() != Some(epoch) {
            return Err(unavailable("the placer has changed".to_owned()));
        }
        Ok(())
    }

    /// Commits the records of the term. When that fails, the term is discarded, since its state is
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

    /// Returns the result of a submission whose job id has a record; `None` for a new id.
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

/// Merges the replies of the placers of requests and of jobs to one announcement. The shorter lease
/// applies.
pub fn join_replies(requests: AnnouncementReply, jobs: AnnouncementReply) -> AnnouncementReply {
    AnnouncementReply {
        epoch: requests.epoch.max(jobs.epoch),
        lease_ms: requests.lease_ms.min(jobs.lease_ms),
        next_announcement_ms: requests.next_announcement_ms.min(jobs.next_announcement_ms),
        stop: requests.stop.into_iter().chain(jobs.stop).collect(),
    }
}

//! Job placer with an in-memory journal and in-memory workers, into which failures are injected.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};
use jujubewinch::clock::Clock;
use jujubewinch::ids::{Epoch, Incarnation, TaskId};
use jujubewinch::placer::job_records::{JobRecord, JobState};
use jujubewinch::placer::jobs::{
    JobJournal, JobPlacer, JobPlacerOptions, WorkerCall, WorkerCallError, WorkerClient,
    WorkerReply, WorkerRequest,
};
use jujubewinch::placer::journal::JournalError;
use jujubewinch::protocol::caller::Urgency;
use jujubewinch::protocol::worker::{Announcement, TaskState, WorkerPhase};
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::fair_share::TeamShare;
use jujubewinch::scheduling::job::{JobSpec, LocationPreference};
use jujubewinch::scheduling::job_scheduler::SchedulerSettings;
use jujubewinch::scheduling::overuse::Measure;

/// Lease of the tasks of a worker.
pub const LEASE: Duration = Duration::from_secs(5);
/// Time after the end of a lease until its tasks are certain to have stopped.
const CLOCK_MARGIN: Duration = Duration::from_secs(2);

/// State of the simulated workers, the injected failures and the records of calls.
#[derive(Default)]
pub struct Environment {
    /// States of the tasks on each worker.
    pub workers: IndexMap<String, IndexMap<TaskId, TaskState>>,
    /// Tasks whose records were dropped; late starts of these have no effect.
    pub dropped: IndexSet<TaskId>,
    /// Incarnations of workers that have restarted; that of the others is 1.
    pub restarted: IndexMap<String, Incarnation>,
    /// Number of times that each task was started.
    pub start_counts: IndexMap<TaskId, u32>,
    /// Whether replies are lost after the worker carried out the call.
    pub lose_replies: bool,
    /// Number of starts that were sent without a committed intent.
    pub uncommitted_starts: u32,
    /// Calls that the workers received.
    pub calls: Vec<WorkerCall>,
    /// Error with which the journal refuses records.
    pub journal_error: Option<JournalError>,
    /// Whether records are not confirmed, but committed later.
    pub delays_commits: bool,
    /// Records that are committed later, in the order of the log.
    pub delayed: Vec<JobRecord>,
    /// Time by which each commit advances the clock.
    pub commit_time: Duration,
    /// Shares that operators set for teams.
    pub teams: Vec<(String, TeamShare)>,
}

impl Environment {
    /// Ends the process of a worker with its tasks and begins the next incarnation.
    pub fn restart(&mut self, worker: &str) {
        let incarnation = self.incarnation(worker) + 1;
        self.restarted.insert(worker.into(), incarnation);
        self.workers[worker].clear();
    }

    fn incarnation(&self, worker: &str) -> Incarnation {
        self.restarted.get(worker).copied().unwrap_or(1)
    }
}

/// The current placer with its environment, committed records, epoch and clock.
pub struct Cell {
    pub environment: Arc<Mutex<Environment>>,
    pub state: Arc<Mutex<JobState>>,
    pub epoch: Arc<AtomicU64>,
    pub elapsed_ms: Arc<AtomicU64>,
    pub placer: JobPlacer,
}

/// A job with a declared run time of 10 s; four of its tasks fill a worker.
pub fn job(id: &str, kind: &str, tasks: u32, at_most_once: bool) -> JobSpec {
    JobSpec {
        id: id.into(),
        kind: kind.into(),
        member: "tuul".into(),
        caller: "nightly".into(),
        workload: "wheel-rendering".into(),
        tasks,
        resources: resources(4_000, 8_192),
        expected_run_ms: Some(10_000),
        urgency: Urgency::Normal,
        at_most_once,
        preference: LocationPreference::default(),
        payload: b"wheel 12".to_vec(),
    }
}

pub fn resources(cpu_millis: u64, memory_mib: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib,
        accelerators: 0,
    }
}

impl Cell {
    pub fn new(workers: &[&str]) -> Self {
        let environment = Arc::new(Mutex::new(Environment::default()));
        let state = Arc::new(Mutex::new(JobState::default()));
        let (epoch, elapsed_ms) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicU64::new(0)));
        let placer = placer(&environment, &state, &epoch, &elapsed_ms);
        for worker in workers {
            environment
                .lock()
                .unwrap()
                .workers
                .insert((*worker).into(), IndexMap::new());
        }
        let cell = Self {
            environment,
            state,
            epoch,
            elapsed_ms,
            placer,
        };
        cell.announce_all();
        cell.advance(LEASE);
        cell.announce_all();
        cell
    }

    /// Makes another host the placer, with the committed records only.
    pub fn change_placer(&mut self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.placer = placer(
            &self.environment,
            &self.state,
            &self.epoch,
            &self.elapsed_ms,
        );
    }

    pub fn announce(&self, worker: &str) {
        self.placer.announce(&self.announcement(worker)).unwrap();
    }

    pub fn announcement(&self, worker: &str) -> Announcement {
        let environment = self.environment.lock().unwrap();
        let incarnation = environment.incarnation(worker);
        let tasks = environment.workers[worker].clone();
        Announcement {
            worker: worker.into(),
            incarnation,
            data_centre: "erdenet".into(),
            rack: "rack-1".into(),
            address: "127.0.0.1:17900".into(),
            resources: resources(16_000, 32_768),
            runner: None,
            phase: WorkerPhase::Up,
            tasks,
            usage: IndexMap::new(),
            highest_epoch: 0,
        }
    }

    pub fn announce_all(&self) {
        let workers: Vec<String> = self
            .environment
            .lock()
            .unwrap()
            .workers
            .keys()
            .cloned()
            .collect();
        for worker in workers {
            self.announce(&worker);
        }
    }

    pub fn advance(&self, by: Duration) {
        self.elapsed_ms
            .fetch_add(by.as_millis() as u64, Ordering::SeqCst);
    }

    /// Every half second, announces the given workers and performs the calls of one placer tick.
    pub fn run(&self, seconds: u64, announcing: &[&str]) {
        for _ in 0..seconds * 2 {
            self.advance(Duration::from_millis(500));
            for worker in announcing {
                self.announce(worker);
            }
            for call in self.placer.tick().unwrap() {
                self.placer.perform(&call).unwrap();
            }
        }
    }

    /// From now on, records are not confirmed and wait for [`Self::commit_delayed`].
    pub fn delay_commits(&self) {
        self.environment.lock().unwrap().delays_commits = true;
    }

    /// Commits the records that wait; later ones are confirmed again.
    pub fn commit_delayed(&self) {
        let mut environment = self.environment.lock().unwrap();
        environment.delays_commits = false;
        let mut state = self.state.lock().unwrap();
        for record in std::mem::take(&mut environment.delayed) {
            state.apply(record);
        }
    }

    /// Number of starts of each task of the jobs whose id begins with `job`.
    pub fn start_counts(&self, job: &str) -> Vec<(TaskId, u32)> {
        let environment = self.environment.lock().unwrap();
        let counts = environment
            .start_counts
            .iter()
            .filter(|(task, _)| task.starts_with(job));
        counts.map(|(task, count)| (task.clone(), *count)).collect()
    }

    /// Ends all running tasks with the given state.
    pub fn finish_all(&self, state: TaskState) {
        for tasks in self.environment.lock().unwrap().workers.values_mut() {
            for running in tasks
                .values_mut()
                .filter(|state| **state == TaskState::Running)
            {
                *running = state;
            }
        }
    }
}

fn placer(
    environment: &Arc<Mutex<Environment>>,
    state: &Arc<Mutex<JobState>>,
    epoch: &Arc<AtomicU64>,
    elapsed_ms: &Arc<AtomicU64>,
) -> JobPlacer {
    let own_epoch = epoch.load(Ordering::SeqCst);
    let (base, elapsed) = (Instant::now(), Arc::clone(elapsed_ms));
    let now = move || base + Duration::from_millis(elapsed.load(Ordering::SeqCst));
    let wall_elapsed = Arc::clone(elapsed_ms);
    let wall =
        move || SystemTime::UNIX_EPOCH + Duration::from_millis(wall_elapsed.load(Ordering::SeqCst));
    let (journal_state, journal_environment) = (Arc::clone(state), Arc::clone(environment));
    let journal_clock = Arc::clone(elapsed_ms);
    let team_environment = Arc::clone(environment);
    let (current_epoch, client_environment, client_state) = (
        Arc::clone(epoch),
        Arc::clone(environment),
        Arc::clone(state),
    );
    JobPlacer::new(JobPlacerOptions {
        data_centre: "erdenet".into(),
        region: "orkhon".into(),
        lease: LEASE,
        clock_margin: CLOCK_MARGIN,
        announcement_interval: Duration::from_secs(1),
        key_retention: Duration::from_secs(600),
        max_starts_per_s: 50,
        scheduler: SchedulerSettings::default(),
        teams: Arc::new(move || team_environment.lock().unwrap().teams.clone()),
        clock: Clock::new(now, wall),
        journal: JobJournal {
            append: Arc::new(move |records| {
                if let Some(error) = journal_environment.lock().unwrap().journal_error.clone() {
                    return Err(error);
                }
                {
                    let mut environment = journal_environment.lock().unwrap();
                    if environment.delays_commits {
                        environment.delayed.extend(records);
                        return Err(JournalError::Unconfirmed("no quorum".into()));
                    }
                }
                let commit_ms = journal_environment.lock().unwrap().commit_time.as_millis() as u64;
                journal_clock.fetch_add(commit_ms, Ordering::SeqCst);
                let mut state = journal_state.lock().unwrap();
                records.into_iter().for_each(|record| state.apply(record));
                Ok(())
            }),
            epoch: Arc::new(move || {
                (current_epoch.load(Ordering::SeqCst) == own_epoch).then_some(own_epoch as Epoch)
            }),
            state: Arc::clone(state),
            records_since_unix_seconds: 0,
        },
        client: WorkerClient {
            send: Arc::new(move |call| {
                let intent_committed = client_state
                    .lock()
                    .unwrap()
                    .jobs
                    .get(&call.job)
                    .is_some_and(|entry| entry.running.contains_key(&call.task));
                handle_call(
                    &mut client_environment.lock().unwrap(),
                    call,
                    intent_committed,
                )
            }),
        },
    })
}

/// Handles a call as a worker does, see section 7.2 of the design.
fn handle_call(
    environment: &mut Environment,
    call: &WorkerCall,
    intent_committed: bool,
) -> Result<WorkerReply, WorkerCallError> {
    environment.calls.push(call.clone());
    if call.incarnation != environment.incarnation(&call.worker) {
        return match call.request {
            WorkerRequest::Start { .. } => Ok(WorkerReply::State(TaskState::NeverStarted)),
            _ => Err(WorkerCallError::NoAnswer("another incarnation".into())),
        };
    }
    let tasks = environment
        .workers
        .get_mut(&call.worker)
        .expect("the worker exists");
    let known = tasks.get(&call.task).copied();
    if call.request == WorkerRequest::Query {
        let state = WorkerReply::State(known.unwrap_or(TaskState::Unknown));
        let lost = WorkerCallError::NoAnswer("connection closed".into());
        return if environment.lose_replies {
            Err(lost)
        } else {
            Ok(state)
        };
    }
    let state = match (&call.request, known) {
        (WorkerRequest::Start { .. }, None) if !environment.dropped.contains(&call.task) => {
            environment.uncommitted_starts += u32::from(!intent_committed);
            *environment
                .start_counts
                .entry(call.task.clone())
                .or_default() += 1;
            TaskState::Running
        }
        (WorkerRequest::Apply(Measure::Stop) | WorkerRequest::Cancel, Some(TaskState::Running)) => {
            TaskState::Stopped
        }
        (_, None) => TaskState::NeverStarted,
        (_, Some(state)) => state,
    };
    if call.request == WorkerRequest::RemoveRecord {
        tasks.swap_remove(&call.task);
        environment.dropped.insert(call.task.clone());
    } else if !environment.dropped.contains(&call.task) {
        tasks.insert(call.task.clone(), state);
    }
    if environment.lose_replies {
        return Err(WorkerCallError::NoAnswer("connection closed".into()));
    }
    Ok(WorkerReply::State(state))
}

//! A placer of jobs over a journal and workers in memory that can be made to fail.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use jujubewinch::clock::Clock;
use jujubewinch::ids::{Epoch, TaskId};
use jujubewinch::placer::job_records::JobState;
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

pub const LEASE: Duration = Duration::from_secs(5);
const MARGIN: Duration = Duration::from_secs(2);

#[derive(Default)]
pub struct World {
    /// Tasks on each worker.
    pub workers: IndexMap<String, IndexMap<TaskId, TaskState>>,
    /// How often each task began to run.
    pub begun: IndexMap<TaskId, u32>,
    /// Answers that are lost after the worker acted.
    pub lose_answers: bool,
    /// Starts sent without a committed intent.
    pub uncommitted_starts: u32,
    pub calls: Vec<WorkerCall>,
    pub fail: Option<JournalError>,
    pub commit_takes: Duration,
    /// Shares of the teams.
    pub teams: Vec<(String, TeamShare)>,
}

pub struct Cell {
    pub world: Arc<Mutex<World>>,
    pub state: Arc<Mutex<JobState>>,
    pub epoch: Arc<AtomicU64>,
    pub elapsed_ms: Arc<AtomicU64>,
    pub placer: JobPlacer,
}

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
        let world = Arc::new(Mutex::new(World::default()));
        let state = Arc::new(Mutex::new(JobState::default()));
        let (epoch, elapsed_ms) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicU64::new(0)));
        let placer = placer(&world, &state, &epoch, &elapsed_ms);
        for worker in workers {
            world
                .lock()
                .unwrap()
                .workers
                .insert((*worker).into(), IndexMap::new());
        }
        let cell = Self {
            world,
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

    /// Another host becomes the placer with the committed records.
    pub fn change_placer(&mut self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.placer = placer(&self.world, &self.state, &self.epoch, &self.elapsed_ms);
    }

    pub fn announce(&self, worker: &str) {
        self.placer.announce(&self.announcement(worker)).unwrap();
    }

    pub fn announcement(&self, worker: &str) -> Announcement {
        Announcement {
            worker: worker.into(),
            incarnation: 1,
            data_centre: "erdenet".into(),
            rack: "rack-1".into(),
            address: "127.0.0.1:17900".into(),
            resources: resources(16_000, 32_768),
            runner: None,
            phase: WorkerPhase::Up,
            tasks: self.world.lock().unwrap().workers[worker].clone(),
            usage: IndexMap::new(),
            highest_epoch: 0,
        }
    }

    pub fn announce_all(&self) {
        let workers: Vec<String> = self.world.lock().unwrap().workers.keys().cloned().collect();
        for worker in workers {
            self.announce(&worker);
        }
    }

    pub fn advance(&self, by: Duration) {
        self.elapsed_ms
            .fetch_add(by.as_millis() as u64, Ordering::SeqCst);
    }

    /// Announcements of these workers and rounds of the placer, each half a second.
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

    pub fn begun(&self, job: &str) -> Vec<(TaskId, u32)> {
        let world = self.world.lock().unwrap();
        let begun = world.begun.iter().filter(|(task, _)| task.starts_with(job));
        begun.map(|(task, count)| (task.clone(), *count)).collect()
    }

    pub fn finish_all(&self, state: TaskState) {
        for tasks in self.world.lock().unwrap().workers.values_mut() {
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
    world: &Arc<Mutex<World>>,
    state: &Arc<Mutex<JobState>>,
    epoch: &Arc<AtomicU64>,
    elapsed_ms: &Arc<AtomicU64>,
) -> JobPlacer {
    let own_epoch = epoch.load(Ordering::SeqCst);
    let (base, elapsed) = (Instant::now(), Arc::clone(elapsed_ms));
    let now = move || base + Duration::from_millis(elapsed.load(Ordering::SeqCst));
    let (applied, failing) = (Arc::clone(state), Arc::clone(world));
    let clock = Arc::clone(elapsed_ms);
    let teams = Arc::clone(world);
    let (current, sent, committed) = (Arc::clone(epoch), Arc::clone(world), Arc::clone(state));
    JobPlacer::new(JobPlacerOptions {
        data_centre: "erdenet".into(),
        region: "orkhon".into(),
        lease: LEASE,
        clock_margin: MARGIN,
        announcement_interval: Duration::from_secs(1),
        key_retention: Duration::from_secs(600),
        max_starts_per_s: 50,
        scheduler: SchedulerSettings::default(),
        teams: Arc::new(move || teams.lock().unwrap().teams.clone()),
        clock: Clock::new(now, || SystemTime::UNIX_EPOCH),
        journal: JobJournal {
            append: Arc::new(move |records| {
                if let Some(error) = failing.lock().unwrap().fail.clone() {
                    return Err(error);
                }
                let takes = failing.lock().unwrap().commit_takes.as_millis() as u64;
                clock.fetch_add(takes, Ordering::SeqCst);
                let mut state = applied.lock().unwrap();
                records.into_iter().for_each(|record| state.apply(record));
                Ok(())
            }),
            epoch: Arc::new(move || {
                (current.load(Ordering::SeqCst) == own_epoch).then_some(own_epoch as Epoch)
            }),
            state: Arc::clone(state),
        },
        client: WorkerClient {
            send: Arc::new(move |call| {
                let intended = committed
                    .lock()
                    .unwrap()
                    .jobs
                    .get(&call.job)
                    .is_some_and(|entry| entry.running.contains_key(&call.task));
                answer(&mut sent.lock().unwrap(), call, intended)
            }),
        },
    })
}

/// What a worker does with a call, following section 7.2 of the design.
fn answer(
    world: &mut World,
    call: &WorkerCall,
    intended: bool,
) -> Result<WorkerReply, WorkerCallError> {
    world.calls.push(call.clone());
    let tasks = world
        .workers
        .get_mut(&call.worker)
        .expect("the worker exists");
    let known = tasks.get(&call.task).copied();
    let state = match (&call.request, known) {
        (WorkerRequest::Start { .. }, None) => {
            world.uncommitted_starts += u32::from(!intended);
            *world.begun.entry(call.task.clone()).or_default() += 1;
            TaskState::Running
        }
        (WorkerRequest::Apply(Measure::Stop) | WorkerRequest::Cancel, Some(TaskState::Running)) => {
            TaskState::Stopped
        }
        (_, None) => TaskState::NeverStarted,
        (_, Some(state)) => state,
    };
    tasks.insert(call.task.clone(), state);
    if call.request == WorkerRequest::Forget {
        tasks.swap_remove(&call.task);
    }
    if world.lose_answers {
        return Err(WorkerCallError::NoAnswer("connection closed".into()));
    }
    Ok(WorkerReply::State(state))
}

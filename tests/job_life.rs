//! The life of jobs against a journal and workers that can be made to fail.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use jujubewinch::clock::Clock;
use jujubewinch::ids::{Epoch, TaskId};
use jujubewinch::placer::job_records::{JobRecord, JobState};
use jujubewinch::placer::jobs::{
    JobJournal, JobPlacer, JobPlacerOptions, JobStatus, WorkerCall, WorkerCallError, WorkerClient,
    WorkerReply, WorkerRequest,
};
use jujubewinch::placer::journal::JournalError;
use jujubewinch::protocol::caller::Urgency;
use jujubewinch::protocol::worker::{Announcement, TaskState, WorkerPhase};
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job::{JobSpec, LocationPreference};
use jujubewinch::scheduling::job_scheduler::{Cancellation, SchedulerSettings};
use jujubewinch::scheduling::overuse::Measure;
use jujubewinch::verdict::{ErrorCode, Verdict};

const LEASE: Duration = Duration::from_secs(5);
const MARGIN: Duration = Duration::from_secs(2);

#[derive(Default)]
struct World {
    /// Tasks on each worker.
    workers: IndexMap<String, IndexMap<TaskId, TaskState>>,
    /// How often each task began to run.
    begun: IndexMap<TaskId, u32>,
    /// Answers that are lost after the worker acted.
    lose_answers: bool,
    /// Starts sent without a committed intent.
    uncommitted_starts: u32,
    calls: Vec<WorkerCall>,
    fail: Option<JournalError>,
}

struct Cell {
    world: Arc<Mutex<World>>,
    state: Arc<Mutex<JobState>>,
    epoch: Arc<AtomicU64>,
    elapsed_ms: Arc<AtomicU64>,
    placer: JobPlacer,
}

fn job(id: &str, kind: &str, tasks: u32, at_most_once: bool) -> JobSpec {
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

fn resources(cpu_millis: u64, memory_mib: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib,
        accelerators: 0,
    }
}

impl Cell {
    fn new(workers: &[&str]) -> Self {
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
    fn change_placer(&mut self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.placer = placer(&self.world, &self.state, &self.epoch, &self.elapsed_ms);
    }

    fn announce(&self, worker: &str) {
        let tasks = self.world.lock().unwrap().workers[worker].clone();
        let announcement = Announcement {
            worker: worker.into(),
            incarnation: 1,
            data_centre: "erdenet".into(),
            rack: "rack-1".into(),
            address: "127.0.0.1:17900".into(),
            resources: resources(16_000, 32_768),
            runner: None,
            phase: WorkerPhase::Up,
            tasks,
            usage: IndexMap::new(),
            highest_epoch: 0,
        };
        self.placer.announce(&announcement).unwrap();
    }

    fn announce_all(&self) {
        let workers: Vec<String> = self.world.lock().unwrap().workers.keys().cloned().collect();
        for worker in workers {
            self.announce(&worker);
        }
    }

    fn advance(&self, by: Duration) {
        self.elapsed_ms
            .fetch_add(by.as_millis() as u64, Ordering::SeqCst);
    }

    /// Announcements of these workers and rounds of the placer, each half a second.
    fn run(&self, seconds: u64, announcing: &[&str]) {
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

    fn begun(&self, job: &str) -> Vec<(TaskId, u32)> {
        let world = self.world.lock().unwrap();
        let begun = world.begun.iter().filter(|(task, _)| task.starts_with(job));
        begun.map(|(task, count)| (task.clone(), *count)).collect()
    }

    fn finish_all(&self, state: TaskState) {
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
    let (current, sent, committed) = (Arc::clone(epoch), Arc::clone(world), Arc::clone(state));
    JobPlacer::new(JobPlacerOptions {
        data_centre: "erdenet".into(),
        region: "orkhon".into(),
        lease: LEASE,
        clock_margin: MARGIN,
        announcement_interval: Duration::from_secs(1),
        max_starts_per_s: 50,
        scheduler: SchedulerSettings::default(),
        teams: Vec::new(),
        clock: Clock::new(now, || SystemTime::UNIX_EPOCH),
        journal: JobJournal {
            append: Arc::new(move |records| {
                if let Some(error) = failing.lock().unwrap().fail.clone() {
                    return Err(error);
                }
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

/// Guards against telling a caller that a job is accepted although no record of it is committed.
#[test]
fn a_job_is_accepted_only_after_the_commit() {
    let cases = [
        (
            JournalError::NotLeader("erdenet-2 leads".into()),
            Verdict::DidNotRun,
        ),
        (
            JournalError::Unconfirmed("no quorum".into()),
            Verdict::MayHaveRun,
        ),
    ];
    for (error, verdict) in cases {
        let cell = Cell::new(&["worker-1"]);
        cell.world.lock().unwrap().fail = Some(error.clone());
        let refused = cell
            .placer
            .submit(job("render", "batch", 1, false))
            .unwrap_err();
        assert_eq!(refused.verdict, verdict, "{error}");
        assert_eq!(cell.placer.status("render"), None, "{error}");
        cell.world.lock().unwrap().fail = None;
        cell.placer
            .submit(job("render", "batch", 1, false))
            .unwrap();
        cell.placer
            .submit(job("render", "batch", 1, false))
            .unwrap();
        let conflict = cell
            .placer
            .submit(job("render", "batch", 2, false))
            .unwrap_err();
        assert_eq!(conflict.code, ErrorCode::KeyConflict);
        cell.run(2, &["worker-1"]);
        assert_eq!(cell.begun("render"), [("render-0-0".into(), 1)], "{error}");
    }
}

/// Guards against a job that is never placed since its record was committed after the error.
#[test]
fn a_record_that_is_committed_late_is_acted_on() {
    let cell = Cell::new(&["worker-1"]);
    let spec = job("render", "batch", 1, false);
    cell.world.lock().unwrap().fail = Some(JournalError::Unconfirmed("no quorum".into()));
    cell.placer.submit(spec.clone()).unwrap_err();
    cell.world.lock().unwrap().fail = None;
    cell.run(1, &["worker-1"]);
    assert_eq!(cell.begun("render"), []);
    cell.state
        .lock()
        .unwrap()
        .apply(JobRecord::Accepted { spec });
    cell.run(2, &["worker-1"]);
    assert_eq!(cell.begun("render"), [("render-0-0".into(), 1)]);
}

/// Guards against starts without a committed intent, and against a second run of a task whose
/// start was carried out but not answered.
#[test]
fn lost_answers_and_failed_commits_start_nothing_twice() {
    let cell = Cell::new(&["worker-1", "worker-2"]);
    cell.placer
        .submit(job("render", "batch", 3, false))
        .unwrap();
    cell.world.lock().unwrap().fail = Some(JournalError::Unconfirmed("no quorum".into()));
    cell.advance(Duration::from_secs(1));
    assert!(cell.placer.tick().is_err());
    assert!(cell.world.lock().unwrap().calls.is_empty());
    cell.world.lock().unwrap().fail = None;
    cell.world.lock().unwrap().lose_answers = true;
    cell.announce_all();
    cell.run(8, &["worker-1", "worker-2"]);
    cell.world.lock().unwrap().lose_answers = false;
    cell.run(3, &["worker-1", "worker-2"]);
    let begun = cell.begun("render");
    assert_eq!(begun.len(), 3);
    assert!(begun.iter().all(|(_, count)| *count == 1), "{begun:?}");
    assert_eq!(cell.world.lock().unwrap().uncommitted_starts, 0);
    cell.finish_all(TaskState::Succeeded);
    cell.run(2, &["worker-1", "worker-2"]);
    let Some(JobStatus::Ended(end)) = cell.placer.status("render") else {
        panic!("the job has not ended");
    };
    assert_eq!((end.succeeded, end.failed), (3, 0));
}

/// Guards against a restart while the former attempt may still run, and against any restart of a
/// job that must run at most once.
#[test]
fn a_lost_worker_leads_to_a_restart_only_after_lease_and_margin() {
    for at_most_once in [false, true] {
        let cell = Cell::new(&["worker-1"]);
        cell.placer
            .submit(job("render", "batch", 1, at_most_once))
            .unwrap();
        cell.run(1, &["worker-1"]);
        assert_eq!(cell.begun("render").len(), 1);
        cell.world
            .lock()
            .unwrap()
            .workers
            .insert("worker-2".into(), IndexMap::new());
        cell.run(6, &["worker-2"]);
        assert_eq!(
            cell.begun("render").len(),
            1,
            "restarted before lease and margin"
        );
        cell.run(4, &["worker-2"]);
        let restarted = cell.begun("render").len() == 2;
        assert_eq!(restarted, !at_most_once);
        let ended =
            matches!(cell.placer.status("render"), Some(JobStatus::Ended(end)) if end.failed == 1);
        assert_eq!(ended, at_most_once);
    }
}

/// Guards against a second start of tasks that run while the placer changes, also when the intent
/// was committed but the start never sent, and against a paused former placer.
#[test]
fn a_new_placer_adopts_running_tasks() {
    for at_most_once in [false, true] {
        let mut cell = Cell::new(&["worker-1"]);
        cell.placer
            .submit(job("render", "batch", 2, at_most_once))
            .unwrap();
        cell.run(1, &["worker-1"]);
        cell.placer
            .submit(job("unsent", "batch", 1, at_most_once))
            .unwrap();
        cell.advance(Duration::from_secs(1));
        let late = cell.placer.tick().unwrap();
        assert!(late.iter().any(|call| call.task == "unsent-0-0"));
        cell.change_placer();
        cell.run(10, &["worker-1"]);
        let begun = cell.begun("render");
        assert_eq!(begun, [("render-0-0".into(), 1), ("render-1-0".into(), 1)]);
        // The tombstone proves that the first attempt never ran, so even a job that must run at
        // most once starts; the late call of the former placer meets the tombstone.
        assert_eq!(cell.begun("unsent"), [("unsent-0-1".into(), 1)]);
        let start = late.iter().find(|call| call.task == "unsent-0-0").unwrap();
        assert_eq!(cell.placer.perform(start), Ok(()));
        cell.finish_all(TaskState::Succeeded);
        cell.run(2, &["worker-1"]);
        assert!(
            matches!(cell.placer.status("render"), Some(JobStatus::Ended(end)) if end.succeeded == 2)
        );
        assert!(
            matches!(cell.placer.status("unsent"), Some(JobStatus::Ended(end)) if end.succeeded == 1)
        );
    }
}

/// Guards against a burst of starts when a new placer takes over a long queue.
#[test]
fn recovery_starts_at_a_bounded_rate() {
    let names: Vec<String> = (0..60).map(|number| format!("worker-{number}")).collect();
    let workers: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cell = Cell::new(&workers);
    for number in 0..200 {
        cell.placer
            .submit(job(&format!("render{number}"), "batch", 1, false))
            .unwrap();
    }
    cell.change_placer();
    cell.announce_all();
    for second in 1..4 {
        cell.run(1, &workers);
        assert!(
            cell.begun("render").len() <= 50 * second + 5,
            "too many in second {second}"
        );
    }
    cell.run(30, &workers);
    assert_eq!(cell.begun("render").len(), 200);
}

/// Guards against a cancelled job that goes on, also when the placer changes right after.
#[test]
fn a_cancelled_job_stops() {
    for (kind, change) in [("batch", false), ("service", true), ("gang", true)] {
        let mut cell = Cell::new(&["worker-1"]);
        cell.placer.submit(job("render", kind, 2, false)).unwrap();
        cell.placer.submit(job("waiting", kind, 4, false)).unwrap();
        assert_eq!(
            cell.placer.cancel(&"waiting".into()),
            Ok(Cancellation::Ended)
        );
        cell.run(1, &["worker-1"]);
        assert_eq!(cell.begun("render").len(), 2, "{kind}");
        assert_eq!(
            cell.placer.cancel(&"render".into()),
            Ok(Cancellation::Stopping)
        );
        if change {
            cell.change_placer();
        }
        cell.run(4, &["worker-1"]);
        for id in ["render", "waiting"] {
            let status = cell.placer.status(id);
            assert!(
                matches!(&status, Some(JobStatus::Ended(end)) if end.cancelled),
                "{kind}: {status:?}"
            );
        }
        assert_eq!(cell.begun("waiting"), [], "{kind}");
    }
}

/// Guards against a job that waits for ever since no worker can hold it, and against calling it
/// impossible while a new placer does not know the workers yet.
#[test]
fn impossible_jobs_are_refused_at_once() {
    let mut cell = Cell::new(&["worker-1"]);
    cell.placer.tick().unwrap();
    let mut huge = job("huge", "batch", 1, false);
    huge.resources.memory_mib = 65_536;
    let refused = cell.placer.submit(huge.clone()).unwrap_err();
    assert_eq!(
        (refused.code, refused.verdict),
        (ErrorCode::Infeasible, Verdict::DidNotRun)
    );
    assert!(
        refused.message.contains("65536 memory_mib"),
        "{}",
        refused.message
    );
    assert!(refused.message.contains("worker-1"), "{}", refused.message);
    cell.change_placer();
    let unknown = cell.placer.submit(huge).unwrap_err();
    assert_eq!(
        (unknown.code, unknown.verdict),
        (ErrorCode::Unavailable, Verdict::DidNotRun)
    );
}

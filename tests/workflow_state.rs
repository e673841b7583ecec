//! Tests the workflow state that results from the records of the log.

use jujubewinch::ids::JobId;
use jujubewinch::workflow::queues::{Queue, QueueAddress, QueueConfiguration, Service};
use jujubewinch::workflow::records::{Batch, CrashSuspect, Placement, Record, RunOutcome};
use jujubewinch::workflow::spec::{Repetition, StageKey, StageSpec, TaskKey, WorkflowSpec};
use jujubewinch::workflow::state::{JobPhase, WorkflowState};
use proptest::prelude::*;

const JOB: &str = "00c0ffee00c0ffee";

fn queue(max_attempts: u32) -> Queue {
    Queue {
        name: "plans".to_owned(),
        address: QueueAddress {
            host: "shop.example".to_owned(),
            path_prefix: "/plans/".to_owned(),
        },
        service: "shopdesk".to_owned(),
        priority: 1,
        max_attempts,
        slack_factor: 2.0,
        target_latency_ms: 1_000,
        timeout_ms: 3_000,
        placement_policy: None,
    }
}

fn stage(tasks: u32, depends_on: &[u32]) -> StageSpec {
    StageSpec {
        task_count: tasks,
        estimate_ms: 1_000,
        depends_on: depends_on.to_vec(),
        ..StageSpec::default()
    }
}

fn accept(stages: Vec<StageSpec>, repetition: Option<Repetition>) -> Record {
    Record::JobAccepted {
        id: JOB.to_owned(),
        queue: Box::new(queue(2)),
        spec: Box::new(WorkflowSpec {
            payload: String::new(),
            stages,
            repetition,
        }),
        at_unix_ms: 1_000,
    }
}

fn key(occurrence: u32, stage: u32) -> StageKey {
    StageKey {
        job: JOB.to_owned(),
        occurrence,
        stage,
    }
}

fn placed(stage: StageKey, tasks: &[u32], run: u32) -> Record {
    let placements = tasks.iter().map(|&task| Placement {
        task,
        run,
        worker: "w-1".to_owned(),
        incarnation: 1,
    });
    Record::RunsPlaced {
        stage,
        placements: placements.collect(),
    }
}

fn ended(stage: StageKey, index: u32, run: u32, outcome: RunOutcome) -> Record {
    Record::RunEnded {
        task: TaskKey { stage, index },
        run,
        outcome,
        checkpoint: String::new(),
        at_unix_ms: 2_000,
    }
}

fn state(records: Vec<Record>) -> WorkflowState {
    let mut state = WorkflowState::default();
    for record in records {
        state.apply_record(record);
    }
    state
}

fn phase(state: &WorkflowState) -> JobPhase {
    state.jobs[JOB].phase
}

/// Guards against a stage that starts before all tasks that it depends on have succeeded.
#[test]
fn a_stage_waits_for_all_tasks_before_it() {
    let mut state = state(vec![
        accept(vec![stage(2, &[]), stage(1, &[0])], None),
        placed(key(0, 0), &[0, 1], 1),
        ended(key(0, 0), 0, 1, RunOutcome::Succeeded),
    ]);
    assert!(!state.jobs[JOB].dependencies_met(&key(0, 1)));
    state.apply_record(ended(key(0, 0), 1, 1, RunOutcome::Succeeded));
    assert!(state.jobs[JOB].dependencies_met(&key(0, 1)));
    assert_eq!(phase(&state), JobPhase::Running);
}

/// Guards against a delayed end of a former run that changes the task's current run.
#[test]
fn ends_of_former_runs_have_no_effect() {
    let state = state(vec![
        accept(vec![stage(1, &[])], None),
        placed(key(0, 0), &[0], 1),
        ended(key(0, 0), 0, 1, RunOutcome::Lost),
        placed(key(0, 0), &[0], 2),
        ended(key(0, 0), 0, 1, RunOutcome::Succeeded),
    ]);
    assert_eq!(phase(&state), JobPhase::Running);
}

/// Guards against lost or stopped runs that count as failed attempts, and against a gang whose
/// members each count the same failure.
#[test]
fn only_failures_count_and_a_gang_fails_once() {
    let mut gang = stage(3, &[]);
    gang.gang = true;
    let mut state = state(vec![
        accept(vec![gang], None),
        placed(key(0, 0), &[0, 1, 2], 1),
        ended(key(0, 0), 0, 1, RunOutcome::Failed),
        ended(key(0, 0), 1, 1, RunOutcome::Failed),
        ended(key(0, 0), 2, 1, RunOutcome::GangBroken),
    ]);
    assert_eq!(phase(&state), JobPhase::Running);
    state.apply_record(placed(key(0, 0), &[0, 1, 2], 2));
    state.apply_record(ended(key(0, 0), 0, 2, RunOutcome::Lost));
    assert_eq!(phase(&state), JobPhase::Running);
    state.apply_record(ended(key(0, 0), 1, 2, RunOutcome::Failed));
    assert_eq!(phase(&state), JobPhase::Failed);
}

/// Guards against a gang that waits for the end of every member although the success of one member
/// completes the gang.
#[test]
fn the_success_of_one_member_completes_its_gang() {
    let mut gang = stage(3, &[]);
    gang.gang = true;
    let state = state(vec![
        accept(vec![gang], None),
        placed(key(0, 0), &[0, 1, 2], 1),
        ended(key(0, 0), 1, 1, RunOutcome::Succeeded),
        ended(key(0, 0), 0, 1, RunOutcome::Succeeded),
    ]);
    assert_eq!(phase(&state), JobPhase::Completed);
}

/// Guards against a repeated job that is completed before its last occurrence.
#[test]
fn a_repeated_job_ends_with_its_last_occurrence() {
    let repetition = Repetition {
        count: 2,
        first_due_unix_ms: 5_000,
        interval_ms: 1_000,
    };
    let mut state = state(vec![
        accept(vec![stage(1, &[])], Some(repetition)),
        placed(key(0, 0), &[0], 1),
        ended(key(0, 0), 0, 1, RunOutcome::Succeeded),
    ]);
    assert_eq!(phase(&state), JobPhase::Running);
    state.apply_record(placed(key(1, 0), &[0], 1));
    state.apply_record(ended(key(1, 0), 0, 1, RunOutcome::Succeeded));
    assert_eq!(phase(&state), JobPhase::Completed);
}

/// Guards against jobs that are not counted as waiting although none of their tasks runs, because
/// the runs that were placed never started.
#[test]
fn a_job_whose_runs_were_all_lost_waits_again() {
    let mut state = state(vec![
        accept(vec![stage(1, &[])], None),
        placed(key(0, 0), &[0], 1),
    ]);
    assert_eq!(state.jobs[JOB].begun_tasks(), 1);
    state.apply_record(ended(key(0, 0), 0, 1, RunOutcome::NeverStarted));
    assert_eq!(state.jobs[JOB].begun_tasks(), 0);
}

/// Guards against lasting tasks whose failures count as attempts or end their job.
#[test]
fn lasting_tasks_are_restarted_however_they_end() {
    let mut lasting = stage(1, &[]);
    lasting.lasting = true;
    let mut records = vec![accept(vec![lasting], None)];
    for run in 1..6 {
        records.push(placed(key(0, 0), &[0], run));
        records.push(ended(key(0, 0), 0, run, RunOutcome::Failed));
    }
    assert_eq!(phase(&state(records)), JobPhase::Running);
}

/// Guards against further runs of a cancelled job, and against the end of a run that reverts the
/// cancellation.
#[test]
fn a_cancelled_job_stays_cancelled() {
    let mut state = state(vec![
        accept(vec![stage(2, &[])], None),
        placed(key(0, 0), &[0], 1),
        Record::JobCancelled {
            id: JOB.to_owned(),
            at_unix_ms: 1_500,
        },
        placed(key(0, 0), &[1], 1),
        ended(key(0, 0), 0, 1, RunOutcome::Succeeded),
    ]);
    assert_eq!(phase(&state), JobPhase::Cancelled);
    let task = TaskKey {
        stage: key(0, 0),
        index: 1,
    };
    assert_eq!(state.task(&task).unwrap().run, 0);
    state.apply_record(Record::JobsForgotten(vec![JobId::from(JOB)]));
    assert!(state.jobs.is_empty());
}

/// Guards against records of a former leader that take effect after another host has become leader.
#[test]
fn batches_of_former_leaders_have_no_effect() {
    let batch = |epoch, records| Batch {
        epoch,
        sequence: 0,
        records,
    };
    let mut state = WorkflowState::default();
    assert!(state.apply(batch(7, vec![Record::TakenOver])));
    assert!(!state.apply(batch(6, vec![accept(vec![stage(1, &[])], None)])));
    assert!(!state.apply(batch(6, vec![Record::TakenOver])));
    assert!(state.jobs.is_empty());
    assert!(state.apply(batch(7, vec![accept(vec![stage(1, &[])], None)])));
    assert_eq!(state.jobs.len(), 1);
}

fn configuration(version: u64) -> QueueConfiguration {
    QueueConfiguration {
        version,
        document: version.to_string().into_bytes(),
        queues: vec![queue(2)],
        services: vec![Service {
            name: "shopdesk".to_owned(),
            workers_check_capacity: false,
        }],
    }
}

/// Guards against an older configuration that replaces a newer one when versions arrive out of
/// order.
#[test]
fn the_highest_version_is_in_force() {
    let mut state = WorkflowState::default();
    for version in [3, 9, 4, 9] {
        let mut next = configuration(version);
        if state.version() == version {
            next.document = b"other content under the same version".to_vec();
        }
        state.apply_record(Record::QueuesReplaced(Box::new(next)));
    }
    assert_eq!(state.version(), 9);
    assert_eq!(state.configuration.unwrap().document, b"9");
}

/// Guards against invalid configurations that take effect.
#[test]
fn invalid_configurations_are_refused() {
    assert!(configuration(1).validate().is_ok());
    let mut unknown = configuration(1);
    unknown.queues[0].service = "other".to_owned();
    let mut duplicate = configuration(1);
    duplicate.queues.push(queue(3));
    let mut zero = configuration(1);
    zero.queues[0].timeout_ms = 0;
    let reasons =
        [unknown, duplicate, zero].map(|invalid| invalid.validate().unwrap_err().to_string());
    insta::assert_debug_snapshot!(reasons, @r#"
    [
        "queue plans names the unknown service other",
        "two queues are at shop.example/plans/",
        "the timeout of queue plans is zero",
    ]
    "#);
}

/// Guards against a path that is served by a queue although another queue has a longer matching
/// prefix.
#[test]
fn the_longest_prefix_selects_the_queue() {
    let mut both = configuration(1);
    let mut longer = queue(2);
    longer.name = "urgent".to_owned();
    longer.address.path_prefix = "/plans/urgent/".to_owned();
    both.queues.push(longer);
    let found = |path| {
        both.find("shop.example", path)
            .map(|(queue, rest)| (queue.name.clone(), rest))
    };
    assert_eq!(found("/plans/urgent/x"), Some(("urgent".to_owned(), "x")));
    assert_eq!(found("/plans/x"), Some(("plans".to_owned(), "x")));
    assert_eq!(found("/other/x"), None);
    assert!(both.find("other.example", "/plans/x").is_none());
}

/// Guards against malformed workflows that would remain queued forever.
#[test]
fn malformed_workflows_are_refused() {
    let spec = |stages| WorkflowSpec {
        payload: String::new(),
        stages,
        repetition: None,
    };
    assert!(spec(vec![]).validate().is_err());
    assert!(spec(vec![stage(0, &[])]).validate().is_err());
    assert!(spec(vec![stage(1, &[0])]).validate().is_err());
    assert!(spec(vec![stage(30_000, &[])]).validate().is_err());
    assert!(spec(vec![stage(1, &[]), stage(2, &[0])]).validate().is_ok());
}

/// Guards against task names that are parsed as the name of another task.
#[test]
fn parsing_a_task_name_returns_the_task() {
    let task = TaskKey {
        stage: key(3, 1),
        index: 17,
    };
    assert_eq!(task.to_string(), "00c0ffee00c0ffee.3.1.17");
    assert_eq!(TaskKey::parse(&task.to_string()), Some(task));
    assert_eq!(TaskKey::parse("00c0ffee.1.2"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..ProptestConfig::default() })]

    /// Guards against a job that is completed although a task has not succeeded, and against
    /// replicas whose state differs after they restore a snapshot.
    #[test]
    fn all_stages_of_completed_jobs_are_complete(
        events in prop::collection::vec((0_u32..3, 0_u32..4, 1_u32..4, 0_usize..4), 0..80),
    ) {
        let outcomes = [
            RunOutcome::Succeeded, RunOutcome::Failed, RunOutcome::Lost, RunOutcome::Stopped,
        ];
        let mut state = state(vec![accept(vec![stage(2, &[]), stage(2, &[0])], None)]);
        for (position, (stage, task, run, outcome)) in events.into_iter().enumerate() {
            if position % 2 == 0 {
                state.apply_record(placed(key(0, stage), &[task], run));
            } else {
                state.apply_record(ended(key(0, stage), task, run, outcomes[outcome]));
            }
        }
        let job = &state.jobs[JOB];
        if job.phase == JobPhase::Completed {
            prop_assert!((0..2).all(|index| job.stage(&key(0, index)).unwrap().is_complete()));
        }
        let snapshot = postcard::to_stdvec(&state).unwrap();
        prop_assert_eq!(postcard::from_bytes::<WorkflowState>(&snapshot).unwrap(), state);
    }
}

fn crashed(worker: &str, index: u32, run: u32, blamed: bool) -> Record {
    Record::WorkerCrashed {
        worker: worker.to_owned(),
        incarnation: 1,
        at_unix_ms: 2_000,
        suspects: vec![CrashSuspect {
            task: TaskKey {
                stage: key(0, 0),
                index,
            },
            run,
            blamed,
            run_ms: 40,
        }],
    }
}

/// Guards against a crash that counts twice because two placers recorded it, and against suspects
/// of ended jobs that are kept for ever.
#[test]
fn a_crash_counts_once_and_is_forgotten_with_its_job() {
    let task = TaskKey {
        stage: key(0, 0),
        index: 1,
    };
    let mut state = state(vec![
        accept(vec![stage(2, &[])], None),
        crashed("w-1", 1, 1, false),
        crashed("w-1", 1, 1, true),
        crashed("w-2", 1, 2, true),
    ]);
    assert_eq!(state.crashes.history(&task).len(), 2);
    state.apply_record(Record::SuspectCleared(task.clone()));
    assert!(state.crashes.suspects.is_empty());
    state.apply_record(crashed("w-3", 1, 3, true));
    state.apply_record(Record::JobCancelled {
        id: JOB.to_owned(),
        at_unix_ms: 3_000,
    });
    assert!(state.crashes.suspects.is_empty());
    state.apply_record(crashed("w-4", 1, 4, true));
    assert!(state.crashes.suspects.is_empty(), "the job has ended");
}

/// Guards against a job that goes on after one of its tasks was given up, or whose caller and
/// operator cannot learn why it failed.
#[test]
fn an_abandoned_task_fails_its_job_and_keeps_its_crashes() {
    let task = TaskKey {
        stage: key(0, 0),
        index: 0,
    };
    let mut state = state(vec![
        accept(vec![stage(2, &[])], None),
        crashed("w-1", 0, 1, true),
        crashed("w-2", 0, 2, true),
        Record::TaskAbandoned {
            task: task.clone(),
            at_unix_ms: 3_000,
        },
    ]);
    assert_eq!(phase(&state), JobPhase::Failed);
    let abandoned = &state.crashes.abandoned[JOB];
    assert_eq!((&abandoned.task, abandoned.crashes.len()), (&task, 2));
    assert!(state.crashes.suspects.is_empty());
    state.apply_record(Record::JobsForgotten(vec![JOB.to_owned()]));
    assert!(state.crashes.abandoned.is_empty());
}

/// Guards against a storage host that cannot read the snapshot that an earlier version wrote.
#[test]
fn snapshots_of_versions_without_later_fields_are_read() {
    let state = state(vec![accept(vec![stage(2, &[])], None)]);
    let snapshot = postcard::to_stdvec(&state).unwrap();
    assert_eq!(WorkflowState::decode(&snapshot).unwrap(), state);
    let without_cancellations = &snapshot[..snapshot.len() - 1];
    assert_eq!(WorkflowState::decode(without_cancellations).unwrap(), state);
    assert_eq!(
        state.encode(),
        without_cancellations,
        "earlier versions read snapshots without cancellations"
    );
    let without_customers = &without_cancellations[..without_cancellations.len() - 3];
    assert_eq!(WorkflowState::decode(without_customers).unwrap(), state);
    let earlier = &without_customers[..without_customers.len() - 4];
    assert_eq!(WorkflowState::decode(earlier).unwrap(), state);
    assert!(WorkflowState::decode(&earlier[..earlier.len() - 1]).is_err());
}

//! Life cycle of jobs, with failures injected into the journal and the workers.

mod job_support;

use std::time::Duration;

use indexmap::IndexMap;
use job_support::cell::{Cell, job};
use jujubewinch::placer::job_records::JobRecord;
use jujubewinch::placer::jobs::JobStatus;
use jujubewinch::placer::journal::JournalError;
use jujubewinch::protocol::worker::TaskState;
use jujubewinch::scheduling::fair_share::TeamShare;
use jujubewinch::scheduling::job_scheduler::Cancellation;
use jujubewinch::verdict::{ErrorCode, Verdict};

/// Guards against reporting a job as accepted although no record of it is committed, and against a
/// repeated submission that causes a second run or replaces a job of the same id with a different one.
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
        cell.environment.lock().unwrap().journal_error = Some(error.clone());
        let refused = cell
            .placer
            .submit(job("render", "batch", 1, false))
            .unwrap_err();
        assert_eq!(refused.verdict, verdict, "{error}");
        assert_eq!(cell.placer.status("render"), None, "{error}");
        cell.environment.lock().unwrap().journal_error = None;
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
        assert_eq!(
            cell.start_counts("render"),
            [("render-0-0".into(), 1)],
            "{error}"
        );
    }
}

/// Guards against a job that is never placed because its record was committed only after the
/// submission had failed.
#[test]
fn a_job_whose_record_is_committed_late_is_placed() {
    let cell = Cell::new(&["worker-1"]);
    let spec = job("render", "batch", 1, false);
    cell.environment.lock().unwrap().journal_error =
        Some(JournalError::Unconfirmed("no quorum".into()));
    cell.placer.submit(spec.clone()).unwrap_err();
    cell.environment.lock().unwrap().journal_error = None;
    cell.run(1, &["worker-1"]);
    assert_eq!(cell.start_counts("render"), []);
    cell.state
        .lock()
        .unwrap()
        .apply(JobRecord::Accepted { spec });
    cell.run(2, &["worker-1"]);
    assert_eq!(cell.start_counts("render"), [("render-0-0".into(), 1)]);
}

/// Guards against starts without a committed intent, and against a second run of a task that was
/// started although the reply was lost.
#[test]
fn lost_replies_and_failed_commits_cause_no_duplicate_starts() {
    let cell = Cell::new(&["worker-1", "worker-2"]);
    cell.placer
        .submit(job("render", "batch", 3, false))
        .unwrap();
    cell.environment.lock().unwrap().journal_error =
        Some(JournalError::Unconfirmed("no quorum".into()));
    cell.advance(Duration::from_secs(1));
    assert!(cell.placer.tick().is_err());
    assert!(cell.environment.lock().unwrap().calls.is_empty());
    cell.environment.lock().unwrap().journal_error = None;
    cell.environment.lock().unwrap().lose_replies = true;
    cell.announce_all();
    cell.run(8, &["worker-1", "worker-2"]);
    cell.environment.lock().unwrap().lose_replies = false;
    cell.run(3, &["worker-1", "worker-2"]);
    let starts = cell.start_counts("render");
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|(_, count)| *count == 1), "{starts:?}");
    assert_eq!(cell.environment.lock().unwrap().uncommitted_starts, 0);
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
fn tasks_of_a_lost_worker_restart_only_after_lease_and_margin() {
    for at_most_once in [false, true] {
        let cell = Cell::new(&["worker-1"]);
        cell.placer
            .submit(job("render", "batch", 1, at_most_once))
            .unwrap();
        cell.run(1, &["worker-1"]);
        assert_eq!(cell.start_counts("render").len(), 1);
        cell.environment
            .lock()
            .unwrap()
            .workers
            .insert("worker-2".into(), IndexMap::new());
        cell.run(6, &["worker-2"]);
        assert_eq!(
            cell.start_counts("render").len(),
            1,
            "restarted before the end of lease and clock margin"
        );
        cell.run(4, &["worker-2"]);
        let restarted = cell.start_counts("render").len() == 2;
        assert_eq!(restarted, !at_most_once);
        let ended =
            matches!(cell.placer.status("render"), Some(JobStatus::Ended(end)) if end.failed == 1);
        assert_eq!(ended, at_most_once);
    }
}

/// Guards against a second run of a task that must run at most once: its worker started it and
/// restarted before the reply arrived, and the next incarnation refused the repeated start.
#[test]
fn a_start_refused_by_the_next_incarnation_does_not_prove_that_the_task_never_started() {
    let cell = Cell::new(&["worker-1"]);
    cell.placer.submit(job("render", "batch", 1, true)).unwrap();
    cell.environment.lock().unwrap().lose_replies = true;
    cell.run(1, &[]);
    assert_eq!(cell.start_counts("render").len(), 1);
    {
        let mut environment = cell.environment.lock().unwrap();
        environment.lose_replies = false;
        environment.restart("worker-1");
    }
    cell.run(3, &[]);
    cell.run(3, &["worker-1"]);
    assert_eq!(cell.start_counts("render").len(), 1);
    assert!(matches!(cell.placer.status("render"), Some(JobStatus::Ended(end)) if end.failed == 1));
}

/// Guards against a second start after a change of the placer: of tasks that are running, of a task
/// whose intent was committed but whose start was not sent, and by a start that a paused former
/// placer sends after the change.
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
        let delayed_calls = cell.placer.tick().unwrap();
        assert!(delayed_calls.iter().any(|call| call.task == "unsent-0-0"));
        cell.change_placer();
        cell.run(10, &["worker-1"]);
        let starts = cell.start_counts("render");
        assert_eq!(starts, [("render-0-0".into(), 1), ("render-1-0".into(), 1)]);
        // The worker's tombstone proves that the first attempt never ran, so even a job that must
        // run at most once is started again. The delayed start of the former placer has no effect
        // because of the tombstone.
        assert_eq!(cell.start_counts("unsent"), [("unsent-0-1".into(), 1)]);
        let start = delayed_calls
            .iter()
            .find(|call| call.task == "unsent-0-0")
            .unwrap();
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

/// Guards against stopping the tasks of requests, which a worker that is also a runner announces
/// too, and against a lease that is not shortened by the duration of a slow commit.
#[test]
fn announcements_stop_only_tasks_of_unknown_jobs_and_leases_exclude_commit_time() {
    let cell = Cell::new(&["worker-1"]);
    let request_id = "0123456789abcdef0123456789abcdef".to_owned();
    let mut announcement = cell.announcement("worker-1");
    announcement.tasks.insert(request_id, TaskState::Running);
    announcement
        .tasks
        .insert("unknown-0-0".into(), TaskState::Running);
    for incarnation in [1, 0] {
        announcement.incarnation = incarnation;
        assert_eq!(
            cell.placer.announce(&announcement).unwrap().stop,
            ["unknown-0-0"]
        );
    }
    cell.placer
        .submit(job("render", "batch", 1, false))
        .unwrap();
    cell.run(1, &["worker-1"]);
    cell.finish_all(TaskState::Succeeded);
    cell.environment.lock().unwrap().commit_time = Duration::from_secs(3);
    let reply = cell
        .placer
        .announce(&cell.announcement("worker-1"))
        .unwrap();
    assert_eq!(reply.lease_ms, 2_000);
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
            cell.start_counts("render").len() <= 50 * second + 5,
            "too many starts by second {second}"
        );
    }
    cell.run(30, &workers);
    assert_eq!(cell.start_counts("render").len(), 200);
}

/// Guards against a cancelled job that keeps running or is started later, also when the placer
/// changes directly after the cancellation.
#[test]
fn a_cancelled_job_stops() {
    for (kind, placer_changes) in [("batch", false), ("service", true), ("gang", true)] {
        let mut cell = Cell::new(&["worker-1"]);
        cell.placer.submit(job("render", kind, 2, false)).unwrap();
        cell.placer.submit(job("waiting", kind, 4, false)).unwrap();
        assert_eq!(
            cell.placer.cancel(&"waiting".into()),
            Ok(Cancellation::Ended)
        );
        cell.run(1, &["worker-1"]);
        assert_eq!(cell.start_counts("render").len(), 2, "{kind}");
        assert_eq!(
            cell.placer.cancel(&"render".into()),
            Ok(Cancellation::Stopping)
        );
        if placer_changes {
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
        assert_eq!(cell.start_counts("waiting"), [], "{kind}");
    }
}

/// Guards against a job that waits forever because no worker is large enough, and against refusing
/// it as infeasible while a new placer does not know the workers yet.
#[test]
fn infeasible_jobs_are_refused_on_submission() {
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

/// Guards against team weights, set by operators, that have no effect on the current placer or on
/// its successor.
#[test]
fn team_weights_determine_the_division_of_workers() {
    for placer_changes in [false, true] {
        let names: Vec<String> = (0..8).map(|number| format!("worker-{number}")).collect();
        let workers: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut cell = Cell::new(&workers);
        let share = |weight| TeamShare {
            weight,
            ..TeamShare::default()
        };
        cell.environment.lock().unwrap().teams =
            vec![("heavy".into(), share(3)), ("light".into(), share(1))];
        if placer_changes {
            cell.change_placer();
            cell.announce_all();
        } else {
            cell.placer.refresh_teams();
        }
        for member in ["light", "heavy"] {
            let mut spec = job(member, "batch", 100, false);
            spec.member = member.into();
            cell.placer.submit(spec).unwrap();
        }
        cell.run(10, &workers);
        let [heavy, light] = ["heavy", "light"].map(|member| cell.start_counts(member).len());
        assert!(
            heavy + light < 200,
            "all tasks were started, so no team had to wait"
        );
        assert!(
            heavy >= 2 * light,
            "{heavy} heavy and {light} light starts, placer changed: {placer_changes}"
        );
        assert!(
            light > 0,
            "{heavy} heavy and {light} light starts, placer changed: {placer_changes}"
        );
    }
}

/// Guards against tasks of a cancelled job that start: the cancellation was committed only after the
/// journal had reported an error, and the state of the same epoch was rebuilt without it.
#[test]
fn a_job_whose_cancellation_is_committed_late_does_not_start() {
    let cell = Cell::new(&["worker-1"]);
    cell.placer.submit(job("first", "batch", 4, false)).unwrap();
    cell.run(2, &["worker-1"]);
    cell.placer
        .submit(job("render", "batch", 1, false))
        .unwrap();
    cell.delay_commits();
    cell.placer.cancel(&"render".to_owned()).unwrap_err();
    // The announcement needs no record; it is the first use of the state after the error.
    let _ = cell.placer.announce(&cell.announcement("worker-1"));
    cell.commit_delayed();
    let Some(JobStatus::Ended(end)) = cell.placer.status("render") else {
        panic!("the cancellation is not committed");
    };
    assert!(end.cancelled);
    cell.finish_all(TaskState::Succeeded);
    cell.run(3, &["worker-1"]);
    assert_eq!(cell.start_counts("first").len(), 4);
    assert_eq!(cell.start_counts("render"), []);
}

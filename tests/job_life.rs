//! The life of jobs against a journal and workers that can be made to fail.

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

/// Guards against stopping tasks of requests, which a worker that is a runner lists as well, and
/// against a lease that the reply extends by the time of a slow commit.
#[test]
fn announcements_of_runners_and_slow_commits() {
    let cell = Cell::new(&["worker-1"]);
    let request = "0123456789abcdef0123456789abcdef".to_owned();
    let mut announcement = cell.announcement("worker-1");
    announcement.tasks.insert(request, TaskState::Running);
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
    cell.world.lock().unwrap().commit_takes = Duration::from_secs(3);
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

/// Guards against weights that operators set and that change nothing, for the present placer and
/// for the next one.
#[test]
fn weights_of_teams_decide_about_free_workers() {
    for change in [false, true] {
        let names: Vec<String> = (0..8).map(|number| format!("worker-{number}")).collect();
        let workers: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut cell = Cell::new(&workers);
        let share = |weight| TeamShare {
            weight,
            ..TeamShare::default()
        };
        cell.world.lock().unwrap().teams =
            vec![("heavy".into(), share(3)), ("light".into(), share(1))];
        if change {
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
        let [heavy, light] = ["heavy", "light"].map(|member| cell.begun(member).len());
        assert!(heavy + light < 200, "the workers hold everything");
        assert!(
            heavy >= 2 * light,
            "{heavy} against {light}, changed {change}"
        );
        assert!(light > 0, "{heavy} against {light}, changed {change}");
    }
}

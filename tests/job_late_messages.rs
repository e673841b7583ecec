//! Messages about jobs that arrive after newer ones, or after the state they were meant for was lost.

mod job_support;

use std::time::Duration;

use job_support::cell::{Cell, job, resources};
use jujubewinch::placer::job_records::MAX_ENDED_JOBS;
use jujubewinch::placer::jobs::{JobStatus, WorkerRequest};
use jujubewinch::placer::journal::JournalError;
use jujubewinch::protocol::job::{JobCall, JobPhase};
use jujubewinch::protocol::worker::{TaskState, WorkerPhase};
use jujubewinch::scheduling::job_scheduler::Cancellation;
use jujubewinch::scheduling::overuse::Measure;
use jujubewinch::verdict::{ErrorCode, Verdict};

/// Guards against a stop of a running task because announcements that its worker wrote before the
/// start arrive after it.
#[test]
fn late_announcements_do_not_stop_a_task_that_started_after_them() {
    for at_most_once in [false, true] {
        let cell = Cell::new(&["worker-1"]);
        let late = cell.announcement("worker-1");
        cell.placer
            .submit(job("render", "batch", 1, at_most_once))
            .unwrap();
        cell.run(1, &["worker-1"]);
        assert_eq!(cell.start_counts("render"), [("render-0-0".into(), 1)]);
        for _ in 0..3 {
            cell.placer.announce(&late).unwrap();
        }
        cell.run(2, &["worker-1"]);
        let running = cell.announcement("worker-1").tasks;
        assert_eq!(running.get("render-0-0"), Some(&TaskState::Running));
        assert_eq!(cell.start_counts("render").len(), 1);
        cell.finish_all(TaskState::Succeeded);
        cell.run(1, &["worker-1"]);
        assert!(
            matches!(cell.placer.status("render"), Some(JobStatus::Ended(end)) if end.succeeded == 1)
        );
    }
}

/// Guards against a stop that is no longer repeated because the worker does not list the task yet.
#[test]
fn a_cancelled_task_that_announcements_lack_stays_stopped() {
    let cell = Cell::new(&["worker-1"]);
    cell.placer
        .submit(job("render", "batch", 1, false))
        .unwrap();
    cell.run(1, &["worker-1"]);
    let mut late = cell.announcement("worker-1");
    late.tasks.clear();
    assert_eq!(
        cell.placer.cancel(&"render".to_owned()),
        Ok(Cancellation::Stopping)
    );
    for call in cell.placer.tick().unwrap() {
        assert_eq!(call.request, WorkerRequest::Apply(Measure::Stop));
    }
    for _ in 0..3 {
        cell.placer.announce(&late).unwrap();
    }
    cell.run(2, &["worker-1"]);
    assert!(matches!(cell.placer.status("render"), Some(JobStatus::Ended(end)) if end.cancelled));
}

/// Guards against a task of a cancelled job that runs on: the answer to an earlier call about it arrives
/// after the call that stops it was lost, and ends the repetition of that call.
#[test]
fn a_late_answer_to_an_earlier_call_does_not_end_the_repetition_of_a_stop() {
    let cell = Cell::new(&["worker-1"]);
    cell.placer
        .submit(job("render", "service", 1, false))
        .unwrap();
    cell.run(1, &["worker-1"]);
    let mut overuse = cell.announcement("worker-1");
    overuse
        .usage
        .insert("render-0-0".into(), resources(20_000, 8_192));
    cell.placer.announce(&overuse).unwrap();
    let throttle = cell.placer.tick().unwrap();
    assert_eq!(throttle[0].request, WorkerRequest::Apply(Measure::Throttle));
    cell.placer.cancel(&"render".to_owned()).unwrap();
    let lost = cell.placer.tick().unwrap();
    assert_eq!(lost.len(), 1);
    cell.placer.perform(&throttle[0]).unwrap();
    cell.run(5, &["worker-1"]);
    assert!(matches!(cell.placer.status("render"), Some(JobStatus::Ended(end)) if end.cancelled));
}

/// Guards against a task of a cancelled job that runs on: a report of overuse that the worker wrote
/// before the cancellation replaces the call that stops the task, which was lost, by a lesser measure.
#[test]
fn a_late_report_of_overuse_does_not_replace_a_stop() {
    let cell = Cell::new(&["worker-1"]);
    cell.placer
        .submit(job("render", "service", 1, false))
        .unwrap();
    cell.run(1, &["worker-1"]);
    let mut overuse = cell.announcement("worker-1");
    overuse
        .usage
        .insert("render-0-0".into(), resources(20_000, 8_192));
    cell.placer.cancel(&"render".to_owned()).unwrap();
    let lost = cell.placer.tick().unwrap();
    assert_eq!(lost[0].request, WorkerRequest::Apply(Measure::Stop));
    cell.placer.announce(&overuse).unwrap();
    cell.run(5, &["worker-1"]);
    assert!(matches!(cell.placer.status("render"), Some(JobStatus::Ended(end)) if end.cancelled));
}

/// Guards against new tasks on a leaving worker because an announcement that it wrote before it began
/// to leave arrives after the later one.
#[test]
fn a_late_announcement_does_not_return_a_leaving_worker_to_service() {
    let cell = Cell::new(&["worker-1"]);
    let late = cell.announcement("worker-1");
    let mut leaving = late.clone();
    leaving.phase = WorkerPhase::Leaving;
    cell.placer.announce(&leaving).unwrap();
    cell.placer.announce(&late).unwrap();
    cell.placer
        .submit(job("render", "batch", 1, false))
        .unwrap();
    cell.run(2, &[]);
    assert!(cell.environment.lock().unwrap().calls.is_empty());
    cell.environment.lock().unwrap().restart("worker-1");
    cell.run(2, &["worker-1"]);
    assert_eq!(cell.start_counts("render").len(), 1);
}

/// Guards against a task that never runs: its start was lost, and the state of the same epoch was
/// rebuilt before the start was repeated.
#[test]
fn a_start_that_was_lost_before_the_state_was_rebuilt_does_not_keep_its_task_waiting() {
    for at_most_once in [false, true] {
        let cell = Cell::new(&["worker-1"]);
        cell.placer
            .submit(job("render", "batch", 1, at_most_once))
            .unwrap();
        cell.advance(Duration::from_secs(1));
        let lost = cell.placer.tick().unwrap();
        assert_eq!(lost.len(), 1);
        cell.environment.lock().unwrap().journal_error =
            Some(JournalError::Unconfirmed("no quorum".into()));
        cell.placer.cancel(&"render".to_owned()).unwrap_err();
        cell.environment.lock().unwrap().journal_error = None;
        cell.run(20, &["worker-1"]);
        assert_eq!(cell.start_counts("render"), [("render-0-1".into(), 1)]);
        // The lost start arrives after all.
        cell.placer.perform(&lost[0]).unwrap();
        assert_eq!(cell.start_counts("render"), [("render-0-1".into(), 1)]);
    }
}

/// Guards against a second run of a job that ended: a copy of its submission arrives after so many later
/// jobs have ended that its outcome was dropped.
#[test]
fn a_submission_of_a_job_whose_outcome_was_dropped_is_refused() {
    let cell = Cell::new(&["worker-1"]);
    let submit = |id: String| {
        let spec = Box::new(job(&id, "batch", 1, true));
        cell.placer.handle(JobCall::Submit(spec))
    };
    let first = "erdenet.1.first";
    submit(first.into()).unwrap();
    cell.placer.cancel(&first.into()).unwrap();
    for number in 0..MAX_ENDED_JOBS {
        let id = format!("erdenet.3.{number}");
        submit(id.clone()).unwrap();
        cell.placer.cancel(&id).unwrap();
    }
    assert_eq!(cell.placer.status(first), None);
    let refused = submit(first.into()).unwrap_err();
    assert_eq!(refused.code, ErrorCode::KeyExpired);
    assert_eq!(refused.verdict, Verdict::MayHaveRun);
    submit("erdenet.3.next".into()).unwrap();
}

/// Guards against two runs of a task at once: its start arrives after the lease of its worker has lapsed,
/// the task has been started elsewhere, and the worker has announced itself again. The state of the placer
/// may have been rebuilt in between.
#[test]
fn a_start_that_arrives_after_the_lease_of_its_worker_does_not_run_beside_the_next_one() {
    for rebuilt in [false, true] {
        let cell = Cell::new(&["worker-1", "worker-2"]);
        cell.placer
            .submit(job("render", "batch", 1, false))
            .unwrap();
        cell.advance(Duration::from_millis(500));
        let late = cell.placer.tick().unwrap().remove(0);
        let workers = ["worker-1", "worker-2"];
        let other = workers.into_iter().find(|id| *id != late.worker).unwrap();
        for _ in 0..20 {
            cell.advance(Duration::from_millis(500));
            cell.announce(other);
            let calls = cell.placer.tick().unwrap();
            for call in calls.iter().filter(|call| call.worker == other) {
                cell.placer.perform(call).unwrap();
            }
        }
        assert_eq!(cell.start_counts("render"), [("render-0-1".into(), 1)]);
        if rebuilt {
            cell.environment.lock().unwrap().journal_error =
                Some(JournalError::Unconfirmed("no quorum".into()));
            cell.placer.cancel(&"render".to_owned()).unwrap_err();
            cell.environment.lock().unwrap().journal_error = None;
        }
        let mut announcements = 0;
        while cell
            .placer
            .announce(&cell.announcement(&late.worker))
            .is_err()
        {
            announcements += 1;
            assert!(announcements < 5, "the worker gets no lease");
            cell.run(1, &[other]);
        }
        cell.placer.perform(&late).unwrap();
        assert_eq!(cell.start_counts("render"), [("render-0-1".into(), 1)]);
    }
}

/// Guards against a job that runs although its cancellation was confirmed: its submission had waited at
/// an entry host that stood still, and arrives after the cancellation.
#[test]
fn a_submission_that_arrives_after_its_cancellation_does_not_run() {
    let mut cell = Cell::new(&["worker-1"]);
    let id = "erdenet.1.late".to_owned();
    let cancelled = cell.placer.handle(JobCall::Cancel(id.clone()));
    cell.change_placer();
    cell.announce_all();
    let spec = Box::new(job(&id, "batch", 1, false));
    let submitted = cell.placer.handle(JobCall::Submit(spec)).unwrap();
    cell.run(3, &["worker-1"]);
    assert_eq!(cell.start_counts(&id), []);
    assert_eq!(cancelled.unwrap().phase, JobPhase::Cancelled);
    assert_eq!(submitted.phase, JobPhase::Cancelled);
}

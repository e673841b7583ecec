//! Tests of tasks that crash the workers that start them.

use std::time::Duration;

use indexmap::IndexSet;

use super::super::term::Term;
use super::crashing_cell::*;
use super::fixture::*;
use crate::ids::WorkerId;
use crate::workflow::calls::CallFailure;
use crate::workflow::decisions::crash_suspects::{Isolation, isolation};
use crate::workflow::records::{CrashSuspect, Record};
use crate::workflow::spec::{StageKey, StageSpec, TaskKey};
use crate::workflow::state::JobPhase;

/// Guards against a task that crashes one worker after the other: on a day with such tasks one of
/// them crashed eleven workers, and each crash ended the runs of other jobs.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut cell = CrashingCell::new(8, of_bad_job);
    cell.submit(BAD_JOB, vec![stage(1)]);
    cell.run_for(Duration::from_secs(30));
    assert_eq!(cell.phase(BAD_JOB), JobPhase::Failed);
    assert!(cell.most_crashes() <= 3, "{:?}", cell.crashes);
}

/// Guards against a crash count that is lost with the placer: each new one would start the task
/// again as if it had crashed no worker.
#[test]
fn crashes_are_counted_across_placers() {
    let mut cell = CrashingCell::new(8, of_bad_job);
    cell.submit(BAD_JOB, vec![stage(1)]);
    for _ in 0..20 {
        cell.run_for(Duration::from_millis(1_700));
        cell.change_placer();
    }
    assert_eq!(cell.phase(BAD_JOB), JobPhase::Failed);
    assert!(cell.most_crashes() <= 3, "{:?}", cell.crashes);
}

/// Guards against jobs that are given up because they were next to a task that crashes its workers,
/// and against a crashing task that is hidden by the runs around it.
#[test]
fn neighbours_of_crashing_tasks_are_not_given_up() {
    // One task of each fifth job crashes its workers.
    let crashes = |task: &TaskKey| task.stage.job.ends_with(['0', '5']) && task.index == 0;
    let mut cell = CrashingCell::new(16, crashes);
    let jobs: u32 = 100;
    for index in 0..jobs {
        cell.submit(&job_name(index), vec![stage(1 + index % 4)]);
        cell.run_for(Duration::from_millis(200));
    }
    cell.run_for(Duration::from_secs(60));
    for index in 0..jobs {
        let wanted = if index % 5 == 0 {
            JobPhase::Failed
        } else {
            JobPhase::Completed
        };
        assert_eq!(cell.phase(&job_name(index)), wanted, "job {index}");
    }
    assert!(cell.most_crashes() <= 4, "{:?}", cell.crashes);
}

/// Guards against a gang that crashes its workers again and again.
#[test]
fn a_gang_that_crashes_its_workers_is_given_up() {
    let crashes = |task: &TaskKey| of_bad_job(task) && task.index == 1;
    let mut cell = CrashingCell::new(8, crashes);
    let mut gang = stage(6);
    gang.gang = true;
    cell.submit(BAD_JOB, vec![gang]);
    cell.submit(JOB, vec![stage(8), stage(8)]);
    cell.run_for(Duration::from_secs(40));
    assert_eq!(cell.phase(BAD_JOB), JobPhase::Failed);
    assert_eq!(cell.phase(JOB), JobPhase::Completed);
    assert!(cell.most_crashes() <= 3, "{:?}", cell.crashes);
}

/// Guards against a lasting task that is exempt because it is restarted however it ends.
#[test]
fn a_lasting_task_that_crashes_its_workers_is_given_up() {
    let mut cell = CrashingCell::new(8, |task| of_bad_job(task) && task.index == 0);
    let mut lasting = stage(4);
    lasting.lasting = true;
    cell.submit(BAD_JOB, vec![lasting]);
    cell.run_for(Duration::from_secs(30));
    assert_eq!(cell.phase(BAD_JOB), JobPhase::Failed);
    assert!(cell.most_crashes() <= 3, "{:?}", cell.crashes);
    cell.run_for(Duration::from_secs(3));
    let left: usize = cell
        .workers
        .values()
        .map(|worker| worker.running.len())
        .sum();
    assert_eq!(left, 0, "the other tasks of the job are stopped");
}

/// Guards against jobs that are given up because their racks lose power: eight times, shortly after
/// their tasks were started.
#[test]
fn the_loss_of_a_rack_counts_against_no_task() {
    let mut cell = CrashingCell::new(8, |_| false);
    cell.run_time = Duration::from_secs(200);
    cell.submit(JOB, vec![stage(8)]);
    for round in 0..8 {
        cell.run_for(Duration::from_millis(300));
        let rack = format!("r{}", round % 2);
        let workers = cell.workers.iter();
        let lost = workers.filter(|(_, worker)| worker.rack == rack && worker.up_at.is_none());
        let lost: Vec<WorkerId> = lost.map(|(id, _)| id.clone()).collect();
        for id in lost {
            cell.crash(&id);
        }
        cell.run_for(RESTART_TIME);
    }
    assert!(cell.fixture.term.state.crashes.suspects.is_empty());
    assert_eq!(cell.phase(JOB), JobPhase::Running);
}

/// Guards against jobs that are given up because their workers crash now and then for a reason of
/// their own, as in a bad batch of machines.
#[test]
fn crashes_long_after_a_start_count_against_no_task() {
    let mut cell = CrashingCell::new(4, |_| false);
    cell.run_time = Duration::from_secs(200);
    let mut lasting = stage(4);
    lasting.lasting = true;
    cell.submit(JOB, vec![lasting]);
    for round in 0..8 {
        cell.run_for(Duration::from_secs(6));
        cell.crash(&format!("w{}", round % 4));
    }
    cell.run_for(Duration::from_secs(6));
    assert!(cell.fixture.term.state.crashes.suspects.is_empty());
    assert_eq!(cell.phase(JOB), JobPhase::Running);
}

/// Guards against a restart for upkeep or a departure that is taken for a crash.
#[test]
fn announced_ends_of_workers_count_against_no_task() {
    for leaves in [false, true] {
        let mut fixture = Fixture::running_on_w();
        if leaves {
            let now = fixture.now.at;
            fixture.term.handle_departure(&"w".to_owned(), now);
        } else {
            let mut draining = heartbeat("w", 1, 2);
            draining.record.draining = true;
            fixture.term.handle_heartbeat(draining, fixture.now);
        }
        fixture.fail_to_answer("w", &CallFailure::PortClosed);
        fixture.advance(Duration::from_secs(1));
        fixture.term.tick(fixture.now);
        fixture
            .term
            .handle_heartbeat(heartbeat("w", 2, 1), fixture.now);
        assert!(fixture.term.state.crashes.suspects.is_empty());
    }
}

/// Guards against a cut or an expired lease that is taken for a crash: the same incarnation answers
/// again.
#[test]
fn a_worker_that_was_cut_off_has_not_crashed() {
    let mut fixture = Fixture::running_on_w();
    for _ in 0..80 {
        fixture.fail_to_answer("w", &CallFailure::NoAnswer("cut off".to_owned()));
        fixture.advance(Duration::from_millis(150));
        fixture.term.tick(fixture.now);
    }
    assert!(!fixture.term.runs.contains_key(&task(0)));
    fixture.report("w", vec![], vec![]);
    fixture
        .term
        .handle_heartbeat(heartbeat("w", 2, 1), fixture.now);
    assert!(fixture.term.state.crashes.suspects.is_empty());
}

/// Guards against a crash that is never counted because the worker was silent until its lease
/// expired, as when its host stops with it.
#[test]
fn a_crash_is_counted_after_the_lease_has_expired() {
    let mut fixture = Fixture::running_on_w();
    for _ in 0..80 {
        fixture.fail_to_answer("w", &CallFailure::NoAnswer("gone".to_owned()));
        fixture.advance(Duration::from_millis(150));
        fixture.term.tick(fixture.now);
    }
    assert!(!fixture.term.runs.contains_key(&task(0)));
    fixture
        .term
        .handle_heartbeat(heartbeat("w", 2, 1), fixture.now);
    assert_eq!(fixture.term.state.crashes.history(&task(0)).len(), 1);
}

/// Guards against jobs that are given up on a day on which several times a seventh of the workers
/// crash for which no task is to blame: the suspects of one crash are hit by the next one.
#[test]
fn crashes_of_other_causes_give_up_no_task() {
    for seed in 0..20 {
        let mut cell = CrashingCell::new(48, |_| false);
        let mut random: u64 = seed;
        let mut draw = |below: u64| {
            random = (random * 1_103_515_245 + 12_345) % (1 << 31);
            (random >> 8) % below
        };
        let mut crash_at = cell.fixture.now.at;
        for index in 0..600 {
            cell.submit(&job_name(index), vec![stage(1 + index % 8)]);
            cell.run_for(Duration::from_millis(100));
            if cell.fixture.now.at < crash_at {
                continue;
            }
            crash_at += Duration::from_millis(2_000 + draw(4_000));
            for _ in 0..7 {
                let worker = format!("w{}", draw(48));
                if cell.workers[&worker].up_at.is_none() {
                    cell.crash(&worker);
                }
            }
        }
        cell.run_for(Duration::from_secs(20));
        assert!(!cell.lost.is_empty());
        for index in 0..600 {
            let phase = cell.phase(&job_name(index));
            assert_eq!(phase, JobPhase::Completed, "seed {seed}, job {index}");
        }
    }
}

/// Guards against a suspect that holds back the other jobs of its queue while it waits for a worker
/// without other young runs: none is ever free of them.
#[test]
fn other_jobs_do_not_wait_for_suspects() {
    let mut cell = CrashingCell::new(4, of_bad_job);
    let mut large = stage(2);
    large.resources.cpu_millis = 4_000;
    cell.submit(BAD_JOB, vec![large]);
    for index in 0..100 {
        cell.submit(&job_name(index), vec![stage(1)]);
        cell.run_for(Duration::from_millis(200));
    }
    cell.run_for(Duration::from_secs(5));
    for index in 0..100 {
        assert_eq!(cell.phase(&job_name(index)), JobPhase::Completed, "{index}");
    }
    cell.run_for(Duration::from_secs(20));
    assert_eq!(cell.phase(BAD_JOB), JobPhase::Failed);
}

/// Returns the workers with a run on probation of an isolated suspect, from all runs.
fn isolated_by_runs(term: &Term) -> IndexSet<WorkerId> {
    let mut isolated = IndexSet::new();
    for (task, run) in &term.runs {
        let suspect = term.suspect_key(task);
        let history = term.state.crashes.history(&suspect);
        if !run.harmless && isolation(history) == Isolation::FromAll {
            isolated.insert(run.worker.clone());
        }
    }
    isolated
}

/// Guards against a set of isolated workers that differs from the runs on them.
#[test]
fn workers_are_isolated_by_the_runs_on_them() {
    let mut cell = CrashingCell::new(12, of_bad_job);
    let mut seen = 0;
    for (index, gang) in [(0, false), (1, true), (2, false)] {
        cell.submit(&job_name(index), vec![stage(20)]);
        let bad = StageSpec { gang, ..stage(4) };
        let name = if index == 0 {
            BAD_JOB.to_owned()
        } else {
            job_name(100 + index)
        };
        cell.submit(&name, vec![bad]);
        for _ in 0..80 {
            cell.run_for(STEP);
            cell.fixture.term.schedule(cell.fixture.now);
            cell.fixture.commit_all();
            let term = &cell.fixture.term;
            let isolated: IndexSet<WorkerId> = isolated_by_runs(term);
            assert_eq!(term.isolated_workers(), isolated);
            assert_eq!(term.crash_watch.isolated_workers, isolated);
            seen += isolated.len();
        }
    }
    assert!(seen > 0, "no suspect was isolated");
}

/// Guards against a look at all runs of each worker that a stage might use while any task is
/// suspected: suspects of late jobs wait for minutes, and the leader lacked that time (SHORT).
#[test]
fn a_waiting_suspect_does_not_make_other_searches_look_at_runs() {
    let mut cell = CrashingCell::new(8, of_bad_job);
    cell.submit("00c0ffee00000001", vec![stage(14)]);
    let mut suspected = stage(1);
    suspected.required_label = Some("missing".to_owned());
    cell.submit(BAD_JOB, vec![suspected]);
    cell.run_for(STEP);
    let suspected = TaskKey {
        stage: StageKey {
            job: BAD_JOB.to_owned(),
            ..task(0).stage
        },
        index: 0,
    };
    let suspect = CrashSuspect {
        task: suspected.clone(),
        run: 1,
        blamed: false,
        run_ms: 10,
    };
    cell.fixture.term.record(Record::WorkerCrashed {
        worker: "gone".to_owned(),
        incarnation: 1,
        at_unix_ms: cell.fixture.now.unix_ms,
        suspects: vec![suspect],
    });
    let before = cell.fixture.term.passes.examined_runs.get();
    cell.submit("00c0ffee00000002", vec![stage(8)]);
    cell.run_for(STEP);
    assert!(cell.fixture.term.state.crashes.is_suspect(&suspected));
    assert_eq!(cell.phase("00c0ffee00000002"), JobPhase::Running);
    assert_eq!(cell.fixture.term.passes.examined_runs.get(), before);
}

//! Tests the whole path of a job over sockets: simulated callers, an operator and runners speak the
//! protocol of the users' platform with a cell of three storage hosts and one entry host.

mod platform_support;

use std::sync::atomic::Ordering;

use http::Method;
use platform_support::{Cell, Ports, Runner, await_some, configuration};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Starts a cell on four consecutive ports and sends the first configuration. Returns the cell and
/// the temporary folder with its logs.
fn start_cell(first_port: u16) -> (Cell, TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let cell = Cell::start(folder.path(), Ports::starting_at(first_port));
    assert_eq!(cell.configure(1).status, 200);
    (cell, folder)
}

/// Submits a job, again while the answer is missing, 503 or 504, and returns the status of the answer.
/// A submission that the placer did not answer in time is repeated: it may have had no effect.
fn submit(cell: &Cell, id: &str, body: &Value) -> u16 {
    let answer = await_some(|| {
        let answer = cell.caller(Method::POST, &format!("/plans/{id}"), body)?;
        (!matches!(answer.status, 503 | 504)).then_some(answer)
    });
    answer.status
}

/// A job of two stages: three tasks, then a gang of two tasks.
fn two_stage_job() -> Value {
    json!({"task_spec": "plan", "steps": [
        {"count": 3, "cpu": 500, "mem_mb": 10, "estimate_ms": 150},
        {"count": 2, "cpu": 500, "mem_mb": 10, "estimate_ms": 150, "gang": true, "depends_on": [0]}]})
}

/// Waits until a job is completed by the worker i-1.
fn await_completion(cell: &Cell, runner: &Runner, id: &str) {
    cell.await_with_heartbeats("i-1", runner, || {
        (cell.state(id).as_deref() == Some("completed")).then_some(())
    });
}

/// Guards against jobs that do not complete, against tasks that start more than once or in the
/// wrong order, and against a second run of a task when the answer to its start order is lost.
#[test]
fn a_job_of_two_stages_runs_once() {
    let (cell, _folder) = start_cell(17_310);
    let runner = Runner::start();
    runner.lose_answers.store(2, Ordering::Release);
    cell.announce("i-1", &runner, runner.next_heartbeat());
    assert_eq!(submit(&cell, "00c0ffee00c0ffee", &two_stage_job()), 200);
    assert_eq!(
        submit(&cell, "00c0ffee00c0ffee", &two_stage_job()),
        200,
        "a repeated submission of the same job"
    );
    await_completion(&cell, &runner, "00c0ffee00c0ffee");
    let starts = runner.starts();
    let tasks: Vec<&str> = starts.iter().map(|(task, _)| task.as_str()).collect();
    let second_stage = tasks
        .iter()
        .position(|task| task.contains(".0.1."))
        .unwrap();
    assert_eq!(second_stage, 3, "{tasks:?}");
    assert_eq!(starts.len(), 5, "{starts:?}");
    assert_eq!(runner.overlaps(), 0);
    let answer = cell.caller(Method::GET, "/plans/ffffffffffffffff", &Value::Null);
    assert_eq!(answer.unwrap().status, 410);
    let answer = cell.caller(Method::GET, "/other/", &Value::Null);
    assert_eq!(answer.unwrap().status, 404);
    let answer = cell.caller(Method::POST, "/plans/1", &json!({"steps": []}));
    assert_eq!(answer.unwrap().status, 400);
}

/// Guards against jobs, configurations or runs that are lost with the placer, and against tasks
/// that run again because its successor does not know about them.
#[test]
fn a_successor_of_the_placer_completes_its_jobs() {
    let (cell, _folder) = start_cell(17_320);
    let runner = Runner::start();
    cell.announce("i-1", &runner, runner.next_heartbeat());
    let ids: Vec<String> = (0..8)
        .map(|number| format!("00c0ffee0000000{number}"))
        .collect();
    for id in &ids {
        assert_eq!(submit(&cell, id, &two_stage_job()), 200);
    }
    assert_eq!(cell.configure(5).status, 200);
    let leader = await_some(|| cell.leader());
    cell.hosts[leader].crash();
    for id in &ids {
        await_completion(&cell, &runner, id);
    }
    assert_eq!(runner.overlaps(), 0);
    assert_eq!(
        cell.configure(4).status,
        200,
        "an older configuration is acknowledged without effect"
    );
    let answer = cell.control(&Method::GET, "/api/config", &Value::Null);
    let current: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(current, configuration(5));
}

/// Guards against a cancelled job that continues to run, and against a confirmed cancellation of an
/// unknown job.
#[test]
fn a_cancelled_job_ends() {
    let (cell, _folder) = start_cell(17_330);
    let body = json!({"task_spec": "plan", "steps": [{"count": 1, "cpu": 500, "mem_mb": 1}]});
    assert_eq!(submit(&cell, "00c0ffee00c0ffee", &body), 200);
    let cancel = |id| cell.caller(Method::DELETE, &format!("/plans/{id}"), &Value::Null);
    assert_eq!(cancel("00c0ffee00c0ffee").unwrap().status, 200);
    assert_eq!(cancel("00c0ffee00000000").unwrap().status, 410);
    await_some(|| (cell.state("00c0ffee00c0ffee").as_deref() == Some("cancelled")).then_some(()));
    let runner = Runner::start();
    cell.announce("i-1", &runner, runner.next_heartbeat());
    assert_eq!(submit(&cell, "00c0ffee00000001", &two_stage_job()), 200);
    await_completion(&cell, &runner, "00c0ffee00000001");
    assert!(
        runner
            .starts()
            .iter()
            .all(|(task, _)| task.starts_with("00c0ffee00000001"))
    );
}

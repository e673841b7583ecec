//! Log of the executions of a stand-in runner, for checks after experiments.

use std::sync::Mutex;
use std::time::{Instant, SystemTime};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::payload::StandInPayload;
use crate::http::{Request, Response};
use crate::ids::{RequestKey, TaskId};

/// Maximum number of executions in the log; later ones are only counted.
const MAX_EXECUTIONS: usize = 500_000;

/// One execution of a request.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Task id of the attempt.
    pub task: TaskId,
    /// Key of the request that the placer sent; empty without one.
    pub key: RequestKey,
    /// Field `echo` of the payload, or the whole payload when it is not a [`StandInPayload`].
    pub token: String,
    /// When the execution began.
    pub started_at: Instant,
    /// When the execution ended, including by a stop or a crash; absent while it runs.
    pub ended_at: Option<Instant>,
}

/// One execution as reported over HTTP. Times are comparable between runners on the same machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedExecution {
    /// Task id of the attempt.
    pub task: TaskId,
    /// Field `echo` of the payload, or the whole payload when it is not a [`StandInPayload`].
    pub token: String,
    /// Start in microseconds since the Unix epoch.
    pub started_us: u64,
    /// End in microseconds since the Unix epoch; absent while the execution runs.
    pub ended_us: Option<u64>,
}

/// Reply to `GET /v1/executions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutionList {
    /// Executions in the order of their start.
    pub executions: Vec<ReportedExecution>,
    /// Number of executions that are missing because the log was full.
    pub not_recorded: u64,
}

/// Log of the executions of one runner.
#[derive(Default)]
pub struct ExecutionLog(Mutex<Log>);

#[derive(Default)]
struct Log {
    executions: IndexMap<TaskId, Execution>,
    not_recorded: u64,
}

impl ExecutionLog {
    /// Records the start of a task.
    pub fn started(&self, task: &str, key: Option<&str>, payload: &[u8]) {
        let mut log = self.0.lock().unwrap();
        if log.executions.len() >= MAX_EXECUTIONS {
            log.not_recorded += 1;
            return;
        }
        let instructions: Option<StandInPayload> = serde_json::from_slice(payload).ok();
        let token = instructions.map_or_else(
            || String::from_utf8_lossy(payload).into_owned(),
            |instructions| instructions.echo,
        );
        let execution = Execution {
            task: task.to_owned(),
            key: key.unwrap_or_default().to_owned(),
            token,
            started_at: Instant::now(),
            ended_at: None,
        };
        log.executions.insert(task.to_owned(), execution);
    }

    /// Records the end of a task.
    pub fn ended(&self, task: &str) {
        if let Some(execution) = self.0.lock().unwrap().executions.get_mut(task) {
            execution.ended_at.get_or_insert_with(Instant::now);
        }
    }

    /// Records the end of all running tasks, for a simulated crash.
    pub fn all_ended(&self) {
        let now = Instant::now();
        for execution in self.0.lock().unwrap().executions.values_mut() {
            execution.ended_at.get_or_insert(now);
        }
    }

    /// Returns the executions whose token has the prefix, in the order of their start.
    pub fn list(&self, token_prefix: &str) -> Vec<Execution> {
        let log = self.0.lock().unwrap();
        let wanted = log
            .executions
            .values()
            .filter(|execution| execution.token.starts_with(token_prefix));
        wanted.cloned().collect()
    }

    /// Handles `GET /v1/executions?token_prefix=`.
    pub fn respond(&self, request: &Request) -> Response {
        let prefix: String = request.query_value("token_prefix").unwrap_or_default();
        let list = ExecutionList {
            executions: self.list(&prefix).into_iter().map(report).collect(),
            not_recorded: self.0.lock().unwrap().not_recorded,
        };
        Response::json(200, &list)
    }
}

fn report(execution: Execution) -> ReportedExecution {
    ReportedExecution {
        task: execution.task,
        token: execution.token,
        started_us: unix_micros(execution.started_at),
        ended_us: execution.ended_at.map(unix_micros),
    }
}

fn unix_micros(at: Instant) -> u64 {
    let wall = SystemTime::now() - at.elapsed();
    let age = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

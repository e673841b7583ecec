//! Record of what a stand-in runner executed, for checks after experiments.

use std::sync::Mutex;
use std::time::{Instant, SystemTime};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::payload::StandInPayload;
use crate::http::{Request, Response};
use crate::ids::{RequestKey, TaskId};

/// Executions kept; later ones are only counted.
const MAX_EXECUTIONS: usize = 500_000;

/// One execution of a request.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Attempt.
    pub task: TaskId,
    /// Key of its request, as the placer sent it.
    pub key: RequestKey,
    /// `echo` of the payload, or the payload itself when it has none.
    pub token: String,
    /// When it began.
    pub started_at: Instant,
    /// When it ended, also by a stop or a crash.
    pub ended_at: Option<Instant>,
}

/// One execution as it is reported; the times are comparable between runners of one machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedExecution {
    /// Attempt.
    pub task: TaskId,
    /// `echo` of the payload, or the payload itself when it has none.
    pub token: String,
    /// Start, in microseconds since 1970.
    pub started_us: u64,
    /// End; absent while it runs.
    pub ended_us: Option<u64>,
}

/// Reply to `GET /v1/executions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutionList {
    /// Executions in the order of their start.
    pub executions: Vec<ReportedExecution>,
    /// Executions that are not in the record since it was full.
    pub not_recorded: u64,
}

/// Executions of one runner.
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

    /// Records the end of all tasks, as a crash of the process does.
    pub fn all_ended(&self) {
        let now = Instant::now();
        for execution in self.0.lock().unwrap().executions.values_mut() {
            execution.ended_at.get_or_insert(now);
        }
    }

    /// Executions whose token has the prefix, in the order of their start.
    pub fn list(&self, token_prefix: &str) -> Vec<Execution> {
        let log = self.0.lock().unwrap();
        let wanted = log
            .executions
            .values()
            .filter(|execution| execution.token.starts_with(token_prefix));
        wanted.cloned().collect()
    }

    /// Answers `GET /v1/executions?token_prefix=`.
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

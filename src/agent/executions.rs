//! Record of what a stand-in runner executed, for checks after experiments.

use std::sync::Mutex;
use std::time::SystemTime;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::payload::StandInPayload;
use crate::http::{Request, Response};
use crate::ids::TaskId;

/// Executions kept; later ones are only counted.
const MAX_EXECUTIONS: usize = 500_000;

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Execution {
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
    pub executions: Vec<Execution>,
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
    pub fn started(&self, task: &str, payload: &[u8]) {
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
            token,
            started_us: unix_micros(),
            ended_us: None,
        };
        log.executions.insert(task.to_owned(), execution);
    }

    /// Records the end of a task.
    pub fn ended(&self, task: &str) {
        if let Some(execution) = self.0.lock().unwrap().executions.get_mut(task) {
            execution.ended_us = Some(unix_micros());
        }
    }

    /// Answers `GET /v1/executions?token_prefix=`.
    pub fn respond(&self, request: &Request) -> Response {
        let prefix: String = request.query_value("token_prefix").unwrap_or_default();
        let log = self.0.lock().unwrap();
        let wanted = log
            .executions
            .values()
            .filter(|execution| execution.token.starts_with(&prefix));
        let list = ExecutionList {
            executions: wanted.cloned().collect(),
            not_recorded: log.not_recorded,
        };
        drop(log);
        Response::json(200, &list)
    }
}

fn unix_micros() -> u64 {
    let age = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

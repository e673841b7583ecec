//! What is known about whether a request ran.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Tells whether a request ran. Every answer and every error carries one.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Verdict {
    /// The request was executed and its outcome is known.
    Ran,
    /// The request was not executed and never will be under this attempt.
    DidNotRun,
    /// The request may have been executed or may still be running.
    MayHaveRun,
}

/// Machine-readable reason of a [`RequestError`].
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ErrorCode {
    /// Malformed input.
    BadRequest,
    /// The payload or the headers exceed their bound.
    TooLarge,
    /// No or wrong credentials.
    Unauthenticated,
    /// The credentials do not permit the operation.
    Forbidden,
    /// The named object is not known.
    NotFound,
    /// The key was used before with another request.
    KeyConflict,
    /// The key is older than the retention of key records.
    KeyExpired,
    /// A quota, a queue bound or admission control refused the request.
    Overloaded,
    /// The request was cancelled.
    Cancelled,
    /// The deadline passed.
    DeadlineExceeded,
    /// No placer, or the home data centre cannot be reached.
    Unavailable,
    /// The job can never run on the present workers.
    Infeasible,
    /// The runner reported a failure.
    TaskFailed,
    /// The runner was lost while it held the task.
    RunnerLost,
    /// The entry host is shutting down.
    ShuttingDown,
    /// A fault of the scheduler.
    Internal,
}

/// Failure of a request, with its verdict.
#[derive(Clone, Debug, Error, PartialEq, Serialize, Deserialize)]
#[error("{code} ({verdict}): {message}")]
pub struct RequestError {
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub code: ErrorCode,
    /// Explanation for people; says what to do where something can be done.
    pub message: String,
    /// Earliest sensible time for another attempt, from now.
    pub retry_after_ms: Option<u64>,
}

impl RequestError {
    /// An error for a request that certainly did not run.
    pub fn did_not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::DidNotRun,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// An error for a request that may have run.
    pub fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// An error for a request that ran and failed.
    pub fn ran(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::Ran,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Adds the earliest sensible time for another attempt.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// HTTP status for this error; the table is in `docs/design.md`, section 4.2.
    pub fn http_status(&self) -> u16 {
        match (self.code, self.verdict) {
            (ErrorCode::BadRequest, _) => 400,
            (ErrorCode::TooLarge, _) => 413,
            (ErrorCode::Unauthenticated, _) => 401,
            (ErrorCode::Forbidden, _) => 403,
            (ErrorCode::NotFound, _) => 404,
            (ErrorCode::KeyConflict | ErrorCode::Infeasible, _) => 422,
            (ErrorCode::KeyExpired, _) => 410,
            (ErrorCode::Overloaded, _) => 429,
            (ErrorCode::Cancelled, _) => 409,
            (ErrorCode::DeadlineExceeded, _) => 504,
            (ErrorCode::Unavailable | ErrorCode::ShuttingDown, Verdict::MayHaveRun) => 502,
            (ErrorCode::Unavailable | ErrorCode::ShuttingDown, _) => 503,
            (ErrorCode::TaskFailed | ErrorCode::RunnerLost, _) => 502,
            (ErrorCode::Internal, _) => 500,
        }
    }
}

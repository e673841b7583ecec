//! Verdicts on whether a request ran, and the errors that carry them.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a request ran. Every answer and every error has a verdict.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Verdict {
    /// The request was executed and its outcome is known.
    Ran,
    /// The request was not executed, and this attempt will never execute it.
    DidNotRun,
    /// The request may have been executed or may still be running.
    MayHaveRun,
}

/// Machine-readable reason of a [`RequestError`].
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The input is malformed.
    BadRequest,
    /// The payload or the headers exceed their limit.
    TooLarge,
    /// Credentials are missing or wrong.
    Unauthenticated,
    /// The credentials do not permit the operation.
    Forbidden,
    /// The named object is not known.
    NotFound,
    /// The key was used before with another request.
    KeyConflict,
    /// The key is older than the retention of key records.
    KeyExpired,
    /// A quota, a queue limit or admission control refused the request.
    Overloaded,
    /// The request was cancelled.
    Cancelled,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// There is no placer, or the home data centre cannot be reached.
    Unavailable,
    /// No set of the current workers can run the job.
    Infeasible,
    /// The runner reported a failure.
    TaskFailed,
    /// The runner was lost before the task ended.
    RunnerLost,
    /// The entry host is shutting down.
    ShuttingDown,
    /// An internal fault of the scheduler.
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
    /// Human-readable explanation, with the remedy where there is one.
    pub message: String,
    /// Minimum time to wait before another attempt; absent when none is recommended.
    pub retry_after_ms: Option<u64>,
}

impl RequestError {
    /// Creates an error for a request that is certain not to have run.
    pub fn did_not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::DidNotRun,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates an error for a request that may have run.
    pub fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates an error for a request that ran and failed.
    pub fn ran(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::Ran,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the minimum time to wait before another attempt.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the HTTP status for this error, as in the table of section 4.2 of `docs/design.md`.
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

//! Payload with instructions for the stand-in runner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Duration of work without an end; a longer one could overflow the clock.
const UNTIL_STOPPED: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// Instructions for the stand-in runner, as JSON. The runner echoes any other payload unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StandInPayload {
    /// Duration of the execution unless `until_stopped` is set.
    pub work_ms: u64,
    /// Whether the execution fails when it ends.
    pub fail: bool,
    /// Minimum size of the answer; a shorter `echo` is padded.
    pub answer_bytes: usize,
    /// Text at the start of the answer.
    pub echo: String,
    /// Id of the worker on which the execution fails; empty for none.
    pub fail_on: String,
    /// Whether the execution runs until it is stopped, as a long-running service does.
    pub until_stopped: bool,
}

impl StandInPayload {
    /// Returns the duration of the execution unless it is stopped.
    pub fn work(&self) -> Duration {
        if self.until_stopped {
            return UNTIL_STOPPED;
        }
        Duration::from_millis(self.work_ms)
    }

    /// Whether the execution fails on the worker.
    pub fn fails_on(&self, worker: &str) -> bool {
        self.fail || (!self.fail_on.is_empty() && self.fail_on == worker)
    }

    /// Returns the answer: `echo`, padded to `answer_bytes`.
    pub fn answer(&self) -> Vec<u8> {
        let mut answer = self.echo.clone().into_bytes();
        answer.resize(answer.len().max(self.answer_bytes), b'.');
        answer
    }
}

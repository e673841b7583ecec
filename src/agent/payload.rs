//! Instructions that the stand-in runner understands.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Stands for no end; a longer duration could overflow the clock.
const UNTIL_STOPPED: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// Payload of a request to the stand-in runner; any other payload is answered as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StandInPayload {
    /// Duration of the execution.
    pub work_ms: u64,
    /// Whether the execution fails at its end.
    pub fail: bool,
    /// Size of the answer.
    pub answer_bytes: usize,
    /// Text that the answer starts with.
    pub echo: String,
    /// Worker on which the execution fails.
    pub fail_on: String,
    /// Whether it runs until it is stopped, as a service does.
    pub until_stopped: bool,
}

impl StandInPayload {
    /// How long the execution takes unless it is stopped.
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

    /// The answer: `echo`, padded to `answer_bytes`.
    pub fn answer(&self) -> Vec<u8> {
        let mut answer = self.echo.clone().into_bytes();
        answer.resize(answer.len().max(self.answer_bytes), b'.');
        answer
    }
}

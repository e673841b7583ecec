//! Decides whether a request may wait for a slot.

/// Shortest pause that a refused caller is told.
pub const MIN_RETRY_AFTER_MS: u64 = 100;
/// Longest pause that a refused caller is told.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// What is known when a request asks to wait.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Requests of the member that would be served before it.
    pub ahead: usize,
    /// Requests of the member that the service starts per second; zero when unknown.
    pub starts_per_second: f64,
    /// Expected execution time.
    pub execution_ms: u64,
    /// Time until the deadline.
    pub remaining_ms: u64,
    /// Whether waiting has exceeded the target for the whole interval.
    pub standing_delay: bool,
    /// Target of the waiting time.
    pub target_delay_ms: u64,
}

/// Why a request may not wait.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Explanation for people.
    pub message: String,
    /// Earliest sensible time for another attempt.
    pub retry_after_ms: u64,
}

impl Demand {
    /// Expected waiting time; zero while the rate is unknown.
    pub fn expected_wait_ms(&self) -> u64 {
        if self.starts_per_second <= 0.0 {
            return 0;
        }
        (self.ahead as f64 * 1_000.0 / self.starts_per_second) as u64
    }

    /// Time until the backlog will have shrunk to the target.
    pub fn retry_after_ms(&self) -> u64 {
        self.expected_wait_ms()
            .saturating_sub(self.target_delay_ms)
            .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Refuses a request that would miss its deadline, or would lengthen a standing delay.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the pause after which the backlog permits another attempt.
    pub fn check(&self) -> Result<(), Refusal> {
        // With nothing ahead the estimate says nothing about this request.
        if self.ahead == 0 {
            return Ok(());
        }
        let wait_ms = self.expected_wait_ms();
        if wait_ms + self.execution_ms > self.remaining_ms {
            return Err(self.refusal(format!(
                "the deadline cannot be met: {} requests of the member are ahead, \
                 about {wait_ms} ms of waiting",
                self.ahead
            )));
        }
        if self.standing_delay && wait_ms > self.target_delay_ms {
            return Err(self.refusal(format!(
                "the member's requests wait longer than {} ms; {} are ahead",
                self.target_delay_ms, self.ahead
            )));
        }
        Ok(())
    }

    /// A refusal with the pause that follows from the backlog.
    pub fn refusal(&self, message: String) -> Refusal {
        Refusal {
            message,
            retry_after_ms: self.retry_after_ms(),
        }
    }
}

/// Detects that waiting times stay above a target, as opposed to a short burst.
#[derive(Clone, Debug, Default)]
pub struct StandingDelay {
    above_since_us: Option<u64>,
}

impl StandingDelay {
    /// Records the waiting time of a request that left the queue.
    pub fn record(&mut self, waited_us: u64, target_us: u64, now_us: u64) {
        if waited_us < target_us {
            self.above_since_us = None;
        } else {
            self.above_since_us.get_or_insert(now_us);
        }
    }

    /// Forgets the delay when the queue has become empty.
    pub fn clear(&mut self) {
        self.above_since_us = None;
    }

    /// Whether every waiting time was above the target for the whole interval.
    pub fn is_standing(&self, interval_us: u64, now_us: u64) -> bool {
        self.above_since_us
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= interval_us)
    }
}

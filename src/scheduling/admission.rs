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
///
/// It begins after an interval in which no request waited less than half of the target, counted
/// from the first that exceeded the target, and ends after an interval in which none exceeded the
/// half. Ending it earlier, for example when the queue is empty after shedding, would let the
/// queue grow to its former length again and again during one flood.
#[derive(Clone, Debug, Default)]
pub struct StandingDelay {
    above_since_us: Option<u64>,
    below_since_us: Option<u64>,
    standing: bool,
    recorded_us: u64,
}

impl StandingDelay {
    /// Records the waiting time of a request that left the queue.
    pub fn record(&mut self, waited_us: u64, target_us: u64, interval_us: u64, now_us: u64) {
        if now_us.saturating_sub(self.recorded_us) > interval_us {
            // Nothing left the queue for an interval; what was seen before tells nothing.
            *self = Self::default();
        }
        self.recorded_us = now_us;
        if waited_us < target_us / 2 {
            self.above_since_us = None;
            let since_us = *self.below_since_us.get_or_insert(now_us);
            self.standing &= now_us - since_us < interval_us;
            return;
        }
        self.below_since_us = None;
        if waited_us >= target_us {
            self.above_since_us.get_or_insert(now_us);
        }
        let above_us = self.above_since_us.map_or(0, |since_us| now_us - since_us);
        self.standing |= above_us >= interval_us;
    }

    /// Whether requests are to be shed.
    pub fn is_standing(&self, interval_us: u64, now_us: u64) -> bool {
        self.standing && now_us.saturating_sub(self.recorded_us) <= interval_us
    }
}

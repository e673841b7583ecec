//! Decides whether a request may wait for a slot.

/// Shortest retry delay that a refusal carries.
pub const MIN_RETRY_AFTER_MS: u64 = 100;
/// Longest retry delay that a refusal carries.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Inputs of the admission decision for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionInput {
    /// Waiting requests of the same member that would be served first.
    pub ahead: usize,
    /// Requests of the member that the service starts per second; zero when unknown.
    pub starts_per_second: f64,
    /// Expected execution time.
    pub execution_ms: u64,
    /// Time until the deadline.
    pub remaining_ms: u64,
    /// Whether [`StandingDelay`] reports waiting times that stay above the target.
    pub standing_delay: bool,
    /// Target for the waiting time.
    pub target_delay_ms: u64,
}

/// Why a request may not wait.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Reason in words, for the caller's error message.
    pub message: String,
    /// Delay after which the caller should retry.
    pub retry_after_ms: u64,
}

impl AdmissionInput {
    /// Expected waiting time; zero while the rate is unknown.
    pub fn expected_wait_ms(&self) -> u64 {
        if self.starts_per_second <= 0.0 {
            return 0;
        }
        (self.ahead as f64 * 1_000.0 / self.starts_per_second) as u64
    }

    /// Expected time until the waiting time has fallen to the target, within the limits of a
    /// retry delay.
    pub fn retry_after_ms(&self) -> u64 {
        self.expected_wait_ms()
            .saturating_sub(self.target_delay_ms)
            .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Refuses a request that would miss its deadline or prolong a standing delay.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the delay after which the backlog should permit another attempt.
    pub fn check(&self) -> Result<(), Refusal> {
        // Without requests ahead, the waiting time can't be estimated from the backlog.
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

    /// Returns a refusal whose retry delay follows from the backlog.
    pub fn refusal(&self, message: String) -> Refusal {
        Refusal {
            message,
            retry_after_ms: self.retry_after_ms(),
        }
    }
}

/// Detects waiting times that stay above a target, as opposed to a short burst.
///
/// A standing delay begins after an interval in which no request waited less than half of the
/// target, counted from the first request that exceeded the target. It ends after an interval in
/// which every request waited less than half of the target. If it ended earlier, for example as
/// soon as shedding had emptied the queue, the queue would repeatedly grow to its former length
/// during one overload.
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
            // No request left the queue for an interval, so earlier observations are obsolete.
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

    /// Whether the delay is standing, so that requests have to be shed.
    pub fn is_standing(&self, interval_us: u64, now_us: u64) -> bool {
        self.standing && now_us.saturating_sub(self.recorded_us) <= interval_us
    }
}

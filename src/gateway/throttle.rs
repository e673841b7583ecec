//! Sheds requests at the entry host while their placer refuses most of them.
//!
//! Each host decides from its own requests: it passes on at most `ACCEPT_FACTOR` times as many as
//! the placer accepts. The placer thus sees at most that many times its capacity for a flood,
//! whatever the number of hosts. Bounds: a member of whose requests the placer accepts at least
//! one in `ACCEPT_FACTOR` is never shed, one request per `PROBE_INTERVAL` always passes, and
//! shedding ends at the latest `LONGEST_SHEDDING` after the last refusal by the placer.

#[cfg(test)]
mod tests;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{DataCentreName, MemberId, ServiceName};
use crate::placer::Outcome;
use crate::protocol::caller::Urgency;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Requests passed on per accepted request. With two, the placer's capacity is used in full even
/// when half of the passed requests meet a full queue.
const ACCEPT_FACTOR: f64 = 2.0;
/// Refusals that are passed on before shedding starts, so that a few of them shed nothing.
const SPARE_REQUESTS: f64 = 10.0;
/// Time in which the weight of a request falls to a half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Shortest time between requests that pass in any case.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that one refusal keeps the throttle active.
const LONGEST_SHEDDING: Duration = Duration::from_secs(3);
/// Throttled kinds of requests; an early one starts anew when there are more.
const MAX_WINDOWS: usize = 20_000;

/// Requests that are throttled together. Urgencies are kept apart, since a placer that refuses
/// low urgency may accept urgent requests of the same member.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ThrottleKey {
    /// Data centre whose placer decides.
    pub data_centre: DataCentreName,
    /// Member.
    pub member: MemberId,
    /// Service.
    pub service: ServiceName,
    /// Urgency.
    pub urgency: Urgency,
}

struct Window {
    requests: f64,
    accepts: f64,
    updated_at: Instant,
    sheds_until: Instant,
    passed_at: Instant,
}

impl Window {
    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.requests *= factor;
        self.accepts *= factor;
        self.updated_at = now;
    }

    fn shed_probability(&self) -> f64 {
        let excess = self.requests - ACCEPT_FACTOR * self.accepts - SPARE_REQUESTS;
        (excess / (self.requests + 1.0)).max(0.0)
    }
}

/// Throttle of one entry host.
#[derive(Default)]
pub struct Throttle {
    /// Present for kinds of requests that were refused recently.
    windows: Mutex<IndexMap<ThrottleKey, Window>>,
}

impl Throttle {
    /// Decides whether a request is passed on; `random` is from 0 to 1.
    ///
    /// # Errors
    ///
    /// `Overloaded` with verdict `did_not_run` and the time after which shedding may end.
    pub fn check(&self, key: &ThrottleKey, now: Instant, random: f64) -> Result<(), RequestError> {
        let mut windows = self.windows.lock().unwrap();
        let Some(window) = windows.get_mut(key) else {
            return Ok(());
        };
        if now >= window.sheds_until {
            windows.swap_remove(key);
            return Ok(());
        }
        window.decay(now);
        let probe = now.saturating_duration_since(window.passed_at) >= PROBE_INTERVAL;
        if probe || random >= window.shed_probability() {
            window.passed_at = now;
            return Ok(());
        }
        window.requests += 1.0;
        let remaining = window.sheds_until.saturating_duration_since(now);
        let message = "the placer refuses most requests of this member and urgency at present";
        Err(RequestError::did_not_run(ErrorCode::Overloaded, message)
            .retry_after_ms(remaining.as_millis() as u64))
    }

    /// Records what the placer answered to a request that was passed on.
    pub fn record(&self, key: &ThrottleKey, outcome: &Outcome, now: Instant) {
        let refusal = outcome.as_ref().err().filter(|error| {
            error.code == ErrorCode::Overloaded && error.verdict == Verdict::DidNotRun
        });
        let mut windows = self.windows.lock().unwrap();
        let Some(refusal) = refusal else {
            if let Some(window) = windows.get_mut(key) {
                window.decay(now);
                window.requests += 1.0;
                window.accepts += 1.0;
            }
            return;
        };
        if !windows.contains_key(key) {
            if windows.len() >= MAX_WINDOWS {
                windows.swap_remove_index(0);
            }
            let window = Window {
                requests: 0.0,
                accepts: 0.0,
                updated_at: now,
                sheds_until: now,
                passed_at: now,
            };
            windows.insert(key.clone(), window);
        }
        let window = &mut windows[key];
        window.decay(now);
        window.requests += 1.0;
        let retry_after = Duration::from_millis(refusal.retry_after_ms.unwrap_or_default());
        let shedding = retry_after.clamp(PROBE_INTERVAL * 2, LONGEST_SHEDDING);
        window.sheds_until = window.sheds_until.max(now + shedding);
    }
}

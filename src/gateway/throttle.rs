//! Sheds requests at the entry host while their placer refuses most of them.
//!
//! Each host decides from its own requests: it forwards at most `ACCEPT_FACTOR` times as many
//! requests as the placer accepts. During a flood the placer thus receives at most that multiple of
//! its capacity, whatever the number of hosts. Three bounds hold:
//!
//! - The requests of a member are never shed while the placer accepts at least one in
//!   `ACCEPT_FACTOR` of them.
//! - One request per `PROBE_INTERVAL` is always forwarded.
//! - Shedding ends at the latest `MAX_SHEDDING_TIME` after the last refusal by the placer.

#[cfg(test)]
mod tests;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{DataCentreName, MemberId, ServiceName};
use crate::placer::Outcome;
use crate::protocol::caller::Urgency;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Requests forwarded per accepted request. With two, the placer's capacity is used in full even
/// when half of the forwarded requests meet a full queue.
const ACCEPT_FACTOR: f64 = 2.0;
/// Refusals that are tolerated before shedding starts, so that a few of them shed nothing.
const TOLERATED_REFUSALS: f64 = 10.0;
/// Time after which the weight of a past request is halved.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time without a forwarded request after which the next request is always forwarded.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which one refusal keeps the throttle active.
const MAX_SHEDDING_TIME: Duration = Duration::from_secs(3);
/// Maximum number of throttle keys with a window. Above it, an early window is dropped, and its key
/// starts again without history.
const MAX_WINDOWS: usize = 20_000;

/// Requests that are throttled together. Urgencies are kept apart, since a placer that refuses
/// low urgency may accept urgent requests of the same member.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ThrottleKey {
    /// Data centre whose placer decides.
    pub data_centre: DataCentreName,
    /// Member on whose behalf the requests are submitted.
    pub member: MemberId,
    /// Service that the requests call.
    pub service: ServiceName,
    /// Urgency of the requests.
    pub urgency: Urgency,
}

/// Decaying counts of the requests of one throttle key.
struct Window {
    /// Requests of callers, shed ones included.
    requests: f64,
    /// Requests that the placer did not refuse as overloaded.
    accepts: f64,
    updated_at: Instant,
    shed_until: Instant,
    last_forwarded_at: Instant,
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
        let excess = self.requests - ACCEPT_FACTOR * self.accepts - TOLERATED_REFUSALS;
        (excess / (self.requests + 1.0)).max(0.0)
    }
}

/// Throttle of one entry host.
#[derive(Default)]
pub struct Throttle {
    /// Windows of the keys whose requests the placer refused recently.
    windows: Mutex<IndexMap<ThrottleKey, Window>>,
}

impl Throttle {
    /// Decides whether a request is forwarded. `random` is a uniform number from 0 to 1.
    ///
    /// # Errors
    ///
    /// `Overloaded` with verdict `did_not_run` and the time after which shedding may end.
    pub fn check(&self, key: &ThrottleKey, now: Instant, random: f64) -> Result<(), RequestError> {
        let mut windows = self.windows.lock().unwrap();
        let Some(window) = windows.get_mut(key) else {
            return Ok(());
        };
        if now >= window.shed_until {
            windows.swap_remove(key);
            return Ok(());
        }
        window.decay(now);
        let probe = now.saturating_duration_since(window.last_forwarded_at) >= PROBE_INTERVAL;
        if probe || random >= window.shed_probability() {
            window.last_forwarded_at = now;
            return Ok(());
        }
        window.requests += 1.0;
        let remaining = window.shed_until.saturating_duration_since(now);
        let message = "the placer refuses most requests of this member and urgency at present";
        Err(RequestError::did_not_run(ErrorCode::Overloaded, message)
            .retry_after_ms(remaining.as_millis() as u64))
    }

    /// Records the placer's answer to a request that was forwarded.
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
                shed_until: now,
                last_forwarded_at: now,
            };
            windows.insert(key.clone(), window);
        }
        let window = &mut windows[key];
        window.decay(now);
        window.requests += 1.0;
        let retry_after = Duration::from_millis(refusal.retry_after_ms.unwrap_or_default());
        let shedding = retry_after.clamp(PROBE_INTERVAL * 2, MAX_SHEDDING_TIME);
        window.shed_until = window.shed_until.max(now + shedding);
    }
}

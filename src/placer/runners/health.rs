//! Outlier detection: compares the failures and slow executions of a runner with those of the other
//! runners of its service for the same kinds of requests.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::RunnerSlot;
use crate::verdict::{ErrorCode, RequestError};

/// Time in which the weight of an observation halves.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Maximum number of request kinds with separate counts. A further kind replaces an earlier one,
/// whose counts start again from zero.
const MAX_KINDS: usize = 256;
/// Minimum number of executions of a kind on other runners for a comparison.
const MIN_COMPARISON: f64 = 5.0;
/// Minimum number of failed or slow executions above the expected number for a quarantine.
const MIN_EXCESS: f64 = 5.0;
/// Standard deviations by which bad executions must exceed the expected number.
const MIN_DEVIATIONS: f64 = 3.0;
/// Fraction of bad executions below which a runner is still worth using and is not quarantined.
const MIN_BAD_FRACTION: f64 = 0.2;
/// Multiple of the mean duration on the other runners above which an execution is slow.
const SLOW_FACTOR: f64 = 4.0;
/// Minimum duration of a slow execution.
const MIN_SLOW: Duration = Duration::from_millis(100);
/// Initial time without requests in a quarantine; doubles with each failed probe.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
/// Upper bound of the time without requests after failed probes.
const MAX_QUARANTINE: Duration = Duration::from_secs(300);
/// Consecutive successful probes that end a quarantine.
const PROBES_TO_RELEASE: u32 = 3;
/// Time after which a probe without a result counts as lost and another probe is sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of a request on a runner, as outlier detection counts it.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// Whether the runner failed, was lost or refused the task.
    pub failed: bool,
    /// Time from the reservation of the slot to the end of the request.
    pub elapsed: Duration,
}

impl Execution {
    /// Derives the result on the runner from the outcome of an attempt.
    pub fn of<T>(outcome: &Result<T, RequestError>, slot: &RunnerSlot, now: Instant) -> Self {
        let failed = outcome.as_ref().is_err_and(|error| {
            matches!(
                error.code,
                ErrorCode::TaskFailed
                    | ErrorCode::RunnerLost
                    | ErrorCode::Unavailable
                    | ErrorCode::DeadlineExceeded
                    | ErrorCode::Internal
            )
        });
        Self {
            failed,
            elapsed: now.saturating_duration_since(slot.reserved_at),
        }
    }
}

/// Counts of executions, decayed exponentially.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    attempts: f64,
    bad: f64,
    seconds: f64,
    updated_at: Option<Instant>,
}

impl Counts {
    fn decay(&mut self, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.attempts *= factor;
        self.bad *= factor;
        self.seconds *= factor;
        self.updated_at = Some(now);
    }

    fn add(&mut self, bad: bool, elapsed: Duration, now: Instant) {
        self.decay(now);
        self.attempts += 1.0;
        self.bad += if bad { 1.0 } else { 0.0 };
        self.seconds += elapsed.as_secs_f64();
    }

    /// Subtracts a part of these counts.
    fn without(&self, part: &Self) -> Self {
        Self {
            attempts: (self.attempts - part.attempts).max(0.0),
            bad: (self.bad - part.bad).max(0.0),
            seconds: (self.seconds - part.seconds).max(0.0),
            updated_at: None,
        }
    }

    fn bad_fraction(&self) -> f64 {
        (self.bad / self.attempts.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// Counts by kind of request.
#[derive(Clone, Debug, Default)]
pub(super) struct KindCounts(IndexMap<String, Counts>);

impl KindCounts {
    fn of(&mut self, kind: &str, now: Instant) -> &mut Counts {
        if !self.0.contains_key(kind) {
            if self.0.len() >= MAX_KINDS {
                self.0.swap_remove_index(0);
            }
            self.0.insert(kind.to_owned(), Counts::default());
        }
        let counts = &mut self.0[kind];
        counts.decay(now);
        counts
    }
}

#[derive(Clone, Debug)]
struct Quarantine {
    ends_at: Instant,
    duration: Duration,
    good_probes: u32,
    /// When the outstanding probe was sent.
    probe_sent_at: Option<Instant>,
}

/// Executions and quarantine of one runner.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    kinds: KindCounts,
    quarantine: Option<Quarantine>,
}

impl Health {
    pub(super) fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    /// Whether the runner may receive a request now, either a regular one or a probe.
    pub(super) fn admits(&self, now: Instant) -> bool {
        let Some(quarantine) = &self.quarantine else {
            return true;
        };
        let probing = quarantine
            .probe_sent_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROBE_TIMEOUT);
        now >= quarantine.ends_at && !probing
    }

    /// Records that a request is sent to the runner, which is a probe in a quarantine.
    pub(super) fn request_sent(&mut self, now: Instant) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.probe_sent_at = Some(now);
        }
    }

    /// Records an execution. `service` contains the counts of all runners of the service. Returns
    /// whether the runner deviates so far from the others that it should be quarantined.
    pub(super) fn record(
        &mut self,
        service: &mut KindCounts,
        kind: &str,
        execution: &Execution,
        now: Instant,
    ) -> bool {
        let all = service.of(kind, now);
        let own = self.kinds.of(kind, now);
        let others = all.without(own);
        let comparable = others.attempts >= MIN_COMPARISON;
        let mean_seconds = others.seconds / others.attempts.max(1.0);
        let slow = comparable
            && execution.elapsed > MIN_SLOW
            && execution.elapsed.as_secs_f64() > SLOW_FACTOR * mean_seconds;
        let bad = execution.failed || slow;
        all.add(bad, execution.elapsed, now);
        own.add(bad, execution.elapsed, now);
        if self.quarantine.is_some() {
            let usually_bad = comparable && others.bad_fraction() > 0.5;
            self.record_probe(bad, usually_bad, now);
            return false;
        }
        bad && self.deviates(service, now)
    }

    fn record_probe(&mut self, bad: bool, usually_bad: bool, now: Instant) {
        let Some(quarantine) = &mut self.quarantine else {
            return;
        };
        // Requests that were already running when the quarantine began are not probes.
        if quarantine.probe_sent_at.take().is_none() {
            return;
        }
        if bad && usually_bad {
            return;
        }
        if bad {
            quarantine.good_probes = 0;
            quarantine.duration = (quarantine.duration * 2).min(MAX_QUARANTINE);
            quarantine.ends_at = now + quarantine.duration;
            return;
        }
        quarantine.good_probes += 1;
        if quarantine.good_probes >= PROBES_TO_RELEASE {
            *self = Self::default();
        }
    }

    /// Compares the runner with the others over all kinds. Kinds with too few executions on other
    /// runners are skipped, and a kind that fails on all runners is expected to fail here too.
    fn deviates(&mut self, service: &mut KindCounts, now: Instant) -> bool {
        let (mut attempts, mut bad, mut expected) = (0.0, 0.0, 0.0);
        for (kind, own) in &mut self.kinds.0 {
            own.decay(now);
            let others = service.of(kind, now).without(own);
            if others.attempts < MIN_COMPARISON {
                continue;
            }
            attempts += own.attempts;
            bad += own.bad;
            expected += own.attempts * others.bad_fraction();
        }
        let excess = bad - expected;
        excess >= MIN_EXCESS
            && excess >= MIN_DEVIATIONS * f64::sqrt(expected + 1.0)
            && bad >= MIN_BAD_FRACTION * attempts
    }

    pub(super) fn quarantine(&mut self, now: Instant) {
        self.quarantine = Some(Quarantine {
            ends_at: now + FIRST_QUARANTINE,
            duration: FIRST_QUARANTINE,
            good_probes: 0,
            probe_sent_at: None,
        });
    }
}

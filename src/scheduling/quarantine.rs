//! Detects and quarantines workers that fail the tasks they start.
//!
//! Each outcome on a worker is compared with the failure rate of the same workload on all other
//! workers. The log-likelihood ratio between "this worker fails nearly everything" and "this worker
//! is like the others" is summed over all workloads and never falls below zero (a CUSUM test). Any
//! success on the worker is therefore strong evidence in its favour.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::ledger::WorkerIndex;

/// Failure probability of a faulty worker that the test assumes.
const FAULTY_RATE: f64 = 0.95;
/// Evidence that leads to quarantine; about one false alarm in 10 million independent sequences.
const THRESHOLD: f64 = 16.0;
/// Maximum evidence from a workload that has not succeeded on other workers in the meantime. A new
/// version that fails everywhere thus never suffices on its own.
const MAX_PER_WORKLOAD: f64 = 6.0;
/// Successes on other workers, since the first failure on this one, that lift `MAX_PER_WORKLOAD`,
/// provided that there were few failures on other workers in the same time.
const CLEARING_SUCCESSES: u32 = 10;
/// Outcomes of a workload on other workers that are required before it counts as evidence.
const MIN_ELSEWHERE: f64 = 3.0;
/// Decayed number of outcomes of a workload from which on the older ones are halved before a new
/// outcome is added.
const RATE_WINDOW: f64 = 40.0;
/// Time before the first probe; doubled after each failed probe.
const PROBE_AFTER: Duration = Duration::from_secs(60);
/// Maximum time between probes.
const MAX_PROBE_AFTER: Duration = Duration::from_secs(3_600);
/// Number of probe tasks that have to succeed before a worker is released.
const PROBES_TO_RELEASE: u32 = 3;
/// Reciprocal of the maximum fraction of quarantined workers; more failures than that point to a
/// cause outside the workers. One worker may always be quarantined.
const MAX_QUARANTINED_DIVISOR: usize = 10;

/// Health of a worker, which decides whether it accepts tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// The worker accepts tasks without restriction.
    Healthy,
    /// The worker accepts no tasks until it is probed.
    Quarantined {
        /// When probing begins.
        probe_at: Instant,
    },
    /// The worker accepts one task at a time.
    Probing {
        /// Number of probe tasks that succeeded.
        passed: u32,
        /// Whether a probe task is running.
        busy: bool,
    },
}

/// Outcomes of a workload on all workers.
#[derive(Default)]
struct Rate {
    /// Decayed number of failures.
    failures: f64,
    /// Decayed number of outcomes.
    outcomes: f64,
    /// Successes and failures since the first outcome.
    totals: (u32, u32),
}

/// Contribution of a workload to the evidence against a worker.
struct Evidence {
    /// Sum of the log-likelihood ratios.
    amount: f64,
    /// Totals of the workload on all workers when this entry was created.
    successes_before: u32,
    failures_before: u32,
    /// Outcomes on this worker since then.
    failures: f64,
    outcomes: f64,
}

struct WorkerHealth {
    state: HealthState,
    probe_after: Duration,
    /// Log-likelihood ratio over all workloads; never below zero. A separate sum per workload would
    /// keep one failure of each workload forever, so that healthy workers reached the threshold.
    total: f64,
    /// Contributions since `total` was last zero.
    evidence: IndexMap<String, Evidence>,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            probe_after: PROBE_AFTER,
            total: 0.0,
            evidence: IndexMap::new(),
        }
    }
}

/// Failure rates of workloads and the health of workers.
#[derive(Default)]
pub struct Quarantine {
    rates: IndexMap<String, Rate>,
    workers: IndexMap<WorkerIndex, WorkerHealth>,
    quarantined: usize,
}

impl Quarantine {
    /// Health of a worker.
    pub fn health_state(&self, worker: WorkerIndex) -> HealthState {
        let health = self.workers.get(&worker);
        health.map_or(HealthState::Healthy, |health| health.state)
    }

    /// Whether a worker may receive a task now.
    pub fn accepts_tasks(&self, worker: WorkerIndex) -> bool {
        match self.health_state(worker) {
            HealthState::Healthy => true,
            HealthState::Quarantined { .. } => false,
            HealthState::Probing { busy, .. } => !busy,
        }
    }

    /// Number of workers that are in quarantine or being probed.
    pub fn quarantined(&self) -> usize {
        self.quarantined
    }

    /// Workers that are being probed.
    pub fn probing(&self) -> impl Iterator<Item = WorkerIndex> {
        let workers = self
            .workers
            .iter()
            .take(if self.quarantined == 0 { 0 } else { usize::MAX });
        let probing =
            workers.filter(|(_, health)| matches!(health.state, HealthState::Probing { .. }));
        probing.map(|(&worker, _)| worker)
    }

    /// Records the start of a task, which makes a worker that is being probed busy.
    pub fn record_start(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.get_mut(&worker)
            && let HealthState::Probing { passed, .. } = health.state
        {
            health.state = HealthState::Probing { passed, busy: true };
        }
    }

    /// Records the end of a task that is evidence neither for nor against the worker.
    pub fn record_inconclusive(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.get_mut(&worker)
            && let HealthState::Probing { passed, .. } = health.state
        {
            health.state = HealthState::Probing {
                passed,
                busy: false,
            };
        }
    }

    /// Records the outcome of a task on a worker; returns whether the health of the worker may have
    /// changed. `fleet` is the number of known workers.
    pub fn record(
        &mut self,
        worker: WorkerIndex,
        workload: &str,
        failed: bool,
        fleet: usize,
        now: Instant,
    ) -> bool {
        let rate = self.rates.entry(workload.to_owned()).or_default();
        let health = self.workers.entry(worker).or_default();
        let weight = update_evidence(health, rate, workload, failed);
        rate.add(failed);
        match health.state {
            HealthState::Quarantined { .. } => false,
            HealthState::Probing { passed, .. } => {
                let released = health.probe_result(failed, passed, now);
                self.quarantined -= usize::from(released);
                true
            }
            HealthState::Healthy => {
                let below_limit = self.quarantined < (fleet / MAX_QUARANTINED_DIVISOR).max(1);
                if weight < THRESHOLD || !below_limit {
                    return false;
                }
                health.quarantine(now);
                self.quarantined += 1;
                true
            }
        }
    }

    /// Begins to probe the workers whose quarantine has ended; returns them.
    pub fn begin_probes(&mut self, now: Instant) -> Vec<WorkerIndex> {
        if self.quarantined == 0 {
            return Vec::new();
        }
        let mut probing = Vec::new();
        for (&worker, health) in &mut self.workers {
            if matches!(health.state, HealthState::Quarantined { probe_at } if probe_at <= now) {
                health.state = HealthState::Probing {
                    passed: 0,
                    busy: false,
                };
                probing.push(worker);
            }
        }
        probing
    }

    /// Removes the history of a worker, for example after a restart as a new incarnation.
    pub fn remove_worker(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.swap_remove(&worker)
            && health.state != HealthState::Healthy
        {
            self.quarantined -= 1;
        }
    }
}

impl WorkerHealth {
    fn quarantine(&mut self, now: Instant) {
        self.total = 0.0;
        self.evidence.clear();
        self.state = HealthState::Quarantined {
            probe_at: now + self.probe_after,
        };
        self.probe_after = (self.probe_after * 2).min(MAX_PROBE_AFTER);
    }

    /// Records the result of a probe task; returns whether the worker is released.
    fn probe_result(&mut self, failed: bool, passed: u32, now: Instant) -> bool {
        if failed {
            self.quarantine(now);
            return false;
        }
        let passed = passed + 1;
        if passed < PROBES_TO_RELEASE {
            self.state = HealthState::Probing {
                passed,
                busy: false,
            };
            return false;
        }
        *self = Self::default();
        true
    }
}

impl Rate {
    fn add(&mut self, failed: bool) {
        let keep = if self.outcomes >= RATE_WINDOW {
            0.5
        } else {
            1.0
        };
        self.failures = self.failures * keep + f64::from(u8::from(failed));
        self.outcomes = self.outcomes * keep + 1.0;
        self.totals.0 += u32::from(!failed);
        self.totals.1 += u32::from(failed);
    }
}

/// Adds an outcome to the evidence against a worker and returns the total.
fn update_evidence(health: &mut WorkerHealth, rate: &Rate, workload: &str, failed: bool) -> f64 {
    if !failed && health.total <= 0.0 {
        return 0.0;
    }
    let evidence = health.evidence.entry(workload.to_owned());
    let evidence = evidence.or_insert_with(|| Evidence {
        amount: 0.0,
        successes_before: rate.totals.0,
        failures_before: rate.totals.1,
        failures: 0.0,
        outcomes: 0.0,
    });
    // The worker is compared with the rate on the other workers, so its own outcomes are excluded.
    let outcomes = (rate.outcomes - evidence.outcomes).max(0.0);
    let failures = (rate.failures - evidence.failures).clamp(0.0, outcomes);
    let elsewhere = ((failures + 1.0) / (outcomes + 2.0)).min(FAULTY_RATE);
    let ratio = if failed {
        FAULTY_RATE / elsewhere
    } else {
        (1.0 - FAULTY_RATE) / (1.0 - elsewhere)
    };
    let mut change = ratio.ln();
    if failed && !evidence.is_cleared(rate) {
        change = change.min(MAX_PER_WORKLOAD - evidence.amount);
    }
    evidence.outcomes += 1.0;
    evidence.failures += f64::from(u8::from(failed));
    if outcomes >= MIN_ELSEWHERE {
        evidence.amount += change;
        health.total += change;
    }
    if health.total <= 0.0 {
        health.total = 0.0;
        health.evidence.clear();
    }
    health.total
}

impl Evidence {
    /// Whether the workload mostly succeeded on other workers while it failed on this one.
    fn is_cleared(&self, rate: &Rate) -> bool {
        let successes = rate.totals.0.saturating_sub(self.successes_before);
        let failures = rate.totals.1.saturating_sub(self.failures_before);
        let elsewhere = failures.saturating_sub(self.failures as u32);
        successes >= CLEARING_SUCCESSES && elsewhere * 4 <= successes
    }
}

//! Workers that fail the tasks they start.
//!
//! Each outcome on a worker is compared with the failure rate of the same workload on all other
//! workers. The logarithm of the likelihood ratio between "this worker fails nearly everything"
//! and "this worker is like the others" is summed up over all workloads and never falls below zero
//! (a CUSUM test). Any success on the worker therefore counts strongly for it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::ledger::WorkerIndex;

/// Failure probability of a faulty worker in the test.
const FAULTY_RATE: f64 = 0.95;
/// Evidence for a quarantine; about one false alarm in 10 million independent sequences.
const THRESHOLD: f64 = 16.0;
/// Most evidence from one workload that did not also succeed elsewhere in the meantime. A new
/// version that fails everywhere thus never suffices on its own.
const MAX_PER_WORKLOAD: f64 = 6.0;
/// Successes elsewhere, since the first failure here, that lift `MAX_PER_WORKLOAD`, provided that
/// there were few failures elsewhere in the same time.
const CLEARING_SUCCESSES: u32 = 10;
/// Outcomes of a workload on other workers before it counts as evidence.
const MIN_ELSEWHERE: f64 = 3.0;
/// Outcomes after which older ones count half.
const RATE_WINDOW: f64 = 40.0;
/// Time before the first probe; doubled after each failed probe.
const PROBE_AFTER: Duration = Duration::from_secs(60);
/// Longest time between probes.
const MAX_PROBE_AFTER: Duration = Duration::from_secs(3_600);
/// Probe tasks that have to succeed for a release.
const PROBES_TO_RELEASE: u32 = 3;
/// At most one worker in so many is in quarantine; more point to a cause outside the workers.
const MAX_QUARANTINED_DIVISOR: usize = 10;

/// Whether a worker gets tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// As usual.
    Healthy,
    /// None until the probe.
    Quarantined {
        /// Time of the probe.
        probe_at: Instant,
    },
    /// One at a time.
    Probing {
        /// Probes that succeeded.
        passed: u32,
        /// Whether a probe task is running.
        busy: bool,
    },
}

#[derive(Default)]
struct Rate {
    failures: f64,
    outcomes: f64,
    /// All successes and failures.
    totals: (u32, u32),
}

/// What a workload contributed to the evidence against a worker.
struct Evidence {
    amount: f64,
    /// Outcomes of the workload in all when its first failure here was seen.
    successes_before: u32,
    failures_before: u32,
    /// Outcomes here since then.
    failures: f64,
    outcomes: f64,
}

struct WorkerHealth {
    standing: Standing,
    probe_after: Duration,
    /// Logarithm of the likelihood ratio over all workloads; never below zero. Summing it per
    /// workload instead would keep one failure of each workload for ever and let healthy workers
    /// reach the threshold.
    total: f64,
    /// Contributions since `total` was last zero.
    evidence: IndexMap<String, Evidence>,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            standing: Standing::Healthy,
            probe_after: PROBE_AFTER,
            total: 0.0,
            evidence: IndexMap::new(),
        }
    }
}

/// Failure rates of workloads and the standing of workers.
#[derive(Default)]
pub struct Quarantine {
    rates: IndexMap<String, Rate>,
    workers: IndexMap<WorkerIndex, WorkerHealth>,
    quarantined: usize,
}

impl Quarantine {
    /// Standing of a worker.
    pub fn standing(&self, worker: WorkerIndex) -> Standing {
        let health = self.workers.get(&worker);
        health.map_or(Standing::Healthy, |health| health.standing)
    }

    /// Whether a worker may get a task now.
    pub fn accepts(&self, worker: WorkerIndex) -> bool {
        match self.standing(worker) {
            Standing::Healthy => true,
            Standing::Quarantined { .. } => false,
            Standing::Probing { busy, .. } => !busy,
        }
    }

    /// Workers in quarantine or being probed.
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
            workers.filter(|(_, health)| matches!(health.standing, Standing::Probing { .. }));
        probing.map(|(&worker, _)| worker)
    }

    /// Takes note of a started task; a probing worker is then busy.
    pub fn started(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.get_mut(&worker)
            && let Standing::Probing { passed, .. } = health.standing
        {
            health.standing = Standing::Probing { passed, busy: true };
        }
    }

    /// Takes note of a task that ended without a verdict on the worker.
    pub fn inconclusive(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.get_mut(&worker)
            && let Standing::Probing { passed, .. } = health.standing
        {
            health.standing = Standing::Probing {
                passed,
                busy: false,
            };
        }
    }

    /// Takes note of an outcome; returns whether the standing of the worker changed.
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
        let weight = weigh(health, rate, workload, failed);
        rate.add(failed);
        match health.standing {
            Standing::Quarantined { .. } => false,
            Standing::Probing { passed, .. } => {
                let released = health.probe_result(failed, passed, now);
                self.quarantined -= usize::from(released);
                true
            }
            Standing::Healthy => {
                let room = self.quarantined < (fleet / MAX_QUARANTINED_DIVISOR).max(1);
                if weight < THRESHOLD || !room {
                    return false;
                }
                health.quarantine(now);
                self.quarantined += 1;
                true
            }
        }
    }

    /// Workers whose quarantine is over and that are probed from now on.
    pub fn begin_probes(&mut self, now: Instant) -> Vec<WorkerIndex> {
        if self.quarantined == 0 {
            return Vec::new();
        }
        let mut probing = Vec::new();
        for (&worker, health) in &mut self.workers {
            if matches!(health.standing, Standing::Quarantined { probe_at } if probe_at <= now) {
                health.standing = Standing::Probing {
                    passed: 0,
                    busy: false,
                };
                probing.push(worker);
            }
        }
        probing
    }

    /// Forgets a worker, for example after a restart as a new incarnation.
    pub fn forget(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.swap_remove(&worker)
            && health.standing != Standing::Healthy
        {
            self.quarantined -= 1;
        }
    }
}

impl WorkerHealth {
    fn quarantine(&mut self, now: Instant) {
        self.total = 0.0;
        self.evidence.clear();
        self.standing = Standing::Quarantined {
            probe_at: now + self.probe_after,
        };
        self.probe_after = (self.probe_after * 2).min(MAX_PROBE_AFTER);
    }

    /// Returns whether the worker is released.
    fn probe_result(&mut self, failed: bool, passed: u32, now: Instant) -> bool {
        if failed {
            self.quarantine(now);
            return false;
        }
        let passed = passed + 1;
        if passed < PROBES_TO_RELEASE {
            self.standing = Standing::Probing {
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

/// Adds an outcome to the evidence against a worker and returns the sum.
fn weigh(health: &mut WorkerHealth, rate: &Rate, workload: &str, failed: bool) -> f64 {
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
    // Outcomes of this worker are taken out of the rate with which it is compared.
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
    /// Whether the workload succeeded elsewhere, and mostly so, while it failed here.
    fn is_cleared(&self, rate: &Rate) -> bool {
        let successes = rate.totals.0.saturating_sub(self.successes_before);
        let failures = rate.totals.1.saturating_sub(self.failures_before);
        let elsewhere = failures.saturating_sub(self.failures as u32);
        successes >= CLEARING_SUCCESSES && elsewhere * 4 <= successes
    }
}

//! Definition of experiments and the plan of their requests.

use std::path::Path;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::agent::payload::StandInPayload;
use crate::protocol::caller::Urgency;

/// Limit of the sending time of an experiment.
const MAX_SECONDS: u64 = 600;
/// Limit of `max_requests` of an experiment.
const MAX_REQUESTS: usize = 1_000_000;
/// Delay between the two requests of a duplicated key.
const DUPLICATE_DELAY_US: u64 = 5_000;

/// Reason why an experiment cannot be used.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is not valid TOML or has an unknown key.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// A value is out of range.
    #[error("{0}")]
    OutOfRange(String),
}

/// An experiment as its file defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name that reports show.
    pub name: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Seconds in which requests are sent, from 1 to 600.
    pub seconds: u64,
    /// Requests after which sending ends early, duplicates not counted.
    pub max_requests: usize,
    /// Limit of requests in flight, from 1 to 2048; further requests wait and may start late.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// Requests per second of all workloads that set no rate of their own, together.
    pub rate_per_second: f64,
    /// Sources of requests; a flood is a workload with a rate, a start and an end.
    pub workloads: Vec<Workload>,
    /// Bursts of cancellations.
    #[serde(default)]
    pub cancellations: Vec<CancellationBurst>,
}

fn default_max_in_flight() -> usize {
    512
}

/// A source of requests from one member to one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workload {
    /// Member on whose behalf requests are sent.
    pub member: String,
    /// Number of callers of the member, used in round-robin order.
    pub callers: usize,
    /// Service that executes the requests.
    pub service: String,
    /// Urgency of all requests of the workload.
    pub urgency: Urgency,
    /// Share of the experiment's `rate_per_second`, relative to the weights of the other workloads
    /// without a rate of their own.
    pub weight: f64,
    /// Requests per second of this workload; a share of the experiment's rate when absent.
    pub rate_per_second: Option<f64>,
    /// Start of sending, in seconds from the start of the run.
    pub from_seconds: f64,
    /// End of sending, in seconds from the start of the run; the end of the experiment when absent.
    pub until_seconds: Option<f64>,
    /// Whether requests arrive at equal intervals instead of by a Poisson process.
    pub even: bool,
    /// Execution time of each request.
    pub work_ms: u64,
    /// Minimum size of each answer, which is padded to it.
    pub answer_bytes: usize,
    /// Timeout of each request; a later answer does not count towards goodput.
    pub timeout_ms: u64,
    /// Requests per thousand that are not idempotent and carry an idempotency key.
    pub non_idempotent_permille: u32,
    /// Requests per thousand of those with a key that are sent twice, with the same key.
    pub duplicate_permille: u32,
    /// Further attempts with the same key while the outcome of a request is unknown.
    pub retries: u32,
    /// Requests per thousand whose execution is instructed to fail.
    pub fail_permille: u32,
    /// Id of a worker whose runner fails every execution; no worker when absent.
    pub fail_on: Option<String>,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            member: "anonymous".to_owned(),
            callers: 1,
            service: "wheel-orders".to_owned(),
            urgency: Urgency::Normal,
            weight: 1.0,
            rate_per_second: None,
            from_seconds: 0.0,
            until_seconds: None,
            even: false,
            work_ms: 5,
            answer_bytes: 0,
            timeout_ms: 10_000,
            non_idempotent_permille: 0,
            duplicate_permille: 0,
            retries: 2,
            fail_permille: 0,
            fail_on: None,
        }
    }
}

/// A burst of cancellations of a member's requests in flight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancellationBurst {
    /// Member whose keyed requests are cancelled.
    pub member: String,
    /// Time of the burst, in seconds from the start of the run.
    pub at_seconds: f64,
    /// Requests per thousand of those in flight that are cancelled.
    pub permille: u32,
}

/// A request of the plan.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Planned start, from the start of the run.
    pub at_us: u64,
    /// Planned start of the first request with the same key; before `at_us` for duplicates.
    pub first_at_us: u64,
    /// Index of its workload in the experiment.
    pub workload: usize,
    /// Number of the request; a duplicate has the number of its original.
    pub number: usize,
    /// Index of the caller within the member.
    pub caller: usize,
    /// Whether the request is idempotent; others carry an idempotency key.
    pub idempotent: bool,
    /// Whether its execution is instructed to fail.
    pub fails: bool,
    /// Whether the request repeats the key of an earlier one.
    pub duplicate: bool,
}

impl Experiment {
    /// Reads and checks an experiment file.
    ///
    /// # Errors
    ///
    /// Returns [`ExperimentError`] with the name of the file or the value that is out of range.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable(name.clone(), error))?;
        let experiment: Self =
            toml::from_str(&text).map_err(|error| ExperimentError::Malformed(name, error))?;
        experiment.check()?;
        Ok(experiment)
    }

    /// Checks that all values are in range, which also bounds the time and the requests.
    ///
    /// # Errors
    ///
    /// Returns [`ExperimentError::OutOfRange`] with the name of the value.
    pub fn check(&self) -> Result<(), ExperimentError> {
        let bounds = [
            (
                self.seconds == 0 || self.seconds > MAX_SECONDS,
                format!("seconds must be from 1 to {MAX_SECONDS}"),
            ),
            (
                self.max_requests == 0 || self.max_requests > MAX_REQUESTS,
                format!("max_requests must be from 1 to {MAX_REQUESTS}"),
            ),
            (
                self.max_in_flight == 0 || self.max_in_flight > 2_048,
                "max_in_flight must be from 1 to 2048".to_owned(),
            ),
            (
                self.workloads.is_empty(),
                "at least one workload is required".to_owned(),
            ),
        ];
        for (violated, message) in bounds {
            if violated {
                return Err(ExperimentError::OutOfRange(message));
            }
        }
        for workload in &self.workloads {
            let rate = self.rate(workload);
            if !rate.is_finite() || rate < 0.0 || workload.callers == 0 || workload.timeout_ms == 0
            {
                let message = format!(
                    "workload of {}: rate, callers and timeout_ms must be positive",
                    workload.member
                );
                return Err(ExperimentError::OutOfRange(message));
            }
        }
        Ok(())
    }

    fn rate(&self, workload: &Workload) -> f64 {
        let shared = self
            .workloads
            .iter()
            .filter(|other| other.rate_per_second.is_none());
        let weights: f64 = shared.map(|other| other.weight).sum();
        workload
            .rate_per_second
            .unwrap_or(self.rate_per_second * workload.weight / weights)
    }

    /// Returns all requests in the order of their planned starts. Equal experiments have equal
    /// plans.
    pub fn plan(&self) -> Vec<PlannedRequest> {
        let mut planned = Vec::new();
        for (index, workload) in self.workloads.iter().enumerate() {
            // Each workload has its own generator, so that its requests do not change when other
            // workloads are added.
            let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(index as u64));
            self.plan_workload(index, workload, &mut rng, &mut planned);
        }
        planned.sort_by_key(|request| request.at_us);
        planned.truncate(self.max_requests);
        let mut duplicates = Vec::new();
        for (number, request) in planned.iter_mut().enumerate() {
            request.number = number;
            if std::mem::take(&mut request.duplicate) {
                duplicates.push(PlannedRequest {
                    at_us: request.at_us + DUPLICATE_DELAY_US,
                    duplicate: true,
                    ..request.clone()
                });
            }
        }
        planned.extend(duplicates);
        planned.sort_by_key(|request| request.at_us);
        planned
    }

    fn plan_workload(
        &self,
        index: usize,
        workload: &Workload,
        rng: &mut StdRng,
        planned: &mut Vec<PlannedRequest>,
    ) {
        let interval_us = 1e6 / self.rate(workload);
        let until = workload.until_seconds.unwrap_or(f64::INFINITY);
        let until_us = until.min(self.seconds as f64) * 1e6;
        let mut at_us = workload.from_seconds * 1e6;
        for number in 0..self.max_requests {
            if number > 0 || !workload.even {
                let factor = if workload.even {
                    1.0
                } else {
                    -(1.0 - rng.random::<f64>()).ln()
                };
                at_us += interval_us * factor;
            }
            if at_us >= until_us {
                return;
            }
            let mut sample = |permille: u32| rng.random_range(0..1_000) < permille;
            let idempotent = !sample(workload.non_idempotent_permille);
            let duplicate = sample(workload.duplicate_permille) && !idempotent;
            planned.push(PlannedRequest {
                at_us: at_us as u64,
                first_at_us: at_us as u64,
                workload: index,
                number: 0,
                caller: number % workload.callers,
                idempotent,
                fails: sample(workload.fail_permille),
                duplicate,
            });
        }
    }

    /// Returns the payload of a request; `token` identifies the request across all runs.
    pub fn payload(&self, planned: &PlannedRequest, token: &str) -> StandInPayload {
        let workload = &self.workloads[planned.workload];
        StandInPayload {
            work_ms: workload.work_ms,
            fail: planned.fails,
            answer_bytes: workload.answer_bytes,
            echo: token.to_owned(),
            fail_on: workload.fail_on.clone().unwrap_or_default(),
            until_stopped: false,
        }
    }
}

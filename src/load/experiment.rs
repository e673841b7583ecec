//! Experiments: what is sent, when and by whom.

use std::path::Path;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::agent::payload::StandInPayload;
use crate::protocol::caller::Urgency;

/// Longest experiment.
const MAX_SECONDS: u64 = 600;
/// Most requests of an experiment.
const MAX_REQUESTS: usize = 1_000_000;
/// Time between the two sendings of a duplicated key.
const DUPLICATE_DELAY_US: u64 = 5_000;

/// An experiment file that cannot be used.
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

/// An experiment, as its file says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name in reports.
    pub name: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time in which requests are sent.
    pub seconds: u64,
    /// Requests after which sending ends early.
    pub max_requests: usize,
    /// Requests in flight at once; later ones count as late and wait.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// Requests per second of all workloads without a rate of their own.
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

/// One source of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workload {
    /// Member that sends.
    pub member: String,
    /// Callers of the member, used in turn.
    pub callers: usize,
    /// Service.
    pub service: String,
    /// Urgency.
    pub urgency: Urgency,
    /// Part of `rate_per_second` relative to the weights of the other workloads.
    pub weight: f64,
    /// Rate of its own instead of a part of the common one.
    pub rate_per_second: Option<f64>,
    /// Start, in seconds.
    pub from_seconds: f64,
    /// End, in seconds; the end of the experiment when absent.
    pub until_seconds: Option<f64>,
    /// Whether requests arrive at equal intervals instead of by a Poisson process.
    pub even: bool,
    /// Execution time.
    pub work_ms: u64,
    /// Size of the answers.
    pub answer_bytes: usize,
    /// Time until a request becomes useless.
    pub timeout_ms: u64,
    /// Requests in a thousand that are not idempotent and carry a key.
    pub non_idempotent_permille: u32,
    /// Requests in a thousand of the keyed ones that are sent twice, with the same key.
    pub duplicate_permille: u32,
    /// Further attempts with the same key when no verdict arrives.
    pub retries: u32,
    /// Requests in a thousand whose execution is instructed to fail.
    pub fail_permille: u32,
    /// Runner on which every execution fails, by worker id.
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

/// Cancels requests of a member that are in flight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancellationBurst {
    /// Member whose keyed requests are cancelled.
    pub member: String,
    /// When, in seconds.
    pub at_seconds: f64,
    /// Requests in a thousand of those in flight.
    pub permille: u32,
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When, from the start.
    pub at_us: u64,
    /// Time of the first sending of its key.
    pub first_at_us: u64,
    /// Workload it belongs to.
    pub workload: usize,
    /// Number of the request; a duplicate has that of its original.
    pub number: usize,
    /// Caller within the member.
    pub caller: usize,
    /// Whether it is idempotent; others carry a key.
    pub idempotent: bool,
    /// Whether its execution is instructed to fail.
    pub fails: bool,
    /// Whether it repeats an earlier key.
    pub duplicate: bool,
}

impl Experiment {
    /// Reads and checks an experiment file.
    ///
    /// # Errors
    ///
    /// [`ExperimentError`] with the file or the value.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable(name.clone(), error))?;
        let experiment: Self =
            toml::from_str(&text).map_err(|error| ExperimentError::Malformed(name, error))?;
        experiment.check()?;
        Ok(experiment)
    }

    /// Checks that the experiment ends and makes sense.
    ///
    /// # Errors
    ///
    /// `OutOfRange` with the value.
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

    /// All requests in the order of their times; the same for the same experiment.
    pub fn plan(&self) -> Vec<Planned> {
        let mut planned = Vec::new();
        for (index, workload) in self.workloads.iter().enumerate() {
            // A generator of its own keeps a workload the same when others are added.
            let mut random = StdRng::seed_from_u64(self.seed.wrapping_add(index as u64));
            self.plan_workload(index, workload, &mut random, &mut planned);
        }
        planned.sort_by_key(|request| request.at_us);
        planned.truncate(self.max_requests);
        let mut duplicates = Vec::new();
        for (number, request) in planned.iter_mut().enumerate() {
            request.number = number;
            if std::mem::take(&mut request.duplicate) {
                duplicates.push(Planned {
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
        random: &mut StdRng,
        planned: &mut Vec<Planned>,
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
                    -(1.0 - random.random::<f64>()).ln()
                };
                at_us += interval_us * factor;
            }
            if at_us >= until_us {
                return;
            }
            let mut chance = |permille: u32| random.random_range(0..1_000) < permille;
            let idempotent = !chance(workload.non_idempotent_permille);
            let duplicate = chance(workload.duplicate_permille) && !idempotent;
            planned.push(Planned {
                at_us: at_us as u64,
                first_at_us: at_us as u64,
                workload: index,
                number: 0,
                caller: number % workload.callers,
                idempotent,
                fails: chance(workload.fail_permille),
                duplicate,
            });
        }
    }

    /// Payload of a request; `token` tells it apart from all others.
    pub fn payload(&self, planned: &Planned, token: &str) -> StandInPayload {
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

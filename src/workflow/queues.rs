//! Queues and services of a cell, replaced as a whole under a version.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{ConfigVersion, ServiceName};

/// A complete configuration. The one with the highest version is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueConfiguration {
    /// Chosen by the operator; grows with each change.
    pub version: ConfigVersion,
    /// The configuration in the operator's own encoding, returned unchanged.
    pub document: Vec<u8>,
    /// Queues; no two have the same address.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: Vec<Service>,
}

/// Where callers find a queue.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct QueueAddress {
    /// Host name that callers use.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
}

/// A queue of workflows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Where callers find it.
    pub address: QueueAddress,
    /// Service whose workers run its tasks.
    pub service: ServiceName,
    /// Zero is the most urgent.
    pub priority: u32,
    /// Failed runs after which a task fails its job.
    pub max_attempts: u32,
    /// Multiple of the longest chain of work that a job may take.
    pub slack_factor: f64,
    /// Time that a job may take beyond that.
    pub target_latency_ms: u64,
    /// Longest that a call of a client may take; never zero.
    pub timeout_ms: u64,
    /// Present when an outside policy decides which workers may run a stage.
    pub placement_policy: Option<PlacementPolicy>,
}

/// Cost and validity of an answer of the placement policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementPolicy {
    /// Fixed time of an answer.
    pub decision_ms: f64,
    /// Further time for each worker asked about.
    pub per_worker_ms: f64,
    /// How long a permit is accepted by its worker.
    pub validity_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Whether its workers refuse what does not fit.
    pub workers_check_capacity: bool,
}

/// Why a configuration is refused.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum QueueConfigurationError {
    /// A queue names a service that is not listed.
    #[error("queue {queue} names the unknown service {service}")]
    UnknownService {
        /// Queue.
        queue: String,
        /// Service.
        service: ServiceName,
    },
    /// Two queues have the same address.
    #[error("two queues are at {host}{path_prefix}")]
    SameAddress {
        /// Host name.
        host: String,
        /// Path prefix.
        path_prefix: String,
    },
    /// A timeout is zero.
    #[error("the timeout of queue {0} is zero")]
    ZeroTimeout(String),
    /// A service is listed twice.
    #[error("service {0} is listed twice")]
    SameService(ServiceName),
}

impl QueueConfiguration {
    /// Checks the configuration as a whole.
    ///
    /// # Errors
    ///
    /// The first fault.
    pub fn validate(&self) -> Result<(), QueueConfigurationError> {
        let mut services = IndexSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                return Err(QueueConfigurationError::SameService(service.name.clone()));
            }
        }
        let mut addresses = IndexSet::new();
        for queue in &self.queues {
            if !services.contains(&queue.service) {
                return Err(QueueConfigurationError::UnknownService {
                    queue: queue.name.clone(),
                    service: queue.service.clone(),
                });
            }
            if !addresses.insert(&queue.address) {
                return Err(QueueConfigurationError::SameAddress {
                    host: queue.address.host.clone(),
                    path_prefix: queue.address.path_prefix.clone(),
                });
            }
            if queue.timeout_ms == 0 {
                return Err(QueueConfigurationError::ZeroTimeout(queue.name.clone()));
            }
        }
        Ok(())
    }

    /// The queue with the longest prefix of the path, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let candidates = self
            .queues
            .iter()
            .filter(|queue| queue.address.host == host);
        let matching = candidates
            .filter_map(|queue| Some((queue, path.strip_prefix(&*queue.address.path_prefix)?)));
        matching.max_by_key(|(queue, _)| queue.address.path_prefix.len())
    }
}

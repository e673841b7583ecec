//! Configures the queues and services of a cell, replaced as a whole under a version.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{ConfigVersion, CustomerName, ServiceName};

/// A complete configuration. The configuration with the highest version is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueConfiguration {
    /// Chosen by the operator; grows with each change.
    pub version: ConfigVersion,
    /// The configuration in the operator's own encoding, returned unchanged.
    pub document: Vec<u8>,
    /// Queues; no two have the same address.
    pub queues: Vec<Queue>,
    /// Pools of workers; no two have the same name.
    pub services: Vec<Service>,
}

/// Address under which callers reach a queue.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct QueueAddress {
    /// Host name in the requests of callers.
    pub host: String,
    /// Prefix of the path; the rest of the path names the job.
    pub path_prefix: String,
}

/// A queue of workflows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name in logs and error messages, and the key of the observed share of workers that the
    /// placement policy grants.
    pub name: String,
    /// Address under which callers reach the queue.
    pub address: QueueAddress,
    /// Service whose workers run the tasks of the queue.
    pub service: ServiceName,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Failed runs after which a task fails its job.
    pub max_attempts: u32,
    /// Multiple of the run time of the longest chain of stages that is part of a job's objective.
    pub slack_factor: f64,
    /// Time that is added to that multiple in the objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest time that a call of a client may take, in milliseconds; never zero.
    pub timeout_ms: u64,
    /// Set if an external policy decides which workers may run a stage.
    pub placement_policy: Option<PlacementPolicy>,
}

/// Cost and validity of the answers of the placement policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementPolicy {
    /// Fixed time of an answer, in milliseconds.
    pub decision_ms: f64,
    /// Additional time for each worker in the question, in milliseconds.
    pub per_worker_ms: f64,
    /// Time for which a worker accepts a permit, in milliseconds.
    pub validity_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which queues and workers refer to the service.
    pub name: ServiceName,
    /// Whether the workers refuse runs that exceed their free resources.
    pub workers_check_capacity: bool,
}

/// Why a configuration is refused.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum QueueConfigurationError {
    /// A queue names a service that is not listed.
    #[error("queue {queue} names the unknown service {service}")]
    UnknownService {
        /// Name of the queue.
        queue: String,
        /// Name that is not listed.
        service: ServiceName,
    },
    /// Two queues have the same address.
    #[error("two queues are at {host}{path_prefix}")]
    SameAddress {
        /// Host name of the address.
        host: String,
        /// Path prefix of the address.
        path_prefix: String,
    },
    /// The timeout of a queue is zero.
    #[error("the timeout of queue {0} is zero")]
    ZeroTimeout(String),
    /// A service is listed twice.
    #[error("service {0} is listed twice")]
    SameService(ServiceName),
    /// A customer is listed twice.
    #[error("customer {0} is listed twice")]
    SameCustomer(CustomerName),
    /// The weight of a customer is not a number above zero.
    #[error("the weight of customer {0} is not above zero")]
    InvalidWeight(CustomerName),
    /// A header cannot carry a key of a customer. The message does not show the key.
    #[error("customer {0} has a key that a header cannot carry")]
    InvalidKey(CustomerName),
    /// Two customers have the same key. The message does not show the key.
    #[error("customers {name} and {other} share a key")]
    SharedKey {
        /// Name of the customer that is listed later.
        name: CustomerName,
        /// Name of the other customer.
        other: CustomerName,
    },
}

impl QueueConfiguration {
    /// Checks the configuration as a whole.
    ///
    /// # Errors
    ///
    /// The first fault that was found.
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

    /// Returns the queue of the host whose prefix of the path is the longest, and the rest of the
    /// path.
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

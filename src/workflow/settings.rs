//! Settings file of a host that schedules workflows, in TOML.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::ids::{DataCentreName, HostId};

/// Settings of one host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkflowSettings {
    /// This host.
    pub host: HostSettings,
    /// Addresses on which it listens.
    pub listeners: ListenerSettings,
    /// How it finds the others.
    pub cell: CellSettings,
    /// Leases and timeouts.
    pub timing: TimingSettings,
    /// The outside placement policy.
    #[serde(default)]
    pub placement_policy: PolicySettings,
}

/// Identity of the host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// IP address, by which the other hosts know it.
    pub address: IpAddr,
    /// Name in messages for operators.
    pub name: String,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Folder for the log; only storage hosts have one.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
}

/// Listening addresses. A host serves what is listed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// Other hosts; the port is the same on all of them.
    pub peers: SocketAddr,
    /// Callers.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Readiness for the load balancer.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Workers and operators.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// How a host finds the others.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Some storage hosts; they may be down or replaced.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds form a new cell. Only at its very first start.
    pub forms_new_cell: bool,
    /// Storage hosts that may be lost at once; twice as many and one vote, as far as they exist.
    pub tolerated_losses: usize,
}

/// Leases and timeouts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TimingSettings {
    /// Longest lease that a worker accepts.
    pub max_worker_lease_ms: u64,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace_ms: u64,
    /// Time for which ended jobs are kept.
    pub job_retention_ms: u64,
}

/// The outside placement policy.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PolicySettings {
    /// Its address; `None` when no queue has a policy.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}

/// A settings file that cannot be used.
#[derive(Debug, Error)]
pub enum WorkflowSettingsError {
    /// It cannot be read.
    #[error("cannot read {path}: {reason}")]
    Unreadable {
        /// File.
        path: String,
        /// What the operating system reported.
        reason: String,
    },
    /// It is not TOML, or a key is missing, unknown or of another type.
    #[error("{path}: {reason}")]
    Malformed {
        /// File.
        path: String,
        /// What the library reported, with the line.
        reason: String,
    },
    /// A value is out of its range.
    #[error("{path}: {key}: {reason}")]
    Invalid {
        /// File.
        path: String,
        /// Dotted key.
        key: &'static str,
        /// What is wrong.
        reason: &'static str,
    },
}

impl WorkflowSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`WorkflowSettingsError`].
    pub fn load(path: &Path) -> Result<Self, WorkflowSettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| WorkflowSettingsError::Unreadable {
            path: name.clone(),
            reason: error.to_string(),
        })?;
        Self::parse(&name, &text)
    }

    /// Parses and checks a text; `path` is named in errors.
    ///
    /// # Errors
    ///
    /// [`WorkflowSettingsError`].
    pub fn parse(path: &str, text: &str) -> Result<Self, WorkflowSettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|error| WorkflowSettingsError::Malformed {
                path: path.to_owned(),
                reason: error.to_string(),
            })?;
        let invalid = |key, reason| {
            Err(WorkflowSettingsError::Invalid {
                path: path.to_owned(),
                key,
                reason,
            })
        };
        if settings.timing.max_worker_lease_ms == 0 {
            return invalid("timing.max_worker_lease_ms", "must be at least 1");
        }
        if settings.cell.seeds.is_empty() {
            return invalid("cell.seeds", "must name a host");
        }
        if settings.listeners.callers.is_some() && settings.listeners.readiness.is_none() {
            return invalid(
                "listeners.readiness",
                "is required on a host that serves callers",
            );
        }
        Ok(settings)
    }

    /// Identifier of this host.
    pub fn host_id(&self) -> HostId {
        self.host.address.to_string()
    }

    /// Identifiers of the seeds.
    pub fn seed_ids(&self) -> Vec<HostId> {
        let seeds = self.cell.seeds.iter();
        seeds.map(|seed| seed.ip().to_string()).collect()
    }

    /// Time for which ended jobs are kept.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.timing.job_retention_ms)
    }
}

//! Settings file of a host that schedules workflows, in TOML.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use crate::ids::{DataCentreName, HostId};
use crate::options::file::{self, Fault, SettingsError};

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

impl WorkflowSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with file, line and key.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::check)
    }

    /// Parses and checks a text; `file` is used in messages.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with file, line and key.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        file::parse(text, file, Self::check)
    }

    fn check(&self) -> Result<(), Fault> {
        if self.timing.max_worker_lease_ms == 0 {
            return Err(Fault::new(
                "timing.max_worker_lease_ms",
                "must be at least 1",
            ));
        }
        if self.cell.seeds.is_empty() {
            return Err(Fault::new("cell.seeds", "must name a host"));
        }
        if self.listeners.callers.is_some() && self.listeners.readiness.is_none() {
            return Err(Fault::new(
                "listeners.readiness",
                "is required on a host that serves callers",
            ));
        }
        Ok(())
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

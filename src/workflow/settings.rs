//! Reads the settings file of a host that schedules workflows, in TOML.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use crate::http::body_budget::BodyLimits;
use crate::ids::{DataCentreName, HostId};
use crate::options::file::{self, Fault, SettingsError};
use crate::options::ranges;
use crate::peer::frame::MAX_FRAME_BYTES;
use crate::peer::server::DEFAULT_HELD_FRAME_BYTES;

/// Largest body of a request to a host, that of an operator or a worker.
pub const LARGEST_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Largest `remote_factor`; cells have up to 3.
const MAX_REMOTE_FACTOR: f64 = 10.0;

/// Settings of one host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkflowSettings {
    /// Identity of this host.
    pub host: HostSettings,
    /// Addresses on which the host listens.
    pub listeners: ListenerSettings,
    /// How the host finds the other hosts of the cell.
    pub cell: CellSettings,
    /// Leases and timeouts.
    pub timing: TimingSettings,
    /// External placement policy; may be left out if no queue has one.
    #[serde(default)]
    pub placement_policy: PolicySettings,
    /// Limits of the memory of request bodies; may be left out.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Choice of workers; may be left out.
    #[serde(default)]
    pub placement: PlacementSettings,
}

/// Identity of the host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// IP address, which identifies the host to the other hosts.
    pub address: IpAddr,
    /// Name of the host in messages for operators.
    pub name: String,
    /// Data centre of the host; workers in the same one are served by relays there.
    pub data_centre: DataCentreName,
    /// Folder for the log; set on storage hosts only.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
}

/// Listening addresses. A host serves only the interfaces that have one.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// Address for other hosts; the port has to be the same on all hosts of a cell.
    pub peers: SocketAddr,
    /// Address for callers; requires an address for readiness.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address for the readiness checks of the load balancer.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Address for workers and operators.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Address from which metrics are read.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// How a host finds the other hosts of its cell.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Addresses of some storage hosts, at least one; they may be down or replaced. Only the IP
    /// addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds form a new cell; set only for the very first start of the cell.
    pub forms_new_cell: bool,
    /// Number of storage hosts that may be lost at once. Twice as many plus one vote, if there are
    /// that many.
    pub tolerated_losses: usize,
}

/// Leases and timeouts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TimingSettings {
    /// Longest lease that a worker accepts; at least 1.
    pub max_worker_lease_ms: u64,
    /// Time that the supervisor leaves between SIGTERM and SIGKILL.
    pub stop_grace_ms: u64,
    /// Time for which ended jobs are kept.
    pub job_retention_ms: u64,
    /// Longest time by which a call to a worker may be late; may be left out.
    #[serde(default = "default_late_call_limit_ms")]
    pub late_call_limit_ms: u64,
}

/// Returns the longest time by which the users' workers carry out orders late.
fn default_late_call_limit_ms() -> u64 {
    12_000
}

/// External placement policy.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PolicySettings {
    /// Address of the policy; `None` if no queue has a policy.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}

/// Limits of the memory of request bodies and of frames from other hosts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum memory of the request bodies in the process, over all listeners.
    pub max_held_body_bytes: usize,
    /// Maximum memory of the request bodies from one IP address; at least 4 MiB, the largest body
    /// of a worker or an operator.
    pub max_address_body_bytes: usize,
    /// Time without a received byte after which an unfinished body is dropped.
    pub body_stall_timeout_ms: u64,
    /// Average rate below which an unfinished body is dropped, after a grace period of 15 s.
    pub min_body_bytes_per_second: usize,
    /// Maximum memory of unfinished frames above 64 KiB from other hosts; at least 16 MiB, the
    /// largest frame.
    pub max_held_frame_bytes: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        let limits = BodyLimits::default();
        Self {
            max_held_body_bytes: limits.max_total_bytes,
            max_address_body_bytes: limits.max_address_bytes,
            body_stall_timeout_ms: limits.stall_timeout.as_millis() as u64,
            min_body_bytes_per_second: limits.min_bytes_per_second,
            max_held_frame_bytes: DEFAULT_HELD_FRAME_BYTES,
        }
    }
}

impl LimitSettings {
    /// Returns the limits of the bodies that the process holds.
    pub fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            max_total_bytes: self.max_held_body_bytes,
            max_address_bytes: self.max_address_body_bytes,
            stall_timeout: Duration::from_millis(self.body_stall_timeout_ms),
            min_bytes_per_second: self.min_body_bytes_per_second,
        }
    }
}

/// Choice of workers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// Factor by which tasks take longer away from the rack that they name, or gangs that prefer one
    /// rack on several; `None` or at most 1 if they do not.
    #[serde(default)]
    pub remote_factor: Option<f64>,
}

impl WorkflowSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with file, line and key.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::check)
    }

    /// Parses and checks the text of a settings file; `file` is its name in messages.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with file, line and key.
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
        let limits = self.limits.body_limits();
        if let Some((key, reason)) = ranges::body_fault(&limits, LARGEST_BODY_BYTES) {
            return Err(Fault::new(key, &reason));
        }
        if self.limits.max_held_frame_bytes < MAX_FRAME_BYTES {
            let reason = format!("must be at least {MAX_FRAME_BYTES}");
            return Err(Fault::new("limits.max_held_frame_bytes", &reason));
        }
        if self
            .placement
            .remote_factor
            .is_some_and(|factor| !(factor.is_finite() && factor <= MAX_REMOTE_FACTOR))
        {
            return Err(Fault::new(
                "placement.remote_factor",
                "must be a number of at most 10",
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

    /// Identifier of this host, which is its IP address.
    pub fn host_id(&self) -> HostId {
        self.host.address.to_string()
    }

    /// Identifiers of the seeds, which are their IP addresses.
    pub fn seed_ids(&self) -> Vec<HostId> {
        let seeds = self.cell.seeds.iter();
        seeds.map(|seed| seed.ip().to_string()).collect()
    }

    /// Factor by which tasks take longer away from their rack; `None` unless it is above 1.
    pub fn remote_factor(&self) -> Option<f64> {
        self.placement.remote_factor.filter(|&factor| factor > 1.0)
    }

    /// Longest time between sending a call to a worker and its execution there.
    pub fn late_call_limit(&self) -> Duration {
        Duration::from_millis(self.timing.late_call_limit_ms)
    }

    /// Time for which ended jobs are kept.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.timing.job_retention_ms)
    }
}

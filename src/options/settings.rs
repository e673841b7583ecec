//! Settings of an entry host, read from a TOML file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::file::{self, Fault, SettingsError};
use super::ranges;
use super::security::decode_hex;
use crate::configuration::digest::Sha256Digest;
use crate::http::body_budget::BodyLimits;
use crate::ids::{DataCentreName, HostId, RegionName};
use crate::scheduling::request_queue::policy::RequestPolicyName;

/// Minimum length of the secret of a cluster key.
const MIN_SECRET_BYTES: usize = 16;
/// Largest body on the operators' listener.
const ADMIN_BODY_BYTES: usize = 1024 * 1024;

pub use super::security::{ClusterKeySettings, SecuritySettings};

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and storage of this host.
    pub host: HostSettings,
    /// Addresses on which this host listens.
    pub listeners: ListenerSettings,
    /// All entry hosts of the cell, this host included; equal on all hosts.
    pub cell: CellSettings,
    /// Limits of the request path.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Leases and timeouts.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Authentication between entry hosts.
    #[serde(default)]
    pub security: SecuritySettings,
    /// Scheduling policy of requests.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Level and format of the log output.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// Identity and storage of the host.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Identifier; must appear in `cell.hosts`.
    pub id: HostId,
    /// Folder for all files; `None` on hosts without a disk, which cannot vote.
    pub data_folder: Option<PathBuf>,
}

/// Listening addresses, as IP number and port.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// Address for callers, runners and workers.
    pub callers: SocketAddr,
    /// Address for operators, metrics and health checks.
    pub admin: SocketAddr,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
}

/// Entry hosts of the cell, and authentication of callers and operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Name of the cell; equal on all hosts.
    pub name: String,
    /// Whether callers, runners and operators must present a token.
    #[serde(default)]
    pub authentication: bool,
    /// SHA-256 digest of the first operator's token, in hexadecimal.
    #[serde(default)]
    pub operator_token_sha256: Option<Sha256Digest>,
    /// All entry hosts; the number of hosts that vote is zero or odd.
    pub hosts: Vec<CellHost>,
}

/// An entry host as described in the settings of every host of the cell.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CellHost {
    /// Identifier, unique in the cell.
    pub id: HostId,
    /// Data centre of the host; not empty and without dots.
    pub data_centre: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Address of the host's peer listener.
    pub peers: SocketAddr,
    /// Whether the host votes in the configuration log; voters need a disk.
    #[serde(default)]
    pub votes: bool,
    /// Data centre, other than the host's own, for whose placement log the host is the witness.
    #[serde(default)]
    pub witness_for: Option<DataCentreName>,
}

/// Limits of the request path.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum number of open connections on the caller listener.
    pub max_caller_connections: usize,
    /// Maximum size of a request's payload and of an answer.
    pub max_payload_bytes: usize,
    /// Maximum size of the header section of a request.
    pub max_header_bytes: usize,
    /// Maximum number of requests that wait for a slot at one placer.
    pub max_queued_requests: usize,
    /// Maximum size of all retained answers at one placer.
    pub max_answer_bytes: usize,
    /// Maximum memory of the request bodies in the process, over all listeners.
    pub max_held_body_bytes: usize,
    /// Maximum memory of the request bodies from one IP address.
    pub max_address_body_bytes: usize,
    /// Time without a received byte after which an unfinished body is dropped.
    pub body_stall_timeout_ms: u64,
    /// Average rate below which an unfinished body is dropped, after a grace period of 15 s.
    pub min_body_bytes_per_second: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        let bodies = BodyLimits::default();
        Self {
            max_caller_connections: 2048,
            max_payload_bytes: 256 * 1024,
            max_header_bytes: 16 * 1024,
            max_queued_requests: 10_000,
            max_answer_bytes: 64 * 1024 * 1024,
            max_held_body_bytes: bodies.max_total_bytes,
            max_address_body_bytes: bodies.max_address_bytes,
            body_stall_timeout_ms: bodies.stall_timeout.as_millis() as u64,
            min_body_bytes_per_second: bodies.min_bytes_per_second,
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

/// Leases and timeouts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Timeout of a request whose caller sets none.
    pub default_request_timeout_ms: u64,
    /// Maximum timeout that a caller may set.
    pub max_request_timeout_ms: u64,
    /// Time for which the record of a completed request is kept; at least
    /// `max_request_timeout_ms`, so that a retry finds the record.
    pub key_retention_ms: u64,
    /// Maximum wait for an answer within one HTTP exchange with a runner.
    pub exchange_wait_ms: u64,
    /// Time added to `exchange_wait_ms` before an exchange counts as lost.
    pub exchange_grace_ms: u64,
    /// Interval at which workers send announcements.
    pub announcement_interval_ms: u64,
    /// Lease of a worker's tasks, renewed by each announcement; at least three times
    /// `announcement_interval_ms`, so that two lost announcements end no lease.
    pub lease_ms: u64,
    /// Allowance for the difference between clocks before a task whose lease expired is restarted.
    pub clock_margin_ms: u64,
    /// Time on shutdown from the failure of `/ready` until the host stops accepting requests.
    pub drain_delay_ms: u64,
    /// Maximum wait on shutdown for requests in flight.
    pub drain_timeout_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            default_request_timeout_ms: 10_000,
            max_request_timeout_ms: 120_000,
            key_retention_ms: 600_000,
            exchange_wait_ms: 1_000,
            exchange_grace_ms: 1_000,
            announcement_interval_ms: 1_000,
            lease_ms: 6_000,
            clock_margin_ms: 2_000,
            drain_delay_ms: 500,
            drain_timeout_ms: 130_000,
        }
    }
}

impl TimingSettings {
    /// Returns the maximum wait for an answer within one exchange.
    pub fn exchange_wait(&self) -> Duration {
        Duration::from_millis(self.exchange_wait_ms)
    }

    /// Returns the time after which an exchange counts as lost.
    pub fn exchange_timeout(&self) -> Duration {
        Duration::from_millis(self.exchange_wait_ms + self.exchange_grace_ms)
    }
}

/// Scheduling policy of requests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulingSettings {
    /// Order in which waiting requests start: `fair`, `first_come_first_served` or
    /// `strict_priority`.
    pub request_policy: RequestPolicyName,
}

/// Level and format of the log output.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`; `off` disables
    /// the log.
    pub level: String,
    /// Whether each event is written as one line of JSON.
    pub json: bool,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            json: false,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with file, line and key.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::check)
    }

    /// Parses and checks the text of a settings file. `file` is the path that errors report.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with file, line and key.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        file::parse(text, file, Self::check)
    }

    /// Returns the entry of this host in `cell.hosts`.
    pub fn this_host(&self) -> &CellHost {
        let position = self
            .cell
            .hosts
            .iter()
            .position(|host| host.id == self.host.id);
        &self.cell.hosts[position.expect("checked when the settings were read")]
    }

    /// Returns the names of all data centres, in the order of the settings.
    pub fn data_centres(&self) -> Vec<DataCentreName> {
        let mut names: Vec<DataCentreName> = Vec::new();
        for host in &self.cell.hosts {
            if !names.contains(&host.data_centre) {
                names.push(host.data_centre.clone());
            }
        }
        names
    }

    /// Returns the smallest scope that contains this and the other host: `data_centre`, `region`
    /// or `cross_region`.
    pub fn scope_of(&self, other: &CellHost) -> &'static str {
        let this = self.this_host();
        if this.data_centre == other.data_centre {
            "data_centre"
        } else if this.region == other.region {
            "region"
        } else {
            "cross_region"
        }
    }

    fn check(&self) -> Result<(), Fault> {
        self.check_hosts()?;
        if let Some((key, reason)) = ranges::first_fault(self) {
            return Err(Fault::new(key, &reason));
        }
        if let Some((key, reason)) = ranges::body_fault(
            &self.limits.body_limits(),
            self.limits.max_payload_bytes.max(ADMIN_BODY_BYTES),
        ) {
            return Err(Fault::new(key, &reason));
        }
        let timing = &self.timing;
        if timing.announcement_interval_ms * 3 > timing.lease_ms {
            return Err(Fault::new(
                "timing.lease_ms",
                "must be at least three times announcement_interval_ms, \
                 so that two lost announcements end no lease",
            ));
        }
        if timing.default_request_timeout_ms > timing.max_request_timeout_ms {
            return Err(Fault::new(
                "timing.default_request_timeout_ms",
                "exceeds max_request_timeout_ms",
            ));
        }
        if timing.key_retention_ms < timing.max_request_timeout_ms {
            return Err(Fault::new(
                "timing.key_retention_ms",
                "must be at least max_request_timeout_ms, so that a retry finds its record",
            ));
        }
        self.check_keys()?;
        if self.logging.level.parse::<log::LevelFilter>().is_err() {
            return Err(Fault::new(
                "logging.level",
                "must be error, warn, info, debug, trace or off",
            ));
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), Fault> {
        let keys = &self.security.cluster_keys;
        for (position, key) in keys.iter().enumerate() {
            let secret = decode_hex(&key.secret_hex);
            if secret.is_none_or(|secret| secret.len() < MIN_SECRET_BYTES) {
                let reason = format!("must be {MIN_SECRET_BYTES} or more bytes in hexadecimal");
                let name = format!("security.cluster_keys[{position}].secret_hex");
                return Err(Fault::new(&name, &reason));
            }
            if keys[..position].iter().any(|earlier| earlier.id == key.id) {
                let reason = format!("key {} appears twice", key.id);
                let name = format!("security.cluster_keys[{position}].id");
                return Err(Fault::new(&name, &reason));
            }
        }
        Ok(())
    }

    fn check_hosts(&self) -> Result<(), Fault> {
        let hosts = &self.cell.hosts;
        for (position, host) in hosts.iter().enumerate() {
            if hosts[..position]
                .iter()
                .any(|earlier| earlier.id == host.id)
            {
                return Err(host_fault(
                    position,
                    "id",
                    &format!("host {} appears twice", host.id),
                ));
            }
            if hosts[..position]
                .iter()
                .any(|earlier| earlier.peers == host.peers)
            {
                let reason = format!("address {} appears twice", host.peers);
                return Err(host_fault(position, "peers", &reason));
            }
            if host.id.trim().is_empty() {
                return Err(host_fault(position, "id", "is empty"));
            }
            if host.data_centre.is_empty() || host.data_centre.contains('.') {
                let reason = format!("data centre {:?} is empty or has a dot", host.data_centre);
                return Err(host_fault(position, "data_centre", &reason));
            }
            if host.witness_for.as_ref() == Some(&host.data_centre) {
                let reason = format!("host {} is a witness for its own data centre", host.id);
                return Err(host_fault(position, "witness_for", &reason));
            }
        }
        self.check_witnesses()?;
        let Some(this) = hosts.iter().find(|host| host.id == self.host.id) else {
            return Err(Fault::new("host.id", "does not appear in cell.hosts"));
        };
        if this.votes && self.host.data_folder.is_none() {
            return Err(Fault::new(
                "host.data_folder",
                "is required on a host that votes",
            ));
        }
        let voters = hosts.iter().filter(|host| host.votes).count();
        if voters > 0 && voters.is_multiple_of(2) {
            let reason = format!("{voters} hosts vote; an odd number of voters is required");
            return Err(Fault::new("cell.hosts", &reason));
        }
        Ok(())
    }

    fn check_witnesses(&self) -> Result<(), Fault> {
        let names = self.data_centres();
        for (position, host) in self.cell.hosts.iter().enumerate() {
            let Some(data_centre) = &host.witness_for else {
                continue;
            };
            if !names.contains(data_centre) {
                let reason = format!("no host is in data centre {data_centre}");
                return Err(host_fault(position, "witness_for", &reason));
            }
        }
        Ok(())
    }
}

/// Creates a fault of a field of one host in `cell.hosts`.
fn host_fault(position: usize, field: &str, reason: &str) -> Fault {
    Fault::new(&format!("cell.hosts[{position}].{field}"), reason)
}

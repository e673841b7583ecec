//! Settings file of an entry host, in TOML.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::file::{self, Fault, SettingsError};
use super::ranges;
use super::security::decode_hex;
use crate::configuration::digest::Sha256Digest;
use crate::ids::{DataCentreName, HostId, RegionName};
use crate::scheduling::request_queue::policy::RequestPolicyName;

/// Shortest secret of a cluster key.
const MIN_SECRET_BYTES: usize = 16;

pub use super::security::{ClusterKeySettings, SecuritySettings};

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host.
    pub host: HostSettings,
    /// Addresses on which it listens.
    pub listeners: ListenerSettings,
    /// All entry hosts of the cell, this one included.
    pub cell: CellSettings,
    /// Bounds of the request path.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Leases and timeouts.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Keys between entry hosts.
    #[serde(default)]
    pub security: SecuritySettings,
    /// Scheduling decisions.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Log output.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// Identity of the host.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Identifier; must appear in `cell.hosts`.
    pub id: HostId,
    /// Folder for all files, on hosts with a disk.
    pub data_folder: Option<PathBuf>,
}

/// Listening addresses, as IP number and port.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// Callers, runners and workers.
    pub callers: SocketAddr,
    /// Operators, metrics and health.
    pub admin: SocketAddr,
    /// Other entry hosts.
    pub peers: SocketAddr,
}

/// Members of the cell.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Name of the cell.
    pub name: String,
    /// Whether callers, runners and operators must present a token.
    #[serde(default)]
    pub authentication: bool,
    /// SHA-256 of the first operator's token, in hexadecimal.
    #[serde(default)]
    pub operator_token_sha256: Option<Sha256Digest>,
    /// All entry hosts.
    pub hosts: Vec<CellHost>,
}

/// One entry host as all others know it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CellHost {
    /// Identifier.
    pub id: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Address of its peer listener.
    pub peers: SocketAddr,
    /// Whether it votes in the configuration log; voters need a disk.
    #[serde(default)]
    pub votes: bool,
    /// Another data centre for whose placement log the host is the witness.
    #[serde(default)]
    pub witness_for: Option<DataCentreName>,
}

/// Bounds of the request path.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Open connections on the caller listener.
    pub max_caller_connections: usize,
    /// Largest payload of a request and largest answer.
    pub max_payload_bytes: usize,
    /// Largest header section.
    pub max_header_bytes: usize,
    /// Requests waiting for a slot at one placer.
    pub max_queued_requests: usize,
    /// Bytes of retained answers at one placer.
    pub max_answer_bytes: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_caller_connections: 2048,
            max_payload_bytes: 256 * 1024,
            max_header_bytes: 16 * 1024,
            max_queued_requests: 10_000,
            max_answer_bytes: 64 * 1024 * 1024,
        }
    }
}

/// Leases and timeouts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Remaining time of a request whose caller gave none.
    pub default_request_timeout_ms: u64,
    /// Largest remaining time that a caller may give.
    pub max_request_timeout_ms: u64,
    /// Time for which the record of a completed request is kept.
    pub key_retention_ms: u64,
    /// Longest wait for an answer within one HTTP exchange with a runner.
    pub exchange_wait_ms: u64,
    /// Time added to `exchange_wait_ms` before an exchange counts as lost.
    pub exchange_grace_ms: u64,
    /// Interval of announcements of workers.
    pub announcement_interval_ms: u64,
    /// Lease of a worker's tasks, renewed by each announcement.
    pub lease_ms: u64,
    /// Allowance for the difference between clocks before a lapsed task is started again.
    pub clock_margin_ms: u64,
    /// Time between the failure of `/ready` and the end of accepting on shutdown.
    pub drain_delay_ms: u64,
    /// Longest wait for requests in flight on shutdown.
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
    /// Longest wait for an answer within one exchange.
    pub fn exchange_wait(&self) -> Duration {
        Duration::from_millis(self.exchange_wait_ms)
    }

    /// Time after which an exchange counts as lost.
    pub fn exchange_timeout(&self) -> Duration {
        Duration::from_millis(self.exchange_wait_ms + self.exchange_grace_ms)
    }
}

/// Scheduling decisions.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulingSettings {
    /// Order of waiting requests: `fair`, `first_come_first_served` or `strict_priority`.
    pub request_policy: RequestPolicyName,
}

/// Log output.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
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
    /// [`SettingsError`] with file, line and key.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::check)
    }

    /// Parses and checks the text of a settings file; `file` is used in messages.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with file, line and key.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        file::parse(text, file, Self::check)
    }

    /// The entry of this host in the cell.
    pub fn this_host(&self) -> &CellHost {
        let position = self
            .cell
            .hosts
            .iter()
            .position(|host| host.id == self.host.id);
        &self.cell.hosts[position.expect("checked when the settings were read")]
    }

    /// Names of all data centres in the order of the settings.
    pub fn data_centres(&self) -> Vec<DataCentreName> {
        let mut names: Vec<DataCentreName> = Vec::new();
        for host in &self.cell.hosts {
            if !names.contains(&host.data_centre) {
                names.push(host.data_centre.clone());
            }
        }
        names
    }

    /// How far another host is: `data_centre`, `region` or `cross_region`.
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
            let Some(witnessed) = &host.witness_for else {
                continue;
            };
            if !names.contains(witnessed) {
                let reason = format!("no host is in data centre {witnessed}");
                return Err(host_fault(position, "witness_for", &reason));
            }
        }
        Ok(())
    }
}

/// A fault in one of the hosts of the cell.
fn host_fault(position: usize, field: &str, reason: &str) -> Fault {
    Fault::new(&format!("cell.hosts[{position}].{field}"), reason)
}

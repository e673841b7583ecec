//! A cell of real processes under load, for measurements.

pub mod callers;
pub mod event_loop;
pub mod hosts;
pub mod kinds;
pub mod links;
pub mod processor_time;
pub mod workers;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Storage hosts of the largest deployments.
pub const STORAGE_HOSTS: u8 = 6;
/// Entry hosts of the largest deployments.
pub const ENTRY_HOSTS: u8 = 38;
/// One way between hosts, and between hosts and workers: 30 ms between regions for two of three.
pub const ONE_WAY: Duration = Duration::from_millis(20);
/// First of the ports; below the range of local ports.
const FIRST_PORT: u16 = 17_400;

/// Address by which other hosts know a host; a link with delay listens there.
pub fn known_address(host: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), FIRST_PORT))
}

/// Address on which a host listens for other hosts.
pub fn peer_address(host: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, 0, host), FIRST_PORT))
}

/// Address on which an entry host listens for callers.
pub fn caller_address(host: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), FIRST_PORT + 1))
}

/// Address on which an entry host tells whether it is ready.
pub fn readiness_address(host: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), FIRST_PORT + 2))
}

/// Address on which a storage host listens for workers and operators.
pub fn control_address(host: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), FIRST_PORT + 3))
}

/// Numbers of the storage hosts.
pub fn storage_hosts() -> impl Iterator<Item = u8> + Clone {
    1..=STORAGE_HOSTS
}

/// Numbers of the entry hosts.
pub fn entry_hosts() -> impl Iterator<Item = u8> + Clone {
    STORAGE_HOSTS + 1..=STORAGE_HOSTS + ENTRY_HOSTS
}

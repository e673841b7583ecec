//! Runs a cell of real processes under load, for measurements.

pub mod callers;
pub mod event_loop;
pub mod hosts;
pub mod kinds;
pub mod links;
pub mod processor_time;
pub mod workers;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Number of storage hosts of the largest deployments.
pub const STORAGE_HOSTS: u8 = 6;
/// Number of entry hosts of the largest deployments.
pub const ENTRY_HOSTS: u8 = 38;
/// One-way delay between hosts, and between hosts and workers. Two of three pairs are in different
/// regions, 30 ms apart, which makes 20 ms in the mean.
pub const ONE_WAY_DELAY: Duration = Duration::from_millis(20);
/// First port of each host; below the range of ephemeral ports.
const FIRST_PORT: u16 = 17_400;

/// Address at which other hosts reach a host; a link with a delay listens on it.
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

/// Address on which an entry host reports whether it is ready.
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

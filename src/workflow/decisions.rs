//! Decisions about workflows, as functions of their inputs alone.

pub mod admission;
pub mod leases;
pub mod permits;
pub mod placing;
pub mod progress;
pub mod ranking;
pub mod relays;
pub mod replicas;
pub mod reservations;
pub mod worker_health;

//! Scheduling decisions as pure functions of their inputs.

pub mod admission;
pub mod crash_suspects;
pub mod customer_caps;
pub mod customer_shares;
pub mod fencing;
pub mod heartbeats;
pub mod leases;
pub mod open_calls;
pub mod permits;
pub mod place_waits;
pub mod placing;
pub mod progress;
pub mod question_shares;
pub mod ranking;
pub mod relays;
pub mod renewals;
pub mod replicas;
pub mod reservations;
pub mod retries;
pub mod size_shares;
pub mod worker_health;
pub mod worker_speed;

//! jujubewinch, a cluster scheduler for mixed workloads: requests, batch jobs, services and gangs.
//!
//! The design is described in `docs/design.md`.

pub mod admin;
pub mod agent;
pub mod clock;
pub mod commands;
pub mod configuration;
pub mod entry_host;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod kernel;
pub mod load;
pub mod membership;
pub mod options;
pub mod peer;
pub mod placer;
pub mod process_pause;
pub mod protocol;
pub mod replication;
pub mod resources;
pub mod scheduling;
pub mod telemetry;
pub mod verdict;
pub mod workflow;
pub mod workloads;

#[path = "../platform/adapter.rs"]
pub mod platform;

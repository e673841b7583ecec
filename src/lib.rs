//! jujubewinch, a cluster scheduler for unlike workloads: requests, batch, services and gangs.
//!
//! The design is described in `docs/design.md`.

pub mod agent;
pub mod clock;
pub mod commands;
pub mod entry_host;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod kernel;
pub mod load;
pub mod options;
pub mod peer;
pub mod placer;
pub mod protocol;
pub mod resources;
pub mod scheduling;
pub mod telemetry;
pub mod verdict;
pub mod workloads;

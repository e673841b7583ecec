//! Schedules workflows: jobs of dependent stages that one placer assigns to the workers of a cell.
//!
//! Storage hosts replicate one log of decisions; the leader of the log is the placer. Entry hosts
//! hold no scheduling state and forward calls to the placer. The placer starts and stops runs on
//! the workers, renews the workers' leases, and records the end of each run before it acknowledges
//! that end to the worker. Entry hosts relay the placer's orders to the workers near them.
//! `docs/platform.md` describes the programs and the path of a job.

pub mod calls;
pub mod cancellations;
pub mod crashes;
pub mod customers;
pub mod decisions;
pub mod directory;
pub mod host;
pub mod instruments;
pub mod placer;
pub mod queues;
pub mod records;
pub mod relay;
pub mod settings;
pub mod spec;
pub mod state;
pub mod workers;

//! Workflows: jobs of dependent stages that one placer schedules for a whole cell.
//!
//! Storage hosts replicate one log of decisions; its leader is the placer. Entry hosts hold no
//! scheduling state and forward calls to the placer. The placer drives the workers: it starts,
//! stops and renews their runs, and records each end before it acknowledges it. Entry hosts relay
//! its orders to the workers near them.
//! `docs/platform.md` describes the programs and the path of a job.

pub mod calls;
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

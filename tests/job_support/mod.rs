//! Shared by the tests and measurements of the job scheduler.

pub mod simulation;

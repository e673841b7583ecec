//! Logging and metrics.

pub mod logging;
pub mod metrics;

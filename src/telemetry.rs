//! Logging and metrics.

pub mod logging;
pub mod metrics;
pub mod processor_time;

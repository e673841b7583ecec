//! Logging, metrics, and accounting of processor time.

pub mod logging;
pub mod metrics;
pub mod processor_time;

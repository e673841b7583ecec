//! Messages of all interfaces.

pub mod caller;
pub mod headers;
pub mod job;
pub mod peer;
pub mod worker;

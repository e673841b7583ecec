//! Messages and header names of the interfaces between callers, entry hosts, placers and workers.

pub mod caller;
pub mod headers;
pub mod job;
pub mod peer;
pub mod worker;

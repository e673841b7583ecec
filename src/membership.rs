//! Failure detection between entry hosts over UDP.
//!
//! Each host probes one other host per interval in random rounds, first directly and then through
//! relays. A host that does not answer is suspected, and counts as dead when nobody refutes the
//! suspicion in time. News travel inside the probes. The cost per host is constant.

pub mod agent;
pub mod datagram;
pub mod prober;
pub mod table;

pub use agent::{MembershipAgent, MembershipOptions};
pub use prober::ProbeTiming;
pub use table::{HostState, HostView, MembershipTable, Update};

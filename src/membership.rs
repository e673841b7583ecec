//! Failure detection between entry hosts over UDP.
//!
//! Each host probes one other host per interval, in rounds of random order: first directly, then
//! through relays. A host that does not answer is suspected, and declared dead unless the suspicion
//! is refuted in time. Updates are piggybacked on the probes, so that the load per host does not
//! depend on the number of hosts.

pub mod agent;
pub mod datagram;
pub mod prober;
pub mod table;

pub use agent::{MembershipAgent, MembershipOptions};
pub use prober::ProbeTiming;
pub use table::{HostState, HostView, MembershipTable, Update};

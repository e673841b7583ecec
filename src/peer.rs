//! Calls between entry hosts over TCP.
//!
//! A connection starts with a handshake that proves knowledge of a cluster key to both ends. Each
//! later frame carries a message authentication code over its sequence number, so that a changed,
//! reordered or replayed frame ends the connection.

pub mod call_load;
pub mod channel;
pub mod client;
pub mod frame;
pub mod handshake;
pub mod keys;
pub mod link_conditions;
pub mod pool;
pub mod responder;
pub mod server;

pub use client::{CallError, PeerClient, PeerClientOptions};
pub use keys::ClusterKeys;
pub use link_conditions::LinkConditions;
pub use pool::{CallPool, CallPoolOptions};
pub use responder::Responder;
pub use server::{CallHandler, PeerHandler, PeerServer};

use std::time::Duration;

/// Time for establishing a connection and its handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for handing a frame to the operating system; a longer block means a dead connection.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of pings while calls wait for a reply.
pub const BUSY_PING_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of pings on an idle connection; longer, since control traffic is billed.
pub const IDLE_PING_INTERVAL: Duration = Duration::from_secs(10);
/// Silence after a ping after which a connection counts as dead.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

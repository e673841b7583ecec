//! Authenticated calls between entry hosts over TCP.
//!
//! A connection starts with a handshake in which both ends prove that they know a cluster key. Each
//! later frame carries a message authentication code over its sequence number and content, so that
//! a changed, reordered or replayed frame ends the connection.

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

/// Timeout for establishing a connection, and for each read of its handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a write to a connection; a write that blocks longer ends the connection.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without received frames after which a client sends a ping while calls are in flight.
pub const BUSY_PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without received frames after which a client sends a ping on an idle connection; longer,
/// since control traffic is billed.
pub const IDLE_PING_INTERVAL: Duration = Duration::from_secs(10);
/// Time after an unanswered ping at which a connection is considered dead.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

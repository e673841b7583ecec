//! Calls between entry hosts over TCP.

pub mod frame;
pub mod transport;

pub use transport::{CallError, PeerClient, PeerHandler, PeerServer};

//! HTTP/1.1 server and client used by all HTTP interfaces.

mod body;
pub mod body_budget;
pub mod client;
mod connections;
pub mod message;
pub mod server;
mod transport;

pub use client::{Client, ClientError, ClientOptions};
pub use message::{Request, Response};
pub use server::{Handler, Server, ServerOptions};

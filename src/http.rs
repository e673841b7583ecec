//! HTTP server and client shared by all interfaces.

pub mod client;
pub mod message;
pub mod server;

pub use client::{Client, ClientError, ClientOptions};
pub use message::{Request, Response};
pub use server::{Handler, Server, ServerOptions};

//! Caller interface of an entry host.

pub mod api;
pub mod routing;

pub use routing::Router;

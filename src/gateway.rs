//! Caller interface of an entry host.

pub mod access;
pub mod api;
pub mod jobs;
pub mod routing;
pub mod throttle;

pub use routing::Router;

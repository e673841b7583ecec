//! HTTP interface that an entry host offers to callers, runners and workers.

pub mod access;
pub mod api;
pub mod jobs;
pub mod routing;
pub mod throttle;

pub use routing::Router;

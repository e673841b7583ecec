//! Decisions: what runs next and where.

pub mod admission;
pub mod request_queue;
pub mod retry_budget;

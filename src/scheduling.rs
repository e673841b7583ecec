//! Decisions: what runs next and where.

pub mod request_queue;

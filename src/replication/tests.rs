//! Tests of the replicated log.

mod harness;
mod messages;
mod protocol;
mod schedules;
mod storage;
mod threads;

//! Tests of the replicated log.

mod harness;
mod messages;
mod protocol;
mod rules;
mod schedules;
mod storage;
mod threads;

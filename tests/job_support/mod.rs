//! Shared by the tests of the job scheduler.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod cell;
pub mod fixtures;
pub mod simulation;

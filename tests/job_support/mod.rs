//! Helpers of the tests of the job scheduler and the job placer.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod cell;
pub mod fixtures;
pub mod simulation;

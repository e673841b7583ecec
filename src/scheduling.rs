//! Scheduling policies: admission, queue order, placement, reservations and preemption.

pub mod admission;
pub mod estimates;
pub mod fair_share;
pub mod feasibility;
pub mod gangs;
pub mod job;
pub mod job_scheduler;
pub mod ledger;
pub mod overuse;
pub mod placement;
pub mod placement_index;
pub mod quarantine;
pub mod request_queue;
pub mod retry_budget;

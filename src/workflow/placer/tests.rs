//! Tests of the steps of a term, without threads, log or network.

mod backlog;
mod calls;
mod capacity;
mod capacity_random;
mod claims;
mod cost;
mod crashing_cell;
mod crashing_tasks;
mod extremes;
mod figures;
mod fixture;
mod gang_sizes;
mod gangs;
mod grown_cell;
mod idle_room;
mod leadership;
mod limits;
mod passes;
mod pauses;
mod relays;
mod renewals;
mod runs;
mod search;
mod stalled_work;
mod takeover;
mod waiting_jobs;

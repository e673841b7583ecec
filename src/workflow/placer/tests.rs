//! Steps of a term, without threads, log or network.

mod calls;
mod fixture;
mod gangs;
mod relays;
mod runs;
mod takeover;

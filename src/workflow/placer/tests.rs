//! Steps of a term, without threads, log or network.

mod calls;
mod figures;
mod fixture;
mod gangs;
mod runs;

//! Built-in workload kinds, one file each. Every file in the folder becomes a module, so that adding
//! a kind requires no change of another file; see `docs/workloads.md`.

automod::dir!(pub "src/workloads");

//! Workload kinds, one file each. Every file of the folder is a module, so that adding a kind
//! changes no other file; see `docs/workloads.md`.

automod::dir!(pub "src/workloads");

//! Workload kinds, one file each. `build.rs` lists the files, so that adding a kind changes no
//! other file; see `docs/workloads.md`.

include!(concat!(env!("OUT_DIR"), "/workloads.rs"));

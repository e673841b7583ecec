//! Checks that the sources of the product contain no names of the platform's protocol.

use std::fs;
use std::path::{Path, PathBuf};

/// Names of calls, headers and fields that only the platform's protocol uses.
const PLATFORM_NAMES: [&str; 24] = [
    "run-start",
    "run-stop",
    "task_spec",
    "run_id",
    "fence_token",
    "ended_runs",
    "ack_cursor",
    "heartbeat_addr",
    "seed_nodes",
    "policy_service",
    "cloud_api",
    "machine-upkeep",
    "wave-start",
    "Expected-Instance",
    "expected-instance",
    "ticket_id",
    "anti_affinity",
    "fill_count",
    "same_rack",
    "saves_progress",
    "max_hold_ms",
    "waiting_count",
    "repeat_count",
    "path_prefix\"",
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Guards against names of the platform's protocol in sources outside the platform's adapter.
#[test]
fn sources_outside_the_adapter_contain_no_platform_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    collect_sources(&root.join("src"), &mut found);
    assert!(found.len() > 100, "the sources were not found");
    for path in found {
        let text = fs::read_to_string(&path).unwrap();
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{} contains {name}", path.display());
        }
    }
}

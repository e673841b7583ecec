//! Measures the resident memory of a host of a cell, which runs as a process of its own.

mod platform_support;

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use platform_support::processes::HostProcesses;
use platform_support::{Cell, CellSize, Ports, Runner, await_some};

/// Resident memory that an entry host with 160 MB may have: half of the 57 MB that it once had.
const HOST_KIB: usize = 28 * 1024;
/// Workers of an entry host that is the last one of its data centre: 350 workers in 6 data centres.
const RELAYED_WORKERS: usize = 60;
/// Bound for the growth by one relayed worker: the workers may take half of the memory of the host.
const MAX_KIB_PER_WORKER: usize = HOST_KIB / 2 / RELAYED_WORKERS;
/// Workers before the first measurement, so that memory that every relay needs once is included.
const FIRST_WORKERS: usize = 4;
/// Workers that are added between the two measurements.
const ADDED_WORKERS: usize = 40;
/// Time for several renewals of each lease, each of which waits for 1 s at the worker.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Name of the thread that serves one relayed worker.
const LINK_THREAD: &str = "relay-link";

/// Number of threads of a process that have a given name.
fn threads(process: u32, name: &str) -> usize {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).unwrap();
    let names = tasks.flatten().filter_map(|task| {
        // A thread may end between the listing and the read.
        fs::read_to_string(task.path().join("comm")).ok()
    });
    names.filter(|thread| thread.trim_end() == name).count()
}

/// Resident memory of a process without the pages of its files, in KiB.
fn resident_kib(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:"));
    let value = line.unwrap().split_whitespace().nth(1).unwrap();
    value.parse().unwrap()
}

/// Guards against large buffers for each connection to a worker. With two buffers of 128 KiB for
/// each connection, most of the resident memory of an entry host was such buffers.
#[test]
fn a_relayed_worker_takes_little_memory() {
    let size = CellSize::SMALL;
    let ports = Ports::starting_at(17_480);
    let folder = tempfile::tempdir().unwrap();
    let mut processes = HostProcesses::start(folder.path(), ports, size);
    let cell = Cell::of_processes(ports, size);
    assert_eq!(cell.configure(1).status, 200);
    let entry = processes.process_id(*size.entries().start());
    let mut runners: Vec<Arc<Runner>> = Vec::new();
    let mut measure_with = |workers: usize| {
        while runners.len() < workers {
            let runner = Runner::start();
            cell.announce(&format!("i-{}", runners.len()), &runner, 1);
            runners.push(runner);
        }
        await_some(|| (threads(entry, LINK_THREAD) >= workers).then_some(()));
        thread::sleep(SETTLING_TIME);
        resident_kib(entry)
    };
    let first_kib = measure_with(FIRST_WORKERS);
    let then_kib = measure_with(FIRST_WORKERS + ADDED_WORKERS);
    processes.assert_running();
    let growth_kib = then_kib.saturating_sub(first_kib);
    assert!(
        growth_kib <= ADDED_WORKERS * MAX_KIB_PER_WORKER,
        "{ADDED_WORKERS} workers took {growth_kib} KiB beyond {first_kib} KiB, \
         more than {MAX_KIB_PER_WORKER} KiB each"
    );
}

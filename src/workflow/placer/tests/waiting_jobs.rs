//! Tests of the numbers of waiting jobs.

use std::cell::Cell;
use std::time::{Duration, Instant};

use super::super::waiting_jobs::{JobCounts, WaitingJobs};
use crate::workflow::queues::QueueAddress;

fn queue(name: &str) -> QueueAddress {
    QueueAddress {
        host: "shop.example".to_owned(),
        path_prefix: format!("/{name}/"),
    }
}

/// Guards against a scan of all runs and jobs for each query: on the largest deployments the queries
/// took a tenth of the leader's processor time (SHORT).
#[test]
fn queries_for_waiting_jobs_share_a_count() {
    let counts = JobCounts::default();
    let scans = Cell::new(0);
    let scan = || {
        scans.set(scans.get() + 1);
        WaitingJobs::from([(queue("plans"), scans.get()), (queue("checks"), 7)])
    };
    let begun_at = Instant::now();
    for query in 0..100 {
        let now = begun_at + Duration::from_millis(query * 10);
        let waiting = counts.of_queue(&queue("plans"), now, scan);
        // One count in 500 ms.
        assert_eq!(waiting, 1 + query / 50);
        assert_eq!(counts.of_queue(&queue("checks"), now, scan), 7);
        assert_eq!(counts.of_queue(&queue("none"), now, scan), 0);
    }
    assert_eq!(scans.get(), 2);
}

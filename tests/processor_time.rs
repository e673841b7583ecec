//! Processor time by activity.

use std::hint::black_box;
use std::time::{Duration, Instant};

use jujubewinch::telemetry::processor_time::{self, Activity};

/// Longest time that the test works before it fails, on a machine that is busy otherwise.
const PATIENCE: Duration = Duration::from_secs(20);

/// Uses the processor until this thread has charged some time, and returns the charged time.
fn work() -> Duration {
    let give_up_at = Instant::now() + PATIENCE;
    let mut charged = Duration::ZERO;
    while charged < Duration::from_millis(5) {
        assert!(Instant::now() < give_up_at, "no processor time was charged");
        black_box((0..10_000_u64).map(black_box).sum::<u64>());
        charged += processor_time::charge();
    }
    charged
}

/// Guards against work that is charged to another activity, or more than once.
#[test]
fn work_is_charged_to_the_activity_of_its_thread() {
    processor_time::begin(Activity::Policy);
    let charged = work();
    processor_time::begin(Activity::Order);
    let policy = processor_time::used(Activity::Policy);
    assert!(policy >= charged);
    let charged = work();
    assert!(processor_time::used(Activity::Order) >= charged);
    assert_eq!(processor_time::used(Activity::Policy), policy);
    let all = processor_time::used_by_process();
    assert!(policy + processor_time::used(Activity::Order) <= all);
}

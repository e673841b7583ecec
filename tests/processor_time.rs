//! Tests of the processor time by activity.

use std::hint::black_box;
use std::time::{Duration, Instant};

use jujubewinch::telemetry::processor_time::{self, Activity};

/// Time after which the test fails; long, since other processes may use the processors.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Uses the processor until this thread has charged at least 5 ms, and returns the charged time.
fn work() -> Duration {
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut charged = Duration::ZERO;
    while charged < Duration::from_millis(5) {
        assert!(Instant::now() < deadline, "no processor time was charged");
        black_box((0..10_000_u64).map(black_box).sum::<u64>());
        charged += processor_time::charge();
    }
    charged
}

/// Guards against processor time that is charged to another activity or more than once.
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

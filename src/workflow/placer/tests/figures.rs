//! Tests of the statistics of the placer's own work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::super::figures::PlacerStatistics;
use super::super::term_lock::TermLock;
use crate::telemetry::processor_time::{self, Activity};

/// Guards against a report that waits for the lock of the term: it has to name the activity that
/// holds the lock while it is held.
#[test]
fn the_holder_of_the_term_lock_is_reported_while_it_holds_it() {
    let statistics = Arc::<PlacerStatistics>::default();
    let lock = TermLock::new(Arc::clone(&statistics));
    processor_time::begin(Activity::Policy);
    let guard = lock.lock();
    let later = Instant::now();
    let described = statistics.describe_holds(later);
    assert!(described.contains("now policy="), "{described}");
    drop(guard);
    let described = statistics.describe_holds(later);
    assert!(!described.contains("now"), "{described}");
}

/// Guards against a report that shows only the time between commits, which stays short while each
/// batch waits long for its own.
#[test]
fn the_time_to_the_commit_of_a_batch_is_reported() {
    let statistics = PlacerStatistics::default();
    let begun_at = Instant::now();
    let after_ms = |ms| begun_at + Duration::from_millis(ms);
    for sequence in 0..3 {
        statistics.record_appended(sequence, after_ms(sequence * 10));
    }
    statistics.record_committed(0, after_ms(60));
    statistics.record_committed(2, after_ms(150));
    let times = [110, 140].map(Duration::from_millis);
    assert_eq!(statistics.commit_times(), times.into());
}

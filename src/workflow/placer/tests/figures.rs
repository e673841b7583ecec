//! Tests of the statistics of the placer's own work.

use std::sync::Arc;
use std::time::Instant;

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

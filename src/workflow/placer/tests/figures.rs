//! Figures of the placer's own work.

use std::sync::Arc;
use std::time::Instant;

use super::super::figures::Figures;
use super::super::term_lock::TermLock;
use crate::telemetry::processor_time::{self, Activity};

/// Guards against a report that waits for the term: it has to name the holder of the term while it
/// is held.
#[test]
fn the_holder_of_the_term_is_known_while_it_holds_it() {
    let figures = Arc::<Figures>::default();
    let lock = TermLock::new(Arc::clone(&figures));
    processor_time::begin(Activity::Policy);
    let guard = lock.lock();
    let later = Instant::now();
    let described = figures.describe_holds(later);
    assert!(described.contains("now policy="), "{described}");
    drop(guard);
    let described = figures.describe_holds(later);
    assert!(!described.contains("now"), "{described}");
}

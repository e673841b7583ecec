//! The lock of the term, which records the activity that holds it and for how long.

use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::{Duration, Instant};

use super::figures::PlacerStatistics;
use super::term::Term;
use crate::telemetry::processor_time;

/// Lock of the term of this host; the term is `None` while the host does not lead.
pub(super) struct TermLock {
    term: Mutex<Option<Term>>,
    /// Number of holds so far.
    holds: AtomicU32,
    statistics: Arc<PlacerStatistics>,
}

/// One of so many holds is measured in processor time, which takes two system calls each.
const PROCESSOR_TIME_SAMPLING: u32 = 16;

impl TermLock {
    pub(super) fn new(statistics: Arc<PlacerStatistics>) -> Self {
        Self {
            term: Mutex::new(None),
            holds: AtomicU32::new(0),
            statistics,
        }
    }

    /// Locks the term on behalf of the activity of this thread. A panic in an earlier step, which
    /// may have left the term incomplete, ends the term.
    pub(super) fn lock(&self) -> TermGuard<'_> {
        let (term, asked_at) = match self.term.try_lock() {
            Ok(term) => (term, None),
            Err(TryLockError::WouldBlock) => {
                let asked_at = Instant::now();
                let term = self.term.lock();
                let term = term.unwrap_or_else(|poisoned| self.recover(poisoned));
                (term, Some(asked_at))
            }
            Err(TryLockError::Poisoned(poisoned)) => (self.recover(poisoned), None),
        };
        let locked_at = Instant::now();
        self.statistics.record_locked(locked_at);
        let holds = self.holds.fetch_add(1, Ordering::Relaxed);
        let is_sampled = holds.is_multiple_of(PROCESSOR_TIME_SAMPLING);
        if is_sampled {
            processor_time::charge();
        }
        TermGuard {
            term,
            statistics: &self.statistics,
            waited: asked_at.map_or(Duration::ZERO, |at| locked_at.saturating_duration_since(at)),
            locked_at,
            is_sampled,
        }
    }

    /// Ends the term after a panic.
    fn recover<'a>(
        &self,
        poisoned: PoisonError<MutexGuard<'a, Option<Term>>>,
    ) -> MutexGuard<'a, Option<Term>> {
        let mut term = poisoned.into_inner();
        let epoch = term.take().map(|term| term.epoch);
        self.term.clear_poison();
        log::error!(epoch:?; "stops placing: a step of the term panicked");
        term
    }
}

/// Guard of the locked term; reports the duration of the hold when it is dropped.
pub(super) struct TermGuard<'a> {
    term: MutexGuard<'a, Option<Term>>,
    statistics: &'a PlacerStatistics,
    /// Time that this thread waited for the lock.
    pub waited: Duration,
    locked_at: Instant,
    /// Whether the processor time of the hold is measured.
    is_sampled: bool,
}

impl Deref for TermGuard<'_> {
    type Target = Option<Term>;

    fn deref(&self) -> &Self::Target {
        &self.term
    }
}

impl DerefMut for TermGuard<'_> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.term
    }
}

impl Drop for TermGuard<'_> {
    fn drop(&mut self) {
        let processor_time = if self.is_sampled {
            processor_time::charge() * PROCESSOR_TIME_SAMPLING
        } else {
            Duration::ZERO
        };
        let held = self.locked_at.elapsed();
        self.statistics
            .record_unlocked(self.waited, held, processor_time);
    }
}

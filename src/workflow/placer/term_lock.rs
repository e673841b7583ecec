//! The lock of the term, which notes who holds it and for how long.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::figures::Figures;
use super::term::Term;
use crate::telemetry::processor_time;

/// The term of this host, while it leads.
pub(super) struct TermLock {
    term: Mutex<Option<Term>>,
    figures: Arc<Figures>,
}

impl TermLock {
    pub(super) fn new(figures: Arc<Figures>) -> Self {
        Self {
            term: Mutex::new(None),
            figures,
        }
    }

    /// Locks the term for the activity of this thread.
    pub(super) fn lock(&self) -> TermGuard<'_> {
        let asked_at = Instant::now();
        let term = self.term.lock().unwrap();
        let locked_at = Instant::now();
        self.figures.note_locked(locked_at);
        processor_time::charge();
        TermGuard {
            term,
            figures: &self.figures,
            waited: locked_at.saturating_duration_since(asked_at),
            locked_at,
        }
    }
}

/// The locked term.
pub(super) struct TermGuard<'a> {
    term: MutexGuard<'a, Option<Term>>,
    figures: &'a Figures,
    /// Time for which this thread waited for the lock.
    pub waited: Duration,
    locked_at: Instant,
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
        let processor_time = processor_time::charge();
        let held = self.locked_at.elapsed();
        self.figures
            .note_unlocked(self.waited, held, processor_time);
    }
}

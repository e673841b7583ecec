//! When a scheduling pass is due.

use std::cell::Cell;

use indexmap::IndexSet;

use super::super::queues::PlacementPolicy;
use super::policy::is_slow;
use super::term::Term;
use crate::scheduling::ledger::WorkerIndex;

/// What has changed since the last scheduling pass.
pub struct Passes {
    /// Whether anything but the room of workers has changed that a pass depends on: a waiting
    /// stage, a permit, a caller of the placement policy, or the time.
    pub changed: bool,
    /// Value of `Ledger::growths` at the end of the last pass.
    pub seen_growths: u64,
    /// Value of `Ledger::growths` when the last pass began.
    pub searched_growths: u64,
    /// Passes of this term.
    pub count: u64,
    /// Searches for workers in this term.
    pub searches: Cell<u64>,
    /// Workers that were examined for a stage in this term.
    pub examined_workers: Cell<u64>,
    /// Searches and examined workers up to the last report.
    pub reported: (u64, u64),
    /// Whether all callers of the policy for quick and for slow decisions were busy in this pass.
    pub busy_callers: [bool; 2],
}

impl Passes {
    /// Counts a search for workers.
    pub fn count_search(&self) {
        self.searches.set(self.searches.get() + 1);
    }

    /// Searches and examined workers since this was asked last.
    pub fn examined_since_report(&mut self) -> (u64, u64) {
        let now = (self.searches.get(), self.examined_workers.get());
        let before = std::mem::replace(&mut self.reported, now);
        (now.0 - before.0, now.1 - before.1)
    }

    /// Counts a worker that is examined for a stage.
    pub fn count_examined(&self) {
        self.examined_workers.set(self.examined_workers.get() + 1);
    }
}

impl Default for Passes {
    /// The first pass is due at once.
    fn default() -> Self {
        Self {
            changed: true,
            seen_growths: 0,
            searched_growths: 0,
            count: 0,
            searches: Cell::new(0),
            examined_workers: Cell::new(0),
            reported: (0, 0),
            busy_callers: [false; 2],
        }
    }
}

impl Term {
    /// Whether a scheduling pass could place or ask more than the last one did. Steps that change
    /// nothing a pass depends on are most of all steps: with 350 workers, renewals and heartbeats
    /// alone would cause a pass every few milliseconds.
    pub(super) fn pass_is_due(&self) -> bool {
        self.passes.changed || self.ledger.growths() != self.passes.seen_growths
    }

    /// Begins a pass; returns the workers whose room has grown since the last one began, or `None`
    /// when that is not known.
    pub(super) fn begin_pass(&mut self) -> Option<IndexSet<WorkerIndex>> {
        self.passes.busy_callers = [false; 2];
        let grown = self.ledger.grown_since(self.passes.searched_growths);
        grown.map(Iterator::collect)
    }

    /// Whether the policy can't be asked now since its callers are busy.
    pub(super) fn callers_are_busy(&self, policy: &PlacementPolicy) -> bool {
        self.passes.busy_callers[usize::from(is_slow(policy))]
    }

    /// Takes note that a pass has seen all changes.
    pub(super) fn note_pass(&mut self) {
        self.passes.changed = false;
        self.passes.seen_growths = self.ledger.growths();
        self.passes.count += 1;
    }
}

//! When a scheduling pass is due.

use super::term::Term;

/// What has changed since the last scheduling pass.
pub struct Passes {
    /// Whether anything but the room of workers has changed that a pass depends on: a waiting
    /// stage, a permit, a caller of the placement policy, or the time.
    pub changed: bool,
    /// Value of `Ledger::growths` at the end of the last pass.
    pub seen_growths: u64,
    /// Passes of this term.
    pub count: u64,
}

impl Default for Passes {
    /// The first pass is due at once.
    fn default() -> Self {
        Self {
            changed: true,
            seen_growths: 0,
            count: 0,
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

    /// Takes note that a pass has seen all changes.
    pub(super) fn note_pass(&mut self) {
        self.passes.changed = false;
        self.passes.seen_growths = self.ledger.growths();
        self.passes.count += 1;
    }
}

//! Decides when a scheduling pass is due, and counts the work of the passes.

use std::cell::Cell;
use std::time::Instant;

use super::growth::GrownRoom;
use super::term::Term;

/// Changes since the last scheduling pass, and counters of the passes of this term.
pub struct Passes {
    /// Whether an input of a pass other than the room of workers has changed: a waiting stage, a
    /// permit, a host that calls the placement policy, or the time.
    pub changed: bool,
    /// Value of `Ledger::growths` at the end of the last pass.
    pub seen_growths: u64,
    /// Value of `Ledger::growths` when the last pass began.
    pub searched_growths: u64,
    /// Time from which on a pass assigns the room that gangs have gathered again.
    pub reassign_at: Instant,
    /// Like `reassign_at`, for gangs that are too late to count.
    pub reassign_too_late_at: Instant,
    /// Time from which on a pass includes stages that are too late to count.
    pub too_late_at: Instant,
    /// Number of passes of this term.
    pub count: u64,
    /// Number of searches for workers in this term.
    pub searches: Cell<u64>,
    /// Number of workers examined for a stage in this term; a worker counts each time.
    pub examined_workers: Cell<u64>,
    /// Number of runs examined in this term for the isolation of suspects.
    pub examined_runs: Cell<u64>,
    /// Number of workers that were looked up by their identifiers, since `worker_positions` did not
    /// name them.
    pub worker_lookups: Cell<u64>,
    /// Positions in `Term::workers` by the index in the ledger. They are checked when they are used,
    /// and derived again in the next pass once one was wrong.
    pub worker_positions: Vec<usize>,
    /// Value of `worker_lookups` when the positions were derived.
    pub positioned_lookups: u64,
    /// Number of searches in this term that found neither room nor workers to ask about.
    pub fruitless_searches: u64,
    /// Counts at the last report.
    pub reported: Examined,
}

/// What the placer examined to place waiting stages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Examined {
    /// Searches for workers.
    pub searches: u64,
    /// Searches that found neither room nor workers to ask about.
    pub fruitless: u64,
    /// Workers that were examined; a worker counts each time.
    pub workers: u64,
}

impl Passes {
    /// Counts a search for workers.
    pub fn count_search(&self) {
        self.searches.set(self.searches.get() + 1);
    }

    /// Returns what was examined since the last call.
    pub fn examined_since_report(&mut self) -> Examined {
        let now = Examined {
            searches: self.searches.get(),
            fruitless: self.fruitless_searches,
            workers: self.examined_workers.get(),
        };
        let before = std::mem::replace(&mut self.reported, now);
        Examined {
            searches: now.searches - before.searches,
            fruitless: now.fruitless - before.fruitless,
            workers: now.workers - before.workers,
        }
    }

    /// Counts a run that is examined for the isolation of suspects.
    pub fn count_examined_run(&self) {
        self.examined_runs.set(self.examined_runs.get() + 1);
    }

    /// Counts a worker that is looked up by its identifier.
    pub fn count_worker_lookup(&self) {
        self.worker_lookups.set(self.worker_lookups.get() + 1);
    }

    /// Counts a worker that is examined for a stage.
    pub fn count_examined(&self) {
        self.examined_workers.set(self.examined_workers.get() + 1);
    }
}

impl Passes {
    /// Makes the first pass due immediately.
    pub fn new(now: Instant) -> Self {
        Self {
            reassign_at: now,
            reassign_too_late_at: now,
            too_late_at: now,
            changed: true,
            seen_growths: 0,
            searched_growths: 0,
            count: 0,
            searches: Cell::new(0),
            examined_workers: Cell::new(0),
            examined_runs: Cell::new(0),
            worker_lookups: Cell::new(0),
            worker_positions: Vec::new(),
            positioned_lookups: 0,
            fruitless_searches: 0,
            reported: Examined::default(),
        }
    }
}

impl Term {
    /// Whether a scheduling pass could place or ask more than the last one. Most steps change no
    /// input of a pass: with 350 workers, renewals and heartbeats alone would cause a pass every
    /// few milliseconds.
    pub(super) fn is_pass_due(&self) -> bool {
        self.passes.changed || self.ledger.growths() != self.passes.seen_growths
    }

    /// Begins a pass. Returns the workers whose room has grown since the last pass began, or `None`
    /// when they are not known.
    pub(super) fn begin_pass(&mut self) -> Option<GrownRoom> {
        self.questions.clear_refusals();
        self.crash_watch.isolated_workers = self.isolated_workers();
        self.update_worker_positions();
        let grown = self.ledger.grown_since(self.passes.searched_growths)?;
        let ledger = &self.ledger;
        let by_free_cpu = grown.map(|index| (ledger.free(index).cpu_millis, index));
        Some(GrownRoom::new(by_free_cpu))
    }

    fn update_worker_positions(&mut self) {
        let lookups = self.passes.worker_lookups.get();
        if lookups == self.passes.positioned_lookups {
            return;
        }
        self.passes.positioned_lookups = lookups;
        let positions = &mut self.passes.worker_positions;
        positions.clear();
        positions.resize(self.ledger.index_bound(), usize::MAX);
        for (position, worker) in self.workers.values().enumerate() {
            if let Some(entry) = positions.get_mut(worker.index) {
                *entry = position;
            }
        }
    }

    /// Ends a pass, which has taken all changes into account.
    pub(super) fn finish_pass(&mut self) {
        self.questions.finish_pass();
        self.passes.changed = false;
        self.passes.seen_growths = self.ledger.growths();
        self.passes.count += 1;
    }
}

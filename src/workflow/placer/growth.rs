//! Decides whether the room that has grown since the last search for a stage is worth another one.

use super::super::decisions::placing;
use super::Now;
use super::term::{LiveStage, Term};
use crate::scheduling::ledger::WorkerIndex;

/// Workers that the policy has granted to a stage, by their index in the ledger: each pass compares
/// the workers whose room has grown with all waiting stages. An index is reused only after the answers
/// about its worker were removed.
#[derive(Clone, Debug, Default)]
pub struct GrantedWorkers {
    /// `PermitCache::changes` of the answers from which the set was derived.
    permit_changes: u64,
    bits: Vec<u64>,
}

impl GrantedWorkers {
    fn insert(&mut self, index: WorkerIndex) {
        let word = index / 64;
        if self.bits.len() <= word {
            self.bits.resize(word + 1, 0);
        }
        self.bits[word] |= 1 << (index % 64);
    }

    fn contains(&self, index: WorkerIndex) -> bool {
        let word = self.bits.get(index / 64).copied().unwrap_or(0);
        word & (1 << (index % 64)) != 0
    }
}

/// Room that has grown since the last search for a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UsableGrowth {
    /// None of it is of use to the stage: another search would find nothing either.
    None,
    /// Some is, for fewer tasks than the stage lacks room for.
    TooLittle,
    /// Another search may have a result.
    Enough,
}

/// Workers whose room has grown since the last pass began, by their free processors at the beginning
/// of this pass, in which room only shrinks.
pub(super) struct GrownRoom(Vec<(u64, WorkerIndex)>);

impl GrownRoom {
    pub(super) fn new(workers: impl Iterator<Item = (u64, WorkerIndex)>) -> Self {
        let mut workers: Vec<_> = workers.collect();
        workers.sort_unstable();
        workers.dedup();
        Self(workers)
    }

    /// Returns the workers that may have at least `cpu_millis` of free processor time.
    fn with_free_cpu(&self, cpu_millis: u64) -> impl Iterator<Item = WorkerIndex> {
        let first = self.0.partition_point(|(free, _)| *free < cpu_millis);
        self.0[first..].iter().map(|&(_, index)| index)
    }
}

impl Term {
    /// Returns what the room that has grown is worth to a stage whose last search found nothing.
    /// `grown` holds all workers whose room has grown since the last pass began, or `None` when they
    /// are not known. If it is too little, it is taken into account for later passes.
    pub(super) fn growth_since_search(
        &mut self,
        position: usize,
        grown: Option<&GrownRoom>,
        now: Now,
    ) -> UsableGrowth {
        let Some((_, stage)) = self.stages.get_index(position) else {
            return UsableGrowth::Enough;
        };
        let (Some(empty), Some(grown)) = (stage.empty_search, grown) else {
            return UsableGrowth::Enough;
        };
        let may_ask = empty.awaits_caller && self.may_ask(stage, now);
        if may_ask || now.at >= empty.repeat_at || empty.growths < self.passes.searched_growths {
            return UsableGrowth::Enough;
        }
        if stage.granted_workers.permit_changes != stage.permits.changes() {
            self.derive_granted_workers(position);
        }
        let Some((key, stage)) = self.stages.get_index(position) else {
            return UsableGrowth::Enough;
        };
        // Only an answer of the policy makes other workers usable, and it ends the validity.
        let waits_for_policy = stage.open_questions > 0 || empty.awaits_caller;
        let has_answers = stage.permits.known_count() > 0;
        let needs_grant = waits_for_policy || (stage.needs.gang && has_answers);
        // A gang that waits for one rack can use any other that has room for it first.
        let awaits_rack = empty.awaits_place && !stage.needs.gang;
        let awaited = awaits_rack.then(|| self.awaited_rack(key)).flatten();
        let mut gained = 0;
        if has_answers || !needs_grant {
            for index in grown.with_free_cpu(stage.needs.amount.cpu_millis) {
                self.passes.count_examined();
                if awaited.is_some_and(|rack| !self.is_in_rack(index, rack)) {
                    continue;
                }
                gained += self.usable_growth(stage, needs_grant, index);
                if gained >= empty.lacking {
                    return UsableGrowth::Enough;
                }
            }
        }
        let growths = self.ledger.growths();
        if let Some((_, stage)) = self.stages.get_index_mut(position)
            && let Some(empty) = &mut stage.empty_search
        {
            empty.growths = growths;
            empty.lacking -= gained;
        }
        if gained > 0 {
            UsableGrowth::TooLittle
        } else {
            UsableGrowth::None
        }
    }

    /// Derives the positions of the workers that the policy has granted to a stage.
    fn derive_granted_workers(&mut self, position: usize) {
        let Some((_, stage)) = self.stages.get_index_mut(position) else {
            return;
        };
        stage.granted_workers = GrantedWorkers {
            permit_changes: stage.permits.changes(),
            bits: Vec::new(),
        };
        for id in stage.permits.granted_workers() {
            if let Some(worker) = self.workers.get(id) {
                stage.granted_workers.insert(worker.index);
            }
        }
    }

    /// Returns the largest number of tasks of a stage that the room of a worker may be of use to.
    /// With `needs_grant`, that is none unless the policy has granted the worker.
    fn usable_growth(&self, stage: &LiveStage, needs_grant: bool, index: WorkerIndex) -> usize {
        let amount = &stage.needs.amount;
        let free = self.ledger.free(index);
        if !free.covers(amount) {
            return 0;
        }
        let usable = if needs_grant {
            stage.granted_workers.contains(index)
        } else {
            let worker = self.ledger.worker(index);
            worker.is_some_and(|worker| !stage.permits.is_denied(&worker.description.id))
        };
        if !usable {
            return 0;
        }
        placing::tasks_that_fit(amount, &free, stage.waiting.len())
    }
}

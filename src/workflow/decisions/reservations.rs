//! Room for gangs, gathered while it becomes free.
//!
//! Load pattern: in a busy cell the workers that a gang may use are never free at the same time,
//! since small tasks take each piece of room at once. The gangs that come first keep what becomes
//! free on their workers until all members have room; others go on with the rest.

use indexmap::IndexMap;

use super::super::spec::StageSpec;
use super::placing::{Candidate, room};

/// Gangs of one priority that gather room at the same time: each leaves up to its own size idle
/// meanwhile. With 8, four of four days at high load were worth less than with 3.
const MAX_GATHERING_GANGS: usize = 3;
/// Part of its room that a gang has when its permits are renewed, in percent, so that they are
/// there when the rest is.
const RENEW_PERMITS_AT_PERCENT: usize = 60;
/// Known good workers that a gang should have, as a multiple of those that it needs: with fewer,
/// it would wait for particular workers.
const GOOD_WORKERS_FACTOR: usize = 2;

/// Which gangs of a scheduling pass may gather room. Each priority has its own slots: many small
/// urgent gangs wait for an instant only, and would take those of the large ones.
#[derive(Clone, Debug, Default)]
pub struct GatheringSlots(IndexMap<u32, usize>);

impl GatheringSlots {
    /// Claims a slot for the next gang of a priority, in the order of their ranks.
    pub fn claim(&mut self, priority: u32) -> bool {
        let taken = self.0.entry(priority).or_default();
        *taken += 1;
        *taken <= MAX_GATHERING_GANGS
    }
}

/// Number of further tasks to keep room for on each candidate, in their order. Together they do
/// not exceed `missing`.
pub fn gather<T>(spec: &StageSpec, missing: usize, candidates: &[Candidate<'_, T>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    // The emptiest workers first, so that few workers are needed.
    order.sort_by_key(|&position| std::cmp::Reverse(candidates[position].free.cpu_millis));
    let mut kept = vec![0; candidates.len()];
    let mut left = missing;
    for position in order {
        let count = room(spec, &candidates[position], left);
        kept[position] = count;
        left -= count;
    }
    kept
}

/// Whether a gang knows enough good workers to wait for room on them. `potential` is the number of
/// its tasks that fit on the known good workers when they are empty.
pub fn knows_enough(spec: &StageSpec, potential: usize) -> bool {
    potential >= spec.task_count as usize * GOOD_WORKERS_FACTOR
}

/// Whether a gang that holds room for `held` of its tasks should have valid permits now.
pub fn needs_permits(held: usize, tasks: usize) -> bool {
    held * 100 >= tasks * RENEW_PERMITS_AT_PERCENT
}

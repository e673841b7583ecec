//! Room for gangs, gathered while it becomes free.
//!
//! Load pattern: in a busy cell the workers that a gang may use are never free at the same time,
//! since small tasks take each piece of room at once. The gangs that come first keep what becomes
//! free on their workers until all members have room; others go on with the rest.

use indexmap::IndexMap;

use super::super::spec::StageSpec;
use super::placing::{Candidate, room};

/// Fewest gangs of one priority that may gather room at the same time. Each leaves up to its own
/// size idle meanwhile: with 8 of them on 48 workers, four of four days at high load were worth less
/// than with 3.
const MIN_GATHERING_GANGS: usize = 3;
/// Workers for each gang that gathers room: 3 gangs on 48 workers. A gang gathers for the time of a
/// question to the policy or longer, so that 3 on 350 workers left gangs waiting in a half empty
/// cell.
const WORKERS_PER_GATHERING_GANG: usize = 16;
/// Part of its room that a gang has when its permits are renewed, in percent, so that they are
/// there when the rest is.
const RENEW_PERMITS_AT_PERCENT: usize = 60;
/// Known good workers that a gang should have, as a multiple of those that it needs: with fewer,
/// it would wait for particular workers.
const GOOD_WORKERS_FACTOR: usize = 2;

/// Which gangs of a scheduling pass may gather room. Each priority has its own slots: many small
/// urgent gangs wait for an instant only, and would take those of the large ones.
#[derive(Clone, Debug)]
pub struct GatheringSlots {
    taken: IndexMap<u32, usize>,
    limit: usize,
}

impl GatheringSlots {
    /// Free slots for a cell with so many workers.
    pub fn new(workers: usize) -> Self {
        Self {
            taken: IndexMap::new(),
            limit: gathering_gangs(workers),
        }
    }

    /// Claims a slot for the next gang of a priority, in the order of their ranks.
    pub fn claim(&mut self, priority: u32) -> bool {
        let taken = self.taken.entry(priority).or_default();
        *taken += 1;
        *taken <= self.limit
    }
}

/// Gangs of one priority that may gather room at the same time in a cell with so many workers.
pub fn gathering_gangs(workers: usize) -> usize {
    MIN_GATHERING_GANGS.max(workers / WORKERS_PER_GATHERING_GANG)
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

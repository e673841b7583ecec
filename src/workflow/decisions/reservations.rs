//! Reserves room for gangs while it becomes free piece by piece.
//!
//! Load pattern: in a busy cell the workers that a gang may use are never free at the same time,
//! since small tasks occupy each piece of room at once. The gangs with the highest ranks reserve
//! what becomes free on their workers until all members have room; other stages use the rest.

use indexmap::{IndexMap, IndexSet};

use super::super::spec::StageSpec;
use super::placing::{Candidate, room};
use crate::resources::Resources;

/// Gangs of one priority that may always gather room at the same time. On a cell of 48 workers, with
/// 8 instead of 3, four of four days at high load scored lower.
const MIN_GATHERING_GANGS: usize = 3;
/// Part of the processors of the cell that the gangs which gather room may need together, in percent.
/// What they hold is idle meanwhile: with 10, a third of 1,100 workers was held after a day.
const GATHERING_PERCENT: u64 = 0;
/// Part of its room that a gang holds when its permits are renewed, in percent, so that the permits
/// are valid by the time the rest of the room is free.
const RENEW_PERMITS_AT_PERCENT: usize = 60;

/// Limits the gangs that gather room in a scheduling pass, by number and by the processors that they
/// need. Each priority has a number of its own: small urgent gangs are many and wait only briefly,
/// and would occupy the slots of the large ones.
#[derive(Clone, Debug, Default)]
pub struct ReservationSlots {
    gangs: IndexMap<u32, usize>,
    /// Processors that may still be claimed beyond the number, in thousandths of a core.
    left_millis: u64,
}

impl ReservationSlots {
    /// Creates the slots of a pass in a cell with so many processors, in thousandths of a core.
    pub fn new(capacity_millis: u64) -> Self {
        Self {
            gangs: IndexMap::new(),
            left_millis: capacity_millis / 100 * GATHERING_PERCENT,
        }
    }

    /// Claims a slot for the next gang of a priority and returns whether it may gather room. Gangs
    /// are passed in the order of their ranks with the processors that they need. One that waits for
    /// the placement policy holds no room.
    pub fn claim(&mut self, priority: u32, needed_millis: u64, waits_for_policy: bool) -> bool {
        let gangs = self.gangs.entry(priority).or_default();
        *gangs += 1;
        if waits_for_policy {
            return false;
        }
        let fits = needed_millis <= self.left_millis;
        self.left_millis = self.left_millis.saturating_sub(needed_millis);
        fits || *gangs <= MIN_GATHERING_GANGS
    }
}

/// Whether so many gangs are late, given the processors that they need, that gangs are served newest
/// first: more than may gather room at a time.
pub fn too_many_late_gangs(late_gangs: usize, needed_millis: u64, capacity_millis: u64) -> bool {
    late_gangs >= MIN_GATHERING_GANGS && needed_millis > capacity_millis / 100 * GATHERING_PERCENT
}

/// Returns, for each candidate in order, the number of further tasks to reserve room for. The sum
/// does not exceed `missing`.
pub fn reserve_room<T>(
    spec: &StageSpec,
    missing: usize,
    candidates: &[Candidate<'_, T>],
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    // The emptiest workers first, so that few workers are needed.
    order.sort_by_key(|&position| std::cmp::Reverse(candidates[position].free.cpu_millis));
    let mut reserved = vec![0; candidates.len()];
    let mut remaining = missing;
    for position in order {
        let count = room(spec, &candidates[position], remaining);
        reserved[position] = count;
        remaining -= count;
    }
    reserved
}

/// Returns, for each candidate, the number of members of a gang to reserve room for, or `None` if
/// there is no room for all members now. A gang that prefers one rack gets room in one rack if any
/// has enough.
pub fn reserve_whole_gang<T: Clone>(
    spec: &StageSpec,
    candidates: &[Candidate<'_, T>],
) -> Option<Vec<usize>> {
    let tasks = spec.task_count as usize;
    let covers = |counts: &Vec<usize>| counts.iter().sum::<usize>() == tasks;
    if spec.prefers_one_rack {
        let racks: IndexSet<&str> = candidates.iter().map(|candidate| candidate.rack).collect();
        for rack in racks {
            let mut in_rack = candidates.to_vec();
            for candidate in &mut in_rack {
                if candidate.rack != rack {
                    candidate.free = Resources::ZERO;
                }
            }
            let counts = reserve_room(spec, tasks, &in_rack);
            if covers(&counts) {
                return Some(counts);
            }
        }
    }
    Some(reserve_room(spec, tasks, candidates)).filter(covers)
}

/// Whether a gang with reserved room for `held` of its `tasks` should have valid permits now.
pub fn needs_permits(held: usize, tasks: usize) -> bool {
    held * 100 >= tasks * RENEW_PERMITS_AT_PERCENT
}

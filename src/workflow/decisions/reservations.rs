//! Reserves room for gangs while it becomes free piece by piece.
//!
//! Load pattern: in a busy cell the workers that a gang may use are never free at the same time,
//! since small tasks occupy each piece of room at once. The gangs with the highest ranks reserve
//! what becomes free on their workers until all members have room; other stages use the rest.

use indexmap::{IndexMap, IndexSet};

use super::super::spec::StageSpec;
use super::placing::{Candidate, room};
use crate::resources::Resources;

/// Gangs of one priority that reserve room at the same time: each keeps room up to its own size
/// idle meanwhile. With 8, four of four days at high load scored lower than with 3.
const MAX_RESERVING_GANGS: usize = 3;
/// Part of its room that a gang holds when its permits are renewed, in percent, so that the permits
/// are valid by the time the rest of the room is free.
const RENEW_PERMITS_AT_PERCENT: usize = 60;

/// Limits the gangs that reserve room in a scheduling pass. Each priority has its own slots: small
/// urgent gangs are many and wait only briefly, and would occupy the slots of the large ones.
#[derive(Clone, Debug, Default)]
pub struct ReservationSlots(IndexMap<u32, usize>);

impl ReservationSlots {
    /// Claims a slot for the next gang of a priority and returns whether one was free. Gangs are
    /// passed in the order of their ranks.
    pub fn claim(&mut self, priority: u32) -> bool {
        let claimed = self.0.entry(priority).or_default();
        *claimed += 1;
        *claimed <= MAX_RESERVING_GANGS
    }
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

//! Chooses the gangs that gather room, and reserves it while it becomes free piece by piece.
//!
//! Load pattern: in a busy cell the workers that a gang may use are never free at the same time,
//! since small tasks occupy each piece of room at once. Some gangs reserve what becomes free on
//! their workers until all members have room; other stages use the rest. Gathering takes several
//! questions to the placement policy and several run times, so that a gang that begins goes on.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use super::super::spec::StageSpec;
use super::placing::{Candidate, room};
use super::size_shares::{SizeBand, SizeShares};
use crate::resources::Resources;

/// Gangs of one priority that may gather room at the same time in a cell of any size.
const MIN_GATHERING_GANGS: usize = 3;
/// Part of the cell that the gangs of one priority that gather room may lack in addition to what
/// is free, in percent. In a simulated overload, 10% served the largest tenth of the gangs less than
/// half as often as all; 50% served fewer gangs in all.
const GATHERING_PERCENT: u64 = 30;

/// A gang of which all members wait, as far as the choice of those that gather room depends on it.
#[derive(Clone, Copy, Debug)]
pub struct WaitingGang {
    /// Priority and size.
    pub band: SizeBand,
    /// Processors of the members without reserved room, in thousandths of a core.
    pub missing_millis: u64,
    /// Whether the gang can still end within its objective.
    pub in_time: bool,
    /// Whether the gang has begun to gather room.
    pub gathers: bool,
}

/// Limits the gangs that gather room at the same time. Each priority has its own slots: small
/// urgent gangs are many and wait only briefly, and would occupy the slots of the large ones.
#[derive(Clone, Debug, Default)]
pub struct ReservationSlots {
    /// Room that the gangs of one priority may lack together, in thousandths of a core.
    room_millis: u64,
    claimed: IndexMap<u32, Claimed>,
}

/// Gangs of one priority that gather room.
#[derive(Clone, Copy, Debug, Default)]
struct Claimed {
    gangs: usize,
    missing_millis: u64,
}

impl ReservationSlots {
    /// Creates the slots of a cell, given its processors and those that are free, in thousandths of
    /// a core.
    pub fn new(capacity_millis: u64, free_millis: u64) -> Self {
        let gathered_millis = capacity_millis / 100 * GATHERING_PERCENT;
        Self {
            room_millis: gathered_millis.saturating_add(free_millis),
            claimed: IndexMap::new(),
        }
    }

    /// Whether there is a slot for a gang that lacks `missing_millis`.
    pub fn is_free(&self, priority: u32, missing_millis: u64) -> bool {
        let claimed = self.claimed.get(&priority).copied().unwrap_or_default();
        claimed.gangs < MIN_GATHERING_GANGS
            || claimed.missing_millis.saturating_add(missing_millis) <= self.room_millis
    }

    /// Claims a slot for a gang that lacks `missing_millis` and returns whether one was free.
    pub fn claim(&mut self, priority: u32, missing_millis: u64) -> bool {
        let is_free = self.is_free(priority, missing_millis);
        if is_free {
            self.keep(priority, missing_millis);
        }
        is_free
    }

    /// Counts a gang that lacks `missing_millis` and has a slot already.
    pub fn keep(&mut self, priority: u32, missing_millis: u64) {
        let claimed = self.claimed.entry(priority).or_default();
        claimed.gangs += 1;
        claimed.missing_millis = claimed.missing_millis.saturating_add(missing_millis);
    }
}

/// Gangs of one size in the choice of those that gather room.
#[derive(Default)]
struct Band {
    waiting: usize,
    gathering: usize,
    /// Positions of the gangs in time that do not gather room yet, by rank.
    candidates: VecDeque<usize>,
}

/// Returns, for each waiting gang in the order of their ranks, whether it gathers room. A gang that
/// has begun goes on while it can be in time. The other slots go to the size of which the smallest
/// share is placed, and what is left to late gangs.
pub fn choose_gathering(
    gangs: &[WaitingGang],
    mut slots: ReservationSlots,
    shares: &SizeShares,
) -> Vec<bool> {
    let mut chosen = vec![false; gangs.len()];
    let mut bands: IndexMap<SizeBand, Band> = IndexMap::new();
    for (position, gang) in gangs.iter().enumerate() {
        let band = bands.entry(gang.band).or_default();
        band.waiting += 1;
        if !gang.in_time {
            continue;
        }
        if gang.gathers {
            slots.keep(gang.band.priority, gang.missing_millis);
            chosen[position] = true;
            band.gathering += 1;
            continue;
        }
        band.candidates.push_back(position);
    }
    while let Some((key, position)) = next_by_size(&bands, gangs, &slots, shares) {
        slots.keep(key.priority, gangs[position].missing_millis);
        chosen[position] = true;
        if let Some(band) = bands.get_mut(&key) {
            band.candidates.pop_front();
            band.gathering += 1;
        }
    }
    for (position, gang) in gangs.iter().enumerate() {
        if !chosen[position] {
            chosen[position] = slots.claim(gang.band.priority, gang.missing_millis);
        }
    }
    chosen
}

/// Like [`choose_gathering`] in a cell with customers: gangs that come last, such as those of
/// customers over their share, get the slots that the others leave. Those of them that have begun to
/// gather go on only while no other gang lacks a slot.
pub fn choose_gathering_by_shares(
    gangs: &[WaitingGang],
    comes_last: &[bool],
    mut slots: ReservationSlots,
    shares: &SizeShares,
) -> Vec<bool> {
    let (last, first): (Vec<usize>, Vec<usize>) =
        (0..gangs.len()).partition(|&position| comes_last[position]);
    if last.is_empty() {
        return choose_gathering(gangs, slots, shares);
    }
    let mut chosen = vec![false; gangs.len()];
    let of_first: Vec<WaitingGang> = first.iter().map(|&position| gangs[position]).collect();
    let mut lacks_slot = false;
    for (position, gathers) in
        (first.into_iter()).zip(choose_gathering(&of_first, slots.clone(), shares))
    {
        chosen[position] = gathers;
        lacks_slot |= !gathers;
        if gathers {
            slots.keep(
                gangs[position].band.priority,
                gangs[position].missing_millis,
            );
        }
    }
    let mut of_last: Vec<WaitingGang> = last.iter().map(|&position| gangs[position]).collect();
    for gang in &mut of_last {
        gang.gathers &= !lacks_slot;
    }
    for (position, gathers) in last
        .into_iter()
        .zip(choose_gathering(&of_last, slots, shares))
    {
        chosen[position] = gathers;
    }
    chosen
}

/// Returns the next gang of the size of which the smallest share is placed, among those for which
/// there is a slot.
fn next_by_size(
    bands: &IndexMap<SizeBand, Band>,
    gangs: &[WaitingGang],
    slots: &ReservationSlots,
    shares: &SizeShares,
) -> Option<(SizeBand, usize)> {
    let mut next = None;
    let mut smallest = f64::INFINITY;
    for (key, band) in bands {
        let Some(&position) = band.candidates.front() else {
            continue;
        };
        if !slots.is_free(key.priority, gangs[position].missing_millis) {
            continue;
        }
        let share = shares
            .outcomes(*key)
            .placed_share(band.waiting, band.gathering);
        if share < smallest {
            smallest = share;
            next = Some((*key, position));
        }
    }
    next
}

/// Returns, for each candidate in order, the number of further tasks to reserve room for. The sum
/// does not exceed `missing`.
pub fn reserve_room<T>(
    spec: &StageSpec,
    missing: usize,
    candidates: &[Candidate<'_, T>],
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    // A gang is as fast as its slowest member. Among equally fast workers the emptiest come first, so
    // that few workers are needed.
    order.sort_by(|&left, &right| {
        let (left, right) = (&candidates[left], &candidates[right]);
        let slowness = left.slowness.total_cmp(&right.slowness);
        slowness.then(right.free.cpu_millis.cmp(&left.free.cpu_millis))
    });
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

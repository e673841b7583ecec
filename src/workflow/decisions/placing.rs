//! Chooses workers for the tasks of a stage.
//!
//! Load pattern: at high load most workers are nearly full, and large tasks find room only where
//! small ones were packed tightly. Tasks are placed on the fullest worker that can hold them (best
//! fit); gangs are placed whole or not at all.

use indexmap::IndexMap;

use super::super::spec::StageSpec;
use crate::resources::Resources;

/// A worker that the stage may use.
#[derive(Clone, Debug)]
pub struct Candidate<'a, T> {
    /// Value by which the calling code identifies the worker.
    pub worker: T,
    /// Resources that are free for new tasks.
    pub free: Resources,
    /// Rack of the worker; empty if it announced none.
    pub rack: &'a str,
    /// Number of tasks of the stage that are already placed on the worker.
    pub tasks_of_stage: u32,
    /// Expected run time relative to a healthy worker; 1 for most.
    pub slowness: f64,
}

/// Number of further tasks that a candidate can hold, at most `limit`.
pub fn room<T>(spec: &StageSpec, candidate: &Candidate<'_, T>, limit: usize) -> usize {
    let by_count = spec.max_tasks_per_worker.map_or(limit, |max| {
        max.saturating_sub(candidate.tasks_of_stage) as usize
    });
    tasks_that_fit(&spec.ledger_amount(), &candidate.free, limit.min(by_count))
}

/// Number of tasks that fit into the free resources, at most `limit`.
pub fn tasks_that_fit(need: &Resources, free: &Resources, limit: usize) -> usize {
    let by_cpu = quotient(free.cpu_millis, need.cpu_millis, limit);
    let by_memory = quotient(free.memory_mib, need.memory_mib, limit);
    let by_accelerators = quotient(free.accelerators, need.accelerators, limit);
    limit.min(by_cpu).min(by_memory).min(by_accelerators)
}

/// Whether no candidate is preferred to this one for a reason other than its free room.
pub fn is_best_class<T>(spec: &StageSpec, candidate: &Candidate<'_, T>) -> bool {
    let far = spec
        .data_rack
        .as_ref()
        .is_some_and(|rack| rack != candidate.rack);
    !far && candidate.slowness <= 1.0
}

fn quotient(free: u64, need: u64, limit: usize) -> usize {
    free.checked_div(need)
        .map_or(limit, |count| usize::try_from(count).unwrap_or(limit))
}

/// Chooses a candidate for each of `wanted` tasks and returns positions in `candidates`. For a
/// gang, the result covers all tasks or none; for other stages, it may cover fewer.
pub fn place<T: Clone>(
    spec: &StageSpec,
    wanted: usize,
    candidates: &[Candidate<'_, T>],
) -> Vec<usize> {
    if spec.gang
        && spec.prefers_one_rack
        && let Some(chosen) = place_in_one_rack(spec, wanted, candidates)
    {
        return chosen;
    }
    let all: Vec<usize> = (0..candidates.len()).collect();
    let chosen = best_fit(spec, wanted, candidates, &all);
    if spec.gang && chosen.len() < wanted {
        return Vec::new();
    }
    chosen
}

fn place_in_one_rack<T: Clone>(
    spec: &StageSpec,
    wanted: usize,
    candidates: &[Candidate<'_, T>],
) -> Option<Vec<usize>> {
    let mut racks: IndexMap<&str, Vec<usize>> = IndexMap::new();
    for (position, candidate) in candidates.iter().enumerate() {
        racks.entry(candidate.rack).or_default().push(position);
    }
    let choices = racks
        .values()
        .map(|rack| best_fit(spec, wanted, candidates, rack));
    choices.into_iter().find(|chosen| chosen.len() == wanted)
}

fn best_fit<T: Clone>(
    spec: &StageSpec,
    wanted: usize,
    candidates: &[Candidate<'_, T>],
    allowed: &[usize],
) -> Vec<usize> {
    let mut order: Vec<usize> = allowed.to_vec();
    let far = |candidate: &Candidate<'_, T>| {
        spec.data_rack
            .as_ref()
            .is_some_and(|rack| rack != candidate.rack)
    };
    order.sort_by(|&left, &right| {
        let (left, right) = (&candidates[left], &candidates[right]);
        let slowness = left.slowness.total_cmp(&right.slowness);
        let distance = far(left).cmp(&far(right));
        let free = left.free.cpu_millis.cmp(&right.free.cpu_millis);
        distance.then(slowness).then(free)
    });
    let mut chosen = Vec::with_capacity(wanted);
    for position in order {
        let missing = wanted - chosen.len();
        if missing == 0 {
            break;
        }
        let count = room(spec, &candidates[position], missing);
        chosen.extend(std::iter::repeat_n(position, count));
    }
    chosen
}

//! Limits what each customer has running over all workers.
//!
//! Load pattern: a customer submits far more than its cap allows, wide gangs among small work. Small
//! tasks that start whenever a little room under the cap becomes free would keep a wide gang waiting
//! for ever, so that a gang reserves the room under the cap after it has waited for some time.

use std::time::Duration;

use crate::resources::Resources;

/// Part of the time that a gang may wait after which it reserves room under the cap ahead of smaller
/// work that ranks before it: with the rest of that time, the work that runs can end.
const RESERVING_AFTER: f64 = 0.5;

/// Cap of a customer and what counts against it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CapUse {
    /// Most resources that the runs of the customer may occupy; a zero is no limit.
    pub cap: Resources,
    /// Resources of its runs that may exist, and of gangs that reserve room under the cap.
    pub used: Resources,
}

/// Returns how many tasks of an amount may start, at most `limit`.
pub fn tasks_under_cap(cap_use: &CapUse, amount: &Resources, limit: usize) -> usize {
    let CapUse { cap, used } = cap_use;
    let by_resource = [
        tasks_under(cap.cpu_millis, used.cpu_millis, amount.cpu_millis),
        tasks_under(cap.memory_mib, used.memory_mib, amount.memory_mib),
        tasks_under(cap.accelerators, used.accelerators, amount.accelerators),
    ];
    let tasks = by_resource.into_iter().flatten().min();
    tasks.map_or(limit, |tasks| {
        usize::try_from(tasks).unwrap_or(limit).min(limit)
    })
}

/// Returns how many tasks fit under the cap of one resource; `None` if it limits none.
fn tasks_under(cap: u64, used: u64, amount: u64) -> Option<u64> {
    if cap == 0 {
        return None;
    }
    cap.saturating_sub(used).checked_div(amount)
}

/// Whether an amount exceeds the cap even when nothing else of the customer runs.
pub fn never_fits(cap: &Resources, amount: &Resources) -> bool {
    let exceeds = |cap: u64, amount: u64| cap > 0 && amount > cap;
    exceeds(cap.cpu_millis, amount.cpu_millis)
        || exceeds(cap.memory_mib, amount.memory_mib)
        || exceeds(cap.accelerators, amount.accelerators)
}

/// Whether a gang that has waited for a time reserves room under the cap ahead of smaller work that
/// ranks before it. `allowed` is the time that it may wait and still meet its objective.
pub fn reserves_first(waited: Duration, allowed: Duration) -> bool {
    waited >= allowed.mul_f64(RESERVING_AFTER)
}

//! Divides the questions to the placement policy among the priorities.
//!
//! Load pattern: only so many questions can be in flight. In an overload the stages that rank first
//! take each place that becomes free, and a priority that ranks last is never asked about although
//! there would be room for it.

use indexmap::IndexMap;

/// Part of the places that is guaranteed to all priorities together, in percent; each has the same
/// part of it. The others go to the stages that rank first.
const GUARANTEED_PERCENT: usize = 25;

/// Questions of one priority.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Demand {
    /// Questions in flight.
    open: usize,
    /// Whether a question was refused since the current pass began or an answer arrived.
    refused: bool,
    /// Whether a question was refused in the current pass.
    refused_in_pass: bool,
    /// Whether a question was refused in the last pass.
    waits: bool,
}

/// Questions in flight, by the priority of their queue.
#[derive(Clone, Debug, Default)]
pub struct QuestionShares(IndexMap<u32, Demand>);

impl QuestionShares {
    /// Whether a question of a priority may be asked when at most `limit` are in flight.
    pub fn allows(&self, priority: u32, limit: usize) -> bool {
        self.places(priority, limit) > 0
    }

    /// Number of questions of a priority that may be asked when at most `limit` are in flight. The
    /// places that other priorities are owed and wait for remain free.
    pub fn places(&self, priority: u32, limit: usize) -> usize {
        let free = limit.saturating_sub(self.open_questions());
        let others = self.0.iter().filter(|(other, _)| **other != priority);
        let others = others.map(|(_, demand)| demand);
        let active = others.filter(|demand| demand.open > 0 || demand.waits);
        let active: Vec<&Demand> = active.collect();
        let guaranteed = limit * GUARANTEED_PERCENT / 100 / (active.len() + 1);
        let own = guaranteed.saturating_sub(self.open_of(priority));
        let waiting = active.iter().filter(|demand| demand.waits);
        let owed = waiting.map(|demand| guaranteed.saturating_sub(demand.open));
        own.min(free).max(free.saturating_sub(owed.sum()))
    }

    /// Number of questions of a priority in flight.
    pub fn open_of(&self, priority: u32) -> usize {
        self.0.get(&priority).map_or(0, |demand| demand.open)
    }

    /// Records that a question of a priority was asked.
    pub fn open(&mut self, priority: u32) {
        self.0.entry(priority).or_default().open += 1;
    }

    /// Records that a question of a priority cannot be asked now.
    pub fn refuse(&mut self, priority: u32) {
        let demand = self.0.entry(priority).or_default();
        demand.refused = true;
        demand.refused_in_pass = true;
    }

    /// Whether a question of a priority was found not to be possible now.
    pub fn is_refused(&self, priority: u32) -> bool {
        self.0.get(&priority).is_some_and(|demand| demand.refused)
    }

    /// Whether a question of any priority was found not to be possible now.
    pub fn any_refused(&self) -> bool {
        self.0.values().any(|demand| demand.refused)
    }

    /// Records that a question may be possible again.
    pub fn clear_refusals(&mut self) {
        for demand in self.0.values_mut() {
            demand.refused = false;
        }
    }

    /// Records the end of a question of a priority.
    pub fn close(&mut self, priority: u32) {
        let demand = self.0.entry(priority).or_default();
        demand.open = demand.open.saturating_sub(1);
    }

    /// Records that a scheduling pass, which visits all stages that may ask, has ended.
    pub fn finish_pass(&mut self) {
        for demand in self.0.values_mut() {
            demand.waits = demand.refused_in_pass;
            demand.refused_in_pass = false;
        }
    }

    /// Number of questions in flight.
    pub fn open_questions(&self) -> usize {
        self.0.values().map(|demand| demand.open).sum()
    }
}

//! Budgets that keep retries a small share of the first attempts.

use indexmap::IndexMap;

use crate::ids::{MemberId, WorkerId};

/// First attempts that pay for one retry.
const ATTEMPTS_PER_RETRY: u32 = 10;
/// Retries that a budget holds at most and at first, so that the tasks of one lost runner can be
/// retried at once.
const MAX_SAVED_RETRIES: u32 = 16;
/// Members or runners tracked at most; names may come from callers.
const MAX_TRACKED: usize = 10_000;

/// Budget of one member or runner, in tenths of a retry.
#[derive(Clone, Copy, Debug)]
struct Budget(u32);

impl Default for Budget {
    fn default() -> Self {
        Self(MAX_SAVED_RETRIES * ATTEMPTS_PER_RETRY)
    }
}

/// Retry budgets of all members and runners.
#[derive(Debug, Default)]
pub(super) struct RetryBudgets {
    members: IndexMap<MemberId, Budget>,
    runners: IndexMap<WorkerId, Budget>,
}

impl RetryBudgets {
    /// Counts the first attempt of a request.
    pub fn deposit(&mut self, member: &str, worker: &str) {
        for (budgets, name) in [(&mut self.members, member), (&mut self.runners, worker)] {
            // An untracked budget is full, so there is nothing to add.
            if let Some(budget) = budgets.get_mut(name) {
                budget.0 = (budget.0 + 1).min(MAX_SAVED_RETRIES * ATTEMPTS_PER_RETRY);
            }
        }
    }

    /// Takes one retry from the member and from the runner where the attempt ended; returns
    /// whether both had one.
    pub fn withdraw(&mut self, member: &str, worker: &str) -> bool {
        let member = budget(&mut self.members, member);
        let runner = budget(&mut self.runners, worker);
        if member.0 < ATTEMPTS_PER_RETRY || runner.0 < ATTEMPTS_PER_RETRY {
            return false;
        }
        member.0 -= ATTEMPTS_PER_RETRY;
        runner.0 -= ATTEMPTS_PER_RETRY;
        true
    }
}

fn budget<'a>(budgets: &'a mut IndexMap<String, Budget>, name: &str) -> &'a mut Budget {
    if budgets.len() >= MAX_TRACKED && !budgets.contains_key(name) {
        budgets.swap_remove_index(0);
    }
    budgets.entry(name.to_owned()).or_default()
}

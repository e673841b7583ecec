//! Bounds retries to a fraction of the requests, per member and per runner.

use indexmap::IndexMap;

use crate::ids::{MemberId, WorkerId};

/// Tokens that one retry costs; a request earns `earned_per_request` of them.
const TOKENS_PER_RETRY: u32 = 1_000;
/// Retries that may follow each other at once after a quiet time.
const MAX_SAVED_RETRIES: u32 = 10;
/// Names whose tokens are kept; beyond that an early one starts anew.
const MAX_NAMES: usize = 20_000;

/// Retry budget of a placer.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_request: u32,
    members: IndexMap<MemberId, u32>,
    runners: IndexMap<WorkerId, u32>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(100)
    }
}

impl RetryBudget {
    /// A budget of so many retries per thousand requests.
    pub fn new(retries_permille: u32) -> Self {
        Self {
            earned_per_request: retries_permille,
            members: IndexMap::new(),
            runners: IndexMap::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, member: &str, runner: &str) {
        for (tokens, name) in [(&mut self.members, member), (&mut self.runners, runner)] {
            let present = tokens_of(tokens, name);
            *present =
                (*present + self.earned_per_request).min(MAX_SAVED_RETRIES * TOKENS_PER_RETRY);
        }
    }

    /// Takes a retry of a member's request, after a failure on the runner, from both budgets.
    /// Returns whether it is allowed; a refused one costs nothing.
    pub fn try_retry(&mut self, member: &str, failed_runner: &str) -> bool {
        let member = tokens_of(&mut self.members, member);
        let runner = tokens_of(&mut self.runners, failed_runner);
        if *member < TOKENS_PER_RETRY || *runner < TOKENS_PER_RETRY {
            return false;
        }
        *member -= TOKENS_PER_RETRY;
        *runner -= TOKENS_PER_RETRY;
        true
    }
}

/// Tokens of a name; a new one may retry once, so that rare requests are retried at all.
fn tokens_of<'tokens>(tokens: &'tokens mut IndexMap<String, u32>, name: &str) -> &'tokens mut u32 {
    if !tokens.contains_key(name) {
        if tokens.len() >= MAX_NAMES {
            tokens.swap_remove_index(0);
        }
        tokens.insert(name.to_owned(), TOKENS_PER_RETRY);
    }
    &mut tokens[name]
}

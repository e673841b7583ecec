//! Limits retries to a fraction of the requests, per member and per runner.

use indexmap::IndexMap;

use crate::ids::{MemberId, WorkerId};

/// Tokens that one retry costs; a request earns `earned_per_request` of them.
const TOKENS_PER_RETRY: u32 = 1_000;
/// Size of a token bucket in retries, which bounds a burst of retries.
const MAX_BURST_RETRIES: u32 = 10;
/// Maximum number of members, and of runners, with a token bucket. Beyond it, an early bucket is
/// evicted, and its name starts with a new one.
const MAX_NAMES: usize = 20_000;

/// Token buckets of a placer, one for each member and for each runner.
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
    /// Creates a budget that allows `retries_permille` retries per thousand requests.
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
            let balance = bucket_of(tokens, name);
            *balance =
                (*balance + self.earned_per_request).min(MAX_BURST_RETRIES * TOKENS_PER_RETRY);
        }
    }

    /// Charges both buckets for the retry of a member's request that failed on the runner. Returns
    /// whether the retry is allowed; a refused retry costs nothing.
    pub fn try_retry(&mut self, member: &str, failed_runner: &str) -> bool {
        let member = bucket_of(&mut self.members, member);
        let runner = bucket_of(&mut self.runners, failed_runner);
        if *member < TOKENS_PER_RETRY || *runner < TOKENS_PER_RETRY {
            return false;
        }
        *member -= TOKENS_PER_RETRY;
        *runner -= TOKENS_PER_RETRY;
        true
    }
}

/// Returns the tokens of a name. A new name may retry once, since a member with few requests would
/// otherwise not earn a single retry.
fn bucket_of<'tokens>(tokens: &'tokens mut IndexMap<String, u32>, name: &str) -> &'tokens mut u32 {
    if !tokens.contains_key(name) {
        if tokens.len() >= MAX_NAMES {
            tokens.swap_remove_index(0);
        }
        tokens.insert(name.to_owned(), TOKENS_PER_RETRY);
    }
    &mut tokens[name]
}

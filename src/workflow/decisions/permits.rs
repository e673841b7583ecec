//! Which workers to ask the placement policy about.
//!
//! Load pattern: the policy needs a fixed time for each call and a further one for each worker, and
//! answers one call at a time for each caller. Asking about all workers would take longer than
//! urgent jobs may wait; asking about too few means a second call.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::WorkerId;

/// Most workers in one call; the limit of the policy's interface.
pub const MAX_WORKERS_PER_CALL: usize = 100;
/// Share of workers that a policy allows before anything is known of it.
const INITIAL_GOOD_SHARE: f64 = 0.4;
/// Weight of the newest answer in the learned share.
const GOOD_SHARE_WEIGHT: f64 = 0.1;
/// Workers that are asked about beyond the expected need, as a factor.
const ASK_FACTOR: f64 = 1.4;
/// Longest queue of questions at one caller: a later question may be more urgent, and workers that
/// have room now are full by the time of a late answer.
pub const MAX_QUEUE: Duration = Duration::from_millis(150);
/// Time of the way to and from a caller, in milliseconds: a round trip between regions.
const SECOND_TRIP_MS: f64 = 60.0;
/// Fewest unknown workers in one call.
const MIN_WORKERS_PER_CALL: usize = 3;
/// Validity that must remain when a run is placed: its commit and its start order take part of it.
pub const PERMIT_MARGIN: Duration = Duration::from_millis(450);

/// A worker's answer for one stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The stage may run there.
    Granted {
        /// Proof for the worker.
        token: String,
        /// Accepted by the worker until then.
        expires_at: Instant,
    },
    /// The stage may not run there; this does not change.
    Denied,
}

/// Answers of the policy for one stage.
#[derive(Clone, Debug, Default)]
pub struct PermitBook {
    answers: IndexMap<WorkerId, Permit>,
}

impl PermitBook {
    /// Takes an answer; workers that were asked about and are not granted are denied.
    pub fn record(
        &mut self,
        asked: &[WorkerId],
        granted: &[(WorkerId, String)],
        expires_at: Instant,
    ) {
        for worker in asked {
            self.answers.insert(worker.clone(), Permit::Denied);
        }
        for (worker, token) in granted {
            let permit = Permit::Granted {
                token: token.clone(),
                expires_at,
            };
            self.answers.insert(worker.clone(), permit);
        }
    }

    /// Forgets what was granted to one life of a worker.
    pub fn forget(&mut self, worker: &str) {
        self.answers.shift_remove(worker);
    }

    /// The token of a permit that stays valid long enough to start a run.
    pub fn usable(&self, worker: &str, now: Instant) -> Option<&str> {
        match self.answers.get(worker)? {
            Permit::Granted { token, expires_at } if now + PERMIT_MARGIN < *expires_at => {
                Some(token)
            }
            _ => None,
        }
    }

    /// Whether the policy has denied the worker.
    pub fn is_denied(&self, worker: &str) -> bool {
        self.answers.get(worker) == Some(&Permit::Denied)
    }

    /// Whether the policy has answered about the worker.
    pub fn is_known(&self, worker: &str) -> bool {
        self.answers.contains_key(worker)
    }

    /// Workers that the policy has granted, also those whose permit has expired.
    pub fn granted_workers(&self) -> impl Iterator<Item = &WorkerId> {
        let answers = self.answers.iter();
        let granted = answers.filter(|(_, permit)| matches!(permit, Permit::Granted { .. }));
        granted.map(|(worker, _)| worker)
    }

    /// Whether the policy has ever granted the worker.
    pub fn was_granted(&self, worker: &str) -> bool {
        matches!(self.answers.get(worker), Some(Permit::Granted { .. }))
    }
}

/// Share of workers that the policy of a queue allows, learned from its answers.
#[derive(Clone, Copy, Debug)]
pub struct GoodShare(f64);

impl Default for GoodShare {
    fn default() -> Self {
        Self(INITIAL_GOOD_SHARE)
    }
}

impl GoodShare {
    /// Takes an answer into account.
    pub fn learn(&mut self, asked: usize, granted: usize) {
        if asked == 0 {
            return;
        }
        let share = granted as f64 / asked as f64;
        self.0 += (share - self.0) * GOOD_SHARE_WEIGHT;
    }

    /// Workers to ask about so that probably `needed` of them are granted.
    pub fn workers_to_ask(&self, needed: usize) -> usize {
        let expected = needed as f64 / self.0.max(0.05);
        let asked = (expected * ASK_FACTOR).ceil() as usize;
        asked.clamp(MIN_WORKERS_PER_CALL, MAX_WORKERS_PER_CALL)
    }
}

/// A worker with room that has no usable permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unpermitted {
    /// Worker.
    pub worker: WorkerId,
    /// Tasks of the stage that it can hold.
    pub room: usize,
    /// Whether the policy has granted it before, and only the permit has to be renewed.
    pub known_good: bool,
}

/// Time that a question costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuestionCost {
    /// Fixed time of an answer, in milliseconds.
    pub decision_ms: f64,
    /// Further time for each worker, in milliseconds.
    pub per_worker_ms: f64,
    /// Whether enough callers are free for longer questions.
    pub callers_are_free: bool,
}

impl QuestionCost {
    /// Number of workers to ask about where `needed` of `known` would probably do: all, when that
    /// takes less time than the second question that a bad guess costs.
    fn workers_to_ask(&self, needed: usize, known: usize) -> usize {
        let further = known.saturating_sub(needed) as f64 * self.per_worker_ms;
        if self.callers_are_free && further <= self.decision_ms + SECOND_TRIP_MS {
            known
        } else {
            needed
        }
    }
}

/// Chooses the workers to ask about for `missing` tasks: known good ones as far as they go, then
/// unknown ones, those with the most room first. With `whole`, nothing when the tasks cannot all
/// get room.
pub fn choose_workers(
    mut unpermitted: Vec<Unpermitted>,
    missing: usize,
    whole: bool,
    share: GoodShare,
    cost: QuestionCost,
) -> Vec<Unpermitted> {
    unpermitted.sort_by_key(|one| (!one.known_good, std::cmp::Reverse(one.room)));
    let rooms: usize = unpermitted.iter().map(|one| one.room).sum();
    if whole && rooms < missing {
        return Vec::new();
    }
    let (known, unknown): (Vec<_>, Vec<_>) =
        unpermitted.into_iter().partition(|one| one.known_good);
    let mut chosen = Vec::new();
    let mut covered = 0;
    for one in known {
        if covered >= missing {
            break;
        }
        covered += one.room;
        chosen.push(one);
    }
    if covered < missing && !unknown.is_empty() {
        let unknown_rooms: usize = unknown.iter().map(|one| one.room).sum();
        let average_room = (unknown_rooms / unknown.len()).max(1);
        let needed = (missing - covered).div_ceil(average_room);
        let asked = cost.workers_to_ask(share.workers_to_ask(needed), unknown.len());
        chosen.extend(unknown.into_iter().take(asked));
    }
    chosen.truncate(MAX_WORKERS_PER_CALL);
    chosen
}

//! Chooses the workers about which the placement policy is asked.
//!
//! Load pattern: the policy needs a fixed time for each call and additional time for each worker,
//! and answers one call at a time for each caller. Asking about all workers would take longer than
//! urgent jobs may wait; asking about too few workers requires a second call.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::WorkerId;

/// Largest number of workers in one call, as the policy's interface limits it.
pub const MAX_WORKERS_PER_CALL: usize = 100;
/// Assumed share of workers that a policy grants, before its first answer.
const INITIAL_GRANTED_SHARE: f64 = 0.4;
/// Weight of the newest answer in the moving average of the granted share.
const GRANTED_SHARE_WEIGHT: f64 = 0.1;
/// Smallest granted share that is assumed, which limits the length of questions.
const MIN_GRANTED_SHARE: f64 = 0.05;
/// Like [`ASK_FACTOR`] for a gang, which cannot start with a part of its members.
const GANG_ASK_FACTOR: f64 = 2.0;
/// Members that have to fit on the granted workers of a gang when these are empty, as a multiple of
/// all members: with less choice, the gang would hold room and wait for particular workers. In a
/// simulated overload, gangs held room longer and fewer were served with 2 and with 3.
const GANG_CAPACITY_FACTOR: usize = 4;
/// Factor by which the number of workers in a call exceeds the expected need.
const ASK_FACTOR: f64 = 1.4;
/// Longest time that questions may queue at one caller: a later question may be more urgent, and
/// workers that have room now are full by the time of a late answer.
pub const MAX_QUEUE: Duration = Duration::from_millis(150);
/// Round trip to a caller in another region, in milliseconds; a second question costs one more.
const SECOND_ROUND_TRIP_MS: f64 = 60.0;
/// Largest multiple of the workers that are probably enough which are asked about to save a second
/// question: the leader records each answer.
const MAX_ASK_MULTIPLE: usize = 4;
/// Smallest number of workers without an earlier answer in one call.
const MIN_WORKERS_PER_CALL: usize = 3;
/// Validity that must remain when a run is placed: the commit and the start order use part of it.
pub const PERMIT_MARGIN: Duration = Duration::from_millis(450);

/// Answer of the policy about one worker and one stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The stage may run on the worker.
    Granted {
        /// Proof that the worker checks when the run starts.
        token: String,
        /// Time until which the worker accepts the token.
        expires_at: Instant,
    },
    /// The stage may not run on the worker; the policy never changes this answer.
    Denied,
}

/// Answers of the policy for one stage.
#[derive(Clone, Debug, Default)]
pub struct PermitCache {
    answers: IndexMap<WorkerId, Permit>,
    /// Number of changes of `answers`.
    changes: u64,
}

impl PermitCache {
    /// Records an answer; workers in `asked` that are not in `granted` are denied.
    pub fn record(
        &mut self,
        asked: &[WorkerId],
        granted: &[(WorkerId, String)],
        expires_at: Instant,
    ) {
        self.changes += 1;
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

    /// Removes the answer about a worker, whose permits were bound to an ended incarnation.
    pub fn remove(&mut self, worker: &str) {
        self.changes += 1;
        self.answers.shift_remove(worker);
    }

    /// Number of changes of the answers, which tells whether what was derived from them is current.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Token of the worker's permit if it stays valid for at least [`PERMIT_MARGIN`].
    pub fn usable(&self, worker: &str, now: Instant) -> Option<&str> {
        let (token, _) = self.usable_permit(worker, now)?;
        Some(token)
    }

    /// Time until which the worker's permit is usable, if it is now.
    pub fn usable_until(&self, worker: &str, now: Instant) -> Option<Instant> {
        let (_, until) = self.usable_permit(worker, now)?;
        Some(until)
    }

    fn usable_permit(&self, worker: &str, now: Instant) -> Option<(&str, Instant)> {
        let Permit::Granted { token, expires_at } = self.answers.get(worker)? else {
            return None;
        };
        let until = expires_at.checked_sub(PERMIT_MARGIN)?;
        (now < until).then_some((token, until))
    }

    /// Whether the policy has denied the worker.
    pub fn is_denied(&self, worker: &str) -> bool {
        self.answers.get(worker) == Some(&Permit::Denied)
    }

    /// Whether the policy has answered about the worker.
    pub fn is_known(&self, worker: &str) -> bool {
        self.answers.contains_key(worker)
    }

    /// Whether a permit is no longer valid for long enough to start a run with it.
    pub fn has_expired(&self, now: Instant) -> bool {
        let mut granted = self.granted_workers();
        granted.any(|worker| self.usable(worker, now).is_none())
    }

    /// Number of workers about which the policy has answered.
    pub fn known_count(&self) -> usize {
        self.answers.len()
    }

    /// Workers that the policy has granted, including those whose permit has expired.
    pub fn granted_workers(&self) -> impl Iterator<Item = &WorkerId> {
        let answers = self.answers.iter();
        let granted = answers.filter(|(_, permit)| matches!(permit, Permit::Granted { .. }));
        granted.map(|(worker, _)| worker)
    }

    /// Whether the policy has granted the worker, including when the permit has expired.
    pub fn was_granted(&self, worker: &str) -> bool {
        matches!(self.answers.get(worker), Some(Permit::Granted { .. }))
    }
}

/// Moving average of the share of workers that the policy of a queue grants.
#[derive(Clone, Copy, Debug)]
pub struct GrantedShare(f64);

impl Default for GrantedShare {
    fn default() -> Self {
        Self(INITIAL_GRANTED_SHARE)
    }
}

impl GrantedShare {
    /// Updates the average with an answer; an answer about no workers has no effect.
    pub fn update(&mut self, asked: usize, granted: usize) {
        if asked == 0 {
            return;
        }
        let share = granted as f64 / asked as f64;
        self.0 += (share - self.0) * GRANTED_SHARE_WEIGHT;
    }

    /// Average share of the workers in a question that the policy grants, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.0
    }

    /// Number of workers to ask about so that `needed` of them are probably granted.
    pub fn workers_to_ask(&self, needed: usize) -> usize {
        let expected = needed as f64 / self.0.max(MIN_GRANTED_SHARE);
        let asked = (expected * ASK_FACTOR).ceil() as usize;
        asked.clamp(MIN_WORKERS_PER_CALL, MAX_WORKERS_PER_CALL)
    }
}

/// A worker with room that has no usable permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unpermitted<W = WorkerId> {
    /// Worker that the policy has not denied.
    pub worker: W,
    /// Number of tasks of the stage that the worker can hold now.
    pub room: usize,
    /// Whether the policy has granted the worker before, so that only its permit has to be renewed.
    pub previously_granted: bool,
}

impl Unpermitted<&WorkerId> {
    /// Copies the identifier of the worker; only the workers that are asked about need it.
    pub fn cloned(self) -> Unpermitted {
        Unpermitted {
            worker: self.worker.clone(),
            room: self.room,
            previously_granted: self.previously_granted,
        }
    }
}

/// Time that a question to the policy costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuestionCost {
    /// Fixed time of an answer, in milliseconds.
    pub decision_ms: f64,
    /// Additional time for each worker in the question, in milliseconds.
    pub per_worker_ms: f64,
    /// Whether enough callers are free, so that longer questions delay no others.
    pub callers_are_free: bool,
}

impl QuestionCost {
    /// Number of workers whose additional time equals the fixed time of an answer.
    fn balanced_workers(&self) -> usize {
        if self.per_worker_ms <= 0.0 {
            return MAX_WORKERS_PER_CALL;
        }
        (self.decision_ms / self.per_worker_ms).ceil() as usize
    }

    /// Time of the decision about a number of workers.
    pub fn decision(&self, workers: usize) -> Duration {
        let millis = self.decision_ms + self.per_worker_ms * workers as f64;
        Duration::from_millis(millis.ceil() as u64)
    }

    /// Largest number of workers in one of several questions that are asked at the same time: while
    /// callers are free, none of them decides on workers for longer than the fixed time of an answer.
    pub fn balanced_size(&self) -> usize {
        if !self.callers_are_free {
            return MAX_WORKERS_PER_CALL;
        }
        let balanced = self.balanced_workers().max(MIN_WORKERS_PER_CALL);
        balanced.min(MAX_WORKERS_PER_CALL)
    }

    /// Number of workers to ask about when `needed` of the `available` ones are probably enough.
    /// Returns all of them if that costs less time than the second question after a wrong estimate.
    fn workers_to_ask(&self, needed: usize, available: usize) -> usize {
        let additional_ms = available.saturating_sub(needed) as f64 * self.per_worker_ms;
        let is_short = available <= needed * MAX_ASK_MULTIPLE;
        if self.callers_are_free
            && is_short
            && additional_ms <= self.decision_ms + SECOND_ROUND_TRIP_MS
        {
            available
        } else {
            needed
        }
    }
}

/// A worker about which the policy has not answered for a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownWorker {
    /// Worker that may run members of the gang.
    pub worker: WorkerId,
    /// Number of members that fit on it now.
    pub room: usize,
    /// Number of members that fit on it when it is empty.
    pub capacity: usize,
}

/// Members of a gang that fit on the workers that the policy has granted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GangRoom {
    /// Members that fit now.
    pub room: usize,
    /// Members that fit when the workers are empty.
    pub capacity: usize,
}

impl GangRoom {
    /// Whether the policy has granted a gang enough workers for it to wait for room on them.
    pub fn has_enough_workers(&self, tasks: usize) -> bool {
        self.capacity >= tasks * GANG_CAPACITY_FACTOR
    }
}

/// Chooses the workers to ask about for a gang, from those about which the policy has not answered,
/// the emptiest first. Asks about so many that the gang very probably fits at once. If there is too
/// little room for that now, asks until it has enough workers to gather room on. A question is never
/// so short that most of its time is the fixed one.
pub fn choose_workers_for_gang(
    unknown: Vec<UnknownWorker>,
    tasks: usize,
    granted: GangRoom,
    share: GrantedShare,
    cost: QuestionCost,
) -> Vec<WorkerId> {
    let share = share.value().max(MIN_GRANTED_SHARE);
    let missing_room = tasks.saturating_sub(granted.room) as f64;
    let missing_capacity = (tasks * GANG_CAPACITY_FACTOR).saturating_sub(granted.capacity) as f64;
    let all_room: usize = unknown.iter().map(|worker| worker.room).sum();
    let fits_now = missing_room > 0.0 && all_room as f64 * share >= missing_room;
    let wanted = if fits_now {
        missing_room
    } else {
        missing_capacity
    };
    if wanted <= 0.0 {
        return Vec::new();
    }
    // As many as would do if only one member fitted on each.
    let mut most = (tasks as f64 / share * GANG_CAPACITY_FACTOR as f64).ceil() as usize;
    if !cost.callers_are_free {
        // One question, as other gangs wait for theirs.
        most = most.min(MAX_WORKERS_PER_CALL);
    }
    let least = (cost.balanced_workers().min(MAX_WORKERS_PER_CALL) / 2).min(most);
    let mut chosen = Vec::new();
    let mut expected = 0.0;
    for worker in unknown {
        let is_enough = expected >= wanted * GANG_ASK_FACTOR && chosen.len() >= least;
        if is_enough || chosen.len() >= most {
            break;
        }
        if fits_now && worker.room == 0 {
            continue;
        }
        let members = if fits_now {
            worker.room
        } else {
            worker.capacity
        };
        expected += members as f64 * share;
        chosen.push(worker.worker);
    }
    chosen
}

/// Splits the workers about which a gang asks among several hosts.
pub fn split_question(workers: Vec<WorkerId>, cost: QuestionCost) -> Vec<Vec<WorkerId>> {
    let parts = workers.len().div_ceil(cost.balanced_size()).max(1);
    let size = workers.len().div_ceil(parts).max(1);
    workers.chunks(size).map(<[WorkerId]>::to_vec).collect()
}

/// Chooses the workers to ask about for `missing` tasks: first those that the policy granted
/// before, until they have enough room, then unknown ones; those with the most room first. With
/// `whole`, returns no workers if the tasks do not all fit.
pub fn choose_workers<W>(
    mut unpermitted: Vec<Unpermitted<W>>,
    missing: usize,
    whole: bool,
    share: GrantedShare,
    cost: QuestionCost,
) -> Vec<Unpermitted<W>> {
    unpermitted.sort_by_key(|worker| (!worker.previously_granted, std::cmp::Reverse(worker.room)));
    let rooms: usize = unpermitted.iter().map(|worker| worker.room).sum();
    if whole && rooms < missing {
        return Vec::new();
    }
    let (known, unknown): (Vec<_>, Vec<_>) = unpermitted
        .into_iter()
        .partition(|worker| worker.previously_granted);
    let mut chosen = Vec::new();
    let mut covered = 0;
    for worker in known {
        if covered >= missing {
            break;
        }
        covered += worker.room;
        chosen.push(worker);
    }
    if covered < missing && !unknown.is_empty() {
        let unknown_rooms: usize = unknown.iter().map(|worker| worker.room).sum();
        let average_room = (unknown_rooms / unknown.len()).max(1);
        let needed = (missing - covered).div_ceil(average_room);
        let asked = cost.workers_to_ask(share.workers_to_ask(needed), unknown.len());
        chosen.extend(unknown.into_iter().take(asked));
    }
    chosen.truncate(MAX_WORKERS_PER_CALL);
    chosen
}

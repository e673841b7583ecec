//! Flow of a member at a service: its waiting requests by level of urgency and caller.

use std::collections::{BTreeSet, VecDeque};

use indexmap::IndexMap;
use slab::Slab;

use super::policy::{LEVELS, RequestPolicy};
use super::usage::{ExecutionTime, MeanRunning, OpenUsage, RateWindow, advance};
use crate::ids::{CallerId, MemberId};
use crate::scheduling::admission::StandingDelay;

/// Cancelled tickets that a caller's queue may hold in addition to half of its length before it is
/// compacted.
const SPARE_CANCELLED: usize = 16;

/// Reference to a waiting request. The sequence number distinguishes requests that use the same
/// position in turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Ticket {
    pub position: usize,
    pub sequence: u64,
}

/// Returns whether the request of a ticket is still waiting.
pub(super) type IsWaiting<'a> = &'a dyn Fn(Ticket) -> bool;

/// Waiting requests of a caller on one level, in order of arrival.
#[derive(Default)]
struct CallerQueue {
    tickets: VecDeque<Ticket>,
    /// Number of tickets in `tickets` whose requests were cancelled.
    cancelled: usize,
}

struct Caller {
    id: CallerId,
    weight: u32,
    virtual_time: u64,
    usage: OpenUsage,
    queues: [CallerQueue; LEVELS],
}

impl Caller {
    fn has_tickets(&self) -> bool {
        self.queues.iter().any(|queue| !queue.tickets.is_empty())
    }
}

/// Waiting requests of the member with one level of urgency.
#[derive(Default)]
struct Level {
    /// Callers with tickets on this level, ordered by virtual time.
    callers: BTreeSet<(u64, usize)>,
    queued: usize,
    delay: StandingDelay,
}

/// Waiting and running requests of one member at one service.
pub(super) struct Flow {
    pub service: usize,
    pub member: MemberId,
    pub policy: RequestPolicy,
    pub virtual_time: u64,
    pub usage: OpenUsage,
    pub execution: ExecutionTime,
    pub starts: RateWindow,
    pub mean_running: MeanRunning,
    /// Number of waiting requests; equals the sum over the levels.
    pub queued: usize,
    /// Whether the weight of the flow is included in the active weight of the service.
    pub in_active_weight: bool,
    /// Until when the flow counts for the shares of others although it has no requests.
    pub lingers_until_us: Option<u64>,
    levels: [Level; LEVELS],
    callers: Slab<Caller>,
    caller_ids: IndexMap<CallerId, usize>,
    /// Callers without requests whose virtual time is still ahead of `caller_floor`.
    idle_callers: BTreeSet<(u64, usize)>,
    /// Largest virtual time of a caller at which it was served; never decreases.
    caller_floor: u64,
    /// Number of dispatches while more than one level had requests; wraps around.
    contended_turns: u32,
}

impl Flow {
    pub(super) fn new(service: usize, member: MemberId, policy: RequestPolicy, now: u64) -> Self {
        Self {
            service,
            member,
            policy,
            virtual_time: now,
            usage: OpenUsage::default(),
            execution: ExecutionTime::default(),
            starts: RateWindow::default(),
            mean_running: MeanRunning::default(),
            queued: 0,
            in_active_weight: false,
            lingers_until_us: None,
            levels: Default::default(),
            callers: Slab::new(),
            caller_ids: IndexMap::new(),
            idle_callers: BTreeSet::new(),
            caller_floor: 0,
            contended_turns: 0,
        }
    }

    /// Number of requests that would be served before a new request of the level.
    pub(super) fn ahead(&self, level: usize) -> usize {
        self.levels[level..].iter().map(|level| level.queued).sum()
    }

    /// Lowest level with waiting requests.
    pub(super) fn lowest_level(&self) -> Option<usize> {
        self.levels.iter().position(|level| level.queued > 0)
    }

    pub(super) fn is_level_empty(&self, level: usize) -> bool {
        self.levels[level].queued == 0
    }

    pub(super) fn delay(&self, level: usize) -> &StandingDelay {
        &self.levels[level].delay
    }

    pub(super) fn delay_mut(&mut self, level: usize) -> &mut StandingDelay {
        &mut self.levels[level].delay
    }

    /// Returns the caller with this identifier; inserts it if it is missing.
    pub(super) fn find_or_insert_caller(&mut self, id: &str, weight: u32) -> usize {
        if let Some(&caller) = self.caller_ids.get(id) {
            self.callers[caller].weight = weight;
            return caller;
        }
        let caller = self.callers.insert(Caller {
            id: id.to_owned(),
            weight,
            virtual_time: self.caller_floor,
            usage: OpenUsage::default(),
            queues: Default::default(),
        });
        self.caller_ids.insert(id.to_owned(), caller);
        caller
    }

    pub(super) fn push(&mut self, position: usize, level: usize, ticket: Ticket) {
        let caller = &mut self.callers[position];
        self.idle_callers.remove(&(caller.virtual_time, position));
        if !caller.has_tickets() {
            caller.virtual_time = caller.virtual_time.max(self.caller_floor);
        }
        caller.queues[level].tickets.push_back(ticket);
        self.levels[level]
            .callers
            .insert((caller.virtual_time, position));
        self.levels[level].queued += 1;
        self.queued += 1;
    }

    /// Records a cancelled request. Its ticket stays until it reaches an end of the queue or about
    /// half of the tickets are cancelled, so that the amortized cost is constant.
    pub(super) fn record_cancelled(
        &mut self,
        position: usize,
        level: usize,
        is_waiting: IsWaiting<'_>,
    ) {
        self.decrement_queued(level);
        let queue = &mut self.callers[position].queues[level];
        queue.cancelled += 1;
        let all_cancelled = queue.cancelled == queue.tickets.len();
        if all_cancelled || queue.cancelled > queue.tickets.len() / 2 + SPARE_CANCELLED {
            queue.tickets.retain(|ticket| is_waiting(*ticket));
            queue.cancelled = 0;
            if queue.tickets.is_empty() {
                self.leave_level(position, level);
                self.retire_if_idle(position);
            }
        }
    }

    fn decrement_queued(&mut self, level: usize) {
        self.queued -= 1;
        self.levels[level].queued -= 1;
    }

    /// Removes the next request of the member. If it isn't started, its caller must be passed to
    /// `retire_if_idle`.
    pub(super) fn pop(&mut self, is_waiting: IsWaiting<'_>) -> Option<Ticket> {
        let level = self.next_level()?;
        while let Some(&(virtual_time, position)) = self.levels[level].callers.first() {
            let ticket = self.take_ticket(position, level, is_waiting, VecDeque::pop_front);
            if let Some(ticket) = ticket {
                self.caller_floor = self.caller_floor.max(virtual_time);
                self.drop_idle_callers();
                return Some(ticket);
            }
            self.retire_if_idle(position);
        }
        None
    }

    /// Removes the latest request of the caller with the highest virtual time on the lowest level.
    pub(super) fn pop_worst(&mut self, is_waiting: IsWaiting<'_>) -> Option<Ticket> {
        let level = self.lowest_level()?;
        while let Some(&(_, position)) = self.levels[level].callers.last() {
            let ticket = self.take_ticket(position, level, is_waiting, VecDeque::pop_back);
            if ticket.is_some() {
                return ticket;
            }
            self.retire_if_idle(position);
        }
        None
    }

    /// Removes the first waiting request that `pop` returns, discarding cancelled tickets.
    fn take_ticket(
        &mut self,
        position: usize,
        level: usize,
        is_waiting: IsWaiting<'_>,
        pop: fn(&mut VecDeque<Ticket>) -> Option<Ticket>,
    ) -> Option<Ticket> {
        let queue = &mut self.callers[position].queues[level];
        let mut found = None;
        while let Some(ticket) = pop(&mut queue.tickets) {
            if is_waiting(ticket) {
                found = Some(ticket);
                break;
            }
            queue.cancelled = queue.cancelled.saturating_sub(1);
        }
        if queue.tickets.is_empty() {
            queue.cancelled = 0;
            self.leave_level(position, level);
        }
        if found.is_some() {
            self.decrement_queued(level);
        }
        found
    }

    fn leave_level(&mut self, position: usize, level: usize) {
        let caller = &self.callers[position];
        self.levels[level]
            .callers
            .remove(&(caller.virtual_time, position));
    }

    /// Returns the highest level with requests or, on every `lower_urgency_turn`th contended
    /// dispatch, one of the others in rotation. A level with requests thus receives at least one of
    /// `lower_urgency_turn * (LEVELS - 1)` dispatches of the member.
    fn next_level(&mut self) -> Option<usize> {
        let waiting = |level: &usize| self.levels[*level].queued > 0;
        let highest = (0..LEVELS).rev().find(waiting)?;
        let lower: Vec<usize> = (0..highest).filter(waiting).collect();
        if lower.is_empty() || self.policy.lower_urgency_turn == 0 {
            return Some(highest);
        }
        self.contended_turns = self.contended_turns.wrapping_add(1);
        let turn = self.policy.lower_urgency_turn;
        if !self.contended_turns.is_multiple_of(turn) {
            return Some(highest);
        }
        // The rotation covers all levels, so that changes of `lower` can't starve any of them.
        let first = (self.contended_turns / turn) as usize % LEVELS;
        let next = lower.iter().find(|level| **level >= first);
        Some(*next.unwrap_or(&lower[0]))
    }

    /// Charges a caller for a request that starts.
    pub(super) fn start(&mut self, position: usize, now_us: u64, estimate_us: u64) {
        let charge = self.callers[position].usage.start(now_us, estimate_us);
        self.charge(position, charge);
    }

    /// Corrects the charge of a caller for a request that finished.
    pub(super) fn finish(&mut self, position: usize, start_us: u64, estimate_us: u64, now_us: u64) {
        let caller = &mut self.callers[position];
        let charge = caller.usage.finish(start_us, estimate_us, now_us);
        self.charge(position, charge);
        self.retire_if_idle(position);
    }

    fn charge(&mut self, position: usize, charge: i64) {
        let caller = &mut self.callers[position];
        let former = caller.virtual_time;
        caller.virtual_time = advance(former, charge, caller.weight);
        let current = caller.virtual_time;
        for (level, queue) in caller.queues.iter().enumerate() {
            if queue.tickets.is_empty() {
                continue;
            }
            self.levels[level].callers.remove(&(former, position));
            self.levels[level].callers.insert((current, position));
        }
    }

    /// Moves a caller to the idle callers if it has neither waiting nor running requests.
    pub(super) fn retire_if_idle(&mut self, position: usize) {
        let caller = &self.callers[position];
        if caller.usage.running() == 0 && !caller.has_tickets() {
            self.idle_callers.insert((caller.virtual_time, position));
            self.drop_idle_callers();
        }
    }

    /// Removes idle callers whose virtual time the other callers have reached.
    fn drop_idle_callers(&mut self) {
        while let Some(&(virtual_time, position)) = self.idle_callers.first() {
            if virtual_time > self.caller_floor {
                return;
            }
            self.idle_callers.pop_first();
            let caller = self.callers.remove(position);
            self.caller_ids.swap_remove(&caller.id);
        }
    }
}

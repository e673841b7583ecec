//! Which member's work is next: weighted dominant share over members, then over their callers.
//!
//! Waiting jobs of one caller with equal urgency and equal needs form a lane. Only the heads of
//! lanes are looked at, so the cost of a decision does not depend on the length of any queue, and
//! members are kept in an ordered set, so it grows with the logarithm of their number.
//!
//! A lane whose need fits on no worker is parked until a worker has room for that need.

mod lanes;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

pub use lanes::{Head, LaneId, Shape};
use lanes::{LaneKey, Lanes};

use super::ledger::{add, subtract};
use crate::ids::{CallerId, JobId, MemberId};
use crate::protocol::caller::Urgency;
use crate::resources::Resources;

/// Shares are compared as integers in this unit, so that equal inputs give equal orders.
const SHARE_UNIT: u128 = 1 << 40;

/// Order of waiting jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// Weighted dominant share; urgency orders only within a member.
    #[default]
    FairShare,
    /// Baseline: urgency over all members, then first come, first served.
    StrictPriority,
    /// Baseline: first come, first served; a job that does not fit blocks those behind it.
    FirstCome,
}

/// What a member is entitled to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamShare {
    /// Relative share of the capacity; at least 1.
    pub weight: u32,
    /// Amount that is guaranteed; use above it is borrowed.
    #[serde(default)]
    pub quota: Option<Resources>,
    /// Whether idle capacity above the quota may be used.
    pub may_borrow: bool,
}

impl Default for TeamShare {
    fn default() -> Self {
        Self {
            weight: 1,
            quota: None,
            may_borrow: true,
        }
    }
}

/// Members within their quota first, then the least weighted share.
type MemberKey = (bool, u64, usize);

#[derive(Default)]
struct Member {
    share: TeamShare,
    usage: Resources,
    callers: IndexMap<CallerId, Caller>,
    ready: BTreeSet<LaneKey>,
    /// Lanes that fit nowhere, by the arrival of their first job.
    parked: BTreeSet<(u64, LaneId)>,
    /// Lanes that wait for use of the member's own quota to end.
    over_quota: Vec<LaneId>,
    /// Position in `FairShare::order`; present while `ready` is not empty.
    key: Option<MemberKey>,
}

#[derive(Default)]
struct Caller {
    usage: Resources,
    lanes: BTreeSet<LaneId>,
}

/// A member below its share whose first job waits for room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Starving {
    /// First job of the lane.
    pub job: JobId,
    /// Lane.
    pub lane: LaneId,
    /// Since when the job is first in its lane.
    pub since: Instant,
}

/// Waiting jobs of all members.
#[derive(Default)]
pub struct FairShare {
    policy: QueuePolicy,
    capacity: Resources,
    members: IndexMap<MemberId, Member>,
    lanes: Lanes,
    order: BTreeSet<MemberKey>,
}

impl FairShare {
    /// Empty queues.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Order of waiting jobs.
    pub fn policy(&self) -> QueuePolicy {
        self.policy
    }

    /// Takes note of the total capacity, to which shares are relative.
    pub fn set_capacity(&mut self, capacity: Resources) {
        if self.capacity == capacity {
            return;
        }
        self.capacity = capacity;
        for member in 0..self.members.len() {
            self.rekey(member);
        }
    }

    /// Sets what a member is entitled to.
    pub fn set_team(&mut self, member: &str, share: TeamShare) {
        let member = self.member_index(member);
        self.members[member].share = share;
        self.unpark_quota(member);
        self.rekey(member);
    }

    /// Adds a job at the end of its lane, or at the front when it returns.
    pub fn enqueue(
        &mut self,
        job: &JobId,
        owner: (&str, &str),
        urgency: Urgency,
        shape: Shape,
        arrival: (u64, Instant),
    ) {
        let member = self.member_index(owner.0);
        let caller = self.members[member].callers.entry(owner.1.to_owned());
        let lanes = &mut caller.or_default().lanes;
        let lane = self
            .lanes
            .find_or_insert(lanes, member, owner.1, urgency, shape);
        self.take_out(lane);
        self.lanes.push(lane, job.clone(), arrival);
        self.put_in(lane);
    }

    /// The next job to place; lanes whose need is known to fit nowhere are passed over.
    pub fn peek(&mut self) -> Option<Head> {
        loop {
            let lane = self.first_lane()?;
            if self.policy != QueuePolicy::FirstCome && self.lanes.is_blocked(lane) {
                self.park(lane);
                continue;
            }
            if self.exceeds_quota(lane) {
                let member = self.lanes.get(lane).member;
                self.take_out(lane);
                self.members[member].over_quota.push(lane);
                continue;
            }
            return self.lanes.head(lane);
        }
    }

    /// Removes the first job of a lane.
    pub fn pop(&mut self, lane: LaneId) {
        self.take_out(lane);
        self.lanes.pop(lane);
        self.put_in(lane);
    }

    /// Marks the need of a lane as fitting nowhere and parks the lane.
    pub fn block(&mut self, lane: LaneId) {
        self.lanes.block(lane);
        if self.policy != QueuePolicy::FirstCome {
            self.park(lane);
        }
    }

    /// Takes note of a worker's free resources: parked lanes whose need it covers are ready again.
    pub fn unblock(&mut self, free: &Resources) {
        for lane in self.lanes.unblock(free) {
            let (member, seq) = (self.lanes.get(lane).member, self.lanes.first_seq(lane));
            if self.members[member].parked.remove(&(seq, lane)) {
                self.put_in(lane);
            }
        }
    }

    /// Adds to the use of a member and its caller.
    pub fn charge(&mut self, member: &str, caller: &str, amount: &Resources) {
        let member = self.member_index(member);
        let usage = add(&self.members[member].usage, amount);
        self.set_usage(member, caller, usage, |usage| add(usage, amount));
    }

    /// Takes back a charge.
    pub fn refund(&mut self, member: &str, caller: &str, amount: &Resources) {
        let member = self.member_index(member);
        let usage = subtract(&self.members[member].usage, amount);
        self.set_usage(member, caller, usage, |usage| subtract(usage, amount));
        self.unpark_quota(member);
    }

    /// Use of a member.
    pub fn usage(&self, member: &str) -> Resources {
        self.members
            .get(member)
            .map_or(Resources::ZERO, |member| member.usage)
    }

    /// Whether a member uses more than it is entitled to. The total weight is that of
    /// [`Self::active_weight`].
    pub fn is_above_share(&self, member: &str, active_weight: u64) -> bool {
        let Some(member) = self.members.get(member) else {
            return false;
        };
        self.dominant(&member.usage) > self.entitled(member, active_weight)
    }

    /// Sum of the weights of all members that use or wait for something.
    pub fn active_weight(&self) -> u64 {
        let active = self.members.values().filter(|member| {
            member.usage != Resources::ZERO || member.callers.values().any(|c| !c.lanes.is_empty())
        });
        active.map(|member| u64::from(member.share.weight)).sum()
    }

    /// Members below their share whose parked job arrived at or before `arrived_by`, the longest
    /// wait first. Looks at each member once; meant to be called at intervals.
    pub fn starving(&self, arrived_by: Instant, active_weight: u64) -> Vec<Starving> {
        let mut starving = Vec::new();
        for member in self.members.values() {
            let Some(&(seq, lane)) = member.parked.first() else {
                continue;
            };
            let Some(head) = self.lanes.head(lane) else {
                continue;
            };
            let after = add(&member.usage, &self.lanes.get(lane).need);
            let below = self.dominant(&after) <= self.entitled(member, active_weight);
            if below && head.since <= arrived_by {
                starving.push((head.since, seq, head));
            }
        }
        starving.sort_by_key(|(since, seq, _)| (*since, *seq));
        let found = starving.into_iter();
        found
            .map(|(since, _, head)| Starving {
                job: head.job,
                lane: head.lane,
                since,
            })
            .collect()
    }

    /// Jobs in all lanes, cancelled ones included until they reach the head.
    pub fn len(&self) -> usize {
        self.lanes.queued()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn first_lane(&self) -> Option<LaneId> {
        if self.policy != QueuePolicy::FairShare {
            // The baselines order lanes of all members by the same key.
            let firsts = self.order.iter().filter_map(|&(_, _, member)| {
                let key = self.members[member].ready.first()?;
                Some((key.0, key.2, key.3))
            });
            return firsts.min().map(|(_, _, lane)| lane);
        }
        let &(_, _, member) = self.order.first()?;
        let &(_, _, _, lane) = self.members[member].ready.first()?;
        Some(lane)
    }

    fn member_index(&mut self, member: &str) -> usize {
        if let Some(index) = self.members.get_index_of(member) {
            return index;
        }
        self.members.insert(member.to_owned(), Member::default());
        self.members.len() - 1
    }

    fn set_usage(
        &mut self,
        member: usize,
        caller: &str,
        usage: Resources,
        change: impl Fn(&Resources) -> Resources,
    ) {
        let entry = self.members[member]
            .callers
            .entry(caller.to_owned())
            .or_default();
        let lanes = entry.lanes.iter().copied();
        let ready: Vec<LaneId> = lanes
            .filter(|&lane| self.lanes.get(lane).key.is_some())
            .collect();
        for &lane in &ready {
            self.take_out(lane);
        }
        self.members[member].usage = usage;
        let callers = &mut self.members[member].callers;
        if let Some(entry) = callers.get_mut(caller) {
            entry.usage = change(&entry.usage);
            if entry.usage == Resources::ZERO && entry.lanes.is_empty() {
                callers.swap_remove(caller);
            }
        }
        for lane in ready {
            self.put_in(lane);
        }
        self.rekey(member);
    }

    /// Removes a lane from the set in which it is.
    fn take_out(&mut self, lane: LaneId) {
        let Some(entry) = self.lanes.present(lane) else {
            return;
        };
        let (member, key, seq) = (entry.member, entry.key, self.lanes.first_seq(lane));
        self.members[member].parked.remove(&(seq, lane));
        self.members[member]
            .over_quota
            .retain(|&other| other != lane);
        let Some(key) = key else {
            return;
        };
        self.members[member].ready.remove(&key);
        self.lanes.set_key(lane, None);
        self.rekey(member);
    }

    /// Makes a lane ready, or drops it when it has no jobs.
    fn put_in(&mut self, lane: LaneId) {
        let entry = self.lanes.get(lane);
        let (member, urgency, caller) = (entry.member, entry.urgency, entry.caller.clone());
        if self.lanes.head(lane).is_none() {
            self.lanes.remove(lane);
            if let Some(entry) = self.members[member].callers.get_mut(&caller) {
                entry.lanes.remove(&lane);
                if entry.usage == Resources::ZERO && entry.lanes.is_empty() {
                    self.members[member].callers.swap_remove(&caller);
                }
            }
            return;
        }
        let usage = self.members[member]
            .callers
            .get(&caller)
            .map(|entry| entry.usage);
        let fair = self.policy == QueuePolicy::FairShare;
        let share = if fair {
            self.dominant(&usage.unwrap_or_default())
        } else {
            0
        };
        let urgency = match self.policy {
            QueuePolicy::FirstCome => Urgency::Normal,
            _ => urgency,
        };
        let key = (Reverse(urgency), share, self.lanes.first_seq(lane), lane);
        self.lanes.set_key(lane, Some(key));
        self.members[member].ready.insert(key);
        self.rekey(member);
    }

    fn park(&mut self, lane: LaneId) {
        self.take_out(lane);
        let (member, seq) = (self.lanes.get(lane).member, self.lanes.first_seq(lane));
        self.members[member].parked.insert((seq, lane));
    }

    fn unpark_quota(&mut self, member: usize) {
        for lane in std::mem::take(&mut self.members[member].over_quota) {
            self.put_in(lane);
        }
    }

    fn exceeds_quota(&self, lane: LaneId) -> bool {
        let lane = self.lanes.get(lane);
        let member = &self.members[lane.member];
        match &member.share.quota {
            Some(quota) if !member.share.may_borrow => {
                !quota.covers(&add(&member.usage, &lane.need))
            }
            _ => false,
        }
    }

    /// Recomputes the position of a member in the order.
    fn rekey(&mut self, index: usize) {
        let member = &self.members[index];
        let over = member
            .share
            .quota
            .is_some_and(|quota| !quota.covers(&member.usage));
        let weight = u64::from(member.share.weight.max(1));
        let key = (over, self.dominant(&member.usage) / weight, index);
        let wanted = (!member.ready.is_empty()).then_some(key);
        if member.key == wanted {
            return;
        }
        if let Some(present) = member.key {
            self.order.remove(&present);
        }
        self.order.extend(wanted);
        self.members[index].key = wanted;
    }

    /// Largest part of the capacity that an amount takes in any dimension.
    fn dominant(&self, amount: &Resources) -> u64 {
        let part = |amount: u64, capacity: u64| {
            if capacity == 0 {
                return 0;
            }
            (u128::from(amount) * SHARE_UNIT / u128::from(capacity)) as u64
        };
        let capacity = &self.capacity;
        part(amount.cpu_millis, capacity.cpu_millis)
            .max(part(amount.memory_mib, capacity.memory_mib))
            .max(part(amount.accelerators, capacity.accelerators))
    }

    fn entitled(&self, member: &Member, active_weight: u64) -> u64 {
        if let Some(quota) = &member.share.quota {
            return self.dominant(quota);
        }
        let weight = u128::from(member.share.weight);
        (SHARE_UNIT * weight / u128::from(active_weight.max(1))) as u64
    }
}

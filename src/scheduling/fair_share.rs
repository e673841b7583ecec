//! Orders waiting jobs by weighted dominant share: over members first, then over their callers.
//!
//! Waiting jobs of one caller with equal urgency and equal needs form a lane. Only the heads of
//! lanes are examined, so the cost of a decision does not depend on the length of any queue.
//! Members are kept in an ordered set, so the cost grows with the logarithm of their number.
//!
//! A lane whose need fits on no worker is parked. When capacity becomes free on a worker, the
//! parked lanes are searched in the order of their members until one fits; the others stay parked.

mod lanes;
mod sets;
mod types;

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;

use lanes::{ClassId, ClassKey, LaneState, Lanes, UNSATISFIABLE_NEED};
pub use lanes::{Head, LaneId, Shape};
pub use types::{MemberKey, Offer, Parked, QueuePolicy, Starving, TeamShare};

use super::ledger::{add, subtract};
use crate::ids::{CallerId, JobId, MemberId};
use crate::protocol::caller::Urgency;
use crate::resources::Resources;

/// The whole capacity as a share. Shares are integers, so that equal inputs give equal orders.
const SHARE_UNIT: u128 = 1 << 40;

/// Parked lanes of one member that a bounded search examines.
const MAX_LANES_PER_MEMBER: usize = 64;
/// Members whose parked lanes a bounded search examines. Free capacity that none of the members
/// with the least share can use is offered to the others only by the next full search. Offering it
/// to all members immediately lowered the Jain index of `benches/fairness.rs` from 0.98 to 0.89,
/// because small tasks of members above their share took the capacity before larger tasks of other
/// members fitted.
const MAX_MEMBERS_EXAMINED: usize = 32;

#[derive(Default)]
struct Member {
    share: TeamShare,
    usage: Resources,
    callers: IndexMap<CallerId, Caller>,
    /// Classes with ready and with parked lanes, indexed by [`LaneState`].
    sets: [BTreeSet<ClassKey>; 2],
    /// Lower bound of the need of a task in any parked lane.
    min_need: Resources,
    /// Lanes that wait until the member uses less of its quota.
    over_quota: Vec<LaneId>,
    /// Key of this member in the sets of `FairShare::order` that contain it.
    key: MemberKey,
}

#[derive(Default)]
struct Caller {
    usage: Resources,
    classes: IndexMap<Urgency, ClassId>,
}

/// Queues of all members, in the order of the queue policy.
#[derive(Default)]
pub struct FairShare {
    policy: QueuePolicy,
    capacity: Resources,
    members: IndexMap<MemberId, Member>,
    lanes: Lanes,
    /// Members with ready and with parked lanes, indexed by [`LaneState`].
    order: [BTreeSet<MemberKey>; 2],
}

impl FairShare {
    /// Creates empty queues.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Policy that orders waiting jobs.
    pub fn policy(&self) -> QueuePolicy {
        self.policy
    }

    /// Sets the total capacity, to which shares are relative.
    pub fn set_capacity(&mut self, capacity: Resources) {
        if self.capacity == capacity {
            return;
        }
        self.capacity = capacity;
        for member in 0..self.members.len() {
            let callers: Vec<CallerId> = self.members[member].callers.keys().cloned().collect();
            for caller in callers {
                self.update_caller_key(member, &caller);
            }
            self.update_member_key(member);
        }
    }

    /// Sets the weight and quota of a member.
    pub fn set_team(&mut self, member: &str, share: TeamShare) {
        let member = self.member_index(member);
        self.members[member].share = share;
        self.unpark_quota(member);
        self.update_member_key(member);
    }

    /// Adds a job to its lane, in order of arrival; returns the lane.
    pub fn enqueue(
        &mut self,
        job: &JobId,
        owner: (&str, &str),
        urgency: Urgency,
        shape: Shape,
        arrival: (u64, Instant),
    ) -> LaneId {
        let (owner, urgency) = match self.policy {
            QueuePolicy::FairShare => (owner, urgency),
            QueuePolicy::StrictPriority => (("", ""), urgency),
            QueuePolicy::FirstCome => (("", ""), Urgency::Normal),
        };
        let member = self.member_index(owner.0);
        let class = self.class(member, owner.1, urgency);
        let lane = self.lanes.find_or_insert(class, shape);
        let state = self.detach_lane(lane);
        self.lanes.push(lane, job.clone(), arrival);
        // A parked lane stays parked: another job with the same need does not fit either.
        let parked = state == LaneState::Parked;
        self.attach_lane(
            lane,
            if parked {
                LaneState::Parked
            } else {
                LaneState::Ready
            },
        );
        lane
    }

    /// Returns the next job to place, with the key of its member. Moves lanes that exceed the
    /// quota of their member out of the ready set.
    pub fn peek(&mut self) -> Option<(MemberKey, Head)> {
        loop {
            let &key = self.order[LaneState::Ready as usize].first()?;
            let &(_, _, class) = self.members[key.2].sets[LaneState::Ready as usize].first()?;
            let &(_, lane) = self.lanes.class(class).sets[LaneState::Ready as usize].first()?;
            if self.exceeds_quota(lane) {
                self.detach_lane(lane);
                self.attach_lane(lane, LaneState::OverQuota);
                continue;
            }
            return self.lanes.get(lane).head(lane).map(|head| (key, head));
        }
    }

    /// Returns the first parked job, in the order of members, that fits into `room` and that
    /// `evaluate` accepts. Examines a bounded number of lanes unless `all` is set.
    pub fn find_parked(
        &self,
        room: &Resources,
        all: bool,
        mut evaluate: impl FnMut(&JobId) -> Offer,
    ) -> Parked {
        let per_member = if all {
            usize::MAX
        } else {
            MAX_LANES_PER_MEMBER
        };
        let parked = LaneState::Parked as usize;
        let members = if all {
            usize::MAX
        } else {
            MAX_MEMBERS_EXAMINED
        };
        let mut truncated = self.order[parked].len() > members;
        for &key in self.order[parked].iter().take(members) {
            if !room.covers(&self.members[key.2].min_need) {
                continue;
            }
            let classes = self.members[key.2].sets[parked].iter();
            let classes = classes.map(|&(_, _, class)| self.lanes.class(class));
            let fitting = classes.filter(|class| room.covers(&class.min_need));
            let lanes = fitting.flat_map(|class| &class.sets[parked]);
            for (count, &(_, lane)) in lanes.enumerate() {
                if count >= per_member {
                    truncated = true;
                    break;
                }
                let entry = self.lanes.get(lane);
                if !room.covers(&entry.offered_need()) || self.exceeds_quota(lane) {
                    continue;
                }
                let offer = entry.first_job().map_or(Offer::Pass, &mut evaluate);
                match (offer, entry.head(lane)) {
                    (Offer::Take, Some(head)) => return Parked::Fits(key, head),
                    (Offer::Stale, Some(head)) => return Parked::Stale(head),
                    _ => {}
                }
            }
        }
        if truncated {
            Parked::Truncated
        } else {
            Parked::None
        }
    }

    /// Removes the first job of a lane.
    pub fn pop(&mut self, lane: LaneId) {
        let Some(entry) = self.lanes.try_get(lane) else {
            return;
        };
        let seq = entry.first_seq();
        self.remove(lane, seq);
    }

    /// Removes the job with this sequence number from a lane.
    pub fn remove(&mut self, lane: LaneId, seq: u64) {
        if self.lanes.try_get(lane).is_none() {
            return;
        }
        let state = self.detach_lane(lane);
        self.lanes.take(lane, seq);
        let gangs = self.lanes.get(lane).shape.gang_size > 0;
        // Searches for parked jobs skip gangs, so the next gang of the lane has to be ready.
        self.attach_lane(lane, if gangs { LaneState::Ready } else { state });
    }

    /// Whether a lane is parked.
    pub fn is_parked(&self, lane: LaneId) -> bool {
        self.lanes
            .try_get(lane)
            .is_some_and(|lane| lane.state == LaneState::Parked)
    }

    /// Parks a lane whose need fits on no worker.
    pub fn park(&mut self, lane: LaneId) {
        if self.policy == QueuePolicy::FirstCome || self.lanes.try_get(lane).is_none() {
            return;
        }
        self.detach_lane(lane);
        self.attach_lane(lane, LaneState::Parked);
    }

    /// Makes all parked lanes ready. The cost grows with the number of parked lanes, so this is
    /// meant for changes of the fleet that affect which jobs can run at all.
    pub fn unpark_all(&mut self) {
        let parked = LaneState::Parked as usize;
        while let Some(&(_, _, member)) = self.order[parked].first() {
            let Some(&(_, _, class)) = self.members[member].sets[parked].first() else {
                return;
            };
            let Some(&(_, lane)) = self.lanes.class(class).sets[parked].first() else {
                return;
            };
            self.detach_lane(lane);
            self.attach_lane(lane, LaneState::Ready);
        }
    }

    /// Adds an amount to the usage of a member and its caller.
    pub fn charge(&mut self, member: &str, caller: &str, amount: &Resources) {
        let member = self.member_index(member);
        let entry = &mut self.members[member];
        entry.usage = add(&entry.usage, amount);
        let caller_entry = entry.callers.entry(caller.to_owned()).or_default();
        caller_entry.usage = add(&caller_entry.usage, amount);
        self.update_caller_key(member, caller);
        self.update_member_key(member);
    }

    /// Subtracts an amount that was charged before.
    pub fn refund(&mut self, member: &str, caller: &str, amount: &Resources) {
        let member = self.member_index(member);
        let entry = &mut self.members[member];
        entry.usage = subtract(&entry.usage, amount);
        if let Some(caller_entry) = entry.callers.get_mut(caller) {
            caller_entry.usage = subtract(&caller_entry.usage, amount);
        }
        self.update_caller_key(member, caller);
        self.drop_caller_if_idle(member, caller);
        self.update_member_key(member);
        self.unpark_quota(member);
    }

    /// Resources that the tasks of a member hold.
    pub fn usage(&self, member: &str) -> Resources {
        self.members
            .get(member)
            .map_or(Resources::ZERO, |member| member.usage)
    }

    /// Whether a member uses more than its quota or, without a quota, more than its weighted
    /// share. `active_weight` is the result of [`Self::active_weight`].
    pub fn is_above_share(&self, member: &str, active_weight: u64) -> bool {
        let Some(member) = self.members.get(member) else {
            return false;
        };
        self.dominant_share(&member.usage) > self.entitled_share(member, active_weight)
    }

    /// Sum of the weights of all members that use resources or have waiting jobs.
    pub fn active_weight(&self) -> u64 {
        let active = self.members.values().filter(|member| member.is_active());
        active.map(|member| u64::from(member.share.weight)).sum()
    }

    /// Returns the members below their share whose parked job arrived at or before `arrived_by`,
    /// the longest wait first. Examines every member, so it is meant to be called at intervals.
    pub fn starving(&self, arrived_by: Instant, active_weight: u64) -> Vec<Starving> {
        let mut starving = Vec::new();
        for member in self.members.values() {
            let classes = member.sets[LaneState::Parked as usize].iter();
            let firsts = classes.filter_map(|&(_, _, class)| {
                self.lanes.class(class).sets[LaneState::Parked as usize].first()
            });
            let Some(&(seq, lane)) = firsts.min() else {
                continue;
            };
            let Some(head) = self.lanes.get(lane).head(lane) else {
                continue;
            };
            let after = add(&member.usage, &self.lanes.get(lane).need);
            let below = self.dominant_share(&after) <= self.entitled_share(member, active_weight);
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

    /// Number of jobs in all lanes, including cancelled jobs that have not reached the head yet.
    pub fn len(&self) -> usize {
        self.lanes.queued()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn member_index(&mut self, member: &str) -> usize {
        if let Some(index) = self.members.get_index_of(member) {
            return index;
        }
        let index = self.members.len();
        let entry = Member {
            key: (false, 0, index),
            min_need: UNSATISFIABLE_NEED,
            ..Member::default()
        };
        self.members.insert(member.to_owned(), entry);
        index
    }

    fn class(&mut self, member: usize, caller: &str, urgency: Urgency) -> ClassId {
        let usage = self.members[member]
            .callers
            .get(caller)
            .map(|entry| entry.usage);
        let share = self.dominant_share(&usage.unwrap_or_default());
        let entry = self.members[member]
            .callers
            .entry(caller.to_owned())
            .or_default();
        if let Some(&class) = entry.classes.get(&urgency) {
            return class;
        }
        let class = self.lanes.add_class(member, caller, urgency, share);
        entry.classes.insert(urgency, class);
        class
    }

    fn unpark_quota(&mut self, member: usize) {
        for lane in std::mem::take(&mut self.members[member].over_quota) {
            self.lanes.set_state(lane, LaneState::Detached);
            self.attach_lane(lane, LaneState::Ready);
        }
    }

    fn exceeds_quota(&self, lane: LaneId) -> bool {
        let lane = self.lanes.get(lane);
        let member = &self.members[self.lanes.class(lane.class).member];
        match &member.share.quota {
            Some(quota) if !member.share.may_borrow => {
                !quota.covers(&add(&member.usage, &lane.need))
            }
            _ => false,
        }
    }

    /// Largest fraction of the capacity that an amount takes in any dimension, in units of
    /// `1 / SHARE_UNIT`.
    fn dominant_share(&self, amount: &Resources) -> u64 {
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

    /// Share that a member may use before it counts as above its share.
    fn entitled_share(&self, member: &Member, active_weight: u64) -> u64 {
        if let Some(quota) = &member.share.quota {
            return self.dominant_share(quota);
        }
        let weight = u128::from(member.share.weight);
        (SHARE_UNIT * weight / u128::from(active_weight.max(1))) as u64
    }
}

impl Member {
    fn is_active(&self) -> bool {
        self.usage != Resources::ZERO || self.callers.values().any(Caller::waits)
    }
}

impl Caller {
    fn waits(&self) -> bool {
        !self.classes.is_empty()
    }
}

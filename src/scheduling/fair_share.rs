//! Which member's work is next: weighted dominant share over members, then over their callers.
//!
//! Waiting jobs of one caller with equal urgency and equal needs form a lane. Only the heads of
//! lanes are looked at, so the cost of a decision does not depend on the length of any queue, and
//! members are kept in an ordered set, so it grows with the logarithm of their number.
//!
//! A lane whose need fits on no worker is parked. When a worker gets room, the parked lanes are
//! looked through in the order of their members until one fits; they are not all tried again.

mod lanes;
mod sets;
mod types;

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;

use lanes::{ClassId, ClassKey, Lanes, NO_NEED, Place};
pub use lanes::{Head, LaneId, Shape};
pub use types::{MemberKey, Offer, Parked, QueuePolicy, Starving, TeamShare};

use super::ledger::{add, subtract};
use crate::ids::{CallerId, JobId, MemberId};
use crate::protocol::caller::Urgency;
use crate::resources::Resources;

/// Shares are compared as integers in this unit, so that equal inputs give equal orders.
const SHARE_UNIT: u128 = 1 << 40;

/// Parked lanes of one member that are looked at for one place.
const MAX_LANES_PER_MEMBER: usize = 64;
/// Members whose parked lanes are looked at for one place. Room that none of the members with the
/// least share can use goes to others only at the next full search. Offering it to all at once
/// lowered the Jain index of `benches/fairness.rs` from 0.98 to 0.89, since small tasks of members
/// above their share took the room before larger ones of other members fitted.
const MAX_MEMBERS_EXAMINED: usize = 32;

#[derive(Default)]
struct Member {
    share: TeamShare,
    usage: Resources,
    callers: IndexMap<CallerId, Caller>,
    /// Classes with ready and with parked lanes.
    sets: [BTreeSet<ClassKey>; 2],
    /// Lower bound of what a task of any parked lane needs.
    least: Resources,
    /// Lanes that wait for use of the member's own quota to end.
    over_quota: Vec<LaneId>,
    /// Position in both sets of `FairShare::order`, if it is there.
    key: MemberKey,
}

#[derive(Default)]
struct Caller {
    usage: Resources,
    classes: IndexMap<Urgency, ClassId>,
}

/// Waiting jobs of all members.
#[derive(Default)]
pub struct FairShare {
    policy: QueuePolicy,
    capacity: Resources,
    members: IndexMap<MemberId, Member>,
    lanes: Lanes,
    /// Members with ready and with parked lanes.
    order: [BTreeSet<MemberKey>; 2],
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
            let callers: Vec<CallerId> = self.members[member].callers.keys().cloned().collect();
            for caller in callers {
                self.rekey_caller(member, &caller);
            }
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
        let place = self.take_out(lane);
        self.lanes.push(lane, job.clone(), arrival);
        // What is parked stays so: another job with the same need does not fit either.
        let parked = place == Place::Parked;
        self.put_in(lane, if parked { Place::Parked } else { Place::Ready });
        lane
    }

    /// The next job to place, with the position of its member.
    pub fn peek(&mut self) -> Option<(MemberKey, Head)> {
        loop {
            let &key = self.order[Place::Ready as usize].first()?;
            let &(_, _, class) = self.members[key.2].sets[Place::Ready as usize].first()?;
            let &(_, lane) = self.lanes.class(class).sets[Place::Ready as usize].first()?;
            if self.exceeds_quota(lane) {
                self.take_out(lane);
                self.put_in(lane, Place::OverQuota);
                continue;
            }
            return self.lanes.get(lane).head(lane).map(|head| (key, head));
        }
    }

    /// The first parked job, in the order of members, that `judge` accepts for a place with this
    /// room. Looks at a bounded number of lanes unless `all` is set.
    pub fn find_parked(
        &self,
        room: &Resources,
        all: bool,
        mut judge: impl FnMut(&JobId) -> Offer,
    ) -> Parked {
        let per_member = if all {
            usize::MAX
        } else {
            MAX_LANES_PER_MEMBER
        };
        let parked = Place::Parked as usize;
        let members = if all {
            usize::MAX
        } else {
            MAX_MEMBERS_EXAMINED
        };
        let mut truncated = self.order[parked].len() > members;
        for &key in self.order[parked].iter().take(members) {
            if !room.covers(&self.members[key.2].least) {
                continue;
            }
            let classes = self.members[key.2].sets[parked].iter();
            let classes = classes.map(|&(_, _, class)| self.lanes.class(class));
            let fitting = classes.filter(|class| room.covers(&class.least));
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
                let offer = entry.first_job().map_or(Offer::Pass, &mut judge);
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
        let Some(entry) = self.lanes.present(lane) else {
            return;
        };
        let seq = entry.first_seq();
        self.remove(lane, seq);
    }

    /// Removes a job, given its order of arrival.
    pub fn remove(&mut self, lane: LaneId, seq: u64) {
        if self.lanes.present(lane).is_none() {
            return;
        }
        let place = self.take_out(lane);
        self.lanes.take(lane, seq);
        let gangs = self.lanes.get(lane).shape.at_once > 0;
        // Parked gangs are not offered single places, so the next one has to be tried by itself.
        self.put_in(lane, if gangs { Place::Ready } else { place });
    }

    /// Whether a lane is parked.
    pub fn is_parked(&self, lane: LaneId) -> bool {
        self.lanes
            .present(lane)
            .is_some_and(|lane| lane.place == Place::Parked)
    }

    /// Parks a lane whose need fits on no worker.
    pub fn park(&mut self, lane: LaneId) {
        if self.policy == QueuePolicy::FirstCome || self.lanes.present(lane).is_none() {
            return;
        }
        self.take_out(lane);
        self.put_in(lane, Place::Parked);
    }

    /// Makes all parked lanes ready. Its cost grows with their number, so it is meant for changes
    /// of the fleet that affect what can run at all.
    pub fn unpark_all(&mut self) {
        let parked = Place::Parked as usize;
        while let Some(&(_, _, member)) = self.order[parked].first() {
            let Some(&(_, _, class)) = self.members[member].sets[parked].first() else {
                return;
            };
            let Some(&(_, lane)) = self.lanes.class(class).sets[parked].first() else {
                return;
            };
            self.take_out(lane);
            self.put_in(lane, Place::Ready);
        }
    }

    /// Adds to the use of a member and its caller.
    pub fn charge(&mut self, member: &str, caller: &str, amount: &Resources) {
        let member = self.member_index(member);
        let entry = &mut self.members[member];
        entry.usage = add(&entry.usage, amount);
        let caller_entry = entry.callers.entry(caller.to_owned()).or_default();
        caller_entry.usage = add(&caller_entry.usage, amount);
        self.rekey_caller(member, caller);
        self.rekey(member);
    }

    /// Takes back a charge.
    pub fn refund(&mut self, member: &str, caller: &str, amount: &Resources) {
        let member = self.member_index(member);
        let entry = &mut self.members[member];
        entry.usage = subtract(&entry.usage, amount);
        if let Some(caller_entry) = entry.callers.get_mut(caller) {
            caller_entry.usage = subtract(&caller_entry.usage, amount);
        }
        self.rekey_caller(member, caller);
        self.drop_caller_if_idle(member, caller);
        self.rekey(member);
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
        let active = self.members.values().filter(|member| member.is_active());
        active.map(|member| u64::from(member.share.weight)).sum()
    }

    /// Members below their share whose parked job arrived at or before `arrived_by`, the longest
    /// wait first. Looks at each member once; meant to be called at intervals.
    pub fn starving(&self, arrived_by: Instant, active_weight: u64) -> Vec<Starving> {
        let mut starving = Vec::new();
        for member in self.members.values() {
            let classes = member.sets[Place::Parked as usize].iter();
            let firsts = classes.filter_map(|&(_, _, class)| {
                self.lanes.class(class).sets[Place::Parked as usize].first()
            });
            let Some(&(seq, lane)) = firsts.min() else {
                continue;
            };
            let Some(head) = self.lanes.get(lane).head(lane) else {
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

    fn member_index(&mut self, member: &str) -> usize {
        if let Some(index) = self.members.get_index_of(member) {
            return index;
        }
        let index = self.members.len();
        let entry = Member {
            key: (false, 0, index),
            least: NO_NEED,
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
        let share = self.dominant(&usage.unwrap_or_default());
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
            self.lanes.set_place(lane, Place::Nowhere);
            self.put_in(lane, Place::Ready);
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

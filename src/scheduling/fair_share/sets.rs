//! Ordered sets of members, classes and lanes.

use super::FairShare;
use super::lanes::{ClassId, LaneId, LaneState, UNSATISFIABLE_NEED, component_min};
use crate::resources::Resources;

/// Number of classes with parked lanes up to which the lower bound of a member is recomputed
/// exactly.
const MAX_CLASSES_BOUNDED: usize = 64;

impl FairShare {
    /// Removes a lane from the set that contains it; returns that set.
    pub(super) fn detach_lane(&mut self, lane: LaneId) -> LaneState {
        let entry = self.lanes.get(lane);
        let (state, class_id, seq) = (entry.state, entry.class, entry.first_seq());
        self.lanes.set_state(lane, LaneState::Detached);
        let class = self.lanes.class_mut(class_id);
        let (member, key) = (class.member, class.key);
        match state {
            LaneState::Ready | LaneState::Parked => {
                let set = state as usize;
                class.sets[set].remove(&(seq, lane));
                if class.sets[set].is_empty() {
                    self.members[member].sets[set].remove(&key);
                    if self.members[member].sets[set].is_empty() {
                        self.order[set].remove(&self.members[member].key);
                    }
                }
                if state == LaneState::Parked {
                    self.update_min_need(class_id);
                }
            }
            LaneState::OverQuota => self.members[member]
                .over_quota
                .retain(|other| *other != lane),
            LaneState::Detached => {}
        }
        state
    }

    /// Adds a lane to a set, or removes the lane if it has no jobs.
    pub(super) fn attach_lane(&mut self, lane: LaneId, state: LaneState) {
        let entry = self.lanes.get(lane);
        let (class_id, seq) = (entry.class, entry.first_seq());
        if entry.first_job().is_none() {
            if let Some(class) = self.lanes.remove(lane) {
                let callers = &mut self.members[class.member].callers;
                if let Some(caller) = callers.get_mut(&class.caller) {
                    caller.classes.swap_remove(&class.key.0.0);
                }
                self.drop_caller_if_idle(class.member, &class.caller);
            }
            return;
        }
        self.lanes.set_state(lane, state);
        let class = self.lanes.class_mut(class_id);
        let (member, key) = (class.member, class.key);
        match state {
            LaneState::Ready | LaneState::Parked => {
                let set = state as usize;
                class.sets[set].insert((seq, lane));
                self.members[member].sets[set].insert(key);
                self.order[set].insert(self.members[member].key);
                if state == LaneState::Parked {
                    self.lower_min_need(class_id, lane);
                }
            }
            LaneState::OverQuota => self.members[member].over_quota.push(lane),
            LaneState::Detached => {}
        }
    }

    /// Lowers the bounds of a class and its member for a lane that was parked.
    fn lower_min_need(&mut self, class: ClassId, lane: LaneId) {
        let need = self.lanes.get(lane).offered_need();
        let entry = self.lanes.class_mut(class);
        entry.min_need = component_min(&entry.min_need, &need);
        let member = &mut self.members[entry.member];
        member.min_need = component_min(&member.min_need, &need);
    }

    /// Recomputes the bounds of a class and its member after a lane left the parked set.
    fn update_min_need(&mut self, class: ClassId) {
        self.lanes.update_min_need(class);
        let member = self.lanes.class(class).member;
        let classes = &self.members[member].sets[LaneState::Parked as usize];
        if classes.len() <= MAX_CLASSES_BOUNDED {
            let bounds = classes
                .iter()
                .map(|&(_, _, class)| self.lanes.class(class).min_need);
            let bound = bounds.fold(UNSATISFIABLE_NEED, |sum, need| component_min(&sum, &need));
            self.members[member].min_need = bound;
        }
    }

    pub(super) fn drop_caller_if_idle(&mut self, member: usize, caller: &str) {
        let callers = &mut self.members[member].callers;
        let idle = callers
            .get(caller)
            .is_some_and(|entry| entry.usage == Resources::ZERO && !entry.waits());
        if idle {
            callers.swap_remove(caller);
        }
    }

    /// Recomputes the sort key of a member.
    pub(super) fn update_member_key(&mut self, index: usize) {
        let member = &self.members[index];
        let over = member
            .share
            .quota
            .is_some_and(|quota| !quota.covers(&member.usage));
        let weight = u64::from(member.share.weight.max(1));
        let key = (over, self.dominant_share(&member.usage) / weight, index);
        let former = std::mem::replace(&mut self.members[index].key, key);
        if former == key {
            return;
        }
        for set in 0..2 {
            if self.order[set].remove(&former) {
                self.order[set].insert(key);
            }
        }
    }

    /// Recomputes the sort keys of a caller's classes within its member.
    pub(super) fn update_caller_key(&mut self, member: usize, caller: &str) {
        let Some(entry) = self.members[member].callers.get(caller) else {
            return;
        };
        let share = self.dominant_share(&entry.usage);
        let classes: Vec<ClassId> = entry.classes.values().copied().collect();
        for id in classes {
            let class = self.lanes.class_mut(id);
            let former = class.key;
            class.key.1 = share;
            for set in 0..2 {
                if self.members[member].sets[set].remove(&former) {
                    self.members[member].sets[set].insert(class.key);
                }
            }
        }
    }
}

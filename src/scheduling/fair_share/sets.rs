//! Ordered sets of members, classes and lanes.

use super::FairShare;
use super::lanes::{ClassId, LaneId, NO_NEED, Place, least};
use crate::resources::Resources;

/// Classes of a member with parked lanes for which its lower bound is exact.
const MAX_CLASSES_BOUNDED: usize = 64;

impl FairShare {
    /// Removes a lane from the set in which it is; returns which that was.
    pub(super) fn take_out(&mut self, lane: LaneId) -> Place {
        let entry = self.lanes.get(lane);
        let (place, class_id, seq) = (entry.place, entry.class, entry.first_seq());
        self.lanes.set_place(lane, Place::Nowhere);
        let class = self.lanes.class_mut(class_id);
        let (member, key) = (class.member, class.key);
        match place {
            Place::Ready | Place::Parked => {
                let set = place as usize;
                class.sets[set].remove(&(seq, lane));
                if class.sets[set].is_empty() {
                    self.members[member].sets[set].remove(&key);
                    if self.members[member].sets[set].is_empty() {
                        self.order[set].remove(&self.members[member].key);
                    }
                }
                if place == Place::Parked {
                    self.update_least(class_id);
                }
            }
            Place::OverQuota => self.members[member]
                .over_quota
                .retain(|other| *other != lane),
            Place::Nowhere => {}
        }
        place
    }

    /// Puts a lane into a set, or drops it when it has no jobs.
    pub(super) fn put_in(&mut self, lane: LaneId, place: Place) {
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
        self.lanes.set_place(lane, place);
        let class = self.lanes.class_mut(class_id);
        let (member, key) = (class.member, class.key);
        match place {
            Place::Ready | Place::Parked => {
                let set = place as usize;
                class.sets[set].insert((seq, lane));
                self.members[member].sets[set].insert(key);
                self.order[set].insert(self.members[member].key);
                if place == Place::Parked {
                    self.lower_least(class_id, lane);
                }
            }
            Place::OverQuota => self.members[member].over_quota.push(lane),
            Place::Nowhere => {}
        }
    }

    /// Lowers the bounds of a class and its member for a lane that was parked.
    fn lower_least(&mut self, class: ClassId, lane: LaneId) {
        let need = self.lanes.get(lane).offered_need();
        let entry = self.lanes.class_mut(class);
        entry.least = least(&entry.least, &need);
        let member = &mut self.members[entry.member];
        member.least = least(&member.least, &need);
    }

    /// Recomputes the bounds of a class and its member after a lane left the parked set.
    fn update_least(&mut self, class: ClassId) {
        self.lanes.update_least(class);
        let member = self.lanes.class(class).member;
        let classes = &self.members[member].sets[Place::Parked as usize];
        if classes.len() <= MAX_CLASSES_BOUNDED {
            let bounds = classes
                .iter()
                .map(|&(_, _, class)| self.lanes.class(class).least);
            let bound = bounds.fold(NO_NEED, |sum, need| least(&sum, &need));
            self.members[member].least = bound;
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

    /// Recomputes the position of a member.
    pub(super) fn rekey(&mut self, index: usize) {
        let member = &self.members[index];
        let over = member
            .share
            .quota
            .is_some_and(|quota| !quota.covers(&member.usage));
        let weight = u64::from(member.share.weight.max(1));
        let key = (over, self.dominant(&member.usage) / weight, index);
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

    /// Recomputes the position of a caller within its member.
    pub(super) fn rekey_caller(&mut self, member: usize, caller: &str) {
        let Some(entry) = self.members[member].callers.get(caller) else {
            return;
        };
        let share = self.dominant(&entry.usage);
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

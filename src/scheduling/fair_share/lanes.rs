//! Queues of jobs with the same caller, urgency and needs.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::{CallerId, JobId};
use crate::protocol::caller::Urgency;
use crate::resources::Resources;
use crate::scheduling::job::LocationPreference;

/// Index of a lane; reused after the lane was removed.
pub type LaneId = usize;
/// Number of parked lanes up to which the lower bound of a class is recomputed exactly.
const MAX_LANES_BOUNDED: usize = 64;
/// Index of a class; reused after the class was removed.
pub(super) type ClassId = usize;
/// Sort key of a class: most urgent first, then the caller with the least usage.
pub(super) type ClassKey = (Reverse<Urgency>, u64, ClassId);

/// Properties that decide on which workers a job fits.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Shape {
    /// Need of each task.
    pub need: Resources,
    /// Number of tasks that have to start together; zero unless the job is a gang.
    pub gang_size: u32,
    /// Where the job may run.
    pub preference: LocationPreference,
}

/// First job of a lane.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// Lane whose first job this is.
    pub lane: LaneId,
    /// Identifier of the job.
    pub job: JobId,
    /// When the job entered the queue, or was last queued again for a retry.
    pub since: Instant,
}

/// Set that contains a lane. The first two values are indexes into the arrays of sets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LaneState {
    /// The first job is tried next.
    Ready = 0,
    /// The first job did not fit on any worker.
    Parked = 1,
    /// The lane waits until the member uses less of its quota.
    OverQuota,
    /// The lane is in no set while it is being changed.
    Detached,
}

/// Jobs of a caller with the same shape and urgency, in order of arrival.
pub(super) struct Lane {
    pub(super) class: ClassId,
    /// Need of the next start: of one task, or of all tasks of a gang.
    pub(super) need: Resources,
    pub(super) shape: Shape,
    pub(super) state: LaneState,
    jobs: VecDeque<(u64, Instant, JobId)>,
}

impl Lane {
    pub(super) fn head(&self, lane: LaneId) -> Option<Head> {
        let (_, since, job) = self.jobs.front()?;
        Some(Head {
            lane,
            job: job.clone(),
            since: *since,
        })
    }

    /// Free resources that a worker needs so that a search considers this lane. Searches are for
    /// single tasks and never consider gangs.
    pub(super) fn offered_need(&self) -> Resources {
        if self.shape.gang_size > 0 {
            UNSATISFIABLE_NEED
        } else {
            self.shape.need
        }
    }

    pub(super) fn first_job(&self) -> Option<&JobId> {
        self.jobs.front().map(|(_, _, job)| job)
    }

    pub(super) fn first_seq(&self) -> u64 {
        self.jobs.front().map_or(0, |(seq, _, _)| *seq)
    }
}

/// Lanes of a caller with the same urgency.
pub(super) struct Class {
    pub(super) member: usize,
    pub(super) caller: CallerId,
    pub(super) key: ClassKey,
    /// Ready and parked lanes, ordered by the arrival of their first job.
    pub(super) sets: [BTreeSet<(u64, LaneId)>; 2],
    /// Lower bound of the need of a task in any parked lane.
    pub(super) min_need: Resources,
    lanes: IndexMap<Shape, LaneId>,
}

/// Need that no worker satisfies; the neutral value of [`component_min`].
pub(super) const UNSATISFIABLE_NEED: Resources = Resources {
    cpu_millis: u64::MAX,
    memory_mib: u64::MAX,
    accelerators: u64::MAX,
};

/// Minimum in each dimension.
pub(super) fn component_min(left: &Resources, right: &Resources) -> Resources {
    Resources {
        cpu_millis: left.cpu_millis.min(right.cpu_millis),
        memory_mib: left.memory_mib.min(right.memory_mib),
        accelerators: left.accelerators.min(right.accelerators),
    }
}

/// All lanes and classes.
#[derive(Default)]
pub(super) struct Lanes {
    lanes: Vec<Option<Lane>>,
    vacant: Vec<LaneId>,
    classes: Vec<Option<Class>>,
    vacant_classes: Vec<ClassId>,
    queued: usize,
}

impl Lanes {
    pub(super) fn get(&self, lane: LaneId) -> &Lane {
        self.try_get(lane).expect("lane ids come from this table")
    }

    pub(super) fn try_get(&self, lane: LaneId) -> Option<&Lane> {
        self.lanes.get(lane)?.as_ref()
    }

    pub(super) fn class(&self, class: ClassId) -> &Class {
        self.classes[class]
            .as_ref()
            .expect("class ids come from this table")
    }

    pub(super) fn class_mut(&mut self, class: ClassId) -> &mut Class {
        self.classes[class]
            .as_mut()
            .expect("class ids come from this table")
    }

    pub(super) fn queued(&self) -> usize {
        self.queued
    }

    pub(super) fn add_class(
        &mut self,
        member: usize,
        caller: &str,
        urgency: Urgency,
        share: u64,
    ) -> ClassId {
        let id = self.vacant_classes.pop().unwrap_or_else(|| {
            self.classes.push(None);
            self.classes.len() - 1
        });
        self.classes[id] = Some(Class {
            member,
            caller: caller.to_owned(),
            key: (Reverse(urgency), share, id),
            sets: Default::default(),
            min_need: UNSATISFIABLE_NEED,
            lanes: IndexMap::new(),
        });
        id
    }

    /// Returns the lane of a class for this shape; inserts it if it is missing.
    pub(super) fn find_or_insert(&mut self, class: ClassId, shape: Shape) -> LaneId {
        if let Some(&lane) = self.class(class).lanes.get(&shape) {
            return lane;
        }
        let need = shape.need.checked_mul(u64::from(shape.gang_size.max(1)));
        let entry = Lane {
            class,
            need: need.unwrap_or(shape.need),
            shape: shape.clone(),
            state: LaneState::Detached,
            jobs: VecDeque::new(),
        };
        let lane = self.vacant.pop().unwrap_or_else(|| {
            self.lanes.push(None);
            self.lanes.len() - 1
        });
        self.lanes[lane] = Some(entry);
        self.class_mut(class).lanes.insert(shape, lane);
        lane
    }

    /// Removes an empty lane. Returns its class if that had no other lane and was removed as well.
    pub(super) fn remove(&mut self, lane: LaneId) -> Option<Class> {
        let entry = self.lanes[lane].take()?;
        self.vacant.push(lane);
        let class = self.class_mut(entry.class);
        class.lanes.swap_remove(&entry.shape);
        if !class.lanes.is_empty() {
            return None;
        }
        self.vacant_classes.push(entry.class);
        self.classes[entry.class].take()
    }

    /// Adds a job in order of arrival. A job that is queued again keeps its sequence number and
    /// thus its position.
    pub(super) fn push(&mut self, lane: LaneId, job: JobId, (seq, since): (u64, Instant)) {
        let jobs = &mut self.entry(lane).jobs;
        let at = jobs.partition_point(|(other, _, _)| *other < seq);
        jobs.insert(at, (seq, since, job));
        self.queued += 1;
    }

    /// Removes a job; returns whether it was in the lane.
    pub(super) fn take(&mut self, lane: LaneId, seq: u64) -> bool {
        let jobs = &mut self.entry(lane).jobs;
        let at = jobs.partition_point(|(other, _, _)| *other < seq);
        if jobs.get(at).is_none_or(|(other, _, _)| *other != seq) {
            return false;
        }
        jobs.remove(at);
        self.queued -= 1;
        true
    }

    pub(super) fn set_state(&mut self, lane: LaneId, state: LaneState) {
        self.entry(lane).state = state;
    }

    /// Recomputes the lower bound of a class from its parked lanes. With many lanes the former
    /// bound is kept, which stays valid when lanes are removed.
    pub(super) fn update_min_need(&mut self, class: ClassId) {
        let lanes = &self.class(class).sets[LaneState::Parked as usize];
        if lanes.len() > MAX_LANES_BOUNDED {
            return;
        }
        let needs = lanes.iter().map(|&(_, lane)| self.get(lane).offered_need());
        self.class_mut(class).min_need =
            needs.fold(UNSATISFIABLE_NEED, |sum, need| component_min(&sum, &need));
    }

    fn entry(&mut self, lane: LaneId) -> &mut Lane {
        self.lanes[lane]
            .as_mut()
            .expect("lane ids come from this table")
    }
}

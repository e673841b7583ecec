//! Queues of jobs that are alike: same caller, urgency and needs.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::{CallerId, JobId};
use crate::protocol::caller::Urgency;
use crate::resources::Resources;
use crate::scheduling::job::LocationPreference;

/// Position of a lane.
pub type LaneId = usize;
/// Parked lanes of a class for which its lower bound is exact.
const MAX_LANES_BOUNDED: usize = 64;
/// Position of a class.
pub(super) type ClassId = usize;
/// Most urgent first, then the caller with the least use.
pub(super) type ClassKey = (Reverse<Urgency>, u64, ClassId);

/// What decides whether a job fits somewhere.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Shape {
    /// Need of each task.
    pub need: Resources,
    /// Tasks that have to start at once; zero unless the job is a gang.
    pub at_once: u32,
    /// Where it may run.
    pub preference: LocationPreference,
}

/// First job of a lane.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// Lane.
    pub lane: LaneId,
    /// Job.
    pub job: JobId,
    /// When it entered the queue.
    pub since: Instant,
}

/// Where a lane is kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// To be tried.
    Ready = 0,
    /// Did not fit on any worker.
    Parked = 1,
    /// Waits for use of the member's own quota to end.
    OverQuota,
    /// Being changed.
    Nowhere,
}

/// Jobs of a caller with the same shape and urgency, in order of arrival.
pub(super) struct Lane {
    pub(super) class: ClassId,
    /// Need of the next start: of one task, or of all tasks of a gang.
    pub(super) need: Resources,
    pub(super) shape: Shape,
    pub(super) place: Place,
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

    /// What room has to cover so that it is offered to this lane. Gangs are not offered room for
    /// single tasks.
    pub(super) fn offered_need(&self) -> Resources {
        if self.shape.at_once > 0 {
            NO_NEED
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
    /// Ready and parked lanes by the arrival of their first job.
    pub(super) sets: [BTreeSet<(u64, LaneId)>; 2],
    /// Lower bound of what a task of any parked lane needs.
    pub(super) least: Resources,
    lanes: IndexMap<Shape, LaneId>,
}

/// Lower bound of no needs at all.
pub(super) const NO_NEED: Resources = Resources {
    cpu_millis: u64::MAX,
    memory_mib: u64::MAX,
    accelerators: u64::MAX,
};

/// Smaller amount in each dimension.
pub(super) fn least(left: &Resources, right: &Resources) -> Resources {
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
        self.present(lane).expect("lane ids come from this table")
    }

    pub(super) fn present(&self, lane: LaneId) -> Option<&Lane> {
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
            least: NO_NEED,
            lanes: IndexMap::new(),
        });
        id
    }

    /// Lane of a class for this shape.
    pub(super) fn find_or_insert(&mut self, class: ClassId, shape: Shape) -> LaneId {
        if let Some(&lane) = self.class(class).lanes.get(&shape) {
            return lane;
        }
        let need = shape.need.checked_mul(u64::from(shape.at_once.max(1)));
        let entry = Lane {
            class,
            need: need.unwrap_or(shape.need),
            shape: shape.clone(),
            place: Place::Nowhere,
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

    /// Removes an empty lane; returns its class when that is empty as well and was removed.
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

    /// Adds a job in order of arrival; a job that returns keeps its former place.
    pub(super) fn push(&mut self, lane: LaneId, job: JobId, (seq, since): (u64, Instant)) {
        let jobs = &mut self.entry(lane).jobs;
        let at = jobs.partition_point(|(other, _, _)| *other < seq);
        jobs.insert(at, (seq, since, job));
        self.queued += 1;
    }

    /// Removes a job; returns whether it was there.
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

    pub(super) fn set_place(&mut self, lane: LaneId, place: Place) {
        self.entry(lane).place = place;
    }

    /// Brings the lower bound of a class in step with its parked lanes. With many lanes the
    /// former bound is kept, which stays valid when lanes leave.
    pub(super) fn update_least(&mut self, class: ClassId) {
        let lanes = &self.class(class).sets[Place::Parked as usize];
        if lanes.len() > MAX_LANES_BOUNDED {
            return;
        }
        let needs = lanes.iter().map(|&(_, lane)| self.get(lane).offered_need());
        self.class_mut(class).least = needs.fold(NO_NEED, |sum, need| least(&sum, &need));
    }

    fn entry(&mut self, lane: LaneId) -> &mut Lane {
        self.lanes[lane]
            .as_mut()
            .expect("lane ids come from this table")
    }
}

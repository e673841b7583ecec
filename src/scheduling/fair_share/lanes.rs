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
/// Most urgent first, then the caller with the least use, then the first to arrive.
pub(super) type LaneKey = (Reverse<Urgency>, u64, u64, LaneId);

/// What decides whether a job fits somewhere.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Shape {
    /// Need of each task.
    pub need: Resources,
    /// Tasks that have to start at once; 1 unless the job is a gang.
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

#[derive(Debug)]
pub(super) struct Lane {
    pub(super) member: usize,
    pub(super) caller: CallerId,
    pub(super) urgency: Urgency,
    /// Need of the next start: of one task, or of all tasks of a gang.
    pub(super) need: Resources,
    pub(super) key: Option<LaneKey>,
    shape: Shape,
    jobs: VecDeque<(u64, Instant, JobId)>,
}

#[derive(Default)]
struct ShapeState {
    lanes: BTreeSet<LaneId>,
    blocked: bool,
}

/// All lanes, and which needs fit nowhere at present.
#[derive(Default)]
pub(super) struct Lanes {
    lanes: Vec<Option<Lane>>,
    vacant: Vec<LaneId>,
    shapes: IndexMap<Shape, ShapeState>,
    queued: usize,
}

impl Lanes {
    pub(super) fn get(&self, lane: LaneId) -> &Lane {
        self.present(lane).expect("lane ids come from this table")
    }

    pub(super) fn present(&self, lane: LaneId) -> Option<&Lane> {
        self.lanes.get(lane)?.as_ref()
    }

    pub(super) fn queued(&self) -> usize {
        self.queued
    }

    /// Lane of a caller for this urgency and shape.
    pub(super) fn find_or_insert(
        &mut self,
        of_caller: &mut BTreeSet<LaneId>,
        member: usize,
        caller: &str,
        urgency: Urgency,
        shape: Shape,
    ) -> LaneId {
        for &lane in of_caller.iter() {
            let entry = self.get(lane);
            if entry.urgency == urgency && entry.shape == shape {
                return lane;
            }
        }
        let need = shape.need.checked_mul(u64::from(shape.at_once.max(1)));
        let entry = Lane {
            member,
            caller: caller.to_owned(),
            urgency,
            need: need.unwrap_or(shape.need),
            key: None,
            shape: shape.clone(),
            jobs: VecDeque::new(),
        };
        let lane = self.vacant.pop().unwrap_or_else(|| {
            self.lanes.push(None);
            self.lanes.len() - 1
        });
        self.lanes[lane] = Some(entry);
        self.shapes.entry(shape).or_default().lanes.insert(lane);
        of_caller.insert(lane);
        lane
    }

    pub(super) fn remove(&mut self, lane: LaneId) {
        let Some(entry) = self.lanes[lane].take() else {
            return;
        };
        self.queued -= entry.jobs.len();
        self.vacant.push(lane);
        if let Some(state) = self.shapes.get_mut(&entry.shape) {
            state.lanes.remove(&lane);
            if state.lanes.is_empty() {
                self.shapes.swap_remove(&entry.shape);
            }
        }
    }

    /// Adds a job in order of arrival; a job that returns keeps its former place.
    pub(super) fn push(&mut self, lane: LaneId, job: JobId, (seq, since): (u64, Instant)) {
        let jobs = &mut self.entry(lane).jobs;
        let at = jobs.partition_point(|(other, _, _)| *other < seq);
        jobs.insert(at, (seq, since, job));
        self.queued += 1;
    }

    pub(super) fn pop(&mut self, lane: LaneId) {
        if self.entry(lane).jobs.pop_front().is_some() {
            self.queued -= 1;
        }
    }

    pub(super) fn head(&self, lane: LaneId) -> Option<Head> {
        let (_, since, job) = self.get(lane).jobs.front()?;
        Some(Head {
            lane,
            job: job.clone(),
            since: *since,
        })
    }

    pub(super) fn first_seq(&self, lane: LaneId) -> u64 {
        self.get(lane).jobs.front().map_or(0, |(seq, _, _)| *seq)
    }

    pub(super) fn set_key(&mut self, lane: LaneId, key: Option<LaneKey>) {
        self.entry(lane).key = key;
    }

    pub(super) fn is_blocked(&self, lane: LaneId) -> bool {
        let shape = &self.get(lane).shape;
        self.shapes.get(shape).is_some_and(|state| state.blocked)
    }

    pub(super) fn block(&mut self, lane: LaneId) {
        let shape = self.get(lane).shape.clone();
        if let Some(state) = self.shapes.get_mut(&shape) {
            state.blocked = true;
        }
    }

    /// Lanes of blocked shapes that a worker with these free resources may serve.
    pub(super) fn unblock(&mut self, free: &Resources) -> Vec<LaneId> {
        let mut lanes = Vec::new();
        for (shape, state) in &mut self.shapes {
            if state.blocked && free.covers(&shape.need) {
                state.blocked = false;
                lanes.extend(&state.lanes);
            }
        }
        lanes
    }

    fn entry(&mut self, lane: LaneId) -> &mut Lane {
        self.lanes[lane]
            .as_mut()
            .expect("lane ids come from this table")
    }
}

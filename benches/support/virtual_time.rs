//! Simulates a fleet in virtual time. Tasks end after their actual run time, which may differ from
//! the declared one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job::{JobSpec, TaskEnd};
use jujubewinch::scheduling::job_scheduler::{Decision, JobScheduler, TaskStart};

/// Time that a preempted task takes to stop.
const STOP_TIME: Duration = Duration::from_secs(2);

/// Actual run time of a started task, and how it ends.
pub type Outcome = (Duration, TaskEnd);

/// A running task.
pub struct Running {
    pub start: TaskStart,
    pub need: Resources,
    pub member: String,
    pub started_at: Instant,
}

/// Events of one step.
#[derive(Default)]
pub struct Step {
    pub started: Vec<TaskStart>,
    pub ended: Vec<(Running, TaskEnd)>,
    pub preempted: usize,
}

/// Scheduler with simulated tasks.
pub struct Fleet {
    pub scheduler: JobScheduler,
    /// Virtual time at the start of the simulation.
    pub started_at: Instant,
    /// Current virtual time.
    pub now: Instant,
    /// Running tasks by id.
    pub running: IndexMap<String, Running>,
    /// Submitted jobs by id, with the time of submission.
    pub specs: IndexMap<String, (JobSpec, Instant)>,
    /// Scheduled ends of tasks: time, sequence number, task and whether it was preempted.
    ends: BinaryHeap<Reverse<(Instant, u64, String, bool)>>,
    /// Number of scheduled ends; orders those of equal time.
    sequence: u64,
}

impl Fleet {
    pub fn new(scheduler: JobScheduler, now: Instant) -> Self {
        Self {
            scheduler,
            started_at: now,
            now,
            running: IndexMap::new(),
            specs: IndexMap::new(),
            ends: BinaryHeap::new(),
            sequence: 0,
        }
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.scheduler
            .submit(spec.clone(), self.now)
            .expect("feasible");
        self.specs.insert(spec.id.clone(), (spec, self.now));
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.started_at
    }

    /// Advances the time, reports the tasks that ended to the scheduler and carries out its
    /// decisions. `outcome` returns the actual run time and end of a started task.
    pub fn step(&mut self, by: Duration, mut outcome: impl FnMut(&TaskStart) -> Outcome) -> Step {
        self.now += by;
        let mut step = Step::default();
        while let Some(Reverse((at, _, task, stopped))) = self.ends.peek().cloned() {
            if at > self.now {
                break;
            }
            self.ends.pop();
            let Some(running) = self.running.swap_remove(&task) else {
                continue;
            };
            let end = match stopped {
                true => TaskEnd::Stopped,
                false => outcome(&running.start).1,
            };
            self.scheduler.task_ended(&task, end, self.now);
            step.ended.push((running, end));
        }
        for decision in self.scheduler.decide(self.now, 100_000) {
            match decision {
                Decision::Start(start) => {
                    let run = outcome(&start).0;
                    self.schedule_end(self.now + run, start.task.clone(), false);
                    let (spec, _) = &self.specs[&start.job];
                    let running = Running {
                        need: spec.resources,
                        member: spec.member.clone(),
                        started_at: self.now,
                        start: start.clone(),
                    };
                    self.running.insert(start.task.clone(), running);
                    step.started.push(start);
                }
                Decision::Preempt { task, .. } => {
                    step.preempted += 1;
                    self.schedule_end(self.now + STOP_TIME, task, true);
                }
                Decision::Reserve { .. } | Decision::Refuse { .. } => {}
            }
        }
        step
    }

    fn schedule_end(&mut self, at: Instant, task: String, stopped: bool) {
        self.sequence += 1;
        self.ends.push(Reverse((at, self.sequence, task, stopped)));
    }
}

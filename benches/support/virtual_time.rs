//! A fleet in virtual time: tasks end when their real run time is over.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job::{JobSpec, TaskEnd};
use jujubewinch::scheduling::job_scheduler::{Decision, JobScheduler, TaskStart};

/// Time that a preempted task takes to stop.
const STOP_TIME: Duration = Duration::from_secs(2);

/// How a started task will end.
pub type Outcome = (Duration, TaskEnd);

/// A running task.
pub struct Running {
    pub start: TaskStart,
    pub need: Resources,
    pub member: String,
    pub begun: Instant,
}

/// What happened in one step.
#[derive(Default)]
pub struct Step {
    pub started: Vec<TaskStart>,
    pub ended: Vec<(Running, TaskEnd)>,
    pub preempted: usize,
}

/// Scheduler and running tasks.
pub struct Fleet {
    pub scheduler: JobScheduler,
    pub begun: Instant,
    pub now: Instant,
    pub running: IndexMap<String, Running>,
    pub specs: IndexMap<String, (JobSpec, Instant)>,
    ends: BinaryHeap<Reverse<(Instant, u64, String, bool)>>,
    sequence: u64,
}

impl Fleet {
    pub fn new(scheduler: JobScheduler, now: Instant) -> Self {
        Self {
            scheduler,
            begun: now,
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
        self.now - self.begun
    }

    /// Advances the time, reports ends and carries out decisions. `outcome` gives the real run
    /// time and end of each started task.
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
                    self.push_end(self.now + run, start.task.clone(), false);
                    let (spec, _) = &self.specs[&start.job];
                    let running = Running {
                        need: spec.resources,
                        member: spec.member.clone(),
                        begun: self.now,
                        start: start.clone(),
                    };
                    self.running.insert(start.task.clone(), running);
                    step.started.push(start);
                }
                Decision::Preempt { task, .. } => {
                    step.preempted += 1;
                    self.push_end(self.now + STOP_TIME, task, true);
                }
                Decision::Reserve { .. } | Decision::Refuse { .. } => {}
            }
        }
        step
    }

    fn push_end(&mut self, at: Instant, task: String, stopped: bool) {
        self.sequence += 1;
        self.ends.push(Reverse((at, self.sequence, task, stopped)));
    }
}

//! Simulates workers and the placement policy. The workers follow the rules of their protocol: they
//! check run numbers and fencing tokens, list the ends of runs until these are acknowledged, and work
//! on a gang only from the moment when all its members are present.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::resources::Resources;
use jujubewinch::workflow::calls::{
    CallFailure, ListedEnd, ListedRun, OrderAnswer, OrderOutcome, OutsideCalls, PolicyAnswer,
    PolicyQuestion, RenewOrder, StartOrder, StopOrder, WorkerReport, WorkerTarget,
};
use jujubewinch::workflow::records::{RunNumber, RunOutcome};
use jujubewinch::workflow::spec::{StageKey, TaskKey};
use jujubewinch::workflow::workers::{WorkerHeartbeat, WorkerRecord};

/// Service of all workers.
pub const SERVICE: &str = "wheel-orders";
/// Processor capacity of a worker, in thousandths of a core.
const CAPACITY_MILLIS: u64 = 16_000;
/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 12;
/// Incarnation of all workers; simulated workers never restart.
const INCARNATION: u64 = 1;
/// Time for which a member of a gang waits for the others, as on the deployments.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Interval at which runs whose time is over are ended.
const END_INTERVAL: Duration = Duration::from_millis(5);

/// All simulated workers and the policy, with counters of what they received.
pub struct Fleet {
    started_at: Instant,
    workers: IndexMap<String, Worker>,
    /// Locked before the state of a worker.
    plan: Mutex<Plan>,
    stopping: AtomicBool,
    /// Start orders that workers received, including repeated and rejected orders.
    pub start_orders: AtomicUsize,
    /// Runs that started while another run of the same task was active on the worker.
    pub overlaps: AtomicUsize,
    /// Runs that started.
    pub runs: AtomicUsize,
    /// Number of workers in all questions to the policy.
    pub asked_workers: AtomicUsize,
}

/// Planned ends of the started runs.
#[derive(Default)]
struct Plan {
    /// Earliest first.
    due: BinaryHeap<Reverse<DueEnd>>,
    /// Gangs of which a member is active, by stage and run.
    gangs: IndexMap<(StageKey, RunNumber), Gang>,
}

#[derive(Default)]
struct Gang {
    /// Members that have started, with the positions of their workers.
    present: Vec<(usize, TaskKey)>,
    /// Whether all members are present.
    at_work: bool,
}

/// Time at which a run ends; `worker` is the position of its worker. The end of a gang at work stands
/// under the member that started last.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct DueEnd {
    at: Instant,
    worker: usize,
    task: String,
    run: RunNumber,
    /// Whether the run ends only if members of its gang are still missing.
    if_incomplete: bool,
}

impl Plan {
    /// Plans the end of a run that has just started.
    fn add(&mut self, worker: usize, order: &StartOrder) {
        let (run_time, members) = parse_payload(&order.payload);
        let mut end = DueEnd {
            at: Instant::now() + run_time,
            worker,
            task: order.task.to_string(),
            run: order.run,
            if_incomplete: false,
        };
        if members > 1 {
            let key = (order.task.stage.clone(), order.run);
            let gang = self.gangs.entry(key).or_default();
            gang.present.push((worker, order.task.clone()));
            gang.at_work = gang.present.len() == members;
            if !gang.at_work {
                end.at = Instant::now() + GANG_TIMEOUT;
                end.if_incomplete = true;
            }
        }
        self.due.push(Reverse(end));
    }
}

#[derive(Default)]
struct Worker {
    state: Mutex<WorkerState>,
    /// Notified when a run has ended.
    ended: Condvar,
}

#[derive(Default)]
struct WorkerState {
    /// Highest fencing token that the worker has received.
    fence: u64,
    running: IndexMap<TaskKey, RunNumber>,
    /// Highest run number that was stopped or has ended, by task.
    closed: IndexMap<TaskKey, RunNumber>,
    ends: Vec<ListedEnd>,
    last_end: u64,
}

impl WorkerState {
    /// Removes an active run and lists its end; has no effect if the run is not active. Returns whether
    /// it was.
    fn close(&mut self, task: &TaskKey, run: RunNumber, outcome: RunOutcome) -> bool {
        if self.running.get(task) != Some(&run) {
            return false;
        }
        self.running.swap_remove(task);
        self.last_end += 1;
        self.ends.push(ListedEnd {
            number: self.last_end,
            run: listed(task, run),
            outcome,
        });
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        true
    }
}

/// Payload of tasks that run for a time, in milliseconds, in gangs of this number of members; one for
/// tasks that work by themselves.
pub fn payload(run_ms: u64, members: u32) -> String {
    format!("{run_ms} {members}")
}

fn parse_payload(payload: &str) -> (Duration, usize) {
    let (run_ms, members) = payload.split_once(' ').unwrap();
    let run_time = Duration::from_millis(run_ms.parse().unwrap());
    (run_time, members.parse().unwrap())
}

pub fn resources(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib: 0,
        accelerators: 0,
    }
}

fn listed(task: &TaskKey, run: RunNumber) -> ListedRun {
    ListedRun {
        task: task.clone(),
        run,
        checkpoint: String::new(),
        progress_percent: None,
    }
}

impl Fleet {
    pub fn start(count: usize) -> Arc<Self> {
        let workers = (0..count).map(|number| (format!("worker-{number}"), Worker::default()));
        let fleet = Arc::new(Self {
            started_at: Instant::now(),
            workers: workers.collect(),
            plan: Mutex::default(),
            stopping: AtomicBool::new(false),
            start_orders: AtomicUsize::new(0),
            overlaps: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
            asked_workers: AtomicUsize::new(0),
        });
        let background = Arc::clone(&fleet);
        thread::spawn(move || {
            while !background.is_stopping() {
                background.end_due_runs();
                thread::sleep(END_INTERVAL);
            }
        });
        fleet
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Heartbeat of each worker with this sequence number.
    pub fn heartbeats(&self, sequence: u64) -> Vec<WorkerHeartbeat> {
        let workers = self.workers.keys().enumerate();
        let heartbeats = workers.map(|(number, id)| WorkerHeartbeat {
            record: WorkerRecord {
                id: id.clone(),
                incarnation: INCARNATION,
                address: format!("{id}:80"),
                service: SERVICE.to_owned(),
                data_centre: "erdenet".to_owned(),
                capacity: resources(CAPACITY_MILLIS),
                labels: vec![format!("r{}", number / WORKERS_PER_RACK)],
                draining: false,
            },
            sequence,
        });
        heartbeats.collect()
    }

    /// Handlers of the placer's calls to the workers and to the policy.
    pub fn calls(self: &Arc<Self>) -> OutsideCalls {
        let (start, stop, renew, ask) = (
            Arc::clone(self),
            Arc::clone(self),
            Arc::clone(self),
            Arc::clone(self),
        );
        OutsideCalls {
            start: Arc::new(move |target, order, _| start.answer_start(target, order)),
            stop: Arc::new(move |target, order, _| stop.answer_stop(target, order)),
            renew: Arc::new(move |target, order, _| renew.answer_renew(target, order)),
            ask_policy: Arc::new(move |question, _| Ok(ask.answer_question(question))),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn answer(&self, outcome: OrderOutcome) -> OrderAnswer {
        OrderAnswer {
            outcome,
            clock_ms: Some(self.clock_ms()),
        }
    }

    fn worker(&self, target: &WorkerTarget) -> Result<(usize, &Worker), CallFailure> {
        let found = self.workers.get_full(&target.worker);
        let (position, _, worker) = found.ok_or(CallFailure::PortClosed)?;
        Ok((position, worker))
    }

    fn answer_start(
        &self,
        target: &WorkerTarget,
        order: &StartOrder,
    ) -> Result<OrderAnswer, CallFailure> {
        let (position, worker) = self.worker(target)?;
        self.start_orders.fetch_add(1, Ordering::AcqRel);
        let mut plan = self.plan.lock().unwrap();
        let mut state = worker.state.lock().unwrap();
        if order.fence < state.fence {
            return Ok(self.answer(OrderOutcome::Fenced));
        }
        state.fence = order.fence;
        let closed = state.closed.get(&order.task);
        if closed.is_some_and(|closed| order.run <= *closed) {
            return Ok(self.answer(OrderOutcome::Superseded));
        }
        let previous = state.running.insert(order.task.clone(), order.run);
        if previous == Some(order.run) {
            return Ok(self.answer(OrderOutcome::Done));
        }
        drop(state);
        self.overlaps
            .fetch_add(usize::from(previous.is_some()), Ordering::AcqRel);
        self.runs.fetch_add(1, Ordering::AcqRel);
        plan.add(position, order);
        Ok(self.answer(OrderOutcome::Done))
    }

    fn answer_stop(
        &self,
        target: &WorkerTarget,
        order: &StopOrder,
    ) -> Result<OrderAnswer, CallFailure> {
        let (_, worker) = self.worker(target)?;
        let mut plan = self.plan.lock().unwrap();
        let mut state = worker.state.lock().unwrap();
        if order.fence < state.fence {
            return Ok(self.answer(OrderOutcome::Fenced));
        }
        state.fence = order.fence;
        let was_active = state.close(&order.task, order.run, RunOutcome::Stopped);
        let closed = state.closed.entry(order.task.clone()).or_default();
        *closed = order.run.max(*closed);
        drop(state);
        worker.ended.notify_all();
        if was_active {
            let gang = (order.task.stage.clone(), order.run);
            self.end_gang(&mut plan, &gang, RunOutcome::GangBroken);
        }
        Ok(self.answer(OrderOutcome::Done))
    }

    fn answer_renew(
        &self,
        target: &WorkerTarget,
        order: &RenewOrder,
    ) -> Result<WorkerReport, CallFailure> {
        let (_, worker) = self.worker(target)?;
        let mut state = worker.state.lock().unwrap();
        if order.fence < state.fence {
            return Err(CallFailure::Fenced);
        }
        state.fence = order.fence;
        state.ends.retain(|end| end.number > order.recorded_ends);
        let wait = Duration::from_millis(order.wait_ms);
        let empty = |state: &mut WorkerState| state.ends.is_empty();
        let (state, _) = worker.ended.wait_timeout_while(state, wait, empty).unwrap();
        let running = state.running.iter();
        Ok(WorkerReport {
            incarnation: INCARNATION,
            clock_ms: self.clock_ms(),
            running: running.map(|(task, run)| listed(task, *run)).collect(),
            ends: state.ends.clone(),
            complete: true,
        })
    }

    /// Grants two of three workers; which two depends on the job.
    fn answer_question(&self, question: &PolicyQuestion) -> PolicyAnswer {
        self.asked_workers
            .fetch_add(question.workers.len(), Ordering::AcqRel);
        let job_offset: usize = question.stage.job.bytes().map(usize::from).sum();
        let granted = question.workers.iter().filter(|id| {
            let position = self.workers.get_index_of(id.as_str());
            position.is_some_and(|position| !(position + job_offset).is_multiple_of(3))
        });
        PolicyAnswer {
            granted: granted
                .map(|id| (id.clone(), "permit".to_owned()))
                .collect(),
            validity_ms: None,
        }
    }

    fn end_due_runs(&self) {
        let now = Instant::now();
        let mut plan = self.plan.lock().unwrap();
        while plan.due.peek().is_some_and(|Reverse(next)| next.at <= now) {
            let Some(Reverse(end)) = plan.due.pop() else {
                return;
            };
            let task = TaskKey::parse(&end.task).unwrap();
            let gang = (task.stage.clone(), end.run);
            if !end.if_incomplete {
                self.end_run(end.worker, &task, end.run, RunOutcome::Succeeded);
                self.end_gang(&mut plan, &gang, RunOutcome::Succeeded);
                continue;
            }
            if plan.gangs.get(&gang).is_none_or(|gang| gang.at_work) {
                continue;
            }
            self.end_run(end.worker, &task, end.run, RunOutcome::GangIncomplete);
            self.end_gang(&mut plan, &gang, RunOutcome::GangBroken);
        }
    }

    /// Ends all active members of a gang; has no effect if there is no such gang.
    fn end_gang(&self, plan: &mut Plan, key: &(StageKey, RunNumber), outcome: RunOutcome) {
        let gang = plan.gangs.swap_remove(key).unwrap_or_default();
        for (worker, task) in gang.present {
            self.end_run(worker, &task, key.1, outcome);
        }
    }

    fn end_run(&self, worker: usize, task: &TaskKey, run: RunNumber, outcome: RunOutcome) {
        let worker = &self.workers[worker];
        worker.state.lock().unwrap().close(task, run, outcome);
        worker.ended.notify_all();
    }
}

//! Simulated workers and placement policy. They follow the rules of the workers' protocol: run
//! numbers, fencing tokens, and ends that are listed until they are acknowledged.

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
use jujubewinch::workflow::spec::TaskKey;
use jujubewinch::workflow::workers::{WorkerHeartbeat, WorkerRecord};

/// Service of all workers.
pub const SERVICE: &str = "wheel-orders";
/// Processors of a worker, in thousandths of a core.
const CAPACITY_MILLIS: u64 = 16_000;
/// Workers of a rack.
const RACK: usize = 12;
/// Incarnation of all workers, which never restart.
const INCARNATION: u64 = 1;
/// Interval of the look at runs that are over.
const END_INTERVAL: Duration = Duration::from_millis(5);

/// All workers.
pub struct Fleet {
    started_at: Instant,
    workers: IndexMap<String, Worker>,
    due: Mutex<BinaryHeap<Reverse<DueEnd>>>,
    stopping: AtomicBool,
    /// Start orders that were answered, repeated ones included.
    pub start_orders: AtomicUsize,
    /// Runs that began while another run of the same task was there.
    pub overlaps: AtomicUsize,
    /// Runs that began.
    pub runs: AtomicUsize,
    /// Workers that the policy was asked about, summed over all questions.
    pub asked_workers: AtomicUsize,
}

/// When a run is over, with its worker's position.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct DueEnd {
    at: Instant,
    worker: usize,
    task: String,
    run: RunNumber,
}

#[derive(Default)]
struct Worker {
    state: Mutex<WorkerState>,
    /// Signalled when a run has ended.
    ended: Condvar,
}

#[derive(Default)]
struct WorkerState {
    fence: u64,
    running: IndexMap<TaskKey, RunNumber>,
    /// Highest run that was stopped or ended, by task.
    closed: IndexMap<TaskKey, RunNumber>,
    ends: Vec<ListedEnd>,
    last_end: u64,
}

impl WorkerState {
    fn close(&mut self, task: &TaskKey, run: RunNumber, outcome: RunOutcome) {
        if self.running.get(task) != Some(&run) {
            return;
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
    }
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
            due: Mutex::default(),
            stopping: AtomicBool::new(false),
            start_orders: AtomicUsize::new(0),
            overlaps: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
            asked_workers: AtomicUsize::new(0),
        });
        let working = Arc::clone(&fleet);
        thread::spawn(move || {
            while !working.stopping.load(Ordering::Acquire) {
                working.end_due_runs();
                thread::sleep(END_INTERVAL);
            }
        });
        fleet
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// First heartbeats of all workers.
    pub fn heartbeats(&self) -> Vec<WorkerHeartbeat> {
        let workers = self.workers.keys().enumerate();
        let heartbeats = workers.map(|(number, id)| WorkerHeartbeat {
            record: WorkerRecord {
                id: id.clone(),
                incarnation: INCARNATION,
                address: format!("{id}:80"),
                service: SERVICE.to_owned(),
                data_centre: "erdenet".to_owned(),
                capacity: resources(CAPACITY_MILLIS),
                labels: vec![format!("r{}", number / RACK)],
                draining: false,
            },
            sequence: 1,
        });
        heartbeats.collect()
    }

    /// The calls of the placer to these workers and to the policy.
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
        let mut state = worker.state.lock().unwrap();
        if order.fence < state.fence {
            return Ok(self.answer(OrderOutcome::Fenced));
        }
        state.fence = order.fence;
        let closed = state.closed.get(&order.task);
        if closed.is_some_and(|closed| order.run <= *closed) {
            return Ok(self.answer(OrderOutcome::Superseded));
        }
        let present = state.running.insert(order.task.clone(), order.run);
        if present == Some(order.run) {
            return Ok(self.answer(OrderOutcome::Done));
        }
        drop(state);
        self.overlaps
            .fetch_add(usize::from(present.is_some()), Ordering::AcqRel);
        self.runs.fetch_add(1, Ordering::AcqRel);
        let run_ms = order.payload.parse().unwrap();
        self.due.lock().unwrap().push(Reverse(DueEnd {
            at: Instant::now() + Duration::from_millis(run_ms),
            worker: position,
            task: order.task.to_string(),
            run: order.run,
        }));
        Ok(self.answer(OrderOutcome::Done))
    }

    fn answer_stop(
        &self,
        target: &WorkerTarget,
        order: &StopOrder,
    ) -> Result<OrderAnswer, CallFailure> {
        let (_, worker) = self.worker(target)?;
        let mut state = worker.state.lock().unwrap();
        if order.fence < state.fence {
            return Ok(self.answer(OrderOutcome::Fenced));
        }
        state.fence = order.fence;
        state.close(&order.task, order.run, RunOutcome::Stopped);
        let closed = state.closed.entry(order.task.clone()).or_default();
        *closed = order.run.max(*closed);
        drop(state);
        worker.ended.notify_all();
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

    /// Permits two of three workers, others for each job.
    fn answer_question(&self, question: &PolicyQuestion) -> PolicyAnswer {
        self.asked_workers
            .fetch_add(question.workers.len(), Ordering::AcqRel);
        let salt: usize = question.stage.job.bytes().map(usize::from).sum();
        let permitted = question.workers.iter().filter(|id| {
            let position = self.workers.get_index_of(id.as_str());
            position.is_some_and(|position| !(position + salt).is_multiple_of(3))
        });
        PolicyAnswer {
            granted: permitted
                .map(|id| (id.clone(), "permit".to_owned()))
                .collect(),
            validity_ms: None,
        }
    }

    fn end_due_runs(&self) {
        let now = Instant::now();
        let mut over = Vec::new();
        {
            let mut due = self.due.lock().unwrap();
            while due.peek().is_some_and(|Reverse(next)| next.at <= now) {
                over.extend(due.pop());
            }
        }
        for Reverse(end) in over {
            let worker = &self.workers[end.worker];
            let task = TaskKey::parse(&end.task).unwrap();
            let mut state = worker.state.lock().unwrap();
            state.close(&task, end.run, RunOutcome::Succeeded);
            drop(state);
            worker.ended.notify_all();
        }
    }
}

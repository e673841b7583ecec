//! A worker as the contract describes it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::fixture::heartbeat;
use super::cell::{Answer, Cell, LATE_CALL_LIMIT, job_id};
use super::check::{Ended, Started};
use super::plan::{Fault, Target};
use crate::ids::{Incarnation, WorkerId};
use crate::workflow::calls::{
    ListedEnd, ListedRun, OrderAnswer, OrderOutcome, RenewOrder, StartOrder, StopOrder,
    WorkerReport,
};
use crate::workflow::records::{RunNumber, RunOutcome};
use crate::workflow::spec::TaskKey;

/// Longest lease that a worker takes, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Runs for which a worker has room.
const ROOM: usize = 4;

/// A call with its fencing token.
#[derive(Clone, Debug)]
pub(super) enum Request {
    /// With the incarnation that the order is meant for.
    Start(StartOrder, u64, Incarnation),
    Stop(StopOrder, u64),
    Renew(RenewOrder, u64),
}

impl Request {
    pub(super) fn target(&self) -> Target {
        match self {
            Self::Start(..) => Target::Start,
            Self::Stop(..) => Target::Stop,
            Self::Renew(order, _) if order.recorded_ends > 0 => Target::Acknowledgement,
            Self::Renew(..) => Target::Renewal,
        }
    }

    fn token(&self) -> u64 {
        match self {
            Self::Start(_, token, _) | Self::Stop(_, token) | Self::Renew(_, token) => *token,
        }
    }
}

pub(super) struct Worker {
    /// The process that runs, if any.
    pub life: Option<Life>,
    pub lives: Incarnation,
}

impl Worker {
    /// The life that runs or ran last.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.lives
    }
}

pub(super) struct Life {
    pub born_at: Instant,
    /// Milliseconds of the clock in a second.
    clock_rate: u64,
    fence: u64,
    lease_until_ms: Option<u64>,
    pub running: IndexMap<TaskKey, RunNumber>,
    /// Highest run of each task that was stopped or has ended.
    closed: IndexMap<TaskKey, RunNumber>,
    ends: Vec<ListedEnd>,
    last_end: u64,
    /// Calls that wait for an end.
    waiting: Vec<u64>,
}

impl Life {
    fn clock_ms(&self, now: Instant) -> u64 {
        (now - self.born_at).as_millis() as u64 * self.clock_rate / 1_000
    }

    fn lists(&self, incarnation: Incarnation, now: Instant) -> WorkerReport {
        let running = self.running.iter().map(|(task, run)| ListedRun {
            task: task.clone(),
            run: *run,
            checkpoint: String::new(),
            progress_percent: None,
        });
        WorkerReport {
            incarnation,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ends: self.ends.clone(),
            complete: true,
        }
    }
}

impl Cell {
    pub(super) fn add_worker(&mut self, id: WorkerId) {
        let worker = Worker {
            life: None,
            lives: 0,
        };
        self.workers.insert(id.clone(), worker);
        self.begin_life(&id, Duration::from_secs(100));
    }

    pub(super) fn restart_worker(&mut self, id: &WorkerId, down_ms: u64) {
        if self.workers[id].life.take().is_none() {
            return;
        }
        let id = id.clone();
        self.after(Duration::from_millis(down_ms), move |cell| {
            cell.begin_life(&id, Duration::ZERO);
        });
    }

    fn begin_life(&mut self, id: &WorkerId, age: Duration) {
        let clock_rate = if self.chance(50) { 980 } else { 1_000 };
        let worker = &mut self.workers[id];
        worker.lives += 1;
        let incarnation = worker.lives;
        worker.life = Some(Life {
            born_at: self.now.at - age,
            clock_rate,
            fence: 0,
            lease_until_ms: None,
            running: IndexMap::new(),
            closed: IndexMap::new(),
            ends: Vec::new(),
            last_end: 0,
            waiting: Vec::new(),
        });
        self.note(|| format!("{id} begins life {incarnation}"));
        self.send_heartbeat(id.clone(), incarnation, 1);
    }

    fn life(&mut self, id: &WorkerId, incarnation: Incarnation) -> Option<&mut Life> {
        let worker = self.workers.get_mut(id)?;
        worker.life.as_mut().filter(|_| worker.lives == incarnation)
    }

    fn send_heartbeat(&mut self, id: WorkerId, incarnation: Incarnation, sequence: u64) {
        if self.life(&id, incarnation).is_none() {
            return;
        }
        let mut delay = self.ms(1..60);
        let mut is_lost = self.chance(2);
        if let Some(until) = self.cut_until(&id) {
            is_lost = self.chance(60);
            delay += until - self.now.at;
        } else if self.is_held(&id, Target::Heartbeat) {
            is_lost = self.chance(40);
            delay = self.ms(50..12_000);
        }
        if !is_lost {
            let heartbeat = heartbeat(&id, incarnation, sequence);
            self.after(delay, move |cell| {
                let now = cell.now;
                cell.step(|term| term.handle_heartbeat(heartbeat, now));
            });
        }
        self.after(HEARTBEAT_INTERVAL, move |cell| {
            cell.send_heartbeat(id, incarnation, sequence + 1);
        });
    }

    /// Lets the process that runs at the address carry out a call.
    pub(super) fn deliver(&mut self, id: &WorkerId, call: u64, request: Request, sent_at: Instant) {
        let now = self.now.at;
        if self.workers[id].life.is_none() {
            let (later, id) = (self.ms(50..700), id.clone());
            if self.chance(50) && now + later <= sent_at + LATE_CALL_LIMIT {
                self.after(later, move |cell| cell.deliver(&id, call, request, sent_at));
            }
            return;
        }
        let incarnation = self.workers[id].lives;
        let late_ms = (now - sent_at).as_millis();
        let life = self.workers[id].life.as_mut().unwrap();
        let is_fenced = request.token() < life.fence;
        life.fence = life.fence.max(request.token());
        let is_renewal = matches!(request, Request::Renew(..));
        let line = request.clone();
        let outcome = match request {
            _ if is_fenced => OrderOutcome::Fenced,
            Request::Start(order, _, meant_for) => self.start(id, incarnation, order, meant_for),
            Request::Stop(order, _) => {
                self.stop(id, incarnation, order);
                OrderOutcome::Done
            }
            Request::Renew(order, _) => {
                self.note(|| format!("{id}/{incarnation} {late_ms} ms late: {line:?}"));
                self.renew(id, incarnation, call, &order);
                return;
            }
        };
        self.note(|| format!("{id}/{incarnation} {late_ms} ms late: {line:?}: {outcome:?}"));
        let life = self.workers[id].life.as_ref().unwrap();
        let clock_ms = Some(life.clock_ms(now));
        let answer = match is_renewal {
            true => Answer::Fenced,
            false => Answer::Order(OrderAnswer { outcome, clock_ms }),
        };
        self.answer(id, call, answer);
    }

    fn start(
        &mut self,
        id: &WorkerId,
        incarnation: Incarnation,
        order: StartOrder,
        meant_for: Incarnation,
    ) -> OrderOutcome {
        let now = self.now.at;
        let is_permitted = order.permit.as_ref().is_none_or(|permit| {
            let permit = &self.permits[permit.parse::<usize>().unwrap()];
            permit.stage == order.task.stage
                && permit.worker == *id
                && permit.incarnation == incarnation
                && now < permit.expires_at
        });
        let ticket_first = self.plan.checks_ticket_first;
        let life = self.workers[id].life.as_ref().unwrap();
        if order.lease_until_clock_ms <= life.clock_ms(now) {
            return OrderOutcome::LeasePassed;
        }
        if ticket_first && !is_permitted {
            return OrderOutcome::PermitInvalid;
        }
        if life.running.get(&order.task) == Some(&order.run) {
            self.extend_lease(id, incarnation, order.lease_until_clock_ms);
            return OrderOutcome::Done;
        }
        let is_old = life
            .closed
            .get(&order.task)
            .is_some_and(|closed| order.run <= *closed);
        let has_room = life.running.len() < ROOM;
        if is_old || !has_room {
            self.extend_lease(id, incarnation, order.lease_until_clock_ms);
            return if is_old {
                OrderOutcome::Superseded
            } else {
                OrderOutcome::NoRoom
            };
        }
        if !is_permitted {
            return OrderOutcome::PermitInvalid;
        }
        self.check_start(id, &order, meant_for);
        self.extend_lease(id, incarnation, order.lease_until_clock_ms);
        let life = self.workers[id].life.as_mut().unwrap();
        life.running.insert(order.task.clone(), order.run);
        let work_ms = self.plan.faults.iter().find_map(|fault| match fault {
            Fault::Job {
                number, work_ms, ..
            } if job_id(*number) == order.task.stage.job => Some(*work_ms),
            _ => None,
        });
        let (id, work) = (id.clone(), Duration::from_millis(work_ms.unwrap()));
        self.after(work, move |cell| {
            cell.end_run(
                &id,
                incarnation,
                &order.task,
                order.run,
                RunOutcome::Succeeded,
            );
        });
        OrderOutcome::Done
    }

    fn stop(&mut self, id: &WorkerId, incarnation: Incarnation, order: StopOrder) {
        let life = self.workers[id].life.as_mut().unwrap();
        let closed = life.closed.entry(order.task.clone()).or_default();
        *closed = (*closed).max(order.run);
        let Some(run) = life.running.get(&order.task).copied() else {
            return;
        };
        if run > order.run {
            return;
        }
        let (grace, id) = (self.ms(0..300), id.clone());
        self.after(grace, move |cell| {
            cell.end_run(&id, incarnation, &order.task, run, RunOutcome::Stopped);
        });
    }

    fn renew(&mut self, id: &WorkerId, incarnation: Incarnation, call: u64, order: &RenewOrder) {
        self.note_ends(id, incarnation, order.recorded_ends);
        if let Some(until_ms) = order.lease_until_clock_ms {
            self.extend_lease(id, incarnation, until_ms);
        }
        let life = self.workers[id].life.as_mut().unwrap();
        life.ends.retain(|end| end.number > order.recorded_ends);
        let has_ends = !life.ends.is_empty();
        life.waiting.push(call);
        if has_ends || order.wait_ms == 0 {
            self.answer_waiting(id, incarnation, Some(call));
            return;
        }
        let id = id.clone();
        self.after(Duration::from_millis(order.wait_ms), move |cell| {
            cell.answer_waiting(&id, incarnation, Some(call));
        });
    }

    /// Answers one call or all calls that wait for an end.
    fn answer_waiting(&mut self, id: &WorkerId, incarnation: Incarnation, only: Option<u64>) {
        let now = self.now.at;
        let Some(life) = self.life(id, incarnation) else {
            return;
        };
        let lists = life.lists(incarnation, now);
        let is_due = |call: &mut u64| only.is_none_or(|only| only == *call);
        let due: Vec<u64> = life.waiting.extract_if(.., is_due).collect();
        for call in due {
            self.answer(id, call, Answer::Lists(lists.clone()));
        }
    }

    fn extend_lease(&mut self, id: &WorkerId, incarnation: Incarnation, until_ms: u64) {
        let now = self.now.at;
        let life = self.workers[id].life.as_mut().unwrap();
        let until_ms = until_ms.min(life.clock_ms(now) + MAX_HOLD_MS);
        if life.lease_until_ms.is_some_and(|held| until_ms <= held) {
            return;
        }
        life.lease_until_ms = Some(until_ms);
        let expires_at =
            life.born_at + Duration::from_millis(until_ms * 1_000 / life.clock_rate + 1);
        let id = id.clone();
        self.at(expires_at, move |cell| {
            cell.expire_lease(&id, incarnation, until_ms);
        });
    }

    fn expire_lease(&mut self, id: &WorkerId, incarnation: Incarnation, until_ms: u64) {
        let Some(life) = self.life(id, incarnation) else {
            return;
        };
        if life.lease_until_ms != Some(until_ms) {
            return;
        }
        life.lease_until_ms = None;
        let killed: Vec<_> = life.running.clone().into_iter().collect();
        for (task, run) in killed {
            self.end_run(id, incarnation, &task, run, RunOutcome::Lost);
        }
        let ends = self.ends.iter_mut();
        for end in ends.filter(|end| end.start.worker == *id && !end.is_noted) {
            end.has_lapsed = true;
        }
    }

    fn end_run(
        &mut self,
        id: &WorkerId,
        incarnation: Incarnation,
        task: &TaskKey,
        run: RunNumber,
        outcome: RunOutcome,
    ) {
        let at = self.now.at;
        let Some(life) = self.life(id, incarnation) else {
            return;
        };
        if life.running.get(task) != Some(&run) {
            return;
        }
        life.running.swap_remove(task);
        let closed = life.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        life.last_end += 1;
        let number = life.last_end;
        life.ends.push(ListedEnd {
            number,
            run: ListedRun {
                task: task.clone(),
                run,
                checkpoint: String::new(),
                progress_percent: None,
            },
            outcome,
        });
        self.note(|| format!("{id}/{incarnation} end {number}: {task} run {run} {outcome}"));
        let is_start =
            |start: &&Started| start.task == *task && start.run == run && start.worker == *id;
        let start = self.starts.iter().rev().find(is_start).unwrap().clone();
        // The end of an accepted fault is no sound end.
        if outcome == RunOutcome::Succeeded && !start.is_accepted {
            self.ends.push(Ended {
                start,
                number,
                at,
                is_noted: false,
                has_lapsed: false,
            });
        }
        self.answer_waiting(id, incarnation, None);
    }
}

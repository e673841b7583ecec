//! Instructions to the hosts that relay orders to workers, and their reports.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indexmap::IndexMap;

use super::super::calls::{StartOrder, StopOrder};
use super::super::decisions::relays::{self, HostClass, RelayHost, ServedWorker};
use super::super::relay::messages::{
    Grant, Instructions, RelayEvent, RelayEventKind, RelayReport, RelayedOrder, WorkerOrder,
};
use super::super::spec::TaskKey;
use super::orders::OrderedRun;
use super::reports::target;
use super::term::{Order, OrderKind, RunPhase, Term};
use super::{Now, Placer};
use crate::ids::{HostId, WorkerId};
use crate::telemetry::processor_time::{self, Activity};

/// Interval of regular grants, in ticks of 100 ms: a relay stops after 3 s without one.
pub(super) const GRANT_TICKS: u64 = 8;
/// Time in which orders and grants are collected before they are sent.
const COLLECTION_DELAY: Duration = Duration::from_millis(5);
/// Longest wait of a grant that is due: a part of a round trip between regions.
const GRANT_DELAY: Duration = Duration::from_millis(30);
/// Time for the answer of a relay: a round trip between regions and its share of a small processor.
const INSTRUCTION_TIMEOUT: Duration = Duration::from_millis(800);
/// Instructions to one relay on their way at once, so that an order does not wait for the round
/// trip of the one before.
const SENDERS_PER_RELAY: usize = 2;
/// Instructions that wait for a sender; beyond that the relay counts as failed.
const MAX_WAITING_INSTRUCTIONS: usize = 64;
/// Time without instructions after which the senders of a relay end.
const SENDER_LIFETIME: Duration = Duration::from_secs(30);
/// Time without contact after which a host relays nothing: two contacts that were missed.
const RELAY_SILENCE: Duration = Duration::from_millis(1_300);
/// Time for which a host gets no workers after instructions did not reach it.
const RELAY_PAUSE: Duration = Duration::from_millis(1_000);
/// Time after the beginning of a term in which only entry hosts relay: all of them make contact
/// meanwhile.
const ENTRY_HOST_PATIENCE: Duration = Duration::from_millis(700);
/// Time without contact of any entry host after which storage hosts relay: longer than a stall of the
/// placer in which no contact is handled.
const ENTRY_HOST_ABSENCE: Duration = Duration::from_millis(3_000);
/// Workers that a host gets in one step of 100 ms: their first renewals take about half a
/// millisecond of its processor each.
const MAX_NEW_WORKERS: usize = 16;
/// Time without an answer after which another relay tries to reach a worker.
const OTHER_RELAY_AFTER: Duration = Duration::from_millis(1_000);
/// Time after which a start order without an outcome is sent again: a relay gives up after 1.4 s, and
/// its report takes up to 0.2 s.
const START_AGAIN_AFTER: Duration = Duration::from_millis(1_600);
/// Time after the first start order without any outcome in which the run is stopped: before the
/// shortest time for which members of a gang wait for each other, 3 s, has passed.
const START_LIFETIME: Duration = Duration::from_millis(2_700);

/// Sends instructions to a relay; the text says why they were not taken.
pub type SendInstructions =
    Arc<dyn Fn(&HostId, Instructions, Instant) -> Result<(), String> + Send + Sync>;

/// Channels to the threads that send instructions, by relay.
pub(super) type RelaySenders = IndexMap<HostId, Sender<Instructions>>;

impl Placer {
    /// Sends pending orders and due grants.
    pub(super) fn run_dispatcher(self: &Arc<Self>, wake_ups: &Receiver<()>) {
        loop {
            match wake_ups.recv_timeout(GRANT_DELAY) {
                Ok(()) => std::thread::sleep(COLLECTION_DELAY),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.now();
            let instructions = match self.lock().as_mut().filter(|term| term.ready) {
                Some(term) => term.next_instructions(now),
                None => continue,
            };
            for (host, instructions) in instructions {
                self.queue_instructions(&host, instructions);
            }
        }
    }

    fn queue_instructions(self: &Arc<Self>, host: &HostId, instructions: Instructions) {
        let epoch = instructions.epoch;
        let mut senders = self.relay_senders.lock().unwrap();
        let sender = senders.entry(host.clone()).or_insert_with(|| {
            let (sender, queue) = bounded(MAX_WAITING_INSTRUCTIONS);
            for _ in 0..SENDERS_PER_RELAY {
                let (host, queue) = (host.clone(), queue.clone());
                self.spawn(Activity::Order, move |placer| {
                    placer.send_instructions(&host, &queue);
                });
            }
            sender
        });
        let queued = sender.try_send(instructions);
        drop(senders);
        if queued.is_err() {
            self.with_term(Some(epoch), |term, now| {
                term.note_relay_failure(host, "its queue is full", now.at);
            });
        }
    }

    fn send_instructions(&self, host: &HostId, queue: &Receiver<Instructions>) {
        loop {
            let instructions = match queue.recv_timeout(SENDER_LIFETIME) {
                Ok(instructions) => instructions,
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {
                    // Dropping the channel ends the other sender too.
                    self.relay_senders.lock().unwrap().shift_remove(host);
                    continue;
                }
            };
            let epoch = instructions.epoch;
            let deadline = self.clock.now() + INSTRUCTION_TIMEOUT;
            if let Err(reason) = (self.send)(host, instructions, deadline) {
                self.with_term(Some(epoch), |term, now| {
                    term.note_relay_failure(host, &reason, now.at);
                });
            }
        }
    }

    /// Instructions that wait for a thread.
    pub(super) fn queued_instructions(&self) -> usize {
        let senders = self.relay_senders.lock().unwrap();
        senders.values().map(Sender::len).sum()
    }

    /// Takes the report of a relay; `false` when it follows another placer.
    pub fn note_relay_report(&self, report: RelayReport) -> bool {
        processor_time::begin(Activity::Report);
        let epoch = report.epoch;
        let noted = self.with_term(Some(epoch), |term, now| {
            for event in report.events {
                term.note_relay_event(&report.host, event, now);
            }
        });
        processor_time::begin(Activity::Call);
        noted.is_some()
    }
}

impl Term {
    /// Orders and grants that are due, by relay. Orders to workers without a relay wait.
    pub(super) fn next_instructions(&mut self, now: Now) -> IndexMap<HostId, Instructions> {
        let mut orders: IndexMap<HostId, Vec<RelayedOrder>> = IndexMap::new();
        for order in std::mem::take(&mut self.pending_orders) {
            let Some(worker) = self.workers.get(&order.worker) else {
                continue;
            };
            let Some(relay) = worker.relay.clone() else {
                self.pending_orders.push(order);
                continue;
            };
            if let Some(order) = self.prepare_order(&order, now) {
                orders.entry(relay).or_default().push(order);
            }
        }
        let mut instructions = IndexMap::new();
        for id in std::mem::take(&mut self.due_grants) {
            let Some((relay, grant)) = self.grant(&id, now.at) else {
                continue;
            };
            let next = instructions.entry(relay);
            let next: &mut Instructions = next.or_insert_with(|| self.no_instructions());
            next.grants.push(grant);
        }
        for (relay, orders) in orders {
            let next = instructions.entry(relay);
            let next: &mut Instructions = next.or_insert_with(|| self.no_instructions());
            next.orders = orders;
        }
        instructions
    }

    fn no_instructions(&self) -> Instructions {
        Instructions {
            epoch: self.epoch,
            placer: self.settings.host.clone(),
            grants: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// The order as it is to be sent now; `None` when it is no longer wanted.
    fn prepare_order(&mut self, order: &Order, now: Now) -> Option<RelayedOrder> {
        let worker_order = match &order.kind {
            OrderKind::Start { permit } => {
                WorkerOrder::Start(self.prepare_start(order, permit.as_ref(), now)?)
            }
            OrderKind::Stop => WorkerOrder::Stop(StopOrder {
                task: order.task.clone(),
                run: order.run,
                fence: order.epoch,
            }),
        };
        let worker = self.workers.get(&order.worker)?;
        (worker.record.incarnation == order.incarnation).then(|| RelayedOrder {
            target: target(worker),
            order: worker_order,
        })
    }

    fn prepare_start(
        &mut self,
        order: &Order,
        permit: Option<&String>,
        now: Now,
    ) -> Option<StartOrder> {
        let run = self.runs.get_mut(&order.task)?;
        if run.run != order.run || run.phase != RunPhase::Starting {
            return None;
        }
        run.start_sent_at = Some(now.at);
        run.give_up_at.get_or_insert(now.at + START_LIFETIME);
        run.starts_sent += 1;
        let lease_until_clock_ms = self.grant_lease(&order.worker, now.at)?;
        let job = self.state.jobs.get(&order.task.stage.job)?;
        let checkpoint = self.state.task(&order.task)?.checkpoint.clone();
        Some(StartOrder {
            task: order.task.clone(),
            run: order.run,
            payload: job.spec.payload.clone(),
            fence: self.epoch,
            lease_until_clock_ms,
            checkpoint,
            permit: permit.cloned(),
        })
    }

    /// A grant for the relay of a worker. A worker that does not answer gets no longer lease.
    pub(super) fn grant(&mut self, worker: &WorkerId, now: Instant) -> Option<(HostId, Grant)> {
        let granted = self.grant_lease(worker, now);
        let since_begin = now.saturating_duration_since(self.began_at);
        let live = self.workers.get(worker)?;
        let grant = Grant {
            target: target(live),
            lease_until_clock_ms: granted.filter(|_| live.silent_since.is_none()),
            recorded_ends: live.recorded_ends,
            granted_at_ms: u64::try_from(since_begin.as_millis()).unwrap_or(0),
        };
        Some((live.relay.clone()?, grant))
    }

    /// Gives each worker a relay: those of hosts that are gone, and those of hosts with more than
    /// their share, get another one.
    pub(super) fn assign_relays(&mut self, now: Instant) {
        let entry_host_is_near = self
            .policy_callers
            .values()
            .any(|caller| !caller.contact.stores && now < caller.heard_at + ENTRY_HOST_ABSENCE);
        let waits_for_entry_hosts = entry_host_is_near || now < self.began_at + ENTRY_HOST_PATIENCE;
        let mut names = Vec::new();
        let mut hosts = Vec::new();
        for (id, caller) in &self.policy_callers {
            let class = match (id == &self.settings.host, caller.contact.stores) {
                (true, _) => HostClass::Placer,
                (false, true) => HostClass::Storage,
                (false, false) => HostClass::Entry,
            };
            let silent = now >= caller.heard_at + RELAY_SILENCE || now < caller.relays_from;
            if silent || (waits_for_entry_hosts && class != HostClass::Entry) {
                continue;
            }
            names.push(id.clone());
            hosts.push(RelayHost {
                data_centre: &caller.contact.data_centre,
                class,
            });
        }
        let position = |host: &Option<HostId>| {
            let host = host.as_ref()?;
            names.iter().position(|name| name == host)
        };
        let mut workers = Vec::new();
        for worker in self.workers.values() {
            let unreached = worker.silent_since.is_some()
                && now >= worker.relayed_since + OTHER_RELAY_AFTER
                && worker.avoided_relay.is_none();
            let relay = position(&worker.relay);
            workers.push(ServedWorker {
                data_centre: &worker.record.data_centre,
                relay: relay.filter(|_| !unreached),
                avoided: if unreached {
                    relay
                } else {
                    position(&worker.avoided_relay)
                },
            });
        }
        let moves = relays::assign(&hosts, &workers);
        let mut new_workers = vec![0; names.len()];
        for (worker, host) in moves {
            new_workers[host] += 1;
            if new_workers[host] > MAX_NEW_WORKERS {
                continue;
            }
            self.move_to_relay(worker, names[host].clone(), now);
        }
    }

    fn move_to_relay(&mut self, position: usize, host: HostId, now: Instant) {
        let Some((id, worker)) = self.workers.get_index_mut(position) else {
            return;
        };
        let id = id.clone();
        if worker.relay.as_ref() == Some(&host) {
            worker.relayed_since = now;
            return;
        }
        let former = worker.relay.replace(host.clone());
        worker.relayed_since = now;
        if worker.silent_since.is_some() {
            worker.avoided_relay.clone_from(&former);
        }
        if former.is_some() {
            log::info!(worker = id.as_str(), relay = host.as_str(), former:? = former; "worker gets another relay");
        }
        // Orders that the former relay has not answered may be lost with it.
        let starting: Vec<TaskKey> = worker.runs.iter().cloned().collect();
        for task in starting {
            let sent = self
                .runs
                .get(&task)
                .is_some_and(|run| run.phase == RunPhase::Starting && run.start_sent_at.is_some());
            if sent {
                self.order_start(&task);
            }
        }
        self.due_grants.insert(id);
    }

    /// Sends the start order of a run again.
    fn order_start(&mut self, task: &TaskKey) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let Some(worker) = self.workers.get(&run.worker) else {
            return;
        };
        self.pending_orders.push(Order {
            epoch: self.epoch,
            task: task.clone(),
            run: run.run,
            worker: run.worker.clone(),
            incarnation: worker.record.incarnation,
            kind: OrderKind::Start {
                permit: run.permit.clone(),
            },
        });
    }

    /// Sends start orders without an outcome again, then gives them up.
    pub(super) fn repeat_starts(&mut self, now: Now) {
        let mut due = Vec::new();
        for (task, run) in &self.runs {
            if run.phase != RunPhase::Starting {
                continue;
            }
            let Some(sent_at) = run.start_sent_at else {
                continue;
            };
            let gives_up = run.give_up_at.is_some_and(|at| now.at >= at);
            if gives_up || now.at >= sent_at + START_AGAIN_AFTER {
                due.push((task.clone(), run.run, run.worker.clone(), gives_up));
            }
        }
        for (task, run, worker, gives_up) in due {
            log::warn!(task:% = task, run, worker = worker.as_str(), gives_up; "a start order has no outcome");
            if !gives_up {
                self.order_start(&task);
                continue;
            }
            let order = OrderedRun {
                task: &task,
                run,
                worker: &worker,
            };
            self.note_start_unanswered(&order, true, now);
        }
    }

    /// Takes the workers of a relay away for a while.
    pub(super) fn note_relay_failure(&mut self, host: &HostId, reason: &str, now: Instant) {
        let Some(caller) = self.policy_callers.get_mut(host) else {
            return;
        };
        if now >= caller.relays_from {
            log::warn!(relay = host.as_str(); "instructions did not reach a relay: {reason}");
        }
        caller.relays_from = now + RELAY_PAUSE;
    }

    pub(super) fn note_relay_event(&mut self, relay: &HostId, event: RelayEvent, now: Now) {
        let RelayEvent {
            worker,
            incarnation,
            kind,
        } = event;
        let run_of = |task, run| OrderedRun {
            task,
            run,
            worker: &worker,
        };
        let Some(live) = self.workers.get(&worker) else {
            return;
        };
        // Clocks and ends of another life say nothing about this one.
        if live.record.incarnation != incarnation {
            return;
        }
        // A former relay may still serve the worker, or fail to.
        let current = live.relay.as_ref() == Some(relay);
        match kind {
            RelayEventKind::StartAnswered { task, run, answer } => {
                self.note_start_answer(&run_of(&task, run), answer, now);
            }
            RelayEventKind::StartUnanswered {
                task,
                run,
                may_have_arrived,
            } => self.note_start_unanswered(&run_of(&task, run), may_have_arrived, now),
            RelayEventKind::StopAnswered { task, run, answer } => {
                self.note_stop_answer(&run_of(&task, run), answer, now);
            }
            RelayEventKind::Listed {
                granted_at_ms,
                report,
            } if current => {
                let asked_at = self.began_at + Duration::from_millis(granted_at_ms);
                self.note_report(&worker, asked_at, &report, now);
            }
            RelayEventKind::Silent { failure } if current => {
                self.note_silence(&worker, incarnation, &failure, now);
            }
            RelayEventKind::Listed { .. } | RelayEventKind::Silent { .. } => {}
        }
    }
}

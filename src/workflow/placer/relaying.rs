//! Sends instructions to the hosts that relay orders to workers, and handles their reports.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use indexmap::{IndexMap, IndexSet};

use super::super::calls::{StartOrder, StopOrder};
use super::super::decisions::relays::{self, HostClass, RelayHost, ServedWorker};
use super::super::relay::messages::{Grant, Instructions, RelayReport, RelayedOrder, WorkerOrder};
use super::super::spec::TaskKey;
use super::orders::OrderedRun;
use super::reports::target;
use super::term::{LiveWorker, Order, OrderKind, RunPhase, Term};
use super::{Now, Placer};
use crate::ids::{HostId, WorkerId};
use crate::telemetry::processor_time::{self, Activity};

/// Interval of regular grants, in ticks of 100 ms: a relay stops after 3 s without one.
pub(super) const GRANT_TICKS: u64 = 8;
/// Time for which orders and grants are collected before they are sent.
const COLLECTION_DELAY: Duration = Duration::from_millis(5);
/// Longest delay of a grant that is due: a fraction of a round trip between regions.
const MAX_GRANT_DELAY: Duration = Duration::from_millis(30);
/// Timeout of the answer of a relay: a round trip between regions, and the processing on a host
/// with a share of a small processor.
const INSTRUCTION_TIMEOUT: Duration = Duration::from_millis(800);
/// Threads that send instructions to one relay, so that an order does not wait for the round trip
/// of the previous one.
const SENDERS_PER_RELAY: usize = 2;
/// Length of the queue of instructions to one relay; when it is full, the relay counts as failed.
const MAX_WAITING_INSTRUCTIONS: usize = 64;
/// Time without instructions after which the sender threads of a relay end.
const SENDER_LIFETIME: Duration = Duration::from_secs(30);
/// Time without contact after which a host relays nothing: two missed contacts.
const RELAY_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time for which a host relays to no workers after instructions did not reach it.
const RELAY_PAUSE: Duration = Duration::from_millis(1_000);
/// Time after the beginning of a term for which only entry hosts relay: all of them make contact
/// within this time.
const ENTRY_HOST_WAIT: Duration = Duration::from_millis(700);
/// Time without contact of any entry host after which storage hosts relay: longer than a stall of
/// the placer during which it handles no contact.
const ENTRY_HOST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Workers that are assigned to a host in one step of 100 ms: the first renewal of each takes about
/// half a millisecond of processor time on the host.
const MAX_NEW_WORKERS_PER_STEP: usize = 16;
/// Time without an answer after which a worker is assigned to another relay.
const RELAY_CHANGE_DELAY: Duration = Duration::from_millis(1_000);
/// Steps of 100 ms without a report after which another relay is assigned: three times the longest
/// interval between two lists, 1.6 s.
const MAX_STEPS_WITHOUT_REPORT: u32 = 50;
/// Time after which a worker without an answer whose lease has expired is assigned to another relay:
/// most such workers are gone.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Time after which a start order without an outcome is sent again: a relay stops trying after 1.4
/// s, and its report takes up to 0.2 s.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(1_600);
/// Time after the first start order after which a run without an outcome is stopped: shorter than
/// the shortest time for which members of a gang wait for each other, 3 s.
const START_TIMEOUT: Duration = Duration::from_millis(2_700);

/// Sends instructions to a relay before a deadline; the error is the reason of the failure.
pub type SendInstructions =
    Arc<dyn Fn(&HostId, Instructions, Instant) -> Result<(), String> + Send + Sync>;

/// Channels to the sender threads, by relay.
pub(super) type RelaySenders = IndexMap<HostId, Sender<Instructions>>;

impl Placer {
    /// Sends pending orders and due grants.
    pub(super) fn run_dispatcher(self: &Arc<Self>, wake_ups: &Receiver<()>) {
        loop {
            match wake_ups.recv_timeout(MAX_GRANT_DELAY) {
                Ok(()) => std::thread::sleep(COLLECTION_DELAY),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for (host, instructions) in self.due_instructions() {
                self.queue_instructions(&host, instructions);
            }
        }
    }

    /// Returns the orders and grants that are due, by relay; none unless this host still leads. A
    /// later leader relies on it that no lease was granted after its election, and this thread may
    /// be the first to run after a pause of the process.
    pub(super) fn due_instructions(&self) -> IndexMap<HostId, Instructions> {
        // Leases begin before the leadership is checked, so that a pause after the check does not
        // prolong them.
        let now = self.now();
        let mut guard = self.lock();
        let epoch = self.replica.leadership();
        match guard.as_mut().filter(|term| term.ready) {
            Some(term) if epoch == Some(term.epoch) => term.next_instructions(now),
            _ => IndexMap::new(),
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
        let reason = match sender.try_send(instructions) {
            Ok(()) => return,
            Err(TrySendError::Full(_)) => "the queue of instructions is full",
            // No thread of the queue was started; the next instructions try again.
            Err(TrySendError::Disconnected(_)) => {
                senders.shift_remove(host);
                "no thread sends instructions"
            }
        };
        drop(senders);
        self.with_term(Some(epoch), |term, now| {
            term.handle_relay_failure(host, reason, now.at);
        });
    }

    fn send_instructions(&self, host: &HostId, queue: &Receiver<Instructions>) {
        loop {
            let instructions = match queue.recv_timeout(SENDER_LIFETIME) {
                Ok(instructions) => instructions,
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {
                    // Without the channel, both sender threads of the relay end once it is empty.
                    self.relay_senders.lock().unwrap().shift_remove(host);
                    continue;
                }
            };
            let epoch = instructions.epoch;
            let deadline = self.clock.now() + INSTRUCTION_TIMEOUT;
            if let Err(reason) = (self.send)(host, instructions, deadline) {
                self.with_term(Some(epoch), |term, now| {
                    term.handle_relay_failure(host, &reason, now.at);
                });
            }
        }
    }

    /// Returns the number of instructions that wait for a sender thread.
    pub(super) fn queued_instructions(&self) -> usize {
        let senders = self.relay_senders.lock().unwrap();
        senders.values().map(Sender::len).sum()
    }

    /// Handles the report of a relay. Returns `false` when the report is for the term of another
    /// placer.
    pub fn note_relay_report(&self, report: RelayReport) -> bool {
        processor_time::begin(Activity::Report);
        let epoch = report.epoch;
        let noted = self.with_term(Some(epoch), |term, now| {
            for event in report.events {
                term.handle_relay_event(&report.host, event, now);
            }
        });
        processor_time::begin(Activity::Call);
        noted.is_some()
    }
}

impl Term {
    /// Returns the orders and grants that are due, by relay; others stay pending.
    pub(super) fn next_instructions(&mut self, now: Now) -> IndexMap<HostId, Instructions> {
        let mut orders: IndexMap<HostId, Vec<RelayedOrder>> = IndexMap::new();
        for order in std::mem::take(&mut self.pending_orders) {
            let Some(worker) = self.workers.get(&order.worker) else {
                continue;
            };
            // After a restart, the next incarnation would carry out a start order for the former one.
            let held = worker.claim.is_some() && order.kind != OrderKind::Stop;
            let Some(relay) = worker.relay.clone().filter(|_| !held) else {
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
            let next: &mut Instructions = next.or_insert_with(|| self.empty_instructions());
            next.grants.push(grant);
        }
        for (relay, orders) in orders {
            let next = instructions.entry(relay);
            let next: &mut Instructions = next.or_insert_with(|| self.empty_instructions());
            next.orders = orders;
        }
        instructions
    }

    fn empty_instructions(&self) -> Instructions {
        Instructions {
            epoch: self.epoch,
            placer: self.settings.host.clone(),
            grants: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Returns the message for an order, or `None` when the order is no longer needed or its worker
    /// has another incarnation.
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
        run.give_up_at.get_or_insert(now.at + START_TIMEOUT);
        run.starts_sent += 1;
        self.raise_token_for_start(&order.worker);
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

    /// Returns the relay of a worker and a grant for it. The lease of a worker that does not answer
    /// is not extended.
    pub(super) fn grant(&mut self, worker: &WorkerId, now: Instant) -> Option<(HostId, Grant)> {
        let granted = self.grant_lease(worker, now);
        let since_begin = now.saturating_duration_since(self.began_at);
        let live = self.workers.get(worker)?;
        let grant = Grant {
            target: target(live),
            lease_until_clock_ms: granted.filter(|_| live.unresponsive_since.is_none()),
            recorded_ends: live.recorded_ends,
            may_acknowledge: now >= live.acknowledges_from,
            granted_at_ms: u64::try_from(since_begin.as_millis()).unwrap_or(0),
        };
        Some((live.relay.clone()?, grant))
    }

    /// Assigns a relay to each worker without one, and another relay to workers whose relay is not
    /// available or serves more than its share.
    pub(super) fn assign_relays(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            worker.steps_without_report = worker.steps_without_report.saturating_add(1);
        }
        let entry_host_in_contact = self.policy_callers.values().any(|caller| {
            !caller.contact.stores && now < caller.last_contact_at + ENTRY_HOST_TIMEOUT
        });
        let waits_for_entry_hosts = entry_host_in_contact || now < self.began_at + ENTRY_HOST_WAIT;
        let mut names = IndexSet::new();
        let mut hosts = Vec::new();
        for (id, caller) in &self.policy_callers {
            let class = match (id == &self.settings.host, caller.contact.stores) {
                (true, _) => HostClass::Placer,
                (false, true) => HostClass::Storage,
                (false, false) => HostClass::Entry,
            };
            let unavailable = now >= caller.last_contact_at + RELAY_CONTACT_TIMEOUT
                || now < caller.relaying_paused_until;
            if unavailable || (waits_for_entry_hosts && class != HostClass::Entry) {
                continue;
            }
            names.insert(id.clone());
            hosts.push(RelayHost {
                data_centre: &caller.contact.data_centre,
                class,
            });
        }
        let position = |host: &HostId| names.get_index_of(host);
        let mut workers = Vec::new();
        for worker in self.workers.values() {
            let unreachable = self.needs_another_relay(worker, now);
            let relay = worker.relay.as_ref().and_then(position);
            let avoided = worker.failed_relays.iter();
            let mut avoided: Vec<usize> = avoided.filter_map(position).collect();
            avoided.extend(relay.filter(|_| unreachable));
            workers.push(ServedWorker {
                data_centre: &worker.record.data_centre,
                relay: relay.filter(|_| !unreachable),
                avoided,
            });
        }
        let moves = relays::assign(&hosts, &workers);
        let mut new_workers = vec![0; names.len()];
        for (worker, host) in moves {
            new_workers[host] += 1;
            if new_workers[host] > MAX_NEW_WORKERS_PER_STEP {
                continue;
            }
            self.move_to_relay(worker, names[host].clone(), now);
        }
    }

    /// Whether another host should try to reach a worker that does not answer, or on which its relay
    /// reports nothing. Hosts change quickly until the lease ends, since runs are lost afterwards.
    fn needs_another_relay(&self, worker: &LiveWorker, now: Instant) -> bool {
        if worker.unresponsive_since.is_none() {
            return worker.steps_without_report >= MAX_STEPS_WITHOUT_REPORT;
        }
        let lease_expires_at = self.lease_end(worker).expires_at;
        let delay = if worker.failed_relays.is_empty() || now < lease_expires_at {
            RELAY_CHANGE_DELAY
        } else {
            RELAY_RETRY_DELAY
        };
        now >= worker.relayed_since + delay
    }

    fn move_to_relay(&mut self, position: usize, host: HostId, now: Instant) {
        let Some((id, worker)) = self.workers.get_index_mut(position) else {
            return;
        };
        let id = id.clone();
        let steps_without_report = std::mem::take(&mut worker.steps_without_report);
        let reports_nothing = steps_without_report >= MAX_STEPS_WITHOUT_REPORT;
        if worker.relay.as_ref() == Some(&host) {
            worker.relayed_since = now;
            return;
        }
        let former = worker.relay.replace(host.clone());
        worker.relayed_since = now;
        if worker.unresponsive_since.is_some() || reports_nothing {
            // Once all hosts have failed, they are tried again in turn.
            if worker.failed_relays.contains(&host) {
                worker.failed_relays.clear();
            }
            worker.failed_relays.extend(former.clone());
        }
        if former.is_some() {
            log::info!(worker = id.as_str(), relay = host.as_str(), former:? = former; "worker gets another relay");
        }
        self.due_grants.insert(id.clone());
        if former.is_some() {
            self.separate_relays(&id, now);
        }
        if self.is_over_allocated(&id) {
            return;
        }
        // Start orders without an outcome may be lost with the former relay.
        let Some(worker) = self.workers.get(&id) else {
            return;
        };
        let starting: Vec<TaskKey> = worker.runs.iter().cloned().collect();
        for task in starting {
            let sent = self
                .runs
                .get(&task)
                .is_some_and(|run| run.phase == RunPhase::Starting && run.start_sent_at.is_some());
            if sent {
                self.repeat_start(&task);
            }
        }
    }

    /// Queues the start order of a run again.
    fn repeat_start(&mut self, task: &TaskKey) {
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

    /// Repeats start orders without an outcome, and stops runs whose start orders have timed out.
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
            if !gives_up && self.is_over_allocated(&run.worker) {
                continue;
            }
            if gives_up || now.at >= sent_at + START_RETRY_INTERVAL {
                due.push((task.clone(), run.run, run.worker.clone(), gives_up));
            }
        }
        for (task, run, worker, gives_up) in due {
            let known = self.workers.get(&worker);
            log::warn!(
                task:% = task, run, worker = worker.as_str(), gives_up,
                starts_sent = self.runs.get(&task).map_or(0, |run| run.starts_sent),
                restart_claimed = known.is_some_and(|known| known.claim.is_some()),
                relay:? = known.and_then(|known| known.relay.as_ref());
                "a start order has no outcome"
            );
            if !gives_up {
                self.repeat_start(&task);
                continue;
            }
            let order = OrderedRun {
                task: &task,
                run,
                worker: &worker,
            };
            self.handle_unanswered_start(&order, true, now);
        }
    }

    /// Suspends a relay for `RELAY_PAUSE`, so that its workers are assigned to others.
    pub(super) fn handle_relay_failure(&mut self, host: &HostId, reason: &str, now: Instant) {
        let Some(caller) = self.policy_callers.get_mut(host) else {
            return;
        };
        if now >= caller.relaying_paused_until {
            log::warn!(relay = host.as_str(); "instructions did not reach a relay: {reason}");
        }
        caller.relaying_paused_until = now + RELAY_PAUSE;
    }
}

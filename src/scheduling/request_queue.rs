//! Order in which waiting requests get runner slots.
//!
//! Slots are shared by weighted fair queueing over the members of a service and then over the
//! callers of a member. Usage is measured in slot time: a request is charged with the member's
//! mean execution time when it starts and with the true time when it ends. Within a member
//! requests are ordered by urgency.
//!
//! Bounds, for a member that uses no more than its share of the slots:
//! - It starts its next request when at most as many slots were released as there are members that
//!   used less than it did, and at once while one of the reserved slots is free.
//! - A level of urgency with waiting requests gets at least one of
//!   `lower_urgency_turn * (LEVELS - 1)` dispatches of its member.

mod admit;
mod flow;
pub mod policy;
mod service;
mod usage;

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;
use slab::Slab;

use crate::ids::{CallerId, MemberId, RequestKey, ServiceName};
use crate::protocol::caller::Urgency;
use crate::scheduling::admission::MIN_RETRY_AFTER_MS;
use crate::verdict::{ErrorCode, RequestError};
use flow::{Flow, Ticket};
use policy::{Discipline, LEVELS, PolicySource, RequestPolicy, RequestPolicyName, same_policy};
use service::ServiceQueue;

/// What the queue knows about a waiting request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Key of the request; unique in the queue.
    pub key: RequestKey,
    /// Member that pays for it.
    pub member: MemberId,
    /// Caller within the member.
    pub caller: CallerId,
    /// Service that executes it.
    pub service: ServiceName,
    /// Order within the member.
    pub urgency: Urgency,
    /// When it becomes useless.
    pub deadline: Instant,
    /// When it was admitted.
    pub admitted_at: Instant,
}

/// Result of [`RequestQueue::next`].
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Request that gets the free slot.
    pub chosen: Option<QueuedRequest>,
    /// Requests taken out since they can no longer meet their deadline or were shed.
    pub refused: Vec<(QueuedRequest, ErrorCode)>,
}

struct Waiting {
    request: QueuedRequest,
    sequence: u64,
    flow: usize,
    caller: usize,
    level: usize,
}

struct Running {
    flow: usize,
    caller: usize,
    start_us: u64,
    estimate_us: u64,
}

/// Waiting requests of one data centre.
pub struct RequestQueue {
    max_queued: usize,
    discipline: Discipline,
    policy: PolicySource,
    /// Time zero of the microseconds used inside.
    origin: Option<Instant>,
    next_sequence: u64,
    waiting: Slab<Waiting>,
    /// Position in `waiting` of each waiting request.
    positions: IndexMap<RequestKey, usize>,
    running: IndexMap<RequestKey, Running>,
    flows: Slab<Flow>,
    services: Slab<ServiceQueue>,
    service_ids: IndexMap<ServiceName, usize>,
    /// Flows by backlog relative to their weight. A key may exceed the true value after requests
    /// left; it is corrected when the flow comes up as the worst.
    backlogs: BTreeSet<(u64, usize)>,
    /// Keys of `backlogs` by flow.
    backlog_keys: IndexMap<usize, u64>,
    /// Requests dropped in favour of others and not reported yet.
    dropped: IndexMap<RequestKey, QueuedRequest>,
    /// Flows that lost a request during the present admission and may be empty.
    emptied: Vec<usize>,
}

impl Default for RequestQueue {
    fn default() -> Self {
        Self::new(0)
    }
}

impl RequestQueue {
    /// An empty queue with a bound, fair sharing and default figures.
    pub fn new(max_queued: usize) -> Self {
        let policy = same_policy(RequestPolicy::default());
        Self::with_policy(max_queued, RequestPolicyName::Fair, policy)
    }

    /// An empty queue with a bound, a discipline and a source of figures.
    pub fn with_policy(max_queued: usize, name: RequestPolicyName, policy: PolicySource) -> Self {
        Self {
            max_queued,
            discipline: Discipline::named(name),
            policy,
            origin: None,
            next_sequence: 0,
            waiting: Slab::new(),
            positions: IndexMap::new(),
            running: IndexMap::new(),
            flows: Slab::new(),
            services: Slab::new(),
            service_ids: IndexMap::new(),
            backlogs: BTreeSet::new(),
            backlog_keys: IndexMap::new(),
            dropped: IndexMap::new(),
            emptied: Vec::new(),
        }
    }

    /// Sets the slots of a service's runners. Without it no slots are reserved for members below
    /// their share, and their service rate is only known from what they started.
    pub fn set_slots(&mut self, service: &str, slots: u32) {
        let index = self.service_index(service);
        self.services[index].slots = slots;
    }

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// `Overloaded` with verdict `did_not_run` and a retry-after. A key that is waiting or running
    /// already is refused, the latter with `may_have_run`.
    pub fn admit(&mut self, request: QueuedRequest, now: Instant) -> Result<(), RequestError> {
        if self.positions.contains_key(&request.key) {
            let message = "a request with this key is waiting already";
            return Err(RequestError::did_not_run(ErrorCode::KeyConflict, message));
        }
        if self.running.contains_key(&request.key) {
            let message = "a request with this key is running";
            return Err(RequestError::may_have_run(ErrorCode::Unavailable, message));
        }
        let now_us = self.micros(now);
        let policy = (self.policy)(&request.member, &request.caller, &request.service);
        let caller_weight = policy.caller_weight;
        let flow = self.flow(&request, policy);
        let level = (self.discipline.level_of)(request.urgency).min(LEVELS - 1);
        let admitted = self
            .check_demand(flow, level, &request, now)
            .and_then(|()| self.make_room(flow, level, now_us));
        if let Err(refusal) = admitted {
            self.emptied.push(flow);
            self.rest_emptied();
            return Err(
                RequestError::did_not_run(ErrorCode::Overloaded, refusal.message)
                    .retry_after_ms(refusal.retry_after_ms),
            );
        }
        self.enqueue(request, flow, level, caller_weight);
        self.rest_emptied();
        Ok(())
    }

    /// Takes a request out; returns whether it was waiting or was dropped, and so will not run.
    pub fn cancel(&mut self, key: &str) -> bool {
        if self.dropped.swap_remove(key).is_some() {
            return true;
        }
        let Some(position) = self.positions.swap_remove(key) else {
            return false;
        };
        let entry = self.waiting.remove(position);
        let waiting = &self.waiting;
        self.flows[entry.flow].cancelled(entry.caller, entry.level, &|ticket| {
            is_waiting(waiting, ticket)
        });
        self.rest_if_empty(entry.flow);
        true
    }

    /// Chooses the request that gets a free slot of the service.
    pub fn next(&mut self, service: &str, now: Instant) -> Selection {
        let mut selection = Selection {
            chosen: None,
            refused: self.take_dropped(),
        };
        let now_us = self.micros(now);
        let Some(&index) = self.service_ids.get(service) else {
            return selection;
        };
        while let Some(flow) = self.choose(index, now_us) {
            let Some(entry) = self.pop(flow) else {
                break;
            };
            let caller = entry.caller;
            if entry.request.deadline <= now {
                selection
                    .refused
                    .push((entry.request, ErrorCode::DeadlineExceeded));
            } else if self.is_shed(&entry, now_us) {
                selection
                    .refused
                    .push((entry.request, ErrorCode::Overloaded));
            } else {
                selection.chosen = Some(self.start(index, entry, now_us));
                break;
            }
            self.flows[flow].rest_if_idle(caller);
            self.rest_if_empty(flow);
        }
        selection
    }

    /// Requests that were dropped in favour of other members since the last call.
    pub fn take_dropped(&mut self) -> Vec<(QueuedRequest, ErrorCode)> {
        let dropped = self.dropped.drain(..);
        dropped
            .map(|(_, request)| (request, ErrorCode::Overloaded))
            .collect()
    }

    /// Pause that a refused caller should be told, from the backlog of its member.
    pub fn retry_after_ms(&mut self, request: &QueuedRequest, now: Instant) -> u64 {
        let level = (self.discipline.level_of)(request.urgency).min(LEVELS - 1);
        let member = (self.discipline.member_of)(request);
        let service = self.service_ids.get(&request.service);
        let flow = service.and_then(|&index| self.services[index].flow_ids.get(member).copied());
        flow.map_or(MIN_RETRY_AFTER_MS, |flow| {
            self.demand(flow, level, request, now).retry_after_ms()
        })
    }

    /// Records that a request of the member released its slot, which it held since `started_at`.
    pub fn finished(&mut self, request: &QueuedRequest, started_at: Instant, now: Instant) {
        let Some(running) = self.running.swap_remove(&request.key) else {
            return;
        };
        let now_us = self.micros(now);
        let execution_us = now.saturating_duration_since(started_at).as_micros() as u64;
        let (start_us, estimate_us) = (running.start_us, running.estimate_us);
        let flow = &mut self.flows[running.flow];
        let service = &mut self.services[flow.service];
        service.running -= 1;
        service.execution.record(execution_us);
        flow.execution.record(execution_us);
        flow.finish(running.caller, start_us, estimate_us, now_us);
        let charge = flow.usage.finish(start_us, estimate_us, now_us);
        service.charge(running.flow, flow, charge);
        service.running_changed(flow, now_us);
        self.rest_if_empty(running.flow);
    }

    /// Requests waiting now.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    fn choose(&mut self, service: usize, now_us: u64) -> Option<usize> {
        self.services
            .get_mut(service)?
            .choose(&mut self.flows, now_us)
    }

    fn micros(&mut self, now: Instant) -> u64 {
        let origin = *self.origin.get_or_insert(now);
        now.saturating_duration_since(origin).as_micros() as u64
    }

    fn service_index(&mut self, name: &str) -> usize {
        if let Some(&index) = self.service_ids.get(name) {
            return index;
        }
        let index = self.services.insert(ServiceQueue::new(name.to_owned()));
        self.service_ids.insert(name.to_owned(), index);
        index
    }

    /// Position of the flow of the request's member, which is created when unknown.
    fn flow(&mut self, request: &QueuedRequest, policy: RequestPolicy) -> usize {
        let index = self.service_index(&request.service);
        let member = (self.discipline.member_of)(request);
        let service = &mut self.services[index];
        if let Some(&id) = service.flow_ids.get(member) {
            let flow = &mut self.flows[id];
            if flow.policy != policy {
                service.change_policy(flow, policy);
            }
            return id;
        }
        let flow = Flow::new(index, member.to_owned(), policy, service.floor());
        let id = self.flows.insert(flow);
        service.flow_ids.insert(member.to_owned(), id);
        id
    }

    fn enqueue(&mut self, request: QueuedRequest, id: usize, level: usize, caller_weight: u32) {
        let flow = &mut self.flows[id];
        let caller = flow.caller((self.discipline.caller_of)(&request), caller_weight);
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        let key = request.key.clone();
        let position = self.waiting.insert(Waiting {
            request,
            sequence,
            flow: id,
            caller,
            level,
        });
        self.positions.insert(key, position);
        flow.push(caller, level, Ticket { position, sequence });
        let service = &mut self.services[flow.service];
        service.activate(id, flow);
        self.set_backlog(id);
    }

    fn pop(&mut self, flow: usize) -> Option<Waiting> {
        let waiting = &self.waiting;
        let ticket = self.flows[flow].pop(&|ticket| is_waiting(waiting, ticket))?;
        let entry = self.waiting.remove(ticket.position);
        self.positions.swap_remove(&entry.request.key);
        Some(entry)
    }

    /// Whether a request that has come to its turn waited so long in a standing delay that the
    /// slot is better used for a fresh one.
    fn is_shed(&mut self, entry: &Waiting, now_us: u64) -> bool {
        if !self.discipline.protects_members {
            return false;
        }
        let admitted_us = self.micros(entry.request.admitted_at);
        let flow = &mut self.flows[entry.flow];
        let target_us = flow.policy.target_delay_ms * 1_000;
        let interval_us = flow.policy.delay_interval_ms * 1_000;
        let waited_us = now_us.saturating_sub(admitted_us);
        let delay = flow.delay_mut(entry.level);
        delay.record(waited_us, target_us, interval_us, now_us);
        delay.is_standing(interval_us, now_us)
            && waited_us > target_us + interval_us
            && !flow.is_level_empty(entry.level)
    }

    fn start(&mut self, service: usize, entry: Waiting, now_us: u64) -> QueuedRequest {
        let service = &mut self.services[service];
        let flow = &mut self.flows[entry.flow];
        let estimate_us = flow.execution.or(&service.execution);
        flow.start(entry.caller, now_us, estimate_us);
        flow.starts.record(now_us);
        let charge = flow.usage.start(now_us, estimate_us);
        service.charge(entry.flow, flow, charge);
        service.running += 1;
        service.running_changed(flow, now_us);
        let running = Running {
            flow: entry.flow,
            caller: entry.caller,
            start_us: now_us,
            estimate_us,
        };
        self.running.insert(entry.request.key.clone(), running);
        self.rest_if_empty(entry.flow);
        entry.request
    }

    /// Takes a flow without waiting requests out of the competition, and forgets old ones.
    fn rest_if_empty(&mut self, id: usize) {
        let flow = &mut self.flows[id];
        if flow.queued > 0 {
            return;
        }
        let index = flow.service;
        let service = &mut self.services[index];
        service.rest(id, flow);
        if let Some(id) = service.forget_idle() {
            self.forget_flow(id);
        }
        // Callers may name any service; only those with runners are remembered.
        let service = &self.services[index];
        if service.slots == 0 && service.is_idle() {
            let flows: Vec<usize> = service.flow_ids.values().copied().collect();
            for id in flows {
                self.forget_flow(id);
            }
            let service = self.services.remove(index);
            self.service_ids.swap_remove(&service.name);
        }
    }

    fn rest_emptied(&mut self) {
        while let Some(flow) = self.emptied.pop() {
            if self.flows.contains(flow) {
                self.rest_if_empty(flow);
            }
        }
    }

    fn forget_flow(&mut self, id: usize) {
        let mut flow = self.flows.remove(id);
        self.services[flow.service].end_lingering(&mut flow);
        self.services[flow.service]
            .flow_ids
            .swap_remove(&flow.member);
        if let Some(key) = self.backlog_keys.swap_remove(&id) {
            self.backlogs.remove(&(key, id));
        }
    }
}

fn is_waiting(waiting: &Slab<Waiting>, ticket: Ticket) -> bool {
    waiting
        .get(ticket.position)
        .is_some_and(|entry| entry.sequence == ticket.sequence)
}

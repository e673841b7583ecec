//! Queue that assigns runner slots to waiting requests.
//!
//! Slots are shared by weighted fair queueing over the members of a service and then over the
//! callers of a member. Usage is measured in slot time: a request is charged the member's mean
//! execution time when it starts, and the charge is corrected to the actual time when it ends.
//! Requests of one member are ordered by urgency.
//!
//! Bounds for a member that uses no more than its share of the slots:
//! - Its next request starts immediately while a reserved slot is free. Otherwise it starts after
//!   at most as many slots were released as there are members that have used less.
//! - A level of urgency with waiting requests receives at least one of
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

/// Description of a request for the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Key of the request; unique in the queue.
    pub key: RequestKey,
    /// Member whose share the request counts against.
    pub member: MemberId,
    /// Caller within the member.
    pub caller: CallerId,
    /// Service that executes the request.
    pub service: ServiceName,
    /// Priority among the requests of the member.
    pub urgency: Urgency,
    /// Time after which the request is not started any more.
    pub deadline: Instant,
    /// When the request was admitted; the start of its waiting time.
    pub admitted_at: Instant,
}

/// Result of [`RequestQueue::next`].
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Request that receives the free slot; `None` if none may start.
    pub chosen: Option<QueuedRequest>,
    /// Requests that were removed because their deadline passed, or because they were shed or
    /// dropped in favour of others.
    pub refused: Vec<(QueuedRequest, ErrorCode)>,
}

struct Waiting {
    request: QueuedRequest,
    /// Distinguishes requests that use the same position in `RequestQueue::waiting` in turn.
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
    /// Origin of the internal time in microseconds, set at the first call.
    origin: Option<Instant>,
    next_sequence: u64,
    waiting: Slab<Waiting>,
    /// Position in `waiting` of each waiting request.
    positions: IndexMap<RequestKey, usize>,
    running: IndexMap<RequestKey, Running>,
    flows: Slab<Flow>,
    services: Slab<ServiceQueue>,
    service_ids: IndexMap<ServiceName, usize>,
    /// Flows by backlog relative to their weight. A key may exceed the actual value after requests
    /// were removed; it is corrected when the flow is found to have the largest key.
    backlogs: BTreeSet<(u64, usize)>,
    /// Keys of `backlogs` by flow.
    backlog_keys: IndexMap<usize, u64>,
    /// Requests that were dropped in favour of others and have not been reported yet.
    dropped: IndexMap<RequestKey, QueuedRequest>,
    /// Flows from which the current admission removed a request and that may be empty.
    emptied: Vec<usize>,
}

impl Default for RequestQueue {
    fn default() -> Self {
        Self::new(0)
    }
}

impl RequestQueue {
    /// Creates a queue with fair sharing and the default policy that holds at most `max_queued`
    /// requests.
    pub fn new(max_queued: usize) -> Self {
        let policy = same_policy(RequestPolicy::default());
        Self::with_policy(max_queued, RequestPolicyName::Fair, policy)
    }

    /// Creates a queue with the given discipline and source of policies that holds at most
    /// `max_queued` requests.
    pub fn with_policy(max_queued: usize, name: RequestPolicyName, policy: PolicySource) -> Self {
        Self {
            max_queued,
            discipline: Discipline::from_name(name),
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

    /// Sets the number of slots of a service's runners. While it is unknown, no slots are reserved
    /// for members below their share, and the service rate of a member is estimated only from the
    /// requests that it started.
    pub fn set_slots(&mut self, service: &str, slots: u32) {
        let index = self.service_index(service);
        self.services[index].slots = slots;
    }

    /// Admits a request to the queue.
    ///
    /// # Errors
    ///
    /// `Overloaded` with verdict `did_not_run` and a retry-after if the request is refused. A key
    /// that is already waiting is refused with `KeyConflict`, and a key that is already running with
    /// `Unavailable` and verdict `may_have_run`.
    pub fn admit(&mut self, request: QueuedRequest, now: Instant) -> Result<(), RequestError> {
        if self.positions.contains_key(&request.key) {
            let message = "a request with this key is waiting already";
            return Err(RequestError::did_not_run(ErrorCode::KeyConflict, message));
        }
        if self.running.contains_key(&request.key) {
            let message = "a request with this key is running";
            return Err(RequestError::may_have_run(ErrorCode::Unavailable, message));
        }
        let now_us = self.elapsed_us(now);
        let policy = (self.policy)(&request.member, &request.caller, &request.service);
        let caller_weight = policy.caller_weight;
        let flow = self.find_or_insert_flow(&request, policy);
        let level = (self.discipline.level_of)(request.urgency).min(LEVELS - 1);
        let admitted = self
            .check_admission(flow, level, &request, now)
            .and_then(|()| self.make_room(flow, level, now_us));
        if let Err(refusal) = admitted {
            self.emptied.push(flow);
            self.deactivate_emptied();
            return Err(
                RequestError::did_not_run(ErrorCode::Overloaded, refusal.message)
                    .retry_after_ms(refusal.retry_after_ms),
            );
        }
        self.enqueue(request, flow, level, caller_weight);
        self.deactivate_emptied();
        Ok(())
    }

    /// Removes a request; returns whether it was waiting or dropped and therefore will not run.
    pub fn cancel(&mut self, key: &str) -> bool {
        if self.dropped.swap_remove(key).is_some() {
            return true;
        }
        let Some(position) = self.positions.swap_remove(key) else {
            return false;
        };
        let entry = self.waiting.remove(position);
        let waiting = &self.waiting;
        self.flows[entry.flow].record_cancelled(entry.caller, entry.level, &|ticket| {
            is_waiting(waiting, ticket)
        });
        self.deactivate_if_empty(entry.flow);
        true
    }

    /// Chooses the request that receives a free slot of the service.
    pub fn next(&mut self, service: &str, now: Instant) -> Selection {
        let mut selection = Selection {
            chosen: None,
            refused: self.take_dropped(),
        };
        let now_us = self.elapsed_us(now);
        let Some(&index) = self.service_ids.get(service) else {
            return selection;
        };
        while let Some(flow) = self.choose_flow(index, now_us) {
            let Some(entry) = self.pop(flow) else {
                break;
            };
            let caller = entry.caller;
            if entry.request.deadline <= now {
                selection
                    .refused
                    .push((entry.request, ErrorCode::DeadlineExceeded));
            } else if self.should_shed(&entry, now_us) {
                selection
                    .refused
                    .push((entry.request, ErrorCode::Overloaded));
            } else {
                selection.chosen = Some(self.start(index, entry, now_us));
                break;
            }
            self.flows[flow].retire_if_idle(caller);
            self.deactivate_if_empty(flow);
        }
        selection
    }

    /// Returns the requests that were dropped in favour of others since the last call.
    pub fn take_dropped(&mut self) -> Vec<(QueuedRequest, ErrorCode)> {
        let dropped = self.dropped.drain(..);
        dropped
            .map(|(_, request)| (request, ErrorCode::Overloaded))
            .collect()
    }

    /// Retry delay for a refused caller, from the backlog of its member.
    pub fn retry_after_ms(&mut self, request: &QueuedRequest, now: Instant) -> u64 {
        let level = (self.discipline.level_of)(request.urgency).min(LEVELS - 1);
        let member = (self.discipline.member_of)(request);
        let service = self.service_ids.get(&request.service);
        let flow = service.and_then(|&index| self.services[index].flow_ids.get(member).copied());
        flow.map_or(MIN_RETRY_AFTER_MS, |flow| {
            self.admission_input(flow, level, request, now)
                .retry_after_ms()
        })
    }

    /// Records that a request released the slot that it had held since `started_at`.
    pub fn finished(&mut self, request: &QueuedRequest, started_at: Instant, now: Instant) {
        let Some(running) = self.running.swap_remove(&request.key) else {
            return;
        };
        let now_us = self.elapsed_us(now);
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
        service.update_running(flow, now_us);
        self.deactivate_if_empty(running.flow);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    fn choose_flow(&mut self, service: usize, now_us: u64) -> Option<usize> {
        self.services
            .get_mut(service)?
            .choose(&mut self.flows, now_us)
    }

    fn elapsed_us(&mut self, now: Instant) -> u64 {
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

    /// Returns the flow of the request's member, with its current policy; inserts it if it is
    /// missing.
    fn find_or_insert_flow(&mut self, request: &QueuedRequest, policy: RequestPolicy) -> usize {
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
        let caller =
            flow.find_or_insert_caller((self.discipline.caller_of)(&request), caller_weight);
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

    /// Whether a request that is next has waited so long during a standing delay that the slot is
    /// better used for a more recent request.
    fn should_shed(&mut self, entry: &Waiting, now_us: u64) -> bool {
        if !self.discipline.protects_members {
            return false;
        }
        let admitted_us = self.elapsed_us(entry.request.admitted_at);
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
        let estimate_us = flow.execution.mean_us_or(&service.execution);
        flow.start(entry.caller, now_us, estimate_us);
        flow.starts.record(now_us);
        let charge = flow.usage.start(now_us, estimate_us);
        service.charge(entry.flow, flow, charge);
        service.running += 1;
        service.update_running(flow, now_us);
        let running = Running {
            flow: entry.flow,
            caller: entry.caller,
            start_us: now_us,
            estimate_us,
        };
        self.running.insert(entry.request.key.clone(), running);
        self.deactivate_if_empty(entry.flow);
        entry.request
    }

    /// Deactivates a flow that has no waiting requests, and removes flows and services that need
    /// not be kept.
    fn deactivate_if_empty(&mut self, id: usize) {
        let flow = &mut self.flows[id];
        if flow.queued > 0 {
            return;
        }
        let index = flow.service;
        let service = &mut self.services[index];
        service.deactivate(id, flow);
        if let Some(id) = service.evict_idle() {
            self.remove_flow(id);
        }
        // Callers may name any service, so only services with runners are kept while idle.
        let service = &self.services[index];
        if service.slots == 0 && service.is_idle() {
            let flows: Vec<usize> = service.flow_ids.values().copied().collect();
            for id in flows {
                self.remove_flow(id);
            }
            let service = self.services.remove(index);
            self.service_ids.swap_remove(&service.name);
        }
    }

    fn deactivate_emptied(&mut self) {
        while let Some(flow) = self.emptied.pop() {
            if self.flows.contains(flow) {
                self.deactivate_if_empty(flow);
            }
        }
    }

    fn remove_flow(&mut self, id: usize) {
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

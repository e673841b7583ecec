//! Members that compete for the slots of one service.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use slab::Slab;

use super::flow::Flow;
use super::policy::RequestPolicy;
use super::usage::{ExecutionTime, advance};
use crate::ids::{MemberId, ServiceName};

/// Time for which a member counts as active after its latest request.
const ACTIVITY_US: u64 = 10_000_000;
/// Members looked at when those above their share must leave slots free.
const MAX_CANDIDATES: usize = 16;
/// Corrections for requests that outlast their estimate, per selection.
const MAX_SETTLEMENTS: usize = 4;
/// Members without requests whose usage and execution time are remembered.
const MAX_IDLE_FLOWS: usize = 4_096;

/// Members of one service in the order of their virtual time.
pub(super) struct ServiceQueue {
    pub name: ServiceName,
    /// Slots of its runners; zero when unknown.
    pub slots: u32,
    pub running: u64,
    pub execution: ExecutionTime,
    pub flow_ids: IndexMap<MemberId, usize>,
    /// Flows with waiting requests, by virtual time; may hold flows whose requests were all
    /// cancelled.
    waiting: BTreeSet<(u64, usize)>,
    /// Flows without waiting and running requests.
    idle: BTreeSet<(u64, usize)>,
    /// Virtual time of the flow served last; never falls.
    floor: u64,
    /// Weights of the flows that have requests.
    active_weight: u64,
    latest_arrival: Option<(usize, u64)>,
    latest_arrival_of_another_us: Option<u64>,
}

impl ServiceQueue {
    pub(super) fn new(name: ServiceName) -> Self {
        Self {
            name,
            slots: 0,
            running: 0,
            execution: ExecutionTime::default(),
            flow_ids: IndexMap::new(),
            waiting: BTreeSet::new(),
            idle: BTreeSet::new(),
            floor: 0,
            active_weight: 0,
            latest_arrival: None,
            latest_arrival_of_another_us: None,
        }
    }

    pub(super) fn floor(&self) -> u64 {
        self.floor
    }

    /// Takes note that a flow wants to be served.
    pub(super) fn arrival(&mut self, id: usize, now_us: u64) {
        if let Some((latest, at_us)) = self.latest_arrival
            && latest != id
        {
            self.latest_arrival_of_another_us = Some(at_us);
        }
        self.latest_arrival = Some((id, now_us));
    }

    fn others_are_active(&self, id: usize, now_us: u64) -> bool {
        let latest_us = match self.latest_arrival {
            Some((latest, at_us)) if latest != id => Some(at_us),
            _ => self.latest_arrival_of_another_us,
        };
        latest_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < ACTIVITY_US)
    }

    /// Makes a flow eligible for slots.
    pub(super) fn activate(&mut self, id: usize, flow: &mut Flow) {
        self.idle.remove(&(flow.virtual_time, id));
        if !self.waiting.contains(&(flow.virtual_time, id)) {
            flow.virtual_time = flow.virtual_time.max(self.floor);
            self.waiting.insert((flow.virtual_time, id));
        }
        self.count(flow);
    }

    /// Keeps `active_weight` in step with the flow.
    pub(super) fn count(&mut self, flow: &mut Flow) {
        let weight = u64::from(flow.policy.member_weight.max(1));
        let active = flow.queued > 0 || flow.usage.running() > 0;
        if active && !flow.counted {
            self.active_weight += weight;
        } else if !active && flow.counted {
            self.active_weight -= weight;
        }
        flow.counted = active;
    }

    /// Replaces the figures of a flow.
    pub(super) fn change_policy(&mut self, flow: &mut Flow, policy: RequestPolicy) {
        if flow.counted {
            self.active_weight -= u64::from(flow.policy.member_weight.max(1));
            self.active_weight += u64::from(policy.member_weight.max(1));
        }
        flow.policy = policy;
    }

    /// Slots that the flow is entitled to while all active members want theirs.
    pub(super) fn share(&self, flow: &Flow) -> f64 {
        let weight = u64::from(flow.policy.member_weight.max(1));
        let others = self.active_weight - if flow.counted { weight } else { 0 };
        f64::from(self.slots) * weight as f64 / (others + weight) as f64
    }

    /// Charges a flow and keeps its position.
    pub(super) fn charge(&mut self, id: usize, flow: &mut Flow, charge_us: i64) {
        let former = flow.virtual_time;
        flow.virtual_time = advance(former, charge_us, flow.policy.member_weight);
        if self.waiting.remove(&(former, id)) {
            self.waiting.insert((flow.virtual_time, id));
        }
    }

    /// Chooses the flow that gets a free slot.
    pub(super) fn choose(&mut self, flows: &mut Slab<Flow>, now_us: u64) -> Option<usize> {
        self.settle_first(flows, now_us);
        let mut emptied = Vec::new();
        let mut chosen = None;
        for &(virtual_time, id) in self.waiting.iter().take(MAX_CANDIDATES) {
            let flow = &flows[id];
            if flow.queued == 0 {
                emptied.push((virtual_time, id));
            } else if self.may_start(id, flow, now_us) {
                chosen = Some((virtual_time, id));
                break;
            }
        }
        let found_empty = !emptied.is_empty();
        for (_, id) in emptied {
            self.rest(id, &mut flows[id]);
        }
        match chosen {
            Some((virtual_time, id)) => {
                self.floor = self.floor.max(virtual_time);
                Some(id)
            }
            // Emptied flows may have hidden one with requests.
            None if found_empty => self.choose(flows, now_us),
            None => None,
        }
    }

    /// Charges the first flows for running requests that outlast their estimates.
    fn settle_first(&mut self, flows: &mut Slab<Flow>, now_us: u64) {
        for _ in 0..MAX_SETTLEMENTS {
            let Some(&(_, id)) = self.waiting.first() else {
                return;
            };
            let flow = &mut flows[id];
            let charge = flow.usage.settle(now_us);
            if charge == 0 {
                return;
            }
            self.charge(id, flow, charge);
        }
    }

    /// Whether the flow may take a slot, or must leave the last ones to members below their share.
    fn may_start(&self, id: usize, flow: &Flow, now_us: u64) -> bool {
        let reserve =
            u64::from(self.slots) * u64::from(flow.policy.reserve_permille.min(1_000)) / 1_000;
        if reserve == 0 || self.running + reserve < u64::from(self.slots) {
            return true;
        }
        let below_share = (flow.usage.running() as f64) < self.share(flow).max(1.0);
        below_share || !self.others_are_active(id, now_us)
    }

    /// Takes a flow without waiting requests out of the order.
    pub(super) fn rest(&mut self, id: usize, flow: &mut Flow) {
        self.waiting.remove(&(flow.virtual_time, id));
        if flow.usage.running() == 0 {
            self.idle.insert((flow.virtual_time, id));
        }
        self.count(flow);
    }

    /// Whether no request waits or runs.
    pub(super) fn is_idle(&self) -> bool {
        self.running == 0 && self.active_weight == 0
    }

    /// An idle flow that need not be remembered.
    pub(super) fn forget_idle(&mut self) -> Option<usize> {
        if self.idle.len() <= MAX_IDLE_FLOWS {
            return None;
        }
        self.idle.pop_first().map(|(_, id)| id)
    }
}

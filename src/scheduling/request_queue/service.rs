//! Shares the slots of one service among its members.

use std::collections::{BTreeSet, VecDeque};

use indexmap::IndexMap;
use slab::Slab;

use super::flow::Flow;
use super::policy::RequestPolicy;
use super::usage::{ExecutionTime, MeanRunning, advance};
use crate::ids::{MemberId, ServiceName};

/// Maximum fraction of the slots that is reserved.
const MAX_RESERVE_FRACTION: f64 = 0.5;
/// Mean usage of slots, relative to its share, up to which a member may use reserved slots. The
/// mean of a member that uses 95% of its share rarely exceeds this by chance.
const SHARE_TOLERANCE: f64 = 1.05;
/// Multiple of the square root of its share by which a member may briefly exceed its share, in
/// proportion to the unused part of its share. A multiple of three covers the fluctuation of
/// independent requests.
const OVERSHOOT_DEVIATIONS: f64 = 3.0;
/// Time for which a member counts for the shares of the others after its last request. Without it,
/// their shares would grow whenever the member is briefly idle.
const LINGER_US: u64 = 1_000_000;
/// Mean number of slots used by other members below which none are reserved for them.
const MIN_MEAN_RUNNING: f64 = 0.01;
/// Maximum number of members that are examined for one slot, if the first ones must leave slots
/// free.
const MAX_CANDIDATES: usize = 16;
/// Maximum number of charges per selection for requests that exceed their estimates.
const MAX_SETTLEMENTS: usize = 4;
/// Maximum number of members without requests whose usage and execution time are kept.
const MAX_IDLE_FLOWS: usize = 4_096;

/// Members of one service, ordered by virtual time.
pub(super) struct ServiceQueue {
    pub name: ServiceName,
    /// Number of slots of all runners; zero if unknown.
    pub slots: u32,
    pub running: u64,
    mean_running: MeanRunning,
    pub execution: ExecutionTime,
    pub flow_ids: IndexMap<MemberId, usize>,
    /// Flows with waiting requests, ordered by virtual time. May contain flows whose requests were
    /// all cancelled.
    waiting: BTreeSet<(u64, usize)>,
    /// Flows without waiting and running requests.
    idle: BTreeSet<(u64, usize)>,
    /// Largest virtual time of a flow at which it was served; never decreases.
    floor: u64,
    /// Sum of the weights of the flows that have requests.
    active_weight: u64,
    /// Sum of the weights of the flows that had requests within `LINGER_US` and have none now.
    lingering_weight: u64,
    /// When flows stop lingering, in order. An entry is valid only while the flow has the same
    /// `lingers_until_us`.
    lingering: VecDeque<(u64, usize)>,
    /// Time of the latest start, end or selection.
    now_us: u64,
}

impl ServiceQueue {
    pub(super) fn new(name: ServiceName) -> Self {
        Self {
            name,
            slots: 0,
            running: 0,
            mean_running: MeanRunning::default(),
            execution: ExecutionTime::default(),
            flow_ids: IndexMap::new(),
            waiting: BTreeSet::new(),
            idle: BTreeSet::new(),
            floor: 0,
            active_weight: 0,
            lingering_weight: 0,
            lingering: VecDeque::new(),
            now_us: 0,
        }
    }

    pub(super) fn floor(&self) -> u64 {
        self.floor
    }

    /// Updates the mean numbers of running requests of the service and of a flow.
    pub(super) fn update_running(&mut self, flow: &mut Flow, now_us: u64) {
        self.now_us = now_us;
        self.mean_running.set_running(self.running, now_us);
        let running = flow.usage.running();
        flow.mean_running.set_running(running, now_us);
    }

    /// Makes a flow with waiting requests eligible for slots.
    pub(super) fn activate(&mut self, id: usize, flow: &mut Flow) {
        self.idle.remove(&(flow.virtual_time, id));
        if !self.waiting.contains(&(flow.virtual_time, id)) {
            flow.virtual_time = flow.virtual_time.max(self.floor);
            self.waiting.insert((flow.virtual_time, id));
        }
        self.update_active_weight(id, flow);
    }

    /// Updates `active_weight` and `lingering_weight` after a change of the flow.
    pub(super) fn update_active_weight(&mut self, id: usize, flow: &mut Flow) {
        let weight = u64::from(flow.policy.member_weight.max(1));
        let active = flow.queued > 0 || flow.usage.running() > 0;
        if active && !flow.in_active_weight {
            self.active_weight += weight;
            self.end_lingering(flow);
        } else if !active && flow.in_active_weight {
            self.active_weight -= weight;
            let until_us = self.now_us + LINGER_US;
            flow.lingers_until_us = Some(until_us);
            self.lingering_weight += weight;
            self.lingering.push_back((until_us, id));
        }
        flow.in_active_weight = active;
    }

    /// Ends the lingering of a flow that became active, expired or is removed.
    pub(super) fn end_lingering(&mut self, flow: &mut Flow) {
        if flow.lingers_until_us.take().is_some() {
            self.lingering_weight -= u64::from(flow.policy.member_weight.max(1));
        }
    }

    /// Sets the time and ends the lingering of flows that is over.
    fn advance_time(&mut self, flows: &mut Slab<Flow>, now_us: u64) {
        self.now_us = now_us;
        while let Some(&(until_us, id)) = self.lingering.front() {
            if until_us > now_us {
                return;
            }
            self.lingering.pop_front();
            if let Some(flow) = flows.get_mut(id)
                && flow.lingers_until_us == Some(until_us)
            {
                self.end_lingering(flow);
            }
        }
    }

    /// Replaces the policy of a flow.
    pub(super) fn change_policy(&mut self, flow: &mut Flow, policy: RequestPolicy) {
        self.end_lingering(flow);
        if flow.in_active_weight {
            self.active_weight -= u64::from(flow.policy.member_weight.max(1));
            self.active_weight += u64::from(policy.member_weight.max(1));
        }
        flow.policy = policy;
    }

    /// Number of slots that the flow is entitled to if all active members use their shares.
    pub(super) fn share(&self, flow: &Flow) -> f64 {
        let weight = u64::from(flow.policy.member_weight.max(1));
        let own_counts = flow.in_active_weight || flow.lingers_until_us.is_some();
        let own = if own_counts { weight } else { 0 };
        let others = self.active_weight + self.lingering_weight - own;
        f64::from(self.slots) * weight as f64 / (others + weight) as f64
    }

    /// Charges a flow and updates its position in the order.
    pub(super) fn charge(&mut self, id: usize, flow: &mut Flow, charge_us: i64) {
        let former = flow.virtual_time;
        flow.virtual_time = advance(former, charge_us, flow.policy.member_weight);
        if self.waiting.remove(&(former, id)) {
            self.waiting.insert((flow.virtual_time, id));
        }
    }

    /// Chooses the flow that receives a free slot; `None` if none may start a request.
    pub(super) fn choose(&mut self, flows: &mut Slab<Flow>, now_us: u64) -> Option<usize> {
        self.advance_time(flows, now_us);
        self.settle_first(flows, now_us);
        let mut emptied = Vec::new();
        let mut chosen = None;
        let candidates: Vec<(u64, usize)> =
            self.waiting.iter().take(MAX_CANDIDATES).copied().collect();
        for (virtual_time, id) in candidates {
            let flow = &mut flows[id];
            if flow.queued == 0 {
                emptied.push((virtual_time, id));
            } else if self.may_start(flow, now_us) {
                chosen = Some((virtual_time, id));
                break;
            }
        }
        let found_empty = !emptied.is_empty();
        for (_, id) in emptied {
            self.deactivate(id, &mut flows[id]);
        }
        match chosen {
            Some((virtual_time, id)) => {
                self.floor = self.floor.max(virtual_time);
                Some(id)
            }
            // Empty flows may have displaced a flow with requests from the candidates.
            None if found_empty => self.choose(flows, now_us),
            None => None,
        }
    }

    /// Charges the first flows for running requests that exceed their estimates.
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

    /// Whether the flow may use a slot rather than leave the last free slots to members below their
    /// share. A member whose mean usage is within its share may briefly exceed its share.
    fn may_start(&mut self, flow: &mut Flow, now_us: u64) -> bool {
        let deviations = flow.policy.reserve_deviations;
        if self.slots == 0 || deviations <= 0.0 {
            return true;
        }
        let own_mean = flow.mean_running.mean_at(now_us);
        let others_mean = self.mean_running.mean_at(now_us) - own_mean;
        if others_mean < MIN_MEAN_RUNNING {
            return true;
        }
        let slots = f64::from(self.slots);
        let reserve = (deviations * others_mean.sqrt()).min(slots * MAX_RESERVE_FRACTION);
        // A slot that is taken by a long request is still in use when the usage of the others
        // returns to its mean, so at least that mean counts as used.
        let running = flow.usage.running() as f64;
        let used = (self.running as f64).max(running + others_mean);
        if used + reserve < slots {
            return true;
        }
        let share = self.share(flow);
        let headroom = (SHARE_TOLERANCE - own_mean / share) / (2.0 * (SHARE_TOLERANCE - 1.0));
        let overshoot = OVERSHOOT_DEVIATIONS * share.sqrt() * headroom.clamp(0.0, 1.0);
        running < (share + overshoot).max(1.0)
    }

    /// Removes a flow without waiting requests from the order.
    pub(super) fn deactivate(&mut self, id: usize, flow: &mut Flow) {
        self.waiting.remove(&(flow.virtual_time, id));
        if flow.usage.running() == 0 {
            self.idle.insert((flow.virtual_time, id));
        }
        self.update_active_weight(id, flow);
    }

    /// Whether no request is waiting or running.
    pub(super) fn is_idle(&self) -> bool {
        self.running == 0 && self.active_weight == 0
    }

    /// Removes the idle flow with the lowest virtual time from the idle flows if there are too many;
    /// returns it.
    pub(super) fn evict_idle(&mut self) -> Option<usize> {
        if self.idle.len() <= MAX_IDLE_FLOWS {
            return None;
        }
        self.idle.pop_first().map(|(_, id)| id)
    }
}

//! Bounds of the request queue: who may wait, and who is dropped in favour of whom.

use std::time::Instant;

use super::{QueuedRequest, RequestQueue, Waiting, is_waiting};
use crate::scheduling::admission::{Demand, Refusal};

/// Multiplier that keeps the precision of a backlog divided by a weight.
const BACKLOG_SCALE: u64 = 1_000_000;

impl RequestQueue {
    pub(super) fn demand(
        &mut self,
        id: usize,
        level: usize,
        request: &QueuedRequest,
        now: Instant,
    ) -> Demand {
        let now_us = self.micros(now);
        let flow = &mut self.flows[id];
        let service = &self.services[flow.service];
        let execution_us = flow.execution.or(&service.execution);
        let entitled = service.share(flow) * 1e6 / execution_us as f64;
        let interval_us = flow.policy.delay_interval_ms * 1_000;
        let standing_delay = flow.delay(level).is_standing(interval_us, now_us);
        let measured = flow.starts.per_second(now_us);
        // A member with a standing delay has shown its rate; slots that count for its share may be
        // held by other members or be out of order.
        let starts_per_second = if standing_delay && measured > 0.0 {
            measured
        } else {
            entitled.max(measured)
        };
        Demand {
            ahead: flow.ahead(level),
            starts_per_second,
            execution_ms: execution_us / 1_000,
            remaining_ms: request.deadline.saturating_duration_since(now).as_millis() as u64,
            standing_delay,
            target_delay_ms: flow.policy.target_delay_ms,
        }
    }

    pub(super) fn check_demand(
        &mut self,
        flow: usize,
        level: usize,
        request: &QueuedRequest,
        now: Instant,
    ) -> Result<(), Refusal> {
        if !self.discipline.protects_members {
            return Ok(());
        }
        self.demand(flow, level, request, now).check()?;
        let max_queued = self.flows[flow].policy.max_queued;
        if self.flows[flow].queued < max_queued {
            return Ok(());
        }
        if self.flows[flow]
            .lowest_level()
            .is_some_and(|lowest| lowest < level)
        {
            self.drop_worst(flow);
            return Ok(());
        }
        let demand = self.demand(flow, level, request, now);
        Err(demand.refusal(format!("{max_queued} requests of the member are waiting")))
    }

    /// Keeps the total bound: drops the worst request of the member with the largest backlog for
    /// its weight, unless that is the member itself, or a less urgent one of the member.
    pub(super) fn make_room(
        &mut self,
        flow: usize,
        level: usize,
        now_us: u64,
    ) -> Result<(), Refusal> {
        if self.positions.len() < self.max_queued {
            return Ok(());
        }
        let own = self.backlog(flow, 1);
        if let Some((backlog, worst)) = self.worst_backlog()
            && worst != flow
            && backlog > own
        {
            self.drop_worst(worst);
            return Ok(());
        }
        if self.flows[flow]
            .lowest_level()
            .is_some_and(|lowest| lowest < level)
        {
            self.drop_worst(flow);
            return Ok(());
        }
        let per_second = self.flows[flow].starts.per_second(now_us);
        let demand = Demand {
            ahead: self.flows[flow].ahead(0),
            starts_per_second: per_second,
            execution_ms: 0,
            remaining_ms: 0,
            standing_delay: true,
            target_delay_ms: self.flows[flow].policy.target_delay_ms,
        };
        Err(demand.refusal(format!("{} requests are waiting", self.positions.len())))
    }

    fn backlog(&self, flow: usize, more: usize) -> u64 {
        let flow = &self.flows[flow];
        (flow.queued + more) as u64 * BACKLOG_SCALE / u64::from(flow.policy.member_weight.max(1))
    }

    pub(super) fn set_backlog(&mut self, flow: usize) {
        let backlog = self.backlog(flow, 0);
        if let Some(former) = self.backlog_keys.insert(flow, backlog) {
            self.backlogs.remove(&(former, flow));
        }
        self.backlogs.insert((backlog, flow));
    }

    fn worst_backlog(&mut self) -> Option<(u64, usize)> {
        loop {
            let &(key, flow) = self.backlogs.last()?;
            if key == self.backlog(flow, 0) {
                return Some((key, flow));
            }
            self.set_backlog(flow);
        }
    }

    fn drop_worst(&mut self, flow: usize) {
        let waiting = &self.waiting;
        let ticket = self.flows[flow].pop_worst(&|ticket| is_waiting(waiting, ticket));
        if let Some(ticket) = ticket {
            let Waiting {
                request, caller, ..
            } = self.waiting.remove(ticket.position);
            self.flows[flow].rest_if_idle(caller);
            self.positions.swap_remove(&request.key);
            self.dropped.insert(request.key.clone(), request);
        }
        self.emptied.push(flow);
    }
}

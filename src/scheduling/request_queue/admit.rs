//! Admission to the request queue, and eviction when a bound is reached.

use std::time::Instant;

use super::{QueuedRequest, RequestQueue, Waiting, is_waiting};
use crate::scheduling::admission::{AdmissionInput, Refusal};

/// Fixed-point scale of a backlog divided by a weight.
const BACKLOG_SCALE: u64 = 1_000_000;

impl RequestQueue {
    /// Collects the inputs of the admission decision for a request of the flow.
    pub(super) fn admission_input(
        &mut self,
        id: usize,
        level: usize,
        request: &QueuedRequest,
        now: Instant,
    ) -> AdmissionInput {
        let now_us = self.elapsed_us(now);
        let flow = &mut self.flows[id];
        let service = &self.services[flow.service];
        let execution_us = flow.execution.mean_us_or(&service.execution);
        let entitled = service.share(flow) * 1e6 / execution_us as f64;
        let interval_us = flow.policy.delay_interval_ms * 1_000;
        let standing_delay = flow.delay(level).is_standing(interval_us, now_us);
        let measured = flow.starts.per_second(now_us);
        // During a standing delay the measured rate is reliable. The entitled rate may be too high,
        // because other members may hold slots of the share, or runners may be out of order.
        let starts_per_second = if standing_delay && measured > 0.0 {
            measured
        } else {
            entitled.max(measured)
        };
        AdmissionInput {
            ahead: flow.ahead(level),
            starts_per_second,
            execution_ms: execution_us / 1_000,
            remaining_ms: request.deadline.saturating_duration_since(now).as_millis() as u64,
            standing_delay,
            target_delay_ms: flow.policy.target_delay_ms,
        }
    }

    /// Checks a request against the deadline, a standing delay and the bound of its member. Drops a
    /// less urgent request of the member if the bound is reached.
    pub(super) fn check_admission(
        &mut self,
        flow: usize,
        level: usize,
        request: &QueuedRequest,
        now: Instant,
    ) -> Result<(), Refusal> {
        if !self.discipline.protects_members {
            return Ok(());
        }
        self.admission_input(flow, level, request, now).check()?;
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
        let admission_input = self.admission_input(flow, level, request, now);
        Err(admission_input.refusal(format!("{max_queued} requests of the member are waiting")))
    }

    /// Enforces the total bound. Drops a request of the member with the largest backlog relative to
    /// its weight if that is another member, else a less urgent request of the member itself.
    /// Refuses the new request if there is neither.
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
        let admission_input = AdmissionInput {
            ahead: self.flows[flow].ahead(0),
            starts_per_second: per_second,
            execution_ms: 0,
            remaining_ms: 0,
            standing_delay: true,
            target_delay_ms: self.flows[flow].policy.target_delay_ms,
        };
        Err(admission_input.refusal(format!("{} requests are waiting", self.positions.len())))
    }

    /// Backlog of a flow relative to its weight, with `more` additional requests.
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

    /// Returns the flow with the largest relative backlog, after correcting outdated keys.
    fn worst_backlog(&mut self) -> Option<(u64, usize)> {
        loop {
            let &(key, flow) = self.backlogs.last()?;
            if key == self.backlog(flow, 0) {
                return Some((key, flow));
            }
            self.set_backlog(flow);
        }
    }

    /// Drops the request of a flow that would be served last.
    fn drop_worst(&mut self, flow: usize) {
        let waiting = &self.waiting;
        let ticket = self.flows[flow].pop_worst(&|ticket| is_waiting(waiting, ticket));
        if let Some(ticket) = ticket {
            let Waiting {
                request, caller, ..
            } = self.waiting.remove(ticket.position);
            self.flows[flow].retire_if_idle(caller);
            self.positions.swap_remove(&request.key);
            self.dropped.insert(request.key.clone(), request);
        }
        self.emptied.push(flow);
    }
}

//! Calls to a worker that its next incarnation may carry out: start orders, and start orders together
//! with acknowledgements, of different relays or of an earlier placer. Those of one relay are kept
//! apart by the relay.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::term::{LiveRun, Term};
use crate::ids::{Generation, WorkerId};

/// Longest time between a start order of the placer and its last attempt by a relay: 0.8 s for the
/// instructions, and 1.4 s in which the relay sends the order.
const RELAYING_TIME: Duration = Duration::from_millis(2_200);

impl LiveRun {
    /// Returns until when a copy of the start order may be carried out by a later incarnation of its
    /// worker; `None` if none can.
    pub(super) fn start_arrives_by(&self, late_call_limit: Duration) -> Option<Instant> {
        let sent_at = self.start_sent_at.filter(|_| !self.start_is_settled)?;
        Some(sent_at + RELAYING_TIME + late_call_limit)
    }

    /// As [`Self::start_arrives_by`], for orders without a permit only.
    pub(super) fn unpermitted_start_arrives_by(
        &self,
        late_call_limit: Duration,
    ) -> Option<Instant> {
        if self.has_permit {
            return None;
        }
        self.start_arrives_by(late_call_limit)
    }
}

impl Term {
    /// Notes that the known incarnation of a worker was at work after a time: no later one has a permit
    /// that was issued before, or gave an answer that arrived before.
    pub(super) fn settle_earlier_starts(&mut self, id: &WorkerId, at_work_at: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        for task in &worker.runs {
            let Some(run) = self.runs.get_mut(task) else {
                continue;
            };
            let shown_at = if run.has_permit {
                Some(run.placed_at)
            } else {
                run.start_answered_at
            };
            run.start_is_settled |= shown_at.is_some_and(|shown_at| shown_at < at_work_at);
        }
    }

    /// Raises the token of a worker above a generation, so that acknowledgements with that one have no
    /// effect once a start order has been carried out.
    pub(super) fn raise_token(&mut self, id: &WorkerId, outdated: Generation) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.generation != outdated {
            return;
        }
        worker.generation = outdated.saturating_add(1);
        log::info!(
            worker = id.as_str(), incarnation = worker.record.incarnation,
            generation = worker.generation;
            "calls to a worker get a higher token: an acknowledgement has no answer"
        );
        self.due_grants.insert(id.clone());
    }

    /// Keeps the calls of the former relay of a worker and those of the new one apart.
    pub(super) fn separate_relays(&mut self, id: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let late_call_limit = self.settings.late_call_limit;
        let runs = worker.runs.iter().filter_map(|task| self.runs.get(task));
        let of_runs = runs.filter_map(|run| run.unpermitted_start_arrives_by(late_call_limit));
        let open_until = of_runs.chain(worker.ended_starts_open_until).max();
        let open_until = open_until.filter(|until| now < *until);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(until) = open_until else {
            worker.start_raises_token = true;
            return;
        };
        worker.generation = worker.generation.saturating_add(1);
        worker.acknowledges_from = worker.acknowledges_from.max(until);
    }

    /// Raises the token of a worker for the first start order since its relay has changed: an
    /// acknowledgement of the former relay may have no answer. A permit may be for an incarnation that
    /// is not known.
    pub(super) fn raise_token_for_start(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if std::mem::take(&mut worker.start_raises_token) {
            worker.generation = worker.generation.saturating_add(1);
            self.due_grants.insert(id.clone());
        }
    }

    /// Lets no end be acknowledged at the start of a term where start orders of the former placer may be
    /// open. The state has no record of them once their runs have ended.
    pub(super) fn withhold_acknowledgements(&mut self, now: Instant) {
        let until = now + RELAYING_TIME + self.settings.late_call_limit;
        let services = self.workers.values().map(|worker| &worker.record.service);
        let services: IndexSet<_> = services.cloned().collect();
        for service in services {
            if !self.sent_starts_without_permits(&service) {
                continue;
            }
            let workers = self.workers.values_mut();
            for worker in workers.filter(|worker| worker.record.service == service) {
                worker.acknowledges_from = until;
            }
        }
    }

    /// Whether workers of a service may have received start orders without permits: it has a job of a
    /// queue without a policy, also one that ended within the retention time. Queues without jobs do not
    /// count, since configurations may have many.
    fn sent_starts_without_permits(&self, service: &str) -> bool {
        let mut queues = self.state.jobs.values().map(|job| &job.queue);
        queues.any(|queue| queue.placement_policy.is_none() && queue.service == service)
    }
}

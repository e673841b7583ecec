//! Handles calls of callers, workers and operators.

use std::time::Instant;

use indexmap::IndexMap;

use super::super::calls::{Call, HostContact, Reply};
use super::super::cancellations::MAX_JOB_NAME_BYTES;
use super::super::customers::{Access, CustomerConfiguration};
use super::super::instruments::instruments;
use super::super::queues::{Queue, QueueAddress, QueueConfiguration};
use super::super::records::Record;
use super::super::spec::WorkflowSpec;
use super::super::state::Job;
use super::call_limits::BUSY_RETRY_MS;
use super::policy::{CONTACT_TIMEOUT, INITIAL_ROUND_TRIP};
use super::term::{Effect, PolicyCaller, RunPhase, Term};
use super::waiting_jobs::WaitingJobs;
use super::{CallResponder, Now, Placer};
use crate::ids::{Epoch, HostId, JobId};

impl Placer {
    /// Whether this host leads the workflow log and its take-over is committed.
    pub fn is_leading(&self) -> bool {
        self.leading_epoch().is_some()
    }

    /// Returns the epoch in which this host leads, once its take-over is committed.
    fn leading_epoch(&self) -> Option<Epoch> {
        let epoch = self.replica.leadership()?;
        let term = self.lock();
        let leads = term
            .as_ref()
            .is_some_and(|term| term.ready && term.epoch == epoch);
        leads.then_some(epoch)
    }

    /// Handles a call of a host. Queries and rejected calls are answered immediately; other replies
    /// are sent after the call is committed. If the term ends before the commit, the call may still
    /// have taken effect.
    pub fn handle(&self, from: &HostId, call: Call, responder: CallResponder) {
        if matches!(&call, Call::Heartbeat(heartbeat) if self.is_recorded(heartbeat)) {
            responder.reply(Reply::WorkerNoted);
            return;
        }
        let Some(epoch) = self.leading_epoch() else {
            responder.not_leading();
            return;
        };
        if let Some((target, key)) = call.as_query() {
            let reply = self.query(target, key);
            // The process may have been paused since the check, and another placer may lead.
            if self.replica.leadership() == Some(epoch) {
                responder.reply(reply);
            } else {
                responder.not_leading();
            }
            return;
        }
        let slot = call.is_limited().then(|| self.call_limits.acquire(from));
        let responder = match slot {
            None => responder,
            Some(Some(slot)) => responder.with_slot(slot),
            Some(None) => {
                log::debug!(host = from.as_str(); "call refused: too many calls in flight");
                responder.reply(Reply::Busy {
                    retry_after_ms: BUSY_RETRY_MS,
                });
                return;
            }
        };
        let mut waiting = Some(responder);
        self.with_term(None, |term, now| {
            if let Some(responder) = waiting.take() {
                term.handle_call(call, responder, now);
            }
        });
        // The term ended after the leadership was checked.
        if let Some(responder) = waiting {
            responder.not_leading();
        }
    }

    /// Answers a query for a job or a queue from the committed state.
    pub(super) fn query(&self, target: &QueueAddress, key: Option<&str>) -> Reply {
        let state = self.committed.state.lock().unwrap();
        let Some(configuration) = &state.configuration else {
            return Reply::NotConfigured;
        };
        let Some((queue, rest)) = configuration.find(&target.host, &target.path_prefix) else {
            return Reply::NoSuchQueue;
        };
        let access = state.customers.access(&queue.address, key);
        if access == Access::UnknownKey {
            return Reply::UnknownKey;
        }
        if rest.is_empty() {
            let address = queue.address.clone();
            // Lock order: the term is always locked before the committed state.
            drop(state);
            return self.count_waiting_jobs(&address);
        }
        let in_queue = |job: &Job| job.queue.address == queue.address;
        match state.jobs.get(rest) {
            Some(job) if !state.customers.may_access(rest, &access, in_queue(job)) => {
                Reply::OtherCustomer
            }
            Some(job) => Reply::Progress(job.phase),
            None => Reply::NoSuchJob,
        }
    }

    fn count_waiting_jobs(&self, queue: &QueueAddress) -> Reply {
        let now = self.clock.now();
        let counts = &self.job_counts;
        Reply::WaitingJobs(counts.of_queue(queue, now, || self.waiting_jobs()))
    }

    /// Counts the accepted jobs that have not begun, of all queues.
    fn waiting_jobs(&self) -> WaitingJobs {
        let unconfirmed = self.lock().as_ref().map(Term::unconfirmed_runs);
        let unconfirmed = unconfirmed.unwrap_or_default();
        let state = self.committed.state.lock().unwrap();
        let mut waiting = WaitingJobs::new();
        for (id, job) in &state.jobs {
            if !job.is_open() {
                continue;
            }
            if job.begun_tasks() <= unconfirmed.get(id.as_str()).copied().unwrap_or_default() {
                *waiting.entry(job.queue.address.clone()).or_default() += 1;
            }
        }
        waiting
    }
}

impl Term {
    pub(super) fn handle_call(&mut self, call: Call, responder: CallResponder, now: Now) {
        let (call, key) = call.split_key();
        let key = key.as_deref();
        let reply = match call {
            Call::Submit { target, spec } => self.submit(&target, key, *spec, now),
            Call::Cancel(target) => self.cancel(&target, key, now),
            Call::ReplaceQueues(configuration) => self.replace_queues(*configuration, None),
            Call::ReplaceCustomers { queues, customers } => {
                self.replace_queues(*queues, Some(customers))
            }
            Call::ReadQueues => {
                self.needs_commit = true;
                self.effects.push(Effect::ReplyQueues(responder));
                return;
            }
            Call::Heartbeat(heartbeat) => {
                self.handle_heartbeat(*heartbeat, now);
                Reply::WorkerNoted
            }
            Call::WorkerLeaves(worker) => {
                self.handle_departure(&worker, now.at);
                Reply::WorkerNoted
            }
            Call::Contact(contact) => {
                self.record_contact(contact, now.at);
                let version = self.state.version();
                Reply::Contacted { version }
            }
            Call::Query(_) | Call::Keyed { .. } => Reply::Unconfirmed,
        };
        self.effects.push(Effect::Reply(responder, reply));
    }

    /// Returns the number of runs of each job that were placed but not confirmed by their worker: a
    /// worker that is cut off may never start them.
    pub(super) fn unconfirmed_runs(&self) -> IndexMap<JobId, usize> {
        let mut unconfirmed = IndexMap::new();
        for (task, run) in &self.runs {
            let reachable = self
                .workers
                .get(&run.worker)
                .is_some_and(|worker| worker.reachable);
            // Most runs of an earlier leader were confirmed to it; a reachable worker reports soon.
            if run.confirmed || (run.phase == RunPhase::Unresolved && reachable) {
                continue;
            }
            *unconfirmed.entry(task.stage.job.clone()).or_default() += 1;
        }
        unconfirmed
    }

    fn submit(
        &mut self,
        target: &QueueAddress,
        key: Option<&str>,
        spec: WorkflowSpec,
        now: Now,
    ) -> Reply {
        let Some(configuration) = &self.state.configuration else {
            return Reply::NotConfigured;
        };
        let Some((queue, id)) = configuration.find(&target.host, &target.path_prefix) else {
            return Reply::NoSuchQueue;
        };
        let access = self.state.customers.access(&queue.address, key);
        if access == Access::UnknownKey {
            log_unknown_key(queue);
            return Reply::UnknownKey;
        }
        if id.is_empty() || id.contains(['/', '.']) {
            return Reply::Invalid(format!("{id:?} is not the name of a job"));
        }
        if let Some(job) = self.state.jobs.get(id) {
            let in_queue = job.queue.address == queue.address;
            if !self.state.customers.may_access(id, &access, in_queue) {
                return Reply::OtherCustomer;
            }
            // The reply has to wait for the commit of the first submission.
            self.needs_commit = true;
            return Reply::Accepted;
        }
        if self.was_cancelled_early(id, &access, queue, now) {
            return Reply::NoSuchJob;
        }
        if id.len() > MAX_JOB_NAME_BYTES {
            return Reply::Invalid(format!(
                "the name of a job has at most {MAX_JOB_NAME_BYTES} bytes"
            ));
        }
        if let Err(reason) = spec.validate() {
            return Reply::Invalid(reason);
        }
        if let Some(customer) = access.customer()
            && let Some(reason) = self.exceeds_cap(customer, &spec)
        {
            log::info!(job = id, queue = queue.name.as_str(), customer = customer.as_str(); "job refused: {reason}");
            instruments().count_job("refused");
            instruments().count_refusal(customer, "over_cap");
            return Reply::ExceedsCap(reason);
        }
        let (queue, id) = (queue.clone(), JobId::from(id));
        let version = configuration.version;
        let customer = access.customer().map(String::as_str);
        if let Err(refusal) = self.admit(&queue, &spec, customer, now.at) {
            refusal.report(&id, &queue, customer);
            let retry_after_ms = refusal.retry_after.as_millis();
            return Reply::NotAccepted {
                retry_after_ms: u64::try_from(retry_after_ms).unwrap_or(u64::MAX),
            };
        }
        log::info!(
            job = id.as_str(), queue = queue.name.as_str(), stages = spec.stages.len(),
            tasks = spec.stages.iter().map(|stage| stage.task_count).sum::<u32>(),
            version;
            "job accepted"
        );
        instruments().count_job("accepted");
        self.record(Record::JobAccepted {
            id: id.clone(),
            queue: Box::new(queue),
            spec: Box::new(spec),
            at_unix_ms: now.unix_ms,
        });
        if let Some(customer) = access.customer().cloned() {
            let id = id.clone();
            self.record(Record::JobOwned { id, customer });
        }
        self.activate_stages(&id, now);
        Reply::Accepted
    }

    fn cancel(&mut self, target: &QueueAddress, key: Option<&str>, now: Now) -> Reply {
        let Some(configuration) = &self.state.configuration else {
            return Reply::NotConfigured;
        };
        let Some((queue, id)) = configuration.find(&target.host, &target.path_prefix) else {
            return Reply::NoSuchQueue;
        };
        let access = self.state.customers.access(&queue.address, key);
        if access == Access::UnknownKey {
            log_unknown_key(queue);
            return Reply::UnknownKey;
        }
        let id = JobId::from(id);
        let Some(job) = self.state.jobs.get(&id) else {
            let (queue, customer) = (queue.name.clone(), access.customer().cloned());
            return self.cancel_unknown_job(id, &queue, customer, now);
        };
        let in_queue = job.queue.address == queue.address;
        if !self.state.customers.may_access(&id, &access, in_queue) {
            return Reply::OtherCustomer;
        }
        self.needs_commit = true;
        if !job.is_open() {
            return Reply::Cancelled;
        }
        log::info!(job = id.as_str(), phase:% = job.phase; "job cancelled");
        self.record(Record::JobCancelled {
            id: id.clone(),
            at_unix_ms: now.unix_ms,
        });
        self.stop_job(&id, now.at);
        Reply::Cancelled
    }

    fn replace_queues(
        &mut self,
        configuration: QueueConfiguration,
        customers: Option<Box<CustomerConfiguration>>,
    ) -> Reply {
        if let Err(error) = configuration.validate() {
            log::warn!(version = configuration.version, present = self.state.version(); "configuration refused: {error}");
            return Reply::Invalid(error.to_string());
        }
        self.needs_commit = true;
        let (version, present) = (configuration.version, self.state.version());
        if version > present {
            log::info!(
                version, present, queues = configuration.queues.len(),
                customers = customers.as_ref().map_or(0, |customers| customers.customers.len());
                "configuration accepted"
            );
            self.record(Record::QueuesReplaced(Box::new(configuration)));
            if customers.is_some() || self.state.customers.configuration.is_some() {
                self.record(Record::CustomersReplaced(customers));
                self.update_customers();
            }
        } else {
            log::info!(version, present; "configuration acknowledged without effect: it is not newer");
        }
        Reply::QueuesReplaced
    }

    pub(super) fn record_contact(&mut self, contact: HostContact, now: Instant) {
        let host = contact.host.clone();
        match self.policy_callers.get_mut(&host) {
            Some(caller) => {
                self.passes.changed |= now >= caller.last_contact_at + CONTACT_TIMEOUT;
                caller.contact = contact;
                caller.last_contact_at = now;
            }
            None => {
                log::info!(host = host.as_str(), data_centre = contact.data_centre.as_str(); "host made contact");
                let caller = PolicyCaller {
                    contact,
                    last_contact_at: now,
                    busy_until: now,
                    relaying_paused_until: now,
                    round_trip: INITIAL_ROUND_TRIP,
                };
                self.policy_callers.insert(host, caller);
                self.passes.changed = true;
            }
        }
    }
}

/// Logs the refusal of a call. The key itself is a secret and stays out of the log.
fn log_unknown_key(queue: &Queue) {
    log::info!(queue = queue.name.as_str(); "call refused: it has no key that is in force");
}

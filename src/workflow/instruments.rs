//! Records the metrics of workflows: counters, gauges and latency histograms.

use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::peer::call_load::CallLoad;
use crate::telemetry::metrics::metrics;

/// Upper bounds of the latency buckets, from a round trip within a data centre to the longest time
/// that a caller waits.
const LATENCY_BOUNDARIES_SECONDS: [f64; 12] = [
    0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.6, 3.0, 10.0,
];

/// Customers with a label of their own in the metrics of a process, the first that it meets. Each name
/// adds a series to each metric, and configurations may name any number.
const MAX_CUSTOMER_LABELS: usize = 64;
/// Label of all other customers.
const OTHER_CUSTOMERS: &str = "other";

/// What a customer has, in thousandths of a core.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CustomerLoad<'a> {
    /// Name of the customer.
    pub customer: &'a str,
    /// Processors of its runs.
    pub running_millis: u64,
    /// Processors that its waiting tasks need.
    pub waiting_millis: u64,
    /// Its share of the processors of the cell.
    pub share_millis: u64,
    /// Its cap; 0 is no limit.
    pub cap_millis: u64,
}

/// Names of customers that are used as labels. Invariant: at most [`MAX_CUSTOMER_LABELS`].
#[derive(Debug, Default)]
pub struct CustomerLabels(IndexSet<String>);

impl CustomerLabels {
    /// Returns the label of a customer: its name, or the common label once there are too many names.
    /// A customer with the name of the common label is counted under it.
    pub fn label(&mut self, customer: &str) -> String {
        if self.0.len() < MAX_CUSTOMER_LABELS && customer != OTHER_CUSTOMERS {
            self.0.insert(customer.to_owned());
        }
        if self.0.contains(customer) {
            customer.to_owned()
        } else {
            OTHER_CUSTOMERS.to_owned()
        }
    }

    /// Adds up the loads of customers with the same label.
    pub fn by_label(
        &mut self,
        loads: &[CustomerLoad<'_>],
    ) -> IndexMap<String, [(&'static str, u64); 4]> {
        let mut sums = IndexMap::new();
        for load in loads {
            let parts = [
                ("running", load.running_millis),
                ("waiting", load.waiting_millis),
                ("share", load.share_millis),
                ("cap", load.cap_millis),
            ];
            let sum = sums.entry(self.label(load.customer));
            let sum = sum.or_insert_with(|| parts.map(|(part, _)| (part, 0)));
            for ((_, sum), (_, amount)) in sum.iter_mut().zip(parts) {
                *sum = u64::saturating_add(*sum, amount);
            }
        }
        sums
    }
}

/// Instruments of the placer and of the hosts that call it.
pub struct Instruments {
    jobs: Counter<u64>,
    runs: Counter<u64>,
    orders: Counter<u64>,
    policy_questions: Counter<u64>,
    placement_wait: Histogram<f64>,
    order_latency: Histogram<f64>,
    policy_latency: Histogram<f64>,
    permit_renewals: Counter<u64>,
    gang_starts: Counter<u64>,
    abandoned_rooms: Counter<u64>,
    place_waits: Counter<u64>,
    unanswered_calls: Counter<u64>,
    early_cancellations: Counter<u64>,
    cell_cpu: Gauge<u64>,
    waiting_tasks: Gauge<u64>,
    idle_room: Gauge<u64>,
    term_hold: Histogram<f64>,
    pass: Histogram<f64>,
    stages_examined: Counter<u64>,
    workers_examined: Counter<u64>,
    commit: Histogram<f64>,
    commit_gap: Histogram<f64>,
    call: Histogram<f64>,
    uncommitted_age: Gauge<f64>,
    queued: Gauge<u64>,
    peer_calls: Gauge<u64>,
    peer_call_threads: Gauge<u64>,
    customer_cpu: Gauge<u64>,
    refusals: Counter<u64>,
    customer_labels: Mutex<CustomerLabels>,
}

/// Returns the instruments of this process, which are created at the first call.
pub fn instruments() -> &'static Instruments {
    static INSTRUMENTS: OnceLock<Instruments> = OnceLock::new();
    INSTRUMENTS.get_or_init(Instruments::new)
}

impl Instruments {
    fn new() -> Self {
        let meter = &metrics().meter;
        let counter = |name| meter.u64_counter(name).build();
        let gauge = |name| meter.u64_gauge(name).build();
        let histogram = |name| {
            let builder = meter.f64_histogram(name);
            let boundaries = LATENCY_BOUNDARIES_SECONDS.to_vec();
            builder.with_boundaries(boundaries).build()
        };
        Self {
            jobs: counter("jujubewinch_workflow_jobs"),
            runs: counter("jujubewinch_workflow_runs"),
            orders: counter("jujubewinch_workflow_orders"),
            policy_questions: counter("jujubewinch_workflow_policy_questions"),
            placement_wait: histogram("jujubewinch_workflow_placement_wait_seconds"),
            order_latency: histogram("jujubewinch_workflow_order_seconds"),
            policy_latency: histogram("jujubewinch_workflow_policy_seconds"),
            permit_renewals: counter("jujubewinch_workflow_permit_renewals"),
            gang_starts: counter("jujubewinch_workflow_gang_starts"),
            abandoned_rooms: counter("jujubewinch_workflow_abandoned_rooms"),
            place_waits: counter("jujubewinch_workflow_place_waits"),
            unanswered_calls: counter("jujubewinch_workflow_unanswered_calls"),
            early_cancellations: counter("jujubewinch_workflow_early_cancellations"),
            cell_cpu: gauge("jujubewinch_workflow_cpu_millicores"),
            waiting_tasks: gauge("jujubewinch_workflow_waiting_tasks"),
            idle_room: gauge("jujubewinch_workflow_idle_millicores"),
            term_hold: histogram("jujubewinch_workflow_term_hold_seconds"),
            pass: histogram("jujubewinch_workflow_pass_seconds"),
            stages_examined: counter("jujubewinch_workflow_stages_examined"),
            workers_examined: counter("jujubewinch_workflow_workers_examined"),
            commit: histogram("jujubewinch_workflow_commit_seconds"),
            commit_gap: histogram("jujubewinch_workflow_commit_gap_seconds"),
            call: histogram("jujubewinch_workflow_call_seconds"),
            uncommitted_age: meter
                .f64_gauge("jujubewinch_workflow_oldest_uncommitted_seconds")
                .build(),
            queued: gauge("jujubewinch_workflow_queued"),
            peer_calls: gauge("jujubewinch_peer_calls_in_flight"),
            peer_call_threads: gauge("jujubewinch_peer_call_threads"),
            customer_cpu: gauge("jujubewinch_workflow_customer_millicores"),
            refusals: counter("jujubewinch_workflow_customer_refusals"),
            customer_labels: Mutex::default(),
        }
    }

    /// Counts a job that was `accepted` or `refused`, or that ended in the phase that `outcome`
    /// names.
    pub fn count_job(&self, outcome: &str) {
        self.jobs.add(1, &[outcome_label(outcome)]);
    }

    /// Counts a cancellation of an unknown job that was `kept`, `refused` for want of room, or `applied`
    /// to a submission.
    pub fn count_early_cancellation(&self, outcome: &str) {
        self.early_cancellations.add(1, &[outcome_label(outcome)]);
    }

    /// Counts a run that ended.
    pub fn count_run(&self, outcome: &str) {
        self.runs.add(1, &[outcome_label(outcome)]);
    }

    /// Records the wait of each of `tasks` tasks that were placed together.
    pub fn record_placement(&self, tasks: usize, wait: Duration) {
        for _ in 0..tasks {
            self.placement_wait.record(wait.as_secs_f64(), &[]);
        }
    }

    /// Records an order to a worker, with the answer or `unanswered` as its outcome.
    pub fn record_order(&self, kind: &'static str, outcome: &str, latency: Duration) {
        let labels = [KeyValue::new("kind", kind), outcome_label(outcome)];
        self.orders.add(1, &labels);
        self.order_latency
            .record(latency.as_secs_f64(), &labels[..1]);
    }

    /// Records a question to the placement policy and whether it was answered.
    pub fn record_policy(&self, answered: bool, latency: Duration) {
        let outcome = if answered { "answered" } else { "unanswered" };
        self.policy_questions.add(1, &[outcome_label(outcome)]);
        self.policy_latency.record(latency.as_secs_f64(), &[]);
    }

    /// Counts a question that renews permits for the reserved room of a gang.
    pub fn count_permit_renewal(&self) {
        self.permit_renewals.add(1, &[]);
    }

    /// Counts a gang that gave its room back because its permits were not valid at the same time.
    pub fn count_abandoned_room(&self) {
        self.abandoned_rooms.add(1, &[]);
    }

    /// Counts tasks that start after a wait for a better place: `near`, `remote` at the deadline, or
    /// `remote_early` when the wait was not worthwhile any more.
    pub fn count_place_wait(&self, outcome: &'static str, tasks: usize) {
        self.place_waits
            .add(tasks as u64, &[outcome_label(outcome)]);
    }

    /// Counts a gang that starts after a number of questions that renewed its permits.
    pub fn count_gang_start(&self, renewals: u32) {
        let label = match renewals {
            0 => "none",
            1 => "one",
            _ => "more",
        };
        self.gang_starts.add(1, &[KeyValue::new("renewals", label)]);
    }

    /// Records the processors of the cell, in thousandths of a core, and the number of waiting
    /// tasks. `held` is the part of `allocated` that is reserved for stages without a run.
    pub fn record_load(&self, capacity: u64, allocated: u64, held: u64, tasks: u64) {
        let label = |part| [KeyValue::new("part", part)];
        self.cell_cpu.record(capacity, &label("capacity"));
        self.cell_cpu.record(allocated, &label("allocated"));
        self.cell_cpu.record(held, &label("held"));
        self.waiting_tasks.record(tasks, &[]);
    }

    /// Records what each customer has.
    pub fn record_customers(&self, loads: &[CustomerLoad<'_>]) {
        let labels = self.customer_labels.lock();
        let mut labels = labels.unwrap_or_else(PoisonError::into_inner);
        for (customer, parts) in labels.by_label(loads) {
            for (part, millis) in parts {
                let labels = [
                    customer_label(customer.clone()),
                    KeyValue::new("part", part),
                ];
                self.customer_cpu.record(millis, &labels);
            }
        }
    }

    /// Counts a refused job of a customer by the reason.
    pub fn count_refusal(&self, customer: &str, reason: &'static str) {
        let labels = self.customer_labels.lock();
        let mut labels = labels.unwrap_or_else(PoisonError::into_inner);
        let customer = customer_label(labels.label(customer));
        self.refusals
            .add(1, &[customer, KeyValue::new("reason", reason)]);
    }

    /// Records the processors that are free while tasks wait that could use them, in thousandths of a
    /// core: by whether these tasks wait for their first question to the placement policy, for its
    /// answer, or for anything else.
    pub fn record_idle_room(&self, unasked: u64, asked: u64, other: u64) {
        let label = |awaited| [KeyValue::new("awaited", awaited)];
        self.idle_room.record(unasked, &label("question"));
        self.idle_room.record(asked, &label("answer"));
        self.idle_room.record(other, &label("placement"));
    }

    /// Records for how long an activity held the lock on the term of the placer.
    pub fn record_term_hold(&self, activity: &'static str, held: Duration) {
        let labels = [KeyValue::new("activity", activity)];
        self.term_hold.record(held.as_secs_f64(), &labels);
    }

    /// Records a scheduling pass. The counts include the stages and workers that were examined
    /// since the previous pass.
    pub fn record_pass(&self, took: Duration, stages: u64, workers: u64) {
        self.pass.record(took.as_secs_f64(), &[]);
        self.stages_examined.add(stages, &[]);
        self.workers_examined.add(workers, &[]);
    }

    /// Records the time from the append of a batch to its commit.
    pub fn record_commit(&self, took: Duration) {
        self.commit.record(took.as_secs_f64(), &[]);
    }

    /// Records the time from a call on this host to the reply of the placer, or to its deadline.
    pub fn record_call(&self, kind: &'static str, took: Duration) {
        let label = [KeyValue::new("kind", kind)];
        self.call.record(took.as_secs_f64(), &label);
    }

    /// Records the time between two commits of the placer, or from the append to the commit of a
    /// batch that had no commit before it.
    pub fn record_commit_gap(&self, gap: Duration) {
        self.commit_gap.record(gap.as_secs_f64(), &[]);
    }

    /// Records the age of the oldest batch that is not committed.
    pub fn record_uncommitted(&self, oldest: Duration) {
        self.uncommitted_age.record(oldest.as_secs_f64(), &[]);
    }

    /// Records the lengths of the queues of instructions to relays and of questions to the policy,
    /// and the calls of other hosts in progress.
    pub fn record_queues(&self, instructions: u64, questions: u64, calls: CallLoad) {
        self.queued
            .record(instructions, &[KeyValue::new("queue", "instructions")]);
        let questions_label = [KeyValue::new("queue", "questions")];
        self.queued.record(questions, &questions_label);
        self.peer_calls.record(calls.in_flight, &[]);
        self.peer_call_threads.record(calls.threads, &[]);
    }

    /// Counts a call that no placer answered before its deadline.
    pub fn count_unanswered_call(&self) {
        self.unanswered_calls.add(1, &[]);
    }
}

fn outcome_label(outcome: &str) -> KeyValue {
    KeyValue::new("outcome", outcome.to_owned())
}

fn customer_label(customer: String) -> KeyValue {
    KeyValue::new("customer", customer)
}

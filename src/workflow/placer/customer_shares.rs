//! Shares of customers in the scheduling pass, in the admission of jobs and in the metrics.

use std::time::{Duration, Instant};

use super::super::decisions::admission::{self, Admission, Backlog};
use super::super::decisions::customer_shares::{
    self, CustomerUse, DecidingBacklog, OwnBacklog, WaitForecast,
};
use super::super::decisions::ranking::LATE_FACTOR;
use super::super::instruments::{CustomerLoad, instruments};
use super::super::queues::Queue;
use super::super::spec::WorkflowSpec;
use super::customers::LiveCustomer;
use super::search::StageNeeds;
use super::term::Term;

/// Refusal of a job because it would end too late to count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TooLongBacklog {
    /// Forecast that the decision is based on.
    pub forecast: WaitForecast,
    /// Time that the job may wait.
    pub allowed_wait: Duration,
    /// Time after which the same job is expected to be accepted.
    pub retry_after: Duration,
}

impl TooLongBacklog {
    /// Logs and counts the refusal.
    pub(super) fn report(&self, job: &str, queue: &Queue, customer: Option<&str>) {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let retry_after_ms = ms(self.retry_after);
        instruments().count_job("refused");
        let Some(customer) = customer else {
            log::info!(job, queue = queue.name.as_str(), retry_after_ms; "job refused: the backlog is too long");
            return;
        };
        let (reason, label) = match self.forecast.decided_by {
            DecidingBacklog::OfCustomer => ("the backlog of its customer", "own_backlog"),
            DecidingBacklog::OfCell => ("the backlog", "cell_backlog"),
        };
        log::info!(
            job, queue = queue.name.as_str(), customer, retry_after_ms,
            allowed_wait_ms = ms(self.allowed_wait), wait_by_cell_ms = ms(self.forecast.by_cell),
            wait_by_share_ms:? = self.forecast.by_share.map(ms);
            "job refused: {reason} is too long"
        );
        instruments().count_refusal(customer, label);
    }
}

fn as_use(live: &LiveCustomer) -> CustomerUse {
    CustomerUse {
        weight: live.weight,
        running: live.running,
        waiting: live.waiting,
        was_over_share: live.is_over_share,
    }
}

impl Term {
    fn active_weight(&self) -> f64 {
        customer_shares::active_weight(self.customers.values().map(as_use))
    }

    /// Decides once for a pass which customers have more than their share running.
    pub(super) fn update_shares(&mut self) {
        if self.customers.is_empty() {
            return;
        }
        let active_weight = self.active_weight();
        let capacity = self.ledger.capacity();
        for live in self.customers.values_mut() {
            live.is_over_share =
                customer_shares::is_over_share(&as_use(live), active_weight, &capacity);
        }
    }

    /// Whether the customer of a stage had more than its share running when the pass began. Stages
    /// without a customer count as within a share.
    pub(super) fn is_over_share(&self, needs: &StageNeeds) -> bool {
        let customer = needs.customer;
        let customer = customer.and_then(|index| self.customers.get_index(index));
        customer.is_some_and(|(_, live)| live.is_over_share)
    }

    /// Decides whether a new job can still end in time to count.
    pub(super) fn admit(
        &mut self,
        queue: &Queue,
        spec: &WorkflowSpec,
        customer: Option<&str>,
        now: Instant,
    ) -> Result<(), TooLongBacklog> {
        if spec.repetition.is_some() || spec.stages.iter().any(|stage| stage.lasting) {
            return Ok(());
        }
        let chain_ms = spec.critical_path_ms() as f64;
        let objective_ms = chain_ms * queue.slack_factor + queue.target_latency_ms as f64;
        let allowed_ms = objective_ms * f64::from(LATE_FACTOR) - chain_ms;
        let allowed_wait = Duration::from_millis(allowed_ms.max(0.0) as u64);
        let backlog = Backlog {
            cpu_work_ms: self.waiting_work.before_ms(queue.priority),
            capacity_millis: self.available_capacity_millis(now),
        };
        let own = customer.and_then(|customer| self.own_backlog(customer, queue.priority));
        let Some(forecast) = customer_shares::forecast(&backlog, own) else {
            return Ok(());
        };
        match admission::decide_by_wait(forecast.wait, allowed_wait) {
            Admission::Accept => Ok(()),
            Admission::Refuse { retry_after } => Err(TooLongBacklog {
                forecast,
                allowed_wait,
                retry_after,
            }),
        }
    }

    /// Returns what counts against a new job of a customer; `None` if the customer is not known.
    fn own_backlog(&self, customer: &str, priority: u32) -> Option<OwnBacklog> {
        let live = self.customers.get(customer)?;
        Some(OwnBacklog {
            cpu_work_ms: live.waiting_work.before_ms(priority),
            share: customer_shares::share(&as_use(live), self.active_weight()),
            cap_millis: live.cap.cpu_millis,
        })
    }

    /// Returns what each customer has, for the metrics.
    pub(super) fn customer_loads(&self, capacity_millis: u64) -> Vec<CustomerLoad<'_>> {
        let active_weight = self.active_weight();
        let mut loads = Vec::with_capacity(self.customers.len());
        for (name, live) in &self.customers {
            let share = customer_shares::share(&as_use(live), active_weight);
            loads.push(CustomerLoad {
                customer: name,
                running_millis: live.running.cpu_millis,
                waiting_millis: live.waiting.cpu_millis,
                share_millis: (capacity_millis as f64 * share) as u64,
                cap_millis: live.cap.cpu_millis,
            });
        }
        loads
    }
}

//! What each customer has running and waiting in this term.

use indexmap::IndexMap;

use super::super::customers::CustomerRecords;
use super::super::decisions::customer_caps::{self, CapUse};
use super::super::spec::{StageSpec, WorkflowSpec};
use super::Now;
use super::backlog::WorkByPriority;
use super::ranked_stages::Ranked;
use super::search::StageNeeds;
use super::term::{LiveRun, Term};
use crate::ids::{CustomerName, JobId};
use crate::resources::Resources;

/// Position of a customer in [`LiveCustomers`]; stays valid for the term.
pub type CustomerIndex = usize;

/// A customer as far as scheduling depends on it.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveCustomer {
    /// Share of the cell while all is in use, relative to the weights of the others.
    pub weight: f64,
    /// Most resources that its runs may occupy; a zero is no limit.
    pub cap: Resources,
    /// Resources of its runs that may exist. Invariant: the sum of `LiveRun::charge` over its runs.
    pub running: Resources,
    /// Resources that gangs of the customer reserve under its cap in the current pass.
    pub reserved: Resources,
    /// Declared work of its waiting tasks. Invariant: like that of `WaitingWork`, without stages that
    /// are marked as too late.
    pub waiting_work: WorkByPriority,
    /// Resources of its waiting tasks. Invariant: like that of `waiting_work`.
    pub waiting: Resources,
    /// Whether it had more than its share running when the last pass began.
    pub is_over_share: bool,
}

impl Default for LiveCustomer {
    fn default() -> Self {
        Self {
            weight: 1.0,
            cap: Resources::ZERO,
            running: Resources::ZERO,
            reserved: Resources::ZERO,
            waiting_work: WorkByPriority::default(),
            waiting: Resources::ZERO,
            is_over_share: false,
        }
    }
}

impl LiveCustomer {
    fn cap_use(&self) -> CapUse {
        CapUse {
            cap: self.cap,
            used: sum(&self.running, &self.reserved),
        }
    }
}

/// Customers that the configuration has named in this term, or that own jobs. None is removed: their
/// number is bounded by the versions of the configuration in a term.
pub type LiveCustomers = IndexMap<CustomerName, LiveCustomer>;

/// Resources that a run counts against the cap of its customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Charge {
    /// Customer of the run.
    pub customer: CustomerIndex,
    /// Resources of the run.
    pub amount: Resources,
}

pub(super) fn sum(left: &Resources, right: &Resources) -> Resources {
    Resources {
        cpu_millis: left.cpu_millis.saturating_add(right.cpu_millis),
        memory_mib: left.memory_mib.saturating_add(right.memory_mib),
        accelerators: left.accelerators.saturating_add(right.accelerators),
    }
}

impl Term {
    /// Takes over weights and caps from the state. Customers that are no longer known keep theirs.
    pub(super) fn update_customers(&mut self) {
        let records: &CustomerRecords = &self.state.customers;
        let configured = records.configuration.iter();
        let configured = configured.flat_map(|configuration| configuration.customers.values());
        for customer in records.former.values().chain(configured) {
            let live = self.customers.entry(customer.name.clone()).or_default();
            live.weight = customer.weight;
            live.cap = customer.cap;
        }
        // A higher cap may allow starts.
        self.passes.changed = true;
    }

    /// Returns the customer of a job; `None` if it has none.
    pub(super) fn customer_of(&mut self, job: &JobId) -> Option<CustomerIndex> {
        let name = self.state.customers.owners.get(job)?;
        if let Some(index) = self.customers.get_index_of(name) {
            return Some(index);
        }
        let (index, _) = self
            .customers
            .insert_full(name.clone(), LiveCustomer::default());
        Some(index)
    }

    /// Counts a run against the cap of its customer until [`Self::discharge`].
    pub(super) fn charge(
        &mut self,
        run: &mut LiveRun,
        customer: Option<CustomerIndex>,
        amount: Resources,
    ) {
        let Some(customer) = customer else {
            return;
        };
        let Some((_, live)) = self.customers.get_index_mut(customer) else {
            return;
        };
        live.running = sum(&live.running, &amount);
        run.charge = Some(Charge { customer, amount });
    }

    /// Ends the count of a run that is known to be over.
    pub(super) fn discharge(&mut self, run: &LiveRun) {
        let Some(Charge { customer, amount }) = run.charge else {
            return;
        };
        let Some((_, live)) = self.customers.get_index_mut(customer) else {
            return;
        };
        match live.running.checked_sub(&amount) {
            Some(running) => live.running = running,
            None => {
                log::error!(running:% = live.running, amount:% = amount; "a run of a customer was not counted");
            }
        }
    }

    /// Returns how many of `wanted` tasks the cap of the customer of a stage allows to start.
    pub(super) fn tasks_under_cap(&self, needs: &StageNeeds, wanted: usize) -> usize {
        let customer = needs
            .customer
            .and_then(|index| self.customers.get_index(index));
        customer.map_or(wanted, |(_, live)| {
            customer_caps::tasks_under_cap(&live.cap_use(), &needs.amount, wanted)
        })
    }

    /// Whether the cap of its customer holds a stage back: all members of a gang, or every task.
    pub(super) fn is_held_by_cap(&self, needs: &StageNeeds) -> bool {
        let least = if needs.gang { needs.task_count } else { 1 };
        self.tasks_under_cap(needs, least) < least
    }

    /// Reserves the room under the cap for a gang until the end of the pass, so that later stages of
    /// its customer leave it free. One gang of a customer at a time: several would hold back all of
    /// its other work.
    pub(super) fn reserve_under_cap(&mut self, needs: &StageNeeds) {
        let Some(customer) = needs.customer else {
            return;
        };
        let Some((_, live)) = self.customers.get_index_mut(customer) else {
            return;
        };
        if live.reserved == Resources::ZERO {
            let amount = needs.amount.checked_mul(needs.task_count as u64);
            live.reserved = amount.unwrap_or(live.cap);
        }
    }

    /// Begins a pass: drops the reservations of the last one, and reserves for the gangs that have
    /// waited too long for room under the cap.
    pub(super) fn reserve_for_aged_gangs(&mut self, order: &[Ranked], now: Now) {
        if self.customers.is_empty() {
            return;
        }
        for live in self.customers.values_mut() {
            live.reserved = Resources::ZERO;
        }
        for entry in order.iter().filter(|entry| entry.needs.gang) {
            if !self.is_held_by_cap(&entry.needs) {
                continue;
            }
            let customer = entry.needs.customer;
            let customer = customer.and_then(|index| self.customers.get_index(index));
            if customer.is_none_or(|(_, live)| live.reserved != Resources::ZERO) {
                continue;
            }
            let Some((_, stage)) = self.stages.get_index(entry.position) else {
                continue;
            };
            let waited = now.at.saturating_duration_since(stage.due_at);
            let allowed = stage.objective.saturating_sub(stage.remaining);
            if customer_caps::reserves_first(waited, allowed) {
                self.reserve_under_cap(&entry.needs);
            }
        }
    }

    /// Returns why a job can never run under the cap of its customer; `None` if it can.
    pub(super) fn exceeds_cap(&self, customer: &str, spec: &WorkflowSpec) -> Option<String> {
        let cap = self.state.customers.customer(customer)?.cap;
        for (index, stage) in spec.stages.iter().enumerate() {
            let tasks = if stage.gang { stage.task_count } else { 1 };
            if needs_more_than(&cap, stage, tasks) {
                return Some(format!(
                    "stage {index} needs more than the cap of the customer, {cap}, at one time"
                ));
            }
        }
        None
    }
}

fn needs_more_than(cap: &Resources, stage: &StageSpec, tasks: u32) -> bool {
    let amount = stage.ledger_amount().checked_mul(u64::from(tasks));
    amount.is_none_or(|amount| customer_caps::never_fits(cap, &amount))
}

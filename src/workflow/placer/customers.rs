//! What each customer has running and waiting in this term.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::customers::CustomerRecords;
use super::super::decisions::customer_caps::{self, CapUse};
use super::super::spec::{StageKey, StageSpec, WorkflowSpec};
use super::Now;
use super::backlog::WorkByPriority;
use super::ranked_stages::Ranked;
use super::search::StageNeeds;
use super::term::{LiveRun, Term};
use crate::ids::{CustomerName, JobId};
use crate::resources::Resources;
use crate::scheduling::ledger::add;

/// Log lines about held jobs of one customer in one [`HELD_LINES_INTERVAL`]. With twenty customers,
/// they stay below a tenth of the 4,000 lines that a host writes in a second.
const HELD_LINES: u32 = 20;
const HELD_LINES_INTERVAL: Duration = Duration::from_secs(1);

/// Multiple of its objective after which a gang that is too late to count reserves room under the cap
/// like one in time: it was accepted, and small work of its customer may never pause.
const OVERDUE_FACTOR: u32 = 10;

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
    /// Room under the cap that a gang keeps free for itself, decided anew in each pass.
    pub reserved: Option<CapReservation>,
    /// Declared work of its waiting tasks. Invariant: like that of `WaitingWork`, without stages that
    /// are marked as too late.
    pub waiting_work: WorkByPriority,
    /// Resources of its waiting tasks. Invariant: like that of `waiting_work`.
    pub waiting: Resources,
    /// Whether it had more than its share running when the last pass began.
    pub is_over_share: bool,
    /// Start of the interval in which `held_lines` were written; `None` before the first.
    held_lines_since: Option<Instant>,
    held_lines: u32,
}

/// Room under the cap of a customer that one of its gangs keeps free for itself.
#[derive(Clone, Debug, PartialEq)]
pub struct CapReservation {
    /// The gang.
    pub stage: StageKey,
    /// Resources of all members.
    pub amount: Resources,
}

impl Default for LiveCustomer {
    fn default() -> Self {
        Self {
            weight: 1.0,
            cap: Resources::ZERO,
            running: Resources::ZERO,
            reserved: None,
            waiting_work: WorkByPriority::default(),
            waiting: Resources::ZERO,
            is_over_share: false,
            held_lines_since: None,
            held_lines: 0,
        }
    }
}

impl LiveCustomer {
    /// Returns what counts against the cap for a stage, to which its own reservation is no limit.
    fn cap_use(&self, stage: &StageKey) -> CapUse {
        let reserved = self.reserved.as_ref();
        let reserved = reserved.filter(|reserved| reserved.stage != *stage);
        CapUse {
            cap: self.cap,
            used: reserved.map_or(self.running, |reserved| {
                add(&self.running, &reserved.amount)
            }),
        }
    }

    fn may_log_held_job(&mut self, now: Instant) -> bool {
        let since = self.held_lines_since;
        if since.is_none_or(|since| now >= since + HELD_LINES_INTERVAL) {
            self.held_lines_since = Some(now);
            self.held_lines = 0;
        }
        self.held_lines += 1;
        self.held_lines <= HELD_LINES
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
        live.running = add(&live.running, &amount);
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
            // Room under the cap may allow starts on other workers, also if the worker of the run has
            // left and no room has grown.
            Some(running) => {
                live.running = running;
                self.passes.changed = true;
            }
            None => {
                log::error!(running:% = live.running, amount:% = amount; "a run of a customer was not counted");
            }
        }
    }

    /// Returns how many of `wanted` tasks the cap of the customer of a stage allows to start.
    pub(super) fn tasks_under_cap(
        &self,
        key: &StageKey,
        needs: &StageNeeds,
        wanted: usize,
    ) -> usize {
        tasks_under_cap(&self.customers, key, needs, wanted)
    }

    /// Whether the cap of its customer holds a stage back: all members of a gang, or every task.
    pub(super) fn is_held_by_cap(&self, position: usize, needs: &StageNeeds) -> bool {
        if needs.customer.is_none() {
            return false;
        }
        let Some((key, _)) = self.stages.get_index(position) else {
            return false;
        };
        let least = if needs.gang { needs.task_count } else { 1 };
        self.tasks_under_cap(key, needs, least) < least
    }

    /// Reserves the room under the cap for a gang until the next pass, so that other stages of its
    /// customer leave it free. One gang of a customer at a time: several would hold back all of its
    /// other work. A gang that exceeds the cap, which was lowered after its job was accepted, reserves
    /// nothing: it would hold back all other work until the cap is raised.
    pub(super) fn reserve_under_cap(&mut self, position: usize, needs: &StageNeeds) {
        let Some((key, _)) = self.stages.get_index(position) else {
            return;
        };
        let customer = needs.customer;
        let Some((_, live)) = customer.and_then(|index| self.customers.get_index_mut(index)) else {
            return;
        };
        let amount = needs.amount.checked_mul(needs.task_count as u64);
        if let Some(amount) = amount.filter(|amount| !customer_caps::never_fits(&live.cap, amount))
            && live.reserved.is_none()
        {
            live.reserved = Some(CapReservation {
                stage: key.clone(),
                amount,
            });
        }
    }

    /// Begins a pass: drops the reservations of the last one, and reserves for the gangs that have
    /// waited too long. Those that the cap allows reserve as well while they wait for room on workers:
    /// small work of their customer would take the room under the cap before they start.
    /// A pass without the stages that are too late keeps the reservations of such gangs.
    pub(super) fn reserve_for_aged_gangs(
        &mut self,
        order: &[Ranked],
        includes_too_late: bool,
        now: Now,
    ) {
        if self.customers.is_empty() {
            return;
        }
        let stages = &self.stages;
        for live in self.customers.values_mut() {
            let reserved = live.reserved.take();
            live.reserved = reserved.filter(|reserved| {
                let gang = stages.get(&reserved.stage);
                let waits = gang.is_some_and(|gang| gang.too_late && gang.all_tasks_wait());
                waits && !includes_too_late
            });
        }
        for entry in order.iter().filter(|entry| entry.needs.gang) {
            let customer = entry.needs.customer;
            let customer = customer.and_then(|index| self.customers.get_index(index));
            if customer.is_none_or(|(_, live)| live.reserved.is_some()) {
                continue;
            }
            let Some((_, stage)) = self.stages.get_index(entry.position) else {
                continue;
            };
            let waited = now.at.saturating_duration_since(stage.due_at);
            let is_overdue = waited >= stage.objective * OVERDUE_FACTOR;
            let counts = !entry.rank.is_too_late() || is_overdue;
            let may_start = counts && !stage.lacks_capacity;
            let allowed = stage.objective.saturating_sub(stage.remaining);
            let is_aged = stage.all_tasks_wait() && customer_caps::reserves_first(waited, allowed);
            if is_aged && (may_start || self.is_held_by_cap(entry.position, &entry.needs)) {
                self.reserve_under_cap(entry.position, &entry.needs);
            }
        }
    }

    /// Logs once for a stage that the cap of its customer holds it back. Lines above the limit of the
    /// customer are written in later passes, while the stage is still held.
    pub(super) fn log_held_by_cap(&mut self, position: usize, needs: &StageNeeds, now: Now) {
        let customer = needs.customer;
        let Some((name, live)) = customer.and_then(|index| self.customers.get_index_mut(index))
        else {
            return;
        };
        let Some((key, stage)) = self.stages.get_index_mut(position) else {
            return;
        };
        if stage.logged_as_held || !live.may_log_held_job(now.at) {
            return;
        }
        stage.logged_as_held = true;
        log::info!(
            stage:% = key, customer = name.as_str(), cap:% = live.cap, running:% = live.running,
            reserved_by:? = live.reserved.as_ref().map(|reserved| reserved.stage.to_string()),
            task:% = needs.amount, tasks = needs.task_count, gang = needs.gang;
            "job is held by the cap of its customer"
        );
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

/// As [`Term::tasks_under_cap`], with what these customers have running.
pub(super) fn tasks_under_cap(
    customers: &LiveCustomers,
    key: &StageKey,
    needs: &StageNeeds,
    wanted: usize,
) -> usize {
    let customer = needs.customer.and_then(|index| customers.get_index(index));
    customer.map_or(wanted, |(_, live)| {
        customer_caps::tasks_under_cap(&live.cap_use(key), &needs.amount, wanted)
    })
}

/// Counts further tasks of a stage as running.
pub(super) fn count_as_running(customers: &mut LiveCustomers, needs: &StageNeeds, tasks: usize) {
    let customer = needs.customer;
    let Some((_, live)) = customer.and_then(|index| customers.get_index_mut(index)) else {
        return;
    };
    if let Some(amount) = needs.amount.checked_mul(tasks as u64) {
        live.running = add(&live.running, &amount);
    }
}

fn needs_more_than(cap: &Resources, stage: &StageSpec, tasks: u32) -> bool {
    let amount = stage.ledger_amount().checked_mul(u64::from(tasks));
    amount.is_none_or(|amount| customer_caps::never_fits(cap, &amount))
}

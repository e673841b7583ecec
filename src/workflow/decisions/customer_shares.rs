//! Shares the cell among customers by their weights.
//!
//! Load pattern: the cell is full, and one customer sends many times its usual load. Its work takes
//! what the others do not use, and comes after theirs once it has more than its share. Nothing that
//! runs is stopped: a lent share comes back as runs end. New jobs of a customer are refused only if
//! neither the whole cell nor the share of the customer can serve them in time.

use std::time::Duration;

use super::admission::Backlog;
use crate::resources::Resources;

/// Multiple of its share above which a customer comes after the others; it does so until it is at its
/// share again. Without a difference between the two, the start or end of a single task would change
/// the order from pass to pass.
const OVER_SHARE_FACTOR: f64 = 1.1;

/// A customer, as far as the shares depend on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerUse {
    /// Weight relative to the other customers; above zero.
    pub weight: f64,
    /// Resources of its runs that may exist.
    pub running: Resources,
    /// Resources of its waiting tasks that can still end in time to count.
    pub waiting: Resources,
    /// Whether it was over its share at the last decision.
    pub was_over_share: bool,
}

impl CustomerUse {
    /// Whether the customer takes part in the division of the cell.
    pub fn is_active(&self) -> bool {
        self.waiting != Resources::ZERO || self.running != Resources::ZERO
    }
}

/// Returns the greatest part that an amount takes of any resource of the cell. Resources that the cell
/// does not have are left out, as is everything while no capacity is known.
pub fn dominant_share(amount: &Resources, capacity: &Resources) -> f64 {
    let parts = [
        (amount.cpu_millis, capacity.cpu_millis),
        (amount.memory_mib, capacity.memory_mib),
        (amount.accelerators, capacity.accelerators),
    ];
    let known = parts.into_iter().filter(|(_, capacity)| *capacity > 0);
    let parts = known.map(|(amount, capacity)| amount as f64 / capacity as f64);
    parts.fold(0.0, f64::max)
}

/// Returns the sum of the weights of the customers with running or waiting work.
pub fn active_weight(customers: impl IntoIterator<Item = CustomerUse>) -> f64 {
    let active = customers.into_iter().filter(CustomerUse::is_active);
    active.map(|customer| customer.weight).sum()
}

/// Returns the share of a customer that sends work, from 0 to 1. `active_weight` is that of all
/// customers with running or waiting work.
pub fn share(customer: &CustomerUse, active_weight: f64) -> f64 {
    let all = if customer.is_active() {
        active_weight
    } else {
        active_weight + customer.weight
    };
    // Sums of very different weights are inexact.
    (customer.weight / all).min(1.0)
}

/// Whether a customer has more running than its share of the scarcest of its resources.
pub fn is_over_share(customer: &CustomerUse, active_weight: f64, capacity: &Resources) -> bool {
    let factor = if customer.was_over_share {
        1.0
    } else {
        OVER_SHARE_FACTOR
    };
    dominant_share(&customer.running, capacity) > share(customer, active_weight) * factor
}

/// Backlog that decides how long a new job is expected to wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DecidingBacklog {
    /// The customer of the job has more than its share of the waiting work, so that the job waits for
    /// as long as the whole cell needs, or its cap serves its work more slowly.
    OfCustomer,
    /// The job has no customer, or its customer has at most its share of the waiting work.
    OfCell,
}

/// Forecast of the wait of a new job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitForecast {
    /// The shorter of the times below, or the time in which the cap of the customer serves its own
    /// accepted work if that is longer.
    pub wait: Duration,
    /// Time in which the whole cell serves the accepted work of all customers.
    pub by_cell: Duration,
    /// Time in which the share of the customer serves its own accepted work; `None` without one.
    pub by_share: Option<Duration>,
    /// Backlog that decides.
    pub decided_by: DecidingBacklog,
}

/// Work of the customer of a new job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnBacklog {
    /// Processor time that its accepted jobs of the same or a higher rank still need, in milliseconds
    /// of one core.
    pub cpu_work_ms: u64,
    /// Share of the customer, above 0 and up to 1.
    pub share: f64,
    /// Processors that the cap of the customer allows, in thousandths of a core; zero is no limit.
    pub cap_millis: u64,
}

/// Forecasts the wait of a new job; `None` while no capacity is known.
///
/// Work of customers over their share does not delay a customer within its share, so that its own
/// work and its share give a bound. Nor can the job wait longer than the cell needs for everything.
pub fn forecast(cell: &Backlog, own: Option<OwnBacklog>) -> Option<WaitForecast> {
    let by_cell = cell.wait()?;
    let by_share = own.map(|own| {
        let share_millis = cell.capacity_millis as f64 * own.share;
        let wait_ms = own.cpu_work_ms as f64 * 1_000.0 / share_millis;
        // The conversion of a float saturates.
        Duration::from_millis(wait_ms as u64)
    });
    // The cap holds also while the cell has room. A cap of zero gives no time.
    let by_cap = own.and_then(|own| {
        let capped = Backlog {
            cpu_work_ms: own.cpu_work_ms,
            capacity_millis: own.cap_millis,
        };
        capped.wait()
    });
    let by_order = by_share.map_or(by_cell, |by_share| by_share.min(by_cell));
    let wait = by_order.max(by_cap.unwrap_or_default());
    let decided_by = match by_share {
        _ if wait > by_order => DecidingBacklog::OfCustomer,
        Some(by_share) if by_share > by_cell => DecidingBacklog::OfCustomer,
        _ => DecidingBacklog::OfCell,
    };
    Some(WaitForecast {
        wait,
        by_cell,
        by_share,
        decided_by,
    })
}

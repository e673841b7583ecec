//! Cancellations of jobs that are not known, kept so that a submission that arrives later never runs.
//!
//! A client that got no answer to its submission cannot tell whether the job was accepted. Its
//! submission may wait at a host that stands still, and arrive after the cancellation.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::ids::{CustomerName, JobId};

/// Longest name of a job, in bytes, so that the memory of cancellations is bounded. Names of the
/// users' platform have 16.
pub const MAX_JOB_NAME_BYTES: usize = 128;
/// Largest number of cancellations that are kept. With identifiers of the greatest length, they take
/// 8 MB in each copy of the state, of which a leading storage host has two.
pub const MAX_CANCELLATIONS: usize = 32_768;

/// Whether a job may have this name. A task is named by its job and numbers with dots between them.
pub fn is_job_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_JOB_NAME_BYTES && !name.contains(['/', '.'])
}

/// Cancellations of jobs that were not known, by the customer of the call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EarlyCancellations {
    /// Time of the latest cancellation of each job; the customer is `None` for calls without a key.
    /// Invariant: each customer has an entry.
    by_customer: IndexMap<Option<CustomerName>, IndexMap<JobId, u64>>,
}

impl EarlyCancellations {
    /// Keeps a cancellation, or renews an earlier one by the same customer.
    pub(super) fn keep(&mut self, id: JobId, customer: Option<CustomerName>, at_unix_ms: u64) {
        let jobs = self.by_customer.entry(customer).or_default();
        jobs.insert(id, at_unix_ms);
    }

    /// Removes the cancellations of some jobs, by all customers.
    pub(super) fn forget(&mut self, ids: &IndexSet<JobId>) {
        for jobs in self.by_customer.values_mut() {
            jobs.retain(|id, _| !ids.contains(id));
        }
        self.by_customer.retain(|_, jobs| !jobs.is_empty());
    }

    /// Number of cancellations.
    pub fn len(&self) -> usize {
        self.by_customer.values().map(IndexMap::len).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_customer.is_empty()
    }

    /// Customers whose calls cancelled a job, each with the time of its latest call.
    pub fn of_job(&self, id: &str) -> impl Iterator<Item = (Option<&CustomerName>, u64)> {
        self.by_customer
            .iter()
            .filter_map(move |(customer, jobs)| Some((customer.as_ref(), *jobs.get(id)?)))
    }

    /// Whether a further cancellation of a customer can be kept. A customer may have as many as there
    /// is room left, so that one customer fills half of the room and leaves some to all others.
    pub fn has_room(&self, customer: Option<&CustomerName>) -> bool {
        self.of_customer(customer).map_or(0, IndexMap::len)
            < MAX_CANCELLATIONS.saturating_sub(self.len())
    }

    /// Time of the earliest cancellation of a customer; `None` if it has none.
    pub fn earliest_unix_ms(&self, customer: Option<&CustomerName>) -> Option<u64> {
        self.of_customer(customer)?.values().min().copied()
    }

    /// Jobs that nobody has cancelled at the given time or later.
    pub fn older_than(&self, unix_ms: u64) -> IndexSet<JobId> {
        let entries = || self.by_customer.values().flatten();
        let old = entries().filter(|(_, at_unix_ms)| **at_unix_ms < unix_ms);
        let mut old: IndexSet<JobId> = old.map(|(id, _)| id.clone()).collect();
        if !old.is_empty() {
            for (id, _) in entries().filter(|(_, at_unix_ms)| **at_unix_ms >= unix_ms) {
                old.swap_remove(id);
            }
        }
        old
    }

    fn of_customer(&self, customer: Option<&CustomerName>) -> Option<&IndexMap<JobId, u64>> {
        self.by_customer.get(&customer.cloned())
    }
}

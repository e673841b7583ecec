//! Customers of a cell: the keys of their callers, their weights and their caps.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::queues::{QueueAddress, QueueConfigurationError};
use crate::ids::{CallerKey, CustomerName, JobId};
use crate::resources::Resources;

/// Longest key of a caller, in bytes: a header section has 16 KiB at most, of which other fields need
/// some. A shorter limit would refuse configurations whose keys can be sent.
pub const MAX_KEY_BYTES: usize = 15 * 1024;

/// A customer as the operator configures it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name, unique within the cell.
    pub name: CustomerName,
    /// Keys of its callers; without any, it cannot submit further jobs.
    pub keys: Vec<CallerKey>,
    /// Share of the cell while all is in use, relative to the weights of the others; above zero.
    pub weight: f64,
    /// Most resources that its runs may occupy over all workers; a zero is no limit.
    pub cap: Resources,
}

/// The customers of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerConfiguration {
    /// Customers by name.
    pub customers: IndexMap<CustomerName, Customer>,
    /// Customer of each key. Invariant: the keys in `customers`.
    owners: IndexMap<CallerKey, CustomerName>,
    /// Queues that are called without a key.
    public_queues: IndexSet<QueueAddress>,
}

impl CustomerConfiguration {
    /// Checks the customers as a whole.
    ///
    /// # Errors
    ///
    /// The first fault that was found.
    pub fn new(
        customers: Vec<Customer>,
        public_queues: impl IntoIterator<Item = QueueAddress>,
    ) -> Result<Self, QueueConfigurationError> {
        let mut configuration = Self {
            public_queues: public_queues.into_iter().collect(),
            ..Self::default()
        };
        for customer in customers {
            let name = customer.name.clone();
            if !(customer.weight.is_finite() && customer.weight > 0.0) {
                return Err(QueueConfigurationError::InvalidWeight(name));
            }
            for key in &customer.keys {
                if !is_valid_header_key(key) {
                    return Err(QueueConfigurationError::InvalidKey(name));
                }
                let owner = configuration.owners.insert(key.clone(), name.clone());
                if let Some(other) = owner.filter(|owner| *owner != name) {
                    return Err(QueueConfigurationError::SharedKey { name, other });
                }
            }
            let former = configuration.customers.insert(name.clone(), customer);
            if former.is_some() {
                return Err(QueueConfigurationError::SameCustomer(name));
            }
        }
        Ok(configuration)
    }
}

/// Whether a header can carry the key: visible ASCII characters without spaces.
fn is_valid_header_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|byte| byte.is_ascii_graphic())
}

/// What the key of a call allows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Access {
    /// The call needs no key, and its jobs have no customer.
    Public,
    /// The call has the key of this customer.
    Customer(CustomerName),
    /// The queue requires a key, and the call has none that is in force.
    UnknownKey,
}

impl Access {
    /// Customer of the key; `None` for a call without one.
    pub fn customer(&self) -> Option<&CustomerName> {
        match self {
            Self::Customer(name) => Some(name),
            Self::Public | Self::UnknownKey => None,
        }
    }
}

/// Customers and the jobs that they own, as part of the workflow state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerRecords {
    /// Customers in force; `None` if the configuration has no list of customers.
    pub configuration: Option<CustomerConfiguration>,
    /// Customers that the configuration no longer names and that own jobs, with their last weight
    /// and cap. Invariant: without keys, and none of them is in `configuration`.
    pub former: IndexMap<CustomerName, Customer>,
    /// Customer of each job that has one, until the job is forgotten.
    pub owners: IndexMap<JobId, CustomerName>,
}

impl CustomerRecords {
    /// Decides what a call to a queue may do.
    pub fn access(&self, queue: &QueueAddress, key: Option<&str>) -> Access {
        let Some(configuration) = &self.configuration else {
            return Access::Public;
        };
        if let Some(owner) = key.and_then(|key| configuration.owners.get(key)) {
            return Access::Customer(owner.clone());
        }
        if configuration.public_queues.contains(queue) {
            return Access::Public;
        }
        Access::UnknownKey
    }

    /// Whether a call may query, cancel or repeat a job. `in_queue` tells whether the job was submitted
    /// to the queue of the call.
    pub fn may_access(&self, job: &str, access: &Access, in_queue: bool) -> bool {
        match (self.owners.get(job), access) {
            (_, Access::UnknownKey) => false,
            (Some(owner), Access::Customer(name)) => owner == name,
            // Without a list of customers, no call has a customer. A public queue needs no key for the
            // jobs that were submitted to it with one, and gives no access to those of other queues.
            (Some(_), Access::Public) => self.configuration.is_none() || in_queue,
            (None, _) => true,
        }
    }

    /// Whether a call of `canceller` could have cancelled a job of `owner` in a queue; `None` stands for
    /// a call or job without a customer.
    pub fn may_cancel(
        &self,
        canceller: Option<&CustomerName>,
        owner: Option<&CustomerName>,
        queue: &QueueAddress,
    ) -> bool {
        match (canceller, owner) {
            (_, None) => true,
            (Some(canceller), Some(owner)) => canceller == owner,
            (None, Some(_)) => {
                let configuration = self.configuration.as_ref();
                configuration.is_none_or(|present| present.public_queues.contains(queue))
            }
        }
    }

    /// Weight and cap of a customer; `None` if it is not known or owns nothing any more.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        let configured = self.configuration.as_ref();
        let configured = configured.and_then(|configuration| configuration.customers.get(name));
        configured.or_else(|| self.former.get(name))
    }

    /// Replaces the customers. Those that are no longer named keep their weight and cap while they
    /// own jobs, so that what they still have running stays limited.
    pub(super) fn replace(&mut self, configuration: Option<CustomerConfiguration>) {
        let former = std::mem::replace(&mut self.configuration, configuration);
        let former = former.into_iter().flat_map(|former| former.customers);
        self.former.extend(former);
        let named = self.configuration.as_ref();
        let owning: IndexSet<&CustomerName> = self.owners.values().collect();
        self.former.retain(|name, customer| {
            customer.keys.clear();
            let is_named = named.is_some_and(|named| named.customers.contains_key(name));
            !is_named && owning.contains(name)
        });
    }

    pub(super) fn forget(&mut self, jobs: &IndexSet<JobId>) {
        self.owners.retain(|job, _| !jobs.contains(job));
    }
}

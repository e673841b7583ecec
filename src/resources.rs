//! Exact amounts of processor time, memory and accelerators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An amount of each resource: a capacity, a need or a usage.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{cpu_millis} millicores, {memory_mib} MiB, {accelerators} accelerators")]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// Zero of every resource.
    pub const ZERO: Self = Self {
        cpu_millis: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Whether `self` is at least `need` in every dimension.
    pub fn covers(&self, need: &Self) -> bool {
        self.cpu_millis >= need.cpu_millis
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
    }

    /// Returns the sum, or `None` if a dimension overflows.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Returns the difference, or `None` if `other` exceeds `self` in a dimension.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_sub(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Returns the product with a number of tasks, or `None` if a dimension overflows.
    pub fn checked_mul(&self, count: u64) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_mul(count)?,
            memory_mib: self.memory_mib.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }
}

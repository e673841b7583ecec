//! Settings and results of the fair-share queue.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::lanes::{Head, LaneId};
use crate::ids::JobId;
use crate::resources::Resources;

/// Order of waiting jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// Weighted dominant share; urgency orders jobs only within a member.
    #[default]
    FairShare,
    /// Baseline for comparisons: urgency over all members, then first come, first served.
    StrictPriority,
    /// Baseline for comparisons: first come, first served; a job that does not fit blocks the jobs
    /// behind it.
    FirstCome,
}

/// Weight and quota of a member.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamShare {
    /// Relative share of the capacity; at least 1.
    pub weight: u32,
    /// Guaranteed amount; usage above it is borrowed. Without a quota, the share follows from the
    /// weight.
    #[serde(default)]
    pub quota: Option<Resources>,
    /// Whether idle capacity above the quota may be used.
    pub may_borrow: bool,
}

impl Default for TeamShare {
    fn default() -> Self {
        Self {
            weight: 1,
            quota: None,
            may_borrow: true,
        }
    }
}

/// Whether a parked job can use the free resources of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The job can use them.
    Take,
    /// The job cannot use them, but another job may.
    Pass,
    /// The job is no longer waiting.
    Stale,
}

/// A member below its share whose first job waits for free resources.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Starving {
    /// First job of the lane.
    pub job: JobId,
    /// Parked lane whose first job arrived before those of the member's other lanes.
    pub lane: LaneId,
    /// When the job entered the queue.
    pub since: Instant,
}

/// Sort key of a member: members within their quota first, then the least weighted share.
pub type MemberKey = (bool, u64, usize);

/// Result of a search for a parked job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Parked {
    /// A job that fits, with the key of its member.
    Fits(MemberKey, Head),
    /// A job that is no longer waiting and has to be removed before the search is repeated.
    Stale(Head),
    /// No job in the examined lanes fits, but other lanes were not examined.
    Truncated,
    /// No parked job fits.
    None,
}

//! Settings and results of fair sharing.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::lanes::{Head, LaneId};
use crate::ids::JobId;
use crate::resources::Resources;

/// Order of waiting jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// Weighted dominant share; urgency orders only within a member.
    #[default]
    FairShare,
    /// Baseline: urgency over all members, then first come, first served.
    StrictPriority,
    /// Baseline: first come, first served; a job that does not fit blocks those behind it.
    FirstCome,
}

/// What a member is entitled to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamShare {
    /// Relative share of the capacity; at least 1.
    pub weight: u32,
    /// Amount that is guaranteed; use above it is borrowed.
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

/// Whether a job can use a place that is offered to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It can.
    Take,
    /// It cannot, but another job may.
    Pass,
    /// It does not wait any longer.
    Stale,
}

/// A member below its share whose first job waits for room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Starving {
    /// First job of the lane.
    pub job: JobId,
    /// Lane.
    pub lane: LaneId,
    /// Since when the job is first in its lane.
    pub since: Instant,
}

/// Members within their quota first, then the least weighted share.
pub type MemberKey = (bool, u64, usize);

/// Result of a search for a parked job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Parked {
    /// A job that can use the place, with the position of its member.
    Fits(MemberKey, Head),
    /// A job that does not wait any longer and has to be removed first.
    Stale(Head),
    /// None of the lanes that were looked at, but there are more.
    Truncated,
    /// None.
    None,
}

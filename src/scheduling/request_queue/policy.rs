//! Policies and queueing disciplines of the request queue.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::QueuedRequest;
use crate::ids::{CallerId, MemberId, ServiceName};
use crate::protocol::caller::Urgency;

/// Number of levels of urgency.
pub const LEVELS: usize = 4;

/// Parameters for the requests of one caller of a member at a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestPolicy {
    /// Share of the member relative to other members; at least 1.
    pub member_weight: u32,
    /// Share of the caller within its member relative to other callers; at least 1.
    pub caller_weight: u32,
    /// Maximum number of requests of the member that wait for the service.
    pub max_queued: usize,
    /// Waiting time above which a queue counts as delayed.
    pub target_delay_ms: u64,
    /// Time for which waiting times must exceed the target before requests are shed.
    pub delay_interval_ms: u64,
    /// Slots that a member above its share leaves free, in multiples of the square root of the
    /// slots that the others use. The square root is the standard deviation of their demand if
    /// requests arrive independently, so 2.5 standard deviations cover 99% of the fluctuation.
    /// Without free slots, every request of the others would wait for a running request to end.
    pub reserve_deviations: f64,
    /// Every how many dispatches of the member a lower urgency is served, if requests of more than
    /// one urgency wait; zero serves the highest urgency only.
    pub lower_urgency_turn: u32,
}

impl Default for RequestPolicy {
    fn default() -> Self {
        Self {
            member_weight: 1,
            caller_weight: 1,
            max_queued: 2_000,
            target_delay_ms: 500,
            delay_interval_ms: 1_000,
            reserve_deviations: 2.5,
            lower_urgency_turn: 5,
        }
    }
}

/// Function that returns the parameters for a member, a caller and a service.
pub type PolicySource =
    Arc<dyn Fn(&MemberId, &CallerId, &ServiceName) -> RequestPolicy + Send + Sync>;

/// Returns a source with the same parameters for all requests.
pub fn same_policy(policy: RequestPolicy) -> PolicySource {
    Arc::new(move |_, _, _| policy.clone())
}

/// Names of the queueing disciplines in the settings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestPolicyName {
    /// Weighted fair sharing between members and callers, with admission control.
    #[default]
    Fair,
    /// Order of arrival.
    FirstComeFirstServed,
    /// Order of urgency, then of arrival.
    StrictPriority,
}

/// Queueing discipline: how requests are grouped and ordered. Requests of one group share a queue.
#[derive(Clone)]
pub struct Discipline {
    /// Returns the group that receives a share of the service.
    pub member_of: fn(&QueuedRequest) -> &str,
    /// Returns the group within the member.
    pub caller_of: fn(&QueuedRequest) -> &str,
    /// Returns the level within the member, below [`LEVELS`]; higher levels are served first.
    pub level_of: fn(Urgency) -> usize,
    /// Whether members are protected from each other by bounds, shedding and reserved slots.
    pub protects_members: bool,
}

impl Discipline {
    /// Returns the discipline with this name.
    pub fn from_name(name: RequestPolicyName) -> Self {
        let one_group = Self {
            member_of: |_| "",
            caller_of: |_| "",
            level_of: |_| 0,
            protects_members: false,
        };
        match name {
            RequestPolicyName::Fair => Self {
                member_of: |request| &request.member,
                caller_of: |request| &request.caller,
                level_of: |urgency| urgency as usize,
                protects_members: true,
            },
            RequestPolicyName::FirstComeFirstServed => one_group,
            RequestPolicyName::StrictPriority => Self {
                level_of: |urgency| urgency as usize,
                ..one_group
            },
        }
    }
}

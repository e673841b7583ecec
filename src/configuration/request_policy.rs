//! Values of the policy figures for one request, read from one snapshot of the configuration.

use super::figures::{
    CALLER_WEIGHT, MAX_QUEUE_DELAY_MS, MAX_QUEUED_PER_CALLER, MAX_QUEUED_PER_MEMBER, MEMBER_WEIGHT,
    RETRY_BUDGET_PERCENT, URGENT_SHARE_PERCENT,
};
use super::policy::Figure;
use super::scope::Subject;
use super::snapshot::ConfigurationSnapshot;

/// Policy that admission control and the fair queue apply to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestPolicy {
    /// Share of the member relative to other members; the weight of the member's team, if set.
    pub member_weight: u64,
    /// Share of the caller relative to other callers of its member.
    pub caller_weight: u64,
    /// Maximum number of slots that the member's requests may hold; `None` means no limit.
    pub request_slots: Option<u64>,
    /// Maximum number of the member's requests that wait at one placer.
    pub max_queued_per_member: u64,
    /// Maximum number of the caller's requests that wait at one placer.
    pub max_queued_per_caller: u64,
    /// Expected wait above which new requests are rejected.
    pub max_queue_delay_ms: u64,
    /// Part of the member's share that urgent work may use before other work.
    pub urgent_share_percent: u64,
    /// Maximum number of retries as a percentage of the member's requests.
    pub member_retry_percent: u64,
    /// Maximum number of retries as a percentage of the service's requests.
    pub service_retry_percent: u64,
}

impl RequestPolicy {
    /// Reads the values in effect for a request. `caller` is the caller's name within its member.
    pub fn of(
        snapshot: &ConfigurationSnapshot,
        member: &str,
        caller: Option<&str>,
        service: &str,
        now_unix_ms: u64,
    ) -> Self {
        let request = Subject {
            member: Some(member),
            caller,
            service: Some(service),
            ..Subject::default()
        };
        let service_only = Subject {
            service: Some(service),
            ..Subject::default()
        };
        let member_only = Subject {
            member: Some(member),
            ..Subject::default()
        };
        let value = |figure: &Figure| snapshot.value(figure, &request, now_unix_ms);
        let team = snapshot.content().teams.get(member);
        Self {
            member_weight: team.map_or_else(|| value(&MEMBER_WEIGHT), |team| team.weight.into()),
            caller_weight: value(&CALLER_WEIGHT),
            request_slots: team.and_then(|team| team.quota.request_slots),
            max_queued_per_member: value(&MAX_QUEUED_PER_MEMBER),
            max_queued_per_caller: value(&MAX_QUEUED_PER_CALLER),
            max_queue_delay_ms: value(&MAX_QUEUE_DELAY_MS),
            urgent_share_percent: value(&URGENT_SHARE_PERCENT),
            // An exception for the service must not raise the budget of the member, and an
            // exception for the member must not raise the budget of the service.
            member_retry_percent: snapshot.value(&RETRY_BUDGET_PERCENT, &member_only, now_unix_ms),
            service_retry_percent: snapshot.value(
                &RETRY_BUDGET_PERCENT,
                &service_only,
                now_unix_ms,
            ),
        }
    }
}

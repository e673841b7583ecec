//! Policy figures of one request, taken from the configuration in one place.

use super::figures::{
    CALLER_WEIGHT, MAX_QUEUE_DELAY_MS, MAX_QUEUED_PER_CALLER, MAX_QUEUED_PER_MEMBER, MEMBER_WEIGHT,
    RETRY_BUDGET_PERCENT, URGENT_SHARE_PERCENT,
};
use super::policy::Figure;
use super::scope::Subject;
use super::snapshot::ConfigurationSnapshot;

/// What admission control and the fair queue need to know about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestPolicy {
    /// Share of the member relative to other members; that of its team, when it is one.
    pub member_weight: u64,
    /// Share of the caller relative to other callers of its member.
    pub caller_weight: u64,
    /// Slots that the member's requests may hold; `None` is no limit.
    pub request_slots: Option<u64>,
    /// Requests of the member that may wait at one placer.
    pub max_queued_per_member: u64,
    /// Requests of the caller that may wait at one placer.
    pub max_queued_per_caller: u64,
    /// Expected wait from which on new requests are refused.
    pub max_queue_delay_ms: u64,
    /// Part of the member's share that urgent work may use before other work.
    pub urgent_share_percent: u64,
    /// Retries relative to the requests of the member.
    pub member_retry_percent: u64,
    /// Retries relative to the requests of the service.
    pub service_retry_percent: u64,
}

impl RequestPolicy {
    /// The figures in effect for a request. `caller` is the name of the caller within its member.
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
        let of_service = Subject {
            service: Some(service),
            ..Subject::default()
        };
        let of_member = Subject {
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
            // An exception for the service must not widen the budget of the member, nor the other
            // way round.
            member_retry_percent: snapshot.value(&RETRY_BUDGET_PERCENT, &of_member, now_unix_ms),
            service_retry_percent: snapshot.value(&RETRY_BUDGET_PERCENT, &of_service, now_unix_ms),
        }
    }
}

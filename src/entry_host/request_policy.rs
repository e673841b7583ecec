//! Supplies the request queue with weights and limits from the operators' defaults and exceptions.

use std::sync::Arc;

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::configuration::request_policy::RequestPolicy as ConfiguredPolicy;
use crate::scheduling::request_queue::policy::{PolicySource, RequestPolicy};

/// Returns a source that reads the current configuration for each request.
pub(super) fn source(configuration: &Arc<Configuration>) -> PolicySource {
    let (configuration, clock) = (Arc::clone(configuration), Clock::system());
    Arc::new(move |member, caller, service| {
        let caller = Some(caller.as_str()).filter(|caller| !caller.is_empty());
        let snapshot = configuration.read();
        let configured = ConfiguredPolicy::of(&snapshot, member, caller, service, clock.unix_ms());
        RequestPolicy {
            member_weight: u32::try_from(configured.member_weight).unwrap_or(u32::MAX),
            caller_weight: u32::try_from(configured.caller_weight).unwrap_or(u32::MAX),
            max_queued: usize::try_from(configured.max_queued_per_member).unwrap_or(usize::MAX),
            target_delay_ms: configured.max_queue_delay_ms,
            ..RequestPolicy::default()
        }
    })
}

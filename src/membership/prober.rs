//! Probes one host: a direct ping, then pings through relays. The transport is supplied by the
//! caller.

use std::time::{Duration, Instant};

use super::table::MembershipTable;
use crate::ids::HostId;

/// Relays used when a direct probe fails.
pub const RELAYS: usize = 3;
/// Maximum number of updates in one message.
pub const UPDATES_PER_MESSAGE: usize = 6;

/// Intervals and timeouts of failure detection.
#[derive(Clone, Debug)]
pub struct ProbeTiming {
    /// Time between two probes of a host, without jitter.
    pub interval: Duration,
    /// Timeout of a direct ping on a healthy host.
    pub direct_timeout: Duration,
    /// Timeout of pings through relays on a healthy host.
    pub indirect_timeout: Duration,
    /// Time in which a suspected host can refute before it is declared dead.
    pub suspicion: Duration,
}

impl Default for ProbeTiming {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(400),
            indirect_timeout: Duration::from_millis(500),
            suspicion: Duration::from_secs(4),
        }
    }
}

/// Result of a ping through a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayAnswer {
    /// The target answered the relay.
    TargetAnswered,
    /// The relay reported that the target did not answer.
    TargetSilent,
    /// The relay did not answer.
    RelaySilent,
}

/// Requests pings of the target by the relays, and returns one answer per relay.
pub type PingThrough<'a> = &'a mut dyn FnMut(&[HostId], &HostId, Duration) -> Vec<RelayAnswer>;

/// Message exchanges of a probe. Both block until the answer or the timeout.
pub struct Exchanges<'a> {
    /// Pings the host and returns whether it answered before the timeout.
    pub ping: &'a mut dyn FnMut(&HostId, Duration) -> bool,
    /// Requests pings of the target by relays.
    pub ping_through: PingThrough<'a>,
}

/// Probes the next host of the round and records the result in the table. Returns the probed host,
/// or `None` when there is no other host.
pub fn probe_next(
    table: &std::sync::Mutex<MembershipTable>,
    timing: &ProbeTiming,
    exchanges: &mut Exchanges<'_>,
    now: &dyn Fn() -> Instant,
) -> Option<HostId> {
    let (target, timeout_factor) = {
        let mut table = table.lock().unwrap();
        (table.next_probe_target()?, table.timeout_factor())
    };
    if (exchanges.ping)(&target, timing.direct_timeout * timeout_factor) {
        table.lock().unwrap().probe_answered();
        return Some(target);
    }
    let relays = table.lock().unwrap().relays(&target, RELAYS);
    let answers =
        (exchanges.ping_through)(&relays, &target, timing.indirect_timeout * timeout_factor);
    let mut table = table.lock().unwrap();
    if answers.contains(&RelayAnswer::TargetAnswered) {
        table.probe_answered();
    } else {
        let relays_answered = answers.contains(&RelayAnswer::TargetSilent);
        table.probe_failed(&target, relays_answered, now());
    }
    Some(target)
}

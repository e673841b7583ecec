//! One probe of one host, written as the sequence of its exchanges.

use std::time::{Duration, Instant};

use super::table::MembershipTable;
use crate::ids::HostId;

/// Relays that are asked when a direct probe fails.
pub const RELAYS: usize = 3;
/// News in one message.
pub const UPDATES_PER_MESSAGE: usize = 6;

/// Intervals of failure detection.
#[derive(Clone, Debug)]
pub struct ProbeTiming {
    /// Time between probes.
    pub interval: Duration,
    /// Time for the answer to a direct probe.
    pub direct_timeout: Duration,
    /// Time for the answer through a relay.
    pub indirect_timeout: Duration,
    /// Time in which a suspected host can refute.
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

/// Result of an exchange through a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayAnswer {
    /// The target answered the relay.
    TargetAnswered,
    /// The relay answered that the target did not.
    TargetSilent,
    /// The relay did not answer.
    RelaySilent,
}

/// Asks relays to ping a target and waits for their answers.
pub type PingThrough<'a> = &'a mut dyn FnMut(&[HostId], &HostId, Duration) -> Vec<RelayAnswer>;

/// Exchanges that a probe needs; both wait for their answer.
pub struct Exchanges<'a> {
    /// Pings the host and returns whether it answered within the time.
    pub ping: &'a mut dyn FnMut(&HostId, Duration) -> bool,
    /// Asks the relays to ping the target.
    pub ping_through: PingThrough<'a>,
}

/// Probes the next host. Returns the host that was probed.
pub fn probe_next(
    table: &std::sync::Mutex<MembershipTable>,
    timing: &ProbeTiming,
    exchanges: &mut Exchanges<'_>,
    now: &dyn Fn() -> Instant,
) -> Option<HostId> {
    let (target, patience) = {
        let mut table = table.lock().unwrap();
        (table.next_target()?, table.patience())
    };
    if (exchanges.ping)(&target, timing.direct_timeout * patience) {
        table.lock().unwrap().probe_answered();
        return Some(target);
    }
    let relays = table.lock().unwrap().relays(&target, RELAYS);
    let answers = (exchanges.ping_through)(&relays, &target, timing.indirect_timeout * patience);
    let mut table = table.lock().unwrap();
    if answers.contains(&RelayAnswer::TargetAnswered) {
        table.probe_answered();
    } else {
        let relays_answered = answers.contains(&RelayAnswer::TargetSilent);
        table.probe_failed(&target, relays_answered, now());
    }
    Some(target)
}

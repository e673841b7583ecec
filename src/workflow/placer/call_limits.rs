//! Bounds the calls that wait for a commit.

use std::sync::{Arc, Mutex};

use indexmap::IndexMap;

use crate::ids::HostId;

/// Calls of callers that one host may have in flight, so that a burst at one leaves room for the
/// others.
pub const MAX_CALLS_PER_HOST: usize = 32;
/// Calls of callers that all hosts may have in flight. A call without an answer is repeated after
/// 450 ms, and a storage host has 0.4 of a core: at an assumed 1 ms of processor time each, more
/// would be repeated before they are answered.
pub const MAX_CALLS: usize = 180;
/// When a refused caller should come back: calls in flight are answered by then, or their term has
/// ended and another placer leads.
pub const BUSY_RETRY_MS: u64 = 1_000;

/// Calls of callers in flight.
#[derive(Clone, Default)]
pub struct CallLimits {
    in_flight: Arc<Mutex<CallsInFlight>>,
}

#[derive(Default)]
struct CallsInFlight {
    total: usize,
    /// Hosts without a call are absent.
    by_host: IndexMap<HostId, usize>,
}

/// A place among the calls in flight, free again when it is dropped.
pub struct CallPlace {
    limits: CallLimits,
    host: HostId,
}

impl CallLimits {
    /// Takes a place for a call of the host; `None` when too many are in flight.
    pub fn enter(&self, host: &HostId) -> Option<CallPlace> {
        let mut in_flight = self.in_flight.lock().unwrap();
        let of_host = in_flight.by_host.get(host).copied().unwrap_or_default();
        if of_host >= MAX_CALLS_PER_HOST || in_flight.total >= MAX_CALLS {
            return None;
        }
        in_flight.total += 1;
        in_flight.by_host.insert(host.clone(), of_host + 1);
        drop(in_flight);
        Some(CallPlace {
            limits: self.clone(),
            host: host.clone(),
        })
    }
}

impl Drop for CallPlace {
    fn drop(&mut self) {
        let mut in_flight = self.limits.in_flight.lock().unwrap();
        in_flight.total -= 1;
        let Some(of_host) = in_flight.by_host.get_mut(&self.host) else {
            return;
        };
        *of_host -= 1;
        if *of_host == 0 {
            in_flight.by_host.swap_remove(&self.host);
        }
    }
}

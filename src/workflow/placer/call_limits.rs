//! Limits the number of calls that wait for a commit.

use std::sync::{Arc, Mutex};

use indexmap::IndexMap;

use crate::ids::HostId;

/// Calls of callers that one host may have in flight, so that a burst at one host leaves slots for
/// the others.
pub const MAX_CALLS_PER_HOST: usize = 32;
/// Calls of callers that all hosts together may have in flight. A call without an answer is
/// repeated after 450 ms, and a storage host has 0.4 of a core: at an assumed 1 ms of processor
/// time for each call, further calls would be repeated before they are answered.
pub const MAX_CALLS: usize = 180;
/// Delay after which a rejected caller should retry, in milliseconds: by then the calls in flight
/// are answered, or their term has ended and another placer leads.
pub const BUSY_RETRY_MS: u64 = 1_000;

/// Counts the calls of callers in flight and grants slots for further ones.
#[derive(Clone, Default)]
pub struct CallLimits {
    in_flight: Arc<Mutex<CallsInFlight>>,
}

#[derive(Default)]
struct CallsInFlight {
    total: usize,
    /// Calls in flight by host; hosts without a call are absent.
    by_host: IndexMap<HostId, usize>,
}

/// A slot for a call in flight, released when it is dropped.
pub struct CallSlot {
    limits: CallLimits,
    host: HostId,
}

impl CallLimits {
    /// Acquires a slot for a call of the host. Returns `None` when the host or the whole cell has
    /// too many calls in flight.
    pub fn acquire(&self, host: &HostId) -> Option<CallSlot> {
        let mut in_flight = self.in_flight.lock().unwrap();
        let host_calls = in_flight.by_host.get(host).copied().unwrap_or_default();
        if host_calls >= MAX_CALLS_PER_HOST || in_flight.total >= MAX_CALLS {
            return None;
        }
        in_flight.total += 1;
        in_flight.by_host.insert(host.clone(), host_calls + 1);
        drop(in_flight);
        Some(CallSlot {
            limits: self.clone(),
            host: host.clone(),
        })
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let mut in_flight = self.limits.in_flight.lock().unwrap();
        in_flight.total -= 1;
        let Some(host_calls) = in_flight.by_host.get_mut(&self.host) else {
            return;
        };
        *host_calls -= 1;
        if *host_calls == 0 {
            in_flight.by_host.swap_remove(&self.host);
        }
    }
}
